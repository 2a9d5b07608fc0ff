"""The fleet's retries stay within its budget while daemons are stopped, killed, added and cut off.

Nine daemons in three halls, whose upstreams reject most requests. Counted is what reaches the upstreams.
"""

import bisect
import dataclasses
import os
import random
import signal
import threading
import time
import unittest

from fleet import PATIENCE, Ports, eventually
from platform_stand_ins import Store, Upstream
from rollout_fleet import HALLS, Member, Network, cut_off
from test_platform import HOST, KEY, manifest, request, route

SEED = int(os.environ.get("STAGEPOST_SEED", "70"))
DAEMONS = 9
REQUESTS_PER_SECOND = 60
REJECTED_SHARE = 0.9
RATIO, SLACK, WINDOW_SECONDS = 0.2, 40, 4.0
# A restarted daemon has none of the slack for a window and a half.
SETTLE_SECONDS = 1.5 * WINDOW_SECONDS + 1.0


@dataclasses.dataclass
class RetryWindow:
    """A window in which the most arrivals at the upstreams were repeats, compared with what is allowed."""

    repeats: int
    requests: int
    slack: int

    @property
    def allowed(self):
        return RATIO * self.requests + self.slack

    @property
    def surplus(self):
        return self.repeats - self.allowed


class RejectingUpstream(Upstream):
    """An upstream that rejects a share of its requests without running them."""

    def __init__(self, rejections, *arguments):
        self.rejections, self.rejected_share = rejections, 0.0
        super().__init__(*arguments)

    def serve_one(self, connection, reader):
        with self.lock:
            self.next_faults = ["refuse"] if self.rejections.random() < self.rejected_share else []
        return super().serve_one(connection, reader)


class RetryBudgetCase(unittest.TestCase):
    """A fleet, its upstreams and its callers."""

    slack = SLACK

    def setUp(self):
        self.random = random.Random(SEED)
        self.ports, self.store, self.network = Ports(self.random.randrange(500)), Store(), Network(SEED)
        self.addCleanup(self.store.stop)
        self.flags = ("--retry-ratio", str(RATIO), "--retry-slack", str(self.slack), "--retry-window-s", str(WINDOW_SECONDS), "--key-bound-ms", "0")
        self.upstreams = [RejectingUpstream(random.Random(f"{SEED} {number}"), f"book-{number}", "book", HALLS[number % len(HALLS)]) for number in range(6)]
        for upstream in self.upstreams:
            self.addCleanup(upstream.stop)
            self.store.put("keyed.servers", upstream.instance, upstream.record())
        self.store.put("keyed.op", "config", manifest(3, routes=[route("lookup", "/lookup/", "safe", "book", maxAttempts=3)]))
        self.members = []
        self.add_members(DAEMONS)
        eventually(lambda: all(knows(member, DAEMONS - 1) for member in self.members), "all daemons know each other")
        self.sent_at = []
        self.callers = []
        # The daemon that most requests go to, if any.
        self.preferred = None
        self.is_over = threading.Event()
        self.traffic = threading.Thread(target=self.send_requests)
        self.addCleanup(self.end_traffic)

    def add_members(self, count):
        added = [Member(self, len(self.members) + index) for index in range(count)]
        self.members += added
        for member in added:
            self.addCleanup(member.stop)
        for_each(added, Member.start)

    def start_traffic(self):
        self.traffic.start()
        time.sleep(SETTLE_SECONDS)
        for upstream in self.upstreams:
            upstream.rejected_share = REJECTED_SHARE

    def end_traffic(self):
        self.is_over.set()
        if self.traffic.is_alive():
            self.traffic.join()
        for caller in self.callers:
            caller.join(PATIENCE)

    def send_requests(self):
        randomness = random.Random(f"{SEED} traffic")
        due = time.monotonic()
        while not self.is_over.is_set():
            due += randomness.expovariate(REQUESTS_PER_SECOND)
            time.sleep(max(0, due - time.monotonic()))
            available = [member for member in self.members if member.is_available]
            if available:
                self.sent_at.append(time.monotonic())
                member = self.preferred if self.preferred in available and randomness.random() < 0.8 else randomness.choice(available)
                caller = threading.Thread(target=self.call, args=(member, f"attempt-{len(self.sent_at)}"))
                caller.start()
                self.callers.append(caller)

    def call(self, member, attempt):
        try:
            request(member.listen, "GET", "/lookup/x", None, {"Host": HOST, "X-Attempt-Id": attempt, "X-Deadline-Ms": "1500", "X-Api-Key": KEY})
        except OSError:
            pass  # the daemon was stopped

    def restart_planned(self, member):
        """Stops a daemon as an operator does, and starts it again once it has ended."""
        member.is_available = False
        member.signal(signal.SIGTERM)
        member.entry.process.wait(PATIENCE)
        member.stop()
        member.start()

    def repeats_at(self):
        """The times of all arrivals at the upstreams beyond the first one of their request."""
        arrivals = sorted((arrival["at"], arrival["headers"].get("x-attempt-id")) for upstream in self.upstreams for arrival in upstream.requests)
        seen = set()
        repeats = []
        for at, attempt in arrivals:
            if attempt in seen:
                repeats.append(at)
            seen.add(attempt)
        return repeats

    def worst_window(self):
        """The window that exceeds the budget the most. Its requests are those sent in it, in the window before it,
        or in the one half a window before it, whichever are the most."""
        repeats = self.repeats_at()
        sent = sorted(self.sent_at)

        def count(times, begin):
            return bisect.bisect_right(times, begin + WINDOW_SECONDS) - bisect.bisect_left(times, begin)

        windows = [RetryWindow(count(repeats, begin), max(count(sent, begin - shift * WINDOW_SECONDS) for shift in (0, 0.5, 1)), self.slack) for begin in repeats]
        return max(windows, key=lambda window: window.surplus)

    def check(self):
        time.sleep(1)
        self.end_traffic()
        worst = self.worst_window()
        print(f"{self.id()}: seed {SEED}, {len(self.sent_at)} requests, worst window {worst.repeats} repeats of {worst.requests} requests, {worst.allowed:.0f} allowed")
        self.assertLessEqual(worst.repeats, worst.allowed, f"seed {SEED}")
        return worst


class RetryBudget(RetryBudgetCase):
    def test_calm_fleet_uses_the_slack(self):
        """Guards against a budget that keeps its bound by wasting what a calm fleet may use."""
        self.start_traffic()
        time.sleep(1.5 * WINDOW_SECONDS)
        worst = self.check()
        # A daemon leaves 15 % of its part unused, and less than one whole retry.
        self.assertGreater(worst.repeats, 0.85 * worst.allowed - DAEMONS - 0.1 * worst.requests * RATIO, f"seed {SEED}")

    def test_daemons_stopped_and_started_in_turn(self):
        """Guards against daemons whose part of the slack grows while others are missing, and against processes that
        get the part again that their predecessors have spent."""
        self.start_traffic()
        time.sleep(1)
        restarts = []
        for index in range(0, DAEMONS, 2):
            for member in self.members[index:index + 2]:
                restarts.append(threading.Thread(target=self.restart_planned, args=(member,)))
                restarts[-1].start()
            time.sleep(0.7)
        for restart in restarts:
            restart.join()
        self.check()

    def test_all_daemons_killed_again_and_again(self):
        """Guards against processes that get the part of the slack again that their predecessors have spent."""
        self.start_traffic()
        for _ in range(3):
            time.sleep(1)
            for_each(self.members, Member.restart)
        self.check()

    def test_daemons_added_while_others_are_cut_off(self):
        """Guards against daemons that are cut off from the store and from all other daemons, and spend the parts of
        a smaller fleet beside those that were added meanwhile."""
        self.start_traffic()
        for upstream in self.upstreams:
            upstream.rejected_share = 0.0
        cut_off(self.members[1:], self.members)
        self.add_members(14)
        time.sleep(SETTLE_SECONDS)
        for upstream in self.upstreams:
            upstream.rejected_share = REJECTED_SHARE
        time.sleep(WINDOW_SECONDS)
        self.check()


class RetryBudgetWithLittleSlack(RetryBudgetCase):
    slack = 4

    def test_all_daemons_killed_after_their_retries(self):
        """Guards against processes that may retry for their requests what their predecessors have spent in advance."""
        self.start_traffic()
        time.sleep(0.6)
        for_each(self.members, Member.restart)
        time.sleep(WINDOW_SECONDS)
        self.check()

    def test_traffic_moves_to_another_daemon(self):
        """Guards against daemons that retry for requests that they have got instead of others, which have spent
        retries for them in advance."""
        self.preferred = self.members[0]
        self.start_traffic()
        time.sleep(0.6)
        self.preferred = self.members[1]
        time.sleep(WINDOW_SECONDS)
        self.check()


def knows(member, others):
    return any(f"event=peers others={others}" in line for line in member.entry.lines)


def for_each(members, action):
    threads = [threading.Thread(target=action, args=(member,)) for member in members]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


if __name__ == "__main__":
    unittest.main()
