"""Starts the daemon with the command of the deploy file, next to the project's own stand-ins for the
platform's store and the upstreams, and writes the record of a case."""

import http.client
import json
import os
import re
import signal
import socket
import struct
import subprocess
import sys
import threading
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "Tests", "Processes"))

from platform_stand_ins import Server, Store, Upstream  # noqa: E402

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
PATIENCE = 20
HOST = "logbook.example"

# The bounds of the small deployment logbook-nordeste.
BOUNDS = {"bounds.strictRevoke": True, "bounds.revokeMs": 5000, "bounds.drainMs": 2000, "bounds.configApplyMs": 2000, "bounds.graceS": 8,
          "bounds.retryBudgetRatio": 0.2, "bounds.budgetSlack": 54, "bounds.budgetWindowS": 10, "bounds.capFactor": 2, "bounds.contactMs": 3000,
          "provider.readsPerS": 2000, "bootstrap": True}


class CouldNotRun(Exception):
    pass


def fill(template, fields):
    """Fills the gaps of the deploy file's command: {{name}}, {{#name}}..{{/name}} and {{^name}}..{{/name}}."""
    def section(found):
        kind, name, inner = found.groups()
        return inner if bool(fields.get(name)) == (kind == "#") else ""

    text = re.sub(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", section, template)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda found: str(fields[found.group(1)]), text)


def deploy_command(fields):
    with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
        template = tomllib.load(file)["roles"]["entry"]["run"]
    return fill(template, {**BOUNDS, **fields}).split()


class LimitedReadStore(Store):
    """The store of PROTOCOL.md, whose GET /log-read returns at most maxKb (1,024) of records."""

    DEFAULT_MAX_KB = 1024

    def answer_read(self, handler, query):
        topic, start = query["topic"], int(query["from"])
        limit = int(query.get("maxKb", self.DEFAULT_MAX_KB)) * 1024
        records = self.topics.setdefault(topic, [])
        if start < self.first.get(topic, 0) or len(records) <= start:
            return super().answer_read(handler, query)
        body = b""
        for key, text in records[start:]:
            record = bytes([len(key)]) + key.encode() + text
            framed = struct.pack(">I", len(record)) + record
            if body and len(body) + len(framed) > limit:
                break
            body += framed
        return self.reply(handler, 200, struct.pack(">QQ", len(records), self.first.get(topic, 0)) + body)


class CrashingUpstream(Upstream):
    """A worker that can crash, and that can take over the address of one that has."""

    def __init__(self, instance, service, hall="north", endpoint=None):
        self.connections = set()
        self.address = endpoint
        self.is_listening = threading.Event()
        super().__init__(instance, service, hall)
        if endpoint:
            self.is_listening.wait(PATIENCE)

    def accept(self):
        if self.address:
            host, port = self.address.rsplit(":", 1)
            self.listener.close()
            self.listener = socket.create_server((host, int(port)), backlog=128)
            self.endpoint = self.address
            self.is_listening.set()
        super().accept()

    def serve(self, connection):
        with self.lock:
            self.connections.add(connection)
        try:
            super().serve(connection)
        finally:
            with self.lock:
                self.connections.discard(connection)

    def crash(self):
        with self.lock:
            sockets = [self.listener, *self.connections]
        for each in sockets:
            try:
                each.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass  # already closed
        self.listener.close()


class Entry:
    """One daemon, started with the command of the deploy file on free ports."""

    def __init__(self, case, name, hall, store_endpoint):
        command = deploy_command({"node": name, "zone": hall, "listen.front": "127.0.0.1:0", "listen.ready": "127.0.0.1:0", "ip": "127.0.0.1",
                                  "internalPorts.0": 0, "provider.address": store_endpoint})
        if not os.path.exists(os.path.join(ROOT, command[0])):
            raise CouldNotRun(f"{command[0]} is missing; run the build of deploy/system.toml first")
        case.note(f"start {' '.join(command)}")
        self.name = name
        self.lines = []
        self.process = subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE, text=True)
        threading.Thread(target=self.read_log, daemon=True).start()
        case.at_end(self.kill)
        started = case.eventually(lambda: self.find(r"event=started .*listen=(\S+) ready_listen=(\S+)"), f"{name} has started")
        self.endpoint, self.ready_endpoint = started.groups()

    def read_log(self):
        for line in self.process.stdout:
            self.lines.append(line)

    def find(self, pattern):
        return next((found for line in list(self.lines) if (found := re.search(pattern, line))), None)

    def is_ready(self):
        try:
            return request(self.ready_endpoint, "GET", "/readyz")[0] == 200
        except OSError:
            return False

    def kill(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.process.stdout.close()


def request(endpoint, method, path, body=None, headers=(), timeout=PATIENCE):
    """Returns the status, the headers and the body of the answer."""
    host, port = endpoint.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.putrequest(method, path, skip_host=True, skip_accept_encoding=True)
        for name, value in headers:
            connection.putheader(name, value)
        if body is not None:
            connection.putheader("Content-Length", str(len(body)))
        connection.endheaders(body)
        answer = connection.getresponse()
        return answer.status, answer.headers, answer.read()
    finally:
        connection.close()


def route(name, prefix, kind, service, **fields):
    return {"name": name, "host": HOST, "pathPrefix": prefix, "kind": kind, "service": service, "timeoutMs": 2000, "targetLatencyMs": 400,
            "priority": 1, "maxAttempts": 1, "public": False, "sticky": False, "resumable": False, **fields}


class Case:
    """Runs one case: its record, the stand-ins and the daemons, which are all ended when it is over."""

    def __init__(self, record_path):
        self.record = open(record_path, "w", encoding="utf-8")
        self.started_at = time.monotonic()
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.cleanups = []

    def note(self, text):
        self.record.write(f"{time.monotonic() - self.started_at:8.3f} s  {text}\n")
        self.record.flush()

    def at_end(self, cleanup):
        self.cleanups.append(cleanup)

    def eventually(self, condition, what, patience=PATIENCE):
        end = time.monotonic() + patience
        while time.monotonic() < end:
            value = condition()
            if value:
                return value
            time.sleep(0.01)
        raise CouldNotRun(f"timed out waiting until {what}")

    def store(self):
        store = LimitedReadStore()
        self.at_end(store.stop)
        return store

    def upstream(self, store, instance, service, hall="north", **fields):
        upstream = Upstream(instance, service, hall)
        self.at_end(upstream.stop)
        store.put("keyed.servers", instance, upstream.record(**fields))
        return upstream


def stop_case(number, frame):
    raise CouldNotRun(f"ended by signal {number}")


def run_case(record_path, body):
    """Calls body(case), which returns a list of violations, and exits with the status of the case."""
    case = Case(record_path)
    signal.signal(signal.SIGTERM, stop_case)
    signal.signal(signal.SIGINT, stop_case)
    try:
        violations = body(case)
        for violation in violations:
            case.note(f"VIOLATION {violation}")
        status = BROKEN if violations else HELD
    except Exception as error:  # an error of the case itself says nothing about the rule
        case.note(f"could not run: {error!r}")
        status = COULD_NOT_RUN
    for cleanup in reversed(case.cleanups):
        cleanup()
    case.note({HELD: "the rule held", BROKEN: "the rule was broken", COULD_NOT_RUN: "the case could not run"}[status])
    case.record.close()
    os._exit(status)
