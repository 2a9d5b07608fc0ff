"""A small deployment on loopback for the scripts of this review.

It starts the daemon with the command of deploy/system.toml, whose gaps are filled from settings like those of a small
deployment. The store is the project's own stand-in. The workers here do what PROTOCOL.md says of sound ones, and a
script gives them faults.
"""

import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(ROOT, "Tests", "Processes"))

from platform_stand_ins import Store  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"

# As in the example of DEPLOY.md and in the bounds of the sites logbook-nordeste and psfcfg.
BOUNDS = {"seedLagS": 3, "addrReuseS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8,
          "lossSlackMs": 200, "configApplyMs": 2000, "backMs": 250, "outerMs": 5000, "strictRevoke": True, "revokeMs": 5000,
          "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 54, "recoveryS": 12, "passMs": 120, "retryAfterS": 10, "capFactor": 2}
LIMITS = {"cpuShare": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0}


class CannotRun(Exception):
    """The case could not run, which says nothing about the rule."""


def look_up(fields, path):
    value = fields
    for part in path.split("."):
        if isinstance(value, list):
            value = value[int(part)] if int(part) < len(value) else None
        else:
            value = value.get(part) if isinstance(value, dict) else None
    return value


def fill(template, fields):
    """Fills the gaps of a template as DEPLOY.md tells them."""
    block = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.S)

    def choose(found):
        value = look_up(fields, found[2])
        is_given = value is not None and value is not False and value != []
        return found[3] if is_given == (found[1] == "#") else ""

    def show(found):
        value = look_up(fields, found[1])
        return "" if value is None else str(value).lower() if isinstance(value, bool) else str(value)

    while block.search(template):
        template = block.sub(choose, template)
    return re.sub(r"\{\{([\w.]+)\}\}", show, template)


def command(fields):
    with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
        role = tomllib.load(file)["roles"]["entry"]
    return fill(role["run"], fields).split(" ")


def free_port(addresses):
    """Returns a port that is free on all of the addresses, for connections and for datagrams, below the ephemeral ones."""
    for _ in range(200):
        port = random.randrange(11000, 30000)
        held = []
        try:
            for address in addresses:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    each = socket.socket(socket.AF_INET, kind)
                    held.append(each)
                    each.bind((address, port))
            return port
        except OSError:
            continue
        finally:
            for each in held:
                each.close()
    raise CannotRun("no free port")


class Daemon:
    def __init__(self, world, number, zone):
        self.world, self.number, self.zone, self.process = world, number, zone, None
        self.name, self.ip = f"front-{zone}-{number}", f"127.40.{number}.1"
        self.front, self.ready = (self.ip, world.front_port), (self.ip, world.ready_port)

    def start(self, bootstrap):
        fields = {"node": self.name, "zone": self.zone, "ip": self.ip, "bootstrap": bootstrap, "bounds": BOUNDS, "limits": LIMITS,
                  "listen": {"front": "%s:%d" % self.front, "ready": "%s:%d" % self.ready},
                  "internalPorts": [self.world.peer_port, self.world.peer_port + 15],
                  "provider": {"address": self.world.store.endpoint, "readsPerS": 2000, "writesPerS": 400}}
        log = open(os.path.join(self.world.folder, self.name + ".log"), "ab")
        with log:
            environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
            self.process = subprocess.Popen(command(fields), cwd=ROOT, stdout=log, stderr=log, env=environment)

    def is_ready(self):
        try:
            return http(self.ready, "GET", "/readyz", {}, timeout=1).status == 200
        except (OSError, EOFError):
            return False

    def metric(self, name):
        for line in http(self.ready, "GET", "/metrics", {}, timeout=2).body.decode().splitlines():
            key, _, value = line.rpartition(" ")
            if key == name:
                return float(value)
        return 0.0

    def log(self):
        with open(os.path.join(self.world.folder, self.name + ".log"), errors="replace") as file:
            return file.read().splitlines()

    def signal(self, number):
        self.process.send_signal(number)

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process:
            self.process.wait()


class Answer:
    def __init__(self, status, headers, body, is_whole):
        self.status, self.headers, self.body, self.is_whole = status, headers, body, is_whole


def read_answer(reader, method="GET"):
    line = reader.readline().decode("latin-1")
    if not line.endswith("\n"):
        raise EOFError("no answer")
    status, headers = int(line.split(" ")[1]), {}
    while (line := reader.readline().decode("latin-1")).strip():
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    if method == "HEAD" or status in (204, 304):
        return Answer(status, headers, b"", True)
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = reader.readline()
            if not size.strip():
                return Answer(status, headers, body, False)
            part = reader.read(int(size, 16))
            body += part
            if len(part) < int(size, 16) or not reader.readline().endswith(b"\n"):
                return Answer(status, headers, body, False)
            if not part:
                return Answer(status, headers, body, True)
    if "content-length" in headers:
        length = int(headers["content-length"])
        body = reader.read(length)
        return Answer(status, headers, body, len(body) == length)
    return Answer(status, headers, reader.read(), True)


def http(address, method, target, headers, body=b"", timeout=15):
    """One request on a channel of its own."""
    with socket.create_connection(address, timeout=timeout) as connection:
        connection.sendall(request_bytes(method, target, headers, body))
        with connection.makefile("rb") as reader:
            return read_answer(reader, method)


def request_bytes(method, target, headers, body=b""):
    fields = {"Host": HOST, **headers}
    if body or method in ("POST", "PUT"):
        fields["Content-Length"] = len(body)
    return (f"{method} {target} HTTP/1.1\r\n" + "".join(f"{name}: {value}\r\n" for name, value in fields.items()) + "\r\n").encode() + body


class Record:
    """What was sent, answered and run, written to a file."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.lock, self.begin = threading.Lock(), time.monotonic()

    def add(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.begin:8.3f} {text}\n")
            self.file.flush()


class Worker:
    """A sound worker: runs `slots` requests at once, queues some, and refuses the others and those of other instances."""

    QUEUE = 24

    def __init__(self, world, service, zone, slots=6, work_s=0.015, address=("127.0.0.1", 0)):
        self.world, self.service, self.zone, self.slots, self.work_s = world, service, zone, slots, work_s
        self.instance = "i-%08x" % random.getrandbits(32)
        self.lock, self.free = threading.Lock(), threading.Semaphore(slots)
        self.waiting, self.running, self.is_down, self.connections = 0, 0, False, set()
        self.listener = socket.create_server(address, backlog=128)
        self.address = self.listener.getsockname()
        threading.Thread(target=self.accept, daemon=True).start()

    def register(self, state="ready"):
        self.world.store.put("keyed.servers", self.instance, {
            "service": self.service, "address": "%s:%d" % self.address, "zone": self.zone, "version": "v1", "slots": self.slots, "state": state, "coldLeftMs": 0, "seq": 1})

    def unregister(self):
        self.world.store.put("keyed.servers", self.instance, None)

    def crash(self):
        """The process ends: it answers nothing more, and its port and all its channels are closed."""
        with self.lock:
            self.is_down = True
            connections = list(self.connections)
        close(self.listener)
        for connection in connections:
            close(connection)

    def accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            with self.lock:
                if self.is_down:
                    close(connection)
                    return
                self.connections.add(connection)
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        try:
            with connection.makefile("rb") as reader:
                while request := self.read(reader):
                    self.handle(connection, request)
        except (OSError, ValueError):
            pass
        with self.lock:
            self.connections.discard(connection)
        close(connection)

    def read(self, reader):
        line = reader.readline().decode("latin-1")
        if not line.strip():
            return None
        method, target, _ = line.split(" ", 2)
        headers = {}
        while (line := reader.readline().decode("latin-1")).strip():
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while size := int(reader.readline().split(b";")[0], 16):
                body += reader.read(size)
                reader.readline()
            reader.readline()
        else:
            length = int(headers.get("content-length", 0))
            body = reader.read(length)
            if len(body) < length:
                return None
        return {"method": method, "target": target, "headers": headers, "id": headers.get("x-attempt-id", ""), "body": body}

    def handle(self, connection, request):
        if request["target"] == "/healthz":
            return self.answer(connection, request, 200, b"")
        expected = request["headers"].get("x-expect-instance")
        if expected and expected != self.instance:
            return self.answer(connection, request, 421, b"", "X-Not-Executed: 1\r\n", is_signed=False)
        if not request["id"]:
            return self.answer(connection, request, 400, b"", "X-Not-Executed: 1\r\n", is_signed=False)
        with self.lock:
            is_full = self.waiting >= self.QUEUE
            self.waiting += not is_full
        if is_full:
            return self.answer(connection, request, 503, b"", "X-Not-Executed: 1\r\n", is_signed=False)
        with self.free:
            with self.lock:
                self.waiting -= 1
                if self.is_down:
                    return None
                self.running += 1
            self.world.ran(self, request)
            try:
                self.run(connection, request)
            finally:
                with self.lock:
                    self.running -= 1
        return None

    def run(self, connection, request):
        time.sleep(self.work_s)
        if not self.is_down:
            self.answer(connection, request, 200, self.body_of(request))

    @staticmethod
    def body_of(request):
        return f"answer to {request['id']}".encode()

    def answer(self, connection, request, status, body, extra="", is_signed=True):
        signature = f"X-Response-Signature: {self.instance}.{request['id']}\r\n" if is_signed else ""
        head = f"HTTP/1.1 {status} X\r\nX-Attempt-Id: {request['id']}\r\nX-Instance-Id: {self.instance}\r\n{signature}{extra}Content-Length: {len(body)}\r\n\r\n"
        connection.sendall(head.encode() + body)


class StreamWorker(Worker):
    """Answers with a stream of `events` numbered events, one each `gap_s`."""

    def __init__(self, *arguments, events=20, gap_s=0.1, **options):
        self.events, self.gap_s = events, gap_s
        super().__init__(*arguments, **options)

    def run(self, connection, request):
        connection.sendall((f"HTTP/1.1 200 X\r\nX-Attempt-Id: {request['id']}\r\nX-Instance-Id: {self.instance}\r\nX-Response-Signature: {self.instance}.{request['id']}\r\n"
                            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n").encode())
        for number in range(int(request["headers"].get("last-event-id", 0)) + 1, self.events + 1):
            time.sleep(self.gap_s)
            if self.is_down:
                return
            event = self.event(number)
            connection.sendall(b"%x\r\n%s\r\n" % (len(event), event))
        connection.sendall(b"0\r\n\r\n")

    @staticmethod
    def event(number):
        return f"id: {number}\ndata: word{number}\n\n".encode()

    def whole(self):
        return b"".join(self.event(number) for number in range(1, self.events + 1))


def close(connection):
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
    connection.close()


def route(name, prefix, kind, service, **fields):
    return {"name": name, "host": HOST, "pathPrefix": prefix, "kind": kind, "service": service, "timeoutMs": 3000, "targetLatencyMs": 100,
            "priority": 2, "maxAttempts": 2 if kind == "safe" else 1, "public": False, "sticky": False, "resumable": False, **fields}


class World:
    def __init__(self, record, zones=("boa-viagem", "santo-amaro", "jaboatao"), daemons=(1, 1, 1)):
        """daemons: how many of them each zone has."""
        self.record, self.zones = Record(record), zones
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store, self.workers, self.runs, self.lock = Store(), [], [], threading.Lock()
        zone_of = [zone for zone, count in zip(zones, daemons) for _ in range(count)]
        addresses = [f"127.40.{number}.1" for number in range(1, len(zone_of) + 1)]
        self.front_port, self.ready_port = free_port(addresses), free_port(addresses)
        self.peer_port = free_port(addresses)
        self.daemons = [Daemon(self, number, zone) for number, zone in enumerate(zone_of, 1)]
        self.attempts = 0

    def ran(self, worker, request):
        with self.lock:
            self.runs.append({"worker": worker, "at": time.monotonic(), **request})
        self.record.add(f"run      {request['id']} {request['method']} {request['target']} body of {len(request['body'])} B at {worker.instance} ({worker.service}) for tenant {request['headers'].get('x-tenant', '-')}")

    def runs_of(self, identifier):
        with self.lock:
            return [run for run in self.runs if run["id"] == identifier]

    def next_id(self):
        with self.lock:
            self.attempts += 1
            return f"{self.attempts:08x}{random.getrandbits(32):08x}"

    def worker(self, service, zone, kind=Worker, **options):
        worker = kind(self, service, zone, **options)
        self.workers.append(worker)
        worker.register()
        return worker

    def put_manifest(self, routes, services, version=3, **fields):
        self.store.put("keyed.op", "config", {
            "version": version, "routes": routes, "services": [{"name": name, "healthPath": "/healthz", "maxConns": 100} for name in services],
            "limits": {"maxHeaderBytes": 8192, "maxBodyBytes": 100000, "headerTimeoutMs": 5000, "idleTimeoutMs": 20000},
            "tenants": [{"name": TENANT, "apiKeys": [KEY]}], **fields})

    def start(self, lead_s=10.0):
        """Starts all daemons, and waits for the time before traffic of the sites."""
        program = os.path.join(ROOT, command({})[0])
        if not os.path.exists(program):
            raise CannotRun("the daemon is not built")
        begin = time.monotonic()
        for daemon in self.daemons:
            daemon.start(True)
        self.wait(lambda: all(daemon.is_ready() for daemon in self.daemons), 30, "all daemons are ready")
        time.sleep(max(0.0, begin + lead_s - time.monotonic()))
        self.record.add(f"start    {len(self.daemons)} daemons are ready, {len(self.workers)} workers are listed")

    @staticmethod
    def wait(condition, limit_s, what):
        end = time.monotonic() + limit_s
        while not condition():
            if time.monotonic() > end:
                raise CannotRun("waited in vain until " + what)
            time.sleep(0.02)

    def headers(self, identifier, deadline_ms=1000, **more):
        return {"X-Attempt-Id": identifier, "X-Deadline-Ms": deadline_ms, "X-Api-Key": KEY, **{name.replace("_", "-"): value for name, value in more.items()}}

    def call(self, daemon, method, target, body=b"", deadline_ms=1000, **more):
        """A requester's attempt on a channel of its own. Returns its id and the answer, which is None without a whole one."""
        identifier = self.next_id()
        self.record.add(f"send     {identifier} {method} {target} to {daemon.name}")
        try:
            answer = http(daemon.front, method, target, self.headers(identifier, deadline_ms, **more), body, timeout=deadline_ms / 1000)
            text = f"{answer.status}{'' if answer.is_whole else ', cut'}"
        except (OSError, EOFError, ValueError) as failure:
            answer, text = None, f"none: {failure}"
        self.record.add(f"answer   {identifier} {text}")
        return identifier, answer

    def stop(self):
        for daemon in self.daemons:
            daemon.end()
        for worker in self.workers:
            worker.crash()
        self.store.stop()


def play(case, record, **options):
    """Runs the case and exits as the review asks: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    world = None
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    code = 2
    try:
        world = World(os.path.abspath(record), **options)
        broken = case(world)
        code = 1 if broken else 0
        world.record.add(f"verdict  {'BROKEN: ' + broken if broken else 'the rule held'}")
        print(f"{'broken: ' + broken if broken else 'held'} (TROUBLE={int(TROUBLE)})")
    except (CannotRun, OSError) as failure:
        code = 2
        print(f"could not run: {failure}")
        if world:
            world.record.add(f"verdict  the case could not run: {failure}")
    finally:
        if world:
            world.stop()
    sys.stdout.flush()
    os._exit(code)
