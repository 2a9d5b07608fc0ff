"""A store whose answers go on without end, or are larger than the daemon's machine can parse.

Guards against a daemon that takes page after page of a list of keys that never ends, and against answers whose parsed form
is many times their size.
"""

import base64
import contextlib
import json
import os
import struct
import time
import unittest

from crowds import ENVIRONMENT, MACHINE_MEMORY, MEGABYTE, eventually_answered
from fleet import eventually
from platform_stand_ins import Store, Upstream
from test_platform import HOST, KEY, Entry, manifest, request

BLOCK = b"x" * 65536
# Far more than the daemon's machine has.
MAX_SENT = 4 * MACHINE_MEMORY
ENDLESS_SECONDS = 1.5


class EndlessStore(Store):
    """Answers the calls that `is_endless` picks with `send_endlessly`, which gets the handler of the call."""

    def __init__(self):
        self.is_endless = lambda path, query: False
        self.send_endlessly = None
        self.sent = self.endless_answers = 0
        super().__init__()

    def answer(self, handler):
        path, _, query = handler.path.partition("?")
        if not self.is_endless(path, query):
            return super().answer(handler)
        handler.close_connection = True
        self.endless_answers += 1
        with contextlib.suppress(OSError):
            self.send_endlessly(handler, query)

    def send(self, handler, data):
        if self.sent > MAX_SENT:
            raise OSError("more than any daemon may take")
        handler.wfile.write(data)
        self.sent += len(data)

    def page_without_end(self, handler, query):
        """A page of large records that come after the one that was asked for."""
        after = query.partition("afterRev=")[2]
        first = int(after) + 1 if after.isdigit() else 0
        value = base64.b64encode(b"x" * 40000).decode()
        items = [{"key": f"{number:09}", "value": value, "offset": number} for number in range(first, first + 20)]
        body = json.dumps({"items": items, "hasMore": True, "end": 1 << 40}).encode()
        self.send(handler, b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)

    def repeat(self, begin, block):
        def send(handler, query):
            self.send(handler, begin)
            while True:
                self.send(handler, block)
        return send


def peak_memory(entry):
    with open(f"/proc/{entry.process.pid}/status", encoding="ascii") as status:
        return next(int(line.split()[1]) for line in status if line.startswith("VmHWM")) * 1024


class EndlessStoreAnswers(unittest.TestCase):
    def setUp(self):
        self.store = EndlessStore()
        self.addCleanup(self.store.stop)
        self.book = Upstream("book-1", "book")
        self.addCleanup(self.book.stop)
        self.store.put("keyed.servers", self.book.instance, self.book.record())
        self.store.put("keyed.op", "config", manifest(3))

    def start(self):
        self.entry = Entry(self.store, environment=dict(os.environ, **ENVIRONMENT, STAGEPOST_MACHINE_MEMORY_MB=str(MACHINE_MEMORY // MEGABYTE)))
        self.addCleanup(self.entry.stop)

    def call(self):
        return request(self.entry.endpoint, "GET", "/lookup/x", None, {"Host": HOST, "X-Attempt-Id": str(time.monotonic_ns()), "X-Deadline-Ms": "1500", "X-Api-Key": KEY})

    def check(self, is_endless, send):
        self.store.send_endlessly, self.store.is_endless = send, is_endless
        end = time.monotonic() + ENDLESS_SECONDS
        while time.monotonic() < end and self.entry.process.poll() is None and peak_memory(self.entry) < MACHINE_MEMORY:
            time.sleep(0.05)
        self.assertIsNone(self.entry.process.poll(), "the daemon has ended")
        self.assertGreater(self.store.endless_answers, 0)
        self.assertLess(peak_memory(self.entry) / MEGABYTE, MACHINE_MEMORY / MEGABYTE, "MB of memory")
        self.store.is_endless = lambda path, query: False
        eventually_answered(self.call, "an ordinary request")

    def test_list_without_end(self):
        self.start()
        self.check(lambda path, query: path == "/log-newest", self.store.page_without_end)

    def test_page_without_end(self):
        self.start()
        self.check(lambda path, query: path == "/log-newest", self.store.repeat(b"HTTP/1.1 200 OK\r\n\r\n{\"end\":1,\"items\":[", b"{}," * 20000))

    def check_page(self, size):
        self.start()
        body = b"{\"end\":1,\"items\":[" + b"{}," * (size // 3) + b"{}]}"
        self.check(lambda path, query: path == "/log-newest", lambda handler, query: self.store.send(handler, b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body))

    def test_large_page_of_empty_items(self):
        self.check_page(15 * MEGABYTE)

    def test_largest_page_of_empty_items(self):
        self.check_page(4 * MEGABYTE - 100)

    def test_records_without_end(self):
        self.start()
        eventually(self.entry.is_ready, "ready")
        record = struct.pack(">I", 1) + b"\0"
        self.check(lambda path, query: path == "/log-read", self.store.repeat(b"HTTP/1.1 200 OK\r\n\r\n" + struct.pack(">QQ", 1 << 40, 0), record * 10000))

    def test_record_larger_than_any(self):
        self.start()
        eventually(self.entry.is_ready, "ready")
        self.check(lambda path, query: path == "/log-read", self.store.repeat(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n14\r\n" + struct.pack(">QQI", 1, 0, 0xffffffff) + b"\r\n", b"10000\r\n" + BLOCK + b"\r\n"))

    def test_head_without_end(self):
        self.start()
        eventually(self.entry.is_ready, "ready")
        self.check(lambda path, query: True, self.store.repeat(b"HTTP/1.1 200 OK\r\n", b"X-Field: x\r\n" * 4096))


if __name__ == "__main__":
    unittest.main()
