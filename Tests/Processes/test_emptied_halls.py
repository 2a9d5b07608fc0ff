"""Operators empty halls: upstreams of an emptied hall get no requests until the order is cancelled."""

import time
import unittest

from fleet import eventually
from test_platform import HOST, KEY, Entry, manifest, request
from platform_stand_ins import Store, Upstream

HALLS = ("north", "south")
# The time limit for an order to take effect at all daemons.
BOUND_S = 5


class EmptiedHalls(unittest.TestCase):
    def setUp(self):
        self.store = Store()
        self.addCleanup(self.store.stop)
        self.attempts = 0
        self.upstreams = {hall: [self.upstream(f"{service}-{hall}", service, hall) for service in ("book", "chat")] for hall in HALLS}
        self.store.put("keyed.op", "config", manifest(3))
        self.entries = [self.start(f"entry-{hall}", hall) for hall in HALLS]
        eventually(lambda: all(any("event=peers others=1" in line for line in entry.lines) for entry in self.entries), "both daemons know each other")

    def start(self, name, hall, store=None):
        entry = Entry(store or self.store, "--name", name, "--hall", hall, "--key-bound-ms", "60000")
        self.addCleanup(entry.stop)
        eventually(entry.is_ready, "ready")
        return entry

    def upstream(self, instance, service, hall):
        upstream = Upstream(instance, service, hall, slots=64)
        self.addCleanup(upstream.stop)
        self.store.put("keyed.servers", instance, upstream.record())
        return upstream

    def set_emptied(self, hall, is_emptied=True):
        self.store.put("keyed.op", f"evacuate/{hall}", {} if is_emptied else None)

    def call(self, entry, path="/lookup/x"):
        self.attempts += 1
        fields = {"Host": HOST, "X-Attempt-Id": f"attempt-{self.attempts}", "X-Deadline-Ms": "1500", "X-Api-Key": KEY}
        if path.startswith("/stream/"):
            fields["X-Prompt-Prefix"] = f"aa:500,{self.attempts:x}b:9000,cc:30"
        return request(entry.endpoint, "GET", path, None, fields)

    def request_count(self, hall):
        return sum(len(upstream.requests) for upstream in self.upstreams[hall])

    def calls_reach(self, halls, count=8):
        """Returns whether calls at all daemons reach the upstreams of exactly these halls."""
        before = {hall: self.request_count(hall) for hall in HALLS}
        for number in range(count):
            for entry in self.entries:
                for path in ("/lookup/x", "/stream/again/x"):
                    self.call(entry, path)
        return {hall for hall in HALLS if self.request_count(hall) > before[hall]} == set(halls)

    def wait_until_reached(self, *halls):
        end = time.monotonic() + BOUND_S
        while not self.calls_reach(halls, 4):
            self.assertLess(time.monotonic(), end, f"calls don't reach exactly the halls {halls}")
        self.assertTrue(self.calls_reach(halls))

    def test_an_order_applies_until_it_is_cancelled(self):
        self.wait_until_reached("north", "south")
        self.set_emptied("south")
        self.wait_until_reached("north")
        self.set_emptied("south", False)
        self.wait_until_reached("north", "south")

    def test_an_order_that_is_cancelled_and_repeated_applies(self):
        self.set_emptied("south")
        self.wait_until_reached("north")
        self.set_emptied("south", False)
        self.set_emptied("south")
        time.sleep(0.5)
        self.assertTrue(self.calls_reach(["north"]))

    def test_orders_apply_after_the_history_is_truncated(self):
        self.set_emptied("south")
        self.store.forget_history()
        self.wait_until_reached("north")
        self.set_emptied("south", False)
        self.store.forget_history()
        self.wait_until_reached("north", "south")

    def test_a_daemon_that_starts_later_applies_the_order(self):
        self.set_emptied("south")
        self.wait_until_reached("north")
        self.entries.append(self.start("entry-late", "south"))
        self.assertTrue(self.calls_reach(["north"]))

    def test_a_daemon_without_access_to_the_store_applies_the_order(self):
        server = self.store.add_server()
        cut_off_store = type("EndpointOnly", (), {"endpoint": server.endpoint})
        self.entries.append(self.start("entry-cut", "north", cut_off_store))
        eventually(lambda: any("event=peers others=2" in line for line in self.entries[-1].lines), "registered")
        server.is_busy = True
        self.set_emptied("south")
        self.wait_until_reached("north")
        self.set_emptied("south", False)
        self.wait_until_reached("north", "south")

    def test_requests_are_refused_immediately_as_not_run_if_all_halls_are_emptied(self):
        for hall in HALLS:
            self.set_emptied(hall)
        self.wait_until_reached()
        since = time.monotonic()
        answer = self.call(self.entries[0])
        self.assertLess(time.monotonic() - since, 0.3)
        self.assertEqual(answer.status, 503)
        self.assertIn("Retry-After", answer.headers)

    def test_orders_for_unknown_halls_and_invalid_values_are_tolerated(self):
        self.set_emptied("nowhere")
        self.store.put_raw("keyed.op", "evacuate/south", b"\xff not json")
        self.wait_until_reached("north")
        self.store.put("keyed.op", "config", manifest(4))
        time.sleep(0.5)
        self.assertTrue(self.calls_reach(["north"]))

    def test_an_order_applies_after_the_store_is_restored_from_a_backup(self):
        self.store.era = 1
        copy = self.store.copy()
        self.set_emptied("south")
        self.wait_until_reached("north")
        self.store.return_to(copy)
        time.sleep(0.5)
        self.assertTrue(self.calls_reach(["north"]))
        self.set_emptied("south")
        time.sleep(2.5)
        self.assertTrue(self.calls_reach(["north"]))

    def test_orders_are_logged_and_counted(self):
        self.set_emptied("south")
        self.wait_until_reached("north")
        entry = self.entries[0]
        self.assertTrue(any("event=hall-emptied hall=south position=" in line for line in entry.lines), entry.lines[-5:])
        self.assertIn("stagepost_emptied_halls 1", entry.get_ready("/metrics").body)


if __name__ == "__main__":
    unittest.main()
