"""Policies for the order of waiting jobs, compared on the same overloads of one pool.

Usage: ``python -m bench.overload_policies``. Writes
``docs/measurements/overload-policies.md``. The pool is a model of slots with steps of
20 ms, without a network. A policy sees the waiting jobs, their estimates and the room
of the pool, never the arrivals to come.
"""

from collections import Counter, defaultdict
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
from functools import partial
from heapq import heappop, heappush
from math import ceil
from multiprocessing import Pool as Workers
from pathlib import Path
from statistics import mean

from bench._arrivals import (
    OBJECTIVE_SECONDS,
    PATTERNS,
    RACKS,
    SLOTS,
    STRETCH,
    TEAMS,
    Arrival,
    Pattern,
    make_pattern,
)
from gypsumwalk.backlog import JobView, RoomView
from gypsumwalk.drop_limits import DropLimits
from gypsumwalk.job_selection import JobGroup, find_arrival_rank, select_jobs
from gypsumwalk.job_values import LATE_SHARE, find_value

OUTPUT = Path(__file__).parent.parent / "docs" / "measurements" / "overload-policies.md"
SEEDS = range(3)
STEP_SECONDS = 0.02
LIMIT_SECONDS = 60.0
LATE_FACTOR = 3.0
MAX_ATTEMPTS = 3
CELL_SECONDS = 0.25
BOUND_SECONDS = 40.0
PROCESSES = 2

COLUMNS = (
    "value",
    "on time",
    "late",
    "not done",
    *(f"team {team}" for team in TEAMS),
    "tenth",
    "fifth",
    "tenth done",
    "fifth done",
)
HEAD = f"""\
# Order of waiting jobs under overload

Written by `python -m bench.overload_policies`: means over the seeds
{", ".join(map(str, SEEDS))}, each of which gives all policies the same arrivals. The
pool is a model of {SLOTS} slots in {RACKS} racks; a job has one to three steps, one
after the other, each of some tasks of one slot. Nothing here is from a cluster.

Arrivals of 25 s: 0.35 of the capacity, in two turns of 4 s five times as much. A burst
doubles that for 2 s, and a deep turn is three times a turn. The hot team submits 6.4
times its share. A rack is a third of the pool. Jobs are on time within {STRETCH} times
their critical path plus {OBJECTIVE_SECONDS} s. A policy sees estimates and the room of
the pool, and none of the arrivals to come.

The first table is the value earned, as a share of the value of all jobs that are
neither cancelled nor poison. The bound knows all arrivals; it takes jobs for divisible
and able to use all slots at once, so that no policy reaches it. The columns after "this
policy" change one thing of it:

- supply until due: the selected work is what the pool can do until the due dates,
  instead of what it can begin until the latest starts;
- no limits: no job is kept for its size or its team;
- half of large kept: a large job is kept if more than half of them were missed, even if
  as many of the others were;
- started may be dropped: started jobs are dropped by value, too;
- started late keep room: jobs that have started and will be late go with the selected;
- group first: selected jobs of a lower class go before late ones of a higher class;
- next step only: room is planned for the next step of a job instead of all.

In the tables of the patterns, teams, the largest tenth of the jobs and the fifth below
it are shares on time; the last two columns are shares on time or late.

## Value earned
"""

Views = Sequence[JobView]
Policy = Callable[[Views, RoomView, float], list[str]]


@dataclass(slots=True)
class Job:
    """An arrival and its progress; the counts are of its present step."""

    arrival: Arrival
    mean_work: float
    step: int = 0
    ready: int = 0
    running: int = 0
    attempts: int = 0
    has_started: bool = False

    def make_view(self, margin: float, *, next_step_only: bool) -> JobView:
        """Return what a policy may know of the job: estimates, no true durations."""
        arrival = self.arrival
        left = arrival.steps[self.step :]
        work = [width * estimate for width, estimate, _ in left]
        work[0] = self.ready * left[0][1]
        allowed = STRETCH * sum(step[1] for step in arrival.steps) + OBJECTIVE_SECONDS
        due = arrival.at + allowed
        total = sum(width * estimate for width, estimate, _ in arrival.steps)
        return JobView(
            arrival.job,
            arrival.team,
            arrival.priority,
            arrival.at,
            due - sum(estimate for _, estimate, _ in left) - margin,
            due,
            arrival.at + LATE_FACTOR * allowed,
            work[0] if next_step_only else sum(work),
            self.mean_work,
            total,
            self.has_started,
            arrival.is_excess,
        )


@dataclass
class SlotModel:
    """One pool that starts the ready tasks in the order of a policy."""

    pattern: Pattern
    policy: Policy
    next_step_only: bool = False
    jobs: dict[str, Job] = field(default_factory=dict)
    running: list[tuple[float, int, Job, int]] = field(default_factory=list)
    ended_at: dict[str, float] = field(default_factory=dict)
    free: list[int] = field(default_factory=lambda: [SLOTS // RACKS] * RACKS)
    count: int = 0

    def run(self) -> dict[str, float]:
        """Return the time at which each job that was completed ended."""
        arrivals = list(reversed(self.pattern.arrivals))
        mean_work = mean(item.work for item in arrivals)
        now, is_dark = 0.0, False
        while now < LIMIT_SECONDS and (arrivals or self.jobs):
            while arrivals and arrivals[-1].at <= now:
                arrival = arrivals.pop()
                job = Job(arrival, mean_work, ready=arrival.steps[0][0])
                self.jobs[arrival.job] = job
            for job in list(self.jobs.values()):
                if job.arrival.cancelled_at <= now:
                    self.jobs.pop(job.arrival.job)
            is_dark, was_dark = _is_within(now, self.pattern.dark), is_dark
            if is_dark and not was_dark:
                self._lose_rack()
            while self.running and self.running[0][0] <= now:
                self._end_task(*heappop(self.running)[2:], now)
            self._start_tasks(now)
            now += STEP_SECONDS
        return self.ended_at

    def _is_open(self, rack: int, now: float) -> bool:
        shut = _is_within(now, self.pattern.dark) or _is_within(
            now, self.pattern.closed
        )
        return rack != RACKS - 1 or not shut

    def _lose_rack(self) -> None:
        for item in [item for item in self.running if item[3] == RACKS - 1]:
            self.running.remove(item)
            item[2].running -= 1
            item[2].ready += 1
            self.free[RACKS - 1] += 1
        self.running.sort()

    def _end_task(self, job: Job, rack: int, now: float) -> None:
        self.free[rack] += 1
        job.running -= 1
        if job.arrival.job not in self.jobs:
            return
        if job.arrival.is_poison:
            job.attempts += 1
            job.ready += 1
            if job.attempts >= MAX_ATTEMPTS:
                del self.jobs[job.arrival.job]
        elif not job.ready and not job.running:
            job.step += 1
            if job.step < len(job.arrival.steps):
                job.ready = job.arrival.steps[job.step][0]
            else:
                del self.jobs[job.arrival.job]
                self.ended_at[job.arrival.job] = now

    def _start_tasks(self, now: float) -> None:
        racks = [rack for rack in range(RACKS) if self._is_open(rack, now)]
        if not any(self.free[rack] for rack in racks):
            return
        views = [
            job.make_view(self.pattern.margin, next_step_only=self.next_step_only)
            for job in self.jobs.values()
            if job.ready or (not self.next_step_only and _has_later_step(job))
        ]
        running_work = sum(
            max(0.0, item[0] - now) for item in self.running if item[3] in racks
        )
        room = RoomView(SLOTS / RACKS * len(racks), running_work)
        for name in self.policy(views, room, now):
            job = self.jobs[name]
            allowed = [job.arrival.rack] if job.arrival.rack is not None else racks
            for rack in allowed:
                while job.ready and self.free[rack]:
                    self._start(job, rack, now)

    def _start(self, job: Job, rack: int, now: float) -> None:
        self.free[rack] -= 1
        job.ready -= 1
        job.running += 1
        job.has_started = True
        self.count += 1
        end = now + job.arrival.steps[job.step][2]
        heappush(self.running, (end, self.count, job, rack))


def _is_within(now: float, span: tuple[float, float]) -> bool:
    return span[0] <= now < span[1]


def _has_later_step(job: Job) -> bool:
    return job.step + 1 < len(job.arrival.steps)


def _sort(key: Callable[[JobView, float], tuple[float, ...]]) -> Callable[[], Policy]:
    def order(views: Views, room: RoomView, now: float) -> list[str]:
        return [view.job for view in sorted(views, key=lambda view: key(view, now))]

    return lambda: order


def _rate_today(view: JobView, now: float) -> tuple[float, ...]:
    """Return the order of the release before this policy (``urgency.py``)."""
    if view.latest_start >= now:
        return view.priority, 0.0 if view.has_started else 1.0, view.latest_start
    is_expired = view.latest_start + view.expires - view.due < now
    return view.priority, 4.0 if is_expired else 3.0, view.total_work


def make_fair_share() -> Policy:
    """Return the policy that serves the team with the least work for its share."""
    served: Counter[str] = Counter()
    last: dict[str, JobView] = {}

    def order(views: Views, room: RoomView, now: float) -> list[str]:
        current = {view.job: view for view in views}
        for name, view in last.items():
            left = current[name].work if name in current else 0.0
            served[view.team] += view.work - left
        last.clear()
        last.update(current)
        used, keys = Counter(served), {}
        for view in sorted(views, key=lambda view: view.submitted):
            keys[view.job] = used[view.team] / TEAMS[view.team]
            used[view.team] += view.work
        return sorted(keys, key=keys.__getitem__)

    return order


class AbsoluteLimits(DropLimits):
    """Limits that keep half of the large jobs, however few others are served."""

    def _list_neglected(self) -> set[tuple[int, bool]]:
        return {
            group
            for group, item in self._outcomes.items()
            if group[1] and 2 * item.served < len(item.items)
        }


def make_selection(variant: str = "") -> Policy:
    """Return the policy of ``job_selection``, or a variant of it."""
    limits = AbsoluteLimits() if variant == "half of large kept" else DropLimits()

    def order(views: Views, room: RoomView, now: float) -> list[str]:
        kept = limits.choose_kept(views, now)
        if variant == "no limits":
            kept = frozenset()
        jobs = [_change_view(view, variant, now) for view in views]
        selection = select_jobs(jobs, room, now, kept=kept)
        limits.record(views, selection, now)
        ranks = dict(selection.ranks)
        for view in views:
            is_selected = ranks[view.job][1] == JobGroup.SELECTED
            if variant == "supply until due" and is_selected:
                ranks[view.job] = find_arrival_rank(view)
            if variant == "started late keep room" and view.has_started:
                ranks[view.job] = find_arrival_rank(view)
            if variant == "group first":
                rank = ranks[view.job]
                ranks[view.job] = rank[1], rank[0], *rank[2:]
        return sorted(ranks, key=ranks.__getitem__)

    return order


def _change_view(view: JobView, variant: str, now: float) -> JobView:
    if variant == "started may be dropped":
        return replace(view, has_started=False)
    if variant == "supply until due" and view.latest_start >= now:
        return replace(view, latest_start=view.due)
    return view


POLICIES: dict[str, Callable[[], Policy]] = {
    "first come first served": _sort(lambda view, _: (view.submitted,)),
    "strict priority": _sort(lambda view, _: (view.priority, view.submitted)),
    "earliest due date": _sort(lambda view, _: (view.due,)),
    "plain fair share": make_fair_share,
    "order before this policy": _sort(_rate_today),
    "this policy": make_selection,
}
VARIANTS = {
    name: partial(make_selection, name)
    for name in (
        "supply until due",
        "no limits",
        "half of large kept",
        "started may be dropped",
        "started late keep room",
        "group first",
        "next step only",
    )
}
BOUND = "offline bound"


def find_job_value(arrival: Arrival, mean_work: float) -> float:
    """Return the value of a job on time; cancelled and poison jobs have none."""
    if arrival.is_poison or arrival.cancelled_at < float("inf"):
        return 0.0
    view = Job(arrival, mean_work).make_view(0.0, next_step_only=False)
    return find_value(replace(view, total_work=arrival.work))


def find_bound(pattern: Pattern) -> float:
    """Return an upper bound of the share of the value that any policy can earn.

    Jobs are divisible and can use all slots at once, all late values are earned without
    work, and times are rounded outwards to cells. What can be done of such jobs by
    their due dates is a polymatroid, so that it is optimal to take them by their value
    per core-second.
    """
    mean_work = mean(item.work for item in pattern.arrivals)
    cells = ceil(BOUND_SECONDS / CELL_SECONDS)
    done = [0.0]
    for cell in range(cells):
        span = cell * CELL_SECONDS, (cell + 1) * CELL_SECONDS
        is_less = any(
            begin <= span[0] and span[1] <= end
            for begin, end in (pattern.dark, pattern.closed)
        )
        done.append(done[-1] + SLOTS * CELL_SECONDS * (1 - is_less / RACKS))
    left = [[end - begin for end in done] for begin in done]
    value = {item.job: find_job_value(item, mean_work) for item in pattern.arrivals}
    earned = 0.0
    for item in sorted(pattern.arrivals, key=lambda item: -value[item.job] / item.work):
        if not value[item.job]:
            continue
        begin = int(item.at / CELL_SECONDS)
        end = min(cells, ceil((item.at + item.allowed) / CELL_SECONDS))
        rows = left[: begin + 1]
        amount = min(item.work, *(min(row[end:]) for row in rows))
        for row in rows:
            row[end:] = [free - amount for free in row[end:]]
        share = LATE_SHARE + (1 - LATE_SHARE) * amount / item.work
        earned += value[item.job] * share
    return earned / sum(value.values())


def measure(pattern: Pattern, name: str) -> dict[str, float]:
    """Return the figures of a policy on one pattern."""
    if name == BOUND:
        return {"value": find_bound(pattern)}
    policy = (POLICIES | VARIANTS)[name]()
    model = SlotModel(pattern, policy, next_step_only=name == "next step only")
    ended_at = model.run()
    mean_work = mean(item.work for item in pattern.arrivals)
    figures: dict[str, list[float]] = defaultdict(list)
    earned = total = 0.0
    jobs = [a for a in pattern.arrivals if find_job_value(a, mean_work)]
    by_size = sorted(jobs, key=lambda a: -a.work)
    tenth = {a.job for a in by_size[: len(jobs) // 10]}
    fifth = {a.job for a in by_size[len(jobs) // 10 : 3 * len(jobs) // 10]}
    for arrival in jobs:
        taken = ended_at.get(arrival.job, float("inf")) - arrival.at
        on_time = taken <= arrival.allowed
        late = not on_time and taken <= LATE_FACTOR * arrival.allowed
        value = find_job_value(arrival, mean_work)
        total += value
        earned += value * (1.0 if on_time else LATE_SHARE * late)
        figures["on time"].append(on_time)
        figures["late"].append(late)
        figures["not done"].append(not on_time and not late)
        figures[f"team {arrival.team}"].append(on_time)
        for group, members in (("tenth", tenth), ("fifth", fifth)):
            if arrival.job in members:
                figures[group].append(on_time)
                figures[f"{group} done"].append(on_time or late)
    row = {key: mean(map(float, items)) for key, items in figures.items()}
    return row | {"value": earned / total}


def measure_all(task: tuple[str, str]) -> dict[str, float]:
    """Return the mean figures of a policy on all seeds of a pattern."""
    pattern, policy = task
    rows = [measure(make_pattern(pattern, seed), policy) for seed in SEEDS]
    return {key: mean(row[key] for row in rows) for key in rows[0]}


def render(rows: dict[tuple[str, str], dict[str, float]]) -> str:
    """Return the page with the figures by pattern and policy."""
    names = [*POLICIES, *VARIANTS, BOUND]
    lines = [HEAD, "| pattern | " + " | ".join(names) + " |"]
    lines.append("| --- " * (len(names) + 1) + "|")
    for pattern in PATTERNS:
        values = [f"{rows[pattern, name]['value']:.3f}" for name in names]
        lines.append(f"| {pattern} | " + " | ".join(values) + " |")
    means = [
        mean(rows[pattern, name]["value"] for pattern in PATTERNS) for name in names
    ]
    lines.append("| mean | " + " | ".join(f"{item:.3f}" for item in means) + " |")
    for pattern in PATTERNS:
        lines += ["", f"## {pattern.capitalize()}", "", "| policy | "]
        lines[-1] += " | ".join(COLUMNS) + " |"
        lines.append("| --- " * (len(COLUMNS) + 1) + "|")
        for name in [*POLICIES, *VARIANTS]:
            row = rows[pattern, name]
            cells = [f"{row[column]:.3f}" for column in COLUMNS]
            lines.append(f"| {name} | " + " | ".join(cells) + " |")
    return "\n".join(lines) + "\n"


def main() -> None:
    """Measure all policies on all patterns, and write the page."""
    tasks = [
        (pattern, name)
        for pattern in PATTERNS
        for name in [*POLICIES, *VARIANTS, BOUND]
    ]
    with Workers(PROCESSES) as workers:
        rows = dict(zip(tasks, workers.map(measure_all, tasks, 1), strict=True))
    OUTPUT.write_text(render(rows))


if __name__ == "__main__":
    main()
