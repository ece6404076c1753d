"""Checks of cluster-wide invariants, run repeatedly during a simulation."""

from gypsumwalk.effects import Record
from gypsumwalk.events import Event
from gypsumwalk.inputs import ProposalStatus
from gypsumwalk.views import KeyVerdict

KEY_BOUND_SECONDS = 3.4
"""Seconds after the first applied withdrawal in which a key may still be accepted."""


class ElectionSafety:
    """At most one leader per term, and at most one valid lease at a time."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.leaders = {}
        self.seen = 0

    def check(self):
        for entry in self.cluster.trace[self.seen :]:
            effect = entry.effect
            if isinstance(effect, Record) and effect.event is Event.LEADER_ELECTED:
                term = effect.attributes["term"]
                first = self.leaders.setdefault(term, entry.node)
                assert first == entry.node, f"two leaders in term {term}"
        self.seen = len(self.cluster.trace)
        holders = [
            name
            for name, node in self.cluster.get_nodes().items()
            if node.consensus.holds_lease(self.cluster.read_local_clock(name))
        ]
        assert len(holders) <= 1, f"leases at the same time: {holders}"


class LogMatching:
    """Committed entries are the same on every daemon and never change."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.entries = {}
        self.checked = {}

    def check(self):
        for name, node in self.cluster.get_nodes().items():
            replica = node.consensus.replica
            process = (name, self.cluster.daemons[name].epoch)
            start = max(self.checked.get(process, 0), replica.log.base_index)
            end = min(replica.commit, replica.log.last_index)
            for index in range(start + 1, end + 1):
                entry = replica.log.get(index)
                first = self.entries.setdefault(index, entry)
                assert first == entry, f"entry {index} differs on {name}"
            self.checked[process] = end


class AcknowledgedKept:
    """A command acknowledged as committed is in the state of every later index."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.acknowledged = {}

    def check(self):
        nodes = self.cluster.get_nodes()
        for node in nodes.values():
            for text, outcome in node.client.outcomes.items():
                if outcome.status is ProposalStatus.COMMITTED:
                    self.acknowledged[text] = outcome.index
        for name, node in nodes.items():
            items = set(node.list.items)
            for text, index in self.acknowledged.items():
                if node.state.applied >= index:
                    assert text in items, f"{text} is lost on {name}"


class AppliedOnce:
    """No command is applied twice."""

    def __init__(self, cluster):
        self.cluster = cluster

    def check(self):
        for name, items in self.cluster.get_lists().items():
            assert len(items) == len(set(items)), f"applied twice on {name}"


class MonotonicGenerations:
    """The generation that a daemon serves never decreases, also across restarts."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.served = {}

    def observe(self, daemon):
        generation = daemon.node.folder.generation if daemon.alive else 0
        if not generation:
            return
        served = self.served.get(daemon.name, 0)
        assert generation >= served, (
            f"{daemon.name} went back to {generation}, after {served}"
        )
        self.served[daemon.name] = generation

    def check(self):
        for daemon in self.cluster.daemons.values():
            self.observe(daemon)


class PortionsWithinLimit:
    """Units in use across all daemons never exceed the upper limit."""

    def __init__(self, cluster, team, limit):
        self.cluster = cluster
        self.team = team
        self.limit = limit
        self.in_use = set()

    def observe(self, daemon):
        if not daemon.alive:
            return
        total = daemon.node.portion_section.count_allocated(self.team)
        assert total <= self.limit, (
            f"{total} units granted on {daemon.name}, limit {self.limit}"
        )

    def check(self):
        assert len(self.in_use) <= self.limit, (
            f"{len(self.in_use)} in use, limit {self.limit}"
        )
        for daemon in self.cluster.daemons.values():
            self.observe(daemon)


class WithdrawnRefused:
    """A withdrawn key is refused everywhere once the withdrawal is in force.

    It is in force when the operator's call was answered, at the latest
    ``KEY_BOUND_SECONDS`` after a daemon applied it.
    """

    def __init__(self, cluster, queue):
        self.cluster = cluster
        self.queue = queue
        self.withdrawn = {}

    def record_committed(self, key, at):
        """Record a withdrawal that at least one daemon has applied."""
        self.withdrawn.setdefault(key, at + KEY_BOUND_SECONDS)

    def record_answered(self, key):
        """Record that the withdrawal was answered as in force on every daemon."""
        self.withdrawn[key] = min(self.withdrawn.get(key, 0.0), self.cluster.now)

    def check(self):
        for key, since in self.withdrawn.items():
            if self.cluster.now < since:
                continue
            for name, node in self.cluster.get_nodes().items():
                own = self.cluster.read_local_clock(name)
                permit = node.keys.check(key, self.queue, own)
                assert permit.verdict is not KeyVerdict.VALID, f"valid on {name}"
