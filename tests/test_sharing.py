"""Tests of fair sharing and load shedding on complete daemons under overload."""

import unittest
from collections import Counter
from contextlib import ExitStack
from random import Random
from unittest.mock import patch

from tests._request_checks import read_outcome, read_team
from tests._request_fakes import Cluster

PAIR = {"hanbit-1": "seoul", "hanbit-2": "seoul"}
SLOTS = 4
SERVICE_SECONDS = 0.1
CAPACITY = SLOTS / SERVICE_SECONDS


class TestSharing(unittest.TestCase):
    def setUp(self):
        self.cluster = Cluster(PAIR, seed=5)
        self.random = Random(5)
        self.cluster.add_target(
            "runner-1", "seoul", slots=SLOTS, service_seconds=SERVICE_SECONDS
        )
        assert self.cluster.wait_owned("runner-1")
        self.cluster.world.run(3.0)
        self.calls = []

    def run_load(self, rates, seconds, **fields):
        """Submit requests at random times, at a rate per second for each team."""
        self.schedule_load(rates, seconds, **fields)
        self.cluster.world.run(seconds)

    def schedule_load(self, rates, seconds, **fields):
        """Schedule the submission of requests at random times."""
        world = self.cluster.world
        fields.setdefault("deadline_seconds", 3.0)
        for team, rate in rates.items():
            at = self.random.expovariate(rate)
            number = 0
            while at < seconds:
                payload = f"{team}/{number}".encode()
                world.schedule(
                    at, lambda t=team, p=payload: self.submit_request(t, p, fields)
                )
                at += self.random.expovariate(rate)
                number += 1

    def submit_request(self, team, payload, fields):
        self.calls.append(self.cluster.submit(payload, team=team, **fields))

    def count_runs(self):
        executions = self.cluster.world.targets.executions
        return Counter(read_team(item.payload) for item in executions)

    def list_waits(self, team):
        started = {
            item.payload: item.started for item in self.cluster.world.targets.executions
        }
        return [
            started[call.payload] - call.sent_at
            for call in self.calls
            if read_team(call.payload) == team and call.payload in started
        ]

    def test_saturated_teams_get_slots_by_their_shares(self):
        self.cluster.add_team("seats", share=3.0)
        self.run_load({"seats": 2 * CAPACITY, "holds": 2 * CAPACITY}, 10.0)
        runs = self.count_runs()
        assert 2.7 < runs["seats"] / runs["holds"] < 3.3

    def test_peak_of_one_team_does_not_delay_another_within_its_share(self):
        self.run_load({"seats": 5 * CAPACITY, "holds": 0.25 * CAPACITY}, 10.0)
        self.cluster.world.run(1.0)
        waits = self.list_waits("holds")
        assert len(waits) == sum(read_team(c.payload) == "holds" for c in self.calls)
        assert max(waits) < 0.5

    def test_idle_shares_are_used_by_the_others(self):
        self.run_load({"seats": 3 * CAPACITY}, 10.0)
        assert self.count_runs()["seats"] > 0.95 * CAPACITY * 10.0

    def test_goodput_stays_level_past_saturation(self):
        self.run_load({"seats": 10 * CAPACITY}, 10.0)
        self.cluster.world.run(5.0)
        ran = [call for call in self.calls if call.answer.status == 200]
        assert len(ran) > 0.95 * CAPACITY * 10.0
        refused = [call for call in self.calls if call.answer.status != 200]
        assert {read_outcome(call.answer) for call in refused} == {"not run"}

    def test_most_of_an_overload_is_refused_at_once_with_a_time_to_retry(self):
        self.run_load({"seats": 10 * CAPACITY}, 10.0)
        self.cluster.world.run(5.0)
        refused = [call for call in self.calls if call.answer.status == 503]
        at_once = [c for c in refused if c.answered_at - c.sent_at < 0.1]
        assert len(at_once) > 0.7 * len(self.calls)
        assert all("Retry-After" in call.answer.headers for call in at_once)

    def test_urgent_requests_start_within_a_second_and_a_half(self):
        self.run_load({"seats": 4 * CAPACITY}, 2.0)
        self.schedule_load({"seats": 4 * CAPACITY}, 5.0)
        self.run_load({"holds": 0.2 * CAPACITY, "seats": CAPACITY}, 5.0, urgent=True)
        self.cluster.world.run(2.0)
        waits = self.list_waits("holds")
        assert len(waits) == sum(read_team(c.payload) == "holds" for c in self.calls)
        assert max(waits) < 1.5

    def test_urgent_requests_do_not_starve_the_others(self):
        for number in range(400):
            team = ("seats", "holds")[number % 2]
            fields = {"urgent": team == "seats", "deadline_seconds": 10.0}
            self.submit_request(team, f"{team}/{number}".encode(), fields)
        self.cluster.world.run(5.0)
        runs = self.count_runs()
        assert runs["holds"] >= 0.15 * sum(runs.values())

    def test_urgent_request_is_accepted_when_its_own_team_fills_the_queue(self):
        self.cluster.add_queue("charts", "rebuild", max_waiting=20)
        for number in range(100):
            self.submit_request("seats", b"seats/%d" % number, {})
        self.cluster.world.run(1.0)
        for number in range(4):
            self.submit_request("seats", b"seats/urgent %d" % number, {"urgent": True})
        self.cluster.world.run(1.5)
        assert [call.answer.status for call in self.calls[-4:]] == [200] * 4

    def test_full_queue_refuses_the_team_with_most_waiting(self):
        self.cluster.add_queue("charts", "rebuild", max_waiting=20)
        for number in range(100):
            self.submit_request("seats", b"seats/%d" % number, {})
        self.cluster.world.run(0.05)
        self.submit_request("holds", b"holds/0", {})
        assert self.cluster.world.run_until(lambda: self.calls[-1].answer, within=1.0)
        assert self.calls[-1].answer.status == 200


class TestSharingTestsCanFail(unittest.TestCase):
    """Each test of sharing fails when the decision that it covers is broken."""

    def fails(self, test, *broken):
        case = TestSharing(test)
        with ExitStack() as stack:
            for target, value in broken:
                stack.enter_context(patch(f"gypsumwalk.{target}", value))
            result = unittest.TestResult()
            case.run(result)
        return bool(result.failures)

    def test_without_weights(self):
        broken = ("shares.FairShares.choose", lambda _, teams: min(teams, default=None))
        assert self.fails("test_saturated_teams_get_slots_by_their_shares", broken)
        assert self.fails(
            "test_peak_of_one_team_does_not_delay_another_within_its_share",
            ("shares.FairShares.choose", lambda _, teams: max(teams, default=None)),
        )

    def test_with_slots_left_idle(self):
        broken = ("slots.OwnedTarget.limit", lambda *_: SLOTS - 1)
        assert self.fails("test_idle_shares_are_used_by_the_others", broken)

    def test_without_shedding(self):
        broken = [
            ("shedding.LoadShedder.is_overloaded", lambda *_: False),
            ("shedding.LoadShedder.has_too_little_time", lambda _, request, now: False),
        ]
        assert self.fails("test_goodput_stays_level_past_saturation", *broken)
        test = "test_most_of_an_overload_is_refused_at_once_with_a_time_to_retry"
        assert self.fails(test, *broken)

    def test_without_order_by_urgency(self):
        broken = (
            "queues.ServiceQueue._choose_urgent",
            lambda _, flows: are_all_urgent(flows),
        )
        test = "test_urgent_requests_start_within_a_second_and_a_half"
        assert self.fails(test, broken)

    def test_with_urgent_requests_always_first(self):
        test = "test_urgent_requests_do_not_starve_the_others"
        assert self.fails(test, ("queues.MAX_URGENT_STREAK", 10**9))

    def test_without_room_for_others_in_a_full_queue(self):
        broken = ("shedding.LoadShedder.find_victim", lambda *_, **__: None)
        test = "test_full_queue_refuses_the_team_with_most_waiting"
        assert self.fails(test, broken)


def are_all_urgent(flows):
    """Return whether only urgent flows wait."""
    return all(flow.urgent for flow in flows)


if __name__ == "__main__":
    unittest.main()
