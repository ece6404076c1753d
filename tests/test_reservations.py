"""Tests of the room that is kept for lasting tasks that wait."""

import unittest
from random import Random

from gypsumwalk.declaration_records import (
    AdvicePolicy,
    Declaration,
    DeclaredQueue,
    DeclaredService,
    DeclaredTeam,
    PutDeclaration,
    Resources,
)
from gypsumwalk.leases import InstanceView, RunState, RunView
from gypsumwalk.task_placement import Candidate, CandidatePool
from gypsumwalk.workload_records import Step, TaskKey
from tests._fleet_work import HOST, KEY
from tests._scheduling import CAPACITY, NOW, Fleet, make_instance, make_job

NOTHING = Resources()
SMALL = Resources(1000, 1000)
SMALL_PER_INSTANCE = 64
LARGE = Resources(40000, 1000)


def make_candidate(number, *, lasting=NOTHING, transient=NOTHING):
    view = InstanceView(make_instance(number))
    for index, need in enumerate((lasting, transient)):
        task = TaskKey(f"job-{number}", 0, 0, index)
        run = RunView(task, 1, "", need, "team", need, RunState.RUNNING)
        run.is_lasting = index == 0
        view.add_run(run)
    return Candidate(view, CAPACITY - view.used)


def allow_any(candidate):
    return 1000


class TestReservedRoom(unittest.TestCase):
    # All that the instance had free was withheld, and fillers had no memory.
    def test_only_what_a_task_needs_is_withheld(self):
        candidate = make_candidate(0, transient=Resources(50000, 1000))
        pool = CandidatePool([candidate])
        step = Step(1, Resources(20000, 2000), lasting=True)
        assert pool.reserve(step, 1, allow_any) == 1
        assert candidate.free == Resources(0, 125000)

    def test_a_task_that_waits_for_quota_leaves_the_rest_of_its_instance(self):
        candidate = make_candidate(0)
        pool = CandidatePool([candidate])
        step = Step(1, Resources(20000, 2000), lasting=True)
        assert pool.reserve(step, 1, allow_any) == 1
        assert candidate.free == Resources(44000, 126000)

    # Room that was kept for a task was counted for the next one as well.
    def test_room_is_kept_for_as_many_tasks_as_fit(self):
        lasting = Resources(10000, 1000)
        transient = Resources(50000, 1000)
        candidate = make_candidate(0, lasting=lasting, transient=transient)
        pool = CandidatePool([candidate])
        step = Step(1, Resources(20000, 2000), lasting=True)
        assert [pool.reserve(step, 1, allow_any) for _ in range(3)] == [1, 1, 0]

    def test_a_gang_finds_no_room_that_is_kept_for_another(self):
        candidates = [
            make_candidate(number, transient=Resources(50000, 1000))
            for number in range(2)
        ]
        pool = CandidatePool(candidates)
        gang = Step(4, Resources(30000, 1000), lasting=True, gang=True)
        assert pool.reserve(gang, 4, allow_any) == 4
        free = [item.free for item in candidates]
        assert pool.reserve(gang, 4, allow_any) == 0
        assert [item.free for item in candidates] == free

    def test_random_reservations_withhold_at_most_what_tasks_need(self):
        for seed in range(200):
            random = Random(seed)
            candidates = [
                make_candidate(
                    number,
                    lasting=self.make_need(random, 30),
                    transient=self.make_need(random, 34),
                )
                for number in range(random.randrange(1, 6))
            ]
            pool = CandidatePool(candidates)
            for _ in range(random.randrange(1, 6)):
                self.check_reservation(random, pool, candidates)

    def make_need(self, random, most):
        return Resources(random.randrange(most) * 1000, random.randrange(most) * 2000)

    def check_reservation(self, random, pool, candidates):
        count = random.randrange(1, 6)
        gang = random.random() < 0.3
        need = self.make_need(random, 40)
        step = Step(count, need, lasting=True, gang=gang)
        before = [item.free for item in candidates]
        limit = random.randrange(1, 4)
        kept = pool.reserve(step, count, lambda _: limit)
        after = [item.free for item in candidates]
        assert kept in (0, count) if gang else 0 <= kept <= count
        for old, new in zip(before, after, strict=True):
            assert NOTHING.fits(new) and new.fits(old)
        withheld = sum(before, NOTHING) - sum(after, NOTHING)
        most = Resources(need.cpu * kept, need.memory * kept)
        assert withheld.fits(most), (withheld, most)


class TestTransientTasks(unittest.TestCase):
    """Transient tasks start beside lasting ones that wait, as far as they can."""

    def make_fleet(self, instances, *, advice=None, small=0):
        """Return a fleet on which some small transient tasks run on each instance."""
        fleet = Fleet()
        queues = [
            DeclaredQueue("a", HOST, "/a/", "service-a", timeout=3.0, advice=advice),
            DeclaredQueue("b", HOST, "/b/", "service-a", timeout=3.0),
        ]
        services = [DeclaredService("service-a")]
        teams = [DeclaredTeam("team", [KEY], 1.0)]
        declaration = Declaration(2, queues, services, teams, "source 2")
        fleet.declarations.apply(PutDeclaration(declaration), 2, NOW)
        for number in range(instances):
            fleet.add_instance(make_instance(number))
        if small:
            step = Step(small * instances, SMALL, max_per_instance=small)
            fleet.submit(make_job("running", steps=[step], queue="b"))
            assert len(fleet.plan()) == small * instances
        return fleet

    def plan_beside(self, fleet, step, *, need=SMALL):
        """Return the lives that get transient tasks while a lasting step waits."""
        fleet.submit(make_job("lasting", steps=[step], queue="a"))
        fleet.submit(make_job("transient", steps=[Step(1000, need)], queue="b"))
        planned = fleet.plan()
        assert {item.run.task.job for item in planned} <= {"transient"}
        return [item.run.life for item in planned]

    def test_tasks_that_can_never_run_hold_nothing_back(self):
        for step in (
            Step(1, SMALL, lasting=True, label="nowhere"),
            Step(1, Resources(1000, CAPACITY.memory + 1), lasting=True),
            Step(1, Resources(1000, 1000, 1), lasting=True),
            Step(3, LARGE, lasting=True, gang=True),
        ):
            with self.subTest(step=step):
                fleet = self.make_fleet(2)
                assert len(self.plan_beside(fleet, step)) == 2 * SMALL_PER_INSTANCE

    def test_a_task_that_waits_for_advice_holds_nothing_back(self):
        fleet = self.make_fleet(2, advice=AdvicePolicy(0.1, 0.1, 1.0))
        step = Step(1, LARGE, lasting=True)
        assert len(self.plan_beside(fleet, step)) == 2 * SMALL_PER_INSTANCE

    def test_an_instance_without_the_label_goes_on(self):
        fleet = self.make_fleet(9, small=30)
        step = Step(1, LARGE, lasting=True, label="rack-1")
        lives = self.plan_beside(fleet, step)
        assert len(lives) == 8 * (SMALL_PER_INSTANCE - 30)
        assert make_instance(8).life not in lives

    def test_as_many_instances_as_a_task_needs_are_withheld(self):
        fleet = self.make_fleet(3, small=30)
        step = Step(2, LARGE, lasting=True, max_per_instance=1)
        lives = self.plan_beside(fleet, step)
        assert len(lives) == SMALL_PER_INSTANCE - 30

    def test_instances_that_get_no_new_work_are_no_room(self):
        for name in ("cordoned", "changing_pool"):
            with self.subTest(name=name):
                fleet = self.make_fleet(3, small=30)
                setattr(fleet.scheduler, name, {"m-0"})
                gang = Step(3, LARGE, lasting=True, gang=True, max_per_instance=1)
                lives = self.plan_beside(fleet, gang)
                assert len(lives) == 2 * (SMALL_PER_INSTANCE - 30)

    def test_a_task_takes_the_place_of_an_instance_that_gets_no_new_work(self):
        for name in ("cordoned", "changing_pool"):
            with self.subTest(name=name):
                fleet = self.make_fleet(3, small=30)
                setattr(fleet.scheduler, name, {"m-0"})
                step = Step(1, LARGE, lasting=True)
                lives = self.plan_beside(fleet, step)
                assert len(lives) == SMALL_PER_INSTANCE - 30
                assert len(set(lives)) == 1

    def test_tasks_that_need_other_resources_go_on(self):
        fleet = self.make_fleet(1, small=30)
        step = Step(1, LARGE, lasting=True)
        filler = Step(5, SMALL, filler=True)
        fleet.submit(make_job("lasting", steps=[step], queue="a"))
        fleet.submit(make_job("filler", steps=[filler], queue="b"))
        assert len(fleet.plan()) == 5


if __name__ == "__main__":
    unittest.main()
