"""Job explanations, with wait reasons requested from the leader."""

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

REASON_TIMEOUT_SECONDS = 1.0
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
    """Reply to ``AskReason``; the reason is empty if none is known.

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
class _PendingCall:
    job_id: str
    deadline: float


class ExplanationRelay:
    """Relay of pending explanation calls to the leader.

    Parameters
    ----------
    jobs : JobSection
        The jobs.
    """

    def __init__(self, jobs: JobSection) -> None:
        self._jobs = jobs
        self._pending: dict[int, _PendingCall] = {}

    def request_reason(
        self, call_id: int, job_id: str, leader: str, now: float
    ) -> Effect:
        """Request a wait reason from the leader on behalf of a call.

        Parameters
        ----------
        call_id : int
            The call.
        job_id : str
            The job.
        leader : str
            Name of the leading daemon.
        now : float
            Time in seconds.

        Returns
        -------
        Effect
            The message to the leader.
        """
        self._pending[call_id] = _PendingCall(job_id, now + REASON_TIMEOUT_SECONDS)
        return SendPeer(leader, AskReason(call_id, job_id))

    def handle_reason(self, message: TellReason, now: float) -> list[Effect]:
        """Answer the call that requested a reason.

        Parameters
        ----------
        message : TellReason
            The leader's reply.
        now : float
            Time in seconds.

        Returns
        -------
        list of Effect
            The answer, or nothing if the call was already answered.
        """
        pending = self._pending.pop(message.call_id, None)
        if pending is None:
            return []
        return self._answer(message.call_id, pending.job_id, message.reason, now)

    def expire(self, now: float) -> list[Effect]:
        """Answer the calls whose request timed out, without the leader's reason.

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
        for call_id, pending in list(self._pending.items()):
            if pending.deadline <= now:
                del self._pending[call_id]
                effects += self._answer(call_id, pending.job_id, "", now)
        return effects

    def _answer(
        self, call_id: int, job_id: str, reason: str, now: float
    ) -> list[Effect]:
        record = self._jobs.find(job_id)
        if record is None:
            return [Respond(call_id, Answer(200, Explanation(job_id, "ended", [])))]
        return [Respond(call_id, explain_job(record, reason, now))]


def explain_job(record: JobRecord, wait_reason: str, now: float) -> Answer:
    """Return the answer that explains the state of a job.

    Parameters
    ----------
    record : JobRecord
        The job.
    wait_reason : str
        Why the job waits, or an empty string.
    now : float
        Time in seconds.

    Returns
    -------
    Answer
        The answer.
    """
    reasons = list(record.reasons)
    if wait_reason:
        reasons.append(Reason(now, f"waits: {wait_reason}"))
    job_id = record.spec.job_id
    return Answer(200, Explanation(job_id, record.state.value, reasons))
