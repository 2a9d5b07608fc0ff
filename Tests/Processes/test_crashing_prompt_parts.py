"""A part of a prompt that crashes each upstream that writes an answer on it.

Guards against requests that have one part in common and are otherwise all different: evidence was kept by request, so
that 176 upstreams ended in half a minute, one after the other. Sound requests share their organisation, the first part and the
last but one with them.
"""

import collections
import os
import random
import threading
import time
import unittest

from crashing_upstream import CrashingUpstream
from fleet import PATIENCE, Ports, eventually
from platform_stand_ins import Store
from rollout_fleet import HALLS, Member, Network, cut_off, end_cut
from test_platform import HOST, KEY, manifest, request, route
from test_retry_budget import for_each, knows

SEED = int(os.environ.get("STAGEPOST_SEED", "73"))
SOUND_CALLERS = 14
FIRST, MIDDLE, LAST_BUT_ONE = "5c1e07a2", "91bd3f06", "e4402b7d"
BAD = "0badbad0"
SOUND_SECONDS, BAD_SECONDS = 3.0, 18.0
# The users' rules: from CONTACT_SECONDS after the fifth crash on at most three requests with the part reach
# upstreams, and from twice that time on sound requests begin at half of the rate of before. Nine tenths are aimed at.
CRASHES, MAX_LATE_REQUESTS, CONTACT_SECONDS = 5, 3, 3.0
MIN_RELATIVE_SHARE = 0.9
# What is refused is refused at once.
MAX_REFUSAL_SECONDS = 0.25


class PartCrashingUpstream(CrashingUpstream):
    """Crashes on each request with the part, and starts again under a new id."""

    RESTART_DELAY_S = 2.0
    is_part_bad = True
    # Whether its streams have neither a length nor chunks, and it ends them with their connection.
    is_unframed = False

    def crash_on_marker(self, request):
        if BAD not in request["headers"].get("x-prompt-prefix", ""):
            return False
        with self.lock:
            self.crash_arrivals.append(time.monotonic())
            crashes_before = len(self.crash_times)
        if not self.is_part_bad:
            return False
        time.sleep(self.CRASH_DELAY_S)
        self.crash(crashes_before)
        raise ConnectionError("the upstream has crashed")

    def stream(self, connection, request, fault):
        if not self.is_unframed:
            return super().stream(connection, request, fault)
        connection.sendall(self.head(request, 200, None, "Content-Type: text/event-stream\r\n"))
        connection.sendall(b"id: 1\ndata: word1\n\n")
        self.crash_on_marker(request)
        for number in range(2, self.events + 1):
            self.pause_after_event(request)
            connection.sendall(f"id: {number}\ndata: word{number}\n\n".encode())
        return False

    def name_after_restart(self):
        return f"{self.name}-{len(self.crash_times)}"


class Answer:
    """A request as its caller saw it."""

    def __init__(self, sent_at, status, reason, is_whole, took):
        self.sent_at, self.status, self.reason, self.is_whole, self.took = sent_at, status, reason, is_whole, took

    @property
    def has_begun(self):
        return self.status == 200


class CrashingPartsCase(unittest.TestCase):
    daemons, upstream_count, bad_callers = 7, 14, 2

    def setUp(self):
        self.random = random.Random(SEED)
        self.ports, self.store, self.network = Ports(1000 + self.random.randrange(400)), Store(), Network(SEED)
        self.addCleanup(self.store.stop)
        self.flags = ()
        routes = [route("again", "/stream/again/", "streaming", "chat", sticky=True, resumable=True, targetLatencyMs=500, targetGapMs=400, maxAttempts=3),
                  route("once", "/stream/once/", "streaming", "chat", sticky=True, targetLatencyMs=500, targetGapMs=400)]
        self.store.put("keyed.op", "config", manifest(3, routes=routes))
        self.upstreams = []
        for number in range(self.upstream_count):
            upstream = PartCrashingUpstream(f"chat-{number}", "chat", self.store, HALLS[number % len(HALLS)])
            upstream.events, upstream.event_pause, upstream.slots = 8, 0.05, 16
            self.store.put("keyed.servers", upstream.instance, upstream.record(born=upstream.born))
            self.addCleanup(upstream.stop)
            self.upstreams.append(upstream)
        self.members = [Member(self, number) for number in range(self.daemons)]
        for member in self.members:
            self.addCleanup(member.stop)
        for_each(self.members, Member.start)
        eventually(lambda: all(knows(member, self.daemons - 1) for member in self.members), "all daemons know each other")
        self.lock = threading.Lock()
        self.attempts = 0
        self.sound, self.bad = [], []
        self.is_over = threading.Event()
        self.threads = []
        self.addCleanup(self.end_traffic)

    def end_traffic(self):
        self.is_over.set()
        for thread in self.threads:
            thread.join(PATIENCE)

    def call(self, randomness, parts):
        """Sends a request with the parts, and one of its own at the end, to any daemon."""
        with self.lock:
            self.attempts += 1
            own = f"{self.attempts:08x}"
        available = [member for member in self.members if member.is_available]
        prompt = ",".join(f"{part}:40" for part in [*parts, own])
        path = randomness.choice(("/stream/again/x", "/stream/once/x"))
        fields = {"Host": HOST, "X-Attempt-Id": f"attempt-{own}", "X-Deadline-Ms": "4000", "X-Api-Key": KEY, "X-Prompt-Prefix": prompt}
        sent_at = time.monotonic()
        try:
            reply = request(randomness.choice(available).listen, "POST", path, f"prompt {own}", fields)
        except OSError:
            return None  # the daemon was killed
        reason = reply.error()["reason"] if reply.status != 200 else ""
        return Answer(sent_at, reply.status, reason, not reply.headers["X-Test-Broken"], time.monotonic() - sent_at)

    def start_callers(self, count, parts, answers, pause, at_once=1):
        def send(number):
            randomness = random.Random(f"{SEED} {parts} {number}")
            while not self.is_over.is_set():
                time.sleep(randomness.uniform(0.5, 1.5) * pause)
                senders = [threading.Thread(target=lambda: answers.append(self.call(randomness, parts))) for _ in range(at_once)]
                for sender in senders:
                    sender.start()
                for sender in senders:
                    sender.join()

        threads = [threading.Thread(target=send, args=(number,)) for number in range(count)]
        self.threads += threads
        for thread in threads:
            thread.start()

    def play(self, bad_parts, sound_parts=(FIRST, MIDDLE, LAST_BUT_ONE), at_once=1, disturb=lambda: None, new_sound_parts=None):
        self.start_callers(SOUND_CALLERS, sound_parts, self.sound, 0.2)
        time.sleep(SOUND_SECONDS)
        bad_since = time.monotonic()
        if new_sound_parts:
            self.start_callers(SOUND_CALLERS // 2, new_sound_parts, self.sound, 0.2)
        self.start_callers(self.bad_callers, bad_parts, self.bad, 0.5 if at_once == 1 else 1.0, at_once)
        until = bad_since + BAD_SECONDS
        while time.monotonic() < until:
            disturb()
            time.sleep(0.1)
        self.end_traffic()
        self.check(bad_since)

    def check(self, bad_since):
        crashes = sorted(at for upstream in self.upstreams for at in upstream.crash_times)
        arrivals = sorted(at for upstream in self.upstreams for at in upstream.crash_arrivals)
        sound, bad = ([answer for answer in answers if answer] for answers in (self.sound, self.bad))
        late = [at for at in arrivals if len(crashes) >= CRASHES and at > crashes[CRASHES - 1] + CONTACT_SECONDS]
        before = [answer.has_begun for answer in sound if answer.sent_at < bad_since]
        since = (crashes[min(CRASHES, len(crashes)) - 1] if crashes else bad_since) + 2 * CONTACT_SECONDS
        after = [answer.has_begun for answer in sound if answer.sent_at > since]
        wrongly_refused = [answer for answer in sound if answer.reason == "ends-upstreams"]
        refused = [answer for answer in bad if answer.reason == "ends-upstreams"]
        print(f"{self.id()}: seed {SEED}, {len(crashes)} ends, {len(arrivals)} bad requests sent, {len(late)} late; sound ones begun {sum(before)} of {len(before)} before, "
              f"{sum(after)} of {len(after)} after, {len(wrongly_refused)} refused wrongly; bad ones: "
              f"{dict(collections.Counter((answer.status, answer.reason) for answer in bad))}")
        self.assertLessEqual(len(late), MAX_LATE_REQUESTS, f"seed {SEED}")
        self.assertGreaterEqual(len(after), 20)
        self.assertGreaterEqual(sum(after) / len(after), MIN_RELATIVE_SHARE * sum(before) / len(before), f"seed {SEED}")
        self.assertEqual(len(wrongly_refused), 0, f"seed {SEED}")
        last = max(bad, key=lambda answer: answer.sent_at)
        self.assertEqual((last.status, last.reason), (503, "ends-upstreams"))
        self.assertLess(sorted(answer.took for answer in refused)[len(refused) // 2], MAX_REFUSAL_SECONDS)

    def play_part_that_was_answered_before(self):
        """Answers from before the first crash must not protect the part."""
        for upstream in self.upstreams:
            upstream.is_part_bad = False
        self.start_callers(self.bad_callers, (FIRST, BAD, LAST_BUT_ONE), self.bad, 0.5)
        time.sleep(SOUND_SECONDS)
        for upstream in self.upstreams:
            upstream.crash_arrivals.clear()
            upstream.is_part_bad = True
        self.play((FIRST, BAD, LAST_BUT_ONE))


class CrashingPromptParts(CrashingPartsCase):
    def test_part_in_the_middle(self):
        self.play((FIRST, BAD, LAST_BUT_ONE))

    def test_first_part(self):
        self.play((BAD, MIDDLE, LAST_BUT_ONE))

    def test_many_requests_at_once(self):
        self.play((FIRST, BAD, LAST_BUT_ONE), at_once=5)

    def test_daemons_killed_again_and_again(self):
        def kill():
            for_each(self.random.sample(self.members, 3), Member.restart)

        self.play((FIRST, BAD, LAST_BUT_ONE), disturb=kill)

    def test_streams_that_end_with_their_connection(self):
        """A crash ends such a stream as its upstream does. It must not pass for a complete answer."""
        for upstream in self.upstreams:
            upstream.is_unframed = True
        self.play((FIRST, BAD, LAST_BUT_ONE))

    def test_daemons_cut_off_during_the_crashes(self):
        """The daemons that were cut off from the others get no requests until they are back in contact."""
        isolated = self.members[:2]
        cut_off(isolated, self.members)
        for member in isolated:
            member.is_available = False
        threading.Timer(SOUND_SECONDS + 6.0, end_cut, [isolated, self.members]).start()
        threading.Timer(SOUND_SECONDS + 6.0 + CONTACT_SECONDS, lambda: [setattr(member, "is_available", True) for member in isolated]).start()
        self.play((FIRST, BAD, LAST_BUT_ONE))

    def test_sound_part_first_seen_together_with_the_crashing_one(self):
        """A part without any answer before must not be taken for the cause."""
        self.play((FIRST, BAD, "f1257000"), new_sound_parts=(FIRST, MIDDLE, "f1257000"))

    def test_part_that_was_answered_before(self):
        self.play_part_that_was_answered_before()


class ThirtyDaemons(CrashingPartsCase):
    """Guards against evidence that is held up or dropped where many daemons have some of it."""

    daemons, upstream_count, bad_callers = 30, 40, 6

    def test_part_that_was_answered_before(self):
        self.play_part_that_was_answered_before()


if __name__ == "__main__":
    unittest.main()
