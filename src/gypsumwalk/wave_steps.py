"""Steps of maintenance waves, taken by the leader, and operators' calls on waves."""

from collections.abc import Sequence

import msgspec

from gypsumwalk._calls import PendingCalls
from gypsumwalk._outcomes import answer_outcome
from gypsumwalk._proposals import PendingProposals
from gypsumwalk.effects import Answer, Effect, Propose, Record, Respond
from gypsumwalk.estimates import estimate_wave
from gypsumwalk.events import Event
from gypsumwalk.heartbeats import HeartbeatTable
from gypsumwalk.inputs import (
    CallInput,
    Committed,
    Input,
    PlatformOutcome,
    ProposalOutcome,
)
from gypsumwalk.instances import InstanceRecord, InstanceState
from gypsumwalk.operator_calls import (
    WAVE_ENDPOINTS,
    AbortWaveCall,
    DescribeWave,
    ExplainWave,
    Explanation,
    PauseWaveCall,
    StartWaveCall,
)
from gypsumwalk.operator_checks import refuse_non_operator
from gypsumwalk.platform import (
    ActionRefused,
    InstanceHealth,
    ProbeInstance,
    RebootInstance,
)
from gypsumwalk.pool_commands import CancelDrain, LoseInstance
from gypsumwalk.pools import PoolSection
from gypsumwalk.problems import Outcome, ProblemType, refuse
from gypsumwalk.state import Accepted
from gypsumwalk.views import FolderView, KeyView, LeadershipView
from gypsumwalk.wave_order import PendingOrder
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
    WaveRecord,
    WaveState,
)
from gypsumwalk.waves import WAVE_PURPOSE, WaveSection, is_in_window

__all__ = ["ENDPOINTS", "WavePart"]

ENDPOINTS = WAVE_ENDPOINTS
PERIOD_SECONDS = 1.0
SCAN_SECONDS = 10.0
"""Seconds between two looks at every instance of a wave."""
REBOOT_SECONDS = 600.0
"""Seconds after which a reboot that has not returned counts as a loss."""
WAVE_CALLS = (
    StartWaveCall,
    PauseWaveCall,
    AbortWaveCall,
    DescribeWave,
    ExplainWave,
)


class WavePart:
    """Takes the next step of each wave while this daemon leads.

    Parameters
    ----------
    waves : WaveSection
        The waves.
    pools : PoolSection
        Instances and their pools.
    heartbeats : HeartbeatTable
        When each instance was last heard.
    keys : KeyView
        Operators' keys.
    folder : FolderView
        The configuration.
    leadership : LeadershipView
        Who leads.
    """

    name = "waves"
    accepts = (*WAVE_CALLS, GrantWaveDrain, GrantReboot, StartWave, PauseWave)

    def __init__(
        self,
        *,
        waves: WaveSection,
        pools: PoolSection,
        heartbeats: HeartbeatTable,
        keys: KeyView,
        folder: FolderView,
        leadership: LeadershipView,
    ) -> None:
        self.wakeup = 0.0
        self._waves = waves
        self._pools = pools
        self._heartbeats = heartbeats
        self._keys = keys
        self._folder = folder
        self._leadership = leadership
        self._proposals = PendingProposals(self.name)
        self._calls = PendingCalls()
        self._answers: dict[str, int] = {}
        self._count = 0
        self._leading = False
        self._rebooting_since: dict[str, float] = {}
        self._scan_at: dict[str, float] = {}
        self._orders: dict[str, tuple[int, PendingOrder]] = {}

    def handle(self, item: Input, now: float) -> Sequence[Effect]:
        """Take in one input.

        Parameters
        ----------
        item : Input
            The input.
        now : float
            Time in seconds.

        Returns
        -------
        Sequence[Effect]
            Answers, events and proposals.
        """
        match item:
            case CallInput():
                return self._take_call(item, now)
            case ProposalOutcome(token=token) if token in self._answers:
                return [Respond(self._answers.pop(token), answer_outcome(item))]
            case ProposalOutcome():
                self._proposals.settle(item)
            case PlatformOutcome():
                return self._take_outcome(item, now)
            case Committed(result=Accepted()):
                self.wakeup = now
                return _record(item.command)
        return []

    def advance(self, now: float) -> Sequence[Effect]:
        """Take the steps that are due.

        Parameters
        ----------
        now : float
            Time in seconds.

        Returns
        -------
        Sequence[Effect]
            Proposals, and calls to the platform.
        """
        self.wakeup = now + PERIOD_SECONDS
        if not self._leadership.holds_lease(now):
            self._leading = False
            return []
        if not self._leading:
            self._leading = True
            self._calls.reset()
            self._rebooting_since.clear()
            self._scan_at.clear()
            self._orders.clear()
        effects: list[Effect] = []
        for wave in self._waves.waves():
            effects += self._step(wave, now)
        return effects

    # Steps of one wave.

    def _step(self, wave: WaveRecord, now: float) -> list[Effect]:
        effects: list[Effect] = []
        if wave.state is WaveState.RUNNING:
            correlation = self._waves.find_correlation(wave, now)
            if correlation:
                command = PauseWave(wave.name, wave.run, correlation)
                return self._proposals.propose(f"pause/{wave.name}", command)
            effects += self._take_away(wave, now)
        for name in self._select(wave, now):
            record = self._pools.find(name)
            if record is not None:
                state = wave.items[name].state
                effects += self._step_item(wave, record, state, now)
        return effects

    def _select(self, wave: WaveRecord, now: float) -> list[str]:
        """Return the instances to look at: all now and then, else those away."""
        if now < self._scan_at.get(wave.name, now):
            return list(wave.away)
        self._scan_at[wave.name] = now + SCAN_SECONDS
        self._orders.pop(wave.name, None)
        ended = (ItemState.DONE, ItemState.SKIPPED)
        return [name for name, item in wave.items.items() if item.state not in ended]

    def _find_order(self, wave: WaveRecord) -> PendingOrder:
        known = self._orders.get(wave.name)
        if known is not None and known[0] == wave.run:
            return known[1]
        order = PendingOrder(wave, self._pools)
        self._orders[wave.name] = (wave.run, order)
        return order

    def _take_away(self, wave: WaveRecord, now: float) -> list[Effect]:
        table = self._folder.folder.waves.get(wave.name)
        if table is None or not is_in_window(table, now):
            return []
        room = table.concurrency - len(wave.away)
        effects: list[Effect] = []
        if room <= 0:
            return effects
        granted: dict[str, int] = {}
        for name in self._find_order(wave).list_candidates(wave):
            record = self._pools.find(name)
            if record is None or room <= 0:
                break
            taken = granted.get(record.pool, 0)
            silent = self._list_silent(record.pool, now)
            lost = self._pools.count_unavailable(record.pool, silent)
            if name in silent or lost + taken + 1 > self._pools.budget(record.pool):
                continue
            granted[record.pool] = taken + 1
            room -= 1
            command = GrantWaveDrain(wave.name, wave.run, name, silent)
            effects += self._proposals.propose(name, command)
        return effects

    def _list_silent(self, pool: str, now: float) -> list[str]:
        return self._heartbeats.list_silent(self._pools.members(pool), now)

    def _step_item(
        self, wave: WaveRecord, record: InstanceRecord, state: ItemState, now: float
    ) -> list[Effect]:
        name = record.name
        effects: list[Effect] = []
        if record.reboot_index:
            effects += self._reboot(record, now)
        if state is ItemState.PENDING:
            if self._waves.explain_skip(wave.name, record, now):
                command = ReturnWaveInstance(wave.name, name)
                effects += self._proposals.propose(name, command)
            return effects
        if record.state is not InstanceState.REBOOTING:
            self._rebooting_since.pop(name, None)
        match record.state:
            case InstanceState.DRAINING | InstanceState.DRAINED:
                effects += self._step_drain(wave, record, now)
            case InstanceState.REBOOTING:
                effects += self._watch_reboot(wave, record, now)
            case InstanceState.ACTIVE | InstanceState.LOST | InstanceState.RETIRED:
                command = ReturnWaveInstance(wave.name, name)
                effects += self._proposals.propose(name, command)
        return effects

    def _step_drain(
        self, wave: WaveRecord, record: InstanceRecord, now: float
    ) -> list[Effect]:
        name = record.name
        if record.purpose != WAVE_PURPOSE + wave.name:
            return []
        if wave.state is not WaveState.RUNNING:
            reason = f"wave {wave.name} is {wave.state.value}"
            return self._proposals.propose(name, CancelDrain(name, reason))
        if record.state is InstanceState.DRAINING:
            return []
        boots = self._heartbeats.find_boots(name)
        silent = self._list_silent(record.pool, now)
        lost = self._pools.count_unavailable(record.pool, silent)
        if lost > self._pools.budget(record.pool):
            return []
        command = GrantReboot(wave.name, wave.run, name, boots, silent)
        return self._proposals.propose(name, command)

    def _reboot(self, record: InstanceRecord, now: float) -> list[Effect]:
        token = f"{self.name}/reboot/{record.name}/{record.reboot_index}"
        return self._calls.call(token, RebootInstance(record.name), now)

    def _watch_reboot(
        self, wave: WaveRecord, record: InstanceRecord, now: float
    ) -> list[Effect]:
        name = record.name
        since = self._rebooting_since.setdefault(name, now)
        self._heartbeats.excuse(name, now)
        if now - since > REBOOT_SECONDS:
            command = LoseInstance(name, "the reboot did not return")
            return self._proposals.propose(name, command)
        if record.reboot_index:
            return []
        self._count += 1
        token = f"{self.name}/probe/{wave.name}/{name}"
        return self._calls.call(f"{token}/{self._count}", ProbeInstance(name), now)

    # Outcomes of the platform.

    def _take_outcome(self, outcome: PlatformOutcome, now: float) -> list[Effect]:
        answered = self._calls.settle(outcome, now)
        if not answered or not self._leadership.holds_lease(now):
            return []
        _, kind, *rest = outcome.token.split("/")
        if kind == "reboot":
            return self._acknowledge(rest[0], int(rest[1]), outcome.report)
        return self._confirm(rest[0], outcome.report)

    def _acknowledge(
        self, instance: str, index: int, report: msgspec.Struct | None
    ) -> list[Effect]:
        record = self._pools.find(instance)
        if record is None or record.reboot_index != index:
            return []
        refused = report.reason if isinstance(report, ActionRefused) else ""
        command = AcknowledgeReboot(instance, index, refused)
        return self._proposals.propose(f"acknowledge/{instance}", command)

    def _confirm(self, wave: str, report: msgspec.Struct | None) -> list[Effect]:
        if not isinstance(report, InstanceHealth) or not report.healthy:
            return []
        record = self._pools.find(report.instance)
        if record is None or report.boots <= record.boots:
            return []
        command = ConfirmBoot(wave, report.instance, report.boots)
        return self._proposals.propose(report.instance, command)

    # Operators' calls.

    def _take_call(self, call: CallInput, now: float) -> list[Effect]:
        if refusal := refuse_non_operator(self._keys, call.credential, now):
            return [Respond(call.call_id, refusal)]
        match call.body:
            case StartWaveCall(name=name, run=run):
                return self._propose_for(call, StartWave(name, run))
            case PauseWaveCall(name=name, run=run):
                reason = "an operator paused it"
                return self._propose_for(call, PauseWave(name, run, reason))
            case AbortWaveCall(name=name, run=run):
                return self._propose_for(call, AbortWave(name, run))
            case DescribeWave(name=name):
                return [Respond(call.call_id, self._describe(name, now))]
            case ExplainWave(name=name):
                return [Respond(call.call_id, self._explain(name))]
        return []

    def _propose_for(self, call: CallInput, command: msgspec.Struct) -> list[Effect]:
        self._count += 1
        token = f"{self.name}/call/{self._count}"
        self._answers[token] = call.call_id
        return [Propose(token, command)]

    def _describe(self, name: str, now: float) -> Answer:
        table = self._folder.folder.waves.get(name)
        wave = self._waves.find(name)
        if table is None and wave is None:
            return _refuse_unknown(name)
        return Answer(200, estimate_wave(name, wave, table, self._pools, now))

    def _explain(self, name: str) -> Answer:
        wave = self._waves.find(name)
        if wave is None:
            return _refuse_unknown(name)
        return Answer(200, Explanation(name, wave.state.value, list(wave.reasons)))


def _refuse_unknown(name: str) -> Answer:
    detail = f"wave {name} is not known"
    return refuse(ProblemType.NOT_FOUND, Outcome.NOT_RUN, detail)


def _record(command: msgspec.Struct) -> list[Effect]:
    match command:
        case GrantWaveDrain(instance=instance, wave=wave):
            return [Record(Event.INSTANCE_DRAINING, instance, {"wave": wave})]
        case GrantReboot(instance=instance, wave=wave):
            return [Record(Event.INSTANCE_REBOOTING, instance, {"wave": wave})]
        case StartWave(wave=wave, run=run):
            return [Record(Event.WAVE_STARTED, wave, {"run": run})]
        case PauseWave(wave=wave, reason=reason):
            return [Record(Event.WAVE_PAUSED, wave, {"reason": reason})]
    return []
