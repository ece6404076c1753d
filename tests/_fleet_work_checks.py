"""Checks over the execution history of the emulated platform.

They share no code with the schedulers that they check.
"""

from collections import Counter


def find_duplicate_runs(history, open_end=float("inf")):
    """Return tasks with overlapping runs or a run after an acknowledged success."""
    found = []
    by_task = {}
    for execution in history:
        by_task.setdefault(execution.task, []).append(execution)
    for task, runs in by_task.items():
        runs.sort(key=lambda item: item.started)
        for earlier, later in zip(runs, runs[1:], strict=False):
            end = open_end if earlier.ended is None else earlier.ended
            if later.started < end:
                found.append((task, earlier.run, later.run, "overlap"))
            done = earlier.end_kind == "done" and earlier.acknowledged
            if earlier.ended is not None and done:
                found.append((task, earlier.run, later.run, "after done"))
    return found


def find_overloads(history, needs, capacity):
    """Return starts that exceeded the capacity of their instance."""
    found = []
    for execution in history:
        at = execution.started
        used = sum(
            needs(item.task)
            for item in history
            if item.life == execution.life
            and item.started <= at
            and (item.ended is None or item.ended > at)
        )
        if used > capacity:
            found.append((execution.task, execution.life, used))
    return found


def find_quota_excess(history, needs, quota):
    """Return starts that exceeded the quota by more than 10 % and one task."""
    found = []
    for execution in history:
        at = execution.started
        used = sum(
            needs(item.task)
            for item in history
            if item.started <= at and (item.ended is None or item.ended > at)
        )
        if used > quota * 1.1 + needs(execution.task):
            found.append((execution.task, used))
    return found


def find_early_starts(history, after):
    """Return starts before the tasks of the preceding steps had succeeded."""
    found = []
    for execution in history:
        job, occurrence, step, _ = execution.task.split(".")
        for earlier, count in after(int(step)):
            prefix = f"{job}.{occurrence}.{earlier}."
            done = {
                item.task
                for item in history
                if item.task.startswith(prefix)
                and item.end_kind == "done"
                and item.ended is not None
                and item.ended <= execution.started
            }
            if len(done) < count:
                found.append((execution.task, earlier))
    return found


def find_excess_attempts(history, attempts):
    """Return tasks that were started again after their last allowed failure."""
    failures = Counter(
        item.task
        for item in history
        if item.end_kind == "failed" and item.ended is not None
    )
    starts = Counter(item.task for item in history)
    return [
        task
        for task, count in failures.items()
        if count > attempts or (count == attempts and starts[task] > attempts)
    ]


def find_runs_after_cancel(history, job, cancelled_at, allowed):
    """Return runs of a cancelled job that started or lasted past the allowed time."""
    until = cancelled_at + allowed
    return [
        item.task
        for item in history
        if item.task.startswith(f"{job}.")
        and (item.started > until or item.ended is None or item.ended > until)
    ]


def find_starts_on(history, life, since):
    """Return the runs started on one incarnation of an instance after a time."""
    return [item.task for item in history if item.life == life and item.started > since]


def count_unfinished_tasks(history, job, count):
    """Return the number of tasks of a job that have not succeeded."""
    done = {
        item.task
        for item in history
        if item.task.startswith(f"{job}.") and item.end_kind == "done" and item.ended
    }
    return count - len(done)


def find_split_gangs(history, job):
    """Return pairs of gang members of which one has ended and the other still runs."""
    found = []
    for ended in history:
        if not ended.task.startswith(f"{job}.") or ended.ended is None:
            continue
        found += [
            (ended.task, other.task)
            for other in history
            if other.task.startswith(f"{job}.")
            and other.run == ended.run
            and other.ended is None
        ]
    return found
