"""Jobs and instances, as a section of the replicated state."""

from collections.abc import Iterable

import msgspec

from gypsumwalk.state import Accepted, Rejected
from gypsumwalk.workload_records import (
    AcceptWorkload,
    CancelWorkload,
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
)

__all__ = ["WorkloadSection"]

KEPT_SECONDS = 300.0
"""Time in seconds that an ended job stays known; callers may ask for 120 s."""

MAX_FORGOTTEN_AT_ONCE = 32


class _Dump(msgspec.Struct):
    jobs: list[Workload]
    instances: list[RegisteredInstance]
    term: int
    last_born: dict[str, int]


class WorkloadSection:
    """Accepted jobs with their tasks, and the instances that run them."""

    name = "workloads"
    commands: tuple[type, ...] = (
        AcceptWorkload,
        CancelWorkload,
        PlaceRuns,
        EndRuns,
        RegisterInstance,
        RemoveInstance,
    )

    def __init__(self) -> None:
        self.jobs: dict[str, Workload] = {}
        self.instances: dict[str, RegisteredInstance] = {}
        self.open: dict[str, Workload] = {}
        self._ended: dict[str, float] = {}
        self._term = 0
        self._last_born: dict[str, int] = {}

    def apply(self, command: msgspec.Struct, index: int, at: float) -> msgspec.Struct:
        """Apply one committed command."""
        self._forget(at)
        match command:
            case AcceptWorkload(workload=workload):
                self._accept(workload, at)
            case CancelWorkload(job=job):
                return self._cancel(job, index, at)
            case PlaceRuns():
                return self._place(command, index)
            case EndRuns(ends=ends):
                for end in ends:
                    self._end(end, at)
            case RegisterInstance(instance=instance):
                self._register(instance)
            case RemoveInstance(life=life, left=left):
                self._remove(life, left=left)
        return Accepted(index)

    def find_life(self, instance: str) -> RegisteredInstance | None:
        """Return the latest life of an instance."""
        lives = [item for item in self.instances.values() if item.instance == instance]
        return max(lives, key=lambda item: item.born, default=None)

    def find_step(self, task: TaskKey) -> Step | None:
        """Return the step that a task belongs to, None if its job is not known."""
        workload = self.jobs.get(task.job)
        return workload.steps[task.step] if workload else None

    def is_outdated(self, instance: RegisteredInstance) -> bool:
        """Tell whether a later life took the address, or this life has left."""
        return instance.born < self._last_born.get(instance.address, 0)

    def list_placed(self) -> Iterable[Placement]:
        """Return every run that may be going on."""
        for workload in self.jobs.values():
            for (occurrence, step, index), record in workload.tasks.items():
                key = TaskKey(workload.job, occurrence, step, index)
                for run, life in record.placed.items():
                    yield Placement(key, run, life)

    def count_waiting(self, queue: str) -> int:
        """Count the accepted jobs of a queue of which no task was placed."""
        return sum(
            workload.queue == queue and workload.state is WorkloadState.QUEUED
            for workload in self.open.values()
        )

    def dump(self) -> bytes:
        """Return the section as bytes, the same for the same state."""
        jobs = [self.jobs[job] for job in sorted(self.jobs)]
        instances = [self.instances[life] for life in sorted(self.instances)]
        return msgspec.msgpack.encode(
            _Dump(jobs, instances, self._term, self._last_born)
        )

    def load(self, content: bytes) -> None:
        """Replace the section by one that was dumped."""
        dump = msgspec.msgpack.decode(content, type=_Dump)
        self.jobs = {workload.job: workload for workload in dump.jobs}
        self.open = {
            workload.job: workload for workload in dump.jobs if not workload.is_over
        }
        self._ended = {
            workload.job: workload.ended for workload in dump.jobs if workload.is_over
        }
        self.instances = {item.life: item for item in dump.instances}
        self._term = dump.term
        self._last_born = dump.last_born

    def _accept(self, workload: Workload, at: float) -> None:
        if workload.job in self.jobs:
            return
        kept = msgspec.structs.replace(workload, accepted=at, tasks={}, done={})
        self.jobs[kept.job] = kept
        self.open[kept.job] = kept

    def _cancel(self, job: str, index: int, at: float) -> msgspec.Struct:
        workload = self.jobs.get(job)
        if workload is None:
            return Rejected("UnknownJob", f'job "{job}" does not exist')
        if not workload.is_over:
            self._close(workload, WorkloadState.CANCELLED, at)
        return Accepted(index)

    def _place(self, command: PlaceRuns, index: int) -> msgspec.Struct:
        if command.term < self._term:
            return Rejected("StaleTerm", f"term {command.term} is over")
        self._term = command.term
        for placement in command.placements:
            self._place_run(placement)
        return Accepted(index)

    def _place_run(self, placement: Placement) -> None:
        job, *place = placement.task
        workload = self.jobs.get(job)
        if workload is None:
            return
        key = (int(place[0]), int(place[1]), int(place[2]))
        record = workload.tasks.setdefault(key, TaskRecord(placed={}))
        record.run = max(record.run, placement.run)
        record.placed[placement.run] = placement.life
        if workload.state is WorkloadState.QUEUED:
            workload.state = WorkloadState.RUNNING

    def _end(self, end: RunEnd, at: float) -> None:
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
            self._note_done(workload, end.task, record, at)
        elif end.kind is RunEndKind.FAILED:
            self._note_failure(workload, end.task, record, at)

    def _note_done(
        self, workload: Workload, task: TaskKey, record: TaskRecord, at: float
    ) -> None:
        step = workload.steps[task.step]
        if record.done or step.lasting:
            return
        record.done = True
        place = (task.occurrence, task.step)
        # The members of a gang end well together, so one end stands for all.
        count = step.count if step.gang else workload.done.get(place, 0) + 1
        workload.done[place] = count
        if workload.is_over or not self._is_complete(workload):
            return
        self._close(workload, WorkloadState.COMPLETED, at)

    def _note_failure(
        self, workload: Workload, task: TaskKey, record: TaskRecord, at: float
    ) -> None:
        record.failures += 1
        exhausted = 0 < workload.max_attempts <= record.failures
        lasting = workload.steps[task.step].lasting
        if exhausted and not lasting and not record.done and not workload.is_over:
            self._close(workload, WorkloadState.FAILED, at)

    def _is_complete(self, workload: Workload) -> bool:
        return all(
            workload.is_step_done(occurrence, step)
            for occurrence in range(workload.occurrences)
            for step in range(len(workload.steps))
        )

    def _close(self, workload: Workload, state: WorkloadState, at: float) -> None:
        workload.state = state
        workload.ended = at
        self.open.pop(workload.job, None)
        self._ended[workload.job] = at

    def _register(self, instance: RegisteredInstance) -> None:
        if self.is_outdated(instance):
            return
        known = self.instances.get(instance.life)
        if known is not None and known.draining and not instance.draining:
            instance = msgspec.structs.replace(instance, draining=True)
        for other in list(self.instances.values()):
            if _is_replaced(other, instance):
                del self.instances[other.life]
        self.instances[instance.life] = instance
        self._last_born[instance.address] = instance.born

    def _remove(self, life: str, *, left: bool) -> None:
        instance = self.instances.pop(life, None)
        if instance is None or not left:
            return
        # A late heartbeat of a life that has left registers nothing.
        born = max(instance.born + 1, self._last_born.get(instance.address, 0))
        self._last_born[instance.address] = born

    def _forget(self, at: float) -> None:
        for job in list(self._ended)[:MAX_FORGOTTEN_AT_ONCE]:
            if at - self._ended[job] < KEPT_SECONDS:
                return
            workload = self.jobs[job]
            if any(record.placed for record in workload.tasks.values()):
                continue
            del self.jobs[job]
            del self._ended[job]


def _is_replaced(old: RegisteredInstance, new: RegisteredInstance) -> bool:
    same = old.instance == new.instance or old.address == new.address
    return same and old.life != new.life and old.born <= new.born
