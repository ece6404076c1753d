"""Estimates of jobs' resource use and run time, from usage reports."""

from collections import OrderedDict, deque
from dataclasses import dataclass, field

from gypsumwalk.job_placement import ResourceVector, get_resources
from gypsumwalk.job_records import JobRecord, SubmitJob
from gypsumwalk.platform import TaskKey, TaskUsage

__all__ = ["JobEstimator"]

PROCESSOR_QUANTILE = 0.75
MEMORY_QUANTILE = 0.95
RUN_TIME_QUANTILE = 0.75
MIN_SAMPLES = 8
"""Samples per team and queue from which quantiles are used."""
MAX_SAMPLES = 64
MAX_SAMPLE_SETS = 2000
"""Most pairs of team and queue with samples; the least recently updated is dropped."""
MIN_FACTOR = 0.1
"""Lower bound of the ratio of estimate to declaration."""
MAX_FACTOR = 4.0
"""Upper bound of the ratio of estimate to declaration."""


@dataclass(slots=True)
class _UsageSamples:
    processors: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_SAMPLES))
    memory: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_SAMPLES))
    seconds: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_SAMPLES))


class JobEstimator:
    """Estimator based on the ratio of used to declared amounts, by team and queue."""

    def __init__(self) -> None:
        self._samples: OrderedDict[tuple[str, str], _UsageSamples] = OrderedDict()
        self._peaks: dict[TaskKey, tuple[float, float]] = {}

    def reset(self) -> None:
        """Discard all samples and measurements."""
        self._samples.clear()
        self._peaks.clear()

    def record_usage(self, usage: TaskUsage) -> None:
        """Record one measurement of an attempt's usage.

        Parameters
        ----------
        usage : TaskUsage
            The measurement.
        """
        processors, memory = self._peaks.get(usage.task, (0.0, 0.0))
        peak = (max(processors, usage.processors), max(memory, usage.memory_gb))
        self._peaks[usage.task] = peak

    def record_end(self, key: TaskKey, spec: SubmitJob, seconds: float) -> None:
        """Record the end of an attempt and add its samples.

        Parameters
        ----------
        key : TaskKey
            The attempt.
        spec : SubmitJob
            Job of the attempt.
        seconds : float
            Run time in seconds, 0 if the attempt did not run to completion.
        """
        peak = self._peaks.pop(key, None)
        samples = self._samples.setdefault((spec.team, spec.queue), _UsageSamples())
        self._samples.move_to_end((spec.team, spec.queue))
        if len(self._samples) > MAX_SAMPLE_SETS:
            self._samples.popitem(last=False)
        if peak is not None and spec.processors:
            samples.processors.append(peak[0] / spec.processors)
        if peak is not None and spec.memory_gb:
            samples.memory.append(peak[1] / spec.memory_gb)
        if seconds and spec.run_seconds:
            samples.seconds.append(seconds / spec.run_seconds)

    def estimate_resources(self, spec: SubmitJob) -> ResourceVector:
        """Return the resources that a job is expected to use.

        Parameters
        ----------
        spec : SubmitJob
            The job.

        Returns
        -------
        ResourceVector
            Declared resources scaled by what jobs of its team and queue used.
        """
        declared = get_resources(spec)
        samples = self._samples.get((spec.team, spec.queue))
        if samples is None:
            return declared
        return ResourceVector(
            declared.processors
            * _compute_factor(samples.processors, PROCESSOR_QUANTILE),
            declared.memory_gb * _compute_factor(samples.memory, MEMORY_QUANTILE),
            declared.accelerators,
        )

    def estimate_end(self, record: JobRecord, now: float) -> float:
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
            Time in seconds, at least half of the attempt's age from now.
        """
        started = max(record.placed_at, record.started_at)
        age = max(0.0, now - started)
        return max(started + self.estimate_run_seconds(record.spec), now + 0.5 * age)

    def estimate_run_seconds(self, spec: SubmitJob) -> float:
        """Return the expected run time of a job in seconds."""
        samples = self._samples.get((spec.team, spec.queue))
        if samples is None:
            return spec.run_seconds
        return spec.run_seconds * _compute_factor(samples.seconds, RUN_TIME_QUANTILE)

    def retain(self, alive: set[TaskKey]) -> None:
        """Discard the measurements of all attempts but these."""
        for key in [key for key in self._peaks if key not in alive]:
            del self._peaks[key]


def _compute_factor(samples: deque[float], quantile: float) -> float:
    if len(samples) < MIN_SAMPLES:
        return 1.0
    ordered = sorted(samples)
    value = ordered[min(len(ordered) - 1, int(quantile * len(ordered)))]
    return min(MAX_FACTOR, max(MIN_FACTOR, value))
