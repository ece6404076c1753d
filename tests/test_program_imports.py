"""Tests that programs load only what they use, as they have to start fast."""

import subprocess
import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).parent.parent
FOLDERS = [str(ROOT / "platform"), str(ROOT / "src")]
TIMEOUT_SECONDS = 60


def list_loaded(module):
    """Return the names of all modules that importing one in a new process loads."""
    code = f"import sys; sys.path[:0] = {FOLDERS}; import {module}; print(*sys.modules)"
    command = [sys.executable, "-c", code]
    result = subprocess.run(
        command, capture_output=True, text=True, timeout=TIMEOUT_SECONDS, check=True
    )
    return set(result.stdout.split())


class TestProgramImports(unittest.TestCase):
    # Restarted entries were half as fast to take calls, for modules they never use.
    def test_an_entry_loads_neither_the_event_loop_nor_the_parts_of_a_node(self):
        loaded = list_loaded("entry")
        assert "gypsumwalk.drivers.relay" in loaded
        for name in ("trio", "gypsumwalk.consensus", "gypsumwalk.fleet_assembly"):
            assert name not in loaded, name

    def test_a_control_daemon_does_not_load_the_parts_of_the_standard_one(self):
        loaded = list_loaded("control")
        assert "gypsumwalk.fleet_assembly" in loaded
        for name in ("gypsumwalk.assembly", "gypsumwalk.drivers.standard_factory"):
            assert name not in loaded, name


if __name__ == "__main__":
    unittest.main()
