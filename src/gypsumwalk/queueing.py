"""Order in which waiting jobs are placed, and where."""

import msgspec

from gypsumwalk.instances import InstanceRecord
from gypsumwalk.job_records import (
    EndJob,
    JobRecord,
    PlaceJob,
    RefuseJob,
    StartedJob,
)
from gypsumwalk.jobs import JobSection
from gypsumwalk.placement import Usage, choose_instance, explain_never, size_of
from gypsumwalk.platform import WorkerReport
from gypsumwalk.pools import PoolSection
from gypsumwalk.state import Rejected
from gypsumwalk.suspicion import SuspicionTable
from gypsumwalk.views import FolderView

__all__ = ["Planner"]

MAX_PLACEMENTS_PER_PASS = 200


class Planner:
    """Plans placements while this daemon leads.

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
    """

    def __init__(
        self,
        jobs: JobSection,
        pools: PoolSection,
        folder: FolderView,
        suspicion: SuspicionTable,
    ) -> None:
        self._jobs = jobs
        self._pools = pools
        self._folder = folder
        self._suspicion = suspicion
        self._waits: dict[str, str] = {}

    def reset(self) -> None:
        """Forget what was learned, as another daemon may have led since."""
        self._waits.clear()

    def learn(self, report: WorkerReport) -> None:
        """Take in a worker's lagged usage."""

    def note(self, command: msgspec.Struct) -> None:
        """Take in a committed command."""
        if isinstance(command, PlaceJob | RefuseJob | EndJob | StartedJob):
            self._waits.pop(command.job_id, None)

    def note_rejection(self, job_id: str, rejection: msgspec.Struct) -> None:
        """Take in why a proposed placement was refused."""
        if isinstance(rejection, Rejected):
            self._waits[job_id] = rejection.detail

    def explain(self, job_id: str) -> str:
        """Return why a job waits, or empty."""
        return self._waits.get(job_id, "")

    def plan(self, now: float) -> list[PlaceJob | RefuseJob]:
        """Choose placements for the jobs that wait.

        Parameters
        ----------
        now : float
            Time in seconds.

        Returns
        -------
        list of PlaceJob or RefuseJob
            Commands to propose.
        """
        waiting = [job for job in self._jobs.waiting() if job.not_before <= now]
        if not waiting:
            return []
        waiting.sort(key=lambda job: (not job.spec.urgent, job.submitted_at))
        usage: dict[str, dict[str, Usage]] = {}
        commands: list[PlaceJob | RefuseJob] = []
        for job in waiting:
            command = self._place(job, usage, now)
            if command is not None:
                commands.append(command)
            if len(commands) >= MAX_PLACEMENTS_PER_PASS:
                break
        return commands

    def _place(
        self, job: JobRecord, usage: dict[str, dict[str, Usage]], now: float
    ) -> PlaceJob | RefuseJob | None:
        spec = job.spec
        pool = self._jobs.find_pool(spec.queue)
        never = explain_never(spec, pool, self._folder.folder)
        if never:
            return RefuseJob(spec.job_id, never)
        candidates = self._list_candidates(pool)
        if pool not in usage:
            usage[pool] = {item.name: self._measure(item) for item in candidates}
        racks = self._count_racks(spec.team, candidates)
        size = size_of(spec)
        choice = choose_instance(
            job, size, candidates, usage[pool], racks, self._suspicion, now
        )
        if not choice.instance:
            self._waits[spec.job_id] = choice.reason
            return None
        room = usage[pool][choice.instance]
        room.free = room.free.add(size, -1)
        return PlaceJob(spec.job_id, job.attempt + 1, choice.instance, choice.reason)

    def _list_candidates(self, pool: str) -> list[InstanceRecord]:
        records = [self._pools.find(name) for name in self._pools.members(pool)]
        return [record for record in records if record and record.available]

    def _measure(self, instance: InstanceRecord) -> Usage:
        usage = Usage(size_of(instance))
        for job in self._jobs.on_instance(instance.name):
            usage.free = usage.free.add(size_of(job.spec), -1)
            usage.jobs += 1
        return usage

    def _count_racks(
        self, team: str, candidates: list[InstanceRecord]
    ) -> dict[str, int]:
        racks: dict[str, int] = {}
        for record in candidates:
            for job in self._jobs.on_instance(record.name):
                if job.spec.team == team:
                    racks[record.rack] = racks.get(record.rack, 0) + 1
        return racks
