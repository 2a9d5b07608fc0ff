"""Cold upstreams receive only a few requests per second from all daemons together."""

import time
import unittest

from fleet import eventually
from test_platform import HOST, KEY, Entry, manifest, request
from platform_stand_ins import Store, Upstream

PER_SECOND = 4
OVERSHOOT = 1.5
SLACK = 2
MAX_PER_SECOND = int(PER_SECOND * OVERSHOOT + SLACK)
# For 3 s after its start, a daemon grants less than the full quota of the upstreams that it owns.
OWNERSHIP_SETTLE_TIME_S = 3.2
# Exceeds the run time of every test.
LONG_COLD_MS = 60000


class ColdUpstreams(unittest.TestCase):
    def setUp(self):
        self.store = Store()
        self.addCleanup(self.store.stop)
        self.attempts = 0
        self.upstreams = {service: [self.upstream(f"{service}-{number}", service) for number in (1, 2)] for service in ("book", "chat")}
        services = [{"name": "book", "healthPath": "/healthz", "maxConns": 100, "coldS": 3.0, "coldPerS": float(PER_SECOND)},
                    {"name": "chat", "healthPath": "/healthz", "maxConns": 300, "coldS": 3.0, "coldPerS": float(PER_SECOND),
                     "engine": {"kvCapacityTokens": 400000, "moves": True}}]
        self.store.put("keyed.op", "config", manifest(3, services=services))
        self.entries = [self.start(f"entry-{number}") for number in range(3)]
        eventually(lambda: all(any("event=peers others=2" in line for line in entry.lines) for entry in self.entries), "all daemons know each other")
        time.sleep(OWNERSHIP_SETTLE_TIME_S)

    def start(self, name):
        entry = Entry(self.store, "--name", name, "--key-bound-ms", "60000", "--cold-overshoot", str(OVERSHOOT), "--cold-slack", str(SLACK))
        self.addCleanup(entry.stop)
        eventually(entry.is_ready, "ready")
        return entry

    def upstream(self, instance, service):
        upstream = Upstream(instance, service, slots=64)
        self.addCleanup(upstream.stop)
        self.store.put("keyed.servers", instance, upstream.record())
        return upstream

    def set_cold(self, upstream, left_ms):
        self.store.put("keyed.servers", upstream.instance, upstream.record(coldLeftMs=left_ms, seq=self.attempts + 2))
        expected = f"event=upstream-cold instance={upstream.instance}" if left_ms else ""
        if expected:
            eventually(lambda: all(any(expected in line for line in entry.lines) for entry in self.entries), "all daemons know that the upstream is cold")
        else:
            time.sleep(1)

    def call(self, path):
        self.attempts += 1
        fields = {"Host": HOST, "X-Attempt-Id": f"attempt-{self.attempts}", "X-Deadline-Ms": "1500", "X-Api-Key": KEY}
        if path.startswith("/stream/"):
            fields["X-Prompt-Prefix"] = f"aa:500,{self.attempts % 16:x}b:9000,cc:30"
        return request(self.entries[self.attempts % len(self.entries)].endpoint, "GET", path, None, fields)

    def call_repeatedly(self, path, seconds):
        end = time.monotonic() + seconds
        answers = []
        while time.monotonic() < end:
            answers.append(self.call(path))
            time.sleep(0.005)
        return answers

    def max_arrivals_per_second(self, upstream, since):
        arrivals = sorted(each["at"] for each in upstream.requests if each["at"] >= since)
        return max((sum(1 for at in arrivals if first <= at < first + 1) for first in arrivals), default=0)

    def check_rate_limit(self, path, cold, is_served):
        since = time.monotonic()
        answers = self.call_repeatedly(path, 4)
        self.assertGreater(len(answers), 5 * MAX_PER_SECOND * len(cold))
        for upstream in cold:
            most = self.max_arrivals_per_second(upstream, since)
            self.assertLessEqual(most, MAX_PER_SECOND)
            self.assertGreater(most, 0)
        if is_served:
            self.assertEqual({answer.status for answer in answers}, {200})
        return answers

    def test_a_cold_upstream_is_rate_limited_and_the_others_serve_the_remaining_requests(self):
        for service, path in (("chat", "/stream/again/x"), ("book", "/lookup/x")):
            with self.subTest(service):
                self.set_cold(self.upstreams[service][0], LONG_COLD_MS)
                self.check_rate_limit(path, self.upstreams[service][:1], True)

    def test_excess_requests_are_refused_as_not_run_if_all_upstreams_are_cold(self):
        for upstream in self.upstreams["chat"]:
            self.set_cold(upstream, LONG_COLD_MS)
        answers = self.check_rate_limit("/stream/again/x", self.upstreams["chat"], False)
        self.assertEqual({answer.status for answer in answers}, {200, 503})
        refused = [answer for answer in answers if answer.status == 503]
        self.assertTrue(all("Retry-After" in answer.headers for answer in refused))

    def test_an_upstream_that_is_no_longer_cold_is_not_limited(self):
        cold = self.upstreams["chat"][0]
        self.set_cold(cold, LONG_COLD_MS)
        self.call_repeatedly("/stream/again/x", 1)
        self.set_cold(cold, 0)
        since = time.monotonic()
        self.call_repeatedly("/stream/again/x", 2)
        self.assertGreater(self.max_arrivals_per_second(cold, since), MAX_PER_SECOND)

    def test_upstreams_of_a_hall_that_returns_to_use_are_treated_as_just_started(self):
        self.store.put("keyed.op", "evacuate/north", {})
        eventually(lambda: all(any("event=hall-emptied" in line for line in entry.lines) for entry in self.entries), "all daemons know that the hall is emptied")
        self.store.put("keyed.op", "evacuate/north", None)
        eventually(lambda: all(any("event=hall-taken-back" in line for line in entry.lines) for entry in self.entries), "all daemons know that the hall is back in use")
        since = time.monotonic()
        self.call_repeatedly("/stream/again/x", 2)
        for upstream in self.upstreams["chat"]:
            self.assertLessEqual(self.max_arrivals_per_second(upstream, since), MAX_PER_SECOND)


if __name__ == "__main__":
    unittest.main()
