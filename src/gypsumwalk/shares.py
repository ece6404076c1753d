"""Weighted fair shares of teams, by the time that their work occupies slots."""

from collections.abc import Iterable

__all__ = ["FairShares"]

DEFAULT_COST_SECONDS = 0.05
MIN_WEIGHT = 0.001
SMOOTHING = 0.1


class FairShares:
    """Start-time fair queueing over teams, charged by slot time.

    Each team has a virtual time that advances by the slot seconds charged to it,
    divided by its weight. The team with the smallest virtual time is served next. A
    team that was idle begins at the present virtual time, so idleness earns nothing.
    """

    def __init__(self) -> None:
        self._virtual: dict[str, float] = {}
        self._costs: dict[str, float] = {}
        self._floor = 0.0

    def activate(self, team: str) -> None:
        """Note that a team has work again after it had none."""
        self._virtual[team] = max(self._virtual.get(team, 0.0), self._floor)

    def choose(self, teams: Iterable[str]) -> str | None:
        """Return the team to serve next.

        Parameters
        ----------
        teams : Iterable[str]
            Teams that have work which may start now.

        Returns
        -------
        str or None
            The team with the smallest virtual time, or None without teams.
        """
        chosen = min(teams, key=lambda team: (self.measure(team), team), default=None)
        if chosen is not None:
            self._floor = max(self._floor, self.measure(chosen))
        return chosen

    def measure(self, team: str) -> float:
        """Return the virtual time of a team, in weighted slot seconds."""
        return self._virtual.get(team, self._floor)

    def charge(self, team: str, weight: float) -> float:
        """Charge a team for work that starts, by its usual slot time.

        Parameters
        ----------
        team : str
            The team.
        weight : float
            Its share.

        Returns
        -------
        float
            Seconds charged, to be settled when the work ends.
        """
        cost = self._costs.get(team, DEFAULT_COST_SECONDS)
        self._advance(team, cost, weight)
        return cost

    def settle(self, team: str, weight: float, charged: float, used: float) -> None:
        """Correct a charge by the slot time that the work really took.

        Parameters
        ----------
        team : str
            The team.
        weight : float
            Its share.
        charged : float
            Seconds charged at the start.
        used : float
            Seconds that the slot was occupied.
        """
        self._advance(team, used - charged, weight)
        usual = self._costs.get(team, used)
        self._costs[team] = usual + SMOOTHING * (used - usual)

    def refund(self, team: str, weight: float, charged: float) -> None:
        """Take back the charge of work that did not start."""
        self._advance(team, -charged, weight)

    def forget(self, teams: Iterable[str]) -> None:
        """Drop the figures of teams that no longer exist."""
        for team in teams:
            self._virtual.pop(team, None)
            self._costs.pop(team, None)

    def _advance(self, team: str, seconds: float, weight: float) -> None:
        step = seconds / max(weight, MIN_WEIGHT)
        self._virtual[team] = self.measure(team) + step
