"""Cluster of real daemon processes whose disks and peers can fail."""

import shutil
import sys

import msgspec

from tests._disk_image import DiskImage
from tests._faulty_serve import Faults, read_faults, write_faults
from tests._real_cluster import STOP_SECONDS, RealCluster


class FaultyCluster(RealCluster):
    """Cluster of daemons whose disks and peers can fail."""

    def _make_command(self, name, settings):
        if not self._faults_path(name).exists():
            write_faults(self._faults_path(name), Faults())
        arguments = [settings, self._faults_path(name), *self._find_folders(name)]
        program = [sys.executable, "-m", "tests._faulty_serve"]
        return [*program, *(str(argument) for argument in arguments)]

    def set_faults(self, name, **faults):
        """Add faults of a daemon to those in force."""
        path = self._faults_path(name)
        write_faults(path, msgspec.structs.replace(read_faults(path), **faults))

    def end_faults(self, name):
        write_faults(self._faults_path(name), Faults())

    def wipe(self, name):
        for folder in self._find_folders(name):
            shutil.rmtree(folder, ignore_errors=True)

    def cut_power(self, random):
        """Kill all processes, and restore what a loss of power leaves on the disks."""
        for process in self.processes.values():
            process.kill()
        for name, process in self.processes.items():
            process.wait()
            DiskImage(*self._find_folders(name)).restore(random)

    def terminate(self, name):
        """End a process with SIGTERM, also one that is paused; return its exit code."""
        process = self.processes[name]
        process.terminate()
        self.resume(name)
        return process.wait(STOP_SECONDS)

    def answers(self, name):
        answer = self.call(name, "GET", "/v1/voters", timeout=1.0)
        return answer is not None and answer[0] == 200

    def _faults_path(self, name):
        return self.folder / f"{name}.faults"

    def _find_folders(self, name):
        return self.data_folder(name), self.folder / f"{name}.image"
