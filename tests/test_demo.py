"""Tests that the demo detects a violated promise."""

import unittest
from collections import Counter

from examples._callers import SentRequest
from examples._report import Report, check_executions

ANSWERED = SentRequest("a", 200, True, "")
REFUSED = SentRequest("b", 503, False, "not run")


def find_violations(sent, executions):
    report = Report()
    check_executions(report, sent, Counter(executions))
    return [finding.promise for finding in report.broken]


class TestDemoReport(unittest.TestCase):
    def test_nothing_broken(self):
        assert find_violations([ANSWERED, REFUSED], {"a": 1}) == []

    def test_request_that_ran_twice(self):
        assert find_violations([ANSWERED], {"a": 2}) == ["no request ran twice"]

    def test_execution_of_no_known_request(self):
        assert find_violations([ANSWERED], {"a": 1, "c": 1}) == ["no request ran twice"]

    def test_false_refusal(self):
        promises = find_violations([REFUSED], {"b": 1})
        assert promises == ['a refusal that says "not run" is true']


if __name__ == "__main__":
    unittest.main()
