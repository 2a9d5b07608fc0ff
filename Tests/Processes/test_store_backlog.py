"""Daemons that the store turns away miss more records than it returns to one read.

Such a daemon must not take the first of the records for all of them: the configuration that it
knows is outdated, and a key that was removed since must not be accepted once the bound has passed.
"""

import os
import threading
import time
import unittest

from fleet import eventually
from platform_stand_ins import Store, Upstream
from test_platform import HOST, Entry, manifest, request, route

KEPT_KEY, REMOVED_KEY = "a-key-that-stays", "a-key-that-is-removed"
# --key-bound-ms of the daemons.
KEY_BOUND_S = 2.0
# Within this time of the store's return, a daemon has to serve again.
RETURN_BOUND_S = 3.0
TURNED_AWAY_S = 4.0
CHANGES, CHANGE_GAP_S = 25, 0.06
CALL_GAP_S = 0.02
# The sizes of a configuration, in routes.
ROUTES_125_KB, ROUTES_230_KB = 460, 850


class Door:
    """One daemon's address of the store, which can turn that daemon away."""

    def __init__(self, store):
        self.server = store.add_server()
        self.endpoint = self.server.endpoint

    def turn_away(self, duration):
        self.server.is_busy = True
        time.sleep(duration)
        self.server.is_busy = False


class InterruptingStore(Store):
    """A store that can turn a daemon away again right after it has answered a read of configurations in part."""

    def __init__(self):
        super().__init__()
        # When each address was asked for configurations.
        self.asked_at = {}
        self.interrupts = False
        self.interrupted = threading.Event()

    def answer(self, handler):
        if "topic=keyed.op&" in handler.path:
            self.asked_at.setdefault(handler.server, []).append(time.monotonic())
        super().answer(handler)

    def answer_read(self, handler, query):
        super().answer_read(handler, query)
        is_partial = query["topic"] == "keyed.op" and len(self.topics["keyed.op"]) - int(query["from"]) >= CHANGES
        if self.interrupts and is_partial and not self.interrupted.is_set():
            handler.server.is_busy = True
            self.interrupted.set()


class StoreBacklog(unittest.TestCase):
    def setUp(self):
        self.store = InterruptingStore()
        self.addCleanup(self.store.stop)
        self.book = Upstream("book-1", "book")
        self.addCleanup(self.book.stop)
        self.store.put("keyed.servers", "book-1", self.book.record())
        self.version = 0
        self.sent_at = {}

    def publish(self, routes, *keys):
        self.version += 1
        idle = [route(f"idle-{number:03}", f"/idle/{number:03}/", "streaming", "chat", sticky=True, resumable=True, targetGapMs=200, timeoutMs=9000 + (self.version if number == 0 else 0))
                for number in range(routes)]
        configuration = manifest(self.version, tenants=[{"name": "club", "apiKeys": list(keys), "priority": 3}])
        self.store.put("keyed.op", "config", dict(configuration, routes=configuration["routes"] + idle))
        return time.monotonic()

    def start(self, routes, halls):
        self.publish(routes, KEPT_KEY, REMOVED_KEY)
        doors = [Door(self.store) for _ in halls]
        entries = [Entry(door, "--name", f"entry-{number}", "--hall", hall) for number, (door, hall) in enumerate(zip(doors, halls))]
        for entry in entries:
            self.addCleanup(entry.stop)
            eventually(entry.is_ready, "ready")
        if len(halls) > 1:
            eventually(lambda: all(any(f"event=peers others={len(halls) - 1}" in line for line in entry.lines) for entry in entries), "the daemons know each other")
        return entries, doors

    def call(self, entry, attempt, key):
        self.sent_at[attempt] = time.monotonic()
        headers = {"Host": HOST, "X-Attempt-Id": attempt, "X-Deadline-Ms": "600", "X-Api-Key": key, "Connection": "close"}
        try:
            return request(entry.endpoint, "GET", "/lookup/x", None, headers).status
        except OSError:
            return None

    def call_until(self, entry, name, end, first_served):
        """Calls with both keys. Notes when the key that stays was served first after the outage."""
        number = 0
        while time.monotonic() < end:
            number += 1
            self.call(entry, f"removed-{name}-{number}", REMOVED_KEY)
            if self.call(entry, f"kept-{name}-{number}", KEPT_KEY) == 200:
                first_served.setdefault(name, time.monotonic())
            time.sleep(CALL_GAP_S)

    def storm(self, routes):
        """Publishes configurations, the last of them without a key, and returns the time of that one."""
        for _ in range(CHANGES):
            self.publish(routes, KEPT_KEY, REMOVED_KEY)
            time.sleep(CHANGE_GAP_S)
        return self.publish(routes, KEPT_KEY)

    def go_on_publishing(self, routes, until):
        while time.monotonic() < until:
            self.publish(routes, KEPT_KEY)
            time.sleep(CHANGE_GAP_S)

    def late_runs(self, removed_at):
        limit = removed_at + KEY_BOUND_S
        return sorted((self.sent_at[run["headers"]["x-attempt-id"]] - removed_at, run["headers"]["x-attempt-id"]) for run in self.book.runs()
                      if run["headers"]["x-attempt-id"].startswith("removed-") and self.sent_at[run["headers"]["x-attempt-id"]] > limit)

    def play(self, routes, halls=("north",), turned_away_again=False, storm_goes_on=False, turned_away_longer=()):
        entries, doors = self.start(routes, halls)
        for number in turned_away_longer:
            doors[number].server.is_busy = True
        outages = [threading.Thread(target=door.turn_away, args=(TURNED_AWAY_S,)) for number, door in enumerate(doors) if number not in turned_away_longer]
        for outage in outages:
            outage.start()
        removed_at = self.storm(routes)
        self.store.interrupts = turned_away_again
        for outage in outages:
            outage.join()
        if turned_away_again:
            self.assertTrue(self.store.interrupted.wait(RETURN_BOUND_S), "the daemon has read the first records")
            doors[0].turn_away(2.5)
        returned_at = time.monotonic()
        served = {}
        end = returned_at + RETURN_BOUND_S + 1
        threads = [threading.Thread(target=self.go_on_publishing, args=(routes, end))] if storm_goes_on else []
        threads += [threading.Thread(target=self.call_until, args=(entry, f"entry-{number}", end, served)) for number, entry in enumerate(entries)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        lines = "".join(line for entry in entries for line in entry.lines if "topic-" in line or "settings-" in line or "ready" in line)
        self.assertEqual(self.late_runs(removed_at), [], lines)
        self.assertEqual(sorted(served), sorted(f"entry-{number}" for number in range(len(entries))), lines)
        for name, at in served.items():
            self.assertLess(at - returned_at, RETURN_BOUND_S, name + "\n" + lines)
        return entries

    def test_a_removed_key_is_not_accepted_after_a_missed_backlog(self):
        entries = self.play(ROUTES_125_KB)
        text = entries[0].get_ready("/metrics").body
        self.assertIn('stagepost_topic_partial_reads_total{topic="keyed.op"} 1\n', text)
        self.assertTrue(any("event=topic-behind topic=keyed.op" in line for line in entries[0].lines))
        self.assertTrue(any("event=topic-caught-up topic=keyed.op" in line for line in entries[0].lines))

    def test_a_removed_key_is_not_accepted_after_a_missed_backlog_of_large_configurations(self):
        self.play(ROUTES_230_KB)

    def test_the_first_records_prove_nothing_during_a_second_outage(self):
        self.play(ROUTES_125_KB, turned_away_again=True)

    def test_two_daemons_that_both_missed_a_backlog_do_not_confirm_each_other(self):
        self.play(ROUTES_125_KB, halls=("north", "south"))

    def test_two_daemons_of_a_hall_that_both_missed_a_backlog_do_not_confirm_each_other(self):
        self.play(ROUTES_125_KB, halls=("north", "north"))

    def test_each_daemon_asks_often_enough_to_notice_the_return(self):
        """One of the two reads the store for the other, which asked every two to four seconds."""
        _, doors = self.start(ROUTES_125_KB, ("north", "north"))
        since = time.monotonic() + 1
        outages = [threading.Thread(target=door.turn_away, args=(16,)) for door in doors]
        for outage in outages:
            outage.start()
        for outage in outages:
            outage.join()
        until = time.monotonic()
        for door in doors:
            times = [since, *(at for at in self.store.asked_at[door.server] if since < at < until), until]
            gaps = [later - earlier for earlier, later in zip(times, times[1:])]
            self.assertLess(max(gaps), RETURN_BOUND_S - 1, gaps)

    # Either daemon may be the one that reads the store for the other.

    def test_all_daemons_are_back_while_the_first_is_turned_away_longer(self):
        self.play(ROUTES_125_KB, halls=("north", "north"), turned_away_longer=(0,))

    def test_all_daemons_are_back_while_the_second_is_turned_away_longer(self):
        self.play(ROUTES_125_KB, halls=("north", "north"), turned_away_longer=(1,))

    def test_a_daemon_catches_up_while_configurations_go_on_coming(self):
        self.play(ROUTES_230_KB, storm_goes_on=True)


if __name__ == "__main__":
    unittest.main()
