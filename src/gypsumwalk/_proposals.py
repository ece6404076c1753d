"""Pending proposals of one part, at most one per key."""

import msgspec

from gypsumwalk.effects import Effect, Propose
from gypsumwalk.inputs import ProposalOutcome

__all__ = ["PendingProposals"]


class PendingProposals:
    """Prevents a part from proposing a step again while it is pending.

    Parameters
    ----------
    part : str
        Name of the part, used as the prefix of proposal tokens.
    """

    def __init__(self, part: str) -> None:
        self._part = part
        self._count = 0
        self._keys: dict[str, str] = {}
        self._tokens: dict[str, str] = {}

    def propose(self, key: str, command: msgspec.Struct) -> list[Effect]:
        """Propose a command unless one with the same key is pending.

        Parameters
        ----------
        key : str
            Identifier of the step.
        command : msgspec.Struct
            The command.

        Returns
        -------
        list of Effect
            The proposal; empty if one is pending.
        """
        if key in self._keys:
            return []
        self._count += 1
        token = f"{self._part}/{self._count}"
        self._keys[key] = token
        self._tokens[token] = key
        return [Propose(token, command)]

    def settle(self, outcome: ProposalOutcome) -> str:
        """Remove a proposal that has an outcome, and return its key.

        Parameters
        ----------
        outcome : ProposalOutcome
            The outcome.

        Returns
        -------
        str
            Key of the step, empty if the proposal is not pending.
        """
        key = self._tokens.pop(outcome.token, "")
        self._keys.pop(key, None)
        return key
