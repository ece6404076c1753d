"""Sizes and run times of jobs, learned from lagged reports."""

from collections import OrderedDict, deque
from dataclasses import dataclass, field

from gypsumwalk.job_records import JobRecord, SubmitJob
from gypsumwalk.placement import Size, size_of
from gypsumwalk.platform import TaskKey, TaskUsage

__all__ = ["SizeTable"]

PROCESSOR_QUANTILE = 0.75
MEMORY_QUANTILE = 0.95
RUN_TIME_QUANTILE = 0.75
MIN_SAMPLES = 8
"""Ended attempts of one kind before their quantiles are used."""
MAX_SAMPLES = 64
MAX_KINDS = 2000
LEAST_FACTOR = 0.1
GREATEST_FACTOR = 4.0


@dataclass(slots=True)
class _Kind:
    processors: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_SAMPLES))
    memory: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_SAMPLES))
    seconds: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_SAMPLES))


class SizeTable:
    """Ratios of what jobs used to what was declared, by team and queue."""

    def __init__(self) -> None:
        self._kinds: OrderedDict[tuple[str, str], _Kind] = OrderedDict()
        self._peaks: dict[TaskKey, tuple[float, float]] = {}

    def reset(self) -> None:
        """Forget everything."""
        self._kinds.clear()
        self._peaks.clear()

    def note_usage(self, usage: TaskUsage) -> None:
        """Take in one lagged measurement.

        Parameters
        ----------
        usage : TaskUsage
            The measurement.
        """
        processors, memory = self._peaks.get(usage.task, (0.0, 0.0))
        peak = (max(processors, usage.processors), max(memory, usage.memory_gb))
        self._peaks[usage.task] = peak

    def note_end(self, key: TaskKey, spec: SubmitJob, seconds: float) -> None:
        """Take in an attempt that ran to its end.

        Parameters
        ----------
        key : TaskKey
            The attempt.
        spec : SubmitJob
            Its job.
        seconds : float
            Seconds that it ran, 0 if it did not run to its end.
        """
        peak = self._peaks.pop(key, None)
        kind = self._kinds.setdefault((spec.team, spec.queue), _Kind())
        self._kinds.move_to_end((spec.team, spec.queue))
        if len(self._kinds) > MAX_KINDS:
            self._kinds.popitem(last=False)
        if peak is not None and spec.processors:
            kind.processors.append(peak[0] / spec.processors)
        if peak is not None and spec.memory_gb:
            kind.memory.append(peak[1] / spec.memory_gb)
        if seconds and spec.run_seconds:
            kind.seconds.append(seconds / spec.run_seconds)

    def expect_size(self, spec: SubmitJob) -> Size:
        """Return what a job is expected to use.

        Parameters
        ----------
        spec : SubmitJob
            The job.

        Returns
        -------
        Size
            Its declared size, corrected by what its kind has used.
        """
        declared = size_of(spec)
        kind = self._kinds.get((spec.team, spec.queue))
        if kind is None:
            return declared
        return Size(
            declared.processors * _find_factor(kind.processors, PROCESSOR_QUANTILE),
            declared.memory_gb * _find_factor(kind.memory, MEMORY_QUANTILE),
            declared.accelerators,
        )

    def expect_end(self, record: JobRecord, now: float) -> float:
        """Return when an attempt in progress is expected to end.

        Parameters
        ----------
        record : JobRecord
            The job.
        now : float
            Time in seconds.

        Returns
        -------
        float
            Time in seconds; one that is overdue goes on for half of its age.
        """
        started = max(record.placed_at, record.started_at)
        age = max(0.0, now - started)
        return max(started + self.expect_seconds(record.spec), now + 0.5 * age)

    def expect_seconds(self, spec: SubmitJob) -> float:
        """Return how long a job is expected to run, in seconds."""
        kind = self._kinds.get((spec.team, spec.queue))
        if kind is None:
            return spec.run_seconds
        return spec.run_seconds * _find_factor(kind.seconds, RUN_TIME_QUANTILE)

    def forget(self, alive: set[TaskKey]) -> None:
        """Drop measurements of attempts that are not in progress any more."""
        for key in [key for key in self._peaks if key not in alive]:
            del self._peaks[key]


def _find_factor(samples: deque[float], quantile: float) -> float:
    if len(samples) < MIN_SAMPLES:
        return 1.0
    ordered = sorted(samples)
    value = ordered[min(len(ordered) - 1, int(quantile * len(ordered)))]
    return min(GREATEST_FACTOR, max(LEAST_FACTOR, value))
