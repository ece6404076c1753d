"""Check of the key that an operator's call shows."""

from gypsumwalk.effects import Answer
from gypsumwalk.problems import Outcome, ProblemType, refuse
from gypsumwalk.views import KeyView

__all__ = ["refuse_operator"]


def refuse_operator(keys: KeyView, credential: str, now: float) -> Answer | None:
    """Return the refusal of a call that is not an operator's.

    Parameters
    ----------
    keys : KeyView
        View of the keys.
    credential : str
        Key that the call shows.
    now : float
        Time in seconds.

    Returns
    -------
    Answer or None
        The refusal, or None if the key is an operator's.
    """
    if not keys.is_fresh(now):
        detail = "the daemon has not heard a majority lately; ask another one"
        return refuse(ProblemType.KEY_VIEW_STALE, Outcome.NOT_RUN, detail)
    if not keys.check_operator(credential, now):
        return refuse(ProblemType.UNAUTHENTICATED, Outcome.NOT_RUN)
    return None
