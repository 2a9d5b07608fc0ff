#!/usr/bin/env python3
"""Refuses requests that may not be repeated while every link, daemon and upstream fails, and checks that what was
refused as not run never begins at an upstream, neither before nor later, and that nothing begins twice."""

import argparse
import collections
import os
import shutil
import sys
import tempfile
import time

# Adds the path of the modules below.
from refusal_world import RefusalWorld
# pylint: disable=wrong-import-order
from fleet import eventually
from promises import STATUSES_NOT_EXECUTED
from refusal_faults import RefusalFaults

# Requests that may run at most once.
NOT_REPEATABLE = ("unsafe", "once")
# Seconds after the last answer in which what links have held back still arrives and begins.
SETTLE_SECONDS = 4.5


class RefusalSoak:
    def __init__(self, seed, directory, misdirected_share):
        self.directory, self.begin = directory, time.monotonic()
        self.notes = open(os.path.join(directory, "faults.log"), "w", encoding="utf-8")
        self.note(f"wall clock {time.time():.3f}")
        self.world = RefusalWorld(seed, directory, misdirected_share)
        self.faults = RefusalFaults(self.world, seed, self.note)
        self.died, self.arrivals = [], collections.defaultdict(list)

    def note(self, text):
        print(f"{time.monotonic() - self.begin:.3f} {text}", file=self.notes, flush=True)

    def run(self, seconds):
        try:
            eventually(self.are_daemons_ready, "all daemons are ready")
            for thread in self.world.threads:
                thread.start()
            self.faults.run(seconds)
            self.died = [daemon.name for daemon in self.world.daemons if daemon.has_died()]
            self.world.stop_callers()
            time.sleep(SETTLE_SECONDS)
        finally:
            self.world.stop()
            self.notes.close()
        self.collect()

    def are_daemons_ready(self):
        for daemon in self.world.daemons:
            daemon.check_readiness()
        return all(daemon.misses == 0 for daemon in self.world.daemons)

    def collect(self):
        for upstream in self.world.upstreams:
            with upstream.lock:
                for request in upstream.requests:
                    self.arrivals[request["headers"].get("x-attempt-id")].append(request)

    def begun(self, attempt):
        return [request for request in self.arrivals.get(attempt.id, ()) if request["ran"]]

    def single(self):
        return [attempt for attempt in self.world.attempts if attempt.kind in NOT_REPEATABLE]

    def refused(self):
        return [attempt for attempt in self.single() if attempt.status in STATUSES_NOT_EXECUTED]

    def promised(self):
        """Those whose answer says "not-run" in its body, whatever its status is, are promises as well."""
        return [attempt for attempt in self.single() if attempt.status in STATUSES_NOT_EXECUTED or '"verdict":"not-run"' in attempt.body]

    def promised_after_arrival(self):
        """Those that rest on what an upstream has said."""
        return [attempt for attempt in self.promised() if self.arrivals.get(attempt.id)]

    def violations(self):
        """By rule, the attempts that broke it."""
        return {"refused, but begun": [attempt for attempt in self.promised() if self.begun(attempt)],
                "begun twice": [attempt for attempt in self.single() if len(self.begun(attempt)) > 1]}

    def timeline(self, attempt):
        """All that is known of a request: its caller's record, the upstreams' and the daemons' lines."""
        yield (f"{attempt.sent_at - self.begin:.3f} {attempt.kind} {attempt.id} to {attempt.daemon}, start {attempt.start}: "
               f"{attempt.status} {attempt.outcome} at {attempt.ended_at - self.begin:.3f} {attempt.headers} {attempt.body[:200]!r}")
        for request in sorted(self.arrivals.get(attempt.id, ()), key=lambda each: each["at"]):
            began = f"began at {request.get('began_at', request['at']) - self.begin:.3f} as {request.get('instance')}" if request["ran"] else "not begun"
            yield (f"{request['at'] - self.begin:.3f} arrived over {request.get('connection')}, expects {request['headers'].get('x-expect-instance')}, "
                   f"deadline {request['headers'].get('x-deadline-ms')} ms, {request.get('admission')}, {began}")
        for daemon in self.world.daemons:
            with open(daemon.log.name, encoding="utf-8", errors="replace") as lines:
                yield from (f"{daemon.name}: {line.strip()}" for line in lines if f"id={attempt.id} " in line or f'id="{attempt.id}"' in line)

    def summary(self):
        statuses = collections.Counter(str(attempt.status or attempt.outcome) for attempt in self.world.attempts)
        refused = collections.Counter(attempt.status for attempt in self.refused())
        return (f"{len(self.world.attempts)} attempts, {len(self.single())} not repeatable, {len(self.promised())} promises {dict(refused)}, "
                f"{len(self.promised_after_arrival())} of them had arrived at an upstream, outcomes {dict(sorted(statuses.items()))}")


def run_seed(seed, options):
    """Runs one seed. Returns whether a rule was broken or too few promises were made."""
    directory = options.directory or tempfile.mkdtemp(prefix=f"stagepost-refusals-{seed}-")
    os.makedirs(directory, exist_ok=True)
    soak = RefusalSoak(seed, directory, options.misdirected_share)
    soak.run(options.seconds)
    broken = soak.violations()
    counts = {rule: len(attempts) for rule, attempts in broken.items()}
    print(f"refusals seed={seed}: {counts}, died {soak.died}: {soak.summary()}")
    for rule, attempts in broken.items():
        with open(os.path.join(directory, "violations.log"), "a", encoding="utf-8") as log:
            for attempt in attempts:
                print(rule, *soak.timeline(attempt), sep="\n  ", file=log)
        for attempt in attempts[:3]:
            print(rule, *soak.timeline(attempt), sep="\n  ")
    is_proof = len(soak.promised()) >= options.min_promises and len(soak.promised_after_arrival()) >= options.min_arrivals
    if not is_proof:
        print(f"  too few promises, required are {options.min_promises}, and {options.min_arrivals} of requests that had arrived at an upstream")
    has_failed = any(counts.values()) or bool(soak.died) or not is_proof
    if has_failed:
        print(f"  logs: {directory}")
    elif not options.directory:
        shutil.rmtree(directory)
    sys.stdout.flush()
    return has_failed


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="first seed of the schedules")
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds to run")
    parser.add_argument("--seconds", type=float, default=12, help="duration of the fault schedule")
    parser.add_argument("--min-promises", type=int, default=100, help="promises without which a run proves nothing")
    parser.add_argument("--min-arrivals", type=int, default=20, help="promises for requests that had arrived at an upstream without which a run proves nothing")
    parser.add_argument("--misdirected-share", type=float, default=0.0, help="share of requests that upstreams run and then answer with 421 without X-Not-Executed")
    parser.add_argument("--directory", help="log directory (default: a temporary one, kept if a rule was broken)")
    options = parser.parse_args()
    return 1 if any([run_seed(seed, options) for seed in range(options.seed, options.seed + options.seeds)]) else 0


if __name__ == "__main__":
    sys.exit(main())
