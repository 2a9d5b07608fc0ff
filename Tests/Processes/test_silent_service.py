"""All upstreams of a service that fall silent for a second cut no stream, whatever else happens.

The silence passes the limit after which a stream is moved to another upstream, for many streams in the same
millisecond: more than the retry budget and the free places allow to move. The upstreams are sound, so the streams
that can't be moved must wait.
"""

import collections
import http.client
import os
import random
import re
import signal
import threading
import time
import unittest

from fleet import PATIENCE, Ports, eventually
from platform_stand_ins import Store, Upstream
from test_platform import HOST, KEY, Entry, manifest, route, start_fleet

SEED = int(os.environ.get("STAGEPOST_SEED", "83"))
HALLS = ("north", "south", "west")
DAEMONS, UPSTREAMS, CALLERS = 6, 10, 140
EVENTS, GRID_SECONDS = 28, 0.05
SILENT_SECONDS, ROUND_SECONDS, ROUNDS = 1.25, 4.0, 4
DEADLINE_MS = 12000
MAX_ATTEMPTS = 2
RETRY_SLACK = 20
EVENT_ID = re.compile(r"^id: (\d+)$", re.MULTILINE)


class GridUpstream(Upstream):
    """Sends the events of all streams at the same moments, and none during a silence."""

    silent = (0.0, 0.0)

    def pause_after_event(self, request):
        now = time.monotonic()
        due = (int(now / GRID_SECONDS) + 1) * GRID_SECONDS
        begin, end = GridUpstream.silent
        if begin <= due < end:
            due = (int(end / GRID_SECONDS) + 1) * GRID_SECONDS
        self.released.wait(due - now)


class SilentService(unittest.TestCase):
    GAP_MS = 200

    def setUp(self):
        self.random = random.Random(f"{SEED}-{self.id()}")
        self.ports, self.store = Ports(SEED), Store()
        self.addCleanup(self.store.stop)
        self.upstreams = [self.upstream(number) for number in range(UPSTREAMS)]
        self.version = 3
        self.publish()
        self.entries = start_fleet(self, self.store, self.ports, HALLS, DAEMONS, "--retry-slack", str(RETRY_SLACK), "--max-detoured", "256", "--drain-s", "8")
        self.serving = list(self.entries)
        self.outcomes, self.cut, self.lock = collections.Counter(), [], threading.Lock()
        self.is_over = threading.Event()
        GridUpstream.silent = (0.0, 0.0)

    def upstream(self, number):
        upstream = GridUpstream(f"chat-{number}", "chat", HALLS[number % len(HALLS)], slots=24)
        upstream.events = EVENTS
        self.addCleanup(upstream.stop)
        self.store.put("keyed.servers", upstream.instance, upstream.record())
        return upstream

    def publish(self):
        routes = [route("digest", "/stream/again/", "streaming", "chat", sticky=True, resumable=True, targetGapMs=self.GAP_MS, timeoutMs=DEADLINE_MS, targetLatencyMs=1200, maxAttempts=MAX_ATTEMPTS)]
        self.store.put("keyed.op", "config", manifest(self.version, routes=routes))
        self.version += 1

    def call(self, number):
        """Sends one stream after another, on a kept connection where the caller knows chunks."""
        own = random.Random(f"{SEED}-{number}")
        knows_chunks = number % 2 == 0
        sent, connection = 0, None
        while not self.is_over.is_set():
            identifier = f"stream-{number}-{sent}"
            sent += 1
            if not connection:
                host, port = own.choice(self.serving).endpoint.rsplit(":", 1)
                connection = http.client.HTTPConnection(host, int(port), timeout=PATIENCE)
                if not knows_chunks:
                    connection._http_vsn, connection._http_vsn_str = 10, "HTTP/1.0"
            fields = {"Host": HOST, "X-Attempt-Id": identifier, "X-Deadline-Ms": str(DEADLINE_MS), "X-Api-Key": KEY, "X-Prompt-Prefix": f"aa:500,c{own.randrange(60)}:900,d{number}:30"}
            outcome, keeps = self.stream(connection, identifier, fields)
            with self.lock:
                self.outcomes[outcome] += 1
                if outcome.startswith("cut"):
                    self.cut.append(identifier)
            if not keeps:
                connection.close()
                connection = None
                self.is_over.wait(own.uniform(0, 0.05))

    def stream(self, connection, identifier, fields):
        """Returns the outcome, and whether the connection may be used again."""
        try:
            connection.request("POST", "/stream/again/x", "prompt", fields)
            answer = connection.getresponse()
        except (OSError, http.client.HTTPException) as failure:
            return f"no answer: {type(failure).__name__}", False
        try:
            body = answer.read().decode()
        except (http.client.IncompleteRead, ConnectionResetError):
            return "cut, shown", False
        if answer.status != 200:
            return f"refused {answer.status}", not answer.will_close
        ids = [int(each) for each in EVENT_ID.findall(body)]
        if ids == list(range(1, EVENTS + 1)):
            return "whole", not answer.will_close
        return ("cut, looks whole" if ids == list(range(1, len(ids) + 1)) else "out of order"), False

    def check(self, in_each_round):
        callers = [threading.Thread(target=self.call, args=(number,), daemon=True) for number in range(CALLERS)]
        for caller in callers:
            caller.start()
        time.sleep(2.0)
        for number in range(ROUNDS):
            begin = time.monotonic()
            GridUpstream.silent = (begin + 0.5, begin + 0.5 + SILENT_SECONDS)
            in_each_round(number)
            time.sleep(max(0, begin + ROUND_SECONDS - time.monotonic()))
        self.is_over.set()
        for caller in callers:
            caller.join(2 * DEADLINE_MS / 1000)
        moved = sum("outcome=sent-again" in line for entry in self.entries for line in entry.lines)
        print(f"{self.id()} seed {SEED}: {dict(self.outcomes)}, moved {moved}", flush=True)
        lines = [line for entry in self.entries for line in entry.lines if any(f"id={each} " in line for each in self.cut)]
        bad = {key: count for key, count in self.outcomes.items() if key != "whole"}
        self.assertEqual(bad, {}, "".join(lines[:20]))

    def test_while_configurations_change(self):
        self.check(lambda number: self.publish())

    def test_while_daemons_stop(self):
        def stop_one(number):
            time.sleep(0.6)
            leaving = self.serving[0]
            self.serving = self.serving[1:]
            leaving.process.send_signal(signal.SIGTERM)
        self.check(stop_one)


if __name__ == "__main__":
    unittest.main()
