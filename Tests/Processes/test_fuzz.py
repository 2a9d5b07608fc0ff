"""Fuzz tests with corrupted input from callers, upstreams and the store: the daemon must keep running,
must not run a request that no caller sent, and must not deliver an answer to the wrong request."""

import random
import re
import socket
import unittest

from fleet import PATIENCE, eventually, raw
from platform_stand_ins import Store, Upstream
from test_platform import HOST, KEY, Entry, manifest, request

SEED = 20261202
ROUNDS = 400
TOKENS = [b"\r\n", b"\n", b"\r\n\r\n", b":", b" ", b"\0", b"HTTP/1.1", b"HTTP/2.0", b"Content-Length: 5\r\n", b"Content-Length: -1\r\n",
          b"Content-Length: 99999999999999999999\r\n", b"Transfer-Encoding: chunked\r\n", b"Transfer-Encoding: chunked, identity\r\n", b"0\r\n\r\n",
          b"ffffffffffffffff\r\n", b"X-Attempt-Id: smuggled\r\n", b"GET /lookup/smuggled HTTP/1.1\r\n", b"Expect: 100-continue\r\n", b"\xff\xfe", b"id: 7\n", b"data: \n\n"]


def corrupted(generator, text):
    """Returns the text with random bytes replaced, removed, duplicated or inserted, or with its end cut off."""
    text = bytearray(text)
    for _ in range(generator.randint(1, 4)):
        position = generator.randrange(len(text) + 1)
        length = generator.randrange(1, 12)
        kind = generator.randrange(5)
        if kind == 0:
            text[position:position + 1] = bytes([generator.randrange(256)])
        elif kind == 1:
            del text[position:position + length]
        elif kind == 2:
            text[position:position] = text[position:position + length]
        elif kind == 3:
            text[position:position] = generator.choice(TOKENS)
        else:
            del text[position:]
    return bytes(text)


class JunkUpstream(Upstream):
    """Answers with corrupted bytes while sends_junk is set."""

    def __init__(self, *arguments):
        self.generator = random.Random(SEED)
        self.sends_junk = False
        super().__init__(*arguments)

    def serve_one(self, connection, reader):
        if not self.sends_junk:
            return super().serve_one(connection, reader)
        request_head = self.read_head(reader)
        if not request_head:
            return False
        request_head["body"] = reader.read(int(request_head["headers"].get("content-length", 0)))
        request_head["ran"] = True
        with self.lock:
            self.requests.append(request_head)
        if request_head["target"].startswith("/stream/"):
            events = b"".join(b"%x\r\n%s\r\n" % (len(event), event) for event in (b"id: %d\ndata: word%d\n\n" % (number, number) for number in range(1, 5)))
            answer = self.head(request_head, 200, None, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n") + events + b"0\r\n\r\n"
        else:
            answer = self.head(request_head, 200, 5) + b"whole"
        connection.sendall(corrupted(self.generator, answer))
        return False


class CorruptedInput(unittest.TestCase):
    def setUp(self):
        self.store = Store()
        self.addCleanup(self.store.stop)
        self.upstreams = []
        for instance, service in (("book-1", "book"), ("chat-1", "chat")):
            upstream = JunkUpstream(instance, service)
            self.addCleanup(upstream.stop)
            self.store.put("keyed.servers", instance, upstream.record())
            self.upstreams.append(upstream)
        self.store.put("keyed.op", "config", manifest(3))
        self.entry = Entry(self.store)
        self.addCleanup(self.entry.stop)
        eventually(self.entry.is_ready, "ready")

    def call(self, path, identifier, method="GET"):
        headers = {"Host": HOST, "X-Attempt-Id": identifier, "X-Api-Key": KEY, "X-Deadline-Ms": "1000"}
        return request(self.entry.endpoint, method, path, "prompt" if method == "POST" else None, headers)

    def assert_serves(self):
        eventually(lambda: self.call("/lookup/sound", "sound").status == 200, "the daemon serves requests again")
        self.assertIsNone(self.entry.process.poll())

    def test_corrupted_requests(self):
        generator = random.Random(SEED)
        sound = (f"POST /confirm/x HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: mine\r\nX-Api-Key: {KEY}\r\nX-Deadline-Ms: 1000\r\n"
                 "X-Prompt-Prefix: aa:1,bb:2\r\nLast-Event-Id: 3\r\nContent-Length: 7\r\n\r\ncontact").encode()
        for _ in range(ROUNDS):
            with raw(self.entry.endpoint) as connection:
                connection.settimeout(PATIENCE)
                connection.sendall(corrupted(generator, sound))
                connection.shutdown(socket.SHUT_WR)
                answer = b""
                try:
                    while part := connection.recv(65536):
                        answer += part
                except ConnectionResetError:
                    pass  # The daemon closed the connection with unread bytes
                self.assertRegex(answer, rb"^(HTTP/1\.1 [2-5]\d\d |$)")
        self.assert_serves()
        for run in self.upstreams[0].runs():
            self.assertIn(run["method"], ("GET", "POST"))
            self.assertNotIn("x-api-key", run["headers"])
            # The body of a request must not run as a request of its own.
            self.assertFalse(run["headers"].get("x-attempt-id") == "smuggled" and run["headers"].get("host") != HOST)

    def test_corrupted_answers(self):
        for upstream in self.upstreams:
            upstream.sends_junk = True
        for number in range(ROUNDS // 2):
            path, method = (("/confirm/x", "POST"), ("/lookup/x", "GET"), ("/stream/once/x", "POST"), ("/stream/again/x", "POST"))[number % 4]
            try:
                reply = self.call(path, f"junk-{number}", method)
            except OSError:
                continue  # A broken connection, which the caller recognises as a failure
            if reply.status == 200 and not path.startswith("/stream/"):
                self.assertEqual(reply.headers["X-Attempt-Id"], f"junk-{number}")
            if path.startswith("/stream/") and reply.status == 200 and not reply.headers["X-Test-Broken"]:
                numbers = [int(found) for found in re.findall(r"^id: (\d+)$", reply.body, re.MULTILINE)]
                self.assertEqual(numbers, sorted(set(numbers)))
        for upstream in self.upstreams:
            upstream.sends_junk = False
        self.assert_serves()

    def test_corrupted_store_replies(self):
        generator = random.Random(SEED)
        reply = self.store.reply

        def corrupted_reply(handler, status, body):
            reply(handler, status, corrupted(generator, body) if body else body)

        self.store.reply = corrupted_reply
        for version in range(4, 30):
            self.store.put("keyed.op", "config", manifest(version))
            self.store.put("keyed.servers", f"other-{version}", {"service": 7})
            calls = len(self.store.calls)
            eventually(lambda calls=calls: len(self.store.calls) > calls + 3, "the daemon reads on")
            self.assertIsNone(self.entry.process.poll())
        self.store.reply = reply
        self.store.put("keyed.op", "config", manifest(100))
        eventually(lambda: any("settings-in-force version=100" in line for line in self.entry.lines), "the newest version is in force")
        self.assert_serves()


if __name__ == "__main__":
    unittest.main()
