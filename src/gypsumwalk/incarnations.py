"""Incarnations of a daemon: a number that is higher after every start."""

from gypsumwalk.effects import WriteFile
from gypsumwalk.recovery import Recovered

__all__ = ["choose_incarnation", "encode_incarnation"]

INCARNATION_FILE = "incarnation"
MILLISECONDS_PER_SECOND = 1000


def choose_incarnation(now: float, recovered: Recovered) -> int:
    """Return an incarnation above every earlier one.

    A daemon without a disk relies on the wall clock, which a restart may find set
    back; one with a disk does not.

    Parameters
    ----------
    now : float
        Wall clock, in seconds since the epoch.
    recovered : Recovered
        Content of the data folder.

    Returns
    -------
    int
        The incarnation.
    """
    last = int(recovered.files.get(INCARNATION_FILE, b"0"))
    return max(int(now * MILLISECONDS_PER_SECOND), last + 1)


def encode_incarnation(incarnation: int) -> WriteFile:
    """Return the operation that keeps an incarnation.

    Parameters
    ----------
    incarnation : int
        The incarnation, before it is used.

    Returns
    -------
    WriteFile
        The operation; it has to be synced before the first message is sent.
    """
    return WriteFile(INCARNATION_FILE, str(incarnation).encode())
