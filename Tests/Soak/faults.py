"""The faults and planned changes of a soak, scheduled by a seed."""

import heapq
import random
import signal
import time

from rollouts import Rollouts
from world import FIRST_WITH_LINK_CUTS, FIRST_WITH_ROLLOUTS, FIRST_WITH_SUSPENSION, KEY_BOUND, SEEDS_WITH_SILENCES, STOP_LIMIT

# Seconds after a fault within which a disturbed daemon is connected again.
SETTLE = 3.0
# Seconds. Exceeds the daemons' limit for leaving upstreams, after which they assume a store outage.
EXPIRY_OUTAGE = 2.0


class Disturbances:
    """Records the time spans of unplanned faults."""

    def __init__(self):
        self.spans = []

    def add(self, name, start, end):
        self.spans.append((name, start, end))

    def is_calm(self, start, end):
        """Whether no fault was active between SETTLE seconds before the start and the end."""
        return all(first > end or last + SETTLE < start for _, first, last in self.spans)


# The lowest seeds whose schedules include each later kind of fault. Lower seeds keep the schedule
# that they had when they were recorded.
# Upstreams restart under their names, and invalid records are written to their topic.
FIRST_WITH_RESTARTS = 1000
# Seeds whose schedules include backlogs: all daemons miss more configurations than one read returns.
SEEDS_WITH_BACKLOGS = range(500, FIRST_WITH_RESTARTS)
# The configurations of a backlog, and the seconds between them.
BACKLOG_SIZE, BACKLOG_GAP = 20, 0.05
# The store is restored from backups.
FIRST_WITH_RETURNS = 3000
# Halls are emptied; upstreams are cold, request back-off and announce in responses that they leave.
FIRST_WITH_ORDERS = 4000


class Schedule:
    """Runs actions at their scheduled times."""

    def __init__(self):
        self.actions = []
        self.count = 0

    def after(self, delay, action):
        self.count += 1
        heapq.heappush(self.actions, (time.monotonic() + delay, self.count, action))

    def run_until(self, end):
        while True:
            while self.actions and self.actions[0][0] <= time.monotonic():
                heapq.heappop(self.actions)[2]()
            if time.monotonic() >= end:
                return
            time.sleep(0.01)

    def run_remaining(self):
        while self.actions:
            self.run_until(self.actions[0][0])


class Faults:
    def __init__(self, world, seed, disturbances, note):
        self.world, self.random = world, random.Random(seed)
        self.disturbances, self.note = disturbances, note
        self.schedule = Schedule()
        # Separate random generators, so that added faults do not change the rest of a seed's schedule.
        self.restarts = random.Random(f"{seed} restarts") if seed >= FIRST_WITH_RESTARTS else None
        self.suspensions = random.Random(f"{seed} suspensions") if seed >= FIRST_WITH_SUSPENSION else None
        self.returns = random.Random(f"{seed} returns") if seed >= FIRST_WITH_RETURNS else None
        self.orders = random.Random(f"{seed} orders") if seed >= FIRST_WITH_ORDERS else None
        self.rollouts = Rollouts(world, random.Random(f"{seed} rollouts"), self.schedule, note) if seed >= FIRST_WITH_ROLLOUTS else None
        self.links = random.Random(f"{seed} links") if seed >= FIRST_WITH_LINK_CUTS else None
        self.backlogs = random.Random(f"{seed} backlogs") if seed in SEEDS_WITH_BACKLOGS else None
        self.silences = random.Random(f"{seed} silences") if seed in SEEDS_WITH_SILENCES else None
        if self.returns:
            world.store.era = 1
        self.unplanned = [self.pause, self.pause, self.kill, self.kill_all, self.cut_from_store, self.impair_peer_link, self.reset_callers,
                          self.slow_link, self.store_outage, self.store_outage, self.truncate_store_history, self.expire_records, self.fail_requests,
                          self.fail_requests, self.crash_upstream, self.cut_upstream]
        self.planned = [self.stop_gracefully, self.reload, self.configure, self.configure, self.configuration_storm, self.rotate_key, self.drain_upstream, self.add_upstream_instance]

    def fault_phase(self, seconds):
        if self.restarts:
            for _ in range(int(2 * seconds)):
                self.schedule.after(self.restarts.uniform(0, seconds), self.restarts.choice((self.restart_upstream, self.write_invalid_record)))
        if self.suspensions:
            for _ in range(int(seconds)):
                self.schedule.after(self.suspensions.uniform(0, seconds), self.suspend)
        if self.returns:
            for _ in range(2):
                self.schedule.after(self.returns.uniform(0, seconds), self.copy_store)
        if self.backlogs:
            self.schedule.after(self.backlogs.uniform(0, seconds / 2), self.miss_backlog)
        if self.links:
            for _ in range(int(seconds)):
                self.schedule.after(self.links.uniform(0, seconds), self.lose_links)
        self.add_orders(seconds)
        self.add_rollout(seconds)
        self.run_phase(seconds, 0.25, self.unplanned * 2 + self.planned)

    def planned_phase(self, seconds):
        if self.backlogs:
            self.miss_backlog()
        if self.silences:
            for begin in range(0, int(seconds), 2):
                self.schedule.after(begin + self.silences.uniform(0, 0.4), self.silence_service)
        self.add_orders(seconds)
        self.add_rollout(seconds)
        self.run_phase(seconds, 0.6, self.planned)

    def add_orders(self, seconds):
        if not self.orders:
            return
        self.schedule.after(self.orders.uniform(0, seconds / 2), self.empty_hall)
        for _ in range(int(seconds)):
            self.schedule.after(self.orders.uniform(0, seconds), self.orders.choice((self.request_backoff, self.request_backoff, self.mark_upstream_cold, self.announce_departure)))

    def add_rollout(self, seconds):
        if self.rollouts:
            self.schedule.after(self.rollouts.random.uniform(0, seconds / 2), self.rollouts.order)

    def empty_hall(self):
        hall = self.orders.choice(("north", "south"))
        seconds = self.orders.uniform(0.5, 8.0)
        if self.world.emptied_halls():
            return
        self.note(f"empty hall {hall} for {seconds:.2f} s")
        self.world.store.put("keyed.op", f"evacuate/{hall}", {})
        self.world.orders.append([hall, time.monotonic(), None])
        self.schedule.after(seconds, lambda: self.withdraw_hall_order(hall))

    def withdraw_hall_order(self, hall):
        order = next(each for each in self.world.orders if each[0] == hall and each[2] is None)
        order[2] = time.monotonic()
        self.world.store.put("keyed.op", f"evacuate/{hall}", None)

    def request_backoff(self):
        """Makes an upstream refuse requests and ask each daemon to back off."""
        upstream = self.orders.choice(self.world.living())
        upstream.rest = round(self.orders.uniform(0.7, 4.0), 2)
        upstream.kind, upstream.share = "refuse", self.orders.uniform(0.2, 1)
        seconds = self.orders.uniform(0.2, 2.5)
        self.note(f"{upstream.instance} requests {upstream.rest} s of back-off in {upstream.share:.2f} of its responses, for {seconds:.2f} s")
        self.schedule.after(seconds, lambda: (setattr(upstream, "share", 0.0), setattr(upstream, "rest", None)))

    def mark_upstream_cold(self):
        upstream = self.orders.choice(self.world.living())
        milliseconds = self.orders.randrange(500, 3000)
        self.note(f"{upstream.instance} is cold for {milliseconds} ms")
        self.world.store.put("keyed.servers", upstream.instance, upstream.record(coldLeftMs=milliseconds, seq=milliseconds))
        self.schedule.after(milliseconds / 1000, lambda: upstream in self.world.living() and self.world.store.put("keyed.servers", upstream.instance, upstream.record()))

    def announce_departure(self):
        """Makes an upstream announce its departure in responses; its record is removed later, if at all."""
        service = self.orders.choice(("book", "chat"))
        if len(self.world.living(service)) < 4:
            return
        upstream = self.orders.choice(self.world.living(service))
        self.note(f"{upstream.instance} announces in its responses that it leaves")
        upstream.says_leaving = True
        self.schedule.after(self.orders.uniform(0.5, 4.0), lambda: self.remove_record(upstream))

    def remove_record(self, upstream):
        if upstream in self.world.living():
            self.world.left_at[upstream.instance] = time.monotonic()
            self.world.store.put("keyed.servers", upstream.instance, None)

    def run_phase(self, seconds, gap, choices):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.random.choice(choices)()
            self.schedule.run_until(time.monotonic() + self.random.uniform(0, 2 * gap))

    def daemon(self):
        return self.random.choice(self.world.daemons)

    def disturb(self, name, undo, shortest=0.1, longest=2.5):
        """Records an unplanned fault and schedules its end."""
        seconds = self.random.uniform(shortest, longest)
        self.note(f"{name} for {seconds:.2f} s")
        start = time.monotonic()
        self.disturbances.add(name, start, start + seconds + 0.5)
        self.schedule.after(seconds, undo)

    # Processes.

    def pause(self):
        daemon = self.daemon()
        process = daemon.process
        daemon.signal(signal.SIGSTOP)
        # Resumes only the process that was stopped, not its successor.
        self.disturb(f"pause {daemon.name}", lambda: process.poll() is None and process.send_signal(signal.SIGCONT), longest=4.0)

    def suspend(self):
        """Suspends a daemon's VM with its monotonic clock; sometimes those of half the daemons at once."""
        count = self.suspensions.choice((1, 1, 1, len(self.world.daemons) // 2))
        seconds = self.suspensions.uniform(0.2, 5.0)
        for daemon in self.suspensions.sample(self.world.daemons, count):
            process = daemon.process
            daemon.signal(signal.SIGSTOP)
            self.note(f"suspend {daemon.name} for {seconds:.2f} s")
            start = time.monotonic()
            self.disturbances.add(f"suspend {daemon.name}", start, start + seconds + 0.5)
            self.schedule.after(seconds, lambda daemon=daemon, process=process: self.resume(daemon, process, seconds))

    def resume(self, daemon, process, seconds):
        # Processes that have come after it began later than the time that is left out.
        daemon.suspended_time.add(seconds)
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)

    def kill(self):
        daemon = self.daemon()
        if daemon.end(signal.SIGKILL):
            self.disturb(f"kill {daemon.name}", daemon.start, longest=1.0)

    def kill_all(self):
        if self.random.random() < 0.5:
            return
        for daemon in self.world.daemons:
            if daemon.end(signal.SIGKILL):
                self.disturb(f"kill {daemon.name} with all", daemon.start, longest=0.5)

    def stop_gracefully(self):
        daemon = self.daemon()
        if not daemon.end(signal.SIGTERM):
            return
        self.note(f"stop {daemon.name}")
        self.await_stop(daemon, daemon.process, time.monotonic())

    def await_stop(self, daemon, process, since):
        if process.poll() is not None:
            daemon.start()
        elif time.monotonic() > since + STOP_LIMIT + SETTLE:
            self.note(f"{daemon.name} has not stopped within the limit")
            self.disturbances.add("kill a daemon that has not stopped", since, time.monotonic())
            process.send_signal(signal.SIGCONT)
            process.kill()
            self.schedule.after(0.1, lambda: self.await_stop(daemon, process, since))
        else:
            self.schedule.after(0.1, lambda: self.await_stop(daemon, process, since))

    def reload(self):
        self.note("reload")
        self.daemon().signal(signal.SIGHUP)

    # Links.

    def cut_from_store(self):
        daemon = self.daemon()
        link = daemon.to_store
        how = self.random.choice(("both", "forward", "backward", "reset"))
        link.is_forward_open = how not in ("both", "forward")
        link.is_backward_open = how not in ("both", "backward")
        if how == "reset":
            link.refuses = True
            link.reset_connections()
        self.disturb(f"cut {daemon.name} from the store ({how})", link.heal, longest=5.0)

    def miss_backlog(self):
        """Cuts all daemons from the store until a key that was removed last must no longer be accepted."""
        seconds = KEY_BOUND + BACKLOG_SIZE * BACKLOG_GAP + self.backlogs.uniform(0.2, 1.0)
        links = [daemon.to_store for daemon in self.world.daemons]
        for link in links:
            link.refuses = True
            link.reset_connections()
        for step in range(BACKLOG_SIZE):
            self.schedule.after(BACKLOG_GAP * step, self.world.publish)
        self.schedule.after(BACKLOG_GAP * BACKLOG_SIZE, self.world.change_keys)
        self.schedule.after(seconds, lambda: [link.heal() for link in links])
        self.note(f"all daemons miss a backlog for {seconds:.2f} s")
        start = time.monotonic()
        self.disturbances.add("backlog", start, start + seconds)

    def silence_service(self):
        """Lets all upstreams of a service send nothing, for longer than a stream may pause and for less than its time.
        They are sound, so this is no disturbance: what they hold must go on."""
        links = [upstream.link for upstream in self.world.living("chat")]
        seconds = self.silences.uniform(0.8, 1.2)
        self.note(f"chat is silent for {seconds:.2f} s")
        for link in links:
            link.is_backward_open = False
        self.schedule.after(seconds, lambda: [setattr(link, "is_backward_open", True) for link in links])
        self.schedule.after(0.2, self.silences.choice((self.configure, self.stop_gracefully, self.reload)))

    def impair_peer_link(self):
        daemon = self.daemon()
        if self.random.random() < 0.5:
            daemon.to_peers.cut()
        else:
            daemon.to_peers.loss, daemon.to_peers.delay = self.random.uniform(0, 0.5), self.random.uniform(0, 1.5)
        self.disturb(f"impair the peer link of {daemon.name}", daemon.to_peers.heal)

    def reset_callers(self):
        daemon = self.daemon()
        daemon.callers.reset_connections()
        self.disturb(f"reset callers of {daemon.name}", lambda: None, longest=0.2)

    def slow_link(self):
        link = self.random.choice([daemon.to_store for daemon in self.world.daemons] + [upstream.link for upstream in self.world.living()])
        link.delay = self.random.uniform(0.01, 0.4)
        self.disturb(f"delay a link by {link.delay:.2f} s", link.heal)

    def lose_links(self):
        """Cuts some daemons off from all upstreams; sometimes all of them."""
        daemons = self.links.sample(self.world.daemons, self.links.choice((1, 1, 2, len(self.world.daemons) - 1, len(self.world.daemons))))
        mode, seconds = self.links.choice(("reset", "hang", "live")), self.links.uniform(0.1, 4.0)
        names = ", ".join(daemon.name for daemon in daemons)
        self.note(f"cut {names} off from all upstreams ({mode}) for {seconds:.2f} s")
        start = time.monotonic()
        self.disturbances.add(f"cut {names} off from all upstreams", start, start + seconds + 0.5)
        for daemon in daemons:
            daemon.cut_links(mode)
            self.schedule.after(seconds, daemon.heal_links)

    def cut_upstream(self):
        upstream = self.random.choice(self.world.living())
        upstream.link.is_forward_open = upstream.link.is_backward_open = False
        self.disturb(f"cut {upstream.instance}", upstream.link.heal)

    # The store.

    def store_outage(self):
        store = self.world.store
        store.mode = self.random.choice(("silent", "busy", "reset", "lost"))
        self.disturb(f"store {store.mode}", self.restore, longest=5.0)

    def restore(self):
        with self.world.store.changed:
            self.world.store.mode = "up"
            self.world.store.changed.notify_all()

    def truncate_store_history(self):
        self.world.store.forget_history()
        self.disturb("store truncates its history", lambda: None, longest=0.2)

    def copy_store(self):
        copied_at, copy = time.monotonic(), self.world.store.copy()
        self.schedule.after(self.returns.uniform(0.1, 4.0), lambda: self.restore_from_copy(copied_at, copy))

    def restore_from_copy(self, copied_at, copy):
        """Takes the store down briefly and restores it without the writes since the copy."""
        self.world.store.mode = "busy"
        away, missing = self.returns.uniform(0.05, 0.8), self.returns.uniform(0.05, 1.5)
        self.schedule.after(away, lambda: self.finish_restore(copied_at, copy))
        self.schedule.after(away + missing, lambda: self.rewrite_lost_entries(copied_at))
        self.note(f"store restored from a copy {time.monotonic() - copied_at:.2f} s old, lost entries rewritten after {missing:.2f} s")
        start = time.monotonic()
        self.disturbances.add("store restored from a copy", start, start + away + missing + 0.5)

    def finish_restore(self, copied_at, copy):
        self.world.store.return_to(copy)
        self.world.record_lost_revocations(copied_at)
        if self.rollouts:
            self.rollouts.store_was_restored(copied_at)
        self.restore()

    def rewrite_lost_entries(self, copied_at):
        self.world.publish_again()
        for upstream in self.world.upstreams:
            left_at = self.world.left_at.get(upstream.instance)
            if upstream in self.world.living():
                self.world.store.put("keyed.servers", upstream.instance, upstream.record())
            elif left_at is None or left_at > copied_at:
                self.world.store.put("keyed.servers", upstream.instance, None)

    def expire_records(self):
        """Takes the store down until upstreams' records expire; they are written again soon after its return."""
        upstreams = self.random.sample(self.world.living(), 3)
        self.world.store.mode = "busy"
        for upstream in upstreams:
            self.world.store.put("keyed.servers", upstream.instance, None)
        self.schedule.after(EXPIRY_OUTAGE, self.restore)
        self.disturb("store busy, records expire", lambda: self.rewrite_records(upstreams), EXPIRY_OUTAGE + 0.2, EXPIRY_OUTAGE + 1.0)

    def rewrite_records(self, upstreams):
        for upstream in upstreams:
            if upstream in self.world.living():
                self.world.store.put("keyed.servers", upstream.instance, upstream.record())

    # Upstreams.

    def fail_requests(self):
        upstream = self.random.choice(self.world.living())
        kind = self.random.choice(("refuse", "other-instance", "fail", "mute", "cut", "stall", "unsigned", "foreign", "extra", "early", "unframed", "unframed-reset"))
        upstream.kind, upstream.share = kind, self.random.uniform(0.1, 1)
        self.disturb(f"{upstream.instance} {kind} {upstream.share:.2f}", lambda: setattr(upstream, "share", 0.0))

    def crash_upstream(self):
        service = self.random.choice(("book", "chat"))
        if len(self.world.living(service)) < 3:
            return
        upstream = self.random.choice(self.world.living(service))
        upstream.crash()
        self.world.add_upstream(service)
        self.disturb(f"crash {upstream.instance}", lambda: self.world.store.put("keyed.servers", upstream.instance, None), 0.5, 2.0)

    def restart_upstream(self):
        """Restarts an upstream under its name. Its new record is written within a second; a late record
        of the previous process may follow."""
        upstream = self.restarts.choice(self.world.living())
        before = upstream.record(state=self.restarts.choice(("ready", "draining")))
        upstream.restart()
        seconds = self.restarts.uniform(0.0, 1.0)
        self.note(f"{upstream.instance} restarts, writes its record after {seconds:.2f} s")
        start = time.monotonic()
        self.disturbances.add(f"restart {upstream.instance}", start, start + seconds + 0.5)
        self.schedule.after(seconds, lambda: self.write_current_record(upstream))
        if self.restarts.random() < 0.3:
            self.schedule.after(seconds + 0.2, lambda: self.write_late_record(upstream, before))

    def write_current_record(self, upstream):
        if upstream in self.world.living():
            self.world.store.put("keyed.servers", upstream.instance, upstream.record())

    def write_late_record(self, upstream, before):
        """Writes a late record of the previous process, then the current record again, like the store."""
        if upstream in self.world.living():
            self.world.store.put("keyed.servers", upstream.instance, before)
            self.schedule.after(0.5, lambda: self.write_current_record(upstream))

    def write_invalid_record(self):
        self.note("write an invalid upstream record")
        invalid_record = self.restarts.choice((b"{", b"\xff", b"[" * 2000, b"7", b'{"service":"book","address":7}', b'{"service":"book","slots":"8","state":"ready"}'))
        self.world.store.put_raw("keyed.servers", f"other-{self.restarts.randrange(5)}", invalid_record)

    def add_upstream_instance(self):
        service = self.random.choice(("book", "chat"))
        if len(self.world.living(service)) < 5:
            self.note(f"add an upstream of {service}")
            self.world.add_upstream(service)

    def drain_upstream(self):
        service = self.random.choice(("book", "chat"))
        if len(self.world.living(service)) < 3:
            return
        upstream = self.random.choice(self.world.living(service))
        self.note(f"{upstream.instance} leaves")
        announces = self.random.random() < 0.7
        self.world.store.put("keyed.servers", upstream.instance, upstream.record(state="draining") if announces else None)
        self.world.left_at[upstream.instance] = time.monotonic()
        if announces:
            self.schedule.after(4, lambda: self.world.store.put("keyed.servers", upstream.instance, None))

    # The configuration.

    def configure(self):
        self.note("configure")
        self.world.publish()

    def configuration_storm(self):
        self.note("configuration storm")
        for step in range(8):
            self.schedule.after(0.2 * step, self.world.publish)

    def rotate_key(self):
        self.note("rotate the API key")
        self.world.change_keys()
