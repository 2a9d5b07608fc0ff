"""A daemon whose VM is suspended for some seconds, beside one that is frozen.

The steady clock stands still while a VM is suspended, and goes on while a process is frozen. A daemon that
counted on it woke up believing all to be as young as before: it handled nine of nine requests
by a key that had been taken away six seconds before, where two are allowed, and said that it was ready.
"""

import functools
import os
import signal
import tempfile
import threading
import time
import unittest

from fleet import BUILD, eventually
from platform_stand_ins import Store, Upstream
from test_platform import HOST, KEY, Entry, manifest, request

# The daemons' bound on keys is 2 s.
AWAY = 3.0
# The daemon with a steady clock that can be suspended.
SUSPENDABLE = f"{BUILD}/Tests/StandIns/stagepostd-platform-suspendable"


class SuspendedTime:
    """How much of the time that passed a daemon's steady clock does not count."""

    def __init__(self):
        self.file = tempfile.NamedTemporaryFile()
        self.seconds = 0.0
        self.environment = dict(os.environ, STAGEPOST_SUSPENDED_TIME_FILE=self.file.name)

    def add(self, seconds):
        self.seconds += seconds
        # In one write, since the daemon reads at any time.
        os.pwrite(self.file.fileno(), str(int(self.seconds * 1e9)).encode(), 0)

    def close(self):
        self.file.close()


class SuspendableEntry(Entry):
    def __init__(self, store, *extra):
        self.suspended_time = SuspendedTime()
        super().__init__(store, *extra, program=SUSPENDABLE, environment=self.suspended_time.environment)

    def freeze(self, seconds, meanwhile=lambda: None):
        """The process stands still; its clocks go on."""
        self.process.send_signal(signal.SIGSTOP)
        began = time.monotonic()
        meanwhile()
        time.sleep(max(0.0, seconds - (time.monotonic() - began)))
        self.process.send_signal(signal.SIGCONT)

    def suspend(self, seconds, meanwhile=lambda: None):
        """The VM stands still, and its steady clock with it."""
        began = time.monotonic()

        def leave_out():
            meanwhile()
            time.sleep(max(0.0, seconds - (time.monotonic() - began)))
            self.suspended_time.add(time.monotonic() - began)

        self.freeze(seconds, leave_out)

    def stop(self):
        super().stop()
        self.suspended_time.close()


def in_both_ways(test):
    """Both ways of standing still are to come to the same."""
    @functools.wraps(test)
    def run(self):
        for stand_still in (self.entry.suspend, self.entry.freeze):
            with self.subTest(way=stand_still.__name__):
                # It refuses for some milliseconds after the way before.
                eventually(self.entry.is_ready, "ready")
                test(self, stand_still)
    return run


class Suspension(unittest.TestCase):
    def setUp(self):
        self.store = Store()
        self.addCleanup(self.store.stop)
        self.books = [self.upstream(f"book-{number}", "book") for number in (1, 2)]
        self.chats = [self.upstream(f"chat-{number}", "chat") for number in (1, 2)]
        self.store.put("keyed.op", "config", manifest(3))
        self.entry = self.start("entry-1")
        self.attempts = 0

    def start(self, name, *extra):
        entry = SuspendableEntry(self.store, "--name", name, *extra)
        self.addCleanup(entry.stop)
        eventually(entry.is_ready, "ready")
        eventually(lambda: any("event=peers" in line for line in entry.lines), "registered")
        return entry

    def upstream(self, instance, service):
        upstream = Upstream(instance, service)
        self.addCleanup(upstream.stop)
        self.store.put("keyed.servers", instance, upstream.record())
        return upstream

    def call(self, path="/lookup/x", entry=None, **headers):
        self.attempts += 1
        fields = {"Host": HOST, "X-Attempt-Id": f"attempt-{self.attempts}", "X-Deadline-Ms": "1500", "X-Api-Key": KEY, **headers}
        return request((entry or self.entry).endpoint, "POST", path, "a call", fields)

    def runs(self, upstreams):
        return sum(len(upstream.runs()) for upstream in upstreams)

    def lose_store(self):
        self.store.mode = "busy"

    def regain_store(self):
        self.store.mode = "up"
        eventually(self.entry.is_ready, "ready again")

    @in_both_ways
    def test_no_request_is_handled_by_what_was_believed_before(self, stand_still):
        runs = self.runs(self.books)
        stand_still(AWAY, self.lose_store)
        self.assertEqual([self.call().status for _ in range(9)], [503] * 9)
        self.assertFalse(self.entry.is_ready())
        self.assertEqual(self.runs(self.books), runs)
        self.regain_store()
        self.assertEqual(self.call().status, 200)

    @in_both_ways
    def test_a_request_that_comes_on_an_open_connection_as_it_wakes_is_refused(self, stand_still):
        replies = []
        stand_still(AWAY, lambda: (self.lose_store(), self.call_in_background(replies)))
        eventually(lambda: replies, "an answer")
        self.assertEqual(replies[0].status, 503)
        self.regain_store()

    def call_in_background(self, replies, path="/lookup/x", **headers):
        caller = threading.Thread(target=lambda: replies.append(self.call(path, **headers)))
        caller.start()
        self.addCleanup(caller.join)

    @in_both_ways
    def test_a_key_that_was_taken_away_meanwhile_is_not_taken(self, stand_still):
        version = 10 * self.attempts + 10
        changed = manifest(version + 1, tenants=[{"name": "club", "apiKeys": ["another-key"]}])
        stand_still(AWAY, lambda: self.store.put("keyed.op", "config", changed))
        for _ in range(9):
            self.assertIn(self.call().status, (401, 503))
        self.store.put("keyed.op", "config", manifest(version + 2))
        eventually(lambda: self.call().status == 200, "the key is back")

    @in_both_ways
    def test_an_upstream_that_left_meanwhile_gets_nothing(self, stand_still):
        for _ in range(9):
            self.call()
        # The one that is preferred.
        left = max(self.books, key=lambda book: len(book.runs()))
        stand_still(AWAY, lambda: self.store.put("keyed.servers", left.instance, left.record(state="draining")))
        runs = len(left.runs())
        for _ in range(9):
            self.call()
        eventually(self.entry.is_ready, "ready again")
        for _ in range(9):
            self.assertEqual(self.call().status, 200)
        self.assertEqual(len(left.runs()), runs)
        lists = self.count("event=upstreams ")
        self.store.put("keyed.servers", left.instance, left.record())
        eventually(lambda: self.count("event=upstreams ") > lists, "it is back")

    def count(self, words):
        return sum(words in line for line in self.entry.lines)

    @in_both_ways
    def test_a_request_whose_time_was_over_gets_its_final_answer_and_is_not_sent_again(self, stand_still):
        for book in self.books:
            book.fault = "mute"
        replies = []
        runs = self.runs(self.books)
        self.call_in_background(replies, "/confirm/x")
        eventually(lambda: self.runs(self.books) == runs + 1, "it runs")
        runs = self.runs(self.books)
        stand_still(AWAY)
        woke = time.monotonic()
        eventually(lambda: replies, "an answer")
        self.assertLess(time.monotonic() - woke, 1.0)
        self.assertEqual(replies[0].status, 504)
        self.assertEqual(self.runs(self.books), runs)
        for book in self.books:
            book.fault = None
            book.released.set()
            book.released = threading.Event()

    @in_both_ways
    def test_a_ready_answer_and_a_running_stream_are_delivered(self, stand_still):
        for chat in self.chats:
            chat.events, chat.event_pause = 40, 0.02
        replies = []
        runs = self.runs(self.chats)
        self.call_in_background(replies, "/stream/once/x", **{"X-Deadline-Ms": "10000"})
        eventually(lambda: self.runs(self.chats) == runs + 1, "it runs")
        stand_still(1.0)
        eventually(lambda: replies, "an answer")
        self.assertEqual(replies[0].body.count("word"), 40)

    @in_both_ways
    def test_twice_in_a_row(self, stand_still):
        runs = self.runs(self.books)
        stand_still(1.5, self.lose_store)
        stand_still(1.5)
        self.assertEqual(self.call().status, 503)
        self.assertEqual(self.runs(self.books), runs)
        self.regain_store()

    def test_in_the_middle_of_a_planned_stop(self):
        for chat in self.chats:
            chat.events, chat.event_pause = 40, 0.02
        replies = []
        self.call_in_background(replies, "/stream/once/x")
        eventually(lambda: self.runs(self.chats) == 1, "it runs")
        self.entry.process.send_signal(signal.SIGTERM)
        self.entry.suspend(1.0)
        eventually(lambda: replies, "an answer")
        self.assertEqual(replies[0].body.count("word"), 40)
        # Four seconds are allowed, of which one was slept away.
        self.assertEqual(self.entry.process.wait(5), 0)

    def test_an_operator_is_told_once_how_long_it_was(self):
        self.entry.suspend(1.5)
        line = eventually(lambda: next((line for line in self.entry.lines if "event=resumed" in line), None), "the line")
        suspended = int(line.split("suspended_ms=")[1].split()[0])
        self.assertTrue(1300 <= suspended <= 1900, line)
        self.call()
        self.assertEqual(sum("event=resumed" in line for line in self.entry.lines), 1)
        self.assertIn("stagepost_suspended_seconds_count 1", self.entry.get_ready("/metrics").body)

    def test_some_daemons_at_once(self):
        others = [self.start(f"entry-{number}") for number in (2, 3)]
        fleet = [self.entry, *others]
        for entry in fleet:
            entry.process.send_signal(signal.SIGSTOP)
        began = time.monotonic()
        self.store.put("keyed.op", "config", manifest(9, tenants=[{"name": "club", "apiKeys": ["another-key"]}]))
        time.sleep(AWAY)
        for entry in fleet:
            entry.suspended_time.add(time.monotonic() - began)
            entry.process.send_signal(signal.SIGCONT)
        runs = self.runs(self.books)
        for _ in range(5):
            for entry in fleet:
                self.assertIn(self.call(entry=entry).status, (401, 503))
        self.assertEqual(self.runs(self.books), runs)
        for entry in fleet:
            eventually(entry.is_ready, "ready again")


if __name__ == "__main__":
    unittest.main()
