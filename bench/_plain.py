"""Baseline load balancer: round robin, one FIFO queue per service, naive retries."""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass

from gypsumwalk.effects import Answer, Dispatch, Effect, Respond
from gypsumwalk.inputs import CallInput, DispatchOutcome, DispatchStatus
from gypsumwalk.part import NEVER
from gypsumwalk.submissions import SubmitRequest

__all__ = ["BaselineBalancer", "BaselineTarget"]

MAX_ATTEMPTS = 3


@dataclass(frozen=True, slots=True)
class BaselineTarget:
    """A statically configured target of the baseline."""

    name: str
    address: str
    service: str


@dataclass(slots=True)
class _PendingRequest:
    call_id: int
    service: str
    payload: bytes
    timeout: float
    attempts: int = 0


class BaselineBalancer:
    """Load balancer that does not coordinate with the others.

    Parameters
    ----------
    targets : Sequence[BaselineTarget]
        All targets.
    services : dict of str to str
        Service of each queue.
    max_in_flight : int
        Maximum number of requests in flight per service.
    """

    wakeup = NEVER

    def __init__(
        self,
        targets: Sequence[BaselineTarget],
        services: dict[str, str],
        max_in_flight: int,
    ) -> None:
        self._services = services
        self._max_in_flight = max_in_flight
        self._rotation: dict[str, deque[BaselineTarget]] = {}
        for target in targets:
            self._rotation.setdefault(target.service, deque()).append(target)
        self._queues: dict[str, deque[_PendingRequest]] = {}
        self._in_flight: dict[str, _PendingRequest] = {}
        self._in_flight_by_service: dict[str, int] = {}
        self._dispatch_count = 0

    def handle(self, item: object, now: float) -> list[Effect]:
        """Handle a call or the outcome of a dispatch."""
        match item:
            case CallInput(body=SubmitRequest() as body):
                service = self._services[body.queue]
                request = _PendingRequest(
                    item.call_id, service, item.payload, body.deadline_seconds
                )
                self._queues.setdefault(service, deque()).append(request)
                return self._dispatch_pending(service)
            case DispatchOutcome():
                return self._end(item)
            case _:
                return []

    def advance(self, now: float) -> list[Effect]:
        """Return no effects: the baseline has no timers."""
        return []

    def _dispatch_pending(self, service: str) -> list[Effect]:
        effects: list[Effect] = []
        queue = self._queues.setdefault(service, deque())
        while (
            queue and self._in_flight_by_service.get(service, 0) < self._max_in_flight
        ):
            effects.append(self._send(queue.popleft()))
        return effects

    def _send(self, request: _PendingRequest) -> Effect:
        rotation = self._rotation[request.service]
        target = rotation[0]
        rotation.rotate(-1)
        request.attempts += 1
        self._dispatch_count += 1
        dispatch_id = f"requests/{self._dispatch_count}"
        self._in_flight[dispatch_id] = request
        self._in_flight_by_service[request.service] = (
            self._in_flight_by_service.get(request.service, 0) + 1
        )
        return Dispatch(
            dispatch_id,
            target.name,
            target.address,
            "/run",
            request.payload,
            timeout=request.timeout,
        )

    def _end(self, outcome: DispatchOutcome) -> list[Effect]:
        request = self._in_flight.pop(outcome.dispatch_id)
        self._in_flight_by_service[request.service] -= 1
        effects: list[Effect] = []
        if outcome.status is DispatchStatus.ANSWERED:
            answer = Answer(outcome.code, payload=outcome.payload)
            effects.append(Respond(request.call_id, answer))
        elif request.attempts < MAX_ATTEMPTS:
            self._queues[request.service].appendleft(request)
        else:
            effects.append(Respond(request.call_id, Answer(502)))
        return effects + self._dispatch_pending(request.service)
