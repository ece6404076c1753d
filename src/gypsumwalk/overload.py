"""Relief of overloaded instances: throttle, then checkpoint and stop an attempt."""

from dataclasses import dataclass

from gypsumwalk._platform_calls import PendingCalls
from gypsumwalk.effects import Effect
from gypsumwalk.instances import InstanceRecord
from gypsumwalk.job_allocations import NO_RESOURCES, Allocation
from gypsumwalk.job_placement import ResourceVector, get_resources
from gypsumwalk.job_planner import JobPlanner
from gypsumwalk.jobs import JobSection
from gypsumwalk.platform import TaskKey, ThrottleTask, WorkerReport
from gypsumwalk.pools import PoolSection
from gypsumwalk.tasks import AttemptController

__all__ = ["THROTTLE_PREFIX", "OverloadController"]

HIGH_FRACTION = 0.95
"""Fraction of an instance's resources in use above which it is overloaded."""
LOW_FRACTION = 0.8
"""Fraction of an instance's resources in use below which a throttle is lifted."""
THROTTLE_FRACTION = 0.5
"""Fraction of its declared processors that a throttled attempt may use."""
THROTTLE_SECONDS = 10.0
"""Seconds for a throttle to take effect before the attempt is stopped."""

MAX_ORDERS_PER_PASS = 10

THROTTLE_PREFIX = "jobs/throttle/"


@dataclass(frozen=True, slots=True)
class _Order:
    """Throttle of an attempt, and the token of the call that orders it."""

    fraction: float
    token: str


class OverloadController:
    """Throttles and stops attempts on overloaded instances.

    Repeatable attempts are chosen first, then those of the team with the highest
    weighted share.

    Parameters
    ----------
    jobs : JobSection
        The jobs.
    pools : PoolSection
        Instances and their pools.
    planner : JobPlanner
        Source of the teams' shares; receives usage measurements.
    attempts : AttemptController
        Controller that stops attempts.
    calls : PendingCalls
        Pending platform calls of the owning part.
    """

    def __init__(
        self,
        jobs: JobSection,
        pools: PoolSection,
        planner: JobPlanner,
        attempts: AttemptController,
        calls: PendingCalls,
    ) -> None:
        self._jobs = jobs
        self._pools = pools
        self._planner = planner
        self._attempts = attempts
        self._calls = calls
        self._overloaded: dict[str, ResourceVector] = {}
        self._throttled: dict[str, tuple[TaskKey, float]] = {}
        self._orders: dict[TaskKey, _Order] = {}
        """Orders that the platform has not answered."""

    def reset(self, now: float) -> None:
        """Discard local state, and lift the throttles of an earlier leader.

        Only that leader knew them, so every attempt in progress may be throttled.

        Parameters
        ----------
        now : float
            Time in seconds.
        """
        self._overloaded.clear()
        self._throttled.clear()
        self._orders.clear()
        for record in self._jobs.list_in_progress():
            self._throttle(TaskKey(record.spec.job_id, record.attempt), 1.0, now)

    def record_report(self, report: WorkerReport, now: float) -> None:
        """Record the resource usage that a worker reported.

        Parameters
        ----------
        report : WorkerReport
            The report.
        now : float
            Time in seconds.
        """
        record = self._pools.find(report.instance)
        if record is None:
            return
        used = NO_RESOURCES
        for usage in report.usage:
            self._planner.record_usage(usage)
            used = used.add(ResourceVector(usage.processors, usage.memory_gb, 0.0))
        fraction = used.compute_dominant_share(get_resources(record))
        if fraction > HIGH_FRACTION:
            self._overloaded[report.instance] = used
        elif fraction < LOW_FRACTION:
            self._overloaded.pop(report.instance, None)

    def advance(self, now: float) -> list[Effect]:
        """Throttle and stop attempts, and lift throttles that are no longer needed.

        Parameters
        ----------
        now : float
            Time in seconds.

        Returns
        -------
        list of Effect
            Calls to the platform.
        """
        for name in [name for name in self._throttled if name not in self._overloaded]:
            key, _ = self._throttled.pop(name)
            self._throttle(key, 1.0, now)
        for name in sorted(self._overloaded):
            record = self._pools.find(name)
            if record is not None:
                self._relieve(record, now)
        return self._send_orders(now)

    def note_answer(self, token: str) -> None:
        """Forget an order that the platform has answered, so that it is not repeated.

        Parameters
        ----------
        token : str
            Token of the call.
        """
        _, _, job_id, attempt, _ = token.split("/")
        key = TaskKey(job_id, int(attempt))
        order = self._orders.get(key)
        if order is not None and order.token == token:
            del self._orders[key]

    def _send_orders(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        for key, order in list(self._orders.items()):
            if len(effects) >= MAX_ORDERS_PER_PASS:
                break
            job = self._jobs.find(key.job_id)
            if job is None or not job.is_in_progress or job.attempt != key.attempt:
                del self._orders[key]
                continue
            action = ThrottleTask(key, order.fraction)
            effects += self._calls.call(order.token, action, now)
        return effects

    def _relieve(self, record: InstanceRecord, now: float) -> None:
        throttled = self._throttled.get(record.name)
        if throttled is None:
            self._start_throttle(record, now)
            return
        key, since = throttled
        job = self._jobs.find(key.job_id)
        if job is None or job.instance != record.name or job.attempt != key.attempt:
            del self._throttled[record.name]
            return
        if now - since >= THROTTLE_SECONDS and job.spec.repeatable:
            cause = f"instance {record.name} is overloaded"
            self._attempts.request_stop(key, cause)

    def _start_throttle(self, record: InstanceRecord, now: float) -> None:
        allocation = self._choose_attempt(record)
        job = self._jobs.find(allocation.job_id) if allocation else None
        if allocation is None or job is None:
            return
        key = TaskKey(allocation.job_id, job.attempt)
        self._throttled[record.name] = (key, now)
        self._throttle(key, THROTTLE_FRACTION, now)

    def _choose_attempt(self, record: InstanceRecord) -> Allocation | None:
        total = get_resources(record)
        held = self._planner.allocations.list_on(record.name)
        return max(
            held,
            key=lambda item: (
                self._is_repeatable(item),
                self._planner.compute_weighted_share(item.pool, item.team, total),
                item.resources.processors,
                item.job_id,
            ),
            default=None,
        )

    def _is_repeatable(self, allocation: Allocation) -> bool:
        job = self._jobs.find(allocation.job_id)
        return job is not None and job.spec.repeatable

    def _throttle(self, key: TaskKey, fraction: float, now: float) -> None:
        token = f"{THROTTLE_PREFIX}{key.job_id}/{key.attempt}/{now:.3f}"
        self._orders[key] = _Order(fraction, token)
