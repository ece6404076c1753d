"""Resource usage of processes, from procfs and the metrics endpoint."""

import os
import re
from pathlib import Path

import urllib3

__all__ = ["read_cpu_seconds", "read_peer_bytes", "read_resident_mb"]

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
SENT = re.compile(r'gypsumwalk_peer_bytes_total\{direction="sent".*\} (\S+)')


def read_resident_mb(pid: int) -> float:
    """Return the resident memory of a process in megabytes."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * PAGE_BYTES / 1e6


def read_cpu_seconds(pid: int) -> float:
    """Return the processor time of a process in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def read_peer_bytes(address: str) -> float:
    """Return the bytes that a daemon has sent to its peers."""
    text = urllib3.request("GET", f"http://{address}/metrics", timeout=5.0).data
    return sum(float(value) for value in SENT.findall(text.decode()))
