"""Controller of instances and pools: losses, dwell times, moves."""

from collections.abc import Sequence

from gypsumwalk._proposal_answers import answer_outcome
from gypsumwalk._proposals import PendingProposals
from gypsumwalk.effects import Answer, Effect, Propose, Record, Respond
from gypsumwalk.events import Event
from gypsumwalk.heartbeats import HeartbeatTable
from gypsumwalk.inputs import CallInput, Committed, Input, ProposalOutcome
from gypsumwalk.instances import InstanceRecord, InstanceState
from gypsumwalk.operator_calls import (
    INSTANCE_ENDPOINTS,
    ExplainInstance,
    Explanation,
    InstanceList,
    InstanceStatus,
    ListInstances,
    ListPools,
    MoveInstanceCall,
    PoolList,
    PoolStatus,
)
from gypsumwalk.operator_checks import refuse_non_operator
from gypsumwalk.pool_commands import (
    CancelDrain,
    LoseInstance,
    MoveInstance,
    ReassignInstance,
    ReconcileInstances,
    RecoverInstance,
    SettleInstance,
)
from gypsumwalk.pools import PoolSection
from gypsumwalk.problems import Outcome, ProblemType, refuse
from gypsumwalk.state import Accepted
from gypsumwalk.views import FolderView, KeyView, LeadershipView

__all__ = ["ENDPOINTS", "PoolController"]

ENDPOINTS = INSTANCE_ENDPOINTS
PERIOD_SECONDS = 1.0
"""Interval between two reconciliation passes."""
SCAN_INTERVAL_SECONDS = 10.0
"""Interval between two passes over all instances."""
JOIN_DWELL_SECONDS = 2.0
"""Time for which an instance has to be healthy before it joins a pool."""
DEFAULT_DWELL_SECONDS = 60.0
"""Dwell time of instances whose pool belongs to no wave."""

SETTLING_STATES = (InstanceState.JOINING, InstanceState.DWELLING)
"""States that an instance leaves after it was healthy for its dwell time."""
MONITORED_STATES = (
    InstanceState.JOINING,
    InstanceState.ACTIVE,
    InstanceState.DRAINING,
    InstanceState.DRAINED,
    InstanceState.DWELLING,
    InstanceState.QUARANTINED,
)
"""States in which an instance is expected to send heartbeats."""
TRANSIENT_STATES = (
    InstanceState.JOINING,
    InstanceState.DRAINING,
    InstanceState.DRAINED,
    InstanceState.DWELLING,
    InstanceState.QUARANTINED,
    InstanceState.LOST,
)
"""States that an instance leaves by a transition of this controller."""
CANCELLABLE_STATES = (InstanceState.DRAINING, InstanceState.DRAINED)
"""States in which a drain can be cancelled."""


class PoolController:
    """Reconciles instance records with heartbeats and the folder on the leader.

    Parameters
    ----------
    pools : PoolSection
        Instances and their pools.
    heartbeats : HeartbeatTable
        Last heartbeat of each instance.
    keys : KeyView
        Keys of operators.
    folder : FolderView
        The configuration.
    leadership : LeadershipView
        Current leadership.
    """

    name = "pools"
    accepts = (
        ListPools,
        ListInstances,
        ExplainInstance,
        MoveInstanceCall,
        LoseInstance,
        ReassignInstance,
    )

    def __init__(
        self,
        *,
        pools: PoolSection,
        heartbeats: HeartbeatTable,
        keys: KeyView,
        folder: FolderView,
        leadership: LeadershipView,
    ) -> None:
        self.wakeup = 0.0
        self._pools = pools
        self._heartbeats = heartbeats
        self._keys = keys
        self._folder = folder
        self._leadership = leadership
        self._proposals = PendingProposals(self.name)
        self._call_ids: dict[str, int] = {}
        self._call_count = 0
        self._is_leading = False
        self._healthy_since: dict[str, float] = {}
        self._scan_at = 0.0

    def handle(self, item: Input, now: float) -> Sequence[Effect]:
        """Handle one input.

        Parameters
        ----------
        item : Input
            The input.
        now : float
            Time in seconds.

        Returns
        -------
        Sequence[Effect]
            Answers and events.
        """
        match item:
            case CallInput(body=MoveInstanceCall()):
                return self._handle_move(item, now)
            case CallInput():
                return [Respond(item.call_id, self._answer(item, now))]
            case Committed(command=LoseInstance() as command, result=Accepted()):
                reason = {"reason": command.reason}
                return [Record(Event.INSTANCE_LOST, command.instance, reason)]
            case Committed(command=ReassignInstance() as command, result=Accepted()):
                return self._record_move(command.instance)
            case ProposalOutcome(token=token) if token in self._call_ids:
                return [Respond(self._call_ids.pop(token), answer_outcome(item))]
            case ProposalOutcome():
                self._proposals.settle(item)
        return []

    def _record_move(self, instance: str) -> list[Effect]:
        record = self._pools.find(instance)
        pool = {"pool": record.pool if record else ""}
        return [Record(Event.INSTANCE_MOVED, instance, pool)]

    def advance(self, now: float) -> Sequence[Effect]:
        """Propose the commands that are due.

        Parameters
        ----------
        now : float
            Time in seconds.

        Returns
        -------
        Sequence[Effect]
            Proposals.
        """
        self.wakeup = now + PERIOD_SECONDS
        if not self._leadership.holds_lease(now):
            self._is_leading = False
            return []
        if not self._is_leading:
            self._is_leading = True
            self._heartbeats.reset(now)
            self._healthy_since.clear()
            self._scan_at = now
        effects: list[Effect] = []
        if self._folder.generation != self._pools.generation:
            command = ReconcileInstances(self._folder.generation)
            effects += self._proposals.propose("reconcile", command)
        for record in self._select_instances(now):
            effects += self._reconcile_instance(record, now)
        return effects

    def _select_instances(self, now: float) -> list[InstanceRecord]:
        """Return all instances once per scan interval, else those that may be due."""
        if now >= self._scan_at:
            self._scan_at = now + SCAN_INTERVAL_SECONDS
            return list(self._pools.list_instances())
        selected = {
            record.name: record
            for record in self._pools.list_by_state(*TRANSIENT_STATES)
        }
        timed_out = self._heartbeats.list_timed_out(now)
        for name in timed_out + self._heartbeats.pop_rebooted():
            record = self._pools.find(name)
            if record is not None:
                selected[name] = record
        return list(selected.values())

    def _reconcile_instance(self, record: InstanceRecord, now: float) -> list[Effect]:
        name = record.name
        if record.state is InstanceState.LOST:
            if self._heartbeats.is_unresponsive(name, now) or record.reboot_index:
                return []
            boots = self._heartbeats.find_boots(name)
            return self._proposals.propose(name, RecoverInstance(name, boots))
        if record.state in MONITORED_STATES and record.is_counted:
            reason = self._find_loss_reason(record, now)
            if reason:
                return self._proposals.propose(name, LoseInstance(name, reason))
        if record.state in SETTLING_STATES:
            return self._reconcile_settling(record, now)
        self._healthy_since.pop(name, None)
        if record.state in CANCELLABLE_STATES:
            return self._reconcile_draining(record)
        if record.state is InstanceState.ACTIVE:
            return self._reconcile_active(record, now)
        return []

    def _find_loss_reason(self, record: InstanceRecord, now: float) -> str:
        if self._heartbeats.is_lost(record.name, now):
            return "no heartbeat"
        if self._heartbeats.find_boots(record.name) > record.boots:
            return "it booted unexpectedly"
        return ""

    def _reconcile_settling(self, record: InstanceRecord, now: float) -> list[Effect]:
        name = record.name
        if self._heartbeats.is_unresponsive(name, now):
            self._healthy_since.pop(name, None)
            return []
        since = self._healthy_since.setdefault(name, now)
        dwell = self._find_dwell_seconds(record)
        if now - since < dwell:
            return []
        boots = self._heartbeats.find_boots(name)
        return self._proposals.propose(name, SettleInstance(name, dwell, boots))

    def _find_dwell_seconds(self, record: InstanceRecord) -> float:
        if record.state is InstanceState.JOINING:
            return JOIN_DWELL_SECONDS
        dwells = [
            wave.dwell_seconds
            for wave in self._folder.folder.waves.values()
            if record.pool in wave.pools
        ]
        return max(dwells, default=DEFAULT_DWELL_SECONDS)

    def _reconcile_draining(self, record: InstanceRecord) -> list[Effect]:
        name = record.name
        unavailable_count = self._pools.count_unavailable(record.pool)
        if unavailable_count > self._pools.find_budget(record.pool):
            reason = f"pool {record.pool} has {unavailable_count} instances unavailable"
            return self._proposals.propose(name, CancelDrain(name, reason))
        is_moving = record.purpose.startswith("move/") or record.purpose == "retire"
        if is_moving and record.state is InstanceState.DRAINED:
            return self._proposals.propose(name, ReassignInstance(name))
        return []

    def _reconcile_active(self, record: InstanceRecord, now: float) -> list[Effect]:
        if record.name in self._folder.folder.instances:
            return []
        unresponsive = self._heartbeats.list_unresponsive(
            self._pools.list_members(record.pool), now
        )
        command = MoveInstance(record.name, record.pool, "", unresponsive)
        return self._proposals.propose(record.name, command)

    # Operator calls.

    def _handle_move(self, call: CallInput, now: float) -> list[Effect]:
        if refusal := refuse_non_operator(self._keys, call.credential, now):
            return [Respond(call.call_id, refusal)]
        assert isinstance(call.body, MoveInstanceCall)
        record = self._pools.find(call.body.name)
        if record is None or not call.body.destination:
            detail = (
                f"instance {call.body.name} is not known, "
                "or the call names no destination pool"
            )
            refusal = refuse(ProblemType.NOT_FOUND, Outcome.NOT_RUN, detail)
            return [Respond(call.call_id, refusal)]
        self._call_count += 1
        token = f"{self.name}/call/{self._call_count}"
        self._call_ids[token] = call.call_id
        command = MoveInstance(record.name, record.pool, call.body.destination)
        return [Propose(token, command)]

    def _answer(self, call: CallInput, now: float) -> Answer:
        if refusal := refuse_non_operator(self._keys, call.credential, now):
            return refusal
        match call.body:
            case ListPools():
                return Answer(200, self._list_pools())
            case ListInstances():
                return Answer(200, self._list_instances())
            case ExplainInstance(name=name):
                return self._explain(name)
        return refuse(ProblemType.NOT_FOUND, Outcome.NOT_RUN)

    def _list_pools(self) -> PoolList:
        return PoolList(
            [
                PoolStatus(
                    name=name,
                    instances=self._pools.list_members(name),
                    unavailable=self._pools.count_unavailable(name),
                    max_unavailable=table.max_unavailable,
                    spare=table.spare,
                )
                for name, table in sorted(self._folder.folder.pools.items())
            ]
        )

    def _list_instances(self) -> InstanceList:
        records = sorted(self._pools.list_instances(), key=lambda record: record.name)
        return InstanceList(
            [
                InstanceStatus(
                    name=record.name,
                    pool=record.pool,
                    data_centre=record.data_centre,
                    rack=record.rack,
                    state=record.state.value,
                    purpose=record.purpose,
                )
                for record in records
            ]
        )

    def _explain(self, name: str) -> Answer:
        record = self._pools.find(name)
        if record is None:
            detail = f"instance {name} is not known"
            return refuse(ProblemType.NOT_FOUND, Outcome.NOT_RUN, detail)
        return Answer(200, Explanation(name, record.state.value, list(record.reasons)))
