"""Limits of placements: quotas of teams, and the spread of a step over instances."""

from collections import Counter
from collections.abc import Mapping
from sys import maxsize

from gypsumwalk.declaration_records import Resources
from gypsumwalk.declarations import DeclarationSection
from gypsumwalk.leases import LeaseTable
from gypsumwalk.task_placement import Candidate
from gypsumwalk.workload_records import Step, TaskKey

__all__ = ["SpreadLimit", "TeamQuotas", "is_within_quota"]


class TeamQuotas:
    """Quotas of the teams, and what a pass keeps of them for lasting tasks.

    Parameters
    ----------
    declarations : DeclarationSection
        Declaration in force.
    """

    def __init__(self, declarations: DeclarationSection) -> None:
        self._declarations = declarations
        self._kept: dict[str, Resources] = {}

    def copy(self) -> "TeamQuotas":
        """Return a copy whose changes do not affect this object."""
        copied = TeamQuotas(self._declarations)
        copied._kept = dict(self._kept)
        return copied

    def clear_kept(self) -> None:
        """Keep nothing, at the start of a pass."""
        self._kept.clear()

    def keep(self, team: str, need: Resources) -> None:
        """Keep quota of a team from the rest of the pass."""
        self._kept[team] = self._kept.get(team, Resources()) + need

    def add_kept(self, team: str, usage_by_team: Mapping[str, Resources]) -> Resources:
        """Return the usage of a team with the quota that is kept for lasting tasks."""
        kept = self._kept.get(team, Resources())
        return usage_by_team.get(team, Resources()) + kept

    def get_quota(self, team: str) -> Resources:
        """Return the quota of a team, in which 0 means unlimited."""
        declared = self._declarations.get_team(team)
        return declared.quota if declared is not None else Resources()

    def has_quota(
        self, team: str, step: Step, usage_by_team: Mapping[str, Resources]
    ) -> bool:
        """Tell whether a task of a step is within the quota of a team."""
        declared = self._declarations.get_team(team)
        if declared is None:
            return True
        used = self.add_kept(team, usage_by_team) + step.need
        return is_within_quota(used, declared.quota)

    def charge(
        self, team: str, step: Step, count: int, used: dict[str, Resources]
    ) -> int:
        """Charge up to a number of tasks to a quota; return how many fit.

        Parameters
        ----------
        team : str
            Team that is charged.
        step : Step
            Step of the tasks.
        count : int
            Number of the tasks.
        used : dict of str to Resources
            Usage by team, which is increased.

        Returns
        -------
        int
            Number of the tasks that are charged.
        """
        declared = self._declarations.get_team(team)
        in_use = used.get(team, Resources())
        if declared is not None:
            count = _count_within_quota(in_use, step.need, declared.quota, count)
        used[team] = in_use + step.need * count
        return count


class SpreadLimit:
    """Limit of the tasks of a step and occurrence on one instance."""

    def __init__(self, step: Step, task: TaskKey, lease_table: LeaseTable) -> None:
        self._most = step.max_per_instance
        self._counts: Counter[str] = Counter()
        if self._most:
            for run in lease_table.list_runs_of_job(task.job):
                if run.task[:3] == task[:3]:
                    self._counts[run.life] += 1

    def allows(self, item: Candidate) -> bool:
        """Tell whether an instance may take one more task."""
        return self.count_allowed(item) > 0

    def count_allowed(self, item: Candidate) -> int:
        """Return how many more tasks an instance may take."""
        if not self._most:
            return maxsize
        return self._most - self._counts[item.view.registered.life]

    def count(self, item: Candidate) -> None:
        """Count one more task on an instance."""
        if self._most:
            self._counts[item.view.registered.life] += 1

    def uncount(self, item: Candidate) -> None:
        """Undo ``count``."""
        if self._most:
            self._counts[item.view.registered.life] -= 1


def is_within_quota(used: Resources, quota: Resources) -> bool:
    """Tell whether usage is within a quota, where 0 means unlimited.

    Parameters
    ----------
    used : Resources
        Resources in use.
    quota : Resources
        Upper limits.

    Returns
    -------
    bool
        Whether no limit is exceeded.
    """
    return (
        (not quota.cpu or used.cpu <= quota.cpu)
        and (not quota.memory or used.memory <= quota.memory)
        and (not quota.accelerators or used.accelerators <= quota.accelerators)
    )


def _count_within_quota(
    used: Resources, need: Resources, quota: Resources, count: int
) -> int:
    """Return how many tasks can be added one by one within a quota."""
    for in_use, added, limit in (
        (used.cpu, need.cpu, quota.cpu),
        (used.memory, need.memory, quota.memory),
        (used.accelerators, need.accelerators, quota.accelerators),
    ):
        if limit and in_use + added > limit:
            return 0
        if limit and added:
            count = min(count, (limit - in_use) // added)
    return count
