"""Value of a job to its caller, which the order under overload maximises."""

from gypsumwalk.backlog import JobView

__all__ = ["LATE_SHARE", "find_size", "find_value", "find_value_density"]

FIXED_SHARE = 0.3
"""Share of the mean value that each job of a queue has, whatever its work."""

SIZE_SHARE = 0.7
"""Share of the mean value that grows with the work of a job."""

MAX_VALUE = 4.0
"""Largest value of a job, as a multiple of the mean value of its queue."""

LATE_SHARE = 0.07
"""Share of its value that a late job keeps; excess work counts the same."""

MIN_WORK = 1e-3
"""Least remaining work in core-seconds that a value is related to."""


def find_size(job: JobView) -> float:
    """Return the work of a job relative to the mean of its queue, 1 if unknown."""
    return job.total_work / job.mean_work if job.mean_work > 0 else 1.0


def find_value(job: JobView) -> float:
    """Return the value of a job that is completed on time.

    Parameters
    ----------
    job : JobView
        The job.

    Returns
    -------
    float
        Value as a multiple of the mean value of its queue.
    """
    value = min(MAX_VALUE, FIXED_SHARE + SIZE_SHARE * find_size(job))
    return value * LATE_SHARE if job.is_excess else value


def find_value_density(job: JobView) -> float:
    """Return the value of a job per core-second of its remaining work.

    The work that is done already does not count: it is spent, whether the job goes on
    or not.
    """
    return find_value(job) / max(job.work, MIN_WORK)
