"""The fleet of the soak of refusals: every connection passes a faulty link, and upstreams reject what they cannot take."""

import os
import random
import subprocess
import threading
import time

# Adds the path of the modules below.
from world import FIRST_WITH_LINK_CUTS, PROGRAM, Caller, Daemon, SoakUpstream
# pylint: disable=wrong-import-order
from faulty_links import FaultyLink
from fleet import Ports
from links import Network
from platform_stand_ins import Store
from promises import STATUSES_NOT_EXECUTED
from test_lost_links import CUTTABLE, UPSTREAM_ADDRESS, BlackHole, detour_flags
from test_platform import manifest, route
from version_stand_ins import is_closed

HALLS = ("north", "south", "west")
DAEMONS, CALLERS = 7, 90
UPSTREAMS = {"book": 6, "chat": 10}
# Requests at work and waiting at one upstream.
SLOTS = {"book": 2, "chat": 6}
QUEUE = {"book": 4, "chat": 8}
EVENTS, EVENT_PAUSE = 5, 0.015
# Seconds that a request takes to be worked on, and that its caller waits.
WORK = {"book": (0.005, 0.03), "chat": (0.02, 0.06)}
DEADLINES = {"safe": 0.6, "unsafe": 0.6, "resumable": 2.5, "once": 2.5}
# The share of upstreams that drop a waiting request whose connection has closed.
DROPPING_SHARE = 0.6
# Seconds until an answer is sent a second time.
SURPLUS_DELAY = (0.0, 0.08)
# Bytes that are added to bodies. Long ones arrive in several parts, between which a link may fail.
PADDINGS = (0, 600, 3600, 90000)
# Requests that a caller sends again after promises, each under an identifier of its own.
MAX_RETRIES = 2
ROUTES = [route("lookup", "/lookup/", "safe", "book", targetLatencyMs=100, timeoutMs=600, maxAttempts=2),
          route("confirm", "/confirm/", "unsafe", "book", targetLatencyMs=100, timeoutMs=600, maxAttempts=1),
          route("digest", "/stream/again/", "streaming", "chat", sticky=True, resumable=True, targetGapMs=300, targetLatencyMs=300, timeoutMs=2500),
          route("draft", "/stream/once/", "streaming", "chat", sticky=True, targetGapMs=300, targetLatencyMs=400, timeoutMs=2500, maxAttempts=1)]


class SheddingUpstream(SoakUpstream):
    """Works on a few requests at once and lets a few more wait. It rejects the others, and those whose deadline
    passes while they wait."""

    LINK = FaultyLink

    def __init__(self, network, instance, service, hall, **link):
        self.free = threading.Condition()
        self.running = self.waiting = 0
        self.slowdown = 1.0
        # The share of requests that it runs and then answers with 421 and a signature, without X-Not-Executed.
        self.misdirected_share = 0.0
        # The share of answers without a body that it sends a second time, perhaps when the next one is due.
        self.surplus_share = 0.0
        self.last = threading.local()
        super().__init__(network, instance, service, hall, **link)
        self.slots, self.events, self.event_pause = SLOTS[service], EVENTS, EVENT_PAUSE
        self.drops = self.random.random() < DROPPING_SHARE

    def head(self, request, status, length, extra=""):
        head = super().head(request, status, length, extra)
        self.last.answer = head if length == 0 else None
        return head

    def serve_one(self, connection, reader):
        self.last.answer = None
        is_open = super().serve_one(connection, reader)
        if is_open and self.last.answer and self.random.random() < self.surplus_share:
            self.released.wait(self.random.uniform(*SURPLUS_DELAY))
            connection.sendall(self.last.answer)
        return is_open

    def plain(self, connection, request, fault):
        return self.admit(connection, request, fault, super().plain)

    def stream(self, connection, request, fault):
        return self.admit(connection, request, fault, super().stream)

    def admit(self, connection, request, fault, send):
        if "x-attempt-id" not in request["headers"]:
            return send(connection, request, fault)
        request["ran"], request["connection"] = False, "%s:%d" % connection.getpeername()
        if len(request["body"]) < int(request["headers"].get("content-length", 0)):
            return False
        outcome = self.wait_for_slot(connection, request)
        request["admission"] = outcome
        if outcome == "dropped":
            return False
        if outcome == "rejected":
            connection.sendall(self.head(request, 503, 0, "X-Not-Executed: 1\r\n"))
            return True
        try:
            return self.work(connection, request, fault, send)
        finally:
            with self.free:
                self.running -= 1
                self.free.notify_all()

    def wait_for_slot(self, connection, request):
        end = request["at"] + int(request["headers"].get("x-deadline-ms", 1000)) / 1000
        with self.free:
            if self.running >= self.slots and self.waiting >= QUEUE[self.service]:
                return "rejected"
            self.waiting += 1
            try:
                while self.running >= self.slots:
                    self.free.wait(0.02)
                    if self.drops and is_closed(connection, 0):
                        return "dropped"
                    if time.monotonic() > end:
                        return "rejected"
            finally:
                self.waiting -= 1
            self.running += 1
            return "admitted"

    def work(self, connection, request, fault, send):
        """Runs the request. Faults beside those of Upstream: "own-STATUS" answers with that status, signed and without
        X-Not-Executed; "interim" sends a head with X-Not-Executed before the final one."""
        request["began_at"], request["instance"] = time.monotonic(), self.instance
        request["ran"] = True
        self.released.wait(self.slowdown * self.random.uniform(*WORK[self.service]))
        if self.random.random() < self.misdirected_share:
            connection.sendall(self.head(request, 421, 0))
            return True
        if fault and fault.startswith("own-"):
            connection.sendall(self.head(request, int(fault.removeprefix("own-")), 0))
            return True
        if fault == "interim":
            connection.sendall(self.head(request, 103, None, "X-Not-Executed: 1\r\n"))
        return send(connection, request, fault)

    def become(self, instance):
        """Another process takes its address."""
        self.instance = instance
        self.break_connections()


class LinkedDaemon(Daemon):
    """A daemon of which every link may fail. Runs earlier programs as well, without the flags that they lack."""

    HALLS = HALLS
    LINK = FaultyLink

    def program(self):
        return CUTTABLE if os.path.exists(CUTTABLE) else PROGRAM

    def arguments(self):
        program, *flags = super().arguments()
        known = [pair for pair in zip(flags[::2], flags[1::2]) if pair[0] in self.world.known_flags]
        return [program, *(part for pair in known for part in pair)]


class PersistentCaller(Caller):
    """Sends a request again after a promise, as callers of requests that may not be repeated do."""

    def run(self):
        while not self.world.is_over:
            self.send_until_answered()
            time.sleep(self.random.uniform(0, 0.12))

    def send_until_answered(self):
        kind = self.random.choice(("safe", "unsafe", "unsafe", "unsafe", "resumable", "once", "once"))
        end = time.monotonic() + DEADLINES[kind]
        for _ in range(1 + MAX_RETRIES):
            if self.connection and self.random.random() < 0.2:
                self.connect()
            attempt = self.call(kind)
            if attempt.status not in STATUSES_NOT_EXECUTED or time.monotonic() > end:
                return
            # A retry goes to another daemon, over a new connection.
            self.connect()

    def deadline(self, kind):
        return DEADLINES[kind]

    def body(self, attempt):
        return attempt.id + "." * self.random.choice(PADDINGS)


class RefusalWorld:
    """The store, the upstreams, the daemons and their callers."""

    def __init__(self, seed, directory, misdirected_share):
        self.seed, self.directory, self.misdirected_share = FIRST_WITH_LINK_CUTS + seed, directory, misdirected_share
        self.timeout = max(DEADLINES.values())
        self.network, self.ports = Network(seed), Ports(seed)
        self.store, self.black_hole = Store(), BlackHole()
        self.known_flags = subprocess.run([PROGRAM, "--help"], capture_output=True, text=True, timeout=30).stdout.split()
        self.daemon_flags = ("--retry-slack", "54", *detour_flags())
        self.held_addresses = set()
        self.is_over = False
        self.attempts, self.upstreams = [], []
        self.version = 0
        self.publish()
        for service, count in UPSTREAMS.items():
            for number in range(count):
                self.add_upstream(service, HALLS[number % len(HALLS)])
        self.daemons = [LinkedDaemon(self, number) for number in range(DAEMONS)]
        for daemon in self.daemons:
            daemon.start()
        self.callers = [PersistentCaller(self, number) for number in range(CALLERS)]
        self.threads = [threading.Thread(target=caller.run, daemon=True) for caller in self.callers]
        self.threads.append(threading.Thread(target=self.balance, daemon=True))

    def publish(self):
        self.version += 1
        self.store.put("keyed.op", "config", manifest(self.version, routes=ROUTES))

    def add_upstream(self, service, hall):
        upstream = SheddingUpstream(self.network, f"{service}-{len(self.upstreams)}", service, hall, address=UPSTREAM_ADDRESS, held=self.held_addresses)
        upstream.misdirected_share = self.misdirected_share
        self.upstreams.append(upstream)
        self.store.put("keyed.servers", upstream.instance, upstream.record())

    def keys_to_try(self):
        return [key for tenant in manifest(3)["tenants"] for key in tenant["apiKeys"]]

    def balance(self):
        while not self.is_over:
            for daemon in self.daemons:
                daemon.check_readiness()
            time.sleep(0.2)

    def links(self):
        """By what they connect, all links."""
        return {"upstreams": [upstream.link for upstream in self.upstreams],
                "peers": [daemon.to_peers.tcp for daemon in self.daemons],
                "callers": [daemon.callers for daemon in self.daemons],
                "store": [daemon.to_store for daemon in self.daemons]}

    def end_connections(self):
        """Ends the tasks of all connections, since asyncio complains about those that are left."""
        for links in self.links().values():
            for link in links:
                link.reset_connections()
        time.sleep(0.2)

    def stop_callers(self):
        self.is_over = True
        for thread in self.threads:
            thread.join(self.timeout + 10)

    def stop(self):
        for daemon in self.daemons:
            daemon.stop()
        for upstream in self.upstreams:
            upstream.stop()
        self.store.stop()
        self.end_connections()
        self.network.stop()
        self.black_hole.close()
