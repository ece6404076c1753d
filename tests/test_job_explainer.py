"""Tests of the call that explains where a job would go, and changes nothing."""

import unittest
from copy import deepcopy

from gypsumwalk.declaration_records import Resources
from gypsumwalk.fleet_calls import ExplainJobCall
from gypsumwalk.fleet_refusals import LEADER_HEADER
from gypsumwalk.job_selection import JobGroup
from gypsumwalk.placement_forecast import make_candidates
from gypsumwalk.step_checks import MAX_TASKS, find_step_errors
from gypsumwalk.workload_records import AcceptWorkload, Step, Workload
from tests._fleet_work import HOST, KEY, FleetWorld
from tests.test_overload_order import CORE, SECONDS, OverloadedFleet
from tests.test_submissions_under_load import LARGE, SMALL, LoadedWorld

NEED = Resources(1000, 1000)


def make_call(job="new", steps=None, *, host=HOST, queue="a"):
    return ExplainJobCall(host, f"/{queue}/{job}", steps or [Step(2, NEED, 0.5)])


def list_leader_state(assembly):
    """Return what the leader keeps for placements, admission and rates."""
    scheduler, dispatcher = assembly.scheduler, assembly.dispatcher
    control = assembly.call_handler._submission_control
    table, backlog, lister = (
        dispatcher.lease_table,
        scheduler.backlog,
        scheduler._lister,
    )
    candidates = {
        service: {
            life: (pool._candidates[place].free, pool._candidates[place].withheld)
            for life, place in pool._positions.items()
        }
        for service, pool in lister._pools.items()
    }
    pools = {
        service: (dict(pool._admitted), pool._ordered_at, _list_backlog(pool._backlog))
        for service, pool in control._pools.items()
    }
    orders = {
        service: (
            dict(state.ranks),
            state.valid_until,
            state.limits._open,
            state.limits._kept,
            state.limits._deferred_since,
            {key: list(item.items) for key, item in state.limits._outcomes.items()},
        )
        for service, state in scheduler._order.overload._pools.items()
    }
    waiting = {
        job.workload.job: (dict(job.tasks), job.view, job.viewed_at)
        for job in scheduler._waiting
    }
    return deepcopy(
        {
            "lease table": {
                life: (view.used, list(view.runs), view.renewal_due)
                for life, view in table.instances.items()
            },
            "runs": list(table.runs_by_task),
            "usage": (table.usage_by_team, table.lasting_usage_by_team),
            "candidates": candidates,
            "changes": (lister._changed, lister._held, lister._closed),
            "reservations": (
                control._slots._slots,
                control._slots._promised,
                control._slots._by_time,
            ),
            "admitted": pools,
            "term": (control._term, control._term_began, control._known_at),
            "spares": control._spares._read_at,
            "quotas kept": scheduler._quotas._kept,
            "rates": (backlog._rates._buckets, backlog._rates._excess),
            "means": backlog._means._means,
            "running views": backlog._running,
            "orders": orders,
            "events": list(scheduler._order.overload.records),
            "waiting": waiting,
            "advice": scheduler.wanted_advice,
            "jobs": list(assembly.workloads.jobs),
            "log": assembly.consensus.applied_index,
            "pending": (
                list(assembly.call_handler._pending),
                assembly.call_handler._unsettled,
            ),
        }
    )


def _list_backlog(backlog):
    if backlog is None:
        return None
    return backlog.work, list(backlog._on_time), list(backlog._late)


def explain(world, call, *, delay):
    """Give a call to the leader directly, as if some seconds had passed."""
    leader = world.get_leader()
    clock = world.daemons[world.find_leader()].read_clock(world.now)
    part = leader.node._by_name["job-explainer"]
    return part._explain(call, KEY, clock + delay)


class TestAnswers(unittest.TestCase):
    def begin(self, **declared):
        self.world = FleetWorld(instances=2)
        self.world.begin(**declared)

    def test_it_names_queue_service_team_and_places(self):
        self.begin()
        body = self.world.ask(make_call()).body
        assert (body.queue, body.service, body.team) == ("queue-a", "service-a", "team")
        assert (body.accepted, body.status, body.reason) == (True, 200, "")
        assert (body.placement.tasks, body.placement.starting) == (2, 2)
        (place,) = body.placement.places
        assert (place.data_centre, place.rack) == ("dc", "rack-0")
        assert (place.free_cores, place.tasks) == (8.0, 2)
        assert body.placement.waits == []
        assert body.order is None
        assert body.completion == 0.5

    def test_the_job_is_not_submitted(self):
        self.begin()
        self.world.ask(make_call())
        assert self.world.describe("new").status == 410
        assert not self.world.model.history

    def test_a_path_without_a_queue_is_refused_and_not_forecast(self):
        self.begin()
        body = self.world.ask(make_call(queue="none")).body
        assert (body.queue, body.accepted, body.status) == ("", False, 404)
        assert body.placement is None

    def test_an_unknown_key_is_refused_and_not_repeated(self):
        self.begin()
        body = self.world.ask(make_call(), key="wrong-secret").body
        assert (body.queue, body.team, body.status) == ("queue-a", "", 401)
        assert "wrong-secret" not in repr(body)
        assert body.placement is None

    def test_a_job_without_an_identifier_is_refused(self):
        self.begin()
        body = self.world.ask(make_call("")).body
        assert (body.accepted, body.status) == (False, 400)

    def test_an_accepted_job_is_said_to_be_so(self):
        self.begin()
        self.world.submit("new")
        body = self.world.ask(make_call()).body
        assert body.accepted and "accepted already" in body.reason
        assert body.placement is None

    def test_without_a_declaration_nothing_is_chosen(self):
        self.world = FleetWorld()
        self.world.run(3.0)
        body = self.world.ask(make_call()).body
        assert (body.queue, body.status, body.retry_after) == ("", 503, 1)

    def test_waits_are_described(self):
        self.begin(quota=Resources(3000, 0, 0))
        placement = self.world.ask(make_call(steps=[Step(5, NEED)])).body.placement
        assert (placement.tasks, placement.starting) == (5, 3)
        assert [wait.reason for wait in placement.waits] == ["quota"]

    # Guards against explanations that make a leader late that is late already.
    def test_a_late_leader_explains_nothing(self):
        self.begin()
        self.world.get_leader().dispatcher._context.lateness = 0.2
        answer = self.world.ask(make_call())
        assert (answer.status, answer.headers["Retry-After"]) == (503, "1")

    def test_a_daemon_that_does_not_lead_names_the_leader(self):
        self.begin()
        leader = self.world.find_leader()
        other = next(name for name in self.world.names if name != leader)
        call = self.world.call(make_call(), to=other, credential=KEY)
        assert self.world.run_until(lambda: call.ended, within=3.0)
        assert call.answer.status == 503
        assert call.answer.headers[LEADER_HEADER] == leader


class TestSteps(unittest.TestCase):
    # Guards against steps that raise an error or take long in the leader.
    def test_steps_that_no_caller_can_submit_are_refused(self):
        world = FleetWorld()
        world.begin()
        for steps in (
            [Step(0, NEED)],
            [Step(-1, NEED)],
            [Step(1, NEED, after=[0])],
            [Step(1, NEED), Step(1, NEED, after=[-1])],
            [Step(1, Resources(-1000, 1))],
            [Step(1, NEED, -1.0)],
            [Step(1, NEED, float("inf"))],
            [Step(MAX_TASKS, NEED), Step(1, NEED)],
        ):
            assert world.ask(make_call(steps=steps)).status == 400, steps
        assert world.ask(ExplainJobCall(HOST, "/a/new", [])).status == 400

    def test_valid_steps_have_no_errors(self):
        steps = [Step(2, NEED, 0.5), Step(MAX_TASKS - 2, NEED, after=[0])]
        assert find_step_errors(steps) == []


class TestOverload(unittest.TestCase):
    """A pool with more work than it can do."""

    @classmethod
    def setUpClass(cls):
        cls.world = LoadedWorld()
        cls.world.submit_burst(retries=0)
        cls.world.run(0.3)

    def test_the_decision_is_that_on_a_submission(self):
        body = self.world.ask(make_call("asked", LARGE)).body
        answer = self.world.submit("asked", LARGE)
        assert (body.accepted, body.status) == (False, 503)
        assert answer.status == 503
        # A few milliseconds pass in between.
        retry_after = int(answer.headers["Retry-After"])
        assert 0 <= body.retry_after - retry_after <= 1 <= retry_after
        assert body.reason.startswith("the pool is overloaded")
        assert body.order.is_overloaded
        assert body.completion > 0.5
        assert [wait.reason for wait in body.placement.waits] == ["room"]

    # Guards against an explanation that changes what becomes of the jobs of callers.
    def test_nothing_of_the_leader_changes(self):
        leader = self.world.get_leader()
        before = list_leader_state(leader)
        assert before["waiting"] and before["orders"] and before["reservations"][0]
        assert before["admitted"] and before["rates"][0] and before["runs"]
        for steps in (SMALL, LARGE, [Step(2, NEED, lasting=True)], [Step(90, NEED)]):
            for job in ("x", "small-003", "large-019"):
                # The cached orders and views are valid at first, and then not any more.
                for delay in (0.0, 0.1, 1.0):
                    answer = explain(self.world, make_call(job, steps), delay=delay)
                    assert answer.status == 200
        assert list_leader_state(leader) == before


class TestGroups(unittest.TestCase):
    """The group of a job in the order under overload."""

    def preview(self, fleet, count, *, team="team", estimate=SECONDS):
        steps = [Step(count, CORE, estimate)]
        workload = Workload("new", "queue-a", "service-a", team, "", steps)
        snapshot = fleet.scheduler.read_pool("service-a", fleet.table)
        candidates = make_candidates(snapshot, fleet.now)
        return fleet.scheduler.preview_order(workload, candidates, fleet.now)

    def load(self, fleet, jobs):
        for number in range(jobs):
            fleet.add(f"job-{number:03}", 8)
        fleet.begin()

    def test_a_job_that_fits_is_selected(self):
        fleet = OverloadedFleet()
        order = self.preview(fleet, 4)
        assert order.group is JobGroup.SELECTED
        assert not order.is_overloaded
        assert fleet.now < order.latest_start < fleet.now + 1.0
        self.load(fleet, 12)
        order = self.preview(fleet, 4)
        assert order.group is JobGroup.SELECTED
        assert order.is_overloaded

    def test_a_large_job_is_dropped(self):
        fleet = OverloadedFleet()
        self.load(fleet, 16)
        order = self.preview(fleet, 600)
        assert order.group is JobGroup.DROPPED
        assert order.completion > fleet.now + 600 * SECONDS / 64

    def test_a_job_beyond_the_weight_of_its_team_is_excess(self):
        fleet = OverloadedFleet(weight=1.0)
        self.load(fleet, 2)
        assert self.preview(fleet, 4).group is JobGroup.EXCESS
        assert self.preview(fleet, 4, team="hot").group is JobGroup.SELECTED
        self.load(fleet, 60)
        assert self.preview(fleet, 600).group is JobGroup.DROPPED_EXCESS

    # The margin for prediction errors is larger than the objective.
    def test_a_job_that_cannot_be_on_time_is_late(self):
        fleet = OverloadedFleet(objective=0.05)
        order = self.preview(fleet, 4)
        assert order.group is JobGroup.LATE
        assert order.latest_start < fleet.now

    def test_the_order_does_not_apply_without_an_objective_or_durations(self):
        for fields in ({"objective": 0.0}, {"learned": False}):
            assert self.preview(OverloadedFleet(**fields), 4) is None

    def test_a_preview_is_the_group_of_the_selection_that_follows(self):
        for count in (1, 8, 40, 600):
            fleet = OverloadedFleet()
            for number in range(24):
                fleet.add(f"job-{number:03}", 8)
            # A pass would start some of them.
            fleet.scheduler._update_ready(fleet.table, fleet.now)
            group = self.preview(fleet, count).group
            steps = [Step(count, CORE, SECONDS)]
            new = Workload("new", "queue-a", "service-a", "team", "", steps)
            # Without the record of its arrival, which changes the mean work of a job.
            fleet.workloads.apply(AcceptWorkload(new), 1, fleet.now)
            fleet.scheduler.invalidate("new")
            fleet.begin()
            ranks = fleet.scheduler._order.overload._pools["service-a"].ranks
            assert ranks["new"][1] == group, count


if __name__ == "__main__":
    unittest.main()
