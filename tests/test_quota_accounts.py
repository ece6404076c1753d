"""Tests of upper limits that are lowered, and under crash, resend and partition."""

import unittest

from gypsumwalk.configuration import ApplyCall
from gypsumwalk.quota_accounts import (
    RECLAIM_SECONDS,
    AskPortion,
    Holder,
    PortionGranted,
    PortionSection,
    ReclaimPortions,
    RenewPortions,
    ReturnPortion,
)
from gypsumwalk.state import Accepted, Rejected
from gypsumwalk.views import TeamRule
from tests._agreement import Cluster


class FakeFolder:
    limit = 4

    def team(self, name):
        return TeamRule(name, 1.0, self.limit)


A = Holder("a", 1)
B = Holder("b", 1)


class TestPortionSection(unittest.TestCase):
    def setUp(self):
        self.folder = FakeFolder()
        self.section = PortionSection(self.folder)

    def apply(self, command, at=0.0):
        return self.section.apply(command, 1, at)

    def test_sum_of_daemons_and_jobs_never_exceeds_the_limit(self):
        assert self.apply(AskPortion(A, "t", 3)) == PortionGranted(3)
        assert self.section.acquire("t")
        assert not self.section.acquire("t")
        assert self.apply(AskPortion(B, "t", 2)) == PortionGranted(0)
        self.section.release("t")
        assert self.apply(AskPortion(B, "t", 2)) == PortionGranted(1)
        assert self.section.count_allocated("t") == 4

    def test_repeated_transfer_has_no_further_effect(self):
        self.apply(AskPortion(A, "t", 3))
        for _ in range(3):
            assert self.apply(ReturnPortion(A, "t", 1, 1)) == Accepted(1)
        assert self.section.count_held(A, "t") == 2
        self.apply(ReturnPortion(A, "t", 9, 2))
        assert self.section.count_allocated("t") == 0

    def test_lowered_limit_grants_nothing_until_enough_is_returned(self):
        self.apply(AskPortion(A, "t", 4))
        self.folder.limit = 2
        assert self.section.is_contended("t")
        self.apply(ReturnPortion(A, "t", 2, 1))
        assert self.apply(AskPortion(B, "t", 1)) == PortionGranted(0)
        self.apply(ReturnPortion(A, "t", 1, 2))
        assert self.apply(AskPortion(B, "t", 1)) == PortionGranted(1)

    def test_units_of_an_ended_daemon_are_reclaimed_only_after_the_bound(self):
        self.apply(AskPortion(A, "t", 4), at=0.0)
        self.apply(RenewPortions(A), at=20.0)
        early = self.apply(ReclaimPortions(A), at=RECLAIM_SECONDS + 19.0)
        assert isinstance(early, Rejected)
        assert self.section.count_allocated("t") == 4
        assert self.apply(ReclaimPortions(A), at=RECLAIM_SECONDS + 20.0) == Accepted(1)
        assert self.section.count_allocated("t") == 0

    def test_dump_of_a_loaded_section_is_the_same(self):
        self.apply(AskPortion(A, "t", 2))
        self.section.acquire("t")
        other = PortionSection(self.folder)
        other.load(self.section.dump())
        assert other.dump() == self.section.dump()
        assert other.count_allocated("t") == 3


class TestPortionsOfDaemons(unittest.TestCase):
    def setUp(self):
        self.cluster = Cluster(21, voters=3, followers=1)
        self.cluster.elect()
        self.cluster.run(3)
        self.set_limit(0, 4)

    def set_limit(self, base, limit):
        files = {f"{base}.toml": f"[teams.t]\nlimit = {limit}\n"}
        assert self.cluster.ask(ApplyCall(base=base, files=files)).status == 200

    def acquire(self, name, request):
        daemon = self.cluster.daemons[name]
        own = self.cluster.read_local_clock(name)
        taken = daemon.node.portions.acquire("t", request, own)
        self.cluster._arm(daemon)
        return taken

    def acquire_all(self, name, requests, attempts=10):
        held = set()
        for _ in range(attempts):
            held |= {item for item in requests if self.acquire(name, item)}
            self.cluster.run(0.1)
        return held

    def release(self, name, request):
        daemon = self.cluster.daemons[name]
        daemon.node.portions.release("t", request, self.cluster.read_local_clock(name))
        self.cluster._arm(daemon)

    def test_no_work_starts_above_a_limit_lowered_under_load(self):
        held = self.acquire_all("v0", ["a", "b", "c", "d"])
        assert len(held) == 4
        self.set_limit(1, 2)
        assert not self.acquire_all("f0", ["e"])
        for request in ("a", "b"):
            self.release("v0", request)
        assert not self.acquire_all("f0", ["e"])
        self.release("v0", "c")
        assert self.acquire_all("f0", ["e"]) == {"e"}

    def test_units_of_a_killed_daemon_are_held_until_its_work_must_have_ended(self):
        assert len(self.acquire_all("f0", ["a", "b", "c", "d"])) == 4
        self.cluster.kill("f0")
        self.cluster.run(1)
        self.cluster.restart("f0")
        self.cluster.run(60)
        assert not self.acquire_all("f0", ["e"])
        assert not self.acquire_all("v0", ["f"])
        self.cluster.run(RECLAIM_SECONDS + 30)
        assert self.acquire_all("v0", ["f"]) == {"f"}

    def test_isolated_daemon_starts_no_work_after_its_lease_expires(self):
        assert len(self.acquire_all("f0", ["a", "b"])) == 2
        self.cluster.partition(["f0"])
        self.release("f0", "a")
        assert self.acquire("f0", "c")
        self.release("f0", "c")
        self.cluster.run(70)
        assert not self.acquire("f0", "d")


if __name__ == "__main__":
    unittest.main()
