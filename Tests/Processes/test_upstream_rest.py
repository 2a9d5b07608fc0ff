"""Upstreams that want nothing for a while, or say that they leave, are left alone."""

import threading
import time
import unittest

from fleet import eventually
from test_platform import HOST, KEY, Entry, manifest, request
from platform_stand_ins import Store, Upstream

REST_S = 2
# Requests may be on their way for that long when an upstream asks for rest.
ON_THE_WAY_S = 0.5
# What an upstream may get from one daemon between that and the end of its rest.
MOST_IN_A_REST = 2


class UpstreamsThatWantNothing(unittest.TestCase):
    def setUp(self):
        self.store = Store()
        self.addCleanup(self.store.stop)
        self.attempts = 0
        self.lock = threading.Lock()
        self.upstreams = {service: [self.upstream(f"{service}-{number}", service) for number in (1, 2)] for service in ("book", "chat")}
        self.store.put("keyed.op", "config", manifest(3))
        self.entry = Entry(self.store, "--key-bound-ms", "60000", "--retry-slack", "1000")
        self.addCleanup(self.entry.stop)
        eventually(self.entry.is_ready, "ready")
        # Before, it has no part of the retry budget.
        eventually(lambda: any("event=peers" in line for line in self.entry.lines), "registered")

    def upstream(self, instance, service):
        upstream = Upstream(instance, service, slots=64)
        self.addCleanup(upstream.stop)
        self.store.put("keyed.servers", instance, upstream.record())
        return upstream

    def call(self, path):
        with self.lock:
            self.attempts += 1
            attempt = self.attempts
        fields = {"Host": HOST, "X-Attempt-Id": f"attempt-{attempt}", "X-Deadline-Ms": "1500", "X-Api-Key": KEY}
        if path.startswith("/stream/"):
            fields["X-Prompt-Prefix"] = f"aa:500,{attempt % 16:x}b:9000,cc:30"
        return request(self.entry.endpoint, "POST" if path.startswith("/confirm/") else "GET", path, None, fields)

    def call_for(self, path, seconds, callers=3):
        end = time.monotonic() + seconds
        answers = []

        def go_on():
            while time.monotonic() < end:
                answers.append(self.call(path))
                time.sleep(0.01)

        threads = [threading.Thread(target=go_on) for _ in range(callers)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return answers

    def most_in_a_rest(self, upstream):
        """Each rejection begins a rest of its own."""
        with upstream.lock:
            arrivals = [each["at"] for each in upstream.requests]
        return max(sum(1 for at in arrivals if asked + ON_THE_WAY_S < at < asked + REST_S) for asked in arrivals)

    def check_rest(self, path, resting):
        for upstream in resting:
            upstream.fault, upstream.rest = "refuse", REST_S
        answers = self.call_for(path, 2 * REST_S)
        for upstream in resting:
            self.assertGreater(len(upstream.requests), 0)
            self.assertLessEqual(self.most_in_a_rest(upstream), MOST_IN_A_REST)
        return answers

    def test_an_upstream_that_asks_for_rest_gets_it_while_another_serves(self):
        for service, path in (("book", "/lookup/x"), ("book", "/confirm/x"), ("chat", "/stream/again/x"), ("chat", "/stream/once/x")):
            with self.subTest(path):
                resting, other = self.upstreams[service]
                resting.requests.clear()
                answers = self.check_rest(path, [resting])
                resting.fault = None
                self.assertEqual({answer.status for answer in answers}, {200})
                self.assertGreater(len(other.runs()), 0)

    def test_where_all_want_rest_the_others_are_refused_at_once_as_not_run(self):
        for service, path in (("book", "/confirm/x"), ("chat", "/stream/again/x")):
            with self.subTest(path):
                answers = self.check_rest(path, self.upstreams[service])
                self.assertEqual({answer.status for answer in answers}, {503})
                self.assertTrue(all("Retry-After" in answer.headers for answer in answers))

    def test_a_rest_ends(self):
        resting = self.upstreams["book"][0]
        self.check_rest("/lookup/x", [resting])
        resting.fault = None
        resting.requests.clear()

        def is_back():
            self.call_for("/lookup/x", 0.5)
            return len(resting.runs()) > 2 * MOST_IN_A_REST

        eventually(is_back, "the upstream gets requests again")

    def test_an_upstream_whose_answers_say_that_it_leaves_gets_nothing_more(self):
        for service, path in (("book", "/lookup/x"), ("chat", "/stream/once/x")):
            with self.subTest(path):
                leaving = self.upstreams[service][0]
                leaving.says_leaving = True
                self.call_for(path, 1)
                self.assertGreater(len(leaving.requests), 0)
                leaving.requests.clear()
                # What its record says, also when it has been away meanwhile, takes nothing back.
                self.store.put("keyed.servers", leaving.instance, leaving.record(seq=2, slots=32))
                answers = self.call_for(path, 1)
                self.store.put("keyed.servers", leaving.instance, None)
                time.sleep(0.5)
                self.store.put("keyed.servers", leaving.instance, leaving.record(seq=3))
                answers += self.call_for(path, 2)
                self.assertEqual(len(leaving.requests), 0)
                self.assertEqual({answer.status for answer in answers}, {200})


if __name__ == "__main__":
    unittest.main()
