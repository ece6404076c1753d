"""Bridge from the threads of the HTTP servers to the event loop of the node."""

import itertools
import threading
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError

import msgspec
import trio

from gypsumwalk.drivers.input_queue import InputSink
from gypsumwalk.effects import Answer, Respond
from gypsumwalk.inputs import CallInput
from gypsumwalk.problems import Outcome, ProblemType, refuse

__all__ = ["CallBridge"]

RETRY_AFTER_SECONDS = 1.0


class CallBridge:
    """Passes calls to the node and waits for their answers.

    Parameters
    ----------
    token : trio.lowlevel.TrioToken
        Token of the event loop that runs the node.
    inputs : InputSink
        Bounded queue of the node's inputs.
    """

    def __init__(
        self,
        token: trio.lowlevel.TrioToken,
        inputs: InputSink,
    ) -> None:
        self._token = token
        self._inputs = inputs
        self._call_ids = itertools.count(1)
        self._waiting: dict[int, Future[Answer]] = {}
        self._lock = threading.Lock()
        self._closed = False

    @property
    def waiting(self) -> int:
        """Number of calls waiting for an answer."""
        return len(self._waiting)

    @property
    def is_closed(self) -> bool:
        """Whether calls are refused, as the daemon stops."""
        return self._closed

    def call(
        self, body: msgspec.Struct, *, credential: str, payload: bytes, timeout: float
    ) -> Answer:
        """Submit a call from a server thread and wait for its answer.

        Parameters
        ----------
        body : msgspec.Struct
            The validated call.
        credential : str
            Bearer key of the caller, or empty.
        payload : bytes
            Raw request body.
        timeout : float
            Time to wait in seconds.

        Returns
        -------
        Answer
            The answer; a refusal if the node did not answer in time.
        """
        call_id = next(self._call_ids)
        future: Future[Answer] = Future()
        with self._lock:
            if self._closed:
                return refuse(ProblemType.LEAVING, Outcome.NOT_RUN)
            self._waiting[call_id] = future
        item = CallInput(call_id, body, credential, payload)
        try:
            self._token.run_sync_soon(self._enqueue, item)
            return future.result(timeout)
        except trio.RunFinishedError:
            return refuse(ProblemType.LEAVING, Outcome.NOT_RUN)
        except FutureTimeoutError:
            return refuse(
                ProblemType.OUTCOME_UNKNOWN,
                Outcome.UNKNOWN,
                f"no answer within {timeout} s",
            )
        finally:
            with self._lock:
                self._waiting.pop(call_id, None)

    def resolve(self, effect: Respond) -> None:
        """Deliver an answer to the thread that waits for it.

        Parameters
        ----------
        effect : Respond
            The answer; dropped if no thread waits for it any longer.
        """
        with self._lock:
            future = self._waiting.get(effect.call_id)
        if future is not None and not future.done():
            future.set_result(effect.answer)

    def close(self) -> None:
        """Refuse the calls that still wait and all further ones."""
        with self._lock:
            self._closed = True
            numbers = list(self._waiting)
        answer = refuse(
            ProblemType.OUTCOME_UNKNOWN,
            Outcome.UNKNOWN,
            "daemon stopped before answering",
        )
        for call_id in numbers:
            self.resolve(Respond(call_id, answer))

    def _enqueue(self, item: CallInput) -> None:
        try:
            self._inputs.send_nowait(item)
        except trio.WouldBlock:
            answer = refuse(
                ProblemType.OVERLOADED,
                Outcome.NOT_RUN,
                "input queue of the daemon is full",
                retry_after=RETRY_AFTER_SECONDS,
            )
            self.resolve(Respond(item.call_id, answer))
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            answer = refuse(ProblemType.LEAVING, Outcome.NOT_RUN)
            self.resolve(Respond(item.call_id, answer))
