"""Most new connections come to one daemon, and later to another one, while callers open connections more often."""

import random
import threading
import time
import unittest

from rollout_fleet import Member
from test_platform import HOST, KEY, request
from test_retry_budget import RetryBudgetCase

EVEN_SECONDS, UNEVEN_SECONDS = 6.0, 5.0
REQUESTS_PER_SECOND = 150
PREFERRED_SHARE = 0.95
# The users' rule: from CONTACT_SECONDS on, requests are served at the first attempt at least three quarters as often as
# before.
CONTACT_SECONDS, MIN_RELATIVE_SHARE = 3.0, 0.75


class UnevenConnections(RetryBudgetCase):
    def setUp(self):
        super().setUp()
        self.served = []
        for upstream in self.upstreams:
            upstream.slots = 32

    def send_requests(self):
        randomness = random.Random("uneven")
        due = time.monotonic()
        while not self.is_over.is_set():
            due += randomness.expovariate(REQUESTS_PER_SECOND)
            time.sleep(max(0, due - time.monotonic()))
            available = [member for member in self.members if member.is_available]
            member = self.preferred if self.preferred in available and randomness.random() < PREFERRED_SHARE else randomness.choice(available)
            caller = threading.Thread(target=self.call, args=(member, f"attempt-{len(self.callers)}"))
            caller.start()
            self.callers.append(caller)

    def call(self, member, attempt):
        sent_at = time.monotonic()
        try:
            reply = request(member.listen, "GET", "/lookup/x", None, {"Host": HOST, "X-Attempt-Id": attempt, "X-Deadline-Ms": "1500", "X-Api-Key": KEY})
        except OSError:
            return  # refused, or closed without being read
        self.served.append((sent_at, reply.status == 200))

    def served_share(self, since, until):
        answers = [is_served for sent_at, is_served in self.served if since <= sent_at < until]
        self.assertGreater(len(answers), 100)
        return sum(answers) / len(answers)

    def play(self, between=lambda: None):
        started = time.monotonic()
        self.traffic.start()
        time.sleep(EVEN_SECONDS)
        spans = []
        for preferred in self.members[:2]:
            self.preferred = preferred
            spans.append((time.monotonic() + CONTACT_SECONDS, time.monotonic() + UNEVEN_SECONDS))
            time.sleep(UNEVEN_SECONDS)
            between()
        self.end_traffic()
        before = self.served_share(started + 1, started + EVEN_SECONDS)
        after = [self.served_share(*span) for span in spans]
        print(f"{self.id()}: served {before:.3f} before, {after[0]:.3f} and {after[1]:.3f} while most connections come to one daemon")
        for share in after:
            self.assertGreaterEqual(share, MIN_RELATIVE_SHARE * before)

    def test_most_connections_at_one_daemon_and_then_at_another(self):
        self.play()

    def test_the_daemon_with_most_connections_is_killed(self):
        self.play(lambda: Member.restart(self.preferred))

    def test_most_connections_at_one_daemon_while_upstreams_fail(self):
        """The retries of requests go with them, and are not spent by parts of daemons that have none."""
        for upstream in self.upstreams:
            upstream.rejected_share = 0.1
        self.play()


if __name__ == "__main__":
    unittest.main()
