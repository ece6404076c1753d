"""Tests that a lasting task runs again within seconds of the end of its last run."""

import unittest
from collections import Counter
from random import Random
from unittest.mock import patch

import msgspec

from gypsumwalk.declaration_records import (
    Declaration,
    DeclaredQueue,
    DeclaredService,
    DeclaredTeam,
    Resources,
)
from gypsumwalk.fleet_calls import AnnounceInstanceCall, LeaveInstanceCall
from gypsumwalk.inputs import PlatformOutcome
from gypsumwalk.instance_actions import OrderReport, StartRun, StopRun
from gypsumwalk.workload_records import Step
from tests._fleet_work import CAPACITY, HOST, KEY, NO_QUOTA, FleetWorld
from tests._fleet_work_checks import find_duplicate_runs
from tests.test_departing_instances import DepartingInstance

JOB = "00000000000000aa"
OTHER_JOB = "00000000000000bb"
THIRD_JOB = "00000000000000cc"
OTHER_KEY = "key-of-another-team"
TASK = f"{JOB}.0.0.0"
NEED = Resources(2000, 1000)
SMALL = Resources(1000, 1000)
TRANSIENT_TASKS = 400
LASTING_TASKS = 4
RESTART_SECONDS = 6.0
"""Time after its last run from which a lasting task has to run again."""
ALLOWED_SECONDS = 3.0
"""Time within which it has to run then, where the end of its last run was unnoticed."""


def make_world(seed=0, **fields):
    """Return a world in which one lasting task runs, on the longest lease in use."""
    world = FleetWorld(seed, task_seconds=600.0, max_lease=10.0, **fields)
    world.begin()
    world.submit(JOB, [Step(1, NEED, lasting=True)])
    world.run(10.0)
    return world


def make_transient_world(seed):
    """Return a world in which the tasks of the other job end after a random time."""
    world = FleetWorld(seed, task_seconds=600.0)
    random = Random(seed)
    for number in range(TRANSIENT_TASKS):
        length = random.uniform(0.6, 1.7)
        world.run_results[f"{OTHER_JOB}.0.0.{number}", 1] = (length, "done")
    world.begin()
    return world


def make_two_service_world(seed, *, quota):
    """Return a world in which a team without quota limit fills the first service.

    Tasks of the other team fill the second one up to the quota.
    """
    world = FleetWorld(seed, instances=2, task_seconds=600.0)
    for number in (2, 3):
        world.start_instance(number, service="service-b")
    random = Random(seed)
    jobs = {"a": OTHER_JOB, "b": THIRD_JOB}
    for number in range(TRANSIENT_TASKS):
        for job in jobs.values():
            length = random.uniform(0.5, 1.5)
            world.run_results[f"{job}.0.0.{number}", 1] = (length, "done")
    world.begin()
    queues = [
        DeclaredQueue(name, HOST, f"/{name}/", f"service-{name}", timeout=3.0)
        for name in jobs
    ]
    services = [DeclaredService("service-a"), DeclaredService("service-b")]
    teams = [
        DeclaredTeam("team", [KEY], 1.0, quota),
        DeclaredTeam("other", [OTHER_KEY], 1.0, NO_QUOTA),
    ]
    world.declare(Declaration(2, queues, services, teams, "source 2"))
    steps = [Step(TRANSIENT_TASKS, SMALL)]
    world.submit(OTHER_JOB, steps, queue="a", key=OTHER_KEY)
    world.submit(THIRD_JOB, steps, queue="b")
    return world


def list_runs(world, task=TASK):
    return [run for run in world.model.history if run.task == task]


def list_running(world):
    return [run for run in world.model.history if run.ended is None]


def declare_priorities(world, *, lasting=0, transient=0, quota=NO_QUOTA):
    """Declare a queue of lasting and one of transient tasks of the same service."""
    priorities = {"lasting": lasting, "transient": transient}
    queues = [
        DeclaredQueue(
            name, HOST, f"/{name}/", "service-a", timeout=3.0, priority=priority
        )
        for name, priority in priorities.items()
    ]
    services = [DeclaredService("service-a")]
    teams = [DeclaredTeam("team", [KEY], 1.0, quota)]
    world.declare(Declaration(2, queues, services, teams, "source 2"))


def list_gaps(world, task):
    """Return the seconds for which a task did not run, after each of its runs."""
    runs = list_runs(world, task)
    starts = [run.started for run in runs[1:]] + [world.now]
    ends = [world.now if run.ended is None else run.ended for run in runs]
    return [start - end for end, start in zip(ends, starts, strict=True)]


def find_instance(world, run):
    return next(
        instance
        for instance in world.model.instances.values()
        if instance.registered.life == run.life
    )


def end_instance(world, run):
    """Let the instance of a run deregister, which ends once it is answered."""
    registered = find_instance(world, run).registered
    number = int(registered.instance.removeprefix("i-"))
    DepartingInstance(world, number)


def change_leader(world):
    world.kill(world.find_leader())
    assert world.run_until(world.find_leader, within=10.0)


def measure_restart(world, task=TASK, *, within=20.0):
    """Return the time from the end of the last run of a task until its next start."""
    last = list_runs(world, task)[-1]
    has_started = world.run_until(
        lambda: list_runs(world, task)[-1] is not last, within=within
    )
    assert has_started
    assert find_duplicate_runs(world.model.history) == []
    return list_runs(world, task)[-1].started - last.ended


class TestChangeOfLeader(unittest.TestCase):
    # A new leader took every run for one whose start may still be on its way.
    def test_a_task_runs_again_if_its_instance_ends_after_a_change_of_leader(self):
        for delay in (0.2, 1.0, 3.0):
            with self.subTest(delay=delay):
                world = make_world()
                change_leader(world)
                world.run(delay)
                end_instance(world, list_runs(world)[-1])
                seconds = measure_restart(world)
                assert seconds < RESTART_SECONDS, seconds

    # As before, with the run started just before the change of leader.
    def test_a_task_that_has_just_started_again_survives_a_change_of_leader(self):
        for seed in range(3):
            with self.subTest(seed=seed):
                world = make_world(seed)
                end_instance(world, list_runs(world)[-1])
                measure_restart(world)
                world.run(0.5)
                change_leader(world)
                world.run(0.2)
                end_instance(world, list_runs(world)[-1])
                seconds = measure_restart(world)
                assert seconds < RESTART_SECONDS, seconds

    # The leader is lost before it has committed the end of the run.
    def test_a_task_runs_again_if_its_instance_ends_before_a_change_of_leader(self):
        for delay in (0.002, 0.004, 0.006, 0.008):
            with self.subTest(delay=delay):
                world = make_world()
                end_instance(world, list_runs(world)[-1])
                world.run(delay)
                change_leader(world)
                seconds = measure_restart(world)
                assert seconds < RESTART_SECONDS, seconds

    # The leader is lost together with the deregistration, which is then repeated.
    def test_a_task_runs_again_if_the_end_of_its_instance_is_reported_twice(self):
        world = make_world()
        end_instance(world, list_runs(world)[-1])
        change_leader(world)
        end_instance(world, list_runs(world)[-1])
        seconds = measure_restart(world)
        assert seconds < RESTART_SECONDS, seconds

    # The instance and the leader are lost at once, and nobody reports the former.
    def test_a_task_of_a_silent_instance_runs_again_after_a_change_of_leader(self):
        world = make_world()
        world.model.crash(find_instance(world, list_runs(world)[-1]), world.now)
        change_leader(world)
        seconds = measure_restart(world)
        assert seconds < RESTART_SECONDS + ALLOWED_SECONDS, seconds


class LostAnswers:
    """Carries out the platform's calls, and loses the answers to some actions."""

    def __init__(self, world, kind, *, count=1, silence=False):
        self.world = world
        self.kind = kind
        self.count = count
        self.silence = silence
        self._call = world.model.call

    def __call__(self, effect, now):
        answer = self._call(effect, now)
        if not self.count or not isinstance(effect.action, self.kind):
            return answer
        self.count -= 1
        if self.silence:
            self.world.model.instances[effect.action.address].is_silent = True
        lost = PlatformOutcome(effect.token, succeeded=False, unknown=True)
        return effect.timeout, lambda at: lost


def drain_instance(world, run):
    registered = find_instance(world, run).registered
    draining = msgspec.structs.replace(registered, draining=True)
    return world.call(AnnounceInstanceCall(draining), to=world.find_leader())


def assert_runs_again(world, bound):
    """Assert that the task that is being stopped ends and runs again in time."""
    last = list_runs(world)[-1]
    assert world.run_until(lambda: last.ended is not None, within=15.0)
    seconds = measure_restart(world)
    assert seconds < bound, seconds


class TestLostInstance(unittest.TestCase):
    def test_a_task_of_an_instance_that_leaves_runs_again(self):
        world = make_world()
        end_instance(world, list_runs(world)[-1])
        assert_runs_again(world, 1.0)

    def test_a_task_of_a_crashed_instance_runs_again(self):
        world = make_world()
        world.model.crash(find_instance(world, list_runs(world)[-1]), world.now)
        assert_runs_again(world, RESTART_SECONDS)

    # The run goes on until its lease expires.
    def test_a_task_of_a_silent_instance_runs_again(self):
        world = make_world()
        find_instance(world, list_runs(world)[-1]).is_silent = True
        assert_runs_again(world, RESTART_SECONDS)

    def test_a_task_of_a_restarted_instance_runs_again(self):
        world = make_world()
        run = list_runs(world)[-1]
        number = int(run.life.partition("@")[0].removeprefix("i-"))
        world.start_instance(number, life=2)
        assert_runs_again(world, RESTART_SECONDS)


class TestStop(unittest.TestCase):
    def test_a_task_runs_again_if_its_instance_drains(self):
        world = make_world()
        drain_instance(world, list_runs(world)[-1])
        assert_runs_again(world, RESTART_SECONDS)

    def test_a_task_runs_again_if_the_answer_to_its_stop_is_lost(self):
        for silence in (False, True):
            with self.subTest(silence=silence):
                world = make_world()
                lost = LostAnswers(world, StopRun, silence=silence)
                with patch.object(world.model, "call", lost):
                    drain_instance(world, list_runs(world)[-1])
                    assert_runs_again(world, RESTART_SECONDS)

    def test_a_task_runs_again_if_the_leader_is_lost_after_its_stop(self):
        for silence in (False, True):
            for delay in (0.0, 0.02, 0.2):
                with self.subTest(silence=silence, delay=delay):
                    world = make_world()
                    world.model.stop_durations = [0.4]
                    lost = LostAnswers(world, StopRun, silence=silence)
                    with patch.object(world.model, "call", lost):
                        drain_instance(world, list_runs(world)[-1])
                        world.run_until(lambda lost=lost: not lost.count, within=2.0)
                        world.run(delay)
                        change_leader(world)
                        bound = RESTART_SECONDS + ALLOWED_SECONDS
                        assert_runs_again(world, bound if silence else RESTART_SECONDS)

    def test_a_task_runs_again_if_a_wave_takes_its_machine_down(self):
        for lose_leader in (False, True):
            with self.subTest(lose_leader=lose_leader):
                world = make_world()
                run = list_runs(world)[-1]
                machine = find_instance(world, run).registered.machine
                world.start_wave(1, [machine])
                world.run_until(lambda run=run: run.end_kind == "stopped", within=20.0)
                if lose_leader:
                    change_leader(world)
                assert_runs_again(world, RESTART_SECONDS)


class TestStart(unittest.TestCase):
    def test_a_task_runs_again_if_the_answer_to_its_start_is_lost(self):
        world = make_world()
        with patch.object(world.model, "call", LostAnswers(world, StartRun)):
            end_instance(world, list_runs(world)[-1])
            assert_runs_again(world, 1.0)

    # The answer to the start was lost, but the instance has listed the run since.
    def test_a_listed_run_whose_start_was_not_answered_ends_with_its_instance(self):
        for delay in (1.0, 1.5, 4.0):
            with self.subTest(delay=delay):
                self.end_instance_after_an_unanswered_start(delay)

    # As before, but no list that was requested before has shown the run.
    def test_an_unlisted_run_whose_start_was_not_answered_ends_with_its_instance(self):
        self.end_instance_after_an_unanswered_start(0.1)

    # The instance leaves before it can be asked for a list. Its next life may have
    # carried the start out, but would have announced itself within seconds.
    def test_a_run_whose_instance_leaves_before_the_start_is_missed_ends_with_it(self):
        self.end_instance_after_an_unanswered_start(0.02)

    # The list has shown the run, but the next leader has to learn of it, too.
    def test_a_run_whose_start_was_not_answered_survives_a_change_of_leader(self):
        world = make_world()
        with patch.object(world.model, "call", LostAnswers(world, StartRun)):
            end_instance(world, list_runs(world)[-1])
            assert_runs_again(world, 1.0)
            world.run(0.6)
            change_leader(world)
            end_instance(world, list_runs(world)[-1])
            assert_runs_again(world, RESTART_SECONDS)

    def end_instance_after_an_unanswered_start(self, delay):
        world = make_world()
        with patch.object(world.model, "call", LostAnswers(world, StartRun)):
            end_instance(world, list_runs(world)[-1])
            assert_runs_again(world, 1.0)
            world.run(delay)
            end_instance(world, list_runs(world)[-1])
            assert_runs_again(world, RESTART_SECONDS)

    def test_a_task_runs_again_if_the_leader_is_lost_while_it_is_placed(self):
        for delay in (0.003, 0.006, 0.01, 0.02):
            with self.subTest(delay=delay):
                world = make_world()
                last = list_runs(world)[-1]
                end_instance(world, last)
                world.run(delay)
                change_leader(world)
                world.run(RESTART_SECONDS)
                assert list_runs(world)[-1].started - last.ended < RESTART_SECONDS
                assert len(list_running(world)) == 1
                assert find_duplicate_runs(world.model.history) == []

    def test_a_task_runs_again_if_the_leader_is_cut_off_while_it_is_placed(self):
        for delay in (0.003, 0.006, 0.01):
            with self.subTest(delay=delay):
                world = make_world()
                leader = world.find_leader()
                last = list_runs(world)[-1]
                end_instance(world, last)
                world.run(delay)
                others = [name for name in world.names if name != leader]
                world.partition([leader], others)
                world.run(RESTART_SECONDS)
                assert list_runs(world)[-1].started - last.ended < RESTART_SECONDS
                assert len(list_running(world)) == 1
                assert find_duplicate_runs(world.model.history) == []


class TestRandomFaults(unittest.TestCase):
    """Faults strike one after the other while transient tasks fill the service."""

    def test_no_task_stays_away_after_random_faults(self):
        for seed in range(12):
            with self.subTest(seed=seed):
                world = self.run_random_faults(seed)
                assert find_duplicate_runs(world.model.history) == []
                gaps = [
                    gap
                    for number in range(LASTING_TASKS)
                    for gap in list_gaps(world, f"{JOB}.0.0.{number}")
                ]
                assert max(gaps) < RESTART_SECONDS + ALLOWED_SECONDS, max(gaps)

    def run_random_faults(self, seed):
        world = FleetWorld(seed, instances=5, max_lease=10.0)
        random = Random(f"faults {seed}")
        for number in range(LASTING_TASKS):
            for run in range(1, 30):
                task = f"{JOB}.0.0.{number}"
                world.run_results[task, run] = (600.0, "done")
        world.begin()
        world.model.stop_durations = [0.05, 0.2, 0.4]
        step = Step(LASTING_TASKS, NEED, lasting=True, max_per_instance=2)
        world.submit(JOB, [step])
        for number in range(8):
            world.submit(f"{number:016x}", [Step(200, SMALL)])
        world.run(5.0)
        faults = ["crash", "leave", "drain", "silence", "leader"]
        for _ in range(6):
            for fault in random.sample(faults, random.choice((1, 2))):
                self.inject(world, fault, random)
                world.run(random.choice((0.0, 0.01, 0.3, 1.0)))
            world.run(11.0)
        return world

    def inject(self, world, fault, random):
        if fault == "leader":
            name = world.find_leader()
            if name:
                world.kill(name)
                world.schedule(3.0, lambda: world.restart(name))
            return
        candidates = [
            item
            for item in world.model.instances.values()
            if not item.is_dead and not item.is_silent
        ]
        instance = random.choice(candidates)
        number = int(instance.registered.instance.removeprefix("i-"))
        call = LeaveInstanceCall(instance.registered.instance)
        leader = world.find_leader()
        if fault == "silence":
            instance.is_silent = True
        elif fault == "drain" and leader:
            draining = msgspec.structs.replace(instance.registered, draining=True)
            world.call(AnnounceInstanceCall(draining), to=leader)
        else:
            world.model.crash(instance, world.now)
            if fault == "leave" and leader:
                world.call(call, to=leader)
        life = int(world.now) % 100000
        world.schedule(7.0, lambda: world.start_instance(number, life=life))


class TestFinalFault(unittest.TestCase):
    """Every daemon loses power at once, and some of them their disks, too."""

    def make_world(self, seed):
        world = FleetWorld(
            seed,
            instances=5,
            task_seconds=600.0,
            daemons=8,
            max_lease=10.0,
            data_centres=4,
            disk_losses=2,
        )
        world.begin()
        world.run(6.0)
        world.submit(JOB, [Step(LASTING_TASKS, NEED, lasting=True)])
        world.run(3.0)
        return world

    def assert_all_run(self, world):
        """Assert that every task runs, although nobody noticed the end of a run."""
        bound = RESTART_SECONDS + ALLOWED_SECONDS
        world.run(bound)
        assert len(list_running(world)) == LASTING_TASKS
        assert find_duplicate_runs(world.model.history) == []
        for number in range(LASTING_TASKS):
            gaps = list_gaps(world, f"{JOB}.0.0.{number}")[:-1]
            assert max(gaps, default=0.0) < bound, gaps

    def test_tasks_run_on_if_every_daemon_loses_power(self):
        for seed in range(3):
            with self.subTest(seed=seed):
                world = self.make_world(seed)
                world.lose_power()
                self.assert_all_run(world)
                assert len(world.model.history) == LASTING_TASKS

    def test_tasks_run_on_if_two_disks_are_lost_as_well(self):
        for seed in range(3):
            with self.subTest(seed=seed):
                world = self.make_world(seed)
                voters = sorted(world.get_leader().consensus.replica.voters)
                wiped = Random(f"disks {seed}").sample(voters, 2)
                world.lose_power(wiped=wiped)
                self.assert_all_run(world)
                assert len(world.model.history) == LASTING_TASKS

    # An instance ends while nobody is there to notice it.
    def test_tasks_of_an_instance_that_ends_meanwhile_run_again(self):
        for seed in range(3):
            for wipe in (False, True):
                with self.subTest(seed=seed, wipe=wipe):
                    world = self.make_world(seed)
                    voters = sorted(world.get_leader().consensus.replica.voters)
                    wiped = Random(f"disks {seed}").sample(voters, 2) if wipe else ()
                    ended = find_instance(world, list_running(world)[0])
                    world.schedule(
                        0.4, lambda w=world, e=ended: w.model.crash(e, w.now)
                    )
                    world.lose_power(wiped=wiped)
                    self.assert_all_run(world)

    # Tasks are being placed when the power fails.
    def test_tasks_that_are_being_started_run_after_the_fault(self):
        for seed in range(4):
            with self.subTest(seed=seed):
                world = self.make_world(seed)
                end_instance(world, list_running(world)[0])
                world.run((0.0, 0.004, 0.008, 0.02)[seed])
                world.lose_power()
                self.assert_all_run(world)


class TestStalledLeader(unittest.TestCase):
    # The leader stays elected but may not act, so that every lease expires.
    def test_tasks_run_again_once_a_stalled_leader_may_act(self):
        for seconds in (3.0, 5.0, 6.0):
            with self.subTest(seconds=seconds):
                world = make_world()
                consensus = world.get_leader().consensus
                with patch.object(consensus, "holds_lease", lambda now: False):
                    world.run(seconds)
                resumed = world.now
                world.run(RESTART_SECONDS)
                assert len(list_running(world)) == 1
                assert list_running(world)[0].started < resumed + 1.0
                assert find_duplicate_runs(world.model.history) == []

    # The scheduling pass fell into the stall, and no later one was scheduled.
    def test_a_task_runs_again_if_the_leader_stalls_when_its_last_run_ends(self):
        for delay in (0.003, 0.006, 0.009, 0.012):
            for seconds in (0.5, 2.0):
                with self.subTest(delay=delay, seconds=seconds):
                    world = make_world()
                    end_instance(world, list_runs(world)[-1])
                    world.run(delay)
                    consensus = world.get_leader().consensus
                    with patch.object(consensus, "holds_lease", lambda now: False):
                        world.run(seconds)
                    world.run(1.0)
                    assert len(list_running(world)) == 1
                    assert find_duplicate_runs(world.model.history) == []


class TestRefusedStart(unittest.TestCase):
    def test_a_task_runs_again_if_some_instances_refuse_every_start(self):
        world = make_world(instances=4)
        call = world.model.call
        life = list_runs(world)[-1].life
        healthy = next(
            item.registered.address
            for item in world.model.instances.values()
            if item.registered.life != life
        )

        def refuse(effect, now):
            action = effect.action
            if not isinstance(action, StartRun) or action.address == healthy:
                return call(effect, now)
            report = OrderReport(refused="room")
            done = PlatformOutcome(effect.token, succeeded=True, report=report)
            return 0.002, lambda at: done

        with patch.object(world.model, "call", refuse):
            end_instance(world, list_runs(world)[-1])
            assert_runs_again(world, RESTART_SECONDS)


class TestFullService(unittest.TestCase):
    """Transient tasks wait for every hole while a lasting task is away."""

    def run_beside_transient_tasks(self, seed, step, *, transient=SMALL, **queues):
        """Return the seconds until a lasting task runs again in a full service."""
        world = make_transient_world(seed)
        declare_priorities(world, **queues)
        world.submit(JOB, [step], queue="lasting")
        world.run(2.0)
        world.submit(OTHER_JOB, [Step(TRANSIENT_TASKS, transient)], queue="transient")
        world.run(3.0)
        end_instance(world, list_runs(world)[-1])
        return measure_restart(world, within=15.0)

    # Small tasks took each hole that was too small for the lasting task.
    def test_a_large_task_gets_room_before_small_tasks_that_fit_at_once(self):
        for seed in range(3):
            with self.subTest(seed=seed):
                step = Step(1, Resources(4000, 1000), lasting=True)
                assert self.run_beside_transient_tasks(seed, step) < RESTART_SECONDS

    # As before, short of memory instead of processors.
    def test_a_task_gets_the_memory_that_small_tasks_would_take(self):
        step = Step(1, Resources(500, 8000), lasting=True)
        small = Resources(500, 2000)
        seconds = self.run_beside_transient_tasks(0, step, transient=small)
        assert seconds < RESTART_SECONDS

    # Only some instances have the label, and the others' holes are of no use.
    def test_a_task_with_a_label_gets_room_on_the_instances_that_have_it(self):
        step = Step(1, Resources(4000, 1000), lasting=True, label="rack-0")
        assert self.run_beside_transient_tasks(0, step) < RESTART_SECONDS

    # Tasks of a queue with a higher priority took every hole.
    def test_a_task_gets_room_before_transient_tasks_of_a_higher_priority(self):
        for seed in range(3):
            with self.subTest(seed=seed):
                step = Step(1, SMALL, lasting=True)
                seconds = self.run_beside_transient_tasks(seed, step, lasting=5)
                assert seconds < RESTART_SECONDS

    # The transient tasks of the job came before all others, too.
    def test_only_the_lasting_tasks_of_a_job_come_before_a_higher_priority(self):
        world = FleetWorld(task_seconds=600.0)
        world.begin()
        declare_priorities(world, lasting=5)
        steps = [Step(30, SMALL), Step(1, SMALL, lasting=True)]
        full = [Step(3, CAPACITY)]
        world.submit(THIRD_JOB, full, queue="transient")
        world.run(1.0)
        world.submit(JOB, steps, queue="lasting")
        world.submit(OTHER_JOB, [Step(30, SMALL)], queue="transient")
        world.run(1.0)
        assert len(list_running(world)) == 3
        world.cancel(THIRD_JOB, queue="transient")
        world.run(2.0)
        jobs = Counter(run.task.rpartition(".")[0] for run in list_running(world))
        assert jobs == {f"{JOB}.0.1": 1, f"{OTHER_JOB}.0.0": 23}, jobs

    # Transient tasks of its team used up the quota as soon as a part became free.
    def test_a_task_gets_the_quota_that_small_tasks_of_its_team_would_use(self):
        for seed in range(3):
            with self.subTest(seed=seed):
                world = make_transient_world(seed)
                declare_priorities(world, quota=Resources(8000))
                steps = [Step(TRANSIENT_TASKS, SMALL)]
                world.submit(OTHER_JOB, steps, queue="transient")
                world.run(3.0)
                step = Step(1, Resources(4000, 1000), lasting=True)
                world.submit(JOB, [step], queue="lasting")
                world.run(RESTART_SECONDS)
                assert len(list_runs(world)) == 1

    # Another team uses its service, and transient tasks of its team in another service
    # use its quota. Room was kept only while there was quota, and quota while there was
    # none.
    def test_a_task_gets_room_and_quota_that_it_waits_for_at_once(self):
        for seed in range(3):
            with self.subTest(seed=seed):
                world = make_two_service_world(seed, quota=Resources(8000))
                world.run(3.0)
                step = Step(1, Resources(6000, 1000), lasting=True)
                world.submit(JOB, [step], queue="a")
                world.run(RESTART_SECONDS)
                assert len(list_runs(world)) == 1

    # As before, with tasks of which the quota holds one at a time.
    def test_a_gang_gets_the_quota_that_it_waits_for_as_a_whole(self):
        for seed in range(3):
            with self.subTest(seed=seed):
                world = make_two_service_world(seed, quota=Resources(8000))
                world.run(3.0)
                step = Step(2, Resources(3000, 1000), lasting=True, gang=True)
                world.submit(JOB, [step], queue="a")
                world.run(RESTART_SECONDS)
                assert len(list_runs(world)) == 1

    # A gang that its team has no quota for keeps neither room nor quota.
    def test_a_gang_beyond_the_quota_of_its_team_reserves_nothing(self):
        world = FleetWorld(task_seconds=1.0)
        world.begin(quota=Resources(24000))
        step = Step(4, Resources(7000, 1000), lasting=True, gang=True)
        world.submit(JOB, [step])
        world.submit(OTHER_JOB, [Step(24, SMALL)])
        world.run(1.0)
        assert len(list_running(world)) == 24

    # A lasting task that no end of a transient one makes room for keeps no quota.
    def test_a_task_beyond_the_quota_of_its_team_reserves_no_quota(self):
        world = FleetWorld(task_seconds=600.0)
        world.begin(quota=Resources(8000))
        world.submit(JOB, [Step(2, Resources(5000, 1000), lasting=True)])
        world.submit(OTHER_JOB, [Step(24, SMALL)])
        world.run(1.0)
        assert len(list_running(world)) == 1 + 3

    # A lasting task that fits nowhere must not keep the room that others can use.
    def test_a_task_larger_than_every_instance_reserves_nothing(self):
        world = FleetWorld(task_seconds=1.0)
        world.begin()
        large = Resources(CAPACITY.cpu + 1, 1000)
        world.submit(JOB, [Step(3, large, lasting=True)])
        world.submit(OTHER_JOB, [Step(24, SMALL)])
        world.run(1.0)
        assert len(list_running(world)) == 24

    # Transient tasks of the service starved, as one member of the gang would fit.
    def test_a_gang_that_does_not_fit_as_a_whole_reserves_nothing(self):
        for count, limit in ((7, 0), (4, 1)):
            with self.subTest(count=count, limit=limit):
                world = make_transient_world(0)
                need = Resources(4000, 1000)
                step = Step(
                    count, need, lasting=True, gang=True, max_per_instance=limit
                )
                world.submit(JOB, [step])
                world.submit(OTHER_JOB, [Step(24, SMALL)])
                world.run(1.0)
                assert len(list_runs(world, f"{OTHER_JOB}.0.0.23")) == 1
                world.run(5.0)
                assert world.get_state(OTHER_JOB) == "completed"

    # Lasting tasks that came after it took each part of the room for good.
    def test_a_large_task_gets_room_before_later_lasting_tasks(self):
        for seed in range(3):
            with self.subTest(seed=seed):
                world = make_transient_world(seed)
                world.submit(OTHER_JOB, [Step(TRANSIENT_TASKS, SMALL)])
                world.run(3.0)
                step = Step(1, Resources(6000, 1000), lasting=True)
                world.submit(JOB, [step])
                for number in range(12):
                    world.submit(f"{number:016x}", [Step(1, SMALL, lasting=True)])
                world.run(RESTART_SECONDS)
                assert len(list_runs(world)) == 1
                for number in range(12):
                    assert len(list_runs(world, f"{number:016x}.0.0.0")) == 1

    # The gang needs all instances, while only some of them have room at a time.
    def test_a_gang_that_needs_the_whole_service_gets_room(self):
        for seed in range(3):
            with self.subTest(seed=seed):
                world = make_transient_world(seed)
                world.submit(OTHER_JOB, [Step(TRANSIENT_TASKS, SMALL)])
                world.run(3.0)
                step = Step(6, Resources(4000, 1000), lasting=True, gang=True)
                world.submit(JOB, [step])
                world.run(RESTART_SECONDS)
                assert len(list_runs(world)) == 1


if __name__ == "__main__":
    unittest.main()
