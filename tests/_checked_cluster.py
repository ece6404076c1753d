"""Simulated cluster whose log is checked as it runs."""

from gypsumwalk.inputs import ProposalStatus
from tests._agreement import Cluster
from tests._checkers import AcknowledgedKept, AppliedOnce, ElectionSafety, LogMatching

SLICE_SECONDS = 0.1


class CheckedCluster(Cluster):
    """Cluster whose log is checked as it runs."""

    def __init__(self, seed, voters, **options):
        super().__init__(seed, voters=voters, followers=1, **options)
        kinds = (ElectionSafety, LogMatching, AcknowledgedKept, AppliedOnce)
        self.checks = [kind(self) for kind in kinds]
        self.count = 0

    def check(self):
        for check in self.checks:
            check.check()

    def run_checked(self, seconds):
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.run(min(SLICE_SECONDS, end - self.now))
            self.check()

    def put(self, name):
        """Propose a command on a daemon, and return its text."""
        self.count += 1
        text = f"c{self.count}"
        self.propose(name, text)
        return text

    def commit(self, within):
        """Have a command committed; the leader may change meanwhile."""
        end = self.now + within
        while self.now < end:
            leader = self.find_leader()
            text = self.put(leader) if leader else ""
            self.run_checked(0.5)
            outcome = leader and self.get_outcome_of(leader, text)
            if outcome and outcome.status is ProposalStatus.COMMITTED:
                return
        raise AssertionError(f"no command is committed within {within} s")

    def get_outcome_of(self, name, text):
        return self.daemons[name].alive and self.get_outcome(name, text)

    def get_identities(self):
        return [
            self.daemons[name].alive
            and self.daemons[name].node.consensus.replica.identity
            for name in self.voters
        ]

    def restart_later(self, name, delay):
        self.schedule(delay, lambda: self.restart(name))
