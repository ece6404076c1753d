"""Registration of initial voters' disks; a voter that lost its disk does not vote."""

from collections.abc import Sequence

from gypsumwalk.effects import Effect, Record, SendPeer
from gypsumwalk.events import Event
from gypsumwalk.part import NEVER
from gypsumwalk.replica import Replica
from gypsumwalk.replication import Introduce, Introduced

__all__ = ["Admission"]

INTRODUCE_RETRY_SECONDS = 0.3
"""Interval at which voters that have not accepted this disk are asked again."""


class Admission:
    """Registers the disk of this voter with every other initial voter.

    At the first start, all initial voters register their disks with each other. A
    voter that restarts with an empty disk is refused by those that have its old disk
    registered, as the votes and entries on that disk are lost. It votes again only
    after a membership change that lists the new disk.

    Parameters
    ----------
    name : str
        Name of the daemon.
    replica : Replica
        Its replica.
    voters : Sequence of str
        Voters at the first start of the system.
    """

    def __init__(self, name: str, replica: Replica, voters: Sequence[str]) -> None:
        self._name = name
        self._replica = replica
        self._other_voters = [voter for voter in voters if voter != name]
        self._accepted: set[str] = set()
        self._is_refused = False
        self._is_listed = False
        self._is_initial_voter = bool(replica.vote.identity) and name in voters
        self._due = 0.0

    @property
    def wakeup(self) -> float:
        """Time in seconds at which to send the next requests."""
        return self._due if self._is_pending() else NEVER

    def can_vote(self) -> bool:
        """Tell whether the disk of this daemon may vote."""
        identity = self._replica.identity
        if not identity:
            return False
        listed_identity = self._replica.voters.get(self._name)
        if listed_identity == "":
            return self._replica.vote.admitted
        return listed_identity == identity

    def can_grant_votes(self) -> bool:
        """Tell whether this daemon may grant votes to the candidates that list it.

        Its own log need not list it yet: a candidate counts the vote only if its log
        lists this disk. A disk that the log of another voter lists was registered by a
        leader, so it may vote even if its own admission was not synced: a voter that
        was lost since then could not repeat its answer.
        """
        if not self._replica.identity:
            return False
        is_unregistered = self._replica.voters.get(self._name) == ""
        return self.can_vote() or self._is_listed or not is_unregistered

    def advance(self, now: float) -> list[Effect]:
        """Ask the other initial voters to register this disk, if that is due.

        Parameters
        ----------
        now : float
            Time in seconds.

        Returns
        -------
        list of Effect
            The messages.
        """
        if not self._is_pending() or now < self._due:
            return []
        self._due = now + INTRODUCE_RETRY_SECONDS
        if not self._other_voters:
            return self._admit()
        self._replica.save_vote()
        body = Introduce(self._replica.identity)
        recipients = [
            voter for voter in self._other_voters if voter not in self._accepted
        ]
        return self._replica.storage.defer_until_synced(
            [SendPeer(voter, body) for voter in recipients]
        )

    def handle_introduce(self, source: str, body: Introduce) -> list[Effect]:
        """Register the disk of another initial voter, or refuse it.

        Parameters
        ----------
        source : str
            Name of the other voter.
        body : Introduce
            Identity of its disk.

        Returns
        -------
        list of Effect
            The answer, deferred until the registration is synced.
        """
        replica = self._replica
        if not replica.identity:
            return []
        known = replica.find_identity(source)
        if not known:
            replica.vote.registered[source] = body.identity
            replica.save_vote()
        accepted = known in ("", body.identity)
        listed = replica.voters.get(source) == body.identity
        answer = Introduced(body.identity, accepted, replica.identity, listed)
        return replica.storage.defer_until_synced([SendPeer(source, answer)])

    def handle_introduced(self, source: str, body: Introduced) -> list[Effect]:
        """Handle the answer of another initial voter.

        Parameters
        ----------
        source : str
            Name of the other voter.
        body : Introduced
            Its answer.

        Returns
        -------
        list of Effect
            The event, if this disk is now admitted or refused.
        """
        if not self._is_pending() or body.introduced != self._replica.identity:
            return []
        if not body.accepted:
            return self._record_refusal(source)
        self._is_listed = self._is_listed or body.listed
        known = self._replica.vote.registered.setdefault(source, body.identity)
        if known == body.identity:
            self._accepted.add(source)
        if self._accepted.issuperset(self._other_voters):
            return self._admit()
        return []

    def _admit(self) -> list[Effect]:
        self._replica.vote.admitted = True
        self._replica.save_vote()
        detail = {"identity": self._replica.identity}
        return [Record(Event.VOTER_ADMITTED, self._name, detail)]

    def _record_refusal(self, source: str) -> list[Effect]:
        if self._is_refused:
            return []
        self._is_refused = True
        return [Record(Event.VOTER_REFUSED, self._name, {"peer": source})]

    def _is_pending(self) -> bool:
        replica = self._replica
        listed_identity = replica.voters.get(self._name)
        return (
            self._is_initial_voter
            and bool(replica.identity)
            and not replica.vote.admitted
            and listed_identity == ""
        )
