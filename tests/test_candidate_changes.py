"""Tests that the candidates of a pass follow what changed, and visit nothing else."""

import unittest
from collections import Counter
from random import Random
from unittest.mock import patch

import msgspec

from gypsumwalk.declaration_records import Resources
from gypsumwalk.leases import InstanceView, LeaseTable
from gypsumwalk.workload_records import CancelWorkload, Step
from tests._scheduling import NEED, NOW, Fleet, make_instance, make_job
from tests.test_scheduler_cost import choose_by_scan, make_full_fleet, make_random_step

MANY = 3000
CHANGES = 400


class CountedVisits:
    """Number of instances whose state is read while the context is active."""

    def __enter__(self):
        self.count = 0
        original = InstanceView.is_responsive.fget

        def read(view):
            self.count += 1
            return original(view)

        self._patch = patch.object(InstanceView, "is_responsive", property(read))
        self._patch.start()
        return self

    def __exit__(self, *_):
        self._patch.stop()


class TestCostOfAPass(unittest.TestCase):
    # Each pass listed all 3,000 instances, up to hundreds of times a second.
    def test_a_pass_visits_only_the_instances_that_changed(self):
        fleet = Fleet()
        for number in range(MANY):
            fleet.add_instance(make_instance(number))
        fleet.submit(make_job("first", steps=[Step(1, NEED)]))
        first = fleet.plan()
        fleet.submit(make_job("second", steps=[Step(1, NEED)]))
        with CountedVisits() as visits:
            assert len(fleet.plan()) == 1
        assert visits.count <= 2, visits.count
        fleet.end(first[0].run)
        fleet.submit(make_job("third", steps=[Step(1, NEED)]))
        with CountedVisits() as visits:
            assert len(fleet.plan()) == 1
        assert visits.count <= 3, visits.count

    def test_a_pass_over_a_full_fleet_visits_the_freed_instance(self):
        fleet, planned = make_full_fleet()
        fleet.end(planned[0].run)
        with CountedVisits() as visits:
            assert len(fleet.plan()) == 1
        assert visits.count <= 2, visits.count

    def test_a_pass_without_waiting_tasks_visits_nothing(self):
        fleet = Fleet()
        for number in range(9):
            fleet.add_instance(make_instance(number))
        with CountedVisits() as visits:
            assert fleet.plan() == []
        assert visits.count == 0


def is_open(fleet, view, now):
    machine = view.registered.machine
    closed = fleet.scheduler.cordoned | fleet.scheduler.changing_pool
    return (
        view.answered_at > 0
        and not view.silent_since
        and not view.registered.draining
        and now >= view.start_backoff_until
        and machine not in closed
        and view.registered.service == "service-a"
    )


class ScannedFleet:
    """What ``choose_by_scan`` needs of a fleet: the instances open for new work."""

    def __init__(self, fleet):
        self.table = LeaseTable()
        for life, view in fleet.table.instances.items():
            if is_open(fleet, view, NOW):
                dict.__setitem__(self.table.instances, life, view)


class TestChanges(unittest.TestCase):
    def change(self, fleet, random, number):
        """Change one property of an instance, or of its machine."""
        lives = list(fleet.table.instances)
        life = random.choice(lives)
        view = fleet.table.instances[life]
        machine = view.registered.machine
        registered = view.registered
        kind = random.randrange(8)
        if kind == 0:
            draining = not registered.draining
            view.registered = msgspec.structs.replace(registered, draining=draining)
        elif kind == 1:
            view.silent_since = 0.0 if view.silent_since else NOW
        elif kind == 2:
            view.start_backoff_until = random.choice([0.0, NOW - 1.0, NOW + 1.0])
        elif kind == 3:
            fleet.scheduler.cordoned ^= {machine}
        elif kind == 4:
            fleet.scheduler.changing_pool ^= {machine}
        elif kind == 5:
            service = random.choice(["service-a", "service-b"])
            view.registered = msgspec.structs.replace(registered, service=service)
        elif kind == 6 and len(lives) > 12:
            for run in list(view.runs.values()):
                fleet.table.remove(run)
            del fleet.table.instances[life]
        else:
            fleet.add_instance(make_instance(100 + number))

    def test_choices_equal_those_of_a_scan_while_instances_change(self):
        for seed in range(8):
            random = Random(seed)
            fleet = Fleet()
            for number in range(16):
                fleet.add_instance(make_instance(number))
            placed = 0
            for number in range(CHANGES):
                self.change(fleet, random, number)
                step = make_random_step(random)
                expected = choose_by_scan(ScannedFleet(fleet), step, Counter())
                job = f"job-{number:04d}"
                fleet.submit(make_job(job, steps=[step]))
                lives = [item.run.life for item in fleet.plan()]
                assert lives == [expected] * bool(expected), (seed, number)
                placed += len(lives)
                fleet.workloads.apply(CancelWorkload(job), 1, NOW)
                fleet.scheduler.invalidate(job)
                if random.random() < 0.5 and fleet.table.list_runs():
                    fleet.table.remove(random.choice(fleet.table.list_runs()))
            assert placed > CHANGES // 4, placed

    def test_a_start_is_possible_as_soon_as_the_backoff_is_over(self):
        fleet = Fleet()
        fleet.add_instance(make_instance(0))
        [view] = fleet.table.instances.values()
        view.start_backoff_until = NOW + 0.5
        fleet.submit(make_job("job", steps=[Step(1, NEED)]))
        assert fleet.plan() == []
        planned = fleet.scheduler.plan_runs(fleet.table, NOW + 0.5)
        assert len(planned) == 1

    def test_a_new_term_forgets_the_instances_of_the_one_before(self):
        fleet = Fleet()
        fleet.add_instance(make_instance(0))
        fleet.submit(make_job("job", steps=[Step(1, NEED)]))
        fleet.plan()
        fleet.table = LeaseTable()
        fleet.add_instance(make_instance(1))
        fleet.submit(make_job("next", steps=[Step(1, NEED)]))
        assert [item.run.life for item in fleet.plan()] == [make_instance(1).life]

    def test_room_withheld_for_a_lasting_task_is_given_back_in_the_next_pass(self):
        fleet = Fleet()
        fleet.add_instance(make_instance(0))
        need = Resources(NEED.cpu * 6, NEED.memory)
        fleet.submit(make_job("small", steps=[Step(6, NEED)]))
        small = fleet.plan()
        fleet.submit(make_job("lasting", steps=[Step(1, need, lasting=True)]))
        fleet.submit(make_job("late", steps=[Step(1, NEED)]))
        assert fleet.plan() == []
        fleet.workloads.apply(CancelWorkload("lasting"), 1, NOW)
        fleet.scheduler.invalidate("lasting")
        assert [item.run.task.job for item in fleet.plan()] == ["late"]
        assert len(small) == 6


if __name__ == "__main__":
    unittest.main()
