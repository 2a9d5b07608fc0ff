"""Measures how long single bodies take through daemons with the limits of machines of several sizes.

Requests with a body ("up") and answers with a body ("down") are sent to all daemons in turn, so that other load concerns
all alike. "through two" means that another daemon sends the request, since the first one has lost its links to the upstreams.

    STAGEPOST_BUILD=$PWD/../../Build python3 -B body_times.py [rounds]
"""

import http.client
import statistics
import sys
import time
import unittest

from fleet import Ports, eventually
from platform_stand_ins import Store
from test_lost_links import BlackHole, CuttableUpstream, Member
from test_platform import HOST, KEY, manifest, request, route

KILOBYTE, MEGABYTE = 1 << 10, 1 << 20
MAX_BODY = 4 * MEGABYTE
LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": MAX_BODY, "headerTimeoutMs": 60000, "idleTimeoutMs": 60000}
ROUTES = [route("lookup", "/lookup/", "safe", "book", timeoutMs=60000)]
SIZES = (KILOBYTE, 16 * KILOBYTE, 72 * KILOBYTE, 256 * KILOBYTE, MEGABYTE, MAX_BODY)
MACHINES_MB = (64, 260, 1024, 16384)


class SizedUpstream(CuttableUpstream):
    """Answers with as many bytes as the path's last part says."""

    def plain(self, connection, request, fault):
        size = int(request["target"].rsplit("/", 1)[1])
        connection.sendall(self.head(request, 200, size) + b"y" * size)
        return True


class Caller:
    """Sends requests on one connection."""

    def __init__(self, endpoint):
        host, port = endpoint.rsplit(":", 1)
        self.connection = http.client.HTTPConnection(host, int(port), timeout=60)
        self.count = 0

    def time(self, up, down):
        self.count += 1
        fields = {"Host": HOST, "X-Attempt-Id": f"sized-{self.count}", "X-Deadline-Ms": "60000", "X-Api-Key": KEY}
        began = time.monotonic()
        self.connection.request("POST", f"/lookup/{down}", b"x" * up, fields)
        answer = self.connection.getresponse()
        content = answer.read()
        took = time.monotonic() - began
        if answer.status != 200 or len(content) != down:
            raise AssertionError(f"{answer.status} {content[:200]}")
        return took


class SizedFleet(unittest.TestCase):
    """Daemons with the limits of the machines, and an upstream without limits."""

    MACHINES_MB = MACHINES_MB

    def setUp(self):
        self.ports, self.store, self.black_hole = Ports(7), Store(), BlackHole()
        self.addCleanup(self.store.stop)
        self.addCleanup(self.black_hole.close)
        self.upstreams = [SizedUpstream("book-1", "book", "north")]
        self.addCleanup(self.upstreams[0].stop)
        self.store.put("keyed.servers", "book-1", self.upstreams[0].record())
        self.store.put("keyed.op", "config", manifest(3, routes=ROUTES, limits=LIMITS))
        self.members = []
        for number, megabytes in enumerate(self.MACHINES_MB):
            member = Member(self, number)
            member.start("--machine-memory-mb", str(megabytes), "--retry-ratio", "10")
            self.addCleanup(member.entry.stop)
            self.members.append(member)
        others = len(self.members) - 1
        eventually(lambda: all(any(f"event=peers others={others}" in line for line in member.entry.lines) for member in self.members), "all daemons know each other")
        self.callers = [Caller(member.entry.endpoint) for member in self.members]

    def cut(self, member):
        member.cut("reset")
        eventually(lambda: "stagepost_links_lost 1" in member.entry.get_ready("/metrics").body or self.try_once(member), "the links are known to be lost")

    def try_once(self, member):
        request(member.entry.endpoint, "POST", "/lookup/1", b"x", {"Host": HOST, "X-Attempt-Id": "trial", "X-Deadline-Ms": "1000", "X-Api-Key": KEY})
        return False

    def medians(self, up, down, rounds):
        """Returns the median of each daemon, after a first request that isn't counted."""
        times = [[caller.time(up, down) for caller in self.callers] for _ in range(rounds + 1)][1:]
        return [statistics.median(column) for column in zip(*times)]


class Measurement(SizedFleet):
    ROUNDS = 5

    def print_table(self, kind, machines):
        print(f"{kind}, KiB, seconds on machines of {', '.join(str(size) for size in machines)} MB")
        for size in SIZES:
            for direction, up, down in (("up", size, 1), ("down", 1, size)):
                print(f"{direction:5}{size // KILOBYTE:6}", *(f"{median:8.4f}" for median in self.medians(up, down, self.ROUNDS)), flush=True)

    def runTest(self):
        self.print_table("through one", self.MACHINES_MB)
        self.cut(self.members[1])
        self.callers = self.callers[1:2]
        self.print_table("through two", self.MACHINES_MB[1:2])


if __name__ == "__main__":
    Measurement.ROUNDS = int(sys.argv[1]) if len(sys.argv) > 1 else Measurement.ROUNDS
    unittest.TextTestRunner().run(unittest.TestSuite([Measurement()]))
