"""Which life of an instance has answered an order.

The next life of an instance may have the same identifier and address, and carries out
orders that were meant for the former one. Only run lists name the life that answers;
answers to orders contain no more than the reading of its clock.
"""

from enum import Enum

import msgspec

from gypsumwalk.instance_actions import InstanceReport, OrderReport
from gypsumwalk.instance_orders import OpenOrder
from gypsumwalk.workload_records import split_life

__all__ = ["AnswerOrigin", "find_origin"]


class AnswerOrigin(Enum):
    """Life that an answer comes from."""

    SAME_LIFE = "same life"
    """The life that the order was sent to."""
    OTHER_LIFE = "other life"
    UNKNOWN = "unknown"
    """The answer contains nothing that tells one life from another."""


def find_origin(
    order: OpenOrder, report: msgspec.Struct | None, now: float
) -> AnswerOrigin:
    """Find out which life has answered an order.

    Parameters
    ----------
    order : OpenOrder
        The order.
    report : msgspec.Struct or None
        Its answer, None if there is none.
    now : float
        Time in seconds.

    Returns
    -------
    AnswerOrigin
        The life; a clock that the addressee's can show counts as that one.
    """
    if not isinstance(report, InstanceReport | OrderReport):
        return AnswerOrigin.UNKNOWN
    if report.refused == "identity":
        return AnswerOrigin.OTHER_LIFE
    if report.born:
        is_same = report.born == split_life(order.life)[1]
    elif report.clock and order.clock is not None:
        is_same = order.clock.may_show(report.clock, begin=order.sent_at, end=now)
    else:
        return AnswerOrigin.UNKNOWN
    return AnswerOrigin.SAME_LIFE if is_same else AnswerOrigin.OTHER_LIFE
