"""Evacuations in random order, while daemons, links, disks and instances fail."""

import unittest
from random import Random

from gypsumwalk.declaration_records import Resources
from gypsumwalk.fleet_calls import FinishEvacuationCall, StartEvacuationCall
from gypsumwalk.workload_records import Step
from tests._evacuation_world import EAST, IN_FORCE_SECONDS, WEST, EvacuationWorld
from tests._fleet_work_checks import find_duplicate_runs

SEEDS = range(12)
ROUNDS = 12
QUIET_SECONDS = 12.0
NEED = Resources(1000, 1000)
STEP = Step(4, NEED, lasting=True, max_unavailable=1)


class Day:
    """A random day of one cluster, and the periods in which nothing may start."""

    def __init__(self, seed):
        self.random = Random(f"day {seed}")
        self.world = EvacuationWorld(seed, instances=6, task_seconds=0.4)
        self.world.max_lease = 6.0
        for number in range(STEP.count):
            for run in range(1, 100):
                self.world.run_results[f"lasting.0.0.{number}", run] = (900.0, "done")
        self.in_force = {}
        """Time from which nothing may start in each evacuated data centre."""
        self.periods = []
        self.accepted = []

    def run(self):
        self.world.begin()
        self.world.submit("lasting", [STEP])
        self.world.run(2.0)
        for _ in range(ROUNDS):
            self.submit()
            self.random.choice([self.order, self.order, self.fail])()
            self.world.run(self.random.uniform(0.0, 2.0))
        self.repair()
        for data_centre in (EAST, WEST):
            self.send(FinishEvacuationCall(data_centre))
        self.world.run(QUIET_SECONDS)

    def submit(self):
        if self.world.find_leader():
            job = f"job-{len(self.world.calls)}"
            answer = self.world.submit(job, [Step(12, NEED)])
            if answer is not None and answer.status == 200:
                self.accepted.append(job)

    def order(self):
        data_centre = self.random.choice((EAST, WEST))
        if data_centre in self.in_force:
            self.send(FinishEvacuationCall(data_centre))
        else:
            self.send(StartEvacuationCall(data_centre))

    def send(self, body):
        """Send an order until it is acknowledged, as an operator does."""
        data_centre = body.data_centre
        began = self.in_force.pop(data_centre, None)
        if began is not None:
            self.periods.append((data_centre, began, self.world.now))
        for _ in range(20):
            if self.world.run_until(self.world.find_leader, within=1.0):
                answer = self.world.ask(body)
                if answer is not None and answer.status == 200:
                    break
            self.world.run(0.3)
        else:
            raise AssertionError(f"{body} was not acknowledged")
        if isinstance(body, StartEvacuationCall):
            self.in_force[data_centre] = self.world.now + IN_FORCE_SECONDS

    def fail(self):
        self.repair()
        self.random.choice(
            [self.kill_leader, self.pause_leader, self.cut_leader_off]
            + [self.lose_power, self.delay_orders, self.drop_answers]
        )()

    def kill_leader(self):
        if leader := self.world.find_leader():
            self.world.kill(leader)
            self.world.schedule(1.0, lambda: self.world.restart(leader))

    def pause_leader(self):
        if leader := self.world.find_leader():
            self.world.pause(leader)
            self.world.schedule(3.0, lambda: self.world.resume(leader))

    def cut_leader_off(self):
        if leader := self.world.find_leader():
            self.world.partition([leader])
            self.world.schedule(3.0, self.world.heal)

    def lose_power(self):
        self.world.lose_power()

    def choose_instance(self):
        return self.world.get_instance(self.random.randrange(6))

    def delay_orders(self):
        self.choose_instance().order_delay = self.random.uniform(0.2, 1.0)

    def drop_answers(self):
        self.choose_instance().drops_answers = True

    def repair(self):
        for instance in self.world.model.instances.values():
            instance.order_delay = 0.0
            instance.drops_answers = False

    def list_forbidden(self):
        return [
            (run.task, run.life, run.started - began)
            for data_centre, began, end in self.periods
            for run in self.world.list_starts(data_centre, began)
            if run.started < end
        ]


class TestRandomDays(unittest.TestCase):
    # Guards against a start after the time within which an order is in force, and
    # against jobs that an evacuation loses or runs twice, whatever fails meanwhile.
    def test_no_task_starts_and_none_is_lost(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                day = Day(seed)
                day.run()
                assert day.list_forbidden() == []
                assert not find_duplicate_runs(day.world.model.history, day.world.now)
                states = {job: day.world.get_state(job) for job in day.accepted}
                assert set(states.values()) == {"completed"}, states
                running = day.world.list_running(EAST, "lasting")
                running += day.world.list_running(WEST, "lasting")
                assert len(running) == STEP.count


if __name__ == "__main__":
    unittest.main()
