"""Program that runs ``gypsumwalk serve`` on a disk and a network with faults.

``python -m tests._faulty_serve SETTINGS FAULTS DATA IMAGE`` runs the daemon of the
settings file. The faults in force are read from the file ``FAULTS``, see ``Faults``.
After each sync that succeeded, ``IMAGE`` holds what a loss of power would leave of the
folder ``DATA``, see ``tests._disk_image``.
"""

import errno
import os
import sys
import time
from pathlib import Path
from unittest import mock

import msgspec

from gypsumwalk.command import main
from gypsumwalk.drivers import disk
from gypsumwalk.drivers.peers import PeerNetwork
from tests._disk_image import DiskImage

POLL_SECONDS = 0.02


class Faults(msgspec.Struct):
    """Faults of one daemon that are in force.

    Attributes
    ----------
    is_full : bool
        Whether writes to the data folder store a part and fail.
    is_failing : bool
        Whether syncs fail and drop what was written.
    is_stalled : bool
        Whether writes and syncs wait until this ends.
    sync_seconds : float
        Time that each sync takes in addition.
    is_cut_off : bool
        Whether no message reaches or leaves the peers.
    """

    is_full: bool = False
    is_failing: bool = False
    is_stalled: bool = False
    sync_seconds: float = 0.0
    is_cut_off: bool = False


def write_faults(path, faults):
    """Replace the file of faults as a whole."""
    temporary = path.with_name(path.name + ".new")
    temporary.write_bytes(msgspec.json.encode(faults))
    temporary.replace(path)


def read_faults(path):
    return msgspec.json.decode(path.read_bytes(), type=Faults)


class FaultyOs:
    """Module ``os`` as the data folder uses it, with the faults in force.

    A write that is stalled is carried out once the stall ends, however late.
    """

    def __init__(self, faults_path, image):
        self._faults_path = faults_path
        self._image = image

    def __getattr__(self, name):
        return getattr(os, name)

    def pwrite(self, descriptor, content, position):
        if self._await_disk().is_full:
            os.pwrite(descriptor, content[: len(content) // 2], position)
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        return os.pwrite(descriptor, content, position)

    def ftruncate(self, descriptor, size):
        self._await_disk()
        os.ftruncate(descriptor, size)

    def replace(self, source, destination):
        self._await_disk()
        os.replace(source, destination)

    def fsync(self, descriptor):
        self._sync(descriptor, os.fsync)

    def fdatasync(self, descriptor):
        self._sync(descriptor, os.fdatasync)

    def _sync(self, descriptor, sync):
        faults = self._await_disk()
        time.sleep(faults.sync_seconds)
        if faults.is_failing:
            self._image.drop(descriptor)
            raise OSError(errno.EIO, os.strerror(errno.EIO))
        sync(descriptor)
        self._image.record(descriptor)

    def _await_disk(self):
        while (faults := read_faults(self._faults_path)).is_stalled:
            time.sleep(POLL_SECONDS)
        return faults


def cut_off_peers(faults_path):
    """Drop every message from and to the peers while the daemon is cut off."""
    send, deliver = PeerNetwork.send, PeerNetwork._deliver

    def send_unless_cut_off(network, recipient, body, **options):
        if not read_faults(faults_path).is_cut_off:
            send(network, recipient, body, **options)

    def deliver_unless_cut_off(network, envelope, body):
        if not read_faults(faults_path).is_cut_off:
            deliver(network, envelope, body)

    mock.patch.object(PeerNetwork, "send", send_unless_cut_off).start()
    mock.patch.object(PeerNetwork, "_deliver", deliver_unless_cut_off).start()


def serve(settings, faults_path, data_folder, image_folder):
    image = DiskImage(data_folder, image_folder)
    mock.patch.object(disk, "os", FaultyOs(faults_path, image)).start()
    cut_off_peers(faults_path)
    sys.argv = ["gypsumwalk", "serve", settings]
    main()


if __name__ == "__main__":
    serve(sys.argv[1], *map(Path, sys.argv[2:]))
