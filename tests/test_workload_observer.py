"""Tests that followers learn bursts and task durations from the log."""

import unittest

from gypsumwalk.declaration_records import Resources
from gypsumwalk.workload_records import Step
from tests._fleet_work import FleetWorld

STEP = Step(4, Resources(4000, 1000), estimate=1.0)
BURST_SECONDS = 1.5
JOBS = 12


def find_part(world, name, part):
    parts = world.assemblies[name].node._parts
    return next(item for item in parts if item.name == part)


def find_expected(world, name):
    forecast = find_part(world, name, "history")._forecast
    return forecast.find_expected(
        "service-a", world.daemons[name].read_clock(world.now)
    )


def submit_burst(world):
    for number in range(JOBS):
        world.submit(f"{number:016x}", [STEP])
        world.run(BURST_SECONDS / JOBS)


class TestWorkloadObserver(unittest.TestCase):
    """The leader is killed during a burst of arrivals."""

    def test_a_new_leader_knows_the_burst_that_began_before_its_term(self):
        world = FleetWorld(instances=6)
        world.begin()
        submit_burst(world)
        old = world.find_leader()
        before = find_expected(world, old)
        assert before > 0
        world.kill(old)
        world.run_until(world.find_leader, within=5.0)
        new = world.find_leader()
        assert new != old
        queue = find_part(world, new, "history")._forecast._queues["service-a"]
        assert queue.in_burst or queue.had_burst
        assert queue.peak > 0.5 * before

    def test_every_daemon_learns_the_duration_of_tasks(self):
        world = FleetWorld(instances=6, task_seconds=0.7)
        world.begin()
        submit_burst(world)
        world.run(10.0)
        for name in world.names:
            scheduler = world.assemblies[name].scheduler
            assert 0.7 <= scheduler._urgency.find_mean_duration("queue-a") < 0.9

    # The jobs of the last 6 s counted as arriving when the daemon applied them, all at
    # once, and the rate was kept as the peak of a burst.
    def test_a_daemon_that_catches_up_sees_the_rates_that_the_leader_saw(self):
        world = FleetWorld(instances=6)
        world.begin()
        follower = next(name for name in world.names if name != world.find_leader())
        world.kill(follower)
        submit_burst(world)
        world.restart(follower)
        world.run(1.0)
        peaks = [
            find_part(world, name, "history")._forecast._queues["service-a"].peak
            for name in (world.find_leader(), follower)
        ]
        assert peaks[0] > 0
        assert 0.7 * peaks[0] <= peaks[1] <= 1.3 * peaks[0], peaks

    def test_a_restarted_daemon_sees_no_burst_in_replayed_entries(self):
        world = FleetWorld(instances=6)
        world.begin()
        submit_burst(world)
        world.run(20.0)
        follower = next(name for name in world.names if name != world.find_leader())
        world.kill(follower)
        world.restart(follower)
        world.run(3.0)
        assert find_expected(world, follower) == 0
        mean = world.assemblies[follower].scheduler._urgency.find_mean_duration(
            "queue-a"
        )
        assert 0.4 < mean < 0.8


if __name__ == "__main__":
    unittest.main()
