"""Pace of filler tasks that share an instance with latency-sensitive tasks.

Fillers use spare processors and slow down co-located tasks by amounts that differ by
image and change within seconds. The tail latencies that instances report are the only
signal. Each instance has a pace level: it decreases multiplicatively while a tail
latency exceeds its target, and increases additively after a period well below it.
"""

from collections.abc import Iterable
from dataclasses import dataclass

__all__ = ["FULL_LEVEL_PERCENT", "InstanceLoad", "PaceLevels", "TailLatency"]

FULL_LEVEL_PERCENT = 100
"""Level of a task that is not slowed down, and of a task at its start."""

DEGRADED_RATIO = 0.9
"""Ratio to its target from which a tail latency, a rough figure, is too high."""

HEALTHY_RATIO = 0.7
"""Ratio to target below which all tail latencies must be before a level rises."""

BACKOFF_FACTOR = 0.25
"""Factor of one decrease; two of them reach 0 within the 4 s allowed for recovery."""

MIN_LEVEL_PERCENT = 10
"""Lowest level of a running filler; below it the filler is suspended (0 percent)."""

RISE_STEP_PERCENT = 10
"""One increase of a level; small, as a missed target costs more than idle capacity."""

SETTLE_SECONDS = 0.7
"""Time until a tail latency shows a change: 0.1 s to apply, 0.5 s of averaging."""

HEALTHY_SECONDS = 2.0
"""Time below ``HEALTHY_RATIO`` before a level rises; effects change within seconds."""

LEARNING_WEIGHT = 0.3
"""Weight of the latest level in the moving average of an image's levels."""


@dataclass(frozen=True, slots=True)
class TailLatency:
    """Tail latency of a latency-sensitive task and its target, in milliseconds."""

    latency: float
    target: float

    @property
    def ratio(self) -> float:
        """Tail latency relative to its target."""
        return self.latency / self.target


@dataclass(frozen=True, slots=True)
class InstanceLoad:
    """Load that one instance reports.

    Attributes
    ----------
    life : str
        Incarnation of the instance.
    tails : tuple of TailLatency
        Tail latencies of its latency-sensitive tasks.
    images : frozenset of str
        Images of its fillers.
    has_unknown_pace : bool
        Whether an earlier leader may have slowed down one of its fillers.
    """

    life: str
    tails: tuple[TailLatency, ...]
    images: frozenset[str]
    has_unknown_pace: bool = False


@dataclass(slots=True)
class _Level:
    percent: float
    changed_at: float
    healthy_since: float


class PaceLevels:
    """Pace levels of the fillers of each instance, in percent of full speed."""

    def __init__(self) -> None:
        self._levels: dict[str, _Level] = {}
        self._image_levels: dict[str, float] = {}

    def update(self, load: InstanceLoad, now: float) -> int:
        """Return the level of an instance's fillers, updated by its reported load.

        Parameters
        ----------
        load : InstanceLoad
            Load that the instance reports.
        now : float
            Time in seconds.

        Returns
        -------
        int
            Level in percent.
        """
        if not load.tails or not load.images:
            self._levels.pop(load.life, None)
            return FULL_LEVEL_PERCENT
        level = self._levels.get(load.life)
        if level is None:
            level = _Level(self._find_start(load), now, now)
            self._levels[load.life] = level
        worst = max(tail.ratio for tail in load.tails)
        if worst >= HEALTHY_RATIO:
            level.healthy_since = now
        if now - level.changed_at >= SETTLE_SECONDS:
            self._adjust(level, load.images, worst, now)
        return int(level.percent)

    def retain(self, lives: Iterable[str]) -> None:
        """Discard the levels of all incarnations but these."""
        kept = set(lives)
        self._levels = {
            life: level for life, level in self._levels.items() if life in kept
        }

    def clear(self) -> None:
        """Discard all levels at the beginning of a term."""
        self._levels.clear()
        self._image_levels.clear()

    def _find_start(self, load: InstanceLoad) -> float:
        if load.has_unknown_pace:
            return MIN_LEVEL_PERCENT
        return min(
            self._image_levels.get(image, FULL_LEVEL_PERCENT) for image in load.images
        )

    def _adjust(
        self, level: _Level, images: frozenset[str], worst: float, now: float
    ) -> None:
        percent = level.percent
        if worst >= DEGRADED_RATIO:
            percent = percent * BACKOFF_FACTOR
            if percent < MIN_LEVEL_PERCENT:
                percent = 0.0
        elif now - level.healthy_since >= HEALTHY_SECONDS:
            percent = min(float(FULL_LEVEL_PERCENT), percent + RISE_STEP_PERCENT)
            level.healthy_since = now
        if percent == level.percent:
            return
        level.percent = percent
        level.changed_at = now
        for image in images:
            previous = self._image_levels.get(image, float(FULL_LEVEL_PERCENT))
            self._image_levels[image] = previous + LEARNING_WEIGHT * (
                percent - previous
            )
