"""Upstreams whose answers go on without end, or end with their connection.

Guards against a daemon that reads bytes without a bound: a chunk extension without end took 541 MB and a processor until
the deadline. Callers who send such a request are the same case.
"""

import os
import socket
import threading
import time
import unittest

from fleet import PATIENCE, eventually
from platform_stand_ins import Store, Upstream
from test_platform import HOST, KEY, Entry, manifest, request

# What a daemon may read of an answer that makes no progress, and how much its memory may grow by all of them.
MAX_BYTES, MAX_GROWTH_BYTES = 4 << 20, 24 << 20
# Such an answer is given up once its bound is reached, well before the deadline.
DEADLINE_SECONDS, MAX_SECONDS = 4.0, 2.0
BLOCK = b"x" * 65536


class EndlessUpstream(Upstream):
    """Begins its answers with the given bytes, and goes on with others until the connection is closed."""

    def __init__(self, *arguments):
        self.begin, self.block = lambda request: b"", BLOCK
        self.sent = 0
        self.is_endless = False
        super().__init__(*arguments)

    def plain(self, connection, request, fault):
        return self.send_endlessly(connection, request) if self.is_endless else super().plain(connection, request, fault)

    def stream(self, connection, request, fault):
        return self.send_endlessly(connection, request) if self.is_endless else super().stream(connection, request, fault)

    def send_endlessly(self, connection, request):
        try:
            connection.sendall(self.begin(request))
            until = time.monotonic() + DEADLINE_SECONDS + 1
            while self.block and time.monotonic() < until:
                self.sent += connection.send(self.block)
        except OSError:
            pass  # the daemon has closed the connection
        return False


def resident_bytes(entry):
    with open(f"/proc/{entry.process.pid}/statm") as statm:
        return int(statm.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


class EndlessAnswers(unittest.TestCase):
    def setUp(self):
        self.store = Store()
        self.addCleanup(self.store.stop)
        self.upstreams = [EndlessUpstream(f"{service}-1", service) for service in ("book", "chat")]
        for upstream in self.upstreams:
            self.addCleanup(upstream.stop)
            self.store.put("keyed.servers", upstream.instance, upstream.record())
        self.store.put("keyed.op", "config", manifest(3))
        self.entry = Entry(self.store)
        self.addCleanup(self.entry.stop)
        eventually(self.entry.is_ready, "ready")
        self.attempts = 0

    def call(self, path, body=None):
        self.attempts += 1
        fields = {"Host": HOST, "X-Attempt-Id": f"attempt-{self.attempts}", "X-Deadline-Ms": str(int(1000 * DEADLINE_SECONDS)), "X-Api-Key": KEY}
        return request(self.entry.endpoint, "POST" if body else "GET", path, body, fields)

    def check_given_up(self, path, begin, block, callers=4):
        book, chat = self.upstreams
        upstream = chat if path.startswith("/stream/") else book
        upstream.begin, upstream.block = lambda answered: begin(upstream, answered), block
        upstream.is_endless = True
        before = resident_bytes(self.entry)
        replies, most = [], [before]
        started = time.monotonic()
        threads = [threading.Thread(target=lambda: replies.append((self.call(path), time.monotonic() - started))) for _ in range(callers)]
        for thread in threads:
            thread.start()
        while any(thread.is_alive() for thread in threads):
            most[0] = max(most[0], resident_bytes(self.entry))
            time.sleep(0.005)
        for reply, took in replies:
            self.assertTrue(reply.status in (502, 503) or reply.headers["X-Test-Broken"], reply)
            self.assertLess(took, MAX_SECONDS)
        self.assertLess(upstream.sent, 3 * callers * MAX_BYTES)
        self.assertLess(most[0] - before, MAX_GROWTH_BYTES)
        upstream.is_endless = False
        other = "/lookup/x" if upstream is book else "/stream/once/x"
        self.assertEqual(eventually(lambda: (reply := self.call(other)).status == 200 and reply, "the daemon serves").status, 200)

    def test_header_line_without_end(self):
        self.check_given_up("/lookup/x", lambda upstream, answered: b"HTTP/1.1 200 OK\r\nX-Long: ", BLOCK)

    def test_head_without_end(self):
        self.check_given_up("/lookup/x", lambda upstream, answered: b"HTTP/1.1 200 OK\r\n", b"X-Field: x\r\n" * 4096)

    def test_interim_heads_without_end(self):
        self.check_given_up("/lookup/x", lambda upstream, answered: b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2048)

    def test_bytes_that_are_no_answer(self):
        self.check_given_up("/lookup/x", lambda upstream, answered: b"", BLOCK)

    def test_chunk_extension_without_end(self):
        self.check_given_up("/lookup/x", lambda upstream, answered: upstream.head(answered, 200, None, "Transfer-Encoding: chunked\r\n") + b"5;", BLOCK)

    def test_chunk_size_without_end(self):
        self.check_given_up("/lookup/x", lambda upstream, answered: upstream.head(answered, 200, None, "Transfer-Encoding: chunked\r\n"), b"0" * 65536)

    def test_trailers_without_end(self):
        self.check_given_up("/lookup/x", lambda upstream, answered: upstream.head(answered, 200, None, "Transfer-Encoding: chunked\r\n") + b"5\r\nhello\r\n0\r\n",
                            b"X-Trailer: x\r\n" * 4096)

    def test_event_without_end(self):
        self.check_given_up("/stream/once/x", lambda upstream, answered: upstream.head(answered, 200, None, "Content-Type: text/event-stream\r\n") + b"data: ", BLOCK)

    def answer_with(self, *events):
        """Answers streams with the events, and ends them with their connection."""
        chat = self.upstreams[1]
        chat.begin = lambda answered: chat.head(answered, 200, None, "Content-Type: text/event-stream\r\n") + b"".join(events)
        chat.is_endless, chat.block = True, b""
        return self.call("/stream/once/x")

    def test_stream_that_ends_with_its_connection(self):
        reply = self.answer_with(b"id: 1\ndata: a\n\n", b"id: 2\ndata: b\n\n")
        self.assertEqual((reply.status, reply.headers["X-Test-Broken"], reply.body), (200, None, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"))

    def test_stream_that_ends_with_its_connection_inside_an_event(self):
        reply = self.answer_with(b"id: 1\ndata: a\n\n", b"id: 2\ndat")
        self.assertTrue(reply.headers["X-Test-Broken"])

    def test_stream_that_ends_with_its_connection_before_its_first_event(self):
        self.assertEqual(self.answer_with().status, 502)

    def test_chunk_extension_of_a_caller_without_end(self):
        host, port = self.entry.endpoint.rsplit(":", 1)
        before = resident_bytes(self.entry)
        sent = 0
        with socket.create_connection((host, int(port)), timeout=PATIENCE) as connection:
            connection.sendall(f"POST /lookup/x HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: endless\r\nX-Api-Key: {KEY}\r\nTransfer-Encoding: chunked\r\n\r\n5;".encode())
            started = time.monotonic()
            try:
                while time.monotonic() - started < MAX_SECONDS:
                    sent += connection.send(BLOCK)
                    self.assertLess(resident_bytes(self.entry) - before, MAX_GROWTH_BYTES)
            except OSError:
                pass  # closed by the daemon
        self.assertLess(time.monotonic() - started, MAX_SECONDS)
        self.assertLess(sent, 2 * MAX_BYTES)


if __name__ == "__main__":
    unittest.main()
