"""Plain baseline: round robin, one first-in-first-out line, naive retries."""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass

from gypsumwalk.effects import Answer, Dispatch, Effect, Respond
from gypsumwalk.inputs import CallInput, DispatchOutcome, DispatchStatus
from gypsumwalk.part import NEVER
from gypsumwalk.submissions import SubmitRequest

__all__ = ["PlainNode", "PlainTarget"]

MAX_ATTEMPTS = 3


@dataclass(frozen=True, slots=True)
class PlainTarget:
    """A target that the baseline knows from its settings."""

    name: str
    address: str
    service: str


@dataclass(slots=True)
class _Waiting:
    call_id: int
    service: str
    payload: bytes
    timeout: float
    attempts: int = 0


class PlainNode:
    """An entry as a plain load balancer runs it, without knowledge of the others.

    Parameters
    ----------
    targets : Sequence[PlainTarget]
        Every target.
    services : dict of str to str
        Service of each queue.
    in_flight : int
        Most requests of a service that this entry has at targets.
    """

    wakeup = NEVER

    def __init__(
        self,
        targets: Sequence[PlainTarget],
        services: dict[str, str],
        in_flight: int,
    ) -> None:
        self._services = services
        self._in_flight = in_flight
        self._rotation: dict[str, deque[PlainTarget]] = {}
        for target in targets:
            self._rotation.setdefault(target.service, deque()).append(target)
        self._lines: dict[str, deque[_Waiting]] = {}
        self._sent: dict[str, _Waiting] = {}
        self._counts: dict[str, int] = {}
        self._number = 0

    def handle(self, item: object, now: float) -> list[Effect]:
        """Take in a call or the end of a dispatch."""
        match item:
            case CallInput(body=SubmitRequest() as body):
                service = self._services[body.queue]
                waiting = _Waiting(
                    item.call_id, service, item.payload, body.deadline_seconds
                )
                self._lines.setdefault(service, deque()).append(waiting)
                return self._pump(service)
            case DispatchOutcome():
                return self._end(item)
            case _:
                return []

    def advance(self, now: float) -> list[Effect]:
        """Do nothing: the baseline has no timers."""
        return []

    def _pump(self, service: str) -> list[Effect]:
        effects: list[Effect] = []
        line = self._lines.setdefault(service, deque())
        while line and self._counts.get(service, 0) < self._in_flight:
            effects.append(self._send(line.popleft()))
        return effects

    def _send(self, waiting: _Waiting) -> Effect:
        rotation = self._rotation[waiting.service]
        target = rotation[0]
        rotation.rotate(-1)
        waiting.attempts += 1
        self._number += 1
        dispatch_id = f"requests/{self._number}"
        self._sent[dispatch_id] = waiting
        self._counts[waiting.service] = self._counts.get(waiting.service, 0) + 1
        return Dispatch(
            dispatch_id,
            target.name,
            target.address,
            "/run",
            waiting.payload,
            timeout=waiting.timeout,
        )

    def _end(self, outcome: DispatchOutcome) -> list[Effect]:
        waiting = self._sent.pop(outcome.dispatch_id)
        self._counts[waiting.service] -= 1
        effects: list[Effect] = []
        if outcome.status is DispatchStatus.ANSWERED:
            answer = Answer(outcome.code, payload=outcome.payload)
            effects.append(Respond(waiting.call_id, answer))
        elif waiting.attempts < MAX_ATTEMPTS:
            self._lines[waiting.service].appendleft(waiting)
        else:
            effects.append(Respond(waiting.call_id, Answer(502)))
        return effects + self._pump(waiting.service)
