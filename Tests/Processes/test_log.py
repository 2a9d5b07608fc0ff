"""The log of a daemon explains what it did, even if its output is not read for a while."""

import subprocess
import threading
import time
import unittest

from fleet import eventually
from test_platform import HOST, KEY, PROGRAM, manifest, request
from platform_stand_ins import Store, Upstream

# Produces more log lines than the output pipe buffers.
CALLS = 600


class UnreadLog(unittest.TestCase):
    def setUp(self):
        self.store = Store()
        self.addCleanup(self.store.stop)
        self.upstream = Upstream("book-1", "book")
        self.addCleanup(self.upstream.stop)
        self.store.put("keyed.servers", "book-1", self.upstream.record())
        self.store.put("keyed.op", "config", manifest(3))
        self.process = subprocess.Popen(
            [PROGRAM, "--name", "entry-1", "--hall", "north", "--listen", "127.0.0.1:0", "--ready-listen", "127.0.0.1:0", "--peer-listen", "127.0.0.1:0",
             "--store", self.store.endpoint], stdout=subprocess.PIPE, text=True)
        self.addCleanup(self.stop)
        started = next(line for line in self.process.stdout if "event=started" in line)
        fields = dict(field.split("=", 1) for field in started.split() if "=" in field)
        self.endpoint, self.ready = fields["listen"], fields["ready_listen"]
        eventually(lambda: request(self.ready, "GET", "/readyz").status == 200, "ready")

    def stop(self):
        self.process.kill()
        self.process.wait()
        self.process.stdout.close()

    def version_in_force(self):
        metrics = request(self.ready, "GET", "/metrics").body
        return next((line.split()[1] for line in metrics.splitlines() if line.startswith("stagepost_settings_version ")), None)

    def test_a_configuration_change_is_logged_while_the_output_is_not_read(self):
        for number in range(CALLS):
            request(self.endpoint, "GET", "/lookup/x", None, {"Host": HOST, "X-Attempt-Id": f"attempt-{number}", "X-Api-Key": KEY})
        self.store.put("keyed.op", "config", manifest(9))
        eventually(lambda: self.version_in_force() in ("9", "9.0", "9.000000"), "version 9 is in force")
        lines = []
        threading.Thread(target=lambda: lines.extend(iter(self.process.stdout.readline, "")), daemon=True).start()
        eventually(lambda: any("event=settings-in-force version=9 " in line for line in lines), "the line of version 9")
        eventually(lambda: any("event=log-left-out" in line for line in lines), "the number of dropped lines")
        self.assertLess(sum("event=request" in line for line in lines), CALLS)


if __name__ == "__main__":
    unittest.main()
