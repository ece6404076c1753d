"""Tests that a scheduling pass costs what has changed, by counts instead of a clock."""

import unittest
from collections import Counter
from random import Random
from unittest.mock import patch

import msgspec

from gypsumwalk import task_placement
from gypsumwalk.declaration_records import Resources
from gypsumwalk.leases import InstanceView, LeaseTable, RunState, RunView
from gypsumwalk.task_durations import DurationTable
from gypsumwalk.task_placement import Candidate
from gypsumwalk.workload_records import (
    AcceptWorkload,
    CancelWorkload,
    EndRuns,
    Placement,
    PlaceRuns,
    RegisterInstance,
    RemoveInstance,
    RunEnd,
    RunEndKind,
    Step,
    TaskKey,
    WorkloadState,
)
from gypsumwalk.workloads import WorkloadSection
from tests._scheduling import (
    NEED,
    NOW,
    CountingDict,
    Fleet,
    make_instance,
    make_job,
)

INSTANCES = 150
JOBS = 400
LASTING_JOBS = 100
TASKS_PER_INSTANCE = 10


def make_full_fleet():
    fleet = Fleet()
    for number in range(INSTANCES):
        fleet.add_instance(make_instance(number))
    for number in range(JOBS):
        fleet.submit(make_job(f"job-{number:04d}"))
    planned = fleet.plan()
    assert len(planned) == INSTANCES * TASKS_PER_INSTANCE
    fleet.plan()
    return fleet, planned


def count_work(fleet):
    """Return the planned runs of a pass and the numbers of the steps that it took."""
    counts = Counter()
    can_take, predict = Candidate.can_take, DurationTable.predict

    def counting_can_take(self, step):
        counts["candidates examined"] += 1
        return can_take(self, step)

    def counting_predict(self, queue, estimate):
        counts["durations predicted"] += 1
        return predict(self, queue, estimate)

    fleet.table.runs_by_task.walked = 0
    with (
        patch.object(Candidate, "can_take", counting_can_take),
        patch.object(DurationTable, "predict", counting_predict),
    ):
        planned = fleet.plan()
    counts["runs walked over"] = fleet.table.runs_by_task.walked
    return planned, counts


class TestCostOfAPass(unittest.TestCase):
    def test_a_pass_without_room_examines_nothing(self):
        fleet, _ = make_full_fleet()
        planned, counts = count_work(fleet)
        assert planned == []
        assert counts.total() == 0, counts

    def test_a_pass_with_one_freed_place_examines_one_candidate(self):
        fleet, planned = make_full_fleet()
        fleet.end(planned[0].run)
        planned, counts = count_work(fleet)
        assert len(planned) == 1
        assert counts.total() <= 2, counts

    def test_a_pass_with_one_freed_instance_examines_one_candidate_a_task(self):
        fleet, planned = make_full_fleet()
        freed = planned[0].run.life
        for item in planned:
            if item.run.life == freed:
                fleet.end(item.run)
        planned, counts = count_work(fleet)
        assert [item.run.life for item in planned] == [freed] * TASKS_PER_INSTANCE
        assert counts.total() <= 2 * TASKS_PER_INSTANCE, counts


def make_reserving_fleet():
    """Return a fleet whose instances are all full while lasting tasks wait."""
    fleet = Fleet()
    for number in range(INSTANCES):
        fleet.add_instance(make_instance(number))
    for view in fleet.table.instances.values():
        view.runs = CountingDict()
    for lasting in (True, False):
        steps = [Step(INSTANCES * TASKS_PER_INSTANCE // 2, NEED, lasting=lasting)]
        fleet.submit(make_job(f"running-{lasting}", steps=steps))
        fleet.plan()
    need = Resources(NEED.cpu * 6, NEED.memory)
    for number in range(LASTING_JOBS):
        steps = [Step(1, need, lasting=True)]
        fleet.submit(make_job(f"job-{number:04d}", steps=steps))
    fleet.plan()
    return fleet


class TestCostOfReservations(unittest.TestCase):
    # All runs of all instances were walked over for each task that waits.
    def test_reservations_look_once_at_each_instance(self):
        fleet = make_reserving_fleet()
        views = fleet.table.instances.values()
        for view in views:
            view.runs.walked = 0
        counts = Counter()
        find_share = task_placement._find_share

        def counting_find_share(need, free):
            counts["shares computed"] += 1
            return find_share(need, free)

        with patch.object(task_placement, "_find_share", counting_find_share):
            assert fleet.plan() == []
        counts["runs walked over"] = sum(view.runs.walked for view in views)
        assert counts["runs walked over"] == 0, counts
        assert counts["shares computed"] <= INSTANCES + 3 * LASTING_JOBS, counts


def choose_by_scan(fleet, step, counts):
    """Return the life that a scan of all instances finds best, empty if none fits."""
    best, best_rank = "", None
    for life, view in fleet.table.instances.items():
        used = sum((run.need for run in view.runs.values()), Resources())
        free = view.registered.capacity - used
        need = Resources(0, step.need.memory) if step.filler else step.need
        labels = view.registered.labels
        if not need.fits(free) or (step.label and step.label not in labels):
            continue
        if step.max_per_instance and counts[life] >= step.max_per_instance:
            continue
        latency = sum(run.has_latency_target for run in view.runs.values())
        is_near = not step.data_rack or step.data_rack in labels
        rank = (is_near, -latency if step.filler else 0, -free.cpu)
        if best_rank is None or rank > best_rank:
            best, best_rank = life, rank
    return best


def make_random_step(random):
    rack = f"rack-{random.randrange(4)}"
    return Step(
        1,
        Resources(random.randrange(1, 20) * 1000, random.randrange(1, 40) * 1000),
        label=random.choice(["", "", rack]),
        data_rack=random.choice(["", "", f"rack-{random.randrange(4)}"]),
        filler=random.random() < 0.2,
        latency_target=random.choice([0.0, 0.1]),
        max_per_instance=random.choice([0, 1]),
    )


class TestChoice(unittest.TestCase):
    def test_choices_equal_those_of_a_scan_of_all_instances(self):
        for seed in range(5):
            random = Random(seed)
            fleet = Fleet()
            for number in range(24):
                fleet.add_instance(make_instance(number))
            placed = 0
            for number in range(150):
                step = make_random_step(random)
                expected = choose_by_scan(fleet, step, Counter())
                fleet.submit(make_job(f"job-{number:04d}", steps=[step]))
                planned = fleet.plan()
                assert [item.run.life for item in planned] == [expected] * bool(
                    expected
                ), (seed, number)
                placed += len(planned)
                fleet.workloads.apply(CancelWorkload(f"job-{number:04d}"), 1, NOW)
                fleet.scheduler.invalidate(f"job-{number:04d}")
                if random.random() < 0.3 and fleet.table.list_runs():
                    fleet.table.remove(random.choice(fleet.table.list_runs()))
            assert 50 < placed < 150


def make_random_run(random):
    task = TaskKey(f"job-{random.randrange(5)}", 0, 0, random.randrange(6))
    need = Resources(random.randrange(9), random.randrange(9), random.randrange(3))
    run = RunView(
        task, random.randrange(1, 3), "", need, "team", need, RunState.RUNNING
    )
    run.life = f"i-{random.randrange(4)}@1"
    run.has_latency_target = random.random() < 0.5
    run.is_lasting = random.random() < 0.3
    return run


class TestLeaseTable(unittest.TestCase):
    def check(self, table):
        runs = table.list_runs()
        for view in table.instances.values():
            listed = list(view.runs.values())
            assert view.used == sum((run.need for run in listed), Resources())
            latency = sum(run.has_latency_target for run in listed)
            assert view.latency_sensitive_runs == latency
            lasting = sum((run.need for run in listed if run.is_lasting), Resources())
            assert view.lasting_used == lasting
        charged = sum((run.quota_charge for run in runs), Resources())
        assert table.usage_by_team.get("team", Resources()) == charged
        assert set(table.list_jobs()) == {run.task.job for run in runs}
        for number in range(5):
            job = f"job-{number}"
            expected = [run for run in runs if run.task.job == job]
            assert table.list_runs_of_job(job) == expected

    def test_sums_and_indexes_equal_a_recomputation(self):
        for seed in range(10):
            random = Random(seed)
            table = LeaseTable()
            for _ in range(300):
                life = f"i-{random.randrange(4)}@1"
                if random.random() < 0.1:
                    table.instances.pop(life, None)
                elif random.random() < 0.2:
                    view = InstanceView(make_instance(0))
                    table.instances.setdefault(life, view)
                elif random.random() < 0.6 or not table.list_runs():
                    table.add(make_random_run(random))
                else:
                    table.remove(random.choice(table.list_runs()))
                self.check(table)


class TestWorkloadIndexes(unittest.TestCase):
    def make_command(self, random):
        number = random.randrange(5)
        instance = make_instance(
            number, life=random.randrange(6), machine=f"m-{random.randrange(5)}"
        )
        address = f"host-{random.randrange(5)}:80"
        instance = msgspec.structs.replace(instance, address=address)
        job = f"job-{random.randrange(30)}"
        task = TaskKey(job, 0, 0, random.randrange(2))
        queue = f"queue-{random.choice('ab')}"
        return random.choice(
            [
                RegisterInstance(instance),
                RegisterInstance(instance),
                RemoveInstance(instance.life, left=random.random() < 0.5),
                AcceptWorkload(make_job(job, steps=[Step(2, NEED)], queue=queue)),
                CancelWorkload(job),
                PlaceRuns(1, [Placement(task, 1, instance.life)]),
                EndRuns([RunEnd(task, 1, RunEndKind.DONE)]),
            ]
        )

    def check(self, section):
        lives = list(section.instances.values())
        for number in range(5):
            for find, name, value in (
                (section.find_latest_life, "instance", f"i-{number}"),
                (section.find_latest_on_machine, "machine", f"m-{number}"),
            ):
                known = [item for item in lives if getattr(item, name) == value]
                found = find(value)
                assert (found in known) if known else found is None
                born = max((item.born for item in known), default=None)
                assert (found.born if found else None) == born
        for queue in ("queue-a", "queue-b"):
            waiting = sum(
                job.queue == queue and job.state is WorkloadState.QUEUED
                for job in section.open_jobs.values()
            )
            assert section.count_waiting(queue) == waiting

    def check_superseded(self, section):
        """Check that no two lives share an instance or an address out of order."""
        lives = list(section.instances.values())
        addresses = [item.address for item in lives]
        assert len(addresses) == len(set(addresses))

    def test_indexes_equal_a_recomputation(self):
        for seed in range(10):
            random = Random(seed)
            section = WorkloadSection()
            for index in range(300):
                section.apply(self.make_command(random), index, NOW + index)
                if random.random() < 0.05:
                    content = section.dump()
                    section = random.choice([section, WorkloadSection()])
                    section.load(content)
                    assert section.dump() == content
                self.check(section)
                self.check_superseded(section)


if __name__ == "__main__":
    unittest.main()
