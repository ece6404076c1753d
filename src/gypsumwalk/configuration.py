"""Operator calls that read, compare and change the configuration folder."""

from collections.abc import Sequence

import msgspec

from gypsumwalk.apply_tracking import PEER_MESSAGES as APPLY_MESSAGES
from gypsumwalk.apply_tracking import (
    AppliedAnswer,
    AppliedQuery,
    ApplyReport,
    ApplyTracker,
)
from gypsumwalk.effects import Answer, Effect, Propose, Record, Respond, SendPeer
from gypsumwalk.endpoints import Audience, BodyKind, Endpoint
from gypsumwalk.errors import BadFolder
from gypsumwalk.events import Event
from gypsumwalk.folder import Folder
from gypsumwalk.generations import (
    COMMANDS,
    ApplyFolder,
    ConfigurationSection,
    FolderAccepted,
    describe_folder_errors,
)
from gypsumwalk.inputs import (
    CallInput,
    Committed,
    Input,
    PeerInput,
    ProposalOutcome,
    ProposalStatus,
)
from gypsumwalk.operator_checks import refuse_non_operator
from gypsumwalk.problems import Outcome, ProblemType, refuse
from gypsumwalk.settings import Settings
from gypsumwalk.state import Rejected, ReplicatedState
from gypsumwalk.views import KeyView, MembershipView

__all__ = [
    "COMMANDS",
    "ENDPOINTS",
    "PEER_MESSAGES",
    "ApplyCall",
    "ApplyFolder",
    "ConfigurationPart",
    "ConfigurationSection",
    "DiffCall",
    "ReadCall",
]

PEER_MESSAGES = APPLY_MESSAGES
PROPOSAL_TIMEOUT_SECONDS = 10.0
REPORT_TIMEOUT_SECONDS = 4.0


class ApplyCall(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Operator call: change the folder if the merged result is valid.

    Attributes
    ----------
    base : int
        Generation that the change was made from.
    files : dict of str to str
        New or changed files, by name.
    removed : list of str
        Names of files to delete.
    whole : bool
        Whether files that are not in ``files`` are deleted too.
    """

    base: int
    files: dict[str, str]
    removed: list[str] = []
    whole: bool = False


class DiffCall(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Operator call: compare a change with the folder in force, without applying it."""

    files: dict[str, str]
    removed: list[str] = []
    whole: bool = False


class ReadCall(msgspec.Struct, frozen=True):
    """Operator call: read the generation in force on this daemon."""


class ApplyResult(msgspec.Struct, frozen=True):
    """Answer to ``ApplyCall``, sent when the report on the daemons is complete."""

    generation: int
    repeated: bool
    report: ApplyReport


class DiffResult(msgspec.Struct, frozen=True):
    """Answer to ``DiffCall``.

    Attributes
    ----------
    base : int
        Generation that the change was compared with; pass it as ``base`` to ``apply``.
    added, changed, removed : list of str
        Tables that differ, as ``kind.name``.
    """

    base: int
    added: list[str]
    changed: list[str]
    removed: list[str]


class ReadResult(msgspec.Struct, frozen=True):
    """Answer to ``ReadCall``."""

    generation: int
    files: dict[str, str]


ENDPOINTS = (
    Endpoint("POST", "/v1/configuration/apply", ApplyCall, Audience.OPERATOR),
    Endpoint("POST", "/v1/configuration/diff", DiffCall, Audience.OPERATOR),
    Endpoint(
        "GET", "/v1/configuration", ReadCall, Audience.OPERATOR, kind=BodyKind.NONE
    ),
)


class ConfigurationPart:
    """Handles operator calls on the configuration folder.

    Parameters
    ----------
    settings : Settings
        Settings of the daemon.
    section : ConfigurationSection
        Replicated section that holds the folder in force.
    state : ReplicatedState
        Replicated state, for the index of the last entry applied.
    keys : KeyView
        View of the keys.
    members : MembershipView
        View of the daemons.
    """

    name = "configuration"
    accepts: tuple[type, ...] = (
        ApplyCall,
        DiffCall,
        ReadCall,
        ApplyFolder,
        *PEER_MESSAGES,
    )

    def __init__(
        self,
        *,
        settings: Settings,
        section: ConfigurationSection,
        state: ReplicatedState,
        keys: KeyView,
        members: MembershipView,
    ) -> None:
        self._daemon = settings.name
        self._section = section
        self._state = state
        self._keys = keys
        self._tracker = ApplyTracker(
            self.name, settings.name, members, waits_for_dead=False
        )
        self._results: dict[int, FolderAccepted] = {}

    @property
    def wakeup(self) -> float:
        """Time in seconds at which ``advance`` is due next."""
        return self._tracker.wakeup

    def handle(self, item: Input, now: float) -> Sequence[Effect]:
        """Handle a call, a proposal's outcome, a peer message or a new generation."""
        match item:
            case CallInput():
                return self._handle_call(item, now)
            case ProposalOutcome():
                return self._handle_outcome(item, now)
            case Committed(result=FolderAccepted(generation=generation)):
                detail = {"generation": generation}
                return [Record(Event.FOLDER_ACCEPTED, self._daemon, detail)]
            case PeerInput(source=source, body=AppliedQuery() as query):
                answer = AppliedAnswer(query.watch, self._state.applied)
                return [SendPeer(source, answer)]
            case PeerInput(source=source, body=AppliedAnswer() as answer):
                self._tracker.handle_answer(source, answer)
                return self._answer_finished(now)
        return []

    def advance(self, now: float) -> Sequence[Effect]:
        """Send due queries, and answer calls whose report is complete."""
        return [*self._tracker.make_queries(now), *self._answer_finished(now)]

    def _handle_call(self, item: CallInput, now: float) -> list[Effect]:
        if refusal := refuse_non_operator(self._keys, item.credential, now):
            return [Respond(item.call_id, refusal)]
        match item.body:
            case ReadCall():
                body = ReadResult(self._section.generation, self._section.files)
                return [Respond(item.call_id, Answer(200, body))]
            case DiffCall() as call:
                return [Respond(item.call_id, self._diff_folder(call))]
            case ApplyCall() as call:
                return self._propose(item.call_id, call)
        return []

    def _propose(self, call_id: int, call: ApplyCall) -> list[Effect]:
        command = ApplyFolder(call.base, call.files, call.removed, call.whole)
        if call.base == self._section.generation:
            try:
                self._section.preview(command)
            except BadFolder as error:
                return [Respond(call_id, _refuse_folder(error))]
        return [Propose(f"{self.name}/{call_id}", command, PROPOSAL_TIMEOUT_SECONDS)]

    def _diff_folder(self, call: DiffCall) -> Answer:
        base = self._section.generation
        command = ApplyFolder(base, call.files, call.removed, call.whole)
        try:
            new = self._section.preview(command)
        except BadFolder as error:
            return _refuse_folder(error)
        return Answer(200, _compare_folders(base, self._section.folder, new))

    def _handle_outcome(self, item: ProposalOutcome, now: float) -> list[Effect]:
        call_id = int(item.token.partition("/")[2])
        match item.status, item.result:
            case ProposalStatus.COMMITTED, FolderAccepted() as result:
                self._results[call_id] = result
                deadline = now + REPORT_TIMEOUT_SECONDS
                self._tracker.start(call_id, item.index, deadline, now)
                return list(self.advance(now))
            case ProposalStatus.REJECTED, Rejected() as rejected:
                return [Respond(call_id, _refuse_rejected(rejected))]
            case ProposalStatus.NOT_COMMITTED, _:
                return [
                    Respond(call_id, refuse(ProblemType.NO_QUORUM, Outcome.NOT_RUN))
                ]
        detail = "not known to be committed; retry the same call, it is applied once"
        answer = refuse(ProblemType.NO_QUORUM, Outcome.UNKNOWN, detail)
        return [Respond(call_id, answer)]

    def _answer_finished(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        for call_id, _, report in self._tracker.pop_finished(now):
            result = self._results.pop(call_id)
            body = ApplyResult(result.generation, result.repeated, report)
            effects.append(Respond(call_id, Answer(200, body)))
        return effects


def _refuse_folder(error: BadFolder) -> Answer:
    errors = describe_folder_errors(error)
    return refuse(ProblemType.INVALID_FOLDER, Outcome.NOT_RUN, errors=errors)


def _refuse_rejected(rejected: Rejected) -> Answer:
    kind = ProblemType.INVALID_FOLDER
    if rejected.reason == "ConflictingGeneration":
        kind = ProblemType.CONFLICT
    return refuse(kind, Outcome.NOT_RUN, rejected.detail)


def _compare_folders(base: int, old: Folder, new: Folder) -> DiffResult:
    before, after = _list_tables(old), _list_tables(new)
    added = sorted(after.keys() - before.keys())
    removed = sorted(before.keys() - after.keys())
    common = sorted(before.keys() & after.keys())
    changed = [key for key in common if before[key] != after[key]]
    return DiffResult(base, added, changed, removed)


def _list_tables(folder: Folder) -> dict[str, object]:
    return {
        f"{kind}.{name}": table
        for kind in Folder.__struct_fields__
        for name, table in getattr(folder, kind).items()
    }
