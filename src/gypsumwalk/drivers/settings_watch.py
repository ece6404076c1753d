"""Reloads of the settings of a running daemon."""

from collections.abc import Callable, Sequence

import trio

from gypsumwalk.effects import Record
from gypsumwalk.errors import BadBoundary
from gypsumwalk.events import Event

__all__ = ["SettingsWatch"]

RELOAD_SECONDS = 2.0
"""Interval of reloads, which take about 1 ms each."""


class SettingsWatch:
    """Reloads the settings at intervals, and at once when that is requested.

    They may change without a signal, and a file that was being written when the signal
    came is complete later.

    Parameters
    ----------
    reload : Callable
        Reloads the settings and returns the names of those that changed; raises
        ``BadBoundary`` if they can't be read.
    record : Callable
        Writes an event.
    """

    def __init__(
        self, reload: Callable[[], Sequence[str]], record: Callable[[Record], None]
    ) -> None:
        self._reload = reload
        self._record = record
        self._refused_for = ""
        """Reason of the latest refusal, which is logged once."""

    async def run(self) -> None:
        """Reload the settings at intervals, until cancelled."""
        while True:
            await trio.sleep(RELOAD_SECONDS)
            if changed := self._try_reload():
                self._record_reload(changed)

    def reload(self) -> None:
        """Reload the settings at once."""
        changed = self._try_reload()
        if changed is not None:
            self._record_reload(changed)

    def _try_reload(self) -> Sequence[str] | None:
        """Return the names of the settings that changed, None if they were refused."""
        try:
            changed = self._reload()
        except BadBoundary as error:
            reason = str(error)
            if reason != self._refused_for:
                self._record(Record(Event.RELOAD_REFUSED, "", {"reason": reason}))
            self._refused_for = reason
            return None
        self._refused_for = ""
        return changed

    def _record_reload(self, changed: Sequence[str]) -> None:
        attributes = {"changed": ", ".join(changed) or "nothing"}
        self._record(Record(Event.DAEMON_RELOADED, "", attributes))
