"""Processor time of one call, one heartbeat and one decision of a leader.

Usage: ``python -m bench.control_cost [calls|heartbeats|decisions] [--profile]``. Prints
one line of JSON for each figure: microseconds of three runs; with ``--profile``, also
the functions that take most of it. Calls of instances go over loopback to another
process, so that the time is that of the leader's side. Heartbeats of instances that are
registered reach the server and the event loop of a control daemon in this process.
Decisions are those of a leader with 3,000 instances that starts and ends 340 runs a
second, in virtual time.
"""

import cProfile
import json
import pstats
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from pathlib import Path
from unittest import mock

import trio

from bench import _control_peers
from gypsumwalk.dispatcher import Dispatcher
from gypsumwalk.drivers.clock import BoottimeClock, EpochClock
from gypsumwalk.drivers.daemon import Daemon
from gypsumwalk.drivers.input_queue import InputQueue
from gypsumwalk.drivers.loop_monitor import LoopMonitor
from gypsumwalk.drivers.metrics import Metrics
from gypsumwalk.drivers.platform_calls import PlatformCalls
from gypsumwalk.effects import CallPlatform
from gypsumwalk.inputs import Committed
from gypsumwalk.instance_actions import RenewLease, StartRun
from gypsumwalk.workload_records import RegisterInstance
from tests._stepped_leader import SteppedLeader

sys.path.append(str(Path(__file__).parent.parent / "platform"))

from adapter_calls import decode_control_call  # noqa: E402
from adapter_client import InstanceClient  # noqa: E402
from adapter_settings import load_settings  # noqa: E402
from control import ControlFactory  # noqa: E402

RUNS = 3
CALLED_INSTANCES = 300
CALL_ROUNDS = 20
CALLS_AT_ONCE = 20
HEARTBEATS = 4000
LIVES = 1000
INSTANCES = 3000
JOBS_PER_SECOND = 85
TASKS_PER_JOB = 4
TASK_SECONDS = 4.0
DECISION_SECONDS = 5.0
SHOWN_FUNCTIONS = 25
IP = "127.74.3.9"
CONTROL_PORT = 28_831
SETTINGS = f"""
ip = "{IP}"
zone = "dc"
internal_port_range = [28810, 28825]
seed_nodes = ["{IP}:{CONTROL_PORT}", "127.74.3.10:28831", "127.74.3.11:28831"]
[listen_addrs]
control_addr = "{IP}:{CONTROL_PORT}"
"""


def report(what: str, microseconds: list[float], **more: float) -> None:
    """Print a figure with its runs."""
    rounded = [round(value, 1) for value in microseconds]
    print(json.dumps({"what": what, "microseconds": rounded} | more), flush=True)


@contextmanager
def show_profile() -> Iterator[None]:
    """Print the functions that take most time, if that was asked for."""
    if "--profile" not in sys.argv:
        yield
        return
    profile = cProfile.Profile(time.thread_time)
    with profile:
        yield
    pstats.Stats(profile).sort_stats("tottime").print_stats(SHOWN_FUNCTIONS)


def start_peers(*arguments: str) -> subprocess.Popen[str]:
    """Start the other side of the calls."""
    command = [sys.executable, "-m", _control_peers.__name__, *arguments]
    return subprocess.Popen(command, stdout=subprocess.PIPE, text=True)


async def measure_calls() -> None:
    """Measure a renewal and a start, from the effect to the outcome in the queue."""
    peers = start_peers("instances", str(CALLED_INSTANCES))
    assert peers.stdout is not None
    addresses = [f"127.0.0.1:{port}" for port in peers.stdout.readline().split()]
    metrics, clock = Metrics(), EpochClock()
    inputs = InputQueue(clock)
    monitor = LoopMonitor(metrics, lambda record: None)
    client = InstanceClient(
        "", "", lambda seconds: metrics.observe_latency("platform_wait", seconds)
    )
    calls = PlatformCalls(
        client,
        inputs,
        clock=clock,
        monitor=monitor,
        metrics=metrics,
        record=lambda record: None,
        may_call=lambda now: True,
    )

    def make_renewal(number: int) -> RenewLease:
        address = addresses[number]
        return RenewLease(f"i-{number}", address, 1, number, 90_000 + number, 0.8)

    def make_start(number: int) -> StartRun:
        return StartRun(
            instance=f"i-{number}",
            address=addresses[number],
            fence=1,
            task=f"7e55{number}.0.0.1",
            run=1,
            spec="x" * 60,
            lease_until=90_000 + number,
        )

    async def go_round(make_action) -> None:
        for begin in range(0, CALLED_INSTANCES, CALLS_AT_ONCE):
            async with trio.open_nursery() as nursery:
                for number in range(begin, begin + CALLS_AT_ONCE):
                    effect = CallPlatform("part/1", make_action(number), 5.0)
                    nursery.start_soon(calls.run, effect)
            for queued in inputs.take(CALLS_AT_ONCE):
                assert queued.item.succeeded
                monitor.count_input(queued, queued.arrived, queued.arrived)

    try:
        for what, make_action in (("renewal", make_renewal), ("start", make_start)):
            await go_round(make_action)
            costs = []
            for _ in range(RUNS):
                began = time.process_time()
                for _ in range(CALL_ROUNDS):
                    await go_round(make_action)
                spent = time.process_time() - began
                costs.append(1e6 * spent / CALL_ROUNDS / CALLED_INSTANCES)
            report(f"call of an instance, {what}", costs)
            with show_profile():
                await go_round(make_action)
    finally:
        client.close()
        peers.kill()
        peers.communicate()


async def measure_heartbeats(path: str) -> None:
    """Measure heartbeats that change nothing, at a daemon that knows no leader."""
    factory = ControlFactory(path, load_settings(path))
    factory.open_log = mock.MagicMock
    daemon = Daemon(factory.daemon_settings, factory)
    for number in range(LIVES):
        body = _control_peers.make_heartbeat(number)
        call = decode_control_call("POST", f"/instances/i-{number}/heartbeat", body)
        command = RegisterInstance(call.registered)
        daemon._assembly.workloads.apply(command, 0, 1.0)
    address = f"{IP}:{CONTROL_PORT}"
    async with trio.open_nursery() as nursery:
        nursery.start_soon(daemon.run)
        await trio.sleep(1.0)
        for kind in ("kept", "new"):
            costs = []
            for _ in range(RUNS):
                began = time.process_time()
                peers = start_peers(
                    "heartbeats", address, str(HEARTBEATS), str(LIVES), kind
                )
                while peers.poll() is None:
                    await trio.sleep(0.02)
                peers.communicate()
                assert peers.returncode == 0
                costs.append(1e6 * (time.process_time() - began) / HEARTBEATS)
            report(f"heartbeat, {kind} connection", costs)
        nursery.cancel_scope.cancel()


class DecisionTimes:
    """Processor time of a dispatcher, by kind of input."""

    def __init__(self) -> None:
        self.seconds: dict[str, float] = {}
        self.counts: dict[str, int] = {}

    @contextmanager
    def watch(self, method: str) -> Iterator[None]:
        """Measure the calls of a method of dispatchers."""
        original = getattr(Dispatcher, method)

        def measured(dispatcher, *arguments):
            began = time.process_time()
            effects = original(dispatcher, *arguments)
            name = self._name(method, arguments[0])
            seconds = time.process_time() - began
            self.seconds[name] = self.seconds.get(name, 0.0) + seconds
            self.counts[name] = self.counts.get(name, 0) + 1
            return effects

        with mock.patch.object(Dispatcher, method, measured):
            yield

    def _name(self, method, item):
        if method != "handle":
            return method
        content = item.command if isinstance(item, Committed) else item
        content = getattr(item, "report", None) or content
        return type(content).__name__


def measure_decisions() -> None:
    """Measure the decisions of a leader with many instances, by kind of input."""
    leader = SteppedLeader(INSTANCES, task_seconds=TASK_SECONDS)
    leader.run(12.0)
    jobs = iter(range(10**9))

    def work(seconds: float) -> None:
        for turn in range(int(seconds * 100)):
            if turn % 20 < JOBS_PER_SECOND // 5:
                number = next(jobs)
                leader.submit(f"job-{number}", TASKS_PER_JOB, service=number % 5)
            leader.run(0.01)

    work(TASK_SECONDS + 2.0)
    rows: list[dict[str, float]] = []
    counts: dict[str, int] = {}
    for _ in range(RUNS):
        times = DecisionTimes()
        with (
            times.watch("handle"),
            times.watch("_tick"),
            times.watch("_place_ready_tasks"),
        ):
            work(DECISION_SECONDS)
        rows.append(
            {
                name: 1e6 * times.seconds[name] / times.counts[name]
                for name in times.counts
            }
        )
        counts = times.counts
    for name in sorted(rows[-1]):
        costs = [row[name] for row in rows if name in row]
        report(f"decision, {name}", costs, a_second=counts[name] / DECISION_SECONDS)
    with show_profile():
        work(DECISION_SECONDS)


def main() -> None:
    """Measure what the command line names, or everything."""
    chosen = [name for name in sys.argv[1:] if not name.startswith("--")]
    if not chosen or "calls" in chosen:
        trio.run(measure_calls)
    if not chosen or "decisions" in chosen:
        measure_decisions()
    if not chosen or "heartbeats" in chosen:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "settings.toml"
            path.write_text(SETTINGS)
            with suppress(KeyboardInterrupt):
                trio.run(measure_heartbeats, str(path), clock=BoottimeClock())


if __name__ == "__main__":
    main()
