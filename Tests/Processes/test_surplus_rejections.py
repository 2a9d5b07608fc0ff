"""A rejection that arrives a second time is no proof for the request's next send.

Another process of the service has taken the address of one that is gone, whose record is still there. It answers a
request for the old process with 421, and sends that answer a second time when the daemon has already sent the
request again, to the new process. Both answers repeat the request's id. A daemon that read the second one as the
answer to its second send told callers that their request had not run.
"""

import concurrent.futures
import threading
import time
import unittest

from fleet import eventually
from platform_stand_ins import Store, Upstream
from test_platform import HOST, KEY, Entry, manifest, request

# Together, they load both processes.
CALLERS, REQUESTS = 6, 60
PROMISES = (408, 421, 429, 503)


class RepeatingUpstream(Upstream):
    """Sends each rejection twice, each with the field that proves it. The second one arrives when the answer to the next request is due."""

    def serve_one(self, connection, reader):
        self.last.answer = None
        is_open = super().serve_one(connection, reader)
        if is_open and self.last.answer:
            self.released.wait(0.03)
            connection.sendall(self.last.answer)
            self.repetitions += 1
        return is_open

    def __init__(self, *arguments):
        self.last = threading.local()
        self.repetitions = 0
        super().__init__(*arguments)

    def misdirected_head(self, request, own, extra=""):
        self.last.answer = super().misdirected_head(request, own, "X-Not-Executed: 1\r\n")
        return self.last.answer


class SurplusRejections(unittest.TestCase):
    def setUp(self):
        self.store = Store()
        self.addCleanup(self.store.stop)
        self.store.put("keyed.op", "config", manifest(3))

    def start(self, service):
        self.upstream = RepeatingUpstream(f"{service}-new", service)
        self.addCleanup(self.upstream.stop)
        for instance in (f"{service}-old", f"{service}-new"):
            self.store.put("keyed.servers", instance, self.upstream.record())
        self.entry = Entry(self.store, "--retry-ratio", "2", "--retry-slack", "1000")
        self.addCleanup(self.entry.stop)
        eventually(self.entry.is_ready, "ready")
        eventually(lambda: any("event=peers" in line for line in self.entry.lines), "registered")

    def call(self, number, path):
        fields = {"Host": HOST, "X-Attempt-Id": f"attempt-{number}", "X-Deadline-Ms": "1500", "X-Api-Key": KEY, "X-Prompt-Prefix": f"aa{number}:500,d{number}:30"}
        return request(self.entry.endpoint, "POST", path, f"body of {number}", fields)

    def check(self, service, path):
        self.start(service)
        with concurrent.futures.ThreadPoolExecutor(CALLERS) as callers:
            statuses = list(callers.map(lambda number: self.call(number, path).status, range(REQUESTS)))
        # What a send has begun may show only after the answer.
        time.sleep(0.2)
        begun = [run["headers"]["x-attempt-id"] for run in self.upstream.runs()]
        rejected = [each for each in self.upstream.requests if each["headers"].get("x-expect-instance") == f"{service}-old"]
        untrue = [number for number, status in enumerate(statuses) if status in PROMISES and f"attempt-{number}" in begun]
        details = [line for line in self.entry.lines if any(f"id=attempt-{number} " in line for number in untrue[:2])]
        print(f"{self.id()}: {len(rejected)} rejections, {sum(status in PROMISES for status in statuses)} promises, {len(untrue)} untrue", flush=True)
        self.assertGreater(len(rejected), 0, "no request was sent to the old process")
        self.assertGreater(self.upstream.repetitions, 0, "no rejection was sent twice")
        self.assertEqual(untrue, [], f"refused as not run, but begun: {details}")
        self.assertEqual(len(begun), len(set(begun)), "begun twice")

    def test_streams_that_cannot_be_resumed(self):
        self.check("chat", "/stream/once/x")

    def test_unsafe_requests(self):
        self.check("book", "/confirm/x")

    def test_streams_that_may_be_resumed(self):
        self.check("chat", "/stream/again/x")

    def test_safe_requests(self):
        self.check("book", "/lookup/x")


if __name__ == "__main__":
    unittest.main()
