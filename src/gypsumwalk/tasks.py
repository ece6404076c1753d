"""Control of attempts in progress: start, lease renewal, checkpoint, stop and end."""

from typing import Any

import msgspec

from gypsumwalk._platform_calls import PendingCalls
from gypsumwalk._proposals import PendingProposals
from gypsumwalk.effects import Effect
from gypsumwalk.failure_attribution import FailureAttribution
from gypsumwalk.inputs import PlatformOutcome
from gypsumwalk.instances import InstanceRecord, InstanceState
from gypsumwalk.job_records import (
    ConfirmEmpty,
    EndJob,
    JobRecord,
    JobState,
    StartedJob,
)
from gypsumwalk.jobs import JobSection
from gypsumwalk.platform import (
    ActionRefused,
    CheckpointTask,
    RenewLeases,
    StartTask,
    StopTask,
    TaskKey,
    TaskPhase,
    TaskState,
    TaskStates,
)
from gypsumwalk.pool_commands import CancelDrain
from gypsumwalk.pools import PoolSection
from gypsumwalk.views import FolderView
from gypsumwalk.waves import WAVE_PURPOSE

__all__ = ["LEASE_END_SECONDS", "LEASE_SECONDS", "AttemptController"]

LEASE_SECONDS = 20.0
RENEWAL_INTERVAL_SECONDS = 5.0
SCAN_INTERVAL_SECONDS = 30.0
"""Seconds between two passes over all attempts in progress."""
MAX_CLOCK_DRIFT = 0.01
"""Largest relative difference between the rates of two clocks."""
LEASE_END_SECONDS = LEASE_SECONDS * (1.0 + 2 * MAX_CLOCK_DRIFT) + 1.0
"""Seconds after an acknowledged stop at which the lease has expired on any clock."""
MAX_TASKS_PER_CALL = 500
MOVE_DRAIN_SECONDS = 120.0
"""Seconds that jobs may keep running on an instance that drains for a pool move."""
CHECKPOINT_TIMEOUT_SECONDS = 20.0
"""Seconds allowed for a checkpoint before the attempt is stopped."""
UNKNOWN_TIMEOUT_SECONDS = 30.0
"""Seconds for which the platform may report an attempt as unknown before a stop."""

ENDED_PHASES = (
    TaskPhase.SUCCEEDED,
    TaskPhase.FAILED,
    TaskPhase.STOPPED,
    TaskPhase.NEVER_STARTED,
    TaskPhase.LEASE_EXPIRED,
)
GONE_STATES = (InstanceState.LOST, InstanceState.RETIRED, InstanceState.REBOOTING)
DRAINING = (InstanceState.DRAINING,)


class AttemptController:
    """Controls the attempts on the platform while this daemon leads.

    An attempt whose worker is unreachable ends only once it can't be running: the
    platform has acknowledged a stop, after which it refuses starts and renewals, and
    a lease renewed just before the stop has expired.

    Parameters
    ----------
    jobs : JobSection
        The jobs.
    pools : PoolSection
        Instances and their pools.
    folder : FolderView
        Configuration.
    proposals : PendingProposals
        Pending proposals of the owning part.
    calls : PendingCalls
        Pending platform calls of the owning part.
    failures : FailureAttribution
        Attribution of failures to workers or jobs.
    """

    def __init__(
        self,
        jobs: JobSection,
        pools: PoolSection,
        folder: FolderView,
        proposals: PendingProposals,
        calls: PendingCalls,
        failures: FailureAttribution,
    ) -> None:
        self._jobs = jobs
        self._pools = pools
        self._folder = folder
        self._proposals = proposals
        self._calls = calls
        self._failures = failures
        self._counts_against_job: dict[TaskKey, bool] = {}
        self._stopped_at: dict[TaskKey, float] = {}
        self._stop_causes: dict[TaskKey, str] = {}
        self._checkpoint_requested_at: dict[TaskKey, float] = {}
        self._draining_since: dict[str, float] = {}
        self._unknown_since: dict[TaskKey, float] = {}
        self._watched: dict[str, None] = {}
        self._scan_at = 0.0
        self._renew_at = 0.0
        self._renewals = 0

    def reset(self, now: float) -> None:
        """Discard local state, as another daemon may have led since.

        Parameters
        ----------
        now : float
            Time in seconds.
        """
        self._stopped_at.clear()
        self._stop_causes.clear()
        self._counts_against_job.clear()
        self._checkpoint_requested_at.clear()
        self._unknown_since.clear()
        self._watched.clear()
        self._scan_at = now
        self._draining_since.clear()
        self._renew_at = now

    def request_stop(self, key: TaskKey, cause: str) -> None:
        """Checkpoint and stop an attempt without counting it against its job.

        Parameters
        ----------
        key : TaskKey
            The attempt.
        cause : str
            Reason for the stop.
        """
        self._stop_causes.setdefault(key, cause)
        self.watch(key.job_id)

    def request_job_stop(self, job_id: str, cause: str) -> None:
        """Checkpoint and stop the attempt of a job that is in progress, if any.

        Parameters
        ----------
        job_id : str
            The job.
        cause : str
            Reason for the stop.
        """
        record = self._jobs.find(job_id)
        if record is not None and record.is_in_progress:
            self.request_stop(_get_key(record), cause)

    def advance(self, now: float) -> list[Effect]:
        """Renew leases and advance watched attempts and drains.

        Parameters
        ----------
        now : float
            Time in seconds.

        Returns
        -------
        list of Effect
            Proposals, and calls to the platform.
        """
        effects: list[Effect] = []
        if now >= self._renew_at:
            self._renew_at = now + RENEWAL_INTERVAL_SECONDS
            records = self._jobs.list_in_progress()
            if now >= self._scan_at:
                self._scan_at = now + SCAN_INTERVAL_SECONDS
                self._watched.update((item.spec.job_id, None) for item in records)
                self._prune(records)
            effects += self._renew(records, now)
        for job_id in list(self._watched):
            record = self._jobs.find(job_id)
            if record is None or not record.is_in_progress:
                del self._watched[job_id]
                continue
            effects += self._advance_attempt(record, now)
            if self._is_running_normally(record):
                del self._watched[job_id]
        effects += self._advance_drains(now)
        return effects

    def watch(self, job_id: str) -> None:
        """Advance a job in each pass until its attempt runs normally or has ended."""
        self._watched[job_id] = None

    def _is_running_normally(self, record: JobRecord) -> bool:
        if record.state is not JobState.RUNNING:
            return False
        key = _get_key(record)
        return not (
            key in self._stop_causes
            or key in self._stopped_at
            or key in self._unknown_since
        )

    def _advance_attempt(self, record: JobRecord, now: float) -> list[Effect]:
        key = _get_key(record)
        stopped_at = self._stopped_at.get(key)
        if stopped_at is not None:
            if now - stopped_at < LEASE_END_SECONDS:
                return []
            detail = "its lease expired after a stop that the worker did not confirm"
            state = TaskState(key, TaskPhase.LEASE_EXPIRED)
            return self._propose_end(record, state, detail, now)
        instance = self._pools.find(record.instance)
        if record.state is JobState.CANCELLING:
            return self._stop(key, now)
        if instance is None or instance.state in GONE_STATES:
            self._stop_causes.setdefault(key, f"instance {record.instance} was lost")
            return self._stop(key, now)
        if now - self._unknown_since.get(key, now) > UNKNOWN_TIMEOUT_SECONDS:
            self._stop_causes.setdefault(
                key,
                f"its state was unknown for {UNKNOWN_TIMEOUT_SECONDS:g} s",
            )
        if key in self._stop_causes:
            return self._checkpoint_and_stop(key, now)
        if record.state is JobState.PLACED:
            return self._start(record, now)
        return []

    def _start(self, record: JobRecord, now: float) -> list[Effect]:
        key = _get_key(record)
        action = StartTask(
            key,
            record.instance,
            LEASE_SECONDS,
            record.spec.command,
            record.checkpoint,
        )
        return self._calls.call(f"jobs/start/{_format_key(key)}", action, now)

    def _stop(self, key: TaskKey, now: float) -> list[Effect]:
        return self._calls.call(f"jobs/stop/{_format_key(key)}", StopTask(key), now)

    def _checkpoint_and_stop(self, key: TaskKey, now: float) -> list[Effect]:
        requested_at = self._checkpoint_requested_at.get(key)
        if requested_at is None:
            self._checkpoint_requested_at[key] = now
            token = f"jobs/checkpoint/{_format_key(key)}"
            return self._calls.call(token, CheckpointTask(key), now)
        if now - requested_at < CHECKPOINT_TIMEOUT_SECONDS:
            return []
        return self._stop(key, now)

    def _renew(self, records: list[JobRecord], now: float) -> list[Effect]:
        effects: list[Effect] = []
        keys = [_get_key(record) for record in records]
        for start in range(0, len(keys), MAX_TASKS_PER_CALL):
            self._renewals += 1
            tasks = keys[start : start + MAX_TASKS_PER_CALL]
            action = RenewLeases(tasks, LEASE_SECONDS)
            token = f"jobs/renew/{now:.3f}/{self._renewals}"
            effects += self._calls.call(token, action, now)
        return effects

    def watch_instance(self, instance: str) -> None:
        """Watch all jobs on an instance that was lost."""
        for record in self._jobs.list_on_instance(instance):
            self.watch(record.spec.job_id)

    def _prune(self, records: list[JobRecord]) -> None:
        alive = {_get_key(record) for record in records}
        tables: tuple[dict[TaskKey, Any], ...] = (
            self._stopped_at,
            self._stop_causes,
            self._checkpoint_requested_at,
            self._counts_against_job,
            self._unknown_since,
        )
        for table in tables:
            for key in [key for key in table if key not in alive]:
                del table[key]

    # Drains.

    def _advance_drains(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        states = self._pools.list_by_state(InstanceState.DRAINING)
        draining = {record.name: record for record in states}
        for name in [name for name in self._draining_since if name not in draining]:
            del self._draining_since[name]
        for name, record in draining.items():
            since = self._draining_since.setdefault(name, now)
            effects += self._drain(record, now - since)
        return effects

    def _drain(self, instance: InstanceRecord, elapsed: float) -> list[Effect]:
        name = instance.name
        held = self._jobs.list_on_instance(name)
        if not held:
            return self._proposals.propose(f"empty/{name}", ConfirmEmpty(name))
        if elapsed < self._get_drain_seconds(instance):
            return []
        non_repeatable = [job for job in held if not job.spec.repeatable]
        if non_repeatable:
            job_id = non_repeatable[0].spec.job_id
            reason = f"job {job_id} is not repeatable and may not be stopped"
            return self._proposals.propose(f"cancel/{name}", CancelDrain(name, reason))
        for job in held:
            self.request_stop(
                _get_key(job), f"instance {name} drains for {instance.purpose}"
            )
        return []

    def _get_drain_seconds(self, instance: InstanceRecord) -> float:
        if not instance.purpose.startswith(WAVE_PURPOSE):
            return MOVE_DRAIN_SECONDS
        name = instance.purpose.removeprefix(WAVE_PURPOSE)
        wave = self._folder.folder.waves.get(name)
        return wave.drain_seconds if wave else MOVE_DRAIN_SECONDS

    # Platform outcomes.

    def handle_outcome(self, outcome: PlatformOutcome, now: float) -> list[Effect]:
        """Handle the platform's answer to a call.

        Parameters
        ----------
        outcome : PlatformOutcome
            The answer.
        now : float
            Time in seconds.

        Returns
        -------
        list of Effect
            Proposals.
        """
        _, kind, *rest = outcome.token.split("/")
        report = outcome.report
        if kind == "start":
            return self._handle_start_outcome(
                TaskKey(rest[0], int(rest[1])), report, now
            )
        if kind == "stop":
            self._stopped_at.setdefault(TaskKey(rest[0], int(rest[1])), now)
        if kind == "checkpoint":
            self._stop_after_checkpoint(TaskKey(rest[0], int(rest[1])), now)
        if not isinstance(report, TaskStates):
            return []
        return self._handle_task_states(report, now)

    def _handle_task_states(self, report: TaskStates, now: float) -> list[Effect]:
        effects: list[Effect] = []
        for state in report.tasks:
            effects += self.handle_task_state(state, now)
        return effects

    def _stop_after_checkpoint(self, key: TaskKey, now: float) -> None:
        if key in self._checkpoint_requested_at:
            self._checkpoint_requested_at[key] = now - CHECKPOINT_TIMEOUT_SECONDS

    def _handle_start_outcome(
        self, key: TaskKey, report: msgspec.Struct | None, now: float
    ) -> list[Effect]:
        if isinstance(report, ActionRefused):
            state = TaskState(key, TaskPhase.NEVER_STARTED)
            return self.handle_task_state(state, now, report.reason)
        if isinstance(report, TaskStates):
            return self._handle_task_states(report, now)
        return self.handle_task_state(TaskState(key, TaskPhase.RUNNING), now)

    def handle_task_state(
        self, state: TaskState, now: float, detail: str = ""
    ) -> list[Effect]:
        """Handle the state of an attempt, as reported by the platform or a worker.

        Parameters
        ----------
        state : TaskState
            State of the attempt.
        now : float
            Time in seconds.
        detail : str
            Human-readable detail.

        Returns
        -------
        list of Effect
            Proposals.
        """
        record = self._jobs.find(state.task.job_id)
        if record is None or not record.is_in_progress:
            return []
        if record.attempt != state.task.attempt:
            return []
        if state.phase is TaskPhase.UNKNOWN:
            self._unknown_since.setdefault(state.task, now)
            self.watch(state.task.job_id)
            return []
        self._unknown_since.pop(state.task, None)
        if state.phase is TaskPhase.RUNNING and record.state is JobState.PLACED:
            command = StartedJob(state.task.job_id, state.task.attempt)
            return self._proposals.propose(record.spec.job_id, command)
        if state.phase in ENDED_PHASES:
            return self._propose_end(record, state, detail, now)
        return []

    def _propose_end(
        self, record: JobRecord, state: TaskState, detail: str, now: float
    ) -> list[Effect]:
        cause = self._stop_causes.get(state.task, "")
        blame = not cause
        if state.task not in self._counts_against_job:
            self._counts_against_job[state.task] = self._attribute_failure(
                record, state.phase, now
            )
        if state.phase is TaskPhase.FAILED:
            blame = self._counts_against_job[state.task]
            detail = detail or (
                "" if blame else f"other jobs fail on instance {record.instance} too"
            )
        command = EndJob(
            state.task.job_id,
            state.task.attempt,
            state.phase,
            state.result,
            state.checkpoint,
            blame=blame,
            detail=detail or cause,
        )
        return self._proposals.propose(record.spec.job_id, command)

    def _attribute_failure(
        self, record: JobRecord, phase: TaskPhase, now: float
    ) -> bool:
        team, instance = record.spec.team, record.instance
        job_id = record.spec.job_id
        if phase is TaskPhase.SUCCEEDED:
            self._failures.record_success(team, instance)
        if phase is TaskPhase.FAILED:
            return self._failures.record_failure(team, job_id, instance, now)
        return True


def _get_key(record: JobRecord) -> TaskKey:
    return TaskKey(record.spec.job_id, record.attempt)


def _format_key(key: TaskKey) -> str:
    return f"{key.job_id}/{key.attempt}"
