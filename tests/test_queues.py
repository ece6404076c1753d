"""Tests of service queues, fair shares, retry budgets and demands."""

import unittest
from collections import Counter
from random import Random

from gypsumwalk.queues import Flow, Pick, ServiceQueue
from gypsumwalk.retries import RetryBudget, draw_backoff
from gypsumwalk.shares import FairShares

NOW = 1000.0
SEATS = Flow("seats", False)
HOLDS = Flow("holds", False)
URGENT = Flow("seats", True)


class TestFairShares(unittest.TestCase):
    def test_service_follows_weights_and_the_cost_of_the_work(self):
        shares = FairShares()
        weights = {"seats": 2.0, "holds": 1.0}
        seconds = {"seats": 0.4, "holds": 0.1}
        used = Counter()
        for team in weights:
            shares.activate(team)
        for _ in range(2000):
            team = shares.choose(weights)
            charged = shares.charge(team, weights[team])
            shares.settle(team, weights[team], charged, seconds[team])
            used[team] += seconds[team]
        assert 1.95 < used["seats"] / used["holds"] < 2.05

    def test_idle_team_accumulates_no_credit(self):
        shares = FairShares()
        shares.activate("seats")
        for _ in range(1000):
            shares.choose(["seats"])
            shares.charge("seats", 1.0)
        shares.activate("holds")
        runs = Counter()
        for _ in range(100):
            team = shares.choose(["seats", "holds"])
            shares.charge(team, 1.0)
            runs[team] += 1
        assert abs(runs["seats"] - runs["holds"]) <= 2

    def test_refund_undoes_a_charge(self):
        shares = FairShares()
        shares.activate("seats")
        before = shares.get_virtual_time("seats")
        charged = shares.charge("seats", 2.0)
        shares.refund("seats", 2.0, charged)
        assert abs(shares.get_virtual_time("seats") - before) < 1e-9


class TestServiceQueue(unittest.TestCase):
    def setUp(self):
        self.queue = ServiceQueue(FairShares())

    def push(self, flow, *names):
        for name in names:
            self.queue.push(flow, name, "charts", NOW)

    def test_urgent_requests_go_first_but_do_not_starve_others(self):
        self.push(SEATS, "a", "b")
        self.push(URGENT, "u", "v")
        picks = [self.queue.pick([], NOW).flow.urgent for _ in range(10)]
        assert picks == [True] * 4 + [False] + [True] * 4 + [False]

    def test_blocked_team_is_skipped(self):
        self.push(SEATS, "a")
        self.push(HOLDS, "b")
        assert self.queue.pick(["seats"], NOW) == Pick(HOLDS, "")
        assert self.queue.pick(["seats", "holds"], NOW) is None

    def test_own_and_granted_slots_alternate_within_a_team(self):
        self.push(SEATS, "a")
        self.queue.set_demand("hanbit-2", {SEATS: 5}, 1, NOW)
        grantees = [self.queue.pick([], NOW).grantee for _ in range(4)]
        assert sorted(grantees) == ["", "", "hanbit-2", "hanbit-2"]

    def test_demand_ends_when_it_is_served_or_expires(self):
        self.queue.set_demand("hanbit-2", {SEATS: 1}, 1, NOW)
        pick = self.queue.pick([], NOW)
        self.queue.reduce_demand(pick)
        assert self.queue.pick([], NOW) is None
        self.queue.set_demand("hanbit-2", {SEATS: 1}, 2, NOW)
        assert self.queue.pick([], NOW + 2.0) is None

    def test_outdated_demand_is_ignored(self):
        self.queue.set_demand("hanbit-2", {SEATS: 1}, 2, NOW)
        self.queue.set_demand("hanbit-2", {SEATS: 9, HOLDS: 1}, 1, NOW)
        self.queue.reduce_demand(self.queue.pick([], NOW))
        assert self.queue.pick([], NOW) is None

    def test_order_within_a_flow_and_the_length_of_a_queue(self):
        self.push(SEATS, "a", "b", "c")
        self.queue.push(SEATS, "retried", "charts", NOW, first=True)
        assert self.queue.peek(SEATS) == "retried"
        assert self.queue.peek_last(SEATS) == "c"
        assert self.queue.count_queued("charts") == 4
        assert self.queue.remove(SEATS, "b")
        assert not self.queue.remove(SEATS, "b")
        assert self.queue.count_queued("charts") == 3

    def test_wait_is_estimated_from_the_starts_while_requests_wait(self):
        for number in range(100):
            self.push(SEATS, str(number))
        assert self.queue.estimate_wait(urgent=False) == 0.0
        for number in range(10):
            self.queue.start(SEATS, str(number), NOW + 0.1 * (number + 1))
        assert abs(self.queue.estimate_wait(urgent=False) - 9.0) < 1e-6

    def test_urgent_requests_wait_for_urgent_ones_only(self):
        for number in range(100):
            self.push(SEATS, str(number))
        for number in range(10):
            self.queue.start(SEATS, str(number), NOW + 0.1 * (number + 1))
        assert self.queue.estimate_wait(urgent=True) == 0.0
        self.push(URGENT, *(f"u{number}" for number in range(8)))
        assert abs(self.queue.estimate_wait(urgent=True) - 1.0) < 1e-6

    def test_estimate_follows_a_rate_that_falls(self):
        for number in range(100):
            self.push(SEATS, str(number))
        for number in range(40):
            self.queue.start(SEATS, str(number), NOW + 0.1 * (number + 1))
        for number in range(40, 50):
            self.queue.start(SEATS, str(number), NOW + 4.0 + (number - 39))
        assert 40.0 < self.queue.estimate_wait(urgent=False) < 55.0


class TestRetries(unittest.TestCase):
    def test_retries_are_at_most_a_tenth_of_first_attempts(self):
        budget = RetryBudget()
        while budget.withdraw():
            pass
        allowed = 0
        for _ in range(1000):
            budget.deposit()
            allowed += budget.withdraw()
        assert 95 <= allowed <= 100

    def test_backoff_grows_within_its_bound(self):
        random = Random(1)
        for attempt, bound in ((1, 0.02), (2, 0.04), (5, 0.32), (20, 1.0)):
            delays = [draw_backoff(attempt, random) for _ in range(200)]
            assert min(delays) >= 0.0 and bound * 0.8 < max(delays) <= bound


if __name__ == "__main__":
    unittest.main()
