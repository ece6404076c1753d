"""Tests of the reservations of refused callers."""

import unittest
from collections import Counter

from gypsumwalk.retry_slots import (
    MAX_RETRY_SECONDS,
    RETURN_WINDOW_SECONDS,
    RetrySlots,
)
from tests._job_views import make_view

NOW = 100.25
POOL = "pool"
CORES = 8.0


def find_rate(_):
    return CORES


def reserve(slots, job, *, earliest=NOW + 1, now=NOW):
    return slots.reserve(job, POOL, earliest, now, find_rate=find_rate)


def make_jobs(count, work=1.0, **fields):
    return [make_view(f"job-{number}", work=work, **fields) for number in range(count)]


class TestSlots(unittest.TestCase):
    """A crowd of refused callers, which must not return at the same time."""

    def test_no_second_is_promised_more_than_the_pool_does(self):
        slots = RetrySlots()
        promised = Counter()
        for job in make_jobs(100):
            promised[int(reserve(slots, job))] += job.work
        assert max(promised.values()) <= CORES
        assert len(promised) == 13, promised

    def test_returns_within_a_second_are_spread(self):
        slots = RetrySlots()
        times = [reserve(slots, job, earliest=102.0) for job in make_jobs(8)]
        assert times == [102 + number / 8 for number in range(8)], times

    def test_work_beyond_a_second_takes_the_next_ones(self):
        slots = RetrySlots()
        # 6 core-seconds are left of the first second, 8 in each of the next ones.
        reserve(slots, make_view("large", work=20.0))
        assert reserve(slots, make_view("small", work=3.0), earliest=102.0) == 103.75
        assert reserve(slots, make_view("next", work=1.0), earliest=102.0) == 104.125

    def test_without_room_in_time_nothing_is_promised(self):
        slots = RetrySlots()
        for job in make_jobs(30, work=CORES):
            reserve(slots, job)
        reserved = len(slots)
        late = make_view("late", work=1.0)
        assert reserve(slots, late) == NOW + MAX_RETRY_SECONDS
        assert slots.find(POOL, "late", NOW) is None
        assert len(slots) == reserved

    def test_a_far_time_is_limited_and_not_promised(self):
        slots = RetrySlots()
        at = reserve(slots, make_view("job"), earliest=NOW + 90)
        assert at == NOW + MAX_RETRY_SECONDS
        assert not len(slots)

    def test_the_number_of_slots_is_limited(self):
        slots = RetrySlots(max_slots=3)
        times = [reserve(slots, job) for job in make_jobs(5, work=0.1)]
        assert len(slots) == 3
        assert all(at < NOW + 2 for at in times), times


class TestRelease(unittest.TestCase):
    """Callers that return, and callers that never do."""

    def test_a_released_slot_is_free_again(self):
        slots = RetrySlots()
        first = [reserve(slots, job) for job in make_jobs(6)]
        for number in range(6):
            slots.release(POOL, f"job-{number}")
        assert [reserve(slots, job) for job in make_jobs(6)] == first
        assert slots.sum_work(make_view("new"), POOL, NOW) == 6.0

    def test_a_caller_that_does_not_return_loses_its_slot(self):
        slots = RetrySlots()
        at = reserve(slots, make_view("job"))
        in_time = at + RETURN_WINDOW_SECONDS
        assert slots.find(POOL, "job", in_time) is not None
        assert slots.find(POOL, "job", in_time + 0.01) is None
        assert slots.sum_work(make_view("new"), POOL, in_time + 0.01) == 0.0

    def test_a_repeated_reservation_replaces_the_first(self):
        slots = RetrySlots()
        reserve(slots, make_view("job"))
        at = reserve(slots, make_view("job"), earliest=NOW + 10)
        assert len(slots) == 1
        assert slots.find(POOL, "job", at) is not None

    def test_a_job_of_another_pool_is_another_job(self):
        slots = RetrySlots()
        reserve(slots, make_view("job"))
        assert slots.find("other", "job", NOW) is None
        assert slots.sum_work(make_view("new"), "other", NOW) == 0.0


class TestPromisedWork(unittest.TestCase):
    """What is promised counts before new jobs, but not before all of them."""

    def setUp(self):
        self.slots = RetrySlots()

    def sum_work(self, **fields):
        return self.slots.sum_work(make_view("new", **fields), POOL, NOW)

    def test_lower_priority_is_not_counted_before_higher(self):
        reserve(self.slots, make_view("low", work=3.0, priority=2))
        assert self.sum_work(priority=1) == 0.0
        assert self.sum_work(priority=2) == 3.0

    def test_excess_work_of_a_hot_team_is_not_counted_before_other_teams(self):
        reserve(self.slots, make_view("hot", work=3.0, is_excess=True))
        assert self.sum_work() == 0.0
        assert self.sum_work(is_excess=True) == 3.0

    def test_work_promised_after_the_result_has_no_value_is_not_counted(self):
        reserve(self.slots, make_view("later", work=3.0), earliest=NOW + 20)
        assert self.sum_work(expires=NOW + 10) == 0.0
        assert self.sum_work(expires=NOW + 25) == 3.0


if __name__ == "__main__":
    unittest.main()
