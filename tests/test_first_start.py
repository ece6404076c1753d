"""Tests of a first start of the whole system that is interrupted."""

import unittest

from tests._fleet_work import FleetWorld, make_declaration

ELECTION_SECONDS = 10.0
DOWN_SECONDS = 0.8
KILLED_AFTER_SECONDS = (0.05, 0.3, 0.6, 1.0, 1.5)


class TestInterruptedFirstStart(unittest.TestCase):
    """Guards against a system without voters after one kill of all (issue 43)."""

    def test_all_are_killed_before_the_first_election(self):
        for seconds in KILLED_AFTER_SECONDS:
            with self.subTest(seconds=seconds):
                world = FleetWorld(1)
                world.run(seconds)
                world.lose_power(down=DOWN_SECONDS)
                self.check_service(world)

    def test_two_are_killed_before_the_first_election(self):
        world = FleetWorld(2)
        world.run(0.3)
        for name in ("v0", "v1"):
            world.kill(name)
        world.run(DOWN_SECONDS)
        for name in ("v0", "v1"):
            world.restart(name)
        self.check_service(world)

    def test_a_disk_that_was_lost_meanwhile_is_another_one(self):
        world = FleetWorld(3)
        world.run(0.3)
        world.lose_power(wiped=("v1",), down=DOWN_SECONDS)
        self.check_service(world)
        identities = {
            name: assembly.consensus.replica.vote.identity
            for name, assembly in world.assemblies.items()
        }
        assert identities["v0"] == "first-v0"
        assert identities["v1"] != "first-v1"

    def check_service(self, world):
        """Check that there is a leader, and that it accepts a declaration."""
        assert world.run_until(world.find_leader, within=ELECTION_SECONDS)
        answer = world.declare(make_declaration(1))
        assert answer.status == 200, answer


if __name__ == "__main__":
    unittest.main()
