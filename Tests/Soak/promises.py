"""Invariants of a soak run, checked against what callers, upstreams and the store observed."""

import collections
import json
import re
import time

import rollout_checks
from fleet import PATIENCE
from world import EMPTY_BOUND, EVENTS, KEY_BOUND, LEAVE_BOUND

# Tolerance for time limits on a loaded machine. Checks that use it consider calm periods only.
SLACK = 3.0
# Seconds within which a configuration change must take effect, as the users require.
CONFIGURATION_BOUND = 2.0
# Requests that an upstream may receive from one process during its back-off, not counting those
# that arrive within the grace period (seconds) because they were already under way.
MAX_REQUESTS_DURING_BACKOFF = 2
BACKOFF_GRACE = 0.5
STATUSES_NOT_EXECUTED = (408, 421, 429, 503)
MAX_EXECUTIONS = {"safe": 2, "mark": 2, "resumable": 2, "unsafe": 1, "once": 1}


class InvariantChecker:
    def __init__(self, world, disturbances, rollouts=None):
        self.world, self.is_calm, self.rollouts = world, disturbances.is_calm, rollouts
        self.violations = []
        self.runs = collections.defaultdict(list)
        for upstream in world.upstreams:
            for run in upstream.runs():
                self.runs[run["headers"].get("x-attempt-id")].append((run["at"], upstream))

    def check(self):
        for attempt in self.world.attempts:
            for invariant in (self.own_answer, self.whole_and_in_order, self.true_refusal, self.not_twice, self.no_revoked_key, self.not_denied,
                          self.not_cut_by_planned_work, self.answered_in_time):
                problem = invariant(attempt)
                if problem:
                    self.report(invariant.__name__, problem, attempt)
        self.check_version_markers()
        self.check_leaving_upstreams()
        self.check_emptied_halls()
        self.check_backoff()
        self.check_announced_departures()
        if self.rollouts:
            self.check_rollouts()
        return self.violations

    def report(self, promise, problem, attempt):
        self.violations.append(f"{promise}: {problem}: {attempt} runs {[(at, upstream.instance) for at, upstream in self.runs[attempt.id]]}")

    def own_answer(self, attempt):
        if attempt.outcome != "whole" or attempt.status != 200:
            return None
        signature = attempt.headers.get("X-Response-Signature", "")
        if attempt.headers.get("X-Attempt-Id") != attempt.id or not signature.startswith("by-"):
            return "successful response without the request's ID or a signature"
        if attempt.kind in ("resumable", "once"):
            return None
        expected = f"{signature[3:]} {attempt.path} {attempt.id if attempt.kind == 'unsafe' else ''}"
        return None if attempt.body == expected else "the body is not the upstream's"

    def whole_and_in_order(self, attempt):
        if attempt.kind not in ("resumable", "once") or attempt.status != 200:
            return None
        words = re.findall(r"^data: word(\d+) (\S+)$", attempt.body, re.MULTILINE)
        numbers = [int(number) for number, _ in words]
        if any(identifier != attempt.id for _, identifier in words):
            return "contains events of another request"
        if numbers != list(range(1, len(numbers) + 1)):
            return "events out of order"
        return "ended normally before its last event" if attempt.outcome == "whole" and len(numbers) != EVENTS else None

    def true_refusal(self, attempt):
        if attempt.outcome != "whole" or not self.runs[attempt.id]:
            return None
        says_not_run = attempt.status in STATUSES_NOT_EXECUTED and attempt.kind in ("unsafe", "once")
        if attempt.status != 200 and attempt.body.startswith("{"):
            says_not_run = says_not_run or json.loads(attempt.body)["error"]["verdict"] == "not-run"
        return "executed, but reported as not executed" if says_not_run else None

    def not_twice(self, attempt):
        return "executed too often" if len(self.runs[attempt.id]) > MAX_EXECUTIONS[attempt.kind] else None

    # Holds for every daemon and also during faults.
    def no_revoked_key(self, attempt):
        revoked_at = self.world.revoked_at.get(attempt.key)
        since, until = self.world.lost_revocations.get(attempt.key, (0.0, 0.0))
        # A process that starts with the restored store cannot know a revocation that the store has lost.
        is_lost = since <= attempt.sent_at <= until + KEY_BOUND
        is_late = revoked_at is not None and attempt.sent_at > revoked_at + KEY_BOUND and not is_lost
        return "executed with a revoked key" if is_late and attempt.kind != "mark" and self.runs[attempt.id] else None

    def not_denied(self, attempt):
        added_at = self.world.added_at[attempt.key]
        revoked_at = self.world.revoked_at.get(attempt.key, attempt.ended_at + 1)
        is_settled = added_at + CONFIGURATION_BOUND + SLACK < attempt.sent_at and attempt.ended_at < revoked_at
        is_denied = attempt.kind != "mark" and attempt.status in (400, 401, 404)
        return "rejected although its key and route are valid" if is_denied and is_settled and self.is_calm(attempt.sent_at, attempt.ended_at) else None

    def not_cut_by_planned_work(self, attempt):
        if attempt.outcome not in ("cut", "none") or not self.is_calm(attempt.sent_at, attempt.ended_at):
            return None
        return "interrupted in a calm period" if self.runs[attempt.id] else None

    def answered_in_time(self, attempt):
        is_late = attempt.outcome == "late" or attempt.ended_at - attempt.sent_at > self.world.timeout + SLACK
        return "no complete response within the route's timeout" if is_late and self.is_calm(attempt.sent_at, attempt.ended_at) else None

    def check_version_markers(self):
        """Checks the marker route of each version, which is served only while that version is in force."""
        by_process = collections.defaultdict(list)
        for attempt in self.world.attempts:
            if attempt.kind == "mark":
                by_process[attempt.daemon, attempt.start].append(attempt)
        for attempts in by_process.values():
            served = []
            for attempt in sorted(attempts, key=lambda each: each.sent_at):
                version = int(attempt.path.split("/")[2])
                known = max((each for each, ended_at in served if ended_at < attempt.sent_at), default=0)
                self.check_version_marker(attempt, version, known)
                if attempt.status == 200:
                    served.append((version, attempt.ended_at))

    def check_version_marker(self, attempt, version, known):
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

    def check_leaving_upstreams(self):
        for upstream in self.world.upstreams:
            left_at = self.world.left_at.get(upstream.instance)
            if left_at is None:
                continue
            for run in upstream.runs():
                if run["at"] > left_at + LEAVE_BOUND + SLACK and self.is_calm(left_at, run["at"]):
                    self.violations.append(f"no_work_for_leaving: {upstream.instance} left at {left_at}: {run}")


    def check_emptied_halls(self):
        for hall, since, until in self.world.orders:
            for upstream in self.world.upstreams:
                late = [run for run in upstream.runs() if upstream.hall == hall and since + EMPTY_BOUND + SLACK < run["at"] < (until or float("inf"))]
                for run in late:
                    if self.is_calm(since, run["at"]):
                        self.violations.append(f"no_work_for_emptied_halls: {hall} emptied at {since}: {upstream.instance} {run}")

    def by_process(self, upstream):
        """Groups an upstream's requests by the daemon process that sent them, in order of arrival."""
        senders = {attempt.id: (attempt.daemon, attempt.start) for attempt in self.world.attempts}
        requests = collections.defaultdict(list)
        with upstream.lock:
            for request in upstream.requests:
                requests[senders.get(request["headers"].get("x-attempt-id"))].append(request)
        requests.pop(None, None)
        return requests.values()

    def check_backoff(self):
        """Limits the requests that one process sends between the end of the grace period and the end of
        the back-off that an upstream requested."""
        for upstream in self.world.upstreams:
            for requests in self.by_process(upstream):
                for asked in requests:
                    until = asked["at"] + (asked.get("rest") or 0)
                    got = [each["at"] for each in requests if asked["at"] + BACKOFF_GRACE < each["at"] < until]
                    if len(got) > MAX_REQUESTS_DURING_BACKOFF and self.is_calm(asked["at"], until):
                        self.violations.append(f"rest_is_kept: {upstream.instance} asked at {asked['at']} until {until} and got {got}")

    def check_announced_departures(self):
        for upstream in self.world.upstreams:
            for requests in self.by_process(upstream):
                said_at = min((each["at"] for each in requests if each.get("says_leaving")), default=float("inf"))
                late = [each["at"] for each in requests if each["at"] > said_at + LEAVE_BOUND + SLACK]
                if late and self.is_calm(said_at, late[0]):
                    self.violations.append(f"no_work_for_leaving: {upstream.instance} said so at {said_at} and got {late[:3]}")

    def check_rollouts(self):
        versions = self.rollouts.versions
        for order in self.rollouts.orders:
            statuses = self.rollouts.statuses_of(order)
            self.violations += rollout_checks.check_share(order, versions, order.version.is_good)
            self.violations += rollout_checks.check_sends_after_bad_answers(order)
            self.violations += rollout_checks.check_sends_after_rollback(order, statuses)
            self.violations += rollout_checks.check_old_versions_after_done(order, versions, statuses)
            self.check_rollout_record(order, statuses)

    def check_rollout_record(self, order, statuses):
        """The record's sequence is strict unless the store was restored, which repeats lost statuses. An
        outcome never changes in any case."""
        states = [status.state for status in statuses]
        if len(set(states) - {"running"}) > 1:
            self.violations.append(f"rollout_record: two outcomes of the order for {order.version.name}: {states}")
        if not self.rollouts.is_restored_since(order):
            self.violations += rollout_checks.check_record([order], statuses)
        self.check_rollout_outcome(order, rollout_checks.outcome_of(order, statuses))

    def check_rollout_outcome(self, order, outcome):
        """A bad version is found within a number of bad answers. The soak's few requests a second may end the
        order before there are so many."""
        if not outcome or not self.is_calm(order.at, outcome.at):
            return
        bad = sum(order.at <= at < outcome.at for at in order.version.bad_answer_times())
        is_wrong = outcome.state == "rolled_back" if order.version.is_good else outcome.state == "done" and bad >= rollout_checks.BAD_ANSWERS
        if is_wrong:
            self.violations.append(f"rollout_outcome: {outcome.state} after {bad} bad answers of {order.version.name} with {order.version.fault}")


def check_recovery(world):
    """Checks that every daemon serves requests again after all faults are undone."""
    end = time.monotonic() + PATIENCE
    waiting = set(daemon.name for daemon in world.daemons)
    while waiting and time.monotonic() < end:
        since = time.monotonic() - 2
        served = collections.Counter(attempt.daemon for attempt in list(world.attempts) if attempt.sent_at > since and attempt.status == 200)
        waiting = set(daemon.name for daemon in world.daemons if served[daemon.name] < 5)
        time.sleep(0.2)
    return [f"recovery: {name} serves no requests after recovery" for name in sorted(waiting)]
