"""Start of a daemon's program anew, above an incarnation that it learned of."""

import os
import sys

__all__ = ["read_known_incarnation", "start_again"]

KNOWN_INCARNATION = "GYPSUMWALK_KNOWN_INCARNATION"
"""Variable of the environment that carries the incarnation to the program begun anew;
a disk that refuses writes can't."""


def read_known_incarnation() -> int:
    """Return the incarnation above which this daemon starts, or 0."""
    value = os.environ.get(KNOWN_INCARNATION, "")
    return int(value) if value.isascii() and value.isdecimal() else 0


def start_again(known: int) -> None:
    """Begin the program of this process anew, with the same arguments.

    Return only if the program is not known; whoever started the process then does it
    again.

    Parameters
    ----------
    known : int
        Incarnation above which the daemon starts.

    Raises
    ------
    OSError
        If the program can't be executed.
    """
    if not sys.executable:
        return
    environment = {**os.environ, KNOWN_INCARNATION: str(known)}
    arguments = [sys.executable, *sys.orig_argv[1:]]
    os.execve(sys.executable, arguments, environment)
