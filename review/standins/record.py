"""Record of what was sent, answered and run, with the seconds since its start."""

import threading
import time
from pathlib import Path

__all__ = ["Record"]


class Record:
    """Text file with one line per event.

    Parameters
    ----------
    path : Path
        Path of the file, which is replaced.
    """

    def __init__(self, path: Path) -> None:
        self._lock = threading.Lock()
        self._file = path.open("w")
        self._started = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the record was opened."""
        return time.monotonic() - self._started

    def write(self, text: str) -> None:
        """Write one line."""
        with self._lock:
            self._file.write(f"{self.now():8.3f} {text}\n")
            self._file.flush()
