"""Tests of which machines of a wave go next, and of what holds the others back."""

import unittest

from gypsumwalk.events import Event
from gypsumwalk.upkeep import BegunMaintenance, UpkeepWave
from gypsumwalk.wave_holds import WaveHolds
from gypsumwalk.wave_pacing import (
    HoldReason,
    WaveMachine,
    find_concurrency,
    find_hold,
    plan_wave,
)

MAINTENANCE = 2.0


def make_wave(*, duration=28.0, max_down=10, machines=()):
    return UpkeepWave(1, list(machines), 0.0, duration, max_down, [], {})


def plan(machines, now, *, max_down=1, duration=28.0, **fields):
    wave = make_wave(max_down=max_down, duration=duration)
    return plan_wave(wave, machines, now, MAINTENANCE, has_standby=False, **fields)


class TestConcurrency(unittest.TestCase):
    # Guards against a wave whose machines in use were spared for 8.6 s although it
    # needed every round, so that the last one began late (84 of 85 in time).
    def test_machines_in_use_are_not_spared_if_every_round_is_needed(self):
        wave = make_wave(max_down=10)
        assert find_concurrency(85, wave, 0.0, MAINTENANCE, has_standby=True) == 10
        assert find_concurrency(20, wave, 0.0, MAINTENANCE, has_standby=True) == 0


class TestUrgency(unittest.TestCase):
    # Guards against a round too few for machines that could not be ordered just then.
    def test_a_machine_that_is_moving_or_cooling_counts(self):
        for field in ("is_moving", "is_cooling"):
            machines = [WaveMachine("m-0"), WaveMachine("m-1", **{field: True})]
            # Two rounds of 3 s and the reserve of 4 s.
            assert not plan(machines, 28.0 - 10.1).is_urgent
            assert plan(machines, 28.0 - 9.9).is_urgent
            assert plan(machines, 28.0 - 9.9).chosen == ("m-0",)

    # Guards against a machine that can't be taken down in its last round, as it has
    # just begun to move to another pool.
    def test_machines_stay_in_their_pools_from_a_move_before_the_time_is_short(self):
        machines = [WaveMachine("m-0"), WaveMachine("m-1")]
        assert not plan(machines, 28.0 - 13.6).is_closing
        assert plan(machines, 28.0 - 13.4).is_closing

    def test_a_machine_that_is_not_listed_is_not_waited_for(self):
        machines = [WaveMachine("m-0"), WaveMachine("m-1", is_listed=False)]
        assert not plan(machines, 28.0 - 9.9).is_urgent


class TestLastingTasks(unittest.TestCase):
    """Budgets allow one lasting task at a time to be away."""

    def make(self):
        lasting = [WaveMachine(f"l-{item}", runs=1, lasting_runs=1) for item in "abc"]
        return [WaveMachine("m-0"), *lasting]

    # Guards against machines that were emptied last, when their budgets allowed too few
    # moves before the deadline (5 of 30 machines late in the simulated cluster).
    def test_their_machines_are_emptied_first_if_the_budgets_allow_few_moves(self):
        # Ten moves of 2 s, a round of 3 s and the reserve of 4 s.
        early = plan(self.make(), 0.9, move_rounds=10, movable=["l-a"])
        assert early.emptied == ()
        assert early.chosen == ("m-0",)
        late = plan(self.make(), 1.1, move_rounds=10, movable=["l-a"])
        assert late.emptied == ("l-a",)
        assert late.chosen == ("m-0", "l-a")

    # Guards against a task that starts again on the machine that it has just left.
    def test_an_emptied_machine_stays_chosen(self):
        machines = self.make()
        machines[1] = WaveMachine("l-a", runs=2, is_emptied=True)
        found = plan(machines, 3.0, move_rounds=10, movable=["l-b"])
        assert found.emptied == ("l-b", "l-a")

    def test_a_wave_without_lasting_tasks_empties_nothing_ahead(self):
        assert plan([WaveMachine("m-0", runs=2)], 27.0).emptied == ()


class TestHolds(unittest.TestCase):
    def find(self, *, has_room=True, now=0.0, **fields):
        machine = WaveMachine("m-0", **fields)
        return find_hold(machine, plan([machine], now), has_room=has_room)

    def test_each_reason(self):
        assert self.find(is_listed=False) is HoldReason.NOT_LISTED
        assert self.find(is_moving=True) is HoldReason.MOVING
        assert self.find(is_cooling=True) is HoldReason.COOLDOWN
        assert self.find(is_up=False) is HoldReason.NOT_UP
        assert self.find(runs=1, lasting_runs=1) is HoldReason.LASTING_RUN
        stopping = {"runs": 1, "lasting_runs": 1, "stopping_runs": 1}
        assert self.find(**stopping) is HoldReason.DRAINING
        assert self.find(runs=1) is HoldReason.TRANSIENT_RUN
        assert self.find(has_room=False) is HoldReason.MAX_DOWN
        assert self.find() is None

    # What never yields, however short the time is.
    def test_urgency_overrides_only_transient_runs(self):
        assert self.find(runs=1, now=27.0) is None
        assert self.find(is_cooling=True, now=27.0) is HoldReason.COOLDOWN
        assert self.find(has_room=False, now=27.0) is HoldReason.MAX_DOWN
        lasting = self.find(runs=1, lasting_runs=1, now=27.0)
        assert lasting is HoldReason.LASTING_RUN

    def test_one_machine_waits_for_the_turn_of_another(self):
        machines = [WaveMachine("m-0"), WaveMachine("m-1", runs=1)]
        found = plan(machines, 0.0)
        assert find_hold(machines[1], found, has_room=True) is HoldReason.TURN


class TestHoldEvents(unittest.TestCase):
    def report(self, holds, now, *, begun=None, **fields):
        machine = WaveMachine("m-0", **fields)
        wave = make_wave(machines=["m-0"])
        waiting = [machine]
        if begun is not None:
            wave.begun["m-0"] = BegunMaintenance("", begun)
            waiting = []
        effects = holds.report(wave, waiting, plan(waiting, now), now, has_room=True)
        assert all(item.event is Event.MACHINE_HELD_BACK for item in effects)
        return [item.attributes["reason"] for item in effects]

    # Guards against ten events a second of each machine that is left.
    def test_a_reason_is_told_once_for_each_change(self):
        holds = WaveHolds()
        assert self.report(holds, 1.0, is_moving=True) == ["moving"]
        assert self.report(holds, 3.0, is_moving=True) == []
        assert self.report(holds, 4.0, runs=1) == ["transient run"]
        assert self.report(holds, 4.1, is_moving=True) == []
        assert self.report(holds, 5.1, is_moving=True) == ["moving"]
        assert self.report(holds, 6.2) == []

    def test_an_order_without_success_is_told(self):
        holds = WaveHolds()
        assert self.report(holds, 1.5, begun=1.0) == []
        assert self.report(holds, 2.5, begun=1.0) == ["its order had no success"]


if __name__ == "__main__":
    unittest.main()
