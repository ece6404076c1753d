"""Raft-like consensus: elections, replication and proposals of this daemon."""

from collections.abc import Sequence
from random import Random

from gypsumwalk.admission import Admission
from gypsumwalk.effects import Effect, Propose, Raise, Record, Scalar, SendPeer, Stop
from gypsumwalk.elections import CandidateState, Elections
from gypsumwalk.events import Event
from gypsumwalk.follower import Follower
from gypsumwalk.incarnations import encode_incarnation
from gypsumwalk.inputs import (
    DiskOutcome,
    Input,
    PeerInput,
    ProposalOutcome,
    ProposalStatus,
    ShutdownRequested,
)
from gypsumwalk.leadership import Leadership
from gypsumwalk.progress import NO_LEASE, ElectionTiming
from gypsumwalk.proposals import Proposals
from gypsumwalk.recovery import Recovered
from gypsumwalk.replica import Replica
from gypsumwalk.replication import (
    COMMANDS,
    MAX_DATAGRAM_BYTES,
    PEER_MESSAGES,
    AppendAnswer,
    AppendEntries,
    Follow,
    Forward,
    Introduce,
    Introduced,
    LeaderHint,
    OutdatedIncarnation,
    SnapshotAnswer,
    SnapshotChunk,
    TakeOver,
    VoteAnswer,
    VoteRequest,
)
from gypsumwalk.settings import Settings
from gypsumwalk.state import ReplicatedState
from gypsumwalk.voter_planning import KnownDaemon, find_voter_count, plan_voters

__all__ = ["COMMANDS", "PEER_MESSAGES", "Consensus"]

QUORUM_TIMEOUT_SECONDS = 2.0
"""Time without answers from a quorum after which a leader steps down."""

FOLLOW_RETRY_SECONDS = 0.5
"""Interval at which a daemon without a leader asks to be sent the log."""

RESTART_RETRY_SECONDS = 1.0
"""Interval at which a daemon whose incarnation is outdated tries to start again."""

IDENTITY_BITS = 64
"""Size of a random disk identity."""


class Consensus:
    """The part that replicates commands, on voters and learners.

    Parameters
    ----------
    settings : Settings
        Settings of the daemon; without a data folder it is a learner and never votes.
    state : ReplicatedState
        State that committed commands are applied to.
    recovered : Recovered
        Content of the data folder.
    random : Random
        Source of election timeouts and disk identities.
    incarnation : int
        Incarnation of the daemon, higher after every start.
    first_start : bool or None
        Whether the whole system starts for the first time, with empty disks; None
        if the platform does not say, so that the initial voters have to register
        each other's disks before they vote.
    max_replayed_entries : int or None, optional
        Maximum number of committed entries that a daemon applies at a time, unless it
        leads and has caught up; by default all. With a maximum, the state of a daemon
        without the lease may be older than before its restart, and what it answers must
        not depend on that.
    """

    name = "consensus"
    accepts: tuple[type, ...] = (*PEER_MESSAGES, DiskOutcome, ShutdownRequested)

    def __init__(
        self,
        *,
        settings: Settings,
        state: ReplicatedState,
        recovered: Recovered,
        random: Random,
        incarnation: int,
        first_start: bool | None = None,
        max_replayed_entries: int | None = None,
    ) -> None:
        self._daemon = settings.name
        self._max_replayed_entries = max_replayed_entries
        self._data_centre = settings.data_centre
        self._voter_count = find_voter_count(
            len(settings.voters), settings.tolerated_disk_losses
        )
        self._random = random
        self._timing = ElectionTiming(settings.election_seconds)
        self._seeds = [voter for voter in settings.voters if voter != settings.name]
        self._incarnation = incarnation
        self._proposals = Proposals(settings.name, incarnation)
        identity = ""
        voters = list_initial_voters(
            settings.voters, is_first_start_known=first_start is not None
        )
        if settings.data_folder:
            identity = f"{random.getrandbits(IDENTITY_BITS):016x}"
            if first_start:
                identity = voters.get(settings.name, identity)
        self._replica = Replica(
            state,
            recovered,
            identity,
            voters,
            self._proposals,
            kept_files=[encode_incarnation(incarnation)],
        )
        if max_replayed_entries is not None:
            # What is known to be committed is applied while voters wait to be elected.
            self._replica.set_apply_barrier(self._replica.commit)
        self._admission = Admission(settings.name, self._replica, settings.voters)
        self._follower = Follower(self._replica, settings.data_centre)
        self._elections = Elections(settings.name, self._replica, random, self._timing)
        self._leadership: Leadership | None = None
        self._elections.cancel_candidacy()
        self._leader = ""
        self._is_started = False
        self._is_shutting_down = False
        self._restart_due = 0.0
        self._is_refusal_recorded = False
        self._last_leader = ""
        self._last_leader_contact = 0.0
        self._follow_due = 0.0
        self._lease_end = NO_LEASE
        self._disk_failed_at: float | None = None

    @property
    def leader(self) -> str:
        """Name of the last known leader, or empty."""
        return self._leader

    @property
    def term(self) -> int:
        """Latest term seen."""
        return self._replica.vote.term

    @property
    def commit(self) -> int:
        """Commit index: the last entry known to be committed."""
        return self._replica.commit

    @property
    def replica(self) -> Replica:
        """The replica; callers must not modify it."""
        return self._replica

    @property
    def wakeup(self) -> float:
        """Time in seconds at which ``advance`` is due next."""
        if not self._is_started or self._replica.has_backlog:
            return 0.0
        times = [
            self._proposals.wakeup,
            self._admission.wakeup,
            self._replica.storage.wakeup,
        ]
        if self._leadership:
            times.append(self._leadership.wakeup)
        elif self._admission.can_vote():
            times.append(self._elections.due)
        else:
            times.append(self._follow_due)
        return min(times)

    @property
    def applied_index(self) -> int:
        """Index of the last entry of the log that was applied to the state."""
        return self._replica.state.applied

    def holds_lease(self, now: float) -> bool:
        """Tell whether this daemon leads and its leader lease is valid."""
        leadership = self._leadership
        if leadership is None or not self._replica.storage.enabled:
            return False
        return leadership.holds_lease(now)

    @property
    def lease_end(self) -> float:
        """Time in seconds at which the leader lease ends, ``-inf`` without a lease.

        It is a plain value, computed with each input and timer, so that other threads
        may read it.
        """
        return self._lease_end

    def find_freshness(self, now: float) -> float:
        """Return the time as of which the applied state is known to be complete.

        Parameters
        ----------
        now : float
            Time in seconds.

        Returns
        -------
        float
            Time in seconds on this daemon's clock: every entry committed before it
            has been applied. ``-inf`` until such a time is known.
        """
        if self.holds_lease(now):
            return now
        return self._follower.fresh_as_of

    def replace_seeds(self, names: Sequence[str]) -> None:
        """Replace the daemons to ask for the leader while none is known."""
        self._seeds = [name for name in names if name != self._daemon]

    def plan_voter_change(self, now: float) -> dict[str, str] | None:
        """Return the next voters of a single-step change, or None if none is needed.

        Parameters
        ----------
        now : float
            Time in seconds.

        Returns
        -------
        dict of str to str or None
            Disk identity of each voter, by name. It differs from the current voters
            by one replaced disk, one added voter or one removed voter.
        """
        leadership = self._leadership
        if leadership is None or self._replica.voters_index > leadership.known_commit:
            return None
        own = KnownDaemon(self._daemon, self._data_centre, self._replica.identity)
        daemons = [own, *leadership.list_daemons(now)]
        voters = self._replica.voters
        return plan_voters(voters, daemons, self._daemon, self._voter_count)

    def propose(self, proposal: Propose, now: float) -> Sequence[Effect]:
        """Start replicating a command; a ``ProposalOutcome`` is raised later.

        Parameters
        ----------
        proposal : Propose
            The command.
        now : float
            Time in seconds.

        Returns
        -------
        Sequence[Effect]
            Effects to carry out, in this order.
        """
        if not self._proposals.add(proposal, now):
            status = ProposalStatus.NOT_COMMITTED
            return [Raise(ProposalOutcome(proposal.token, status))]
        return self._send_proposals(now) + self._commit_and_apply(now)

    def handle(self, item: Input, now: float) -> Sequence[Effect]:
        """Handle one input.

        Parameters
        ----------
        item : Input
            A message from another daemon, the outcome of a disk write or a shutdown
            request.
        now : float
            Time in seconds.

        Returns
        -------
        Sequence[Effect]
            Effects to carry out, in this order.
        """
        self._start(now)
        effects: list[Effect] = []
        if isinstance(item, DiskOutcome):
            effects = self._handle_disk_outcome(item, now)
        elif isinstance(item, PeerInput):
            effects = self._handle_message(item, now)
        elif isinstance(item, ShutdownRequested):
            self._is_shutting_down = True
        return effects + self._commit_and_apply(now)

    def advance(self, now: float) -> Sequence[Effect]:
        """Run the timers that are due.

        Parameters
        ----------
        now : float
            Time in seconds, never decreasing.

        Returns
        -------
        Sequence[Effect]
            Effects to carry out, in this order.
        """
        self._start(now)
        effects = self._give_up_write(now)
        effects += self._admission.advance(now)
        effects += self._proposals.expire(now)
        effects += self._send_proposals(now)
        if self._leadership:
            effects += self._check_quorum(now)
        elif self._admission.can_vote():
            if now >= self._elections.due:
                effects += self._begin_pre_vote(now)
        elif now >= self._follow_due:
            effects += self._send_follow(now)
        return effects + self._commit_and_apply(now)

    def _start(self, now: float) -> None:
        if self._is_started:
            return
        self._is_started = True
        self._record_leader_contact(now)
        self._follow_due = now

    def _commit_and_apply(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        if leadership := self._leadership:
            leadership.advance_commit()
            if leadership.known_commit:
                self._replica.set_apply_barrier(leadership.known_commit)
            effects += leadership.replicate(now)
            effects += self._step_down_if_removed()
        if self._is_shutting_down:
            effects += self._transfer_leadership(now)
        effects += self._apply_committed()
        effects += self._restart_above(
            self._replica.find_incarnation(self._daemon), now
        )
        self._follower.update_freshness()
        if self.holds_lease(now):
            self._follower.fresh_as_of = now
        self._lease_end = self._find_lease_end()
        return effects + self._write_disk(now)

    def _write_disk(self, now: float) -> list[Effect]:
        storage = self._replica.storage
        if storage.is_rewrite_due(now):
            return self._replica.rewrite(now)
        return storage.flush(now)

    def _apply_committed(self) -> list[Effect]:
        effects: list[Effect] = []
        if self._max_replayed_entries and not self._is_caught_up():
            effects += self._replica.apply_committed(self._max_replayed_entries)
            if not self._is_caught_up():
                return effects
        # A leader that has caught up answers from its state, so none may be left out.
        return effects + self._replica.apply_committed()

    def _is_caught_up(self) -> bool:
        return self._leadership is not None and self._leadership.is_caught_up

    def _handle_disk_outcome(self, item: DiskOutcome, now: float) -> list[Effect]:
        storage = self._replica.storage
        was_enabled = storage.enabled
        effects = storage.complete(item.token, item.succeeded, now)
        if not item.succeeded:
            return effects + self._record_disk_failure(item.reason, now)
        if storage.enabled and not was_enabled:
            effects += self._record_disk_return(now)
        return effects + self._follower.report_synced(self._leader)

    def _give_up_write(self, now: float) -> list[Effect]:
        if not self._replica.storage.give_up(now):
            return []
        return self._record_disk_failure("a write has no outcome in time", now)

    def _record_disk_failure(self, reason: str, now: float) -> list[Effect]:
        effects: list[Effect] = []
        if self._disk_failed_at is None:
            self._disk_failed_at = now
            detail: dict[str, Scalar] = {"reason": reason or "unknown"}
            effects.append(Record(Event.DISK_FAILED, self._daemon, detail))
        self._elections.cancel_candidacy()
        return effects + self._hand_over("disk write failed")

    def _restart_above(self, incarnation: int, now: float) -> list[Effect]:
        """Start again if an earlier process of this daemon had a higher incarnation.

        The clock was set back meanwhile, and the disk was lost, had no room for the
        incarnation, or there is none. Other daemons refuse all messages and commands of
        a lower incarnation. The next process begins above the known one, stored or not.

        Parameters
        ----------
        incarnation : int
            Incarnation of this daemon that is known.
        now : float
            Time in seconds.

        Returns
        -------
        list of Effect
            The stop of the process, deferred until the incarnation is stored if the
            disk works. A write to a failed disk that has not ended may change the files
            that the next process reads, so the stop waits for it.
        """
        if incarnation <= self._incarnation or now < self._restart_due:
            return []
        self._restart_due = now + RESTART_RETRY_SECONDS
        storage = self._replica.storage
        self._replica.save_incarnation(incarnation)
        detail: dict[str, Scalar] = {"incarnation": incarnation}
        if storage.is_writing and not storage.enabled:
            return self._record_refusal(detail)
        known = 0 if self._is_shutting_down else incarnation
        stop: list[Effect] = [
            Record(Event.INCARNATION_OUTDATED, self._daemon, detail),
            Stop(exit_code=1, known_incarnation=known),
        ]
        effects = self._hand_over("the incarnation is outdated")
        return effects + storage.defer_until_synced(stop)

    def _record_refusal(self, detail: dict[str, Scalar]) -> list[Effect]:
        if self._is_refusal_recorded:
            return []
        self._is_refusal_recorded = True
        return [Record(Event.INCARNATION_REFUSED, self._daemon, detail)]

    def _record_disk_return(self, now: float) -> list[Effect]:
        failed_at, self._disk_failed_at = self._disk_failed_at, None
        if failed_at is None:
            return []
        seconds = round(now - failed_at, 3)
        return [Record(Event.DISK_RETURNED, self._daemon, {"seconds": seconds})]

    def _handle_message(self, item: PeerInput, now: float) -> list[Effect]:
        source = item.source
        match item.body:
            case AppendEntries() as body:
                return self._handle_append(source, body, now)
            case AppendAnswer() as body:
                return self._handle_append_answer(source, body, now)
            case VoteRequest() | VoteAnswer() | TakeOver() as body:
                return self._handle_election(source, body, now)
            case SnapshotChunk() | SnapshotAnswer() as body:
                return self._handle_snapshot(source, body, now)
            case Introduce() as body:
                return self._admission.handle_introduce(source, body)
            case Introduced() as body:
                return self._admission.handle_introduced(source, body)
            case Forward() as body:
                return self._handle_forward(source, body, now)
            case Follow() | LeaderHint() as body:
                return self._handle_follow(source, body, now)
            case OutdatedIncarnation(incarnation=incarnation):
                return self._restart_above(incarnation, now)
        return []

    def _find_lease_end(self) -> float:
        if self._leadership is None or not self._replica.storage.enabled:
            return NO_LEASE
        return self._leadership.find_lease_end()

    # Log replication, as a follower

    def _handle_append(
        self, source: str, body: AppendEntries, now: float
    ) -> list[Effect]:
        effects = self._accept_leader(source, body.term, now)
        return effects + self._follower.handle_append(source, body, now)

    def _handle_snapshot(
        self, source: str, body: SnapshotChunk | SnapshotAnswer, now: float
    ) -> list[Effect]:
        if isinstance(body, SnapshotAnswer):
            if self._leadership and body.term == self.term:
                self._leadership.handle_snapshot_answer(source, body, now)
            return []
        if body.term < self.term:
            return []
        effects = self._accept_leader(source, body.term, now)
        return effects + self._follower.handle_snapshot_chunk(source, body, now)

    def _accept_leader(self, source: str, term: int, now: float) -> list[Effect]:
        if term < self.term:
            return []
        effects = self._enter_later_term(term)
        self._elections.cancel_candidacy()
        self._record_leader_contact(now)
        if source != self._leader:
            self._leader = self._last_leader = source
            self._follower.reset()
            self._proposals.resend_all(now)
            detail: dict[str, Scalar] = {"leader": source, "term": term}
            effects.append(Record(Event.LEADER_CHANGED, self._daemon, detail))
        return effects + self._send_proposals(now)

    def _record_leader_contact(self, now: float) -> None:
        self._last_leader_contact = now
        self._elections.reset_timeout(now)
        self._follow_due = self._elections.due

    def _send_follow(self, now: float) -> list[Effect]:
        self._follow_due = now + FOLLOW_RETRY_SECONDS
        self._leader = ""
        known = set(self._seeds) | set(self._replica.voters)
        candidates = sorted(known - {self._daemon})
        if not candidates:
            return []
        recipient = self._random.choice(candidates)
        return [SendPeer(recipient, Follow(self._replica.log.last_index))]

    def _handle_follow(
        self, source: str, body: Follow | LeaderHint, now: float
    ) -> list[Effect]:
        if isinstance(body, LeaderHint):
            if self._leader or body.leader == self._daemon or body.term < self.term:
                return []
            last_index = self._replica.log.last_index
            return [SendPeer(body.leader, Follow(last_index))]
        if self._leadership:
            self._leadership.add_peer(source, now)
            return []
        if (
            not self._leader
            or now - self._last_leader_contact > self._timing.min_timeout
        ):
            return []
        return [SendPeer(source, LeaderHint(self._leader, self.term))]

    # Proposals

    def _send_proposals(self, now: float) -> list[Effect]:
        if self._proposals.wakeup > now:
            return []
        if not self._leader:
            self._proposals.postpone(now)
            return []
        effects: list[Effect] = []
        for forward in self._proposals.take_due(now):
            if self._leadership:
                self._leadership.handle_forward(self._daemon, forward, now)
                continue
            large = len(forward.command) > MAX_DATAGRAM_BYTES
            effects.append(SendPeer(self._leader, forward, reliable=large))
        return effects

    def _handle_forward(self, source: str, body: Forward, now: float) -> list[Effect]:
        if self._leadership:
            self._leadership.handle_forward(source, body, now)
            return []
        if not self._leader or self._leader == source:
            return []
        return [SendPeer(source, LeaderHint(self._leader, self.term))]

    # Elections

    def _begin_pre_vote(self, now: float) -> list[Effect]:
        # A voter that was removed while partitioned has not seen its removal, and no
        # leader sends it entries any more, so it also asks for the log.
        effects = self._send_follow(now)
        return effects + self._elections.begin_pre_vote(now)

    def _handle_election(
        self, source: str, body: VoteRequest | VoteAnswer | TakeOver, now: float
    ) -> list[Effect]:
        match body:
            case VoteRequest():
                return self._handle_vote_request(source, body, now)
            case VoteAnswer():
                return self._handle_vote_answer(source, body, now)
            case TakeOver(term=term):
                return self._handle_take_over(term, now)

    def _handle_vote_request(
        self, source: str, body: VoteRequest, now: float
    ) -> list[Effect]:
        has_contact = self._has_leader_contact(now) and not body.handed_over
        if not self._admission.can_grant_votes() or has_contact:
            return []
        effects: list[Effect] = []
        if not body.pre_vote:
            effects += self._enter_later_term(body.term)
        return effects + self._elections.handle_vote_request(source, body, now)

    def _handle_take_over(self, term: int, now: float) -> list[Effect]:
        if term != self.term or not self._admission.can_vote():
            return []
        self._leader = ""
        return self._elections.start_election(now)

    def _has_leader_contact(self, now: float) -> bool:
        return (
            self._leadership is not None
            or now - self._last_leader_contact < self._timing.min_timeout
        )

    def _handle_vote_answer(
        self, source: str, body: VoteAnswer, now: float
    ) -> list[Effect]:
        if not (body.pre_vote and body.granted) and body.term > self.term:
            return self._enter_later_term(body.term)
        effects = self._elections.handle_vote_answer(source, body, now)
        if self._elections.state is CandidateState.WON:
            effects += self._become_leader(now)
        return effects

    def _enter_later_term(self, term: int) -> list[Effect]:
        if term <= self.term:
            return []
        effects = self._step_down("a later term was observed")
        self._replica.enter_term(term)
        return effects

    # Leadership

    def _become_leader(self, now: float) -> list[Effect]:
        self._elections.cancel_candidacy()
        last_contacts = {self._last_leader: self._last_leader_contact}
        self._leader = self._last_leader = self._daemon
        self._last_leader_contact = now
        self._leadership = Leadership(
            self._daemon,
            self._replica,
            self._timing,
            now,
            self._voter_count,
            last_contacts,
        )
        self._proposals.resend_all(now)
        detail = {"term": self.term}
        event = Record(Event.LEADER_ELECTED, self._daemon, detail)
        return [event, *self._send_proposals(now)]

    def _handle_append_answer(
        self, source: str, body: AppendAnswer, now: float
    ) -> list[Effect]:
        if body.term > self.term:
            return self._enter_later_term(body.term)
        if self._leadership and body.term == self.term:
            self._leadership.handle_append_answer(source, body, now)
        return []

    def _check_quorum(self, now: float) -> list[Effect]:
        leadership = self._leadership
        if leadership is None:
            return []
        if leadership.find_quorum_contact(now) >= now - QUORUM_TIMEOUT_SECONDS:
            return []
        if now - self._last_leader_contact < QUORUM_TIMEOUT_SECONDS:
            return []
        return self._step_down("no answer from a quorum of voters")

    def _step_down_if_removed(self) -> list[Effect]:
        replica = self._replica
        if self._daemon in replica.voters or replica.voters_index > replica.commit:
            return []
        return self._step_down("removed from the voters")

    def _transfer_leadership(self, now: float) -> list[Effect]:
        successor = self._leadership.find_transfer_target() if self._leadership else ""
        if not successor:
            return []
        effects = self._step_down("transferring leadership before shutdown")
        self._elections.reset_timeout(now)
        return [*effects, SendPeer(successor, TakeOver(self.term))]

    def _hand_over(self, reason: str) -> list[Effect]:
        """Step down, and let the voter that was sent most of the log stand at once."""
        if self._leadership is None:
            return []
        successor = self._leadership.find_successor()
        effects = self._step_down(reason)
        if successor:
            effects.append(SendPeer(successor, TakeOver(self.term)))
        return effects

    def _step_down(self, reason: str) -> list[Effect]:
        was_leader = self._leadership is not None
        self._leadership = None
        self._elections.cancel_candidacy()
        self._leader = ""
        self._follower.reset()
        if not was_leader:
            return []
        detail: dict[str, Scalar] = {"term": self.term, "reason": reason}
        return [Record(Event.LEADER_STEPPED_DOWN, self._daemon, detail)]


def list_initial_voters(
    names: Sequence[str], *, is_first_start_known: bool
) -> dict[str, str]:
    """Return the initial disk identity of each initial voter.

    Parameters
    ----------
    names : Sequence of str
        Names of the initial voters.
    is_first_start_known : bool
        Whether the platform tells the first start from later ones. If so, the
        initial disks have fixed identities, and any other identity is a new disk.

    Returns
    -------
    dict of str to str
        Identities by name, empty if each daemon generates its own at random.
    """
    return {name: f"first-{name}" if is_first_start_known else "" for name in names}
