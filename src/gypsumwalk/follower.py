"""Follower side of replication: entries and snapshots from the leader."""

from collections import deque
from typing import NamedTuple

from gypsumwalk.effects import Effect, SendPeer
from gypsumwalk.replica import Replica
from gypsumwalk.replication import (
    AppendAnswer,
    AppendEntries,
    Entry,
    SnapshotAnswer,
    SnapshotChunk,
)

__all__ = ["Follower"]

MAX_PENDING_STAMPS = 16
"""Time stamps of heartbeats kept until their commit index is applied."""

MAX_SNAPSHOT_BYTES = 256 * 1024 * 1024


class _Stamp(NamedTuple):
    time: float
    commit: int


class Follower:
    """State of a follower towards the leader of the current term.

    Parameters
    ----------
    replica : Replica
        Replica of the daemon.
    data_centre : str
        Data centre of the daemon.
    """

    def __init__(self, replica: Replica, data_centre: str) -> None:
        self.fresh_as_of = float("-inf")
        self._replica = replica
        self._data_centre = data_centre
        self._matched = 0
        self._stamps: deque[_Stamp] = deque(maxlen=MAX_PENDING_STAMPS)
        self._first_contact: float | None = None
        self._unreported: AppendAnswer | None = None
        self._chunks = bytearray()
        self._chunk_index = 0

    def reset(self) -> None:
        """Drop what is known of the leader, as the leader or the term changed."""
        self._matched = 0
        self._unreported = None
        self._chunk_index = 0
        self._chunks.clear()

    def handle_append(
        self, source: str, body: AppendEntries, now: float
    ) -> list[Effect]:
        """Handle entries or a heartbeat from the leader.

        Parameters
        ----------
        source : str
            Name of the leader.
        body : AppendEntries
            The message.
        now : float
            Time in seconds.

        Returns
        -------
        list of Effect
            The answer; empty while new entries wait for a sync.
        """
        if self._first_contact is None:
            self._first_contact = now
        replica = self._replica
        if body.term < replica.vote.term:
            return [self._reject(source, body, 0, now)]
        if (hint := self._find_mismatch(body)) is not None:
            return [self._reject(source, body, hint, now)]
        self._store(body.entries)
        end = body.previous_index + len(body.entries)
        self._matched = max(self._matched, end)
        replica.commit = max(replica.commit, min(body.commit, self._matched))
        self._record_stamp(body, now)
        answer = self._answer(body.sent, now)
        if body.entries and answer.match < end:
            self._unreported = answer
            return []
        return replica.storage.defer_until_synced([SendPeer(source, answer)])

    def report_synced(self, leader: str) -> list[Effect]:
        """Report entries to the leader that were synced since the last answer."""
        pending, self._unreported = self._unreported, None
        if pending is None or not leader:
            return []
        answer = self._answer(pending.sent, pending.stamp)
        if answer.match < answer.received:
            self._unreported = pending
        return [SendPeer(leader, answer)]

    def handle_snapshot_chunk(
        self, source: str, body: SnapshotChunk, now: float
    ) -> list[Effect]:
        """Handle a chunk of a snapshot; install the snapshot once it is complete.

        Parameters
        ----------
        source : str
            Name of the leader.
        body : SnapshotChunk
            The chunk.
        now : float
            Time in seconds.

        Returns
        -------
        list of Effect
            The answer, and the event of an installed snapshot.
        """
        if self._first_contact is None:
            self._first_contact = now
        if body.total > MAX_SNAPSHOT_BYTES:
            return []
        if body.index != self._chunk_index:
            self._chunk_index = body.index
            self._chunks.clear()
        if body.offset == len(self._chunks):
            self._chunks += body.content
        if len(self._chunks) < body.total:
            received_bytes = len(self._chunks)
            progress = SnapshotAnswer(
                body.term,
                body.index,
                received_bytes,
                body.sent,
                now,
                self._replica.identity,
            )
            return [SendPeer(source, progress)]
        effects = self._replica.install_snapshot(bytes(self._chunks))
        self._chunk_index = 0
        self._chunks.clear()
        self._matched = max(self._matched, body.index)
        answer = self._answer(body.sent, now)
        return effects + self._replica.storage.defer_until_synced(
            [SendPeer(source, answer)]
        )

    def update_freshness(self) -> None:
        """Advance ``fresh_as_of`` to the latest stamp whose entries are applied."""
        while self._stamps and self._stamps[0].commit <= self._replica.state.applied:
            self.fresh_as_of = max(self.fresh_as_of, self._stamps.popleft().time)

    def _find_mismatch(self, body: AppendEntries) -> int | None:
        replica = self._replica
        if body.previous_index < replica.log.base_index:
            return None
        term = replica.log.term_at(body.previous_index)
        if term == body.previous_term:
            return None
        if term is None:
            return min(replica.log.last_index, body.previous_index - 1)
        return replica.commit

    def _store(self, entries: list[Entry]) -> None:
        replica = self._replica
        base = replica.log.base_index
        for position, entry in enumerate(entries):
            if entry.index <= base:
                continue
            term = replica.log.term_at(entry.index)
            if term == entry.term:
                continue
            if term is not None:
                replica.truncate(entry.index - 1)
            replica.append(entries[position:])
            return

    def _record_stamp(self, body: AppendEntries, now: float) -> None:
        if self._first_contact is None or body.stamp < self._first_contact:
            return
        if body.stamp > now:
            # An earlier process sent it, before the clock was set back.
            return
        if not body.commit:
            return
        self._replica.set_apply_barrier(body.commit)
        if len(self._stamps) < MAX_PENDING_STAMPS:
            self._stamps.append(_Stamp(body.stamp, body.commit))

    def _answer(self, sent: float, now: float) -> AppendAnswer:
        replica = self._replica
        return AppendAnswer(
            term=replica.vote.term,
            accepted=True,
            match=min(replica.storage.durable, self._matched),
            received=self._matched,
            sent=sent,
            stamp=now,
            identity=replica.identity,
            data_centre=self._data_centre,
        )

    def _reject(
        self, source: str, body: AppendEntries, hint: int, now: float
    ) -> SendPeer:
        replica = self._replica
        answer = AppendAnswer(
            term=replica.vote.term,
            accepted=False,
            match=0,
            received=hint,
            sent=body.sent,
            stamp=now,
            identity=replica.identity,
            data_centre=self._data_centre,
        )
        return SendPeer(source, answer)
