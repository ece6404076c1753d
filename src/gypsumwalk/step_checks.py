"""Checks of the steps of a job that an operator describes."""

from collections.abc import Sequence

from gypsumwalk.workload_records import Step

__all__ = ["MAX_TASKS", "find_step_errors"]

MAX_TASKS = 100_000
"""Largest number of tasks, that of a job which callers may submit."""

MAX_AMOUNT = 2**53
"""Largest amount of a resource, and largest duration in seconds."""


def find_step_errors(steps: Sequence[Step]) -> list[str]:
    """Return what is wrong with the steps of a job.

    Parameters
    ----------
    steps : Sequence of Step
        The steps.

    Returns
    -------
    list of str
        The errors, each with the number of the step; empty if there are none.
    """
    if not steps:
        return ["a job requires at least one step"]
    errors = [
        f"step {number}: {error}"
        for number, step in enumerate(steps)
        for error in _find_errors(number, step)
    ]
    tasks = sum(max(0, step.count) for step in steps)
    if tasks > MAX_TASKS:
        errors.append(f"the job has {tasks} tasks, the limit is {MAX_TASKS}")
    return errors


def _find_errors(number: int, step: Step) -> list[str]:
    errors = []
    if step.count < 1:
        errors.append(f"count is {step.count}, expected at least 1")
    if wrong := [item for item in step.after if not 0 <= item < number]:
        errors.append(f"after names step {wrong[0]}, expected one before it")
    amounts = (step.need.cpu, step.need.memory, step.need.accelerators, step.estimate)
    if not all(0 <= amount <= MAX_AMOUNT for amount in amounts):
        errors.append("need and estimate have to be from 0 to 2**53")
    if step.max_per_instance < 0:
        errors.append("max_per_instance has to be 0 or more")
    return errors
