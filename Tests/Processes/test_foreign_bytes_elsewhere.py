"""Foreign bytes of upstreams on the paths that test_foreign_bytes leaves out.

Guards against foreign bytes that reach callers on these paths, and against others than their upstream that are blamed for them.
"""

import threading
import time
import unittest

from crashing_upstream import CRASH, CrashingUpstream
from fleet import eventually
from platform_stand_ins import Store
from test_crashing_requests import manifest_with_retries
from test_detours import FleetWithDetours
from test_foreign_bytes import FOREIGN, dechunk, events
from test_lost_links import CuttableUpstream
from test_platform import HOST, KEY, Entry, request
from test_truncated_heads import call

# What an upstream sends instead of a chunk.
BAD_CHUNKS = {"a second answer": b"HTTP/1.1 200 OK\r\n\r\n", "a size that is a word": b"zz\r\nwords\r\n", "no end of a chunk": b"5\r\nwordsXX\r\n"}


class GarblingUpstream(CrashingUpstream):
    """Sends foreign bytes behind the start of each answer to a request with CRASH in its body, and crashes soon after."""

    foreign = BAD_CHUNKS["a second answer"]

    def crash_on_marker(self, request):
        if CRASH not in request["body"]:
            return False
        with self.lock:
            self.crash_arrivals.append(time.monotonic())
            crashes_before = len(self.crash_times)
            connection = next(each for each in self.connections if each.getpeername()[1] == request["port"])
        connection.sendall(self.head(request, 200, None, "Transfer-Encoding: chunked\r\n") + b"5\r\nsome \r\n" + self.foreign)
        time.sleep(self.CRASH_DELAY_S)
        self.crash(crashes_before)
        raise ConnectionError("the upstream has crashed")

    def serve_one(self, connection, reader):
        self.port_of_caller.value = connection.getpeername()[1]
        return super().serve_one(connection, reader)

    def read_head(self, reader):
        head = super().read_head(reader)
        return head and {**head, "port": self.port_of_caller.value}

    port_of_caller = threading.local()


class Blame(unittest.TestCase):
    """Only the upstream that sends foreign bytes is held responsible for them."""

    def setUp(self):
        self.store = Store()
        self.addCleanup(self.store.stop)
        self.store.put("keyed.op", "config", manifest_with_retries())
        self.books = []
        for number in range(6):
            book = GarblingUpstream(f"book-{number}", "book", self.store)
            self.addCleanup(book.stop)
            self.books.append(book)
        self.attempts = 0

    def start(self, *flags):
        self.entry = Entry(self.store, *flags)
        self.addCleanup(self.entry.stop)
        eventually(self.entry.is_ready, "ready")
        eventually(lambda: any("event=peers" in line for line in self.entry.lines), "registered")

    def call(self, path, body):
        self.attempts += 1
        fields = {"Host": HOST, "X-Attempt-Id": f"attempt-{self.attempts}", "X-Deadline-Ms": "1500", "X-Api-Key": KEY}
        return request(self.entry.endpoint, "POST", path, body, fields)

    def lines(self, *words):
        return [line for line in self.entry.lines if all(word in line for word in words)]

    def test_bad_framing_makes_no_request_a_suspect(self):
        """Three upstreams that end under a request are enough to refuse it."""
        self.start("--retry-ratio", "0", "--retry-slack", "0")
        replies = []
        until = time.monotonic() + 5
        while time.monotonic() < until:
            for book in self.books:
                book.foreign = list(BAD_CHUNKS.values())[len(replies) % len(BAD_CHUNKS)]
            replies.append(self.call("/confirm/x", CRASH.decode() + " and nobody else"))
            time.sleep(0.1)
        crashes = sum(len(book.crash_times) for book in self.books)
        reasons = {reply.error()["reason"] for reply in replies}
        print(f"{len(replies)} requests, {crashes} crashes of upstreams behind foreign bytes, refused as {reasons}", flush=True)
        self.assertGreaterEqual(crashes, 4)
        self.assertEqual(self.lines("ends-upstreams") + self.lines("event=crash-evidence"), [])
        self.assertIn("upstream-mixed-answer", reasons)

    def test_retries_after_foreign_bytes_are_within_the_budget(self):
        for book in self.books:
            # It lives on.
            book.crash = lambda crashes_before=None: None
        self.start("--retry-ratio", "0.1", "--retry-slack", "2")
        for number in range(40):
            self.call("/lookup/x", CRASH.decode() + str(number))
        sends = sum(len(book.crash_arrivals) for book in self.books)
        retries = self.lines("outcome=sent-again")
        print(f"{self.attempts} requests, {sends} sends, {len(retries)} retries", flush=True)
        self.assertLessEqual(len(retries), 0.1 * self.attempts + 2)
        self.assertEqual([line for line in retries if "reason=upstream-mixed-answer" not in line], [])
        self.assertTrue(retries)


class SpoilingUpstream(CuttableUpstream):
    """Sends foreign bytes in the first answer to a request that asks for them."""

    seen = set()
    foreign = b""

    def plain(self, connection, request, fault):
        if not self.claim(request):
            return super().plain(connection, request, fault)
        connection.sendall(self.head(request, 200, None, "Transfer-Encoding: chunked\r\n") + b"5\r\nsome \r\n" + self.foreign)
        self.released.wait(0.05)
        return False

    def stream(self, connection, request, fault):
        first = int(request["headers"].get("last-event-id", 0)) + 1
        body = events(1, 2) + self.foreign + events(3) if self.claim(request) else events(first)
        connection.sendall(self.head(request, 200, None, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n") + b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body))
        return True

    def claim(self, request):
        key = request["headers"].get("x-attempt-id")
        with LOCK:
            is_first = "x-test-spoiled" in request["headers"] and key not in self.seen
            self.seen.add(key)
            return is_first


LOCK = threading.Lock()


class Detoured(FleetWithDetours):
    """A daemon without links sends its requests through the only other one."""

    DAEMONS = 2
    UPSTREAM = SpoilingUpstream

    def setUp(self):
        super().setUp()
        SpoilingUpstream.seen = set()
        self.cut(self.members[0])

    def read(self, method, path, version="1.1", **headers):
        fields = {**self.fields(**headers), "Content-Length": "0"}
        status, is_whole, body = call(self.members[0].entry.endpoint, method, path, version, fields)
        return status, is_whole, dechunk(body) if version == "1.1" and status == 200 else body

    def check_other_daemon_is_used(self, name):
        for _ in range(3):
            answer = self.read("GET", "/lookup/x")
            self.assertEqual(answer[:2], (200, True), (name, answer))

    def test_foreign_bytes_between_events_reach_no_caller(self):
        """Guards also against an upstream's foreign bytes that are held against the other daemon, which is the last one here."""
        for name, foreign in FOREIGN.items():
            SpoilingUpstream.foreign = foreign
            for version in ("1.1", "1.0"):
                self.assertEqual(self.read("POST", "/stream/again/x", version, X_Test_Spoiled="1"), (200, True, events(1)), name)
                self.assertEqual(self.read("POST", "/stream/once/x", version, X_Test_Spoiled="1"), (200, False, events(1, 2)), name)
                self.check_other_daemon_is_used(name)
                # Sound answers, without which the upstreams would count as failed.
                for _ in range(4):
                    self.assertEqual(self.read("POST", "/stream/once/x"), (200, True, events(1)))

    def test_bad_framing_of_a_plain_answer_is_not_held_against_the_other_daemon(self):
        for name, foreign in BAD_CHUNKS.items():
            SpoilingUpstream.foreign = foreign
            self.assertEqual(self.read("POST", "/confirm/x", X_Test_Spoiled="1")[0], 502, name)
            self.assertEqual(self.read("POST", "/lookup/x", X_Test_Spoiled="1")[:2], (200, True), name)
            self.check_other_daemon_is_used(name)


if __name__ == "__main__":
    unittest.main()
