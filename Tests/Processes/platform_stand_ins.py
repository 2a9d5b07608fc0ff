"""Stand-ins on loopback for the users' platform: its store and its upstreams.

They run in the process of the test, so that a test can change their behaviour between requests, and
they record all requests.
"""

import base64
import collections
import dataclasses
import http.server
import json
import random
import socket
import struct
import threading
import time
from urllib.parse import parse_qs, urlsplit


class Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    # With a shorter queue, connections of daemons that start together are retried only after a second.
    request_queue_size = 128

    def __init__(self, handler):
        super().__init__(("127.0.0.1", 0), handler)
        self.endpoint = "127.0.0.1:%d" % self.server_address[1]
        self.thread = threading.Thread(target=self.serve_forever, kwargs={"poll_interval": 0.02}, daemon=True)
        self.thread.start()

    def handle_error(self, request, client_address):
        pass  # Daemons may close their connections at any time

    def stop(self):
        self.shutdown()
        self.server_close()


@dataclasses.dataclass
class Append:
    """An append that took effect: the record, and the server that received the call."""

    server: Server
    topic: str
    key: str
    text: bytes
    offset: int
    is_conditional: bool
    at: float


@dataclasses.dataclass
class AppendFaults:
    """The shares of appends to some topics whose answers are lost. The others are not affected.

    lost_share: the append takes effect, but isn't answered. late_share: it isn't answered, and takes
    effect up to max_delay seconds later if its condition still holds then.
    """

    topics: tuple = ()
    lost_share: float = 0.0
    late_share: float = 0.0
    max_delay: float = 2.0
    randomness: random.Random = dataclasses.field(default_factory=lambda: random.Random(0))

    def choose(self, topic):
        """Returns "lost", "late" or None for the next append."""
        if topic not in self.topics:
            return None
        number = self.randomness.random()
        return "lost" if number < self.lost_share else "late" if number < self.lost_share + self.late_share else None


@dataclasses.dataclass
class StoreLimits:
    """What one call may carry, and how many calls the store takes from all daemons together."""

    # Of the records in the answer to a read that names no limit of its own.
    read_kb: int = 1024
    # Of the values in a page of the latest records, before they are encoded.
    page_bytes: int = 1 << 20
    wait_ms: int = 30000
    record_bytes: int = 262144
    reads_per_s: int = 2000
    writes_per_s: int = 2000
    # Topics that only the platform writes to.
    read_only_topics: tuple = ("keyed.servers",)


def split_records(body):
    """Returns the records of an append's body, each with its key's length and key."""
    records = []
    while body:
        size = struct.unpack(">I", body[:4])[0]
        records.append(body[4:4 + size])
        body = body[4 + size:]
    return records


def has_keys(topic):
    return topic.startswith("keyed.")


class CallRate:
    """Counts the calls of the last second."""

    def __init__(self):
        self.times = collections.deque()

    def admits(self, limit):
        now = time.monotonic()
        while self.times and now - self.times[0] >= 1:
            self.times.popleft()
        if len(self.times) >= limit:
            return False
        self.times.append(now)
        return True


class Store:
    """The topics of the platform's store, with the limits that the platform documents.

    The records of a topic are pairs of a key, which is empty in topics without keys, and a value.

    mode: "up", "silent" (no answer), "busy" (503), "reset" (closes the connection), or
    "lost" (executes calls, but doesn't answer them).
    """

    def __init__(self):
        self.changed = threading.Condition()
        self.topics = {}
        self.first = {}
        self.mode = "up"
        # Topics that are unreachable.
        self.topics_down = set()
        self.page_size = 500
        # The number of restores from a backup; None to omit it from replies.
        self.era = None
        # Answers reads beyond the end of a topic with 410.
        self.rejects_reads_beyond_end = False
        self.append_faults = AppendFaults()
        self.limits = StoreLimits()
        self.reads, self.writes = CallRate(), CallRate()
        # Called with each Append before it is answered, while the store is locked.
        self.append_listeners = []
        self.calls = []
        store = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_GET(self):
                store.answer(self)

            def do_POST(self):
                store.answer(self)

            def log_message(self, *arguments):
                pass

        self.handler = Handler
        self.server = Server(Handler)
        self.endpoint = self.server.endpoint
        self.extra_servers = []

    def stop(self):
        with self.changed:
            self.mode = "reset"
            self.changed.notify_all()
        for server in [self.server, *self.extra_servers]:
            server.stop()

    def add_server(self):
        """Adds another address of the store. Set its `is_busy` to answer only its callers with 503."""
        server = Server(self.handler)
        server.is_busy = False
        self.extra_servers.append(server)
        return server

    def put(self, topic, key, value):
        """Adds a record; a value of None removes the key."""
        self.put_raw(topic, key, b"" if value is None else json.dumps(value).encode())

    def put_raw(self, topic, key, text):
        """Adds a record with an arbitrary byte string."""
        with self.changed:
            self.topics.setdefault(topic, []).append((key, text))
            self.changed.notify_all()

    def put_without_key(self, topic, content):
        """Adds a record of a keyed topic whose content, if any, does not begin with a whole key."""
        self.put_raw(topic, None, content)

    def copy(self):
        with self.changed:
            return {topic: list(records) for topic, records in self.topics.items()}

    def return_to(self, backup, written=()):
        """Restores the backup and appends the given records before any reader can see it."""
        with self.changed:
            for topic in self.topics:
                self.topics[topic] = list(backup.get(topic, []))
            for topic, key, value in written:
                self.topics.setdefault(topic, []).append((key, b"" if value is None else json.dumps(value).encode()))
            self.first = {}
            self.era += 1
            self.changed.notify_all()

    def forget_history(self):
        with self.changed:
            for topic, records in self.topics.items():
                self.first[topic] = len(records)
            self.changed.notify_all()

    def newest(self, topic):
        return {key: text for key, (_, text) in self.newest_records(topic).items()}

    def newest_records(self, topic):
        """Returns the offset and the value of the latest record of each key."""
        newest = {}
        for offset, (key, text) in enumerate(self.topics.get(topic, [])):
            if key is not None:
                newest[key] = (offset, text)
        return {key: record for key, record in newest.items() if record[1]}

    def answer(self, handler):
        url = urlsplit(handler.path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        body = handler.rfile.read(int(handler.headers.get("Content-Length", 0)))
        with self.changed:
            self.calls.append((url.path, query))
            if self.mode == "silent":
                self.changed.wait_for(lambda: self.mode != "silent")
            if self.mode == "reset":
                handler.close_connection = True
                return
            if self.mode == "busy" or getattr(handler.server, "is_busy", False):
                return self.reply(handler, 503, b"")
            if query.get("topic") in self.topics_down:
                return self.reply(handler, 503, b"")
            is_write = handler.command == "POST"
            if not (self.writes.admits(self.limits.writes_per_s) if is_write else self.reads.admits(self.limits.reads_per_s)):
                return self.reply(handler, 429, b"")
            if url.path == "/log-newest":
                return self.answer_newest(handler, query)
            if url.path == "/log-read":
                return self.answer_read(handler, query)
            if url.path == "/log-append":
                return self.answer_append(handler, query, body)
        return self.reply(handler, 404, b"")

    def answer_newest(self, handler, query):
        topic = query["topic"]
        after = query.get("afterRev", "")
        newest = sorted((key, record) for key, record in self.newest_records(topic).items() if key > after)
        page = newest[:self.page_size]
        while len(page) > 1 and sum(len(key) + len(text) for key, (_, text) in page) > self.limits.page_bytes:
            page.pop()
        items = [{"key": key, "value": base64.b64encode(text).decode(), "offset": offset} for key, (offset, text) in page]
        answer = {"items": items, "hasMore": len(newest) > len(page), "end": len(self.topics.get(topic, []))}
        self.reply(handler, 200, json.dumps(answer).encode())

    def answer_read(self, handler, query):
        topic, start, era = query["topic"], int(query["from"]), self.era
        if not has_keys(topic) and topic not in self.topics:
            self.reply(handler, 404, b"")
            return
        records = self.topics.setdefault(topic, [])
        if start > len(records) and self.rejects_reads_beyond_end:
            self.reply(handler, 410, json.dumps({"first": self.first.get(topic, 0)}).encode())
            return
        self.changed.wait_for(lambda: len(records) > start or self.mode != "up" or self.era != era or self.first.get(topic, 0) > start, min(int(query.get("waitMs", 0)), self.limits.wait_ms) / 1000)
        if self.mode != "up" or self.era != era:
            handler.close_connection = True
            return
        first = self.first.get(topic, 0)
        if start < first:
            self.reply(handler, 410, json.dumps({"first": first}).encode())
            return
        max_bytes = min(int(query.get("maxKb", self.limits.read_kb)), self.limits.read_kb) * 1024
        body = b""
        for key, text in records[start:]:
            record = bytes([len(key.encode())]) + key.encode() + text if has_keys(topic) and key is not None else text
            if body and len(body) + 4 + len(record) > max_bytes:
                break
            body += struct.pack(">I", len(record)) + record
        self.reply(handler, 200, struct.pack(">QQ", len(records), first) + body)

    def answer_append(self, handler, query, body):
        if query["topic"] in self.limits.read_only_topics:
            self.reply(handler, 403, b"")
            return
        if any(len(record) > self.limits.record_bytes for record in split_records(body)):
            self.reply(handler, 413, b"")
            return
        fault = self.append_faults.choose(query["topic"])
        if fault == "late":
            delay = self.append_faults.randomness.uniform(0, self.append_faults.max_delay)
            threading.Timer(delay, self.append_late, (handler.server, query, body)).start()
        else:
            status, answer = self.append(handler.server, query, body)
        if fault:
            handler.close_connection = True
            return
        self.reply(handler, status, json.dumps(answer).encode())

    def append_late(self, server, query, body):
        with self.changed:
            self.append(server, query, body)

    def append(self, server, query, body):
        """Appends the records if the condition holds. Returns the status and the fields of the answer."""
        topic = query["topic"]
        records = self.topics.setdefault(topic, [])
        if "storeRevision" in query and int(query["storeRevision"]) != len(records):
            return 412, {"end": len(records)}
        offset = len(records)
        for record in split_records(body):
            key, text = "", record
            if has_keys(topic):
                key_size = record[0]
                key, text = record[1:1 + key_size].decode(), record[1 + key_size:]
            records.append((key, text))
            for listener in self.append_listeners:
                listener(Append(server, topic, key, text, len(records) - 1, "storeRevision" in query, time.monotonic()))
        self.changed.notify_all()
        return 200, {"offset": offset, "end": len(records)}

    def reply(self, handler, status, body):
        if self.mode == "lost":
            handler.close_connection = True
            return
        handler.send_response(status)
        handler.send_header("Content-Length", str(len(body)))
        if self.era is not None:
            handler.send_header("Store-Era", str(self.era))
        handler.end_headers()
        handler.wfile.write(body)


class Upstream:
    """A worker of the platform that sends plain answers, or a stream on /stream/ paths.

    fault: None, "refuse" (503, not run), "other-instance" (421 of a process with another id), "fail" (500), "mute" (no answer),
    "cut" (truncated answer), "stall" (a stream stops without an end), "unsigned" (no signature),
    "foreign" (the id of another request), "extra" (bytes after a complete answer), "early" (answers
    before it reads the body), "unframed" (no length), "unframed-reset" (no length, and the connection
    is reset).
    """

    ADDRESS = "127.0.0.1"

    def __init__(self, instance, service, hall="north", slots=8, version="v1"):
        self.instance, self.service, self.hall, self.slots, self.version = instance, service, hall, slots, version
        self.fault = None
        # Faults of the next requests, one each. They take precedence over fault.
        self.next_faults = []
        # With "refuse", the requested back-off in seconds; None to request none.
        self.rest = None
        # The rejections in a second that it announces to bear; None if it is not brittle.
        self.brittle_limit = None
        # Whether its answers announce that it is leaving.
        self.says_leaving = False
        self.requests = []
        self.lock = threading.Lock()
        self.events = 6
        self.event_pause = 0.0
        # Whether it begins each stream at its first event, also for callers that have some events already.
        self.begins_again = False
        self.numbers_events = True
        # The value of the Connection field of its answers.
        self.connection_field = None
        self.stop_after = None
        self.cancelled = 0
        self.connections_open = 0
        self.released = threading.Event()
        self.listener = socket.create_server((self.ADDRESS, 0), backlog=128)
        self.endpoint = "%s:%d" % self.listener.getsockname()
        threading.Thread(target=self.accept, daemon=True).start()

    def record(self, **fields):
        return {"service": self.service, "address": self.endpoint, "zone": self.hall, "version": self.version, "slots": self.slots,
                "state": "ready", "coldLeftMs": 0, "seq": 1, **fields}

    def stop(self):
        self.released.set()
        self.listener.close()

    def runs(self):
        with self.lock:
            return [request for request in self.requests if request["ran"]]

    def accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        with self.lock:
            self.connections_open += 1
        with connection, connection.makefile("rb") as reader:
            try:
                while self.serve_one(connection, reader):
                    pass
            except OSError:
                pass
        with self.lock:
            self.connections_open -= 1

    def read_head(self, reader):
        """Returns none if the connection ends before the head is complete."""
        line = reader.readline().decode()
        if not line.endswith("\n"):
            return None
        method, target, _ = line.split(" ", 2)
        headers = {}
        while (line := reader.readline().decode()).strip():
            if not line.endswith("\n"):
                return None
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        if not line:
            return None
        return {"method": method, "target": target, "headers": headers, "ran": False, "at": time.monotonic()}

    def serve_one(self, connection, reader):
        request = self.read_head(reader)
        if not request:
            return False
        with self.lock:
            self.requests.append(request)
            fault = self.next_faults.pop(0) if self.next_faults else self.fault
            request["says_leaving"] = self.says_leaving
        if fault == "early":
            connection.sendall(self.head(request, 503, 0, "X-Not-Executed: 1\r\n"))
            self.released.wait(0.2)
        request["body"] = reader.read(int(request["headers"].get("content-length", 0)))
        if fault == "early":
            return True
        expected = request["headers"].get("x-expect-instance")
        if fault == "other-instance" or (expected and expected != self.instance):
            own = self.instance if fault != "other-instance" else f"{self.instance}-next"
            connection.sendall(self.misdirected_head(request, own))
            return True
        if fault == "refuse":
            request["rest"] = self.rest
            rest = "" if self.rest is None else f"Retry-After: {self.rest}\r\n"
            connection.sendall(self.head(request, 503, 0, "X-Not-Executed: 1\r\n" + rest))
            return True
        request["ran"] = True
        if fault == "mute":
            self.released.wait()
            return False
        if fault == "fail":
            connection.sendall(self.head(request, 500, 4) + b"oops")
            return True
        if request["target"].startswith("/stream/"):
            return self.stream(connection, request, fault)
        return self.plain(connection, request, fault)

    def head(self, request, status, length, extra=""):
        identifier = request["headers"].get("x-attempt-id", "")
        extra += "Server-Leaving: 1\r\n" if self.says_leaving else ""
        extra += f"Connection: {self.connection_field}\r\n" if self.connection_field else ""
        extra += "" if self.brittle_limit is None else f"Server-Brittle: {self.brittle_limit}\r\n"
        framing = "" if length is None else f"Content-Length: {length}\r\n"
        return (f"HTTP/1.1 {status} X\r\nX-Attempt-Id: {identifier}\r\nX-Response-Signature: by-{self.instance}\r\n"
                f"X-Server-Load: 1,0,{self.slots}\r\n{framing}{extra}\r\n").encode()

    def misdirected_head(self, request, own, extra=""):
        """The answer of the instance `own` to a request that is addressed to another one."""
        identifier = request["headers"].get("x-attempt-id", "")
        return f"HTTP/1.1 421 X\r\nX-Attempt-Id: {identifier}\r\nX-Instance-Id: {own}\r\n{extra}Content-Length: 0\r\n\r\n".encode()

    def plain(self, connection, request, fault):
        body = f"{self.instance} {request['target']} {request['body'].decode(errors='replace')}".encode()
        answer = self.head(request, 200, None if fault in ("unframed", "unframed-reset") else len(body)) + body
        if fault == "unsigned":
            answer = answer.replace(f"X-Response-Signature: by-{self.instance}\r\n".encode(), b"")
        if fault == "foreign":
            answer = answer.replace(request["headers"]["x-attempt-id"].encode(), b"another-id")
        if fault == "cut":
            connection.sendall(answer[:-3])
            return False
        connection.sendall(answer + (answer if fault == "extra" else b""))
        if fault == "unframed-reset":
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            time.sleep(0.05)
        return fault not in ("unframed", "unframed-reset")

    def pause_after_event(self, request):
        if self.event_pause:
            self.released.wait(self.event_pause * request.get("slowdown", 1.0))

    def stream(self, connection, request, fault):
        start = 0 if self.begins_again else int(request["headers"].get("last-event-id", 0))
        connection.sendall(self.head(request, 200, None, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"))
        for number in range(start + 1, self.events + 1):
            field = f"id: {number}\n" if self.numbers_events else ""
            event = f"{field}data: word{number} {request['headers'].get('x-attempt-id')}\n\n".encode()
            if fault == "cut" and number == self.stop_after:
                connection.sendall(b"%x\r\n%s\r\n" % (len(event) // 2, event[:len(event) // 2]))
                return False
            if fault == "stall" and number == self.stop_after:
                self.released.wait()
                return False
            try:
                connection.sendall(b"%x\r\n%s\r\n" % (len(event), event))
            except OSError:
                self.cancelled += 1
                return False
            self.pause_after_event(request)
        connection.sendall(b"0\r\n\r\n")
        return True
