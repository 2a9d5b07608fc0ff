"""All workers of a service crash together while many requesters ask for the same thing, and are back after three seconds."""

import collections
import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "support-2"))
from world import TROUBLE, Worker, play, route  # noqa: E402

TRAFFIC_S = 80.0
CRASH_AT_S, DOWN_S = 5.0, 3.0
WORK_S = 0.1
# The kinds of request: callers, and seconds between the requests of a caller.
KINDS = {"callsign-lookup": (24, 0.3), "contact-confirm": (12, 0.3), "qsl-draft": (12, 0.3)}
TARGETS = {"contact-confirm": "/puxa403/2f", "qsl-draft": "/sile118/2f"}


class Traffic:
    def __init__(self, world):
        self.world, self.begin = world, time.monotonic()
        self.lock = threading.Lock()
        self.sent, self.served, self.statuses = collections.Counter(), collections.Counter(), collections.Counter()

    def now(self):
        return time.monotonic() - self.begin

    def call(self, kind, daemon):
        if kind == "callsign-lookup":
            identifier, answer = self.world.call(daemon, "GET", "/lohu930/2f")
        else:
            identifier, answer = self.world.call(daemon, "POST", TARGETS[kind], f"contact {self.world.next_id()}".encode())
        is_served = answer is not None and answer.is_whole and answer.status == 200 and answer.body == Worker.body_of({"id": identifier})
        with self.lock:
            self.sent[kind] += 1
            self.served[kind] += is_served
            if self.now() > CRASH_AT_S + DOWN_S + 12:
                self.statuses[kind, answer.status if answer else "none"] += 1

    def caller(self, kind, number, period):
        daemon = self.world.daemons[number % len(self.world.daemons)]
        due = number * period / 7 % period
        while due < TRAFFIC_S:
            time.sleep(max(0.0, due - self.now()))
            self.call(kind, daemon)
            due = max(due + period, self.now())

    def share(self, kinds):
        return sum(self.served[kind] for kind in kinds) / max(1, sum(self.sent[kind] for kind in kinds))


def crash_all(world):
    """The processes end, and others start at the same addresses, each with a new id."""
    ended = [worker for worker in world.workers if worker.service == "livro-api"]
    for worker in ended:
        worker.is_down = True
    for worker in ended:
        worker.crash()
    world.record.add("trouble  all workers of livro-api crash")
    time.sleep(DOWN_S)
    for worker in ended:
        world.worker(worker.service, worker.zone, work_s=WORK_S, address=worker.address)
        worker.unregister()
    world.record.add("trouble  all workers of livro-api are back, with new ids")


def case(world):
    for zone in world.zones:
        world.worker("livro-api", zone, work_s=WORK_S)
        for _ in range(3):
            world.worker("assistente", zone, work_s=WORK_S)
    world.put_manifest([route("qsl-draft", "/sile118/", "unsafe", "assistente"), route("contact-confirm", "/puxa403/", "unsafe", "livro-api"), route("callsign-lookup", "/lohu930/", "safe", "livro-api")], ["livro-api", "assistente"])
    world.start()
    traffic = Traffic(world)
    threads = [threading.Thread(target=traffic.caller, args=(kind, number, period)) for kind, (count, period) in KINDS.items() for number in range(count)]
    for thread in threads:
        thread.start()
    if TROUBLE:
        time.sleep(CRASH_AT_S)
        crash_all(world)
    for thread in threads:
        thread.join()
    every = traffic.share(KINDS)
    for kind in KINDS:
        world.record.add(f"count    {kind}: {traffic.served[kind]} of {traffic.sent[kind]} served ({traffic.share([kind]):.3f}); all kinds {every:.3f}")
    world.record.add(f"count    answers from 12 s after the workers were back: {dict(traffic.statuses)}")
    starved = [kind for kind in KINDS if traffic.share([kind]) < every / 4]
    return f"Starved: {starved[0]} is served at {traffic.share(starved):.3f}, all requests at {every:.3f}" if starved else ""


play(case, os.path.join(HERE, "record.txt"))
