"""Prediction of which jobs will be late in any case, and when their runs end."""

from collections.abc import Callable

from gypsumwalk.declarations import DeclarationSection
from gypsumwalk.leases import RunView
from gypsumwalk.urgency import LATE, CriticalPath, UrgencyEstimator
from gypsumwalk.workload_records import Workload
from gypsumwalk.workloads import WorkloadSection

__all__ = ["LatenessPredictor"]

MAX_PREEMPTED_RUNS = 2
"""Runs of a task that may be stopped for work on time. Without a bound, turns of other
queues stop a long task each time before it ends, and its job is never done."""


class LatenessPredictor:
    """Predicts late jobs from their objectives and the learned durations.

    Parameters
    ----------
    declarations : DeclarationSection
        Declaration in force.
    workloads : WorkloadSection
        Jobs and instances.
    urgency : UrgencyEstimator
        Slack of jobs and durations of tasks.
    is_excess : Callable
        Tells whether a job is beyond the weight of its team.
    """

    def __init__(
        self,
        declarations: DeclarationSection,
        workloads: WorkloadSection,
        urgency: UrgencyEstimator,
        is_excess: Callable[[str], bool],
    ) -> None:
        self._declarations = declarations
        self._workloads = workloads
        self._urgency = urgency
        self._is_excess = is_excess

    def is_deferrable(
        self, workload: Workload, now: float, path: CriticalPath | None = None
    ) -> bool:
        """Tell whether a job only gets the machines that other work leaves.

        These are late jobs, and jobs of a team that submits more than its weight.

        Parameters
        ----------
        workload : Workload
            The job.
        now : float
            Time in seconds.
        path : CriticalPath, optional
            Its critical path, if no task of the job has ended since it was found.

        Returns
        -------
        bool
            Whether other work goes first; False for a job of a queue without an
            objective.
        """
        queue = self._declarations.get_queue(workload.queue)
        if queue is None or not queue.objective:
            return False
        return self._is_excess(workload.job) or self.will_be_late(workload, now, path)

    def will_be_late(
        self, workload: Workload, now: float, path: CriticalPath | None = None
    ) -> bool:
        """Tell whether a job misses its objective even if it goes on at once.

        Parameters
        ----------
        workload : Workload
            The job.
        now : float
            Time in seconds.
        path : CriticalPath, optional
            Its critical path, if no task of the job has ended since it was found.

        Returns
        -------
        bool
            False for a job of a queue without an objective.
        """
        queue = self._declarations.get_queue(workload.queue)
        if queue is None or not queue.objective:
            return False
        return self._urgency.rate(workload, queue, now, path).tier >= LATE

    def may_preempt(self, run: RunView, now: float) -> bool:
        """Tell whether a transient run may be stopped, as its job will be late anyway.

        Members of a gang are left alone, since the others could not go on, and so are
        tasks that had to begin again several times.
        """
        if run.run > MAX_PREEMPTED_RUNS:
            return False
        workload = self._workloads.jobs.get(run.task.job)
        if workload is None or run.is_lasting or workload.steps[run.task.step].gang:
            return False
        return self.will_be_late(workload, now)

    def predict_remaining(self, run: RunView, elapsed: float) -> float:
        """Return the predicted time in seconds until a run ends, at least 0.

        Parameters
        ----------
        run : RunView
            The run.
        elapsed : float
            Time in seconds since its start.

        Returns
        -------
        float
            Predicted time, 0 if its job is not known.
        """
        workload = self._workloads.jobs.get(run.task.job)
        if workload is None:
            return 0.0
        return max(0.0, self._urgency.predict(workload, run.task.step) - elapsed)
