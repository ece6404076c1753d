"""Order in which waiting jobs are placed, and where."""

import heapq
from dataclasses import dataclass

from gypsumwalk.instances import InstanceRecord
from gypsumwalk.job_records import JobRecord, PlaceJob, RefuseJob, SubmitJob
from gypsumwalk.jobs import JobSection
from gypsumwalk.ledger import NO_SIZE, Holding, Ledger
from gypsumwalk.placement import CapacityTable, Size, choose_instance, size_of
from gypsumwalk.platform import TaskUsage
from gypsumwalk.pools import PoolSection
from gypsumwalk.preemption import Candidate, Preemption, choose_victims
from gypsumwalk.sizes import SizeTable
from gypsumwalk.suspicion import SuspicionTable
from gypsumwalk.views import FolderView
from gypsumwalk.waiting import Lane, WaitingTable

__all__ = ["Planner"]

MAX_PLACEMENTS = 100
"""Placements proposed in one pass."""
BACKFILL_DEPTH = 16
"""Jobs of a pool tried in one pass after the first that has no room."""
LIMIT_RETRY_SECONDS = 1.0
"""Seconds before a team at its upper limit is tried again."""
REPLAN_SECONDS = 2.0
"""Seconds after which a pool with waiting jobs is planned though nothing changed."""
PATIENCE_SECONDS = 30.0
"""Seconds that a job waits before attempts of teams above their shares make room."""
PREEMPTION_SECONDS = 30.0
"""Seconds between two preemptions for the same job."""
MIN_WEIGHT = 1e-6


@dataclass(slots=True)
class _Layout:
    version: int
    racks: dict[str, list[InstanceRecord]]
    total: Size
    largest: Size
    members: int = 0


@dataclass(slots=True)
class _Reservation:
    """Where and when the first job without room is expected to start."""

    job_id: str
    instance: str
    start: float


class Planner:
    """Plans placements while this daemon leads, pool by pool, where something changed.

    Parameters
    ----------
    jobs : JobSection
        The jobs.
    pools : PoolSection
        Instances and their pools.
    folder : FolderView
        The configuration.
    suspicion : SuspicionTable
        Evidence against workers.
    sizes : SizeTable
        Learned sizes and run times.
    """

    def __init__(
        self,
        jobs: JobSection,
        pools: PoolSection,
        folder: FolderView,
        suspicion: SuspicionTable,
        sizes: SizeTable,
    ) -> None:
        self.preemptions: list[Preemption] = []
        self.ledger = Ledger()
        self._jobs = jobs
        self._pools = pools
        self._folder = folder
        self._suspicion = suspicion
        self._sizes = sizes
        self._waiting = WaitingTable(jobs)
        self._capacity = CapacityTable()
        self._layouts: dict[str, _Layout] = {}
        self._dirty: set[str] = set()
        self._planned_at: dict[str, float] = {}
        self._limited: dict[str, float] = {}
        self._preempted_at: dict[str, float] = {}
        self._waits: dict[str, str] = {}
        self._generation = -1

    def reset(self) -> None:
        """Read the replicated state anew, as another daemon may have led since."""
        self._waits.clear()
        self._limited.clear()
        self._preempted_at.clear()
        self._layouts.clear()
        self._planned_at.clear()
        self._generation = -1

    def explain(self, job_id: str) -> str:
        """Return why a job waits, or empty."""
        return self._waits.get(job_id, "")

    def explain_never(self, spec: SubmitJob, pool: str) -> str:
        """Return why a job can never run, or empty.

        Parameters
        ----------
        spec : SubmitJob
            The job.
        pool : str
            Pool that runs its queue's jobs.

        Returns
        -------
        str
            The reason.
        """
        return self._capacity.explain_never(
            size_of(spec), pool, self._folder.folder, self._folder.generation
        )

    # What changed.

    def note_usage(self, usage: TaskUsage) -> None:
        """Take in a lagged measurement of an attempt."""
        self._sizes.note_usage(usage)

    def note(self, job_id: str) -> None:
        """Take in a committed change of a job."""
        record = self._jobs.find(job_id)
        if record is None:
            return
        if record.in_progress:
            self._hold(record, record.instance)
        else:
            self._let_go(job_id)
        if record.ended_at or record.in_progress:
            self._waits.pop(job_id, None)
            self._preempted_at.pop(job_id, None)
        pool = self._waiting.update(job_id)
        if pool:
            self._dirty.add(pool)

    def note_failed_proposal(self, job_id: str, reason: str, now: float) -> None:
        """Take in that a proposed placement was not committed.

        Parameters
        ----------
        job_id : str
            The job.
        reason : str
            Why.
        now : float
            Time in seconds.
        """
        record = self._jobs.find(job_id)
        if record is None or record.in_progress:
            return
        self._let_go(job_id)
        self._waits[job_id] = reason
        if "upper limit" in reason:
            self._limited[record.spec.team] = now + LIMIT_RETRY_SECONDS

    def _hold(self, record: JobRecord, instance: str) -> None:
        known = self.ledger.find(record.spec.job_id)
        if known is not None and known.instance == instance:
            return
        place = self._pools.find(instance)
        pool = self._jobs.find_pool(record.spec.queue)
        holding = Holding(
            record.spec.job_id,
            record.spec.team,
            pool,
            instance,
            place.rack if place else "",
            self._expect_size(record.spec, self._find_layout(pool)),
        )
        self.ledger.add(holding)

    def _let_go(self, job_id: str) -> None:
        holding = self.ledger.remove(job_id)
        if holding is not None:
            self._dirty.add(holding.pool)
            self._limited.pop(holding.team, None)

    # Planning.

    def plan(self, now: float) -> list[PlaceJob | RefuseJob]:
        """Choose placements for the jobs that wait.

        Parameters
        ----------
        now : float
            Time in seconds.

        Returns
        -------
        list of PlaceJob or RefuseJob
            Commands to propose; ``preemptions`` holds what to stop for urgent jobs.
        """
        self.preemptions = []
        if self._folder.generation != self._generation:
            self._rebuild()
        self._dirty |= self._waiting.release_delayed(now)
        commands: list[PlaceJob | RefuseJob] = []
        for pool in self._waiting.pools():
            if len(commands) >= MAX_PLACEMENTS:
                break
            if self._is_due(pool, now):
                self._dirty.discard(pool)
                self._planned_at[pool] = now
                commands += self._plan_pool(pool, now)
        return commands

    def _rebuild(self) -> None:
        self._generation = self._folder.generation
        self._waiting.rebuild()
        self.ledger.clear()
        for record in self._jobs.in_progress():
            self._hold(record, record.instance)
        self._planned_at.clear()

    def _is_due(self, pool: str, now: float) -> bool:
        layout = self._layouts.get(pool)
        if pool in self._dirty or layout is None:
            return True
        if layout.version != self._pools.find_version(pool):
            return True
        return now - self._planned_at.get(pool, 0.0) >= REPLAN_SECONDS

    def _find_layout(self, pool: str) -> _Layout:
        version = self._pools.find_version(pool)
        layout = self._layouts.get(pool)
        if layout is not None and layout.version == version:
            return layout
        layout = _Layout(version, {}, NO_SIZE, NO_SIZE)
        for name in self._pools.list_members(pool):
            record = self._pools.find(name)
            if record is None or not record.is_counted:
                continue
            capacity = size_of(record)
            layout.members += 1
            layout.total = layout.total.add(capacity)
            pairs = zip(layout.largest, capacity, strict=True)
            layout.largest = Size(*(max(pair) for pair in pairs))
            if record.is_available:
                layout.racks.setdefault(record.rack, []).append(record)
        self._layouts[pool] = layout
        return layout

    def _plan_pool(self, pool: str, now: float) -> list[PlaceJob | RefuseJob]:
        layout = self._find_layout(pool)
        lanes = self._waiting.lanes(pool)
        queues = {lane: iter(list(jobs)) for lane, jobs in lanes.items()}
        order = [self._rank_lane(pool, lane, layout.total) for lane in lanes]
        heapq.heapify(order)
        reservation: _Reservation | None = None
        misses = 0
        commands: list[PlaceJob | RefuseJob] = []
        while order and misses < BACKFILL_DEPTH and len(commands) < MAX_PLACEMENTS:
            _, _, lane = heapq.heappop(order)
            job_id = next(queues[lane], None)
            record = self._jobs.find(job_id) if job_id else None
            if record is None or self._is_limited(record, now):
                continue
            if self.ledger.find(record.spec.job_id) is not None:
                heapq.heappush(order, self._rank_lane(pool, lane, layout.total))
                continue
            command = self._place(record, pool, layout, reservation, now)
            if command is not None:
                commands.append(command)
            else:
                misses += 1
                if reservation is None:
                    reservation = self._reserve(record, layout, now)
                    self._consider_preemption(record, pool, layout, now)
            heapq.heappush(order, self._rank_lane(pool, lane, layout.total))
        return commands

    def _rank_lane(
        self, pool: str, lane: Lane, total: Size
    ) -> tuple[bool, float, Lane]:
        team, routine = lane
        return (routine, self.find_share(pool, team, total), lane)

    def find_resources(self, pool: str) -> tuple[int, Size, int]:
        """Return a pool's instances, their resources, and how many are available."""
        layout = self._find_layout(pool)
        available = sum(len(records) for records in layout.racks.values())
        return layout.members, layout.total, available

    def find_share(self, pool: str, team: str, total: Size) -> float:
        """Return a team's dominant share of a pool, divided by its weight.

        Parameters
        ----------
        pool : str
            The pool.
        team : str
            The team.
        total : Size
            Resources of the pool.

        Returns
        -------
        float
            The share.
        """
        held = self.ledger.sum_team(pool, team)
        return held.find_dominant(total) / self._find_weight(team)

    def _is_limited(self, record: JobRecord, now: float) -> bool:
        if now >= self._limited.get(record.spec.team, now):
            return False
        team = record.spec.team
        self._waits[record.spec.job_id] = f"team {team} is at its upper limit"
        return True

    # One job.

    def _place(
        self,
        record: JobRecord,
        pool: str,
        layout: _Layout,
        reservation: _Reservation | None,
        now: float,
    ) -> PlaceJob | RefuseJob | None:
        spec = record.spec
        never = self.explain_never(spec, pool)
        if never:
            return RefuseJob(spec.job_id, never)
        size = self._expect_size(spec, layout)
        ends = now + self._sizes.expect_seconds(spec)

        def rank(instance: InstanceRecord) -> int:
            reserved = reservation and reservation.instance == instance.name
            if reservation and reserved and ends > reservation.start:
                return -1
            doubts = self._suspicion.doubts(
                spec.job_id, instance.name, now, repeatable=spec.repeatable
            )
            return int(doubts)

        choice = choose_instance(
            size,
            layout.racks,
            self.ledger.find_racks(pool, spec.team),
            self._find_room,
            rank,
        )
        if choice.instance is None:
            self._waits[spec.job_id] = choice.reason
            return None
        self._hold(record, choice.instance.name)
        return PlaceJob(
            spec.job_id, record.attempt + 1, choice.instance.name, choice.reason
        )

    def _expect_size(self, spec: SubmitJob, layout: _Layout) -> Size:
        """Return the learned size, or the declared one if no instance is so large."""
        learned = self._sizes.expect_size(spec)
        return learned if learned.fits(layout.largest) else size_of(spec)

    def _find_room(self, instance: InstanceRecord) -> Size:
        return size_of(instance).add(self.ledger.sum_used(instance.name), -1)

    def _reserve(
        self, record: JobRecord, layout: _Layout, now: float
    ) -> _Reservation | None:
        size = self._expect_size(record.spec, layout)
        best: _Reservation | None = None
        for instances in layout.racks.values():
            for instance in instances:
                start = self._expect_room(instance, size, now)
                if start is not None and (best is None or start < best.start):
                    best = _Reservation(record.spec.job_id, instance.name, start)
        return best

    def _expect_room(
        self, instance: InstanceRecord, size: Size, now: float
    ) -> float | None:
        room = self._find_room(instance)
        ends = []
        for holding in self.ledger.list_on(instance.name):
            record = self._jobs.find(holding.job_id)
            if record is not None:
                ends.append((self._sizes.expect_end(record, now), holding))
        ends.sort(key=lambda item: item[0])
        for end, holding in ends:
            room = room.add(holding.size)
            if size.fits(room):
                return end
        return None

    # Preemption.

    def _consider_preemption(
        self, record: JobRecord, pool: str, layout: _Layout, now: float
    ) -> None:
        spec = record.spec
        if not spec.urgent and now - record.submitted_at < PATIENCE_SECONDS:
            return
        if now - self._preempted_at.get(spec.job_id, 0.0) < PREEMPTION_SECONDS:
            return
        size = self._expect_size(spec, layout)
        options = [
            (instance, self._find_room(instance), candidates)
            for instances in layout.racks.values()
            for instance in instances
            if (candidates := self._list_candidates(record, size, instance, layout))
        ]
        victims = choose_victims(size, options)
        if not victims:
            return
        self._preempted_at[spec.job_id] = now
        kind = "urgent job" if spec.urgent else "a team below its share, job"
        cause = f"makes room for {kind} {spec.job_id}"
        self.preemptions += [Preemption(item.job_id, cause) for item in victims]

    def _list_candidates(
        self, record: JobRecord, size: Size, instance: InstanceRecord, layout: _Layout
    ) -> list[Candidate]:
        spec = record.spec
        pool = self._jobs.find_pool(spec.queue)
        wanted = self._find_share_after(pool, spec.team, size, 1, layout.total)
        present = self.find_share(pool, spec.team, layout.total)
        candidates = []
        for holding in self.ledger.list_on(instance.name):
            other = self._jobs.find(holding.job_id)
            if other is None or not other.spec.repeatable or other.spec.urgent:
                continue
            same_team = holding.team == spec.team
            share = self.find_share(pool, holding.team, layout.total)
            left = self._find_share_after(
                pool, holding.team, holding.size, -1, layout.total
            )
            above = left >= wanted if not spec.urgent else share >= present
            if above and not same_team or same_team and spec.urgent:
                candidates.append(Candidate(share, holding))
        return candidates

    def _find_share_after(
        self, pool: str, team: str, size: Size, sign: int, total: Size
    ) -> float:
        held = self.ledger.sum_team(pool, team).add(size, sign)
        return held.find_dominant(total) / self._find_weight(team)

    def _find_weight(self, team: str) -> float:
        rule = self._folder.team(team) if team else None
        return max(rule.share if rule else 1.0, MIN_WEIGHT)
