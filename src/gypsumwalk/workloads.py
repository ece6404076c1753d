"""Section of the replicated state that holds jobs and instances."""

from collections import Counter
from collections.abc import Iterable
from itertools import islice

import msgspec

from gypsumwalk.life_history import LifeHistory, PastLives
from gypsumwalk.state import Accepted, Rejected
from gypsumwalk.withdrawn_jobs import WithdrawnJob, WithdrawnJobs
from gypsumwalk.workload_records import (
    AcceptWorkload,
    CancelWorkload,
    ConfirmRuns,
    EndRuns,
    Placement,
    PlaceRuns,
    RegisteredInstance,
    RegisterInstance,
    RemoveInstance,
    RunEnd,
    RunEndKind,
    Step,
    TaskKey,
    TaskRecord,
    Workload,
    WorkloadState,
    split_life,
)

__all__ = ["JOB_WITHDRAWN", "TOO_MANY_WITHDRAWN", "WorkloadSection"]

JOB_WITHDRAWN = "JobWithdrawn"
"""Reason to reject a job that was cancelled before it was accepted."""

TOO_MANY_WITHDRAWN = "TooManyWithdrawnJobs"
"""Reason to reject a cancel of an unknown job."""

RETENTION_SECONDS = 300.0
"""Retention of ended jobs; callers may query them for 120 s."""

MAX_EVICTED_PER_COMMAND = 32


class _Dump(msgspec.Struct):
    jobs: list[Workload]
    instances: list[RegisteredInstance]
    term: int
    last_born: dict[str, int]
    past: dict[str, PastLives] = {}
    withdrawn: list[WithdrawnJob] = []


class _LifeIndex:
    """Registered lives by one of their attributes."""

    def __init__(self) -> None:
        self._lives: dict[str, dict[str, RegisteredInstance]] = {}

    def add(self, key: str, instance: RegisteredInstance) -> None:
        """Add a life."""
        self._lives.setdefault(key, {})[instance.life] = instance

    def remove(self, key: str, life: str) -> None:
        """Remove a life if it is in the index."""
        lives = self._lives.get(key, {})
        lives.pop(life, None)
        if not lives:
            self._lives.pop(key, None)

    def clear(self) -> None:
        """Remove all lives."""
        self._lives.clear()

    def list_lives(self, key: str) -> list[RegisteredInstance]:
        """Return the lives with a value of the attribute."""
        return list(self._lives.get(key, {}).values())

    def find_latest(self, key: str) -> RegisteredInstance | None:
        """Return the life with a value of the attribute that began last."""
        return max(self.list_lives(key), key=lambda item: item.born, default=None)


class WorkloadSection:
    """Accepted jobs with their tasks, kept cancels, and the registered instances."""

    name = "workloads"
    commands: tuple[type, ...] = (
        AcceptWorkload,
        CancelWorkload,
        PlaceRuns,
        ConfirmRuns,
        EndRuns,
        RegisterInstance,
        RemoveInstance,
    )

    def __init__(self) -> None:
        self.jobs: dict[str, Workload] = {}
        self.instances: dict[str, RegisteredInstance] = {}
        self.open_jobs: dict[str, Workload] = {}
        self.withdrawn_jobs = WithdrawnJobs()
        self._ended_at: dict[str, float] = {}
        self._term = 0
        self._last_born: dict[str, int] = {}
        self._waiting: Counter[str] = Counter()
        self._by_instance = _LifeIndex()
        self._by_address = _LifeIndex()
        self._by_machine = _LifeIndex()
        self._history = LifeHistory(lambda key: bool(self._by_instance.list_lives(key)))

    def apply(self, command: msgspec.Struct, index: int, at: float) -> msgspec.Struct:
        """Apply a committed command and return its result."""
        self._evict_ended(at)
        match command:
            case AcceptWorkload(workload=workload):
                return self._accept(workload, index, at)
            case CancelWorkload():
                return self._cancel(command, index, at)
            case PlaceRuns():
                return self._record_placements(command, index)
            case ConfirmRuns(placements=placements):
                for placement in placements:
                    self._record_settled(placement)
            case EndRuns(ends=ends):
                for end in ends:
                    self._end_run(end, at)
            case RegisterInstance():
                self._apply_registration(command)
            case RemoveInstance():
                return self._apply_removal(command, index)
        return Accepted(index)

    def find_latest_life(self, instance: str) -> RegisteredInstance | None:
        """Return the latest life of an instance."""
        return self._by_instance.find_latest(instance)

    def find_latest_on_machine(self, machine: str) -> RegisteredInstance | None:
        """Return the latest life of the instance on a machine."""
        return self._by_machine.find_latest(machine)

    def find_step(self, task: TaskKey) -> Step | None:
        """Return the step of a task, or None if its job is unknown."""
        workload = self.jobs.get(task.job)
        return workload.steps[task.step] if workload else None

    def is_superseded(self, instance: RegisteredInstance) -> bool:
        """Tell whether a life was removed, or another one has taken its address."""
        known = self.instances.get(instance.life)
        if known is not None and known.address == instance.address:
            return False
        if self._history.has_departed(instance.instance, instance.born):
            return True
        return instance.born < self._last_born.get(instance.address, 0)

    def list_replaced(self, instance: RegisteredInstance) -> list[RegisteredInstance]:
        """Return the lives that a registration discards or changes."""
        related = [
            *self._by_instance.list_lives(instance.instance),
            *self._by_address.list_lives(instance.address),
        ]
        replaced = {
            other.life: other
            for other in related
            if other.life == instance.life or _is_superseded_by(other, instance)
        }
        return list(replaced.values())

    def has_life_at(self, address: str) -> bool:
        """Return whether a life is registered at an address."""
        return bool(self._by_address.list_lives(address))

    def may_return(self, instance: RegisteredInstance) -> bool:
        """Tell whether a superseded life may go on, so that it has to be asked.

        It may have been removed by mistake. A life that drained gets no work any more,
        and an address with a registered life is called anyway.
        """
        if self._history.has_departed(instance.instance, instance.born):
            return False
        return not self.has_life_at(instance.address)

    def may_have_left(self, instance: RegisteredInstance) -> bool:
        """Tell whether a deregistration that names no life may only be this life's.

        An instance drains before it deregisters, and the deregistration of an earlier
        life may arrive late.
        """
        return instance.draining or self.is_first_life(instance.life)

    def is_first_life(self, life: str) -> bool:
        """Tell whether no other life of its instance was registered before a life."""
        return self._history.is_first(*split_life(life))

    def list_placements(self) -> Iterable[Placement]:
        """Return the placement of every run that may be going on."""
        for workload in self.jobs.values():
            for (occurrence, step, index), record in workload.tasks.items():
                key = TaskKey(workload.job, occurrence, step, index)
                for run, life in record.placed.items():
                    yield Placement(key, run, life)

    def is_settled(self, placement: Placement) -> bool:
        """Tell whether no copy of the start of a placed run is on its way any more."""
        record = self._find_record(placement.task)
        return record is not None and record.settled == placement.run

    def count_waiting(self, queue: str) -> int:
        """Count the open jobs of a queue without a placed task."""
        return self._waiting[queue]

    def dump(self) -> bytes:
        """Return a deterministic encoding of the section."""
        jobs = [self.jobs[job] for job in sorted(self.jobs)]
        instances = [self.instances[life] for life in sorted(self.instances)]
        return msgspec.msgpack.encode(
            _Dump(
                jobs,
                instances,
                self._term,
                self._last_born,
                self._history.dump(),
                self.withdrawn_jobs.dump(),
            )
        )

    def load(self, content: bytes) -> None:
        """Replace the state by a dump."""
        dump = msgspec.msgpack.decode(content, type=_Dump)
        self.jobs = {workload.job: workload for workload in dump.jobs}
        self.open_jobs = {
            workload.job: workload for workload in dump.jobs if not workload.has_ended
        }
        self._ended_at = {
            workload.job: workload.ended for workload in dump.jobs if workload.has_ended
        }
        self._waiting = Counter(
            workload.queue
            for workload in dump.jobs
            if workload.state is WorkloadState.QUEUED
        )
        self.instances = {}
        for index in (self._by_instance, self._by_address, self._by_machine):
            index.clear()
        for instance in dump.instances:
            self._store(instance)
        self._history.load(dump.past)
        if not dump.past:
            # Snapshots of earlier versions have no history.
            for instance in dump.instances:
                self._history.note_registration(instance.instance, instance.born)
        self.withdrawn_jobs.load(dump.withdrawn)
        self._term = dump.term
        self._last_born = dump.last_born

    def _accept(self, workload: Workload, index: int, at: float) -> msgspec.Struct:
        if workload.job in self.jobs:
            return Accepted(index)
        if self.withdrawn_jobs.find(workload.queue, workload.team, workload.job, at):
            detail = f'job "{workload.job}" was cancelled before'
            return Rejected(JOB_WITHDRAWN, detail)
        kept = msgspec.structs.replace(workload, accepted=at, tasks={}, done={})
        self.jobs[kept.job] = kept
        self.open_jobs[kept.job] = kept
        self._waiting[kept.queue] += kept.state is WorkloadState.QUEUED
        return Accepted(index)

    def _cancel(self, command: CancelWorkload, index: int, at: float) -> msgspec.Struct:
        job = command.job
        workload = self.jobs.get(job)
        if workload is None and not command.queue:
            return Rejected("UnknownJob", f'job "{job}" does not exist')
        if workload is None:
            withdrawn = WithdrawnJob(command.queue, command.team, job, at)
            if self.withdrawn_jobs.add(withdrawn):
                return Accepted(index)
            detail = f'too many unknown jobs of queue "{command.queue}" are cancelled'
            return Rejected(TOO_MANY_WITHDRAWN, detail)
        if not workload.has_ended:
            self._end_job(workload, WorkloadState.CANCELLED, at)
        return Accepted(index)

    def _record_placements(self, command: PlaceRuns, index: int) -> msgspec.Struct:
        if command.term < self._term:
            return _reject_stale(command.term)
        self._term = command.term
        for placement in command.placements:
            self._record_placement(placement)
        return Accepted(index)

    def _record_placement(self, placement: Placement) -> None:
        job, *numbers = placement.task
        workload = self.jobs.get(job)
        if workload is None:
            return
        key = (int(numbers[0]), int(numbers[1]), int(numbers[2]))
        record = workload.tasks.setdefault(key, TaskRecord(placed={}))
        record.run = max(record.run, placement.run)
        record.placed[placement.run] = placement.life
        if workload.state is WorkloadState.QUEUED:
            self._set_state(workload, WorkloadState.RUNNING)

    def _record_settled(self, placement: Placement) -> None:
        record = self._find_record(placement.task)
        if record and record.placed.get(placement.run) == placement.life:
            record.settled = placement.run

    def _find_record(self, task: TaskKey) -> TaskRecord | None:
        workload = self.jobs.get(task.job)
        if workload is None:
            return None
        return workload.tasks.get((task.occurrence, task.step, task.number))

    def _end_run(self, end: RunEnd, at: float) -> None:
        workload = self.jobs.get(end.task.job)
        if workload is None:
            return
        key = (end.task.occurrence, end.task.step, end.task.number)
        record = workload.tasks.get(key)
        if record is None or record.placed.pop(end.run, None) is None:
            return
        if end.checkpoint:
            record.checkpoint = end.checkpoint
        if end.kind is RunEndKind.DONE:
            self._record_success(workload, end.task, record, at)
        elif end.kind is RunEndKind.FAILED:
            self._record_failure(workload, end.task, record, at)

    def _record_success(
        self, workload: Workload, task: TaskKey, record: TaskRecord, at: float
    ) -> None:
        step = workload.steps[task.step]
        if record.done or step.lasting:
            return
        record.done = True
        step_key = (task.occurrence, task.step)
        # The members of a gang complete together, so one end completes the step.
        count = step.count if step.gang else workload.done.get(step_key, 0) + 1
        workload.done[step_key] = count
        if workload.has_ended or not self._is_complete(workload):
            return
        self._end_job(workload, WorkloadState.COMPLETED, at)

    def _record_failure(
        self, workload: Workload, task: TaskKey, record: TaskRecord, at: float
    ) -> None:
        record.failures += 1
        exhausted = 0 < workload.max_attempts <= record.failures
        lasting = workload.steps[task.step].lasting
        if exhausted and not lasting and not record.done and not workload.has_ended:
            self._end_job(workload, WorkloadState.FAILED, at)

    def _is_complete(self, workload: Workload) -> bool:
        return all(
            workload.is_step_done(occurrence, step)
            for occurrence in range(workload.occurrences)
            for step in range(len(workload.steps))
        )

    def _end_job(self, workload: Workload, state: WorkloadState, at: float) -> None:
        self._set_state(workload, state)
        workload.ended = at
        self.open_jobs.pop(workload.job, None)
        self._ended_at[workload.job] = at

    def _set_state(self, workload: Workload, state: WorkloadState) -> None:
        self._waiting[workload.queue] -= workload.state is WorkloadState.QUEUED
        workload.state = state

    def _apply_registration(self, command: RegisterInstance) -> None:
        may_return = command.has_answered and self.may_return(command.instance)
        if may_return or not self.is_superseded(command.instance):
            self._register(command.instance)

    def _apply_removal(self, command: RemoveInstance, index: int) -> msgspec.Struct:
        if 0 < command.term < self._term:
            return _reject_stale(command.term)
        self._remove(command.life, left=command.left)
        return Accepted(index)

    def _register(self, instance: RegisteredInstance) -> None:
        known = self.instances.get(instance.life)
        if known is not None and known.draining and not instance.draining:
            instance = msgspec.structs.replace(instance, draining=True)
        for other in self.list_replaced(instance):
            if other.life != instance.life:
                self._discard(other.life)
        self._store(instance)
        self._history.note_registration(instance.instance, instance.born)
        self._bar_lives_before(instance.address, instance.born)

    def _remove(self, life: str, *, left: bool) -> None:
        instance = self._discard(life)
        if instance is None:
            return
        if instance.draining:
            self._history.note_departure(instance.instance, instance.born)
        if left:
            # A delayed announcement must not register a life that has ended again.
            self._bar_lives_before(instance.address, instance.born + 1)

    def _bar_lives_before(self, address: str, born: int) -> None:
        self._last_born[address] = max(born, self._last_born.get(address, 0))

    def _store(self, instance: RegisteredInstance) -> None:
        known = self.instances.get(instance.life)
        if known is not None:
            self._remove_from_indexes(known)
        self.instances[instance.life] = instance
        self._by_instance.add(instance.instance, instance)
        self._by_address.add(instance.address, instance)
        self._by_machine.add(instance.machine, instance)

    def _discard(self, life: str) -> RegisteredInstance | None:
        instance = self.instances.pop(life, None)
        if instance is not None:
            self._remove_from_indexes(instance)
        return instance

    def _remove_from_indexes(self, instance: RegisteredInstance) -> None:
        self._by_instance.remove(instance.instance, instance.life)
        self._by_address.remove(instance.address, instance.life)
        self._by_machine.remove(instance.machine, instance.life)

    def _evict_ended(self, at: float) -> None:
        for job in list(islice(self._ended_at, MAX_EVICTED_PER_COMMAND)):
            if at - self._ended_at[job] < RETENTION_SECONDS:
                return
            workload = self.jobs[job]
            if any(record.placed for record in workload.tasks.values()):
                continue
            del self.jobs[job]
            del self._ended_at[job]


def _is_superseded_by(old: RegisteredInstance, new: RegisteredInstance) -> bool:
    same = old.instance == new.instance or old.address == new.address
    return same and old.life != new.life and old.born <= new.born


def _reject_stale(term: int) -> Rejected:
    return Rejected("StaleTerm", f"term {term} is over")
