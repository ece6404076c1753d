"""Authentication by keys of teams and operators, and management of these keys."""

import hmac
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random
from typing import Protocol

import msgspec

from gypsumwalk.apply_tracking import AppliedAnswer, ApplyReport, ApplyTracker
from gypsumwalk.effects import Answer, Effect, Propose, Record, Respond
from gypsumwalk.endpoints import Audience, BodyKind, Endpoint
from gypsumwalk.events import Event
from gypsumwalk.inputs import (
    CallInput,
    Committed,
    Input,
    PeerInput,
    ProposalOutcome,
    ProposalStatus,
)
from gypsumwalk.key_table import (
    COMMANDS,
    GiveKey,
    KeyRecord,
    KeySection,
    WithdrawKey,
    hash_secret,
)
from gypsumwalk.operator_checks import refuse_non_operator
from gypsumwalk.problems import Outcome, ProblemType, refuse
from gypsumwalk.settings import Settings
from gypsumwalk.state import Accepted, Rejected
from gypsumwalk.views import FolderView, KeyDecision, KeyVerdict, MembershipView

__all__ = [
    "COMMANDS",
    "ENDPOINTS",
    "FRESH_SECONDS",
    "Freshness",
    "GiveCall",
    "GiveKey",
    "KeyPart",
    "KeySection",
    "ListCall",
    "WithdrawCall",
    "WithdrawKey",
]

FRESH_SECONDS = 3.0
"""Maximum age in seconds of the key view that a daemon authenticates with."""

CLOCK_DRIFT = 0.1
STALE_AFTER_SECONDS = FRESH_SECONDS * (1 + CLOCK_DRIFT)
"""Seconds after which a daemon that has not applied a withdrawal has a stale view.

A stale view refuses all keyed work; clock rates differ by ``CLOCK_DRIFT`` at most.
"""

PROPOSAL_TIMEOUT_SECONDS = 5.0
SECRET_BITS = 256
KEY_ID_BITS = 64
SALT_BITS = 128


class Freshness(Protocol):
    """Source of the age of the applied state."""

    def find_freshness(self, now: float) -> float:
        """Return the time in seconds up to which all commits have been applied."""
        ...


class GiveCall(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Operator call: issue a key for a team or for an operator."""

    team: str = ""
    operator: bool = False
    queues: list[str] = []
    expires: float = 0.0


class WithdrawCall(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Operator call: withdraw a key, named by its public part."""

    key_id: str


class ListCall(msgspec.Struct, frozen=True):
    """Operator call: list the keys in force."""


class KeyGiven(msgspec.Struct, frozen=True):
    """Answer to ``GiveCall``, the only message that contains the secret of the key."""

    key_id: str
    key: str
    report: ApplyReport


class KeyWithdrawn(msgspec.Struct, frozen=True):
    """Answer to ``WithdrawCall``.

    Attributes
    ----------
    key_id : str
        Public part of the key.
    everywhere : bool
        Whether every daemon refuses the key.
    report : ApplyReport
        Daemons that applied it; the unreachable ones refuse all keyed work.
    """

    key_id: str
    everywhere: bool
    report: ApplyReport


class KeyEntry(msgspec.Struct, frozen=True):
    """One key of a ``KeyList``."""

    key_id: str
    team: str
    operator: bool
    queues: list[str]
    expires: float


class KeyList(msgspec.Struct, frozen=True):
    """Answer to ``ListCall``."""

    keys: list[KeyEntry]


ENDPOINTS = (
    Endpoint("POST", "/v1/keys/give", GiveCall, Audience.OPERATOR),
    Endpoint("POST", "/v1/keys/withdraw", WithdrawCall, Audience.OPERATOR),
    Endpoint("GET", "/v1/keys", ListCall, Audience.OPERATOR, kind=BodyKind.NONE),
)


@dataclass(slots=True)
class _IssuedKey:
    key_id: str
    key: str


class KeyPart:
    """Checks keys and handles operator calls that issue, withdraw and list them.

    Parameters
    ----------
    settings : Settings
        Settings of the daemon.
    section : KeySection
        Replicated keys.
    folder : FolderView
        Configuration in force.
    freshness : Freshness
        Age of the replicated state.
    members : MembershipView
        View of the daemons.
    random : Random
        Source of secrets; must be cryptographically secure outside of tests.
    """

    name = "keys"
    accepts: tuple[type, ...] = (
        GiveCall,
        WithdrawCall,
        ListCall,
        GiveKey,
        WithdrawKey,
        AppliedAnswer,
    )

    def __init__(
        self,
        *,
        settings: Settings,
        section: KeySection,
        folder: FolderView,
        freshness: Freshness,
        members: MembershipView,
        random: Random,
    ) -> None:
        self._daemon = settings.name
        self._operator_key = settings.operator_key
        self._section = section
        self._folder = folder
        self._freshness = freshness
        self._random = random
        self._tracker = ApplyTracker(self.name, settings.name, members)
        self._issued: dict[int, _IssuedKey] = {}
        self._withdrawn_ids: dict[int, str] = {}

    @property
    def wakeup(self) -> float:
        """Time in seconds at which ``advance`` is due next."""
        return self._tracker.wakeup

    def check(self, credential: str, queue: str, now: float) -> KeyDecision:
        """Decide whether a key may submit work to a queue.

        Parameters
        ----------
        credential : str
            Key that the caller sent, or empty.
        queue : str
            Name of the queue.
        now : float
            Time in seconds.

        Returns
        -------
        KeyDecision
            The verdict, and the team that the work is for.
        """
        rule = self._folder.queue(queue)
        is_queue_open = rule is not None and rule.open_to_all
        if is_queue_open and not credential:
            return KeyDecision(KeyVerdict.OPEN)
        decision = KeyDecision(KeyVerdict.STALE)
        if self.is_fresh(now):
            decision = self._check_team(credential, queue, now)
        if is_queue_open and decision.verdict is not KeyVerdict.VALID:
            return KeyDecision(KeyVerdict.OPEN)
        return decision

    def check_operator(self, credential: str, now: float) -> bool:
        """Return whether a key is a valid operator key.

        Parameters
        ----------
        credential : str
            Key that the caller sent.
        now : float
            Time in seconds.

        Returns
        -------
        bool
            Whether the key is a valid operator key.
        """
        if not credential or not self.is_fresh(now):
            return False
        if not self._section.has_had_operator_key and self._operator_key:
            expected = self._operator_key.encode()
            if hmac.compare_digest(credential.encode(), expected):
                return True
        record = self._section.find(credential)
        return record is not None and record.operator and _is_unexpired(record, now)

    def handle(self, item: Input, now: float) -> Sequence[Effect]:
        """Handle a call, a proposal's outcome, a peer message or a committed change."""
        match item:
            case CallInput():
                return self._handle_call(item, now)
            case ProposalOutcome():
                return self._handle_outcome(item, now)
            case PeerInput(source=source, body=AppliedAnswer() as answer):
                self._tracker.handle_answer(source, answer)
                return self._answer_finished(now)
            case Committed(command=GiveKey(record=record), result=Accepted()):
                detail = {"team": record.team}
                return [Record(Event.KEY_GIVEN, record.key_id, detail)]
            case Committed(command=WithdrawKey(key_id=key_id), result=Accepted()):
                return [Record(Event.KEY_WITHDRAWN, key_id)]
        return []

    def advance(self, now: float) -> Sequence[Effect]:
        """Send due queries, and answer calls whose report is complete."""
        return [*self._tracker.make_queries(now), *self._answer_finished(now)]

    def is_fresh(self, now: float) -> bool:
        """Return whether the view of the keys is fresh enough to authenticate with.

        Parameters
        ----------
        now : float
            Time in seconds.

        Returns
        -------
        bool
            Whether all commands committed up to ``FRESH_SECONDS`` ago are applied.
        """
        return now - self._freshness.find_freshness(now) <= FRESH_SECONDS

    def _check_team(self, credential: str, queue: str, now: float) -> KeyDecision:
        record = self._section.find(credential)
        if record is None or record.operator or not _is_unexpired(record, now):
            return KeyDecision(KeyVerdict.UNKNOWN_KEY)
        rule = self._folder.queue(queue)
        if rule is None or self._folder.team(record.team) is None:
            return KeyDecision(KeyVerdict.FORBIDDEN)
        if rule.teams and record.team not in rule.teams:
            return KeyDecision(KeyVerdict.FORBIDDEN)
        if record.queues and queue not in record.queues:
            return KeyDecision(KeyVerdict.FORBIDDEN)
        return KeyDecision(KeyVerdict.VALID, record.team)

    def _handle_call(self, item: CallInput, now: float) -> list[Effect]:
        if refusal := refuse_non_operator(self, item.credential, now):
            return [Respond(item.call_id, refusal)]
        match item.body:
            case GiveCall() as call:
                return self._issue_key(item.call_id, call)
            case WithdrawCall(key_id=key_id):
                self._withdrawn_ids[item.call_id] = key_id
                return [self._propose(item.call_id, WithdrawKey(key_id))]
            case ListCall():
                entries = [_make_entry(record) for record in self._section.list_keys()]
                return [Respond(item.call_id, Answer(200, KeyList(entries)))]
        return []

    def _issue_key(self, call_id: int, call: GiveCall) -> list[Effect]:
        if call.operator == bool(call.team):
            detail = "expected either a team or operator = true, not both"
            answer = refuse(ProblemType.MALFORMED, Outcome.NOT_RUN, detail)
            return [Respond(call_id, answer)]
        key_id = f"{self._random.getrandbits(KEY_ID_BITS):016x}"
        secret = f"{self._random.getrandbits(SECRET_BITS):064x}"
        salt = self._random.getrandbits(SALT_BITS).to_bytes(SALT_BITS // 8, "big")
        record = KeyRecord(
            key_id,
            call.team,
            call.operator,
            call.queues,
            call.expires,
            salt,
            hash_secret(secret, salt),
        )
        self._issued[call_id] = _IssuedKey(key_id, f"{key_id}.{secret}")
        return [self._propose(call_id, GiveKey(record))]

    def _propose(self, call_id: int, command: msgspec.Struct) -> Propose:
        return Propose(f"{self.name}/{call_id}", command, PROPOSAL_TIMEOUT_SECONDS)

    def _handle_outcome(self, item: ProposalOutcome, now: float) -> list[Effect]:
        call_id = int(item.token.partition("/")[2])
        if item.status is not ProposalStatus.COMMITTED:
            self._issued.pop(call_id, None)
            self._withdrawn_ids.pop(call_id, None)
            return [Respond(call_id, _refuse_outcome(item))]
        deadline = now + STALE_AFTER_SECONDS
        self._tracker.start(call_id, item.index, deadline, now)
        return list(self.advance(now))

    def _answer_finished(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        for call_id, _, report in self._tracker.pop_finished(now):
            effects.append(
                Respond(call_id, Answer(200, self._make_result(call_id, report)))
            )
        return effects

    def _make_result(
        self, call_id: int, report: ApplyReport
    ) -> KeyGiven | KeyWithdrawn:
        if given := self._issued.pop(call_id, None):
            return KeyGiven(given.key_id, given.key, report)
        return KeyWithdrawn(self._withdrawn_ids.pop(call_id), True, report)


def _is_unexpired(record: KeyRecord, now: float) -> bool:
    return not record.expires or now < record.expires


def _make_entry(record: KeyRecord) -> KeyEntry:
    return KeyEntry(
        record.key_id, record.team, record.operator, record.queues, record.expires
    )


def _refuse_outcome(item: ProposalOutcome) -> Answer:
    match item.status, item.result:
        case ProposalStatus.REJECTED, Rejected() as rejected:
            return refuse(ProblemType.CONFLICT, Outcome.NOT_RUN, rejected.detail)
        case ProposalStatus.NOT_COMMITTED, _:
            return refuse(ProblemType.NO_QUORUM, Outcome.NOT_RUN)
    detail = "not known to be committed; list the keys to see the outcome"
    return refuse(ProblemType.NO_QUORUM, Outcome.UNKNOWN, detail)
