"""Log stream that never waits for its reader, and counts what it left out."""

import json
import os
import threading
from collections import deque

__all__ = ["LogStream"]

MAX_WAITING_LINES = 4096
"""About one second of lines under the heaviest load, 2 MB at most."""

WRITE_BYTES = 32 * 1024
"""Bytes written at once; half of what a pipe holds."""


class LogStream:
    """Text stream whose lines a thread of its own hands to a file descriptor.

    A reader that stands still makes the thread wait, not the daemon. Lines beyond
    ``MAX_WAITING_LINES`` are left out; a line tells how many.

    Parameters
    ----------
    descriptor : int
        File descriptor to write to.
    max_lines : int
        Lines that wait at most.
    """

    def __init__(
        self, descriptor: int = 1, *, max_lines: int = MAX_WAITING_LINES
    ) -> None:
        self.left_out = 0
        self._descriptor = descriptor
        self._max_lines = max_lines
        self._lines: deque[str] = deque()
        self._unreported = 0
        self._wake = threading.Event()
        self._idle = threading.Event()
        self._idle.set()
        self._closed = False
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def write(self, text: str) -> int:
        """Take in text; it is left out if too many lines wait."""
        if len(self._lines) >= self._max_lines:
            self.left_out += 1
            self._unreported += 1
            return len(text)
        self._lines.append(text)
        if not self._wake.is_set():
            self._idle.clear()
            self._wake.set()
        return len(text)

    def flush(self) -> None:
        """Do nothing, as the thread writes as soon as the reader takes it."""

    def close(self, timeout: float = 1.0) -> None:
        """Write what waits, for so many seconds at most."""
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
        while self._lines and size < WRITE_BYTES:
            line = self._lines.popleft()
            batch.append(line)
            size += len(line)
        if self._unreported:
            count, self._unreported = self._unreported, 0
            batch.append(json.dumps({"event": "lines left out", "count": count}) + "\n")
        content = "".join(batch).encode()
        try:
            while content:
                written = os.write(self._descriptor, content)
                content = content[written:]
        except OSError:
            # A reader that went away must not end the daemon; the count is kept.
            self.left_out += len(batch)
