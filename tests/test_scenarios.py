"""Tests that run every scenario file.

``python -m tests.test_scenarios --update`` writes the golden files, and ``--seeds N``
runs every scenario with N other seeds and prints the failures.
"""

import re
import sys
import unittest

from tests import (  # noqa: F401 - the modules register the verbs
    _scenario_callers,
    _scenario_expectations,
    _scenario_faults,
    _scenario_operators,
)
from tests._scenario_language import ScenarioError
from tests._scenario_runner import FOLDER, BrokenPromise, run_scenario, run_text

SCENARIOS = sorted(FOLDER.glob("*.txt"))


class TestScenarios(unittest.TestCase):
    """One test per scenario file, added below."""


def _add_test(path):
    def run(self):
        run_scenario(path)

    name = "test_" + path.stem.replace("-", "_")
    run.__name__ = name
    setattr(TestScenarios, name, run)


for _path in SCENARIOS:
    _add_test(_path)


def _update():
    for path in SCENARIOS:
        run_scenario(path, update_goldens=True)


def _run_seeds(count):
    failures = 0
    for seed in range(2, count + 2):
        for path in SCENARIOS:
            text = re.sub(r"(?m)^(world \S+).*$", rf"\1 seed={seed}", path.read_text())
            try:
                run_text(text.replace("golden ", "# golden "), path.name)
            except (BrokenPromise, ScenarioError) as error:
                failures += 1
                print(f"seed {seed}: {path.name}: {type(error).__name__}: {error}")
    print(f"{count} seeds of {len(SCENARIOS)} scenarios, {failures} failures")


if __name__ == "__main__":
    if "--update" in sys.argv:
        _update()
    elif "--seeds" in sys.argv:
        _run_seeds(int(sys.argv[sys.argv.index("--seeds") + 1]))
    else:
        unittest.main()
