"""Replicated job records and the commands that change them."""

from collections import OrderedDict
from collections.abc import Iterable

import msgspec

from gypsumwalk.instances import InstanceEvent
from gypsumwalk.job_records import (
    CancelJob,
    ConfirmEmpty,
    EndJob,
    JobEvent,
    JobRecord,
    JobState,
    PlaceJob,
    RefuseJob,
    StartedJob,
    SubmitJob,
    find_next_state,
)
from gypsumwalk.platform import TaskPhase
from gypsumwalk.pools import PoolSection
from gypsumwalk.reasons import add_reason
from gypsumwalk.state import Accepted, Rejected
from gypsumwalk.views import CentralQuota, FolderView

__all__ = ["COMMANDS", "JobSection"]

COMMANDS = (
    SubmitJob,
    PlaceJob,
    StartedJob,
    EndJob,
    CancelJob,
    RefuseJob,
    ConfirmEmpty,
)

MAX_JOBS = 20_000
"""Most jobs kept, including ended ones."""
RETENTION_SECONDS = 24 * 3600.0
"""Seconds for which an ended job is kept, so that a resubmission is recognized."""
INITIAL_BACKOFF_SECONDS = 2.0
MAX_BACKOFF_SECONDS = 300.0
MAX_LOST_ATTEMPTS = 8
"""Attempts lost with their worker or lease after which a repeatable job fails."""
MAX_EXCUSED_ATTEMPTS = 5
"""Failures attributed to workers before further ones count against the job."""
MAX_RESULT_CHARACTERS = 64 * 1024


def _count_attempt_end(record: JobRecord, command: EndJob) -> None:
    if command.phase is TaskPhase.LEASE_EXPIRED:
        record.losses += 1
    elif command.phase is TaskPhase.FAILED:
        excused = not command.blame and record.excused < MAX_EXCUSED_ATTEMPTS
        record.excused += excused
        record.failures += not excused


def _is_exhausted(record: JobRecord) -> bool:
    failed = record.failures >= record.spec.max_attempts
    return failed or record.losses >= MAX_LOST_ATTEMPTS


class _Dump(msgspec.Struct):
    jobs: list[JobRecord]
    ended: list[str]


class JobSection:
    """Section of the replicated state that holds jobs.

    Parameters
    ----------
    pools : PoolSection
        Instances and their pools.
    portions : CentralQuota
        Quota units of the teams.
    folder : FolderView
        Configuration in the replicated state.
    """

    name = "jobs"
    commands = COMMANDS

    def __init__(
        self, pools: PoolSection, portions: CentralQuota, folder: FolderView
    ) -> None:
        self._pools = pools
        self._portions = portions
        self._folder = folder
        self._jobs: dict[str, JobRecord] = {}
        self._waiting: dict[str, None] = {}
        self._by_instance: dict[str, dict[str, None]] = {}
        self._ended: OrderedDict[str, None] = OrderedDict()

    # Queries.

    def find(self, job_id: str) -> JobRecord | None:
        """Return the record of a job, or None; the caller must not modify it."""
        return self._jobs.get(job_id)

    def list_waiting(self) -> Iterable[JobRecord]:
        """Return the waiting jobs, longest waiting first."""
        return [self._jobs[job_id] for job_id in self._waiting]

    def list_in_progress(self) -> list[JobRecord]:
        """Return the jobs with an attempt that may be running."""
        return [
            self._jobs[job_id] for held in self._by_instance.values() for job_id in held
        ]

    def list_on_instance(self, instance: str) -> list[JobRecord]:
        """Return the jobs with an attempt that may be running on an instance."""
        return [self._jobs[job_id] for job_id in self._by_instance.get(instance, ())]

    # Commands.

    def apply(self, command: msgspec.Struct, index: int, at: float) -> msgspec.Struct:
        """Apply one committed command.

        Parameters
        ----------
        command : msgspec.Struct
            The command.
        index : int
            Its position in the log.
        at : float
            Time in seconds.

        Returns
        -------
        msgspec.Struct
            ``Accepted`` or ``Rejected``.
        """
        if isinstance(command, SubmitJob):
            return self._submit(command, index, at)
        if isinstance(command, ConfirmEmpty):
            return self._confirm_empty(command, index, at)
        job_id = command.job_id  # type: ignore[attr-defined]
        record = self._jobs.get(job_id)
        if record is None:
            return Rejected("UnknownJob", f"job {job_id} is not known")
        return self._apply_to_job(record, command, index, at)

    def _apply_to_job(
        self, record: JobRecord, command: msgspec.Struct, index: int, at: float
    ) -> msgspec.Struct:
        match command:
            case PlaceJob():
                return self._place(record, command, index, at)
            case StartedJob(attempt=attempt):
                return self._start(record, attempt, index, at)
            case EndJob():
                return self._end_attempt(record, command, index, at)
            case CancelJob():
                return self._cancel(record, index, at)
            case RefuseJob(reason=reason):
                return self._refuse(record, reason, index, at)
        return Rejected("UnknownCommand", type(command).__name__)

    def _submit(self, command: SubmitJob, index: int, at: float) -> msgspec.Struct:
        known = self._jobs.get(command.job_id)
        if known is not None:
            if known.spec == command:
                return Accepted(index)
            detail = f"job {command.job_id} was handed in with other content"
            return Rejected("ConflictingJob", detail)
        self._remove_expired(at)
        if len(self._jobs) >= MAX_JOBS:
            return Rejected("TooManyJobs", f"{MAX_JOBS} jobs are kept")
        record = JobRecord(command, JobState.WAITING, at)
        add_reason(record.reasons, at, "handed in; waiting for a place")
        self._jobs[command.job_id] = record
        self._waiting[command.job_id] = None
        return Accepted(index)

    def _remove_expired(self, at: float) -> None:
        while self._ended:
            oldest = next(iter(self._ended))
            if at - self._jobs[oldest].ended_at < RETENTION_SECONDS:
                return
            del self._ended[oldest]
            del self._jobs[oldest]

    def _place(
        self, record: JobRecord, command: PlaceJob, index: int, at: float
    ) -> msgspec.Struct:
        if command.attempt != record.attempt + 1 or record.state != JobState.WAITING:
            detail = f"job {command.job_id} is {record.state.value}"
            return Rejected("PlacementRefused", detail)
        refusal = self._check_placement(record, command)
        if refusal:
            return Rejected("PlacementRefused", refusal)
        if record.spec.team and not self._portions.acquire(record.spec.team):
            detail = f"team {record.spec.team} is at its upper limit"
            add_reason(record.reasons, at, detail)
            return Rejected("UpperLimit", detail)
        self._apply_event(record, JobEvent.PLACE, at)
        record.attempt = command.attempt
        record.instance = command.instance
        record.placed_at = at
        self._by_instance.setdefault(command.instance, {})[command.job_id] = None
        text = f"attempt {command.attempt} placed on {command.instance}"
        add_reason(record.reasons, at, f"{text}: {command.reason}")
        return Accepted(index)

    def _check_placement(self, record: JobRecord, command: PlaceJob) -> str:
        instance = self._pools.find(command.instance)
        if instance is None or not instance.is_available:
            state = instance.state.value if instance else "not known"
            return f"instance {command.instance} is {state}"
        pool = self.find_pool(record.spec.queue)
        if instance.pool != pool:
            return f"instance {command.instance} belongs to pool {instance.pool}"
        return ""

    def find_pool(self, queue: str) -> str:
        """Return the pool that runs the jobs of a queue, or an empty string.

        Parameters
        ----------
        queue : str
            Name of the queue.

        Returns
        -------
        str
            Name of the pool, empty if the queue has none.
        """
        rule = self._folder.queue(queue)
        if rule is None:
            return ""
        service = self._folder.folder.services.get(rule.service)
        return service.pool if service else ""

    def _start(
        self, record: JobRecord, attempt: int, index: int, at: float
    ) -> msgspec.Struct:
        if attempt != record.attempt or record.state != JobState.PLACED:
            return Rejected("StaleAttempt", f"job is {record.state.value}")
        self._apply_event(record, JobEvent.START, at)
        record.started_at = at
        record.ever_started = True
        add_reason(record.reasons, at, f"attempt {attempt} runs on {record.instance}")
        return Accepted(index)

    def _end_attempt(
        self, record: JobRecord, command: EndJob, index: int, at: float
    ) -> msgspec.Struct:
        if command.attempt != record.attempt or not record.is_in_progress:
            return Rejected("StaleAttempt", f"job is {record.state.value}")
        if command.phase is not TaskPhase.NEVER_STARTED:
            record.ever_started = True
        _count_attempt_end(record, command)
        event = self._choose_end_event(record, command)
        self._apply_event(record, event, at)
        self._release_instance(record)
        record.checkpoint = command.checkpoint or record.checkpoint
        if event is JobEvent.SUCCEED:
            record.result = command.result[:MAX_RESULT_CHARACTERS]
        if event is JobEvent.REQUEUE:
            self._requeue(record, command, at)
        text = f"attempt {command.attempt} ended: {command.phase.value}"
        detail = f" ({command.detail})" if command.detail else ""
        add_reason(record.reasons, at, f"{text}{detail}; {record.state.value}")
        return Accepted(index)

    def _choose_end_event(self, record: JobRecord, command: EndJob) -> JobEvent:
        phase = command.phase
        if phase is TaskPhase.SUCCEEDED:
            return JobEvent.SUCCEED
        if record.state is JobState.CANCELLING:
            lost = phase is TaskPhase.LEASE_EXPIRED and not record.spec.repeatable
            return JobEvent.LOSE if lost else JobEvent.FINISH_CANCEL
        if phase is TaskPhase.NEVER_STARTED:
            return JobEvent.REQUEUE
        if record.spec.repeatable:
            return JobEvent.FAIL if _is_exhausted(record) else JobEvent.REQUEUE
        if phase is TaskPhase.LEASE_EXPIRED:
            return JobEvent.LOSE
        return JobEvent.FAIL

    def _requeue(self, record: JobRecord, command: EndJob, at: float) -> None:
        if command.phase is TaskPhase.NEVER_STARTED:
            record.not_before = at + INITIAL_BACKOFF_SECONDS
            return
        unsuccessful = record.failures + record.losses + record.excused
        if command.phase is TaskPhase.STOPPED or not unsuccessful:
            record.not_before = at
            return
        backoff = INITIAL_BACKOFF_SECONDS * 2.0 ** (unsuccessful - 1)
        record.not_before = at + min(backoff, MAX_BACKOFF_SECONDS)

    def _release_instance(self, record: JobRecord) -> None:
        held = self._by_instance[record.instance]
        del held[record.spec.job_id]
        if not held:
            del self._by_instance[record.instance]
        record.instance = ""
        if record.spec.team:
            self._portions.release(record.spec.team)

    def _cancel(self, record: JobRecord, index: int, at: float) -> msgspec.Struct:
        if record.state is JobState.WAITING:
            self._apply_event(record, JobEvent.FINISH_CANCEL, at)
        elif record.state in (JobState.PLACED, JobState.RUNNING):
            self._apply_event(record, JobEvent.CANCEL, at)
        else:
            return Accepted(index)
        add_reason(record.reasons, at, "the caller cancelled it")
        return Accepted(index)

    def _refuse(
        self, record: JobRecord, reason: str, index: int, at: float
    ) -> msgspec.Struct:
        if record.state is not JobState.WAITING:
            return Rejected("StaleAttempt", f"job is {record.state.value}")
        self._apply_event(record, JobEvent.FAIL, at)
        add_reason(record.reasons, at, f"can never run: {reason}")
        return Accepted(index)

    def _confirm_empty(
        self, command: ConfirmEmpty, index: int, at: float
    ) -> msgspec.Struct:
        held = len(self._by_instance.get(command.instance, ()))
        if held:
            return Rejected("NotEmpty", f"{command.instance} has {held} jobs")
        event = InstanceEvent.CONFIRM_EMPTY
        reason = "no job runs on it"
        refusal = self._pools.trigger(command.instance, event, at, reason)
        return Rejected("NotDraining", refusal) if refusal else Accepted(index)

    def _apply_event(self, record: JobRecord, event: JobEvent, at: float) -> None:
        after = find_next_state(record.state, event)
        if after is None:
            raise AssertionError(
                f"job {record.spec.job_id}: event {event.value} is not allowed in "
                f"state {record.state.value}"
            )
        job_id = record.spec.job_id
        record.state = after
        self._waiting.pop(job_id, None)
        if after is JobState.WAITING:
            self._waiting[job_id] = None
        elif after in (
            JobState.SUCCEEDED,
            JobState.FAILED,
            JobState.CANCELLED,
            JobState.UNKNOWN,
        ):
            record.ended_at = at
            self._ended[job_id] = None

    # Snapshots.

    def dump(self) -> bytes:
        """Serialize the section."""
        jobs = [self._jobs[job_id] for job_id in self._waiting]
        held = [job_id for ids in self._by_instance.values() for job_id in ids]
        jobs += [self._jobs[job_id] for job_id in sorted(held)]
        jobs += [self._jobs[job_id] for job_id in self._ended]
        return msgspec.msgpack.encode(_Dump(jobs, list(self._ended)))

    def load(self, content: bytes) -> None:
        """Replace the contents with a snapshot.

        Parameters
        ----------
        content : bytes
            Snapshot returned by ``dump``.
        """
        dump = msgspec.msgpack.decode(content, type=_Dump)
        self._jobs = {record.spec.job_id: record for record in dump.jobs}
        self._waiting = {}
        self._by_instance = {}
        self._ended = OrderedDict((job_id, None) for job_id in dump.ended)
        for record in dump.jobs:
            if record.state is JobState.WAITING:
                self._waiting[record.spec.job_id] = None
            if record.is_in_progress:
                held = self._by_instance.setdefault(record.instance, {})
                held[record.spec.job_id] = None
