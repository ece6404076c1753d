"""Tests of load balancing, ejection, probing and slow start of targets."""

import unittest
from random import Random

from gypsumwalk.slots import OwnedTarget, OwnedTargetTable

NOW = 1000.0


def make_target(name="runner-1", **changes):
    fields = {
        "name": name,
        "service": "rebuild",
        "address": "127.0.0.1:1",
        "incarnation": 1,
        "epoch": 1,
        "slots": 8,
        "connections": 64,
        "slow_start_at": NOW - 100.0,
        "announced_at": NOW,
        "confirmed": True,
    }
    return OwnedTarget(**(fields | changes))


def make_table(*targets):
    table = OwnedTargetTable(Random(1))
    for target in targets:
        table.targets[target.name] = target
    return table


class TestOwnedTargetTable(unittest.TestCase):
    def test_less_loaded_target_gets_more_work(self):
        idle, loaded = make_target("idle"), make_target("loaded")
        loaded.busy = {str(number): NOW for number in range(4)}
        table = make_table(idle, loaded)
        for number in range(4):
            chosen = table.choose("rebuild", NOW)
            assert chosen is idle
            chosen.busy[f"new {number}"] = NOW

    def test_full_stale_leaving_and_unconfirmed_targets_are_skipped(self):
        table = make_table(
            make_target("full", slots=1, busy={"a": NOW}),
            make_target("stale", announced_at=NOW - 1.6),
            make_target("leaving", leaving=True),
            make_target("unconfirmed", confirmed=False),
            make_target("other", service="restuffing"),
        )
        assert table.choose("rebuild", NOW) is None
        assert table.count_free("rebuild", NOW) == 0

    def test_connections_limit_what_slots_allow(self):
        assert make_target(slots=8, connections=3).limit(NOW) == 3

    def test_new_target_starts_slowly(self):
        target = make_target(slow_start_at=NOW)
        assert target.limit(NOW) == 2
        assert target.limit(NOW + 1.0) == 5
        assert target.limit(NOW + 2.0) == 8

    def test_inherited_slots_count_until_they_must_have_ended(self):
        target = make_target(inherited_slots=5, inherited_until=NOW + 1.0)
        assert target.limit(NOW) == 3
        assert target.limit(NOW + 1.0) == 8

    def test_failing_target_is_ejected_then_probed_with_one_request(self):
        bad, good = make_target("bad"), make_target("good")
        table = make_table(bad, good)
        ejected = [table.record_failure(bad, NOW) for _ in range(3)]
        assert ejected == [False, False, True]
        assert {table.choose("rebuild", NOW).name for _ in range(20)} == {"good"}
        later = NOW + 2.0
        bad.announced_at = later
        assert bad.limit(later) == 1

    def test_each_ejection_lasts_twice_as_long_up_to_a_bound(self):
        bad = make_target("bad")
        table = make_table(bad, make_target("good"))
        for _ in range(3):
            table.record_failure(bad, NOW)
        ejection_seconds = []
        for _ in range(8):
            assert table.record_failure(bad, NOW)
            ejection_seconds.append(bad.ejected_until - NOW)
        assert ejection_seconds == [4.0, 8.0, 16.0, 32.0, 60.0, 60.0, 60.0, 60.0]

    def test_successful_probe_ends_the_ejection_with_a_slow_start(self):
        bad = make_target("bad")
        table = make_table(bad)
        for _ in range(3):
            table.record_failure(bad, NOW)
        table.record_success(bad, NOW + 3.0)
        assert not bad.probing
        assert bad.limit(NOW + 3.0) == 2

    def test_targets_are_not_all_ejected(self):
        targets = [make_target(f"runner-{number}") for number in range(4)]
        table = make_table(*targets)
        for target in targets:
            for _ in range(3):
                table.record_failure(target, NOW)
        assert table.choose("rebuild", NOW) is not None

    def test_lost_dispatch_occupies_its_slot_until_it_must_have_ended(self):
        target = make_target(slots=1, busy={"a": NOW + 5.0})
        target.mark_lost("a", NOW + 5.0)
        target.free_expired_lost(NOW + 4.0)
        assert not target.can_accept_work(NOW)
        target.free_expired_lost(NOW + 5.0)
        assert target.can_accept_work(NOW)

    def test_restarted_target_keeps_no_state_of_its_earlier_incarnation(self):
        target = make_target(slots=1, busy={"a": NOW + 5.0})
        target.mark_lost("a", NOW + 5.0)
        target.reset_after_restart(2, NOW)
        assert target.can_accept_work(NOW)


if __name__ == "__main__":
    unittest.main()
