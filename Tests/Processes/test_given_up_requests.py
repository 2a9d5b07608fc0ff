"""Requests that were given up during a network outage don't reach their upstream after it.

A proxy between the daemon and an upstream plays the outage: it reads nothing for a while, so that the daemon's kernel
holds most of a long request, and passes it on afterwards unless the connection was reset.
"""

import http.client
import select
import signal
import socket
import threading
import time
import unittest

from fleet import PATIENCE, eventually
from platform_stand_ins import Store, Upstream
from test_platform import HOST, KEY, Entry, manifest, request, route

OUTAGE_SECONDS = 3.0
# After the outage, the kernel would deliver what it holds within milliseconds.
SETTLE_SECONDS = 0.5
# Far more than the proxy's kernel takes while it reads nothing.
BODY = "x" * 400_000
TIMEOUT_MS = 1000


class HoldingProxy:
    """Passes bytes between the daemon and an upstream, except during an outage."""

    RECEIVE_BUFFER = 4096

    def __init__(self, upstream_endpoint):
        host, port = upstream_endpoint.rsplit(":", 1)
        self.target = (host, int(port))
        self.flows = threading.Event()
        self.flows.set()
        self.accepted = 0
        # Connections that were reset while they carried a request. Idle ones may end in any way.
        self.resets = 0
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.RECEIVE_BUFFER)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(128)
        self.endpoint = "%s:%d" % self.listener.getsockname()
        threading.Thread(target=self.accept, daemon=True).start()

    def stop(self):
        self.flows.set()
        self.listener.close()

    def hold(self):
        self.flows.clear()
        threading.Timer(OUTAGE_SECONDS, self.flows.set).start()

    def accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            self.accepted += 1
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        # A connection that comes up during an outage is for a request.
        is_for_request = not self.flows.is_set()
        request = bytearray()
        with connection, socket.create_connection(self.target) as upstream:
            try:
                self.relay(connection, upstream, request)
            except ConnectionResetError:
                self.resets += bool(request) or is_for_request
            except OSError:
                pass

    def relay(self, connection, upstream, request):
        """A request is passed on once it was read to its end, so that a reset discards all of it."""
        while True:
            self.flows.wait()
            readable, _, _ = select.select([connection, upstream], [], [], 0.05)
            if connection in readable:
                self.flows.wait()
                data = connection.recv(65536)
                request += data
                if not data or self.is_whole(bytes(request)):
                    upstream.sendall(request)
                    request.clear()
                if not data:
                    return
            if upstream in readable:
                data = upstream.recv(65536)
                if not data:
                    return
                connection.sendall(data)

    @staticmethod
    def is_whole(data):
        head, separator, body = data.partition(b"\r\n\r\n")
        if not separator:
            return False
        lengths = [line.split(b":")[1] for line in head.lower().split(b"\r\n") if line.startswith(b"content-length:")]
        return len(body) >= (int(lengths[0]) if lengths else 0)


class GivenUpRequests(unittest.TestCase):
    def setUp(self):
        self.store = Store()
        self.addCleanup(self.store.stop)
        self.attempts = 0
        self.upstreams, self.proxies = [], []
        common = {"timeoutMs": TIMEOUT_MS, "targetLatencyMs": 400}
        routes = [route("lookup", "/lookup/", "safe", "book", **common), route("confirm", "/confirm/", "unsafe", "book", maxAttempts=1, **common)]
        limits = {"maxHeaderBytes": 8192, "maxBodyBytes": 1_000_000, "headerTimeoutMs": 1000, "idleTimeoutMs": 5000}
        self.store.put("keyed.op", "config", manifest(3, routes=routes, limits=limits))

    def start(self, upstreams, *flags):
        for number in range(upstreams):
            upstream = Upstream(f"book-{number}", "book")
            proxy = HoldingProxy(upstream.endpoint)
            self.addCleanup(upstream.stop)
            self.addCleanup(proxy.stop)
            self.store.put("keyed.servers", upstream.instance, upstream.record(address=proxy.endpoint))
            self.upstreams.append(upstream)
            self.proxies.append(proxy)
        self.entry = Entry(self.store, "--retry-ratio", "2", *flags)
        self.addCleanup(self.entry.stop)
        eventually(self.entry.is_ready, "ready")
        eventually(lambda: self.call("/lookup/x", body="warm").status == 200, "served")

    def call(self, path, body=BODY):
        self.attempts += 1
        return request(self.entry.endpoint, "POST", path, body, {"Host": HOST, "X-Attempt-Id": f"attempt-{self.attempts}", "X-Deadline-Ms": "4000", "X-Api-Key": KEY})

    def send_and_keep(self):
        """Sends a request without waiting for its answer. Returns the connection."""
        host, port = self.entry.endpoint.rsplit(":", 1)
        connection = http.client.HTTPConnection(host, int(port), timeout=PATIENCE)
        self.addCleanup(connection.close)
        accepted = self.proxies[0].accepted
        self.attempts += 1
        connection.request("POST", "/confirm/x", BODY, {"Host": HOST, "X-Attempt-Id": f"attempt-{self.attempts}", "X-Deadline-Ms": "4000", "X-Api-Key": KEY})
        eventually(lambda: self.proxies[0].accepted > accepted, "the request has been sent on")
        time.sleep(0.1)
        return connection

    def ids_at(self, upstream):
        return [one["headers"].get("x-attempt-id") for one in upstream.requests]

    def check_nothing_arrives(self, attempt):
        time.sleep(OUTAGE_SECONDS + SETTLE_SECONDS)
        self.assertNotIn(attempt, self.ids_at(self.upstreams[0]))
        self.assertEqual(self.proxies[0].resets, 1)

    def test_at_the_end_of_its_time(self):
        self.start(1)
        self.proxies[0].hold()
        self.assertEqual(self.call("/confirm/x").status, 504)
        self.check_nothing_arrives(f"attempt-{self.attempts}")
        resets = [line for line in self.entry.get_ready("/metrics").body.splitlines() if line.startswith("stagepost_upstream_connections_ended_total") and 'end="reset"' in line]
        self.assertEqual(sum(float(line.rpartition(" ")[2]) for line in resets), 1)

    def test_answered_by_another_upstream(self):
        self.start(2)
        self.proxies[0].hold()
        begun = time.monotonic()
        while self.proxies[0].accepted < 3 and time.monotonic() < begun + OUTAGE_SECONDS / 2:
            self.assertEqual(self.call("/lookup/x").status, 200)
        answered_elsewhere = set(self.ids_at(self.upstreams[1]))
        time.sleep(OUTAGE_SECONDS + SETTLE_SECONDS)
        self.assertGreaterEqual(self.proxies[0].resets, 1, "no request was given up")
        late = [one["headers"]["x-attempt-id"] for one in self.upstreams[0].requests if one["at"] > begun + OUTAGE_SECONDS]
        self.assertEqual([each for each in late if each in answered_elsewhere], [])

    def test_of_a_caller_that_left(self):
        self.start(1)
        self.proxies[0].hold()
        self.send_and_keep().close()
        self.check_nothing_arrives(f"attempt-{self.attempts}")

    def test_of_a_daemon_that_was_killed(self):
        self.start(1)
        self.proxies[0].hold()
        self.send_and_keep()
        self.entry.kill()
        self.check_nothing_arrives(f"attempt-{self.attempts}")

    def test_of_a_daemon_whose_drain_ends(self):
        self.start(1, "--drain-s", "1")
        self.proxies[0].hold()
        self.send_and_keep()
        self.entry.process.send_signal(signal.SIGTERM)
        self.entry.process.wait(PATIENCE)
        self.check_nothing_arrives(f"attempt-{self.attempts}")

    def test_a_request_that_has_arrived_is_not_torn_from_its_upstream(self):
        """The upstream has acknowledged it, so the connection ends normally, and the upstream reads all of it."""
        self.start(1)
        self.upstreams[0].fault = "mute"
        connection = self.send_and_keep()
        eventually(lambda: f"attempt-{self.attempts}" in self.ids_at(self.upstreams[0]), "arrived")
        connection.close()
        time.sleep(SETTLE_SECONDS)
        self.assertEqual(self.proxies[0].resets, 0)
        self.assertEqual(len(self.upstreams[0].requests[-1]["body"]), len(BODY))


if __name__ == "__main__":
    unittest.main()
