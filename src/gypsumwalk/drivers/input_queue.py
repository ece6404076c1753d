"""Queue of the node's inputs: the order of their handling and their arrival times."""

from collections import deque
from typing import NamedTuple, Protocol

import trio

from gypsumwalk.inputs import CallInput, Input
from gypsumwalk.interfaces import Clock

__all__ = ["InputQueue", "InputSink", "QueuedInput"]

MAX_QUEUED_INPUTS = 4096

CALLS_PER_TURN = 8
"""Number of calls in each turn of the event loop that other inputs can't displace."""


class InputSink(Protocol):
    """Bounded queue that accepts inputs without waiting."""

    def send_nowait(self, item: Input, /) -> None:
        """Add an input, or raise ``trio.WouldBlock`` if the queue is full."""
        ...


class QueuedInput(NamedTuple):
    """An input and the time in seconds at which it arrived."""

    item: Input
    arrived: float


class InputQueue:
    """Queue of the node's inputs.

    Outcomes of orders to instances, messages of daemons and synced writes come before
    calls, so that leases, ends of runs and the log don't wait behind new work and
    questions. Inputs of each of the two groups keep the order of their arrival.

    Parameters
    ----------
    clock : Clock
        Source of the arrival times.
    max_inputs : int
        Number of queued inputs of a group above which calls or messages are refused.
    """

    def __init__(self, clock: Clock, max_inputs: int = MAX_QUEUED_INPUTS) -> None:
        self._clock = clock
        self._max_inputs = max_inputs
        self._urgent: deque[QueuedInput] = deque()
        self._calls: deque[QueuedInput] = deque()
        self._arrival = trio.Event()

    def __len__(self) -> int:
        return len(self._urgent) + len(self._calls)

    def send_nowait(self, item: Input) -> None:
        """Add a call or a message.

        Parameters
        ----------
        item : Input
            The input.

        Raises
        ------
        trio.WouldBlock
            If the queue is full.
        """
        if len(self._find_group(item)) >= self._max_inputs:
            raise trio.WouldBlock
        self.put(item)

    def put(self, item: Input) -> None:
        """Add an outcome that the node waits for, also if the queue is full.

        The number of outcomes is bounded by that of the effects in progress.

        Parameters
        ----------
        item : Input
            The input.
        """
        self._find_group(item).append(QueuedInput(item, self._clock.now()))
        self._arrival.set()

    async def wait(self) -> None:
        """Wait until the queue has an input; other tasks run meanwhile in any case."""
        await trio.lowlevel.checkpoint()
        while not len(self):
            self._arrival = trio.Event()
            await self._arrival.wait()

    def take(self, max_count: int) -> list[QueuedInput]:
        """Remove and return the next inputs.

        Parameters
        ----------
        max_count : int
            Maximum number of inputs, of which up to ``CALLS_PER_TURN`` are kept for
            calls.

        Returns
        -------
        list of QueuedInput
            The inputs, in the order in which to handle them.
        """
        room = max(max_count - len(self._urgent), min(CALLS_PER_TURN, max_count))
        calls = min(len(self._calls), room)
        urgent = min(len(self._urgent), max_count - calls)
        taken = [self._urgent.popleft() for _ in range(urgent)]
        return taken + [self._calls.popleft() for _ in range(calls)]

    def _find_group(self, item: Input) -> deque[QueuedInput]:
        return self._calls if isinstance(item, CallInput) else self._urgent
