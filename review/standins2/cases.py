"""What the scripted cases have in common: a deployment that is up, and its clients."""

import os
import sys
import time
from contextlib import contextmanager
from pathlib import Path

from review.standins2.deployment import HOST, Deployment, NotStarted, Record, call
from review.standins2.runners import MachineApi, Runner

HELD, BROKEN, NOT_RUN = 0, 1, 2
SETTLE_SECONDS = 3.0
"""Time until all runners are registered and read, and no disruption is near."""


class Client:
    """Client of one tenant, which records what it sends and what is answered."""

    def __init__(self, record, name, key):
        self._record = record
        self.name = name
        self._headers = {"Host": HOST, "Deadline-Ms": "3000"}
        if key:
            self._headers["Authorization"] = f"Bearer {key}"

    def call(self, address, method, path, body=None, timeout=3.0):
        """Send a request, and return its status and content, 0 without an answer."""
        began = time.monotonic()
        answer = call(address, method, path, body, self._headers, timeout)
        seconds = time.monotonic() - began
        status = answer[0] or "no answer"
        shown = {
            key: answer[1][key] for key in ("state", "pending") if key in answer[1]
        }
        self._record.write(
            f"{self.name}: {method} {path} by {address}: {status}"
            f" {shown or ''} after {seconds:.3f} s"
        )
        return answer


class World:
    """A deployment with its runners and the machine API."""

    def __init__(self, record, deployment, cloud, runners):
        self.record, self.deployment = record, deployment
        self.cloud, self.runners = cloud, runners

    def list_starts(self, job):
        """Return time, runner and run of each start of a task of a job."""
        return sorted(
            (at, runner.name, task, run)
            for runner in self.runners
            for what, task, run, at, _ in list(runner.history)
            if what == "start" and task.startswith(f"{job}.")
        )


def run_case(folder, play):
    """Play a case, and return its exit code; ``play`` returns the broken rules."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(Path(folder) / "record.txt")
    record.write(f"the case begins {'with' if has_trouble else 'without'} its trouble")
    try:
        broken = play(record, has_trouble)
    except Exception as error:
        # The case has shown nothing, whatever has failed.
        record.write(f"the case could not run: {type(error).__name__}: {error}")
        return NOT_RUN
    for line in broken:
        record.write(f"BROKEN {line}")
    record.write(f"result: {'broken' if broken else 'held'}")
    record.close()
    return BROKEN if broken else HELD


@contextmanager
def open_world(record, configuration, details, *, find_seconds, entries=2):
    """Start everything, wait until it is settled, and end it all at the end.

    ``details`` lists what each runner says of itself.
    """
    deployment = Deployment(record, entries=entries)
    cloud = MachineApi(record, deployment.runner_host)
    runners = []
    try:
        deployment.set_cloud(cloud.address)
        deployment.start_all()
        for number, detail in enumerate(details):
            runner = Runner(
                record,
                deployment.runner_host,
                f"i-{number + 1}",
                deployment.control_addresses,
                find_seconds=find_seconds,
                **detail,
            )
            runners.append(runner)
            cloud.add(runner)
        deployment.configure(configuration)
        deployment.await_ready()
        time.sleep(SETTLE_SECONDS)
        if ended := deployment.list_ended():
            raise NotStarted(f"{', '.join(ended)} ended by themselves")
        yield World(record, deployment, cloud, runners)
    finally:
        for runner in runners:
            runner.close()
        cloud.close()
        deployment.close()


def main(play):
    """Play a case in the folder of the calling script, and exit with its code."""
    sys.exit(run_case(Path(sys.argv[0]).resolve().parent, play))
