"""Loopback proxies that delay, block, drop or reset the traffic that they forward.

All links run in a dedicated thread. Their attributes may be set from any thread and take effect
at once.
"""

import asyncio
import dataclasses
import random
import socket
import struct
import threading


class Network:
    """The event loop thread that runs all links."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()

    def call(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(10)

    def stop(self):
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(10)


@dataclasses.dataclass
class Direction:
    """One direction of a forwarded connection."""

    reader: asyncio.StreamReader
    # Of the sender.
    source: asyncio.Transport
    writer: asyncio.StreamWriter
    # The attribute of the link that tells whether this direction is open.
    flag: str
    # The address of the client.
    client: str


class TcpLink:
    """Forwards TCP connections to an endpoint. Data in a closed direction is held back and forwarded
    when the direction reopens, as after a network partition."""

    def __init__(self, network, target, port=0, host="127.0.0.1", held=()):
        self.network = network
        self.target = target
        # Addresses of clients whose traffic is held back.
        self.held = held
        self.delay = 0.0
        self.is_forward_open = True
        self.is_backward_open = True
        self.refuses = False
        # By transport, the address of the client.
        self.transports = {}
        self.server = network.call(asyncio.start_server(self.serve, host, port))
        self.endpoint = "%s:%d" % self.server.sockets[0].getsockname()

    def heal(self):
        self.delay = 0.0
        self.is_forward_open = self.is_backward_open = True
        self.refuses = False

    def reset_connections(self, address=None):
        """Resets the connections of the client with that address, or all."""
        self.network.loop.call_soon_threadsafe(self._reset, address)

    def _reset(self, address):
        for transport, client in list(self.transports.items()):
            if address in (None, client):
                reset(transport)

    async def serve(self, reader, writer):
        if self.refuses:
            reset(writer.transport)
            return
        await self.wait_before_connecting()
        host, port = self.target.rsplit(":", 1)
        try:
            target_reader, target_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            reset(writer.transport)
            return
        ends = {writer.transport, target_writer.transport}
        client = writer.get_extra_info("peername")[0]
        self.transports.update((transport, client) for transport in ends)
        try:
            await asyncio.gather(self.pump(Direction(reader, writer.transport, target_writer, "is_forward_open", client)),
                                 self.pump(Direction(target_reader, target_writer.transport, writer, "is_backward_open", client)))
        except OSError:
            for transport in ends:
                reset(transport)
        finally:
            for transport in ends:
                del self.transports[transport]
            writer.close()
            target_writer.close()

    async def wait_before_connecting(self):
        """Delays the connection to the endpoint; the client's is up by then."""

    async def pump(self, direction):
        while data := await direction.reader.read(65536):
            await self.forward(direction, data)
        end_writing(direction.writer)

    async def forward(self, direction, data):
        if self.delay:
            await asyncio.sleep(self.delay)
        while not getattr(self, direction.flag) or direction.client in self.held:
            await asyncio.sleep(0.02)
        direction.writer.write(data)
        await direction.writer.drain()


def end_writing(writer):
    if writer.can_write_eof() and not writer.transport.is_closing():
        writer.write_eof()


def reset(transport):
    connection = transport.get_extra_info("socket")
    if connection is not None and connection.fileno() >= 0:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    transport.abort()


class PeerLink(asyncio.DatagramProtocol):
    """Forwards datagrams and TCP connections from other daemons to one daemon, on the same port."""

    def __init__(self, network, target, tcp_link=TcpLink):
        self.network = network
        host, port = target.rsplit(":", 1)
        self.address = (host, int(port))
        self.loss = 0.0
        self.delay = 0.0
        self.tcp = tcp_link(network, target)
        self.endpoint = self.tcp.endpoint
        local = ("127.0.0.1", int(self.endpoint.rsplit(":", 1)[1]))
        self.transport = network.call(network.loop.create_datagram_endpoint(lambda: self, local_addr=local))[0]

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, _):
        if self.network.random.random() >= self.loss:
            self.network.loop.call_later(self.delay * self.network.random.random(), self.transport.sendto, data, self.address)

    def cut(self):
        self.loss = 1.0
        self.tcp.is_forward_open = False

    def heal(self):
        self.loss = self.delay = 0.0
        self.tcp.heal()
