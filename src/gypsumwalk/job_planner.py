"""Fair-share scheduling of waiting jobs, with backfill and preemption."""

import heapq
from dataclasses import dataclass

from gypsumwalk.failure_attribution import FailureAttribution
from gypsumwalk.instances import InstanceRecord
from gypsumwalk.job_allocations import NO_RESOURCES, Allocation, AllocationTable
from gypsumwalk.job_estimates import JobEstimator
from gypsumwalk.job_placement import (
    PoolCapacities,
    ResourceVector,
    choose_instance,
    get_resources,
)
from gypsumwalk.job_records import JobRecord, PlaceJob, RefuseJob, SubmitJob
from gypsumwalk.jobs import JobSection
from gypsumwalk.platform import TaskUsage
from gypsumwalk.pools import PoolSection
from gypsumwalk.preemption import Candidate, Preemption, choose_victims
from gypsumwalk.views import FolderView
from gypsumwalk.waiting_jobs import SchedulingGroup, WaitingJobs

__all__ = ["JobPlanner"]

MAX_PLACEMENTS = 100
"""Placements in a pass, or in one pool of it, at which planning stops."""
BACKFILL_DEPTH = 16
"""Jobs per pool and pass that may fail to fit before planning stops."""
LIMIT_RETRY_SECONDS = 1.0
"""Seconds before jobs of a team at its upper limit are retried."""
REPLAN_INTERVAL_SECONDS = 2.0
"""Longest time in seconds between two passes over a pool with waiting jobs."""
PREEMPTION_WAIT_SECONDS = 30.0
"""Seconds that a job that is not urgent waits before it may preempt others."""
PREEMPTION_INTERVAL_SECONDS = 30.0
"""Seconds between two preemptions for the same job."""
MIN_WEIGHT = 1e-6


@dataclass(slots=True)
class _PoolSummary:
    """Resources of a pool at one version of its instances."""

    version: int
    racks: dict[str, list[InstanceRecord]]
    total: ResourceVector
    largest: ResourceVector
    members: int = 0


@dataclass(slots=True)
class _Reservation:
    """Instance and time at which the first job that does not fit should start."""

    job_id: str
    instance: str
    start: float


class JobPlanner:
    """Plans placements while this daemon leads.

    A pool is planned when its jobs, instances or the configuration changed, and at
    least every ``REPLAN_INTERVAL_SECONDS``. The team with the lowest weighted dominant
    share goes first. The first job that does not fit reserves an instance; later jobs
    are backfilled onto that instance only if they end before the reservation starts.

    Parameters
    ----------
    jobs : JobSection
        The jobs.
    pools : PoolSection
        Instances and their pools.
    folder : FolderView
        Configuration.
    failures : FailureAttribution
        Failure evidence against workers.
    estimator : JobEstimator
        Estimates of resource use and run time.
    """

    def __init__(
        self,
        jobs: JobSection,
        pools: PoolSection,
        folder: FolderView,
        failures: FailureAttribution,
        estimator: JobEstimator,
    ) -> None:
        self.preemptions: list[Preemption] = []
        self.allocations = AllocationTable()
        self._jobs = jobs
        self._pools = pools
        self._folder = folder
        self._failures = failures
        self._estimator = estimator
        self._waiting = WaitingJobs(jobs)
        self._capacity = PoolCapacities()
        self._summaries: dict[str, _PoolSummary] = {}
        self._dirty_pools: set[str] = set()
        self._planned_at: dict[str, float] = {}
        self._limited_until: dict[str, float] = {}
        self._preempted_at: dict[str, float] = {}
        self._wait_reasons: dict[str, str] = {}
        self._generation = -1

    def reset(self) -> None:
        """Discard and rebuild local state, as another daemon may have led since."""
        self._wait_reasons.clear()
        self._limited_until.clear()
        self._preempted_at.clear()
        self._summaries.clear()
        self._planned_at.clear()
        self._generation = -1

    def explain_wait(self, job_id: str) -> str:
        """Return why a job waits, or an empty string."""
        return self._wait_reasons.get(job_id, "")

    def explain_unschedulable(self, spec: SubmitJob, pool: str) -> str:
        """Return why no instance can ever run a job, or an empty string.

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
        return self._capacity.explain_unschedulable(
            get_resources(spec), pool, self._folder.folder, self._folder.generation
        )

    # Updates.

    def record_usage(self, usage: TaskUsage) -> None:
        """Record a measurement of an attempt's resource use."""
        self._estimator.record_usage(usage)

    def update_job(self, job_id: str) -> None:
        """Update a job after a committed command changed it."""
        record = self._jobs.find(job_id)
        if record is None:
            return
        if record.is_in_progress:
            self._allocate(record, record.instance)
        else:
            self._release(job_id)
        if record.ended_at or record.is_in_progress:
            self._wait_reasons.pop(job_id, None)
            self._preempted_at.pop(job_id, None)
        pool = self._waiting.update(job_id)
        if pool:
            self._dirty_pools.add(pool)

    def handle_failed_placement(self, job_id: str, reason: str, now: float) -> None:
        """Release the resources of a placement that was not committed.

        Parameters
        ----------
        job_id : str
            The job.
        reason : str
            Why it was not committed.
        now : float
            Time in seconds.
        """
        record = self._jobs.find(job_id)
        if record is None or record.is_in_progress:
            return
        self._release(job_id)
        self._wait_reasons[job_id] = reason
        if "upper limit" in reason:
            self._limited_until[record.spec.team] = now + LIMIT_RETRY_SECONDS

    def _allocate(self, record: JobRecord, instance: str) -> None:
        known = self.allocations.find(record.spec.job_id)
        if known is not None and known.instance == instance:
            return
        placed_on = self._pools.find(instance)
        pool = self._jobs.find_pool(record.spec.queue)
        allocation = Allocation(
            record.spec.job_id,
            record.spec.team,
            pool,
            instance,
            placed_on.rack if placed_on else "",
            self._estimate_request(record.spec, self._summarize_pool(pool)),
        )
        self.allocations.add(allocation)

    def _release(self, job_id: str) -> None:
        allocation = self.allocations.remove(job_id)
        if allocation is not None:
            self._dirty_pools.add(allocation.pool)
            self._limited_until.pop(allocation.team, None)

    # Planning.

    def plan(self, now: float) -> list[PlaceJob | RefuseJob]:
        """Plan placements for the waiting jobs.

        Parameters
        ----------
        now : float
            Time in seconds.

        Returns
        -------
        list of PlaceJob or RefuseJob
            Commands to propose; ``preemptions`` then lists the attempts to stop.
        """
        self.preemptions = []
        if self._folder.generation != self._generation:
            self._rebuild()
        self._dirty_pools |= self._waiting.release_delayed(now)
        commands: list[PlaceJob | RefuseJob] = []
        for pool in self._waiting.list_pools():
            if len(commands) >= MAX_PLACEMENTS:
                break
            if self._is_due(pool, now):
                self._dirty_pools.discard(pool)
                self._planned_at[pool] = now
                commands += self._plan_pool(pool, now)
        return commands

    def _rebuild(self) -> None:
        self._generation = self._folder.generation
        self._waiting.rebuild()
        self.allocations.clear()
        for record in self._jobs.list_in_progress():
            self._allocate(record, record.instance)
        self._planned_at.clear()

    def _is_due(self, pool: str, now: float) -> bool:
        summary = self._summaries.get(pool)
        if pool in self._dirty_pools or summary is None:
            return True
        if summary.version != self._pools.find_version(pool):
            return True
        return now - self._planned_at.get(pool, 0.0) >= REPLAN_INTERVAL_SECONDS

    def _summarize_pool(self, pool: str) -> _PoolSummary:
        version = self._pools.find_version(pool)
        summary = self._summaries.get(pool)
        if summary is not None and summary.version == version:
            return summary
        summary = _PoolSummary(version, {}, NO_RESOURCES, NO_RESOURCES)
        for name in self._pools.list_members(pool):
            record = self._pools.find(name)
            if record is None or not record.is_counted:
                continue
            capacity = get_resources(record)
            summary.members += 1
            summary.total = summary.total.add(capacity)
            pairs = zip(summary.largest, capacity, strict=True)
            summary.largest = ResourceVector(*(max(pair) for pair in pairs))
            if record.is_available:
                summary.racks.setdefault(record.rack, []).append(record)
        self._summaries[pool] = summary
        return summary

    def _plan_pool(self, pool: str, now: float) -> list[PlaceJob | RefuseJob]:
        summary = self._summarize_pool(pool)
        groups = self._waiting.get_groups(pool)
        queues = {group: iter(list(jobs)) for group, jobs in groups.items()}
        order = [self._rank_group(pool, group, summary.total) for group in groups]
        heapq.heapify(order)
        reservation: _Reservation | None = None
        unplaced = 0
        commands: list[PlaceJob | RefuseJob] = []
        while order and unplaced < BACKFILL_DEPTH and len(commands) < MAX_PLACEMENTS:
            _, _, group = heapq.heappop(order)
            job_id = next(queues[group], None)
            record = self._jobs.find(job_id) if job_id else None
            if record is None or self._is_limited(record, now):
                continue
            if self.allocations.find(record.spec.job_id) is not None:
                heapq.heappush(order, self._rank_group(pool, group, summary.total))
                continue
            command = self._place(record, pool, summary, reservation, now)
            if command is not None:
                commands.append(command)
            else:
                unplaced += 1
                if reservation is None:
                    reservation = self._reserve(record, summary, now)
                    self._plan_preemption(record, pool, summary, now)
            heapq.heappush(order, self._rank_group(pool, group, summary.total))
        return commands

    def _rank_group(
        self, pool: str, group: SchedulingGroup, total: ResourceVector
    ) -> tuple[bool, float, SchedulingGroup]:
        team, is_routine = group
        return (is_routine, self.compute_weighted_share(pool, team, total), group)

    def get_pool_capacity(self, pool: str) -> tuple[int, ResourceVector, int]:
        """Return a pool's instance count, total resources and available instances."""
        summary = self._summarize_pool(pool)
        available = sum(len(records) for records in summary.racks.values())
        return summary.members, summary.total, available

    def compute_weighted_share(
        self, pool: str, team: str, total: ResourceVector
    ) -> float:
        """Return a team's dominant share of a pool divided by the team's weight.

        Parameters
        ----------
        pool : str
            The pool.
        team : str
            The team.
        total : ResourceVector
            Total resources of the pool.

        Returns
        -------
        float
            The share.
        """
        held = self.allocations.sum_team(pool, team)
        return held.compute_dominant_share(total) / self._get_weight(team)

    def _is_limited(self, record: JobRecord, now: float) -> bool:
        if now >= self._limited_until.get(record.spec.team, now):
            return False
        team = record.spec.team
        self._wait_reasons[record.spec.job_id] = f"team {team} is at its upper limit"
        return True

    # Placement of one job.

    def _place(
        self,
        record: JobRecord,
        pool: str,
        summary: _PoolSummary,
        reservation: _Reservation | None,
        now: float,
    ) -> PlaceJob | RefuseJob | None:
        spec = record.spec
        unschedulable = self.explain_unschedulable(spec, pool)
        if unschedulable:
            return RefuseJob(spec.job_id, unschedulable)
        request = self._estimate_request(spec, summary)
        end = now + self._estimator.estimate_run_seconds(spec)

        def rank(instance: InstanceRecord) -> int:
            reserved = reservation and reservation.instance == instance.name
            if reservation and reserved and end > reservation.start:
                return -1
            should_avoid = self._failures.should_avoid(
                spec.job_id, instance.name, now, repeatable=spec.repeatable
            )
            return int(should_avoid)

        choice = choose_instance(
            request,
            summary.racks,
            self.allocations.find_racks(pool, spec.team),
            self._get_free,
            rank,
        )
        if choice.instance is None:
            self._wait_reasons[spec.job_id] = choice.reason
            return None
        self._allocate(record, choice.instance.name)
        return PlaceJob(
            spec.job_id, record.attempt + 1, choice.instance.name, choice.reason
        )

    def _estimate_request(
        self, spec: SubmitJob, summary: _PoolSummary
    ) -> ResourceVector:
        """Return the estimated request, or the declared one if no instance fits it."""
        estimate = self._estimator.estimate_resources(spec)
        return estimate if estimate.fits(summary.largest) else get_resources(spec)

    def _get_free(self, instance: InstanceRecord) -> ResourceVector:
        return get_resources(instance).add(self.allocations.sum_used(instance.name), -1)

    def _reserve(
        self, record: JobRecord, summary: _PoolSummary, now: float
    ) -> _Reservation | None:
        request = self._estimate_request(record.spec, summary)
        best: _Reservation | None = None
        for instances in summary.racks.values():
            for instance in instances:
                start = self._estimate_start(instance, request, now)
                if start is not None and (best is None or start < best.start):
                    best = _Reservation(record.spec.job_id, instance.name, start)
        return best

    def _estimate_start(
        self, instance: InstanceRecord, request: ResourceVector, now: float
    ) -> float | None:
        free = self._get_free(instance)
        ends = []
        for allocation in self.allocations.list_on(instance.name):
            record = self._jobs.find(allocation.job_id)
            if record is not None:
                ends.append((self._estimator.estimate_end(record, now), allocation))
        ends.sort(key=lambda item: item[0])
        for end, allocation in ends:
            free = free.add(allocation.resources)
            if request.fits(free):
                return end
        return None

    # Preemption.

    def _plan_preemption(
        self, record: JobRecord, pool: str, summary: _PoolSummary, now: float
    ) -> None:
        spec = record.spec
        if not spec.urgent and now - record.submitted_at < PREEMPTION_WAIT_SECONDS:
            return
        if now - self._preempted_at.get(spec.job_id, 0.0) < PREEMPTION_INTERVAL_SECONDS:
            return
        request = self._estimate_request(spec, summary)
        options = [
            (instance, self._get_free(instance), candidates)
            for instances in summary.racks.values()
            for instance in instances
            if (candidates := self._list_candidates(record, request, instance, summary))
        ]
        victims = choose_victims(request, options)
        if not victims:
            return
        self._preempted_at[spec.job_id] = now
        beneficiary = (
            "an urgent job" if spec.urgent else "a job of a team below its share"
        )
        cause = f"preempted for {beneficiary}: {spec.job_id}"
        self.preemptions += [Preemption(item.job_id, cause) for item in victims]

    def _list_candidates(
        self,
        record: JobRecord,
        request: ResourceVector,
        instance: InstanceRecord,
        summary: _PoolSummary,
    ) -> list[Candidate]:
        spec = record.spec
        pool = self._jobs.find_pool(spec.queue)
        share_after = self._compute_share_after(
            pool, spec.team, request, 1, summary.total
        )
        current_share = self.compute_weighted_share(pool, spec.team, summary.total)
        candidates = []
        for allocation in self.allocations.list_on(instance.name):
            other = self._jobs.find(allocation.job_id)
            if other is None or not other.spec.repeatable or other.spec.urgent:
                continue
            same_team = allocation.team == spec.team
            share = self.compute_weighted_share(pool, allocation.team, summary.total)
            remaining_share = self._compute_share_after(
                pool, allocation.team, allocation.resources, -1, summary.total
            )
            is_above = (
                remaining_share >= share_after
                if not spec.urgent
                else share >= current_share
            )
            if is_above and not same_team or same_team and spec.urgent:
                candidates.append(Candidate(share, allocation))
        return candidates

    def _compute_share_after(
        self,
        pool: str,
        team: str,
        change: ResourceVector,
        sign: int,
        total: ResourceVector,
    ) -> float:
        held = self.allocations.sum_team(pool, team).add(change, sign)
        return held.compute_dominant_share(total) / self._get_weight(team)

    def _get_weight(self, team: str) -> float:
        rule = self._folder.team(team) if team else None
        return max(rule.share if rule else 1.0, MIN_WEIGHT)
