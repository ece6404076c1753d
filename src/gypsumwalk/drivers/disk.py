"""Durable storage in a data folder on a local disk."""

import os
from collections.abc import Sequence
from pathlib import Path

from gypsumwalk.effects import (
    AppendRecords,
    DiskOperation,
    TruncateRecords,
    WriteFile,
)
from gypsumwalk.errors import CorruptRecord, DiskFailure
from gypsumwalk.frames import encode_frame, scan_frames
from gypsumwalk.recovery import Recovered

__all__ = ["FolderDisk"]

RECORDS_SUFFIX = ".records"
FILE_SUFFIX = ".file"
TEMPORARY_SUFFIX = ".temporary"
FOLDER_MODE = 0o700
FILE_MODE = 0o600


class FolderDisk:
    """Files of one data folder; every write is synced before it is acknowledged.

    After one failed write all further writes fail, because the content of the disk
    after a failed sync is unknown until the next recovery.

    Parameters
    ----------
    folder : str
        Path of the folder; created if it does not exist.
    """

    def __init__(self, folder: str) -> None:
        self._folder = Path(folder)
        self._frame_ends: dict[str, list[tuple[int, int]]] = {}
        self._descriptors: dict[str, int] = {}
        self._failed = False

    def recover(self) -> Recovered:
        """Read all files and truncate torn writes at the end of record files.

        Returns
        -------
        Recovered
            Records and files of the folder.

        Raises
        ------
        CorruptRecord
            If a record before the end of a record file, or a single-frame file, is
            corrupt.
        DiskFailure
            If the folder can't be read or written.
        """
        try:
            self._folder.mkdir(FOLDER_MODE, parents=True, exist_ok=True)
            _sync_folder(self._folder.parent)
            for path in self._folder.glob(f"*{TEMPORARY_SUFFIX}"):
                path.unlink()
            records = {
                path.name.removesuffix(RECORDS_SUFFIX): self._recover_records(path)
                for path in sorted(self._folder.glob(f"*{RECORDS_SUFFIX}"))
            }
            files = {
                path.name.removesuffix(FILE_SUFFIX): _recover_file(path)
                for path in sorted(self._folder.glob(f"*{FILE_SUFFIX}"))
            }
            _sync_folder(self._folder)
        except OSError as error:
            raise DiskFailure(str(error)) from error
        return Recovered(records, files)

    def write(self, operations: Sequence[DiskOperation]) -> None:
        """Apply operations in order and sync each.

        Parameters
        ----------
        operations : Sequence[DiskOperation]
            The operations.

        Raises
        ------
        DiskFailure
            If an operation failed, or an earlier write did.
        """
        if self._failed:
            raise DiskFailure("refused: an earlier write to the data folder failed")
        try:
            for operation in operations:
                self._apply(operation)
        except OSError as error:
            self._failed = True
            raise DiskFailure(str(error)) from error

    def close(self) -> None:
        """Close the open record files."""
        for descriptor in self._descriptors.values():
            os.close(descriptor)
        self._descriptors.clear()

    def _apply(self, operation: DiskOperation) -> None:
        match operation:
            case AppendRecords(file=file, records=records):
                self._append(file, records)
            case TruncateRecords(file=file, keep=keep):
                self._truncate(file, keep)
            case WriteFile(file=file, content=content):
                path = self._folder / f"{file}{FILE_SUFFIX}"
                self._replace(path, encode_frame([content]))

    def _append(self, file: str, records: tuple[bytes, ...]) -> None:
        if not records:
            return
        descriptor = self._open(file)
        count, size = self._find_end(file)
        _write_all(descriptor, encode_frame(records), size)
        os.fdatasync(descriptor)
        end = os.fstat(descriptor).st_size
        self._frame_ends[file].append((count + len(records), end))

    def _truncate(self, file: str, keep: int) -> None:
        descriptor = self._open(file)
        ends = [end for end in self._frame_ends[file] if end[0] <= keep]
        count, size = ends[-1] if ends else (0, 0)
        if count < min(keep, self._find_end(file)[0]):
            self._rewrite(file, keep)
            return
        os.ftruncate(descriptor, size)
        os.fsync(descriptor)
        self._frame_ends[file] = ends

    def _rewrite(self, file: str, keep: int) -> None:
        path = self._folder / f"{file}{RECORDS_SUFFIX}"
        scan = scan_frames(path.read_bytes(), path.name)
        kept = [record for frame in scan.frames for record in frame.records][:keep]
        os.close(self._descriptors.pop(file))
        frame = encode_frame(kept)
        self._replace(path, frame)
        self._frame_ends[file] = [(len(kept), len(frame))]

    def _replace(self, path: Path, content: bytes) -> None:
        temporary = path.with_name(path.name + TEMPORARY_SUFFIX)
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC
        descriptor = os.open(temporary, flags, FILE_MODE)
        try:
            _write_all(descriptor, content, 0)
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
        os.replace(temporary, path)
        _sync_folder(self._folder)

    def _open(self, file: str) -> int:
        if file in self._descriptors:
            return self._descriptors[file]
        path = self._folder / f"{file}{RECORDS_SUFFIX}"
        descriptor = os.open(path, os.O_RDWR | os.O_CREAT, FILE_MODE)
        _sync_folder(self._folder)
        self._descriptors[file] = descriptor
        self._frame_ends.setdefault(file, [])
        return descriptor

    def _find_end(self, file: str) -> tuple[int, int]:
        ends = self._frame_ends[file]
        return ends[-1] if ends else (0, 0)

    def _recover_records(self, path: Path) -> tuple[bytes, ...]:
        content = path.read_bytes()
        scan = scan_frames(content, path.name)
        if scan.length < len(content):
            descriptor = os.open(path, os.O_RDWR)
            try:
                os.ftruncate(descriptor, scan.length)
                os.fsync(descriptor)
            finally:
                os.close(descriptor)
        count = 0
        ends = []
        for frame in scan.frames:
            count += len(frame.records)
            ends.append((count, frame.end))
        self._frame_ends[path.name.removesuffix(RECORDS_SUFFIX)] = ends
        return tuple(record for frame in scan.frames for record in frame.records)


def _recover_file(path: Path) -> bytes:
    content = path.read_bytes()
    scan = scan_frames(content, path.name)
    if len(scan.frames) != 1 or scan.length != len(content):
        raise CorruptRecord(f"{path.name}: expected exactly one complete frame")
    return scan.frames[0].records[0]


def _write_all(descriptor: int, content: bytes, position: int) -> None:
    view = memoryview(content)
    while view:
        written = os.pwrite(descriptor, view, position)
        position += written
        view = view[written:]


def _sync_folder(folder: Path) -> None:
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
