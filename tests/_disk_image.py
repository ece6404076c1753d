"""Image of a folder as a loss of power would leave it, for tests of real processes.

A file keeps what was written before its last good sync, and any part of what was
appended after it. A name that was created, replaced or removed lasts once the folder
was synced; without that sync it may last or not.
"""

import json
import os
import shutil
import stat
from pathlib import Path

NAMES_FILE = "names.json"


class DiskImage:
    """Record of what was synced, which outlives the process that writes it.

    Each file is known by the number of its inode, which a link in the image keeps from
    being used again.

    Parameters
    ----------
    data_folder : Path
        The folder; others are ignored.
    image_folder : Path
        Folder of the record on the same file system; created if it does not exist.
    """

    def __init__(self, data_folder, image_folder):
        self._data_folder = data_folder
        self._names = image_folder / NAMES_FILE
        self._links = image_folder / "links"
        self._contents = image_folder / "contents"
        self._dropped = image_folder / "dropped"
        for folder in (self._links, self._contents, self._dropped):
            folder.mkdir(parents=True, exist_ok=True)

    def record(self, descriptor):
        """Record that a file or the folder was synced."""
        status = os.fstat(descriptor)
        if stat.S_ISDIR(status.st_mode):
            if os.path.samestat(status, self._data_folder.parent.stat()):
                return
            self._record_names()
            return
        key = self._link(descriptor)
        if not (self._dropped / key).exists():
            path = Path(f"/proc/self/fd/{descriptor}")
            _write_whole(self._contents / key, path.read_bytes())

    def drop(self, descriptor):
        """Record that a sync failed: what a file got since the last one is lost.

        A later sync succeeds without these bytes, so it does not change the record.
        """
        if not stat.S_ISDIR(os.fstat(descriptor).st_mode):
            (self._dropped / self._link(descriptor)).touch()

    def restore(self, random):
        """Put the folder into a state that a loss of power may leave.

        Parameters
        ----------
        random : Random
            Chooses among these states.
        """
        names = json.loads(self._names.read_text()) if self._names.exists() else {}
        if names and random.random() < 0.5:
            names = self._list_names()
        contents = {
            name: self._choose_content(name, key, random)
            for name, key in sorted(names.items())
        }
        if self._data_folder.exists():
            shutil.rmtree(self._data_folder)
        if not self._names.exists():
            return
        self._data_folder.mkdir(mode=0o700)
        for name, content in contents.items():
            (self._data_folder / name).write_bytes(content)
        self._reset()

    def _choose_content(self, name, key, random):
        synced_path, link = self._contents / key, self._links / key
        synced = synced_path.read_bytes() if synced_path.exists() else b""
        current = (link if link.exists() else self._data_folder / name).read_bytes()
        if (self._dropped / key).exists() or not current.startswith(synced):
            return synced
        tail = current[len(synced) :]
        return synced + tail[: random.randint(0, len(tail))]

    def _reset(self):
        """Record the folder as it is, as it was read from the disk."""
        for folder in (self._links, self._contents, self._dropped):
            for path in folder.iterdir():
                path.unlink()
        self._record_names()
        for name, key in self._list_names().items():
            content = (self._data_folder / name).read_bytes()
            _write_whole(self._contents / key, content)

    def _record_names(self):
        names = self._list_names()
        for name, key in names.items():
            self._link_path(self._data_folder / name, key)
        _write_whole(self._names, json.dumps(names).encode())
        for folder in (self._contents, self._dropped, self._links):
            for path in folder.iterdir():
                if path.name not in names.values():
                    path.unlink()

    def _list_names(self):
        return {
            path.name: str(path.stat().st_ino) for path in self._data_folder.iterdir()
        }

    def _link(self, descriptor):
        key = str(os.fstat(descriptor).st_ino)
        self._link_path(Path(os.readlink(f"/proc/self/fd/{descriptor}")), key)
        return key

    def _link_path(self, path, key):
        if not (self._links / key).exists():
            os.link(path, self._links / key)


def _write_whole(path, content):
    temporary = path.with_name(path.name + ".new")
    temporary.write_bytes(content)
    temporary.replace(path)
