"""Incarnation numbers of a daemon, higher after every start."""

from random import Random

from gypsumwalk.effects import WriteFile
from gypsumwalk.recovery import Recovered

__all__ = ["choose_incarnation", "encode_incarnation"]

INCARNATION_FILE = "incarnation"
MILLISECONDS_PER_SECOND = 1000

RANDOM_BITS = 20
"""Lowest bits of an incarnation, drawn anew by each process. With the milliseconds of
the clock it stays below 2 ** 63 until the year 2248."""


def choose_incarnation(
    now: float, recovered: Recovered, random: Random, known: int = 0
) -> int:
    """Return an incarnation above every earlier one that this process knows of.

    With a disk the incarnation grows even if the wall clock was set back. One that
    can't be stored is known to other daemons only, so that the next process may choose
    a lower one and learn of it later; it never chooses the same, as the lowest bits are
    random.

    Parameters
    ----------
    now : float
        Wall clock, in seconds since the epoch.
    recovered : Recovered
        Content of the data folder.
    random : Random
        Source of the lowest bits.
    known : int, optional
        Incarnation that an earlier process of this daemon learned of.

    Returns
    -------
    int
        The incarnation.
    """
    last = max(int(recovered.files.get(INCARNATION_FILE, b"0")), known)
    begin = max(int(now * MILLISECONDS_PER_SECOND), (last >> RANDOM_BITS) + 1)
    return begin << RANDOM_BITS | random.getrandbits(RANDOM_BITS)


def encode_incarnation(incarnation: int) -> WriteFile:
    """Return the disk operation that stores an incarnation.

    Parameters
    ----------
    incarnation : int
        The incarnation, before it is used.

    Returns
    -------
    WriteFile
        The operation, to be synced before the first message is sent.
    """
    return WriteFile(INCARNATION_FILE, str(incarnation).encode())
