"""Suspends a daemon's VM: its process stops, and its steady clock leaves the time out."""

import mmap
import os
import signal
import struct
import tempfile
import time

from fleet import BUILD
from test_platform import Entry

SHIM = f"{BUILD}/Tests/StandIns/libstagepost-suspension-shim.so"


class SuspendedTime:
    """How much of the time that passed a daemon's steady clock does not count."""

    def __init__(self):
        self.file = tempfile.NamedTemporaryFile()
        self.file.write(bytes(8))
        self.file.flush()
        self.memory = mmap.mmap(self.file.fileno(), 8)
        self.seconds = 0.0
        self.environment = dict(os.environ, LD_PRELOAD=SHIM, STAGEPOST_SUSPENDED_TIME_FILE=self.file.name)

    def add(self, seconds):
        self.seconds += seconds
        self.memory[:8] = struct.pack("<q", int(self.seconds * 1e9))

    def close(self):
        self.memory.close()
        self.file.close()


class SuspendableEntry(Entry):
    def __init__(self, store, *extra):
        self.suspended_time = SuspendedTime()
        super().__init__(store, *extra, environment=self.suspended_time.environment)

    def freeze(self, seconds, meanwhile=lambda: None):
        """The process stands still; its clocks go on."""
        self.process.send_signal(signal.SIGSTOP)
        began = time.monotonic()
        meanwhile()
        time.sleep(max(0.0, seconds - (time.monotonic() - began)))
        self.process.send_signal(signal.SIGCONT)

    def suspend(self, seconds, meanwhile=lambda: None):
        """The VM stands still, and its steady clock with it."""
        began = time.monotonic()

        def leave_out():
            meanwhile()
            time.sleep(max(0.0, seconds - (time.monotonic() - began)))
            self.suspended_time.add(time.monotonic() - began)

        self.freeze(seconds, leave_out)

    def stop(self):
        super().stop()
        self.suspended_time.close()
