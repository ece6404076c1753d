"""Tests that run every check under seeded random faults, at both users' fleet sizes."""

import os
import unittest
from random import Random

from gypsumwalk.folder import PoolTable
from gypsumwalk.job_calls import CancelJobCall, SubmitJobCall
from gypsumwalk.operator_calls import (
    AbortWaveCall,
    DescribeWave,
    MoveInstanceCall,
    PauseWaveCall,
    StartWaveCall,
)
from tests._fleet import FleetWorld, make_folder
from tests._fleet_checks import Sampler, check_all

SEEDS = int(os.environ.get("FLEET_SEEDS", "1"))
FIRST_SEED = int(os.environ.get("FLEET_FIRST_SEED", "1"))
SECONDS = float(os.environ.get("FLEET_SECONDS", "200"))
SIZES = {"hanbit": (5, 8, 2), "batedores": (5, 6, 2)}


class RandomFaults:
    """Seeded random faults, operators' calls and jobs for one world."""

    def __init__(self, size, seed):
        pools, instances, budget = SIZES[size]
        folder = make_folder(pools=pools, instances=instances, limit=20, concurrency=3)
        for name in folder.pools:
            folder.pools[name] = PoolTable(max_unavailable=budget)
        folder.waves["w"].pools.append("p1")
        self.random = Random(f"{size} {seed}")
        self.world = FleetWorld(folder, seed=seed)
        self.world.settle()
        self.sampler = Sampler(self.world)
        self.repeatable = set()
        self.jobs = 0
        self.wave_run = 1
        self.down = []

    def run(self):
        world = self.world
        self.call_as_operator(StartWaveCall("w", 1))
        end = world.now + SECONDS
        steps = [
            (30, self.submit),
            (5, self.cancel),
            (4, self.lose_instances),
            (5, self.restore_instance),
            (3, self.move),
            (2, self.restart),
            (1, self.change_leader),
            (4, self.operate_wave),
            (1, self.break_worker),
        ]
        weights, actions = zip(*steps, strict=True)
        while world.now < end:
            self.random.choices(actions, weights)[0]()
            world.run(self.random.expovariate(1.0))
        self.recover()

    def call_as_operator(self, body):
        return self.world.call(body, credential="operator")

    def submit(self):
        self.jobs += 1
        job_id = f"j{self.jobs}"
        kind = self.random.choice(["run", "run", "run", "fail"])
        repeatable = self.random.random() < 0.5
        if repeatable:
            self.repeatable.add(job_id)
        call = SubmitJobCall(
            job_id=job_id,
            queue=f"p{self.random.randrange(5)}",
            command=f"{kind} {self.random.expovariate(1 / 20):.2f}",
            processors=self.random.choice([1.0, 8.0, 32.0]),
            repeatable=repeatable,
            urgent=self.random.random() < 0.2,
        )
        self.world.call(call, credential=self.random.choice(["red", "blue"]))

    def cancel(self):
        for _ in range(self.random.randrange(4)):
            number = self.random.randrange(1, self.jobs + 2)
            for team in ("red", "blue"):
                self.world.call(CancelJobCall(f"j{number}"), credential=team)

    def lose_instances(self):
        names = sorted(self.world.platform.machines)
        name = self.random.choice(names)
        if self.random.random() < 0.2:
            pool, rack = name.split("-")[0], int(name.split("-")[1]) // 4
            rack_names = [
                f"{pool}-{number}" for number in range(4 * rack, 4 * rack + 4)
            ]
            names = [item for item in rack_names if item in names]
        else:
            names = [name]
        for item in names:
            if self.random.random() < 0.5:
                self.world.platform.crash(item, self.world.now)
            else:
                self.world.platform.machines[item].reachable = False
            self.down.append(item)

    def restore_instance(self):
        if not self.down:
            return
        name = self.down.pop(self.random.randrange(len(self.down)))
        machine = self.world.platform.machines[name]
        machine.reachable = True
        if not machine.up and machine.reboot_ends_at == float("inf"):
            self.world.platform.restore(name, self.world.now)

    def move(self):
        name = self.random.choice(sorted(self.world.platform.machines))
        for _ in range(2):
            self.call_as_operator(
                MoveInstanceCall(name, f"p{self.random.randrange(5)}")
            )

    def restart(self):
        self.world.restart(self.random.choice(["a", "b", "c"]))

    def change_leader(self):
        world = self.world
        old = world.log.leader
        world.elect(self.random.choice([name for name in "abc" if name != old]))
        world.run(self.random.uniform(1.0, 20.0))
        world.heal()
        world.log.cut_off_at.clear()

    def operate_wave(self):
        wave = self.world.leader.waves.find("w")
        if wave is None or not wave.is_active:
            self.wave_run = wave.run + 1 if wave else 1
        kinds = [PauseWaveCall, StartWaveCall, StartWaveCall, AbortWaveCall]
        kind = self.random.choices(kinds, [2, 5, 5, 1])[0]
        self.call_as_operator(kind("w", self.wave_run))

    def break_worker(self):
        name = self.random.choice(sorted(self.world.platform.machines))
        machine = self.world.platform.machines[name]
        machine.broken = not machine.broken

    def recover(self):
        """End every fault, and run until pending jobs and waves must have ended."""
        world = self.world
        while self.down:
            self.restore_instance()
        for machine in world.platform.machines.values():
            machine.broken = False
        world.run(700.0)
        self.resume_wave()
        world.run(1500.0)
        self.resume_wave()
        world.run(1500.0)

    def resume_wave(self):
        wave = self.world.leader.waves.find("w")
        if wave.is_active:
            self.call_as_operator(StartWaveCall("w", wave.run))


class TestRandomFaults(unittest.TestCase):
    def test_promises_hold_and_all_jobs_and_waves_end(self):
        for size in SIZES:
            for seed in range(FIRST_SEED, FIRST_SEED + SEEDS):
                with self.subTest(size=size, seed=seed):
                    self._run_seed(size, seed)

    def _run_seed(self, size, seed):
        faults = RandomFaults(size, seed)
        faults.run()
        world = faults.world
        check_all(world, faults.sampler, faults.repeatable)
        jobs = world.leader.jobs
        assert not jobs.list_in_progress(), [
            item.spec.job_id for item in jobs.list_in_progress()
        ]
        assert not list(jobs.list_waiting()), next(iter(jobs.list_waiting()))
        states = {item.state.value for item in world.leader.pools.list_instances()}
        assert states == {"active"}, states
        answer = world.ask(DescribeWave("w"), credential="operator")
        assert answer.body.state in ("finished", "aborted"), answer.body


if __name__ == "__main__":
    unittest.main()
