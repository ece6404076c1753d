"""Tests of the selection of jobs when the waiting work exceeds the room of a pool."""

import unittest
from itertools import combinations
from random import Random
from unittest.mock import patch

from gypsumwalk import job_selection
from gypsumwalk.backlog import JobView, RoomView
from gypsumwalk.job_selection import (
    JobGroup,
    find_arrival_rank,
    select_jobs,
)
from gypsumwalk.job_values import find_value, find_value_density

NOW = 100.0


def make_view(job, *, work=1.0, due=2.5, slack=2.0, **changes):
    """Return a job that is due and has to start within times from now."""
    fields = {
        "team": "team",
        "priority": 0,
        "submitted": NOW - 1.0,
        "latest_start": NOW + slack,
        "due": NOW + due,
        "expires": NOW + due + 4.0,
        "work": work,
        "mean_work": 1.0,
        "total_work": work,
    }
    return JobView(job, **(fields | changes))


def list_group(selection, group):
    return [job for job in selection.order if selection.ranks[job][1] == group]


class TestValues(unittest.TestCase):
    def test_the_value_grows_less_than_the_work(self):
        values = [find_value(make_view("j", work=work)) for work in (0.1, 1.0, 2.0)]
        self.assertAlmostEqual(values[0], 0.37)
        self.assertAlmostEqual(values[1], 1.0)
        self.assertAlmostEqual(values[2], 1.7)

    def test_the_value_of_a_huge_job_is_capped(self):
        assert find_value(make_view("j", work=100.0)) == 4.0

    def test_excess_work_has_the_value_of_late_work(self):
        job = make_view("j", is_excess=True)
        self.assertAlmostEqual(find_value(job), 0.07)

    # A queue without a known mean divided by 0.
    def test_a_job_of_a_queue_without_known_work_has_the_mean_value(self):
        job = make_view("j", mean_work=0.0)
        self.assertAlmostEqual(find_value(job), 1.0)

    def test_a_job_that_is_nearly_done_is_worth_its_whole_value(self):
        started = make_view("j", work=0.0, total_work=1.0)
        assert find_value_density(started) > find_value_density(make_view("k"))


class TestBurst(unittest.TestCase):
    """A burst demands more than the pool can do within the objectives."""

    # The job with the least slack went first, so that each started as it became late.
    def test_small_jobs_are_selected_instead_of_a_large_one(self):
        jobs = [make_view("large", work=8.0, slack=1.9)]
        jobs += [make_view(f"small-{number}") for number in range(4)]
        selection = select_jobs(jobs, RoomView(4.0), NOW)
        assert list_group(selection, JobGroup.SELECTED) == [
            f"small-{number}" for number in range(4)
        ]
        assert selection.dropped == {"large"}

    def test_all_jobs_are_selected_if_their_work_fits(self):
        jobs = [make_view(f"j{number}", work=2.0) for number in range(4)]
        selection = select_jobs(jobs, RoomView(4.0), NOW)
        assert not selection.dropped

    def test_selected_jobs_go_by_their_latest_start(self):
        jobs = [make_view("b", slack=1.5), make_view("a", slack=1.9)]
        assert select_jobs(jobs, RoomView(4.0), NOW).order == ["b", "a"]

    # With the supply until their due dates, more jobs were selected than could begin in
    # time.
    def test_work_has_to_begin_before_the_latest_start(self):
        jobs = [make_view(f"j{number}", work=2.0, due=4.0) for number in range(5)]
        assert len(select_jobs(jobs, RoomView(4.0), NOW).dropped) == 1

    def test_work_that_runs_for_long_takes_from_the_supply(self):
        jobs = [make_view(f"j{number}", work=2.0) for number in range(4)]
        assert not select_jobs(jobs, RoomView(4.0, running_work=1.0), NOW).dropped
        assert len(select_jobs(jobs, RoomView(4.0, running_work=3.0), NOW).dropped) == 1

    # Machines on their way were not counted, so that jobs were dropped which they
    # would have done in time.
    def test_a_machine_on_its_way_counts_from_its_arrival(self):
        jobs = [make_view(f"j{number}", work=2.0) for number in range(4)]
        room = RoomView(2.0, arriving=((NOW + 1.0, 4.0),))
        assert not select_jobs(jobs, room, NOW).dropped
        late = RoomView(2.0, arriving=((NOW + 1.5, 4.0),))
        assert len(select_jobs(jobs, late, NOW).dropped) == 1

    def test_a_started_job_is_not_dropped_while_another_one_can_be(self):
        jobs = [make_view("started", work=4.0, total_work=9.0, has_started=True)]
        jobs += [make_view(f"j{number}") for number in range(4)]
        selection = select_jobs(jobs, RoomView(2.0), NOW)
        assert list_group(selection, JobGroup.SELECTED) == ["started"]

    # A step was counted without those after it, so that more jobs were begun than could
    # be completed.
    def test_room_for_later_steps_of_a_started_job_is_kept(self):
        later_steps = make_view("started", work=3.0, has_started=True, slack=1.9)
        jobs = [later_steps, make_view("new", work=2.0)]
        assert select_jobs(jobs, RoomView(2.0), NOW).dropped == {"new"}

    def test_dropped_jobs_go_before_late_ones_and_expired_ones_last(self):
        jobs = [
            make_view("expired-new", slack=-9.0, submitted=5.0),
            make_view("expired-old", slack=-9.0, submitted=4.0),
            make_view("late-large", slack=-1.0, work=2.0),
            make_view("late-small", slack=-1.0, work=1.0),
            make_view("dropped", work=99.0),
            make_view("selected"),
        ]
        assert select_jobs(jobs, RoomView(4.0), NOW).order == [
            "selected",
            "dropped",
            "late-small",
            "late-large",
            "expired-old",
            "expired-new",
        ]

    def test_a_job_that_arrives_after_the_selection_goes_as_if_selected(self):
        jobs = [make_view("selected", slack=1.5), make_view("dropped", work=99.0)]
        ranks = list(select_jobs(jobs, RoomView(4.0), NOW).ranks.values())
        arrived = find_arrival_rank(make_view("new", slack=1.7))
        assert [rank[-1] for rank in sorted([*ranks, arrived])] == [
            "selected",
            "new",
            "dropped",
        ]


class TestHotTeam(unittest.TestCase):
    """A team submits several times its weight."""

    def test_excess_work_is_dropped_first(self):
        jobs = [make_view(f"hot-{number}", is_excess=True) for number in range(6)]
        jobs += [make_view(f"other-{number}", work=3.0) for number in range(2)]
        selection = select_jobs(jobs, RoomView(4.0), NOW)
        assert not selection.dropped & {"other-0", "other-1"}
        assert len(list_group(selection, JobGroup.EXCESS)) == 2

    def test_excess_jobs_go_after_dropped_ones_and_before_late_ones(self):
        jobs = [
            make_view("late", slack=-0.5),
            make_view("excess", is_excess=True, slack=0.1),
            make_view("dropped", work=99.0),
            make_view("selected", slack=0.9),
        ]
        order = select_jobs(jobs, RoomView(4.0), NOW).order
        assert order == ["selected", "dropped", "excess", "late"]

    # A team that submits too much all the time would wait behind all others for ever.
    def test_a_kept_excess_job_goes_as_if_it_were_none(self):
        jobs = [make_view("excess", is_excess=True, slack=-1.0), make_view("other")]
        selection = select_jobs(jobs, RoomView(4.0), NOW, kept={"excess"})
        assert selection.order == ["excess", "other"]


class TestKeptJobs(unittest.TestCase):
    """Large jobs were missed too often and one of them is kept."""

    # It began just before its latest start, with the few cores that were free then.
    def test_a_kept_job_goes_first(self):
        jobs = [make_view("small", slack=0.5), make_view("large", work=4.0)]
        selection = select_jobs(jobs, RoomView(4.0), NOW, kept={"large"})
        assert selection.order == ["large", "small"]


class TestMixedPriorities(unittest.TestCase):
    """Queues of two classes overload a pool that both use."""

    def test_a_higher_class_is_selected_as_if_it_were_alone(self):
        for seed in range(50):
            random = Random(seed)
            jobs = [
                make_view(
                    f"j{number}",
                    work=random.uniform(0.1, 4.0),
                    slack=random.uniform(0.5, 2.5),
                    priority=random.randrange(2),
                )
                for number in range(20)
            ]
            high = [job for job in jobs if job.priority == 0]
            room = RoomView(6.0, running_work=1.0)
            alone = select_jobs(high, room, NOW)
            both = select_jobs(jobs, room, NOW)
            assert alone.dropped == both.dropped & {job.job for job in high}, seed

    # A late job of the higher class has less value than one of the lower class that can
    # be on time, but classes say who waits for whom.
    def test_the_classes_go_one_after_the_other(self):
        jobs = [
            make_view("low", priority=1),
            make_view("high-late", slack=-0.5),
            make_view("high"),
        ]
        order = select_jobs(jobs, RoomView(4.0), NOW).order
        assert order == ["high", "high-late", "low"]

    def test_a_lower_class_gets_what_is_left(self):
        jobs = [make_view(f"high-{number}", work=2.0) for number in range(2)]
        jobs += [make_view(f"low-{number}", priority=1) for number in range(6)]
        selection = select_jobs(jobs, RoomView(4.0), NOW)
        assert len(list_group(selection, JobGroup.SELECTED)) == 6
        assert selection.dropped < {f"low-{number}" for number in range(6)}


class TestSelectedSets(unittest.TestCase):
    """Random overloads, compared with what is possible."""

    def make_jobs(self, random, count):
        return [
            make_view(
                f"j{number}",
                work=random.lognormvariate(0.0, 0.8),
                slack=random.uniform(0.5, 2.5),
            )
            for number in range(count)
        ]

    def test_the_selected_jobs_can_all_be_on_time(self):
        for seed in range(50):
            jobs = self.make_jobs(Random(seed), 60)
            room = RoomView(5.0, arriving=((NOW + 1.0, 3.0),))
            assert_feasible(jobs, select_jobs(jobs, room, NOW), room)

    def test_their_value_is_near_that_of_the_best_set(self):
        earned = best = 0.0
        for seed in range(20):
            jobs = self.make_jobs(Random(seed), 9)
            room = RoomView(2.0)
            selection = select_jobs(jobs, room, NOW)
            chosen = [job for job in jobs if job.job not in selection.dropped]
            earned += sum(map(find_value, chosen))
            best += find_best_value(jobs, room)
        assert earned > 0.85 * best, (earned, best)


def assert_feasible(jobs, selection, room):
    work = 0.0
    for job in sorted(jobs, key=lambda job: job.latest_start):
        if job.job not in selection.dropped:
            work += job.work
            assert work <= room.find_supply(job.latest_start, NOW) + 1e-9


def find_best_value(jobs, room):
    def is_feasible(chosen):
        work = 0.0
        for job in chosen:
            work += job.work
            if work > room.find_supply(job.latest_start, NOW):
                return False
        return True

    listed = sorted(jobs, key=lambda job: job.latest_start)
    sets = (
        chosen
        for size in range(len(listed) + 1)
        for chosen in combinations(listed, size)
    )
    return max(sum(map(find_value, item)) for item in sets if is_feasible(item))


class TestCost(unittest.TestCase):
    """A thousand jobs wait, and the selection is made up to 50 times a second."""

    def test_each_job_enters_and_leaves_the_heap_at_most_once(self):
        jobs = [
            make_view(f"j{number:04}", slack=1.0 + number / 500, work=1.0 + number % 7)
            for number in range(1000)
        ]
        with (
            patch.object(job_selection, "heappush", wraps=job_selection.heappush) as on,
            patch.object(job_selection, "heappop", wraps=job_selection.heappop) as off,
        ):
            select_jobs(jobs, RoomView(200.0), NOW)
        assert on.call_count == len(jobs)
        assert 0 < off.call_count <= len(jobs)


if __name__ == "__main__":
    unittest.main()
