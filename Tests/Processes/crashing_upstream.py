"""An upstream that ends when it begins to run a certain request, and starts again."""

import socket
import threading
import time

from platform_stand_ins import Upstream

# In the body of a request that ends whoever runs it.
CRASH = b"ends-whoever-runs-it"


class CrashingUpstream(Upstream):
    """Ends some moments after it begins a request with CRASH in its body: its connections and its
    port close. After a pause it starts again at the same address, every other time under a new name.
    """

    RUNS_FOR = 0.03  # s, until it ends
    PAUSE = 0.8  # s, until it starts again

    def __init__(self, instance, service, store, hall="north"):
        self.name = instance
        self.store = store
        self.connections = set()
        # When each life ended.
        self.ends = []
        # When requests with CRASH arrived.
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
        return self.ends_under(request) or super().plain(connection, request, fault)

    def stream(self, connection, request, fault):
        return self.ends_under(request) or super().stream(connection, request, fault)

    def ends_under(self, request):
        if CRASH not in request["body"]:
            return False
        with self.lock:
            self.crash_arrivals.append(time.monotonic())
            lives_before = len(self.ends)
        time.sleep(self.RUNS_FOR)
        self.end(lives_before)
        raise ConnectionError("the process has ended")

    def end(self, lives_before=None):
        """Ends this life, unless it has ended already."""
        with self.lock:
            if self.released.is_set() or (lives_before is not None and len(self.ends) != lives_before):
                return
            self.ends.append(time.monotonic())
            # A blocked accept would keep the port open.
            self.listener.shutdown(socket.SHUT_RDWR)
            self.listener.close()
            for connection in self.connections:
                try:
                    connection.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass
        threading.Timer(self.PAUSE, self.start_again).start()

    def start_again(self):
        with self.lock:
            if self.released.is_set():
                return
            self.listener = socket.create_server(("127.0.0.1", self.port))
            self.born += 1000 * len(self.ends)
            before = self.instance
            if len(self.ends) % 2:
                self.instance = f"{self.name}-{len(self.ends)}"
        threading.Thread(target=self.accept, daemon=True).start()
        if self.instance != before:
            self.store.put("keyed.servers", before, None)
        self.store.put("keyed.servers", self.instance, self.record(born=self.born))

    def stop(self):
        with self.lock:
            self.released.set()
        super().stop()
