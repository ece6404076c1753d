"""Tests that each checker accepts a kept promise and reports a violated one."""

import unittest

from gypsumwalk.effects import Answer
from gypsumwalk.problems import Outcome, ProblemType, refuse
from tests._facts import (
    AcceptedFacts,
    BudgetFacts,
    Facts,
    FolderSample,
    GenerationSample,
    KeyFacts,
    LeavingFacts,
    LimitFacts,
    OutageFacts,
    RequestFacts,
    TaskRun,
)
from tests._fake_targets import Execution
from tests._promise_checkers import CHECKERS, check_all
from tests._world import Call


def make_facts(*, started=10.0, ended=11.0, **changes):
    facts = Facts()
    facts.keys["k"] = KeyFacts("k", "elul")
    request = RequestFacts("r1", b"seat 7", "elul", "k", "seats", repeatable=False)
    call = Call(1, None, "a", 9.0)
    request.calls.append(call)
    facts.requests["r1"] = request
    facts.executions.append(Execution("id", b"seat 7", "t1", "a", started, ended))
    for name, value in changes.items():
        setattr(facts, name, value)
    return facts


def find_violations(facts):
    return [text.partition(":")[0] for text in check_all(facts)]


class TestRequestCheckers(unittest.TestCase):
    def answer(self, facts, answer, at=12.0):
        call = facts.requests["r1"].calls[0]
        call.answer, call.answered_at = answer, at
        return facts

    def test_kept_promises_are_accepted(self):
        facts = self.answer(make_facts(), Answer(200, payload=b"answer to seat 7"))
        assert find_violations(facts) == []

    def test_answer_of_another_request(self):
        facts = self.answer(make_facts(), Answer(200, payload=b"answer to seat 8"))
        assert find_violations(facts) == ["answers"]

    def test_false_refusal(self):
        refusal = refuse(ProblemType.NO_TARGET, Outcome.NOT_RUN)
        assert find_violations(self.answer(make_facts(), refusal)) == ["refusals"]
        late = make_facts(started=20.0, ended=21.0)
        assert find_violations(self.answer(late, refusal)) == ["refusals"]

    def test_refusal_is_true_if_a_later_attempt_ran(self):
        refusal = refuse(ProblemType.NO_TARGET, Outcome.NOT_RUN)
        facts = self.answer(make_facts(started=20.0, ended=21.0), refusal)
        facts.requests["r1"].calls.append(Call(2, None, "b", 15.0))
        assert find_violations(facts) == []

    def test_second_run(self):
        facts = make_facts()
        facts.executions.append(Execution("id", b"seat 7", "t2", "b", 30.0, 31.0))
        assert find_violations(facts) == ["single-runs"]
        facts.requests["r1"].repeatable = True
        assert find_violations(facts) == []

    def test_second_run_of_an_attempt(self):
        tasks = [
            TaskRun("j", 1, name, "p", "elul", at, at + 1.0)
            for name, at in (("w1", 1.0), ("w2", 5.0))
        ]
        assert find_violations(make_facts(tasks=tasks)) == ["single-runs"]

    def test_unknown_and_withdrawn_keys(self):
        assert find_violations(make_facts(keys={})) == ["keys"]
        assert find_violations(make_facts(keys={}, open_queues={"seats"})) == []
        withdrawn = {"k": KeyFacts("k", "elul", withdrawn_at=4.0)}
        assert find_violations(make_facts(keys=withdrawn)) == ["keys"]
        withdrawn["k"].withdrawn_at = 6.0
        assert find_violations(make_facts(keys=withdrawn)) == []

    def test_upper_limit(self):
        tasks = [TaskRun("j", 1, "w1", "p", "elul", 10.5, None)]
        limits = [LimitFacts(0.0, "elul", 1)]
        facts = make_facts(tasks=tasks, limits=limits)
        assert find_violations(facts) == ["limits"]
        facts.limits = [LimitFacts(0.0, "elul", 2), LimitFacts(0.2, "elul", 1)]
        assert find_violations(facts) == []
        facts.tasks = [TaskRun("j", 1, "w1", "p", "elul", 11.0, None)]
        facts.limits = limits
        assert find_violations(facts) == []

    def test_leaving_target(self):
        for since, until, broken in (
            (8.5, 99.0, []),
            (5.0, 99.0, ["leaving"]),
            (5.0, 9.0, []),
        ):
            leaving = [LeavingFacts("t1", since, until)]
            assert find_violations(make_facts(leaving=leaving)) == broken

    def test_request_cut_by_a_shutdown(self):
        facts = make_facts(shutdowns={"a": 9.5})
        assert find_violations(facts) == []
        facts.requests["r1"].calls[0].lost = True
        assert find_violations(facts) == ["shutdowns"]


class TestFleetCheckers(unittest.TestCase):
    def check(self, *outages, budget=1):
        pools = {name: [(0.0, "p")] for name in ("w1", "w2", "w3")}
        facts = Facts(outages=list(outages), pool_of=pools)
        facts.budgets.append(BudgetFacts(0.0, "p", budget))
        return find_violations(facts)

    def test_planned_and_unplanned_loss_count_together(self):
        lost = OutageFacts("w2", planned=False, began=50.0, ended=None)
        reboot = OutageFacts("w1", planned=True, began=100.0, ended=130.0)
        assert self.check(reboot) == []
        assert self.check(reboot, lost) == ["budgets"]
        assert self.check(reboot, lost, budget=2) == []

    def test_undetected_loss_is_excused(self):
        lost = OutageFacts("w2", planned=False, began=99.0, ended=None)
        reboot = OutageFacts("w1", planned=True, began=100.0, ended=130.0)
        assert self.check(reboot, lost) == []

    def test_two_pools_on_one_instance(self):
        first = TaskRun("j1", 1, "w1", "p", "elul", 1.0, 5.0)
        second = TaskRun("j2", 1, "w1", "q", "elul", 4.0, 6.0)
        later = TaskRun("j3", 1, "w1", "q", "elul", 5.0, 6.0)
        assert find_violations(Facts(tasks=[first, later])) == []
        assert find_violations(Facts(tasks=[first, second])) == ["pools"]


class TestConfigurationChecker(unittest.TestCase):
    def check(self, *samples):
        facts = Facts(accepted=[AcceptedFacts(10.0, 3)], samples=list(samples))
        return find_violations(facts)

    def test_late_generation(self):
        assert self.check(GenerationSample(24.0, "a", 2, 0.0)) == []
        assert self.check(GenerationSample(24.1, "a", 3, 0.0)) == []
        assert self.check(GenerationSample(24.1, "a", 2, 0.0)) == ["configuration"]

    def test_cut_off_daemon_is_excused(self):
        assert self.check(GenerationSample(30.0, "a", 2, None)) == []
        assert self.check(GenerationSample(30.0, "a", 2, 20.0)) == []

    def test_generation_with_the_content_of_another(self):
        facts = Facts(accepted=[AcceptedFacts(10.0, 3, {"elul": 7})])
        facts.folders = [FolderSample("a", 3, {"elul": 7}), FolderSample("b", 2, {})]
        assert find_violations(facts) == []
        facts.folders.append(FolderSample("b", 3, {"elul": 4}))
        assert find_violations(facts) == ["configuration"]

    def test_generation_that_decreases(self):
        samples = [GenerationSample(at, "a", 5 - int(at), None) for at in (1.0, 2.0)]
        assert self.check(*samples) == ["configuration"]
        other = GenerationSample(2.0, "b", 3, None)
        assert self.check(samples[0], other) == []


class TestCheckers(unittest.TestCase):
    def test_each_promise_has_a_checker(self):
        assert len(CHECKERS) == 10


if __name__ == "__main__":
    unittest.main()
