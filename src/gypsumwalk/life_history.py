"""What the log says of the lives (incarnations) of an instance, also of ended ones."""

from collections.abc import Callable

import msgspec

__all__ = ["LifeHistory", "PastLives"]

MAX_INSTANCES = 20_000
"""Instances that are remembered, three times those of the largest fleet planned for."""


class PastLives(msgspec.Struct, frozen=True, array_like=True):
    """Lives of one instance, as their starts in milliseconds since the epoch.

    Attributes
    ----------
    first : int
        The life that was registered first.
    departed : int
        The latest one that was removed while it drained, 0 before.
    """

    first: int
    departed: int = 0


class LifeHistory:
    """Lives of the instances that are registered, and of those that were last.

    Parameters
    ----------
    is_registered : Callable
        Tells whether a life of an instance is registered.
    """

    def __init__(self, is_registered: Callable[[str], bool]) -> None:
        self._is_registered = is_registered
        self._past: dict[str, PastLives] = {}

    def note_registration(self, instance: str, born: int) -> None:
        """Note a life that is registered."""
        self._store(instance, self._past.get(instance, PastLives(born)))

    def note_departure(self, instance: str, born: int) -> None:
        """Note a life that was removed while it drained."""
        first = self._past[instance].first if instance in self._past else born
        self._store(instance, PastLives(first, departed=born))

    def has_departed(self, instance: str, born: int) -> bool:
        """Tell whether a life was the latest to be removed while it drained."""
        past = self._past.get(instance)
        return past is not None and past.departed == born

    def is_first(self, instance: str, born: int) -> bool:
        """Tell whether a life is known to be the first one of its instance."""
        past = self._past.get(instance)
        return past is not None and past.first == born

    def dump(self) -> dict[str, PastLives]:
        """Return the content, the latest registration last."""
        return self._past

    def load(self, content: dict[str, PastLives]) -> None:
        """Replace the content by a dump."""
        self._past = content

    def _store(self, instance: str, past: PastLives) -> None:
        self._past.pop(instance, None)
        self._past[instance] = past
        if len(self._past) > MAX_INSTANCES:
            self._evict()

    def _evict(self) -> None:
        """Forget the instance without a registered life that was stored first."""
        for _ in range(len(self._past)):
            instance = next(iter(self._past))
            past = self._past.pop(instance)
            if not self._is_registered(instance):
                return
            self._past[instance] = past
