"""Tests of runs that lose their instance before their placement is committed.

The number of such a run may be given again by the next leader, as its log need not have
the placement. An end names a run by its number.
"""

import unittest
from unittest.mock import patch

from gypsumwalk.declaration_records import Resources
from gypsumwalk.effects import Propose
from gypsumwalk.inputs import ProposalOutcome, ProposalStatus
from gypsumwalk.workload_records import (
    EndRuns,
    PlaceRuns,
    RemoveInstance,
    Step,
    TaskKey,
)
from tests._fleet_work import FleetWorld
from tests._fleet_work_checks import find_duplicate_runs
from tests._stepped_leader import SteppedLeader

JOB = "00000000000000aa"
TASK = TaskKey(JOB, 0, 0, 0)
NEED = Resources(2000, 1000)
REMOVAL_LEAD_SECONDS = 0.0012
"""Time from the proposal of a removal to a placement, so that the removal reaches the
other daemons, and is committed only after the placement was planned."""


class HeldPlacements(SteppedLeader):
    """Leader whose placements are committed, or given up, only by ``release``."""

    def __init__(self, instances):
        super().__init__(instances, services=1, task_seconds=60.0)
        self.held = []
        self.ended = []
        """Ends that were proposed."""

    def carry_out(self, effects):
        passed = []
        for effect in effects:
            is_proposal = isinstance(effect, Propose)
            if is_proposal and isinstance(effect.command, PlaceRuns):
                self.held.append(effect)
                continue
            if is_proposal and isinstance(effect.command, EndRuns):
                self.ended += effect.command.ends
            passed.append(effect)
        super().carry_out(passed)

    def release(self, status):
        held, self.held = self.held, []
        for effect in held:
            if status is ProposalStatus.COMMITTED:
                self.commit(effect.command)
            self.handle(ProposalOutcome(effect.token, status))


def remove_instance_of_planned_run():
    leader = HeldPlacements(1)
    leader.run(0.5)
    leader.submit(JOB, 1)
    leader.run(0.1)
    assert leader.held
    life = leader.instances["i-0"].registered.life
    leader.commit(RemoveInstance(life, reason="test"))
    leader.run(0.1)
    return leader


class TestEndsOfPlannedRuns(unittest.TestCase):
    # Guards against TWICE: the end of a run whose placement is not committed reaches
    # the next leader, which has given its number to a run that goes on.
    def test_no_end_is_proposed_before_the_placement_is_committed(self):
        leader = remove_instance_of_planned_run()
        assert leader.ended == []

    def test_a_run_whose_placement_is_committed_later_ends_unsent(self):
        leader = remove_instance_of_planned_run()
        leader.release(ProposalStatus.COMMITTED)
        leader.run(0.1)
        assert [(end.task, end.run) for end in leader.ended] == [(TASK, 1)]
        assert not leader.workloads.jobs[JOB].tasks[0, 0, 0].placed
        assert leader.dispatcher.lease_table.find(TASK, 1) is None

    def test_a_run_whose_placement_is_not_committed_is_forgotten(self):
        leader = remove_instance_of_planned_run()
        leader.release(ProposalStatus.NOT_COMMITTED)
        leader.run(0.5)
        assert leader.ended == []
        assert leader.dispatcher.lease_table.find(TASK, 1) is None

    # The instance is silent until its lease has expired.
    def test_a_silent_instance_ends_no_planned_run(self):
        leader = HeldPlacements(1)
        leader.run(0.5)
        leader.submit(JOB, 1)
        leader.run(0.1)
        leader.instances["i-0"].is_silent = True
        leader.run(20.0)
        assert leader.held
        assert leader.ended == []


def cut_off_leader(heal_after):
    """Cut off a leader that plans a run on an instance whose removal is under way.

    Its removal is committed and the placement is not. Return the runs that began.
    """
    world = FleetWorld(instances=2, task_seconds=60.0)
    world.begin()
    leader = world.find_leader()
    dispatcher = world.assemblies[leader].dispatcher
    views = [world.get_view(life) for life in ("i-0@1001", "i-1@1001")]
    for view in views:
        view.start_backoff_until = world.now + 100.0
    world.submit(JOB, [Step(1, NEED)])
    world.run(1.0)
    world.lost_announcements.add("i-0")
    placements = dispatcher._modules.placements
    plan, planned = placements.plan, []

    def plan_and_cut_off(term, now):
        views[0].start_backoff_until = 0.0
        effects = plan(term, now)
        if any(isinstance(effect, Propose) for effect in effects):
            planned.append(now)
            world.partition({leader}, one_way=True)
        return effects

    with patch.object(placements, "plan", plan_and_cut_off):
        dispatcher.request_scheduling_pass(world.now)
        world._arm(world.daemons[leader])
        world.run(dispatcher.wakeup - world.now - REMOVAL_LEAD_SECONDS)
        world.propose(leader, RemoveInstance("i-0@1001", reason="test"))
        world.run(0.1)
    assert planned
    assert "i-0@1001" not in world.assemblies[leader].workloads.instances
    world.model.crash(world.get_instance(0), world.now)
    world.partition({leader})
    world.schedule(heal_after, world.heal)
    world.run(12.0)
    return world.model.history


class TestChangeOfLeader(unittest.TestCase):
    # Guards against TWICE: the next leader has given the number of the planned run to
    # one that goes on, and ends it as the former leader's proposal arrives.
    def test_no_end_of_a_planned_run_ends_one_of_the_next_leader(self):
        for heal_after in (1.2, 1.5, 1.8):
            with self.subTest(heal_after=heal_after):
                history = cut_off_leader(heal_after)
                assert find_duplicate_runs(history) == []
                assert len(history) == 1


if __name__ == "__main__":
    unittest.main()
