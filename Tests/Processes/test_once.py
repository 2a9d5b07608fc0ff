"""Calls that must run at most once, through real daemons, under faults.

The stand-in service counts the runs of each call. No key may have more than one run, and a call that was
refused as not-run must not have run.
"""

import json
import signal
import threading
import time
import unittest

from fleet import Fleet, eventually


def key(name):
    return f"{int(time.time())}-{name}"


class Once(Fleet):
    DAEMONS = 3

    def setUp(self):
        super().setUp()
        self.entries = [self.daemon(f"entry-{n}") for n in range(self.DAEMONS)]
        self.book = self.service()
        self.publish(self.settings(service="answer_timeout_ms = 500\nbreaker_failures = 1000"))
        self.serve(*self.entries)
        for entry in self.entries:
            eventually(lambda entry=entry: entry.metric("stagepost_daemons") == self.DAEMONS, "all daemons seen")

    def hold(self, entry, name, **headers):
        headers = {field.replace("_", "-"): value for field, value in headers.items()}
        return entry.call("POST", "/services/book/hold", "{}", {"X-Call": name, **headers})

    def runs(self, name):
        return self.book.get("/runs").get(name, 0)

    def tickets(self, entry, count=1):
        return json.loads(entry.call("POST", f"/v1/tickets?count={count}").body)["tickets"]

    def verdict(self, reply):
        return reply.headers["Stagepost-Verdict"]


class Keys(Once):
    def test_resends_through_any_daemon_get_the_first_answer(self):
        used = key("a")
        replies = [self.hold(entry, "a", Idempotency_Key=used) for entry in self.entries * 2]
        self.assertEqual({reply.body for reply in replies}, {replies[0].body})
        self.assertEqual([reply.status for reply in replies], [200] * 6)
        self.assertEqual(self.runs("a"), 1)

    def test_a_key_belongs_to_one_request(self):
        used = key("b")
        self.hold(self.entries[0], "b", Idempotency_Key=used)
        reply = self.entries[1].call("POST", "/services/book/other", "{}", {"X-Call": "b", "Idempotency-Key": used})
        self.assertEqual((reply.status, reply.error()["reason"]), (422, "key-reused"))

    def test_keys_outside_the_window_are_refused(self):
        old = self.hold(self.entries[0], "c", Idempotency_Key=f"{int(time.time()) - 7200}-c")
        self.assertEqual((old.error()["reason"], old.error()["verdict"]), ("key-out-of-window", "may-have-run"))
        bare = self.hold(self.entries[0], "c", Idempotency_Key="c")
        self.assertEqual((bare.status, bare.error()["verdict"]), (400, "not-run"))
        self.assertEqual(self.runs("c"), 0)

    def test_concurrent_resends_run_once(self):
        used = key("d")
        self.book.faults(delay_ms=100)
        replies = []
        threads = [threading.Thread(target=lambda entry=entry: replies.append(self.hold(entry, "d", Idempotency_Key=used)))
                   for entry in self.entries * 3]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(self.runs("d"), 1)
        self.assertTrue({reply.status for reply in replies} <= {200, 409})
        self.assertNotIn("not-run", {self.verdict(reply) for reply in replies})

    def test_a_lost_reply_of_the_log_is_resolved_by_reading(self):
        self.log.faults(lose_replies=True)
        reply = self.hold(self.entries[0], "e", Idempotency_Key=key("e"))
        self.assertEqual(reply.status, 200)
        self.assertEqual(self.runs("e"), 1)

    def test_a_call_does_not_run_if_its_append_takes_effect_too_late(self):
        self.log.faults(delay_ms=5000)
        used = key("f")
        reply = self.hold(self.entries[0], "f", Idempotency_Key=used)
        self.assertEqual(reply.error()["verdict"], "not-run")
        self.log.faults(delay_ms=0)
        # The delayed claim appears in the log and is abandoned, which frees the key for a resend.
        eventually(lambda: self.hold(self.entries[0], "f", Idempotency_Key=used).status == 200, "the resend runs")
        self.assertEqual(self.runs("f"), 1)

    def test_a_claim_is_refused_and_a_ticket_works_while_the_log_is_down(self):
        self.log.stop()
        reply = self.hold(self.entries[0], "g", Idempotency_Key=key("g"))
        self.assertEqual((reply.error()["reason"], reply.error()["verdict"]), ("log-down", "not-run"))
        ticket = self.tickets(self.entries[1])[0]
        self.assertEqual(self.hold(self.entries[0], "h", Stagepost_Ticket=ticket).status, 200)
        self.assertEqual((self.runs("g"), self.runs("h")), (0, 1))

    def test_a_call_without_an_answer_stays_unresolved(self):
        self.book.faults(mode="drop-after-run")
        used = key("i")
        first = self.hold(self.entries[0], "i", Idempotency_Key=used)
        self.assertEqual(first.error()["verdict"], "may-have-run")
        self.book.faults(mode="")
        for entry in self.entries:
            self.assertEqual(self.hold(entry, "i", Idempotency_Key=used).error()["verdict"], "may-have-run")
        self.assertEqual(self.runs("i"), 1)

    def test_an_unreachable_service_frees_the_key(self):
        used = key("j")
        self.book.stop()
        first = self.hold(self.entries[0], "j", Idempotency_Key=used)
        self.assertEqual(first.error()["verdict"], "not-run")
        self.book = self.service("book-2")
        self.vms.post("/v1/vms", [{"name": "book-1", "state": "gone"}])
        eventually(lambda: self.hold(self.entries[1], "j", Idempotency_Key=used).status == 200, "the resend runs")
        self.assertEqual(self.runs("j"), 1)

    def test_any_daemon_killed_at_any_step_leaves_at_most_one_run(self):
        self.book.faults(delay_ms=150)
        for victim in range(self.DAEMONS):
            used, name = key(f"k{victim}"), f"k{victim}"
            replies = []

            def send(entry, used=used, name=name, replies=replies):
                try:
                    replies.append(self.hold(entry, name, Idempotency_Key=used))
                except OSError:
                    pass

            threads = [threading.Thread(target=send, args=(entry,)) for entry in self.entries if entry.process.poll() is None]
            for thread in threads:
                thread.start()
            time.sleep(0.05 * victim)
            self.entries[victim].kill()
            for thread in threads:
                thread.join()
            self.assertLessEqual(self.runs(name), 1)

    def test_a_paused_daemon_that_resumes_runs_nothing_twice(self):
        self.book.faults(delay_ms=300)
        used = key("l")
        for entry in self.entries:
            entry.process.send_signal(signal.SIGSTOP)
            others = [other for other in self.entries if other is not entry]
            replies = []
            threads = [threading.Thread(target=lambda other=other: replies.append(self.hold(other, "l", Idempotency_Key=used))) for other in others]
            for thread in threads:
                thread.start()
            time.sleep(0.2)
            entry.process.send_signal(signal.SIGCONT)
            for thread in threads:
                thread.join()
        self.assertEqual(self.runs("l"), 1)


class Tickets(Once):
    def test_a_ticket_runs_once_through_any_daemon(self):
        ticket = self.tickets(self.entries[0])[0]
        replies = [self.hold(entry, "a", Stagepost_Ticket=ticket) for entry in self.entries * 2]
        self.assertEqual([reply.status for reply in replies], [200] * 6)
        self.assertEqual(self.runs("a"), 1)

    def test_tickets_come_in_batches(self):
        tickets = self.tickets(self.entries[0], 50)
        self.assertEqual(len(set(tickets)), 50)
        self.assertEqual(self.entries[0].call("POST", "/v1/tickets?count=x").error()["reason"], "bad-request")

    def test_a_ticket_of_a_killed_daemon_stays_unresolved_and_never_runs(self):
        ticket = self.tickets(self.entries[0])[0]
        self.entries[0].kill()
        for entry in self.entries[1:]:
            reply = self.hold(entry, "b", Stagepost_Ticket=ticket)
            self.assertEqual((reply.error()["reason"], reply.error()["verdict"]), ("ticket-holder-gone", "may-have-run"))
        self.assertEqual(self.runs("b"), 0)

    def test_a_forged_ticket_is_refused(self):
        ticket = self.tickets(self.entries[0])[0]
        forged = ticket[:-1] + ("0" if ticket[-1] != "0" else "1")
        self.assertEqual(self.hold(self.entries[0], "c", Stagepost_Ticket=forged).error()["reason"], "ticket-invalid")

    def test_a_drain_lets_a_ticketed_call_finish(self):
        self.book.faults(delay_ms=400)
        ticket = self.tickets(self.entries[0])[0]
        replies = []
        thread = threading.Thread(target=lambda: replies.append(self.hold(self.entries[0], "d", Stagepost_Ticket=ticket)))
        thread.start()
        eventually(lambda: self.runs("d") == 1, "the call runs")
        self.entries[0].terminate()
        thread.join()
        self.assertEqual(replies[0].status, 200)
        self.assertEqual(self.entries[0].process.wait(30), 0)


if __name__ == "__main__":
    unittest.main()
