"""Commands that one daemon has proposed and that have not ended."""

from dataclasses import dataclass

import msgspec

from gypsumwalk.effects import Effect, Propose, Raise
from gypsumwalk.inputs import ProposalOutcome, ProposalStatus
from gypsumwalk.part import NEVER
from gypsumwalk.replication import Forward
from gypsumwalk.sessions import WINDOW, Sessions, Verdict
from gypsumwalk.state import Accepted, Rejected

__all__ = ["Proposals"]

MAX_PENDING = 256
MAX_SPREAD = WINDOW // 2
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
    """Numbers a daemon's commands and sends them again until they end.

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
        """Time in seconds at which a proposal is sent again or given up."""
        return self._wakeup if self._pending else NEVER

    def add(self, proposal: Propose, now: float) -> bool:
        """Take in a proposal; false if too many are pending.

        Parameters
        ----------
        proposal : Propose
            The proposal.
        now : float
            Time in seconds.

        Returns
        -------
        bool
            Whether it was taken.
        """
        oldest = next(iter(self._pending), self._sequence)
        spread = self._sequence - oldest
        if len(self._pending) >= MAX_PENDING or spread >= MAX_SPREAD:
            return False
        self._sequence += 1
        command = msgspec.msgpack.encode(proposal.command)
        forward = Forward(self._incarnation, self._sequence, command)
        deadline = now + proposal.timeout
        self._pending[self._sequence] = _Pending(proposal.token, forward, deadline, now)
        self._wakeup = min(self._wakeup, now)
        return True

    def take_due(self, now: float) -> list[Forward]:
        """Return the commands to send now; they count as sent.

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
        self._plan()
        return [item.forward for item in due]

    def hurry(self, now: float) -> None:
        """Send every pending command again at once, as the leader changed."""
        for item in self._pending.values():
            item.due = now
        self._plan()

    def postpone(self, now: float) -> None:
        """Try again later, as there is no leader."""
        for item in self._pending.values():
            item.due = max(item.due, now + RESEND_SECONDS)
        self._plan()

    def expire(self, now: float) -> list[Effect]:
        """Give up proposals whose time is over.

        Parameters
        ----------
        now : float
            Time in seconds.

        Returns
        -------
        list of Effect
            Their outcomes.
        """
        late = [key for key, item in self._pending.items() if item.deadline <= now]
        effects: list[Effect] = []
        for sequence in late:
            item = self._pending.pop(sequence)
            status = ProposalStatus.UNKNOWN
            if not item.sent:
                status = ProposalStatus.NOT_COMMITTED
            effects.append(Raise(ProposalOutcome(item.token, status)))
        self._plan()
        return effects

    def settle(
        self,
        origin: str,
        incarnation: int,
        sequence: int,
        index: int,
        result: msgspec.Struct,
    ) -> list[Effect]:
        """Return the outcome of a command just applied, if it is this daemon's.

        Parameters
        ----------
        origin : str
            Daemon that proposed the command.
        incarnation : int
            Incarnation of that daemon.
        sequence : int
            Number of the command.
        index : int
            Its index in the log.
        result : msgspec.Struct
            Its result.

        Returns
        -------
        list of Effect
            The outcome, or nothing.
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

    def settle_repeated(
        self, origin: str, incarnation: int, sequence: int, verdict: Verdict
    ) -> list[Effect]:
        """Return the outcome of a command found in the log a second time."""
        if not verdict.index:
            return []
        try:
            result = _decoder.decode(verdict.result)
        except msgspec.MsgspecError:
            return self._give_up(origin, incarnation, sequence)
        return self.settle(origin, incarnation, sequence, verdict.index, result)

    def settle_from(self, sessions: Sessions) -> list[Effect]:
        """Return the outcomes of commands that a snapshot shows as applied."""
        effects: list[Effect] = []
        for sequence in list(self._pending):
            source = (self._name, self._incarnation, sequence)
            verdict = sessions.check(*source)
            if not verdict.fresh:
                effects += self.settle_repeated(*source, verdict)
        return effects

    def _give_up(self, origin: str, incarnation: int, sequence: int) -> list[Effect]:
        if origin != self._name or incarnation != self._incarnation:
            return []
        item = self._pending.pop(sequence, None)
        if item is None:
            return []
        return [Raise(ProposalOutcome(item.token, ProposalStatus.UNKNOWN))]

    def _plan(self) -> None:
        times = [min(item.due, item.deadline) for item in self._pending.values()]
        self._wakeup = min(times, default=NEVER)
