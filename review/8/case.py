"""Workers whose events have rising ids that are not 1, 2, 3 and so on."""

import collections
import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "support-2"))
from world import TROUBLE, StreamWorker, play, route  # noqa: E402

TRAFFIC_S, CALLERS, PERIOD_S = 15.0, 8, 0.5
EVENTS = 6
# An id is the number of tokens so far; an event of a stream holds 7 tokens on the site.
TOKENS_OF_EVENT = 7 if TROUBLE else 1
PREFIXES = {"qsl-draft": "/lohu930/2f", "season-digest": "/sile118/2f", "callsign-lookup": "/puxa403/2f"}


class TokenWorker(StreamWorker):
    """A requester or daemon that takes a stream up names the id of its last event, as in Last-Event-Id of any such stream."""

    def run(self, connection, request):
        request["headers"]["last-event-id"] = int(request["headers"].get("last-event-id", 0)) // TOKENS_OF_EVENT
        super().run(connection, request)

    @staticmethod
    def event(number):
        return f"id: {number * TOKENS_OF_EVENT}\ndata: word{number}\n\n".encode()


def case(world):
    for zone in world.zones:
        world.worker("assistente", zone, kind=TokenWorker, slots=64, events=EVENTS, gap_s=0.03)
        world.worker("livro-api", zone)
    whole = world.workers[0].whole()
    world.put_manifest([route("qsl-draft", "/lohu930/", "streaming", "assistente", sticky=True, timeoutMs=10000, targetLatencyMs=500, targetGapMs=400),
                        route("season-digest", "/sile118/", "streaming", "assistente", sticky=True, resumable=True, maxAttempts=2, timeoutMs=12000, targetLatencyMs=1200, targetGapMs=400),
                        route("callsign-lookup", "/puxa403/", "safe", "livro-api")], ["assistente", "livro-api"])
    world.start()
    sent, served, ran, statuses, lock, begin = collections.Counter(), collections.Counter(), collections.Counter(), collections.Counter(), threading.Lock(), time.monotonic()

    def caller(kind, number):
        due = number * PERIOD_S / CALLERS
        while due < TRAFFIC_S:
            time.sleep(max(0.0, begin + due - time.monotonic()))
            method = "GET" if kind == "callsign-lookup" else "POST"
            parts = {} if method == "GET" else {"X_Model": "m", "X_Token_Count": "642,42", "X_Prompt_Prefix": f"5c1e07a2:512,{world.next_id()[:8]}:130"}
            identifier, answer = world.call(world.daemons[number % len(world.daemons)], method, PREFIXES[kind], b"" if method == "GET" else b"a prompt", deadline_ms=5000, **parts)
            is_whole = answer is not None and answer.is_whole and answer.status == 200 and (method == "GET" or answer.body == whole)
            with lock:
                sent[kind] += 1
                served[kind] += is_whole
                ran[kind] += bool(world.runs_of(identifier))
                statuses[kind, f"{answer.status}{'' if answer.is_whole else ' cut'}" if answer else "none"] += 1
            due += PERIOD_S

    threads = [threading.Thread(target=caller, args=(kind, number)) for kind in PREFIXES for number in range(CALLERS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    every = sum(served.values()) / sum(sent.values())
    for kind in PREFIXES:
        world.record.add(f"count    {kind}: {served[kind]} of {sent[kind]} served, {ran[kind]} were run")
    world.record.add(f"count    answers: {dict(statuses)}")
    starved = [kind for kind in PREFIXES if served[kind] / sent[kind] < every / 4]
    return f"Starved: {', '.join(starved)}: none of {sum(sent[kind] for kind in starved)} served, {sum(ran[kind] for kind in starved)} were run" if starved else ""


play(case, os.path.join(HERE, "record.txt"))
