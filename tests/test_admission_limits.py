"""Tests of submissions at the limits of what an admission knows."""

import unittest

from gypsumwalk.backlog import RoomView
from gypsumwalk.job_admission import Admit, JobAdmission
from gypsumwalk.retry_slots import RETURN_WINDOW_SECONDS, RetrySlots
from tests._job_views import make_view
from tests.test_submission_control import NOW, Desk


class TestPoolWithoutCores(unittest.TestCase):
    # The leader ended with an OverflowError: fillers have no work, and the time of the
    # return was infinite.
    def test_a_job_without_work_is_admitted(self):
        admission = JobAdmission("p", RetrySlots())
        filler = make_view("filler", submitted=NOW, work=0.0, path=3.0)
        backlog = [make_view("other", submitted=NOW)]
        decision = admission.decide(filler, backlog, RoomView(0.0), NOW)
        assert isinstance(decision, Admit)


class TestRepeatedCalls(unittest.TestCase):
    # Each early call of a caller left an entry in the queue of the times.
    def test_early_calls_keep_one_entry(self):
        slots = RetrySlots()
        job = make_view("job", submitted=NOW)
        at = slots.reserve(job, "p", NOW + 9.0, NOW, find_rate=lambda _: 8.0)
        for _ in range(100):
            slot = slots.find("p", "job", NOW)
            slots.release("p", "job")
            slots.restore(slot)
        assert len(slots._by_time) == 1
        assert slots.find("p", "job", at + RETURN_WINDOW_SECONDS + 0.1) is None
        assert len(slots) == 0


class TestOtherCallers(unittest.TestCase):
    # The crowd of a hot team, or of a queue of lower priority, took all slots, so that
    # others were sent away for 30 s although their jobs go first.
    def test_a_job_does_not_wait_for_those_that_give_way_to_it(self):
        for fields in ({"priority": 5}, {"is_excess": True}):
            slots = RetrySlots()
            admission = JobAdmission("p", slots)
            backlog = [
                make_view(f"old-{number}", submitted=NOW, work=0.5)
                for number in range(200)
            ]

            def submit(name, *, listed=backlog, admission=admission, **fields):
                job = make_view(name, submitted=NOW, work=2.0, path=1.9, **fields)
                return admission.decide(job, listed, RoomView(8.0), NOW)

            crowd = [submit(f"crowd-{number}", **fields) for number in range(400)]
            assert max(item.retry_after for item in crowd) == 30.0
            assert submit("other").retry_after < 2.0


class TestReleasedMachines(unittest.TestCase):
    # A burst was refused in a pool that had just released its machines, which it takes
    # back at once.
    def test_released_machines_of_the_pool_count_as_room(self):
        for count, expected in ((0, True), (9, False)):
            desk = Desk(backlog=100.0)
            for _ in range(9):
                desk.directory.list_machine()
            desk.scheduler.released = {f"m-{number}" for number in range(count)}
            assert desk.is_refused() is expected


if __name__ == "__main__":
    unittest.main()
