"""Upstreams whose events have ids that rise, which is all that the platform's protocol says of them.

Guards against streams that are refused or cut, since their ids don't count the events; and against foreign events that
reach callers of upstreams whose ids do, when the daemon has just started and can't know that yet.
"""

import collections
import itertools
import socket
import struct
import threading
import unittest

from fleet import eventually
from platform_stand_ins import Store, Upstream
from test_platform import HOST, KEY, Entry, manifest
from test_foreign_bytes import dechunk
from test_truncated_heads import call

EVENTS = 6
LARGEST = 2**64 - 1
# The ids of the events of a stream.
NUMBERINGS = {
    "one by one": [1, 2, 3, 4, 5, 6],
    "by tokens": [7, 14, 21, 28, 35, 42],
    "from 0 on": [0, 1, 2, 3, 4, 5],
    "from 0 with gaps": [0, 7, 8, 30, 31, 50],
    "one by one with a gap": [1, 2, 9, 10, 11, 12],
    "with a gap before the last": [1, 2, 3, 4, 5, 9],
    "unevenly": [1, 2, 4, 5, 9, 10],
    "one by one from a large one on": [1000, 1001, 1002, 1003, 1004, 1005],
    "up to the largest": [LARGEST - 70, LARGEST - 60, LARGEST - 59, LARGEST - 9, LARGEST - 1, LARGEST],
}
ROUTES = ("/stream/again/", "/stream/once/")
FRAMINGS = ("chunks", "connection")
VERSIONS = ("1.1", "1.0")


def event(identifier):
    return f"id: {identifier}\ndata: word{identifier}\n\n".encode()


class NumberingUpstream(Upstream):
    numbering = NUMBERINGS["one by one"]
    framing = "chunks"

    def stream(self, connection, request, fault):
        last = request["headers"].get("last-event-id")
        identifiers = [each for each in self.numbering if last is None or each > int(last)]
        chunked = self.framing == "chunks"
        connection.sendall(self.head(request, 200, None, "Content-Type: text/event-stream\r\n" + ("Transfer-Encoding: chunked\r\n" if chunked else "")))
        breaks = "x-test-break" in request["headers"] and self.claim(request)
        foreign = bytes.fromhex(request["headers"].get("x-test-foreign", "")) if self.claim(request, "foreign") else b""
        for number, identifier in enumerate(identifiers):
            data = (foreign if number == 2 else b"") + event(identifier)
            connection.sendall(b"%x\r\n%s\r\n" % (len(data), data) if chunked else data)
            self.pause_after_event(request)
            if breaks and number == 1:
                if not chunked:
                    # Without a reset, such an answer would be whole.
                    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                    self.released.wait(0.02)
                return False
        if chunked:
            connection.sendall(b"0\r\n\r\n")
        return chunked

    def claim(self, request, what="break"):
        """Whether this is the first send of the request to any upstream."""
        with self.lock_of_all:
            key = what, request["headers"]["x-attempt-id"]
            is_first = key not in self.seen
            self.seen.add(key)
            return is_first


class RisingIds(unittest.TestCase):
    def setUp(self):
        self.store = Store()
        self.addCleanup(self.store.stop)
        self.upstreams = []
        seen, lock = set(), threading.Lock()
        for number in range(3):
            upstream = NumberingUpstream(f"chat-{number}", "chat", slots=64)
            upstream.seen, upstream.lock_of_all, upstream.event_pause = seen, lock, 0.005
            self.addCleanup(upstream.stop)
            self.upstreams.append(upstream)
            self.store.put("keyed.servers", upstream.instance, upstream.record())
        self.store.put("keyed.op", "config", manifest(3))
        self.attempts = 0
        self.entry = None

    def restart(self, **fields):
        """Starts a daemon that knows nothing of the upstreams' numbering."""
        for upstream in self.upstreams:
            for name, value in fields.items():
                setattr(upstream, name, value)
        if self.entry:
            self.entry.stop()
        self.entry = Entry(self.store, "--retry-ratio", "2", "--retry-slack", "100000")
        self.addCleanup(self.entry.stop)
        eventually(self.entry.is_ready, "ready")
        eventually(lambda: any("event=peers" in line for line in self.entry.lines), "registered")

    def read(self, path, version, **headers):
        self.attempts += 1
        fields = {"Host": HOST, "X-Attempt-Id": f"attempt-{self.attempts}", "X-Deadline-Ms": "2000", "X-Api-Key": KEY, "Content-Length": "0",
                  **{name.replace("_", "-"): value for name, value in headers.items()}}
        status, is_whole, body = call(self.entry.endpoint, "POST", f"{path}{self.attempts}", version, fields)
        return status, is_whole, dechunk(body) if version == "1.1" and status == 200 else body

    def test_streams_with_rising_ids_are_served(self):
        seen = collections.Counter()
        for (name, numbering), framing in itertools.product(NUMBERINGS.items(), FRAMINGS):
            whole = b"".join(map(event, numbering))
            rest = b"".join(map(event, numbering[3:]))
            self.restart(numbering=numbering, framing=framing)
            for _, path, version in itertools.product(range(3), ROUTES, VERSIONS):
                plays = {"whole": (self.read(path, version), whole), "taken up": (self.read(path, version, Last_Event_Id=str(numbering[2])), rest)}
                if path == "/stream/again/":
                    plays["broken off"] = (self.read(path, version, X_Test_Break="1"), whole)
                for play, (answer, expected) in plays.items():
                    is_right = answer == (200, True, expected)
                    seen["right" if is_right else f"{name}, {framing}, {path} HTTP/{version}, {play}: {answer}"] += 1
        print(f"{self.id()}: {seen['right']} of {sum(seen.values())} streams are right", flush=True)
        del seen["right"]
        self.assertFalse(seen, "\n".join(seen))

    def check_foreign(self, foreign_events, first_streams, events=(1, 2)):
        seen = collections.Counter()
        sound, whole = b"".join(map(event, events)), b"".join(map(event, NUMBERINGS["one by one"]))
        for foreign, framing, path, version in itertools.product(foreign_events, FRAMINGS, ROUTES, VERSIONS):
            self.restart(numbering=NUMBERINGS["one by one"], framing=framing)
            for _ in range(first_streams):
                self.assertEqual(self.read(path, version), (200, True, whole))
            answer = self.read(path, version, X_Test_Foreign=foreign.hex())
            expected = (200, True, whole) if path == "/stream/again/" else (200, False, sound)
            seen["right" if answer == expected else f"{foreign} {framing} {path} HTTP/{version}: {answer}"] += 1
        print(f"{self.id()}: {seen['right']} of {sum(seen.values())} spoiled streams are right", flush=True)
        del seen["right"]
        self.assertFalse(seen, "\n".join(seen))

    def test_a_foreign_event_in_the_first_stream_after_a_start_reaches_no_caller(self):
        self.check_foreign([event(4), event(LARGEST), event(77) + event(78)], 0)

    def test_foreign_events_of_another_stream_reach_no_caller_once_ids_are_known_to_count(self):
        self.check_foreign([b"".join(map(event, range(40, 60)))], 8)

    def test_events_are_not_held_back_once_the_numbering_is_known(self):
        numbering = NUMBERINGS["by tokens"]
        self.restart(numbering=numbering, framing="chunks")
        for _ in range(8):
            self.read("/stream/once/", "1.1")
        eventually(lambda: any("event=event-numbering" in line and "numbering=rising" in line for line in self.entry.lines), "the numbering is known")
        self.assertEqual(self.read("/stream/once/", "1.1", X_Test_Break="1"), (200, False, b"".join(map(event, numbering[:2]))))


if __name__ == "__main__":
    unittest.main()
