"""Opening of the sockets of outgoing connections."""

import errno
import os
import socket
from typing import Any

import trio

from gypsumwalk.addresses import split_address
from gypsumwalk.drivers.socket_options import Keepalive
from gypsumwalk.errors import BadBoundary

__all__ = ["SOCKET_OPTIONS", "open_socket"]

SOCKET_OPTIONS = Keepalive(
    unacknowledged_milliseconds=5000, idle_seconds=15, interval_seconds=5, probes=3
).list_options()


async def open_socket(address: str) -> socket.socket:
    """Connect to the first address of a host that accepts the connection.

    Parameters
    ----------
    address : str
        ``host:port``.

    Returns
    -------
    socket.socket
        The connected socket, which doesn't block.

    Raises
    ------
    OSError
        If the address is malformed, or no connection is made.
    """
    try:
        host, port = split_address(address)
    except BadBoundary as error:
        raise ConnectionError(str(error)) from error
    try:
        found = await trio.socket.getaddrinfo(host, port, type=socket.SOCK_STREAM)
    except UnicodeError as error:
        raise ConnectionError(f"{host!r} is not a host name") from error
    failure: OSError | None = None
    for family, kind, protocol, _, resolved in found:
        try:
            return await _connect_socket(
                socket.socket(family, kind, protocol), resolved
            )
        except OSError as error:
            failure = error
    raise failure or ConnectionError(f"{host!r} has no address")


async def _connect_socket(connecting: socket.socket, address: Any) -> socket.socket:
    try:
        connecting.setblocking(False)
        for level, option, value in SOCKET_OPTIONS:
            connecting.setsockopt(level, option, value)
        number = connecting.connect_ex(address)
        if number == errno.EINPROGRESS:
            await trio.lowlevel.wait_writable(connecting)
            number = connecting.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if number:
            raise OSError(number, os.strerror(number))
    except BaseException:
        connecting.close()
        raise
    return connecting
