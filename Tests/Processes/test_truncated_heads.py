"""Upstreams that stop within an answer, in its head above all, and close or reset the connection.

Guards against answers that look whole to callers although the upstream did not send them whole. Unit tests try every
byte (TestTruncatedHeads.cpp); here a seeded selection passes through whole daemons.
"""

import collections
import os
import random
import socket
import struct
import threading
import time
import unittest

from fleet import PATIENCE, TOKEN, Fleet, eventually, raw
from platform_stand_ins import Store, Upstream
from test_detours import FleetWithDetours
from test_lost_links import CuttableUpstream
from test_platform import HOST, KEY, Entry, manifest, route

SEED = int(os.environ.get("STAGEPOST_SEED", "1"))
CUTS_PER_PATH = 12
EVENTS = 3
REFUSALS = (409, 429, 500, 502, 503, 504)


class Truncating:
    """Breaks off the answers to requests that say so, in the way that their fields say.

    X-Test-Cut: the share of the head to send, or 1 plus that of the body, and "closed", "reset" or "held" (until it is released).
    X-Test-Answer: the framing ("length", "chunks" or "connection"), the content ("text" or "events"), the status and the version.
    """

    def __init__(self, *arguments, **options):
        self.held = threading.Event()
        super().__init__(*arguments, **options)

    def is_first_of_two(self, request):
        """Whether another upstream takes the stream up after its second event."""
        return "last-event-id" not in request["headers"] and "x-test-first" in request["headers"]

    def answer_bytes(self, request):
        """Returns the head and the framed body."""
        framing, content, status, version = request["headers"]["x-test-answer"].split()
        if self.is_first_of_two(request):
            framing, version = "chunks", "1.1"
        fields = "".join(f"{name}: {request['headers'][name.lower()]}\r\n" for name in ("X-Attempt-Id", "X-Request-Id") if name.lower() in request["headers"])
        fields += f"X-Response-Signature: by-{self.instance}\r\nContent-Type: {'text/event-stream' if content == 'events' else 'text/plain'}\r\n"
        first = int(request["headers"].get("last-event-id", 0)) + 1
        parts = [f"id: {number}\ndata: word{number}\n\n".encode() for number in range(first, EVENTS + 1)] if content == "events" else [b"some ", b"words"]
        body = b"".join(parts)
        if framing == "length":
            fields += f"Content-Length: {len(body)}\r\n"
        if framing == "chunks":
            fields += "Transfer-Encoding: chunked\r\n"
            body = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts) + b"0\r\n\r\n"
        if request["method"] == "HEAD" or status in ("204", "304"):
            body = b""
        return f"HTTP/{version} {status} X\r\n{fields}\r\n".encode(), body

    def truncated(self, connection, request):
        head, body = self.answer_bytes(request)
        share, end = request["headers"]["x-test-cut"].split()
        if self.is_first_of_two(request):
            connection.sendall(head + body[:body.find(b"id: 3")])
            return False
        # From 1 on, the rest is the share of the body.
        size = int(float(share) * len(head)) if float(share) < 1 else len(head) + int((float(share) - 1) * len(body))
        connection.sendall((head + body)[:size])
        request["cut"] = size
        if end == "held":
            self.held.set()
            self.released.wait(PATIENCE)
        if end == "reset":
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        return False

    def plain(self, connection, request, fault):
        return self.truncated(connection, request) if "x-test-cut" in request["headers"] else super().plain(connection, request, fault)

    def stream(self, connection, request, fault):
        return self.truncated(connection, request) if "x-test-cut" in request["headers"] else super().stream(connection, request, fault)


class TruncatingUpstream(Truncating, Upstream):
    pass


class CuttableTruncatingUpstream(Truncating, CuttableUpstream):
    pass


def read_answer(connection, method):
    """Returns the status, whether the answer looks whole, and its body."""
    received, is_reset = b"", False
    try:
        while (part := connection.recv(65536)):
            received += part
    except ConnectionResetError:
        is_reset = True
    head, separator, body = received.partition(b"\r\n\r\n")
    if not separator:
        return 0, False, b""
    lines = head.decode().split("\r\n")
    status = int(lines[0].split()[1])
    fields = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines[1:])}
    if method == "HEAD" or status in (204, 304):
        return status, True, b""
    if "content-length" in fields:
        size = int(fields["content-length"])
        return status, len(body) >= size, body[:size]
    if fields.get("transfer-encoding") == "chunked":
        return status, body.endswith(b"\r\n0\r\n\r\n") or body == b"0\r\n\r\n", body
    return status, not is_reset, body


def call(endpoint, method, path, version, fields):
    head = "".join(f"{name}: {value}\r\n" for name, value in {"Connection": "close", **fields}.items())
    with raw(endpoint) as connection:
        connection.sendall(f"{method} {path} HTTP/{version}\r\n{head}\r\n".encode())
        return read_answer(connection, method)


class Cuts:
    """Chooses cuts, and counts what callers got of them."""

    def __init__(self, test):
        self.test = test
        self.random = random.Random(f"{SEED}-{test.id()}")
        self.seen = collections.defaultdict(collections.Counter)

    def fields(self, number, framing, content, status=200, version="1.1", ends=("closed", "reset")):
        """The first two cuts are before the first byte and exactly at the end of the head."""
        end = self.random.choice(ends)
        share = 0.0 if number == 0 else 1.0 if number == 1 else self.random.uniform(0, 0.999) if self.random.random() < 0.7 else self.random.uniform(1, 1.9)
        if framing == "connection" and share >= 1:
            # A connection that is closed ends such an answer, which is whole then, unless it is a stream without events.
            end = "closed" if content == "events" and share == 1 else "reset"
        return {"X-Test-Cut": f"{share:.4f} {end}", "X-Test-Answer": f"{framing} {content} {status} {version}"}

    def check(self, name, answer, fields):
        status, is_whole, body = answer
        self.seen[name][f"{status or 'none'} {'whole' if is_whole else 'cut'}"] += 1
        self.test.assertTrue(not is_whole or status in REFUSALS, (name, answer, fields))

    def print(self, upstreams):
        reached = sum("cut" in request for upstream in upstreams for request in upstream.requests)
        for name, seen in self.seen.items():
            print(f"{name}: {sum(seen.values())} cuts, {dict(seen)}", flush=True)
        print(f"answers broken off by upstreams: {reached}", flush=True)
        self.test.assertGreater(reached, sum(sum(seen.values()) for seen in self.seen.values()) / 2, "the cuts reach the callers' daemons")


PATHS = [("GET", "/lookup/", "text"), ("POST", "/confirm/", "text"), ("HEAD", "/lookup/", "text"), ("GET", "/stream/again/", "events"), ("GET", "/stream/once/", "events")]


class Platform(unittest.TestCase):
    def setUp(self):
        self.store = Store()
        self.addCleanup(self.store.stop)
        self.upstreams = []
        for service in ("book", "chat"):
            for number in range(4):
                upstream = TruncatingUpstream(f"{service}-{number}", service, slots=64)
                self.addCleanup(upstream.stop)
                self.upstreams.append(upstream)
                self.store.put("keyed.servers", upstream.instance, upstream.record())
        self.store.put("keyed.op", "config", manifest(3))
        self.entry = Entry(self.store, "--retry-ratio", "2", "--retry-slack", "1000")
        self.addCleanup(self.entry.stop)
        eventually(self.entry.is_ready, "ready")
        self.attempts = 0
        self.cuts = Cuts(self)

    def fields(self, **headers):
        self.attempts += 1
        return {"Host": HOST, "X-Attempt-Id": f"attempt-{self.attempts}", "X-Deadline-Ms": "1500", "X-Api-Key": KEY, "Content-Length": "0",
                **{name.replace("_", "-"): value for name, value in headers.items()}}

    def serve_others(self, path):
        """Whole answers between the broken ones, without which the upstreams would count as failed."""
        for _ in range(2):
            answer = call(self.entry.endpoint, "GET", f"{path}whole-{self.attempts}", "1.1", self.fields())
            self.assertTrue(answer[0] in (200, *REFUSALS) and answer[1], answer)

    def check_paths(self, paths, **headers):
        for method, path, content in paths:
            for framing in ("length", "chunks", "connection"):
                for number in range(CUTS_PER_PATH):
                    version = self.cuts.random.choice(("1.0", "1.1"))
                    status = self.cuts.random.choice((200, 200, 204, 503)) if content == "text" else 200
                    # Without a body, an answer is whole at the end of its head.
                    if method == "HEAD" or status == 204:
                        number = max(2, number)
                    cut = self.cuts.fields(number, framing, content, status, "1.0" if framing != "chunks" and number % 3 == 0 else "1.1")
                    if (method == "HEAD" or status == 204) and float(cut["X-Test-Cut"].split()[0]) >= 1:
                        cut["X-Test-Cut"] = "0.9990 reset"
                    answer = call(self.entry.endpoint, method, f"{path}{self.attempts}", version, {**self.fields(**headers), **cut})
                    self.cuts.check(f"{method} {path} {framing}", answer, cut)
                    self.serve_others(path)

    def test_cut_answer_looks_whole(self):
        self.check_paths(PATHS)
        self.cuts.print(self.upstreams)

    def test_stream_whose_second_upstream_is_cut_looks_whole(self):
        self.check_paths([("GET", "/stream/again/", "events")], X_Test_First="1")
        self.cuts.print(self.upstreams)

    def test_stream_that_is_taken_up_and_cut_looks_whole(self):
        self.check_paths([("GET", "/stream/again/", "events")], Last_Event_Id="2")
        self.cuts.print(self.upstreams)


class Detoured(FleetWithDetours):
    UPSTREAM = CuttableTruncatingUpstream

    def setUp(self):
        super().setUp()
        self.cut(self.members[0])
        self.cuts = Cuts(self)

    def test_cut_answer_of_another_daemons_upstream_looks_whole(self):
        for method, path, content in PATHS:
            for number in range(CUTS_PER_PATH):
                framing = self.cuts.random.choice(("length", "chunks", "connection"))
                cut = self.cuts.fields(max(2, number) if method == "HEAD" else number, framing, content)
                if method == "HEAD" and float(cut["X-Test-Cut"].split()[0]) >= 1:
                    cut["X-Test-Cut"] = "0.9990 reset"
                fields = {**self.fields(), "Content-Length": "0", **cut}
                self.cuts.check(f"detour {method} {path}", call(self.members[0].entry.endpoint, method, f"{path}{number}", self.cuts.random.choice(("1.0", "1.1")), fields), cut)
                self.call(self.members[0], f"{path}whole")
        self.cuts.print(self.upstreams)

    def test_answer_of_a_daemon_that_is_killed_in_the_head_looks_whole(self):
        for path, content in (("/confirm/", "text"), ("/stream/once/", "events")):
            cut = {"X-Test-Cut": f"{self.cuts.random.uniform(0.1, 0.99):.4f} held", "X-Test-Answer": f"length {content} 200 1.1"}
            for upstream in self.upstreams:
                upstream.held.clear()
            answers = []
            fields = {**self.fields(), "Content-Length": "0", **cut}
            thread = threading.Thread(target=lambda: answers.append(call(self.members[0].entry.endpoint, "POST", f"{path}held", "1.1", fields)))
            thread.start()
            eventually(lambda: any(upstream.held.is_set() for upstream in self.upstreams), "the upstream has sent a part of the head")
            carrier = next(member for member in self.members[1:] if member.entry.process.poll() is None and self.metric(member, "stagepost_detoured_open"))
            carrier.entry.kill()
            thread.join()
            self.cuts.check(f"killed daemon {path}", answers[0], cut)
        self.cuts.print(self.upstreams)


class Product(Fleet):
    """The product's own daemon."""

    def setUp(self):
        super().setUp()
        self.entries = [self.daemon(f"entry-{number}") for number in range(2)]
        self.book = TruncatingUpstream("book-1", "book")
        self.addCleanup(self.book.stop)
        self.list_vm(name="book-1", hall="north", role="upstream", endpoint=self.book.endpoint, serves="services.book")
        self.publish(self.settings(service="breaker_failures = 100000"))
        self.serve(*self.entries)
        for entry in self.entries:
            eventually(lambda entry=entry: entry.metric("stagepost_daemons") == 2, "all daemons seen")
        self.cuts = Cuts(self)

    def fields(self, **headers):
        return {"Host": "a", "Authorization": f"Bearer {TOKEN}", "X-Attempt-Id": "x", "Content-Length": "0", **{name.replace("_", "-"): value for name, value in headers.items()}}

    def test_cut_answer_looks_whole(self):
        for method, content in (("GET", "text"), ("POST", "text"), ("GET", "events"), ("HEAD", "text")):
            for framing in ("length", "chunks", "connection"):
                for number in range(CUTS_PER_PATH):
                    cut = self.cuts.fields(max(2, number) if method == "HEAD" else number, framing, content)
                    share = float(cut["X-Test-Cut"].split()[0])
                    if method == "HEAD" and share >= 1:
                        cut["X-Test-Cut"] = "0.9990 reset"
                    answer = call(self.entries[0].endpoint, method, f"/services/book/{number}", self.cuts.random.choice(("1.0", "1.1")), {**self.fields(), **cut})
                    self.cuts.check(f"stagepostd {method} {content} {framing}", answer, cut)
        self.cuts.print([self.book])

    def test_cut_answer_is_recorded_and_looks_whole_to_a_resend(self):
        """Half of the requests pass through the daemon that does not decide on their key."""
        for framing in ("length", "chunks", "connection"):
            for number in range(CUTS_PER_PATH):
                cut = self.cuts.fields(number, framing, "text")
                fields = {**self.fields(Idempotency_Key=f"{int(time.time())}-{framing}-{number}"), **cut}
                for entry in (self.entries[number % 2], *self.entries):
                    answer = call(entry.endpoint, "POST", "/services/book/once", "1.1", fields)
                    self.cuts.check(f"recorded {framing}", answer, cut)
        runs = collections.Counter(request["headers"].get("idempotency-key") for request in self.book.requests)
        for name, seen in self.cuts.seen.items():
            print(f"{name}: {sum(seen.values())} calls of {CUTS_PER_PATH} keys, {dict(seen)}", flush=True)
        self.assertEqual(len([request for request in self.book.requests if "cut" in request]), 3 * CUTS_PER_PATH, runs)


if __name__ == "__main__":
    unittest.main()
