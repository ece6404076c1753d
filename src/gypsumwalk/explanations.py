"""Reasons that only the leader knows, fetched for a caller of another daemon."""

from dataclasses import dataclass

import msgspec

from gypsumwalk.effects import Answer, Effect, Respond, SendPeer
from gypsumwalk.job_records import JobRecord
from gypsumwalk.jobs import JobSection
from gypsumwalk.operator_calls import Explanation
from gypsumwalk.reasons import Reason

__all__ = [
    "PEER_MESSAGES",
    "AskReason",
    "ExplanationRelay",
    "TellReason",
    "explain_job",
]

ANSWER_SECONDS = 1.0
"""Seconds after which a call is answered without the leader's reason."""


class AskReason(msgspec.Struct, frozen=True, tag=True):
    """Ask the leader why a job waits.

    Attributes
    ----------
    call_id : int
        Call that the reason is for.
    job_id : str
        The job.
    """

    call_id: int
    job_id: str


class TellReason(msgspec.Struct, frozen=True, tag=True):
    """Tell why a job waits; empty if no reason is known.

    Attributes
    ----------
    call_id : int
        Call that the reason is for.
    reason : str
        The reason.
    """

    call_id: int
    reason: str


PEER_MESSAGES = (AskReason, TellReason)


@dataclass(frozen=True, slots=True)
class _Open:
    job_id: str
    due: float


class ExplanationRelay:
    """Calls that wait for the leader's reason.

    Parameters
    ----------
    jobs : JobSection
        The jobs.
    """

    def __init__(self, jobs: JobSection) -> None:
        self._jobs = jobs
        self._open: dict[int, _Open] = {}

    def ask(self, call_id: int, job_id: str, leader: str, now: float) -> Effect:
        """Ask the leader on behalf of a call.

        Parameters
        ----------
        call_id : int
            The call.
        job_id : str
            The job.
        leader : str
            The leader.
        now : float
            Time in seconds.

        Returns
        -------
        Effect
            The message.
        """
        self._open[call_id] = _Open(job_id, now + ANSWER_SECONDS)
        return SendPeer(leader, AskReason(call_id, job_id))

    def take(self, told: TellReason, now: float) -> list[Effect]:
        """Answer the call that a reason is for.

        Parameters
        ----------
        told : TellReason
            The reason.
        now : float
            Time in seconds.

        Returns
        -------
        list of Effect
            The answer, unless the call was answered before.
        """
        waiting = self._open.pop(told.call_id, None)
        if waiting is None:
            return []
        return self._answer(told.call_id, waiting.job_id, told.reason, now)

    def expire(self, now: float) -> list[Effect]:
        """Answer the calls for which no reason came in time.

        Parameters
        ----------
        now : float
            Time in seconds.

        Returns
        -------
        list of Effect
            The answers.
        """
        effects: list[Effect] = []
        for call_id, waiting in list(self._open.items()):
            if waiting.due <= now:
                del self._open[call_id]
                effects += self._answer(call_id, waiting.job_id, "", now)
        return effects

    def _answer(
        self, call_id: int, job_id: str, reason: str, now: float
    ) -> list[Effect]:
        record = self._jobs.find(job_id)
        if record is None:
            return [Respond(call_id, Answer(200, Explanation(job_id, "ended", [])))]
        return [Respond(call_id, explain_job(record, reason, now))]


def explain_job(record: JobRecord, waits: str, now: float) -> Answer:
    """Return the answer that tells why a job stands as it does.

    Parameters
    ----------
    record : JobRecord
        The job.
    waits : str
        Why it waits, or empty.
    now : float
        Time in seconds.

    Returns
    -------
    Answer
        The answer.
    """
    reasons = list(record.reasons)
    if waits:
        reasons.append(Reason(now, f"waits: {waits}"))
    job_id = record.spec.job_id
    return Answer(200, Explanation(job_id, record.state.value, reasons))
