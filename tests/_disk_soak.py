"""Seeded soak of daemon processes whose disks, processes and peers fail.

Faults come from outside the product: limits and signals of the processes, and
``tests._faulty_serve``. What is checked is what callers see.
"""

import threading
import time
from random import Random

from tests._faulty_cluster import FaultyCluster
from tests._real_cluster import RETURN_SECONDS

ENTRY = "f0"
"""Daemon without a disk, which takes the calls."""

APPLY_PAUSE_SECONDS = 0.1
APPLY_TIMEOUT_SECONDS = 15.0
START_SECONDS = 60.0
"""Limit for processes to start on a busy machine; targets count from then."""

ROUNDS = 2
DISK_FAULTS = {
    "full": {"is_full": True},
    "failing": {"is_failing": True},
    "stalled": {"is_stalled": True},
    "slow": {"sync_seconds": 0.4},
    "file limit": {},
}
OTHER_FAULTS = ["paused", "cut off", "killed", "terminated", "restarted", "hung up"]
FAULTS = [*DISK_FAULTS, *OTHER_FAULTS]
SILENT = {"killed", "terminated", "paused"}
"""Faults with which a process answers no call."""


class Writer:
    """Thread that has configurations accepted one by one, and reads them.

    Parameters
    ----------
    cluster : RealCluster
        The daemons.
    random : Random
        Chooses the daemon that is read.
    """

    def __init__(self, cluster, random):
        self.accepted = {}
        self.failures = []
        self._cluster = cluster
        self._random = random
        self._in_force = dict.fromkeys(cluster.names, 0)
        self._latest_call = 0.0
        self._is_stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self):
        self._thread.start()

    def stop(self):
        """Stop; the outcome of the last call may be unknown."""
        self._is_stopping.set()
        if self._thread.is_alive():
            self._thread.join()

    def has_accepted_since(self, began):
        """Tell whether a call that was made after a time was answered with 200."""
        return self._latest_call > began

    def apply(self):
        """Have the next configuration accepted, and return whether it was.

        A call without a known outcome is repeated; it is applied once.
        """
        generation = len(self.accepted)
        file = f"{generation:03}.toml"
        text = f"[teams.t{generation}]\nlimit = 1\n"
        began = time.monotonic()
        answer = self._cluster.apply(
            ENTRY, generation, {file: text}, APPLY_TIMEOUT_SECONDS
        )
        if answer is None:
            return False
        status, body = answer
        if status == 409:
            self.failures.append(f"generation {generation} is not in force: {body}")
        if status != 200:
            return False
        self.accepted[file] = text
        self._latest_call = began
        for name in body["report"]["in_force"]:
            self._in_force[name] = generation + 1
        return True

    def _run(self):
        try:
            while not self._is_stopping.wait(APPLY_PAUSE_SECONDS):
                self.apply()
                self._read(self._random.choice(self._cluster.names))
        except Exception as error:
            self.failures.append(repr(error))

    def _read(self, name):
        answer = self._cluster.call(name, "GET", "/v1/configuration", timeout=0.5)
        if answer is None or answer[0] != 200:
            return
        generation = answer[1]["generation"]
        if generation < self._in_force[name]:
            former = self._in_force[name]
            self.failures.append(f"{name} reverts from {former} to {generation}")
        self._in_force[name] = max(generation, self._in_force[name])


class Soak:
    """Rounds of faults drawn from a seed, each followed by checks.

    Parameters
    ----------
    seed : int
        The seed.
    folder : Path
        Folder for settings, logs and data folders.
    """

    def __init__(self, seed, folder):
        self.random = Random(f"disk soak {seed}")
        voters = self.random.choice([3, 3, 5])
        self.cluster = FaultyCluster(folder, voters, followers=1, spares=1)
        self.writer = Writer(self.cluster, Random(f"reads {seed}"))
        self.members = list(self.cluster.voters)
        self.active = {name: set() for name in self.cluster.names}
        self.steps_path = folder / "steps"
        self.began = time.monotonic()

    def run(self):
        try:
            self.cluster.await_leader(START_SECONDS)
            self.writer.start()
            self.recover()
            rounds = [self.lose_in_turn, self.lose_together, self.lose_most]
            rounds += [self.lose_power, self.replace_voter]
            for take_round in self.random.sample(rounds, ROUNDS):
                self.note(take_round.__name__)
                take_round()
                self.recover()
            self.check_configuration()
        except AssertionError as error:
            raise AssertionError(self._describe(error)) from error

    def close(self):
        self.writer.stop()
        self.cluster.close()

    def lose_in_turn(self):
        """Faults of one voter after the other, once the last one has recovered."""
        for _ in range(2):
            name = self.random.choice(self.members)
            self.begin(name, self.random.choice(FAULTS))
            self.work(self.random.uniform(0.5, 3.5))
            self.await_accepted()
            self.end(name)
            self.await_processes()
            self.await_disks()

    def lose_together(self):
        """Faults that overlap, of as many voters as may be lost."""
        names = self.random.sample(self.members, len(self.members) // 2)
        self.begin_several(names)
        self.await_accepted()
        self.work(self.random.uniform(0.0, 4.0))
        for name in self.random.sample(names, len(names)):
            self.end(name)
            self.work(self.random.uniform(0.0, 0.5))

    def lose_most(self):
        """Faults that overlap, of more voters than may be lost."""
        count = self.random.randint(len(self.members) // 2 + 1, len(self.members))
        self.begin_several(self.random.sample(self.members, count))
        self.work(self.random.uniform(0.0, 4.0))

    def lose_power(self):
        """All lose power at a write; the faults of some disks last longer."""
        names = self.random.sample(self.members, len(self.members) // 2)
        for name in names:
            if self.random.random() < 0.5:
                self.begin(name, self.random.choice(list(DISK_FAULTS)))
        self.work(self.random.uniform(0.0, 2.0))
        self.note("power is cut")
        self.cluster.cut_power(self.random)
        for name in self.cluster.names:
            self.start(name)
        self.await_processes()
        self.await_accepted()

    def replace_voter(self):
        """Replace a voter that lost its disk by a new disk, or by another daemon."""
        lost = self.random.choice(self.members)
        spares = [
            name
            for name in self.cluster.names
            if name not in self.members and name != ENTRY
        ]
        added = self.random.choice([lost, *spares])
        former = self.read_voters(ENTRY)["voters"][lost]
        self.note(f"{lost} loses its disk, {added} votes instead")
        self.cluster.kill(lost)
        self.cluster.wipe(lost)
        if added == lost:
            self.start(lost)
            self.change_voters("remove", lost)
            self.change_voters("add", lost)
        else:
            self.change_voters("add", added)
            self.change_voters("remove", lost)
            self.start(lost)
        self.members[self.members.index(lost)] = added
        identity = self.read_voters(ENTRY)["voters"][added]
        assert identity not in ("", former), f"{added} votes with disk {identity!r}"

    def change_voters(self, action, name):
        answer = self.cluster.poll(
            lambda: self.call_voters(action, name), RETURN_SECONDS
        )
        assert answer, f"no answer to {action} {name}"

    def call_voters(self, action, name):
        answer = self.cluster.call(
            ENTRY, "POST", f"/v1/voters/{action}", {"name": name}
        )
        return answer and answer[0] == 200

    def read_voters(self, name):
        """Return the leader and the voters as a daemon reports them, if it does."""
        answer = self.cluster.call(name, "GET", "/v1/voters", timeout=1.0)
        return answer[1] if answer and answer[0] == 200 else None

    def begin_several(self, names):
        """Begin one to three faults of each of some voters, at times that overlap."""
        drawn = [
            (name, fault)
            for name in names
            for fault in self.random.sample(FAULTS, self.random.randint(1, 3))
        ]
        for name, fault in self.random.sample(drawn, len(drawn)):
            self.begin(name, fault)
            self.work(self.random.uniform(0.0, 0.8))

    def begin(self, name, fault):
        """Begin a fault, unless it needs a process that has ended."""
        if self.is_down(name):
            return
        self.note(f"{name} {fault}")
        match fault:
            case "paused":
                self.cluster.pause(name)
            case "cut off":
                self.cluster.set_faults(name, is_cut_off=True)
            case "killed":
                self.cluster.kill(name)
            case "terminated":
                self.terminate(name)
            case "restarted":
                self.cluster.kill(name)
                self.start(name)
                return
            case "hung up":
                # Before the process answers, the signal would end it.
                if self.cluster.answers(name):
                    self.cluster.hang_up(name)
                return
            case "file limit":
                self.cluster.fill(name)
            case _:
                self.cluster.set_faults(name, **DISK_FAULTS[fault])
        self.active[name].add(fault)

    def terminate(self, name):
        is_ready = "paused" not in self.active[name] and self.cluster.answers(name)
        code = self.cluster.terminate(name)
        assert code == 0 or not is_ready, f"{name} ended with exit code {code}"
        self.active[name].discard("paused")

    def start(self, name):
        """Start a process; a limit on its files goes on."""
        self.cluster.start(name)
        self.active[name] -= {"killed", "terminated", "paused"}
        if "file limit" in self.active[name]:
            self.cluster.fill(name)

    def is_down(self, name):
        return not self.active[name].isdisjoint({"killed", "terminated"})

    def end(self, name):
        """End all faults of a daemon."""
        active = self.active[name]
        if not active:
            return
        self.note(f"{name} recovers from {', '.join(sorted(active))}")
        self.cluster.end_faults(name)
        if "paused" in active:
            self.cluster.resume(name)
        if self.is_down(name):
            active.discard("file limit")
            self.start(name)
        if "file limit" in active:
            self.cluster.empty(name)
        active.clear()

    def work(self, seconds):
        """Go on while the writer works, unless it has found a failure."""
        self.cluster.poll(lambda: self.writer.failures, seconds)
        self.check_processes()

    def recover(self):
        """End all faults, and check that everything is as before."""
        for name in self.cluster.names:
            self.end(name)
        self.await_processes()
        began = time.monotonic()
        self.await_accepted()
        self.await_disks()
        assert self.cluster.poll(self.agree, RETURN_SECONDS), (
            f"lists differ: {[self.read_voters(name) for name in self.cluster.names]}"
        )
        self.note(f"all is back after {time.monotonic() - began:.1f} s")

    def await_processes(self):
        """Wait until all processes answer but those that can't."""
        began = time.monotonic()
        for name in self.cluster.names:
            if self.active[name].isdisjoint(SILENT):
                self.await_process(name)
        self.note(f"processes answer after {time.monotonic() - began:.1f} s")

    def await_process(self, name):
        assert self.cluster.poll(
            lambda: "gypsumwalk_" in self.cluster.read_metrics(name), START_SECONDS
        ), f"{name} does not answer within {START_SECONDS} s"

    def await_accepted(self):
        """Wait until a configuration is accepted that is applied from now on."""
        began = time.monotonic()
        assert self.cluster.poll(
            lambda: self.writer.failures or self.writer.has_accepted_since(began),
            RETURN_SECONDS,
        ), f"no configuration is accepted within {RETURN_SECONDS} s"
        self.note(f"accepted after {time.monotonic() - began:.1f} s")
        self.check_processes()

    def await_disks(self):
        """Wait until every daemon with a disk reports that it works."""
        for name in self.cluster.names:
            if name != ENTRY:
                self.cluster.await_gauge(name, 1.0)

    def agree(self):
        """Tell whether all daemons know the same leader, and list the same voters."""
        reports = [self.read_voters(name) for name in self.cluster.names]
        first, *others = reports
        return (
            bool(first and first["leader"])
            and all(report == first for report in others)
            and sorted(first["voters"]) == sorted(self.members)
        )

    def check_processes(self):
        for name, process in self.cluster.processes.items():
            code = process.poll()
            assert code is None or self.is_down(name), f"{name} ended with {code}"
        assert not self.writer.failures, self.writer.failures

    def check_configuration(self):
        """Check that what was accepted is in force, also after a loss of power."""
        self.writer.stop()
        assert self.cluster.poll(self.writer.apply, RETURN_SECONDS), "not accepted"
        self.check_files()
        self.note("power is cut")
        self.cluster.cut_power(self.random)
        for name in self.cluster.names:
            self.start(name)
        self.await_processes()
        self.await_disks()
        assert self.cluster.poll(self.agree, RETURN_SECONDS), "no agreed leader"
        self.check_files()
        self.check_processes()

    def check_files(self):
        for name in self.cluster.names:
            self.cluster.await_files(name, self.writer.accepted, RETURN_SECONDS)
        self.note(f"{len(self.writer.accepted)} configurations are in force")

    def note(self, step):
        with open(self.steps_path, "a") as steps:
            steps.write(f"{time.monotonic() - self.began:7.2f} {step}\n")

    def _describe(self, error):
        steps = self.steps_path.read_text()
        return f"{error}\n{steps}\n{self.cluster.describe()}"
