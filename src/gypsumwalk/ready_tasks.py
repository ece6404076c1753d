"""Jobs with ready tasks, grouped so that a pass skips those without room at once."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field, replace

from gypsumwalk.backlog import JobView
from gypsumwalk.declaration_records import Resources
from gypsumwalk.task_placement import find_need
from gypsumwalk.urgency import CriticalPath, find_critical_path
from gypsumwalk.workload_records import TaskKey, Workload

__all__ = ["JobGroup", "ReadyJob", "ReadyJobs", "find_least", "make_ready_job"]


@dataclass(slots=True)
class ReadyJob:
    """A job with ready tasks.

    Attributes
    ----------
    workload : Workload
        The job.
    tasks : dict
        Its ready tasks, by occurrence and step.
    least : Resources
        Lower bounds of what one of its ready tasks reserves.
    path : CriticalPath
        Its critical path; valid until a task of the job ends.
    is_lasting : bool
        Whether some of its ready tasks are lasting.
    is_transient : bool
        Whether some of its ready tasks are transient.
    view : JobView or None
        Its latest view for the order under overload.
    viewed_at : float
        Time in seconds at which that view was made.
    viewed_tasks : int
        Number of its ready tasks at that time.
    """

    workload: Workload
    tasks: dict[tuple[int, int], list[TaskKey]]
    least: Resources
    path: CriticalPath
    is_lasting: bool
    is_transient: bool
    view: JobView | None = None
    viewed_at: float = 0.0
    viewed_tasks: int = 0


@dataclass(slots=True)
class JobGroup:
    """Waiting jobs of one queue.

    Attributes
    ----------
    least : Resources
        Lower bounds of what one of their ready tasks reserves.
    jobs : dict of str to ReadyJob
        The jobs by identifier.
    lasting_jobs : set of str
        Identifiers of those with lasting tasks.
    """

    least: Resources
    jobs: dict[str, ReadyJob] = field(default_factory=dict)
    lasting_jobs: set[str] = field(default_factory=set)

    @property
    def is_lasting(self) -> bool:
        """Whether some of the ready tasks are lasting."""
        return bool(self.lasting_jobs)

    @property
    def any_job(self) -> ReadyJob:
        """One of the jobs."""
        return next(iter(self.jobs.values()))


class ReadyJobs:
    """Jobs with ready tasks, by queue."""

    def __init__(self) -> None:
        self._jobs: dict[str, ReadyJob] = {}
        self._groups: dict[tuple[str, str], JobGroup] = {}

    def __iter__(self) -> Iterator[ReadyJob]:
        return iter(self._jobs.values())

    def copy(self) -> "ReadyJobs":
        """Return a copy for reading, with copies of the jobs.

        The views that are made of the jobs of the copy are not kept in this object.
        """
        copied = ReadyJobs()
        for job in self._jobs.values():
            copied.put(replace(job))
        return copied

    def clear(self) -> None:
        """Remove all jobs."""
        self._jobs.clear()
        self._groups.clear()

    def put(self, job: ReadyJob) -> None:
        """Add a job, or replace what is known of it."""
        name = job.workload.job
        self._jobs[name] = job
        group = self._groups.setdefault(_find_key(job.workload), JobGroup(job.least))
        group.least = find_least([group.least, job.least])
        group.jobs[name] = job
        if job.is_lasting:
            group.lasting_jobs.add(name)
        else:
            group.lasting_jobs.discard(name)

    def remove(self, name: str) -> None:
        """Remove a job if it is there."""
        job = self._jobs.pop(name, None)
        if job is None:
            return
        key = _find_key(job.workload)
        group = self._groups[key]
        del group.jobs[name]
        group.lasting_jobs.discard(name)
        if not group.jobs:
            del self._groups[key]

    def list_groups(self) -> list[JobGroup]:
        """Return the groups, each with at least one job."""
        return list(self._groups.values())


def make_ready_job(workload: Workload, ready: Iterable[TaskKey]) -> ReadyJob | None:
    """Group the ready tasks of a job by step.

    Parameters
    ----------
    workload : Workload
        The job.
    ready : Iterable of TaskKey
        Its ready tasks.

    Returns
    -------
    ReadyJob or None
        The job with its ready tasks, or None if there are none.
    """
    tasks: dict[tuple[int, int], list[TaskKey]] = {}
    for task in ready:
        tasks.setdefault((task.occurrence, task.step), []).append(task)
    if not tasks:
        return None
    least = find_least(find_need(workload.steps[step]) for _, step in tasks)
    kinds = {workload.steps[step].lasting for _, step in tasks}
    return ReadyJob(
        workload,
        tasks,
        least,
        find_critical_path(workload),
        is_lasting=True in kinds,
        is_transient=False in kinds,
    )


def find_least(needs: Iterable[Resources]) -> Resources:
    """Return the least amount of each resource among some needs.

    Parameters
    ----------
    needs : Iterable of Resources
        The needs, at least one.

    Returns
    -------
    Resources
        The least amounts.
    """
    listed = list(needs)
    return Resources(
        min(need.cpu for need in listed),
        min(need.memory for need in listed),
        min(need.accelerators for need in listed),
    )


def _find_key(workload: Workload) -> tuple[str, str]:
    # The service counts for jobs whose queue is not declared any more.
    return workload.queue, workload.service
