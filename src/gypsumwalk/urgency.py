"""Priority of waiting jobs by the time left until they miss their objective.

When a queue submits more than its pool has capacity for, first come, first served
makes every job late. Instead, jobs that can still meet their objective go first, and
among these the jobs that have started; jobs that will be late wait for capacity. Within
a tier the job with the least slack goes first. Jobs whose slack is below the usual
prediction error are likely to be late and come after the others, since they would take
the capacity of jobs that can be on time.

The objective of a job is relative to the time that its tasks run, while the time until
their ends are known includes the overhead of placing, starting and listing them. That
overhead grows with the load of the leader and is measured.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from gypsumwalk.declaration_records import DeclaredQueue
from gypsumwalk.task_durations import DurationTable
from gypsumwalk.workload_records import Workload, WorkloadState

__all__ = [
    "LATE",
    "CriticalPath",
    "JobTimes",
    "Urgency",
    "UrgencyEstimator",
    "find_critical_path",
]

START_OVERHEAD_SECONDS = 0.1
"""Margin for overhead that is not measured, as the time until a job is accepted."""

OVERHEAD_SMOOTHING = 0.02
"""Weight of a new sample in the mean overhead, about the last 50 tasks."""

MAX_OVERHEAD_SECONDS = 0.5
"""Largest overhead of a task that is counted, so that a stall does not make all jobs
count as late."""

LATE_FACTOR = 3.0
"""A job that takes more than this multiple of its objective has no value left."""

STARTED = 0
ON_TIME = 1
AT_RISK = 2
LATE = 3
EXPIRED = 4


@dataclass(frozen=True, slots=True)
class Urgency:
    """Priority of a job; lower values are scheduled first.

    Attributes
    ----------
    tier : int
        0 for a job that has started and can be on time, and for lasting and recurring
        jobs; 1 for one that has not started; 2 for one at risk of being late; 3 for
        one that will be late; 4 for one that has no value left.
    sort_key : float
        Order within a tier: the latest time in seconds at which work must go on for
        the job to be on time; for lasting and recurring jobs the time of acceptance;
        for late jobs the sum of the processors that their tasks need.
    """

    tier: int
    sort_key: float


@dataclass(frozen=True, slots=True)
class JobTimes:
    """Times of the objective of a job, in seconds.

    Attributes
    ----------
    latest_start : float
        Time at which work must go on for the job to be on time, less the usual
        prediction error if it has not started.
    due : float
        Time at which it has to be done to be on time.
    expires : float
        Time from which its result has no value.
    """

    latest_start: float
    due: float
    expires: float


@dataclass(frozen=True, slots=True)
class CriticalPath:
    """What the rating of a job needs to know of its steps.

    It depends only on the steps and on which of them are done, so it is valid until a
    task of the job ends.

    Attributes
    ----------
    is_open_ended : bool
        Whether the job is lasting or recurring, so that it has no end to be late.
    work : int
        Sum of the processors that its tasks need, in thousandths of a core.
    total_steps : int
        Largest number of steps that must run one after the other.
    remaining_steps : int
        The same for the steps that are not done.
    total_estimate : float or None
        Largest sum of estimates of steps that must run one after the other, in seconds;
        None if some steps have estimates and others have none.
    remaining_estimate : float
        The same for the steps that are not done.
    """

    is_open_ended: bool
    work: int
    total_steps: int
    remaining_steps: int
    total_estimate: float | None
    remaining_estimate: float


class UrgencyEstimator:
    """Rates jobs by their slack, using task durations learned per queue."""

    def __init__(self) -> None:
        self._durations = DurationTable()
        self._overhead = 0.0

    def record_overhead(self, seconds: float) -> None:
        """Record the overhead of a finished task.

        Parameters
        ----------
        seconds : float
            Part of its duration in which it did not run.
        """
        sample = min(seconds, MAX_OVERHEAD_SECONDS)
        self._overhead += OVERHEAD_SMOOTHING * (sample - self._overhead)

    def record_duration(self, workload: Workload, step: int, seconds: float) -> None:
        """Record the duration of a finished task; lasting tasks are ignored.

        Parameters
        ----------
        workload : Workload
            Job of the task.
        step : int
            Number of its step.
        seconds : float
            Duration of the task, from its placement until its end is known.
        """
        if not workload.steps[step].lasting:
            estimate = workload.steps[step].estimate
            self._durations.record_duration(workload.queue, estimate, seconds)

    def predict(self, workload: Workload, step: int) -> float:
        """Return the predicted duration of a task of a step in seconds."""
        return self._durations.predict(workload.queue, workload.steps[step].estimate)

    def find_mean_duration(self, queue: str) -> float | None:
        """Return the mean task duration of a queue in seconds, None if unknown."""
        return self._durations.find_mean(queue)

    def count_durations(self, queue: str) -> int:
        """Return the number of tasks of a queue whose durations are known."""
        return self._durations.count_durations(queue)

    def rate(
        self,
        workload: Workload,
        queue: DeclaredQueue,
        now: float,
        path: CriticalPath | None = None,
    ) -> Urgency:
        """Return the priority of a job.

        Parameters
        ----------
        workload : Workload
            The job.
        queue : DeclaredQueue
            Its queue.
        now : float
            Time in seconds.
        path : CriticalPath, optional
            Its critical path, if no task of the job has ended since it was found.

        Returns
        -------
        Urgency
            Tier, and order within it.
        """
        path = path or find_critical_path(workload)
        if path.is_open_ended:
            return Urgency(STARTED, workload.accepted)
        allowed, remaining = self._find_allowed(workload, queue, path)
        waited = now - max(workload.accepted, workload.first_run)
        slack = allowed - waited - remaining
        if slack >= 0:
            if workload.state is WorkloadState.RUNNING:
                return Urgency(STARTED, now + slack)
            margin = self._find_margin(workload)
            return Urgency(ON_TIME if slack >= margin else AT_RISK, now + slack)
        is_expired = waited + remaining > LATE_FACTOR * allowed
        return Urgency(EXPIRED if is_expired else LATE, path.work)

    def find_times(
        self,
        workload: Workload,
        queue: DeclaredQueue,
        path: CriticalPath,
        now: float,
    ) -> JobTimes:
        """Return the times of the objective of a job that has an end.

        Parameters
        ----------
        workload : Workload
            The job; it counts as submitted now if it is not accepted yet.
        queue : DeclaredQueue
            Its queue.
        path : CriticalPath
            Its critical path.
        now : float
            Time in seconds.

        Returns
        -------
        JobTimes
            The times.
        """
        allowed, remaining = self._find_allowed(workload, queue, path)
        begin = max(workload.accepted or now, workload.first_run)
        due = begin + allowed
        has_started = workload.state is WorkloadState.RUNNING
        margin = 0.0 if has_started else self._find_margin(workload)
        expires = begin + LATE_FACTOR * allowed
        return JobTimes(due - remaining - margin, due, expires)

    def _find_allowed(
        self, workload: Workload, queue: DeclaredQueue, path: CriticalPath
    ) -> tuple[float, float]:
        """Return the objective and the remaining duration of a job, in seconds."""
        total, remaining = self._predict(workload, path)
        run_time = max(0.0, total - path.total_steps * self._overhead)
        return queue.stretch * run_time + queue.objective, remaining

    def _find_margin(self, workload: Workload) -> float:
        return START_OVERHEAD_SECONDS + self._durations.find_error(workload.queue)

    def find_slack(self, workload: Workload, queue: DeclaredQueue) -> float:
        """Return the seconds that a job can wait and still meet its objective."""
        total, _ = self._predict(workload, find_critical_path(workload))
        return (queue.stretch - 1) * total + queue.objective

    def predict_job(self, workload: Workload) -> float:
        """Return the predicted duration of a job without waits, in seconds.

        It is 0 if neither estimates nor durations of its queue are known.
        """
        return self._predict(workload, find_critical_path(workload))[0]

    def _predict(self, workload: Workload, path: CriticalPath) -> tuple[float, float]:
        """Return the duration of the critical path in seconds, total and remaining."""
        if path.total_estimate is None:
            return self._predict_mixed(workload)
        ratio, mean = self._durations.find_factors(workload.queue)
        if ratio is None or not path.total_estimate:
            return mean * path.total_steps, mean * path.remaining_steps
        return ratio * path.total_estimate, ratio * path.remaining_estimate

    def _predict_mixed(self, workload: Workload) -> tuple[float, float]:
        durations = [
            self._durations.predict(workload.queue, step.estimate)
            for step in workload.steps
        ]
        return _sum_longest(workload, durations)


def find_critical_path(workload: Workload) -> CriticalPath:
    """Find the critical path of a job, without the durations learned of its queue.

    Parameters
    ----------
    workload : Workload
        The job.

    Returns
    -------
    CriticalPath
        Its critical path.
    """
    steps = workload.steps
    total_steps, remaining_steps = _sum_longest(workload, [1] * len(steps))
    estimates = [step.estimate for step in steps]
    total, remaining = _sum_longest(workload, estimates)
    is_mixed = any(estimates) and not all(estimates)
    return CriticalPath(
        is_open_ended=workload.occurrences > 1 or any(step.lasting for step in steps),
        work=sum(step.count * step.need.cpu for step in steps),
        total_steps=int(total_steps),
        remaining_steps=int(remaining_steps),
        total_estimate=None if is_mixed else total,
        remaining_estimate=remaining,
    )


def _sum_longest(workload: Workload, durations: Sequence[float]) -> tuple[float, float]:
    """Return the longest sum over dependent steps, of all and of those not done."""
    totals: list[float] = []
    remainders: list[float] = []
    for number, step in enumerate(workload.steps):
        duration = durations[number]
        done = workload.is_step_done(0, number)
        total = max((totals[item] for item in step.after), default=0.0)
        unfinished = max((remainders[item] for item in step.after), default=0.0)
        totals.append(total + duration)
        remainders.append(unfinished + (0.0 if done else duration))
    return max(totals, default=0.0), max(remainders, default=0.0)
