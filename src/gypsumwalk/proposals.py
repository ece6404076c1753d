"""Pending proposals of one daemon, retried until they have an outcome."""

from dataclasses import dataclass

import msgspec

from gypsumwalk.command_codec import encode_command
from gypsumwalk.effects import Effect, Propose, Raise
from gypsumwalk.inputs import ProposalOutcome, ProposalStatus
from gypsumwalk.part import NEVER
from gypsumwalk.replication import Forward
from gypsumwalk.sessions import DEDUPLICATION_WINDOW, DuplicateCheck, Sessions
from gypsumwalk.state import Accepted, Rejected

__all__ = ["Proposals"]

MAX_PENDING = 256
MAX_SEQUENCE_SPREAD = DEDUPLICATION_WINDOW // 2
"""Largest distance between pending sequence numbers; a resent command has to be within
the deduplication window."""

RESEND_SECONDS = 0.5

_decoder = msgspec.msgpack.Decoder(Accepted | Rejected)


@dataclass(slots=True)
class _Pending:
    token: str
    forward: Forward
    deadline: float
    due: float
    sent: bool = False


class Proposals:
    """Numbers a daemon's commands, and resends them until their outcome is known.

    Parameters
    ----------
    name : str
        Name of the daemon.
    incarnation : int
        Its incarnation.
    """

    def __init__(self, name: str, incarnation: int) -> None:
        self._name = name
        self._incarnation = incarnation
        self._sequence = 0
        self._pending: dict[int, _Pending] = {}
        self._wakeup = NEVER

    @property
    def wakeup(self) -> float:
        """Time in seconds at which the next proposal is resent or expires."""
        return self._wakeup if self._pending else NEVER

    def add(self, proposal: Propose, now: float) -> bool:
        """Add a proposal, unless too many are pending.

        Parameters
        ----------
        proposal : Propose
            The proposal.
        now : float
            Time in seconds.

        Returns
        -------
        bool
            Whether it was added.
        """
        oldest = next(iter(self._pending), self._sequence)
        spread = self._sequence - oldest
        if len(self._pending) >= MAX_PENDING or spread >= MAX_SEQUENCE_SPREAD:
            return False
        self._sequence += 1
        command = encode_command(proposal.command)
        forward = Forward(self._incarnation, self._sequence, command)
        deadline = now + proposal.timeout
        self._pending[self._sequence] = _Pending(proposal.token, forward, deadline, now)
        self._wakeup = min(self._wakeup, now)
        return True

    def take_due(self, now: float) -> list[Forward]:
        """Return the commands to send now, and mark them as sent.

        Parameters
        ----------
        now : float
            Time in seconds.

        Returns
        -------
        list of Forward
            The commands.
        """
        due = [item for item in self._pending.values() if item.due <= now]
        for item in due:
            item.due = now + RESEND_SECONDS
            item.sent = True
        self._update_wakeup()
        return [item.forward for item in due]

    def resend_all(self, now: float) -> None:
        """Make every pending command due now, as the leader changed."""
        for item in self._pending.values():
            item.due = now
        self._update_wakeup()

    def postpone(self, now: float) -> None:
        """Delay every pending command, as there is no leader."""
        for item in self._pending.values():
            item.due = max(item.due, now + RESEND_SECONDS)
        self._update_wakeup()

    def expire(self, now: float) -> list[Effect]:
        """End the proposals whose deadline has passed.

        A command that was never sent was not committed; any other outcome is unknown.

        Parameters
        ----------
        now : float
            Time in seconds.

        Returns
        -------
        list of Effect
            Their outcomes.
        """
        expired = [key for key, item in self._pending.items() if item.deadline <= now]
        effects: list[Effect] = []
        for sequence in expired:
            item = self._pending.pop(sequence)
            status = ProposalStatus.UNKNOWN
            if not item.sent:
                status = ProposalStatus.NOT_COMMITTED
            effects.append(Raise(ProposalOutcome(item.token, status)))
        self._update_wakeup()
        return effects

    def settle(
        self,
        origin: str,
        incarnation: int,
        sequence: int,
        index: int,
        result: msgspec.Struct,
    ) -> list[Effect]:
        """Settle a proposal of this daemon whose command was applied.

        Parameters
        ----------
        origin : str
            Daemon that proposed the command.
        incarnation : int
            Incarnation of that daemon.
        sequence : int
            Sequence number of the command.
        index : int
            Its index in the log.
        result : msgspec.Struct
            Its result.

        Returns
        -------
        list of Effect
            The outcome; empty if the command is not a pending proposal of this daemon.
        """
        if origin != self._name or incarnation != self._incarnation:
            return []
        item = self._pending.pop(sequence, None)
        if item is None:
            return []
        status = ProposalStatus.COMMITTED
        if isinstance(result, Rejected):
            status = ProposalStatus.REJECTED
        return [Raise(ProposalOutcome(item.token, status, index, result))]

    def settle_duplicate(
        self, origin: str, incarnation: int, sequence: int, prior: DuplicateCheck
    ) -> list[Effect]:
        """Settle a proposal whose command is a duplicate of an applied one."""
        if not prior.index:
            return []
        try:
            result = _decoder.decode(prior.result)
        except msgspec.MsgspecError:
            return self._settle_unknown(origin, incarnation, sequence)
        return self.settle(origin, incarnation, sequence, prior.index, result)

    def settle_from_sessions(self, sessions: Sessions) -> list[Effect]:
        """Settle the proposals whose commands were applied according to a snapshot."""
        effects: list[Effect] = []
        for sequence in list(self._pending):
            source = (self._name, self._incarnation, sequence)
            prior = sessions.check(*source)
            if not prior.fresh:
                effects += self.settle_duplicate(*source, prior)
        return effects

    def _settle_unknown(
        self, origin: str, incarnation: int, sequence: int
    ) -> list[Effect]:
        if origin != self._name or incarnation != self._incarnation:
            return []
        item = self._pending.pop(sequence, None)
        if item is None:
            return []
        return [Raise(ProposalOutcome(item.token, ProposalStatus.UNKNOWN))]

    def _update_wakeup(self) -> None:
        times = [min(item.due, item.deadline) for item in self._pending.values()]
        self._wakeup = min(times, default=NEVER)
