"""Proposals of one part that are still without an outcome."""

import msgspec

from gypsumwalk.effects import Effect, Propose
from gypsumwalk.inputs import ProposalOutcome

__all__ = ["PendingProposals"]


class PendingProposals:
    """Keeps a part from proposing the same step twice at a time.

    Parameters
    ----------
    part : str
        Name of the part, which starts the tokens.
    """

    def __init__(self, part: str) -> None:
        self._part = part
        self._count = 0
        self._keys: dict[str, str] = {}
        self._tokens: dict[str, str] = {}

    def propose(self, key: str, command: msgspec.Struct) -> list[Effect]:
        """Propose a command unless one under the same key is on its way.

        Parameters
        ----------
        key : str
            Identifier of the step.
        command : msgspec.Struct
            The command.

        Returns
        -------
        list of Effect
            The proposal, or nothing.
        """
        if key in self._keys:
            return []
        self._count += 1
        token = f"{self._part}/{self._count}"
        self._keys[key] = token
        self._tokens[token] = key
        return [Propose(token, command)]

    def settle(self, outcome: ProposalOutcome) -> str:
        """Forget a proposal that has an outcome, and return its key.

        Parameters
        ----------
        outcome : ProposalOutcome
            The outcome.

        Returns
        -------
        str
            Key of the step, or empty if it is not known.
        """
        key = self._tokens.pop(outcome.token, "")
        self._keys.pop(key, None)
        return key
