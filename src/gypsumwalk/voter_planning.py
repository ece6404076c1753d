"""Choice of the voters of the replicated log, one single-step change at a time."""

from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

__all__ = ["KnownDaemon", "find_voter_count", "plan_voters"]


@dataclass(frozen=True, slots=True)
class KnownDaemon:
    """A daemon as the leader knows it.

    Attributes
    ----------
    name : str
        Name of the daemon.
    data_centre : str
        Its data centre, empty if unknown.
    identity : str
        Identity of its disk, empty if it has none.
    is_answering : bool
        Whether its last answer is recent.
    is_caught_up : bool
        Whether its disk holds every entry that was committed a short time ago, and
        when it was first heard of.
    is_lost : bool
        Whether it has not answered with a disk that may vote for so long that another
        daemon is to vote instead.
    """

    name: str
    data_centre: str
    identity: str
    is_answering: bool = True
    is_caught_up: bool = True
    is_lost: bool = False


def find_voter_count(first_voters: int, tolerated_losses: int) -> int:
    """Return the number of daemons that should vote.

    Parameters
    ----------
    first_voters : int
        Number of voters at the first start.
    tolerated_losses : int
        Number of voters that may be lost at the same time.

    Returns
    -------
    int
        Number of voters of which a majority is left after these losses.
    """
    return max(first_voters, 2 * tolerated_losses + 1)


def plan_voters(
    voters: Mapping[str, str], daemons: Sequence[KnownDaemon], leader: str, count: int
) -> dict[str, str] | None:
    """Return the next voters of a single-step change, or None if none is needed.

    A voter with a new disk that has caught up is listed with that disk. Learners with a
    disk are added up to the number of voters, from the data centre with the fewest
    voters first. A lost voter is removed once a learner that replaces it votes: with
    fewer voters meanwhile, the tolerated losses would leave no majority. Voters move
    between data centres until their numbers there differ by at most one.

    Parameters
    ----------
    voters : Mapping of str to str
        Disk identity of each voter, by name.
    daemons : Sequence of KnownDaemon
        Daemons that the leader knows, itself included.
    leader : str
        Name of the leader, which is never removed.
    count : int
        Number of daemons that should vote.

    Returns
    -------
    dict of str to str or None
        Disk identity of each voter, by name.
    """
    known = {daemon.name: daemon for daemon in daemons}
    for name, identity in voters.items():
        daemon = known.get(name)
        if daemon and _can_vote(daemon) and daemon.identity != identity:
            return {**voters, name: daemon.identity}
    current = [known[name] for name in voters if name in known]
    learners = [
        daemon for daemon in daemons if daemon.name not in voters and _can_vote(daemon)
    ]
    if len(voters) > count:
        if any(_is_unheard(daemon) for daemon in current):
            return None
        return _remove(voters, _choose_removed(voters, current, leader))
    if not learners:
        return None
    chosen = _choose_added(current, learners)
    is_needed = (
        len(voters) < count
        or any(daemon.is_lost for daemon in current)
        or (_is_intact(voters, current) and _improves_spread(current, chosen))
    )
    return {**voters, chosen.name: chosen.identity} if is_needed else None


def _can_vote(daemon: KnownDaemon) -> bool:
    return bool(daemon.identity) and daemon.is_caught_up


def _is_unheard(daemon: KnownDaemon) -> bool:
    """Tell whether the disk of a voter is unknown, but not silent for long yet."""
    return daemon.is_answering and not daemon.identity and not daemon.is_lost


def _remove(voters: Mapping[str, str], name: str) -> dict[str, str]:
    return {voter: voters[voter] for voter in voters if voter != name}


def _choose_removed(
    voters: Mapping[str, str], current: Sequence[KnownDaemon], leader: str
) -> str:
    counts = _count_by_data_centre(current)
    removed = max(
        (daemon for daemon in current if daemon.name != leader),
        key=lambda daemon: (
            daemon.identity not in ("", voters[daemon.name]),
            daemon.is_lost,
            not daemon.is_answering,
            counts[daemon.data_centre],
            daemon.name,
        ),
    )
    return removed.name


def _choose_added(
    current: Sequence[KnownDaemon], learners: Sequence[KnownDaemon]
) -> KnownDaemon:
    counts = _count_by_data_centre(current)
    return min(learners, key=lambda daemon: (counts[daemon.data_centre], daemon.name))


def _count_by_data_centre(current: Sequence[KnownDaemon]) -> Counter[str]:
    return Counter(daemon.data_centre for daemon in current if not daemon.is_lost)


def _is_intact(voters: Mapping[str, str], current: Sequence[KnownDaemon]) -> bool:
    return len(current) == len(voters) and all(
        daemon.is_answering and daemon.identity == voters[daemon.name]
        for daemon in current
    )


def _improves_spread(current: Sequence[KnownDaemon], added: KnownDaemon) -> bool:
    counts = _count_by_data_centre(current)
    return max(counts.values()) - counts[added.data_centre] > 1
