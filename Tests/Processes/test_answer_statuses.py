"""Answers of upstreams in trouble whose status HTTP has not (RFC 9110, section 15: 100 to 599).

Guards against such a status that reaches a caller, and against one below 100 that is taken for an interim answer, so that
its body is read as the answer of a sound upstream, or the caller waits for it until its time is up.
"""

import collections
import itertools
import time
import unittest

from fleet import eventually
from platform_stand_ins import Store, Upstream
from test_platform import HOST, KEY, Entry, manifest
from test_truncated_heads import call

STATUSES = ("000", "001", "050", "099", "600", "601", "999")
FRAMINGS = ("length", "chunks", "connection", "empty", "an answer")
ROUTES = ("/lookup/", "/confirm/", "/stream/again/", "/stream/once/")
MAX_WAIT_S = 1.0


class StatusUpstream(Upstream):
    """Answers to requests with X-Test-Spoiled have the status, a signature and the request's id."""

    status, framing = "200", "length"
    spoiled = 0

    def serve_one(self, connection, reader):
        request = self.read_head(reader)
        if not request:
            return False
        request["body"] = reader.read(int(request["headers"].get("content-length", 0)))
        if "x-test-spoiled" not in request["headers"]:
            return super().stream(connection, request, None) if request["target"].startswith("/stream/") else super().plain(connection, request, None)
        self.spoiled += 1
        identifier = request["headers"]["x-attempt-id"]
        signed = f"X-Attempt-Id: {identifier}\r\nX-Response-Signature: by-{self.instance}\r\n"
        content_type = "Content-Type: text/event-stream\r\n" if request["target"].startswith("/stream/") else ""
        inner = f"HTTP/1.1 200 OK\r\n{signed}{content_type}Content-Length: 22\r\n\r\nid: 1\ndata: foreign\n\n\n\n"
        body = {"length": "Content-Length: 5\r\n\r\nwords", "chunks": "Transfer-Encoding: chunked\r\n\r\n5\r\nwords\r\n0\r\n\r\n",
                "connection": "\r\nwords", "empty": "\r\n", "an answer": f"\r\n{inner}"}[self.framing]
        connection.sendall(f"HTTP/1.1 {self.status} X\r\n{signed}{content_type}{body}".encode())
        # An empty body on an open connection says nothing of its end.
        return self.framing in ("length", "chunks", "empty", "an answer")


class AnswerStatuses(unittest.TestCase):
    def test_a_status_that_http_has_not_reaches_no_caller(self):
        store = Store()
        self.addCleanup(store.stop)
        upstreams = [StatusUpstream(f"{service}-{number}", service, slots=64) for service in ("book", "chat") for number in range(3)]
        for upstream in upstreams:
            self.addCleanup(upstream.stop)
            store.put("keyed.servers", upstream.instance, upstream.record())
        store.put("keyed.op", "config", manifest(3))
        entry = Entry(store, "--retry-ratio", "2", "--retry-slack", "100000")
        self.addCleanup(entry.stop)
        eventually(entry.is_ready, "ready")
        seen = collections.Counter()
        for number, (status, framing, path, version) in enumerate(itertools.product(STATUSES, FRAMINGS, ROUTES, ("1.1", "1.0"))):
            for upstream in upstreams:
                upstream.status, upstream.framing = status, framing
            fields = {"Host": HOST, "X-Deadline-Ms": "2000", "X-Api-Key": KEY, "Content-Length": "0"}
            for sound in range(3):
                # Upstreams whose every answer is spoiled would get no more requests.
                self.assertEqual(call(entry.endpoint, "POST", f"{path}{number}", version, {**fields, "X-Attempt-Id": f"sound-{sound}-{number}"})[0], 200)
            begin = time.monotonic()
            got, _, body = call(entry.endpoint, "POST", f"{path}{number}", version, {**fields, "X-Attempt-Id": f"attempt-{number}", "X-Test-Spoiled": "1"})
            is_refused = got in (502, 503) and b"words" not in body and b"data: foreign" not in body
            is_soon = time.monotonic() - begin < MAX_WAIT_S
            seen["refused" if is_refused and is_soon else f"{status} {framing} {path} HTTP/{version}: {got} after {time.monotonic() - begin:.1f} s"] += 1
        sent = sum(upstream.spoiled for upstream in upstreams)
        print(f"{self.id()}: {seen['refused']} of {sum(seen.values())} refused soon, {sent} spoiled answers", flush=True)
        self.assertGreaterEqual(sent, sum(seen.values()))
        del seen["refused"]
        self.assertFalse(seen, "\n".join(seen))


if __name__ == "__main__":
    unittest.main()
