"""Crowds of clients that don't behave, and what a daemon may hold for them.

The tests check that a daemon lives, how much memory and how many descriptors it has, and that it answers an ordinary
request while the crowd is still there. They check no times and no share of answered requests.
"""

import contextlib
import os
import resource
import socket
import threading
import time

from fleet import PATIENCE

MEGABYTE = 1 << 20
# The memory of the tests' machine, and the part of it that the daemon's settings grant to clients.
MACHINE_MEMORY = 64 * MEGABYTE
CLIENT_MEMORY_MB = 24
ENVIRONMENT = {"STAGEPOST_CLIENT_MEMORY_MB": str(CLIENT_MEMORY_MB)}
# The largest legal body, which a crowd of this size sends at once: three times the memory of the machine.
MAX_BODY = MEGABYTE
CALLERS = 200
# The descriptors of a machine on which connections are many, and how many connections its crowd opens.
MACHINE_DESCRIPTORS = 300
IDLE_CONNECTIONS = 600
# No caller of a crowd waits longer for a daemon that doesn't read.
SEND_SECONDS = 10
SAMPLE_SECONDS = 0.02
QUIET_SAMPLES = 25
# The state of an open connection in the kernel's table.
CONNECTED = "01"


def connect(endpoint):
    host, port = endpoint.rsplit(":", 1)
    connection = socket.create_connection((host, int(port)), timeout=SEND_SECONDS)
    connection.settimeout(SEND_SECONDS)
    return connection


class Crowd:
    """Runs a script for each caller, all at once. Their connections stay open until the crowd leaves."""

    def __init__(self, endpoint, callers, script):
        self.endpoint, self.script = endpoint, script
        self.connections = []
        self.is_leaving = False
        self.threads = [threading.Thread(target=self.run, args=(number,), daemon=True) for number in range(callers)]
        for thread in self.threads:
            thread.start()

    def connect(self):
        connection = connect(self.endpoint)
        self.connections.append(connection)
        return connection

    def run(self, number):
        # A daemon may close such a connection, or not accept it.
        with contextlib.suppress(OSError):
            self.script(self, number)

    def wait(self):
        for thread in self.threads:
            thread.join(PATIENCE)

    def leave(self):
        self.is_leaving = True
        for connection in self.connections:
            connection.close()
        self.wait()


class Usage:
    """Watches the memory of a daemon, with the bytes that its sockets have received and it has not read, and its descriptors."""

    def __init__(self, daemon, endpoints):
        self.pid = daemon.process.pid
        self.ports = {int(endpoint.rsplit(":", 1)[1]) for endpoint in endpoints}
        self.peak_memory = self.peak_descriptors = 0
        self.is_over = threading.Event()
        self.thread = threading.Thread(target=self.watch, daemon=True)
        self.thread.start()

    def watch(self):
        while not self.is_over.wait(SAMPLE_SECONDS):
            self.sample()

    def sample(self):
        # A daemon that has ended has no memory; its test fails by that.
        with contextlib.suppress(OSError, IndexError, ValueError):
            with open(f"/proc/{self.pid}/statm", encoding="ascii") as statm:
                resident = int(statm.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")
            self.peak_memory = max(self.peak_memory, resident + self.unread_bytes())
            self.peak_descriptors = max(self.peak_descriptors, len(os.listdir(f"/proc/{self.pid}/fd")))

    def unread_bytes(self):
        return sum(unread for is_daemons, unsent, unread in self.connections() if is_daemons)

    def connections(self):
        """Yields whether the connection's end is the daemon's, and the bytes that this end has yet to send and to read."""
        with open("/proc/net/tcp", encoding="ascii") as table:
            next(table)
            for row in table:
                fields = row.split()
                ports = [int(address.split(":")[1], 16) for address in fields[1:3]]
                if fields[3] == CONNECTED and self.ports.intersection(ports):
                    unsent, unread = (int(size, 16) for size in fields[4].split(":"))
                    yield ports[0] in self.ports, unsent, unread

    def settle(self):
        """Waits until nothing more moves between the clients and the daemon."""
        end, state, quiet = time.monotonic() + PATIENCE, None, 0
        while quiet < QUIET_SAMPLES and time.monotonic() < end:
            before, state = state, sorted(self.connections())
            quiet = quiet + 1 if state == before else 0
            time.sleep(SAMPLE_SECONDS)

    def stop(self):
        self.is_over.set()
        self.thread.join()


@contextlib.contextmanager
def descriptor_limit(limit):
    """Daemons that are started within it may open that many descriptors."""
    before = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (limit, before[1]))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, before)


def eventually_answered(send, what):
    """Sends an ordinary request until it is answered; it may be refused before."""
    end = time.monotonic() + PATIENCE
    seen = None
    while time.monotonic() < end:
        try:
            seen = send().status
        except OSError as failure:
            seen = failure
        if seen == 200:
            return
        time.sleep(0.1)
    raise AssertionError(f"no answer to {what}: {seen}")


class CrowdChecks:
    """For test cases with a daemon in `entry` that `usage` watches. They say how to send an ordinary request with and without a
    large body, and the balancer's check."""

    def crowd(self, script, callers=CALLERS, endpoint=None):
        crowd = Crowd(endpoint or self.entry.endpoint, callers, script)
        self.addCleanup(crowd.leave)
        return crowd

    def check(self, *crowds):
        """Checks the daemon while the crowds are there, and once they have left."""
        for crowd in crowds:
            crowd.wait()
        self.usage.settle()
        eventually_answered(self.send_ordinary, "an ordinary request beside the crowd")
        eventually_answered(self.send_balancers_check, "the balancer's check")
        for crowd in crowds:
            crowd.leave()
        eventually_answered(self.send_ordinary_body, "an ordinary request after the crowd")
        self.usage.stop()
        self.assertIsNone(self.entry.process.poll(), "the daemon has ended")
        self.assertLess(self.usage.peak_memory / MEGABYTE, MACHINE_MEMORY / MEGABYTE, "MB of memory")


class DescriptorChecks(CrowdChecks):
    """For those whose clients open more connections than the process may. They say how to use a new configuration, which the
    daemon has to read from the platform."""

    MAX_DESCRIPTORS = MACHINE_DESCRIPTORS

    def check(self, *crowds):
        for crowd in crowds:
            crowd.wait()
        self.use_new_configuration()
        super().check(*crowds)
        self.assertLess(self.usage.peak_descriptors, MACHINE_DESCRIPTORS)
        self.assertFalse([line for line in self.entry.lines if "Too many open files" in line])


# The scripts of a crowd. `head` is a request's header without the fields that frame its body.


def with_length(head, length):
    return head + b"Content-Length: %d\r\n\r\n" % length


def chunked(head):
    return head + b"Transfer-Encoding: chunked\r\n\r\n"


def chunks(size, count):
    return b"%x\r\n%s\r\n" % (size, b"x" * size) * count


def send_all(data):
    """Sends it in one piece, and leaves the connection open."""
    return lambda crowd, number: crowd.connect().sendall(data)


def send_in_pieces(head, body, size, pause):
    def script(crowd, number):
        connection = crowd.connect()
        connection.sendall(head)
        for start in range(0, len(body), size):
            connection.sendall(body[start:start + size])
            time.sleep(pause)
    return script


def send_again(data, rounds):
    """Sends it on a new connection each time that the last one was closed or has taken all of it."""
    def script(crowd, number):
        for _ in range(rounds):
            with contextlib.suppress(OSError):
                crowd.connect().sendall(data)
    return script


def send_on_and_on(head, block, max_bytes):
    """Goes on with blocks of the same bytes, up to a bound."""
    def script(crowd, number):
        connection = crowd.connect()
        connection.sendall(head)
        for _ in range(max_bytes // len(block)):
            connection.sendall(block)
    return script


def send_after_answer(first, data):
    """Sends a request, reads the begin of its answer, and then the data."""
    def script(crowd, number):
        connection = crowd.connect()
        connection.sendall(first)
        connection.recv(65536)
        connection.sendall(data)
    return script


def open_many(data, count):
    """One caller with many connections, on each of which it sends the data."""
    def script(crowd, number):
        for _ in range(count):
            with contextlib.suppress(OSError):
                crowd.connect().sendall(data)
    return script
