"""Nonblocking log stream that drops and counts lines while its reader is too slow."""

import json
import os
import threading
from collections import deque

__all__ = ["LogStream"]

MAX_QUEUED_LINES = 4096
"""About one second of lines under the heaviest load; at most 2 MB."""

MAX_WRITE_BYTES = 32 * 1024
"""Maximum size of one write; half the capacity of a pipe."""


class LogStream:
    """Text stream that writes to a file descriptor from a background thread.

    A stalled reader blocks the thread, not the daemon. Lines beyond ``max_lines`` are
    dropped, and a later line reports their number.

    Parameters
    ----------
    descriptor : int
        File descriptor to write to.
    max_lines : int
        Maximum number of queued lines.
    """

    def __init__(
        self, descriptor: int = 1, *, max_lines: int = MAX_QUEUED_LINES
    ) -> None:
        self.dropped_lines = 0
        self._descriptor = descriptor
        self._max_lines = max_lines
        self._lines: deque[str] = deque()
        self._unreported_drops = 0
        self._wake = threading.Event()
        self._idle = threading.Event()
        self._idle.set()
        self._closed = False
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def write(self, text: str) -> int:
        """Queue text for writing, or drop it if the queue is full."""
        if len(self._lines) >= self._max_lines:
            self.dropped_lines += 1
            self._unreported_drops += 1
            return len(text)
        self._lines.append(text)
        if not self._wake.is_set():
            self._idle.clear()
            self._wake.set()
        return len(text)

    def flush(self) -> None:
        """Do nothing, as the thread writes queued lines without delay."""

    def close(self, timeout: float = 1.0) -> None:
        """Write the queued lines, for at most ``timeout`` seconds."""
        self._closed = True
        self._wake.set()
        self._idle.wait(timeout)

    def _run(self) -> None:
        while not self._closed or self._lines:
            self._wake.wait()
            self._wake.clear()
            while self._lines:
                self._write_batch()
            self._idle.set()

    def _write_batch(self) -> None:
        batch = []
        size = 0
        while self._lines and size < MAX_WRITE_BYTES:
            line = self._lines.popleft()
            batch.append(line)
            size += len(line)
        if self._unreported_drops:
            count, self._unreported_drops = self._unreported_drops, 0
            batch.append(json.dumps({"event": "lines left out", "count": count}) + "\n")
        try:
            content = "".join(batch).encode(errors="backslashreplace")
            while content:
                written = os.write(self._descriptor, content)
                content = content[written:]
        except (OSError, MemoryError):
            # A closed pipe must not end the daemon; count the lines as dropped.
            self.dropped_lines += len(batch)
