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
from test_platform import HOST, KEY, Entry, request

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


if __name__ == "__main__":
    unittest.main()
