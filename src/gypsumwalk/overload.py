"""Overloaded instances: throttle, then checkpoint, then stop."""

from gypsumwalk._platform_calls import PendingCalls
from gypsumwalk.effects import Effect
from gypsumwalk.instances import InstanceRecord
from gypsumwalk.jobs import JobSection
from gypsumwalk.ledger import NO_SIZE, Holding
from gypsumwalk.placement import Size, size_of
from gypsumwalk.platform import TaskKey, ThrottleTask, WorkerReport
from gypsumwalk.pools import PoolSection
from gypsumwalk.queueing import Planner
from gypsumwalk.tasks import TaskKeeper

__all__ = ["OverloadKeeper"]

HIGH_FRACTION = 0.95
"""Part of an instance's resources in use from which it counts as overloaded."""
LOW_FRACTION = 0.8
"""Part of an instance's resources in use below which a throttle is taken back."""
THROTTLE_FRACTION = 0.5
THROTTLE_SECONDS = 10.0
"""Seconds for which a throttle may take effect before an attempt is stopped."""


class OverloadKeeper:
    """Relieves overloaded instances of the team furthest above its share.

    Parameters
    ----------
    jobs : JobSection
        The jobs.
    pools : PoolSection
        Instances and their pools.
    planner : Planner
        Shares of the teams, and learned sizes.
    tasks : TaskKeeper
        Stops attempts.
    calls : PendingCalls
        Calls of the part that owns the keeper.
    """

    def __init__(
        self,
        jobs: JobSection,
        pools: PoolSection,
        planner: Planner,
        tasks: TaskKeeper,
        calls: PendingCalls,
    ) -> None:
        self._jobs = jobs
        self._pools = pools
        self._planner = planner
        self._tasks = tasks
        self._calls = calls
        self._overloaded: dict[str, Size] = {}
        self._throttled: dict[str, tuple[TaskKey, float]] = {}

    def reset(self) -> None:
        """Forget everything."""
        self._overloaded.clear()
        self._throttled.clear()

    def note_report(self, report: WorkerReport, now: float) -> None:
        """Take in a worker's lagged usage.

        Parameters
        ----------
        report : WorkerReport
            The report.
        now : float
            Time in seconds.
        """
        record = self._pools.find(report.instance)
        if record is None or not report.usage:
            return
        used = NO_SIZE
        for usage in report.usage:
            self._planner.note_usage(usage)
            used = used.add(Size(usage.processors, usage.memory_gb, 0.0))
        fraction = used.find_dominant(size_of(record))
        if fraction > HIGH_FRACTION:
            self._overloaded[report.instance] = used
        elif fraction < LOW_FRACTION:
            self._overloaded.pop(report.instance, None)

    def advance(self, now: float) -> list[Effect]:
        """Throttle, stop or take a throttle back.

        Parameters
        ----------
        now : float
            Time in seconds.

        Returns
        -------
        list of Effect
            Calls to the platform.
        """
        effects: list[Effect] = []
        for name in [name for name in self._throttled if name not in self._overloaded]:
            key, _ = self._throttled.pop(name)
            effects += self._throttle(key, 1.0, now)
        for name in sorted(self._overloaded):
            record = self._pools.find(name)
            if record is not None:
                effects += self._relieve(record, now)
        return effects

    def _relieve(self, record: InstanceRecord, now: float) -> list[Effect]:
        throttled = self._throttled.get(record.name)
        if throttled is None:
            return self._begin(record, now)
        key, since = throttled
        job = self._jobs.find(key.job_id)
        if job is None or job.instance != record.name or job.attempt != key.attempt:
            del self._throttled[record.name]
            return []
        if now - since >= THROTTLE_SECONDS and job.spec.repeatable:
            cause = f"{record.name} is overloaded, and its team is furthest above"
            self._tasks.request_stop(key, cause)
        return []

    def _begin(self, record: InstanceRecord, now: float) -> list[Effect]:
        holding = self._choose(record)
        if holding is None:
            return []
        job = self._jobs.find(holding.job_id)
        if job is None:
            return []
        key = TaskKey(holding.job_id, job.attempt)
        self._throttled[record.name] = (key, now)
        return self._throttle(key, THROTTLE_FRACTION, now)

    def _choose(self, record: InstanceRecord) -> Holding | None:
        total = size_of(record)
        held = self._planner.ledger.list_on(record.name)
        return max(
            held,
            key=lambda item: (
                self._is_repeatable(item),
                self._planner.find_share(item.pool, item.team, total),
                item.size.processors,
                item.job_id,
            ),
            default=None,
        )

    def _is_repeatable(self, holding: Holding) -> bool:
        job = self._jobs.find(holding.job_id)
        return job is not None and job.spec.repeatable

    def _throttle(self, key: TaskKey, fraction: float, now: float) -> list[Effect]:
        token = f"jobs/throttle/{key.job_id}/{key.attempt}/{now:.3f}"
        return self._calls.call(token, ThrottleTask(key, fraction), now)
