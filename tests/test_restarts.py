"""Tests that what was withdrawn or has left is not in use again after restarts."""

import unittest

from gypsumwalk.declaration_records import Declaration, DeclaredTeam
from gypsumwalk.fleet_calls import AnnounceInstanceCall, LeaveInstanceCall
from tests._fleet_work import KEY, NO_QUOTA, FleetWorld, make_declaration

JOB = "00000000000000aa"
CHANGES = 300
OTHER_KEY = "another-key-of-the-team"
UNAUTHORIZED = 401


class TestDepartedInstance(unittest.TestCase):
    def leave(self, world, number):
        """Deregister an instance, which ends, and return its last heartbeat."""
        instance = world.get_instance(number)
        registered = instance.registered
        assert registered.life in world.list_lives()
        world.model.crash(instance, world.now)
        answer = world.ask(LeaveInstanceCall(registered.instance, registered.born))
        assert answer.status == 200
        return registered

    def test_a_delayed_heartbeat_does_not_bring_it_back(self):
        world = FleetWorld()
        world.begin()
        registered = self.leave(world, 2)
        world.ask(AnnounceInstanceCall(registered, 1))
        world.run(1.0)
        assert registered.life not in world.list_lives()

    def test_a_delayed_heartbeat_does_not_bring_it_back_after_a_restart_of_all(self):
        for seed in range(3):
            with self.subTest(seed=seed):
                world = FleetWorld(seed)
                world.begin()
                registered = self.leave(world, 2)
                world.lose_power()
                assert world.run_until(world.find_leader, within=10.0)
                world.ask(AnnounceInstanceCall(registered, 1))
                world.run(1.0)
                assert registered.life not in world.list_lives()

    def test_no_task_is_started_on_it_after_a_change_of_leader(self):
        world = FleetWorld(instances=2)
        world.begin()
        registered = self.leave(world, 1)
        world.kill(world.find_leader())
        world.submit(JOB)
        world.run(3.0)
        lives = {run.life for run in world.model.history}
        assert lives == {world.get_instance(0).registered.life}
        assert registered.life not in lives


class TestWithdrawnKey(unittest.TestCase):
    def change_key(self, world, version, key):
        declaration = make_declaration(version)
        teams = [DeclaredTeam("team", [key], 1.0, NO_QUOTA)]
        changed = Declaration(
            version,
            declaration.queues,
            declaration.services,
            teams,
            f"source {version}",
        )
        assert world.declare(changed).status == 200

    def test_it_stays_withdrawn_after_hundreds_of_changes_and_restarts(self):
        world = FleetWorld()
        world.begin()
        for version in range(2, CHANGES):
            self.change_key(world, version, KEY if version % 2 else OTHER_KEY)
        self.change_key(world, CHANGES, OTHER_KEY)
        for name in world.names:
            world.kill(name)
            world.run(0.5)
            world.restart(name)
            assert world.run_until(world.find_leader, within=10.0)
            assert world.submit(JOB, key=KEY).status == UNAUTHORIZED
        world.lose_power(wiped=[world.names[0]])
        assert world.submit(JOB, key=KEY).status == UNAUTHORIZED
        assert world.submit(JOB, key=OTHER_KEY).status == 200

    def test_a_former_declaration_that_arrives_again_does_not_bring_it_back(self):
        world = FleetWorld()
        world.begin()
        self.change_key(world, 2, OTHER_KEY)
        world.lose_power()
        assert world.declare(make_declaration(1)).status == 200
        assert world.submit(JOB, key=KEY).status == UNAUTHORIZED


if __name__ == "__main__":
    unittest.main()
