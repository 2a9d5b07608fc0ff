"""Another writer leaves odd entries in the store: no daemon may end, stop following, or read the store over and over.

Guards against one record that stops a whole fleet: daemons that end each time they read it, or that learn of nothing
after it.
"""

import json
import random
import time
import unittest

from fleet import eventually
from platform_stand_ins import Store, Upstream
from test_platform import HOST, KEY, Entry, manifest, request, route

SEED = 20261205
# The time limit for a change to take effect at all daemons.
BOUND_S = 5
MAX_RECORD_BYTES = 262144
NESTED = b"[" * 100000 + b"]" * 100000
ODD_TEXTS = (b"null", b"true", b"[]", b"{}", b"0", b"-1", b"1.5", b"65536", b"1e19", b"1e300", b"1e400", b"18446744073709551616", b"NaN", b'""', b'"\\u0000"',
             b'"a\\r\\nX-Priority: 0"', b'"\xff"', b'"\\ud800"', b'"0.0.0.0:80"', b'"127.0.0.1:0"', b'"127.0.0.1:65536"', b'"255.255.255.255:80"', b'"224.0.0.1:80"',
             NESTED, b'"' + b"v" * 200000 + b'"')
ORIGINS_TOPIC = "stagepost-stream-origins"
# Nested arrays and objects as the fleet's own messages encode them.
NESTED_MESSAGES = tuple(b"\x01" + level * ((MAX_RECORD_BYTES - 1) // len(level)) for level in (b"\x91", b"\x81\xa1k", b"\x92\x01"))


def configuration(version):
    """With a route to a service that only the upstream of check_followed() serves."""
    sound = manifest(version)
    sound["routes"].append(route("late", "/late/", "safe", "late"))
    sound["services"].append({"name": "late", "healthPath": "/healthz", "maxConns": 100})
    return sound


def mutate(randomness, sound):
    """Returns the record with one field or the text itself changed. Some results are sound."""
    if randomness.random() < 0.25:
        text = bytearray(json.dumps(sound).encode())
        text[randomness.randrange(len(text))] = randomness.randrange(256)
        return bytes(text[:randomness.randrange(1, len(text) + 1)])
    odd, is_repeated = randomness.choice(sorted(sound)), randomness.random() < 0.25
    members = []
    for name, value in sound.items():
        if name != odd or is_repeated:
            members.append(json.dumps(name).encode() + b":" + json.dumps(value).encode())
        if name == odd:
            members.append(json.dumps(name).encode() + b":" + randomness.choice(ODD_TEXTS))
    return b"{" + b",".join(members) + b"}"


class OddEntries(unittest.TestCase):
    def setUp(self):
        self.random = random.Random(SEED)
        self.store = Store()
        self.addCleanup(self.store.stop)
        self.attempts = 0
        self.entries = []
        self.books = [self.upstream(f"book-{number}", "book") for number in (1, 2)]
        self.chat = self.upstream("chat-1", "chat")
        self.store.put("keyed.op", "config", configuration(3))

    def start_all(self, count=2):
        for number in range(count):
            self.start(f"entry-{number}")
        eventually(lambda: all(any(f"event=peers others={count - 1}" in line for line in entry.lines) for entry in self.entries), "all daemons know each other")

    def start(self, name, store=None):
        entry = Entry(store or self.store, "--name", name, "--key-bound-ms", "60000", "--retry-ratio", "2", "--retry-slack", "100000", "--rollout-share", "0.1", "--rollout-slack", "20")
        self.addCleanup(entry.stop)
        eventually(entry.is_ready, "ready")
        self.entries.append(entry)
        return entry

    def upstream(self, instance, service):
        upstream = Upstream(instance, service, slots=64)
        self.addCleanup(upstream.stop)
        self.store.put("keyed.servers", instance, upstream.record())
        return upstream

    def call(self, entry, path="/lookup/x"):
        self.attempts += 1
        return request(entry.endpoint, "GET", path, None, {"Host": HOST, "X-Attempt-Id": f"attempt-{self.attempts}", "X-Deadline-Ms": "1500", "X-Api-Key": KEY})

    def check_alive(self, what):
        self.assertEqual([entry.process.poll() for entry in self.entries], [None] * len(self.entries), what)

    def check_served(self, what):
        self.check_alive(what)
        for entry in self.entries:
            for path in ("/lookup/x", "/stream/again/x"):
                self.assertEqual(self.call(entry, path).status, 200, what)

    def wait_for_answer(self, path, is_expected, what):
        """Requires that each daemon answers calls as expected within the bound."""
        for entry in self.entries:
            end = time.monotonic() + BOUND_S
            while not is_expected(answer := self.call(entry, path)):
                self.assertLess(time.monotonic(), end, f"{what}: {entry.endpoint} answers {answer.status} {answer.body[:40]}")

    def check_followed(self, what):
        """Requires that all daemons learn of a sound upstream that comes after the odd entries."""
        late = self.upstream(f"late-{self.attempts}", "late")
        self.wait_for_answer("/late/x", lambda answer: answer.status == 200 and answer.body.startswith(late.instance + " "), what)
        self.check_served(what)
        self.store.put("keyed.servers", late.instance, None)

    def calls_per_second(self, seconds=2):
        before = len(self.store.calls)
        time.sleep(seconds)
        return (len(self.store.calls) - before) / seconds

    def apply_configuration(self, version):
        self.store.put("keyed.op", "config", configuration(version))
        eventually(lambda: all(f"stagepost_settings_version {version}" in entry.get_ready("/metrics").body for entry in self.entries), "all daemons have the configuration")

    def test_odd_upstreams_stop_nothing(self):
        self.start_all()
        usual = self.calls_per_second()
        for number in range(48):
            text = mutate(self.random, self.chat.record(service="other"))
            self.store.put_raw("keyed.servers", f"odd-{number}", text)
            if number % 8 == 7:
                self.check_followed((number, text[:200]))
        self.assertLess(self.calls_per_second(), 2 * usual + 5)
        self.check_served("after all odd entries")
        lines = [line for entry in self.entries for line in entry.lines]
        # Some daemons learn of the records from others, which pass on none that is odd.
        self.assertTrue(any("event=upstream-rejected" in line for line in lines))
        self.assertLess(max(map(len, lines)), 4200)

    def test_an_odd_entry_replaces_a_sound_one_and_is_replaced(self):
        self.start_all()
        for field, value in (("address", "127.0.0.1:0"), ("slots", 1e300), ("zone", ""), ("version", "a\r\nb"), ("state", None)):
            self.wait_for_answer("/stream/again/x", lambda answer: answer.status == 200, field)
            self.store.put("keyed.servers", self.chat.instance, self.chat.record(**{field: value}))
            self.wait_for_answer("/stream/again/x", lambda answer: answer.status == 503, field)
            self.store.put("keyed.servers", self.chat.instance, self.chat.record())
        self.wait_for_answer("/stream/again/x", lambda answer: answer.status == 200, "sound again")
        self.check_followed("sound again")

    def test_records_without_a_key_stop_nothing(self):
        self.start_all()
        for topic in ("keyed.servers", "keyed.op", "keyed.stagepost"):
            for content in (b"", b"\x09short", b"\xff"):
                self.store.put_without_key(topic, content)
        self.check_followed("records without a key")
        self.apply_configuration(4)
        self.start("entry-late")
        self.check_followed("a daemon that starts later")

    def test_a_daemon_starts_beside_odd_entries(self):
        """Stream origins are read at the start only, so one odd batch ends each daemon that starts."""
        for number in range(20):
            self.store.put_raw("keyed.servers", f"odd-{number}", mutate(self.random, self.chat.record(service="other")))
        for text in (*NESTED_MESSAGES, b"", b"\x01", b"\x02" * 100, b"\x01" + b"\xdd\xff\xff\xff\xff"):
            self.store.put_raw(ORIGINS_TOPIC, "", text)
        for number, topic in enumerate(("keyed.stagepost", "keyed.stagepost-versions", "keyed.status") * 4):
            key = {"keyed.stagepost": f"daemon/odd-{number}", "keyed.status": f"rollout/odd-{number}"}.get(topic, "versions" if number < 6 else f"odd-{number}")
            self.store.put_raw(topic, key, self.random.choice([NESTED, b"{", b'{"position":1e300}', b'{"position":281474976710655,"services":{}}', b'{"hall":"","endpoint":"0.0.0.0:0"}']))
        self.start_all()
        time.sleep(1)
        self.check_followed("started beside odd entries")

    def test_odd_entries_at_the_limits_of_a_page(self):
        """Keys that have a meaning in a URL end a page, and large records fill pages alone."""
        self.store.page_size = 2
        # A daemon that requests a page for ever and keeps all its copies must not use up the machine's memory.
        self.store.limits.reads_per_s = 20
        large = b'"' + b"x" * (MAX_RECORD_BYTES - 100) + b'"'
        for key in ("a&b", "a b", "a%41", "a+b", "a#b", "a\r\nb", "é", "b&afterRev=a", "~", "~~", "\x7f", "k" * 255):
            self.store.put_raw("keyed.servers", key, large)
        self.store.put("keyed.servers", "zz", self.chat.record(service="other"))
        self.start_all(1)
        self.check_followed("keys of any bytes")
        self.assertLess(self.calls_per_second(), 30)

    def test_one_odd_entry_among_thousands(self):
        for number in range(3000):
            self.store.put("keyed.servers", f"other-{number}", {"service": "other", "address": "127.0.0.1:9", "zone": "north", "slots": 1, "state": "ready", "version": "v1"})
        self.store.put_raw("keyed.servers", "other-1500", NESTED)
        self.start_all(1)
        self.check_followed("among thousands")
        self.store.put_raw("keyed.servers", "other-2500", mutate(self.random, self.chat.record()))
        self.check_followed("among thousands")

    def test_odd_configurations_and_orders_change_nothing(self):
        self.start_all()
        usual = self.calls_per_second()
        version = 10
        routes = json.dumps(configuration(9)["routes"]).encode()
        for text in (b"{", b"\xff", b"[]", b"7", NESTED, b'{"version":' + NESTED + b"}", b'{"version":1e300}', b'{"version":1e400,"routes":[]}', b'{"version":18446744073709551616}',
                     json.dumps(configuration(2)).encode(), b'{"version":9,"routes":' + routes.replace(b"2000", b"1e300") + b"}", b'{"version":9,"routes":' + NESTED + b',"services":[]}'):
            self.store.put_raw("keyed.op", "config", text)
            self.check_served(text[:60])
        for key in ("evacuate/", "evacuate/\x00", "evacuate/" + "h" * 200, "rollout/", "rollout/chat", "rollout/a&b c", "other", ""):
            for text in (NESTED, b"{", mutate(self.random, {"service": "chat", "toVersion": "v1", "durationS": 5}), b'{"service":"chat","toVersion":"v9","durationS":1e300}'):
                self.store.put_raw("keyed.op", key, text)
            self.check_alive(key)
        self.apply_configuration(version)
        self.check_followed("odd configurations")
        self.assertLess(self.calls_per_second(), 2 * usual + 5)
        self.start("entry-late")
        self.check_followed("a daemon that starts later")

    def test_daemons_without_the_store_learn_of_what_comes_after_odd_entries(self):
        """One record that fits into no datagram kept daemons from passing on anything."""
        self.start_all()
        server = self.store.add_server()
        cut_off = self.start("entry-cut", type("EndpointOnly", (), {"endpoint": server.endpoint}))
        eventually(lambda: any("event=peers others=2" in line for line in cut_off.lines), "registered")
        server.is_busy = True
        self.check_followed("only sound entries")
        self.store.put_raw("keyed.servers", "odd", json.dumps(self.chat.record(service="other", version="v" * 200000)).encode())
        self.check_followed("a large version")
        self.store.put_raw("keyed.stagepost", "daemon/odd", json.dumps({"hall": "h" * 200000, "endpoint": "127.0.0.1:9"}).encode())
        time.sleep(2.5)
        self.check_followed("a large registration")


if __name__ == "__main__":
    unittest.main()
