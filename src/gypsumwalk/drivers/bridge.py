"""Bridge from the threads of the HTTP servers to the task that owns the decisions."""

import itertools
import threading
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError

import msgspec
import trio

from gypsumwalk.effects import Answer, Respond
from gypsumwalk.inputs import CallInput, Input
from gypsumwalk.problems import Outcome, ProblemType, refuse

__all__ = ["CallBridge"]

RETRY_AFTER_SECONDS = 1.0


class CallBridge:
    """Hands calls to the decisions and waits for their answers.

    Parameters
    ----------
    token : trio.lowlevel.TrioToken
        Token of the loop that runs the decisions.
    inputs : trio.MemorySendChannel
        Bounded channel of the decisions' inputs.
    """

    def __init__(
        self,
        token: trio.lowlevel.TrioToken,
        inputs: trio.MemorySendChannel[Input],
    ) -> None:
        self._token = token
        self._inputs = inputs
        self._numbers = itertools.count(1)
        self._waiting: dict[int, Future[Answer]] = {}
        self._lock = threading.Lock()
        self._closed = False

    @property
    def waiting(self) -> int:
        """Number of calls that wait for an answer."""
        return len(self._waiting)

    def call(
        self, body: msgspec.Struct, *, credential: str, payload: bytes, timeout: float
    ) -> Answer:
        """Hand in a call from a server thread and wait for its answer.

        Parameters
        ----------
        body : msgspec.Struct
            The validated call.
        credential : str
            Key shown by the caller.
        payload : bytes
            Raw body.
        timeout : float
            Seconds to wait.

        Returns
        -------
        Answer
            The answer; a refusal where the decisions did not answer in time.
        """
        call_id = next(self._numbers)
        future: Future[Answer] = Future()
        with self._lock:
            if self._closed:
                return refuse(ProblemType.LEAVING, Outcome.NOT_RUN)
            self._waiting[call_id] = future
        item = CallInput(call_id, body, credential, payload)
        try:
            self._token.run_sync_soon(self._hand_in, item)
            return future.result(timeout)
        except trio.RunFinishedError:
            return refuse(ProblemType.LEAVING, Outcome.NOT_RUN)
        except FutureTimeoutError:
            return refuse(ProblemType.OUTCOME_UNKNOWN, Outcome.UNKNOWN, "no answer yet")
        finally:
            with self._lock:
                self._waiting.pop(call_id, None)

    def resolve(self, effect: Respond) -> None:
        """Give an answer to the thread that waits for it.

        Parameters
        ----------
        effect : Respond
            The answer; it is dropped if nobody waits any longer.
        """
        with self._lock:
            future = self._waiting.get(effect.call_id)
        if future is not None and not future.done():
            future.set_result(effect.answer)

    def close(self) -> None:
        """Answer every call that still waits, and refuse further ones."""
        with self._lock:
            self._closed = True
            numbers = list(self._waiting)
        answer = refuse(ProblemType.LEAVING, Outcome.UNKNOWN, "the daemon stopped")
        for call_id in numbers:
            self.resolve(Respond(call_id, answer))

    def _hand_in(self, item: CallInput) -> None:
        try:
            self._inputs.send_nowait(item)
        except trio.WouldBlock:
            answer = refuse(
                ProblemType.OVERLOADED,
                Outcome.NOT_RUN,
                "too many calls wait for a decision",
                retry_after=RETRY_AFTER_SECONDS,
            )
            self.resolve(Respond(item.call_id, answer))
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            answer = refuse(ProblemType.LEAVING, Outcome.NOT_RUN)
            self.resolve(Respond(item.call_id, answer))
