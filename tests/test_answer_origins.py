"""Tests of which life of an instance an answer is taken to come from."""

import unittest

from gypsumwalk.answer_origins import AnswerOrigin, find_origin
from gypsumwalk.instance_actions import InstanceReport, OrderReport
from gypsumwalk.instance_orders import OpenOrder, OrderKind
from gypsumwalk.life_clocks import ClockBounds, ClockReading

BORN = 1796584298625
LIFE = f"i-01bf8a3f@{BORN}"
READING = ClockReading(500_000, requested_at=19.2, received_at=20.0)
BOUNDS = ClockBounds(READING, READING)
SENT_AT = 25.0
NOW = 25.01


def find(report, *, clock=BOUNDS):
    order = OpenOrder(OrderKind.START, LIFE, SENT_AT, 1, clock=clock)
    return find_origin(order, report, NOW)


class TestClockReading(unittest.TestCase):
    # The clock may be 2% slow, and the reading is up to 0.8 s older than its arrival.
    def test_the_bounds_of_a_later_time_include_every_rate_and_age(self):
        assert READING.find_earliest(25.0) == 504_900
        assert 505_800 <= READING.find_latest(25.0) <= 505_920

    def test_a_time_before_the_arrival_has_the_reading_as_its_bound(self):
        assert READING.find_earliest(19.5) == 500_000

    def test_a_value_outside_the_bounds_is_of_another_clock(self):
        for value, expected in (
            (504_899, False),
            (504_900, True),
            (505_300, True),
            (505_930, False),
        ):
            with self.subTest(value=value):
                found = BOUNDS.may_show(value, begin=SENT_AT, end=NOW)
                assert found is expected


class TestOrigin(unittest.TestCase):
    def test_a_named_life_decides(self):
        for born, expected in (
            (BORN, AnswerOrigin.SAME_LIFE),
            (BORN + 1, AnswerOrigin.OTHER_LIFE),
        ):
            with self.subTest(born=born):
                # The clock is one of another life.
                assert find(InstanceReport(1000, born)) is expected

    # Guards against starts that the next life answered and the former was credited
    # with: the clock of a life may begin anywhere.
    def test_a_clock_that_is_ahead_or_behind_is_of_another_life(self):
        for clock in (1000, 500_000, 506_500, 9_000_000):
            with self.subTest(clock=clock):
                assert find(OrderReport(clock)) is AnswerOrigin.OTHER_LIFE

    def test_a_clock_that_fits_is_of_the_same_life(self):
        assert find(OrderReport(505_000)) is AnswerOrigin.SAME_LIFE

    def test_an_answer_without_a_clock_or_an_earlier_reading_tells_nothing(self):
        assert find(OrderReport()) is AnswerOrigin.UNKNOWN
        assert find(OrderReport(505_000), clock=None) is AnswerOrigin.UNKNOWN

    def test_a_refused_identity_is_of_another_life(self):
        answer = OrderReport(refused="identity")
        assert find(answer) is AnswerOrigin.OTHER_LIFE


if __name__ == "__main__":
    unittest.main()
