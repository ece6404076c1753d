"""Leader side of replication: append, replicate, commit and hold the lease."""

import msgspec

from gypsumwalk.effects import Effect, SendPeer
from gypsumwalk.errors import UnknownMessage
from gypsumwalk.part import NEVER
from gypsumwalk.progress import ElectionTiming, Progress, find_quorum_value
from gypsumwalk.replica import Replica
from gypsumwalk.replication import (
    AppendAnswer,
    AppendEntries,
    ChangeVoters,
    Entry,
    Forward,
    SnapshotAnswer,
    SnapshotChunk,
)

__all__ = ["Leadership"]

LEARNER_HEARTBEAT_SECONDS = 0.9
LEARNER_EXPIRY_SECONDS = 30.0
"""Time without an answer after which a learner is dropped."""

REACHABLE_SECONDS = 1.0
"""A daemon is reachable if its last answer is more recent than this."""

MAX_PROMOTION_LAG_ENTRIES = 0
"""A new disk becomes a voter only once it holds every committed entry."""

VOTER_REPLACEMENT_SECONDS = 8.0
"""Time without an answer after which a voter is replaced; longer than most network
partitions."""

SNAPSHOT_RESEND_SECONDS = 1.0
MAX_BATCH_BYTES = 256 * 1024
MAX_BATCH_ENTRIES = 512
MAX_DATAGRAM_BYTES = 900
MAX_UNCOMMITTED_ENTRIES = 4096
SNAPSHOT_CHUNK_BYTES = 128 * 1024
DATAGRAM_ENTRY_OVERHEAD_BYTES = 48
"""Estimated encoded size of an entry without its command."""


class Leadership:
    """State of a leader during one term.

    Parameters
    ----------
    name : str
        Name of the daemon.
    replica : Replica
        Its replica.
    timing : ElectionTiming
        Times of elections and heartbeats.
    now : float
        Time in seconds.
    """

    def __init__(
        self, name: str, replica: Replica, timing: ElectionTiming, now: float
    ) -> None:
        self._name = name
        self._replica = replica
        self._timing = timing
        self._progress: dict[str, Progress] = {}
        self._uncommitted: set[tuple[str, int, int]] = set()
        for entry in replica.log.tail(replica.commit):
            self._uncommitted.add((entry.origin, entry.incarnation, entry.sequence))
        self._add_voter_peers(now)
        self._append(self._make_term_start_entry(), now)
        self._term_start_index = replica.log.last_index

    @property
    def wakeup(self) -> float:
        """Time in seconds of the next heartbeat."""
        return min((item.due for item in self._progress.values()), default=NEVER)

    @property
    def known_commit(self) -> int:
        """Commit index, or 0 until an entry of this term is committed."""
        commit = self._replica.commit
        return commit if commit >= self._term_start_index else 0

    def holds_lease(self, now: float) -> bool:
        """Tell whether the leader lease is valid, so no other daemon can lead."""
        if not self.known_commit:
            return False
        return now < self.find_quorum_contact(now) + self._timing.lease

    def find_quorum_contact(self, now: float) -> float:
        """Return the latest send time in seconds acknowledged by a quorum."""
        times = []
        for voter in self._replica.voters:
            if voter == self._name:
                times.append(now)
            else:
                times.append(self._find_acknowledged(voter))
        return find_quorum_value(times)

    def find_transfer_target(self) -> str:
        """Return the voter with the whole log and the latest answer, or empty."""
        last_index = self._replica.log.last_index
        caught_up = [
            item
            for item in self._progress.values()
            if item.name in self._replica.voters
            and self._has_registered_disk(item)
            and item.match == last_index
        ]
        best = max(caught_up, key=lambda item: item.acknowledged, default=None)
        return best.name if best else ""

    def plan_voter_change(self, now: float) -> dict[str, str] | None:
        """Return the next voters of a single-step change, or None if none is needed.

        A voter with a new disk that has caught up is listed with that disk. If
        exactly one voter is unreachable, it is removed from an even number of
        voters; for an odd number, a caught-up learner with a disk is added.

        Parameters
        ----------
        now : float
            Time in seconds.

        Returns
        -------
        dict of str to str or None
            Disk identity of each voter, by name.
        """
        voters = self._replica.voters
        if self._replica.voters_index > self.known_commit:
            return None
        caught_up = {
            item.name: item.identity
            for item in self._progress.values()
            if item.identity and self._has_caught_up(item, now)
        }
        for name, identity in caught_up.items():
            if voters.get(name, identity) != identity:
                return {**voters, name: identity}
        silent = [name for name in voters if self._is_unreachable(name, now)]
        if len(silent) != 1:
            return None
        if len(voters) % 2 == 0:
            return {name: voters[name] for name in voters if name not in silent}
        spare = sorted(name for name in caught_up if name not in voters)
        return {**voters, spare[0]: caught_up[spare[0]]} if spare else None

    def _has_caught_up(self, item: Progress, now: float) -> bool:
        missing = self._replica.commit - item.match
        return (
            missing <= MAX_PROMOTION_LAG_ENTRIES
            and now - item.answered_at < REACHABLE_SECONDS
        )

    def _is_unreachable(self, voter: str, now: float) -> bool:
        item = self._progress.get(voter)
        if voter == self._name or item is None:
            return False
        return now - item.answered_at > VOTER_REPLACEMENT_SECONDS

    def add_peer(self, name: str, now: float) -> None:
        """Start replicating the log to a daemon, unless that has started."""
        if name not in self._progress:
            item = Progress(
                name, self._replica.log.last_index + 1, due=now, answered_at=now
            )
            self._progress[name] = item

    def handle_forward(self, origin: str, forward: Forward, now: float) -> None:
        """Append a forwarded command unless it is a duplicate or too much is queued."""
        source = (origin, forward.incarnation, forward.sequence)
        if source in self._uncommitted or self._replica.is_duplicate(*source):
            return
        uncommitted = self._replica.log.last_index - self._replica.commit
        if uncommitted >= MAX_UNCOMMITTED_ENTRIES:
            return
        command = self._check_command(forward.command)
        if command:
            self._uncommitted.add(source)
            self._append(Entry(0, 0, 0.0, *source, command), now)

    def handle_append_answer(
        self, source: str, answer: AppendAnswer, now: float
    ) -> None:
        """Update a daemon's progress from its answer to entries or a heartbeat."""
        item = self._progress.get(source)
        if item is None:
            return
        self._record_contact(item, answer.sent, answer.stamp, now)
        item.identity = answer.identity
        if answer.accepted:
            item.accept(answer.match, answer.received, answer.sent)
        else:
            item.refuse(answer.received)

    def handle_snapshot_answer(
        self, source: str, answer: SnapshotAnswer, now: float
    ) -> None:
        """Update a daemon's progress from its answer to a snapshot chunk."""
        item = self._progress.get(source)
        if item is None:
            return
        self._record_contact(item, answer.sent, answer.stamp, now)
        if answer.index == item.snapshot_index:
            item.snapshot_offset = answer.offset
            item.due = now

    def advance_commit(self) -> bool:
        """Commit entries synced by a quorum; return whether the index advanced."""
        replica = self._replica
        matches = [self._find_match(voter) for voter in replica.voters]
        index = int(find_quorum_value(matches))
        if index <= replica.commit or index < self._term_start_index:
            return False
        for entry in replica.log.tail(replica.commit)[: index - replica.commit]:
            self._uncommitted.discard((entry.origin, entry.incarnation, entry.sequence))
        replica.commit = index
        return True

    def replicate(self, now: float) -> list[Effect]:
        """Send the entries, commit indexes and heartbeats that are due.

        Parameters
        ----------
        now : float
            Time in seconds.

        Returns
        -------
        list of Effect
            The messages.
        """
        self._add_voter_peers(now)
        effects: list[Effect] = []
        for item in list(self._progress.values()):
            if self._is_expired_learner(item, now):
                del self._progress[item.name]
            else:
                effects += self._replicate_to(item, now)
        return effects

    def _replicate_to(self, item: Progress, now: float) -> list[Effect]:
        if self._needs_snapshot(item):
            return self._send_chunk(item, now)
        effects: list[Effect] = []
        last_index = self._replica.log.last_index
        while item.next_index <= last_index and item.can_send:
            effects.append(self._send_entries(item, now))
        if effects:
            return effects
        behind = item.commit_sent < self.known_commit and not item.in_flight
        if behind or item.due <= now:
            return [self._send_heartbeat(item, now)]
        return []

    def _send_entries(self, item: Progress, now: float) -> Effect:
        log = self._replica.log
        entries = log.read(item.next_index - 1, MAX_BATCH_BYTES, MAX_BATCH_ENTRIES)
        message = self._make_message(item, item.next_index - 1, entries, now)
        item.in_flight += 1
        item.entries_sent = now
        if not item.probing:
            item.next_index += len(entries)
        size = sum(
            len(entry.command) + DATAGRAM_ENTRY_OVERHEAD_BYTES for entry in entries
        )
        return SendPeer(item.name, message, reliable=size > MAX_DATAGRAM_BYTES)

    def _send_heartbeat(self, item: Progress, now: float) -> Effect:
        previous = item.next_index - 1 if item.probing else item.received
        if item.probing:
            item.in_flight = 0
        return SendPeer(item.name, self._make_message(item, previous, [], now))

    def _make_message(
        self, item: Progress, previous: int, entries: list[Entry], now: float
    ) -> AppendEntries:
        item.due = find_next_tick(now, self._find_interval(item.name))
        item.commit_sent = self.known_commit
        return AppendEntries(
            term=self._replica.vote.term,
            previous_index=previous,
            previous_term=self._replica.log.term_at(previous) or 0,
            commit=self.known_commit,
            sent=now,
            stamp=item.stamp,
            entries=entries,
        )

    def _needs_snapshot(self, item: Progress) -> bool:
        if item.snapshot_index:
            return True
        previous = item.next_index - 1 if item.probing else item.received
        return min(previous, item.next_index - 1) < self._replica.log.base_index

    def _send_chunk(self, item: Progress, now: float) -> list[Effect]:
        if item.due > now:
            return []
        snapshot, index = self._replica.snapshot, self._replica.snapshot_index
        if item.snapshot_index != index:
            item.snapshot_index, item.snapshot_offset = index, 0
        offset = item.snapshot_offset
        item.due = now + SNAPSHOT_RESEND_SECONDS
        chunk = SnapshotChunk(
            term=self._replica.vote.term,
            index=index,
            offset=offset,
            total=len(snapshot),
            content=snapshot[offset : offset + SNAPSHOT_CHUNK_BYTES],
            sent=now,
        )
        return [SendPeer(item.name, chunk, reliable=True)]

    def _record_contact(
        self, item: Progress, sent: float, stamp: float, now: float
    ) -> None:
        item.answered_at = now
        item.acknowledged = max(item.acknowledged, sent)
        if not self.holds_lease(now):
            return
        if item.stamp < 0:
            item.due = now
        item.stamp = max(item.stamp, stamp)

    def _find_acknowledged(self, voter: str) -> float:
        item = self._progress.get(voter)
        return item.acknowledged if item and self._has_registered_disk(item) else 0.0

    def _find_match(self, voter: str) -> int:
        if voter == self._name:
            return self._replica.storage.durable
        item = self._progress.get(voter)
        return item.match if item and self._has_registered_disk(item) else 0

    def _has_registered_disk(self, item: Progress) -> bool:
        known = self._replica.find_identity(item.name)
        return bool(item.identity) and item.identity == known

    def _find_interval(self, name: str) -> float:
        if name in self._replica.voters:
            return self._timing.heartbeat
        return LEARNER_HEARTBEAT_SECONDS

    def _is_expired_learner(self, item: Progress, now: float) -> bool:
        silent = now - item.answered_at > LEARNER_EXPIRY_SECONDS
        return silent and item.name not in self._replica.voters

    def _add_voter_peers(self, now: float) -> None:
        for voter in self._replica.voters:
            if voter != self._name:
                self.add_peer(voter, now)

    def _make_term_start_entry(self) -> Entry:
        voters = self._replica.voters
        if all(voters.values()) and self._replica.voters_index:
            return Entry(0, 0, 0.0)
        identified = {voter: self._replica.find_identity(voter) for voter in voters}
        identified[self._name] = self._replica.identity
        if not all(identified.values()):
            return Entry(0, 0, 0.0)
        command = msgspec.msgpack.encode(ChangeVoters(identified))
        return Entry(0, 0, 0.0, command=command)

    def _check_command(self, encoded: bytes) -> bytes:
        try:
            command = self._replica.decode(encoded)
        except UnknownMessage:
            return b""
        if not isinstance(command, ChangeVoters):
            return encoded
        voters = self._fill_identities(command.voters)
        if not voters or not self._can_change_voters(voters):
            return b""
        return msgspec.msgpack.encode(ChangeVoters(voters))

    def _fill_identities(self, voters: dict[str, str]) -> dict[str, str]:
        filled = {}
        for voter, identity in voters.items():
            item = self._progress.get(voter)
            known = identity or self._replica.voters.get(voter, "")
            filled[voter] = known or (item.identity if item else "")
        return filled if all(filled.values()) else {}

    def _can_change_voters(self, voters: dict[str, str]) -> bool:
        if self._replica.voters_index > self.known_commit:
            return False
        old = self._replica.voters
        if old.keys() == voters.keys():
            # The daemon lost its disk and has a new one. The old disk is in no quorum
            # any more, so this is a single-step change as well.
            return sum(old[name] != voters[name] for name in old) == 1
        return len(set(old.items()) ^ set(voters.items())) == 1

    def _append(self, entry: Entry, now: float) -> None:
        log = self._replica.log
        placed = msgspec.structs.replace(
            entry,
            index=log.last_index + 1,
            term=self._replica.vote.term,
            at=max(now, log.last_time),
        )
        self._replica.append([placed])


def find_next_tick(now: float, interval: float) -> float:
    """Return the next multiple of an interval, so that heartbeats are batched.

    Parameters
    ----------
    now : float
        Time in seconds.
    interval : float
        Interval in seconds.

    Returns
    -------
    float
        Time in seconds, after ``now`` by at most one interval.
    """
    tick = (now // interval + 1) * interval
    return tick if tick > now else tick + interval
