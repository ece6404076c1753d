"""Tests of the demand forecast: bursts of short jobs, and jobs that can wait."""

import unittest

from gypsumwalk.demand_forecast import DemandForecast

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


if __name__ == "__main__":
    unittest.main()
