"""Crowds of clients that the operators don't control, at the product's own daemon.

Guards against the same faults as test_client_crowds.py, which tests the daemon on the users' platform.
"""

import contextlib
import json
import os
import unittest
from unittest import mock

from crowds import (ENVIRONMENT, IDLE_CONNECTIONS, MAX_BODY, MEGABYTE, CrowdChecks, DescriptorChecks, Usage, chunked, chunks, descriptor_limit,
                    eventually_answered, open_many, send_after_answer, send_all, send_in_pieces, send_on_and_on, with_length)
from fleet import OPERATOR_TOKEN, TOKEN, Fleet

BODY = b"x" * MAX_BODY
# A chat of the largest legal size.
CHAT = json.dumps({"model": "small", "messages": [{"role": "user", "content": ""}]}).encode()
CHAT = CHAT.replace(b'""', b'"' + b"x" * (MAX_BODY - len(CHAT)) + b'"')


def head(path="/services/book/x", token=TOKEN, extra=""):
    return f"POST {path} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {token}\r\n{extra}".encode()


class DaemonWithCrowd(CrowdChecks, Fleet):
    MAX_DESCRIPTORS = None
    MAX_BODY = MAX_BODY

    def setUp(self):
        super().setUp()
        self.service()
        self.engine(token_ms=2000)
        self.publish(self.settings(organisation="requests_per_second = 100000.0\nin_flight = 10000"))
        with mock.patch.dict(os.environ, ENVIRONMENT), descriptor_limit(self.MAX_DESCRIPTORS) if self.MAX_DESCRIPTORS else contextlib.nullcontext():
            self.entry = self.daemon(extra=("--largest-body", str(self.MAX_BODY), "--request-timeout-ms", "60000"))
        self.serve(self.entry, upstreams=2)
        self.usage = Usage(self.entry, [self.entry.endpoint])
        self.addCleanup(self.usage.stop)

    def send_ordinary(self):
        return self.entry.call("GET", "/services/book/lookup")

    def send_ordinary_body(self):
        return self.entry.call("POST", "/services/book/lookup", "y" * 72000)

    def send_balancers_check(self):
        return self.entry.call("GET", "/readyz")


class Bodies(DaemonWithCrowd):
    def test_short_of_their_end(self):
        self.check(self.crowd(send_all(with_length(head(), MAX_BODY) + BODY[:-1])))

    def test_short_of_their_end_piece_by_piece(self):
        self.check(self.crowd(send_in_pieces(with_length(head(), MAX_BODY), BODY[:-1], 16384, 0.004)))

    def test_with_an_unknown_token(self):
        self.check(self.crowd(send_all(with_length(head(token="nobody's"), MAX_BODY) + BODY[:-1])))

    def test_to_a_path_that_is_not_there(self):
        self.check(self.crowd(send_all(with_length(head("/elsewhere"), MAX_BODY) + BODY[:-1])))

    def test_to_the_readiness_check(self):
        self.check(self.crowd(send_all(with_length(head("/readyz"), MAX_BODY) + BODY[:-1])))

    def test_to_the_operators_tool(self):
        self.check(self.crowd(send_all(with_length(head("/rpc", token=OPERATOR_TOKEN), MAX_BODY) + BODY[:-1])))

    def test_to_other_daemons(self):
        self.check(self.crowd(send_all(with_length(head("/internal/settings"), MAX_BODY) + BODY[:-1])))

    def test_after_an_interim_answer(self):
        self.check(self.crowd(send_after_answer(with_length(head(extra="Expect: 100-continue\r\n"), MAX_BODY), BODY[:-1])))

    def test_whole_to_a_service(self):
        self.check(self.crowd(send_all(with_length(head(), MAX_BODY) + BODY)))

    def test_whole_chats(self):
        self.check(self.crowd(send_all(with_length(head("/v1/chat/completions"), len(CHAT)) + CHAT)))

    def test_announced_far_over_the_limit(self):
        self.check(self.crowd(send_on_and_on(with_length(head(), 1 << 30), BODY, 4 * MAX_BODY)))


class ChunkedBodies(DaemonWithCrowd):
    def test_large_chunks_short_of_the_end(self):
        self.check(self.crowd(send_all(chunked(head()) + chunks(65536, 15) + chunks(65535, 1))))

    def test_small_chunks_short_of_the_end(self):
        self.check(self.crowd(send_all(chunked(head()) + chunks(16, 60000))))

    def test_far_over_the_limit(self):
        self.check(self.crowd(send_on_and_on(chunked(head()), chunks(65536, 4), 4 * MAX_BODY)))


class LargeChats(DaemonWithCrowd):
    """Chats of a few bytes a value, whose tree takes a large multiple of their text."""

    MAX_BODY = 8 * MEGABYTE

    def chat_of(self, value):
        begin, end = b'{"model":"small","messages":[{"role":"user","content":"73"}],"x":[0', b"]}"
        return begin + (b"," + value) * ((self.MAX_BODY - len(begin + end)) // (len(value) + 1)) + end

    def send(self, value):
        body = self.chat_of(value)
        self.check(self.crowd(send_all(with_length(head("/v1/chat/completions"), len(body)) + body), callers=4))

    def test_empty_lists(self):
        self.send(b"[]")

    def test_numbers(self):
        self.send(b"1")

    def test_small_objects(self):
        self.send(b'{"a":0}')


class Connections(DaemonWithCrowd):
    def test_unread_answers_to_many_requests_in_a_row(self):
        self.check(self.crowd(send_all(b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n" * 2000)))

    def test_heads_short_of_their_end(self):
        self.check(self.crowd(open_many(head(extra="X-Long: " + "x" * 15000), 500), callers=15))


class Descriptors(DescriptorChecks, DaemonWithCrowd):
    def use_new_configuration(self):
        self.publish(self.settings(organisation="requests_per_second = 90000.0\nin_flight = 10000"))
        eventually_answered(self.send_ordinary, "a request after new settings")

    def test_idle_connections(self):
        self.check(self.crowd(open_many(b"", IDLE_CONNECTIONS), callers=1))

    def test_unfinished_heads(self):
        self.check(self.crowd(open_many(head(), IDLE_CONNECTIONS), callers=1))


if __name__ == "__main__":
    unittest.main()
