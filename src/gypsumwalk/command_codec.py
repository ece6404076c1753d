"""Encoding of commands for the replicated log, large ones compressed."""

import zlib
from functools import cache

import msgspec

from gypsumwalk.errors import UnknownMessage

__all__ = ["encode_command", "expand_command", "is_encoded_as"]

MIN_COMPRESSED_BYTES = 2048
"""Smaller commands are sent in one datagram as they are."""

MAX_COMMAND_BYTES = 32 * 1024 * 1024
"""Longest command after expansion; a declaration is at most 4 MiB."""

COMPRESSION_LEVEL = 1
ZLIB_HEADER = b"\x78"
"""First byte of a compressed command; an encoded struct begins with another one."""


def encode_command(command: msgspec.Struct) -> bytes:
    """Encode a command in MessagePack, and compress it if it is large.

    Parameters
    ----------
    command : msgspec.Struct
        The command, a tagged struct.

    Returns
    -------
    bytes
        The encoded command.
    """
    content = msgspec.msgpack.encode(command)
    if len(content) < MIN_COMPRESSED_BYTES:
        return content
    return zlib.compress(content, COMPRESSION_LEVEL)


def expand_command(content: bytes) -> bytes:
    """Return the MessagePack of an encoded command.

    Parameters
    ----------
    content : bytes
        The encoded command.

    Returns
    -------
    bytes
        Its MessagePack, the content itself if it is not compressed.

    Raises
    ------
    UnknownMessage
        If the content is damaged or longer than ``MAX_COMMAND_BYTES``.
    """
    if content[:1] != ZLIB_HEADER:
        return content
    expander = zlib.decompressobj()
    try:
        expanded = expander.decompress(content, MAX_COMMAND_BYTES)
    except zlib.error as error:
        raise UnknownMessage(f"compressed command: {error}") from error
    if not expander.eof:
        detail = f"is truncated, or longer than {MAX_COMMAND_BYTES} bytes"
        raise UnknownMessage(f"compressed command: {detail}")
    return expanded


def is_encoded_as(kind: type[msgspec.Struct], content: bytes) -> bool:
    """Tell whether an encoded command may be of a type, without decoding it.

    Parameters
    ----------
    kind : type
        Type of a command that is never large enough to be compressed.
    content : bytes
        The encoded command.

    Returns
    -------
    bool
        Whether the command begins with the tag of the type.
    """
    return content.startswith(_encode_tag(kind), 1)


@cache
def _encode_tag(kind: type[msgspec.Struct]) -> bytes:
    config = kind.__struct_config__
    return msgspec.msgpack.encode(config.tag_field) + msgspec.msgpack.encode(config.tag)
