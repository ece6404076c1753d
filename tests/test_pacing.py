"""Tests of pacing: fillers give way to tasks that serve, and come back slowly."""

import unittest

from gypsumwalk.declaration_records import Resources
from gypsumwalk.pacing import InstanceLoad, PaceLevels, TailLatency
from gypsumwalk.workload_records import Step
from tests._fleet_work import FleetWorld

SERVING = "00000000000000aa"
FILLING = "00000000000000bb"
NEED = Resources(2000, 1000)
TARGET = 100.0
HARM_SECONDS = 4.0
"""Time in seconds in which fillers have to stop their harm."""


def make_load(latency, *, life="x@1", images=("film",)):
    return InstanceLoad(life, (TailLatency(latency, TARGET),), frozenset(images))


class TestPaceLevels(unittest.TestCase):
    def test_a_tail_over_its_target_rests_the_fillers_in_time(self):
        levels = PaceLevels()
        now = 0.0
        while levels.update(make_load(200.0), now) > 0:
            now += 0.1
        assert now < HARM_SECONDS - 1.0

    def test_no_second_cut_before_the_first_can_show(self):
        levels = PaceLevels()
        levels.update(make_load(200.0), 0.0)
        first = levels.update(make_load(200.0), 0.8)
        assert first == 25
        assert levels.update(make_load(200.0), 1.3) == first

    def test_calm_raises_the_level_slowly(self):
        levels = PaceLevels()
        for now in (0.0, 0.8, 1.6, 2.4):
            levels.update(make_load(200.0), now)
        seen = [levels.update(make_load(10.0), 2.4 + 0.1 * step) for step in range(60)]
        assert seen[0] == 0
        assert seen[-1] == 20

    def test_a_tail_near_its_target_keeps_the_level(self):
        levels = PaceLevels()
        levels.update(make_load(200.0), 0.0)
        assert levels.update(make_load(200.0), 1.0) == 25
        assert levels.update(make_load(80.0), 9.0) == 25

    def test_an_image_that_hurt_begins_lower_elsewhere(self):
        levels = PaceLevels()
        for now in (0.0, 0.8, 1.6):
            levels.update(make_load(200.0), now)
        other = levels.update(make_load(10.0, life="y@1"), 2.0)
        unknown = levels.update(make_load(10.0, life="z@1", images=("other",)), 2.0)
        assert other < 100
        assert unknown == 100

    def test_without_a_task_that_serves_fillers_have_all(self):
        levels = PaceLevels()
        levels.update(make_load(200.0), 0.0)
        levels.update(make_load(200.0), 1.0)
        assert levels.update(InstanceLoad("x@1", (), frozenset({"film"})), 2.0) == 100


class TestPaceController(unittest.TestCase):
    """One instance, a task that serves, and fillers that slow it by their pace."""

    def make_world(self, harm):
        world = FleetWorld(instances=1, task_seconds=600.0)
        world.harmed = []

        def find_load(instance, execution):
            if not execution.task.startswith(SERVING):
                return 500
            beside = sum(
                item.pace
                for item in instance.running.values()
                if item.task.startswith(FILLING)
            )
            tail = 40 + harm * beside
            if tail > TARGET and beside:
                world.harmed.append(world.now)
            return int(tail)

        world.model.find_load = find_load
        world.begin()
        serving = Step(1, NEED, lasting=True, latency_target=TARGET / 1000)
        world.submit(SERVING, [serving])
        world.submit(FILLING, [Step(2, NEED, filler=True, image="film")])
        world.run(1.0)
        return world

    def list_paces(self, world):
        return [
            item.pace
            for item in world.model.history
            if item.task.startswith(FILLING) and item.ended is None
        ]

    def test_fillers_that_hurt_are_paced_down_in_time(self):
        world = self.make_world(harm=2.0)
        world.run(10.0)
        assert world.harmed
        assert world.harmed[-1] - world.harmed[0] < HARM_SECONDS
        assert max(self.list_paces(world)) < 30

    def test_fillers_that_do_not_hurt_keep_their_pace(self):
        world = self.make_world(harm=0.0)
        world.run(5.0)
        assert self.list_paces(world) == [100, 100]

    def test_without_pacing_the_harm_lasts(self):
        world = self.make_world(harm=2.0)
        for assembly in world.assemblies.values():
            for part in assembly.node._parts:
                if part.name == "pacer":
                    part._pace = lambda view, now: []
        world.harmed.clear()
        world.run(10.0)
        assert world.harmed[-1] - world.harmed[0] > HARM_SECONDS

    def test_fillers_come_back_when_the_task_that_serves_is_gone(self):
        world = self.make_world(harm=2.0)
        world.run(5.0)
        world.cancel(SERVING)
        world.run(3.0)
        assert self.list_paces(world) == [100, 100]

    def test_a_new_leader_learns_the_pace_anew(self):
        world = self.make_world(harm=2.0)
        world.run(5.0)
        world.kill(world.find_leader())
        world.run(15.0)
        assert world.harmed[-1] < world.now - 5.0


if __name__ == "__main__":
    unittest.main()
