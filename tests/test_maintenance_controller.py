"""Tests of which machines of a wave count as down."""

import unittest
from types import SimpleNamespace
from unittest import mock

from gypsumwalk.effects import Propose
from gypsumwalk.evacuations import EvacuationSection
from gypsumwalk.inputs import (
    Committed,
    PlatformOutcome,
    ProposalOutcome,
    ProposalStatus,
)
from gypsumwalk.instance_actions import MachineReport
from gypsumwalk.machine_directory import LIST_SECONDS
from gypsumwalk.maintenance_controller import MaintenanceController
from gypsumwalk.order_cooldown import OrderCooldown
from gypsumwalk.state import Accepted
from gypsumwalk.upkeep import (
    BeginMaintenance,
    BegunMaintenance,
    NoteMaintained,
    UpkeepWave,
)
from gypsumwalk.workload_records import RemoveInstance


class Directory:
    """Directory of one machine with at most one instance."""

    machines = {}

    def __init__(self, life):
        self.life = life
        self.is_dark = False
        self.read_at = 0.0

    def is_in_service(self, machine, since):
        return not self.is_dark and self.read_at > since

    def find_instance(self, machine):
        return SimpleNamespace(life=self.life) if self.life else None


def make_controller(life):
    return MaintenanceController(
        daemon="a",
        declarations=mock.Mock(),
        upkeep=mock.Mock(loads=0),
        evacuations=EvacuationSection(),
        dispatcher=mock.Mock(),
        scheduler=mock.Mock(cordoned=set()),
        directory=Directory(life),
        cooldown=OrderCooldown("a"),
        maintenance=2.0,
    )


def make_wave(*, maintained, life="i@1"):
    begun = {"m": BegunMaintenance(life, 100.0)}
    return UpkeepWave(1, ["m"], 99.0, 20.0, 1, ["m"] if maintained else [], begun)


def is_down(controller, wave, now):
    """Tell whether the machine counts as down, by a list that was just received."""
    controller._directory.read_at = now - LIST_SECONDS
    return controller._is_down(wave, "m", now)


class TestDownMachines(unittest.TestCase):
    def is_down(self, wave, life, now=101.0):
        return is_down(make_controller(life), wave, now)

    def test_a_machine_with_an_unanswered_order_is_down(self):
        """A machine that moved to another pool as its wave began had a new incarnation
        before its order was carried out, and counted as back (LIMIT in bench, Hanbit
        quiet-1)."""
        assert self.is_down(make_wave(maintained=False), "i@2")

    def test_a_machine_is_down_until_a_new_incarnation_registers(self):
        assert self.is_down(make_wave(maintained=True), None)
        assert self.is_down(make_wave(maintained=True), "i@1")
        assert not self.is_down(make_wave(maintained=True), "i@2")

    # A leader that froze while it moved a machine did not remove the incarnation that
    # ended by the move, and this one was found once the next one had ended.
    def test_an_earlier_incarnation_that_is_still_listed_does_not_count_as_back(self):
        assert self.is_down(make_wave(maintained=True, life="i@2"), "h@1")
        assert not self.is_down(make_wave(maintained=True, life="i@2"), "h@3")

    def test_a_standby_machine_is_down_for_its_maintenance(self):
        wave = make_wave(maintained=True, life="")
        assert self.is_down(wave, None, now=102.5)
        assert not self.is_down(wave, None, now=103.5)

    # A rack without power keeps a machine from returning after its maintenance.
    def test_a_standby_machine_is_down_until_it_is_listed_in_service(self):
        controller = make_controller(None)
        wave = make_wave(maintained=True, life="")
        controller._directory.is_dark = True
        assert is_down(controller, wave, 106.0)
        controller._directory.is_dark = False
        assert not is_down(controller, wave, 106.0)

    def test_a_late_order_takes_a_standby_machine_down_late(self):
        """An order that is answered late is carried out late, and the machine is down
        from then on (LIMIT in bench, Batedores trouble-1, seed 1073466885445)."""
        controller = make_controller(None)
        controller._answered_at["m"] = 104.0
        wave = make_wave(maintained=True, life="")
        assert is_down(controller, wave, 105.5)
        assert not is_down(controller, wave, 107.5)

    def test_a_new_leader_counts_from_the_start_of_its_term(self):
        controller = make_controller(None)
        controller._term_began = 104.0
        wave = make_wave(maintained=True, life="")
        assert is_down(controller, wave, 105.5)

    def test_a_machine_that_never_returns_stops_counting_as_down(self):
        assert not self.is_down(make_wave(maintained=True), None, now=113.0)

    # The order of an earlier leader may have ended a life that moved there meanwhile.
    def test_a_machine_with_a_repeated_order_is_down_for_its_maintenance(self):
        wave = make_wave(maintained=True)
        controller = make_controller("i@2")
        controller._answered_at["m"] = 104.0
        assert is_down(controller, wave, 105.5)
        assert not is_down(controller, wave, 107.5)


class TestOrders(unittest.TestCase):
    def order(self, controller, refused=None, *, now):
        """Send an order, and return the effects of its answer, if there is one."""
        *_, call = controller._order(1, "m", now)
        if refused is None:
            return []
        report = MachineReport(refused)
        return controller.handle(
            PlatformOutcome(call.token, succeeded=True, report=report), now
        )

    def begin(self):
        controller = make_controller("i@1")
        controller._dispatcher.term = controller._term = 1
        controller._upkeep.waves = {1: make_wave(maintained=False)}
        controller._lives["m"] = "i@1"
        return controller

    def list_removed(self, effects):
        commands = [item.command for item in effects if isinstance(item, Propose)]
        return [item.life for item in commands if isinstance(item, RemoveInstance)]

    # A machine counted as back at once if its instance had changed since a refusal.
    def test_an_order_that_was_refused_first_ends_the_present_life(self):
        controller = self.begin()
        self.order(controller, "busy", now=100.0)
        controller._directory.life = "i@2"
        effects = self.order(controller, "", now=101.0)
        assert self.list_removed(effects) == ["i@2"]
        wave = make_wave(maintained=True)
        assert is_down(controller, wave, 101.5)
        controller._directory.life = "i@3"
        assert not is_down(controller, wave, 104.0)

    # The first of the orders may have been carried out, and another life have begun.
    def test_an_order_after_one_without_an_answer_ends_the_former_life(self):
        controller = self.begin()
        self.order(controller, now=100.0)
        self.order(controller, "busy", now=101.0)
        controller._directory.life = "i@2"
        effects = self.order(controller, "", now=103.0)
        assert self.list_removed(effects) == ["i@1"]

    # Guards against a machine that counted as back at once, as an order that was never
    # sent had named its former instance (issue 43).
    def test_an_order_after_one_that_was_not_sent_ends_the_present_life(self):
        controller = self.begin()
        *_, call = controller._order(1, "m", 100.0)
        controller.handle(PlatformOutcome(call.token, succeeded=False), 100.1)
        controller._directory.life = "i@2"
        effects = self.order(controller, "", now=101.0)
        assert self.list_removed(effects) == ["i@2"]
        assert is_down(controller, make_wave(maintained=True), 101.5)


class TestOrdersWithoutSuccess(unittest.TestCase):
    """An order that was not refused may still take its machine down."""

    def make(self):
        controller = make_controller("i@1")
        controller._dispatcher.term = controller._term = 1
        controller._upkeep.waves = {1: make_wave(maintained=False)}
        return controller

    def order(self, controller, now):
        *_, call = controller._order(1, "m", now)
        return call.token

    # Guards against a second machine of a wave that was ordered down beside this one
    # (review case 5).
    def test_a_machine_counts_as_down_while_its_order_is_open(self):
        controller, wave = self.make(), make_wave(maintained=False)
        token = self.order(controller, 113.0)
        assert is_down(controller, wave, 113.5)
        refused = PlatformOutcome(token, succeeded=True, report=MachineReport("busy"))
        controller.handle(refused, 113.6)
        assert not is_down(controller, wave, 113.7)

    # Guards against a late order that takes the machine down beside another one.
    def test_a_machine_counts_as_down_until_an_unanswered_order_is_over(self):
        controller, wave = self.make(), make_wave(maintained=False)
        unanswered = self.order(controller, 110.0)
        controller.handle(
            PlatformOutcome(unanswered, succeeded=False, unknown=True), 112.0
        )
        later = self.order(controller, 112.0)
        refused = PlatformOutcome(later, succeeded=True, report=MachineReport("limit"))
        controller.handle(refused, 112.1)
        assert is_down(controller, wave, 124.9)
        assert not is_down(controller, wave, 125.1)


class TestAnsweredOrders(unittest.TestCase):
    # Guards against an order right after one that another leader had repeated, as the
    # log named only the holder of the first one (issue 43).
    def test_the_holder_of_the_answered_order_counts(self):
        controller = make_controller("i@1")
        controller._dispatcher.term = 0
        controller._upkeep.ordered_at = {"m": 100.0}
        begin = BeginMaintenance(1, "m", "i@1", "a")
        controller.handle(Committed(7, begin, Accepted(7), 100.0), 100.0)
        note = NoteMaintained(1, ["m"], holder="b")
        controller.handle(Committed(9, note, Accepted(9), 106.0), 106.0)
        assert not controller._cooldown.can_order("m", 108.9)
        assert controller._cooldown.can_order("m", 109.3)

    def test_an_order_is_noted_with_its_holder(self):
        controller = make_controller("i@1")
        controller._dispatcher.term = controller._term = 1
        controller._upkeep.waves = {1: make_wave(maintained=False)}
        *_, call = controller._order(1, "m", 100.0)
        answer = PlatformOutcome(call.token, succeeded=True, report=MachineReport())
        commands = [
            item.command
            for item in controller.handle(answer, 100.1)
            if isinstance(item, Propose)
        ]
        assert NoteMaintained(1, ["m"], holder="a") in commands


class TestProposals(unittest.TestCase):
    # A wave was never completed once a note had timed out on an overloaded leader.
    def test_a_proposal_of_unknown_outcome_is_repeated(self):
        controller = make_controller("i@1")
        controller._dispatcher.term = controller._term = 1
        (proposal,) = controller._propose_maintained(1, ["m"])
        assert controller._propose_maintained(1, ["m"]) == []
        unknown = ProposalOutcome(proposal.token, ProposalStatus.UNKNOWN)
        assert controller.handle(unknown, 100.0) == [proposal]
        rejected = ProposalOutcome(proposal.token, ProposalStatus.NOT_COMMITTED)
        assert controller.handle(rejected, 101.0) == []
        assert controller._propose_maintained(1, ["m"]) == [proposal]

    # Guards against machines that got no work while the machine API was unavailable, as
    # an earlier term of the same leader had cordoned them (issue 43).
    def test_machines_that_an_earlier_term_cordoned_get_work_in_the_next(self):
        controller = make_controller(None)
        controller._dispatcher.term, controller._term = 2, 1
        controller._upkeep.list_open.return_value = [make_wave(maintained=False)]
        controller._scheduler.cordoned = {"n"}
        controller._directory.machines = {}
        controller.advance(101.0)
        assert controller._scheduler.cordoned == set()

    # The machines of one wave got new work while another wave was open.
    def test_machines_of_all_open_waves_are_cordoned(self):
        controller = make_controller(None)
        controller._dispatcher.term = controller._term = 1
        waves = [make_wave(maintained=False), make_wave(maintained=False)]
        waves[1].begun = {"n": BegunMaintenance("", 100.0)}
        waves[1].machines = ["n"]
        controller._upkeep.list_open.return_value = waves
        controller._declarations.find_standby.return_value = ""
        controller._directory.machines = {"m": None, "n": None}
        controller.advance(101.0)
        assert controller._scheduler.cordoned == {"m", "n"}


if __name__ == "__main__":
    unittest.main()
