"""Handler of the operator's calls that evacuate data centres."""

from collections.abc import Sequence
from dataclasses import dataclass

from gypsumwalk.effects import Answer, Effect, Propose, Record, Respond, Scalar
from gypsumwalk.endpoints import Audience, BodyKind, Endpoint
from gypsumwalk.evacuations import (
    EvacuationSection,
    FinishEvacuation,
    StartEvacuation,
)
from gypsumwalk.events import Event
from gypsumwalk.fleet_calls import (
    EvacuationsAnswer,
    FinishEvacuationCall,
    ListEvacuationsCall,
    StartEvacuationCall,
)
from gypsumwalk.fleet_refusals import (
    PROPOSAL_SECONDS,
    RETRY_SECONDS,
    make_unknown_answer,
    redirect_to_leader,
    refuse_proposal,
)
from gypsumwalk.inputs import CallInput, Input, ProposalOutcome, ProposalStatus
from gypsumwalk.machine_directory import MachineDirectory
from gypsumwalk.part import NEVER
from gypsumwalk.problems import Outcome, ProblemType, refuse
from gypsumwalk.views import LeadershipView
from gypsumwalk.workloads import WorkloadSection

__all__ = ["EVACUATION_ENDPOINTS", "EvacuationHandler"]

EVACUATION_ENDPOINTS = (
    Endpoint(
        "POST",
        "/v1/evacuations/{data_centre}/start",
        StartEvacuationCall,
        Audience.OPERATOR,
        BodyKind.NONE,
    ),
    Endpoint(
        "POST",
        "/v1/evacuations/{data_centre}/finish",
        FinishEvacuationCall,
        Audience.OPERATOR,
        BodyKind.NONE,
    ),
    Endpoint(
        "GET",
        "/v1/evacuations",
        ListEvacuationsCall,
        Audience.OPERATOR,
        BodyKind.NONE,
    ),
)
"""Calls of the product's command line."""


@dataclass(frozen=True, slots=True)
class _Order:
    """An order whose command is proposed, and the call that waits for it."""

    call_id: int
    name: str
    data_centre: str


class EvacuationHandler:
    """Part that answers orders to evacuate data centres, and to use them again.

    Each order is proposed, also one that changes nothing: an order that contradicts it
    may be on its way to the log, and the order committed last holds.

    Parameters
    ----------
    leadership : LeadershipView
        Leadership of the replicated log.
    evacuations : EvacuationSection
        Evacuated data centres.
    workloads : WorkloadSection
        Registered instances.
    directory : MachineDirectory
        Machines of the fleet.
    data_centres : frozenset of str
        Data centres that the settings name.
    """

    name = "evacuation"
    wakeup = NEVER
    accepts: tuple[type, ...] = (
        StartEvacuationCall,
        FinishEvacuationCall,
        ListEvacuationsCall,
    )

    def __init__(
        self,
        *,
        leadership: LeadershipView,
        evacuations: EvacuationSection,
        workloads: WorkloadSection,
        directory: MachineDirectory,
        data_centres: frozenset[str],
    ) -> None:
        self.data_centres = data_centres
        """Data centres that the settings name; replaced when they are reloaded."""
        self._leadership = leadership
        self._evacuations = evacuations
        self._workloads = workloads
        self._directory = directory
        self._pending: dict[str, _Order] = {}

    def handle(self, item: Input, now: float) -> Sequence[Effect]:
        """Process a call, or the outcome of the proposal for one."""
        match item:
            case CallInput():
                return self._handle_call(item, now)
            case ProposalOutcome():
                return self._handle_outcome(item, now)
        return []

    def advance(self, now: float) -> Sequence[Effect]:
        """Do nothing, as this part has no timers."""
        return []

    def _handle_call(self, item: CallInput, now: float) -> list[Effect]:
        if not self._leadership.holds_lease(now):
            return [Respond(item.call_id, redirect_to_leader(self._leadership))]
        match item.body:
            case StartEvacuationCall(data_centre=data_centre):
                order = _Order(item.call_id, "evacuate", data_centre)
                return self._propose(order, StartEvacuation(data_centre))
            case FinishEvacuationCall(data_centre=data_centre):
                order = _Order(item.call_id, "end-evacuation", data_centre)
                return self._propose(order, FinishEvacuation(data_centre))
        return [Respond(item.call_id, self._list_evacuations())]

    def _propose(
        self, order: _Order, command: StartEvacuation | FinishEvacuation
    ) -> list[Effect]:
        if refusal := self._check_known(order.data_centre):
            return _respond(order, refusal, 0)
        token = f"{self.name}/{order.call_id}"
        self._pending[token] = order
        return [Propose(token, command, PROPOSAL_SECONDS)]

    def _check_known(self, data_centre: str) -> Answer | None:
        """Return the refusal of an unknown data centre, None if it is known."""
        if not data_centre:
            # That of the instances and machines whose data centre is not known.
            return _refuse_unknown(data_centre)
        if (
            data_centre in self.data_centres
            or data_centre in self._evacuations.data_centres
        ):
            return None
        instances = self._workloads.instances.values()
        if any(item.data_centre == data_centre for item in instances):
            return None
        machines = self._directory.machines
        if any(item.data_centre == data_centre for item in machines.values()):
            return None
        if not self.data_centres and not machines:
            # It may have machines without instances, which a new leader does not know.
            return refuse(
                ProblemType.OVERLOADED,
                Outcome.NOT_RUN,
                f'data centre "{data_centre}" has no instances, and the machines are'
                " not listed yet",
                retry_after=RETRY_SECONDS,
            )
        return _refuse_unknown(data_centre)

    def _handle_outcome(self, item: ProposalOutcome, now: float) -> list[Effect]:
        order = self._pending.pop(item.token, None)
        if order is None:
            return []
        return _respond(order, self._make_answer(item.status, now), item.index)

    def _make_answer(self, status: ProposalStatus, now: float) -> Answer:
        match status:
            case ProposalStatus.COMMITTED:
                return self._list_evacuations()
            case ProposalStatus.UNKNOWN:
                return make_unknown_answer()
        return refuse_proposal(self._leadership, now)

    def _list_evacuations(self) -> Answer:
        return Answer(200, EvacuationsAnswer(self._evacuations.list_data_centres()))


def _refuse_unknown(data_centre: str) -> Answer:
    return refuse(
        ProblemType.NOT_FOUND,
        Outcome.NOT_RUN,
        f'data centre "{data_centre}" does not exist',
    )


def _respond(order: _Order, answer: Answer, index: int) -> list[Effect]:
    attributes: dict[str, Scalar] = {
        "order": order.name,
        "status": answer.status,
        "index": index,
        "reason": getattr(answer.body, "detail", "") or "accepted",
    }
    return [
        Respond(order.call_id, answer),
        Record(Event.EVACUATION_CALL_DECIDED, order.data_centre, attributes),
    ]
