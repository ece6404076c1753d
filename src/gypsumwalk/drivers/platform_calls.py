"""Runs the calls of the platform that decisions ask for."""

from collections.abc import Callable

from gypsumwalk.drivers.factory import PlatformClient
from gypsumwalk.drivers.input_queue import InputQueue
from gypsumwalk.drivers.loop_monitor import LoopMonitor
from gypsumwalk.drivers.metrics import Metrics
from gypsumwalk.effects import CallPlatform, Record
from gypsumwalk.events import Event
from gypsumwalk.inputs import PlatformOutcome
from gypsumwalk.interfaces import Clock

__all__ = ["PlatformCalls"]

MAX_ERROR_CHARACTERS = 200


class PlatformCalls:
    """Executes calls and passes their outcomes to the node.

    Parameters
    ----------
    client : PlatformClient
        Client of the platform.
    inputs : InputQueue
        Inputs of the node.
    clock : Clock
        Clock of the daemon.
    monitor : LoopMonitor
        Statistics of the event loop.
    metrics : Metrics
        Metrics of the daemon.
    record : Callable
        Writes an event.
    may_call : Callable
        Tells, by the time in seconds, whether a call that was decided on before may
        still be made.
    """

    def __init__(
        self,
        client: PlatformClient,
        inputs: InputQueue,
        *,
        clock: Clock,
        monitor: LoopMonitor,
        metrics: Metrics,
        record: Callable[[Record], None],
        may_call: Callable[[float], bool],
    ) -> None:
        self._client = client
        self._inputs = inputs
        self._clock = clock
        self._monitor = monitor
        self._metrics = metrics
        self._record = record
        self._may_call = may_call

    async def run(self, effect: CallPlatform) -> None:
        """Execute one call; an unexpected error leaves its outcome unknown.

        The process may have been paused since the call was decided on, and another
        daemon may lead by now: the call is not made then.

        Parameters
        ----------
        effect : CallPlatform
            The call.
        """
        started = self._clock.now()
        if not self._may_call(started):
            self._metrics.count("platform_calls", outcome="withheld")
            self._inputs.put(PlatformOutcome(effect.token, succeeded=False))
            return
        self._monitor.begin_call()
        try:
            outcome = await self._client.call(effect)
        except Exception as error:
            # One answer that the client can't cope with must not end the daemon.
            outcome = PlatformOutcome(effect.token, succeeded=False, unknown=True)
            self._record_error(effect, error)
        finally:
            self._monitor.end_call()
        name = "succeeded" if outcome.succeeded else "failed"
        self._metrics.count("platform_calls", outcome=name)
        self._metrics.observe_latency("platform", self._clock.now() - started)
        self._inputs.put(outcome)

    def _record_error(self, effect: CallPlatform, error: Exception) -> None:
        attributes = {
            "action": type(effect.action).__name__,
            "error": f"{type(error).__name__}: {error}"[:MAX_ERROR_CHARACTERS],
        }
        self._record(Record(Event.CALL_FAILED, effect.token, attributes))
