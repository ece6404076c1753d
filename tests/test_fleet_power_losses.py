"""Tests of losses of power of a whole fleet right after an acknowledgement.

As many disks as may be lost are lost as well, and others fail or stall at that moment.
``GYPSUMWALK_SCHEDULES`` sets the number of seeds; a seed runs alone with
``GYPSUMWALK_SEED``.
"""

import os
import unittest
from functools import partial
from random import Random
from unittest import mock

from gypsumwalk.errors import CorruptRecord
from gypsumwalk.fleet_calls import DescribeUpkeepCall, LeaveInstanceCall
from gypsumwalk.storage import Storage
from tests._fleet_work import FleetWorld, make_declaration
from tests._fleet_work_checks import find_duplicate_runs

SEEDS = int(os.environ.get("GYPSUMWALK_SCHEDULES", "8"))
JOB = "0123456789abcdef"
TASKS = 2
SYNC_SECONDS = 0.01
"""Time of a sync, longer than that of a message."""

GROWTH_SECONDS = 6.0
DOWN_SECONDS = 0.8
RECOVERY_SECONDS = 12.0
COMPLETION_SECONDS = 30.0
SETTLING_SECONDS = 8.0
"""Time in which daemons with new disks vote again."""

REPLACED_SECONDS = 8.0
"""Time after which voters whose disks fail are replaced, if there are other disks."""


def list_seeds():
    seed = os.environ.get("GYPSUMWALK_SEED")
    return range(SEEDS) if seed is None else [int(seed)]


class FleetOutage:
    """A fleet that loses its power right after it acknowledged something.

    Parameters
    ----------
    seed : int
        Seed of the simulation and of what is drawn.
    daemons : int
        Number of daemons with a disk.
    disk_losses : int
        Number of disks that may be lost at the same time.
    """

    def __init__(self, seed, *, daemons=3, disk_losses=1):
        self.random = Random(f"fleet power {seed}")
        self.disk_losses = disk_losses
        self.failed = []
        self.world = FleetWorld(
            seed, task_seconds=3.0, daemons=daemons, disk_losses=disk_losses
        )
        self.world.begin()
        self.world.run(GROWTH_SECONDS)
        for name in self.world.names:
            self.world.daemons[name].disk.write_seconds = SYNC_SECONDS

    def run(self, acknowledge):
        """Have something acknowledged, lose all power, and check it afterwards."""
        self.break_disks()
        check = acknowledge(self)
        wiped = self.draw_lost_disks()
        self.world.lose_power(wiped=wiped, down=DOWN_SECONDS)
        for name in self.failed:
            self.world.fill_disk(name, full=False)
            self.world.resume_disk(name)
        assert self.world.run_until(self.world.find_leader, within=RECOVERY_SECONDS), (
            f"no leader, lost {wiped}, failed {self.failed}"
        )
        check(self)
        self.world.run(SETTLING_SECONDS)
        self.check_voters()
        assert find_duplicate_runs(self.world.model.history) == []

    def await_acknowledgement(self, call):
        """Repeat a call until it is acknowledged; the leader may change meanwhile."""
        end = self.world.now + RECOVERY_SECONDS
        while self.world.now < end:
            answer = call()
            if answer and answer.status == 200:
                return
            self.world.run(0.1)
        raise AssertionError(f"nothing is acknowledged, failed {self.failed}")

    def break_disks(self):
        """Let disks refuse writes or stall; the fleet may notice, and replace them."""
        names = self.list_voters()
        count = self.random.randint(0, self.disk_losses)
        self.failed = self.random.sample(names, count)
        for name in self.failed:
            if self.random.random() < 0.5:
                self.world.fill_disk(name)
            else:
                self.world.stall_disk(name)
        self.world.run(self.random.choice([0.0, 0.5, 4.0, REPLACED_SECONDS]))

    def draw_lost_disks(self):
        """Return as many disks as may be lost, often the leader's among them."""
        count = min(self.disk_losses, len(self.world.names) - 1)
        leader = self.world.find_leader()
        names = self.random.choice([self.list_voters(), self.world.names])
        if not leader or self.random.random() < 0.5:
            return self.random.sample(names, count)
        others = [name for name in names if name != leader]
        return [leader, *self.random.sample(others, count - 1)]

    def list_voters(self):
        replicas = [item.consensus.replica for item in self.world.assemblies.values()]
        return sorted(max(replicas, key=lambda item: item.voters_index).voters)

    def check_voters(self):
        voters = {
            name: self.world.assemblies[name].consensus.replica.voters
            for name in self.world.names
        }
        first, *others = voters.values()
        assert all(other == first for other in others), f"voters differ: {voters}"


def accept_declaration(outage):
    declaration = make_declaration(5)
    outage.await_acknowledgement(lambda: outage.world.declare(declaration))
    return check_declaration


def check_declaration(outage):
    assert outage.world.read_declaration().body.source == "source 5"


def accept_job(outage):
    outage.await_acknowledgement(lambda: outage.world.submit(JOB))
    return check_job


def check_job(outage):
    assert outage.world.describe(JOB).status == 200, "the job is lost"
    assert outage.world.await_state(JOB, "completed", within=COMPLETION_SECONDS)


def cancel_job(outage):
    outage.await_acknowledgement(lambda: outage.world.submit(JOB))
    outage.world.run(1.0)
    outage.await_acknowledgement(lambda: outage.world.cancel(JOB))
    return check_cancelled


def check_cancelled(outage):
    started = len(outage.world.model.history)
    assert outage.world.get_state(JOB) == "cancelled"
    outage.world.run(COMPLETION_SECONDS)
    assert len(outage.world.model.history) == started, "a cancelled task is started"


def note_end(outage):
    """Wait until the end of a run is taken note of, which the instance then forgets."""
    history = outage.world.model.history
    outage.await_acknowledgement(lambda: outage.world.submit(JOB))
    assert outage.world.run_until(
        lambda: any(run.acknowledged for run in history), within=COMPLETION_SECONDS
    )
    return check_ends


def check_ends(outage):
    check_job(outage)
    runs = [run for run in outage.world.model.history if run.acknowledged]
    assert len(runs) == len({run.task for run in runs}), "an ended task runs again"


def see_start(outage):
    """Wait until an instance begins a run."""
    outage.await_acknowledgement(lambda: outage.world.submit(JOB))
    assert outage.world.run_until(
        lambda: outage.world.model.history, within=COMPLETION_SECONDS
    )
    return check_job


def show_completed(outage):
    outage.await_acknowledgement(lambda: outage.world.submit(JOB))
    end = outage.world.now + COMPLETION_SECONDS
    while outage.world.get_state(JOB) != "completed":
        assert outage.world.now < end, "the job does not end"
        outage.world.run(0.001)
    return check_completed


def check_completed(outage):
    assert outage.world.get_state(JOB) == "completed"
    outage.world.run(COMPLETION_SECONDS)
    assert len(outage.world.model.history) == TASKS, "a completed job runs again"


def accept_wave(outage):
    outage.await_acknowledgement(lambda: outage.world.start_wave(1, ["m-0"]))
    return check_wave


def check_wave(outage):
    assert outage.world.ask(DescribeUpkeepCall(1)).status == 200, "the wave is lost"
    outage.world.run(COMPLETION_SECONDS)
    assert outage.world.ask(DescribeUpkeepCall(1)).body.completed


def accept_departure(outage):
    """An instance deregisters, and is not heard of any more."""
    instance = outage.world.get_instance(0)
    registered = instance.registered
    instance.is_silent = True
    call = LeaveInstanceCall(registered.instance, registered.born)
    outage.await_acknowledgement(lambda: outage.world.ask(call))
    return partial(check_departure, registered.life)


def check_departure(life, outage):
    assert life not in outage.world.list_lives(), "an instance that left is back"


ACKNOWLEDGEMENTS = (
    accept_declaration,
    accept_job,
    cancel_job,
    note_end,
    see_start,
    show_completed,
    accept_wave,
    accept_departure,
)


def find_failure(acknowledge, seed):
    """Return what is wrong after a loss of power, or empty."""
    try:
        FleetOutage(seed).run(acknowledge)
    except (AssertionError, CorruptRecord) as error:
        return str(error) or "refused"
    return ""


class TestFleetPowerLosses(unittest.TestCase):
    """Guards against acknowledgements that rest on memory (issue 43)."""

    def check_seeds(self, **size):
        for seed in list_seeds():
            acknowledge = ACKNOWLEDGEMENTS[seed % len(ACKNOWLEDGEMENTS)]
            with self.subTest(seed=seed, acknowledge=acknowledge.__name__, **size):
                FleetOutage(seed, **size).run(acknowledge)

    def test_one_of_three_disks_is_lost(self):
        self.check_seeds(daemons=3, disk_losses=1)

    def test_a_disk_is_lost_beside_daemons_that_do_not_vote(self):
        self.check_seeds(daemons=5, disk_losses=1)

    def test_two_of_five_disks_are_lost(self):
        self.check_seeds(daemons=5, disk_losses=2)

    def test_two_disks_are_lost_beside_daemons_that_do_not_vote(self):
        self.check_seeds(daemons=8, disk_losses=2)

    def test_an_answer_before_the_sync_is_detected(self):
        stage = Storage.stage

        def count_as_synced(storage, *operations, durable_index=0):
            stage(storage, *operations, durable_index=durable_index)
            storage.durable = max(storage.durable, durable_index)

        with (
            mock.patch.object(Storage, "stage", count_as_synced),
            mock.patch.object(
                Storage, "defer_until_synced", lambda _, effects: list(effects)
            ),
        ):
            for acknowledge in ACKNOWLEDGEMENTS:
                with self.subTest(acknowledge=acknowledge.__name__):
                    assert any(map(partial(find_failure, acknowledge), range(12)))


if __name__ == "__main__":
    unittest.main()
