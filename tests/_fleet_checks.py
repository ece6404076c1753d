"""Checks of the fleet's promises over what the platform did and the trace.

None reads the sections that decide: they look at what the platform ran and rebooted,
at samples of which instances were really up, and at the recorded events.
"""

from dataclasses import dataclass, field

from gypsumwalk.effects import Record
from gypsumwalk.events import Event

NOTICE_SECONDS = 8.0
"""Seconds within which a silent instance has to count as unavailable."""
BOOT_NOTICE_SECONDS = 4.0
"""Seconds within which a boot that nobody asked for has to be noticed."""
SAMPLE_SECONDS = 1.0


@dataclass
class Sampler:
    """Notes when each instance of the platform was really down or up."""

    world: object
    down_since: dict = field(default_factory=dict)
    up_since: dict = field(default_factory=dict)
    down_at: dict = field(default_factory=dict)
    boots: dict = field(default_factory=dict)
    rebooted_at: dict = field(default_factory=dict)
    reboots_seen: int = 0
    breaches: list = field(default_factory=list)

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
        away = {name}
        for other, other_pool in pools.items():
            if other_pool != pool or other == name:
                continue
            if at - self.down_since.get(other, at) > NOTICE_SECONDS:
                away.add(other)
            if self.rebooted_at.get(other, float("-inf")) >= self.up_since[other]:
                away.add(other)
            dwell = self._find_dwell(pool) - 2 * SAMPLE_SECONDS
            planned = self.rebooted_at.get(other, 0.0) >= self.down_at.get(other, 1.0)
            notice = 0.0 if planned else BOOT_NOTICE_SECONDS
            if notice <= at - self.up_since[other] < dwell:
                away.add(other)
        budget = self.world.log.folder.pools[pool].max_unavailable
        if len(away) > budget:
            self.breaches.append((at, pool, sorted(away), budget))

    def _find_dwell(self, pool):
        waves = self.world.log.folder.waves.values()
        return max(wave.dwell_seconds for wave in waves if pool in wave.pools)


def list_events(world, event):
    """Return the records of one event, once each although every daemon writes it."""
    writer = {}
    for entry in world.trace:
        if isinstance(entry.effect, Record) and entry.effect.event is event:
            key = (entry.effect.subject, tuple(sorted(entry.effect.attributes.items())))
            writer.setdefault(key, {}).setdefault(entry.node, []).append(entry)
    records = []
    for by_node in writer.values():
        records += max(by_node.values(), key=len)
    return sorted(records, key=lambda entry: entry.at)


def replay_pools(world, until=float("inf")):
    """Return the pool of each instance, from the folder and the moves recorded."""
    pools = {name: table.pool for name, table in world.log.folder.instances.items()}
    for entry in list_events(world, Event.INSTANCE_MOVED):
        if entry.at <= until:
            pools[entry.effect.subject] = entry.effect.attributes["pool"]
    return pools


def check_budget(sampler):
    """No reboot came while its pool had as many away as its budget allows."""
    assert not sampler.breaches, sampler.breaches[:3]


def check_one_pool(world):
    """On every daemon each instance is a member of exactly one pool."""
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
    """Jobs run only on instances of the pool that their queue belongs to."""
    for execution in world.platform.executions:
        record = world.leader.jobs.find(execution.key.job_id)
        pool = world.log.folder.services[record.spec.queue].pool
        near = {
            replay_pools(world, execution.started_at + shift)[execution.machine]
            for shift in (0.0, 0.5)
        }
        assert pool in near, (execution, near)


def check_starts(world, repeatable=()):
    """No attempt overlaps another of its job; what may not repeat starts once."""
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
    """No team has more running at once than its upper limit."""
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
    """Daemons that applied equally much hold the same state."""
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
