"""Jobs run although their cancelling was acknowledged before they were accepted."""

import signal
import time
from concurrent.futures import ThreadPoolExecutor

from review.standins2.cases import Client, World, main, open_world
from review.standins2.deployment import Record, make_configuration

ENTRIES = 7
FREEZE_SECONDS = 4.0
GIVE_UP_SECONDS = 0.3
"""Half of the objective of 600 ms."""
CLIENTS, LEAVING = 24, 6
RESTART_SECONDS = 3.5
CANCEL_SECONDS = 3.0
"""``cancel_ms``."""
WATCH_SECONDS = 8.0
STEP = {"count": 1, "cpu": 100, "mem_mb": 100, "long_running": True}
BODY = {"spec": "work", "steps": [STEP]}


def play(record: Record, has_trouble: bool) -> list[str]:
    """Play the case, and return the broken rules."""
    configuration = make_configuration(routes=[{"name": "r-a", "path_prefix": "/a/"}])
    with open_world(
        record,
        configuration,
        [{}] * 4,
        find_seconds=lambda task, spec: 1.5,
        entries=ENTRIES,
    ) as world:
        broken = _freeze_entry(world, has_trouble)
        time.sleep(5.0)
        return broken + _kill_leader(world, has_trouble)


def _freeze_entry(world: World, has_trouble: bool) -> list[str]:
    """Hand in and cancel one job while the entry that takes it is frozen."""
    job = "00000000000b0b01"
    client = Client(world.record, "client", "key-of-coop")
    deployment = world.deployment
    frozen = next(iter(deployment.entries))
    first, other = deployment.front_addresses[:2]
    began = time.monotonic()
    if has_trouble:
        deployment.signal(frozen, signal.SIGSTOP)
    client.call(first, "POST", f"/a/{job}", BODY)
    status, _ = client.call(other, "DELETE", f"/a/{job}")
    cancelled = time.monotonic()
    time.sleep(max(0.0, began + FREEZE_SECONDS - time.monotonic()))
    if has_trouble:
        deployment.signal(frozen, signal.SIGCONT)
    time.sleep(WATCH_SECONDS)
    broken = _find_late_starts(world, job, status, cancelled)
    client.call(other, "DELETE", f"/a/{job}")
    return broken


def _kill_leader(world: World, has_trouble: bool) -> list[str]:
    """Hand in jobs as the leader is killed; a fourth of the clients cancel at once."""
    deployment = world.deployment
    leader = deployment.find_leader()
    fronts = deployment.front_addresses
    if has_trouble:
        deployment.signal(leader, signal.SIGKILL)

    def act(number: int) -> tuple[str, int, float]:
        job = f"{0xB0B100 + number:016x}"
        client = Client(world.record, f"client-{number}", "key-of-coop")
        is_leaving = number < LEAVING
        timeout = GIVE_UP_SECONDS if is_leaving else 3.0
        first, other = (fronts[(number + item) % len(fronts)] for item in (0, 1))
        client.call(first, "POST", f"/a/{job}", BODY, timeout)
        if not is_leaving:
            return job, 0, 0.0
        status, _ = client.call(other, "DELETE", f"/a/{job}")
        return job, status, time.monotonic()

    with ThreadPoolExecutor(CLIENTS) as pool:
        cancels = list(pool.map(act, range(CLIENTS)))
    if has_trouble:
        time.sleep(RESTART_SECONDS)
        deployment.start(leader)
    time.sleep(WATCH_SECONDS)
    broken: list[str] = []
    for cancel in cancels:
        broken += _find_late_starts(world, *cancel)
    return broken


def _find_late_starts(
    world: World, job: str, status: int, cancelled: float
) -> list[str]:
    if status not in (200, 410):
        return []
    return [
        f"UNASKED: {name} starts {task} run {run} {at - cancelled:.3f} s after the"
        f" cancelling of the job was acknowledged with {status}"
        for at, name, task, run in world.list_starts(job)
        if at > cancelled + CANCEL_SECONDS
    ]


if __name__ == "__main__":
    main(play)
