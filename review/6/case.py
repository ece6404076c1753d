"""A task runs twice, as its runner is cut off one way while it deregisters."""

import threading
import time
from itertools import combinations

from review.standins2.cases import Client, World, main, open_world
from review.standins2.deployment import Record, make_configuration

JOB = "00000000000a0a01"
RUNNERS = 6
TASK_SECONDS = 14.0
DRAIN_SECONDS = 2.0
"""``drain_ms``, after the acknowledgement."""
CUT_BEFORE_SECONDS, CUT_SECONDS = 0.5, 5.0
LINGER_SECONDS = 4.0
END_SECONDS = 24.0


def play(record: Record, has_trouble: bool) -> list[str]:
    """Play the case, and return the broken rules."""
    configuration = make_configuration(routes=[{"name": "r-a", "path_prefix": "/a/"}])
    with open_world(
        record,
        configuration,
        [{}] * RUNNERS,
        find_seconds=lambda task, spec: TASK_SECONDS,
    ) as world:
        return _play(world, has_trouble)


def _play(world: World, has_trouble: bool) -> list[str]:
    client = Client(world.record, "client", "key-of-coop")
    front = world.deployment.front_addresses[0]
    steps = [{"count": 2, "cpu": 1000, "mem_mb": 100, "estimated_ms": 14000}]
    client.call(front, "POST", f"/a/{JOB}", {"spec": "work", "steps": steps})
    time.sleep(1.0)
    began = time.monotonic()
    leaving = next(item for item in world.runners if item.list_running())
    leaving.state = "draining"
    world.record.write(f"{leaving.name} drains")
    while leaving.acknowledged != "draining":
        time.sleep(0.02)
    world.record.write(f"{leaving.name}: its draining is acknowledged")
    time.sleep(DRAIN_SECONDS - CUT_BEFORE_SECONDS)
    if has_trouble:
        leaving.is_cut_off = True
        world.record.write(f"nothing from control reaches {leaving.name}")
    time.sleep(CUT_BEFORE_SECONDS)
    threading.Thread(target=leaving.leave, args=(LINGER_SECONDS,)).start()
    time.sleep(CUT_SECONDS - CUT_BEFORE_SECONDS)
    leaving.is_cut_off = False
    time.sleep(max(0.0, began + END_SECONDS - time.monotonic()))
    client.call(front, "GET", f"/a/{JOB}")
    return _find_overlaps(world)


def _find_overlaps(world: World) -> list[str]:
    """Return the pairs of runs of one task that went on at the same time."""
    runs = []
    for runner in world.runners:
        open_runs = {}
        for what, task, run, at, _ in runner.history:
            if what == "start":
                open_runs[task, run] = at
            else:
                runs.append((task, open_runs.pop((task, run)), at, runner.name, run))
        now = time.monotonic()
        runs += [
            (key[0], at, now, runner.name, key[1]) for key, at in open_runs.items()
        ]
    broken = []
    for one, other in combinations(sorted(runs), 2):
        seconds = min(one[2], other[2]) - other[1]
        if one[0] == other[0] and seconds > 0:
            broken.append(
                f"TWICE: run {one[4]} of {one[0]} on {one[3]} and run {other[4]} on"
                f" {other[3]} go on together for {seconds:.3f} s"
            )
    return broken


if __name__ == "__main__":
    main(play)
