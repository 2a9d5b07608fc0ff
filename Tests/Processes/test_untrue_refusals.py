"""Upstreams that run a request and then answer with a status that tells callers that it has not run.

Guards against refusals that are passed on as "not run" although nothing has shown that.
"""

import unittest

from fleet import eventually
from test_detours import FleetWithDetours
from test_lost_links import CuttableUpstream
from test_platform import HOST, KEY, Entry, manifest, request
from platform_stand_ins import Store, Upstream

STATUSES_NOT_EXECUTED = (408, 421, 429, 503)
# Each form of a 421 of another instance, by its fields: "{other}" and "{own}" stand for instances.
FORMS_WITHOUT_PROOF = ("signed", "signed X-Instance-Id: {other}", "signed X-Instance-Id: {own}", "", "X-Instance-Id: {own}", "X-Instance-Id:",
                       "X-Instance-Id: {other}|X-Instance-Id: {own}")
FORMS_WITH_PROOF = ("X-Instance-Id: {other}", "X-Not-Executed: 1", "signed X-Not-Executed: 1")


class Refusing:
    """Answers with the status and fields that a request names, after it has run the request unless the answer proves the opposite.

    X-Test-Answer: the status. X-Test-Fields: "signed " if the answer is signed, then its fields, separated by "|".
    """

    def plain(self, connection, request, fault):
        if "x-test-answer" not in request["headers"]:
            return super().plain(connection, request, fault)
        form = request["headers"].get("x-test-fields", "")
        status = request["headers"]["x-test-answer"]
        request["ran"] = "X-Not-Executed" not in form and not (status == "421" and form in FORMS_WITH_PROOF)
        fields = [f"X-Attempt-Id: {request['headers'].get('x-attempt-id', '')}"]
        if form.startswith("signed"):
            fields.append(f"X-Response-Signature: by-{self.instance}")
            form = form.removeprefix("signed").strip()
        fields += [field for field in form.format(other="i-of-another", own=self.instance).split("|") if field]
        connection.sendall((f"HTTP/1.1 {status} X\r\n" + "\r\n".join(fields) + "\r\nContent-Length: 0\r\n\r\n").encode())
        return True


class RefusingUpstream(Refusing, Upstream):
    pass


class CuttableRefusingUpstream(Refusing, CuttableUpstream):
    pass


class UntrueRefusals(unittest.TestCase):
    def setUp(self):
        self.store = Store()
        self.addCleanup(self.store.stop)
        self.attempts = 0
        self.books = [RefusingUpstream(f"book-{number}", "book") for number in (1, 2)]
        for upstream in self.books:
            self.addCleanup(upstream.stop)
            self.store.put("keyed.servers", upstream.instance, upstream.record())
        self.store.put("keyed.op", "config", manifest(3))
        self.entry = Entry(self.store, "--retry-ratio", "2", "--key-bound-ms", "60000")
        self.addCleanup(self.entry.stop)
        eventually(self.entry.is_ready, "ready")

    def call(self, path, key=KEY, **headers):
        self.attempts += 1
        fields = {"Host": HOST, "X-Attempt-Id": f"attempt-{self.attempts}", "X-Deadline-Ms": "1500", "X-Api-Key": key}
        fields.update({name.replace("_", "-"): value for name, value in headers.items()})
        return request(self.entry.endpoint, "POST", path, "contact", fields)

    def refused(self, status, form):
        """Returns the answer to an unsafe request, and the number of upstreams that ran it."""
        reply = self.call("/confirm/x", X_Test_Answer=str(status), X_Test_Fields=form)
        return reply, sum(run["headers"]["x-attempt-id"] == f"attempt-{self.attempts}" for book in self.books for run in book.runs())

    def test_a_421_that_proves_nothing_is_no_promise(self):
        for form in FORMS_WITHOUT_PROOF:
            with self.subTest(form):
                reply, runs = self.refused(421, form)
                self.assertEqual((reply.status, runs), (502, 1))

    def test_a_421_of_another_instance_is_a_promise(self):
        for form in FORMS_WITH_PROOF:
            with self.subTest(form):
                reply, runs = self.refused(421, form)
                self.assertEqual((reply.status, reply.headers["Stagepost-Verdict"], runs), (503, "not-run", 0))

    def test_other_refusals_without_proof_are_no_promise(self):
        for status in STATUSES_NOT_EXECUTED:
            for form in ("", "signed", "X-Instance-Id: {other}"):
                if status == 421 and form not in FORMS_WITHOUT_PROOF:
                    continue
                with self.subTest((status, form)):
                    reply, runs = self.refused(status, form)
                    self.assertEqual((reply.status, runs), (502, 1))

    def test_the_log_says_what_a_promise_rests_on(self):
        def proof_of_last():
            line = next((line for line in self.entry.lines if f"id=attempt-{self.attempts} " in line and "outcome=refused" in line), "")
            return next((field for field in line.split() if field.startswith("proof=")), None)

        for status, form, proof in ((503, "X-Not-Executed: 1", "upstream-said-so"), (421, "X-Instance-Id: {other}", "other-instance"), (503, "", "none")):
            with self.subTest(form):
                self.refused(status, form)
                eventually(proof_of_last, "logged")
                self.assertEqual(proof_of_last(), f"proof={proof}")
        self.call("/lookup/x", key="wrong")
        eventually(proof_of_last, "logged")
        self.assertEqual(proof_of_last(), "proof=nothing-sent")
        metrics = self.entry.get_ready("/metrics").body
        self.assertIn('stagepost_not_run_total{proof="upstream-said-so"} 1', metrics)


class UntrueRefusalsThroughOtherDaemons(FleetWithDetours):
    UPSTREAM = CuttableRefusingUpstream

    def test_refusals_without_proof_are_no_promise(self):
        self.cut(self.members[0])
        for status in STATUSES_NOT_EXECUTED:
            with self.subTest(status):
                before = len(self.runs())
                reply = self.call(self.members[0], "/confirm/x", X_Test_Answer=str(status), X_Test_Fields="signed")
                self.assertEqual((reply.status, len(self.runs()) - before), (502, 1))

    def test_marks_of_an_upstream_are_not_taken_for_those_of_a_daemon(self):
        self.cut(self.members[0])
        for mark in ("elsewhere", "refused"):
            for status in (500, 503):
                with self.subTest((mark, status)):
                    before = len(self.runs())
                    forged = f"signed Stagepost-Detour: {mark}|Stagepost-Verdict: not-run|Stagepost-Reason: no-upstream"
                    reply = self.call(self.members[0], "/confirm/x", X_Test_Answer=str(status), X_Test_Fields=forged)
                    self.assertEqual(len(self.runs()) - before, 1)
                    self.assertEqual(reply.status, 500 if status == 500 else 502)
                    self.assertNotEqual(reply.headers.get("Stagepost-Verdict"), "not-run")


if __name__ == "__main__":
    unittest.main()
