"""Operators empty halls: their upstreams get nothing further until that is taken back."""

import time
import unittest

from fleet import eventually
from test_platform import HOST, KEY, Entry, manifest, request
from platform_stand_ins import Store, Upstream

HALLS = ("north", "south")
# How soon an order is to be in force everywhere.
BOUND_S = 5


class EmptiedHalls(unittest.TestCase):
    def setUp(self):
        self.store = Store()
        self.addCleanup(self.store.stop)
        self.attempts = 0
        self.upstreams = {hall: [self.upstream(f"{service}-{hall}", service, hall) for service in ("book", "chat")] for hall in HALLS}
        self.store.put("keyed.op", "config", manifest(3))
        self.entries = [self.start(f"entry-{hall}", hall) for hall in HALLS]
        eventually(lambda: all(any("event=peers others=1" in line for line in entry.lines) for entry in self.entries), "both know one another")

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

    def order(self, hall, is_emptied=True):
        self.store.put("keyed.op", f"evacuate/{hall}", {} if is_emptied else None)

    def call(self, entry, path="/lookup/x"):
        self.attempts += 1
        fields = {"Host": HOST, "X-Attempt-Id": f"attempt-{self.attempts}", "X-Deadline-Ms": "1500", "X-Api-Key": KEY}
        if path.startswith("/stream/"):
            fields["X-Prompt-Prefix"] = f"aa:500,{self.attempts:x}b:9000,cc:30"
        return request(entry.endpoint, "GET", path, None, fields)

    def sent_to(self, hall):
        return sum(len(upstream.requests) for upstream in self.upstreams[hall])

    def calls_reach(self, halls, count=8):
        """Whether calls at every daemon reach just these halls' upstreams."""
        before = {hall: self.sent_to(hall) for hall in HALLS}
        for number in range(count):
            for entry in self.entries:
                for path in ("/lookup/x", "/stream/again/x"):
                    self.call(entry, path)
        return {hall for hall in HALLS if self.sent_to(hall) > before[hall]} == set(halls)

    def await_reached(self, *halls):
        end = time.monotonic() + BOUND_S
        while not self.calls_reach(halls, 4):
            self.assertLess(time.monotonic(), end, f"{halls} alone are to be reached")
        self.assertTrue(self.calls_reach(halls))

    def test_an_order_is_in_force_until_it_is_taken_back(self):
        self.await_reached("north", "south")
        self.order("south")
        self.await_reached("north")
        self.order("south", False)
        self.await_reached("north", "south")

    def test_an_order_taken_back_and_given_again_holds(self):
        self.order("south")
        self.await_reached("north")
        self.order("south", False)
        self.order("south")
        time.sleep(0.5)
        self.assertTrue(self.calls_reach(["north"]))

    def test_an_order_comes_after_the_history_has_gone(self):
        self.order("south")
        self.store.forget_history()
        self.await_reached("north")
        self.order("south", False)
        self.store.forget_history()
        self.await_reached("north", "south")

    def test_a_daemon_that_starts_amid_it_knows(self):
        self.order("south")
        self.await_reached("north")
        self.entries.append(self.start("entry-late", "south"))
        self.assertTrue(self.calls_reach(["north"]))

    def test_a_daemon_that_is_cut_off_from_the_store_is_told(self):
        door = self.store.door()
        door_store = type("DoorStore", (), {"endpoint": door.endpoint})
        self.entries.append(self.start("entry-cut", "north", door_store))
        eventually(lambda: any("event=peers others=2" in line for line in self.entries[-1].lines), "registered")
        door.is_busy = True
        self.order("south")
        self.await_reached("north")
        self.order("south", False)
        self.await_reached("north", "south")

    def test_what_all_halls_are_emptied_of_is_refused_at_once_as_not_run(self):
        for hall in HALLS:
            self.order(hall)
        self.await_reached()
        since = time.monotonic()
        answer = self.call(self.entries[0])
        self.assertLess(time.monotonic() - since, 0.3)
        self.assertEqual(answer.status, 503)
        self.assertIn("Retry-After", answer.headers)

    def test_other_orders_and_values_harm_nothing(self):
        self.order("nowhere")
        self.store.put_raw("keyed.op", "evacuate/south", b"\xff not json")
        self.await_reached("north")
        self.store.put("keyed.op", "config", manifest(4))
        time.sleep(0.5)
        self.assertTrue(self.calls_reach(["north"]))

    def test_a_store_back_from_a_copy_keeps_what_is_written_again(self):
        self.store.era = 1
        copy = self.store.copy()
        self.order("south")
        self.await_reached("north")
        self.store.return_to(copy)
        time.sleep(0.5)
        self.assertTrue(self.calls_reach(["north"]))
        self.order("south")
        time.sleep(2.5)
        self.assertTrue(self.calls_reach(["north"]))

    def test_orders_and_their_age_are_logged_and_counted(self):
        self.order("south")
        self.await_reached("north")
        entry = self.entries[0]
        self.assertTrue(any("event=hall-emptied hall=south position=" in line for line in entry.lines), entry.lines[-5:])
        self.assertIn("stagepost_emptied_halls 1", entry.get_ready("/metrics").body)


if __name__ == "__main__":
    unittest.main()
