"""Requests that end every upstream that runs them.

Callers sent the same request again and again, to whichever daemon, and each time another upstream
ended: 20 of nine in 16 s, with up to 23 answers of other callers. A daemon knew a request by the id of one
attempt, so each try was a new request to it, and booked the failure on the upstream alone. The logs showed one
organisation, route and context at nearly every end, at all daemons, with `sends=1`:
    request ... outcome=refused reason=upstream-broken verdict=may-have-run sends=1 detail="partial message"
    request ... outcome=sent-again reason=upstream-refused ... detail="10.1.64.20:8404: Connection refused"
"""

import threading
import time
import unittest

from crashing_upstream import CRASH, CrashingUpstream
from fleet import eventually
from platform_stand_ins import Store
from test_platform import HOST, KEY, Entry, free_port, manifest, request, route

HALLS = ("north", "south", "east")
BODY = CRASH.decode() + " and nobody else"
# Seconds from the third end until every daemon refuses it. The users allow three.
KNOWN_WITHIN = 2.0


def manifest_of_repeatables():
    routes = [route("lookup", "/lookup/", "safe", "book", maxAttempts=3), route("confirm", "/confirm/", "unsafe", "book", maxAttempts=1),
              route("draft", "/stream/once/", "streaming", "book"),
              route("digest", "/stream/again/", "streaming", "book", maxAttempts=3, resumable=True)]
    return manifest(3, routes=routes)


class CrashingRequests(unittest.TestCase):
    def setUp(self):
        self.store = Store()
        self.addCleanup(self.store.stop)
        self.store.put("keyed.op", "config", manifest_of_repeatables())
        self.attempts = 0
        self.ready_at, self.peer_ports = {}, {}
        self.lock = threading.Lock()
        self.books = []
        for number in range(9):
            book = CrashingUpstream(f"book-{number}", "book", self.store, HALLS[number % 3])
            self.addCleanup(book.stop)
            self.books.append(book)
        self.entries = [self.start(f"entry-{number}", hall) for number, hall in enumerate(HALLS)]
        eventually(lambda: all(self.knows_others(entry, 2) for entry in self.entries), "the daemons know one another")

    def start(self, name, hall):
        # As in the field, a daemon that starts again is where it was.
        port = self.peer_ports.setdefault(name, free_port())
        entry = Entry(self.store, "--name", name, "--hall", hall, "--peer-listen", f"127.0.0.1:{port}")
        self.addCleanup(entry.stop)
        eventually(entry.is_ready, "ready")
        self.ready_at[entry] = time.monotonic()
        return entry

    def knows_others(self, entry, count):
        return any(f"event=peers others={count}" in line for line in entry.lines)

    def call(self, entry, path, body, **headers):
        with self.lock:
            self.attempts += 1
            attempt = self.attempts
        fields = {"Host": HOST, "X-Attempt-Id": f"attempt-{attempt}", "X-Deadline-Ms": "1500", "X-Api-Key": KEY, **headers}
        return request(entry.endpoint, "POST", path, body, fields)

    def ends(self):
        return sorted(end for book in self.books for end in book.ends)

    def arrivals(self):
        return sorted(arrival for book in self.books for arrival in book.crash_arrivals)

    def send_crashing(self, path, seconds):
        """Sends the request again and again, to one daemon after the other; gives the replies."""
        replies = []
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            replies.append(self.call(self.entries[len(replies) % len(self.entries)], path, BODY))
            time.sleep(0.1)
        return replies

    def check_stopped(self, path, most_ends):
        innocents = []
        done = threading.Event()

        def call_innocent(number):
            while not done.is_set():
                body = f"a sound request {number} {len(innocents)}"
                innocents.append(self.call(self.entries[number], "/lookup/x", body).status)
                time.sleep(0.03)

        callers = [threading.Thread(target=call_innocent, args=(number,)) for number in range(len(self.entries))]
        for caller in callers:
            caller.start()
        replies = self.send_crashing(path, 6)
        done.set()
        for caller in callers:
            caller.join()
        ends = self.ends()
        self.assertGreaterEqual(len(ends), 3)
        self.assertLessEqual(len(ends), most_ends)
        late = [arrival for arrival in self.arrivals() if arrival > ends[2] + KNOWN_WITHIN]
        self.assertEqual(late, [])
        last = replies[-1]
        self.assertEqual((last.status, last.headers["Retry-After"]), (502, None))
        self.assertEqual((last.error()["reason"], last.error()["verdict"]), ("ends-upstreams", "may-have-run"))
        self.assertGreater(innocents.count(200), 0.97 * len(innocents))
        # The log says what the caller is told.
        refused = [line for entry in self.entries for line in entry.lines if "reason=ends-upstreams" in line]
        self.assertTrue(refused)
        self.assertEqual([line for line in refused if "verdict=may-have-run" not in line], [])

    def test_a_request_that_may_not_be_repeated_is_stopped(self):
        self.check_stopped("/confirm/x", 4)

    # A try may be sent to three upstreams.
    def test_a_request_that_may_be_repeated_is_stopped(self):
        self.check_stopped("/lookup/x", 5)

    def test_a_stream_is_stopped(self):
        self.check_stopped("/stream/once/x", 4)

    def test_a_stream_that_may_be_resumed_is_stopped(self):
        self.check_stopped("/stream/again/x", 5)

    def test_a_daemon_that_starts_later_is_told(self):
        self.send_crashing("/confirm/x", 4)
        before = len(self.arrivals())
        late = self.start("entry-9", HALLS[0])
        eventually(lambda: self.knows_others(late, 3), "it knows the others")
        eventually(lambda: any("event=crash-evidence" in line for line in late.lines), "it was told")
        reply = self.call(late, "/confirm/x", BODY)
        self.assertEqual((reply.status, reply.error()["reason"]), (502, "ends-upstreams"))
        self.assertEqual(len(self.arrivals()), before)

    # Their names are known to all already, and the relays are among them.
    def test_daemons_that_start_again_at_once_are_told(self):
        self.send_crashing("/confirm/x", 4)
        before = len(self.arrivals())
        for entry in self.entries[1:]:
            entry.kill()
        again = [self.start(f"entry-{number}", HALLS[number]) for number in (1, 2)]
        for entry in again:
            eventually(lambda entry=entry: any("event=crash-evidence" in line and "guilty=1" in line for line in entry.lines), "it was told")
            told_after = time.monotonic()
            reply = self.call(entry, "/confirm/x", BODY)
            self.assertEqual((reply.status, reply.error()["reason"]), (502, "ends-upstreams"))
            self.assertLess(told_after - self.ready_at[entry], KNOWN_WITHIN)
        self.assertEqual(len(self.arrivals()), before)

    # Guards: what must not be taken for such a request.

    def test_broken_answers_of_upstreams_that_go_on_make_no_request_suspect(self):
        for book in self.books:
            book.fault = "cut"
        for number in range(12):
            self.call(self.entries[number % 3], "/confirm/x", "a sound request")
        for book in self.books:
            book.fault = None
        for entry in self.entries:
            self.assertEqual(self.call(entry, "/confirm/x", "a sound request").status, 200)

    def test_upstreams_that_end_by_themselves_make_no_request_guilty_that_is_answered_in_between(self):
        for book in self.books:
            book.events, book.event_pause = 20, 0.02
        for _ in range(4):
            callers = [threading.Thread(target=self.call, args=(entry, "/stream/once/x", "a sound request")) for entry in self.entries]
            for caller in callers:
                caller.start()
            running = eventually(lambda: next((book for book in self.books if book.connections_open and book.runs() and not book.ends), None), "one runs it")
            running.end()
            for caller in callers:
                caller.join()
            self.assertEqual(self.call(self.entries[0], "/stream/once/x", "a sound request").status, 200)
        for entry in self.entries:
            self.assertEqual(self.call(entry, "/stream/once/x", "a sound request").status, 200)


if __name__ == "__main__":
    unittest.main()
