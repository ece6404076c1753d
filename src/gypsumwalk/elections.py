"""Leader elections: pre-votes, votes and election timeouts."""

from enum import Enum
from random import Random

from gypsumwalk.effects import Effect, Raise, SendPeer
from gypsumwalk.inputs import PeerInput
from gypsumwalk.progress import ElectionTiming
from gypsumwalk.replica import Replica
from gypsumwalk.replication import VoteAnswer, VoteRequest

__all__ = ["CandidateState", "Elections"]

PRE_VOTE_RETRY_FRACTION = 0.4
"""Fraction of the minimum election timeout after which a pre-vote without a majority
is repeated; other voters may have heard the leader, or have started, slightly later."""


class CandidateState(Enum):
    """Stage of a daemon's candidacy."""

    NONE = "none"
    PRE_VOTE = "pre-vote"
    VOTE = "vote"
    WON = "won"


class Elections:
    """Candidacy of one daemon, and the votes that it grants to others.

    Parameters
    ----------
    daemon : str
        Name of the daemon.
    replica : Replica
        Its replica.
    random : Random
        Source of election timeouts.
    timing : ElectionTiming
        Election timing.
    """

    def __init__(
        self, daemon: str, replica: Replica, random: Random, timing: ElectionTiming
    ) -> None:
        self.due = 0.0
        self.state = CandidateState.NONE
        self._daemon = daemon
        self._replica = replica
        self._random = random
        self._timing = timing
        self._votes: set[str] = set()

    def reset_timeout(self, now: float) -> None:
        """Draw a random election timeout, counted from now."""
        jitter = self._random.uniform(0, self._timing.jitter)
        self.due = now + self._timing.min_timeout + jitter

    def _reset_pre_vote_timeout(self, now: float) -> None:
        """Draw the time to repeat a pre-vote; it is short as no term changes."""
        longest = self._timing.min_timeout * PRE_VOTE_RETRY_FRACTION
        self.due = now + longest * self._random.uniform(0.5, 1.0)

    def cancel_candidacy(self) -> None:
        """End the candidacy, as there is a leader or a later term."""
        self.state = CandidateState.NONE

    def begin_pre_vote(self, now: float) -> list[Effect]:
        """Start a pre-vote: ask who would grant a vote, without entering a new term.

        Parameters
        ----------
        now : float
            Time in seconds.

        Returns
        -------
        list of Effect
            The requests.
        """
        self.state = CandidateState.PRE_VOTE
        self._votes = {self._daemon}
        self._reset_pre_vote_timeout(now)
        if self._has_majority():
            return self._begin_election(now)
        return self._request_votes(self._replica.vote.term + 1, pre_vote=True)

    def start_election(self, now: float) -> list[Effect]:
        """Start an election at once, after a leadership transfer.

        Parameters
        ----------
        now : float
            Time in seconds.

        Returns
        -------
        list of Effect
            The requests, deferred until this daemon's own vote is synced.
        """
        return self._begin_election(now, handed_over=True)

    def handle_vote_request(
        self, source: str, body: VoteRequest, now: float
    ) -> list[Effect]:
        """Answer a candidate; a vote is sent only once it is synced.

        Parameters
        ----------
        source : str
            Name of the candidate.
        body : VoteRequest
            Its request. Unless it is a pre-vote, its term is at most the replica's.
        now : float
            Time in seconds.

        Returns
        -------
        list of Effect
            The answer.
        """
        vote = self._replica.vote
        if body.pre_vote:
            granted = body.term > vote.term and self._is_up_to_date(body)
            term = body.term if granted else vote.term
            return [SendPeer(source, self._answer(term, granted, True))]
        granted = self._grant_vote(source, body)
        if granted:
            self.reset_timeout(now)
        answer = SendPeer(source, self._answer(vote.term, granted, False))
        return self._replica.storage.defer_until_synced([answer])

    def handle_vote_answer(
        self, source: str, body: VoteAnswer, now: float
    ) -> list[Effect]:
        """Count a vote; ``state`` becomes ``WON`` once a majority has voted.

        Parameters
        ----------
        source : str
            Name of the voter.
        body : VoteAnswer
            Its answer.
        now : float
            Time in seconds.

        Returns
        -------
        list of Effect
            Vote requests, if the pre-vote was won.
        """
        expected = CandidateState.PRE_VOTE if body.pre_vote else CandidateState.VOTE
        term = self._replica.vote.term + int(body.pre_vote)
        if self.state is not expected or body.term != term or not body.granted:
            return []
        if source != self._daemon and body.identity != self._replica.find_identity(
            source
        ):
            return []
        self._votes.add(source)
        if not self._has_majority():
            return []
        if body.pre_vote:
            return self._begin_election(now)
        self.state = CandidateState.WON
        return []

    def _begin_election(self, now: float, *, handed_over: bool = False) -> list[Effect]:
        self.state = CandidateState.VOTE
        self._votes = set()
        self.reset_timeout(now)
        term = self._replica.vote.term + 1
        self._replica.enter_term(term, self._daemon)
        own_vote = Raise(PeerInput(self._daemon, self._answer(term, True, False)))
        requests = self._request_votes(term, pre_vote=False, handed_over=handed_over)
        return self._replica.storage.defer_until_synced([own_vote, *requests])

    def _request_votes(
        self, term: int, *, pre_vote: bool, handed_over: bool = False
    ) -> list[Effect]:
        log = self._replica.log
        last = (log.last_index, log.last_term)
        body = VoteRequest(term, *last, pre_vote, handed_over)
        voters = [voter for voter in self._replica.voters if voter != self._daemon]
        return [SendPeer(voter, body) for voter in voters]

    def _answer(self, term: int, granted: bool, pre_vote: bool) -> VoteAnswer:
        return VoteAnswer(term, granted, pre_vote, self._replica.identity)

    def _is_up_to_date(self, body: VoteRequest) -> bool:
        log = self._replica.log
        own = (log.last_term, log.last_index)
        return (body.last_term, body.last_index) >= own

    def _grant_vote(self, source: str, body: VoteRequest) -> bool:
        vote = self._replica.vote
        if body.term < vote.term or vote.voted_for not in ("", source):
            return False
        if not self._is_up_to_date(body):
            return False
        if not vote.voted_for:
            self._replica.enter_term(vote.term, source)
        return True

    def _has_majority(self) -> bool:
        voters = self._replica.voters
        votes = sum(voter in self._votes for voter in voters)
        return votes > len(voters) // 2
