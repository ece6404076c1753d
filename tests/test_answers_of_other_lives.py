"""Tests that no task runs twice where the next life of an instance answers orders.

An instance starts again under its identifier and address, carries out orders that were
meant for its former life, and is cut off from the daemons soon after. Only run lists
name the life that answers.
"""

import unittest
from dataclasses import replace
from unittest.mock import patch

from msgspec.structs import replace as msgspec_replace

from gypsumwalk.declaration_records import Resources
from gypsumwalk.effects import Record
from gypsumwalk.events import Event
from gypsumwalk.fleet_calls import AnnounceInstanceCall
from gypsumwalk.instance_actions import InstanceReport, StartRun
from gypsumwalk.workload_records import Step
from tests._fleet_work import FleetWorld, lose_answer
from tests._fleet_work_checks import find_duplicate_runs

JOB = "00000000000000aa"
OTHER_JOB = "00000000000000bb"
NEED = Resources(2000, 1000)
FORMER_AGE = 20.0
MAX_LEASE = 10.0


class ReturnedInstance:
    """Restarts instance 0, and adds instance 1, just before a start arrives at it.

    The clock of the next life is ahead of the former's by ``clock_lead`` milliseconds,
    or behind it. With ``is_announced`` the leader hears of the next life before it is
    cut off, which it is once it has begun the run if ``is_cut_off``.
    """

    def __init__(
        self,
        world,
        *,
        clock_lead=-10_000,
        is_announced=False,
        is_cut_off=True,
        is_answered=True,
    ):
        self.world = world
        self.clock_lead = clock_lead
        self.is_announced = is_announced
        self.is_cut_off = is_cut_off
        self.is_answered = is_answered
        self.returned = None
        self._call = world.model.call

    def __call__(self, effect, now):
        if self.returned is not None or not isinstance(effect.action, StartRun):
            return self._call(effect, now)
        world = self.world
        clock = world.get_instance(0).read_clock(now)
        self.returned = world.start_instance(
            0, life=2, clock_begin=clock + self.clock_lead
        )
        world.start_instance(1)
        answer = self._call(effect, now)
        if self.is_announced:
            announcement = AnnounceInstanceCall(self.returned.registered)
            world.call(announcement, to=world.find_leader())
        self.returned.is_silent = self.is_cut_off
        return answer if self.is_answered else lose_answer(effect)


def count_events(world, event):
    return sum(
        isinstance(entry.effect, Record) and entry.effect.event is event
        for entry in world.trace
    )


class TestAnswersOfOtherLives(unittest.TestCase):
    def make_world(self, *, task_seconds=60.0):
        world = FleetWorld(task_seconds=task_seconds, instances=1, max_lease=MAX_LEASE)
        world.begin()
        world.run(FORMER_AGE)
        return world

    # Guards against TWICE: the former life was credited with the answer of the next
    # one, so that its runs counted as ended when the next one was registered.
    def test_a_start_that_the_next_life_answered_is_not_repeated_elsewhere(self):
        for clock_lead in (-10_000, -3_000, 2_000, 4_000):
            with self.subTest(clock_lead=clock_lead):
                world = self.make_world()
                returned = ReturnedInstance(
                    world, clock_lead=clock_lead, is_announced=True
                )
                with patch.object(world.model, "call", returned):
                    world.submit(JOB, [Step(1, NEED)])
                    world.run(16.0)
                assert find_duplicate_runs(world.model.history) == []
                assert len(world.model.history) == 2

    # Guards against the same where the clock of the next life is ahead so little that
    # it fitted into the time of the last long poll.
    def test_it_is_not_repeated_elsewhere_if_the_clocks_differ_by_little(self):
        for clock_lead in (-100, 100, 300, 600):
            with self.subTest(clock_lead=clock_lead):
                world = self.make_world()
                returned = ReturnedInstance(
                    world, clock_lead=clock_lead, is_announced=True
                )
                with patch.object(world.model, "call", returned):
                    world.submit(JOB, [Step(1, NEED)])
                    world.run(16.0)
                assert find_duplicate_runs(world.model.history) == []
                assert len(world.model.history) == 2

    # As the first one, but the next life is not heard of.
    def test_it_is_not_repeated_before_the_longest_lease_of_an_unheard_life(self):
        world = self.make_world()
        with patch.object(world.model, "call", ReturnedInstance(world)):
            world.submit(JOB, [Step(1, NEED)])
            world.run(16.0)
        assert find_duplicate_runs(world.model.history) == []
        assert len(world.model.history) == 2

    # Guards against a log that calls a start settled that the next life answered.
    def test_a_new_leader_does_not_repeat_a_start_that_the_next_life_answered(self):
        world = self.make_world(task_seconds=600.0)
        with patch.object(world.model, "call", ReturnedInstance(world)):
            world.submit(JOB, [Step(1, NEED, lasting=True)])
            world.run(0.6)
            world.kill(world.find_leader())
            world.run(16.0)
        assert find_duplicate_runs(world.model.history) == []
        assert len(world.model.history) == 2

    # Guards against acknowledgements for the former life that make the next one forget
    # the end of a run, which then counted as missing.
    def test_an_acknowledged_end_of_the_former_life_drops_none_of_the_next_one(self):
        world = self.make_world(task_seconds=0.2)
        world.submit(OTHER_JOB, [Step(4, NEED)])
        assert world.await_state(OTHER_JOB, "completed", within=5.0)
        world.run(1.0)
        returned = ReturnedInstance(world, is_cut_off=False, is_answered=False)
        world.lost_announcements.add("i-0")
        with patch.object(world.model, "call", returned):
            world.submit(JOB, [Step(1, NEED)])
            world.run(2.0)
            world.lost_announcements.clear()
            assert world.await_state(JOB, "completed", within=20.0)
        assert find_duplicate_runs(world.model.history) == []

    # Guards against a list of the next life that is taken for one of the former.
    def test_a_list_that_names_no_life_is_no_answer_of_another_life(self):
        world = self.make_world()
        call = world.model.call

        def hide_life(effect, now):
            delay, find_outcome = call(effect, now)

            def find_unnamed(at):
                outcome = find_outcome(at)
                if not isinstance(outcome.report, InstanceReport):
                    return outcome
                return replace(outcome, report=msgspec_replace(outcome.report, born=0))

            return delay, find_unnamed

        clock = world.get_instance(0).read_clock(world.now)
        world.lost_announcements.add("i-0")
        world.start_instance(0, life=2, clock_begin=clock - 5_000)
        with patch.object(world.model, "call", hide_life):
            world.run(2.5)
        assert not world.get_view("i-0@1001").is_responsive

    # Guards against a start after an end that was taken note of: the next life lists
    # the end of a run that a new leader still counts under the former life.
    def test_a_new_leader_notes_an_end_that_the_next_life_lists(self):
        world = self.make_world(task_seconds=1.0)
        returned = ReturnedInstance(world, is_announced=True)
        with patch.object(world.model, "call", returned):
            world.submit(JOB, [Step(1, NEED)])
            world.run(1.2)
            world.kill(world.find_leader())
            world.run_until(world.find_leader, within=5.0)
            returned.returned.is_silent = False
            world.run(16.0)
        assert find_duplicate_runs(world.model.history) == []
        assert world.get_state(JOB) == "completed"
        assert len(world.model.history) == 1

    # Guards against the same with one leader: a call to the former life, which does not
    # answer, acknowledges as many ends of the next one.
    def test_an_acknowledgement_for_the_former_life_drops_no_end_of_the_next(self):
        world = self.make_world(task_seconds=0.2)
        world.submit(OTHER_JOB, [Step(1, NEED)])
        world.run(2.0)
        returned = ReturnedInstance(world)
        with patch.object(world.model, "call", returned):
            world.submit(JOB, [Step(1, NEED)])
            world.run(0.4)
            returned.returned.is_silent = False
            world.run(20.0)
        assert find_duplicate_runs(world.model.history) == []
        assert world.get_state(JOB) == "completed"
        assert len(world.model.history) == 2

    def test_an_answer_of_the_next_life_is_logged(self):
        world = self.make_world()
        with patch.object(world.model, "call", ReturnedInstance(world)):
            world.submit(JOB, [Step(1, NEED)])
            world.run(4.0)
        assert count_events(world, Event.ANSWER_OF_OTHER_LIFE) >= 1


if __name__ == "__main__":
    unittest.main()
