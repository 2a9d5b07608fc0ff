"""Daemons, upstreams of several versions and callers for the tests of roll-outs."""

import dataclasses
import json
import os
import random
import re
import sys
import threading
import time

from fleet import Ports, eventually
from platform_stand_ins import AppendFaults, Store
from rollout_checks import Order, Status, outcome_of, supported_flags
from test_platform import HOST, KEY, Entry, manifest, request, route
from version_stand_ins import SoftwareVersion, VersionedUpstream

sys.path.append(os.path.join(os.path.dirname(__file__), "..", "Soak"))
# pylint: disable=wrong-import-position
from links import Network, PeerLink, TcpLink  # noqa: E402

HALLS = ("north", "south", "west")
SERVICE = "chat"
ORDER_KEY = f"rollout/{SERVICE}"
DAEMONS = 12
UPSTREAMS = 9
REQUESTS_PER_SECOND = 100
CONTEXTS = 30
# The paths of the callers' requests, and the share of each.
PATHS = {"/stream/again/": 0.35, "/stream/once/": 0.25, "/title/": 0.15, "/lookup/": 0.15, "/confirm/": 0.1}
# The routes of the service that moves.
SERVICE_PATHS = ("/stream/again/", "/stream/once/", "/title/")
# The routes whose requests a daemon repeats at another upstream after a failure.
REPEATED_PATHS = ("/stream/again/", "/title/")
# Seconds after the record of an outcome until the platform drains the upstreams of a version that was
# rolled back, from then until it removes their records, and until it removes those of a version that was left.
DRAIN_AFTER, REMOVE_AFTER, REMOVE_OLD_AFTER = (2.0, 8.0), 3.0, (0.0, 3.0)


@dataclasses.dataclass
class Call:
    """A request as its caller saw it."""

    attempt: str
    path: str
    member: str
    sent_at: float
    ended_at: float = 0.0
    # 0 if the daemon did not answer.
    status: int = 0
    is_whole: bool = False
    body: str = ""

    @property
    def has_failed(self):
        return self.status != 200 or not self.is_whole

    @property
    def reason(self):
        """The status, and the reason of a daemon's own error, or that the answer was broken off."""
        found = re.search(r'"reason":"([^"]+)"', self.body)
        return f"{self.status} {found[1]}" if found else f"{self.status}{'' if self.is_whole else ' broken'}"


class PeerLinkBetweenHalls(PeerLink):
    """Forwards to one daemon, except datagrams from halls that it is cut off from."""

    def __init__(self, network, target):
        self.cut_senders = set()
        super().__init__(network, target)

    def datagram_received(self, data, sender):
        if "%s:%d" % sender[:2] not in self.cut_senders:
            super().datagram_received(data, sender)


class Member:
    """A daemon that keeps its ports across restarts, with a server of the store for itself."""

    def __init__(self, fleet, number):
        self.fleet, self.name, self.hall = fleet, f"entry-{number}", HALLS[number % len(HALLS)]
        self.listen, self.ready, self.peer = (fleet.ports.take() for _ in range(3))
        self.server = fleet.store.add_server()
        self.endpoint = self.server.endpoint
        self.peer_link = self.store_link = None
        if fleet.network:
            self.peer_link = PeerLinkBetweenHalls(fleet.network, self.peer)
            self.store_link = TcpLink(fleet.network, self.endpoint)
            self.endpoint = self.store_link.endpoint
        self.is_available = False
        self.entry = None
        self.lines = []
        # The times in which the daemon was killed or paused, and in which its hall was cut off.
        self.disturbed, self.cut_off = [], []

    def start(self):
        peer_address = ("--peer-address", self.peer_link.endpoint) if self.peer_link else ()
        self.entry = Entry(self, "--name", self.name, "--hall", self.hall, "--listen", self.listen, "--ready-listen", self.ready,
                           "--peer-listen", self.peer, *peer_address, "--key-bound-ms", "60000", "--leave-bound-ms", "2000", *self.fleet.flags)
        eventually(self.entry.is_ready, f"{self.name} is ready")
        self.is_available = True

    def stop(self):
        self.is_available = False
        if self.entry:
            self.entry.stop()
            self.lines += self.entry.lines
            self.entry = None

    def restart(self, pause=0.0):
        since = time.monotonic()
        self.stop()
        time.sleep(pause)
        self.start()
        self.disturbed.append((since, time.monotonic()))

    def signal(self, number):
        self.entry.process.send_signal(number)

    def was_disturbed(self, call):
        return any(since < call.ended_at and until > call.sent_at - 0.1 for since, until in self.disturbed)

    def was_cut_off(self, call):
        """Whether the call was sent from the cut until a second after its end."""
        return bool(self.cut_off) and self.cut_off[0] < call.ended_at and call.sent_at < self.cut_off[-1] + 1


def cut_off(isolated, members):
    """Cuts daemons off from the store and from all other daemons, but not from callers and upstreams."""
    for member in members:
        member.peer_link.cut_senders.update(other.peer for other in isolated)
    for member in isolated:
        member.peer_link.loss = 1.0
        member.store_link.is_forward_open = False


def end_cut(isolated, members):
    for member in members:
        member.peer_link.cut_senders.difference_update(other.peer for other in isolated)
    for member in isolated:
        member.peer_link.loss = 0.0
        member.store_link.is_forward_open = True


class RolloutFleet:
    """Everything that a test of roll-outs runs. Reacts to the statuses in the store as the platform does."""

    def __init__(self, seed, has_links):
        self.random = random.Random(seed)
        # Separate, since it is used at the times of the statuses, which vary between runs.
        self.platform_random = random.Random(f"{seed} platform")
        self.store, self.network = Store(), Network(seed) if has_links else None
        self.ports = Ports(self.random.randrange(500))
        self.flags = supported_flags()
        self.versions, self.upstreams, self.orders, self.statuses = [], [], [], []
        self.members, self.calls = [], []
        self.calls_sent = 0
        self.timers = []
        # What went wrong in other threads than the test's.
        self.errors = []
        # Called with each status, before the store answers the daemon that wrote it.
        self.status_listeners = []
        self.is_over = threading.Event()
        self.store.append_listeners.append(self.appended)
        self.traffic = threading.Thread(target=self.send_requests)

    def start(self):
        services = [{"name": "book", "healthPath": "/healthz", "maxConns": 300},
                    {"name": SERVICE, "healthPath": "/healthz", "maxConns": 2000, "engine": {"kvCapacityTokens": 400000, "moves": True}}]
        routes = [route("digest", "/stream/again/", "streaming", SERVICE, sticky=True, resumable=True, timeoutMs=8000, targetGapMs=400),
                  route("draft", "/stream/once/", "streaming", SERVICE, sticky=True, timeoutMs=8000, targetGapMs=400),
                  route("title", "/title/", "safe", SERVICE, timeoutMs=4000),
                  route("lookup", "/lookup/", "safe", "book", timeoutMs=4000),
                  route("confirm", "/confirm/", "unsafe", "book", maxAttempts=1, timeoutMs=4000)]
        self.store.put("keyed.op", "config", manifest(3, routes=routes, services=services))
        self.add_version("v1")
        self.add_upstreams(SoftwareVersion("v1"), "book", 3)
        self.add_members(DAEMONS)
        eventually(lambda: all(self.knows_all(member) for member in self.members), "all daemons know each other")
        self.traffic.start()

    def knows_all(self, member):
        return any(f"event=peers others={len(self.members) - 1}" in line for line in member.entry.lines)

    def prepare_version(self, name, fault=None):
        """Defines a version of the service that moves, without upstreams."""
        self.versions.append(SoftwareVersion(name, fault))
        return self.versions[-1]

    def add_version(self, name, fault=None):
        version = self.prepare_version(name, fault)
        self.add_service_upstreams(version)
        return version

    def add_service_upstreams(self, version):
        self.add_upstreams(version, SERVICE, UPSTREAMS)

    def add_upstreams(self, software, service, count):
        for number in range(count):
            upstream = VersionedUpstream(software, f"{service}-{software.name}-{number}", service, HALLS[number % len(HALLS)], slots=64)
            self.upstreams.append(upstream)
            self.store.put("keyed.servers", upstream.instance, upstream.record())

    def add_members(self, count):
        added = [Member(self, len(self.members) + index) for index in range(count)]
        self.members += added
        self.for_each(added, Member.start)

    def order(self, version, duration):
        with self.store.changed:
            offset = len(self.store.topics["keyed.op"])
            self.store.put("keyed.op", ORDER_KEY, {"service": SERVICE, "toVersion": version.name, "durationS": duration})
            now = time.monotonic()
            if self.orders:
                self.orders[-1].ended_at = now
            self.orders.append(Order(version, duration, now, offset))
        return self.orders[-1]

    def appended(self, append):
        if append.topic != "keyed.status" or append.key != ORDER_KEY or not append.text:
            return
        status = Status(append.at, json.loads(append.text))
        self.statuses.append(status)
        state, version = status.state, status.fields.get("toVersion")
        if state == "done":
            for upstream in self.service_upstreams():
                if upstream.version != version:
                    upstream.stop_at_once()
                    self.after(self.platform_random.uniform(*REMOVE_OLD_AFTER), lambda upstream=upstream: self.store.put("keyed.servers", upstream.instance, None))
        if state == "rolled_back":
            seconds = self.platform_random.uniform(*DRAIN_AFTER)
            self.after(seconds, lambda: self.write_records(version, is_removed=False))
            self.after(seconds + REMOVE_AFTER, lambda: self.write_records(version, is_removed=True))
        for listener in self.status_listeners:
            listener(append, status)

    def after(self, seconds, action):
        timer = threading.Timer(seconds, self.run, (action,))
        timer.daemon = True
        self.timers.append(timer)
        timer.start()

    def for_each(self, members, action):
        threads = [threading.Thread(target=self.run, args=(action, member)) for member in members]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def run(self, action, *arguments):
        """Runs an action of another thread, so that the test fails if it does."""
        try:
            action(*arguments)
        except (AssertionError, OSError) as error:
            self.errors.append(f"in another thread: {error!r}")

    def service_upstreams(self):
        return [upstream for upstream in self.upstreams if upstream.service == SERVICE]

    def write_records(self, version, is_removed):
        for upstream in self.service_upstreams():
            is_ordered_again = self.orders[-1].version.name == version and not outcome_of(self.orders[-1], self.statuses)
            if upstream.version == version and not is_ordered_again:
                self.store.put("keyed.servers", upstream.instance, None if is_removed else upstream.record(state="draining"))

    def send_requests(self):
        randomness = random.Random(self.random.random())
        due = time.monotonic()
        number = 0
        while not self.is_over.is_set():
            due += randomness.expovariate(REQUESTS_PER_SECOND)
            time.sleep(max(0, due - time.monotonic()))
            number += 1
            available = [member for member in self.members if member.is_available]
            if not available:
                continue
            path = randomness.choices(list(PATHS), PATHS.values())[0]
            context = int(CONTEXTS * randomness.random() ** 2)
            self.calls_sent += 1
            threading.Thread(target=self.call, args=(randomness.choice(available), path, number, context), daemon=True).start()

    def call(self, member, path, number, context):
        call = Call(f"attempt-{number}", path, member.name, time.monotonic())
        fields = {"Host": HOST, "X-Attempt-Id": call.attempt, "X-Deadline-Ms": "7900", "X-Api-Key": KEY}
        if path.startswith("/stream/"):
            fields["X-Prompt-Prefix"] = f"aa:500,c{context}:900,d{number}:30"
        try:
            reply = request(member.listen, "POST" if path != "/lookup/" and path != "/title/" else "GET", f"{path}{number}",
                            "prompt" if path != "/lookup/" and path != "/title/" else None, fields)
            call.status, call.body = reply.status, reply.body[:200]
            call.is_whole = "X-Test-Broken" not in reply.headers and (not path.startswith("/stream/") or is_whole_stream(reply.body))
        except OSError as error:
            call.body = repr(error)
        call.ended_at = time.monotonic()
        self.calls.append(call)

    def end_traffic(self):
        """Sends nothing more, and waits for the answers."""
        self.is_over.set()
        self.traffic.join()
        eventually(lambda: len(self.calls) == self.calls_sent, "all callers have their answers")

    def failed_calls(self, since):
        """Returns the calls since then that failed although their daemon was neither killed nor paused."""
        return [call for call in list(self.calls) if call.sent_at >= since and call.has_failed and not self.member_of(call).was_disturbed(call)]

    def member_of(self, call):
        return next(member for member in self.members if member.name == call.member)

    # Troubles. Each lasts until it is over, so that a test can run them beside the order.

    def a_third(self):
        available = [member for member in self.members if member.is_available]
        return self.random.sample(available, len(available) // 3)

    def set_cut_off(self, hall, is_cut):
        """Cuts a hall off from the store and the other halls' daemons. Its callers and all upstreams stay
        within reach. TCP between daemons stops everywhere, since its connections do not show their sender."""
        for member in self.members:
            others = {other.peer for other in self.members if (other.hall == hall) != (member.hall == hall)}
            member.peer_link.cut_senders = others if is_cut else set()
            member.peer_link.tcp.is_forward_open = member.peer_link.tcp.is_backward_open = not is_cut
            if member.hall == hall:
                member.store_link.is_forward_open = member.store_link.is_backward_open = not is_cut
                member.cut_off.append(time.monotonic())

    def set_store_mode(self, mode):
        with self.store.changed:
            self.store.mode = mode
            self.store.changed.notify_all()

    def lose_answers(self, lost_share, late_share):
        self.store.append_faults = AppendFaults(("keyed.status", "keyed.op", "keyed.stagepost"), lost_share, late_share, randomness=random.Random(self.random.random()))

    def stop(self):
        self.is_over.set()
        if self.traffic.is_alive():
            self.traffic.join()
        for timer in self.timers:
            timer.cancel()
            timer.join()
        self.for_each(self.members, Member.stop)
        for upstream in self.upstreams:
            upstream.stop_at_once()
            upstream.stop()
        self.store.stop()
        if self.network:
            self.network.stop()

    def save(self, directory):
        """Writes the logs of the daemons, and what upstreams, store and callers saw, relative to the first order."""
        os.makedirs(directory, exist_ok=True)
        begin = self.orders[0].at if self.orders else 0
        for member in self.members:
            lines = member.lines + (member.entry.lines if member.entry else [])
            with open(os.path.join(directory, f"{member.name}.log"), "w", encoding="utf-8") as file:
                file.writelines(lines)
        with open(os.path.join(directory, "statuses.txt"), "w", encoding="utf-8") as file:
            file.writelines(f"{order.at - begin:.3f} ordered {order.version.name} for {order.duration} s at offset {order.offset}\n" for order in self.orders)
            file.writelines(f"{status.at - begin:.3f} {json.dumps(status.fields)}\n" for status in self.statuses)
        with open(os.path.join(directory, "arrivals.txt"), "w", encoding="utf-8") as file:
            arrivals = sorted((arrival for version in self.versions for arrival in version.copy_arrivals()), key=lambda each: each.at)
            file.writelines(f"{arrival.at - begin:.3f} {arrival.instance} {arrival.target} {arrival.attempt} {arrival.outcome} until {arrival.ended_at - begin:.3f}\n"
                            for arrival in arrivals)
        with open(os.path.join(directory, "failed-calls.txt"), "w", encoding="utf-8") as file:
            file.writelines(f"{call.sent_at - begin:.3f} {call}\n" for call in self.calls if call.has_failed)


def is_whole_stream(body):
    """Whether a stream has all of its events, each once and in order."""
    words = re.findall(r"^data: word(\d+) of (\d+)$", body, re.MULTILINE)
    return bool(words) and [int(number) for number, _ in words] == list(range(1, int(words[0][1]) + 1))
