"""Tests of the forecast of a placement: where tasks start, and what others wait for."""

import unittest
from copy import deepcopy

import msgspec

from gypsumwalk.advice import AdviceCache, name_step
from gypsumwalk.declaration_records import (
    AdvicePolicy,
    DeclaredTeam,
    PutDeclaration,
    Resources,
)
from gypsumwalk.declarations import DeclarationSection
from gypsumwalk.leases import InstanceView, LeaseTable
from gypsumwalk.placement_forecast import (
    WaitReason,
    forecast_placement,
    make_candidates,
)
from gypsumwalk.task_scheduler import TaskScheduler
from gypsumwalk.workload_records import (
    AcceptWorkload,
    PlaceRuns,
    RegisteredInstance,
    RegisterInstance,
    Step,
    Workload,
)
from gypsumwalk.workloads import WorkloadSection
from tests._fleet_work import make_declaration

NOW = 1000.0
NEED = Resources(2000, 1000)
CAPACITY = Resources(8000, 16000)
POLICY = AdvicePolicy(decision=0.02, per_instance=0.001, validity=5.0)


class Pool:
    """Scheduler of two instances with 8 cores, each in a data centre of its own."""

    def __init__(self, *, instances=2, quota=None, advice=None):
        self.declarations = DeclarationSection()
        declaration = make_declaration(2, advice=advice)
        team = DeclaredTeam("team", [], 0.0, quota or Resources())
        declaration = msgspec.structs.replace(declaration, teams=[team])
        self.declarations.apply(PutDeclaration(declaration), 1, NOW)
        self.workloads = WorkloadSection()
        self.evacuated = set()
        self.advice = AdviceCache()
        self.scheduler = TaskScheduler(
            self.declarations, self.workloads, self.advice, self.evacuated
        )
        self.table = LeaseTable()
        for number in range(instances):
            self.add_instance(number)

    def add_instance(self, number, **fields):
        defaults = {
            "instance": f"i-{number}",
            "born": 1000,
            "service": "service-a",
            "address": f"host-{number}:80",
            "data_centre": f"dc-{number}",
            "capacity": CAPACITY,
            "labels": ["disk", f"rack-{number}"],
            "machine": f"m-{number}",
        }
        registered = RegisteredInstance(**{**defaults, **fields})
        self.workloads.apply(RegisterInstance(registered), 1, NOW)
        view = InstanceView(registered, self.evacuated, answered_at=NOW)
        self.table.instances[registered.life] = view
        return view

    def get_view(self, number):
        return self.table.instances[f"i-{number}@1000"]

    def submit(self, name, *steps):
        workload = Workload(name, "queue-a", "service-a", "team", "", list(steps))
        self.workloads.apply(AcceptWorkload(workload), 1, NOW)
        self.scheduler.invalidate(name)

    def plan(self):
        planned = self.scheduler.plan_runs(self.table, NOW)
        placements = [item.placement for item in planned]
        self.workloads.apply(PlaceRuns(1, placements), 1, NOW)
        return planned

    def forecast(self, *steps):
        workload = Workload("new", "queue-a", "service-a", "team", "", list(steps))
        snapshot = self.scheduler.read_pool("service-a", self.table)
        return forecast_placement(workload, snapshot, NOW)

    def list_state(self):
        """Return what a pass or a forecast might change."""
        scheduler, table = self.scheduler, self.table
        candidates = {
            life: (candidate.free, candidate.withheld)
            for pool in scheduler._lister._pools.values()
            for life, position in pool._positions.items()
            for candidate in (pool._candidates[position],)
        }
        refused = {
            service: set(pool._refused)
            for service, pool in scheduler._lister._pools.items()
        }
        views = {
            life: (view.used, dict(view.runs), view.start_backoff_until)
            for life, view in table.instances.items()
        }
        waiting = {job.workload.job: dict(job.tasks) for job in scheduler._waiting}
        return deepcopy(
            (
                candidates,
                refused,
                views,
                waiting,
                scheduler._lister._changed,
                scheduler._quotas._kept,
                scheduler.wanted_advice,
                list(table.runs_by_task),
                table.usage_by_team,
                table.lasting_usage_by_team,
                self.advice._steps,
            )
        )


def list_reasons(forecast):
    return {wait.reason: wait.instances for wait in forecast.waits}


class TestPlaces(unittest.TestCase):
    # Guards against a forecast that differs from what a pass does with the same job.
    def test_they_are_those_of_the_pass_that_follows(self):
        for steps in (
            [Step(3, NEED)],
            [Step(6, NEED), Step(1, NEED, after=[0])],
            [Step(3, NEED), Step(4, NEED, lasting=True)],
            [Step(6, NEED, max_per_instance=2)],
            [Step(3, NEED, gang=True)],
            [Step(2, NEED, data_rack="rack-1")],
            [Step(1, NEED, filler=True)],
        ):
            pool = Pool()
            pool.submit("running", Step(2, NEED))
            pool.plan()
            pool.get_view(0).registered = msgspec.structs.replace(
                pool.get_view(0).registered, cold_until=NOW + 1
            )
            forecast = pool.forecast(*steps)
            pool.submit("new", *steps)
            planned = [item.run for item in pool.plan() if item.run.task.step == 0]
            lives = sorted(run.life for run in planned)
            expected = sorted(
                place.view.registered.life
                for place in forecast.places
                for _ in range(place.tasks)
            )
            assert lives == expected, steps
            assert forecast.starting == len(lives)
            assert bool(forecast.waits) is (len(lives) < steps[0].count)

    def test_free_processors_are_those_before_the_start(self):
        pool = Pool(instances=1)
        pool.submit("running", Step(1, NEED))
        pool.plan()
        (place,) = pool.forecast(Step(2, NEED)).places
        assert (place.tasks, place.free_cpu) == (2, 6000)
        assert place.view.registered.rack == "rack-0"


class TestWaits(unittest.TestCase):
    """What the tasks of a step wait for that do not start."""

    def test_room(self):
        forecast = Pool().forecast(Step(9, NEED))
        assert forecast.starting == 8
        assert list_reasons(forecast) == {WaitReason.ROOM: 2}

    def test_quota_of_the_team(self):
        pool = Pool(quota=Resources(5000, 0, 0))
        pool.submit("running", Step(1, NEED))
        pool.plan()
        forecast = pool.forecast(Step(3, NEED))
        assert forecast.starting == 1
        assert list_reasons(forecast) == {WaitReason.QUOTA: 0}
        assert "4 cores" in forecast.waits[0].detail
        assert "quota is 5 cores" in forecast.waits[0].detail

    def test_quota_and_room(self):
        pool = Pool(instances=1, quota=Resources(8000, 0, 0))
        forecast = pool.forecast(Step(5, NEED))
        assert forecast.starting == 4
        reasons = list_reasons(forecast)
        assert reasons == {WaitReason.QUOTA: 0, WaitReason.ROOM: 1}

    def test_label(self):
        forecast = Pool().forecast(Step(1, NEED, label="quantum"))
        assert list_reasons(forecast) == {WaitReason.LABEL: 2}
        assert '"quantum"' in forecast.waits[0].detail

    def test_size(self):
        forecast = Pool().forecast(Step(1, Resources(9000, 1)))
        assert list_reasons(forecast) == {WaitReason.SIZE: 2}

    def test_an_evacuated_data_centre(self):
        pool = Pool()
        pool.evacuated.add("dc-1")
        forecast = pool.forecast(Step(5, NEED))
        assert forecast.starting == 4
        reasons = list_reasons(forecast)
        assert reasons == {WaitReason.EVACUATED: 1, WaitReason.ROOM: 1}
        assert forecast.waits[0].detail == "dc-1"

    # Guards against an operator who ends an evacuation for tasks that have no room.
    def test_an_instance_that_is_held_and_full_has_no_room(self):
        pool = Pool(instances=1)
        pool.submit("running", Step(4, NEED))
        pool.plan()
        pool.evacuated.add("dc-0")
        assert list_reasons(pool.forecast(Step(1, NEED))) == {WaitReason.ROOM: 1}

    def test_machines_that_a_wave_or_a_move_holds(self):
        pool = Pool(instances=3)
        pool.scheduler.cordoned.add("m-0")
        pool.scheduler.changing_pool.add("m-1")
        pool.scheduler.released.add("m-2")
        forecast = pool.forecast(Step(1, NEED))
        assert forecast.starting == 0
        assert list_reasons(forecast) == {WaitReason.WAVE: 1, WaitReason.MOVE: 2}

    def test_draining_and_silent_instances(self):
        pool = Pool(instances=0)
        pool.add_instance(0, draining=True)
        pool.add_instance(1).silent_since = NOW
        pool.add_instance(2).start_backoff_until = NOW + 1
        reasons = list_reasons(pool.forecast(Step(1, NEED)))
        assert reasons == {WaitReason.DRAINING: 1, WaitReason.SILENT: 2}

    def test_advice(self):
        pool = Pool(advice=POLICY)
        forecast = pool.forecast(Step(1, NEED))
        assert list_reasons(forecast) == {WaitReason.ADVICE: 2}
        name = name_step("new", 0, 0)
        pool.advice.record_answer(name, ["i-1@1000"], {"i-1@1000": "x"}, NOW + 5)
        forecast = pool.forecast(Step(5, NEED))
        assert [item.view.registered.instance for item in forecast.places] == ["i-1"]
        reasons = list_reasons(forecast)
        assert reasons == {WaitReason.ADVICE: 1, WaitReason.ROOM: 1}

    def test_the_spread_of_a_step(self):
        forecast = Pool().forecast(Step(3, NEED, max_per_instance=1))
        assert forecast.starting == 2
        assert list_reasons(forecast) == {WaitReason.SPREAD: 2}

    def test_a_gang_that_has_no_room_together(self):
        forecast = Pool().forecast(Step(9, NEED, gang=True))
        assert (forecast.tasks, forecast.starting) == (9, 0)
        assert list_reasons(forecast) == {WaitReason.GANG: 2, WaitReason.ROOM: 2}
        assert forecast.waits[0].detail.startswith("8 of 9 tasks")

    def test_room_that_is_kept_for_lasting_tasks(self):
        pool = Pool(instances=1)
        pool.submit("running", Step(2, NEED))
        pool.plan()
        pool.submit("lasting", Step(1, Resources(7000, 1), lasting=True))
        pool.plan()
        forecast = pool.forecast(Step(1, NEED))
        assert list_reasons(forecast) == {WaitReason.KEPT: 1}

    def test_quota_that_is_kept_for_lasting_tasks(self):
        pool = Pool(instances=1, quota=Resources(9000, 0, 0))
        pool.submit("running", Step(1, NEED))
        pool.plan()
        pool.submit("lasting", Step(1, Resources(7000, 1), lasting=True))
        pool.plan()
        assert WaitReason.QUOTA in list_reasons(pool.forecast(Step(1, NEED)))

    def test_a_service_without_instances(self):
        reasons = list_reasons(Pool(instances=0).forecast(Step(1, NEED)))
        assert reasons == {WaitReason.NO_INSTANCE: 0}

    def test_instances_of_other_services_do_not_count(self):
        pool = Pool(instances=1)
        pool.add_instance(1, service="service-b")
        forecast = pool.forecast(Step(5, NEED))
        assert list_reasons(forecast) == {WaitReason.ROOM: 1}


class TestState(unittest.TestCase):
    # Guards against a forecast that takes room, quota or advice from waiting tasks.
    def test_a_forecast_changes_nothing(self):
        for advice in (None, POLICY):
            with self.subTest(advice=advice):
                self.check_that_nothing_changes(advice)

    def check_that_nothing_changes(self, advice):
        pool = Pool(quota=Resources(40000, 0, 0), advice=advice)
        pool.submit("lasting", Step(1, Resources(7000, 1), lasting=True))
        pool.submit("waiting", Step(4, NEED))
        pool.plan()
        # The lister has not followed these yet, and must not do so now.
        pool.add_instance(2)
        pool.evacuated.add("dc-1")
        before = pool.list_state()
        for steps in (
            [Step(3, NEED)],
            [Step(30, NEED, lasting=True), Step(2, NEED)],
            [Step(30, NEED, gang=True)],
            [Step(1, NEED, label="quantum")],
        ):
            pool.forecast(*steps)
            make_candidates(pool.scheduler.read_pool("service-a", pool.table), NOW)
            assert pool.list_state() == before, steps


if __name__ == "__main__":
    unittest.main()
