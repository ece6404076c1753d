"""Addresses of servers in the form ``host:port``."""

from gypsumwalk.errors import BadBoundary

__all__ = ["split_address"]

MAX_PORT = 65_535
MAX_PORT_DIGITS = 5


def split_address(address: str) -> tuple[str, int]:
    """Split an address into its host and its port.

    Parameters
    ----------
    address : str
        ``host:port``; an IPv6 address stands in brackets.

    Returns
    -------
    tuple of str and int
        Host without brackets, and port.

    Raises
    ------
    BadBoundary
        If there is no host, or no port from 1 to 65535.
    """
    host, _, port = address.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    is_number = port.isascii() and port.isdecimal() and len(port) <= MAX_PORT_DIGITS
    if not host or not is_number or not 1 <= int(port) <= MAX_PORT:
        raise BadBoundary(f"expected host:port, found {address!r}")
    return host, int(port)
