"""Baseline rebalancing policies for comparison."""

from collections.abc import Sequence
from math import ceil

from gypsumwalk.rebalancing import PlannedMove, PoolLoad

__all__ = ["GreedyPolicy", "StaticPolicy"]


class StaticPolicy:
    """Policy that moves no instances."""

    def record_loss(self, pool: str, now: float) -> None:
        """Do nothing."""

    def choose_moves(self, loads: Sequence[PoolLoad], now: float) -> list[PlannedMove]:
        """Return no moves."""
        return []


class GreedyPolicy:
    """Policy that fills any shortage at once from the least loaded pool."""

    def record_loss(self, pool: str, now: float) -> None:
        """Do nothing."""

    def choose_moves(self, loads: Sequence[PoolLoad], now: float) -> list[PlannedMove]:
        """Return a move for each missing instance that another pool can spare."""
        movable = {load.name: load.movable for load in loads}
        moves = []
        for load in loads:
            missing = ceil(load.demand) - load.available - load.incoming
            sources = sorted(loads, key=lambda item: item.demand - item.available)
            for source in sources:
                while missing > 0 and source != load and movable[source.name] > 0:
                    movable[source.name] -= 1
                    missing -= 1
                    moves.append(PlannedMove(source.name, load.name, "greedy"))
        return moves
