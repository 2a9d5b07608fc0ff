"""Daemons request a permit from the owner of an upstream before each send. The owner may be paused or dead."""

import re
import signal
import threading
import time
import unittest

from fleet import eventually
from test_platform import HOST, KEY, Entry, manifest, request
from platform_stand_ins import Store, Upstream

DAEMONS = 4
# Two owners that don't answer take up to 25 ms each. The rest is a margin for a busy machine.
MAX_LATENCY_S = 0.3


class Owners(unittest.TestCase):
    def setUp(self):
        self.store = Store()
        self.addCleanup(self.store.stop)
        self.attempts = 0
        self.lock = threading.Lock()
        self.chats = [self.upstream(f"chat-{number}") for number in range(3)]
        self.store.put("keyed.op", "config", manifest(3))
        self.entries = [self.start(f"entry-{number}") for number in range(DAEMONS)]
        eventually(lambda: all(any(f"event=peers others={DAEMONS - 1}" in line for line in entry.lines) for entry in self.entries), "all daemons know each other")

    def start(self, name):
        # The key bound of 60 s outlasts the test, so that requests aren't refused because paused daemons
        # don't confirm that the configuration is current.
        entry = Entry(self.store, "--name", name, "--key-bound-ms", "60000")
        self.addCleanup(entry.stop)
        eventually(entry.is_ready, "ready")
        return entry

    def upstream(self, instance):
        upstream = Upstream(instance, "chat", slots=64)
        self.addCleanup(upstream.stop)
        self.store.put("keyed.servers", instance, upstream.record())
        return upstream

    def stream(self, entry, context="bb"):
        with self.lock:
            self.attempts += 1
            number = self.attempts
        fields = {"Host": HOST, "X-Attempt-Id": f"attempt-{number}", "X-Deadline-Ms": "1900", "X-Api-Key": KEY,
                  "X-Prompt-Prefix": f"aa:500,{context}:9000,cc:30"}
        return request(entry.endpoint, "POST", "/stream/once/x", "prompt", fields)

    def lines(self, entry):
        return [line for line in entry.lines if "event=request " in line and "outcome=answered" in line]

    def test_all_daemons_route_a_context_to_the_same_upstream(self):
        for number in range(12):
            self.assertEqual(self.stream(self.entries[number % DAEMONS]).status, 200)
        self.assertIn(12, [len(chat.runs()) for chat in self.chats])
        lines = [line for entry in self.entries for line in self.lines(entry)]
        self.assertEqual([line for line in lines if "placed_by=granted" not in line], [])

    def test_streams_of_one_context_spread_when_its_upstream_is_full(self):
        for chat in self.chats:
            chat.event_pause = 0.2
        callers = [threading.Thread(target=self.stream, args=(self.entries[number % DAEMONS],)) for number in range(18)]
        for caller in callers:
            caller.start()
        time.sleep(0.6)
        in_flight = sorted(chat.connections_open for chat in self.chats)
        for caller in callers:
            caller.join()
        # The limit is twice the mean of 6 plus 3.
        self.assertLessEqual(in_flight[-1], 2 * 6 + 3)
        self.assertGreater(in_flight[0], 0)

    # Without the registry, a daemon serves requests but has not joined the fleet.
    def test_requests_sent_before_joining_are_counted_afterwards(self):
        for chat in self.chats:
            chat.event_pause = 0.25
        self.store.topics_down.add("keyed.stagepost")
        late = self.start("entry-late")
        callers = [threading.Thread(target=self.stream, args=(late,)) for _ in range(6)]
        for caller in callers:
            caller.start()
        eventually(lambda: sum(len(chat.runs()) for chat in self.chats) == 6, "the streams run")
        self.store.topics_down.clear()
        eventually(lambda: any("event=joined" in line for line in late.lines), "the daemon joins")
        self.assertEqual(self.stream(self.entries[0]).status, 200)
        line = eventually(lambda: next(iter(self.lines(self.entries[0])), None), "the request is logged")
        self.assertGreater(int(re.search(r"owner_counted=(\d+)", line)[1]), 0)
        for caller in callers:
            caller.join()

    def check_latency(self, entry):
        for number in range(9):
            since = time.monotonic()
            self.assertEqual(self.stream(entry, f"context-{number}").status, 200)
            self.assertLess(time.monotonic() - since, MAX_LATENCY_S)

    def test_paused_owners_add_little_latency(self):
        for entry in self.entries[1:]:
            entry.process.send_signal(signal.SIGSTOP)
        try:
            self.check_latency(self.entries[0])
        finally:
            for entry in self.entries[1:]:
                entry.process.send_signal(signal.SIGCONT)

    def test_killed_owners_add_little_latency(self):
        for entry in self.entries[1:]:
            entry.process.kill()
        self.check_latency(self.entries[0])

    def test_unanswered_permit_requests_are_counted(self):
        for entry in self.entries[1:]:
            entry.process.kill()
        self.check_latency(self.entries[0])
        text = self.entries[0].get_ready("/metrics").body
        self.assertGreater(float(re.search(r"^stagepost_owner_asks_unanswered (\S+)", text, re.MULTILINE)[1]), 0)


if __name__ == "__main__":
    unittest.main()
