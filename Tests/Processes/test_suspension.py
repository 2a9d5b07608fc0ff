"""A daemon is suspended with its VM, or frozen as a process, for some seconds.

Guards against decisions by outdated state after a suspension. The steady clock stops while a VM is suspended, but
not while a process is frozen. A daemon that measured the age of its state with this clock considered it current
after the suspension: it accepted nine of nine requests with a key that had been removed 6 s before, where the
limit is 2 s, and reported that it was ready.
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

# Exceeds the key bound of the daemons, 2 s.
PAUSE_S = 3.0
# A daemon whose steady clock the test can stop.
SUSPENDABLE = f"{BUILD}/Tests/StandIns/stagepostd-platform-suspendable"


class SuspendedTime:
    """The time during which the steady clock of a daemon was stopped."""

    def __init__(self):
        self.file = tempfile.NamedTemporaryFile()
        self.seconds = 0.0
        self.environment = dict(os.environ, STAGEPOST_SUSPENDED_TIME_FILE=self.file.name)

    def add(self, seconds):
        self.seconds += seconds
        # A single write, since the daemon may read the file at any time.
        os.pwrite(self.file.fileno(), str(int(self.seconds * 1e9)).encode(), 0)

    def close(self):
        self.file.close()


class SuspendableEntry(Entry):
    def __init__(self, store, *extra):
        self.suspended_time = SuspendedTime()
        super().__init__(store, *extra, program=SUSPENDABLE, environment=self.suspended_time.environment)

    def freeze(self, seconds, meanwhile=lambda: None):
        """Stops the process but not its clocks."""
        self.process.send_signal(signal.SIGSTOP)
        start_time = time.monotonic()
        meanwhile()
        time.sleep(max(0.0, seconds - (time.monotonic() - start_time)))
        self.process.send_signal(signal.SIGCONT)

    def suspend(self, seconds, meanwhile=lambda: None):
        """Stops the process and its steady clock, as a suspension of the VM does."""
        start_time = time.monotonic()

        def stop_clock():
            meanwhile()
            time.sleep(max(0.0, seconds - (time.monotonic() - start_time)))
            self.suspended_time.add(time.monotonic() - start_time)

        self.freeze(seconds, stop_clock)

    def stop(self):
        super().stop()
        self.suspended_time.close()


def suspended_and_frozen(test):
    """Runs the test with a suspended VM and with a frozen process, which must behave alike."""
    @functools.wraps(test)
    def run(self):
        for pause in (self.entry.suspend, self.entry.freeze):
            with self.subTest(way=pause.__name__):
                # The daemon refuses requests for some milliseconds after the previous run.
                eventually(self.entry.is_ready, "ready")
                test(self, pause)
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

    def restore_store(self):
        self.store.mode = "up"
        eventually(self.entry.is_ready, "ready again")

    @suspended_and_frozen
    def test_requests_are_refused_while_the_configuration_is_too_old(self, pause):
        runs = self.runs(self.books)
        pause(PAUSE_S, self.lose_store)
        self.assertEqual([self.call().status for _ in range(9)], [503] * 9)
        self.assertFalse(self.entry.is_ready())
        self.assertEqual(self.runs(self.books), runs)
        self.restore_store()
        self.assertEqual(self.call().status, 200)

    @suspended_and_frozen
    def test_a_request_that_is_pending_at_the_resumption_is_refused(self, pause):
        replies = []
        pause(PAUSE_S, lambda: (self.lose_store(), self.call_in_background(replies)))
        eventually(lambda: replies, "an answer")
        self.assertEqual(replies[0].status, 503)
        self.restore_store()

    def call_in_background(self, replies, path="/lookup/x", **headers):
        caller = threading.Thread(target=lambda: replies.append(self.call(path, **headers)))
        caller.start()
        self.addCleanup(caller.join)

    @suspended_and_frozen
    def test_a_key_that_was_removed_meanwhile_is_rejected(self, pause):
        version = 10 * self.attempts + 10
        changed = manifest(version + 1, tenants=[{"name": "club", "apiKeys": ["another-key"]}])
        pause(PAUSE_S, lambda: self.store.put("keyed.op", "config", changed))
        for _ in range(9):
            self.assertIn(self.call().status, (401, 503))
        self.store.put("keyed.op", "config", manifest(version + 2))
        eventually(lambda: self.call().status == 200, "the key is valid again")

    @suspended_and_frozen
    def test_an_upstream_that_left_meanwhile_gets_no_requests(self, pause):
        for _ in range(9):
            self.call()
        # The upstream that the daemon prefers.
        left = max(self.books, key=lambda book: len(book.runs()))
        pause(PAUSE_S, lambda: self.store.put("keyed.servers", left.instance, left.record(state="draining")))
        runs = len(left.runs())
        for _ in range(9):
            self.call()
        eventually(self.entry.is_ready, "ready again")
        for _ in range(9):
            self.assertEqual(self.call().status, 200)
        self.assertEqual(len(left.runs()), runs)
        lists = self.count("event=upstreams ")
        self.store.put("keyed.servers", left.instance, left.record())
        eventually(lambda: self.count("event=upstreams ") > lists, "the upstream is back")

    def count(self, words):
        return sum(words in line for line in self.entry.lines)

    @suspended_and_frozen
    def test_a_request_past_its_deadline_is_answered_and_not_retried(self, pause):
        for book in self.books:
            book.fault = "mute"
        replies = []
        runs = self.runs(self.books)
        self.call_in_background(replies, "/confirm/x")
        eventually(lambda: self.runs(self.books) == runs + 1, "it runs")
        runs = self.runs(self.books)
        pause(PAUSE_S)
        woke = time.monotonic()
        eventually(lambda: replies, "an answer")
        self.assertLess(time.monotonic() - woke, 1.0)
        self.assertEqual(replies[0].status, 504)
        self.assertEqual(self.runs(self.books), runs)
        for book in self.books:
            book.fault = None
            book.released.set()
            book.released = threading.Event()

    @suspended_and_frozen
    def test_a_running_stream_is_delivered(self, pause):
        for chat in self.chats:
            chat.events, chat.event_pause = 40, 0.02
        replies = []
        runs = self.runs(self.chats)
        self.call_in_background(replies, "/stream/once/x", **{"X-Deadline-Ms": "10000"})
        eventually(lambda: self.runs(self.chats) == runs + 1, "it runs")
        pause(1.0)
        eventually(lambda: replies, "an answer")
        self.assertEqual(replies[0].body.count("word"), 40)

    @suspended_and_frozen
    def test_two_pauses_in_succession(self, pause):
        runs = self.runs(self.books)
        pause(1.5, self.lose_store)
        pause(1.5)
        self.assertEqual(self.call().status, 503)
        self.assertEqual(self.runs(self.books), runs)
        self.restore_store()

    def test_suspension_during_a_planned_stop(self):
        for chat in self.chats:
            chat.events, chat.event_pause = 40, 0.02
        replies = []
        self.call_in_background(replies, "/stream/once/x")
        eventually(lambda: self.runs(self.chats) == 1, "it runs")
        self.entry.process.send_signal(signal.SIGTERM)
        self.entry.suspend(1.0)
        eventually(lambda: replies, "an answer")
        self.assertEqual(replies[0].body.count("word"), 40)
        # The limit is 4 s, of which 1 s was spent suspended.
        self.assertEqual(self.entry.process.wait(5), 0)

    def test_the_duration_of_a_suspension_is_logged_once(self):
        self.entry.suspend(1.5)
        line = eventually(lambda: next((line for line in self.entry.lines if "event=resumed" in line), None), "the line")
        suspended = int(line.split("suspended_ms=")[1].split()[0])
        self.assertTrue(1300 <= suspended <= 1900, line)
        self.call()
        self.assertEqual(sum("event=resumed" in line for line in self.entry.lines), 1)
        self.assertIn("stagepost_suspended_seconds_count 1", self.entry.get_ready("/metrics").body)

    def test_several_daemons_are_suspended_together(self):
        others = [self.start(f"entry-{number}") for number in (2, 3)]
        fleet = [self.entry, *others]
        for entry in fleet:
            entry.process.send_signal(signal.SIGSTOP)
        start_time = time.monotonic()
        self.store.put("keyed.op", "config", manifest(9, tenants=[{"name": "club", "apiKeys": ["another-key"]}]))
        time.sleep(PAUSE_S)
        for entry in fleet:
            entry.suspended_time.add(time.monotonic() - start_time)
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
