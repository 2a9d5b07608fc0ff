"""Streams go on at the version that began them after daemons were killed, as long as it has upstreams.

The daemons that know at which version a stream began may all be killed at once, one after the other, while a version
joins or leaves, or may leave for good. No stream may ever hold events of two versions; and of the streams that callers
take up afterwards, at least half as many must go on, compared with new ones that begin.
"""

import itertools
import math
import os
import signal
import time
import unittest

import test_stream_versions
from fleet import PATIENCE
from rollout_fleet import HALLS, Member
from test_retry_budget import for_each
from test_stream_versions import DAEMONS, MIN_RELATIVE_SHARE

SEED = int(os.environ.get("STAGEPOST_SEED", "84"))
# How long a daemon stays down after it was killed.
DOWN_SECONDS = 0.2
# An attempt counts if its daemon is not stopped, and no upstream of its version leaves, for this long after it was sent. Daemons
# take up to 0.9 s to find a stream's version, and the time must not depend on the answer, which would favour those that go on.
UNDISTURBED_SECONDS = 1.0
# Fewer attempts than this would not show a share.
MIN_COUNTED = 20


def share(attempts):
    return sum(bool(attempt.events) for attempt in attempts) / max(1, len(attempts))


class StreamsAfterKills(test_stream_versions.StreamPlay):
    seed = SEED

    def setUp(self):
        super().setUp()
        # When daemons were killed or stopped.
        self.stops = []
        # When upstreams announced that they leave.
        self.left_at = {}
        self.replacements = itertools.count(1)
        self.members = []
        self.addCleanup(self.stop_members)

    def stop_members(self):
        """Also stops the daemons that a test has added."""
        for member in self.members:
            member.stop()

    def kill(self, members):
        """Kills daemons at once, none of which starts again before all are gone."""
        since = time.monotonic()
        self.stops.append(since)
        for_each(members, Member.stop)
        time.sleep(DOWN_SECONDS)
        for_each(members, Member.start)
        for member in members:
            member.disturbed.append((since, time.monotonic()))

    def stop_regularly(self, member):
        """Lets the daemon finish what it has begun."""
        member.is_available = False
        member.signal(signal.SIGTERM)
        member.entry.process.wait(PATIENCE)
        member.stop()

    def restart_regularly(self, member):
        since = time.monotonic()
        self.stops.append(since)
        self.stop_regularly(member)
        member.start()
        member.disturbed.append((since, time.monotonic()))

    def replace_for_good(self, member):
        """The daemon leaves, and one with another name joins its hall."""
        since = time.monotonic()
        self.stops.append(since)
        member.disturbed.append((since, math.inf))
        self.stop_regularly(member)
        # A member's number determines its hall.
        added = Member(self, DAEMONS * next(self.replacements) + HALLS.index(member.hall))
        added.start()
        self.members.append(added)

    def announce_leave(self, upstream):
        self.left_at[upstream] = time.monotonic()
        self.store.put("keyed.servers", upstream.instance, upstream.record(state="draining"))

    def end_upstream(self, upstream):
        self.store.put("keyed.servers", upstream.instance, None)
        upstream.crash()

    def is_undisturbed(self, attempt):
        member = next(member for member in self.members if member.name == attempt.member)
        return not any(since < attempt.sent_at + UNDISTURBED_SECONDS and until > attempt.sent_at for since, until in member.disturbed)

    def upstreams_after(self, versions, attempt):
        """How many upstreams of the versions served for long enough after the attempt was sent."""
        return sum(upstream.version in versions and self.left_at.get(upstream, math.inf) > attempt.sent_at + UNDISTURBED_SECONDS for upstream in self.upstreams)

    def check(self, min_streams=200):
        """No stream is of two versions, and enough of those that were taken up went on: of all, and of those that began before a
        daemon was stopped and were taken up afterwards, which the others would outnumber."""
        self.end_traffic()
        mixed = [(stream.key, sorted(stream.versions)) for stream in self.streams if len(stream.versions) > 1]
        first = [stream.attempts[0] for stream in self.streams if stream.attempts and self.is_undisturbed(stream.attempts[0])]
        counted, across_stops = [], []
        for stream in self.streams:
            for attempt in stream.taken_up():
                if not self.is_undisturbed(attempt) or self.upstreams_after(stream.versions, attempt) < 2:
                    continue
                counted.append(attempt)
                begun_at = next(earlier.sent_at for earlier in stream.attempts if earlier.events)
                if any(begun_at < stop < attempt.sent_at for stop in self.stops):
                    across_stops.append(attempt)
        first_after = [attempt for attempt in first if attempt.sent_at > self.stops[0]]
        print(f"{self.id()}: seed {self.seed}, {len(self.streams)} streams, {len(mixed)} of two versions")
        for what, taken_up, begun in (("all", counted, first), ("begun before a stop", across_stops, first_after)):
            print(f"   {what}: {sum(bool(attempt.events) for attempt in taken_up)} of {len(taken_up)} taken up went on, share {share(taken_up):.3f}; "
                  f"of new ones {share(begun):.3f} began: half of it is required, all of it is the aim")
        for reason in sorted({attempt.reason for attempt in counted if not attempt.events})[:5]:
            print("   not taken up:", reason[:160])
        self.assertGreaterEqual(len(self.streams), min_streams)
        self.assertEqual([stream for stream in self.streams if not stream.is_in_order], [], f"seed {self.seed}")
        self.assertEqual(mixed, [], f"seed {self.seed}")
        self.assertGreaterEqual(share(first_after), 0.5, f"seed {self.seed}: new streams did not begin")
        for taken_up, begun in ((counted, first), (across_stops, first_after)):
            self.assertGreaterEqual(len(taken_up), MIN_COUNTED, f"seed {self.seed}")
            self.assertGreaterEqual(share(taken_up), MIN_RELATIVE_SHARE * share(begun), f"seed {self.seed}")

    def test_all_at_once_twice(self):
        """Guards against records that only daemons have."""
        self.start(6, 4)
        time.sleep(2)
        for _ in range(2):
            self.kill(self.members)
            time.sleep(2.5)
        self.check()

    def test_all_one_after_another(self):
        """Guards against daemons that start and do not get the records back before the next one is killed."""
        self.start(6, 4)
        time.sleep(2)
        begin = time.monotonic()
        for index, member in enumerate(self.random.sample(self.members, DAEMONS)):
            time.sleep(max(0, begin + index - time.monotonic()))
            self.kill([member])
        time.sleep(2)
        self.check()

    def test_in_halves(self):
        """Guards against records at keepers that are all in the half which is killed first."""
        self.start(6, 4)
        time.sleep(2)
        order = self.random.sample(self.members, DAEMONS)
        for _ in range(2):
            for half in (order[:DAEMONS // 2], order[DAEMONS // 2:]):
                begin = time.monotonic()
                self.kill(half)
                time.sleep(max(0, begin + 1 - time.monotonic()))
            time.sleep(1.5)
        self.check()

    def test_a_whole_hall(self):
        """Guards against streams whose keepers are all in one hall."""
        self.start(6, 4)
        time.sleep(2)
        for hall in self.random.sample(HALLS, len(HALLS)):
            time.sleep(1)
            self.kill([member for member in self.members if member.hall == hall])
            time.sleep(1)
        self.check()

    def kill_after_join(self, delay):
        self.start(6, 0)
        time.sleep(2)
        self.add_upstreams("v2", 4)
        time.sleep(delay)
        self.kill(self.members)
        time.sleep(3)
        self.check()

    def test_half_a_second_after_a_second_version_has_joined(self):
        """Guards against streams that began while there was one version and got no record before the kill."""
        self.kill_after_join(0.5)

    def test_two_seconds_after_a_second_version_has_joined(self):
        """The same once the daemons have had time to make records of the streams under way."""
        self.kill_after_join(2)

    def test_while_the_old_version_leaves(self):
        """Guards against streams that go on at the new version, once the old one has few upstreams and then none."""
        self.start(6, 4)
        time.sleep(2)
        for upstream in self.of_version("v1"):
            self.announce_leave(upstream)
            time.sleep(0.3)
            if upstream is self.of_version("v1")[2]:
                self.kill(self.members)
                time.sleep(2)
        for upstream in self.of_version("v1"):
            self.end_upstream(upstream)
        ended_at = time.monotonic()
        self.kill(self.members)
        time.sleep(3)
        self.end_traffic()
        orphaned = [attempt for stream in self.streams if stream.versions == {"v1"} for attempt in stream.taken_up() if attempt.sent_at > ended_at]
        print(f"   {len(orphaned)} attempts took up a stream of the version that was gone")
        self.assertGreater(len(orphaned), 0)
        self.assertEqual([attempt for attempt in orphaned if attempt.events], [], f"seed {self.seed}")
        self.check()

    def test_while_a_third_version_joins(self):
        """Guards against daemons that start with more versions than the streams began with."""
        self.start(6, 4)
        time.sleep(2)
        for pause in (0.2, 2):
            if not self.of_version("v3"):
                self.add_upstreams("v3", 4)
            time.sleep(pause)
            self.kill(self.members)
            time.sleep(2.5)
        self.check()

    def test_holders_leave_for_good(self):
        """Guards against taking the absence of a record at the present keepers for its absence at all that were keepers."""
        self.start(6, 0)
        time.sleep(2)
        self.add_upstreams("v2", 4)
        time.sleep(1)
        leaving = self.random.sample(self.members, 6)
        for pair in (leaving[:2], leaving[2:4], leaving[4:]):
            for_each(pair, self.replace_for_good)
        time.sleep(2)
        self.check()

    def test_rolling_stops_and_kills(self):
        """Guards against losing the records of daemons that stop regularly, while others are killed."""
        self.start(6, 4)
        time.sleep(2)
        end = time.monotonic() + 7
        while time.monotonic() < end:
            order = self.random.sample(self.members, DAEMONS)
            stopped = self.random.randrange(1, 4)
            for_each(order[:stopped], self.restart_regularly)
            self.kill(order[stopped:stopped + 3])
        self.check()


if __name__ == "__main__":
    unittest.main()
