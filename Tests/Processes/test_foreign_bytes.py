"""Upstreams that send bytes which belong to no request, in the middle of a stream.

Guards against foreign bytes of an upstream that reach callers as an event of their stream.
"""

import collections
import re
import threading
import unittest

from fleet import eventually
from platform_stand_ins import Store, Upstream
from test_platform import HOST, KEY, Entry, manifest
from test_truncated_heads import call

EVENTS = 5
ROUTES = ("/stream/again/", "/stream/once/")
FRAMINGS = ("chunks", "connection")


def event(number):
    return f"id: {number}\ndata: word{number}\n\n".encode()


def events(first, last=EVENTS):
    return b"".join(event(number) for number in range(first, last + 1))


SECOND_ANSWER = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: another\r\nX-Response-Signature: by-another\r\nContent-Length: 5\r\n\r\nwords"

# What an upstream sends between its second event and its third.
FOREIGN = {
    "second answer": SECOND_ANSWER + b"\n\n",
    "second answer in an event": b"id: 3\ndata: wo" + SECOND_ANSWER + b"\n\n",
    "binary bytes": bytes(range(0x80, 0xc0)) + b"\x00\x01\n\n",
    "a line of text": b"some words\n\n",
    "no id": b"data: word3\n\n",
    "empty id": b"id:\ndata: word3\n\n",
    "an id that is a word": b"id: three\ndata: word3\n\n",
    "an id that begins as a number": b"id: 3zq\ndata: word3\n\n",
    "an id beyond 64 bits": b"id: 18446744073709551616\ndata: word3\n\n",
    "the largest id": b"id: 18446744073709551615\ndata: word3\n\n",
    "two ids": b"id: 3\nid: 9\ndata: word3\n\n",
    "an event left out": event(4),
    "a zero byte": b"id: 3\ndata: wo\0rd3\n\n",
    "invalid UTF-8": b"id: 3\ndata: wo\xffrd3\n\n",
    "a line without an end of its event": b"data: word3\n",
    "an unknown field": b"id: 3\ntext: x\ndata: word3\n\n",
    "the first event again": event(1),
}


class ForeignBytesUpstream(Upstream):
    """Its first answer to a stream is spoiled as `spoiled` says, and later ones are sound."""

    # The body, and whether it goes on with the end of its framing.
    spoiled = (events(1), True)
    content_type = "text/event-stream"
    framing = "chunks"
    # Answers the first send with an error whose body is cut.
    large_error = False
    has_no_content = False

    def stream(self, connection, request, fault):
        first = int(request["headers"].get("last-event-id", 0)) + 1
        is_spoiled = "x-test-spoiled" in request["headers"] and first == 1 and self.claim(request)
        if self.large_error and is_spoiled:
            connection.sendall(self.head(request, 404, 70106, "Content-Type: text/plain\r\n") + b"x" * 70000)
            return False
        if self.has_no_content:
            connection.sendall(self.head(request, 204, None))
            return True
        body, has_end = self.spoiled if is_spoiled else (events(first), True)
        content_type = self.content_type if is_spoiled else "text/event-stream"
        framing = "Transfer-Encoding: chunked\r\n" if self.framing == "chunks" else ""
        request["spoiled"] = is_spoiled
        connection.sendall(self.head(request, 200, None, f"Content-Type: {content_type}\r\n{framing}"))
        if self.framing == "chunks":
            body = (b"%x\r\n%s\r\n" % (len(body), body) if body else b"") + (b"0\r\n\r\n" if has_end else b"")
        connection.sendall(body)
        return self.framing == "chunks" and has_end

    def claim(self, request):
        """Whether this is the first send of the request to any upstream."""
        with self.lock_of_all:
            is_first = request["headers"]["x-attempt-id"] not in self.seen
            self.seen.add(request["headers"]["x-attempt-id"])
            return is_first


def dechunk(body):
    """Returns the body without its framing. One that was sent with a length has none."""
    content = b""
    if not re.match(rb"[0-9a-f]+\r\n", body):
        return body
    while body:
        size, _, rest = body.partition(b"\r\n")
        size = int(size, 16)
        content += rest[:size]
        body = rest[size + 2:]
    return content


class ForeignBytes(unittest.TestCase):
    def setUp(self):
        self.store = Store()
        self.addCleanup(self.store.stop)
        self.upstreams = [ForeignBytesUpstream(f"chat-{number}", "chat", slots=64) for number in range(3)]
        seen, lock = set(), threading.Lock()
        for upstream in self.upstreams:
            upstream.seen, upstream.lock_of_all = seen, lock
            self.addCleanup(upstream.stop)
            self.store.put("keyed.servers", upstream.instance, upstream.record())
        self.store.put("keyed.op", "config", manifest(3))
        self.entry = Entry(self.store, "--retry-ratio", "2", "--retry-slack", "100000")
        self.addCleanup(self.entry.stop)
        eventually(self.entry.is_ready, "ready")
        eventually(lambda: any("event=peers" in line for line in self.entry.lines), "registered")
        self.attempts = 0
        self.seen = collections.Counter()
        self.failures = []

    def spoil(self, body, has_end=True, content_type="text/event-stream"):
        for upstream in self.upstreams:
            upstream.spoiled, upstream.content_type = (body, has_end), content_type

    def read(self, path, version, **headers):
        """Returns the status, whether the answer looks whole, and the body without its framing."""
        self.attempts += 1
        fields = {"Host": HOST, "X-Attempt-Id": f"attempt-{self.attempts}", "X-Deadline-Ms": "1500", "X-Api-Key": KEY, "X-Test-Spoiled": "1", "Content-Length": "0",
                  **{name.replace("_", "-"): value for name, value in headers.items()}}
        fields = {name: value for name, value in fields.items() if value is not None}
        status, is_whole, body = call(self.entry.endpoint, "POST", f"{path}{self.attempts}", version, fields)
        return status, is_whole, dechunk(body) if version == "1.1" and status == 200 else body

    def serve_others(self):
        """Sound answers between the spoiled ones, without which the upstreams would count as failed."""
        for path in ROUTES:
            self.assertEqual(self.read(path, "1.1", X_Test_Spoiled=None), (200, True, events(1)))

    def check(self, name, sound, path, answer):
        """The stream goes on elsewhere after its last sound event if it may, and else it is visibly cut."""
        status, is_whole, body = answer
        expected = (200, True, events(1)) if path == "/stream/again/" else (200, False, sound) if sound else None
        is_right = answer == expected if expected else status in (502, 504) and b"word" not in body
        self.seen["right" if is_right else "wrong"] += 1
        if not is_right:
            self.failures.append((name, path, answer))
        self.serve_others()

    def check_all(self, name, foreign, sound, has_end=True, versions=("1.1", "1.0"), content_type="text/event-stream"):
        for framing in FRAMINGS:
            for upstream in self.upstreams:
                upstream.framing = framing
            for path in ROUTES:
                for version in versions:
                    self.spoil(foreign, has_end, content_type)
                    self.check((name, framing, version), sound, path, self.read(path, version))

    def finish(self):
        print(f"{self.id()}: {dict(self.seen)}", flush=True)
        self.assertFalse(self.failures, "\n".join(map(repr, self.failures[:12])))
        self.assertGreater(self.seen["right"], 0)

    def test_sound_streams_are_passed_on_whole(self):
        for framing in FRAMINGS:
            for upstream in self.upstreams:
                upstream.framing = framing
            for path in ROUTES:
                for version in ("1.1", "1.0"):
                    self.spoil(events(1))
                    self.assertEqual(self.read(path, version), (200, True, events(1)))

    def test_foreign_bytes_between_events_reach_no_caller(self):
        for name, foreign in FOREIGN.items():
            self.check_all(name, events(1, 2) + foreign + events(3), events(1, 2))
        self.finish()

    def test_foreign_bytes_instead_of_the_first_event_reach_no_caller(self):
        for name, foreign in FOREIGN.items():
            if name != "the first event again":
                self.check_all(name, foreign + events(1), b"")
        self.finish()

    def test_foreign_bytes_behind_the_last_event_reach_no_caller(self):
        """A stream that is taken up after its last event ends at once. Without framing, that is no proof that it is whole."""
        for framing in FRAMINGS:
            for upstream in self.upstreams:
                upstream.framing = framing
            for name in (name for name in FOREIGN if "event" not in name):
                for path in ROUTES:
                    self.spoil(events(1) + FOREIGN[name])
                    answer = self.read(path, "1.1")
                    if framing == "connection" and path == "/stream/again/":
                        self.assertEqual(answer, (200, False, events(1)), name)
                    else:
                        self.check((name, framing), events(1), path, answer)
        self.finish()

    def test_foreign_bytes_at_every_byte_reach_no_caller(self):
        """Nothing tells where the text of an event ends, so foreign bytes inside it must themselves be no event's."""
        whole = events(1, 3)
        for at in range(1, len(whole) + 1):
            for name in ("second answer", "binary bytes"):
                before = whole[:at]
                sound = before[:before.rfind(b"\n\n") + 2] if b"\n\n" in before else b""
                for upstream in self.upstreams:
                    upstream.framing = FRAMINGS[at % 2]
                path = ROUTES[at // 2 % 2]
                self.spoil(before + FOREIGN[name], has_end=at % 3 != 0)
                self.check((name, at), sound, path, self.read(path, ("1.0", "1.1")[at // 4 % 2]))
        self.finish()

    def test_two_answers_are_not_joined(self):
        """An error answer that is too large to be held back is cut, and another upstream would answer with the stream."""
        for upstream in self.upstreams:
            upstream.large_error = True
        status, is_whole, body = self.read("/stream/again/", "1.1")
        self.assertEqual((status, is_whole), (404, False))
        self.assertNotIn(b"word", body)

    def test_an_answer_without_a_body_is_sound(self):
        for upstream in self.upstreams:
            upstream.has_no_content = True
        for path in ROUTES:
            self.assertEqual(self.read(path, "1.1"), (204, True, b""))

    def test_a_last_event_id_of_another_form_is_not_passed_on(self):
        """Upstreams may read it otherwise, and begin the stream elsewhere, for which they would be blamed."""
        for value in ("+2", "1_0", "99999999999999999999", "two"):
            for path in ROUTES:
                self.assertEqual(self.read(path, "1.1", X_Test_Spoiled=None, Last_Event_Id=value), (200, True, events(1)), value)

    def test_an_answer_of_another_type_is_no_event_stream(self):
        for content_type in ("text/plain", "application/json", "text/event-streams"):
            self.check_all(content_type, events(1), b"", content_type=content_type)
        self.finish()


if __name__ == "__main__":
    unittest.main()
