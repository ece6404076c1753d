"""Options of TCP connections that notice a peer which has gone silent."""

import socket
from dataclasses import dataclass

__all__ = ["Keepalive", "SocketOption"]

SocketOption = tuple[int, int, int]
"""Level, name and value of an option."""


@dataclass(frozen=True, slots=True)
class Keepalive:
    """Times after which a connection counts as lost.

    Attributes
    ----------
    unacknowledged_milliseconds : int
        Time in milliseconds that sent data may stay unacknowledged.
    idle_seconds : int
        Time in seconds without data after which the peer is probed.
    interval_seconds : int
        Time in seconds between two probes.
    probes : int
        Number of probes without an answer after which the connection is closed.
    """

    unacknowledged_milliseconds: int
    idle_seconds: int
    interval_seconds: int
    probes: int

    def list_options(self) -> list[SocketOption]:
        """Return the options to set on a socket."""
        tcp = socket.IPPROTO_TCP
        return [
            (tcp, socket.TCP_NODELAY, 1),
            (tcp, socket.TCP_USER_TIMEOUT, self.unacknowledged_milliseconds),
            (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
            (tcp, socket.TCP_KEEPIDLE, self.idle_seconds),
            (tcp, socket.TCP_KEEPINTVL, self.interval_seconds),
            (tcp, socket.TCP_KEEPCNT, self.probes),
        ]
