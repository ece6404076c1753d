"""All decisions of one daemon, as one pure state machine."""

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
    """The part that replicates commands."""

    def propose(self, proposal: Propose, now: float) -> Sequence[Effect]:
        """Begin to replicate a command; a ``ProposalOutcome`` is raised later."""
        ...


class Node:
    """The parts of one daemon, and the routing of inputs between them.

    Parameters
    ----------
    parts : Sequence[Part]
        The parts.
    replicator : Replicator
        The one among them that replicates commands.
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
        """Take in one input and return the effects for the driver.

        Parameters
        ----------
        item : Input
            The input.
        now : float
            Time in seconds.

        Returns
        -------
        list of Effect
            What the driver does, in this order.
        """
        return self._settle(self._deliver(item, now), now)

    def advance(self, now: float) -> list[Effect]:
        """Do what is due and return the effects for the driver.

        Parameters
        ----------
        now : float
            Time in seconds.

        Returns
        -------
        list of Effect
            What the driver does, in this order.
        """
        effects: list[Effect] = []
        for part in self._parts:
            if part.wakeup <= now:
                effects += part.advance(now)
        return self._settle(effects, now)

    def _settle(self, effects: Sequence[Effect], now: float) -> list[Effect]:
        outward: list[Effect] = []
        pending = deque(effects)
        while pending:
            effect = pending.popleft()
            match effect:
                case Raise(raised):
                    follow_up = self._deliver(raised, now)
                case Propose():
                    follow_up = list(self._replicator.propose(effect, now))
                case _:
                    outward.append(effect)
                    continue
            pending.extendleft(reversed(follow_up))
        return outward

    def _deliver(self, item: Input, now: float) -> list[Effect]:
        effects: list[Effect] = []
        parts = self._select(item)
        if not parts:
            return _reject(item)
        for part in parts:
            effects += part.handle(item, now)
        return effects

    def _select(self, item: Input) -> list[Part]:
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
