"""No upstream exceeds the users' bound on its load while daemons are killed, stopped, paused or added."""

import os
import random
import select
import signal
import threading
import time
import unittest

from fleet import Ports, eventually
from platform_stand_ins import Store, Upstream
from test_platform import HOST, KEY, Entry, manifest, request, route

SEED = int(os.environ.get("STAGEPOST_SEED", "3"))
HALLS = ("north", "south", "west")
DAEMONS = 24
UPSTREAMS = 12
REQUESTS_PER_SECOND = 95
STREAM_SECONDS = (0.3, 1.1)
EVENT_SECONDS = 0.1
CONTEXTS = 30
# A few contexts get much of the traffic: the n-th root of a context's rank is uniformly distributed.
CONTEXT_SKEW = 3
# The users' rule on requests to an upstream that holds more than twice the mean of its service plus three.
BOUND_MULTIPLE, BOUND_SLACK = 2, 3
WINDOW = 5.0
MIN_BEYOND_BOUND = 20
MAX_SHARE_BEYOND_BOUND = 0.03
ROUNDS = 4
ROUND_SECONDS = 4.0


class LoadRecord:
    """The requests in flight at all upstreams of a service, and what each arrival found."""

    def __init__(self, upstreams):
        self.upstreams = upstreams
        self.lock = threading.Lock()
        self.total = 0
        # When a request arrived, the load that it found, and the bound.
        self.arrivals = []

    def started(self, upstream):
        with self.lock:
            bound = BOUND_MULTIPLE * self.total / self.upstreams + BOUND_SLACK
            self.arrivals.append((time.monotonic(), upstream.in_flight, bound))
            upstream.in_flight += 1
            self.total += 1

    def ended(self, upstream):
        with self.lock:
            upstream.in_flight -= 1
            self.total -= 1

    def worst_window(self):
        """Returns whether any window breaks the rule, and for one that does, or else for the worst one, the
        arrivals beyond the bound and all arrivals."""
        with self.lock:
            arrivals = list(self.arrivals)
        worst = (False, 0, 0)
        for first, (since, _, _) in enumerate(arrivals):
            window = [(load, bound) for at, load, bound in arrivals[first:] if at < since + WINDOW]
            beyond = sum(load > bound for load, bound in window)
            is_broken = beyond >= MIN_BEYOND_BOUND and beyond > MAX_SHARE_BEYOND_BOUND * len(window)
            worst = max(worst, (is_broken, beyond, len(window)))
        return worst


class MeasuredUpstream(Upstream):
    """An upstream with streams of different lengths that notices at once when a daemon has closed one."""

    def __init__(self, loads, instance, hall):
        self.loads, self.in_flight = loads, 0
        super().__init__(instance, "chat", hall, slots=64)

    def stream(self, connection, request, fault):
        self.loads.started(self)
        try:
            return self.send_events(connection, request)
        finally:
            self.loads.ended(self)

    def send_events(self, connection, request):
        connection.sendall(self.head(request, 200, None, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"))
        duration = random.Random(request["headers"]["x-attempt-id"]).uniform(*STREAM_SECONDS)
        for number in range(1, round(duration / EVENT_SECONDS) + 1):
            event = f"id: {number}\ndata: word{number}\n\n".encode()
            connection.sendall(b"%x\r\n%s\r\n" % (len(event), event))
            # Only the end of the connection is readable while a stream is under way.
            if select.select([connection], [], [], EVENT_SECONDS)[0]:
                return False
        connection.sendall(b"0\r\n\r\n")
        return True


class Member:
    """A daemon that keeps its ports across restarts."""

    def __init__(self, store, ports, number):
        self.store, self.number = store, number
        self.addresses = [ports.take() for _ in range(3)]
        self.is_available = False
        self.entry = None

    def start(self):
        listen, ready, peer = self.addresses
        self.entry = Entry(self.store, "--name", f"entry-{self.number}", "--hall", HALLS[self.number % len(HALLS)], "--listen", listen,
                           "--ready-listen", ready, "--peer-listen", peer, "--key-bound-ms", "60000", "--leave-bound-ms", "2000")
        eventually(self.entry.is_ready, "ready")
        self.is_available = True


class LoadBound(unittest.TestCase):
    def setUp(self):
        self.random = random.Random(f"{SEED}-{self.id()}")
        self.store, self.loads, self.ports = Store(), LoadRecord(UPSTREAMS), Ports(SEED)
        self.addCleanup(self.store.stop)
        self.upstreams = [self.upstream(number) for number in range(UPSTREAMS)]
        self.store.put("keyed.op", "config", manifest(3, routes=[route("draft", "/stream/once/", "streaming", "chat", sticky=True, timeoutMs=8000)]))
        self.members = []
        self.add_members(DAEMONS)
        eventually(lambda: all(any(f"event=peers others={DAEMONS - 1}" in line for line in member.entry.lines) for member in self.members), "all daemons know each other")
        self.is_over = threading.Event()
        self.callers = []
        self.traffic = threading.Thread(target=self.send_requests)

    def upstream(self, number):
        upstream = MeasuredUpstream(self.loads, f"chat-{number}", HALLS[number % len(HALLS)])
        self.addCleanup(upstream.stop)
        self.store.put("keyed.servers", upstream.instance, upstream.record())
        return upstream

    def add_members(self, count):
        added = [Member(self.store, self.ports, len(self.members) + index) for index in range(count)]
        for member in added:
            self.addCleanup(lambda member=member: member.entry.stop())
        self.for_each(added, Member.start)
        self.members += added

    def for_each(self, members, action):
        threads = [threading.Thread(target=action, args=(member,)) for member in members]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def send_requests(self):
        randomness = random.Random(f"{SEED}-traffic")
        due = time.monotonic()
        number = 0
        while not self.is_over.is_set():
            due += randomness.expovariate(REQUESTS_PER_SECOND)
            time.sleep(max(0, due - time.monotonic()))
            number += 1
            available = [member for member in self.members if member.is_available]
            context = int(CONTEXTS * randomness.random() ** CONTEXT_SKEW)
            caller = threading.Thread(target=self.call, args=(randomness.choice(available), number, context), daemon=True)
            caller.start()

    def call(self, member, number, context):
        fields = {"Host": HOST, "X-Attempt-Id": f"attempt-{number}", "X-Deadline-Ms": "7900", "X-Api-Key": KEY,
                  "X-Prompt-Prefix": f"aa:500,c{context}:900,d{number}:30"}
        try:
            request(member.entry.endpoint, "POST", "/stream/once/x", "prompt", fields)
        except OSError:
            pass  # the daemon was killed

    def check_bound(self, disturb):
        self.traffic.start()
        time.sleep(ROUND_SECONDS)
        for _ in range(ROUNDS):
            until = time.monotonic() + ROUND_SECONDS
            disturb()
            time.sleep(max(0, until - time.monotonic()))
        time.sleep(WINDOW)
        self.is_over.set()
        self.traffic.join()
        is_broken, beyond, count = self.loads.worst_window()
        print(f"{self.id()} seed {SEED}: in the worst five seconds {beyond} of {count} arrivals beyond the bound, "
              f"most in flight {max(load for _, load, _ in self.loads.arrivals)}", flush=True)
        self.assertFalse(is_broken, f"{beyond} of {count} arrivals beyond the bound")

    def a_third(self):
        available = [member for member in self.members if member.is_available]
        return self.random.sample(available, len(available) // 3)

    def test_while_nothing_happens(self):
        self.check_bound(lambda: None)

    def test_while_daemons_are_added(self):
        self.check_bound(lambda: self.add_members(3))

    def test_while_daemons_are_paused(self):
        def pause(member):
            member.is_available = False
            member.entry.process.send_signal(signal.SIGSTOP)
            time.sleep(2)
            member.entry.process.send_signal(signal.SIGCONT)
            member.is_available = True

        self.check_bound(lambda: self.for_each(self.a_third(), pause))

    def test_while_daemons_are_stopped_and_started_again(self):
        def restart(member):
            member.is_available = False
            member.entry.process.send_signal(signal.SIGTERM)
            member.entry.process.wait()
            member.entry.stop()
            member.start()

        self.check_bound(lambda: self.for_each(self.a_third(), restart))

    def test_while_daemons_are_killed_and_started_again(self):
        def kill(member):
            member.is_available = False
            member.entry.stop()
            member.start()

        self.check_bound(lambda: self.for_each(self.a_third(), kill))


if __name__ == "__main__":
    unittest.main()
