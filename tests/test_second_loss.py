"""Tests of a second loss on the heels of the first, on six core daemons.

Each daemon is alone in its data centre, and two disks or one data centre may be lost at
the same time. A second loss follows as soon as the first one counts no longer.
"""

import unittest
from itertools import product

from tests._fleet_work import FleetWorld, make_declaration

JOBS = [f"{number:016x}" for number in range(1, 4)]
CATCH_UP_SECONDS = 6.0
DOWN_SECONDS = 0.8
RECOVERY_SECONDS = 15.0


class LossyWorld:
    """A world with six daemons in which losses strike right after acknowledgements."""

    def __init__(self, seed):
        self.world = FleetWorld(
            seed, task_seconds=60.0, daemons=6, data_centres=6, disk_losses=2
        )
        self.world.begin()
        self.world.run(CATCH_UP_SECONDS)
        self.version = 1
        self.jobs = []

    def acknowledge(self):
        """Have a declaration and a job accepted."""
        self.version += 1
        assert self.world.declare(make_declaration(self.version)).status == 200
        job = JOBS[len(self.jobs)]
        assert self.world.submit(job).status == 200
        self.jobs.append(job)

    def lose_two_disks(self):
        world = self.world
        leader = world.find_leader()
        voters = sorted(world.get_leader().consensus.replica.voters)
        wiped = [leader, next(name for name in voters if name != leader)]
        for name in wiped:
            world.lose_disk(name)
        world.run(DOWN_SECONDS)
        for name in wiped:
            world.restart(name)

    def replace_leader(self):
        """Remove the leader's machine for good, and add one with an empty disk."""
        world = self.world
        leader = world.find_leader()
        world.kill(leader)
        world.names.remove(leader)
        world.run(DOWN_SECONDS)
        world.add_daemon(f"new-{leader}", world.data_centres[leader])

    def lose_power(self):
        self.world.lose_power()

    def check(self):
        world = self.world
        assert world.run_until(world.find_leader, within=RECOVERY_SECONDS)
        answer = world.read_declaration()
        assert answer.status == 200
        assert answer.body.source == f"source {self.version}", answer.body.source
        for job in self.jobs:
            assert world.get_state(job), job


LOSSES = ("lose_two_disks", "replace_leader", "lose_power")


class TestSecondLoss(unittest.TestCase):
    def test_nothing_accepted_is_lost_in_any_order_of_two_losses(self):
        for number, (first, second) in enumerate(product(LOSSES, LOSSES)):
            for seed in (2 * number, 2 * number + 1):
                with self.subTest(first=first, second=second, seed=seed):
                    self.strike(seed, first, second)

    def strike(self, seed, *losses):
        lossy = LossyWorld(seed)
        for loss in losses:
            lossy.acknowledge()
            getattr(lossy, loss)()
            lossy.check()
            lossy.world.run(CATCH_UP_SECONDS)
        lossy.acknowledge()
        lossy.check()


if __name__ == "__main__":
    unittest.main()
