"""Fleets of several daemons: settings, membership, halls and planned stops."""

import json
import os
import signal
import subprocess
import threading
import time
import unittest

from fleet import CTL, Daemon, Fleet, ctl, eventually, request


class Settings(Fleet):
    def test_only_one_of_several_concurrent_publishers_succeeds(self):
        entries = [self.daemon(f"entry-{n}") for n in range(2)]
        self.publish()
        self.serve(*entries, upstreams=0)
        results = []

        def publish(number):
            toml = self.settings(pool=f"queue_length = {number}")
            path = f"/tmp/stagepost-race-{os.getpid()}-{number}.toml"
            with open(path, "w", encoding="utf-8") as file:
                file.write(toml)
            results.append(ctl(self, "publish", path, "--base", "1").returncode)
            os.unlink(path)

        threads = [threading.Thread(target=publish, args=(number,)) for number in range(1, 5)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(sorted(results), [0, 3, 3, 3])
        for entry in entries:
            self.assertEqual(entry.metric("stagepost_settings_revision"), 2)

    def test_removals_require_a_flag(self):
        entry = self.daemon()
        self.publish()
        self.serve(entry, upstreams=0)
        refused = self.publish("[fleet]\n")
        self.assertEqual(refused.returncode, 1)
        self.assertIn("this would take away organisations.club pools.assistant services.book; give --allow-removals", refused.stderr)
        self.assertEqual(entry.metric("stagepost_settings_revision"), 1)
        self.assertEqual(self.publish("[fleet]\n", "--allow-removals").returncode, 0)
        self.assertIn("author=tester", ctl(self, "history").stdout)

    def test_a_refused_request_is_logged(self):
        entry = self.daemon()
        self.publish()
        self.serve(entry, upstreams=0)
        self.assertEqual(entry.call("GET", "/services/book/x", token="wrong").status, 403)
        line = eventually(lambda: next((line for line in entry.lines if "event=request" in line), None), "the line")
        self.assertIn("path=/services/book/x reason=wrong-token verdict=not-run", line)

    def test_a_lost_reply_is_resolved_by_reading(self):
        entry = self.daemon()
        self.log.faults(lose_replies=True)
        result = self.publish()
        self.assertEqual((result.returncode, result.stdout), (0, "revision=1 accepted=true in_force=true\n"))
        self.assertEqual(entry.metric("stagepost_settings_revision"), 1)

    def test_a_daemon_that_cannot_read_the_log_follows_its_peers(self):
        first = self.daemon("entry-1")
        self.publish()
        self.serve(first, upstreams=0)
        cut = Daemon(self, "entry-2", "north", ("--log", "127.0.0.1:1"))
        self.addCleanup(cut.stop)
        self.list_vm(name="entry-2", hall="north", role="entry", endpoint=cut.endpoint, peer=cut.peer)
        eventually(cut.ready, "ready with the settings of its peer")
        self.publish(self.settings(pool="queue_length = 5"))
        eventually(lambda: cut.metric("stagepost_settings_revision") == 2, "the next change has arrived")

    def test_settings_outlast_the_retention_of_the_log(self):
        entry = self.daemon()
        self.publish(self.settings(fleet="log_retention_s = 8\nclaim_window_s = 2"))
        self.serve(entry, upstreams=0)
        history = eventually(lambda: [row for row in json.loads(ctl(self, "history", "--json").stdout) if row["kind"] == "snapshot"], "a snapshot")
        self.assertEqual(history[0]["revision"], 1)
        self.log.faults(keep=3)
        for _ in range(3):
            self.log.post("/v1/streams/settings/records", "not a publication")
            time.sleep(0.3)
        eventually(lambda: json.loads(ctl(self, "history", "--json").stdout or "[]"), "a snapshot replaces the deleted change")
        entry.kill()
        fresh = self.daemon("entry-2")
        eventually(fresh.ready, "ready with only a snapshot")
        self.assertEqual(fresh.metric("stagepost_settings_revision"), 1)

    def test_a_change_at_the_offset_of_lost_records_takes_effect(self):
        entry = self.daemon()
        self.publish()
        self.serve(entry, upstreams=0)
        for _ in range(4):
            self.log.post("/v1/streams/settings/records", "not a publication")
        time.sleep(0.5)
        self.log.faults(lose_last=4)
        # The daemon has already read the offset of this change.
        self.publish(self.settings(pool="queue_length = 5"))
        eventually(lambda: entry.metric("stagepost_settings_revision") == 2, "the change is in force")
        self.assertTrue(any("event=log-returned stream=settings returns=1" in line for line in entry.lines))

    def test_callers_are_served_during_an_outage_of_the_platform(self):
        entry = self.daemon()
        self.engine()
        self.publish()
        self.serve(entry)
        self.log.stop()
        self.vms.stop()
        time.sleep(0.3)
        self.assertTrue(entry.ready())
        self.assertEqual(entry.chat(max_tokens=1).status, 200)

    def test_unauthenticated_peers_get_no_settings_and_cannot_drain(self):
        entry = self.daemon()
        self.publish()
        self.serve(entry, upstreams=0)
        self.assertEqual(request(entry.endpoint, "GET", "/internal/settings", None, {"Stagepost-Peer": "00" * 32}).status, 403)
        body = json.dumps({"jsonrpc": "2.0", "id": 1, "method": "drain", "params": {}})
        self.assertEqual(request(entry.endpoint, "POST", "/rpc", body, {"Authorization": "Bearer guess"}).status, 403)
        self.assertTrue(entry.ready())


class Tool(Fleet):
    def test_commands_from_check_to_drain(self):
        entries = [self.daemon(f"entry-{n}") for n in range(2)]
        self.engine()
        path = f"/tmp/stagepost-tool-{os.getpid()}.toml"
        self.addCleanup(os.unlink, path)
        with open(path, "w", encoding="utf-8") as file:
            file.write("[pools.a]\nload_multple = 2\n")
        wrong = ctl(self, "check", path)
        self.assertEqual(wrong.returncode, 2)
        self.assertIn("the nearest is load_multiple", wrong.stderr)
        self.assertEqual(self.publish().returncode, 0)
        self.serve(*entries)
        shown = ctl(self, "show", "pools.assistant", "load_multiple")
        self.assertEqual(shown.stdout, "load_multiple = 1.25  # from default\n")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings(pool="load_multiple = 1.5"))
        self.assertEqual(ctl(self, "diff", path).stdout, "pools.assistant.load_multiple: unset -> 1.5\n")
        explained = json.loads(ctl(self, "explain", "small", "club", "c1", "--json").stdout)
        self.assertEqual((explained[0]["upstream"], explained[0]["holds_context"]), ("engine-1", False))
        entries[0].chat("x", {"Stagepost-Chat": "c1"}, max_tokens=1)
        explained = json.loads(ctl(self, "explain", "small", "club", "c1", "--json").stdout)
        self.assertEqual(explained[0]["holds_context"], True)
        status = json.loads(ctl(self, "status", "--json").stdout)
        self.assertEqual([row["ready"] for row in status], [True, True])
        self.assertEqual(ctl(self, "drain", "entry-1").returncode, 0)
        eventually(lambda: not entries[1].ready(), "drained")
        eventually(lambda: entries[0].metric("stagepost_owned_upstreams") == 1, "the other daemon owns the engine")
        self.assertEqual(ctl(self, "undrain", "entry-1").returncode, 0)
        eventually(entries[1].ready, "ready again")

    def test_usage_errors_exit_with_2(self):
        for arguments in (["nonsense"], [], ["publish"], ["status", "--vm-list", "nowhere"]):
            result = subprocess.run([CTL, *arguments], capture_output=True, text=True, timeout=30)
            self.assertEqual(result.returncode, 2, arguments)
            self.assertTrue(result.stderr.startswith("stagepostctl: "))


class Members(Fleet):
    def three(self, **halls):
        entries = [self.daemon(f"entry-{n}", halls.get(f"entry_{n}", "north")) for n in range(3)]
        self.engine("engine-1")
        self.engine("engine-2")
        self.publish()
        self.serve(*entries, upstreams=2)
        for entry in entries:
            eventually(lambda entry=entry: entry.metric("stagepost_daemons") == 3, "all daemons seen")
        return entries

    def chats(self, entry, count=6):
        return [entry.chat(f"chat {n}", max_tokens=1).status for n in range(count)]

    def test_a_lost_owner_is_replaced(self):
        entries = self.three()
        entries[0].kill()
        for entry in entries[1:]:
            self.assertEqual(set(self.chats(entry)), {200})
            eventually(lambda entry=entry: entry.metric("stagepost_daemons") == 2, "the loss is known")
        eventually(lambda: sum(entry.metric("stagepost_owned_upstreams") for entry in entries[1:]) == 2, "every engine has one owner")

    def test_a_frozen_daemon_is_removed_and_returns(self):
        entries = self.three()
        entries[0].process.send_signal(signal.SIGSTOP)
        self.assertEqual(set(self.chats(entries[1])), {200})
        eventually(lambda: entries[1].metric("stagepost_daemons") == 2, "the frozen daemon is considered failed")
        entries[0].process.send_signal(signal.SIGCONT)
        eventually(lambda: entries[1].metric("stagepost_daemons") == 3, "the frozen daemon is back")
        self.assertEqual(set(self.chats(entries[0])), {200})

    def test_a_vm_that_returns_at_its_address_rejoins(self):
        entries = self.three()
        endpoint, peer = entries[0].endpoint, entries[0].peer
        entries[0].kill()
        eventually(lambda: entries[1].metric("stagepost_daemons") == 2, "the loss is known")
        again = self.daemon("entry-0", listen=endpoint, peer=peer)
        eventually(lambda: entries[1].metric("stagepost_daemons") == 3, "the VM is back")
        self.serve(again, upstreams=2)
        self.assertEqual(set(self.chats(again)), {200})

    def test_a_leaving_engine_gets_no_new_requests(self):
        entries = self.three()
        self.list_vm(name="engine-1", hall="north", role="upstream", state="leaving",
                     endpoint=request(self.vms.endpoint, "GET", "/v1/vms?since=0").body.split('"endpoint":"')[1].split('"')[0], serves="pools.assistant")
        time.sleep(1)
        engines = {entry.chat(f"late {n}", max_tokens=1).headers["X-Engine"] for entry in entries for n in range(6)}
        self.assertEqual(engines, {"engine-2"})

    def test_a_lost_hall_gets_no_requests(self):
        entries = self.three(entry_2="south")
        remote = self.engine("engine-3", "south")
        eventually(lambda: entries[0].metric("stagepost_upstreams") == 3, "the remote engine is known")
        self.assertEqual(set(self.chats(entries[0], 12)), {200})
        entries[2].kill()
        remote.stop()
        eventually(lambda: entries[0].metric("stagepost_upstreams") == 2, "the hall is unreachable")
        self.assertEqual(set(self.chats(entries[0], 12)), {200})

    def test_no_request_fails_while_all_daemons_are_replaced_under_load(self):
        entries = self.three()
        stop = threading.Event()
        failures, answers = [], []
        live = list(entries)

        def load(number):
            iteration = 0
            while not stop.is_set():
                iteration += 1
                # A load balancer sends requests only to ready daemons.
                ready = [entry for entry in list(live) if entry.ready()]
                if not ready:
                    continue
                try:
                    reply = ready[(number + iteration) % len(ready)].chat(f"load {number} {iteration}", max_tokens=20)
                    (answers if reply.status == 200 and reply.body.endswith("[DONE]\n\n") else failures).append(reply.body)
                except OSError as failure:
                    failures.append(repr(failure))

        threads = [threading.Thread(target=load, args=(number,)) for number in range(4)]
        for thread in threads:
            thread.start()
        for number, old in enumerate(entries):
            fresh = self.daemon(f"fresh-{number}")
            self.serve(fresh, upstreams=2)
            live.append(fresh)
            old.terminate()
            self.assertEqual(old.process.wait(60), 0)
            live.remove(old)
            self.vms.post("/v1/vms", [{"name": old.name, "state": "gone"}])
        stop.set()
        for thread in threads:
            thread.join()
        self.assertEqual(failures, [])
        self.assertGreater(len(answers), 10)


if __name__ == "__main__":
    unittest.main()
