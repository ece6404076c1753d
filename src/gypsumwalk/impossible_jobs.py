"""Jobs that can never run on the machines of the fleet or within a quota.

Such a job would wait without an end, and its caller would not know why. A machine may
move between pools, so a job is impossible only if no machine of the whole fleet can run
one of its tasks.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from gypsumwalk.declaration_records import DeclaredTeam, Resources
from gypsumwalk.instance_actions import MachineInfo
from gypsumwalk.placement_limits import is_within_quota
from gypsumwalk.task_placement import find_need
from gypsumwalk.workload_records import RegisteredInstance, Step

__all__ = ["KnownMachine", "find_obstacle", "list_known_machines"]


@dataclass(frozen=True, slots=True)
class KnownMachine:
    """What a machine of the fleet offers to tasks.

    Attributes
    ----------
    capacity : Resources
        Its resources.
    labels : frozenset of str
        Its labels.
    """

    capacity: Resources
    labels: frozenset[str]


def list_known_machines(
    machines: Mapping[str, MachineInfo], instances: Iterable[RegisteredInstance]
) -> list[KnownMachine] | None:
    """Return what each machine of a fleet offers.

    Parameters
    ----------
    machines : Mapping of str to MachineInfo
        All machines by identifier.
    instances : Iterable of RegisteredInstance
        Registered instances; one on a machine that is not listed counts, too.

    Returns
    -------
    list of KnownMachine or None
        The machines; None if the resources or labels of one of them are not known.
    """
    known = [
        KnownMachine(info.capacity, frozenset(info.labels))
        for info in machines.values()
        if info.capacity != Resources() and info.labels
    ]
    registered = list(instances)
    known += [
        KnownMachine(item.capacity, frozenset(item.labels)) for item in registered
    ]
    announced = {item.machine for item in registered}
    for name, info in machines.items():
        is_described = info.capacity != Resources() and bool(info.labels)
        if not is_described and name not in announced:
            return None
    return known


def find_obstacle(
    steps: Sequence[Step],
    machines: Sequence[KnownMachine],
    team: DeclaredTeam | None,
) -> str:
    """Return why a job can never run.

    Parameters
    ----------
    steps : Sequence of Step
        Steps of the job.
    machines : Sequence of KnownMachine
        All machines of the fleet.
    team : DeclaredTeam or None
        Team that submits it, None without a key.

    Returns
    -------
    str
        The reason, empty if the job may run.
    """
    for number, step in enumerate(steps):
        reason = _find_quota_obstacle(step, team) or _find_machine_obstacle(
            step, machines
        )
        if reason:
            return f"step {number} can never run: {reason}"
    return ""


def _find_quota_obstacle(step: Step, team: DeclaredTeam | None) -> str:
    if team is None:
        return ""
    # The tasks of a gang run only all together.
    needed = step.need * (step.count if step.gang else 1)
    if is_within_quota(needed, team.quota):
        return ""
    what = "its gang needs" if step.gang else "a task needs"
    return (
        f'{what} {_describe(needed)}, and the quota of team "{team.name}" is'
        f" {_describe(team.quota)}"
    )


def _find_machine_obstacle(step: Step, machines: Sequence[KnownMachine]) -> str:
    labelled = [
        item for item in machines if not step.label or step.label in item.labels
    ]
    if not labelled:
        return f'no machine has the label "{step.label}"'
    need = find_need(step)
    if any(need.fits(item.capacity) for item in labelled):
        return ""
    largest = max((item.capacity for item in labelled), key=lambda item: item.cpu)
    where = f' with the label "{step.label}"' if step.label else ""
    return (
        f"a task needs {_describe(need)}, and no machine{where} has that; the one with"
        f" the most processors has {_describe(largest)}"
    )


def _describe(resources: Resources) -> str:
    return (
        f"{resources.cpu / 1000:g} cores, {resources.memory} MB and"
        f" {resources.accelerators} accelerators"
    )
