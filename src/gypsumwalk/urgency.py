"""Order of waiting jobs: which can still be in time, and which should start first.

The pattern that this answers: a queue in its turn hands in more than its pool holds.
First come, first served makes every job late then. Here jobs that can still keep their
objective go first, those begun before those not begun; the others wait for room. Among
them the one with the least time left goes first, unless it is likely to be late by the
error of the lengths expected: such jobs would take the room of those behind them.
"""

from dataclasses import dataclass

from gypsumwalk.declaration_records import DeclaredQueue
from gypsumwalk.lengths import LengthTable
from gypsumwalk.workload_records import Workload, WorkloadState

__all__ = ["Urgencies", "Urgency"]

START_SECONDS = 0.1
"""Time in seconds from the decision to start a task until its end is noted, at most."""

LATE_FACTOR = 3.0
"""A job that takes this many times its objective is worth nothing any more."""

BEGUN = 0
IN_TIME = 1
AT_RISK = 2
LATE = 3
WORTHLESS = 4


@dataclass(frozen=True, slots=True)
class Urgency:
    """Place of a job in the order.

    Attributes
    ----------
    standing : int
        0 for a job that has begun and can be in time, 1 for one that has not begun,
        2 for one that is as likely late, 3 for one that will be late, 4 for one whose
        time is over.
    order : float
        Within a standing: latest time to go on, or the work of late jobs.
    """

    standing: int
    order: float


class Urgencies:
    """Learns the lengths of tasks, and rates jobs by what is left of their time."""

    def __init__(self) -> None:
        self._lengths = LengthTable()

    def learn(self, workload: Workload, step: int, seconds: float) -> None:
        """Take in how long a task has taken.

        Parameters
        ----------
        workload : Workload
            Its job.
        step : int
            Its step.
        seconds : float
            Its length.
        """
        if not workload.steps[step].lasting:
            estimate = workload.steps[step].estimate
            self._lengths.learn(workload.queue, estimate, seconds)

    def find_length(self, queue: str) -> float | None:
        """Return the mean length in seconds of a queue's tasks, None before one."""
        return self._lengths.find_mean(queue)

    def rate(self, workload: Workload, queue: DeclaredQueue, now: float) -> Urgency:
        """Rate one job.

        Parameters
        ----------
        workload : Workload
            The job.
        queue : DeclaredQueue
            Its queue.
        now : float
            Time in seconds.

        Returns
        -------
        Urgency
            Its place in the order.
        """
        if workload.occurrences > 1 or any(step.lasting for step in workload.steps):
            return Urgency(BEGUN, workload.accepted)
        total, remaining = self._find_chain(workload)
        allowed = queue.stretch * total + queue.objective
        waited = now - max(workload.accepted, workload.first_run)
        spare = allowed - waited - remaining
        if spare >= 0:
            if workload.state is WorkloadState.RUNNING:
                return Urgency(BEGUN, now + spare)
            margin = START_SECONDS + self._lengths.find_error(workload.queue)
            return Urgency(IN_TIME if spare >= margin else AT_RISK, now + spare)
        over = waited + remaining > LATE_FACTOR * allowed
        work = sum(step.count * step.need.cpu for step in workload.steps)
        return Urgency(WORTHLESS if over else LATE, work)

    def find_slack(self, workload: Workload, queue: DeclaredQueue) -> float:
        """Return the time in seconds that a job can wait and still be in time."""
        total, _ = self._find_chain(workload)
        return (queue.stretch - 1) * total + queue.objective

    def _find_chain(self, workload: Workload) -> tuple[float, float]:
        """Return the longest chain of work, in whole and as far as it is not done."""
        totals: list[float] = []
        remainders: list[float] = []
        for number, step in enumerate(workload.steps):
            length = self._lengths.expect(workload.queue, step.estimate)
            done = workload.is_step_done(0, number)
            total = max((totals[item] for item in step.after), default=0.0)
            left = max((remainders[item] for item in step.after), default=0.0)
            totals.append(total + length)
            remainders.append(left + (0.0 if done else length))
        return max(totals, default=0.0), max(remainders, default=0.0)
