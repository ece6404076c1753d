"""Weighted fair shares of teams, measured in slot time."""

from collections.abc import Iterable

__all__ = ["FairShares"]

DEFAULT_COST_SECONDS = 0.05
MIN_WEIGHT = 0.001
COST_SMOOTHING_FACTOR = 0.1


class FairShares:
    """Start-time fair queueing over teams, charged by slot time.

    Each team has a virtual time that advances by the slot seconds charged to it,
    divided by its weight. The team with the smallest virtual time is served next. A
    team that was idle starts at the system's virtual time, so that it accumulates no
    credit while idle.
    """

    def __init__(self) -> None:
        self._virtual_times: dict[str, float] = {}
        self._costs: dict[str, float] = {}
        self._system_virtual_time = 0.0

    def activate(self, team: str) -> None:
        """Set the virtual time of a team that has work again after being idle."""
        self._virtual_times[team] = max(
            self._virtual_times.get(team, 0.0), self._system_virtual_time
        )

    def choose(self, teams: Iterable[str]) -> str | None:
        """Return the team to serve next.

        Parameters
        ----------
        teams : Iterable[str]
            Teams with work that may start now.

        Returns
        -------
        str or None
            The team with the smallest virtual time, or None without teams.
        """
        chosen = min(
            teams, key=lambda team: (self.get_virtual_time(team), team), default=None
        )
        if chosen is not None:
            self._system_virtual_time = max(
                self._system_virtual_time, self.get_virtual_time(chosen)
            )
        return chosen

    def get_virtual_time(self, team: str) -> float:
        """Return the virtual time of a team, in weighted slot seconds."""
        return self._virtual_times.get(team, self._system_virtual_time)

    def charge(self, team: str, weight: float) -> float:
        """Charge a team for work that starts, by its mean slot time.

        Parameters
        ----------
        team : str
            The team.
        weight : float
            Its weight.

        Returns
        -------
        float
            Seconds charged, to be settled when the work ends.
        """
        cost = self._costs.get(team, DEFAULT_COST_SECONDS)
        self._advance(team, cost, weight)
        return cost

    def settle(
        self, team: str, weight: float, charged_seconds: float, used_seconds: float
    ) -> None:
        """Replace a charge by the slot time that the work used.

        Parameters
        ----------
        team : str
            The team.
        weight : float
            Its weight.
        charged_seconds : float
            Seconds charged at the start.
        used_seconds : float
            Seconds that the slot was occupied.
        """
        self._advance(team, used_seconds - charged_seconds, weight)
        mean_cost = self._costs.get(team, used_seconds)
        self._costs[team] = mean_cost + COST_SMOOTHING_FACTOR * (
            used_seconds - mean_cost
        )

    def refund(self, team: str, weight: float, charged_seconds: float) -> None:
        """Refund the charge of work that did not start."""
        self._advance(team, -charged_seconds, weight)

    def forget(self, teams: Iterable[str]) -> None:
        """Remove the accounts of teams that no longer exist."""
        for team in teams:
            self._virtual_times.pop(team, None)
            self._costs.pop(team, None)

    def _advance(self, team: str, seconds: float, weight: float) -> None:
        step = seconds / max(weight, MIN_WEIGHT)
        self._virtual_times[team] = self.get_virtual_time(team) + step
