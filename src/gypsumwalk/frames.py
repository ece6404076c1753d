"""Checksummed frames of records, and the scan that recovers them from a file."""

import struct
import zlib
from collections.abc import Sequence
from dataclasses import dataclass

import msgspec

from gypsumwalk.errors import CorruptRecord

__all__ = ["Frame", "Scan", "encode_frame", "scan_frames"]

MAGIC = b"GWF1"
HEADER = struct.Struct(">4sII")
MAX_FRAME_BYTES = 256 * 1024 * 1024

_decoder = msgspec.msgpack.Decoder(tuple[bytes, ...])


@dataclass(frozen=True, slots=True)
class Frame:
    """Records that were appended together, and the end offset of their frame."""

    records: tuple[bytes, ...]
    end: int


@dataclass(frozen=True, slots=True)
class Scan:
    """Intact frames of a file.

    Attributes
    ----------
    frames : tuple of Frame
        The frames in order.
    length : int
        Bytes of the intact frames; a torn tail begins at this offset.
    """

    frames: tuple[Frame, ...]
    length: int


def encode_frame(records: Sequence[bytes]) -> bytes:
    """Encode records that are appended together under one checksum.

    Parameters
    ----------
    records : Sequence[bytes]
        The records.

    Returns
    -------
    bytes
        The frame.
    """
    payload = msgspec.msgpack.encode(tuple(records))
    checksum = zlib.crc32(payload, zlib.crc32(struct.pack(">I", len(payload))))
    return HEADER.pack(MAGIC, len(payload), checksum) + payload


def scan_frames(content: bytes, file: str) -> Scan:
    """Return the intact frames of a file.

    A frame is synced before the next one is written, so only the last one can be
    torn. A damaged frame followed by an intact one was corrupted after its sync.

    Parameters
    ----------
    content : bytes
        The file.
    file : str
        Name of the file, for error messages.

    Returns
    -------
    Scan
        The intact frames before a torn tail.

    Raises
    ------
    CorruptRecord
        If an intact frame follows a damaged one.
    """
    frames = []
    position = 0
    while frame := _read_frame(content, position):
        frames.append(frame)
        position = frame.end
    if _has_frame(content, position + 1):
        detail = f"damaged frame at byte {position}, followed by an intact one"
        raise CorruptRecord(f"{file}: {detail}")
    return Scan(tuple(frames), position)


def _read_frame(content: bytes, position: int) -> Frame | None:
    start = position + HEADER.size
    if start > len(content):
        return None
    magic, length, checksum = HEADER.unpack_from(content, position)
    end = start + length
    if magic != MAGIC or length > MAX_FRAME_BYTES or end > len(content):
        return None
    payload = content[start:end]
    if zlib.crc32(payload, zlib.crc32(struct.pack(">I", length))) != checksum:
        return None
    try:
        return Frame(_decoder.decode(payload), end)
    except msgspec.MsgspecError:
        return None


def _has_frame(content: bytes, position: int) -> bool:
    while (position := content.find(MAGIC, position)) >= 0:
        if _read_frame(content, position):
            return True
        position += 1
    return False
