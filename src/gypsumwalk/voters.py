"""Operator calls that list and change the voters of the replicated log."""

from collections.abc import Sequence

import msgspec

from gypsumwalk.consensus import Consensus
from gypsumwalk.effects import Answer, Effect, Propose, Record, Respond
from gypsumwalk.endpoints import Audience, BodyKind, Endpoint
from gypsumwalk.events import Event
from gypsumwalk.inputs import (
    CallInput,
    Committed,
    Input,
    ProposalOutcome,
    ProposalStatus,
)
from gypsumwalk.operator_checks import refuse_non_operator
from gypsumwalk.part import NEVER
from gypsumwalk.problems import Outcome, ProblemType, refuse
from gypsumwalk.replication import ChangeVoters
from gypsumwalk.settings import Settings
from gypsumwalk.views import KeyView

__all__ = [
    "ENDPOINTS",
    "AddVoterCall",
    "ListVotersCall",
    "RemoveVoterCall",
    "VoterPart",
]

PROPOSAL_TIMEOUT_SECONDS = 5.0


class AddVoterCall(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Operator call: add a daemon with a disk to the voters."""

    name: str


class RemoveVoterCall(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Operator call: remove a daemon from the voters."""

    name: str


class ListVotersCall(msgspec.Struct, frozen=True):
    """Operator call: list the voters."""


class VoterList(msgspec.Struct, frozen=True):
    """Answer to each of these calls.

    Attributes
    ----------
    leader : str
        Leader known to this daemon, or empty.
    voters : dict of str to str
        Disk identity of each voter, by name.
    """

    leader: str
    voters: dict[str, str]


ENDPOINTS = (
    Endpoint("POST", "/v1/voters/add", AddVoterCall, Audience.OPERATOR),
    Endpoint("POST", "/v1/voters/remove", RemoveVoterCall, Audience.OPERATOR),
    Endpoint(
        "GET", "/v1/voters", ListVotersCall, Audience.OPERATOR, kind=BodyKind.NONE
    ),
)


class VoterPart:
    """Adds and removes voters by single-step membership changes.

    Parameters
    ----------
    settings : Settings
        Settings of the daemon.
    consensus : Consensus
        The replicated log.
    keys : KeyView
        View of the keys.
    """

    name = "voters"
    wakeup = NEVER
    accepts: tuple[type, ...] = (
        AddVoterCall,
        RemoveVoterCall,
        ListVotersCall,
        ChangeVoters,
    )

    def __init__(
        self, *, settings: Settings, consensus: Consensus, keys: KeyView
    ) -> None:
        self._daemon = settings.name
        self._consensus = consensus
        self._keys = keys

    def handle(self, item: Input, now: float) -> Sequence[Effect]:
        """Handle a call, the outcome of its proposal or a committed change."""
        match item:
            case CallInput():
                return self._handle_call(item, now)
            case ProposalOutcome():
                return self._handle_outcome(item)
            case Committed(command=ChangeVoters(voters=voters)):
                detail = {"voters": ", ".join(sorted(voters))}
                return [Record(Event.VOTERS_CHANGED, self._daemon, detail)]
        return []

    def advance(self, now: float) -> Sequence[Effect]:
        """Do nothing, as this part has no timers."""
        return []

    def _handle_call(self, item: CallInput, now: float) -> list[Effect]:
        if refusal := refuse_non_operator(self._keys, item.credential, now):
            return [Respond(item.call_id, refusal)]
        voters = self._consensus.replica.voters
        match item.body:
            case AddVoterCall(name=name):
                changed = voters | {name: voters.get(name, "")}
            case RemoveVoterCall(name=name):
                changed = {key: voters[key] for key in voters if key != name}
            case _:
                return [Respond(item.call_id, self._list_voters())]
        if changed == voters:
            return [Respond(item.call_id, self._list_voters())]
        if not changed:
            detail = "the last voter cannot be removed"
            answer = refuse(ProblemType.CONFLICT, Outcome.NOT_RUN, detail)
            return [Respond(item.call_id, answer)]
        token = f"{self.name}/{item.call_id}"
        return [Propose(token, ChangeVoters(changed), PROPOSAL_TIMEOUT_SECONDS)]

    def _handle_outcome(self, item: ProposalOutcome) -> list[Effect]:
        call_id = int(item.token.partition("/")[2])
        if item.status is ProposalStatus.COMMITTED:
            return [Respond(call_id, self._list_voters())]
        detail = (
            "the leader knows no disk of this daemon, or another change is in"
            " progress; list the voters, then repeat the call"
        )
        answer = refuse(ProblemType.NO_QUORUM, Outcome.UNKNOWN, detail)
        return [Respond(call_id, answer)]

    def _list_voters(self) -> Answer:
        voters = dict(sorted(self._consensus.replica.voters.items()))
        return Answer(200, VoterList(self._consensus.leader, voters))
