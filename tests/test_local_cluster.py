"""Tests of the processes that the examples and the benchmarks start."""

import re
import subprocess
import sys
import tempfile
import unittest
from importlib.util import find_spec
from pathlib import Path

from examples._local_cluster import (
    LocalCluster,
    LocalClusterError,
    allocate_daemon,
    find_free_port,
    wait_until,
)

ROOT = Path(__file__).parent.parent
TIMEOUT_SECONDS = 60
MODULE_ARGUMENT = re.compile(r'"-m",\s*"([\w.]+)"')
MODULE_COMMAND = re.compile(r"python3? -m ([\w.]+)")
STARTING_FOLDERS = ("examples", "bench", "tests")
PAGES = ("README.md", "CONTRIBUTING.md", "DEVELOPERS.md", "Makefile")
EXTERNAL = {"unittest", "pip"}


def list_started_modules():
    """Return every module that the code, the pages or the Makefile run with ``-m``."""
    texts = [(ROOT / name).read_text() for name in PAGES]
    for folder in STARTING_FOLDERS:
        texts += [path.read_text() for path in (ROOT / folder).glob("*.py")]
    found = set()
    for text in texts:
        found |= set(MODULE_ARGUMENT.findall(text)) | set(MODULE_COMMAND.findall(text))
    return sorted(found - EXTERNAL)


def make_cluster(folder):
    daemon = allocate_daemon("seoul-1", "seoul")
    return LocalCluster(Path(folder), [daemon], find_free_port(), voters=1)


class TestLocalCluster(unittest.TestCase):
    # The module that started the daemons had lost its entry point, and the demo waited
    # 20 s for processes that had ended at once.
    def test_every_kind_of_process_starts(self):
        with tempfile.TemporaryDirectory() as folder:
            cluster = make_cluster(folder)
            self.addCleanup(cluster.stop_all)
            cluster.start_platform()
            cluster.start_daemon(cluster.daemons[0])
            cluster.await_daemons()
            cluster.start_target("t0", "seoul", "seat-holds")
            wait_until(
                lambda: cluster.add_instances(["i0"]), "the platform to answer", 10.0
            )
            for name, process in cluster.processes.items():
                assert process.poll() is None, name
            assert cluster.stop("seoul-1") == 0

    def test_a_daemon_that_ends_is_named_with_its_exit_code_and_log(self):
        with tempfile.TemporaryDirectory() as folder:
            cluster = make_cluster(folder)
            self.addCleanup(cluster.stop_all)
            # A file in the place of the data folder.
            (cluster.folder / "data-seoul-1").write_text("")
            cluster.start_daemon(cluster.daemons[0])
            with self.assertRaises(LocalClusterError) as caught:
                cluster.await_daemons()
        message = str(caught.exception)
        assert message.startswith("seoul-1 ended with exit code 1"), message
        assert "data-seoul-1" in message, message


class TestStartedModules(unittest.TestCase):
    def test_every_module_that_is_run_has_an_entry_point(self):
        modules = list_started_modules()
        assert "examples.demo" in modules
        assert "gypsumwalk" in modules
        for module in modules:
            with self.subTest(module=module):
                spec = find_spec(module)
                assert spec is not None, module
                if spec.submodule_search_locations is not None:
                    spec = find_spec(f"{module}.__main__")
                text = Path(spec.origin).read_text()
                assert 'if __name__ == "__main__":' in text, module

    def test_every_program_of_the_examples_and_the_bench_can_be_imported(self):
        modules = [
            name
            for name in list_started_modules()
            if name.startswith(("examples.", "bench."))
        ]
        result = subprocess.run(
            [sys.executable, "-c", "import " + ", ".join(modules)],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=TIMEOUT_SECONDS,
        )
        assert result.returncode == 0, result.stderr


if __name__ == "__main__":
    unittest.main()
