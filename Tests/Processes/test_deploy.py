"""The flags that the deploy file gives the daemon, for what a deployment may set."""

import json
import os
import re
import subprocess
import tomllib
import unittest

from fleet import BUILD, PATIENCE

PROGRAM = f"{BUILD}/platform/stagepostd-platform"
DEPLOY = os.path.join(os.path.dirname(__file__), "..", "..", "deploy", "system.toml")

# What a process's settings hold, as far as the deploy file uses it.
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


def is_given(settings, name):
    """Whether there is such a value and it is not false: one that a deployment lacks is none."""
    try:
        return bool(value_of(settings, name))
    except KeyError:
        return False


def fill(text, settings):
    """Fills the gaps as the platform does: sections for what is given or not, and values."""
    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", lambda gap: gap[2] if is_given(settings, gap[1]) else "", text)
    text = re.sub(r"\{\{\^([\w.]+)\}\}(.*?)\{\{/\1\}\}", lambda gap: "" if is_given(settings, gap[1]) else gap[2], text)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda gap: json.dumps(value_of(settings, gap[1])).strip('"'), text)


def flags_for(**bounds):
    with open(DEPLOY, "rb") as file:
        run = tomllib.load(file)["roles"]["entry"]["run"]
    words = fill(run, {**SETTINGS, "bounds": {**SETTINGS["bounds"], **bounds}}).split()[1:]
    return dict(zip(words[::2], words[1::2]))


class DeployFile(unittest.TestCase):
    def test_keys_have_a_bound_where_the_deployment_asks_for_one(self):
        self.assertEqual(flags_for(strictRevoke=True)["--key-bound-ms"], "5000")

    def test_keys_have_no_bound_where_the_deployment_does_not_ask_for_one(self):
        self.assertEqual(flags_for(strictRevoke=False)["--key-bound-ms"], "0")

    def test_both_bounds_on_news_are_given(self):
        flags = flags_for(drainMs=3000, configApplyMs=700)
        self.assertEqual((flags["--leave-bound-ms"], flags["--config-bound-ms"]), ("3000", "700"))

    def test_emptied_halls_and_cold_upstreams_have_bounds_where_a_deployment_gives_them(self):
        given = flags_for(evacuateMs=5000, coldOvershoot=1.5, coldSlack=5)
        self.assertEqual((given["--empty-hall-bound-ms"], given["--cold-overshoot"], given["--cold-slack"]), ("5000", "1.5", "5"))
        absent = flags_for()
        self.assertEqual((absent["--empty-hall-bound-ms"], absent["--cold-overshoot"], absent["--cold-slack"]), ("0", "1", "0"))

    def test_the_daemon_takes_the_flags(self):
        for is_strict in (True, False):
            words = [word for pair in flags_for(strictRevoke=is_strict).items() for word in pair]
            # Without the wrong flag it would start and stay.
            refused = subprocess.run([PROGRAM, *words, "--log-level", "none"], capture_output=True, text=True, timeout=PATIENCE)
            self.assertEqual(refused.returncode, 2)
            self.assertIn("--log-level = 'none'", refused.stderr)


if __name__ == "__main__":
    unittest.main()
