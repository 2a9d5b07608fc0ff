"""What goes wrong in a soak, and when: a schedule that a seed decides."""

import heapq
import random
import signal
import time

from world import FIRST_WITH_SUSPENSION, STOP_LIMIT

# Between two storms: a daemon that was disturbed is in touch again after this.
SETTLE = 3.0
# Longer than what the daemons take for an outage of the store, their bound on
# leaving upstreams.
LAPSE = 2.0


class Disturbances:
    """When anything unplanned was going on."""

    def __init__(self):
        self.spans = []

    def add(self, name, start, end):
        self.spans.append((name, start, end))

    def is_calm(self, start, end):
        """Whether nothing unplanned happened from SETTLE before the start until the end."""
        return all(first > end or last + SETTLE < start for _, first, last in self.spans)


# From this seed on upstreams start again under their names and others write into their
# list. Seeds below it play as they did when they were kept.
FIRST_WITH_RESTARTS = 1000
# From this one on the store comes back from copies.
FIRST_WITH_RETURNS = 3000
# From this one on halls are emptied, upstreams are cold, ask for rest and say in answers that they leave.
FIRST_WITH_ORDERS = 4000


class Schedule:
    """Carries out actions when they are due."""

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

    def run_out(self):
        while self.actions:
            self.run_until(self.actions[0][0])


class Faults:
    def __init__(self, world, seed, disturbances, note):
        self.world, self.random = world, random.Random(seed)
        self.disturbances, self.note = disturbances, note
        self.schedule = Schedule()
        # Draws of its own, so that what it adds changes nothing else of a seed.
        self.restarts = random.Random(f"{seed} restarts") if seed >= FIRST_WITH_RESTARTS else None
        self.suspensions = random.Random(f"{seed} suspensions") if seed >= FIRST_WITH_SUSPENSION else None
        self.returns = random.Random(f"{seed} returns") if seed >= FIRST_WITH_RETURNS else None
        self.orders = random.Random(f"{seed} orders") if seed >= FIRST_WITH_ORDERS else None
        if self.returns:
            world.store.era = 1
        self.unplanned = [self.pause, self.pause, self.kill, self.kill_all, self.cut_from_store, self.cut_from_peers, self.reset_callers,
                          self.slow_link, self.store_outage, self.store_outage, self.store_forgets, self.lapse, self.fail_requests,
                          self.fail_requests, self.crash_upstream, self.cut_upstream]
        self.planned = [self.roll, self.reload, self.configure, self.configure, self.configuration_storm, self.revoke, self.drain_upstream, self.scale_out]

    def storm(self, seconds):
        if self.restarts:
            for _ in range(int(2 * seconds)):
                self.schedule.after(self.restarts.uniform(0, seconds), self.restarts.choice((self.restart_upstream, self.write_nonsense)))
        if self.suspensions:
            for _ in range(int(seconds)):
                self.schedule.after(self.suspensions.uniform(0, seconds), self.suspend)
        if self.returns:
            for _ in range(2):
                self.schedule.after(self.returns.uniform(0, seconds), self.copy_store)
        self.add_orders(seconds)
        self.play(seconds, 0.25, self.unplanned * 2 + self.planned)

    def planned_work(self, seconds):
        self.add_orders(seconds)
        self.play(seconds, 0.6, self.planned)

    def add_orders(self, seconds):
        if not self.orders:
            return
        self.schedule.after(self.orders.uniform(0, seconds / 2), self.empty_hall)
        for _ in range(int(seconds)):
            self.schedule.after(self.orders.uniform(0, seconds), self.orders.choice((self.ask_for_rest, self.ask_for_rest, self.cool_upstream, self.say_leaving)))

    def empty_hall(self):
        hall = self.orders.choice(("north", "south"))
        seconds = self.orders.uniform(0.5, 8.0)
        if self.world.emptied_halls():
            return
        self.note(f"hall {hall} is emptied for {seconds:.2f} s")
        self.world.store.put("keyed.op", f"evacuate/{hall}", {})
        self.world.orders.append([hall, time.monotonic(), None])
        self.schedule.after(seconds, lambda: self.take_hall_back(hall))

    def take_hall_back(self, hall):
        order = next(each for each in self.world.orders if each[0] == hall and each[2] is None)
        order[2] = time.monotonic()
        self.world.store.put("keyed.op", f"evacuate/{hall}", None)

    def ask_for_rest(self):
        """It turns requests away, and asks each daemon for rest."""
        upstream = self.orders.choice(self.world.living())
        upstream.rest = round(self.orders.uniform(0.7, 4.0), 2)
        upstream.kind, upstream.share = "refuse", self.orders.uniform(0.2, 1)
        seconds = self.orders.uniform(0.2, 2.5)
        self.note(f"{upstream.instance} asks for {upstream.rest} s of rest with {upstream.share:.2f}, for {seconds:.2f} s")
        self.schedule.after(seconds, lambda: (setattr(upstream, "share", 0.0), setattr(upstream, "rest", None)))

    def cool_upstream(self):
        upstream = self.orders.choice(self.world.living())
        milliseconds = self.orders.randrange(500, 3000)
        self.note(f"{upstream.instance} is cold for {milliseconds} ms")
        self.world.store.put("keyed.servers", upstream.instance, upstream.record(coldLeftMs=milliseconds, seq=milliseconds))
        self.schedule.after(milliseconds / 1000, lambda: upstream in self.world.living() and self.world.store.put("keyed.servers", upstream.instance, upstream.record()))

    def say_leaving(self):
        """Its answers alone say so, its record later or never."""
        service = self.orders.choice(("book", "chat"))
        if len(self.world.living(service)) < 4:
            return
        upstream = self.orders.choice(self.world.living(service))
        self.note(f"{upstream.instance} says in its answers that it leaves")
        upstream.says_leaving = True
        self.schedule.after(self.orders.uniform(0.5, 4.0), lambda: self.leave(upstream))

    def leave(self, upstream):
        if upstream in self.world.living():
            self.world.left_at[upstream.instance] = time.monotonic()
            self.world.store.put("keyed.servers", upstream.instance, None)

    def play(self, seconds, gap, choices):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.random.choice(choices)()
            self.schedule.run_until(time.monotonic() + self.random.uniform(0, 2 * gap))

    def daemon(self):
        return self.random.choice(self.world.daemons)

    def disturb(self, name, undo, shortest=0.1, longest=2.5):
        """An unplanned fault that is undone after a while."""
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
        # The process that was stopped, and not one that came after it.
        self.disturb(f"pause {daemon.name}", lambda: process.poll() is None and process.send_signal(signal.SIGCONT), longest=4.0)

    def suspend(self):
        """The daemon's VM stands still, its steady clock with it; now and then some at once."""
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

    def roll(self):
        daemon = self.daemon()
        if not daemon.end(signal.SIGTERM):
            return
        self.note(f"stop {daemon.name}")
        self.await_stop(daemon, daemon.process, time.monotonic())

    def await_stop(self, daemon, process, since):
        if process.poll() is not None:
            daemon.start()
        elif time.monotonic() > since + STOP_LIMIT + SETTLE:
            self.note(f"{daemon.name} has not stopped in time")
            self.disturbances.add("end what has not stopped", since, time.monotonic())
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

    def cut_from_peers(self):
        daemon = self.daemon()
        if self.random.random() < 0.5:
            daemon.to_peers.cut()
        else:
            daemon.to_peers.loss, daemon.to_peers.delay = self.random.uniform(0, 0.5), self.random.uniform(0, 1.5)
        self.disturb(f"harm what peers send to {daemon.name}", daemon.to_peers.heal)

    def reset_callers(self):
        daemon = self.daemon()
        daemon.callers.reset_connections()
        self.disturb(f"reset callers of {daemon.name}", lambda: None, longest=0.2)

    def slow_link(self):
        link = self.random.choice([daemon.to_store for daemon in self.world.daemons] + [upstream.link for upstream in self.world.living()])
        link.delay = self.random.uniform(0.01, 0.4)
        self.disturb(f"delay a link by {link.delay:.2f} s", link.heal)

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

    def store_forgets(self):
        self.world.store.forget_history()
        self.disturb("store forgets its history", lambda: None, longest=0.2)

    def copy_store(self):
        copied_at, copy = time.monotonic(), self.world.store.copy()
        self.schedule.after(self.returns.uniform(0.1, 4.0), lambda: self.lose_since(copied_at, copy))

    def lose_since(self, copied_at, copy):
        """The store is away for a moment and lacks what was written since the copy."""
        self.world.store.mode = "busy"
        away, missing = self.returns.uniform(0.05, 0.8), self.returns.uniform(0.05, 1.5)
        self.schedule.after(away, lambda: self.return_store(copied_at, copy))
        self.schedule.after(away + missing, lambda: self.write_again(copied_at))
        self.note(f"store comes back from a copy {time.monotonic() - copied_at:.2f} s old, written again after {missing:.2f} s")
        start = time.monotonic()
        self.disturbances.add("store comes back from a copy", start, start + away + missing + 0.5)

    def return_store(self, copied_at, copy):
        self.world.store.return_to(copy)
        self.world.lost_since(copied_at)
        self.restore()

    def write_again(self, copied_at):
        self.world.publish_again()
        for upstream in self.world.upstreams:
            left_at = self.world.left_at.get(upstream.instance)
            if upstream in self.world.living():
                self.world.store.put("keyed.servers", upstream.instance, upstream.record())
            elif left_at is None or left_at > copied_at:
                self.world.store.put("keyed.servers", upstream.instance, None)

    def lapse(self):
        """The store is away so long that upstreams' records go; they are back soon after its return."""
        upstreams = self.random.sample(self.world.living(), 3)
        self.world.store.mode = "busy"
        for upstream in upstreams:
            self.world.store.put("keyed.servers", upstream.instance, None)
        self.schedule.after(LAPSE, self.restore)
        self.disturb("store busy, records lapse", lambda: self.record_again(upstreams), LAPSE + 0.2, LAPSE + 1.0)

    def record_again(self, upstreams):
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
        """It crashes and is back under its name, and says so within a second; a late word
        of the process before may come after that."""
        upstream = self.restarts.choice(self.world.living())
        before = upstream.record(state=self.restarts.choice(("ready", "draining")))
        upstream.restart()
        seconds = self.restarts.uniform(0.0, 1.0)
        self.note(f"{upstream.instance} starts again, says so after {seconds:.2f} s")
        start = time.monotonic()
        self.disturbances.add(f"restart {upstream.instance}", start, start + seconds + 0.5)
        self.schedule.after(seconds, lambda: self.tell_start(upstream))
        if self.restarts.random() < 0.3:
            self.schedule.after(seconds + 0.2, lambda: self.tell_late(upstream, before))

    def tell_start(self, upstream):
        if upstream in self.world.living():
            self.world.store.put("keyed.servers", upstream.instance, upstream.record())

    def tell_late(self, upstream, before):
        """As the store does: the record of the process that lives comes again."""
        if upstream in self.world.living():
            self.world.store.put("keyed.servers", upstream.instance, before)
            self.schedule.after(0.5, lambda: self.tell_start(upstream))

    def write_nonsense(self):
        self.note("another writer in the list of upstreams")
        nonsense = self.restarts.choice((b"{", b"\xff", b"[" * 2000, b"7", b'{"service":"book","address":7}', b'{"service":"book","slots":"8","state":"ready"}'))
        self.world.store.put_raw("keyed.servers", f"other-{self.restarts.randrange(5)}", nonsense)

    def scale_out(self):
        service = self.random.choice(("book", "chat"))
        if len(self.world.living(service)) < 5:
            self.note(f"one {service} more")
            self.world.add_upstream(service)

    def drain_upstream(self):
        service = self.random.choice(("book", "chat"))
        if len(self.world.living(service)) < 3:
            return
        upstream = self.random.choice(self.world.living(service))
        self.note(f"{upstream.instance} leaves")
        says = self.random.random() < 0.7
        self.world.store.put("keyed.servers", upstream.instance, upstream.record(state="draining") if says else None)
        self.world.left_at[upstream.instance] = time.monotonic()
        if says:
            self.schedule.after(4, lambda: self.world.store.put("keyed.servers", upstream.instance, None))

    # The configuration.

    def configure(self):
        self.note("configure")
        self.world.publish()

    def configuration_storm(self):
        self.note("configuration storm")
        for step in range(8):
            self.schedule.after(0.2 * step, self.world.publish)

    def revoke(self):
        self.note("take a key away")
        self.world.change_keys()
