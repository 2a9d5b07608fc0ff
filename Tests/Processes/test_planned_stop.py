"""Planned stops of one daemon while callers that keep their connections go on calling.

Guards against requests that a stopping daemon passes on although they can't end before it does.
"""

import collections
import dataclasses
import http.client
import itertools
import math
import random
import signal
import sys
import threading
import time
import unittest

from fleet import PATIENCE, Ports, eventually
from platform_stand_ins import Store, Upstream
from test_platform import HOST, KEY, Entry, manifest, route

PORTS = Ports(0)
CALLERS = 30
# Between the events of streams.
EVENT_PAUSE_S = 0.1
# Of all requests, so that only the observed times tell which of them can end.
DEADLINE_S = 30
# The part of the grace after which the users' rules don't count what still runs, if it was sent before the stop.
LAST_PART = 5 / 6


class SlowUpstream(Upstream):
    """Takes as long for each request as its X-Work-S field says."""

    def plain(self, connection, request, fault):
        time.sleep(float(request["headers"].get("x-work-s", 0)))
        request["answered_at"] = request["finished_at"] = time.monotonic()
        return super().plain(connection, request, fault)

    def stream(self, connection, request, fault):
        events = max(1, round(float(request["headers"]["x-work-s"]) / EVENT_PAUSE_S))
        start = int(request["headers"].get("last-event-id", 0))
        connection.sendall(self.head(request, 200, None, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"))
        for number in range(start + 1, events + 1):
            event = f"id: {number}\ndata: word{number} {request['headers']['x-attempt-id']}\n\n".encode()
            connection.sendall(b"%x\r\n%s\r\n" % (len(event), event))
            time.sleep(EVENT_PAUSE_S)
        request["finished_at"] = time.monotonic()
        connection.sendall(b"0\r\n\r\n")
        return True


@dataclasses.dataclass
class Work:
    """What a caller asks for again and again."""

    path: str
    least_s: float
    most_s: float

    def draw(self, randomness):
        return randomness.uniform(self.least_s, self.most_s)

    @property
    def method(self):
        return "GET" if self.path.startswith("/lookup/") else "POST"


@dataclasses.dataclass
class Attempt:
    identifier: str
    work: Work
    seconds: float
    daemon: str
    sent_at: float
    # None if the connection ended without a whole answer.
    status: int = None
    connection_field: str = ""
    answered_at: float = 0.0
    # What the caller got from the other daemon after this one had not answered.
    elsewhere: "Attempt" = None


class Caller(threading.Thread):
    """Uses its connection to the first daemon for as long as there is one, and the second daemon afterwards."""

    numbers = itertools.count(1)

    def __init__(self, work, endpoints, seed):
        super().__init__(daemon=True)
        self.work, self.endpoints, self.randomness = work, endpoints, random.Random(seed)
        self.connection, self.server = None, endpoints[0]
        self.attempts = []
        self.is_stopped = threading.Event()
        self.start()

    def connect(self, endpoint):
        host, port = endpoint.rsplit(":", 1)
        connection = http.client.HTTPConnection(host, int(port), timeout=DEADLINE_S)
        connection.connect()
        return connection

    def reconnect(self):
        try:
            self.connection, self.server = self.connect(self.endpoints[0]), self.endpoints[0]
        except OSError:
            self.connection, self.server = self.connect(self.endpoints[1]), self.endpoints[1]

    def send(self, connection, daemon, seconds):
        attempt = Attempt(f"attempt-{next(self.numbers)}", self.work, seconds, daemon, time.monotonic())
        fields = {"Host": HOST, "X-Attempt-Id": attempt.identifier, "X-Deadline-Ms": str(DEADLINE_S * 1000), "X-Api-Key": KEY, "X-Work-S": f"{seconds:.3f}"}
        try:
            connection.request(self.work.method, self.work.path, None, fields)
            answer = connection.getresponse()
            answer.read()
            attempt.status, attempt.connection_field = answer.status, answer.headers.get("Connection", "")
        except (OSError, http.client.HTTPException):
            connection.close()
        attempt.answered_at = time.monotonic()
        return attempt

    def run(self):
        while not self.is_stopped.is_set():
            if not self.connection or not self.connection.sock:
                self.reconnect()
            seconds = self.work.draw(self.randomness)
            attempt = self.send(self.connection, self.server, seconds)
            self.attempts.append(attempt)
            if attempt.status != 200 and self.server == self.endpoints[0]:
                connection = self.connect(self.endpoints[1])
                attempt.elsewhere = self.send(connection, self.endpoints[1], seconds)
                connection.close()
        if self.connection:
            self.connection.close()


@dataclasses.dataclass
class Stop:
    """When the signal was sent, when the daemon was known to have it, and when the daemon ended."""

    signal_at: float
    draining_at: float
    ended_at: float

    @property
    def took(self):
        return self.ended_at - self.signal_at


class PlannedStops(unittest.TestCase):
    def setUp(self):
        self.store = Store()
        self.addCleanup(self.store.stop)
        self.upstreams = []
        for service in ("book", "chat"):
            for number in range(2):
                self.add_upstream(f"{service}-{number}", service)
        fields = {"timeoutMs": DEADLINE_S * 1000, "targetLatencyMs": 1000}
        self.store.put("keyed.op", "config", manifest(3, routes=[
            route("lookup", "/lookup/", "safe", "book", **fields),
            route("confirm", "/confirm/", "unsafe", "book", maxAttempts=1, **fields),
            route("confirm-long", "/confirm/long/", "unsafe", "book", maxAttempts=1, **fields),
            route("digest", "/stream/again/", "streaming", "chat", resumable=True, targetGapMs=500, **fields),
            route("draft", "/stream/once/", "streaming", "chat", targetGapMs=500, **fields),
            route("draft-long", "/stream/once/long/", "streaming", "chat", targetGapMs=500, **fields)]))
        self.addresses = [[PORTS.take() for _ in range(3)] for _ in range(2)]
        self.callers = []

    def add_upstream(self, instance, service):
        upstream = SlowUpstream(instance, service, slots=64)
        self.addCleanup(upstream.stop)
        self.store.put("keyed.servers", instance, upstream.record())
        self.upstreams.append(upstream)

    def start(self, number, drain_s):
        listen, ready, peer = self.addresses[number]
        entry = Entry(self.store, "--name", f"entry-{number + 1}", "--listen", listen, "--ready-listen", ready, "--peer-listen", peer,
                      "--key-bound-ms", "60000", "--leave-bound-ms", "2000", "--drain-s", str(drain_s))
        self.addCleanup(entry.stop)
        eventually(entry.is_ready, "ready")
        return entry

    def start_callers(self, works):
        endpoints = [addresses[0] for addresses in self.addresses]
        self.callers = [Caller(works[number % len(works)], endpoints, seed=number) for number in range(CALLERS)]
        self.addCleanup(self.stop_callers)

    def stop_callers(self):
        for caller in self.callers:
            caller.is_stopped.set()
        for caller in self.callers:
            caller.join(PATIENCE)

    def runs(self):
        return {run["headers"]["x-attempt-id"]: run for upstream in self.upstreams for run in upstream.runs()}

    def stop_daemon(self, entry):
        stopped_at = time.monotonic()
        entry.process.send_signal(signal.SIGTERM)
        eventually(lambda: any("event=draining" in line for line in entry.lines), "draining")
        draining_at = time.monotonic()
        self.assertEqual(entry.process.wait(PATIENCE), 0)
        return Stop(stopped_at, draining_at, time.monotonic())

    def attempts_between(self, begin, end):
        first = self.addresses[0][0]
        return [attempt for caller in self.callers for attempt in list(caller.attempts) if attempt.daemon == first and begin <= attempt.sent_at < end]

    def check_requests_after(self, stop):
        """Checks those that came after the signal, and returns the ones that were answered with 200."""
        attempts = self.attempts_between(stop.signal_at, stop.ended_at)
        eventually(lambda: all(attempt.elsewhere or attempt.status == 200 for attempt in attempts), "the callers that were not served have tried elsewhere")
        runs = self.runs()
        counts = collections.Counter((attempt.status, attempt.identifier in runs) for attempt in attempts)
        print(f"{self.id()}: requests after the signal, by status and whether they ran: {dict(counts)}; ended after {stop.took:.2f} s", file=sys.stderr)
        cut = [(attempt.work.path, round(attempt.sent_at - stop.signal_at, 2), round(attempt.seconds, 2), attempt.status)
               for attempt in attempts if attempt.identifier in runs and attempt.status != 200]
        self.assertEqual(cut, [], f"of {len(attempts)} requests that came after the signal, {len(cut)} ran and got no whole answer")
        refused = [attempt for attempt in attempts if attempt.status != 200]
        self.assertEqual({attempt.status for attempt in refused} - {503, None}, set())
        self.assertEqual([attempt.elsewhere for attempt in refused if attempt.elsewhere.status != 200], [], "refused callers are served elsewhere")
        # A refusal that takes longer takes from the time for the other daemon.
        self.assertEqual([attempt for attempt in refused if attempt.answered_at - attempt.sent_at > 0.5], [])
        return [attempt for attempt in attempts if attempt.status == 200]

    def check_requests_before(self, stop, grace_s, since=0.0):
        """Those that ran already may be cut only if the grace does not suffice for them, and not before its last part."""
        runs = self.runs()
        for attempt in self.attempts_between(since, stop.signal_at):
            if attempt.status == 200:
                continue
            self.assertIn(attempt.identifier, runs)
            self.assertGreater(runs[attempt.identifier].get("finished_at", math.inf), stop.signal_at + grace_s * LAST_PART, attempt)
            self.assertGreater(attempt.answered_at, stop.signal_at + grace_s * LAST_PART, attempt)
            # Until its head was sent, there is an answer that says that it may have run.
            if "/stream/" not in attempt.work.path:
                self.assertEqual(attempt.status, 502)

    def check_connections_close(self, stop):
        """A caller that keeps its connection would come back to the daemon."""
        runs = self.runs()
        for attempt in self.attempts_between(0, stop.ended_at):
            answered_at = runs.get(attempt.identifier, {}).get("answered_at", 0)
            if attempt.status and max(attempt.sent_at, answered_at) > stop.draining_at:
                self.assertEqual(attempt.connection_field, "close", attempt)

    def play(self, drain_s, works, warm_up_s=6.0):
        entry = self.start(0, drain_s)
        self.start(1, drain_s)
        self.start_callers(works)
        time.sleep(warm_up_s)
        stop = self.stop_daemon(entry)
        time.sleep(0.5)
        self.stop_callers()
        with self.subTest("ends within its grace"):
            self.assertLess(stop.took, drain_s)
        with self.subTest("requests that ran before"):
            self.check_requests_before(stop, drain_s)
        with self.subTest("connections close"):
            self.check_connections_close(stop)
        return stop, self.check_requests_after(stop)

    def play_all(self, drain_s, warm_up_s):
        return self.play(drain_s, [Work("/confirm/x", 0.5, 1.5), Work("/confirm/long/x", 2, 3), Work("/lookup/x", 0.5, 1.5), Work("/stream/once/x", 0.5, 0.5),
                                   Work("/stream/once/long/x", drain_s + 1, drain_s + 2), Work("/stream/again/x", 0.5, drain_s + 2)], warm_up_s)

    def test_grace_of_two_seconds(self):
        self.play_all(2, 6)

    def test_grace_of_four_seconds(self):
        _, served = self.play_all(4, 6)
        self.assertGreater(len([attempt for attempt in served if attempt.work.path == "/confirm/x"]), 0)

    def test_grace_of_eight_seconds(self):
        stop, served = self.play_all(8, 14)
        self.assertGreater(len([attempt for attempt in served if attempt.work.path == "/confirm/long/x"]), 0)
        # For as long as the balancer may send requests, those that can end in time are served.
        self.assertGreater(max(attempt.sent_at - stop.signal_at for attempt in served if attempt.work.path == "/confirm/x"), 2)

    def test_short_work_alone(self):
        _, served = self.play(4, [Work("/confirm/x", 0.5, 1.5)])
        self.assertGreater(len(served), 0)

    def test_long_work_alone(self):
        self.play(4, [Work("/confirm/long/x", 2, 3)])

    def test_stops_and_starts_in_series(self):
        """A daemon that has just started has not seen yet how long requests take."""
        entry = self.start(0, 4)
        self.start(1, 4)
        self.start_callers([Work("/confirm/x", 0.5, 1.5), Work("/confirm/long/x", 2, 3), Work("/stream/again/x", 0.5, 6)])
        for life_s in (4.0, 1.0, 0.2):
            since = time.monotonic()
            time.sleep(life_s)
            stop = self.stop_daemon(entry)
            self.assertLess(stop.took, 4)
            self.check_requests_before(stop, 4, since)
            self.check_requests_after(stop)
            self.check_connections_close(stop)
            entry = self.start(0, 4)
            # The callers come back to the daemon.
            for caller in self.callers:
                caller.connection = None


if __name__ == "__main__":
    unittest.main()
