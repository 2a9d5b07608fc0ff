"""What must hold in a soak, judged by what callers, upstreams and the store saw."""

import collections
import json
import re
import time

from fleet import PATIENCE
from world import EMPTY_BOUND, EVENTS, KEY_BOUND, LEAVE_BOUND, TIMEOUT

# What a busy machine may add to a bound in time. Only the checks that end in
# "in time" use it, and they look at calm times alone.
SLACK = 3.0
# What the users allow a change of the configuration.
CONFIGURATION_BOUND = 2.0
# What an upstream that asked for rest may get in it, and what is on its way before that.
MOST_IN_A_REST = 2
REST_GRACE = 0.5
PROMISES_NOT_RUN = (408, 421, 429, 503)
MOST_SENDS = {"safe": 2, "mark": 2, "resumable": 2, "unsafe": 1, "once": 1}


class Judge:
    def __init__(self, world, disturbances):
        self.world, self.is_calm = world, disturbances.is_calm
        self.broken = []
        self.runs = collections.defaultdict(list)
        for upstream in world.upstreams:
            for run in upstream.runs():
                self.runs[run["headers"].get("x-attempt-id")].append((run["at"], upstream))

    def judge(self):
        for attempt in self.world.attempts:
            for check in (self.own_answer, self.whole_and_in_order, self.true_refusal, self.not_twice, self.no_revoked_key, self.not_denied,
                          self.not_cut_by_planned_work, self.answered_in_time):
                problem = check(attempt)
                if problem:
                    self.report(check.__name__, problem, attempt)
        self.judge_marks()
        self.judge_leaving()
        self.judge_emptied_halls()
        self.judge_rests()
        self.judge_said_leaving()
        return self.broken

    def report(self, promise, problem, attempt):
        self.broken.append(f"{promise}: {problem}: {attempt} runs {[(at, upstream.instance) for at, upstream in self.runs[attempt.id]]}")

    def own_answer(self, attempt):
        if attempt.outcome != "whole" or attempt.status != 200:
            return None
        signature = attempt.headers.get("X-Response-Signature", "")
        if attempt.headers.get("X-Attempt-Id") != attempt.id or not signature.startswith("by-"):
            return "a success without its own id or signature"
        if attempt.kind in ("resumable", "once"):
            return None
        expected = f"{signature[3:]} {attempt.path} {attempt.id if attempt.kind == 'unsafe' else ''}"
        return None if attempt.body == expected else "another body than the upstream's"

    def whole_and_in_order(self, attempt):
        if attempt.kind not in ("resumable", "once") or attempt.status != 200:
            return None
        words = re.findall(r"^data: word(\d+) (\S+)$", attempt.body, re.MULTILINE)
        numbers = [int(number) for number, _ in words]
        if any(identifier != attempt.id for _, identifier in words):
            return "events of another request"
        if numbers != list(range(1, len(numbers) + 1)):
            return "events out of order"
        return "ended as whole before its last event" if attempt.outcome == "whole" and len(numbers) != EVENTS else None

    def true_refusal(self, attempt):
        if attempt.outcome != "whole" or not self.runs[attempt.id]:
            return None
        says_not_run = attempt.status in PROMISES_NOT_RUN and attempt.kind in ("unsafe", "once")
        if attempt.status != 200 and attempt.body.startswith("{"):
            says_not_run = says_not_run or json.loads(attempt.body)["error"]["verdict"] == "not-run"
        return "it was said not to have run" if says_not_run else None

    def not_twice(self, attempt):
        return "too many runs" if len(self.runs[attempt.id]) > MOST_SENDS[attempt.kind] else None

    # Whatever daemon it was and however it fared.
    def no_revoked_key(self, attempt):
        revoked_at = self.world.revoked_at.get(attempt.key)
        since, until = self.world.lost_revocations.get(attempt.key, (0.0, 0.0))
        # A process that starts on the copy cannot know what the store has lost.
        is_lost = since <= attempt.sent_at <= until + KEY_BOUND
        is_late = revoked_at is not None and attempt.sent_at > revoked_at + KEY_BOUND and not is_lost
        return "its key was taken away" if is_late and attempt.kind != "mark" and self.runs[attempt.id] else None

    def not_denied(self, attempt):
        added_at = self.world.added_at[attempt.key]
        revoked_at = self.world.revoked_at.get(attempt.key, attempt.ended_at + 1)
        is_settled = added_at + CONFIGURATION_BOUND + SLACK < attempt.sent_at and attempt.ended_at < revoked_at
        is_denied = attempt.kind != "mark" and attempt.status in (400, 401, 404)
        return "denied though allowed" if is_denied and is_settled and self.is_calm(attempt.sent_at, attempt.ended_at) else None

    def not_cut_by_planned_work(self, attempt):
        if attempt.outcome not in ("cut", "none") or not self.is_calm(attempt.sent_at, attempt.ended_at):
            return None
        return "broken off while nothing unplanned went on" if self.runs[attempt.id] else None

    def answered_in_time(self, attempt):
        is_late = attempt.outcome == "late" or attempt.ended_at - attempt.sent_at > TIMEOUT + SLACK
        return "no final answer by the route's time-out" if is_late and self.is_calm(attempt.sent_at, attempt.ended_at) else None

    def judge_marks(self):
        """A version's mark is served while that version is in force, and by no other."""
        by_process = collections.defaultdict(list)
        for attempt in self.world.attempts:
            if attempt.kind == "mark":
                by_process[attempt.daemon, attempt.start].append(attempt)
        for attempts in by_process.values():
            served = []
            for attempt in sorted(attempts, key=lambda each: each.sent_at):
                version = int(attempt.path.split("/")[2])
                known = max((each for each, ended_at in served if ended_at < attempt.sent_at), default=0)
                self.judge_mark(attempt, version, known)
                if attempt.status == 200:
                    served.append((version, attempt.ended_at))

    def judge_mark(self, attempt, version, known):
        newer = [sent_at for each, (sent_at, _) in self.world.accepted.items() if each > version]
        is_newest = min(newer, default=attempt.ended_at + 1) > attempt.ended_at
        if attempt.status == 200 and version < known:
            self.report("never_back", f"version {known} was in force", attempt)
        if attempt.status == 404 and version == known and is_newest:
            self.report("never_back", "the version was in force and is the newest", attempt)
        accepted_at = self.world.accepted[version][1]
        is_due = attempt.sent_at > accepted_at + CONFIGURATION_BOUND + SLACK
        if attempt.status == 404 and is_newest and is_due and self.is_calm(accepted_at, attempt.ended_at):
            self.report("in_force_in_time", "the newest version is not in force", attempt)

    def judge_leaving(self):
        for upstream in self.world.upstreams:
            left_at = self.world.left_at.get(upstream.instance)
            if left_at is None:
                continue
            for run in upstream.runs():
                if run["at"] > left_at + LEAVE_BOUND + SLACK and self.is_calm(left_at, run["at"]):
                    self.broken.append(f"no_work_for_leaving: {upstream.instance} left at {left_at}: {run}")


    def judge_emptied_halls(self):
        for hall, since, until in self.world.orders:
            for upstream in self.world.upstreams:
                late = [run for run in upstream.runs() if upstream.hall == hall and since + EMPTY_BOUND + SLACK < run["at"] < (until or float("inf"))]
                for run in late:
                    if self.is_calm(since, run["at"]):
                        self.broken.append(f"no_work_for_emptied_halls: {hall} emptied at {since}: {upstream.instance} {run}")

    def by_process(self, upstream):
        """An upstream's requests by the daemon's process that sent them, in their order."""
        senders = {attempt.id: (attempt.daemon, attempt.start) for attempt in self.world.attempts}
        requests = collections.defaultdict(list)
        with upstream.lock:
            for request in upstream.requests:
                requests[senders.get(request["headers"].get("x-attempt-id"))].append(request)
        requests.pop(None, None)
        return requests.values()

    def judge_rests(self):
        """Of one process, between half a second after an upstream asked for rest and its end."""
        for upstream in self.world.upstreams:
            for requests in self.by_process(upstream):
                for asked in requests:
                    until = asked["at"] + (asked.get("rest") or 0)
                    got = [each["at"] for each in requests if asked["at"] + REST_GRACE < each["at"] < until]
                    if len(got) > MOST_IN_A_REST and self.is_calm(asked["at"], until):
                        self.broken.append(f"rest_is_kept: {upstream.instance} asked at {asked['at']} until {until} and got {got}")

    def judge_said_leaving(self):
        for upstream in self.world.upstreams:
            for requests in self.by_process(upstream):
                said_at = min((each["at"] for each in requests if each.get("says_leaving")), default=float("inf"))
                late = [each["at"] for each in requests if each["at"] > said_at + LEAVE_BOUND + SLACK]
                if late and self.is_calm(said_at, late[0]):
                    self.broken.append(f"no_work_for_leaving: {upstream.instance} said so at {said_at} and got {late[:3]}")


def recovers(world):
    """Once all is healed, every daemon serves again."""
    end = time.monotonic() + PATIENCE
    waiting = set(daemon.name for daemon in world.daemons)
    while waiting and time.monotonic() < end:
        since = time.monotonic() - 2
        served = collections.Counter(attempt.daemon for attempt in list(world.attempts) if attempt.sent_at > since and attempt.status == 200)
        waiting = set(daemon.name for daemon in world.daemons if served[daemon.name] < 5)
        time.sleep(0.2)
    return [f"recovery: {name} does not serve again" for name in sorted(waiting)]
