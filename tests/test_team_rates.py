"""Tests of the rates of submission of teams."""

import unittest

from gypsumwalk.team_rates import MIN_KEPT_JOBS, TeamRates

WEIGHTS = {"hot": 2.0, "slow": 0.1, "free": 0.0}


def make_rates():
    return TeamRates(lambda team: WEIGHTS.get(team, 0.0))


def count_excess(rates, team, per_second, seconds, begin=0.0):
    return sum(
        rates.record_job(f"{team}-{number}", team, begin + number / per_second)
        for number in range(int(per_second * seconds))
    )


class TestTeamRates(unittest.TestCase):
    """A team submits 6.4 times its weight beside others that keep to theirs."""

    def test_what_is_beyond_the_weight_is_excess(self):
        # 20 within the weight and a burst of 2, of 128.
        self.assertAlmostEqual(
            count_excess(make_rates(), "hot", 12.8, 10), 107, delta=1
        )

    def test_a_team_at_its_weight_has_no_excess(self):
        assert count_excess(make_rates(), "hot", 2.0, 60) == 0

    def test_a_team_may_submit_one_second_of_its_weight_at_once(self):
        rates = make_rates()
        found = [rates.record_job(str(number), "hot", 5.0) for number in range(3)]
        assert found == [False, False, True]
        assert [rates.is_excess(str(number)) for number in range(3)] == found

    # The bucket of a team with a weight below 1 never held a whole job.
    def test_a_team_with_a_low_weight_may_submit_a_job(self):
        rates = make_rates()
        assert not rates.record_job("a", "slow", 0.0)
        assert rates.record_job("b", "slow", 5.0)
        assert not rates.record_job("c", "slow", 15.0)

    def test_a_team_without_a_weight_has_no_excess(self):
        assert count_excess(make_rates(), "free", 100.0, 2) == 0
        assert count_excess(make_rates(), "", 100.0, 2) == 0

    # A new leader's clock was 2 s behind, and nothing was filled for as long.
    def test_a_clock_that_is_behind_stops_the_filling_only_once(self):
        rates = make_rates()
        count_excess(rates, "hot", 2.0, 10)
        assert count_excess(rates, "hot", 2.0, 10, begin=8.0) <= 1

    def test_two_daemons_find_the_same_excess_whatever_their_clocks(self):
        found = [count_excess(make_rates(), "hot", 7.0, 5) for _ in range(2)]
        assert found[0] == found[1] > 0

    def test_the_question_changes_nothing(self):
        rates = make_rates()
        assert not rates.would_exceed("hot", 0.0)
        for number in range(2):
            assert not rates.would_exceed("hot", 0.0)
            rates.record_job(str(number), "hot", 0.0)
        assert rates.would_exceed("hot", 0.0)
        assert not rates.would_exceed("hot", 0.5)

    def test_ended_jobs_are_forgotten(self):
        rates = make_rates()
        count = 3 * MIN_KEPT_JOBS
        for number in range(count):
            rates.record_job(str(number), "hot", 0.0)
            rates.discard_ended({str(number)})
        assert len(rates._excess) <= MIN_KEPT_JOBS + 1
        assert rates.is_excess(str(count - 1))


if __name__ == "__main__":
    unittest.main()
