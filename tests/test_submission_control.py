"""Tests of which submissions are refused, and which never are."""

import unittest
from copy import copy, deepcopy
from types import SimpleNamespace

from gypsumwalk.advice import AdviceCache
from gypsumwalk.backlog import RoomView
from gypsumwalk.declaration_records import (
    Declaration,
    DeclaredQueue,
    DeclaredService,
    DeclaredTeam,
    PutDeclaration,
    Resources,
)
from gypsumwalk.declarations import DeclarationSection
from gypsumwalk.events import Event
from gypsumwalk.instance_actions import MachineInfo
from gypsumwalk.leases import InstanceView, LeaseTable, RunState, RunView
from gypsumwalk.problems import Outcome, ProblemType, refuse
from gypsumwalk.submission_control import (
    MIN_KNOWN_DURATIONS,
    TERM_SECONDS,
    SubmissionControl,
)
from gypsumwalk.task_scheduler import TaskScheduler
from gypsumwalk.workload_records import (
    AcceptWorkload,
    RegisteredInstance,
    RegisterInstance,
    Step,
    TaskKey,
    Workload,
)
from gypsumwalk.workloads import WorkloadSection
from tests._job_views import make_view

NOW = 1000.0
NEED = Resources(1000, 1000)
CAPACITY = Resources(8000, 16000, 1)
TEAM = DeclaredTeam("team", ["key"], 1.0, Resources(6000, 0, 0))


def make_queue(name="q", **fields):
    return DeclaredQueue(
        name, "host", f"/{name}/", "s", timeout=3.0, **{"objective": 1.0, **fields}
    )


class FakeViews:
    """A pool with a backlog of some core-seconds that goes before new jobs."""

    def __init__(self, backlog):
        self.backlog = backlog
        self.lease_table = LeaseTable()
        self.orders = 0

    def copy(self):
        return copy(self)

    def has_waiting(self, service):
        return self.backlog > 0

    def view_job(self, workload, queue, now):
        work = 1.0 + len(workload.job) / 1000
        return make_view(workload.job, submitted=now, work=work)

    def list_backlog(self, service, now):
        self.orders += 1
        count = int(2 * self.backlog)
        return [
            make_view(f"small-{number}", submitted=now, work=0.5)
            for number in range(count)
        ]

    def find_room(self, service, now):
        return RoomView(8.0)


class FakeDirectory:
    def __init__(self):
        self.machines = {}
        self.read_at = NOW
        self.settled = True

    def is_settled(self, seconds, now):
        return self.settled and bool(self.machines)

    def list_machine(self, service="s", state="up", **fields):
        name = f"m-{len(self.machines)}"
        fields = {"labels": ["disk"], "capacity": CAPACITY, **fields}
        self.machines[name] = MachineInfo(name, service, state, **fields)
        self.read_at += 1


class Desk:
    """A leader since long, whose only instance is full, and its submissions."""

    def __init__(self, *, backlog=100.0, queue=None, standby=False):
        self.queue = queue or make_queue()
        self.declarations = DeclarationSection()
        services = [DeclaredService("s"), DeclaredService("spare", standby=standby)]
        declaration = Declaration(1, [self.queue], services, [TEAM])
        self.declarations.apply(PutDeclaration(declaration), 1, NOW)
        self.workloads = WorkloadSection()
        advice = AdviceCache()
        self.scheduler = TaskScheduler(self.declarations, self.workloads, advice)
        self.table = LeaseTable()
        self.dispatcher = SimpleNamespace(term=3, lease_table=self.table)
        self.directory = FakeDirectory()
        self.views = FakeViews(backlog)
        self.control = SubmissionControl(
            declarations=self.declarations,
            workloads=self.workloads,
            dispatcher=self.dispatcher,
            scheduler=self.scheduler,
            directory=self.directory,
            views=self.views,
        )
        self.run = self.add_full_instance()
        self.learn_durations(MIN_KNOWN_DURATIONS)
        self.control.observe_term(NOW - 60)

    def add_instance(self, name, service):
        registered = RegisteredInstance(
            name, 1, service, f"{name}:80", "dc", CAPACITY, ["disk"], "m-0"
        )
        self.workloads.apply(RegisterInstance(registered), 1, NOW)
        view = InstanceView(registered, answered_at=NOW)
        self.table.instances[registered.life] = view
        return registered

    def add_full_instance(self):
        registered = self.add_instance("i", "s")
        key = TaskKey("running", 0, 0, 0)
        run = RunView(key, 1, registered.life, CAPACITY, "", CAPACITY, RunState.RUNNING)
        self.table.add(run)
        return run

    def learn_durations(self, count):
        workload = self.make_job("learned")
        self.workloads.apply(AcceptWorkload(workload), 1, NOW - 100)
        for number in range(count):
            self.scheduler.record_duration(TaskKey("learned", 0, 0, number), 1.0)

    def make_job(self, job="job", steps=None, **fields):
        steps = steps or [Step(2, NEED)]
        name = self.queue.name
        return Workload(job, name, "s", "team", "spec", steps, **fields)

    def submit(self, job="job", steps=None, *, now=NOW, **fields):
        workload = self.make_job(job, steps, **fields)
        return self.control.decide(workload, self.queue, TEAM, now)

    def is_refused(self, *args, **fields):
        return self.submit(*args, **fields).refusal is not None


class TestRefusal(unittest.TestCase):
    """The backlog of a pool is more than it does before results have no value."""

    def test_it_is_a_503_with_a_time_to_return(self):
        verdict = Desk().submit()
        assert verdict.refusal.status == 503
        assert verdict.refusal.body.type == "/problems/overloaded"
        assert verdict.refusal.body.outcome.value == "not run"
        assert 1 <= int(verdict.refusal.headers["Retry-After"]) <= 30

    def test_the_time_is_rounded_up_to_whole_seconds(self):
        # A caller that returns earlier than its slot may be refused again.
        for seconds, header in ((0.2, "1"), (1.2, "2"), (2.0000004, "2"), (29.5, "30")):
            answer = refuse(
                ProblemType.OVERLOADED, Outcome.NOT_RUN, retry_after=seconds
            )
            assert answer.headers["Retry-After"] == header, seconds

    def test_it_is_explained_by_an_event(self):
        (record,) = Desk().submit().records
        assert record.event is Event.SUBMISSION_REFUSED
        assert record.subject == "job"
        detail = record.attributes
        assert detail["backlog"] == detail["supply"] == 48.0
        assert detail["completion"] > 6 and detail["retry"] >= 1.0
        assert (detail["queue"], detail["service"]) == ("q", "s")
        assert detail["reserved"] == 1
        assert record.event.template.format(**detail)

    def test_a_caller_that_returns_is_admitted_ahead_of_new_ones(self):
        desk = Desk()
        back = NOW + int(desk.submit().refusal.headers["Retry-After"])
        for number in range(60):
            desk.submit(f"other-{number}")
        desk.views.backlog = 45.0
        assert desk.is_refused("new", now=back)
        verdict = desk.submit(now=back)
        assert verdict.refusal is None
        assert [item.event for item in verdict.records] == [Event.SUBMISSION_RETURNED]

    def test_jobs_that_are_not_stored_yet_count(self):
        desk = Desk(backlog=46.0)
        times = [NOW + 0.1 * number for number in range(4)]
        refused = [desk.is_refused(f"job-{now}", now=now) for now in times]
        assert refused == [False, True, True, True]
        # Their proposals were not accepted, and the refused callers did not return.
        assert not desk.is_refused("later", now=NOW + 6.0)


class TestPreview(unittest.TestCase):
    """The decision is asked for and not taken."""

    def preview(self, desk, job="job", steps=None, *, now=NOW):
        workload = desk.make_job(job, steps)
        return desk.control.preview(workload, desk.queue, TEAM, now)

    def list_state(self, desk):
        control = desk.control
        slots = control._slots
        pools = {
            service: (
                dict(pool._admitted),
                pool._ordered_at,
                pool._backlog and (pool._backlog.work, list(pool._backlog._late)),
            )
            for service, pool in control._pools.items()
        }
        spares = control._spares
        return deepcopy(
            (
                slots._slots,
                slots._promised,
                slots._by_time,
                pools,
                control._term,
                control._known_at,
                spares._read_at,
                desk.scheduler._lister._changed,
                list(desk.scheduler._lister._pools),
            )
        )

    # Guards against a preview that differs from the decision that follows.
    def test_it_is_the_decision_that_follows(self):
        for backlog in (0.0, 46.0, 100.0):
            for count in (0, 3):
                desk = Desk(backlog=backlog)
                for number in range(count):
                    desk.submit(f"other-{number}")
                preview = self.preview(desk)
                assert preview == desk.submit(), (backlog, count)

    # Guards against a preview that reserves a retry slot, so that callers are told to
    # return later, or that counts as an admitted job.
    def test_it_changes_nothing(self):
        for backlog in (0.0, 46.0, 100.0):
            desk = Desk(backlog=backlog)
            desk.directory.list_machine()
            desk.submit("other")
            # What has changed since the latest decision is not followed by a preview.
            desk.directory.list_machine()
            desk.add_instance("j", "spare")
            before = self.list_state(desk)
            # The candidates are looked at for jobs that the load does not admit.
            assert bool(before[-2]) is (backlog == 100.0)
            for number in range(5):
                self.preview(desk, f"job-{number}", now=NOW + number)
            self.preview(desk, "other", now=NOW + 3)
            self.preview(desk, "huge", [Step(1, Resources(90_000, 1))])
            assert self.list_state(desk) == before, backlog

    def test_free_capacity_and_impossible_jobs_are_seen(self):
        desk = Desk()
        desk.directory.list_machine()
        huge = [Step(1, Resources(1000, 1), label="quantum")]
        assert self.preview(desk, steps=huge).refusal.status == 422
        assert self.preview(desk).refusal.status == 503
        desk.table.remove(desk.run)
        assert self.preview(desk).refusal is None


class TestCost(unittest.TestCase):
    """Decisions that would use up the time of the leader."""

    def submit_all(self, desk, *, seconds):
        for number in range(100):
            desk.submit(f"job-{number}", now=NOW + seconds * number / 100)
        return desk.views.orders

    def test_without_waiting_jobs_nothing_is_ordered_or_kept(self):
        desk = Desk(backlog=0.0)
        assert self.submit_all(desk, seconds=100.0) == 0
        (pool,) = desk.control._pools.values()
        assert len(pool._admitted) < 5

    def test_the_backlog_is_ordered_at_most_every_20_ms(self):
        assert 30 <= self.submit_all(Desk(), seconds=1.0) <= 50

    def test_a_large_backlog_is_ordered_less_often(self):
        # 2,500 jobs, each for 40 microseconds.
        assert 9 <= self.submit_all(Desk(backlog=1250.0), seconds=1.0) <= 11


class TestNeverRefused(unittest.TestCase):
    """Submissions that are admitted whatever the load is."""

    def test_a_queue_without_an_objective(self):
        assert not Desk(queue=make_queue(objective=0.0)).is_refused()

    def test_a_lasting_job(self):
        assert not Desk().is_refused(steps=[Step(1, NEED, lasting=True)])

    def test_a_recurring_job_and_one_that_is_due_later(self):
        assert not Desk().is_refused(occurrences=3, interval=5.0)
        assert not Desk().is_refused(first_run=NOW + 5)

    def test_a_job_for_which_the_pool_has_free_capacity(self):
        desk = Desk()
        desk.table.remove(desk.run)
        assert not desk.is_refused()
        assert desk.is_refused("large", [Step(9, NEED)])

    def test_a_job_shortly_after_a_change_of_leader(self):
        desk = Desk()
        desk.dispatcher.term = 5
        desk.control.observe_term(NOW)
        assert not desk.is_refused(now=NOW + TERM_SECONDS - 0.1)
        assert desk.is_refused("other", now=NOW + TERM_SECONDS)

    def test_a_daemon_that_does_not_lead_refuses_nothing(self):
        desk = Desk()
        desk.dispatcher.term = 0
        assert not desk.is_refused(now=NOW + 60)

    def test_a_queue_whose_durations_are_not_known(self):
        desk = Desk(queue=make_queue("new"))
        desk.scheduler = TaskScheduler(desk.declarations, desk.workloads, AdviceCache())
        desk.control._scheduler = desk.scheduler
        desk.learn_durations(MIN_KNOWN_DURATIONS - 1)
        assert not desk.is_refused()
        desk.learn_durations(1)
        assert desk.is_refused()

    def test_a_change_of_leader_discards_the_reservations(self):
        desk = Desk()
        desk.submit()
        desk.dispatcher.term = 5
        desk.control.observe_term(NOW)
        (record,) = desk.submit("other", now=NOW + TERM_SECONDS).records
        assert record.attributes["reserved"] == 1


class TestSpareMachines(unittest.TestCase):
    """The pool is small, and machines that may join it do the backlog in time."""

    def test_machines_on_standby_count(self):
        desk = Desk(backlog=60.0, standby=True)
        for _ in range(2):
            desk.directory.list_machine("spare")
        assert not desk.is_refused()

    def test_without_moves_they_do_not_count(self):
        desk = Desk(backlog=60.0)
        for _ in range(2):
            desk.directory.list_machine("spare")
        assert desk.is_refused()

    def test_machines_of_the_pool_that_return_from_a_maintenance_count(self):
        for state, is_refused in (("maintenance", False), ("down", True)):
            desk = Desk(backlog=60.0)
            for _ in range(2):
                desk.directory.list_machine("s", state)
            assert desk.is_refused() is is_refused, state


class TestImpossibleJobs(unittest.TestCase):
    """Jobs that can never run are refused whatever the load is, unless in doubt."""

    HUGE = (Step(1, Resources(9000, 1)),)
    """More than the machines have; within no quota, so the team has none here."""

    def setUp(self):
        self.desk = Desk(backlog=0.0)
        self.desk.directory.list_machine()

    def submit(self, steps, *, team=None, **fields):
        workload = self.desk.make_job("job", list(steps), **fields)
        return self.desk.control.decide(workload, self.desk.queue, team, NOW)

    def test_it_is_a_422_without_a_time_to_return(self):
        verdict = self.submit(self.HUGE)
        assert verdict.refusal.status == 422
        assert verdict.refusal.body.type == "/problems/never-runs"
        assert "a task needs 9 cores" in verdict.refusal.body.detail
        assert "Retry-After" not in verdict.refusal.headers
        (record,) = verdict.records
        assert record.event is Event.SUBMISSION_IMPOSSIBLE
        assert "9 cores" in record.attributes["reason"]

    def test_quota_and_label_count(self):
        steps = [Step(1, Resources(7000, 1))]
        assert (
            'quota of team "team"' in self.submit(steps, team=TEAM).refusal.body.detail
        )
        labelled = [Step(1, NEED, label="quantum")]
        assert '"quantum"' in self.submit(labelled).refusal.body.detail

    def test_it_is_admitted_if_the_machines_are_not_settled(self):
        self.desk.directory.settled = False
        assert self.submit(self.HUGE).refusal is None

    def test_it_is_admitted_if_a_machine_is_not_known(self):
        self.desk.directory.list_machine(capacity=Resources())
        assert self.submit(self.HUGE).refusal is None

    def test_it_is_admitted_if_a_machine_of_another_pool_has_the_resources(self):
        self.desk.directory.list_machine("other", capacity=Resources(16000, 1))
        assert self.submit(self.HUGE).refusal is None

    def test_an_instance_that_has_just_registered_counts(self):
        assert self.submit(self.HUGE).refusal is not None
        large = RegisteredInstance(
            "large", 1, "s", "large:80", "dc", Resources(16000, 1), ["disk"], "m-9"
        )
        self.desk.workloads.apply(RegisterInstance(large), 2, NOW)
        assert self.submit(self.HUGE).refusal is None

    def test_lasting_jobs_and_queues_without_an_objective_are_left_alone(self):
        lasting = [Step(1, Resources(9000, 1), lasting=True)]
        assert self.submit(lasting).refusal is None
        self.desk.queue = make_queue(objective=0.0)
        assert self.submit(self.HUGE).refusal is None


if __name__ == "__main__":
    unittest.main()
