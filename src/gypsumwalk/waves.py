"""Replicated state of maintenance waves: rolling reboots within pool budgets."""

import msgspec

from gypsumwalk.folder import WaveTable
from gypsumwalk.instances import InstanceEvent, InstanceRecord, InstanceState
from gypsumwalk.pools import PoolSection
from gypsumwalk.reasons import add_reason
from gypsumwalk.state import Accepted, Rejected
from gypsumwalk.statecharts import load_chart
from gypsumwalk.views import FolderView
from gypsumwalk.wave_records import (
    AbortWave,
    AcknowledgeReboot,
    ConfirmBoot,
    GrantReboot,
    GrantWaveDrain,
    ItemState,
    PauseWave,
    ReturnWaveInstance,
    StartWave,
    WaveItem,
    WaveRecord,
    WaveState,
)

__all__ = [
    "COMMANDS",
    "CORRELATED_LOSSES",
    "WAVE_PURPOSE",
    "WaveSection",
    "is_window_open",
]

COMMANDS = (
    StartWave,
    PauseWave,
    AbortWave,
    GrantWaveDrain,
    GrantReboot,
    AcknowledgeReboot,
    ConfirmBoot,
    ReturnWaveInstance,
)

WAVE_CHART = load_chart("wave")
WAVE_PURPOSE = "wave/"
CORRELATED_LOSSES = 2
"""Unplanned losses in a wave's pools that pause the wave."""
CORRELATION_SECONDS = 120.0
"""Time within which losses are considered correlated."""
MAX_DRAIN_ATTEMPTS = 2
"""Drains of one instance, each ended by a loss, before the wave skips it."""
SECONDS_PER_HOUR = 3600.0
HOURS_PER_DAY = 24.0
SKIP_LOST_AFTER_SECONDS = 900.0
"""Time after which a wave skips a pending instance that stays lost."""


def is_window_open(table: WaveTable, at: float) -> bool:
    """Return whether the maintenance window of a wave is open.

    Parameters
    ----------
    table : WaveTable
        The wave.
    at : float
        Time in seconds.

    Returns
    -------
    bool
        Whether the window is open at that time.
    """
    hour = at / SECONDS_PER_HOUR
    return (hour - table.window_start_hour) % HOURS_PER_DAY < table.window_hours


class _Dump(msgspec.Struct):
    waves: list[WaveRecord]


class WaveSection:
    """Section of the replicated state that holds waves.

    Parameters
    ----------
    pools : PoolSection
        Instances and their pools.
    folder : FolderView
        Configuration in the replicated state.
    """

    name = "waves"
    commands = COMMANDS

    def __init__(self, pools: PoolSection, folder: FolderView) -> None:
        self._pools = pools
        self._folder = folder
        self._waves: dict[str, WaveRecord] = {}

    def find(self, wave: str) -> WaveRecord | None:
        """Return the latest run of a wave, or None; callers must not modify it."""
        return self._waves.get(wave)

    def list_waves(self) -> list[WaveRecord]:
        """Return the latest run of each wave; callers must not modify them."""
        return list(self._waves.values())

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
        refusal = self._apply_command(command, index, at)
        if refusal:
            return Rejected(f"{type(command).__name__}Refused", refusal)
        return Accepted(index)

    def _apply_command(self, command: msgspec.Struct, index: int, at: float) -> str:
        if isinstance(command, StartWave):
            return self._start(command, at)
        if isinstance(command, AcknowledgeReboot):
            return self._acknowledge(command, at)
        name = command.wave  # type: ignore[attr-defined]
        wave = self._waves.get(name)
        if wave is None:
            return f"wave {name} was not started"
        match command:
            case PauseWave(run=run, reason=reason):
                return self._trigger(wave, run, "pause", at, reason)
            case AbortWave(run=run):
                return self._trigger(wave, run, "abort", at, "an operator aborted it")
            case GrantWaveDrain():
                return self._grant_drain(wave, command, at)
            case GrantReboot():
                return self._grant_reboot(wave, command, index, at)
            case ConfirmBoot(instance=instance, boots=boots):
                return self._confirm_boot(wave, instance, boots, at)
            case ReturnWaveInstance(instance=instance):
                return self._return_instance(wave, instance, at)
        return "unknown command"

    # Transitions of a wave.

    def _start(self, command: StartWave, at: float) -> str:
        table = self._folder.folder.waves.get(command.wave)
        if table is None:
            return f"wave {command.wave} is not declared"
        wave = self._waves.get(command.wave)
        if wave and wave.run == command.run:
            if wave.state is not WaveState.PAUSED:
                return ""
            wave.resumed_at = at
            return self._trigger(wave, wave.run, "resume", at, "an operator resumed it")
        if wave and wave.is_active:
            return f"run {wave.run} of wave {wave.name} has not ended"
        expected = wave.run + 1 if wave else 1
        if command.run != expected:
            return f"the next run of wave {command.wave} is {expected}"
        self._waves[command.wave] = self._plan(command, table.pools, at)
        return ""

    def _plan(self, command: StartWave, pools: list[str], at: float) -> WaveRecord:
        records = [
            record
            for pool in sorted(set(pools))
            for name in self._pools.list_members(pool)
            if (record := self._pools.find(name)) is not None
        ]
        records.sort(key=lambda record: (record.data_centre, record.rack, record.name))
        wave = WaveRecord(command.wave, command.run, WaveState.RUNNING, at, at)
        wave.items = {
            record.name: self._plan_item(command.wave, record, at) for record in records
        }
        away = (name for name, item in wave.items.items() if item.away_at)
        wave.away = dict.fromkeys(away)
        add_reason(wave.reasons, at, f"run {command.run}: {len(records)} instances")
        if not records:
            self._trigger(wave, command.run, "finish", at, "it has no instances")
        return wave

    def _plan_item(self, wave: str, record: InstanceRecord, at: float) -> WaveItem:
        """Adopt an instance that an aborted run left out of service."""
        if record.purpose != WAVE_PURPOSE + wave:
            return WaveItem()
        return WaveItem(ItemState.AWAY, away_at=at, attempts=1)

    def _trigger(
        self, wave: WaveRecord, run: int, event: str, at: float, reason: str
    ) -> str:
        if run != wave.run:
            return f"run {wave.run} of wave {wave.name} is the latest"
        after = WAVE_CHART.follow(wave.state.value, event)
        if after is None:
            unchanged = {"pause": WaveState.PAUSED, "abort": WaveState.ABORTED}
            if unchanged.get(event) is wave.state:
                return ""
            return f"wave {wave.name} is {wave.state.value}"
        wave.state = WaveState(after)
        if not wave.is_active:
            wave.ended_at = at
        add_reason(wave.reasons, at, reason)
        return ""

    def explain_correlated_losses(self, wave: WaveRecord, at: float) -> str:
        """Describe correlated losses in a wave's pools, or return empty.

        Parameters
        ----------
        wave : WaveRecord
            The wave.
        at : float
            Time in seconds.

        Returns
        -------
        str
            Text naming the instances lost within the correlation time.
        """
        since = max(at - CORRELATION_SECONDS, wave.resumed_at)
        pools = set(self._list_pools(wave.name))
        lost_instances = self._pools.list_losses(pools, since)
        if len(lost_instances) < CORRELATED_LOSSES:
            return ""
        return f"losses within {CORRELATION_SECONDS:.0f} s: {', '.join(lost_instances)}"

    def _list_pools(self, wave: str) -> list[str]:
        table = self._folder.folder.waves.get(wave)
        return table.pools if table else []

    # Transitions of one instance of a wave.

    def _grant_drain(self, wave: WaveRecord, command: GrantWaveDrain, at: float) -> str:
        table = self._folder.folder.waves.get(wave.name)
        if table is None:
            return f"wave {wave.name} is not declared"
        if command.run != wave.run or wave.state is not WaveState.RUNNING:
            return f"run {command.run} of wave {wave.name} is not running"
        item = wave.items.get(command.instance)
        if item is None or item.state is not ItemState.PENDING:
            return f"instance {command.instance} is not pending in wave {wave.name}"
        if not is_window_open(table, at):
            return f"the window of wave {wave.name} is closed"
        record = self._pools.find(command.instance)
        if record is None or record.pool not in table.pools:
            return f"instance {command.instance} is in no pool of wave {wave.name}"
        away = len(wave.away)
        if away >= table.concurrency:
            return f"wave {wave.name} has {away} instances away"
        correlation = self.explain_correlated_losses(wave, at)
        if correlation:
            return correlation
        purpose = WAVE_PURPOSE + wave.name
        refusal = self._pools.drain(command.instance, purpose, command.silent, at)
        if refusal:
            return refusal
        wave.move_item(command.instance, ItemState.AWAY)
        item.away_at = at
        item.rebooted = False
        item.attempts += 1
        add_reason(wave.reasons, at, f"drains {command.instance}")
        return ""

    def _grant_reboot(
        self, wave: WaveRecord, command: GrantReboot, index: int, at: float
    ) -> str:
        if command.run != wave.run or wave.state is not WaveState.RUNNING:
            return f"run {command.run} of wave {wave.name} is not running"
        item = wave.items.get(command.instance)
        if item is None or item.state is not ItemState.AWAY:
            return f"instance {command.instance} is not away in wave {wave.name}"
        record = self._pools.find(command.instance)
        if record is None or record.purpose != WAVE_PURPOSE + wave.name:
            return f"instance {command.instance} is not drained for wave {wave.name}"
        correlation = self.explain_correlated_losses(wave, at)
        if correlation:
            return correlation
        return self._pools.reboot(
            command.instance, command.boots, command.silent, index, at
        )

    def _acknowledge(self, command: AcknowledgeReboot, at: float) -> str:
        instance = command.instance
        record = self._pools.find(instance)
        if record is None or record.reboot_index != command.index:
            return f"instance {instance} awaits no answer"
        self._pools.acknowledge_reboot(instance)
        if command.refused and record.state is InstanceState.REBOOTING:
            reason = f"the platform refused the reboot: {command.refused}"
            return self._pools.trigger(instance, InstanceEvent.LOSE, at, reason)
        return ""

    def _confirm_boot(
        self, wave: WaveRecord, instance: str, boots: int, at: float
    ) -> str:
        record = self._pools.find(instance)
        item = wave.items.get(instance)
        if record is None or item is None or item.state is not ItemState.AWAY:
            return f"instance {instance} is not away in wave {wave.name}"
        if record.reboot_index:
            return f"the platform has not answered for {instance}"
        if boots <= record.boots:
            return f"instance {instance} has not rebooted"
        event = InstanceEvent.BOOT
        refusal = self._pools.trigger(instance, event, at, "rebooted and healthy")
        if not refusal:
            item.rebooted = True
            self._pools.record_boots(instance, boots)
        return refusal

    def _return_instance(self, wave: WaveRecord, instance: str, at: float) -> str:
        item = wave.items.get(instance)
        if item is None or item.state in (ItemState.DONE, ItemState.SKIPPED):
            return f"instance {instance} is not awaited by wave {wave.name}"
        record = self._pools.find(instance)
        if record is None or record.state is InstanceState.RETIRED:
            wave.move_item(instance, ItemState.SKIPPED)
        elif item.state is ItemState.PENDING:
            reason = self.find_skip_reason(wave.name, record, at)
            if not reason:
                return f"instance {instance} is pending"
            wave.move_item(instance, ItemState.SKIPPED)
            add_reason(wave.reasons, at, f"skipped {instance}: {reason}")
        elif record.is_available:
            self._complete_item(wave, instance, item, at)
        elif record.state is InstanceState.LOST:
            self._resolve_lost_item(wave, instance, item, at)
        else:
            return f"instance {instance} is still away"
        self._finish_if_complete(wave, at)
        return ""

    def find_skip_reason(self, wave: str, record: InstanceRecord, at: float) -> str:
        """Return the reason to skip a pending instance, or empty.

        Parameters
        ----------
        wave : str
            The wave.
        record : InstanceRecord
            The instance.
        at : float
            Time in seconds.

        Returns
        -------
        str
            Reason for the skip.
        """
        if record.state is InstanceState.RETIRED:
            return "no longer declared"
        if record.pool not in self._list_pools(wave):
            return f"moved to pool {record.pool}"
        is_lost = record.state is InstanceState.LOST
        if is_lost and at - record.since >= SKIP_LOST_AFTER_SECONDS:
            return "lost for long"
        return ""

    def _complete_item(
        self, wave: WaveRecord, instance: str, item: WaveItem, at: float
    ) -> None:
        if not item.rebooted:
            self._requeue_item(wave, instance, item)
            return
        wave.move_item(instance, ItemState.DONE)
        wave.away_seconds += at - item.away_at
        add_reason(wave.reasons, at, f"finished {instance}")

    def _resolve_lost_item(
        self, wave: WaveRecord, instance: str, item: WaveItem, at: float
    ) -> None:
        if item.rebooted:
            self._complete_item(wave, instance, item, at)
        elif item.attempts >= MAX_DRAIN_ATTEMPTS:
            wave.move_item(instance, ItemState.SKIPPED)
            add_reason(wave.reasons, at, f"skipped {instance}: lost each time")
        else:
            self._requeue_item(wave, instance, item)

    def _requeue_item(self, wave: WaveRecord, instance: str, item: WaveItem) -> None:
        wave.move_item(instance, ItemState.PENDING)
        wave.items[instance] = wave.items.pop(instance)

    def _finish_if_complete(self, wave: WaveRecord, at: float) -> None:
        if wave.done + wave.skipped == len(wave.items) and wave.is_active:
            self._trigger(wave, wave.run, "finish", at, f"finished {wave.done}")

    # Snapshots.

    def dump(self) -> bytes:
        """Return the serialized section."""
        waves = [self._waves[name] for name in sorted(self._waves)]
        return msgspec.msgpack.encode(_Dump(waves))

    def load(self, content: bytes) -> None:
        """Restore the section from a snapshot.

        Parameters
        ----------
        content : bytes
            Result of ``dump``.
        """
        dump = msgspec.msgpack.decode(content, type=_Dump)
        self._waves = {wave.name: wave for wave in dump.waves}
