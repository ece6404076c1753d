"""Tests of the routing of inputs and outcomes between the parts of one daemon."""

import unittest

import msgspec

from gypsumwalk.effects import Propose, Raise, Respond, SendPeer
from gypsumwalk.inputs import CallInput, ProposalOutcome, ProposalStatus
from gypsumwalk.node import Node
from gypsumwalk.part import NEVER


class Ping(msgspec.Struct, frozen=True, tag=True):
    text: str


class EchoPart:
    name = "echo"
    accepts = (Ping,)
    wakeup = NEVER

    def __init__(self):
        self.outcomes = []

    def handle(self, item, now):
        if isinstance(item, ProposalOutcome):
            self.outcomes.append(item.token)
            return [SendPeer("b", Ping(item.token))]
        return [Propose("echo/1", item.body)]

    def advance(self, now):
        return []


class ReplicatorPart:
    name = "replicator"
    accepts = ()
    wakeup = NEVER

    def handle(self, item, now):
        return []

    def advance(self, now):
        return []

    def propose(self, proposal, now):
        return [Raise(ProposalOutcome(proposal.token, ProposalStatus.COMMITTED, 1))]


class TestNode(unittest.TestCase):
    def setUp(self):
        self.echo = EchoPart()
        replicator = ReplicatorPart()
        self.node = Node([self.echo, replicator], replicator)

    def test_proposal_outcome_returns_to_the_part_that_proposed(self):
        effects = self.node.handle(CallInput(1, Ping("x")), 0.0)
        assert effects == [SendPeer("b", Ping("echo/1"))]
        assert self.echo.outcomes == ["echo/1"]

    def test_call_accepted_by_no_part_is_refused_as_not_run(self):
        class Unknown(msgspec.Struct):
            pass

        (effect,) = self.node.handle(CallInput(7, Unknown()), 0.0)
        assert isinstance(effect, Respond)
        assert effect.call_id == 7
        assert effect.answer.status == 404
        assert effect.answer.body.outcome == "not run"


if __name__ == "__main__":
    unittest.main()
