"""The daemon flags that the deploy file generates from the settings of a deployment."""

import json
import os
import re
import subprocess
import tomllib
import unittest

from fleet import BUILD, PATIENCE

PROGRAM = f"{BUILD}/platform/stagepostd-platform"
DEPLOY = os.path.join(os.path.dirname(__file__), "..", "..", "deploy", "system.toml")

# The settings of a process that the deploy file uses.
SETTINGS = {
    "node": "front-1", "zone": "north", "ip": "127.0.0.1", "internalPorts": [0, 0],
    "listen": {"front": "127.0.0.1:0", "ready": "127.0.0.1:0"},
    "provider": {"address": "127.0.0.1:1", "readsPerS": 2000},
    "bounds": {"strictRevoke": True, "revokeMs": 5000, "drainMs": 2000, "graceS": 8, "retryBudgetRatio": 0.2,
               "budgetSlack": 54, "budgetWindowS": 10, "capFactor": 2, "configApplyMs": 2000},
    "faultTolerance": {"machines": 1, "zones": 1, "regions": 0},
}


def value_of(settings, name):
    value = settings
    for part in name.split("."):
        value = value[int(part)] if isinstance(value, list) else value[part]
    return value


def is_set(settings, name):
    """Returns whether the value is set and not false. A deployment may omit any value."""
    try:
        return bool(value_of(settings, name))
    except KeyError:
        return False


def expand(text, settings):
    """Expands the template as the platform does: sections, inverted sections and values."""
    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", lambda match: match[2] if is_set(settings, match[1]) else "", text)
    text = re.sub(r"\{\{\^([\w.]+)\}\}(.*?)\{\{/\1\}\}", lambda match: "" if is_set(settings, match[1]) else match[2], text)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: json.dumps(value_of(settings, match[1])).strip('"'), text)


def flags_for(limits=None, **bounds):
    with open(DEPLOY, "rb") as file:
        run = tomllib.load(file)["roles"]["entry"]["run"]
    words = expand(run, {**SETTINGS, "limits": limits or {}, "bounds": {**SETTINGS["bounds"], **bounds}}).split()[1:]
    return dict(zip(words[::2], words[1::2]))


class DeployFile(unittest.TestCase):
    def test_clients_may_take_a_part_of_what_the_process_may_use(self):
        flags = flags_for(limits={"memoryMb": 260, "maxFds": 4100})
        self.assertEqual((flags["--machine-memory-mb"], flags["--descriptors"]), ("260", "4100"))

    def test_without_limits_the_process_measures_its_machine(self):
        self.assertEqual((flags_for()["--machine-memory-mb"], flags_for()["--descriptors"]), ("0", "0"))

    def test_the_key_bound_is_set_if_the_deployment_requires_it(self):
        self.assertEqual(flags_for(strictRevoke=True)["--key-bound-ms"], "5000")

    def test_the_key_bound_is_off_if_the_deployment_does_not_require_it(self):
        self.assertEqual(flags_for(strictRevoke=False)["--key-bound-ms"], "0")

    def test_the_bounds_for_leaving_upstreams_and_configurations_are_set(self):
        flags = flags_for(drainMs=3000, configApplyMs=700)
        self.assertEqual((flags["--leave-bound-ms"], flags["--config-bound-ms"]), ("3000", "700"))

    def test_the_bounds_for_emptied_halls_and_cold_upstreams_are_optional(self):
        given = flags_for(evacuateMs=5000, coldOvershoot=1.5, coldSlack=5)
        self.assertEqual((given["--empty-hall-bound-ms"], given["--cold-overshoot"], given["--cold-slack"]), ("5000", "1.5", "5"))
        absent = flags_for()
        self.assertEqual((absent["--empty-hall-bound-ms"], absent["--cold-overshoot"], absent["--cold-slack"]), ("0", "1", "0"))

    def test_the_bounds_for_rollouts_are_optional(self):
        names = ("--rollout-share", "--rollout-slack", "--rollback-bound-ms")
        given = flags_for(canaryShare=0.1, canarySlack=50, rollbackMs=5000)
        self.assertEqual([given[name] for name in names], ["0.1", "50", "5000"])
        absent = flags_for()
        self.assertEqual([absent[name] for name in names], ["0", "0", "0"])

    def test_the_daemon_accepts_the_flags(self):
        for bounds in ({"strictRevoke": True}, {"strictRevoke": False}, {"canaryShare": 0.1, "canarySlack": 50, "rollbackMs": 5000}):
            words = [word for pair in flags_for(**bounds).items() for word in pair]
            # The invalid log level makes the daemon exit. With valid flags alone it would keep running.
            refused = subprocess.run([PROGRAM, *words, "--log-level", "none"], capture_output=True, text=True, timeout=PATIENCE)
            self.assertEqual(refused.returncode, 2)
            self.assertIn("--log-level = 'none'", refused.stderr)


if __name__ == "__main__":
    unittest.main()
