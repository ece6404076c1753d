"""Window that refuses messages of peers that came before."""

__all__ = ["ReplayWindow"]

WINDOW = 4096
MAX_SOURCES = 1024


class _Source:
    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.highest = -1
        self.seen = 0


class ReplayWindow:
    """Numbers of the latest messages of each peer.

    A number is admitted once, and only while it is among the latest ``WINDOW`` of the
    peer's newest incarnation.
    """

    def __init__(self) -> None:
        self._sources: dict[str, _Source] = {}

    def admit(self, source: str, incarnation: int, sequence: int) -> bool:
        """Tell whether a message is new, and note it.

        Parameters
        ----------
        source : str
            Name of the peer.
        incarnation : int
            Incarnation of the peer.
        sequence : int
            Number of the message, from 0.

        Returns
        -------
        bool
            Whether the message may be handled.
        """
        if sequence < 0:
            return False
        known = self._sources.get(source)
        if known is None or incarnation > known.incarnation:
            if known is None and len(self._sources) >= MAX_SOURCES:
                return False
            known = self._sources[source] = _Source(incarnation)
        if incarnation < known.incarnation:
            return False
        return _note(known, sequence)


def _note(known: _Source, sequence: int) -> bool:
    if sequence > known.highest:
        shift = sequence - known.highest
        known.seen = (known.seen << shift if shift < WINDOW else 0) | 1
        known.seen &= (1 << WINDOW) - 1
        known.highest = sequence
        return True
    age = known.highest - sequence
    if age >= WINDOW or known.seen >> age & 1:
        return False
    known.seen |= 1 << age
    return True
