"""Events of what holds back the machines of a wave."""

from collections.abc import Sequence

from gypsumwalk.effects import Effect, Record, Scalar
from gypsumwalk.events import Event
from gypsumwalk.upkeep import UpkeepWave
from gypsumwalk.wave_pacing import HoldReason, WaveMachine, WavePlan, find_hold

__all__ = ["WaveHolds"]

REPORT_SECONDS = 1.0
"""Shortest time between two events of one machine; the runs on a machine in use come
and go several times a second."""


class WaveHolds:
    """Reasons that were reported last, by wave and machine."""

    def __init__(self) -> None:
        self._reported: dict[tuple[int, str], tuple[HoldReason, float]] = {}

    def clear(self) -> None:
        """Forget the reported reasons, at the start of a term."""
        self._reported.clear()

    def report(
        self,
        wave: UpkeepWave,
        waiting: Sequence[WaveMachine],
        plan: WavePlan,
        now: float,
        *,
        has_room: bool,
    ) -> list[Effect]:
        """Return an event for each machine whose reason has changed.

        Parameters
        ----------
        wave : UpkeepWave
            The wave.
        waiting : Sequence of WaveMachine
            Machines whose maintenance is not ordered yet.
        plan : WavePlan
            Machines that go next.
        now : float
            Time in seconds.
        has_room : bool
            Whether fewer than ``max_down`` machines are down.

        Returns
        -------
        list of Effect
            The events; also of machines whose order had no success.
        """
        effects: list[Effect] = []
        for item in waiting:
            reason = find_hold(item, plan, has_room=has_room)
            effects += self._report(wave, item.machine, reason, plan, now)
        for machine in wave.remaining:
            begun = wave.begun.get(machine)
            if begun is not None and now - begun.at >= REPORT_SECONDS:
                reason = HoldReason.UNANSWERED
                effects += self._report(wave, machine, reason, plan, now)
        return effects

    def _report(
        self,
        wave: UpkeepWave,
        machine: str,
        reason: HoldReason | None,
        plan: WavePlan,
        now: float,
    ) -> list[Effect]:
        known, reported_at = self._reported.get((wave.wave, machine), (None, 0.0))
        if reason is None or reason is known or now - reported_at < REPORT_SECONDS:
            return []
        self._reported[wave.wave, machine] = (reason, now)
        attributes: dict[str, Scalar] = {
            "wave": wave.wave,
            "reason": reason.value,
            "left": round(wave.started + wave.duration - now, 1),
            "urgent": plan.is_urgent,
        }
        return [Record(Event.MACHINE_HELD_BACK, machine, attributes)]
