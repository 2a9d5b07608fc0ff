"""Starts daemons and stand-ins on loopback for the failure tests.

All ports are free ones, started processes are stopped by their process id, and tests wait for
conditions instead of fixed times.
"""

import http.client
import json
import os
import re
import signal
import socket
import subprocess
import threading
import time
import unittest
import weakref

BUILD = os.environ.get("STAGEPOST_BUILD", "Build")
DAEMON = f"{BUILD}/Services/stagepostd/stagepostd"
CTL = f"{BUILD}/Utilities/stagepostctl/stagepostctl"
STAND_IN = f"{BUILD}/Tests/StandIns/stagepost-stand-in"
KEY = "a-key-for-the-tests"
OPERATOR_TOKEN = "an-operator-token"
TOKEN = "a-caller-token"
PATIENCE = 30

SETTINGS = """
[fleet]
{fleet}
[organisations.club]
token_hashes = ["{token}"]
{organisation}
[pools.assistant]
models = ["small"]
{pool}
[services.book]
{service}
"""


def eventually(condition, what):
    """Waits until the condition holds and returns its value."""
    end = time.monotonic() + PATIENCE
    while time.monotonic() < end:
        value = condition()
        if value:
            return value
        time.sleep(0.02)
    raise AssertionError(f"timed out waiting for: {what}")


class StandIn:
    def __init__(self, role, *arguments):
        self.process = subprocess.Popen([STAND_IN, role, "127.0.0.1:0", *map(str, arguments)], stdout=subprocess.PIPE, text=True)
        self.endpoint = self.process.stdout.readline().strip()

    def post(self, path, body):
        return request(self.endpoint, "POST", path, json.dumps(body))

    def get(self, path):
        return json.loads(request(self.endpoint, "GET", path).body)

    def faults(self, **faults):
        self.post("/faults", faults)

    def stop(self):
        self.process.kill()
        self.process.wait()
        self.process.stdout.close()


class Ports:
    """Allocates ports below the kernel's ephemeral range, so that no outgoing connection takes a
    daemon's port while the daemon is down. Nor does a concurrent run: the ports are from a block that
    is reserved by listening at its first port."""

    FIRST, BLOCKS, BLOCK_SIZE = 10240, 180, 120

    def __init__(self, seed):
        self.block = seed + os.getpid()
        self.reserve_block()

    def reserve_block(self):
        while True:
            self.block = (self.block + 1) % self.BLOCKS
            first = self.FIRST + self.block * self.BLOCK_SIZE
            try:
                reservation = socket.create_server(("127.0.0.1", first))
            except OSError:
                continue  # another run's block
            weakref.finalize(self, reservation.close)
            self.ports = iter(range(first + 1, first + self.BLOCK_SIZE))
            return

    def take(self):
        while True:
            port = next(self.ports, None)
            if port is None:
                self.reserve_block()
                continue
            try:
                # Daemons use one number for both kinds.
                with socket.create_server(("127.0.0.1", port)), socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagrams:
                    datagrams.bind(("127.0.0.1", port))
                    return f"127.0.0.1:{port}"
            except OSError:
                pass  # in use


class LoggedProcess:
    """A daemon whose log is read while it runs. Its addresses are parsed from the log line of its start."""

    def __init__(self, arguments, started, environment=None):
        self.pattern = re.compile(started)
        self.process = subprocess.Popen(arguments, stdout=subprocess.PIPE, text=True, env=environment)
        self.lines = []
        self.started = threading.Event()
        self.reader = threading.Thread(target=self._read, daemon=True)
        self.reader.start()
        assert self.started.wait(PATIENCE), "the daemon did not start"

    def _read(self):
        for line in self.process.stdout:
            self.lines.append(line)
            found = self.pattern.search(line)
            if found:
                self.addresses = found.groups()
                self.started.set()

    def kill(self):
        self.process.kill()
        self.process.wait()

    def stop(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.kill()
        self.reader.join()
        self.process.stdout.close()


class Daemon(LoggedProcess):
    def __init__(self, fleet, name, hall, extra=(), listen="127.0.0.1:0", peer="127.0.0.1:0", program=DAEMON):
        self.name, self.hall = name, hall
        environment = dict(os.environ, STAGEPOST_KEY=KEY, STAGEPOST_OPERATOR_TOKEN=OPERATOR_TOKEN)
        arguments = [program, "--name", name, "--hall", hall, "--listen", listen, "--peer-listen", peer,
                     "--log", fleet.log.endpoint, "--vm-list", fleet.vms.endpoint, "--drain-grace-ms", "300", *extra]
        super().__init__(arguments, r"event=started .*listen=(\S+) peer_listen=(\S+)", environment)
        self.endpoint, self.peer = self.addresses

    def call(self, method, path, body=None, headers=None, token=TOKEN):
        headers = dict(headers or {})
        if token:
            headers["Authorization"] = f"Bearer {token}"
        return request(self.endpoint, method, path, body, headers)

    def chat(self, text="hello", headers=None, **fields):
        body = {"model": "small", "messages": [{"role": "user", "content": text}], **fields}
        return self.call("POST", "/v1/chat/completions", json.dumps(body), headers)

    def ready(self):
        try:
            return request(self.endpoint, "GET", "/readyz").status == 200
        except OSError:
            return False

    def metric(self, name):
        for line in request(self.endpoint, "GET", "/metrics").body.splitlines():
            key, _, value = line.rpartition(" ")
            if key == name:
                return float(value)
        return 0.0

    def refusals(self, reason):
        return self.metric(f'stagepost_refusals_total{{reason="{reason}"}}')

    def terminate(self):
        self.process.send_signal(signal.SIGTERM)


class Reply:
    def __init__(self, status, headers, body):
        self.status, self.headers, self.body = status, headers, body

    def error(self):
        return json.loads(self.body)["error"]


def request(endpoint, method, path, body=None, headers=None):
    host, port = endpoint.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=PATIENCE)
    try:
        connection.request(method, path, body, headers or {})
        answer = connection.getresponse()
        return Reply(answer.status, answer.headers, answer.read().decode())
    finally:
        connection.close()


def raw(endpoint):
    host, port = endpoint.rsplit(":", 1)
    connection = socket.create_connection((host, int(port)), timeout=PATIENCE)
    return connection


def read_all(connection):
    data = b""
    while True:
        part = connection.recv(65536)
        if not part:
            return data
        data += part


def ctl(fleet, *arguments, stdin="", program=CTL):
    environment = dict(os.environ, STAGEPOST_LOG=fleet.log.endpoint, STAGEPOST_VM_LIST=fleet.vms.endpoint,
                       STAGEPOST_OPERATOR_TOKEN=OPERATOR_TOKEN, USER="tester")
    return subprocess.run([program, *arguments], input=stdin, capture_output=True, text=True, env=environment, timeout=60)


class Fleet(unittest.TestCase):
    """A test with a stand-in log and VM list, and helpers to start daemons and upstreams."""

    def setUp(self):
        self.log = self.stand_in("log")
        self.vms = self.stand_in("vm-list")

    def stand_in(self, role, *arguments):
        stand_in = StandIn(role, *arguments)
        self.addCleanup(stand_in.stop)
        return stand_in

    def daemon(self, name="entry-1", hall="north", extra=(), **addresses):
        daemon = Daemon(self, name, hall, extra, **addresses)
        self.addCleanup(daemon.stop)
        self.list_vm(name=name, hall=hall, role="entry", endpoint=daemon.endpoint, peer=daemon.peer)
        return daemon

    def list_vm(self, state="live", **vm):
        self.vms.post("/v1/vms", [dict(vm, state=state)])

    def engine(self, name="engine-1", hall="north", token_ms=5):
        engine = self.stand_in("engine", name, token_ms)
        self.list_vm(name=name, hall=hall, role="upstream", endpoint=engine.endpoint, serves="pools.assistant")
        return engine

    def service(self, name="book-1", hall="north"):
        service = self.stand_in("service")
        self.list_vm(name=name, hall=hall, role="upstream", endpoint=service.endpoint, serves="services.book")
        return service

    def settings(self, **parts):
        token = ctl(self, "hash-token", stdin=TOKEN).stdout.strip()
        parts = {"fleet": "", "organisation": "", "pool": "", "service": "", **parts}
        return SETTINGS.format(token=token, **parts)

    def publish(self, toml=None, *arguments):
        path = f"/tmp/stagepost-{os.getpid()}-{id(self)}.toml"
        with open(path, "w", encoding="utf-8") as file:
            file.write(toml or self.settings())
        try:
            return ctl(self, "publish", path, *arguments)
        finally:
            os.unlink(path)

    def serve(self, *daemons, upstreams=1):
        """Waits until the daemons are ready and know at least that many upstreams."""
        for daemon in daemons:
            eventually(daemon.ready, f"{daemon.name} ready")
            eventually(lambda daemon=daemon: daemon.metric("stagepost_upstreams") >= upstreams, f"{daemon.name} knows {upstreams} upstreams")
