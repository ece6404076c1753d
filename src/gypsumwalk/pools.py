"""Replicated state of instances: pool membership, moves, availability budgets."""

from collections.abc import Iterable, Sequence

import msgspec

from gypsumwalk.folder import InstanceTable
from gypsumwalk.instances import (
    InstanceEvent,
    InstanceRecord,
    InstanceState,
    find_next_state,
)
from gypsumwalk.pool_commands import (
    COMMANDS,
    CancelDrain,
    LoseInstance,
    MoveInstance,
    QuarantineInstance,
    ReassignInstance,
    ReconcileInstances,
    RecoverInstance,
    ReleaseInstance,
    SettleInstance,
)
from gypsumwalk.pool_index import PoolIndex
from gypsumwalk.reasons import add_reason
from gypsumwalk.state import Accepted, Rejected
from gypsumwalk.views import FolderView

__all__ = ["COMMANDS", "MOVE_PURPOSE", "RETIRE_PURPOSE", "PoolSection"]

MOVE_PURPOSE = "move/"
RETIRE_PURPOSE = "retire"
MAX_INSTANCE_REASONS = 6
MAX_RECORDED_LOSSES = 200
"""Unplanned losses kept in the state; older ones are discarded first."""


class Loss(msgspec.Struct, frozen=True):
    """One unplanned loss of an instance.

    Attributes
    ----------
    instance : str
        The instance.
    pool : str
        Pool that the instance belonged to.
    at : float
        Time of the loss in seconds.
    """

    instance: str
    pool: str
    at: float


class _Dump(msgspec.Struct):
    generation: int
    instances: list[InstanceRecord]
    losses: list[Loss]


class PoolSection:
    """Section of the replicated state that holds instances and their pools.

    Parameters
    ----------
    folder : FolderView
        Configuration in the replicated state.
    """

    name = "pools"
    commands = COMMANDS

    def __init__(self, folder: FolderView) -> None:
        self._folder = folder
        self._instances: dict[str, InstanceRecord] = {}
        self._index = PoolIndex()
        self._losses: list[Loss] = []
        self.generation = 0

    # Queries.

    def find(self, instance: str) -> InstanceRecord | None:
        """Return the record of an instance, or None; callers must not modify it."""
        return self._instances.get(instance)

    def list_instances(self) -> Iterable[InstanceRecord]:
        """Return all records; callers must not modify them."""
        return self._instances.values()

    def list_members(self, pool: str) -> list[str]:
        """Return the sorted names of a pool's instances."""
        return self._index.list_members(pool)

    def list_by_state(self, *states: InstanceState) -> list[InstanceRecord]:
        """Return the records in the given states; callers must not modify them."""
        return [
            self._instances[name] for name in self._index.list_names_by_state(states)
        ]

    def find_version(self, pool: str) -> int:
        """Return the version of a pool, which increases with each instance change."""
        return self._index.find_version(pool)

    def find_budget(self, pool: str) -> int:
        """Return the maximum number of instances of a pool unavailable at once."""
        table = self._folder.folder.pools.get(pool)
        return table.max_unavailable if table else 0

    def count_unavailable(self, pool: str, unresponsive: Sequence[str] = ()) -> int:
        """Count a pool's unavailable instances, planned and unplanned.

        Parameters
        ----------
        pool : str
            The pool.
        unresponsive : Sequence[str]
            Instances without a recent heartbeat, which count as unavailable.

        Returns
        -------
        int
            Number of unavailable instances of the pool.
        """
        extra = 0
        for name in set(unresponsive):
            record = self._instances.get(name)
            if record and record.pool == pool and record.is_available:
                extra += 1
        return self._index.count_unavailable(pool) + extra

    # Changes requested by other sections while they apply a command.

    def drain(
        self, instance: str, purpose: str, unresponsive: Sequence[str], at: float
    ) -> str:
        """Start draining an instance if its pool's budget allows it.

        Parameters
        ----------
        instance : str
            The instance.
        purpose : str
            Purpose of the drain, such as ``wave/NAME`` or ``move/POOL``.
        unresponsive : Sequence[str]
            Instances without a recent heartbeat, which count as unavailable.
        at : float
            Time in seconds.

        Returns
        -------
        str
            Reason for the refusal, or empty.
        """
        record = self._instances.get(instance)
        if record is None:
            return f"instance {instance} is not known"
        if instance in unresponsive:
            return f"instance {instance} was not heard of lately"
        unavailable_count = self.count_unavailable(record.pool, unresponsive)
        budget = self.find_budget(record.pool)
        if unavailable_count + 1 > budget:
            return (
                f"pool {record.pool} has {unavailable_count} instances unavailable, "
                f"and its budget is {budget}"
            )
        refusal = self.trigger(instance, InstanceEvent.DRAIN, at, f"drain: {purpose}")
        if not refusal:
            record.purpose = purpose
        return refusal

    def reboot(
        self,
        instance: str,
        boots: int,
        unresponsive: Sequence[str],
        index: int,
        at: float,
    ) -> str:
        """Allow a drained instance to reboot if its pool is still within budget.

        Parameters
        ----------
        instance : str
            The instance.
        boots : int
            Boot count of the instance before the reboot.
        unresponsive : Sequence[str]
            Instances without a recent heartbeat, which count as unavailable.
        index : int
            Log index of the grant.
        at : float
            Time in seconds.

        Returns
        -------
        str
            Reason for the refusal, or empty.
        """
        record = self._instances.get(instance)
        if record is None:
            return f"instance {instance} is not known"
        unavailable_count = self.count_unavailable(record.pool, unresponsive)
        budget = self.find_budget(record.pool)
        if unavailable_count > budget:
            return (
                f"pool {record.pool} has {unavailable_count} instances unavailable, "
                f"and its budget is {budget}"
            )
        refusal = self.trigger(instance, InstanceEvent.REBOOT, at, "reboot")
        if not refusal:
            record.boots = boots
            record.reboot_index = index
        return refusal

    def trigger(
        self, instance: str, event: InstanceEvent, at: float, reason: str
    ) -> str:
        """Apply an event of the state chart to one instance.

        Parameters
        ----------
        instance : str
            The instance.
        event : InstanceEvent
            The event.
        at : float
            Time in seconds.
        reason : str
            Reason shown by ``instances why``.

        Returns
        -------
        str
            Reason for the refusal, or empty.
        """
        record = self._instances.get(instance)
        if record is None:
            return f"instance {instance} is not known"
        after = find_next_state(record.state, event)
        if after is None:
            return f"instance {instance} is {record.state.value}"
        self._index.remove(record)
        record.state = after
        record.since = at
        add_reason(record.reasons, at, f"{after.value}: {reason}", MAX_INSTANCE_REASONS)
        if event is InstanceEvent.LOSE:
            self._losses.append(Loss(instance, record.pool, at))
            del self._losses[:-MAX_RECORDED_LOSSES]
        self._index.add(record)
        return ""

    def acknowledge_reboot(self, instance: str) -> None:
        """Clear the pending reboot of an instance after the platform answered."""
        self._instances[instance].reboot_index = 0

    def record_boots(self, instance: str, boots: int) -> None:
        """Record the boot count of an instance, to detect later boots."""
        self._instances[instance].boots = boots

    def list_losses(self, pools: set[str], since: float) -> list[str]:
        """Return the instances of the given pools lost since a time.

        Parameters
        ----------
        pools : set of str
            The pools.
        since : float
            Time in seconds.

        Returns
        -------
        list of str
            Sorted names of the instances.
        """
        return sorted(
            {
                loss.instance
                for loss in self._losses
                if loss.at >= since and loss.pool in pools
            }
        )

    # Commands.

    def apply(self, command: msgspec.Struct, index: int, at: float) -> msgspec.Struct:
        """Apply one committed command.

        Parameters
        ----------
        command : msgspec.Struct
            The command.
        index : int
            Log index of the command.
        at : float
            Time in seconds.

        Returns
        -------
        msgspec.Struct
            ``Accepted`` or ``Rejected``.
        """
        refusal = self._apply_command(command, at)
        if refusal:
            return Rejected(f"{type(command).__name__}Refused", refusal)
        return Accepted(index)

    def _apply_command(self, command: msgspec.Struct, at: float) -> str:
        match command:
            case ReconcileInstances():
                return self._reconcile(at)
            case LoseInstance(instance, reason):
                return self._trigger_and_clear_purpose(
                    instance, InstanceEvent.LOSE, at, reason
                )
            case RecoverInstance(instance, boots):
                return self._recover(instance, boots, at)
            case SettleInstance():
                return self._settle(command, at)
            case QuarantineInstance():
                return self._quarantine(command, at)
            case ReleaseInstance(instance):
                event = InstanceEvent.RELEASE
                return self.trigger(instance, event, at, "probe went well")
            case MoveInstance():
                return self._move(command, at)
            case ReassignInstance(instance):
                return self._reassign(instance, at)
            case CancelDrain(instance, reason):
                event = InstanceEvent.CANCEL_DRAIN
                return self._trigger_and_clear_purpose(instance, event, at, reason)
        return "unknown command"

    def _trigger_and_clear_purpose(
        self, instance: str, event: InstanceEvent, at: float, reason: str
    ) -> str:
        refusal = self.trigger(instance, event, at, reason)
        if not refusal:
            self._instances[instance].purpose = ""
        return refusal

    def _recover(self, instance: str, boots: int, at: float) -> str:
        record = self._instances.get(instance)
        if record and record.reboot_index:
            return f"a reboot of {instance} may still be carried out"
        reason = "heard again after a loss"
        refusal = self.trigger(instance, InstanceEvent.RECOVER, at, reason)
        if not refusal:
            self.record_boots(instance, boots)
        return refusal

    def _settle(self, command: SettleInstance, at: float) -> str:
        name, dwell = command.instance, command.dwell_seconds
        record = self._instances.get(name)
        if record and at - record.since < dwell:
            return f"instance {name} has not dwelt for {dwell} s"
        event = InstanceEvent.SETTLE
        refusal = self._trigger_and_clear_purpose(name, event, at, "stayed healthy")
        if not refusal:
            self.record_boots(name, command.boots)
        return refusal

    def _quarantine(self, command: QuarantineInstance, at: float) -> str:
        record = self._instances.get(command.instance)
        if record is None:
            return f"instance {command.instance} is not known"
        if record.is_available:
            unavailable_count = self.count_unavailable(record.pool, command.silent)
            if unavailable_count + 1 > self.find_budget(record.pool):
                return f"pool {record.pool} has no budget left for a quarantine"
        event = InstanceEvent.QUARANTINE
        return self._trigger_and_clear_purpose(
            command.instance, event, at, command.reason
        )

    def _move(self, command: MoveInstance, at: float) -> str:
        record = self._instances.get(command.instance)
        if record is None:
            return f"instance {command.instance} is not known"
        if record.pool != command.source or record.pool == command.destination:
            return f"instance {command.instance} belongs to pool {record.pool}"
        if not command.destination:
            if command.instance in self._folder.folder.instances:
                return f"instance {command.instance} is declared"
            return self.drain(command.instance, RETIRE_PURPOSE, command.silent, at)
        pools = self._folder.folder.pools
        if command.destination not in pools:
            return f"pool {command.destination} is not declared"
        source = pools.get(record.pool)
        left = self._count_staying(record.pool) - 1
        if source and left < source.min_instances:
            return f"pool {record.pool} would keep {left} instances"
        purpose = MOVE_PURPOSE + command.destination
        return self.drain(command.instance, purpose, command.silent, at)

    def _count_staying(self, pool: str) -> int:
        return sum(
            not self._instances[name].purpose.startswith((MOVE_PURPOSE, RETIRE_PURPOSE))
            for name in self._index.list_members(pool)
        )

    def _reassign(self, instance: str, at: float) -> str:
        record = self._instances.get(instance)
        if record is None:
            return f"instance {instance} is not known"
        if record.purpose == RETIRE_PURPOSE:
            return self._retire(record, at)
        if not record.purpose.startswith(MOVE_PURPOSE):
            return f"instance {instance} is not moving"
        destination = record.purpose.removeprefix(MOVE_PURPOSE)
        if destination not in self._folder.folder.pools:
            return f"pool {destination} is not declared"
        reason = f"moved from pool {record.pool}"
        refusal = self.trigger(instance, InstanceEvent.REASSIGN, at, reason)
        if not refusal:
            self._assign(record, destination)
            record.purpose = ""
        return refusal

    # Reconciliation with the folder.

    def _reconcile(self, at: float) -> str:
        folder = self._folder.folder
        for name in sorted(folder.instances):
            self._admit(name, folder.instances[name], at)
        for name in sorted(self._instances):
            if name not in folder.instances:
                self._retire(self._instances[name], at)
        self.generation = self._folder.generation
        return ""

    def _admit(self, name: str, table: InstanceTable, at: float) -> None:
        record = self._instances.get(name)
        if record is None:
            record = InstanceRecord(
                name=name,
                pool="",
                data_centre=table.data_centre,
                rack=table.rack,
                processors=table.processors,
                memory_gb=table.memory_gb,
                accelerators=table.accelerators,
                since=at,
            )
            reason = "joining: declared in the folder"
            add_reason(record.reasons, at, reason, MAX_INSTANCE_REASONS)
            self._instances[name] = record
            self._assign(record, table.pool)
            return
        self._index.remove(record)
        record.data_centre = table.data_centre
        record.rack = table.rack
        record.processors = table.processors
        record.memory_gb = table.memory_gb
        record.accelerators = table.accelerators
        self._index.add(record)
        if record.state is InstanceState.RETIRED:
            self.trigger(name, InstanceEvent.READMIT, at, "declared again")
            self._assign(record, table.pool)

    def _retire(self, record: InstanceRecord, at: float) -> str:
        reason = "no longer declared"
        refusal = self.trigger(record.name, InstanceEvent.RETIRE, at, reason)
        if not refusal:
            self._assign(record, "")
            record.purpose = ""
        return refusal

    def _assign(self, record: InstanceRecord, pool: str) -> None:
        self._index.remove(record)
        record.pool = pool
        self._index.add(record)

    # Snapshots.

    def dump(self) -> bytes:
        """Return the serialized section."""
        instances = [self._instances[name] for name in sorted(self._instances)]
        return msgspec.msgpack.encode(_Dump(self.generation, instances, self._losses))

    def load(self, content: bytes) -> None:
        """Restore the section from a snapshot.

        Parameters
        ----------
        content : bytes
            Result of ``dump``.
        """
        dump = msgspec.msgpack.decode(content, type=_Dump)
        self.generation = dump.generation
        self._losses = dump.losses
        self._instances = {record.name: record for record in dump.instances}
        self._index.clear()
        for record in dump.instances:
            self._index.add(record)
