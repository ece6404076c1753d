"""Leader's care for the set of voters: new disks vote once they have caught up."""

from collections.abc import Sequence

from gypsumwalk.consensus import Consensus
from gypsumwalk.effects import Effect, Propose, Record
from gypsumwalk.events import Event
from gypsumwalk.inputs import Committed, Input
from gypsumwalk.replication import ChangeVoters

__all__ = ["VoterKeeper"]

CHECK_SECONDS = 0.25
"""Interval of checks; a lost disk has to vote again within 4 s."""

PROPOSAL_SECONDS = 2.0
"""A change not committed by then is proposed again by whoever leads."""


class VoterKeeper:
    """The part that replaces the lost disk of a voter by its new one.

    A voter whose disk was lost comes back with another identity. It follows the log
    as a learner, and is listed with the new identity once it has the whole log. A
    voter that is silent for long gives its place to another daemon with a disk.

    Parameters
    ----------
    daemon : str
        Name of the daemon.
    consensus : Consensus
        The replicated log.
    """

    name = "voterkeeper"
    accepts: tuple[type, ...] = (ChangeVoters,)

    def __init__(self, daemon: str, consensus: Consensus) -> None:
        self._daemon = daemon
        self._consensus = consensus
        self._due = 0.0
        self._proposals = 0

    @property
    def wakeup(self) -> float:
        """Time in seconds of the next check."""
        return self._due

    def handle(self, item: Input, now: float) -> Sequence[Effect]:
        """Record a change of the voters."""
        match item:
            case Committed(command=ChangeVoters(voters=voters)):
                detail = {"voters": ", ".join(sorted(voters))}
                return [Record(Event.VOTERS_CHANGED, self._daemon, detail)]
        return []

    def advance(self, now: float) -> Sequence[Effect]:
        """Propose to list a new disk, where one has caught up."""
        self._due = now + CHECK_SECONDS
        if not self._consensus.holds_lease(now):
            return []
        voters = self._consensus.plan_voter_change(now)
        if voters is None:
            return []
        self._due = now + PROPOSAL_SECONDS
        self._proposals += 1
        token = f"{self.name}/{self._proposals}"
        return [Propose(token, ChangeVoters(voters), PROPOSAL_SECONDS)]
