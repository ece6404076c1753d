"""Decision logic of one daemon, as a state machine without I/O."""

from collections import deque
from collections.abc import Sequence
from typing import Protocol

from gypsumwalk.effects import Effect, Propose, Raise, Record, Respond
from gypsumwalk.events import Event
from gypsumwalk.inputs import (
    CallInput,
    Committed,
    DispatchOutcome,
    Input,
    PeerInput,
    PlatformOutcome,
    ProposalOutcome,
)
from gypsumwalk.part import Part
from gypsumwalk.problems import Outcome, ProblemType, refuse

__all__ = ["Node", "Replicator"]


class Replicator(Part, Protocol):
    """Part that replicates commands through the log."""

    def propose(self, proposal: Propose, now: float) -> Sequence[Effect]:
        """Start to replicate a command; a ``ProposalOutcome`` follows later."""
        ...


class Node:
    """Parts of one daemon, with routing of inputs to and between them.

    Parameters
    ----------
    parts : Sequence[Part]
        The parts.
    replicator : Replicator
        The element of ``parts`` that replicates commands.
    """

    def __init__(self, parts: Sequence[Part], replicator: Replicator) -> None:
        self._parts = list(parts)
        self._by_name = {part.name: part for part in parts}
        self._replicator = replicator
        self._by_type: dict[type, list[Part]] = {}
        for part in parts:
            for accepted in part.accepts:
                self._by_type.setdefault(accepted, []).append(part)

    @property
    def wakeup(self) -> float:
        """Time in seconds at which ``advance`` is due next."""
        return min(part.wakeup for part in self._parts)

    def handle(self, item: Input, now: float) -> list[Effect]:
        """Handle one input and return the effects for the driver.

        Parameters
        ----------
        item : Input
            The input.
        now : float
            Time in seconds.

        Returns
        -------
        list of Effect
            Effects for the driver to carry out, in this order.
        """
        return self._process_effects(self._route_input(item, now), now)

    def advance(self, now: float) -> list[Effect]:
        """Run the timers that are due and return the effects for the driver.

        Parameters
        ----------
        now : float
            Time in seconds.

        Returns
        -------
        list of Effect
            Effects for the driver to carry out, in this order.
        """
        effects: list[Effect] = []
        for part in self._parts:
            if part.wakeup <= now:
                effects += part.advance(now)
        return self._process_effects(effects, now)

    def _process_effects(self, effects: Sequence[Effect], now: float) -> list[Effect]:
        driver_effects: list[Effect] = []
        pending = deque(effects)
        while pending:
            effect = pending.popleft()
            match effect:
                case Raise(raised):
                    follow_up = self._route_input(raised, now)
                case Propose():
                    follow_up = list(self._replicator.propose(effect, now))
                case _:
                    driver_effects.append(effect)
                    continue
            pending.extendleft(reversed(follow_up))
        return driver_effects

    def _route_input(self, item: Input, now: float) -> list[Effect]:
        effects: list[Effect] = []
        parts = self._find_recipients(item)
        if not parts:
            return _reject(item)
        for part in parts:
            effects += part.handle(item, now)
        return effects

    def _find_recipients(self, item: Input) -> list[Part]:
        match item:
            case PeerInput(body=body) | CallInput(body=body):
                return self._by_type.get(type(body), [])
            case Committed(command=command):
                return self._by_type.get(type(command), [])
            case ProposalOutcome(token=token) | PlatformOutcome(token=token):
                return self._find_owner(token)
            case DispatchOutcome(dispatch_id=token):
                return self._find_owner(token)
            case _:
                return self._by_type.get(type(item), [])

    def _find_owner(self, token: str) -> list[Part]:
        owner = self._by_name.get(token.partition("/")[0])
        return [owner] if owner else []


def _reject(item: Input) -> list[Effect]:
    match item:
        case CallInput(call_id=call_id):
            answer = refuse(ProblemType.NOT_FOUND, Outcome.NOT_RUN)
            return [Respond(call_id, answer)]
        case PeerInput(source=source, body=body):
            kind = type(body).__name__
            reason = {"source": source, "reason": f"no part accepts {kind}"}
            return [Record(Event.MESSAGE_REJECTED, source, reason)]
        case _:
            return []
