"""Tests of the demand forecast: bursts of short jobs, and jobs that can wait."""

import unittest
from random import Random

from gypsumwalk.demand_forecast import LEAD_SECONDS, DemandForecast

LOW_SLACK_SECONDS = 1.0
HIGH_SLACK_SECONDS = 4.0
WORK = 20_000.0  # thousandths of a core times seconds


class TestDemandForecast(unittest.TestCase):
    """Demand of several times the mean for some seconds, then a twentieth of it."""

    def test_a_burst_is_detected_within_a_second(self):
        forecast = DemandForecast()
        for number in range(8):
            forecast.record_job("a", WORK, LOW_SLACK_SECONDS, 5.0 + number / 10)
        expected = forecast.find_expected("a", 5.8)
        assert 0.8 * 10 * WORK <= expected <= 1.3 * 10 * WORK

    def test_a_single_job_is_no_burst(self):
        forecast = DemandForecast()
        forecast.record_job("a", 50 * WORK, LOW_SLACK_SECONDS, 5.0)
        assert forecast.find_expected("a", 5.1) == 0

    def test_a_pool_can_shrink_only_after_its_first_burst(self):
        forecast = DemandForecast()
        forecast.start_observing(0.0)
        assert not forecast.can_shrink("a", 5.0)
        for number in range(20):
            forecast.record_job("a", WORK, LOW_SLACK_SECONDS, 5.0 + number / 10)
        assert not forecast.can_shrink("a", 7.0)
        forecast.find_expected("a", 10.0)
        assert forecast.can_shrink("a", 10.0)

    def test_a_pool_whose_jobs_can_wait_can_shrink_at_once(self):
        forecast = DemandForecast()
        forecast.record_job("a", WORK, HIGH_SLACK_SECONDS, 1.0)
        assert forecast.can_shrink("a", 1.1)
        assert forecast.find_expected("a", 1.1) == 0

    def test_the_third_burst_is_predicted(self):
        forecast = DemandForecast()
        for start in (10.0, 28.0):
            self.record_burst(forecast, "a", start)
        assert forecast.find_expected("a", 40.0) == 0
        assert forecast.find_expected("a", 44.5) > 5 * WORK

    # Guards against bursts that were not seen any more, and pools that shrank in them,
    # once the jobs of a pause had been accepted at the same moment (issue 43).
    def test_a_single_high_rate_is_forgotten(self):
        forecast = DemandForecast()
        for number in range(40):
            forecast.record_job("a", WORK, LOW_SLACK_SECONDS, 10.0 + number / 400)
        for start in (30.0, 50.0, 70.0):
            self.record_burst(forecast, "a", start)
        for number in range(40):
            forecast.record_job("a", WORK, LOW_SLACK_SECONDS, 90.0 + number / 10)
        assert not forecast.can_shrink("a", 94.0)
        assert forecast.is_burst_due("a")

    # An interrupted burst held its machines for a third one, while the next queue had
    # its burst and none of them.
    def test_an_interrupted_burst_is_no_turn(self):
        forecast = DemandForecast()
        forecast.record_job("b", WORK, LOW_SLACK_SECONDS, 1.0)
        for start in (10.0, 28.0):
            self.record_burst(forecast, "a", start)
        assert forecast.find_expected("a", 44.5) == 0

    def test_a_turn_of_another_queue_between_two_bursts_shows_the_period(self):
        forecast = DemandForecast()
        for service, start in (("a", 10.0), ("b", 19.0), ("a", 28.0)):
            self.record_burst(forecast, service, start)
        assert forecast.find_expected("a", 44.5) > 5 * WORK

    def test_a_rate_is_seen_on_a_clock_that_differs_from_the_leaders(self):
        for offset in (-2.0, 2.0):
            forecast = DemandForecast()
            for number in range(8):
                at = 5.0 + number / 10
                forecast.record_job("a", WORK, LOW_SLACK_SECONDS, at, now=at + offset)
            expected = forecast.find_expected("a", 5.8 + offset)
            assert 0.8 * 10 * WORK <= expected <= 1.3 * 10 * WORK
            assert forecast.find_expected("a", 9.0 + offset) == 0

    def test_a_queue_is_not_due_again_before_the_others_had_their_bursts(self):
        forecast = DemandForecast()
        forecast.record_job("b", WORK, LOW_SLACK_SECONDS, 1.0)
        self.record_burst(forecast, "a", 2.0)
        assert forecast.is_burst_due("b")
        assert not forecast.is_burst_due("a")
        self.record_burst(forecast, "b", 12.0)
        assert forecast.is_burst_due("a")
        assert not forecast.is_burst_due("b")

    def test_a_queue_in_a_burst_is_due_and_an_unknown_one_is_not(self):
        forecast = DemandForecast()
        for number in range(20):
            forecast.record_job("a", WORK, LOW_SLACK_SECONDS, 5.0 + number / 10)
        assert forecast.is_burst_due("a")
        assert not forecast.is_burst_due("unknown")

    def record_burst(self, forecast, service, start):
        for number in range(40):
            forecast.record_job(service, WORK, LOW_SLACK_SECONDS, start + number / 10)
        forecast.find_expected(service, start + 8.0)


class TestGrowth(unittest.TestCase):
    """A burst whose rate grows evenly for some seconds to several times the mean."""

    RAMP_SECONDS = 5.0
    PEAK = 120.0  # jobs per second

    def find_rate(self, at):
        return self.PEAK * min(at, self.RAMP_SECONDS) / self.RAMP_SECONDS

    def record_arrivals(self, forecast, begin, end, find_rate, random=None):
        """Record jobs at a rate, evenly or at random, and return the time of the end.

        Each job is recorded in the step of 10 ms in which it arrives.
        """
        at, due = begin, 0.0
        while at < end:
            due += find_rate(at) * 0.01 if random is None else 0.0
            if random is not None and random.random() < find_rate(at) * 0.01:
                due += 1.0
            while due >= 1.0:
                forecast.record_job("a", WORK, LOW_SLACK_SECONDS, at)
                due -= 1.0
            at += 0.01
        return at

    # Pools followed the present rate, and were short by the growth during a move.
    def test_a_growing_rate_is_expected_as_it_is_when_a_machine_has_moved(self):
        forecast = DemandForecast()
        now = 0.0
        for check in (1.5, 2.0, 2.5, 3.0):
            now = self.record_arrivals(forecast, now, check, self.find_rate)
            actual = self.find_rate(now + LEAD_SECONDS) * WORK
            ratio = forecast.find_expected("a", now) / actual
            assert 0.5 <= ratio <= 1.1, (check, ratio)

    def test_a_rate_that_no_longer_grows_is_not_extrapolated(self):
        forecast = DemandForecast()
        now = self.record_arrivals(
            forecast, 0.0, self.RAMP_SECONDS + 1.5, self.find_rate
        )
        expected = forecast.find_expected("a", now)
        assert 0.9 * self.PEAK * WORK <= expected <= 1.1 * self.PEAK * WORK

    def test_a_steady_rate_is_expected_to_stay_about_the_same(self):
        for rate in (12.0, 60.0):
            ratios = []
            for seed in range(40):
                forecast = DemandForecast()
                now = self.record_arrivals(
                    forecast, 0.0, 6.0, lambda _, rate=rate: rate, Random(seed)
                )
                ratios.append(forecast.find_expected("a", now) / (rate * WORK))
            with self.subTest(rate=rate):
                mean = sum(ratios) / len(ratios)
                assert 0.9 <= mean <= 1.35, mean

    def test_a_falling_rate_is_not_extrapolated(self):
        forecast = DemandForecast()
        now = self.record_arrivals(
            forecast, 0.0, 4.0, lambda at: self.PEAK * (1 - at / 5.0)
        )
        expected = forecast.find_expected("a", now)
        assert expected <= 0.5 * self.PEAK * WORK


if __name__ == "__main__":
    unittest.main()
