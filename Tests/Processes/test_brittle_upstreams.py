"""Upstreams that announce to be brittle do not fall over because they have to reject requests.

Such an upstream lets fewer requests wait than usual, and ends if it has to reject more than a few in a second.
"""

import collections
import os
import random
import socket
import struct
import threading
import time
import unittest

from fleet import Ports
from platform_stand_ins import Store, Upstream
from test_platform import HOST, KEY, manifest, request, route, start_fleet

SEED = int(os.environ.get("STAGEPOST_SEED", "64"))
HALLS = ("north", "south", "west")
DAEMONS = 12
UPSTREAMS = 8
SLOTS = 4
WORK_SECONDS = 0.3
REQUESTS_PER_SECOND = 75
# Requests that wait at an upstream, usually and while it is brittle.
QUEUE, BRITTLE_QUEUE = 12, 1
# The rejections in a second that a brittle upstream bears, and the time until it is back.
BORNE_REJECTIONS = 4
DOWN_SECONDS = 3.0
# Upstreams announce it for so long before they let fewer wait.
NOTICE_SECONDS = 3.0
BRITTLE_SECONDS = 12.0
# The users' rule on how often the upstreams of a service may fall over in one such time.
MAX_FALLS = 2 + 0.1 * UPSTREAMS
DEADLINE_MS = 4000


class BrittleUpstream(Upstream):
    """An upstream with slots and a queue."""

    def __init__(self, instance, hall):
        self.changed = threading.Condition()
        self.running = self.waiting = 0
        self.queue = QUEUE
        self.is_down = False
        self.rejections = collections.deque()
        self.falls = 0
        self.connections = set()
        super().__init__(instance, "chat", hall, slots=SLOTS)

    def serve(self, connection):
        self.connections.add(connection)
        try:
            super().serve(connection)
        finally:
            self.connections.discard(connection)

    def head(self, request, status, length, extra=""):
        head = super().head(request, status, length, extra)
        return head.replace(b"X-Server-Load: 1,0,", b"X-Server-Load: %d,%d," % (self.running, self.waiting))

    def plain(self, connection, request, fault):
        with self.changed:
            if self.running + self.waiting >= SLOTS + self.queue:
                request["ran"] = False
                self.reject()
                connection.sendall(self.head(request, 503, 0, "X-Not-Executed: 1\r\n"))
                return True
            self.waiting += 1
            self.changed.wait_for(lambda: self.running < SLOTS)
            self.waiting -= 1
            self.running += 1
        time.sleep(WORK_SECONDS)
        with self.changed:
            self.running -= 1
            self.changed.notify()
        return super().plain(connection, request, fault)

    def reject(self):
        now = time.monotonic()
        self.rejections.append(now)
        while self.rejections[0] < now - 1:
            self.rejections.popleft()
        if self.queue == BRITTLE_QUEUE and len(self.rejections) > BORNE_REJECTIONS and not self.is_down:
            self.is_down = True
            self.falls += 1
            threading.Thread(target=self.fall, daemon=True).start()

    def fall(self):
        port = self.listener.getsockname()[1]
        # Wakes the thread that accepts connections.
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        for connection in list(self.connections):
            try:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass  # already closed
        if self.released.wait(DOWN_SECONDS):
            return
        self.rejections.clear()
        self.listener = socket.create_server((self.ADDRESS, port), backlog=128)
        self.is_down = False
        threading.Thread(target=self.accept, daemon=True).start()


class BrittleUpstreams(unittest.TestCase):
    def setUp(self):
        self.random = random.Random(f"{SEED}-{self.id()}")
        self.ports = Ports(SEED)
        self.store = Store()
        self.addCleanup(self.store.stop)
        self.upstreams = []
        for number in range(UPSTREAMS):
            upstream = BrittleUpstream(f"chat-{number}", HALLS[number % len(HALLS)])
            self.addCleanup(upstream.stop)
            self.upstreams.append(upstream)
            self.store.put("keyed.servers", upstream.instance, upstream.record())
        routes = [route("lookup", "/lookup/", "safe", "chat", targetLatencyMs=1000, timeoutMs=DEADLINE_MS),
                  route("confirm", "/confirm/", "unsafe", "chat", targetLatencyMs=1000, timeoutMs=DEADLINE_MS, maxAttempts=1),
                  route("context", "/context/", "safe", "chat", sticky=True, targetLatencyMs=1000, timeoutMs=DEADLINE_MS)]
        self.store.put("keyed.op", "config", manifest(3, routes=routes))
        self.entries = start_fleet(self, self.store, self.ports, HALLS, DAEMONS)
        self.replies = []
        self.is_over = threading.Event()

    def send_requests(self):
        due, number = time.monotonic(), 0
        while not self.is_over.is_set():
            due += self.random.expovariate(REQUESTS_PER_SECOND * self.surge)
            time.sleep(max(0, due - time.monotonic()))
            number += 1
            arguments = (self.random.choice(self.entries), self.random.choice(("/lookup/x", "/confirm/x", "/context/x")), number, self.random.randrange(20))
            threading.Thread(target=self.call, args=arguments, daemon=True).start()

    def call(self, entry, path, number, context):
        fields = {"Host": HOST, "X-Attempt-Id": f"attempt-{number}", "X-Deadline-Ms": str(DEADLINE_MS), "X-Api-Key": KEY,
                  "X-Prompt-Prefix": f"aa:500,c{context}:900,d{number}:30"}
        sent_at = time.monotonic()
        try:
            status = request(entry.endpoint, "POST", path, f"body of {number}", fields).status
        except OSError:
            status = 0
        self.replies.append((sent_at, status))

    def statuses(self, start, end):
        return collections.Counter(status for sent_at, status in self.replies if start <= sent_at < end)

    def check(self, surge):
        self.surge = 1.0
        traffic = threading.Thread(target=self.send_requests, daemon=True)
        traffic.start()
        time.sleep(3)
        noticed = time.monotonic()
        for upstream in self.upstreams:
            upstream.brittle_limit = BORNE_REJECTIONS
        time.sleep(NOTICE_SECONDS)
        started = time.monotonic()
        for upstream in self.upstreams:
            upstream.queue = BRITTLE_QUEUE
        self.surge = surge
        time.sleep(BRITTLE_SECONDS)
        ended = time.monotonic()
        falls = sum(upstream.falls for upstream in self.upstreams)
        for upstream in self.upstreams:
            upstream.queue, upstream.brittle_limit = QUEUE, None
        self.surge = 1.0
        time.sleep(DOWN_SECONDS + 1)
        back = time.monotonic()
        time.sleep(2)
        self.is_over.set()
        traffic.join()
        time.sleep(DEADLINE_MS / 1000)
        before, during, after = self.statuses(noticed - 3, noticed), self.statuses(started, ended), self.statuses(back, back + 1.5)
        print(f"{self.id()} seed {SEED}: {falls} falls; a second served before {before[200] / 3:.0f}, while brittle {during[200] / BRITTLE_SECONDS:.0f} "
              f"of {sum(during.values()) / BRITTLE_SECONDS:.0f}, after {after[200] / 1.5:.0f}; {dict(before)} {dict(during)} {dict(after)}", flush=True)
        self.assertLessEqual(falls, MAX_FALLS)
        return before, during, after

    def test_usual_load(self):
        before, during, after = self.check(1.0)
        self.assertGreater(before[200], 0.9 * sum(before.values()))
        # Refused requests have not run, and an upstream that does not fall breaks no answer off.
        self.assertLessEqual(during[502], 0.02 * sum(during.values()))
        self.assertGreater(after[200], 0.9 * sum(after.values()), "waiting is allowed again")

    def test_surge(self):
        self.check(2.5)


if __name__ == "__main__":
    unittest.main()
