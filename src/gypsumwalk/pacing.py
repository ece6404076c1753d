"""Pace of fillers beside tasks that serve their own users.

The pattern that this answers: tasks that use left-over processors slow the tasks beside
them by amounts that differ by image and change within seconds. The tails that instances
list are the only sign. A level for each instance falls quickly while a tail is over its
target and rises slowly after it has been well below for a while.
"""

from collections.abc import Iterable
from dataclasses import dataclass

__all__ = ["FULL_LEVEL", "InstanceLoad", "PaceLevels", "Tail"]

FULL_LEVEL = 100
"""Share of its speed, in percent, that a task has at its start."""

HARMED_SHARE = 0.9
"""Share of its target at which a tail counts as harmed; tails are rough figures."""

CALM_SHARE = 0.7
"""Share of its target below which every tail lies before fillers get more."""

CUT_FACTOR = 0.25
"""Two cuts and the lowest level fit into the 4 s in which harm has to end."""

LOWEST_LEVEL = 10
"""Level in percent below which a filler rests."""

RISE_STEP = 10
"""Percent by which a level rises at once; small, as harm is dearer than idle fill."""

SETTLE_SECONDS = 0.7
"""Time in seconds until a tail shows a change: 0.1 s to take effect, 0.5 s averaged."""

CALM_SECONDS = 2.0
"""Time in seconds of calm before a level rises; effects change within seconds."""

LEARNING_SHARE = 0.3
"""Weight of the latest level in what is known of an image."""


@dataclass(frozen=True, slots=True)
class Tail:
    """Tail latency of a task that serves, beside its target, in milliseconds."""

    latency: float
    target: float

    @property
    def share(self) -> float:
        """Tail as a share of its target."""
        return self.latency / self.target


@dataclass(frozen=True, slots=True)
class InstanceLoad:
    """What one instance lists.

    Attributes
    ----------
    life : str
        Life of the instance.
    tails : tuple of Tail
        Tails of its tasks that serve.
    images : frozenset of str
        Images of its fillers.
    """

    life: str
    tails: tuple[Tail, ...]
    images: frozenset[str]


@dataclass(slots=True)
class _Level:
    percent: float
    changed_at: float
    calm_since: float


class PaceLevels:
    """Share of their speed that the fillers of each instance may have."""

    def __init__(self) -> None:
        self._levels: dict[str, _Level] = {}
        self._learned: dict[str, float] = {}

    def update(self, load: InstanceLoad, now: float) -> int:
        """Take in what an instance lists, and return the level of its fillers.

        Parameters
        ----------
        load : InstanceLoad
            What it lists.
        now : float
            Time in seconds.

        Returns
        -------
        int
            Level in percent.
        """
        if not load.tails or not load.images:
            self._levels.pop(load.life, None)
            return FULL_LEVEL
        level = self._levels.get(load.life)
        if level is None:
            level = _Level(self._find_start(load.images), now, now)
            self._levels[load.life] = level
        worst = max(tail.share for tail in load.tails)
        if worst >= CALM_SHARE:
            level.calm_since = now
        if now - level.changed_at >= SETTLE_SECONDS:
            self._adjust(level, load.images, worst, now)
        return int(level.percent)

    def forget(self, lives: Iterable[str]) -> None:
        """Keep only the levels of these lives."""
        kept = set(lives)
        self._levels = {
            life: level for life, level in self._levels.items() if life in kept
        }

    def clear(self) -> None:
        """Forget everything, as another term has begun."""
        self._levels.clear()
        self._learned.clear()

    def _find_start(self, images: frozenset[str]) -> float:
        return min(self._learned.get(image, FULL_LEVEL) for image in images)

    def _adjust(
        self, level: _Level, images: frozenset[str], worst: float, now: float
    ) -> None:
        percent = level.percent
        if worst >= HARMED_SHARE:
            percent = percent * CUT_FACTOR
            if percent < LOWEST_LEVEL:
                percent = 0.0
        elif now - level.calm_since >= CALM_SECONDS:
            percent = min(float(FULL_LEVEL), percent + RISE_STEP)
            level.calm_since = now
        if percent == level.percent:
            return
        level.percent = percent
        level.changed_at = now
        for image in images:
            known = self._learned.get(image, float(FULL_LEVEL))
            self._learned[image] = known + LEARNING_SHARE * (percent - known)
