"""Authentication of operator calls."""

from gypsumwalk.effects import Answer
from gypsumwalk.problems import Outcome, ProblemType, refuse
from gypsumwalk.views import KeyView

__all__ = ["refuse_non_operator"]


def refuse_non_operator(keys: KeyView, credential: str, now: float) -> Answer | None:
    """Return the refusal of a call that no operator key authenticates.

    Parameters
    ----------
    keys : KeyView
        View of the keys.
    credential : str
        Key that the call carries.
    now : float
        Time in seconds.

    Returns
    -------
    Answer or None
        The refusal, or None if the key is a valid operator key.
    """
    if not keys.is_fresh(now):
        detail = (
            "the daemon has no contact to a majority of voters; retry on another one"
        )
        return refuse(ProblemType.KEY_VIEW_STALE, Outcome.NOT_RUN, detail)
    if not keys.check_operator(credential, now):
        return refuse(ProblemType.UNAUTHENTICATED, Outcome.NOT_RUN)
    return None
