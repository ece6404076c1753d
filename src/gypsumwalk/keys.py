"""Checks of the keys of teams and operators, and the operators' calls on them."""

import hmac
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random
from typing import Protocol

import msgspec

from gypsumwalk.effects import Answer, Effect, Propose, Record, Respond
from gypsumwalk.endpoints import Audience, BodyKind, Endpoint
from gypsumwalk.events import Event
from gypsumwalk.in_force import AppliedAnswer, InForce, Report
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
from gypsumwalk.operator_checks import refuse_operator
from gypsumwalk.problems import Outcome, ProblemType, refuse
from gypsumwalk.settings import Settings
from gypsumwalk.state import Accepted, Rejected
from gypsumwalk.views import FolderView, KeyVerdict, MembershipView, Permit

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
"""Oldest view of the keys, in seconds, that a daemon decides by."""

CLOCK_DRIFT = 0.1
EXPIRED_SECONDS = FRESH_SECONDS * (1 + CLOCK_DRIFT)
"""Seconds after which a daemon that did not apply a withdrawal decides nothing."""

PROPOSAL_SECONDS = 5.0
SECRET_BITS = 256
KEY_ID_BITS = 64
SALT_BITS = 128


class Freshness(Protocol):
    """How old the applied state is."""

    def find_freshness(self, now: float) -> float:
        """Return the time in seconds as of which the state is known to be whole."""
        ...


class GiveCall(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Operator's call: make a key for a team, or for an operator."""

    team: str = ""
    operator: bool = False
    queues: list[str] = []
    expires: float = 0.0


class WithdrawCall(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Operator's call: withdraw a key, by its public part."""

    key_id: str


class ListCall(msgspec.Struct, frozen=True):
    """Operator's call: list the keys in force."""


class KeyGiven(msgspec.Struct, frozen=True):
    """Answer to ``GiveCall``; the key is shown this one time."""

    key_id: str
    key: str
    report: Report


class KeyWithdrawn(msgspec.Struct, frozen=True):
    """Answer to ``WithdrawCall``.

    Attributes
    ----------
    key_id : str
        Public part of the key.
    everywhere : bool
        Whether every daemon refuses the key by now.
    report : Report
        Daemons that applied it; the unreachable ones refuse keyed work altogether.
    """

    key_id: str
    everywhere: bool
    report: Report


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
class _Given:
    key_id: str
    key: str


class KeyPart:
    """Checks of keys, and the operators' calls on them.

    Parameters
    ----------
    settings : Settings
        Settings of the daemon.
    section : KeySection
        Keys in force.
    folder : FolderView
        Configuration in force.
    freshness : Freshness
        Age of the replicated state.
    members : MembershipView
        View of the daemons.
    random : Random
        Source of secrets; outside of tests one of the system's.
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
        self._in_force = InForce(self.name, settings.name, members)
        self._given: dict[int, _Given] = {}
        self._withdrawn: dict[int, str] = {}

    @property
    def wakeup(self) -> float:
        """Time in seconds at which ``advance`` is due next."""
        return self._in_force.wakeup

    def check(self, credential: str, queue: str, now: float) -> Permit:
        """Decide whether a key may hand work to a queue.

        Parameters
        ----------
        credential : str
            What the caller shows, or empty.
        queue : str
            Name of the queue.
        now : float
            Time in seconds.

        Returns
        -------
        Permit
            The verdict, and the team that the work is for.
        """
        rule = self._folder.queue(queue)
        is_open = rule is not None and rule.open_to_all
        if is_open and not credential:
            return Permit(KeyVerdict.OPEN)
        verdict = Permit(KeyVerdict.STALE)
        if self.is_fresh(now):
            verdict = self._check_team(credential, queue, now)
        if is_open and verdict.verdict is not KeyVerdict.VALID:
            return Permit(KeyVerdict.OPEN)
        return verdict

    def check_operator(self, credential: str, now: float) -> bool:
        """Decide whether a key is an operator's.

        Parameters
        ----------
        credential : str
            What the caller shows.
        now : float
            Time in seconds.

        Returns
        -------
        bool
            Whether it is.
        """
        if not credential or not self.is_fresh(now):
            return False
        if not self._section.had_operator and self._operator_key:
            expected = self._operator_key.encode()
            if hmac.compare_digest(credential.encode(), expected):
                return True
        record = self._section.find(credential)
        return record is not None and record.operator and _is_in_time(record, now)

    def handle(self, item: Input, now: float) -> Sequence[Effect]:
        """Take in a call, an answer or the news of a key."""
        match item:
            case CallInput():
                return self._take_call(item, now)
            case ProposalOutcome():
                return self._take_outcome(item, now)
            case PeerInput(source=source, body=AppliedAnswer() as answer):
                self._in_force.take_answer(source, answer)
                return self._report(now)
            case Committed(command=GiveKey(record=record), result=Accepted()):
                detail = {"team": record.team}
                return [Record(Event.KEY_GIVEN, record.key_id, detail)]
            case Committed(command=WithdrawKey(key_id=key_id), result=Accepted()):
                return [Record(Event.KEY_WITHDRAWN, key_id)]
        return []

    def advance(self, now: float) -> Sequence[Effect]:
        """Ask daemons again, and answer calls whose time is over."""
        return [*self._in_force.ask(now), *self._report(now)]

    def is_fresh(self, now: float) -> bool:
        """Tell whether the view of the keys is fresh enough to decide by.

        Parameters
        ----------
        now : float
            Time in seconds.

        Returns
        -------
        bool
            Whether all that was committed up to ``FRESH_SECONDS`` ago is applied.
        """
        return now - self._freshness.find_freshness(now) <= FRESH_SECONDS

    def _check_team(self, credential: str, queue: str, now: float) -> Permit:
        record = self._section.find(credential)
        if record is None or record.operator or not _is_in_time(record, now):
            return Permit(KeyVerdict.UNKNOWN_KEY)
        rule = self._folder.queue(queue)
        if rule is None or self._folder.team(record.team) is None:
            return Permit(KeyVerdict.FORBIDDEN)
        if rule.teams and record.team not in rule.teams:
            return Permit(KeyVerdict.FORBIDDEN)
        if record.queues and queue not in record.queues:
            return Permit(KeyVerdict.FORBIDDEN)
        return Permit(KeyVerdict.VALID, record.team)

    def _take_call(self, item: CallInput, now: float) -> list[Effect]:
        if refusal := refuse_operator(self, item.credential, now):
            return [Respond(item.call_id, refusal)]
        match item.body:
            case GiveCall() as call:
                return self._give(item.call_id, call)
            case WithdrawCall(key_id=key_id):
                self._withdrawn[item.call_id] = key_id
                return [self._propose(item.call_id, WithdrawKey(key_id))]
            case ListCall():
                entries = [_make_entry(record) for record in self._section.all()]
                return [Respond(item.call_id, Answer(200, KeyList(entries)))]
        return []

    def _give(self, call_id: int, call: GiveCall) -> list[Effect]:
        if call.operator == bool(call.team):
            detail = "state either a team or operator = true"
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
        self._given[call_id] = _Given(key_id, f"{key_id}.{secret}")
        return [self._propose(call_id, GiveKey(record))]

    def _propose(self, call_id: int, command: msgspec.Struct) -> Propose:
        return Propose(f"{self.name}/{call_id}", command, PROPOSAL_SECONDS)

    def _take_outcome(self, item: ProposalOutcome, now: float) -> list[Effect]:
        call_id = int(item.token.partition("/")[2])
        if item.status is not ProposalStatus.COMMITTED:
            self._given.pop(call_id, None)
            self._withdrawn.pop(call_id, None)
            return [Respond(call_id, _refuse_outcome(item))]
        deadline = now + EXPIRED_SECONDS
        self._in_force.begin(call_id, item.index, deadline, now)
        return list(self.advance(now))

    def _report(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        for call_id, _, report in self._in_force.take_finished(now):
            effects.append(Respond(call_id, Answer(200, self._end(call_id, report))))
        return effects

    def _end(self, call_id: int, report: Report) -> KeyGiven | KeyWithdrawn:
        if given := self._given.pop(call_id, None):
            return KeyGiven(given.key_id, given.key, report)
        return KeyWithdrawn(self._withdrawn.pop(call_id), True, report)


def _is_in_time(record: KeyRecord, now: float) -> bool:
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
    detail = "the outcome is unknown; list the keys"
    return refuse(ProblemType.NO_QUORUM, Outcome.UNKNOWN, detail)
