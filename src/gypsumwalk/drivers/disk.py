"""Durable storage in a data folder on a local disk."""

import errno
import os
import threading
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from pathlib import Path

from gypsumwalk.effects import (
    AppendRecords,
    DiskOperation,
    KeepRecords,
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

    A file of records is not written again after a failed write, nor after a restart,
    because what it holds after the last good sync is unknown: a later sync may succeed
    without what a failed one dropped. Whoever writes goes on in a new file.

    Once the folder was written to, another one in its place is refused, and so is one
    from which files were deleted. The former may return, and a process that starts with
    it would lack what the other one holds.

    Parameters
    ----------
    folder : str
        Path of the folder; created if it does not exist.
    """

    def __init__(self, folder: str) -> None:
        self._folder = Path(folder)
        self._frame_ends: dict[str, list[tuple[int, int]]] = {}
        self._descriptors: dict[str, int] = {}
        self._closed_files: set[str] = set()
        self._new_parents: set[Path] = set()
        """Folders above this one that were created; their entries may be unsynced."""
        self._folder_descriptor: int | None = None
        """Keeps the number of the folder's inode from being used again."""
        self._replaced_files: set[str] = set()
        """Files that were written as a whole, and have to be there since."""
        self._lock = threading.Lock()

    def recover(self) -> Recovered:
        """Read all files, without the torn writes at the end of record files.

        Nothing is written, so that a process can start while its disk is full.

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
            If the folder can't be read.
        """
        try:
            records = {
                path.name.removesuffix(RECORDS_SUFFIX): self._recover_records(path)
                for path in self._list(RECORDS_SUFFIX)
            }
            files = {
                path.name.removesuffix(FILE_SUFFIX): _recover_file(path)
                for path in self._list(FILE_SUFFIX)
            }
        except OSError as error:
            raise DiskFailure(str(error)) from error
        return Recovered(records, files, is_synced=not records and not files)

    def write(self, operations: Sequence[DiskOperation]) -> None:
        """Apply operations in order and sync each, after the writes of other threads.

        Parameters
        ----------
        operations : Sequence[DiskOperation]
            The operations.

        Raises
        ------
        DiskFailure
            If an operation failed, a file of records may not be synced, or the folder
            is not the one that was written to before.
        """
        with self._lock:
            try:
                self._prepare()
                for operation in operations:
                    self._apply(operation)
            except OSError as error:
                raise DiskFailure(f"{error}; {self._describe_size()}") from error

    def close(self) -> None:
        """Close the folder and the open record files."""
        for descriptor in self._descriptors.values():
            os.close(descriptor)
        self._descriptors.clear()
        if self._folder_descriptor is not None:
            os.close(self._folder_descriptor)
            self._folder_descriptor = None

    def _prepare(self) -> None:
        """Create the folder and remove temporaries of an earlier process, once."""
        if self._folder_descriptor is not None:
            self._check_folder(self._folder_descriptor)
            return
        self._make_folder()
        for path in self._list(TEMPORARY_SUFFIX):
            path.unlink()
        _sync_folder(self._folder)
        self._folder_descriptor = os.open(self._folder, os.O_RDONLY | os.O_DIRECTORY)

    def _make_folder(self) -> None:
        """Create the folder and those above it, and sync the entry of each."""
        parents = self._folder.parents
        self._new_parents.update(path for path in parents if not path.exists())
        self._folder.mkdir(FOLDER_MODE, parents=True, exist_ok=True)
        for path in [self._folder, *self._new_parents]:
            _sync_folder(path.parent)

    def _check_folder(self, descriptor: int) -> None:
        if not os.path.samestat(os.fstat(descriptor), os.stat(self._folder)):
            raise DiskFailure(f"refused: another folder is now at {self._folder}")
        names = [f"{file}{FILE_SUFFIX}" for file in self._replaced_files]
        names += [f"{file}{RECORDS_SUFFIX}" for file in self._descriptors]
        for name in names:
            if not (self._folder / name).exists():
                raise DiskFailure(f"refused: {name} was deleted from {self._folder}")

    def _describe_size(self) -> str:
        """Tell how much of a full disk this folder takes."""
        try:
            size = sum(entry.stat().st_size for entry in os.scandir(self._folder))
        except OSError as error:
            return f"the size of the folder is unknown: {error}"
        return f"the folder holds {size} bytes"

    def _list(self, suffix: str) -> list[Path]:
        try:
            names = sorted(os.listdir(self._folder))
        except FileNotFoundError:
            return []
        return [self._folder / name for name in names if name.endswith(suffix)]

    def _apply(self, operation: DiskOperation) -> None:
        match operation:
            case AppendRecords(file=file, records=records):
                with self._guard(file):
                    self._append(file, records)
            case TruncateRecords(file=file, keep=keep):
                with self._guard(file):
                    self._truncate(file, keep)
            case WriteFile(file=file, content=content):
                path = self._folder / f"{file}{FILE_SUFFIX}"
                self._replace(path, encode_frame([content]))
                self._replaced_files.add(file)
            case KeepRecords(file=file):
                self._remove_others(file)

    @contextmanager
    def _guard(self, file: str) -> Iterator[None]:
        """Write to a file of records, unless its content may not be synced."""
        if file in self._closed_files:
            raise DiskFailure(f"refused: the records in {file!r} may not be synced")
        try:
            yield
        except OSError:
            self._closed_files.add(file)
            self._forget(file)
            raise

    def _forget(self, file: str) -> None:
        self._frame_ends.pop(file, None)
        descriptor = self._descriptors.pop(file, None)
        if descriptor is not None:
            os.close(descriptor)

    def _remove_others(self, kept: str) -> None:
        for path in self._list(RECORDS_SUFFIX):
            file = path.name.removesuffix(RECORDS_SUFFIX)
            if file != kept:
                self._forget(file)
                path.unlink()
        _sync_folder(self._folder)

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
        kept = _read_records(path)[:keep]
        if len(kept) < keep:
            raise OSError(errno.EIO, f"{path.name}: {len(kept)} of {keep} records left")
        os.close(self._descriptors.pop(file))
        frame = encode_frame(kept)
        self._replace(path, frame)
        self._frame_ends[file] = [(len(kept), len(frame))]

    def _replace(self, path: Path, content: bytes) -> None:
        temporary = path.with_name(path.name + TEMPORARY_SUFFIX)
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC
        try:
            descriptor = os.open(temporary, flags, FILE_MODE)
            try:
                _write_all(descriptor, content, 0)
                os.fsync(descriptor)
            finally:
                os.close(descriptor)
            os.replace(temporary, path)
        except OSError:
            # Part of the content would take the space that is missing.
            temporary.unlink(missing_ok=True)
            raise
        _sync_folder(self._folder)

    def _open(self, file: str) -> int:
        if file in self._descriptors:
            return self._descriptors[file]
        path = self._folder / f"{file}{RECORDS_SUFFIX}"
        descriptor = os.open(path, os.O_RDWR | os.O_CREAT, FILE_MODE)
        self._descriptors[file] = descriptor
        _sync_folder(self._folder)
        self._frame_ends.setdefault(file, [])
        return descriptor

    def _find_end(self, file: str) -> tuple[int, int]:
        ends = self._frame_ends[file]
        return ends[-1] if ends else (0, 0)

    def _recover_records(self, path: Path) -> tuple[bytes, ...]:
        self._closed_files.add(path.name.removesuffix(RECORDS_SUFFIX))
        scan = scan_frames(path.read_bytes(), path.name)
        return tuple(record for frame in scan.frames for record in frame.records)


def _read_records(path: Path) -> list[bytes]:
    """Read back the records of a file that this process wrote."""
    try:
        scan = scan_frames(path.read_bytes(), path.name)
    except CorruptRecord as error:
        # Whoever wrote them still has them, and writes them anew after a failure.
        raise OSError(errno.EIO, str(error)) from error
    return [record for frame in scan.frames for record in frame.records]


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
