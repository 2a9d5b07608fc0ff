"""Sound requests, and parts of prompts, that are in flight at all upstreams of a service when these crash together.

Guards against a request that is refused for ten minutes, although its upstreams are back after seconds: three crashes at
one moment counted as three crashes that the request had caused, and a request that goes nowhere can't be answered. Also
guards against a part of prompts that is refused likewise, since the one daemon that may try it has no callers. And it
guards the other side: a request that crashes several upstreams at one moment, because many callers send it, must not
crash more of them than its trials allow.
"""

import collections
import threading
import time
import unittest

from crashing_upstream import CRASH, CrashingUpstream
from fleet import eventually
from platform_stand_ins import Store
from test_platform import HOST, KEY, Entry, free_port, manifest, request, route

HALLS = ("north", "south", "east")
WORK_S = 0.1
DOWN_S = 2.0
# From the return of the upstreams on. Their records take up to three seconds to be known.
MAX_RECOVERY_S = 6.0
# The requirement on requests that crash upstreams.
MAX_LATE_SENDS, LATE_AFTER_S = 3, 3.0


class SlowUpstream(CrashingUpstream):
    """Works on each request for a while, and is down for DOWN_S after a crash."""

    RESTART_DELAY_S = DOWN_S
    # The crashes of copies of a request that arrive together are together as well.
    CRASH_DELAY_S = 0.15

    is_down = False

    def plain(self, connection, request, fault):
        if CRASH not in request["body"]:
            self.released.wait(WORK_S)
        if self.is_down:
            raise ConnectionError("the upstream has crashed")
        return super().plain(connection, request, fault)

    def restart(self):
        self.is_down = False
        super().restart()


class CommonCrashes(unittest.TestCase):
    def setUp(self):
        self.store = Store()
        self.addCleanup(self.store.stop)
        routes = [route("lookup", "/lookup/", "safe", "book", maxAttempts=2), route("confirm", "/confirm/", "unsafe", "book", maxAttempts=1), route("open", "/open/", "safe", "chat"),
                  route("draft", "/stream/once/", "streaming", "book", sticky=True)]
        self.store.put("keyed.op", "config", manifest(3, routes=routes))
        self.lock = threading.Lock()
        self.attempts = 0
        self.answers = []
        self.done = threading.Event()

    def start(self, upstreams=3, daemons=3):
        self.books = [self.upstream(f"book-{number}", "book", HALLS[number % 3]) for number in range(upstreams)]
        # While some upstreams are up, daemons don't take their own links for lost.
        self.chats = [self.upstream(f"chat-{number}", "chat", HALLS[number % 3]) for number in range(6)]
        self.entries = [self.start_daemon(f"entry-{number}", HALLS[number % 3]) for number in range(daemons)]
        eventually(lambda: all(any(f"event=peers others={daemons - 1}" in line for line in entry.lines) for entry in self.entries), "the daemons know each other")

    def upstream(self, name, service, hall):
        upstream = SlowUpstream(name, service, self.store, hall)
        self.addCleanup(upstream.stop)
        return upstream

    def start_daemon(self, name, hall):
        entry = Entry(self.store, "--name", name, "--hall", hall, "--peer-listen", f"127.0.0.1:{free_port()}")
        self.addCleanup(entry.stop)
        eventually(entry.is_ready, "ready")
        return entry

    def call(self, entry, path, body):
        with self.lock:
            self.attempts += 1
            attempt = self.attempts
        fields = {"Host": HOST, "X-Attempt-Id": f"attempt-{attempt}", "X-Deadline-Ms": "2000", "X-Api-Key": KEY}
        if path.startswith("/stream/"):
            # A part for all prompts, and one of this prompt.
            fields["X-Prompt-Prefix"] = f"5c1e07a2:512,{attempt:08x}:40"
        try:
            return request(entry.endpoint, "POST", path, body, fields)
        except OSError:
            return None

    def keep_calling(self, kind, path, body, callers, period, entries=None):
        """Many callers send requests until the test ends. A body of None is another one each time."""

        def run(number):
            entry = (entries or self.entries)[number % len(entries or self.entries)]
            due = time.monotonic() + number * period / callers
            while not self.done.wait(max(0.0, due - time.monotonic())):
                begin = time.monotonic()
                reply = self.call(entry, path, f"a body of its own {number} {begin}" if body is None else body)
                with self.lock:
                    self.answers.append((kind, begin, reply))
                due = max(due + period, time.monotonic())

        for number in range(callers):
            thread = threading.Thread(target=run, args=(number,))
            thread.start()
            self.addCleanup(thread.join)
        self.addCleanup(self.done.set)

    def crash(self, upstreams):
        # An answer of one of them while others are down already would clear the request.
        for upstream in upstreams:
            upstream.is_down = True
        for upstream in upstreams:
            upstream.crash()
        return time.monotonic()

    def share(self, kind, begin, end):
        with self.lock:
            replies = [reply for each, at, reply in self.answers if each == kind and begin <= at < end]
        self.assertGreater(len(replies), 10, kind)
        return sum(reply is not None and reply.status == 200 for reply in replies) / len(replies)

    def statuses(self, kind, begin):
        with self.lock:
            return collections.Counter((reply.status, reply.headers["Retry-After"]) for each, at, reply in self.answers if each == kind and at >= begin and reply)

    def check_recovery(self, crashed_at):
        """The hot request is served as all others are, soon after the upstreams are back."""
        recovered_at = crashed_at + DOWN_S + MAX_RECOVERY_S
        time.sleep(recovered_at + 4 - time.monotonic())
        hot, other = (self.share(kind, recovered_at, recovered_at + 3) for kind in ("hot", "other"))
        self.assertGreater(other, 0.9)
        self.assertGreater(hot, 0.9, self.statuses("hot", recovered_at))

    def play(self, path, before=2.0, entries=None):
        self.keep_calling("other", "/lookup/x", None, 6, 0.2)
        if before:
            self.keep_calling("hot", path, "the same", 24, 0.15, entries)
            time.sleep(before)
            return self.crash(self.books)
        # No copy of the request is answered before the crash.
        time.sleep(1)
        self.keep_calling("hot", path, "the same", 24, 0.04, entries)
        time.sleep(0.06)
        return self.crash(self.books)

    def test_a_request_that_was_answered_before(self):
        self.start()
        self.check_recovery(self.play("/lookup/x"))

    def test_a_request_that_was_never_answered(self):
        self.start()
        self.check_recovery(self.play("/lookup/x", before=0))

    def test_an_unsafe_request(self):
        self.start()
        self.check_recovery(self.play("/confirm/x"))

    def test_again_soon_after_the_return(self):
        self.start()
        time.sleep(self.play("/lookup/x") + DOWN_S + 1.5 - time.monotonic())
        self.check_recovery(self.crash(self.books))

    def test_all_callers_at_one_daemon(self):
        """The daemon whose word counts on the trial may have no callers."""
        self.start(daemons=6)
        self.check_recovery(self.play("/lookup/x", entries=self.entries[:1]))

    def test_daemons_are_killed_meanwhile(self):
        """Whoever grants the trial, or has it, may be gone."""
        self.start(daemons=5)
        crashed_at = self.play("/lookup/x", entries=self.entries[:2])
        time.sleep(0.3)
        for entry in self.entries[2:4]:
            entry.kill()
        self.entries = self.entries[:2] + self.entries[4:]
        recovered_at = crashed_at + DOWN_S + MAX_RECOVERY_S
        time.sleep(recovered_at + 3 - time.monotonic())
        self.assertGreater(self.share("hot", recovered_at, recovered_at + 2), 0.9, self.statuses("hot", recovered_at))

    def test_a_part_of_all_prompts(self):
        self.start(daemons=7)
        for book in self.books:
            book.events, book.event_pause, book.slots = 12, 0.1, 64
        self.keep_calling("other", "/open/x", None, 6, 0.2)
        time.sleep(0.5)
        # No stream ends before the crash. The daemon that all callers are at is seldom the one that a hash would choose.
        self.keep_calling("hot", "/stream/once/x", None, 12, 0.3, self.entries[-1:])
        time.sleep(0.6)
        self.check_recovery(self.crash(self.books))

    def test_copies_that_crash_several_upstreams_at_one_moment(self):
        self.start(upstreams=9)
        self.keep_calling("other", "/open/x", None, 3, 0.2)
        body = CRASH.decode() + " for many callers"
        callers = [threading.Thread(target=self.call, args=(self.entries[number % 3], "/confirm/x", body)) for number in range(5)]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()
        self.keep_calling("crashing", "/confirm/x", body, 6, 0.1)
        time.sleep(16)
        crashes = sorted(at for book in self.books for at in book.crash_times)
        self.assertGreaterEqual(len(crashes), 3)
        arrivals = sorted(at for book in self.books for at in book.crash_arrivals)
        late = [at - crashes[2] for at in arrivals if at > crashes[2] + LATE_AFTER_S]
        self.assertLessEqual(len(late), MAX_LATE_SENDS, late)
        # Nor do many upstreams crash before the verdict is known.
        self.assertLessEqual(len(crashes), len(callers) + 2 * MAX_LATE_SENDS)


if __name__ == "__main__":
    unittest.main()
