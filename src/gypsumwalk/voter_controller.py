"""Control loop of the leader that adds, replaces and spreads voters."""

from collections.abc import Sequence

from gypsumwalk.consensus import Consensus
from gypsumwalk.effects import Effect, Propose, Record
from gypsumwalk.events import Event
from gypsumwalk.inputs import Committed, Input
from gypsumwalk.replication import ChangeVoters

__all__ = ["VoterController"]

CHECK_SECONDS = 0.25
"""Interval of checks; a voter that lost its disk has to vote again within 4 s."""

PROPOSAL_SECONDS = 2.0
"""Timeout of a proposal; the leader then proposes the change again."""


class VoterController:
    """Part that changes the set of voters while this daemon leads.

    A voter that lost its disk returns with a new identity. It replicates the log as a
    learner, and becomes a voter under the new identity once it has caught up. A voter
    that is silent for long is replaced by another daemon with a disk. Daemons with a
    disk are added until as many vote as the losses to be borne require.

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
        """Record a committed change of the voters."""
        match item:
            case Committed(command=ChangeVoters(voters=voters)):
                self._due = now
                detail = {"voters": ", ".join(sorted(voters))}
                return [Record(Event.VOTERS_CHANGED, self._daemon, detail)]
        return []

    def advance(self, now: float) -> Sequence[Effect]:
        """Propose a better set of voters, if there is one."""
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
