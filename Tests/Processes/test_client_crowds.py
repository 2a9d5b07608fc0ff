"""Crowds of clients that the operators don't control, at the daemon on the users' platform.

Guards against a daemon whose clients take the memory of its machine, or the descriptors that its store needs: what one
connection may hold was bounded, and what all of them hold together was not.
"""

import contextlib
import os
import unittest
from unittest import mock

from crowds import (CALLERS, ENVIRONMENT, IDLE_CONNECTIONS, MACHINE_MEMORY, MAX_BODY, MEGABYTE, Crowd, CrowdChecks, DescriptorChecks, Usage, chunked, chunks, descriptor_limit,
                    eventually_answered, open_many, send_after_answer, send_again, send_all, send_in_pieces, send_on_and_on, with_length)
from fleet import Ports, eventually
from platform_stand_ins import Store, Upstream
from test_detours import ROUTES as DETOUR_ROUTES
from test_detours import FleetWithDetours
from test_platform import HOST, KEY, Entry, manifest, request, route

# Callers of a crowd are not ended by the time for a request, so that they hold what they can during a test.
LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": MAX_BODY, "headerTimeoutMs": 60000, "idleTimeoutMs": 60000}
ROUTES = [route("lookup", "/lookup/", "safe", "book", timeoutMs=60000), route("digest", "/stream/again/", "streaming", "chat", timeoutMs=60000, resumable=True),
          route("draft", "/stream/once/", "streaming", "chat", timeoutMs=60000), route("answer", "/answer/", "safe", "archive", timeoutMs=60000)]
LARGE_ANSWER = 32 * MEGABYTE
SLOTS = 400
BODY = b"x" * MAX_BODY


class LargeUpstream(Upstream):
    def plain(self, connection, request, fault):
        answer = self.head(request, 200, LARGE_ANSWER)
        connection.sendall(answer + b"x" * LARGE_ANSWER)
        return True


def head(path="/lookup/x", key=KEY, extra="", attempt="crowd"):
    return (f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\nX-Deadline-Ms: 60000\r\nX-Api-Key: {key}\r\n{extra}").encode()


class DaemonWithCrowd(CrowdChecks, unittest.TestCase):
    MAX_DESCRIPTORS = None

    def setUp(self):
        self.store = Store()
        self.addCleanup(self.store.stop)
        self.upstreams = {service: kind(f"{service}-1", service, slots=SLOTS) for service, kind in (("book", Upstream), ("chat", Upstream), ("archive", LargeUpstream))}
        for upstream in self.upstreams.values():
            self.addCleanup(upstream.stop)
            self.store.put("keyed.servers", upstream.instance, upstream.record())
        self.store.put("keyed.op", "config", self.configuration(3))
        with descriptor_limit(self.MAX_DESCRIPTORS) if self.MAX_DESCRIPTORS else contextlib.nullcontext():
            self.entry = Entry(self.store, "--peer-listen", Ports(3).take(), environment=dict(os.environ, **ENVIRONMENT))
        self.addCleanup(self.entry.stop)
        eventually(self.entry.is_ready, "ready")
        self.peer_endpoint = next(line.split("peer_listen=")[1].split()[0] for line in self.entry.lines if "event=started" in line)
        self.usage = Usage(self.entry, [self.entry.endpoint, self.entry.ready_endpoint, self.peer_endpoint])
        self.addCleanup(self.usage.stop)
        self.attempts = 0

    def configuration(self, version, *routes):
        services = [{"name": name, "healthPath": "/healthz", "maxConns": 1000} for name in self.upstreams]
        return manifest(version, routes=[*ROUTES, *routes], services=services, limits=LIMITS)

    def call(self, path="/lookup/x", body=None):
        self.attempts += 1
        fields = {"Host": HOST, "X-Attempt-Id": f"ordinary-{self.attempts}", "X-Deadline-Ms": "5000", "X-Api-Key": KEY}
        return request(self.entry.endpoint, "POST" if body else "GET", path, body, fields)

    def send_ordinary(self):
        return self.call()

    def send_ordinary_body(self):
        return self.call(body="y" * 72000)

    def send_balancers_check(self):
        return self.entry.get_ready("/readyz")


class Bodies(DaemonWithCrowd):
    def test_short_of_their_end(self):
        self.check(self.crowd(send_all(with_length(head(), MAX_BODY) + BODY[:-1])))

    def test_short_of_their_end_piece_by_piece(self):
        self.check(self.crowd(send_in_pieces(with_length(head(), MAX_BODY), BODY[:-1], 16384, 0.004)))

    def test_short_of_their_end_again_and_again(self):
        self.check(self.crowd(send_again(with_length(head(), MAX_BODY) + BODY[:-1], 4)))

    def test_with_an_unknown_key(self):
        self.check(self.crowd(send_all(with_length(head(key="nobody's"), MAX_BODY) + BODY[:-1])))

    def test_without_a_route(self):
        self.check(self.crowd(send_all(with_length(head("/elsewhere/"), MAX_BODY) + BODY[:-1])))

    def test_after_an_interim_answer(self):
        self.check(self.crowd(send_after_answer(with_length(head(extra="Expect: 100-continue\r\n"), MAX_BODY), BODY[:-1])))

    def test_of_a_second_request(self):
        first = with_length(head(), 1) + b"x"
        self.check(self.crowd(send_after_answer(first, with_length(head(), MAX_BODY) + BODY[:-1])))

    def test_whole(self):
        self.check(self.crowd(send_all(with_length(head(), MAX_BODY) + BODY)))

    def test_whole_to_a_silent_upstream(self):
        self.upstreams["chat"].fault = "mute"
        self.check(self.crowd(send_all(with_length(head("/stream/once/x"), MAX_BODY) + BODY)))

    def test_whole_to_a_stream(self):
        self.upstreams["chat"].event_pause = 5.0
        self.check(self.crowd(send_all(with_length(head("/stream/again/x"), MAX_BODY) + BODY)))

    def test_whole_to_more_requests_than_places(self):
        self.upstreams["chat"].fault = "mute"
        self.store.put("keyed.servers", "chat-1", self.upstreams["chat"].record(slots=4, seq=2))
        self.check(self.crowd(send_all(with_length(head("/stream/again/x"), MAX_BODY) + BODY)))

    def test_a_byte_at_a_time(self):
        self.check(self.crowd(send_in_pieces(with_length(head(), MAX_BODY), b"x" * 1000, 1, 0.001)))

    def test_announced_far_over_the_limit(self):
        self.check(self.crowd(send_on_and_on(with_length(head(), 1 << 30), BODY, 4 * MAX_BODY)))

    def test_announced_a_byte_over_the_limit(self):
        self.check(self.crowd(send_all(with_length(head(), MAX_BODY + 1) + BODY)))


class ChunkedBodies(DaemonWithCrowd):
    def test_large_chunks_short_of_the_end(self):
        self.check(self.crowd(send_all(chunked(head()) + chunks(65536, 15) + chunks(65535, 1))))

    def test_large_chunks_whole(self):
        self.check(self.crowd(send_all(chunked(head()) + chunks(65536, 15) + b"0\r\n\r\n")))

    def test_large_chunks_whole_to_a_silent_upstream(self):
        self.upstreams["chat"].fault = "mute"
        self.check(self.crowd(send_all(chunked(head("/stream/once/x")) + chunks(65536, 15) + b"0\r\n\r\n")))

    def test_small_chunks_short_of_the_end(self):
        self.check(self.crowd(send_all(chunked(head()) + chunks(16, 60000))))

    def test_chunks_of_one_byte(self):
        self.check(self.crowd(send_on_and_on(chunked(head()), chunks(1, 10000), MAX_BODY * 3)))

    def test_far_over_the_limit(self):
        self.check(self.crowd(send_on_and_on(chunked(head()), chunks(65536, 4), 4 * MAX_BODY)))

    def test_extension_without_end(self):
        self.check(self.crowd(send_on_and_on(chunked(head()) + b"1;", BODY[:65536], 2 * MAX_BODY)))

    def test_trailers_without_end(self):
        self.check(self.crowd(send_on_and_on(chunked(head()) + b"0\r\n", b"X-Field: value\r\n" * 4096, 2 * MAX_BODY)))


class Connections(DaemonWithCrowd):
    def test_unread_answers_to_many_requests_in_a_row(self):
        self.check(self.crowd(send_all(b"GET /lookup/x HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: crowd\r\nX-Api-Key: %s\r\n\r\n" % (HOST.encode(), KEY.encode()) * 2000)))

    def test_unread_large_answers(self):
        self.check(self.crowd(send_all(with_length(head("/answer/x"), 0)), callers=50))

    def test_bytes_behind_a_request_that_waits(self):
        self.upstreams["chat"].fault = "mute"
        self.check(self.crowd(send_all(with_length(head("/stream/once/x"), 0) + with_length(head(), 4 * MAX_BODY) + BODY * 4)))

    def test_heads_short_of_their_end(self):
        unfinished = head(extra="X-Long: " + "x" * 15000)
        self.check(self.crowd(open_many(unfinished, 500), callers=15))

    def test_crowds_of_several_kinds(self):
        self.upstreams["chat"].fault = "mute"
        self.check(self.crowd(send_all(with_length(head(), MAX_BODY) + BODY[:-1]), callers=70),
                   self.crowd(send_all(with_length(head("/stream/once/x"), MAX_BODY) + BODY), callers=70),
                   self.crowd(send_all(chunked(head()) + chunks(16, 60000)), callers=70),
                   self.crowd(open_many(head(extra="X-Long: " + "x" * 15000), 100), callers=5))

    def test_small_bodies_short_of_their_end(self):
        self.check(self.crowd(open_many(with_length(head(), 72000) + BODY[:71999], 80), callers=15))


class OtherServers(DaemonWithCrowd):
    def test_bodies_at_the_port_of_the_balancers_checks(self):
        data = b"POST /readyz HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % (4 * MEGABYTE) + BODY * 4
        self.check(self.crowd(send_all(data[:-1]), callers=60, endpoint=self.entry.ready_endpoint))

    def test_bodies_at_the_port_of_other_daemons(self):
        data = b"POST /internal/state HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % MAX_BODY + BODY
        self.check(self.crowd(send_all(data[:-1]), endpoint=self.peer_endpoint))

    def test_bodies_with_forged_terms_at_the_port_of_other_daemons(self):
        data = with_length(head(extra="Stagepost-Detour-Terms: " + "ab" * 60 + "\r\n"), MAX_BODY) + BODY
        self.check(self.crowd(send_all(data[:-1]), endpoint=self.peer_endpoint))

    def test_crowds_at_all_ports(self):
        body = with_length(head(), MAX_BODY) + BODY[:-1]
        self.check(*(self.crowd(send_all(body), callers=60, endpoint=endpoint) for endpoint in (self.entry.endpoint, self.entry.ready_endpoint, self.peer_endpoint)))


class DetouredBodies(FleetWithDetours):
    """Bodies that one daemon passes on to another, since it has lost its links to the upstreams: both hold them."""

    DAEMONS = 2

    def setUp(self):
        with mock.patch.dict(os.environ, ENVIRONMENT):
            super().setUp()
        self.store.put("keyed.op", "config", manifest(4, routes=[*DETOUR_ROUTES, route("limits", "/limits/", "safe", "book")], limits=LIMITS))
        for member in self.members:
            eventually_answered(lambda member=member: self.call(member, "/limits/x"), "a request by the new configuration")
        self.cut(self.members[0])
        self.usages = [Usage(member.entry, member.ports) for member in self.members]

    def check(self, script):
        crowd = Crowd(self.members[0].entry.endpoint, CALLERS, script)
        self.addCleanup(crowd.leave)
        crowd.wait()
        self.usages[0].settle()
        for member in self.members:
            eventually_answered(lambda member=member: self.call(member, "/lookup/x"), "an ordinary request beside the crowd")
        crowd.leave()
        for member, usage in zip(self.members, self.usages):
            usage.stop()
            self.assertIsNone(member.entry.process.poll(), "the daemon has ended")
            self.assertLess(usage.peak_memory / MEGABYTE, MACHINE_MEMORY / MEGABYTE, "MB of memory")

    def test_whole_to_silent_upstreams(self):
        for upstream in self.upstreams:
            upstream.fault = "mute" if upstream.service == "chat" else None
        self.check(send_all(with_length(head("/stream/once/x"), MAX_BODY) + BODY))

    def test_whole_that_are_answered(self):
        self.check(send_all(with_length(head("/lookup/x"), MAX_BODY) + BODY))


class Descriptors(DescriptorChecks, DaemonWithCrowd):
    def use_new_configuration(self):
        self.store.put("keyed.op", "config", self.configuration(4, route("new", "/new/", "safe", "book")))
        eventually_answered(lambda: self.call("/new/x"), "a request by the new configuration")

    def test_idle_connections(self):
        self.check(self.crowd(open_many(b"", IDLE_CONNECTIONS), callers=1))

    def test_idle_connections_after_a_request(self):
        first = with_length(head(), 1) + b"x"

        def script(crowd, number):
            for _ in range(IDLE_CONNECTIONS):
                with contextlib.suppress(OSError):
                    connection = crowd.connect()
                    connection.sendall(first)
                    connection.recv(65536)

        self.check(self.crowd(script, callers=1))

    def test_unfinished_heads(self):
        self.check(self.crowd(open_many(head(), IDLE_CONNECTIONS), callers=1))

    def test_requests_that_wait(self):
        self.upstreams["chat"].fault = "mute"
        self.check(self.crowd(open_many(with_length(head("/stream/once/x"), 0), IDLE_CONNECTIONS // 4), callers=4))

    def test_idle_connections_at_the_port_of_the_balancers_checks(self):
        self.check(self.crowd(open_many(b"", IDLE_CONNECTIONS), callers=1, endpoint=self.entry.ready_endpoint))

    def test_idle_connections_at_the_port_of_other_daemons(self):
        self.check(self.crowd(open_many(b"", IDLE_CONNECTIONS), callers=1, endpoint=self.peer_endpoint))


if __name__ == "__main__":
    unittest.main()
