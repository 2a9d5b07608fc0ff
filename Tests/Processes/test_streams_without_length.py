"""Resumable streams that an upstream sends without a length, so that the end of its connection ends them.

Guards against cutting such a stream for its caller where another upstream could go on with it.
"""

import socket
import struct
import time
import unittest

from fleet import eventually
from platform_stand_ins import Store, Upstream
from test_platform import HOST, KEY, Entry, manifest, request

EVENTS = 6


def event(number):
    return f"id: {number}\ndata: word{number}\n\n".encode()


class UnframedUpstream(Upstream):
    """Sends its streams without a length. The next one is cut if `cuts` has a number of whole events, the bytes that follow
    them, and whether the connection is reset then; the list may be shared."""

    cuts = []

    def stream(self, connection, request, fault):
        first = int(request["headers"].get("last-event-id", 0)) + 1
        connection.sendall(self.head(request, 200, None, "Content-Type: text/event-stream\r\n"))
        if not self.cuts:
            connection.sendall(b"".join(map(event, range(first, EVENTS + 1))))
            return False
        whole, rest, is_reset = self.cuts.pop(0)
        connection.sendall(b"".join(map(event, range(first, first + whole))) + rest)
        if is_reset:
            # The reset must not overtake the events.
            time.sleep(0.1)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        return False


class StreamsWithoutLength(unittest.TestCase):
    def setUp(self):
        self.store = Store()
        self.addCleanup(self.store.stop)
        self.chats = [UnframedUpstream(f"chat-{number}", "chat") for number in (1, 2)]
        self.cuts = []
        for chat in self.chats:
            self.addCleanup(chat.stop)
            chat.cuts = self.cuts
            self.store.put("keyed.servers", chat.instance, chat.record())
        self.store.put("keyed.op", "config", manifest(3))
        self.entry = Entry(self.store, "--retry-ratio", "2")
        self.addCleanup(self.entry.stop)
        eventually(self.entry.is_ready, "ready")

    def check_taken_up(self, whole, rest, is_reset):
        self.cuts.append((whole, rest, is_reset))
        reply = request(self.entry.endpoint, "POST", "/stream/again/x", None, {"Host": HOST, "X-Attempt-Id": "attempt-1", "X-Deadline-Ms": "1500", "X-Api-Key": KEY})
        self.assertEqual((reply.status, reply.headers["X-Test-Broken"], reply.body), (200, None, b"".join(map(event, range(1, EVENTS + 1))).decode()))
        self.assertEqual([len(chat.runs()) for chat in self.chats], [1, 1])
        self.assertFalse(self.cuts)

    def test_reset_inside_an_event(self):
        self.check_taken_up(2, b"id: 3\ndat", True)

    def test_reset_between_events(self):
        self.check_taken_up(2, b"", True)

    def test_reset_before_the_first_event(self):
        self.check_taken_up(0, b"", True)

    def test_end_inside_an_event(self):
        self.check_taken_up(2, b"id: 3\ndat", False)

    def test_end_before_the_first_event(self):
        self.check_taken_up(0, b"", False)

    def test_foreign_bytes_between_events(self):
        self.check_taken_up(2, b"HTTP/1.1 200 OK\r\n\r\n", False)

    def test_foreign_bytes_inside_an_event(self):
        self.check_taken_up(2, b"id: 3\ndat\0\1", True)


if __name__ == "__main__":
    unittest.main()
