"""Tests of the choice of voters, one single-step change at a time."""

import unittest
from dataclasses import replace

import msgspec

from gypsumwalk.progress import NOT_YET, Progress
from gypsumwalk.replication import AppendAnswer
from gypsumwalk.voter_planning import KnownDaemon, find_voter_count, plan_voters


def make_daemons(*data_centres):
    return [
        KnownDaemon(f"d{number}", data_centre, f"disk-{number}")
        for number, data_centre in enumerate(data_centres)
    ]


def list_disks(daemons):
    return {daemon.name: daemon.identity for daemon in daemons}


def settle(voters, daemons, count):
    """Apply changes until none is planned; return the voters after each of them."""
    steps = []
    while changed := plan_voters(voters, daemons, "d0", count):
        assert len(set(voters.items()) ^ set(changed.items())) <= 2
        voters = changed
        steps.append(sorted(voters))
        assert len(steps) < 20
    return steps


class TestPlanVoters(unittest.TestCase):
    def test_numbers_of_voters(self):
        assert find_voter_count(3, 0) == 3
        assert find_voter_count(3, 1) == 3
        assert find_voter_count(3, 2) == 5
        assert find_voter_count(1, 0) == 1

    def test_voters_are_added_where_there_are_the_fewest(self):
        daemons = make_daemons("a", "b", "b", "a", "b", "c", "d")
        voters = list_disks(daemons[:3])
        steps = settle(voters, daemons, 5)
        assert steps == [["d0", "d1", "d2", "d5"], ["d0", "d1", "d2", "d5", "d6"]]

    def test_learners_that_lag_or_have_no_disk_are_not_added(self):
        daemons = make_daemons("a", "b", "c", "d", "e")
        voters = list_disks(daemons[:3])
        daemons[3] = replace(daemons[3], identity="")
        daemons[4] = replace(daemons[4], is_caught_up=False)
        assert plan_voters(voters, daemons, "d0", 5) is None

    def test_a_new_disk_replaces_the_old_one_first(self):
        daemons = make_daemons("a", "b", "c", "d", "e")
        voters = list_disks(daemons[:3]) | {"d1": "lost", "d2": "lost"}
        changed = plan_voters(voters, daemons, "d0", 5)
        assert changed == voters | {"d1": "disk-1"}

    def test_lost_voters_are_replaced_one_by_one(self):
        daemons = make_daemons(*"abcdabcd")
        voters = list_disks(daemons[:5])
        for number in (1, 2):
            lost = replace(
                daemons[number], is_lost=True, is_answering=False, is_caught_up=False
            )
            daemons[number] = lost
        steps = settle(voters, daemons, 5)
        # With four voters, two lost disks would leave no majority.
        assert [len(step) for step in steps] == [6, 5, 6, 5]
        assert steps[-1] == ["d0", "d3", "d4", "d5", "d6"]

    def test_lost_voters_are_replaced_by_the_majority_that_is_left(self):
        for count, number_lost in ((3, 1), (4, 1), (5, 1), (5, 2), (7, 3)):
            daemons = make_daemons(*"abcdabcdabcd")
            voters = list_disks(daemons[:count])
            lost = {daemon.name for daemon in daemons[1 : number_lost + 1]}
            daemons[1 : number_lost + 1] = [
                replace(daemon, is_lost=True, is_answering=False, is_caught_up=False)
                for daemon in daemons[1 : number_lost + 1]
            ]
            steps = settle(voters, daemons, count)
            assert len(steps) == 2 * number_lost
            for step in steps:
                assert len(set(step) - lost) > len(step) // 2, step

    def test_no_voter_is_removed_before_a_new_leader_has_heard_of_each(self):
        daemons = make_daemons(*"abcdab")
        voters = list_disks(daemons)
        daemons[2] = replace(daemons[2], identity="")
        assert plan_voters(voters, daemons, "d0", 5) is None
        daemons[2] = replace(daemons[2], is_answering=False, is_caught_up=False)
        assert "d2" not in plan_voters(voters, daemons, "d0", 5)

    def test_a_lost_voter_stays_while_no_learner_can_replace_it(self):
        daemons = make_daemons("a", "b", "c")
        daemons[1] = replace(daemons[1], is_lost=True, is_caught_up=False)
        assert plan_voters(list_disks(daemons), daemons, "d0", 3) is None

    def test_voters_move_to_a_data_centre_without_any(self):
        daemons = make_daemons("a", "a", "b", "b", "c", "d", "d")
        voters = list_disks(daemons[:5])
        steps = settle(voters, daemons, 5)
        assert [len(step) for step in steps] == [6, 5]
        assert steps[-1] == ["d0", "d1", "d2", "d4", "d5"]

    def test_the_leader_stays_and_no_voter_moves_while_another_is_away(self):
        daemons = make_daemons("a", "a", "a", "b")
        voters = list_disks(daemons[:3])
        assert settle(voters, daemons, 3)[-1] == ["d0", "d1", "d3"]
        daemons[2] = replace(daemons[2], is_answering=False, is_caught_up=False)
        assert plan_voters(voters, daemons, "d0", 3) is None

    def test_a_voter_that_is_away_is_removed_before_one_that_answers(self):
        daemons = make_daemons("a", "a", "b", "c")
        daemons[3] = replace(daemons[3], is_answering=False, is_caught_up=False)
        voters = list_disks(daemons)
        assert sorted(plan_voters(voters, daemons, "d0", 3)) == ["d0", "d1", "d2"]

    def test_a_voter_with_a_lost_disk_is_removed_before_one_that_is_away(self):
        daemons = make_daemons("a", "a", "b", "c")
        daemons[2] = replace(daemons[2], identity="new", is_caught_up=False)
        daemons[3] = replace(daemons[3], is_answering=False, is_caught_up=False)
        voters = list_disks(daemons) | {"d2": "disk-2"}
        assert sorted(plan_voters(voters, daemons, "d0", 3)) == ["d0", "d1", "d3"]


class TestCatchUp(unittest.TestCase):
    def answer(self, peer, match, commit, now):
        peer.accept(match, match, now, now)
        peer.update_round(commit, now)
        return peer.caught_up_at

    def test_a_daemon_catches_up_with_the_entries_of_the_round(self):
        peer = Progress("d1", 1)
        peer.register_identity("disk")
        assert self.answer(peer, 0, 100, 1.0) == NOT_YET
        assert self.answer(peer, 99, 110, 2.0) == NOT_YET
        assert self.answer(peer, 100, 120, 3.0) == 1.0
        assert self.answer(peer, 119, 130, 3.1) == 1.0
        assert self.answer(peer, 121, 140, 3.2) == 3.0
        assert self.answer(peer, 140, 140, 3.3) == 3.3

    def test_a_new_disk_has_to_catch_up_with_what_the_old_one_may_have_held(self):
        peer = Progress("d1", 1)
        peer.register_identity("old")
        assert self.answer(peer, 100, 100, 1.0) == 1.0
        peer.register_identity("new")
        assert peer.caught_up_at == NOT_YET
        assert self.answer(peer, 0, 105, 1.1) == NOT_YET
        assert self.answer(peer, 104, 110, 1.2) == NOT_YET
        assert self.answer(peer, 105, 110, 1.3) == 1.1


class TestPreviousVersion(unittest.TestCase):
    def test_an_answer_without_a_data_centre_is_decoded(self):
        answer = AppendAnswer(1, True, 2, 3, 4.0, 5.0, "disk", "a")
        fields = msgspec.to_builtins(answer)
        del fields["data_centre"]
        decoded = msgspec.msgpack.decode(
            msgspec.msgpack.encode(fields), type=AppendAnswer
        )
        assert decoded.data_centre == ""


if __name__ == "__main__":
    unittest.main()
