"""Leader side of replication: append, replicate, commit and hold the lease."""

from collections.abc import Mapping
from types import MappingProxyType

import msgspec

from gypsumwalk.effects import Effect, SendPeer
from gypsumwalk.errors import UnknownMessage
from gypsumwalk.part import NEVER
from gypsumwalk.progress import (
    NO_LEASE,
    ElectionTiming,
    Progress,
    find_quorum_value,
)
from gypsumwalk.replica import Replica
from gypsumwalk.replication import (
    MAX_DATAGRAM_BYTES,
    AppendAnswer,
    AppendEntries,
    ChangeVoters,
    Entry,
    Forward,
    SnapshotAnswer,
    SnapshotChunk,
)
from gypsumwalk.voter_planning import KnownDaemon

__all__ = ["Leadership"]

LEARNER_EXPIRY_SECONDS = 30.0
"""Time without an answer after which a learner is dropped."""

REACHABLE_SECONDS = 1.0
"""A daemon is reachable if its last answer is more recent than this."""

MAX_PROMOTION_LAG_SECONDS = 1.0
"""A new disk becomes a voter only if it holds every entry that was committed at a time
more recent than this, and after the leader first heard of the disk."""

VOTER_REPLACEMENT_SECONDS = 3.0
"""Time without an answer from its disk after which a voter is replaced; longer than
the restart of a process. With both changes of the voters it ends before a removed
machine counts no longer as lost, which is at least 4 s after its removal."""

NEWS_INTERVAL_SECONDS = 0.025
"""Shortest time between messages to a daemon on which nothing waits for them: entries
for a learner, and the commit index for a daemon that proposed none of the entries."""

SNAPSHOT_RESEND_SECONDS = 1.0
MAX_BATCH_BYTES = 256 * 1024
MAX_BATCH_ENTRIES = 512
MAX_UNCOMMITTED_ENTRIES = 4096
SNAPSHOT_CHUNK_BYTES = 128 * 1024
DATAGRAM_ENTRY_OVERHEAD_BYTES = 53
"""Estimated size of an entry without its command, to choose the transport."""

_QuorumContact = tuple[tuple[dict[str, str], dict[str, str]], float]


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
    voter_count : int
        Number of daemons that should vote.
    last_contacts : Mapping of str to float, optional
        Times in seconds at which daemons were last heard before this term; by default
        the silence of a daemon is counted from the start of the term.
    """

    def __init__(
        self,
        name: str,
        replica: Replica,
        timing: ElectionTiming,
        now: float,
        voter_count: int,
        last_contacts: Mapping[str, float] = MappingProxyType({}),
    ) -> None:
        self._name = name
        self._voter_count = voter_count
        self._replica = replica
        self._timing = timing
        self._progress: dict[str, Progress] = {}
        self._uncommitted: set[tuple[str, int, int]] = set()
        for entry in replica.log.tail(replica.commit):
            self._uncommitted.add((entry.origin, entry.incarnation, entry.sequence))
        self._add_voter_peers(now)
        # A voter that is back has time to answer before it counts as lost.
        earliest = now - VOTER_REPLACEMENT_SECONDS + REACHABLE_SECONDS
        for peer in self._progress.values():
            peer.valid_at = max(last_contacts.get(peer.name, now), earliest)
        self._append(self._make_term_start_entry(), now)
        self._quorum_contact: _QuorumContact | None = None
        """Disk identities and quorum contact since the last answer of a daemon."""
        self._term_start_index = replica.log.last_index

    @property
    def wakeup(self) -> float:
        """Time in seconds of the next heartbeat."""
        return min((peer.due for peer in self._progress.values()), default=NEVER)

    @property
    def known_commit(self) -> int:
        """Commit index, or 0 until an entry of this term is committed."""
        commit = self._replica.commit
        return commit if commit >= self._term_start_index else 0

    @property
    def is_caught_up(self) -> bool:
        """Whether every entry of an earlier leader is committed and applied here."""
        applied = self._replica.state.applied
        return min(self.known_commit, applied) >= self._term_start_index

    def holds_lease(self, now: float) -> bool:
        """Tell whether the leader lease is valid, so no other daemon can lead.

        The lease begins once the log of the leaders before is applied, so that the
        state that it covers is complete.
        """
        if not self.is_caught_up:
            return False
        return now < self.find_quorum_contact(now) + self._timing.lease

    def find_lease_end(self) -> float:
        """Return the time in seconds at which the lease ends, ``-inf`` without one."""
        if not self.is_caught_up:
            return NO_LEASE
        return self._find_last_contact() + self._timing.lease

    def find_quorum_contact(self, now: float) -> float:
        """Return the latest send time in seconds acknowledged by a quorum."""
        return min(self._find_last_contact(), now)

    def _find_last_contact(self) -> float:
        known = (self._replica.voters, dict(self._replica.vote.registered))
        if self._quorum_contact is None or self._quorum_contact[0] != known:
            self._quorum_contact = known, self._compute_quorum_contact()
        return self._quorum_contact[1]

    def _compute_quorum_contact(self) -> float:
        times = [
            NEVER if voter == self._name else self._find_acknowledged(voter)
            for voter in self._replica.voters
        ]
        return find_quorum_value(times)

    def find_transfer_target(self) -> str:
        """Return the voter with the whole log and the latest answer, or empty."""
        last_index = self._replica.log.last_index
        caught_up = [
            peer
            for peer in self._progress.values()
            if peer.name in self._replica.voters
            and self._has_registered_disk(peer)
            and peer.match == last_index
        ]
        target = max(caught_up, key=lambda peer: peer.acknowledged, default=None)
        return target.name if target else ""

    def find_successor(self) -> str:
        """Return the voter that was sent most of the log, or empty.

        Unlike a transfer target it may still have to receive entries, so that this
        daemon need not lead any longer.
        """
        voters = [
            peer
            for peer in self._progress.values()
            if peer.name in self._replica.voters and self._has_registered_disk(peer)
        ]
        best = max(
            voters,
            key=lambda peer: (peer.next_index, peer.received, peer.acknowledged),
            default=None,
        )
        return best.name if best else ""

    def list_daemons(self, now: float) -> list[KnownDaemon]:
        """Return what is known of each daemon that follows this leader.

        Parameters
        ----------
        now : float
            Time in seconds.

        Returns
        -------
        list of KnownDaemon
            The daemons, in the order in which they were first heard.
        """
        return [self._describe(peer, now) for peer in self._progress.values()]

    def _describe(self, peer: Progress, now: float) -> KnownDaemon:
        is_answering = now - peer.answered_at < REACHABLE_SECONDS
        lag = now - peer.caught_up_at
        return KnownDaemon(
            peer.name,
            peer.data_centre,
            peer.identity,
            is_answering=is_answering,
            is_caught_up=is_answering and lag < MAX_PROMOTION_LAG_SECONDS,
            is_lost=now - peer.valid_at > VOTER_REPLACEMENT_SECONDS,
        )

    def add_peer(self, name: str, now: float) -> None:
        """Start replicating the log to a daemon, unless that has started."""
        if name not in self._progress:
            peer = Progress(
                name,
                self._replica.log.last_index + 1,
                due=now,
                answered_at=now,
                valid_at=now,
            )
            self._progress[name] = peer

    def handle_forward(self, origin: str, forward: Forward, now: float) -> None:
        """Append a forwarded command unless it is a duplicate or too much is queued."""
        source = (origin, forward.incarnation, forward.sequence)
        if source in self._uncommitted or self._replica.is_duplicate(*source):
            return
        uncommitted = self._replica.log.last_index - self._replica.commit
        if uncommitted >= MAX_UNCOMMITTED_ENTRIES:
            return
        command = self._check_command(forward.command, now)
        if command:
            self._uncommitted.add(source)
            self._append(Entry(0, 0, 0.0, *source, command), now)

    def handle_append_answer(
        self, source: str, answer: AppendAnswer, now: float
    ) -> None:
        """Update a daemon's progress from its answer to entries or a heartbeat."""
        peer = self._progress.get(source)
        if peer is None:
            return
        if answer.sent > peer.removed_at:
            peer.register_identity(answer.identity)
        peer.data_centre = answer.data_centre
        self._record_contact(peer, answer.sent, answer.stamp, now)
        if answer.accepted:
            peer.accept(answer.match, answer.received, answer.sent, now)
        else:
            peer.reject(answer.received)
        peer.update_round(max(self._replica.commit, self._term_start_index), now)

    def handle_snapshot_answer(
        self, source: str, answer: SnapshotAnswer, now: float
    ) -> None:
        """Update a daemon's progress from its answer to a snapshot chunk."""
        peer = self._progress.get(source)
        if peer is None:
            return
        if answer.identity == peer.identity:
            self._record_contact(peer, answer.sent, answer.stamp, now)
        else:
            # Another disk than the one that the log lists may receive the rest.
            peer.answered_at = now
        if answer.index == peer.snapshot_index:
            peer.snapshot_offset = answer.offset
            peer.due = now

    def advance_commit(self) -> bool:
        """Commit entries synced by a quorum; return whether the index advanced."""
        replica = self._replica
        matches = [self._find_match(voter) for voter in replica.voters]
        index = int(find_quorum_value(matches))
        if index <= replica.commit or index < self._term_start_index:
            return False
        for entry in replica.log.tail(replica.commit)[: index - replica.commit]:
            self._uncommitted.discard((entry.origin, entry.incarnation, entry.sequence))
            if proposer := self._progress.get(entry.origin):
                proposer.awaits_outcome = True
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
        for peer in list(self._progress.values()):
            if self._is_expired_learner(peer, now):
                del self._progress[peer.name]
            else:
                effects += self._replicate_to(peer, now)
        return effects

    def _replicate_to(self, peer: Progress, now: float) -> list[Effect]:
        if self._needs_snapshot(peer):
            return self._send_chunk(peer, now)
        has_entries = self._can_send_entries(peer, now)
        behind = peer.commit_sent < self.known_commit and not peer.in_flight
        is_rested = now >= peer.sent_at + NEWS_INTERVAL_SECONDS
        if not peer.awaits_outcome and not is_rested:
            if behind or has_entries:
                peer.due = min(peer.due, peer.sent_at + NEWS_INTERVAL_SECONDS)
            has_entries = has_entries and not self._may_lag(peer)
            behind = False
        if has_entries:
            return self._send_all_entries(peer, now)
        if behind or peer.due <= now:
            return [self._send_heartbeat(peer, now)]
        return []

    def _may_lag(self, peer: Progress) -> bool:
        # While voters are missing, learners have to hold every entry to become one.
        voters = self._replica.voters
        return peer.name not in voters and len(voters) >= self._voter_count

    def _can_send_entries(self, peer: Progress, now: float) -> bool:
        # Datagrams would overtake entries sent over a connection and be rejected.
        return (
            peer.next_index <= self._replica.log.last_index
            and peer.can_send
            and not peer.is_streaming(now)
        )

    def _send_all_entries(self, peer: Progress, now: float) -> list[Effect]:
        effects: list[Effect] = []
        while self._can_send_entries(peer, now):
            effects.append(self._send_entries(peer, now))
        return effects

    def _send_entries(self, peer: Progress, now: float) -> Effect:
        log = self._replica.log
        entries = log.read(peer.next_index - 1, MAX_BATCH_BYTES, MAX_BATCH_ENTRIES)
        message = self._make_message(peer, peer.next_index - 1, entries, now)
        peer.in_flight += 1
        peer.entries_sent = now
        if not peer.probing:
            peer.next_index += len(entries)
        size = sum(
            len(entry.command) + DATAGRAM_ENTRY_OVERHEAD_BYTES for entry in entries
        )
        if is_large := size > MAX_DATAGRAM_BYTES:
            peer.streamed_index, peer.streamed_at = entries[-1].index, now
        return SendPeer(peer.name, message, reliable=is_large)

    def _send_heartbeat(self, peer: Progress, now: float) -> Effect:
        previous = peer.next_index - 1 if peer.probing else peer.received
        if peer.probing and not peer.is_streaming(now):
            peer.in_flight = 0
        return SendPeer(peer.name, self._make_message(peer, previous, [], now))

    def _make_message(
        self, peer: Progress, previous: int, entries: list[Entry], now: float
    ) -> AppendEntries:
        peer.due = find_next_tick(now, self._find_interval(peer.name))
        peer.commit_sent = self.known_commit
        peer.sent_at = now
        peer.awaits_outcome = False
        return AppendEntries(
            term=self._replica.vote.term,
            previous_index=previous,
            previous_term=self._replica.log.term_at(previous) or 0,
            commit=self.known_commit,
            sent=now,
            stamp=peer.stamp,
            entries=entries,
        )

    def _needs_snapshot(self, peer: Progress) -> bool:
        if peer.snapshot_index:
            return True
        previous = peer.next_index - 1 if peer.probing else peer.received
        return min(previous, peer.next_index - 1) < self._replica.log.base_index

    def _send_chunk(self, peer: Progress, now: float) -> list[Effect]:
        if peer.due > now:
            return []
        snapshot, index = self._replica.snapshot, self._replica.snapshot_index
        if peer.snapshot_index != index:
            peer.snapshot_index, peer.snapshot_offset = index, 0
        offset = peer.snapshot_offset
        peer.due = now + SNAPSHOT_RESEND_SECONDS
        chunk = SnapshotChunk(
            term=self._replica.vote.term,
            index=index,
            offset=offset,
            total=len(snapshot),
            content=snapshot[offset : offset + SNAPSHOT_CHUNK_BYTES],
            sent=now,
        )
        return [SendPeer(peer.name, chunk, reliable=True)]

    def _record_contact(
        self, peer: Progress, sent: float, stamp: float, now: float
    ) -> None:
        peer.answered_at = now
        if peer.name not in self._replica.voters or self._has_registered_disk(peer):
            peer.valid_at = now
        is_overtaken = sent < peer.acknowledged
        peer.acknowledged = max(peer.acknowledged, sent)
        self._quorum_contact = None
        if is_overtaken or not self.holds_lease(now):
            return
        if peer.stamp < 0:
            peer.due = now
        # It is lower than before if the daemon started again with an earlier clock.
        peer.stamp = stamp

    def _find_acknowledged(self, voter: str) -> float:
        peer = self._progress.get(voter)
        return peer.acknowledged if peer and self._has_registered_disk(peer) else 0.0

    def _find_match(self, voter: str) -> int:
        if voter == self._name:
            return self._replica.storage.durable
        peer = self._progress.get(voter)
        return peer.match if peer and self._has_registered_disk(peer) else 0

    def _has_registered_disk(self, peer: Progress) -> bool:
        known = self._replica.find_identity(peer.name)
        return bool(peer.identity) and peer.identity == known

    def _find_interval(self, name: str) -> float:
        if name in self._replica.voters:
            return self._timing.heartbeat
        return self._timing.learner_heartbeat

    def _is_expired_learner(self, peer: Progress, now: float) -> bool:
        unreachable = now - peer.answered_at > LEARNER_EXPIRY_SECONDS
        return unreachable and peer.name not in self._replica.voters

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

    def _check_command(self, encoded: bytes, now: float) -> bytes:
        try:
            command = self._replica.decode(encoded)
        except UnknownMessage:
            return b""
        if not isinstance(command, ChangeVoters):
            return encoded
        voters = self._fill_identities(command.voters)
        if not voters or not self._can_change_voters(voters):
            return b""
        for removed in self._replica.voters.keys() - voters.keys():
            if removed in self._progress:
                self._progress[removed].forget_identity(now)
        return msgspec.msgpack.encode(ChangeVoters(voters))

    def _fill_identities(self, voters: dict[str, str]) -> dict[str, str]:
        filled = {}
        for voter, identity in voters.items():
            peer = self._progress.get(voter)
            known = identity or self._replica.voters.get(voter, "")
            filled[voter] = known or (peer.identity if peer else "")
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
            commit=self._replica.commit,
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
