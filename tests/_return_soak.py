"""Seeded soak of returns of whole groups of instances, at each of which leaders end.

Three data centres and the time limits are as on the users' machines. Tasks go on while
their instances are cut off, for longer than the leases that the leader grants.
"""

import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

from tests._life_soak import LEADER_SECONDS, Soak
from tests._overtaking_instance import (
    MAX_LEASE_SECONDS,
    OvertakingInstance,
    draw_low,
)
from tests._platform_processes import (
    CONTROL_ADDRESSES,
    ENTRY,
    INSTANCES,
    Processes,
    Site,
    await_true,
)
from tests._return_soak_callers import MixedSubmitter, find_length, is_lasting

DATA_CENTRES = ("dc-1", "dc-2", "dc-3")
PER_DATA_CENTRE = 7
SPARED = 3
"""Instances that are out of trouble at any time, so that lost runs are repeated."""

ENTRIES = {
    f"entry-{number}": ENTRY.replace("127.84.", f"127.{85 + number}.")
    for number in (1, 2, 3)
}
BOUNDS = {"max_hold_ms": 1000 * MAX_LEASE_SECONDS, "stop_grace_ms": 400.0}
RETURNS_SECONDS = 3.0, 18.0
"""Time in which returns begin, once there is work; cuts end up to 36 s later."""

WHOLE_SHARE, AGAIN_SHARE, CUT_SHARE = 0.5, 0.3, 0.75
TROUBLES = [
    *["leader terminated"] * 5,
    "leader killed",
    "leader paused",
    "entry terminated",
]
COMPLETION_SECONDS = 80.0
"""Limit from the end of the troubles until all accepted jobs are completed. A start
that was not answered is waited for 12 s, a lease of 10 s may follow, and a task takes
15 s; the rest is for another such wait, and a busy machine."""

LASTING_SECONDS = 20.0
"""Limit from then until all tasks that last run, and for the ends of those that are
cancelled; at most one start that was not answered is waited for."""


class ReturnSoak(Soak):
    """Groups of instances that return and are cut off, while leaders end."""

    title = "return soak"
    names = [
        f"i-{data_centre}-{number}"
        for number in range(PER_DATA_CENTRE)
        for data_centre in DATA_CENTRES
    ]
    completion_seconds = COMPLETION_SECONDS

    def _make_processes(self, folder):
        return Processes(folder, Site(ENTRIES, DATA_CENTRES, BOUNDS))

    def _make_instance(self, name, random):
        data_centre = name[2:6]
        first = DATA_CENTRES.index(data_centre)
        controls = CONTROL_ADDRESSES[first:] + CONTROL_ADDRESSES[:first]
        return OvertakingInstance(
            name, INSTANCES, controls, random, find_length, data_centre=data_centre
        )

    def _make_submitter(self, random):
        hosts = list(ENTRIES.values())
        random.shuffle(hosts)
        return MixedSubmitter(random, hosts)

    def _disturb(self):
        """Play the series of the instances, and the troubles of the processes."""
        for instance in self._instances:
            instance.is_harassed = True
        steps = self._draw_steps()
        births = [at for at, _, action in steps if action == "begin_life"]
        began = time.monotonic()
        with ThreadPoolExecutor(1) as pool:
            disturbed = pool.submit(self._disturb_processes, births, began)
            for at, number, action in steps:
                time.sleep(max(0.0, began + at - time.monotonic()))
                getattr(self._instances[number], action)()
                self._note(f"{self.names[number]} {action}")
            disturbed.result()
        for instance in self._instances:
            instance.is_harassed = False

    def _draw_steps(self):
        """Return time, instance and action of each step of series that overlap."""
        steps = []
        free_from = [0.0] * len(self.names)
        at, end = RETURNS_SECONDS
        while at < end:
            for number in self._draw_group(free_from, at):
                series = self._draw_series(at)
                steps += [(when, number, action) for when, action in series]
                free_from[number] = series[-1][0] + 0.3
            at += self._random.uniform(0.7, 2.5)
        return sorted(steps)

    def _draw_group(self, free_from, at):
        """Return the instances of one data centre, or some of any, that are free."""
        free = [number for number, since in enumerate(free_from) if since <= at]
        if self._random.random() < WHOLE_SHARE:
            first = self._random.randrange(len(DATA_CENTRES))
            group = [number for number in free if number % len(DATA_CENTRES) == first]
        else:
            group = self._random.sample(free, min(len(free), 4))
        return group[: max(0, len(free) - SPARED)]

    def _draw_series(self, at):
        """Return times and actions of one return, and at times of another after it."""
        series = []
        for _ in range(2 if self._random.random() < AGAIN_SHARE else 1):
            dark = at + self._random.uniform(0.0, 0.3)
            at = dark + self._draw_low(0.02, 1.5)
            series += [(dark, "go_dark"), (at, "begin_life")]
            if self._random.random() < CUT_SHARE:
                uniform = self._random.uniform
                draw = self._random.choice([uniform, uniform, self._draw_low])
                cut = at + draw(0.02, 4.0)
                at = cut + self._random.triangular(1.0, 12.0, 9.0)
                series += [(cut, "cut_off"), (at, "reconnect")]
            at += self._random.uniform(0.3, 3.0)
        return series

    def _draw_low(self, lowest, highest):
        return draw_low(self._random, lowest, highest)

    def _disturb_processes(self, births, began):
        """Play one trouble of a process after another, each after a return."""
        while True:
            earliest = time.monotonic() - began + self._random.uniform(0.0, 6.0)
            at = next((birth for birth in births if birth >= earliest), None)
            if at is None:
                return
            kind, action = self._random.choice(TROUBLES).split()
            delay = self._draw_low(0.02, 1.0)
            outage = self._random.uniform(0.3, 4.0)
            time.sleep(max(0.0, began + at + delay - time.monotonic()))
            name = self._random.choice(list(ENTRIES))
            if kind == "leader":
                name = await_true(self._processes.find_leader, LEADER_SECONDS)
                assert name, f"no leader in {LEADER_SECONDS} s"
            self._disturb_process(name, action, outage)

    def _disturb_process(self, name, action, outage):
        self._note(f"{name} is {action}")
        if action == "paused":
            self._processes.pause(name)
        elif action == "killed":
            self._processes.end(name, is_killed=True)
        else:
            self._processes.end_with_connections(name)
            self._note(f"{name} has ended")
        time.sleep(outage)
        if action == "paused":
            self._processes.resume(name)
        else:
            self._processes.start(name)
        self._note(f"{name} goes on")

    def _await_completion(self):
        """Await what is accepted, and cancel what lasts once all of it works."""
        super()._await_completion()
        for submitter in self._submitters:
            jobs = submitter.list_lasting()
            await_true(
                lambda jobs=jobs: self._list_working() >= set(jobs), LASTING_SECONDS
            )
            self._fail(set(jobs) - self._list_working(), "lasts and does not run")
            self._fail(submitter.cancel(jobs, LASTING_SECONDS), "cannot be cancelled")
            left = submitter.await_state(jobs, "cancelled", LASTING_SECONDS)
            self._fail(left, "is not shown as cancelled")
        await_true(lambda: not self._list_working(), LASTING_SECONDS)
        self._fail(self._list_working(), "runs on after its end")

    def _check(self):
        history = [run for item in self._instances for run in item.history]
        done = Counter(
            task.partition(".")[0]
            for task in {run.task for run in history if run.end_kind == "done"}
        )
        for submitter in self._submitters:
            jobs = set(submitter.accepted) & set(submitter.counts)
            few = [job for job in jobs if done[job] < submitter.counts[job]]
            self._fail(few, "has tasks without a run that ended as done")
        super()._check()

    def _fail(self, jobs, what):
        self._failures += [f"{job} {what}" for job in jobs]

    def _list_working(self):
        """Return the lasting jobs that run."""
        history = [run for item in self._instances for run in list(item.history)]
        working = {run.task.partition(".")[0] for run in history if run.ended is None}
        return {job for job in working if is_lasting(job)}
