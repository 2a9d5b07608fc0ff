"""Real daemons ask upstreams' owners before each send: who is asked may be gone."""

import re
import signal
import threading
import time
import unittest

from fleet import eventually
from test_platform import HOST, KEY, Entry, manifest, request
from platform_stand_ins import Store, Upstream

DAEMONS = 4
# Two owners that do not answer cost 25 ms each; the rest is for a busy machine.
LONGEST_WAIT_S = 0.3


class Owners(unittest.TestCase):
    def setUp(self):
        self.store = Store()
        self.addCleanup(self.store.stop)
        self.attempts = 0
        self.lock = threading.Lock()
        self.chats = [self.upstream(f"chat-{number}") for number in range(3)]
        self.store.put("keyed.op", "config", manifest(3))
        self.entries = [self.start(f"entry-{number}") for number in range(DAEMONS)]
        eventually(lambda: all(any(f"event=peers others={DAEMONS - 1}" in line for line in entry.lines) for entry in self.entries), "all know one another")

    def start(self, name):
        # A bound on keys of 60 s: what is paused here is asked about its loads, not its beliefs.
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

    def test_a_context_stays_where_it_is_whichever_daemon_is_asked(self):
        for number in range(12):
            self.assertEqual(self.stream(self.entries[number % DAEMONS]).status, 200)
        self.assertIn(12, [len(chat.runs()) for chat in self.chats])
        lines = [line for entry in self.entries for line in self.lines(entry)]
        self.assertEqual([line for line in lines if "placed_by=granted" not in line], [])

    def test_streams_of_one_context_spread_over_upstreams_as_they_fill(self):
        for chat in self.chats:
            chat.event_pause = 0.2
        callers = [threading.Thread(target=self.stream, args=(self.entries[number % DAEMONS],)) for number in range(18)]
        for caller in callers:
            caller.start()
        time.sleep(0.6)
        held = sorted(chat.connections_open for chat in self.chats)
        for caller in callers:
            caller.join()
        # Twice the mean and three more are allowed.
        self.assertLessEqual(held[-1], 2 * 6 + 3)
        self.assertGreater(held[0], 0)

    def check_served_quickly(self, entry):
        for number in range(9):
            since = time.monotonic()
            self.assertEqual(self.stream(entry, f"context-{number}").status, 200)
            self.assertLess(time.monotonic() - since, LONGEST_WAIT_S)

    def test_owners_that_are_paused_cost_little(self):
        for entry in self.entries[1:]:
            entry.process.send_signal(signal.SIGSTOP)
        try:
            self.check_served_quickly(self.entries[0])
        finally:
            for entry in self.entries[1:]:
                entry.process.send_signal(signal.SIGCONT)

    def test_owners_that_are_killed_cost_little(self):
        for entry in self.entries[1:]:
            entry.process.kill()
        self.check_served_quickly(self.entries[0])

    def test_unanswered_asks_are_counted(self):
        for entry in self.entries[1:]:
            entry.process.kill()
        self.check_served_quickly(self.entries[0])
        text = self.entries[0].get_ready("/metrics").body
        self.assertGreater(float(re.search(r"^stagepost_owner_asks_unanswered (\S+)", text, re.MULTILINE)[1]), 0)


if __name__ == "__main__":
    unittest.main()
