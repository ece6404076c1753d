"""Tests of the dispatcher when the outcome of a proposal is late or unknown."""

import unittest
from unittest.mock import patch

from gypsumwalk.consensus import Consensus
from gypsumwalk.declaration_records import Resources
from gypsumwalk.effects import Propose, Raise
from gypsumwalk.inputs import ProposalOutcome, ProposalStatus
from gypsumwalk.leadership import Leadership
from gypsumwalk.leases import RunState
from gypsumwalk.proposals import Proposals
from gypsumwalk.workload_records import EndRuns, PlaceRuns, RemoveInstance, Step
from tests._fleet_work import FleetWorld
from tests._fleet_work_checks import find_duplicate_runs

JOB = "00000000000000aa"
NEED = Resources(2000, 1000)
MAX_PROPOSALS_AT_ONCE = 50


def list_planned(world):
    runs = world.get_leader().dispatcher.lease_table.list_runs()
    return [run for run in runs if run.state is RunState.PLANNED]


def answer_proposals(kind, status, *, is_replicated, limit=None):
    """Answer proposals of one kind of command with a status.

    ``is_replicated`` is whether the commands are committed none the less, and
    ``limit`` the number of proposals concerned.
    """
    original = Consensus.propose
    answered = []

    def propose(self, proposal, now):
        if not isinstance(proposal.command, kind) or (
            limit is not None and len(answered) >= limit
        ):
            return original(self, proposal, now)
        answered.append((now, proposal.command))
        same_time = sum(at == now for at, _ in answered)
        assert same_time < MAX_PROPOSALS_AT_ONCE, "endless proposals at one time"
        outcome = Raise(ProposalOutcome(proposal.token, status))
        if not is_replicated:
            return [outcome]
        renamed = Propose(f"nobody/{len(answered)}", proposal.command, 2.0)
        return [outcome, *original(self, renamed, now)]

    return patch.object(Consensus, "propose", propose), answered


class TestPlacements(unittest.TestCase):
    def submit(self, *, is_replicated):
        world = FleetWorld()
        world.begin()
        patched, answered = answer_proposals(
            PlaceRuns, ProposalStatus.UNKNOWN, is_replicated=is_replicated, limit=1
        )
        with patched:
            world.submit(JOB, [Step(3, NEED)])
            assert world.await_state(JOB, "completed", within=5.0)
        assert answered
        return world

    def test_a_placement_that_is_never_committed_is_planned_again(self):
        world = self.submit(is_replicated=False)
        assert len(world.model.history) == 3
        assert list_planned(world) == []

    def test_a_placement_committed_after_an_unknown_outcome_runs_once(self):
        world = self.submit(is_replicated=True)
        assert len(world.model.history) == 3
        assert find_duplicate_runs(world.model.history) == []

    def test_a_full_log_does_not_lose_a_placement(self):
        world = FleetWorld()
        world.begin()
        original = Leadership.handle_forward

        def drop(self, origin, forward, now):
            if self._replica.decode(forward.command).__class__ is not PlaceRuns:
                original(self, origin, forward, now)

        with patch.object(Leadership, "handle_forward", drop):
            world.submit(JOB, [Step(3, NEED)])
            world.run(2.5)
        assert world.await_state(JOB, "completed", within=5.0)
        assert find_duplicate_runs(world.model.history) == []

    def test_a_refused_placement_is_not_proposed_again_at_once(self):
        world = FleetWorld()
        world.begin()
        patched, answered = answer_proposals(
            PlaceRuns, ProposalStatus.NOT_COMMITTED, is_replicated=False
        )
        with patched:
            world.submit(JOB, [Step(3, NEED)])
            world.run(1.0)
        assert 5 <= len(answered) <= 12
        assert world.await_state(JOB, "completed", within=5.0)


class TestEnds(unittest.TestCase):
    def test_ends_with_an_unknown_outcome_are_proposed_again(self):
        for is_replicated in (False, True):
            with self.subTest(is_replicated=is_replicated):
                world = FleetWorld()
                world.begin()
                patched, answered = answer_proposals(
                    EndRuns,
                    ProposalStatus.UNKNOWN,
                    is_replicated=is_replicated,
                    limit=1,
                )
                with patched:
                    world.submit(JOB, [Step(3, NEED)])
                    assert world.await_state(JOB, "completed", within=5.0)
                    world.run(1.0)
                assert answered
                assert len(world.model.history) == 3
                assert all(item.acknowledged for item in world.model.history)

    def test_lost_ends_that_are_refused_wait_before_the_next_proposal(self):
        world = FleetWorld(task_seconds=30.0)
        world.begin()
        world.submit(JOB, [Step(3, NEED)])
        world.run(1.0)
        for number in range(3):
            world.get_instance(number).is_silent = True
        patched, answered = answer_proposals(
            EndRuns, ProposalStatus.NOT_COMMITTED, is_replicated=False
        )
        with patched:
            world.run(10.0)
        assert answered
        world.run(1.0)
        assert world.get_leader().dispatcher.lease_table.list_runs() == []


class TestBatches(unittest.TestCase):
    def test_ends_of_several_instances_are_one_command(self):
        world = FleetWorld(instances=6)
        world.begin()
        proposed = []
        original = Consensus.propose

        def propose(self, proposal, now):
            if isinstance(proposal.command, EndRuns):
                proposed.append(proposal.command)
            return original(self, proposal, now)

        with patch.object(Consensus, "propose", propose):
            world.submit(JOB, [Step(6, NEED, max_per_instance=1)])
            assert world.await_state(JOB, "completed", within=3.0)
        assert len({item.life for item in world.model.history}) == 6
        assert [len(command.ends) for command in proposed] == [6]

    def test_an_end_is_acknowledged_within_a_tenth_of_a_second(self):
        world = FleetWorld(instances=1)
        world.begin()
        world.submit(JOB, [Step(1, NEED)])
        instance = world.get_instance(0)
        assert world.run_until(lambda: instance.end_count == 1, within=3.0)
        listed = world.now
        assert world.run_until(lambda: instance.ends == [], within=3.0)
        assert world.now - listed < 0.1


class TestRemovals(unittest.TestCase):
    def test_a_refused_removal_of_an_ended_life_is_repeated(self):
        world = FleetWorld()
        world.begin()
        life = world.get_instance(0).registered.life
        world.get_instance(0).registered = world.get_instance(1).registered
        patched, answered = answer_proposals(
            RemoveInstance, ProposalStatus.UNKNOWN, is_replicated=False, limit=1
        )
        with patched:
            world.run(4.0)
        assert answered
        assert life not in world.get_leader().workloads.instances


class TestNotCommitted(unittest.TestCase):
    """``NOT_COMMITTED`` is a promise that the command is never committed."""

    def test_only_a_command_that_was_never_sent_counts_as_not_committed(self):
        proposals = Proposals("v0", 1)
        proposals.add(Propose("part/1", RemoveInstance("life"), 2.0), 0.0)
        assert len(proposals.take_due(0.0)) == 1
        proposals.postpone(1.0)
        proposals.add(Propose("part/2", RemoveInstance("life"), 1.0), 1.0)
        proposals.postpone(1.0)
        outcomes = {
            effect.input.token: effect.input.status for effect in proposals.expire(2.0)
        }
        assert outcomes == {
            "part/1": ProposalStatus.UNKNOWN,
            "part/2": ProposalStatus.NOT_COMMITTED,
        }
        proposals.resend_all(3.0)
        assert proposals.take_due(3.0) == []
