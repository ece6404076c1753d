"""Incarnation numbers of a daemon, higher after every start."""

from gypsumwalk.effects import WriteFile
from gypsumwalk.recovery import Recovered

__all__ = ["choose_incarnation", "encode_incarnation"]

INCARNATION_FILE = "incarnation"
MILLISECONDS_PER_SECOND = 1000


def choose_incarnation(now: float, recovered: Recovered) -> int:
    """Return an incarnation above every earlier one.

    With a disk the incarnation grows even if the wall clock was set back. Without
    one it depends on the wall clock alone.

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
