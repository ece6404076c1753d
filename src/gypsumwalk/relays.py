"""Calls relayed to the daemon that keeps the request, until they are answered."""

from dataclasses import dataclass

from gypsumwalk.effects import Answer, Effect, Respond, SendPeer
from gypsumwalk.problems import Outcome, ProblemType, refuse
from gypsumwalk.request_messages import Content, RelayAnswer, RelayCall
from gypsumwalk.submissions import CancelRequest, ReadRequest, SubmitRequest

__all__ = ["RelayTable"]

RESEND_SECONDS = 0.25
MAX_PENDING_CALLS = 1024


@dataclass(slots=True)
class _PendingCall:
    call_id: int
    home: str
    message: RelayCall
    resend_at: float
    expires_at: float


class RelayTable:
    """Relayed calls that wait for an answer.

    Parameters
    ----------
    incarnation : int
        Incarnation of this daemon.
    """

    def __init__(self, incarnation: int) -> None:
        self._incarnation = incarnation
        self._number = 0
        self._pending: dict[int, _PendingCall] = {}

    def __len__(self) -> int:
        """Return the number of calls that wait for an answer."""
        return len(self._pending)

    def relay(
        self,
        call_id: int,
        home: str,
        call: SubmitRequest | ReadRequest | CancelRequest,
        credential: str,
        content: Content,
        seconds: float,
        now: float,
    ) -> list[Effect]:
        """Relay a call to the daemon that keeps the request.

        Parameters
        ----------
        call_id : int
            Identifier of the waiting HTTP call.
        home : str
            Daemon that keeps the request.
        call : SubmitRequest or ReadRequest or CancelRequest
            The call.
        credential : str
            Key presented by the caller.
        content : Content
            Body of the call.
        seconds : float
            Time in seconds to wait for the answer.
        now : float
            Time in seconds.

        Returns
        -------
        list of Effect
            The message, or a refusal if too many calls are pending.
        """
        if len(self._pending) >= MAX_PENDING_CALLS:
            answer = refuse(ProblemType.OVERLOADED, Outcome.UNKNOWN, retry_after=1.0)
            return [Respond(call_id, answer)]
        self._number += 1
        message = RelayCall(
            number=self._number,
            incarnation=self._incarnation,
            call=call,
            credential=credential,
            content=content,
        )
        self._pending[self._number] = _PendingCall(
            call_id, home, message, now + RESEND_SECONDS, now + seconds
        )
        return [SendPeer(home, message, reliable=True)]

    def handle_answer(self, source: str, body: RelayAnswer) -> list[Effect]:
        """Answer the call that a relayed answer belongs to, if it is intact."""
        pending = self._pending.get(body.number)
        if pending is None or body.incarnation != self._incarnation:
            return []
        if pending.home != source:
            return []
        if body.request_id != pending.message.call.request_id:
            return []
        if not body.content.is_intact():
            return []
        del self._pending[body.number]
        answer = Answer(
            body.status,
            payload=body.content.payload,
            content_type=body.content.content_type,
            headers=body.headers,
        )
        return [Respond(pending.call_id, answer)]

    def advance(self, now: float) -> list[Effect]:
        """Resend unanswered calls, and fail those that have timed out."""
        effects: list[Effect] = []
        for number, pending in list(self._pending.items()):
            if pending.expires_at <= now:
                effects += self._fail(number)
            elif pending.resend_at <= now:
                pending.resend_at = now + RESEND_SECONDS
                effects.append(SendPeer(pending.home, pending.message, reliable=True))
        return effects

    def fail_calls_to(self, daemon: str) -> list[Effect]:
        """Fail the calls relayed to a daemon that died or left."""
        lost = [key for key, item in self._pending.items() if item.home == daemon]
        return [effect for number in lost for effect in self._fail(number)]

    def fail_all(self) -> list[Effect]:
        """Fail every pending call with an unknown outcome."""
        return [effect for key in list(self._pending) for effect in self._fail(key)]

    def _fail(self, number: int) -> list[Effect]:
        pending = self._pending.pop(number)
        answer = refuse(ProblemType.OUTCOME_UNKNOWN, Outcome.UNKNOWN)
        return [Respond(pending.call_id, answer)]
