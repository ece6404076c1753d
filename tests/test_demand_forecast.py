"""Tests of the forecast: bursts of short jobs, and queues whose jobs can wait."""

import unittest

from gypsumwalk.demand_forecast import DemandForecast

HURRIED = 1.0
PATIENT = 4.0
WORK = 20_000.0


class TestDemandForecast(unittest.TestCase):
    """Pattern: some seconds of several times the mean, then a twentieth of it."""

    def test_a_burst_shows_within_a_second(self):
        forecast = DemandForecast()
        for number in range(8):
            forecast.record_job("a", WORK, HURRIED, 5.0 + number / 10)
        expected = forecast.find_expected("a", 5.8)
        assert 0.8 * 10 * WORK <= expected <= 1.3 * 10 * WORK

    def test_a_single_job_is_no_burst(self):
        forecast = DemandForecast()
        forecast.record_job("a", 50 * WORK, HURRIED, 5.0)
        assert forecast.find_expected("a", 5.1) == 0

    def test_a_pool_rests_after_its_first_turn_only(self):
        forecast = DemandForecast()
        forecast.start_observing(0.0)
        assert not forecast.can_shrink("a", 5.0)
        for number in range(20):
            forecast.record_job("a", WORK, HURRIED, 5.0 + number / 10)
        assert not forecast.can_shrink("a", 7.0)
        forecast.find_expected("a", 10.0)
        assert forecast.can_shrink("a", 10.0)

    def test_a_pool_of_patient_jobs_rests_at_once(self):
        forecast = DemandForecast()
        forecast.record_job("a", WORK, PATIENT, 1.0)
        assert forecast.can_shrink("a", 1.1)
        assert forecast.find_expected("a", 1.1) == 0

    def test_the_third_turn_is_expected(self):
        forecast = DemandForecast()
        for start in (10.0, 28.0):
            self.play_turn(forecast, "a", start)
        assert forecast.find_expected("a", 40.0) == 0
        assert forecast.find_expected("a", 44.5) > 5 * WORK

    def test_a_queue_is_not_due_again_before_the_others_had_their_turns(self):
        forecast = DemandForecast()
        forecast.record_job("b", WORK, HURRIED, 1.0)
        self.play_turn(forecast, "a", 2.0)
        assert forecast.is_burst_due("b")
        assert not forecast.is_burst_due("a")
        self.play_turn(forecast, "b", 12.0)
        assert forecast.is_burst_due("a")
        assert not forecast.is_burst_due("b")

    def test_a_queue_in_its_turn_is_due_and_an_unknown_one_is_not(self):
        forecast = DemandForecast()
        for number in range(20):
            forecast.record_job("a", WORK, HURRIED, 5.0 + number / 10)
        assert forecast.is_burst_due("a")
        assert not forecast.is_burst_due("unknown")

    def play_turn(self, forecast, service, start):
        for number in range(40):
            forecast.record_job(service, WORK, HURRIED, start + number / 10)
        forecast.find_expected(service, start + 8.0)


if __name__ == "__main__":
    unittest.main()
