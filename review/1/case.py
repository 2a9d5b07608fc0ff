"""The store turns the last machine away while manifests follow one another and a key is taken away. When the
store serves the machine again, one GET /log-read returns only the first of the manifests that it has missed."""

import os
import signal
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "support"))

from harness import BOUNDS, HOST, CouldNotRun, Entry, request, route, run_case  # noqa: E402

ZONES = ("boa-viagem", "santo-amaro", "jaboatao")
KEPT_KEY, REVOKED_KEY = "n2ctnfzs989anu6wsjnb", "anfqasnmgkcuyj8pjbvk"
# As many routes as in a manifest of the site logbook-nordeste after one big_config.
IDLE_ROUTES = 110 + 350
STORM_CHANGES, STORM_GAP = 25, 0.08
TURNED_AWAY_S = 9.0
REVOKE_S = BOUNDS["bounds.revokeMs"] / 1000
CALL_GAP, CALLS_END_S = 0.02, 6.0


def manifest(version, keys):
    routes = [route("r-lookup", "/lookup/", "safe", "book", maxAttempts=2)]
    routes += [route(f"r-idle{number:03}", f"/idle{number:03}/2f/", "streaming", "book", timeoutMs=12000 + (version if number == 0 else 0), targetLatencyMs=1200,
                     sticky=True, resumable=True, targetGapMs=400) for number in range(IDLE_ROUTES)]
    return {"version": version, "routes": routes, "services": [{"name": "book", "healthPath": "/healthz", "maxConns": 100}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": [{"name": "club", "apiKeys": keys, "priority": 1}]}


def remove_machines(case, entries):
    """The machines leave for good, each after SIGTERM."""
    for entry in entries:
        entry.process.send_signal(signal.SIGTERM)
        case.note(f"{entry.name} gets SIGTERM and leaves for good")
    for entry in entries:
        entry.process.wait(timeout=20)


def publish(case, store, version, keys):
    """Returns the time of the acknowledgement."""
    store.put("keyed.op", "config", manifest(version, keys))
    acknowledged_at = time.monotonic()
    case.note(f"manifest {version} acknowledged, keys {','.join(keys)}")
    return acknowledged_at


def call(entry, attempt, key):
    headers = [("Host", HOST), ("X-Attempt-Id", attempt), ("X-Deadline-Ms", "600"), ("X-Api-Key", key), ("Connection", "close")]
    return request(entry.endpoint, "GET", "/lookup/callsign", None, headers)[0]


def turn_away(case, store, door, duration):
    """Answers 503 to the callers of this address of the store, and serves all others."""
    door.is_busy = True
    case.note(f"the store turns this machine away with 503 for {duration} s")
    time.sleep(duration)
    door.is_busy = False
    case.note("the store serves this machine again")


def body(case):
    store = case.store()
    upstreams = [case.upstream(store, f"i-{number}", "book") for number in (1, 2, 3)]
    publish(case, store, 1, [KEPT_KEY, REVOKED_KEY])
    door = store.add_server()
    last = Entry(case, "front-boa-viagem-1", ZONES[0], door.endpoint)
    others = [Entry(case, f"front-{zone}-1", zone, store.endpoint) for zone in ZONES[1:]]
    for entry in [last, *others]:
        case.eventually(entry.is_ready, f"{entry.name} is ready")
    case.eventually(lambda: last.find(r"event=peers others=2"), "the machines know each other")
    remove_machines(case, others)
    case.eventually(lambda: last.is_ready() and call(last, "first", REVOKED_KEY) == 200, "the last machine serves")
    trouble = threading.Thread(target=turn_away, args=(case, store, door, TURNED_AWAY_S))
    if case.has_trouble:
        trouble.start()
    time.sleep(0.5)
    for change in range(STORM_CHANGES):
        publish(case, store, 2 + change, [KEPT_KEY, REVOKED_KEY])
        time.sleep(STORM_GAP)
    revoked_at = publish(case, store, 2 + STORM_CHANGES, [KEPT_KEY])
    time.sleep(max(0.0, revoked_at + REVOKE_S + 0.1 - time.monotonic()))
    statuses, sent_at = call_until_known(case, last, revoked_at)
    if case.has_trouble:
        trouble.join()
    if statuses[-1] != 401 or call(last, "last", KEPT_KEY) != 200:
        raise CouldNotRun("the machine does not serve by the last manifest at the end")
    ran = [run["headers"]["x-attempt-id"] for upstream in upstreams for run in upstream.runs()]
    case.note(f"answers to the revoked key: { {status: statuses.count(status) for status in set(statuses)} }")
    late = sorted((sent_at[attempt] - revoked_at, attempt) for attempt in ran if attempt in sent_at)
    for after, attempt in late:
        case.note(f"a worker ran {attempt}, sent {after:.3f} s after the manifest without its key was acknowledged")
    if not late:
        return []
    return [f"{len(late)} requests with a revoked key ran that were sent {late[0][0]:.3f} to {late[-1][0]:.3f} s after the ack; revokeMs is {REVOKE_S} s"]


def call_until_known(case, entry, revoked_at):
    """Calls with the revoked key until well after the machine has read all manifests."""
    statuses, sent_at = [], {}
    end = revoked_at + REVOKE_S + CALLS_END_S
    while time.monotonic() < end:
        attempt = f"revoked-{len(statuses)}"
        sent_at[attempt] = time.monotonic()
        status = call(entry, attempt, REVOKED_KEY)
        if not statuses or status != statuses[-1]:
            case.note(f"{attempt} with the revoked key, sent {sent_at[attempt] - revoked_at:.3f} s after the ack, is answered {status}")
        statuses.append(status)
        time.sleep(CALL_GAP)
    return statuses, sent_at


run_case(os.path.join(FOLDER, "record.txt"), body)
