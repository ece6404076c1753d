"""Tests of the units that a daemon keeps and returns after a grant."""

import unittest

from gypsumwalk.effects import Propose
from gypsumwalk.inputs import ProposalOutcome, ProposalStatus, ShutdownRequested
from gypsumwalk.quota_accounts import Holder
from gypsumwalk.quota_portions import (
    IDLE_SECONDS,
    MIN_RESERVE_LIMIT,
    RESERVE_SECONDS,
    AskPortion,
    PortionPart,
    PortionSection,
    ReturnPortion,
)
from gypsumwalk.settings import Settings
from gypsumwalk.views import TeamRule


class FakeFolder:
    limit = 4

    def team(self, name):
        return TeamRule(name, 1.0, self.limit)


class FakeLeadership:
    leader = "b"

    def holds_lease(self, now):
        return False


class TestPortionPart(unittest.TestCase):
    def setUp(self):
        settings = Settings(
            name="a",
            data_centre="x",
            caller_port=1,
            peer_port=2,
            cluster_secret="x" * 16,
        )
        self.folder = FakeFolder()
        self.section = PortionSection(self.folder)
        self.part = PortionPart(
            settings=settings,
            section=self.section,
            leadership=FakeLeadership(),
            incarnation=1,
        )
        self.index = 0

    def advance(self, now):
        """Advance, commit what is proposed, and return the commands."""
        commands = []
        for effect in self.part.advance(now):
            if isinstance(effect, Propose):
                commands.append(effect.command)
                self.index += 1
                result = self.section.apply(effect.command, self.index, now)
                outcome = ProposalOutcome(
                    effect.token, ProposalStatus.COMMITTED, self.index, result
                )
                self.part.handle(outcome, now)
        return commands

    def list_returned(self, now):
        commands = self.advance(now)
        return [item.units for item in commands if isinstance(item, ReturnPortion)]

    def use_unit(self, now):
        assert not self.part.acquire("elul", f"r{now}", now)
        self.advance(now)
        assert self.part.acquire("elul", f"r{now}", now + 0.1)
        self.part.release("elul", f"r{now}", now + 0.2)

    def test_units_of_a_second_grant_are_kept_until_they_are_idle(self):
        self.use_unit(10.0)
        returned = self.advance(10.2 + IDLE_SECONDS)
        assert [type(item) for item in returned] == [ReturnPortion]

        assert not self.part.acquire("elul", "r2", 20.0)
        self.advance(20.0)
        assert self.advance(20.02) == []
        assert self.part.acquire("elul", "r2", 20.05)

    def test_team_with_occasional_requests_keeps_one_unit_of_a_large_limit(self):
        self.folder.limit = MIN_RESERVE_LIMIT
        self.use_unit(10.0)
        for now in (15.0, 20.0, 25.0):
            assert self.list_returned(now) == []
            assert self.part.acquire("elul", f"r{now}", now)
            self.part.release("elul", f"r{now}", now)
        assert self.list_returned(25.0 + RESERVE_SECONDS - 0.1) == []
        assert self.list_returned(25.0 + RESERVE_SECONDS) == [1]

    def test_kept_unit_is_returned_at_once_when_another_daemon_wants_it(self):
        self.folder.limit = MIN_RESERVE_LIMIT
        self.use_unit(10.0)
        assert self.list_returned(15.0) == []
        ask = AskPortion(Holder("b", 1), "elul", MIN_RESERVE_LIMIT)
        self.section.apply(ask, 50, 15.0)
        assert self.list_returned(15.1) == [1]

    def test_leaving_daemon_returns_units_as_they_are_released(self):
        assert not self.part.acquire("elul", "r1", 10.0)
        self.advance(10.0)
        assert self.part.acquire("elul", "r1", 10.1)
        self.part.handle(ShutdownRequested(40.0), 10.2)
        assert self.advance(10.2) == []
        self.part.release("elul", "r1", 10.3)
        returned = self.advance(10.3)
        assert [type(item) for item in returned] == [ReturnPortion]
        assert self.section.count_allocated("elul") == 0

    def test_leaving_daemon_keeps_units_granted_for_its_waiting_requests(self):
        self.part.handle(ShutdownRequested(40.0), 10.0)
        assert not self.part.acquire("elul", "r1", 10.0)
        self.advance(10.0)
        self.advance(10.0)
        assert self.part.acquire("elul", "r1", 10.1)
        assert not self.part.acquire("elul", "r2", 10.1)
        self.advance(10.3)
        self.advance(11.0)
        assert self.section.count_allocated("elul") == 1


if __name__ == "__main__":
    unittest.main()
