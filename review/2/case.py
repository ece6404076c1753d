"""A delayed deregistration of an ended life takes the next life of a runner away."""

import os
import signal
import sys
import threading
import time
from pathlib import Path

from review.standins.deployment import CannotRun, Deployment, wait_until
from review.standins.record import Record
from review.standins.runner import DRAIN_SECONDS, Runner

PAUSE_SECONDS = 7.0
RESTART_SECONDS = 0.5
FINISH_SECONDS = 14.0
IDLE_SECONDS = 3.0
SETTLE_SECONDS = 3.0
MAX_HEARTBEAT_AGE_SECONDS = 3.0
FIRST_JOB, SECOND_JOB = "5c0e7a21d94b36f8", "8d1f6b32e05c47a9"
STEPS = [{"count": 2, "cpu": 1000, "mem_mb": 256, "estimated_ms": 1000}]


def run_case(
    deployment: Deployment, runners: list[Runner], record: Record, with_trouble: bool
) -> bool:
    """Run the case; return whether the rule held."""
    deployment.start()
    for runner in runners:
        runner.start()
        wait_until(runner.send_heartbeat, 10.0, f"{runner.name} registered")
    if deployment.submit(FIRST_JOB, STEPS, "1") != 200:
        raise CannotRun("the first job was not accepted")
    wait_until(
        lambda: deployment.read_state(FIRST_JOB) == "completed", 15.0, "first job done"
    )
    follower = deployment.find_follower()
    daemon = deployment.find_control_address(follower)
    drain(runners, daemon)
    paused_at = time.monotonic()
    if with_trouble:
        deployment.signal(follower, signal.SIGSTOP)
    restart_all(runners)
    time.sleep(max(0.0, paused_at + PAUSE_SECONDS - time.monotonic()))
    if with_trouble:
        deployment.signal(follower, signal.SIGCONT)
    time.sleep(SETTLE_SECONDS)
    if deployment.submit(SECOND_JOB, STEPS, "1") != 200:
        raise CannotRun("the second job was not accepted")
    return check_second_job(deployment, runners, record)


def drain(runners: list[Runner], daemon: str) -> None:
    """Report to one daemon that the runners drain, and go on for ``drain_ms``."""
    for runner in runners:
        runner.prefer(daemon)
        if not runner.announce_drain():
            raise CannotRun(f"the drain of {runner.name} was not acknowledged")
    time.sleep(DRAIN_SECONDS)
    for runner in runners:
        runner.prefer(daemon)


def restart_all(runners: list[Runner]) -> None:
    """Take all runners through their planned end and their next start."""
    threads = [threading.Thread(target=restart, args=(item,)) for item in runners]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def restart(runner: Runner) -> None:
    """Take a drained runner through its planned end and its next start."""
    runner.deregister()
    time.sleep(RESTART_SECONDS)
    runner.start()
    runner.send_heartbeat()


def check_second_job(
    deployment: Deployment, runners: list[Runner], record: Record
) -> bool:
    """Return whether the second job is completed or at least at work in time."""
    end = time.monotonic() + FINISH_SECONDS + IDLE_SECONDS
    while time.monotonic() < end:
        state = deployment.read_state(SECOND_JOB)
        if state == "completed":
            record.write(f"client: the job {SECOND_JOB} is completed")
            return True
        time.sleep(0.5)
    for runner in runners:
        age = record.now() - runner.acknowledged_at
        record.write(
            f"runner {runner.name}: runs {len(runner.list_running())} tasks, its last"
            f" heartbeat was acknowledged {age:.1f} s ago"
        )
        if age > MAX_HEARTBEAT_AGE_SECONDS:
            raise CannotRun(f"{runner.name} is not known to be up")
    started = [run for item in runners for run in item.history]
    if any(run.task.startswith(SECOND_JOB) for run in started):
        raise CannotRun("the second job was started, but is not completed")
    record.write(f"LOST: {SECOND_JOB} is {state}, nothing of it was ever started")
    return False


def main() -> int:
    """Run the case and return its exit code."""
    record = Record(Path(__file__).with_name("record.txt"))
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"disruption: {'yes' if with_trouble else 'no'}")
    deployment = Deployment(record)
    runners = deployment.make_runners(2)
    try:
        held = run_case(deployment, runners, record, with_trouble)
    except CannotRun as error:
        record.write(f"the case could not run: {error}")
        return 2
    finally:
        for runner in runners:
            runner.close()
        deployment.close()
    record.write(f"the rule {'held' if held else 'was broken'}")
    return 0 if held else 1


if __name__ == "__main__":
    sys.exit(main())
