"""The faults of the soak of refusals, scheduled by a seed."""

import random
import signal
import time

from faults import Schedule

# Seconds between faults, and that a fault lasts.
GAP = (0.05, 0.3)
FAULT_SECONDS = (0.4, 3.0)
FREEZE_SECONDS = (0.1, 2.0)


class RefusalFaults:
    def __init__(self, world, seed, note):
        self.world, self.note = world, note
        self.random = random.Random(f"{seed} refusals")
        self.schedule = Schedule()
        self.incarnations = 0

    def run(self, seconds):
        often = [self.harm_links, self.slow_down, self.fail_requests]
        choices = [self.silence_links, self.reset_links, self.harm_datagrams, self.freeze, self.freeze, self.end_daemon, self.end_daemon, self.end_several,
                   self.cut_from_upstreams, self.cut_from_upstreams, self.replace_upstream, self.lapse, self.drain_upstream, self.repeat_answers,
                   self.break_store, self.configure] + 3 * often
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.random.choice(choices)()
            self.schedule.run_until(time.monotonic() + self.random.uniform(*GAP))
        self.schedule.run_remaining()

    def for_a_while(self, text, undo, span=FAULT_SECONDS):
        seconds = self.random.uniform(*span)
        self.note(f"{text} for {seconds:.2f} s")
        self.schedule.after(seconds, undo)

    # Links.

    def some_links(self):
        name, links = self.random.choice(list(self.world.links().items()))
        return name, self.random.sample(links, self.random.choice((1, 2, len(links) // 2, len(links))))

    def harm_links(self):
        name, links = self.some_links()
        share = self.random.choice((0.05, 0.2, 0.5))
        for link in links:
            link.share = share
        self.for_a_while(f"{len(links)} links to {name} harm {share}", lambda: [link.heal() for link in links])

    def silence_links(self):
        name, links = self.some_links()
        is_forward, is_backward = self.random.choice(((False, True), (True, False), (False, False)))
        for link in links:
            link.is_forward_open, link.is_backward_open = is_forward, is_backward
        self.for_a_while(f"{len(links)} links to {name} are silent, forward open {is_forward}, backward {is_backward}", lambda: [link.heal() for link in links], (0.2, 3.0))

    def reset_links(self):
        name, links = self.some_links()
        self.note(f"{len(links)} links to {name} are reset")
        for link in links:
            link.reset_connections()

    def harm_datagrams(self):
        links = [daemon.to_peers for daemon in self.some_daemons()]
        for link in links:
            link.loss, link.delay = self.random.choice((0.0, 0.3, 1.0)), self.random.uniform(0, 0.8)
        self.for_a_while(f"{len(links)} daemons' datagrams are late and lost", lambda: [link.heal() for link in links])

    def cut_from_upstreams(self):
        daemons, mode = self.some_daemons(), self.random.choice(("reset", "hang", "live"))
        for daemon in daemons:
            daemon.cut_links(mode)
        self.for_a_while(f"{len(daemons)} daemons have no links to upstreams ({mode})", lambda: [daemon.heal_links() for daemon in daemons])

    # Daemons.

    def some_daemons(self):
        return self.random.sample(self.world.daemons, self.random.choice((1, 1, 2, 3)))

    def freeze(self):
        for daemon in self.some_daemons():
            process = daemon.process
            daemon.signal(signal.SIGSTOP)
            self.for_a_while(f"{daemon.name} stands still", lambda process=process: process.poll() is None and process.send_signal(signal.SIGCONT), FREEZE_SECONDS)

    def end_daemon(self, daemon=None):
        daemon = daemon or self.random.choice(self.world.daemons)
        number = self.random.choice((signal.SIGTERM, signal.SIGKILL))
        if daemon.end(number):
            self.note(f"{daemon.name} gets {number.name}")
            self.schedule.after(self.random.uniform(0, 0.5), lambda: self.start_when_ended(daemon))

    def end_several(self):
        for daemon in self.some_daemons():
            self.end_daemon(daemon)

    def start_when_ended(self, daemon):
        if daemon.process.poll() is None:
            self.schedule.after(0.1, lambda: self.start_when_ended(daemon))
        else:
            daemon.start()

    # Upstreams.

    def put_record(self, upstream, instance, is_there=True):
        """Unless another process has taken the address meanwhile."""
        if upstream.instance == instance or not is_there:
            self.world.store.put("keyed.servers", instance, upstream.record() if is_there else None)

    def replace_upstream(self):
        """Another process takes the address of an upstream; the records follow."""
        upstream = self.random.choice(self.world.upstreams)
        before = upstream.instance
        self.incarnations += 1
        now = f"{upstream.service}-again-{self.incarnations}"
        upstream.become(now)
        self.note(f"{before} is replaced by {now}")
        self.schedule.after(self.random.uniform(0, 1.5), lambda: self.put_record(upstream, before, False))
        self.schedule.after(self.random.uniform(0, 0.8), lambda: self.put_record(upstream, now))

    def lapse(self):
        upstream = self.random.choice(self.world.upstreams)
        instance = upstream.instance
        self.put_record(upstream, instance, False)
        self.for_a_while(f"the record of {instance} lapses", lambda: self.put_record(upstream, instance))

    def drain_upstream(self):
        upstream = self.random.choice(self.world.upstreams)
        instance = upstream.instance
        self.world.store.put("keyed.servers", instance, upstream.record(state="draining"))
        self.for_a_while(f"{instance} leaves", lambda: self.put_record(upstream, instance))

    def slow_down(self):
        service = self.random.choice(("book", "chat"))
        upstreams = [upstream for upstream in self.world.upstreams if upstream.service == service]
        upstreams = self.random.sample(upstreams, self.random.choice((1, len(upstreams) // 2, len(upstreams))))
        factor = self.random.choice((5, 15, 40))
        for upstream in upstreams:
            upstream.slowdown = factor
        self.for_a_while(f"{len(upstreams)} upstreams of {service} are slow", lambda: [setattr(upstream, "slowdown", 1.0) for upstream in upstreams])

    def fail_requests(self):
        """Upstreams reject or fail some requests. Only "refuse" and "other-instance" don't run them."""
        kind = self.random.choice(("refuse", "refuse", "refuse", "other-instance", "fail", "cut", "extra", "foreign", "unframed-reset", "interim", "own-408", "own-429", "own-503", "own-504"))
        upstreams = self.random.sample(self.world.upstreams, self.random.choice((1, 3, len(self.world.upstreams))))
        for upstream in upstreams:
            upstream.kind, upstream.share = kind, self.random.uniform(0.1, 0.6)
        self.for_a_while(f"{len(upstreams)} upstreams {kind}", lambda: [setattr(upstream, "share", 0.0) for upstream in upstreams])

    def repeat_answers(self):
        upstreams = self.random.sample(self.world.upstreams, len(self.world.upstreams) // 2)
        for upstream in upstreams:
            upstream.surplus_share = 0.5
        self.for_a_while(f"{len(upstreams)} upstreams repeat answers", lambda: [setattr(upstream, "surplus_share", 0.0) for upstream in upstreams])

    # The store.

    def break_store(self):
        mode = self.random.choice(("silent", "busy", "reset", "lost"))
        self.world.store.mode = mode
        self.for_a_while(f"the store is {mode}", self.restore)

    def configure(self):
        self.note("configure")
        for step in range(self.random.choice((1, 5))):
            self.schedule.after(0.2 * step, self.world.publish)

    def restore(self):
        with self.world.store.changed:
            self.world.store.mode = "up"
            self.world.store.changed.notify_all()
