"""Tests of the admission of jobs to an overloaded pool."""

import unittest
from dataclasses import replace

from gypsumwalk.backlog import RoomView
from gypsumwalk.job_admission import Admit, JobAdmission, Refuse
from gypsumwalk.job_selection import select_jobs
from gypsumwalk.ordered_backlog import OrderedBacklog, find_completion
from gypsumwalk.retry_slots import MAX_RETRY_SECONDS, RetrySlots
from tests._job_views import make_view

NOW = 100.0
CORES = 10.0
ROOM = RoomView(CORES)


class Pool:
    """A pool that is full, and callers that submit jobs to it."""

    def __init__(self, *, room=ROOM):
        self.slots = RetrySlots()
        self.admission = JobAdmission("pool", self.slots)
        self.room = room
        self.backlog = []

    def submit(self, job, now=NOW):
        decision = self.admission.decide(job, self.backlog, self.room, now)
        if isinstance(decision, Admit):
            self.backlog.append(job)
        return decision

    def add_small_jobs(self, work, **fields):
        """Add admitted jobs of more value per core-second than those of the tests."""
        for _ in range(int(2 * work)):
            job = f"small-{len(self.backlog)}"
            self.backlog.append(make_view(job, work=0.5, **fields))

    def load(self, work, now=NOW):
        """Replace the backlog by work that goes before new jobs, 20 of it on time."""
        self.backlog.clear()
        self.add_small_jobs(20, submitted=now)
        self.add_small_jobs(work - 20, submitted=now - 1.5, expires=now + 100)

    def run(self, seconds, now):
        """Do the work of some seconds in the order of the pool."""
        ranks = select_jobs(self.backlog, self.room, now).ranks
        self.backlog.sort(key=lambda job: ranks[job.job])
        left = CORES * seconds
        while self.backlog and left > 0:
            job = self.backlog.pop(0)
            if job.work > left:
                rest = replace(job, work=job.work - left, has_started=True)
                self.backlog.insert(0, rest)
            left -= job.work


class TestDecision(unittest.TestCase):
    """A turn submits several times what the pool has capacity for.

    The pool does 20 core-seconds until new jobs are due, and 60 until their results
    have no value.
    """

    def test_without_a_backlog_a_job_is_admitted(self):
        assert Pool().submit(make_view("job")) == Admit()

    def test_a_job_that_can_be_late_but_useful_is_admitted(self):
        pool = Pool()
        pool.add_small_jobs(59)
        assert pool.submit(make_view("job")) == Admit()

    def test_a_job_that_cannot_be_useful_is_refused_at_once(self):
        pool = Pool()
        pool.add_small_jobs(60)
        decision = pool.submit(make_view("job"))
        assert isinstance(decision, Refuse), decision
        assert decision.backlog == decision.supply == 60.0
        assert round(decision.completion, 3) == 6.1
        assert "6.1 s" in decision.reason and "6.0 s" in decision.reason

    def test_a_job_that_would_be_on_time_goes_before_late_ones(self):
        pool = Pool()
        pool.add_small_jobs(500, submitted=98.5, expires=500.0)
        assert pool.submit(make_view("fresh")) == Admit()

    def test_late_jobs_of_more_value_go_before_a_job_that_would_be_late(self):
        # The jobs on time leave no room for it to be on time.
        pool = Pool()
        pool.add_small_jobs(20)
        pool.add_small_jobs(40, submitted=98.5, expires=106.0)
        assert isinstance(pool.submit(make_view("job")), Refuse)

    def test_late_jobs_that_will_have_no_value_take_no_room(self):
        pool = Pool()
        pool.add_small_jobs(20)
        pool.add_small_jobs(500, submitted=98.5, expires=105.0)
        assert pool.submit(make_view("job")) == Admit()

    def test_a_higher_priority_is_admitted_ahead_of_the_backlog_of_others(self):
        pool = Pool()
        pool.add_small_jobs(500, priority=3)
        assert pool.submit(make_view("job", priority=0)) == Admit()
        assert isinstance(pool.submit(make_view("low", priority=3)), Refuse)

    def test_a_dark_rack_leads_to_refusals_of_what_it_would_have_done(self):
        # A third of the capacity is lost, with no machine on its way.
        full, dark = Pool(), Pool(room=RoomView(CORES * 2 / 3))
        for pool in (full, dark):
            pool.add_small_jobs(45)
        assert isinstance(full.submit(make_view("job")), Admit)
        assert isinstance(dark.submit(make_view("job")), Refuse)

    def test_machines_on_their_way_count(self):
        pool = Pool(room=RoomView(CORES * 2 / 3, arriving=((102.0, CORES / 3),)))
        pool.add_small_jobs(45)
        assert isinstance(pool.submit(make_view("job")), Admit)

    def test_a_job_that_an_empty_pool_could_not_do_in_time_is_admitted(self):
        # No retry would be admitted: the largest jobs would never be served.
        pool = Pool()
        pool.load(60)
        assert isinstance(pool.submit(make_view("large", work=59.0)), Refuse)
        assert pool.submit(make_view("larger", work=61.0)) == Admit()

    def test_a_pool_without_known_cores_refuses_nothing(self):
        # All its instances are silent, or it has not got its first machine yet.
        pool = Pool(room=RoomView(0.0))
        pool.add_small_jobs(500)
        assert pool.submit(make_view("job")) == Admit()

    def test_a_hot_team_is_refused_and_the_others_are_not(self):
        pool = Pool()
        # 6.4 times its rate: its excess work counts a fourteenth.
        for number in range(64):
            pool.submit(make_view(f"hot-{number}", team="hot", is_excess=True))
        late = make_view("hot", team="hot", work=2.0, is_excess=True)
        assert isinstance(pool.submit(late), Refuse)
        for number in range(15):
            assert pool.submit(make_view(f"job-{number}")) == Admit()


class TestRetries(unittest.TestCase):
    """Callers that were refused return at the times that they were told."""

    def test_the_time_is_that_at_which_the_job_will_be_admitted(self):
        pool = Pool()
        pool.load(85)
        decision = pool.submit(make_view("job"))
        assert round(decision.retry_after, 3) == 2.6

    def test_it_is_between_1_and_30_seconds(self):
        pool = Pool()
        pool.add_small_jobs(60)
        assert pool.submit(make_view("soon")).retry_after == 1.0
        pool.add_small_jobs(500, expires=200.0)
        assert pool.submit(make_view("late")).retry_after == MAX_RETRY_SECONDS

    def test_a_returning_crowd_is_spread_at_the_rate_of_the_pool(self):
        pool = Pool()
        pool.add_small_jobs(60)
        times = [
            pool.submit(make_view(f"job-{number}")).retry_after for number in range(150)
        ]
        for second in range(1, 17):
            returning = [at for at in times if second <= at < second + 1]
            assert len(returning) <= CORES, (second, len(returning))
        assert max(times) < 17

    def test_a_caller_that_returns_in_time_goes_before_new_ones(self):
        pool = Pool()
        pool.add_small_jobs(60)
        refused = [pool.submit(make_view(f"job-{number}")) for number in range(80)]
        at = NOW + refused[0].retry_after
        pool.load(50, at)
        new = pool.submit(make_view("new", submitted=at), at)
        assert isinstance(new, Refuse), new
        returned = make_view("job-0", submitted=at)
        assert pool.submit(returned, at) == Admit(has_returned=True)

    def test_a_caller_that_returns_a_little_early_is_admitted(self):
        pool = Pool()
        pool.load(85)
        refused = pool.submit(make_view("job"))
        at = NOW + refused.retry_after - 1.5
        # 15 of the 25 core-seconds that were too many are still to be done.
        pool.load(74, at)
        assert isinstance(pool.submit(make_view("new", submitted=at), at), Refuse)
        returned = make_view("job", submitted=at)
        assert pool.submit(returned, at) == Admit(has_returned=True)

    def test_a_repeated_call_keeps_its_place(self):
        # The answer of the refusal was lost.
        pool = Pool()
        pool.load(85)
        first = pool.submit(make_view("job"))
        for number in range(40):
            pool.submit(make_view(f"other-{number}"))
        pool.load(80, NOW + 0.5)
        again = pool.submit(make_view("job", submitted=NOW + 0.5), NOW + 0.5)
        assert round(again.retry_after, 3) == round(first.retry_after - 0.5, 3)
        assert len(pool.slots) == 41

    def test_a_returning_caller_is_refused_again_if_the_capacity_is_lost(self):
        pool = Pool()
        pool.load(85)
        at = NOW + pool.submit(make_view("job")).retry_after
        pool.load(60, at)
        pool.room = RoomView(CORES / 2)
        again = pool.submit(make_view("job", submitted=at), at)
        assert isinstance(again, Refuse)

    def test_an_admission_releases_the_reservation(self):
        pool = Pool()
        pool.add_small_jobs(60)
        pool.submit(make_view("job"))
        pool.backlog.clear()
        assert isinstance(pool.submit(make_view("job")), Admit)
        assert not len(pool.slots)


class TestLoads(unittest.TestCase):
    """Loads that last for some seconds, with callers that return as they are told."""

    def check_served(self, outcomes):
        """Everybody is admitted in the end, with the retries that callers make."""
        assert all(isinstance(item, Admit) for item, _ in outcomes.values())
        retries = [retries for _, retries in outcomes.values()]
        assert max(retries) <= 4, max(retries)
        return sum(item > 0 for item in retries)

    def test_a_turn_of_5_times_the_mean(self):
        # As they arrive, most jobs go before the late ones.
        turn = [(NOW + number / 40, 0.5 + number % 7 / 4) for number in range(160)]
        refused = self.check_served(submit_all(Pool(), turn))
        assert refused < 40, refused

    def test_a_burst_on_a_turn(self):
        # Meanwhile small jobs need ten times the capacity for a second.
        turn = [(NOW + number / 25, 2.0) for number in range(100)]
        burst = [(NOW + 1 + number / 200, 0.5) for number in range(200)]
        refused = self.check_served(submit_all(Pool(), turn + burst))
        assert 10 <= refused <= 100, refused

    def test_a_burst_of_ever_larger_jobs(self):
        # Ten times the capacity for a second, each with less value per core-second.
        pool = Pool()
        pool.load(55)
        burst = [(NOW + number / 100, 1 + number / 100) for number in range(100)]
        refused = self.check_served(submit_all(pool, burst))
        assert refused > 20, refused


def submit_all(pool, jobs):
    """Submit jobs at their times; return the last decision and the retries of each."""
    outcomes = {}
    calls = [(at, number, 0, work) for number, (at, work) in enumerate(jobs)]
    for tick in range(900):
        now = NOW + tick / 10
        for call in sorted(item for item in calls if item[0] <= now):
            calls.remove(call)
            _, number, retries, work = call
            view = make_view(f"job-{number}", submitted=now, work=work)
            decision = pool.submit(view, now)
            outcomes[number] = decision, retries
            if isinstance(decision, Refuse):
                calls.append((now + decision.retry_after, number, retries + 1, work))
        pool.run(0.1, now)
    return outcomes


class TestOrderedBacklog(unittest.TestCase):
    """Many submissions are decided on with one order of the backlog."""

    def test_a_crowd_is_not_admitted_as_a_whole(self):
        # None of it is stored yet when the last one is decided on.
        admission = JobAdmission("pool", RetrySlots())
        backlog = OrderedBacklog([], ROOM, NOW)
        admitted = 0.0
        for number in range(300):
            view = make_view(f"job-{number}", work=1 + number / 300)
            if isinstance(admission.decide_in_order(view, backlog, NOW), Admit):
                admitted += view.work
        assert 58 < admitted <= 60, admitted

    def test_jobs_on_time_give_way_only_to_more_value(self):
        backlog = OrderedBacklog([], ROOM, NOW)
        for number in range(20):
            backlog.add(make_view(f"job-{number}"), NOW)
        assert not backlog.can_be_on_time(make_view("equal"), NOW)
        assert not backlog.can_be_on_time(make_view("large", work=3.0), NOW)
        assert backlog.can_be_on_time(make_view("small", work=0.5), NOW)
        assert backlog.can_be_on_time(make_view("first", due=101.9, work=0.1), NOW)

    def test_work_that_is_done_since_the_order_is_not_counted_as_left(self):
        jobs = [make_view(f"job-{number}") for number in range(59)]
        backlog = OrderedBacklog(jobs, ROOM, NOW)
        # A tenth of a second later the pool has done 1 of the 59 core-seconds.
        late = make_view("late", submitted=NOW + 0.1, work=1.9, latest_start=NOW)
        admission = JobAdmission("pool", RetrySlots())
        decision = admission.decide_in_order(late, backlog, NOW + 0.1)
        assert isinstance(decision, Admit), decision

    def test_jobs_of_lower_priority_give_way(self):
        backlog = OrderedBacklog([], ROOM, NOW)
        for number in range(20):
            backlog.add(make_view(f"job-{number}", priority=1), NOW)
        assert backlog.can_be_on_time(make_view("high", work=3.0), NOW)
        assert not backlog.can_be_on_time(make_view("low", priority=2), NOW)

    def test_late_jobs_of_higher_priority_go_before_jobs_on_time(self):
        late = {"submitted": 98.5, "expires": 120.0}
        jobs = [make_view(f"late-{number}", **late) for number in range(20)]
        low = make_view("low", priority=1, work=0.5)
        assert not OrderedBacklog(jobs, ROOM, NOW).can_be_on_time(low, NOW)
        high = make_view("high", work=0.5)
        assert OrderedBacklog(jobs, ROOM, NOW).can_be_on_time(high, NOW)

    def test_jobs_of_lower_priority_do_not_delay_a_late_one(self):
        jobs = [make_view(f"low-{number}", priority=1) for number in range(10)]
        backlog = OrderedBacklog(jobs, ROOM, NOW)
        assert backlog.sum_work_before_late(make_view("job"), 0.0) == 0.0
        low = make_view("low", priority=1, work=2.0)
        assert backlog.sum_work_before_late(low, 0.0) == 10.0

    def test_an_added_job_counts_as_one_of_the_first(self):
        views = [make_view(f"job-{number}", work=1.0) for number in range(70)]
        one_by_one = OrderedBacklog([], ROOM, NOW)
        for view in views:
            one_by_one.add(view, NOW)
        at_once = OrderedBacklog(views, ROOM, NOW)
        late = make_view("late", work=2.0)
        for backlog in (one_by_one, at_once):
            assert backlog.work == 70.0
            assert backlog.sum_work_before_late(late, 0.0) == 60.0


class TestCompletion(unittest.TestCase):
    """The time at which a pool has done some work."""

    def test_running_work_goes_first(self):
        assert find_completion(RoomView(10.0, 20.0), 30.0, NOW) == NOW + 5

    def test_machines_on_their_way_help_from_their_arrival(self):
        room = RoomView(10.0, arriving=((103.0, 5.0), (101.0, 10.0)))
        # 10 until 101, 20 a second until 103, then 25 a second.
        assert find_completion(room, 75.0, NOW) == 104.0

    def test_it_agrees_with_the_supply(self):
        room = RoomView(3.0, 4.0, arriving=((99.0, 1.0), (102.5, 2.0)))
        for work in (1.0, 5.0, 8.0, 30.0):
            at = find_completion(room, work, NOW)
            assert round(room.find_supply(at, NOW), 9) == work, work

    def test_an_empty_pool_waits_for_its_first_machine(self):
        assert find_completion(RoomView(0.0), 1.0, NOW) == float("inf")
        room = RoomView(0.0, arriving=((102.0, 4.0),))
        assert find_completion(room, 8.0, NOW) == 104.0


if __name__ == "__main__":
    unittest.main()
