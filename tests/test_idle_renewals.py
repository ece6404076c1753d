"""Tests that idle instances share a budget of renewals, and that no other one waits."""

import unittest
from collections import Counter

import msgspec

from gypsumwalk.inputs import PlatformOutcome
from gypsumwalk.instance_actions import RenewLease, StartRun, StopRun
from gypsumwalk.workload_records import RegisterInstance
from tests._stepped_leader import BEGIN, SteppedLeader

MANY = 1600
BUDGET = 400
SETTLED_SECONDS = 6.0
TICK_SECONDS = 0.05


def count_renewals(leader, since):
    """Return the number of renewals of each instance."""
    return Counter(
        action.instance
        for at, action in leader.calls
        if isinstance(action, RenewLease) and at >= since
    )


def make_idle_fleet(instances=MANY, **options):
    leader = SteppedLeader(instances, **options)
    leader.run(SETTLED_SECONDS)
    leader.calls.clear()
    return leader


class TestBudget(unittest.TestCase):
    # 3,000 idle instances got 3,750 calls a second, more than all cores can make.
    def test_idle_instances_share_400_renewals_a_second(self):
        leader = make_idle_fleet()
        leader.run(8.0)
        renewals = count_renewals(leader, BEGIN)
        assert 7.5 * BUDGET <= renewals.total() <= 8.5 * BUDGET, renewals.total()
        # Each of them gets its turn.
        assert len(renewals) == MANY
        assert set(renewals.values()) <= {1, 2, 3}, Counter(renewals.values())

    def test_no_second_gets_more_than_the_budget(self):
        leader = make_idle_fleet()
        for _ in range(6):
            begin = leader.now
            leader.run(1.0)
            assert count_renewals(leader, begin).total() <= 1.1 * BUDGET

    def test_up_to_320_idle_instances_are_called_without_a_break(self):
        leader = make_idle_fleet(320)
        leader.run(8.0)
        renewals = count_renewals(leader, BEGIN)
        assert set(renewals.values()) <= {9, 10}, Counter(renewals.values())

    def test_the_first_read_of_each_instance_is_not_delayed(self):
        leader = SteppedLeader(MANY)
        leader.run(0.05)
        assert len(count_renewals(leader, BEGIN)) == MANY
        leader.run(1.0)
        born = msgspec.structs.replace(leader.instances["i-3"].registered, born=5000)
        leader.instances["i-3"].registered = born
        leader.calls.clear()
        leader.commit(RegisterInstance(born))
        leader.run(0.06)
        assert count_renewals(leader, BEGIN)["i-3"] >= 1

    def test_short_runs_take_no_further_slots(self):
        """Each run begins and ends before the slot of its instance."""
        leader = make_idle_fleet(task_seconds=0.1)
        for number in range(600):
            leader.submit(f"job-{number}", 1, service=number % 5)
            leader.run(0.01)
        begin = leader.now
        leader.run(MANY / BUDGET + 1.0)
        assert len(count_renewals(leader, begin)) == MANY


class TestExceptions(unittest.TestCase):
    def run_one(self, leader):
        leader.submit("job", 1)
        leader.run(0.02)
        [run] = leader.dispatcher.lease_table.list_runs()
        return run.life.partition("@")[0]

    def test_an_instance_with_a_run_is_called_at_the_next_tick(self):
        leader = make_idle_fleet(task_seconds=30.0)
        begin = leader.now
        instance = self.run_one(leader)
        leader.run(TICK_SECONDS)
        assert count_renewals(leader, begin)[instance] >= 1
        leader.calls.clear()
        leader.run(8.0)
        # Once for each long poll.
        assert count_renewals(leader, BEGIN)[instance] >= 9

    def test_the_end_of_a_run_is_acknowledged_at_once(self):
        leader = make_idle_fleet(task_seconds=0.5)
        instance = self.run_one(leader)
        leader.run(0.6)
        assert leader.dispatcher.lease_table.list_runs() == []
        assert leader.instances[instance].ended == []
        assert leader.instances[instance].last_end == 1

    def test_an_instance_with_an_unknown_run_is_called_until_it_has_ended(self):
        leader = make_idle_fleet()
        leader.instances["i-5"].running["job.0.0.0", 7] = True
        # The order to stop it gets lost.
        call = leader._call
        leader._call = lambda effect: (
            None if isinstance(effect.action, StopRun) else call(effect)
        )
        leader.run(MANY / BUDGET + 1.0)
        leader.calls.clear()
        leader.run(4.0)
        assert count_renewals(leader, BEGIN)["i-5"] >= 4

    def test_an_instance_with_a_start_of_unknown_outcome_is_called_without_a_break(
        self,
    ):
        """A late copy of the start has to be noticed, and stopped."""
        leader = make_idle_fleet()
        call = leader._call

        def lose_starts(effect):
            if not isinstance(effect.action, StartRun):
                call(effect)
                return
            lost = PlatformOutcome(effect.token, succeeded=False, unknown=True)
            leader.schedule(1.0, lambda: leader.handle(lost))

        leader._call = lose_starts
        instance = self.run_one(leader)
        leader.run(1.2)
        [run] = leader.dispatcher.lease_table.list_runs()
        leader.dispatcher.lease_table.remove(run)
        leader.calls.clear()
        leader.run(4.0)
        assert count_renewals(leader, BEGIN)[instance] >= 4

    def test_an_instance_that_may_have_left_is_called_at_once(self):
        """It counts as silent before it gets starts again."""
        leader = make_idle_fleet()
        view = leader.get_view(9)
        begin = leader.now
        leader.instances["i-9"].is_silent = True
        leader.dispatcher.hold_starts(view.registered.life, leader.now)
        leader.run(TICK_SECONDS + 0.01)
        assert count_renewals(leader, begin)["i-9"] >= 1
        leader.run(1.94)
        assert not view.is_responsive

    def test_a_silent_instance_is_called_as_often_as_in_a_small_fleet(self):
        leader = make_idle_fleet()
        leader.instances["i-9"].is_silent = True
        leader.run(MANY / BUDGET + 2.0)
        leader.calls.clear()
        leader.run(5.0)
        assert count_renewals(leader, BEGIN)["i-9"] >= 3


if __name__ == "__main__":
    unittest.main()
