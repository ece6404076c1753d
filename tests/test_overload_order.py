"""Tests of the order in which an overloaded pool runs its jobs."""

import unittest
from collections import Counter
from unittest.mock import patch

import msgspec

from gypsumwalk import job_selection
from gypsumwalk.backlog_views import BacklogViews
from gypsumwalk.declaration_records import (
    DeclaredTeam,
    PutDeclaration,
    Resources,
)
from gypsumwalk.events import Event
from gypsumwalk.leases import LeaseTable
from gypsumwalk.overload_order import MIN_INTERVAL_SECONDS
from gypsumwalk.workload_records import (
    AcceptWorkload,
    CancelWorkload,
    PlaceRuns,
    Step,
    Workload,
)
from tests._fleet_work import make_declaration
from tests._scheduling import NOW, Fleet, make_instance

CORE = Resources(1000, 1000)
SECONDS = 0.5


class OverloadedFleet(Fleet):
    """Fleet with instances of 64 cores whose queues have an objective.

    ``now`` is the time of the next pass. The durations of the queues are learned.
    """

    def __init__(self, *, instances=1, objective=1.0, learned=True, weight=0.0):
        super().__init__()
        self.now = NOW
        declaration = make_declaration(2)
        queues = [
            msgspec.structs.replace(queue, objective=objective, stretch=1.0)
            for queue in declaration.queues
        ]
        plain = msgspec.structs.replace(
            declaration.queues[0], name="queue-plain", objective=0.0
        )
        teams = [DeclaredTeam(name, [], weight) for name in ("team", "hot")]
        declaration = msgspec.structs.replace(
            declaration, queues=[*queues, plain], teams=teams
        )
        self.declarations.apply(PutDeclaration(declaration), 1, NOW)
        for number in range(instances):
            self.add_instance(make_instance(number))
        if learned:
            self.learn()

    def learn(self):
        done = Workload(
            "done", "queue-a", "service-a", "team", "", [Step(1, CORE, SECONDS)]
        )
        for _ in range(20):
            self.scheduler._urgency.record_duration(done, 0, SECONDS)

    def add(self, name, count, *, team="team", queue="queue-a", steps=None, need=CORE):
        steps = steps or [Step(count, need, SECONDS)]
        workload = Workload(name, queue, "service-a", team, "", steps)
        self.workloads.apply(AcceptWorkload(workload), 1, self.now)
        self.scheduler.backlog.record_arrival(workload, self.now)
        self.scheduler.invalidate(name)

    def begin(self):
        """Plan the runs of a pass; return how many tasks of each job start."""
        planned = self.scheduler.plan_runs(self.table, self.now)
        placements = [item.placement for item in planned]
        self.workloads.apply(PlaceRuns(1, placements), 1, self.now)
        for item in planned:
            item.run.planned_at = self.now
        return Counter(item.run.task.job for item in planned)

    def list_records(self):
        return [item.attributes for item in self.scheduler.take_records()]


class TestOverload(unittest.TestCase):
    """A burst submits several times what the pool can do within the objective."""

    def add_burst(self, fleet):
        fleet.add("large", 600)
        for number in range(20):
            fleet.add(f"small-{number:02}", 4)

    # The large job had the least slack and took the whole pool, so that all small ones
    # were late, and so was it.
    def test_small_jobs_go_before_a_large_one_that_would_take_their_time(self):
        fleet = OverloadedFleet()
        fleet.add("running", 40)
        fleet.begin()
        fleet.now += 0.3
        fleet.add("large", 600)
        fleet.now += 0.1
        for number in range(20):
            fleet.add(f"small-{number:02}", 4)
        assert "large" not in fleet.begin()

    def test_the_jobs_keep_their_order_while_all_fits(self):
        fleet = OverloadedFleet(instances=20)
        self.add_burst(fleet)
        assert sum(fleet.begin().values()) == 680
        assert not fleet.list_records()

    def test_without_an_objective_the_order_is_that_of_the_urgency(self):
        plain, with_objective = OverloadedFleet(objective=0.0), OverloadedFleet()
        for fleet in (plain, with_objective):
            self.add_burst(fleet)
            fleet.begin()
        assert not plain.list_records()
        assert with_objective.list_records()

    def test_without_learned_durations_the_order_is_that_of_the_urgency(self):
        fleet = OverloadedFleet(learned=False)
        self.add_burst(fleet)
        fleet.begin()
        assert not fleet.list_records()

    def test_lasting_tasks_go_first(self):
        fleet = OverloadedFleet()
        self.add_burst(fleet)
        fleet.add("lasting", 1, steps=[Step(30, CORE, lasting=True)])
        assert fleet.begin()["lasting"] == 30

    def test_jobs_of_a_queue_without_an_objective_keep_their_places(self):
        orders = []
        for is_selected in (True, False):
            fleet = OverloadedFleet()
            self.add_burst(fleet)
            for number in range(3):
                fleet.add(f"plain-{number}", 2, queue="queue-plain")
            with patch.object(
                BacklogViews,
                "can_view",
                BacklogViews.can_view if is_selected else lambda *_: False,
            ):
                fleet.scheduler._update_ready(fleet.table, fleet.now)
                pools = fleet.scheduler._lister.list_pools(
                    fleet.table, set(), fleet.now
                )
                order = fleet.scheduler._order.sort(pools, fleet.now)
            names = [job.workload.job for job, _ in order]
            places = [
                (place, name)
                for place, name in enumerate(names)
                if name.startswith("plain")
            ]
            orders.append((places, sorted(names), names))
        assert orders[0][:2] == orders[1][:2]
        assert orders[0][2] != orders[1][2]

    def test_excess_jobs_of_a_hot_team_go_last(self):
        fleet = OverloadedFleet(weight=4.0)
        for number in range(12):
            fleet.add(f"hot-{number:02}", 16, team="hot")
        for number in range(4):
            fleet.add(f"team-{number}", 16)
        within_weight = {f"hot-{number:02}" for number in range(4)}
        within_weight |= {f"team-{number}" for number in range(4)}
        started = fleet.begin()
        assert len(started) == 4
        assert set(started) <= within_weight, started
        assert fleet.list_records()[0]["excess"] == 8

    def test_a_repeated_command_is_no_further_job_of_its_team(self):
        fleet = OverloadedFleet(weight=1.0)
        fleet.add("first", 1)
        workload = fleet.workloads.jobs["first"]
        for step in range(3):
            fleet.scheduler.backlog.record_arrival(workload, fleet.now + 1 + step)
        fleet.now += 4.0
        fleet.add("second", 1)
        assert not fleet.scheduler.backlog._rates.is_excess("second")


class TestInterval(unittest.TestCase):
    """Passes run hundreds of times a second while a pool is overloaded."""

    def make_fleet(self):
        fleet = OverloadedFleet(instances=2)
        for number in range(60):
            fleet.add(f"job-{number:03}", 8)
        return fleet

    def count_selections(self, fleet, passes, seconds):
        with patch(
            "gypsumwalk.overload_order.select_jobs", wraps=job_selection.select_jobs
        ) as select:
            for _ in range(passes):
                fleet.begin()
                for run in fleet.table.list_runs()[:1]:
                    fleet.end(run)
                fleet.now += seconds / passes
        return select.call_count

    def test_a_selection_is_used_for_the_interval(self):
        fleet = self.make_fleet()
        count = self.count_selections(fleet, 40, 0.1)
        assert 3 <= count <= 0.1 / MIN_INTERVAL_SECONDS + 1, count

    def test_a_job_that_arrives_in_between_counts_as_selected(self):
        fleet = self.make_fleet()
        fleet.begin()
        for run in fleet.table.list_runs()[:8]:
            fleet.end(run)
        fleet.now += 0.001
        fleet.add("urgent", 1, steps=[Step(1, CORE)])
        fleet.scheduler._update_ready(fleet.table, fleet.now)
        fleet.begin()
        ranks = fleet.scheduler._order.overload._pools["service-a"].ranks
        assert ranks["urgent"][1] == job_selection.JobGroup.SELECTED

    # 1,000 waiting jobs may cost 5 ms; a view and a place in the order for each of them
    # do, and a look at each instance and run.
    def test_a_selection_views_each_job_once(self):
        fleet = OverloadedFleet(instances=4)
        for number in range(1000):
            fleet.add(f"job-{number:04}", 2)
        make_view = BacklogViews._make_view
        views = Counter()

        def counting(self, workload, *args):
            views[workload.job] += 1
            return make_view(self, workload, *args)

        with patch.object(BacklogViews, "_make_view", counting):
            for _ in range(4):
                fleet.begin()
        assert set(views.values()) == {1}, views.most_common(3)
        assert len(views) == 1000

    def test_a_new_term_selects_again(self):
        fleet = self.make_fleet()
        fleet.begin()
        fleet.scheduler.reset()
        assert not fleet.scheduler._order.overload._pools


class TestEvents(unittest.TestCase):
    """An operator looks for the reason why jobs wait."""

    def test_an_overloaded_pool_is_logged_once_a_second(self):
        fleet = OverloadedFleet()
        for number in range(60):
            fleet.add(f"job-{number:03}", 8)
        fleet.begin()
        records = fleet.scheduler.take_records()
        assert [(item.event, item.subject) for item in records] == [
            (Event.POOL_OVERLOADED, "service-a")
        ]
        assert records[0].attributes["jobs"] == 60
        for _ in range(20):
            fleet.now += 0.045
            for run in fleet.table.list_runs()[:1]:
                fleet.end(run)
            fleet.begin()
        assert not fleet.list_records()
        fleet.now += 0.2
        fleet.end(fleet.table.list_runs()[0])
        fleet.begin()
        assert len(fleet.list_records()) == 1


class TestViews(unittest.TestCase):
    """Views of what jobs and pools need while work goes on."""

    def view(self, fleet):
        backlog = fleet.scheduler.backlog.list_backlog("service-a", fleet.now)
        return {job.job: job for job in backlog}

    def test_the_work_of_a_job_is_what_has_not_started(self):
        fleet = OverloadedFleet()
        fleet.add("job", 100)
        fleet.begin()
        job = self.view(fleet)["job"]
        self.assertAlmostEqual(job.work, 36 * SECONDS)
        self.assertAlmostEqual(job.total_work, 100 * SECONDS)
        assert job.has_started

    # A job whose first step ran had no ready task, and the room for its later steps was
    # given to others.
    def test_later_steps_of_a_running_job_count(self):
        fleet = OverloadedFleet()
        steps = [Step(4, CORE, SECONDS), Step(6, CORE, SECONDS, after=[0])]
        fleet.add("job", 0, steps=steps)
        self.assertAlmostEqual(
            fleet.scheduler.backlog.view_job(
                fleet.workloads.jobs["job"],
                fleet.declarations.get_queue("queue-a"),
                fleet.now,
            ).work,
            10 * SECONDS,
        )
        fleet.begin()
        self.assertAlmostEqual(self.view(fleet)["job"].work, 6 * SECONDS)
        for run in fleet.table.list_runs():
            fleet.end(run)
        fleet.scheduler._update_ready(fleet.table, fleet.now)
        workload = fleet.workloads.jobs["job"]
        seconds = fleet.scheduler._urgency.predict(workload, 1)
        self.assertAlmostEqual(self.view(fleet)["job"].work, 6 * seconds)

    def test_the_times_are_those_of_the_objective(self):
        fleet = OverloadedFleet()
        fleet.add("job", 1)
        fleet.scheduler._update_ready(fleet.table, fleet.now)
        job = self.view(fleet)["job"]
        self.assertAlmostEqual(job.due, NOW + 1.0 + SECONDS)
        self.assertAlmostEqual(job.expires, NOW + 3 * (1.0 + SECONDS))
        self.assertAlmostEqual(job.latest_start, NOW + 1.0 - 0.1)

    def test_a_job_that_is_not_accepted_counts_from_now(self):
        fleet = OverloadedFleet(weight=1.0)
        fleet.add("first", 1)
        queue = fleet.declarations.get_queue("queue-a")
        new = Workload("new", "queue-a", "service-a", "team", "", [Step(1, CORE)])
        job = fleet.scheduler.backlog.view_job(new, queue, NOW)
        assert (job.submitted, job.is_excess) == (NOW, True)
        self.assertAlmostEqual(job.due, NOW + 1.0 + SECONDS)

    def test_the_mean_work_is_that_of_the_accepted_jobs(self):
        fleet = OverloadedFleet()
        for number, count in enumerate((2, 4, 6)):
            fleet.add(f"job-{number}", count)
        fleet.scheduler._update_ready(fleet.table, fleet.now)
        for job in self.view(fleet).values():
            self.assertAlmostEqual(job.mean_work, 4 * SECONDS)

    def test_cancelled_lasting_and_recurring_jobs_are_no_backlog(self):
        fleet = OverloadedFleet()
        fleet.add("cancelled", 1)
        fleet.workloads.apply(CancelWorkload("cancelled"), 1, NOW)
        fleet.add("lasting", 1, steps=[Step(1, CORE, lasting=True), Step(1, CORE)])
        fleet.scheduler._update_ready(fleet.table, fleet.now)
        assert not self.view(fleet)

    def test_the_room_is_what_lasting_tasks_leave(self):
        fleet = OverloadedFleet(instances=2)
        fleet.add("lasting", 1, steps=[Step(41, CORE, lasting=True)])
        fleet.add("passing", 10)
        fleet.begin()
        fleet.add("next", 1)
        fleet.begin()
        room = fleet.scheduler.backlog.find_room("service-a", fleet.now + 0.2)
        self.assertAlmostEqual(room.cores, (128 - 41) / 1.15)
        self.assertAlmostEqual(room.running_work, 11 * 0.3)

    def test_a_run_of_an_earlier_leader_counts_half(self):
        fleet = OverloadedFleet()
        fleet.add("passing", 10)
        fleet.begin()
        for run in fleet.table.list_runs():
            run.planned_at = 0.0
        room = fleet.scheduler.backlog.find_room("service-a", fleet.now)
        self.assertAlmostEqual(room.running_work, 10 * SECONDS / 2)

    def test_jobs_wait_while_they_have_ready_tasks(self):
        fleet = OverloadedFleet()
        backlog = fleet.scheduler.backlog
        fleet.add("job", 65)
        fleet.begin()
        assert backlog.has_waiting("service-a")
        assert not backlog.has_waiting("service-b")
        fleet.end(fleet.table.list_runs()[0])
        fleet.begin()
        assert not backlog.has_waiting("service-a")

    def test_machines_on_their_way_are_in_the_room(self):
        fleet = OverloadedFleet()
        fleet.scheduler.backlog.arriving = {"service-a": ((NOW + 2.0, 16.0),)}
        room = fleet.scheduler.backlog.find_room("service-a", NOW)
        assert [at for at, _ in room.arriving] == [NOW + 2.0]
        assert not fleet.scheduler.backlog.find_room("service-b", NOW).arriving

    def test_the_views_follow_the_lease_table_of_the_pass(self):
        fleet = OverloadedFleet()
        fleet.scheduler.plan_runs(fleet.table, NOW)
        assert fleet.scheduler.backlog.lease_table is fleet.table
        assert isinstance(fleet.table, LeaseTable)


if __name__ == "__main__":
    unittest.main()
