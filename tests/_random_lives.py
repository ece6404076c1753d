"""Random days of the simulated fleet, on which the leader's table is watched.

Instances crash and begin again under their identifiers, which the daemons hear of at
once or later, and are cut off. Calls and answers are late or lost, lists lag or have
entries that can't be read, and leaders are killed, stopped or paused.

Every run that works on an instance must be in the table of the leader. If one is not,
its task may start a second time, which shows on some days only.
"""

from random import Random
from unittest.mock import patch

from msgspec.structs import replace

from gypsumwalk.declaration_records import Resources
from gypsumwalk.fleet_calls import AnnounceInstanceCall
from gypsumwalk.inputs import PlatformOutcome
from gypsumwalk.instance_actions import (
    InstanceReport,
    PaceRun,
    RenewLease,
    StartRun,
    StopRun,
)
from gypsumwalk.instance_orders import parse_task
from gypsumwalk.workload_records import Step
from tests._fleet_work import FleetWorld
from tests._fleet_work_checks import find_duplicate_runs

CALLS = (PaceRun, RenewLease, StartRun, StopRun)
NEED = Resources(2000, 1000)
INSTANCES = 4
MAX_LEASE = 10.0
DAY_SECONDS = 25.0
REST_SECONDS = 16.0
CHECK_SECONDS = 0.02
ARRIVAL_SECONDS = 0.02
DELAYS = (0.02, 0.1, 0.3, 0.8)
"""Seconds by which a call or an answer may be late; a call waits for 1 to 1.8 s."""

UNREAD_SECONDS = 1.2
"""Longest time for which an entry can't be read, but the next may be the same one."""

CLOCK_BANDS = 45
BAND_MILLISECONDS = 200_000
"""Distance of two clocks, so that none reaches another one within a day."""

CLOSE_LEADS = (2_500, 4_400)
"""Milliseconds by which a close clock is ahead of the former one: enough to tell it,
and too little for a start to be refused as late."""


class RandomInstances:
    """Instances that crash and begin again, and calls to them that go wrong.

    Replaces ``EmulatedPlatform.call``.
    """

    def __init__(self, world, random):
        self.world = world
        self.random = random
        self.is_slow = random.random() < 0.5
        self.has_odd_lists = random.random() < 0.5
        self.may_stop_leader = random.random() < 0.5
        self._begins = {}
        self._unread = {}
        self._lives = dict.fromkeys(range(INSTANCES), 1)
        self._bands = {
            number: random.sample(range(CLOCK_BANDS), CLOCK_BANDS)
            for number in range(INSTANCES)
        }
        self._call = world.model.call

    # Calls

    def __call__(self, effect, now):
        action = effect.action
        if not isinstance(action, CALLS):
            return self._call(effect, now)
        delay = self._begins.get(action.address, now) - now
        if delay > 0:
            return self._wait_for_life(effect, delay)
        late = self._draw_delay()
        if late and late < effect.timeout - 0.05:
            arrival = late + self.random.uniform(0.001, ARRIVAL_SECONDS)
            return arrival, lambda at: self._answer(effect, at)
        return self._return_late(effect, now)

    def _draw_delay(self):
        if self.is_slow and self.random.random() < 0.15:
            return self.random.choice(DELAYS)
        return 0.0

    def _lose(self, effect):
        return PlatformOutcome(effect.token, succeeded=False, unknown=True)

    def _answer(self, effect, at):
        return self._change(effect, self._call(effect, at)[1](at), at)

    def _wait_for_life(self, effect, delay):
        """Let a call wait for the next life, which may carry it out."""
        if delay > effect.timeout - ARRIVAL_SECONDS:
            return effect.timeout, lambda at: self._lose(effect)
        is_lost = self.random.random() < 0.2

        def find_outcome(at):
            outcome = self._answer(effect, at)
            return self._lose(effect) if is_lost else outcome

        return delay + self.random.uniform(0.001, ARRIVAL_SECONDS), find_outcome

    def _return_late(self, effect, now):
        """Carry out a call; its answer may be late, or lost."""
        if self.is_slow and self.random.random() < 0.02:
            self._carry_out_later(effect)
            return effect.timeout, lambda at: self._lose(effect)
        delay, find_outcome = self._call(effect, now)
        late = self._draw_delay()
        is_change = isinstance(effect.action, StartRun | StopRun)
        if late and delay + late < effect.timeout:
            made = []
            self.world.schedule(
                delay, lambda: made.append(find_outcome(self.world.now))
            )
            return delay + late, lambda at: self._change(effect, made[0], at)
        if is_change and self.random.random() < 0.04:
            return effect.timeout, lambda at: self._lose(effect)
        return delay, lambda at: self._change(effect, find_outcome(at), at)

    def _carry_out_later(self, effect):
        """Carry out a call seconds later, unless its life has ended by then."""
        address = effect.action.address
        instance = self.world.model.instances[address]

        def carry_out():
            if self.world.model.instances[address] is instance:
                self._call(effect, self.world.now)

        self.world.schedule(self.random.uniform(0.5, 8.0), carry_out)

    def _change(self, effect, outcome, at):
        """Make an entry of a run list unreadable at times, for a while."""
        report = outcome.report
        if not self.has_odd_lists or not isinstance(report, InstanceReport):
            return outcome
        address = effect.action.address
        until, run = self._unread.get(address, (0.0, None))
        if at >= until:
            if self.random.random() < 0.9:
                return outcome
            until = at + self.random.uniform(0.05, UNREAD_SECONDS)
            entries = [*report.running, *report.ended, None]
            run = self.random.choice(entries)
            self._unread[address] = until, run
        report = hide_run(report, run)
        return PlatformOutcome(outcome.token, succeeded=True, report=report)

    # Lives

    def crash(self, number):
        world, instance = self.world, self.world.get_instance(number)
        address = instance.registered.address
        if self._begins.get(address, 0.0) > world.now:
            return
        clock = instance.read_clock(world.now)
        if not instance.is_dead:
            world.model.crash(instance, world.now)
        delay = self.random.choice([0.02, 0.1, 0.3, 0.6, 0.9])
        self._begins[address] = world.now + delay
        world.schedule(delay, lambda: self.begin_life(number, clock))

    def _draw_clock(self, number, former):
        if self.random.random() < 0.3:
            return former + self.random.randrange(*CLOSE_LEADS)
        band = self._bands[number].pop()
        return band * BAND_MILLISECONDS + self.random.randrange(1_000, 30_000)

    def begin_life(self, number, former):
        world, random = self.world, self.random
        self._lives[number] += 1
        instance = world.start_instance(
            number,
            life=self._lives[number],
            clock_begin=self._draw_clock(number, former),
        )
        if random.random() < 0.7:
            delay = random.uniform(0.0, 0.3)
            world.schedule(delay, lambda: self._announce(instance))
        if random.random() < 0.7:
            self._cut_off(instance)
        if self.may_stop_leader and random.random() < 0.3:
            world.schedule(random.uniform(0.0, 1.5), lambda: stop_leader(world, random))

    def _cut_off(self, instance):
        begin = self.random.choice(
            [self.random.uniform(0.02, 1.0), self.random.uniform(0.5, 4.0)]
        )
        end = begin + self.random.choice([1.0, 3.0, 6.0, 9.0, 12.0])
        self.world.schedule(begin, lambda: setattr(instance, "is_silent", True))
        self.world.schedule(end, lambda: setattr(instance, "is_silent", False))

    def _announce(self, instance):
        leader = self.world.find_leader()
        if leader and not instance.is_dead and not instance.is_silent:
            self.world.call(AnnounceInstanceCall(instance.registered), to=leader)


def hide_run(report, run):
    """Return a list in which the entries of a run can't be read.

    None stands for entries of another writer, beside all those of the instance.
    """
    if run is None:
        return replace(report, unread_runs=1, unread_ends=1)
    hidden = (run.task, run.run)
    running = [item for item in report.running if (item.task, item.run) != hidden]
    ended = [item for item in report.ended if (item.task, item.run) != hidden]
    return replace(
        report,
        running=running,
        ended=ended,
        unread_runs=len(report.running) - len(running),
        unread_ends=len(report.ended) - len(ended),
    )


def kill_leader(world, random):
    leader = world.find_leader()
    if leader:
        world.kill(leader)
        world.schedule(random.choice([0.5, 2.0]), lambda: world.restart(leader))


def stop_leader(world, random):
    """Stop the leader gracefully, and start it again."""
    leader = world.find_leader()
    if not leader:
        return
    world.shut_down(leader, 6.0)

    def start_again():
        if world.daemons[leader].alive:
            world.kill(leader)
        world.restart(leader)

    world.schedule(random.choice([0.6, 3.0]), start_again)


def pause_leader(world, random):
    leader = world.find_leader()
    if not leader:
        return
    world.pause(leader)

    def resume():
        if world.daemons[leader].paused:
            world.resume(leader)

    world.schedule(random.choice([0.5, 2.0, 4.0]), resume)


def list_uncounted_runs(world):
    """Return the runs that work on an instance and are not in the leader's table.

    Runs that are being stopped don't count. Empty without a leader that has taken over.
    """
    leader = world.find_leader()
    if not leader:
        return []
    assembly = world.assemblies[leader]
    dispatcher = assembly.dispatcher
    is_leading = dispatcher.is_leading(world.daemons[leader].read_clock(world.now))
    if not is_leading or dispatcher.term != assembly.consensus.term:
        return []
    world.model.advance(world.now)
    find = dispatcher.lease_table.find
    return [
        (run.task, run.run, run.life)
        for instance in world.model.instances.values()
        for run in instance.running.values()
        if run.end_kind != "stopped" and find(parse_task(run.task), run.run) is None
    ]


class RandomDay:
    """Day that is drawn from a seed.

    Attributes
    ----------
    uncounted : dict
        Time in seconds at which each run was first seen to work without being in the
        leader's table.
    """

    def __init__(self, seed):
        self.random = Random(f"lives {seed}")
        self.world = FleetWorld(
            seed,
            task_seconds=self.random.choice([1.0, 3.0, 12.0, 20.0]),
            instances=INSTANCES,
            max_lease=MAX_LEASE,
        )
        self.uncounted = {}
        self._jobs = 0
        self._lasting = set()

    def play(self):
        world = self.world
        world.begin()
        self.instances = RandomInstances(world, self.random)
        world.schedule(CHECK_SECONDS, self._check)
        end = world.now + DAY_SECONDS
        with patch.object(world.model, "call", self.instances):
            while world.now < end:
                world.run(self.random.uniform(0.05, 1.0))
                self._act(self.random.random())
            world.run(REST_SECONDS)

    def _check(self):
        for run in list_uncounted_runs(self.world):
            self.uncounted.setdefault(run, self.world.now)
        self.world.schedule(CHECK_SECONDS, self._check)

    def _act(self, chance):
        world, random = self.world, self.random
        if chance < 0.4 and world.find_leader():
            self._submit()
        elif chance < 0.62:
            self.instances.crash(random.randrange(INSTANCES))
        elif chance < 0.67:
            for number in range(INSTANCES):
                self.instances.crash(number)
        elif chance < 0.72:
            random.choice([kill_leader, stop_leader, pause_leader])(world, random)

    def _submit(self):
        self._jobs += 1
        job = f"{self._jobs:016x}"
        lasting = self.random.random() < 0.2
        if lasting:
            self._lasting.add(job)
        step = Step(self.random.choice([1, 2, 4]), NEED, lasting=lasting)
        self.world.submit(job, [step])

    def list_duplicate_runs(self):
        """Return what ran twice; a lasting task starts again after its end."""
        found = find_duplicate_runs(self.world.model.history, self.world.now)
        return [
            item
            for item in found
            if item[3] == "overlap" or item[0].split(".")[0] not in self._lasting
        ]
