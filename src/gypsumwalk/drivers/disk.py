"""Data folder on a local disk."""

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
    """Files of one data folder, each synced before a write is acknowledged.

    After one failed write every further write fails too, as what a failed sync left
    on the disk is not known before the next recovery.

    Parameters
    ----------
    folder : str
        Path of the folder; it is made if it does not exist.
    """

    def __init__(self, folder: str) -> None:
        self._folder = Path(folder)
        self._ends: dict[str, list[tuple[int, int]]] = {}
        self._handles: dict[str, int] = {}
        self._failed = False

    def recover(self) -> Recovered:
        """Read everything and cut torn tails.

        Returns
        -------
        Recovered
            Content of the folder.

        Raises
        ------
        CorruptRecord
            If a record in the middle of a file, or a whole file, is damaged.
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
        """Carry out operations in order and sync each.

        Parameters
        ----------
        operations : Sequence[DiskOperation]
            The operations.

        Raises
        ------
        DiskFailure
            If one failed, now or earlier.
        """
        if self._failed:
            raise DiskFailure("an earlier write failed")
        try:
            for operation in operations:
                self._carry_out(operation)
        except OSError as error:
            self._failed = True
            raise DiskFailure(str(error)) from error

    def close(self) -> None:
        """Close the files."""
        for handle in self._handles.values():
            os.close(handle)
        self._handles.clear()

    def _carry_out(self, operation: DiskOperation) -> None:
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
        handle = self._open(file)
        count, size = self._last_end(file)
        _write_all(handle, encode_frame(records), size)
        os.fdatasync(handle)
        end = os.fstat(handle).st_size
        self._ends[file].append((count + len(records), end))

    def _truncate(self, file: str, keep: int) -> None:
        handle = self._open(file)
        ends = [end for end in self._ends[file] if end[0] <= keep]
        count, size = ends[-1] if ends else (0, 0)
        if count < min(keep, self._last_end(file)[0]):
            self._rewrite(file, keep)
            return
        os.ftruncate(handle, size)
        os.fsync(handle)
        self._ends[file] = ends

    def _rewrite(self, file: str, keep: int) -> None:
        path = self._folder / f"{file}{RECORDS_SUFFIX}"
        scan = scan_frames(path.read_bytes(), path.name)
        kept = [record for frame in scan.frames for record in frame.records][:keep]
        os.close(self._handles.pop(file))
        frame = encode_frame(kept)
        self._replace(path, frame)
        self._ends[file] = [(len(kept), len(frame))]

    def _replace(self, path: Path, content: bytes) -> None:
        temporary = path.with_name(path.name + TEMPORARY_SUFFIX)
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC
        handle = os.open(temporary, flags, FILE_MODE)
        try:
            _write_all(handle, content, 0)
            os.fsync(handle)
        finally:
            os.close(handle)
        os.replace(temporary, path)
        _sync_folder(self._folder)

    def _open(self, file: str) -> int:
        if file in self._handles:
            return self._handles[file]
        path = self._folder / f"{file}{RECORDS_SUFFIX}"
        handle = os.open(path, os.O_RDWR | os.O_CREAT, FILE_MODE)
        _sync_folder(self._folder)
        self._handles[file] = handle
        self._ends.setdefault(file, [])
        return handle

    def _last_end(self, file: str) -> tuple[int, int]:
        ends = self._ends[file]
        return ends[-1] if ends else (0, 0)

    def _recover_records(self, path: Path) -> tuple[bytes, ...]:
        content = path.read_bytes()
        scan = scan_frames(content, path.name)
        if scan.length < len(content):
            handle = os.open(path, os.O_RDWR)
            try:
                os.ftruncate(handle, scan.length)
                os.fsync(handle)
            finally:
                os.close(handle)
        count = 0
        ends = []
        for frame in scan.frames:
            count += len(frame.records)
            ends.append((count, frame.end))
        self._ends[path.name.removesuffix(RECORDS_SUFFIX)] = ends
        return tuple(record for frame in scan.frames for record in frame.records)


def _recover_file(path: Path) -> bytes:
    content = path.read_bytes()
    scan = scan_frames(content, path.name)
    if len(scan.frames) != 1 or scan.length != len(content):
        raise CorruptRecord(f"{path.name}: not one whole frame")
    return scan.frames[0].records[0]


def _write_all(handle: int, content: bytes, position: int) -> None:
    view = memoryview(content)
    while view:
        written = os.pwrite(handle, view, position)
        position += written
        view = view[written:]


def _sync_folder(folder: Path) -> None:
    handle = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)
