"""Protection against replayed messages between daemons."""

__all__ = ["ReplayWindow"]

WINDOW_MESSAGES = 4096
MAX_SOURCES = 1024


class _SourceWindow:
    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.highest = -1
        self.seen = 0


class ReplayWindow:
    """Sliding window of the sequence numbers received from each peer.

    A sequence number is admitted once, and only if it belongs to the newest incarnation
    of the peer and is among its latest ``WINDOW_MESSAGES`` numbers. Of more than
    ``MAX_SOURCES`` peers, those that were heard most recently are known.
    """

    def __init__(self) -> None:
        self._sources: dict[str, _SourceWindow] = {}

    def admit(self, source: str, incarnation: int, sequence: int) -> bool:
        """Return whether a message is new, and record it as received.

        Parameters
        ----------
        source : str
            Name of the peer.
        incarnation : int
            Incarnation of the peer.
        sequence : int
            Sequence number of the message, from 0.

        Returns
        -------
        bool
            Whether to process the message; false for a replayed or outdated one.
        """
        if sequence < 0:
            return False
        window = self._sources.get(source)
        if window is None or incarnation > window.incarnation:
            window = _SourceWindow(incarnation)
        if incarnation < window.incarnation:
            return False
        # The last one in the order is the one heard most recently.
        self._sources.pop(source, None)
        self._sources[source] = window
        if len(self._sources) > MAX_SOURCES:
            del self._sources[next(iter(self._sources))]
        return _mark_seen(window, sequence)

    def find_newer(self, source: str, incarnation: int) -> int:
        """Return a known incarnation of a peer above the given one, or 0."""
        window = self._sources.get(source)
        return window.incarnation if window and window.incarnation > incarnation else 0


def _mark_seen(window: _SourceWindow, sequence: int) -> bool:
    if sequence > window.highest:
        shift = sequence - window.highest
        window.seen = (window.seen << shift if shift < WINDOW_MESSAGES else 0) | 1
        window.seen &= (1 << WINDOW_MESSAGES) - 1
        window.highest = sequence
        return True
    distance = window.highest - sequence
    if distance >= WINDOW_MESSAGES or window.seen >> distance & 1:
        return False
    window.seen |= 1 << distance
    return True
