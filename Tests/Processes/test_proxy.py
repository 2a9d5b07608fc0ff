"""The answers of one daemon when callers and upstreams misbehave."""

import json
import socket
import subprocess
import threading
import time
import unittest

from fleet import DAEMON, TOKEN, Fleet, eventually, raw, read_all, request

CHAT = json.dumps({"model": "small", "messages": [{"role": "user", "content": "hi"}], "max_tokens": 100000})


def head(path, body, extra=""):
    return (f"POST {path} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {TOKEN}\r\n{extra}"
            f"Content-Length: {len(body)}\r\n\r\n{body}").encode()


class Callers(Fleet):
    def setUp(self):
        super().setUp()
        self.entry = self.daemon(extra=("--largest-body", "2000", "--largest-headers", "1000", "--request-timeout-ms", "400"))
        self.engine_1 = self.engine()
        self.publish()
        self.serve(self.entry)

    def assert_refused(self, reply, status, reason, verdict="not-run"):
        self.assertEqual((reply.status, reply.error()["reason"], reply.error()["verdict"]), (status, reason, verdict))
        self.assertEqual(reply.headers["Stagepost-Verdict"], verdict)
        self.assertGreaterEqual(self.entry.refusals(reason), 1)

    def test_a_whole_answer_is_streamed(self):
        reply = self.entry.chat(max_tokens=5)
        self.assertEqual(reply.status, 200)
        self.assertEqual([f"word{n} " in reply.body for n in range(6)], [True] * 5 + [False])
        self.assertTrue(reply.body.endswith("data: [DONE]\n\n"))

    def test_a_returning_chat_finds_its_context(self):
        first = self.entry.chat("what is 73", {"Stagepost-Chat": "c1"}, max_tokens=1)
        second = self.entry.chat("what is 73", {"Stagepost-Chat": "c1"}, max_tokens=1)
        self.assertEqual((first.headers["X-Context"], second.headers["X-Context"]), ("new", "reused"))

    def test_refusals_state_their_reason(self):
        self.assert_refused(self.entry.call("POST", "/v1/chat/completions", "{"), 400, "bad-json")
        self.assert_refused(self.entry.call("POST", "/v1/chat/completions", "{}"), 400, "bad-json")
        self.assert_refused(self.entry.call("POST", "/v1/chat/completions", CHAT, token=None), 401, "missing-token")
        self.assert_refused(self.entry.call("POST", "/v1/chat/completions", CHAT, token="no"), 403, "wrong-token")
        self.assert_refused(self.entry.call("POST", "/v1/chat/completions", '{"model":"x","messages":[]}'), 404, "no-such-model")
        self.assert_refused(self.entry.call("GET", "/services/none/x"), 404, "no-such-service")
        self.assert_refused(self.entry.call("GET", "/elsewhere"), 404, "no-such-path")
        self.assert_refused(self.entry.call("GET", "/services/book/x"), 503, "no-upstream")
        self.assert_refused(self.entry.call("POST", "/v1/chat/completions", "x" * 3000), 413, "body-too-large")
        self.assert_refused(self.entry.call("GET", "/x", headers={"X-Long": "x" * 2000}), 431, "headers-too-large")

    def test_input_that_is_not_http_is_refused(self):
        with raw(self.entry.endpoint) as connection:
            connection.sendall(b"\x16\x03\x01 not http\r\n\r\n")
            self.assertIn(b"bad-request", read_all(connection))

    def test_a_caller_that_never_finishes_its_request_is_counted(self):
        with raw(self.entry.endpoint) as connection:
            connection.sendall(b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n")
            read_all(connection)
        self.assertEqual(self.entry.refusals("slow-caller"), 1)

    def test_a_stream_is_cancelled_if_its_caller_disconnects(self):
        connection = raw(self.entry.endpoint)
        connection.sendall(head("/v1/chat/completions", CHAT))
        connection.recv(100)
        connection.close()
        eventually(lambda: self.engine_1.get("/v1/status")["in_flight"] == 0, "the engine's stream is cancelled")
        eventually(lambda: self.entry.refusals("caller-gone") == 1, "the refusal is counted")
        eventually(lambda: self.entry.metric("stagepost_open_leases") == 0, "the lease is released")

    def test_a_half_closed_connection_counts_as_disconnected(self):
        with raw(self.entry.endpoint) as connection:
            connection.sendall(head("/v1/chat/completions", CHAT))
            connection.shutdown(socket.SHUT_WR)
            read_all(connection)
        eventually(lambda: self.entry.refusals("caller-gone") == 1, "the refusal is counted")

    def test_a_slow_caller_slows_the_engine_down(self):
        fast = self.engine("engine-2", token_ms=0)
        eventually(lambda: self.entry.metric("stagepost_upstreams") == 2, "both engines are known")
        self.vms.post("/v1/vms", [{"name": "engine-1", "state": "gone"}])
        eventually(lambda: self.entry.metric("stagepost_upstreams") == 1, "only the fast engine is left")
        with raw(self.entry.endpoint) as connection:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            connection.sendall(head("/v1/chat/completions", CHAT.replace("100000", "3000000")))
            connection.recv(100)
            time.sleep(0.5)
            # 3,000,000 events take about 250 MB. The socket buffers bound the data in transit, so the stream
            # is still running.
            self.assertEqual(fast.get("/v1/status")["in_flight"], 1)

    def test_the_caller_is_informed_of_a_truncated_stream(self):
        self.engine_1.faults(mode="cut")
        with raw(self.entry.endpoint) as connection:
            connection.sendall(head("/v1/chat/completions", CHAT))
            answer = read_all(connection)
        self.assertIn(b"event: error", answer)
        self.assertIn(b"upstream-broken", answer)
        self.assertFalse(answer.endswith(b"0\r\n\r\n"))

    def test_an_http_1_0_caller_gets_its_answer_unchunked(self):
        body = json.dumps({"model": "small", "messages": [], "max_tokens": 2})
        with raw(self.entry.endpoint) as connection:
            connection.sendall(head("/v1/chat/completions", body).replace(b"HTTP/1.1", b"HTTP/1.0"))
            answer = read_all(connection)
        self.assertNotIn(b"chunked", answer)
        self.assertTrue(answer.endswith(b"[DONE]\n\n"))

    def test_a_refused_request_is_retried_on_another_engine(self):
        second = self.engine("engine-2")
        eventually(lambda: self.entry.metric("stagepost_upstreams") == 2, "both engines are known")
        self.engine_1.faults(mode="refuse")
        replies = [self.entry.chat(f"chat {n}", max_tokens=1) for n in range(8)]
        self.assertEqual({reply.headers["X-Engine"] for reply in replies if reply.status == 200}, {"engine-2"})
        self.assertGreaterEqual(self.entry.metric('stagepost_retries_total{reason="upstream-broken"}'), 1)
        self.assertEqual(second.get("/v1/status")["in_flight"], 0)


class Services(Fleet):
    def setUp(self):
        super().setUp()
        self.entry = self.daemon()
        self.book = self.service()
        self.publish(self.settings(service="answer_timeout_ms = 300\nbreaker_failures = 1000"))
        self.serve(self.entry)

    def call(self, name, method="GET"):
        return self.entry.call(method, f"/services/book/{name}", headers={"X-Call": name})

    def test_methods_and_targets_are_forwarded(self):
        self.assertEqual(json.loads(self.call("a?x=1").body)["target"], "/a?x=1")
        self.assertEqual(json.loads(self.call("b", "DELETE").body)["call"], "b")

    def test_a_surplus_answer_never_reaches_the_next_caller(self):
        for echoes in (True, False):
            self.book.faults(mode="surplus", echoes=echoes)
            for number in range(12):
                reply = self.call(f"call-{number}")
                # Each caller must get its own answer, regardless of the delay after the previous one.
                time.sleep(0.005 * (number % 9))
                if reply.status == 200:
                    self.assertEqual(json.loads(reply.body)["call"], f"call-{number}")
                else:
                    self.assertIn(reply.error()["reason"], ("upstream-mixed-answer", "upstream-broken"))

    def test_a_dropped_answer_is_not_run_again(self):
        self.book.faults(mode="drop-after-run")
        reply = self.call("stock-hold", "POST")
        self.assertEqual((reply.status, reply.error()["reason"], reply.error()["verdict"]), (502, "upstream-broken", "may-have-run"))
        self.assertEqual(self.book.get("/runs"), {"stock-hold": 1})

    def test_a_slow_upstream_times_out(self):
        self.book.faults(mode="hang")
        reply = self.call("slow", "POST")
        self.assertEqual((reply.status, reply.error()["reason"], reply.error()["verdict"]), (504, "upstream-slow", "may-have-run"))

    def test_a_request_to_an_unreachable_upstream_has_not_run(self):
        self.book.stop()
        reply = self.call("lost", "POST")
        self.assertEqual((reply.error()["reason"], reply.error()["verdict"]), ("upstream-refused", "not-run"))

    def test_a_truncated_answer_is_recognisable(self):
        self.book.faults(mode="half")
        with raw(self.entry.endpoint) as connection:
            connection.sendall(head("/services/book/half", "x"))
            answer = read_all(connection)
        length = int(answer.split(b"Content-Length: ")[1].split(b"\r\n")[0])
        self.assertLess(len(answer.split(b"\r\n\r\n", 1)[1]), length)
        self.assertEqual(self.entry.refusals("upstream-broken"), 1)


class Limits(Fleet):
    def test_an_organisation_over_its_rate_limit_gets_retry_after(self):
        entry = self.daemon()
        self.service()
        self.publish(self.settings(organisation="requests_per_second = 1.0"))
        self.serve(entry)
        replies = [entry.call("GET", "/services/book/x") for _ in range(4)]
        self.assertEqual([reply.status for reply in replies], [200, 200, 429, 429])
        self.assertEqual(replies[-1].error()["reason"], "organisation-rate")
        self.assertGreaterEqual(int(replies[-1].headers["Retry-After"]), 1)

    def test_requests_beyond_the_cap_of_an_engine_are_refused(self):
        entry = self.daemon()
        engine = self.engine(token_ms=50)
        self.publish(self.settings(pool="most_in_flight = 2\nleast_cap = 2\nqueue_wait_ms = 100"))
        self.serve(entry)
        holders = []
        for number in range(2):
            holder = raw(entry.endpoint)
            self.addCleanup(holder.close)
            holder.sendall(head("/v1/chat/completions", CHAT.replace("hi", str(number)), "Priority: u=0\r\n"))
            holder.recv(100)
            holders.append(holder)
        self.assertEqual(engine.get("/v1/status")["in_flight"], 2)
        reply = entry.chat("one more", max_tokens=1)
        self.assertEqual((reply.status, reply.error()["verdict"]), (reply.status, "not-run"))
        self.assertIn(reply.error()["reason"], ("deadline-passed", "deadline-too-near"))
        self.assertEqual(engine.get("/v1/status")["in_flight"], 2)


class Drain(Fleet):
    def test_a_planned_stop_aborts_no_stream_and_refuses_nothing(self):
        entry = self.daemon()
        self.engine(token_ms=20)
        self.publish()
        self.serve(entry)
        with raw(entry.endpoint) as connection:
            connection.sendall(head("/v1/chat/completions", CHAT.replace("100000", "60")))
            connection.recv(50)
            entry.terminate()
            eventually(lambda: not entry.ready(), "the daemon is not ready")
            # The load balancer sends requests until its next check of the readiness.
            self.assertEqual(entry.chat("late", max_tokens=1).status, 200)
            self.assertTrue(read_all(connection).endswith(b"0\r\n\r\n"))
        self.assertEqual(entry.process.wait(30), 0)

    def test_a_planned_stop_refuses_what_its_limit_would_cut(self):
        """A request that is sent on and cut may have run; one that is refused goes elsewhere."""
        entry = self.daemon(extra=("--drain-grace-ms", "2000", "--drain-limit-ms", "500"))
        self.engine(token_ms=20)
        self.publish()
        self.serve(entry)
        threads = [threading.Thread(target=entry.chat, kwargs={"max_tokens": 60}) for _ in range(20)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        entry.terminate()
        eventually(lambda: not entry.ready(), "the daemon is not ready")
        time.sleep(1)
        refused = entry.chat("late", max_tokens=60)
        self.assertEqual((refused.status, refused.error()["reason"], refused.error()["verdict"]), (503, "draining", "not-run"))
        self.assertEqual(refused.headers["Connection"], "close")
        begun = time.monotonic()
        self.assertEqual(entry.process.wait(30), 0)
        self.assertLess(time.monotonic() - begun, 2)


class Flags(unittest.TestCase):
    def run_daemon(self, *arguments):
        return subprocess.run([DAEMON, *arguments], capture_output=True, text=True, timeout=30)

    def test_a_wrong_flag_is_named(self):
        good = ["--name", "a", "--hall", "h", "--peer-listen", "127.0.0.1:0", "--log", "127.0.0.1:1", "--vm-list", "127.0.0.1:1",
                "--key", "k" * 16, "--operator-token", "t" * 16]
        for extra, text in ((["--listen", "localhost:1"], "--listen: 'localhost:1' is not IP:PORT"),
                            (["--listen", "127.0.0.1:0", "--largest-body", "x"], "--largest-body = 'x': allowed is a whole number"),
                            (["--listen", "127.0.0.1:0", "--log-level", "loud"], "allowed is one of debug"),
                            (["--nonsense"], "nonsense"),
                            ([], "--listen (or STAGEPOST_LISTEN) is missing")):
            result = self.run_daemon(*good, *extra)
            self.assertEqual(result.returncode, 2)
            self.assertIn(text, result.stderr)

    def test_help_lists_every_flag(self):
        result = self.run_daemon("--help")
        self.assertEqual(result.returncode, 0)
        for flag in ("--name", "--hall", "--listen", "--peer-listen", "--log", "--vm-list", "--key", "--drain-grace-ms", "--largest-body"):
            self.assertIn(flag, result.stdout)


class Health(Fleet):
    def test_a_daemon_without_settings_is_not_ready(self):
        entry = self.daemon()
        self.assertEqual(request(entry.endpoint, "GET", "/healthz").status, 200)
        self.assertEqual(request(entry.endpoint, "GET", "/readyz").status, 503)
        reply = entry.chat()
        self.assertEqual((reply.status, reply.error()["reason"]), (503, "no-settings"))


if __name__ == "__main__":
    unittest.main()
