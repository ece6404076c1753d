"""Tests of a leader that applies its log after all daemons lost power together."""

import unittest
from collections import Counter

from gypsumwalk.declaration_records import Resources
from gypsumwalk.effects import CallPlatform, Record
from gypsumwalk.events import Event
from gypsumwalk.fleet_calls import LeaveInstanceCall
from gypsumwalk.instance_actions import StopRun
from gypsumwalk.workload_records import Step
from tests._fleet_work import FleetWorld
from tests._fleet_work_checks import find_duplicate_runs

JOBS = 30
CANCELLED_JOBS = 10
ENDED_LIVES = 4


def make_world():
    """Return a world with a log of ended jobs, cancelled jobs and ended instances."""
    world = FleetWorld(instances=8, task_seconds=0.5)
    world.begin()
    for number in range(JOBS):
        world.submit(f"{number:016x}", [Step(4, Resources(1000, 1000))])
    for number in range(CANCELLED_JOBS):
        world.cancel(f"{number:016x}")
    for number in range(ENDED_LIVES):
        instance = world.get_instance(number)
        world.model.crash(instance, world.now)
        world.ask(LeaveInstanceCall(instance.registered.instance))
        world.start_instance(number, life=2)
    assert world.await_state(f"{JOBS - 1:016x}", "completed")
    world.run(3.0)
    return world


def restart_all(world):
    """Let all daemons lose power, and return the trace since a daemon leads again."""
    for name in world.names:
        world.kill(name)
    world.run(1.0)
    begin = len(world.trace)
    for name in world.names:
        world.restart(name)
    assert world.run_until(world.find_leader, within=10.0)
    world.run(2.0)
    return [entry.effect for entry in world.trace[begin:]]


class TestRestartOfAllDaemons(unittest.TestCase):
    """The whole log is committed again at once, by the first entry of the new term."""

    # The leader handled each command of the log as a new one, for longer than its
    # lease, so that another daemon was elected and did the same.
    def test_commands_of_before_the_takeover_have_no_effects_again(self):
        world = make_world()
        effects = restart_all(world)
        events = Counter(
            effect.event for effect in effects if isinstance(effect, Record)
        )
        assert events[Event.FLEET_TAKEN_OVER] == 1, events
        assert events[Event.RUN_ENDED] == 0, events
        assert events[Event.RUNS_LOST] == 0, events
        assert events[Event.INSTANCE_REMOVED] == 0, events
        stops = [
            effect
            for effect in effects
            if isinstance(effect, CallPlatform) and isinstance(effect.action, StopRun)
        ]
        assert stops == []

    def test_work_goes_on_after_the_takeover(self):
        world = make_world()
        world.submit("a" * 16, [Step(4, Resources(1000, 1000))])
        restart_all(world)
        world.submit("b" * 16, [Step(4, Resources(1000, 1000))])
        for job in ("a" * 16, "b" * 16):
            assert world.await_state(job, "completed")
        assert find_duplicate_runs(world.model.history) == []


if __name__ == "__main__":
    unittest.main()
