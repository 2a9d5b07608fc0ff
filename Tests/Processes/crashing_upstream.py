"""An upstream that crashes when it runs a request with a marker in its body, and restarts."""

import socket
import threading
import time

from platform_stand_ins import Upstream

# Marks a request that crashes the upstream that runs it.
CRASH = b"ends-whoever-runs-it"


class CrashingUpstream(Upstream):
    """Crashes shortly after it starts to run a request with CRASH in its body: closes its connections
    and its port. After a delay it restarts at the same address, every other time under a new name.
    """

    CRASH_DELAY_S = 0.03  # From the start of the request
    RESTART_DELAY_S = 0.8

    def __init__(self, instance, service, store, hall="north"):
        self.name = instance
        self.store = store
        self.connections = set()
        # The time of each crash.
        self.crash_times = []
        # The arrival times of requests with CRASH.
        self.crash_arrivals = []
        super().__init__(instance, service, hall)
        self.port = self.listener.getsockname()[1]
        self.born = 1764000000000
        self.store.put("keyed.servers", self.instance, self.record(born=self.born))

    def serve(self, connection):
        with self.lock:
            self.connections.add(connection)
        super().serve(connection)
        with self.lock:
            self.connections.discard(connection)

    def plain(self, connection, request, fault):
        return self.crash_on_marker(request) or super().plain(connection, request, fault)

    def stream(self, connection, request, fault):
        return self.crash_on_marker(request) or super().stream(connection, request, fault)

    def crash_on_marker(self, request):
        if CRASH not in request["body"]:
            return False
        with self.lock:
            self.crash_arrivals.append(time.monotonic())
            crashes_before = len(self.crash_times)
        time.sleep(self.CRASH_DELAY_S)
        self.crash(crashes_before)
        raise ConnectionError("the upstream has crashed")

    def crash(self, crashes_before=None):
        """Crashes, unless it is down, or has crashed since crashes_before was read."""
        with self.lock:
            if self.released.is_set() or (crashes_before is not None and len(self.crash_times) != crashes_before):
                return
            self.crash_times.append(time.monotonic())
            # A blocked accept() would keep the port open.
            self.listener.shutdown(socket.SHUT_RDWR)
            self.listener.close()
            for connection in self.connections:
                try:
                    connection.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass
        threading.Timer(self.RESTART_DELAY_S, self.restart).start()

    def restart(self):
        with self.lock:
            if self.released.is_set():
                return
            self.listener = socket.create_server(("127.0.0.1", self.port))
            self.born += 1000 * len(self.crash_times)
            before = self.instance
            self.instance = self.name_after_restart()
        threading.Thread(target=self.accept, daemon=True).start()
        if self.instance != before:
            self.store.put("keyed.servers", before, None)
        self.store.put("keyed.servers", self.instance, self.record(born=self.born))

    def name_after_restart(self):
        return f"{self.name}-{len(self.crash_times)}" if len(self.crash_times) % 2 else self.instance

    def stop(self):
        with self.lock:
            self.released.set()
        super().stop()
