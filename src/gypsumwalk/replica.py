"""Durable state of one replica: term, vote, log, snapshot and applied state."""

from collections.abc import Mapping, Sequence
from functools import reduce
from operator import or_
from typing import Annotated, Any, TypeVar

import msgspec

from gypsumwalk.command_codec import expand_command, is_encoded_as
from gypsumwalk.effects import (
    AppendRecords,
    DiskOperation,
    Effect,
    KeepRecords,
    Raise,
    Record,
    TruncateRecords,
    WriteFile,
)
from gypsumwalk.errors import CorruptRecord, UnknownMessage
from gypsumwalk.events import Event
from gypsumwalk.incarnations import encode_incarnation
from gypsumwalk.inputs import Committed
from gypsumwalk.proposals import Proposals
from gypsumwalk.recovery import Recovered
from gypsumwalk.replica_log import ReplicaLog
from gypsumwalk.replication import ChangeVoters, Entry
from gypsumwalk.sessions import Sessions
from gypsumwalk.state import Accepted, ReplicatedState
from gypsumwalk.storage import Storage

__all__ = ["Replica", "SnapshotContent", "Vote", "name_log_file"]

VOTE_FILE = "vote"
SNAPSHOT_FILE = "snapshot"
LOG_FILE_PREFIX = "log-"

_Stored = TypeVar("_Stored")
SNAPSHOT_ENTRIES = 8192
"""Entries applied since the last snapshot that make the next one due."""

SNAPSHOT_BYTES = 4 * 1024 * 1024
"""Size of the log file that makes a snapshot due."""

KEPT_ENTRIES = 1024
KEPT_BYTES = 1024 * 1024
"""Entries and bytes kept before a snapshot's index, for followers slightly behind."""


class Vote(msgspec.Struct):
    """Durable state of a voter, apart from its log and snapshot.

    Attributes
    ----------
    identity : str
        Identity of the disk.
    term : int
        Latest term seen.
    voted_for : str
        Candidate that this daemon voted for in this term, or empty.
    admitted : bool
        Whether the initial voters have admitted this disk.
    registered : dict of str to str
        Registered disk identities of the other voters, by name.
    first_voters : dict of str to str
        Voters at the first start of the system; the settings may name others later.
    """

    identity: str
    term: int = 0
    voted_for: str = ""
    admitted: bool = False
    registered: dict[str, str] = {}
    first_voters: dict[str, str] = {}


class SnapshotContent(msgspec.Struct, frozen=True):
    """A snapshot, as it is sent to other daemons."""

    index: int
    term: int
    voters: dict[str, str]
    sessions: bytes
    state: bytes


class _SnapshotFile(msgspec.Struct, frozen=True):
    """A snapshot with the log up to the time of the write.

    Attributes
    ----------
    log_file : int
        Number of the file with the records that follow on ``tail``. No file had this
        number before, so it holds nothing older than this write.
    base_index : int
        Index of the last entry that was dropped from the log.
    base_term : int
        Term of that entry.
    content : bytes
        An encoded ``SnapshotContent``, or empty if no snapshot was taken yet.
    tail : list of bytes
        Encoded entries after ``base_index``.
    """

    log_file: Annotated[int, msgspec.Meta(ge=0)]
    base_index: int
    base_term: int
    content: bytes
    tail: list[bytes] = []


class Replica:
    """The replica of one daemon, independent of its role.

    Parameters
    ----------
    state : ReplicatedState
        State that committed entries are applied to.
    recovered : Recovered
        Content of the data folder.
    identity : str
        Identity to give to a disk that has none; empty without a disk.
    voters : Mapping of str to str
        Voters at the first start of the system, each with the identity of its disk
        or an empty string.
    proposals : Proposals
        Proposals of this daemon, settled when their commands are applied.
    kept_files : Sequence of WriteFile
        Further files that belong to the whole state on the disk.
    """

    def __init__(
        self,
        state: ReplicatedState,
        recovered: Recovered,
        identity: str,
        voters: Mapping[str, str],
        proposals: Proposals,
        kept_files: Sequence[WriteFile] = (),
    ) -> None:
        self.state = state
        self.commit = 0
        self.apply_barrier: int | None = None
        self.log = ReplicaLog()
        self.snapshot = b""
        self.snapshot_index = 0
        self._sessions = Sessions()
        self._proposals = proposals
        self._decoder = _make_decoder(state)
        self._is_snapshot_loaded = False
        self._kept_files = kept_files
        self._log_file = 0
        self._last_log_file = 0
        self._file_base_index = 0
        self._bytes_since_snapshot = 0
        self.vote = _recover_vote(recovered, Vote(identity, first_voters=dict(voters)))
        self._voter_changes = [(0, self.vote.first_voters or dict(voters))]
        self._recover(recovered)
        # Votes and entries count for the identity, so it is stored before them.
        is_synced = recovered.is_synced and VOTE_FILE in recovered.files
        self.storage = Storage(
            enabled=bool(identity), durable=self.log.last_index, is_synced=is_synced
        )

    @property
    def identity(self) -> str:
        """Identity of the disk, empty if there is none or while it does not work."""
        return self.vote.identity if self.storage.enabled else ""

    @property
    def voters(self) -> dict[str, str]:
        """Voters, each with its disk identity or an empty string if unknown."""
        return self._voter_changes[-1][1]

    @property
    def voters_index(self) -> int:
        """Index of the entry that last changed the voters."""
        return self._voter_changes[-1][0]

    def find_identity(self, voter: str) -> str:
        """Return the disk identity of a voter, empty if unknown."""
        return self.voters.get(voter) or self.vote.registered.get(voter, "")

    def save_vote(self) -> None:
        """Stage a write of the term, the vote and the disk identities."""
        self.storage.stage(self._encode_vote())

    def find_incarnation(self, origin: str) -> int:
        """Return the latest incarnation of a daemon with an applied command, or 0."""
        return self._sessions.find_incarnation(origin)

    def save_incarnation(self, incarnation: int) -> None:
        """Stage a write of an incarnation, above which the next process starts."""
        operation = encode_incarnation(incarnation)
        others = [item for item in self._kept_files if item.file != operation.file]
        self._kept_files = [*others, operation]
        self.storage.stage(operation)

    def enter_term(self, term: int, voted_for: str = "") -> None:
        """Enter a later term, or record the vote in the current one."""
        self.vote.term = term
        self.vote.voted_for = voted_for
        self.save_vote()

    def decode(self, command: bytes) -> msgspec.Struct:
        """Decode a command.

        Raises
        ------
        UnknownMessage
            If the command is malformed or no section applies commands of its type.
        """
        try:
            expanded = expand_command(command)
            decoded: msgspec.Struct = self._decoder.decode(expanded)
        except (msgspec.MsgspecError, RecursionError) as error:
            raise UnknownMessage(str(error)) from error
        return decoded

    def is_duplicate(self, origin: str, incarnation: int, sequence: int) -> bool:
        """Tell whether a command was applied, or is too old to be applied."""
        return not self._sessions.check(origin, incarnation, sequence).fresh

    def append(self, entries: Sequence[Entry]) -> None:
        """Append entries to the log and stage their write."""
        if not entries:
            return
        self.log.append(entries)
        records = tuple(msgspec.msgpack.encode(entry) for entry in entries)
        self._bytes_since_snapshot += sum(len(record) for record in records)
        operation = AppendRecords(name_log_file(self._log_file), records)
        self.storage.stage(operation, durable_index=self.log.last_index)
        self._record_voter_changes(entries)

    def truncate(self, last_index: int) -> None:
        """Drop every entry after an index, in memory and on the disk."""
        self.log.truncate(last_index)
        self.storage.lower_durable_index(last_index)
        while self._voter_changes[-1][0] > last_index:
            self._voter_changes.pop()
        keep = last_index - self._file_base_index
        if keep < 0:
            self._stage_state()
            return
        self.storage.stage(TruncateRecords(name_log_file(self._log_file), keep))

    def rewrite(self, now: float) -> list[Effect]:
        """Write the whole state anew, as it is unknown what the disk holds.

        Parameters
        ----------
        now : float
            Time in seconds.

        Returns
        -------
        list of Effect
            The write.
        """
        operations = [*self._kept_files, self._encode_vote(), *self._encode_state()]
        return self.storage.begin_rewrite(operations, self.log.last_index, now)

    def set_apply_barrier(self, commit: int) -> None:
        """Set the index that covers every entry committed before this start, once."""
        if self.apply_barrier is None:
            self.apply_barrier = commit

    @property
    def has_backlog(self) -> bool:
        """Whether committed entries can be applied now."""
        committed = min(self.commit, self.log.last_index)
        if self.apply_barrier is None or committed < self.apply_barrier:
            return False
        return self.state.applied < committed

    def apply_committed(self, max_entries: int | None = None) -> list[Effect]:
        """Apply committed entries, and return their results and events.

        Nothing is applied until the committed log reaches the apply barrier, so that
        a restarted daemon never serves older state than it served before.

        Parameters
        ----------
        max_entries : int or None, optional
            Maximum number of entries to apply, so that the messages of other daemons
            don't wait; by default all.

        Returns
        -------
        list of Effect
            Results and events, in the order of the entries.
        """
        if not self.has_backlog:
            return []
        effects: list[Effect] = []
        if not self._is_snapshot_loaded:
            effects += self._load_snapshot()
        end = min(self.commit, self.log.last_index)
        if max_entries is not None:
            end = min(end, self.state.applied + max_entries)
        while self.state.applied < end:
            effects += self._apply(self.log.get(self.state.applied + 1))
        if self._is_snapshot_due():
            effects += self._take_snapshot()
        return effects

    def install_snapshot(self, content: bytes) -> list[Effect]:
        """Install a snapshot from the leader, unless its index is committed already.

        Log entries after the snapshot are kept if the log matches it at its index.

        Parameters
        ----------
        content : bytes
            An encoded ``SnapshotContent``.

        Returns
        -------
        list of Effect
            The event of the installation; empty if the snapshot is outdated.
        """
        snapshot = msgspec.msgpack.decode(content, type=SnapshotContent)
        if snapshot.index <= max(self.snapshot_index, self.commit):
            return []
        if self.log.term_at(snapshot.index) == snapshot.term:
            tail = self.log.tail(snapshot.index)
        else:
            tail = []
        self.snapshot, self.snapshot_index = content, snapshot.index
        self.log.reset(snapshot.index, snapshot.term)
        self.log.append(tail)
        self.storage.lower_durable_index(self.log.last_index)
        self._voter_changes = [(snapshot.index, snapshot.voters)]
        self._record_voter_changes(tail)
        self.commit = snapshot.index
        self._is_snapshot_loaded = False
        self._bytes_since_snapshot = 0
        self._stage_state()
        detail = {"index": snapshot.index, "bytes": len(content)}
        return [Record(Event.SNAPSHOT_INSTALLED, "", detail)]

    def _load_snapshot(self) -> list[Effect]:
        self._is_snapshot_loaded = True
        if not self.snapshot:
            return []
        snapshot = msgspec.msgpack.decode(self.snapshot, type=SnapshotContent)
        self.state.load(snapshot.state)
        self._sessions.load(snapshot.sessions)
        return self._proposals.settle_from_sessions(self._sessions)

    def _apply(self, entry: Entry) -> list[Effect]:
        if not entry.command:
            self.state.skip(entry.index)
            return []
        source = (entry.origin, entry.incarnation, entry.sequence)
        prior = self._sessions.check(*source)
        if entry.origin and not prior.fresh:
            self.state.skip(entry.index)
            return self._proposals.settle_duplicate(*source, prior)
        command = self.decode(entry.command)
        result: msgspec.Struct
        if isinstance(command, ChangeVoters):
            self.state.skip(entry.index)
            result = Accepted(entry.index)
        else:
            result = self.state.apply(command, entry.index, entry.at)
        if entry.origin:
            encoded = msgspec.msgpack.encode(result)
            self._sessions.record(*source, entry.index, encoded)
        committed = Committed(entry.index, command, result, entry.at)
        effects: list[Effect] = [Raise(committed)]
        return effects + self._proposals.settle(*source, entry.index, result)

    def _record_voter_changes(self, entries: Sequence[Entry]) -> None:
        for entry in entries:
            if entry.index <= self.snapshot_index:
                continue
            if not is_encoded_as(ChangeVoters, entry.command):
                continue
            command = self.decode(entry.command)
            if isinstance(command, ChangeVoters):
                self._voter_changes.append((entry.index, command.voters))

    def _is_snapshot_due(self) -> bool:
        covered = self.state.applied - self.snapshot_index
        return covered > SNAPSHOT_ENTRIES or (
            self._bytes_since_snapshot > SNAPSHOT_BYTES and covered > 0
        )

    def _take_snapshot(self) -> list[Effect]:
        index = self.state.applied
        term = self.log.term_at(index) or 0
        changes = [item for item in self._voter_changes if item[0] <= index]
        content = SnapshotContent(
            index, term, changes[-1][1], self._sessions.dump(), self.state.dump()
        )
        self.snapshot = msgspec.msgpack.encode(content)
        self.snapshot_index = index
        self.log.compact(self._find_compaction_index(index))
        self._voter_changes = self._voter_changes[len(changes) - 1 :]
        self._bytes_since_snapshot = 0
        self._stage_state()
        detail = {"index": index, "bytes": len(self.snapshot)}
        return [Record(Event.SNAPSHOT_TAKEN, "", detail)]

    def _find_compaction_index(self, index: int) -> int:
        size = 0
        position = index
        while position > self.log.base_index and index - position < KEPT_ENTRIES:
            size += len(self.log.get(position).command)
            if size > KEPT_BYTES:
                break
            position -= 1
        return position

    def _stage_state(self) -> None:
        self.storage.stage(*self._encode_state(), durable_index=self.log.last_index)

    def _encode_vote(self) -> WriteFile:
        return WriteFile(VOTE_FILE, msgspec.msgpack.encode(self.vote))

    def _encode_state(self) -> list[DiskOperation]:
        """Return the writes of the snapshot and the log, and begin a new log file.

        The snapshot file is replaced as a whole and holds the log, so until then the
        disk holds the state as it was before, with the file that its log was in.
        """
        self._last_log_file += 1
        self._log_file = self._last_log_file
        self._file_base_index = self.log.last_index
        stored = _SnapshotFile(
            self._log_file,
            self.log.base_index,
            self.log.base_term,
            self.snapshot,
            [msgspec.msgpack.encode(entry) for entry in self.log.tail(0)],
        )
        return [
            WriteFile(SNAPSHOT_FILE, msgspec.msgpack.encode(stored)),
            KeepRecords(name_log_file(self._log_file)),
        ]

    def _recover(self, recovered: Recovered) -> None:
        tail: list[bytes] = []
        if file := recovered.files.get(SNAPSHOT_FILE):
            stored = _decode(file, _SnapshotFile, SNAPSHOT_FILE)
            self._log_file, tail = stored.log_file, stored.tail
            self.log.reset(stored.base_index, stored.base_term)
            self._recover_snapshot(stored.content)
        numbers = [_read_number(name) for name in recovered.records]
        self._last_log_file = max([self._log_file, *numbers])
        log_file = name_log_file(self._log_file)
        records = [*tail, *recovered.records.get(log_file, ())]
        entries = [_decode(record, Entry, log_file) for record in records]
        self._file_base_index = self.log.base_index + len(tail)
        for position, entry in enumerate(entries, self.log.base_index + 1):
            if entry.index != position:
                detail = f"entry {entry.index}, expected entry {position}"
                raise CorruptRecord(f"{log_file}: {detail}")
        self.log.append(entries)
        self.commit = max([self.commit, *(entry.commit for entry in entries)])
        self._bytes_since_snapshot = sum(len(record) for record in records)
        self._record_voter_changes(entries)

    def _recover_snapshot(self, encoded: bytes) -> None:
        if not encoded:
            return
        content = _decode(encoded, SnapshotContent, SNAPSHOT_FILE)
        self.snapshot, self.snapshot_index = encoded, content.index
        self.commit = content.index
        self._voter_changes = [(content.index, content.voters)]


def name_log_file(number: int) -> str:
    """Return the name of the file of records with a number."""
    return f"{LOG_FILE_PREFIX}{number}"


def _read_number(name: str) -> int:
    number = name.removeprefix(LOG_FILE_PREFIX)
    return int(number) if number.isdecimal() else 0


def _recover_vote(recovered: Recovered, new: Vote) -> Vote:
    if content := recovered.files.get(VOTE_FILE):
        return _decode(content, Vote, VOTE_FILE)
    return new


def _decode(content: bytes, kind: type[_Stored], file: str) -> _Stored:
    try:
        return msgspec.msgpack.decode(content, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise CorruptRecord(f"{file}: {error}") from error


def _make_decoder(state: ReplicatedState) -> "msgspec.msgpack.Decoder[Any]":
    union: Any = reduce(or_, (ChangeVoters, *state.commands))
    return msgspec.msgpack.Decoder(union)
