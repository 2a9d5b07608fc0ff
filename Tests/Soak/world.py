"""The daemons, stand-ins and callers of a soak."""

import dataclasses
import http.client
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "Processes"))
# pylint: disable=wrong-import-position
from fleet import BUILD, Ports  # noqa: E402
from platform_stand_ins import Store, StoreLimits, Upstream  # noqa: E402
from rollout_checks import supported_flags  # noqa: E402
from test_lost_links import CUTTABLE, UPSTREAM_ADDRESS, BlackHole, detour_flags  # noqa: E402
from test_platform import HOST, route  # noqa: E402
from test_suspension import SUSPENDABLE, SuspendedTime  # noqa: E402
from version_stand_ins import SoftwareVersion, VersionedAnswers  # noqa: E402

from links import Network, PeerLink, TcpLink  # noqa: E402

PROGRAM = f"{BUILD}/platform/stagepostd-platform"
# Time limits that the daemons are started with, in seconds.
KEY_BOUND = 3.0
LEAVE_BOUND = 1.5
EMPTY_BOUND = 2.0
STOP_LIMIT = 6.0
# The lowest seed whose schedule includes suspensions of daemons' VMs.
FIRST_WITH_SUSPENSION = 2000
# The lowest seed whose schedule includes roll-outs, and the service that moves.
FIRST_WITH_ROLLOUTS = 5000
ROLLOUT_SERVICE = "chat"
# The lowest seed whose schedule cuts daemons off from all upstreams.
FIRST_WITH_LINK_CUTS = 6000
# Seeds whose schedules include silences of a whole service. Many callers stream then, and some know no chunks.
SEEDS_WITH_SILENCES = range(400, 500)
STREAMING_CALLERS = 60
TIMEOUT = 2.0
# Streams then wait for several silences.
TIMEOUT_WITH_SILENCES = 6.0
EVENTS = 12
# The topics of a soak are small. So are the reads, or a daemon would never miss more than one returns.
STORE_LIMITS = StoreLimits(read_kb=4, page_bytes=4096)


class SoakUpstream(Upstream):
    """An upstream behind a link. It can fail a fraction of its requests, crash and restart."""

    LINK = TcpLink

    def __init__(self, network, instance, service, hall, version="v1", address="127.0.0.1", held=()):
        self.kind, self.share = None, 0.0
        self.random = random.Random(instance)
        self.connections = []
        # Start time of its process in ms, or None before the first restart, when its record omits it.
        self.born = None
        super().__init__(instance, service, hall, version=version)
        self.events, self.event_pause, self.stop_after = EVENTS, 0.02, 4
        self.link = self.LINK(network, self.endpoint, host=address, held=held)

    @property
    def fault(self):
        return self.kind if self.random.random() < self.share else None

    @fault.setter
    def fault(self, kind):
        self.kind, self.share = kind, 1.0

    def serve(self, connection):
        self.connections.append(connection)
        super().serve(connection)

    def record(self, **fields):
        if self.born is not None:
            fields = {"born": self.born, **fields}
        return super().record(address=self.link.endpoint, **fields)

    def crash(self):
        self.link.refuses = True
        self.stop()
        self.break_connections()

    def restart(self):
        self.born = time.time_ns() // 1000000
        self.break_connections()

    def break_connections(self):
        for connection in self.connections:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass  # already closed
        self.link.reset_connections()


class VersionedSoakUpstream(VersionedAnswers, SoakUpstream):
    """An upstream that answers as its software version does."""


class Daemon:
    """One daemon. Its ports and links persist across restarts of its process."""

    HALLS = ("north", "south")
    LINK = TcpLink

    def __init__(self, world, number):
        self.world, self.name = world, f"entry-{number}"
        self.hall = self.HALLS[number % len(self.HALLS)]
        self.listen, self.ready, self.peer = (world.ports.take() for _ in range(3))
        self.to_store = self.LINK(world.network, world.store.endpoint)
        self.to_peers = PeerLink(world.network, self.peer, self.LINK)
        self.callers = self.LINK(world.network, self.listen)
        self.log = open(os.path.join(world.directory, self.name + ".log"), "a", encoding="utf-8")
        self.suspended_time = SuspendedTime() if world.seed >= FIRST_WITH_SUSPENSION else None
        self.address = f"127.0.2.{number + 1}"
        self.links_file = tempfile.NamedTemporaryFile() if world.seed >= FIRST_WITH_LINK_CUTS else None
        if self.links_file:
            self.set_links(b"o")
        self.process = None
        self.starts = 0
        self.is_expected = False
        self.misses = 2

    def set_links(self, state):
        os.pwrite(self.links_file.fileno(), state, 0)

    def cut_links(self, mode):
        """Cuts the links to all upstreams. mode: "reset", "hang", or "live": open connections live on."""
        self.set_links(b"h" if mode == "hang" else b"r")
        if mode == "hang":
            self.world.held_addresses.add(self.address)
        elif mode == "reset":
            for upstream in self.world.upstreams:
                upstream.link.reset_connections(self.address)

    def heal_links(self):
        self.set_links(b"o")
        self.world.held_addresses.discard(self.address)

    def program(self):
        if self.links_file:
            return CUTTABLE
        return SUSPENDABLE if self.suspended_time else PROGRAM

    def environment(self):
        if not self.links_file:
            return self.suspended_time.environment if self.suspended_time else None
        return dict(self.suspended_time.environment, STAGEPOST_LINK_FILE=self.links_file.name, STAGEPOST_LINK_SOURCE=self.address,
                    STAGEPOST_UPSTREAM_ADDRESS=UPSTREAM_ADDRESS, STAGEPOST_BLACK_HOLE_PORT=str(self.world.black_hole.port))

    def arguments(self):
        return [self.program(), "--name", self.name, "--hall", self.hall, "--listen", self.listen, "--ready-listen", self.ready,
                "--peer-listen", self.peer, "--peer-address", self.to_peers.endpoint, "--store", self.to_store.endpoint,
                "--key-bound-ms", str(int(KEY_BOUND * 1000)), "--leave-bound-ms", str(int(LEAVE_BOUND * 1000)),
                "--empty-hall-bound-ms", str(int(EMPTY_BOUND * 1000)), "--cold-overshoot", "1.5", "--cold-slack", "5", "--drain-s", str(STOP_LIMIT), "--retry-slack", "50", *self.world.daemon_flags]

    def start(self):
        self.starts += 1
        self.is_expected = True
        self.process = subprocess.Popen(self.arguments(), stdout=self.log, stderr=self.log, env=self.environment())

    def signal(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    def end(self, number):
        """Signals the process to end. Returns False if it has already ended or was told to."""
        if self.process.poll() is not None or not self.is_expected:
            return False
        self.is_expected = False
        self.signal(number)
        return True

    def has_died(self):
        return self.is_expected and self.process.poll() is not None

    def stop(self):
        self.is_expected = False
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process:
            self.process.wait()
        if self.links_file:
            self.links_file.close()
        self.log.close()

    def check_readiness(self):
        """Probes readiness like the platform's load balancer, which removes a daemon after two
        consecutive failures."""
        try:
            host, port = self.ready.rsplit(":", 1)
            connection = http.client.HTTPConnection(host, int(port), timeout=0.5)
            connection.request("GET", "/readyz")
            is_ready = connection.getresponse().status == 200
            connection.close()
        except (OSError, http.client.HTTPException):
            is_ready = False
        self.misses = 0 if is_ready else self.misses + 1


@dataclasses.dataclass
class Attempt:
    """One request as observed by its caller."""

    id: str
    kind: str
    path: str
    key: str
    daemon: str
    start: int
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    # "whole", "cut" (truncated response), "none" (no response), "late" (timeout) or "unconnected".
    outcome: str = "none"
    body: str = ""
    headers: dict = dataclasses.field(default_factory=dict)


class Caller:
    """Sends requests sequentially and reuses its connection where possible."""

    PATHS = {"safe": "/lookup/", "unsafe": "/confirm/", "resumable": "/stream/again/", "once": "/stream/once/", "mark": "/mark/"}

    def __init__(self, world, number):
        self.world, self.number = world, number
        self.random = random.Random(f"{world.seed}-{number}")
        self.connection, self.daemon = None, None
        self.count = 0
        is_more = world.seed in SEEDS_WITH_SILENCES
        self.knows_chunks = not is_more or number % 2 == 0
        self.kinds = ("resumable",) if is_more and number < STREAMING_CALLERS else ("safe", "unsafe", "unsafe", "resumable", "once", "mark")

    def run(self):
        while not self.world.is_over:
            self.call(self.random.choice(self.kinds))
            time.sleep(self.random.uniform(0, 0.1))

    def call(self, kind):
        if not self.connection or self.random.random() < 0.1:
            self.connect()
        self.count += 1
        identifier = f"c{self.number}-{self.count}"
        mark = f"{self.random.choice(self.world.marks[-3:])}/" if kind == "mark" else ""
        key = self.random.choice(self.world.keys_to_try())
        attempt = Attempt(identifier, kind, f"{self.PATHS[kind]}{mark}{identifier}", key, self.daemon.name, self.daemon.starts, time.monotonic())
        self.exchange(attempt)
        attempt.ended_at = time.monotonic()
        self.world.attempts.append(attempt)
        if attempt.outcome != "whole" or attempt.headers.get("Connection", "").lower() == "close":
            self.connection.close()
            self.connection = None
        return attempt

    def deadline(self, _):
        """The seconds that a request of that kind may take."""
        return self.world.timeout

    def body(self, attempt):
        return attempt.id

    def connect(self):
        if self.connection:
            self.connection.close()
        ready = [daemon for daemon in self.world.daemons if daemon.misses < 2]
        self.daemon = self.random.choice(ready or self.world.daemons)
        host, port = self.daemon.callers.endpoint.rsplit(":", 1)
        self.connection = http.client.HTTPConnection(host, int(port), timeout=self.world.timeout + 3)
        if not self.knows_chunks:
            self.connection._http_vsn, self.connection._http_vsn_str = 10, "HTTP/1.0"

    def exchange(self, attempt):
        method = "POST" if attempt.kind in ("unsafe", "resumable", "once") else "GET"
        headers = {"Host": HOST, "X-Attempt-Id": attempt.id, "X-Deadline-Ms": str(int(1000 * self.deadline(attempt.kind))), "X-Api-Key": attempt.key}
        if attempt.kind in ("resumable", "once"):
            headers["X-Prompt-Prefix"] = f"aa:500,b{self.random.randrange(20)}:900,{attempt.id.replace('-', '')}:30"
        try:
            if self.connection.sock is None:
                self.connection.connect()
        except OSError:
            attempt.outcome = "unconnected"
            return
        try:
            self.connection.request(method, attempt.path, self.body(attempt) if method == "POST" else None, headers)
            answer = self.connection.getresponse()
            attempt.status, attempt.headers = answer.status, dict(answer.headers)
            attempt.outcome = "cut"
            attempt.body = answer.read().decode()
            attempt.outcome = "whole"
        except http.client.IncompleteRead as broken:
            attempt.body = broken.partial.decode()
        except TimeoutError:
            attempt.outcome = "late"
        except (OSError, http.client.HTTPException):
            pass  # the outcome already records how far the exchange got


class World:
    """The store, the upstreams, the daemons and their callers."""

    def __init__(self, seed, directory, daemons=4, callers=12):
        self.seed, self.directory = seed, directory
        self.timeout = TIMEOUT_WITH_SILENCES if seed in SEEDS_WITH_SILENCES else TIMEOUT
        self.network = Network(seed)
        self.ports = Ports(seed)
        self.store = Store()
        self.store.limits = STORE_LIMITS
        self.is_over = False
        self.attempts = []
        self.upstreams = []
        self.version, self.marks = 0, []
        self.software = SoftwareVersion("v1")
        self.daemon_flags = supported_flags() if seed >= FIRST_WITH_ROLLOUTS else ()
        self.cuts_links = seed >= FIRST_WITH_LINK_CUTS
        self.held_addresses = set()
        self.black_hole = BlackHole() if self.cuts_links else None
        if self.cuts_links:
            self.daemon_flags += detour_flags()
        self.keys = ["key-0"]
        # By key: when the store accepted a configuration with the key, and one without it.
        self.added_at = {"key-0": time.monotonic()}
        self.revoked_at = {}
        # By key whose revocation the store has lost: the times of the loss and of the next write.
        self.lost_revocations = {}
        # By version: when it was sent and when it was accepted.
        self.accepted = {}
        # By upstream: when the store accepted that it leaves.
        self.left_at = {}
        # Orders to empty a hall: the hall, when the order was given and when it was withdrawn, if it was.
        self.orders = []
        self.lock = threading.Lock()
        self.publish()
        for service in ("book", "chat"):
            for _ in range(3):
                self.add_upstream(service)
        self.daemons = [Daemon(self, number) for number in range(daemons)]
        for daemon in self.daemons:
            daemon.start()
        callers += STREAMING_CALLERS if seed in SEEDS_WITH_SILENCES else 0
        self.threads = [threading.Thread(target=Caller(self, number).run, daemon=True) for number in range(callers)]
        self.threads.append(threading.Thread(target=self.balance, daemon=True))

    def balance(self):
        while not self.is_over:
            for daemon in self.daemons:
                daemon.check_readiness()
            time.sleep(0.2)

    def keys_to_try(self):
        """Mostly valid keys, and the key that was revoked last."""
        return self.keys * 4 + list(self.revoked_at)[-1:]

    def publish(self):
        with self.lock:
            self.version += 1 + self.seed % 3
            self.marks.append(self.version)
            sent_at = time.monotonic()
            self.store.put("keyed.op", "config", self.manifest())
            self.accepted[self.version] = (sent_at, time.monotonic())

    def manifest(self):
        return {"version": self.version,
                "routes": [route("lookup", "/lookup/", "safe", "book", timeoutMs=self.timeout * 1000),
                           route("confirm", "/confirm/", "unsafe", "book", maxAttempts=1),
                           route("digest", "/stream/again/", "streaming", "chat", sticky=True, resumable=True, targetGapMs=200, timeoutMs=self.timeout * 1000),
                           route("draft", "/stream/once/", "streaming", "chat", sticky=True, targetGapMs=200, timeoutMs=self.timeout * 1000),
                           route("mark", f"/mark/{self.version}/", "safe", "book", public=True)],
                "services": [{"name": "book", "healthPath": "/healthz", "maxConns": 200},
                             {"name": "chat", "healthPath": "/healthz", "maxConns": 300, "coldS": 1.0, "coldPerS": 8.0, "engine": {"kvCapacityTokens": 400000, "moves": True}}],
                "limits": {"maxHeaderBytes": 8192, "maxBodyBytes": 100000, "headerTimeoutMs": 1000, "idleTimeoutMs": 5000},
                "tenants": [{"name": "club", "apiKeys": list(self.keys), "priority": 3}]}

    def record_lost_revocations(self, copied_at):
        now = time.monotonic()
        for key, revoked_at in self.revoked_at.items():
            if revoked_at > copied_at:
                self.lost_revocations[key] = (now, float("inf"))

    def publish_again(self):
        """Publishes the configuration that the store has lost again, under the same version."""
        with self.lock:
            self.store.put("keyed.op", "config", self.manifest())
            now = time.monotonic()
            self.accepted[self.version] = (self.accepted[self.version][0], now)
            self.lost_revocations = {key: (since, min(until, now)) for key, (since, until) in self.lost_revocations.items()}

    def change_keys(self):
        added = f"key-{self.version + 1}"
        taken = self.keys[0]
        self.keys = [added]
        self.publish()
        self.added_at[added] = self.revoked_at[taken] = time.monotonic()

    def add_upstream(self, service, software=None):
        """Adds an upstream of the version that serves, or of another one."""
        arguments = self.network, f"{service}-{len(self.upstreams)}", service, ("north", "south")[len(self.upstreams) % 2]
        is_versioned = self.seed >= FIRST_WITH_ROLLOUTS and service == ROLLOUT_SERVICE
        link = {"address": UPSTREAM_ADDRESS, "held": self.held_addresses} if self.cuts_links else {}
        upstream = VersionedSoakUpstream(software or self.software, *arguments, **link) if is_versioned else SoakUpstream(*arguments, **link)
        self.upstreams.append(upstream)
        self.store.put("keyed.servers", upstream.instance, upstream.record())
        return upstream

    def emptied_halls(self):
        return [hall for hall, _, until in self.orders if until is None]

    def living(self, service=None):
        return [upstream for upstream in self.upstreams
                if upstream.instance not in self.left_at and not upstream.released.is_set() and service in (None, upstream.service)]

    def start_callers(self):
        for thread in self.threads:
            thread.start()

    def stop(self):
        self.is_over = True
        for thread in self.threads:
            thread.join(self.timeout + 10)
        for daemon in self.daemons:
            daemon.stop()
        for upstream in self.upstreams:
            upstream.stop()
        self.store.stop()
        self.network.stop()
        if self.black_hole:
            self.black_hole.close()
