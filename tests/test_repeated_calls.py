"""Tests of calls and answers that arrive again, or after what they concern is over."""

import unittest
from unittest.mock import patch

from gypsumwalk.declaration_records import Resources
from gypsumwalk.fleet_calls import AnnounceInstanceCall
from gypsumwalk.instance_actions import StartRun
from gypsumwalk.workload_records import Step
from gypsumwalk.workloads import RETENTION_SECONDS
from tests._fleet_work import FleetWorld
from tests._fleet_work_checks import find_duplicate_runs

JOB = "00000000000000aa"
NEED = Resources(2000, 1000)


class TestRepeatedSubmissions(unittest.TestCase):
    """A submission may arrive again seconds after its answer, at any daemon."""

    # Guards against run numbers that begin again at 1.
    def test_an_ended_job_does_not_run_again_after_a_change_of_leader(self):
        for state in ("completed", "cancelled"):
            for wait in (0.0, 3.0, 200.0):
                with self.subTest(state=state, wait=wait):
                    self.repeat(state, wait)

    def repeat(self, state, wait):
        world = FleetWorld(task_seconds=1.0)
        world.begin()
        steps = [Step(2, NEED)]
        assert world.submit(JOB, steps).status == 200
        if state == "cancelled":
            world.run(0.5)
            world.cancel(JOB)
        assert world.await_state(JOB, state, within=5.0)
        world.kill(world.find_leader())
        assert world.run_until(world.find_leader, within=5.0)
        world.run(wait)
        begun = len(world.model.history)
        assert world.submit(JOB, steps).status == 200
        world.run(3.0)
        assert world.get_state(JOB) == state
        assert len(world.model.history) == begun

    # The platform asks for the state for 120 s, and repeats a call after seconds.
    def test_an_ended_job_is_kept_for_longer_than_a_call_is_repeated(self):
        assert RETENTION_SECONDS >= 2 * 120.0


class LateAnswer:
    """Delays the answer to the first start; its instance begins again meanwhile."""

    def __init__(self, world, *, delay, is_announced):
        self.world = world
        self.delay = delay
        self.is_announced = is_announced
        self.start = None
        self._call = world.model.call

    def __call__(self, effect, now):
        delay, find_outcome = self._call(effect, now)
        if self.start is not None or not isinstance(effect.action, StartRun):
            return delay, find_outcome
        self.start = effect
        # What the instance says at the time of the start, before it ends.
        outcome = find_outcome(now)
        self.world.schedule(0.05, self.begin_again)
        return self.delay, lambda at: outcome

    def begin_again(self):
        world = self.world
        number = int(self.start.action.instance.removeprefix("i-"))
        clock = world.get_instance(number).read_clock(world.now)
        returned = world.start_instance(number, life=2, clock_begin=clock + 5_000)
        if self.is_announced:
            call = AnnounceInstanceCall(returned.registered)
            world.call(call, to=world.find_leader())


class TestLateAnswers(unittest.TestCase):
    # The answer arrives after the life was removed, and after the run was moved to the
    # next life, where a stop of it is under way.
    def test_a_late_answer_of_a_former_life_changes_no_run_of_the_next(self):
        for delay in (0.06, 0.1, 0.4, 0.9):
            for is_announced in (False, True):
                with self.subTest(delay=delay, is_announced=is_announced):
                    world = FleetWorld(instances=2, task_seconds=6.0)
                    world.begin()
                    late = LateAnswer(world, delay=delay, is_announced=is_announced)
                    with patch.object(world.model, "call", late):
                        world.submit(JOB, [Step(1, NEED)])
                        world.run(25.0)
                    assert late.start is not None
                    assert find_duplicate_runs(world.model.history) == []
                    assert len(world.model.history) == 2
                    assert world.get_state(JOB) == "completed"


if __name__ == "__main__":
    unittest.main()
