"""Attempts in progress: started, renewed, stopped, and ended only when certain."""

from typing import Any

import msgspec

from gypsumwalk._calls import PendingCalls
from gypsumwalk._proposals import PendingProposals
from gypsumwalk.effects import Effect
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
from gypsumwalk.suspicion import SuspicionTable
from gypsumwalk.views import FolderView
from gypsumwalk.waves import WAVE_PURPOSE

__all__ = ["LEASE_END_SECONDS", "LEASE_SECONDS", "TaskKeeper"]

LEASE_SECONDS = 20.0
RENEWAL_SECONDS = 5.0
SCAN_SECONDS = 30.0
"""Seconds between two looks at every attempt in progress."""
MAX_DRIFT = 0.01
"""Most by which the rates of two clocks differ, as a fraction."""
LEASE_END_SECONDS = LEASE_SECONDS * (1.0 + 2 * MAX_DRIFT) + 1.0
"""Seconds after the platform refuses renewals at which the lease has run out."""
MAX_TASKS_PER_CALL = 500
MOVE_DRAIN_SECONDS = 120.0
"""Seconds that work may go on before an instance that moves stops it."""
CHECKPOINT_SECONDS = 20.0
"""Seconds for a checkpoint before a stop."""

UNKNOWN_SECONDS = 30.0
"""Seconds for which the platform can't tell how an attempt stands before a stop."""

ENDED = (
    TaskPhase.SUCCEEDED,
    TaskPhase.FAILED,
    TaskPhase.STOPPED,
    TaskPhase.NEVER_STARTED,
    TaskPhase.LEASE_EXPIRED,
)
GONE = (InstanceState.LOST, InstanceState.RETIRED, InstanceState.REBOOTING)
DRAINING = (InstanceState.DRAINING,)


class TaskKeeper:
    """Follows each attempt through the platform while this daemon leads.

    An attempt whose worker can't be reached is ended by a stop that the platform
    acknowledged, which refuses later starts and renewals, and by waiting until a
    lease renewed just before must have run out.

    Parameters
    ----------
    jobs : JobSection
        The jobs.
    pools : PoolSection
        Instances and their pools.
    folder : FolderView
        The configuration.
    proposals : PendingProposals
        Proposals of the part that owns the keeper.
    calls : PendingCalls
        Calls of the part that owns the keeper.
    suspicion : SuspicionTable
        Evidence against workers, which grows with each failure.
    """

    def __init__(
        self,
        jobs: JobSection,
        pools: PoolSection,
        folder: FolderView,
        proposals: PendingProposals,
        calls: PendingCalls,
        suspicion: SuspicionTable,
    ) -> None:
        self._jobs = jobs
        self._pools = pools
        self._folder = folder
        self._proposals = proposals
        self._calls = calls
        self._suspicion = suspicion
        self._judged: dict[TaskKey, bool] = {}
        self._stopped_at: dict[TaskKey, float] = {}
        self._causes: dict[TaskKey, str] = {}
        self._checkpoint_at: dict[TaskKey, float] = {}
        self._draining_since: dict[str, float] = {}
        self._unknown_since: dict[TaskKey, float] = {}
        self._watched: dict[str, None] = {}
        self._scan_at = 0.0
        self._renew_at = 0.0
        self._renewals = 0

    def reset(self, now: float) -> None:
        """Forget what was only known here, as another daemon may have led since.

        Parameters
        ----------
        now : float
            Time in seconds.
        """
        self._stopped_at.clear()
        self._causes.clear()
        self._judged.clear()
        self._checkpoint_at.clear()
        self._unknown_since.clear()
        self._watched.clear()
        self._scan_at = now
        self._draining_since.clear()
        self._renew_at = now

    def request_stop(self, key: TaskKey, cause: str) -> None:
        """Have an attempt checkpointed and stopped without blaming its job.

        Parameters
        ----------
        key : TaskKey
            The attempt.
        cause : str
            Why.
        """
        self._causes.setdefault(key, cause)
        self.watch(key.job_id)

    def request_stop_of(self, job_id: str, cause: str) -> None:
        """Have a job's attempt in progress checkpointed and stopped.

        Parameters
        ----------
        job_id : str
            The job.
        cause : str
            Why.
        """
        record = self._jobs.find(job_id)
        if record is not None and record.in_progress:
            self.request_stop(_key(record), cause)

    def advance(self, now: float) -> list[Effect]:
        """Take the steps that are due.

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
            self._renew_at = now + RENEWAL_SECONDS
            records = self._jobs.in_progress()
            if now >= self._scan_at:
                self._scan_at = now + SCAN_SECONDS
                self._watched.update((item.spec.job_id, None) for item in records)
                self._prune(records)
            effects += self._renew(records, now)
        for job_id in list(self._watched):
            record = self._jobs.find(job_id)
            if record is None or not record.in_progress:
                del self._watched[job_id]
                continue
            effects += self._follow(record, now)
            if self._is_calm(record):
                del self._watched[job_id]
        effects += self._follow_drains(now)
        return effects

    def watch(self, job_id: str) -> None:
        """Look at a job in each pass until nothing is to be done for it."""
        self._watched[job_id] = None

    def _is_calm(self, record: JobRecord) -> bool:
        if record.state is not JobState.RUNNING:
            return False
        key = _key(record)
        return not (
            key in self._causes or key in self._stopped_at or key in self._unknown_since
        )

    def _follow(self, record: JobRecord, now: float) -> list[Effect]:
        key = _key(record)
        stopped_at = self._stopped_at.get(key)
        if stopped_at is not None:
            if now - stopped_at < LEASE_END_SECONDS:
                return []
            detail = "its lease ran out after a stop that the worker did not answer"
            state = TaskState(key, TaskPhase.LEASE_EXPIRED)
            return self._end(record, state, detail, now)
        instance = self._pools.find(record.instance)
        if record.state is JobState.CANCELLING:
            return self._stop(key, now)
        if instance is None or instance.state in GONE:
            self._causes.setdefault(key, "its instance was lost")
            return self._stop(key, now)
        if now - self._unknown_since.get(key, now) > UNKNOWN_SECONDS:
            self._causes.setdefault(key, "the platform lost sight of it")
        if key in self._causes:
            return self._checkpoint_and_stop(key, now)
        if record.state is JobState.PLACED:
            return self._start(record, now)
        return []

    def _start(self, record: JobRecord, now: float) -> list[Effect]:
        key = _key(record)
        action = StartTask(
            key,
            record.instance,
            LEASE_SECONDS,
            record.spec.command,
            record.checkpoint,
        )
        return self._calls.call(f"jobs/start/{_label(key)}", action, now)

    def _stop(self, key: TaskKey, now: float) -> list[Effect]:
        return self._calls.call(f"jobs/stop/{_label(key)}", StopTask(key), now)

    def _checkpoint_and_stop(self, key: TaskKey, now: float) -> list[Effect]:
        asked_at = self._checkpoint_at.get(key)
        if asked_at is None:
            self._checkpoint_at[key] = now
            token = f"jobs/checkpoint/{_label(key)}"
            return self._calls.call(token, CheckpointTask(key), now)
        if now - asked_at < CHECKPOINT_SECONDS:
            return []
        return self._stop(key, now)

    def _renew(self, records: list[JobRecord], now: float) -> list[Effect]:
        effects: list[Effect] = []
        keys = [_key(record) for record in records]
        for start in range(0, len(keys), MAX_TASKS_PER_CALL):
            self._renewals += 1
            tasks = keys[start : start + MAX_TASKS_PER_CALL]
            action = RenewLeases(tasks, LEASE_SECONDS)
            token = f"jobs/renew/{now:.3f}/{self._renewals}"
            effects += self._calls.call(token, action, now)
        return effects

    def watch_instance(self, instance: str) -> None:
        """Look at every job of an instance that is lost."""
        for record in self._jobs.on_instance(instance):
            self.watch(record.spec.job_id)

    def _prune(self, records: list[JobRecord]) -> None:
        alive = {_key(record) for record in records}
        tables: tuple[dict[TaskKey, Any], ...] = (
            self._stopped_at,
            self._causes,
            self._checkpoint_at,
            self._judged,
            self._unknown_since,
        )
        for table in tables:
            for key in [key for key in table if key not in alive]:
                del table[key]

    # Drains.

    def _follow_drains(self, now: float) -> list[Effect]:
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
        held = self._jobs.on_instance(name)
        if not held:
            return self._proposals.propose(f"empty/{name}", ConfirmEmpty(name))
        if elapsed < self._find_patience(instance):
            return []
        lasting = [job for job in held if not job.spec.repeatable]
        if lasting:
            job_id = lasting[0].spec.job_id
            reason = f"job {job_id} may not be stopped, as it is not repeatable"
            return self._proposals.propose(f"cancel/{name}", CancelDrain(name, reason))
        for job in held:
            self.request_stop(_key(job), f"{name} drains for {instance.purpose}")
        return []

    def _find_patience(self, instance: InstanceRecord) -> float:
        if not instance.purpose.startswith(WAVE_PURPOSE):
            return MOVE_DRAIN_SECONDS
        name = instance.purpose.removeprefix(WAVE_PURPOSE)
        wave = self._folder.folder.waves.get(name)
        return wave.drain_seconds if wave else MOVE_DRAIN_SECONDS

    # Outcomes of the platform.

    def take_outcome(self, outcome: PlatformOutcome, now: float) -> list[Effect]:
        """Take in the platform's answer to a call.

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
            return self._take_start(TaskKey(rest[0], int(rest[1])), report, now)
        if kind == "stop":
            self._stopped_at.setdefault(TaskKey(rest[0], int(rest[1])), now)
        if kind == "checkpoint":
            self._hasten_stop(TaskKey(rest[0], int(rest[1])), now)
        if not isinstance(report, TaskStates):
            return []
        return self._take_states(report, now)

    def _take_states(self, report: TaskStates, now: float) -> list[Effect]:
        effects: list[Effect] = []
        for state in report.tasks:
            effects += self.take_state(state, now)
        return effects

    def _hasten_stop(self, key: TaskKey, now: float) -> None:
        if key in self._checkpoint_at:
            self._checkpoint_at[key] = now - CHECKPOINT_SECONDS

    def _take_start(
        self, key: TaskKey, report: msgspec.Struct | None, now: float
    ) -> list[Effect]:
        if isinstance(report, ActionRefused):
            state = TaskState(key, TaskPhase.NEVER_STARTED)
            return self.take_state(state, now, report.reason)
        if isinstance(report, TaskStates):
            return self._take_states(report, now)
        return self.take_state(TaskState(key, TaskPhase.RUNNING), now)

    def take_state(
        self, state: TaskState, now: float, detail: str = ""
    ) -> list[Effect]:
        """Take in what the platform or a worker says of an attempt.

        Parameters
        ----------
        state : TaskState
            State of the attempt.
        now : float
            Time in seconds.
        detail : str
            Sentence for a person.

        Returns
        -------
        list of Effect
            Proposals.
        """
        record = self._jobs.find(state.task.job_id)
        if record is None or not record.in_progress:
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
        if state.phase in ENDED:
            return self._end(record, state, detail, now)
        return []

    def _end(
        self, record: JobRecord, state: TaskState, detail: str, now: float
    ) -> list[Effect]:
        cause = self._causes.get(state.task, "")
        blame = not cause
        if state.task not in self._judged:
            self._judged[state.task] = self._judge(record, state.phase, now)
        if state.phase is TaskPhase.FAILED:
            blame = self._judged[state.task]
            detail = detail or ("" if blame else "other jobs fail on its instance too")
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

    def _judge(self, record: JobRecord, phase: TaskPhase, now: float) -> bool:
        team, instance = record.spec.team, record.instance
        job_id = record.spec.job_id
        if phase is TaskPhase.SUCCEEDED:
            self._suspicion.note_success(team, instance)
        if phase is TaskPhase.FAILED:
            return self._suspicion.note_failure(team, job_id, instance, now)
        return True


def _key(record: JobRecord) -> TaskKey:
    return TaskKey(record.spec.job_id, record.attempt)


def _label(key: TaskKey) -> str:
    return f"{key.job_id}/{key.attempt}"
