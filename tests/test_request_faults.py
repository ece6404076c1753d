"""Tests of the promises under pairs of faults and load, and of their checks."""

import itertools
import unittest
from unittest.mock import patch

from gypsumwalk.effects import Raise
from gypsumwalk.problems import Outcome
from gypsumwalk.request_scheduler import RequestScheduler
from gypsumwalk.requests import RequestPart
from gypsumwalk.slots import OwnedTarget
from tests._request_checks import (
    check_all,
    check_answered,
    check_at_most_once,
    check_leaving,
    check_limits,
    check_not_run,
    check_shutdown,
    check_slots,
    check_whole_answers,
    check_withdrawn,
)
from tests._request_faults import FAULTS, run_faults

SEED = 11
LOSSY = {"drop": 0.02, "duplicate": 0.05}


class TestPairsOfFaults(unittest.TestCase):
    def test_promises_hold_through_each_pair_of_faults(self):
        for names in itertools.combinations_with_replacement(FAULTS, 2):
            with self.subTest(faults=names):
                assert check_all(run_faults(names, SEED)) == []

    def test_promises_hold_on_a_network_with_loss_and_duplication(self):
        for name in FAULTS:
            with self.subTest(fault=name):
                assert check_all(run_faults([name], SEED, **LOSSY)) == []

    def test_a_start_that_was_resent_uses_no_unit_of_a_limit_since_lowered(self):
        for name, seed in (("resend", 51), ("late answer", 55)):
            with self.subTest(fault=name):
                run = run_faults((name, "limit lowered"), seed, **LOSSY)
                assert check_all(run) == []


class TestChecksCanFail(unittest.TestCase):
    """Each check detects the fault that it is meant for."""

    def test_check_of_at_most_once(self):
        def always_retry(part, request, now):
            return now < request.deadline

        with (
            patch.object(RequestScheduler, "_can_retry", always_retry),
            patch.object(RequestScheduler, "_check_start", lambda *_: None),
        ):
            assert list(check_at_most_once(run_faults(["target loss"], SEED)))

    def test_check_of_whole_answers(self):
        previous = [b""]
        original = RequestScheduler.handle_outcome

        def swap_payloads(scheduler, outcome, now):
            crossed = type(outcome)(
                outcome.dispatch_id, outcome.status, outcome.code, previous[0]
            )
            previous[0] = outcome.payload
            return original(scheduler, crossed, now)

        with patch.object(RequestScheduler, "handle_outcome", swap_payloads):
            assert list(check_whole_answers(run_faults(["resend"], SEED)))

    def test_check_of_not_run(self):
        def claim_not_run(request):
            return Outcome.NOT_RUN

        with patch(
            "gypsumwalk.request_table.Request.unanswered_outcome",
            property(claim_not_run),
        ):
            assert list(check_not_run(run_faults(["target loss"], SEED)))

    def test_check_of_leaving_targets(self):
        with patch.object(OwnedTarget, "is_serving", lambda *_: True):
            assert list(check_leaving(run_faults(["leaving target"], SEED)))

    def test_check_of_withdrawn_keys(self):
        with (
            patch.object(RequestScheduler, "_check_start", lambda *_: None),
            patch("gypsumwalk.requests.KEY_PROBLEMS", {}),
        ):
            run = run_faults(["key withdrawn"], SEED, calls=600)
            assert list(check_withdrawn(run))

    def test_check_of_upper_limits(self):
        with (
            patch.object(RequestScheduler, "_acquire_unit", acquire_no_unit),
            patch.object(RequestScheduler, "_release_unit", lambda *_: None),
        ):
            assert list(check_limits(run_faults(["limit lowered"], SEED)))

    def test_check_of_slots(self):
        with patch.object(OwnedTarget, "limit", lambda *_: 3):
            assert list(check_slots(run_faults(["resend"], SEED)))

    def test_check_of_calls_that_are_never_answered(self):
        with patch("gypsumwalk.request_table.answer_waiter", lambda *_: Raise(None)):
            assert list(check_answered(run_faults(["late answer"], SEED)))

    def test_check_of_shutdowns_that_cut_requests(self):
        def cut_at_once(part, now):
            return part._cut_remaining(now) if part._stop_at is not None else []

        cut_original = RequestPart._cut_remaining

        def cut_silently(part, now):
            return cut_original(part, now)[-1:]

        with (
            patch.object(RequestPart, "_continue_shutdown", cut_at_once),
            patch.object(RequestPart, "_cut_remaining", cut_silently),
        ):
            run = run_faults(["leaving daemon"], SEED)
            for name in run.shut_down:
                run.world.daemons[name].exit_code = 0
            assert list(check_shutdown(run))


def acquire_no_unit(scheduler, request, now):
    request.attempts += 1
    return True


if __name__ == "__main__":
    unittest.main()
