"""Checks of the fleet's promises over the platform's actions and the trace.

They judge by what the platform ran and rebooted, by samples of which instances were up
and by the recorded events. The replicated state is read for the specifications of jobs
and for the checks of that state itself.
"""

from dataclasses import dataclass, field

from gypsumwalk.effects import Record
from gypsumwalk.events import Event

DETECTION_SECONDS = 8.0
"""Seconds within which an instance without heartbeats must count as unavailable."""
BOOT_DETECTION_SECONDS = 4.0
"""Seconds within which an unplanned boot must be detected."""
SAMPLE_SECONDS = 1.0
"""Interval between samples."""


@dataclass
class Sampler:
    """Samples when each instance of the platform was actually down or up."""

    world: object
    down_since: dict = field(default_factory=dict)
    up_since: dict = field(default_factory=dict)
    down_at: dict = field(default_factory=dict)
    boots: dict = field(default_factory=dict)
    rebooted_at: dict = field(default_factory=dict)
    reboots_seen: int = 0
    violations: list = field(default_factory=list)

    def __post_init__(self):
        self.began = self.world.now
        for name in self.world.platform.machines:
            self.up_since[name] = 0.0
        self.world.schedule(0.1, self.sample)

    def sample(self):
        world = self.world
        world.schedule(SAMPLE_SECONDS, self.sample)
        world.platform.advance(world.now)
        self._check_new_reboots()
        for name, machine in world.platform.machines.items():
            if machine.up and machine.reachable:
                boots = self.boots.setdefault(name, machine.boots)
                self.down_since.pop(name, None)
                if machine.boots != boots:
                    self.up_since[name] = world.now
                self.boots[name] = machine.boots
            else:
                self.down_since.setdefault(name, world.now)
                self.down_at[name] = self.down_since[name] - SAMPLE_SECONDS

    def _check_new_reboots(self):
        reboots = self.world.platform.reboots
        for at, name in reboots[self.reboots_seen :]:
            self._check_reboot(at, name)
            self.rebooted_at[name] = at
        self.reboots_seen = len(reboots)

    def _check_reboot(self, at, name):
        pools = replay_pools(self.world)
        pool = pools[name]
        unavailable = {name}
        for other, other_pool in pools.items():
            if other_pool != pool or other == name:
                continue
            if at - self.down_since.get(other, at) > DETECTION_SECONDS:
                unavailable.add(other)
            if self.rebooted_at.get(other, float("-inf")) >= self.up_since[other]:
                unavailable.add(other)
            dwell = self._find_dwell(pool) - 2 * SAMPLE_SECONDS
            planned = self.rebooted_at.get(other, 0.0) >= self.down_at.get(other, 1.0)
            detection_seconds = 0.0 if planned else BOOT_DETECTION_SECONDS
            if detection_seconds <= at - self.up_since[other] < dwell:
                unavailable.add(other)
        budget = self.world.log.folder.pools[pool].max_unavailable
        if len(unavailable) > budget:
            self.violations.append((at, pool, sorted(unavailable), budget))

    def _find_dwell(self, pool):
        waves = self.world.log.folder.waves.values()
        return max(wave.dwell_seconds for wave in waves if pool in wave.pools)


def list_events(world, event):
    """Return the records of one event.

    Every daemon records the same event; the copies of the daemon that recorded it most
    often are returned.
    """
    records_by_node = {}
    for entry in world.trace:
        if isinstance(entry.effect, Record) and entry.effect.event is event:
            key = (entry.effect.subject, tuple(sorted(entry.effect.attributes.items())))
            records_by_node.setdefault(key, {}).setdefault(entry.node, []).append(entry)
    records = []
    for by_node in records_by_node.values():
        records += max(by_node.values(), key=len)
    return sorted(records, key=lambda entry: entry.at)


def replay_pools(world, until=float("inf")):
    """Return the pool of each instance by the folder and the recorded moves."""
    pools = {name: table.pool for name, table in world.log.folder.instances.items()}
    for entry in list_events(world, Event.INSTANCE_MOVED):
        if entry.at <= until:
            pools[entry.effect.subject] = entry.effect.attributes["pool"]
    return pools


def check_budget(sampler):
    """No reboot exceeded the availability budget of its pool."""
    assert not sampler.violations, sampler.violations[:3]


def check_one_pool(world):
    """Each instance is a member of exactly one pool on every daemon."""
    for daemon in world.daemons.values():
        if not daemon.alive:
            continue
        section = daemon.node.pools
        pools = set(world.log.folder.pools)
        for name in world.log.folder.instances:
            held = [pool for pool in pools if name in section.list_members(pool)]
            assert len(held) == 1, (daemon.name, name, held)
            assert section.find(name).pool == held[0], (daemon.name, name, held)


def check_placements(world):
    """Jobs run only on instances of the pool of their queue."""
    for execution in world.platform.executions:
        record = world.leader.jobs.find(execution.key.job_id)
        pool = world.log.folder.services[record.spec.queue].pool
        near = {
            replay_pools(world, execution.started_at + shift)[execution.machine]
            for shift in (0.0, 0.5)
        }
        assert pool in near, (execution, near)


def check_starts(world, repeatable=()):
    """Attempts of a job do not overlap; a job that is not repeatable starts once."""
    by_job = {}
    for execution in world.platform.executions:
        by_job.setdefault(execution.key.job_id, []).append(execution)
    for job_id, executions in by_job.items():
        if job_id not in repeatable:
            assert len(executions) == 1, executions
        executions.sort(key=lambda item: item.started_at)
        for first, second in zip(executions, executions[1:], strict=False):
            assert first.ended_at <= second.started_at, (first, second)


def check_limit(world):
    """No team runs more jobs at once than its upper limit."""
    changes = []
    for execution in world.platform.executions:
        team = world.leader.jobs.find(execution.key.job_id).spec.team
        changes.append((execution.started_at, 1, team))
        changes.append((execution.ended_at, -1, team))
    running = {}
    for _, step, team in sorted(changes, key=lambda item: (item[0], item[1])):
        running[team] = running.get(team, 0) + step
        limit = world.log.folder.teams[team].limit
        assert running[team] <= limit, (team, running[team], limit)


def check_sections_agree(world):
    """Daemons that have applied the same log prefix hold the same state."""
    states = {}
    for daemon in world.daemons.values():
        if daemon.alive:
            state = daemon.node.state
            states.setdefault(state.applied, set()).add(state.dump())
    assert all(len(dumps) == 1 for dumps in states.values())


def check_all(world, sampler, repeatable=()):
    """Check every promise."""
    check_budget(sampler)
    check_one_pool(world)
    check_placements(world)
    check_starts(world, repeatable)
    check_limit(world)
    check_sections_agree(world)
