"""Losses of power of all daemons at once, at any write of a simulated cluster."""

from dataclasses import dataclass
from itertools import combinations
from random import Random

from gypsumwalk.inputs import ProposalStatus
from tests._checked_cluster import CheckedCluster

DOWN_SECONDS = 0.5
RECOVERY_SECONDS = 12.0
"""Time from the return of the machines in which commands are committed again."""

CATCH_UP_SECONDS = 4.0
"""Time from the start of a machine with an empty disk in which it counts as lost."""

LONGEST_WRITE_SECONDS = 4.0
SETTLING_SECONDS = 6.0
"""Time until the last proposals have timed out, and voters with new disks vote."""


class PowerLost(Exception):
    """Ends a history at the moment at which the power is to be lost."""


@dataclass(frozen=True)
class Cut:
    """Moment of a loss of power, counted from the start of a history.

    It is either during a write, with a number of its operations done and the next one
    torn, or right after a number of commands were acknowledged.
    """

    write: int = -1
    operations: int = 0
    acknowledged: int = -1


class PowerCluster(CheckedCluster):
    """Cluster that loses its power at a given moment, and is checked after it.

    Parameters
    ----------
    seed : int
        Seed of the simulation.
    voters : int
        Number of first voters.
    cut : Cut, optional
        Moment of the loss of power; by default the history runs to its end.
    """

    def __init__(self, seed, voters=3, *, cut=None, **options):
        self.draw = Random(f"power {seed}")
        self.cut = cut
        self.is_recording = False
        self.writes = []
        self.acknowledged = set()
        self.removed = set()
        self.lost_until = {}
        self.tolerated = voters // 2
        super().__init__(seed, voters=voters, **options)
        self.observers.append(self._observe_outcomes)

    # The moment of the loss.

    def _write(self, daemon, effect):
        super()._write(daemon, effect)
        if not self.is_recording:
            return
        number = len(self.writes)
        self.writes.append(len(effect.operations))
        if self.cut and self.cut.write == number:
            cut = self.cut
            # The outcome of a write that is done has not reached the daemon yet.
            seconds = 0.999 * cut.operations * daemon.disk.write_seconds
            self.schedule(seconds, lambda: self._lose_power_during_write(daemon, cut))

    def _lose_power_during_write(self, daemon, cut):
        if cut is self.cut:
            daemon.disk.crash_after = cut.operations
            raise PowerLost

    def _observe_outcomes(self, daemon):
        if not daemon.alive:
            return
        for text, outcome in daemon.node.client.outcomes.items():
            if outcome.status is not ProposalStatus.COMMITTED:
                continue
            if text in self.acknowledged:
                continue
            self.acknowledged.add(text)
            if self.is_recording and self.cut:
                self._count_acknowledged()

    def _count_acknowledged(self):
        self.recorded += 1
        if self.cut.acknowledged == self.recorded:
            raise PowerLost

    def record(self):
        """Begin to count writes and acknowledged commands."""
        self.is_recording = True
        self.writes = []
        self.recorded = 0

    # Machines.

    def replace_machine(self, name):
        """Remove a machine for good, and add one with an empty disk."""
        self.kill(name)
        self.removed.add(name)
        successor = f"n{len(self.removed)}"
        self.add(successor)
        self.lost_until[successor] = self.now + CATCH_UP_SECONDS
        return successor

    def wipe(self, name):
        self.lose_disk(name)
        self.restart_later(name, DOWN_SECONDS)
        self.lost_until[name] = self.now + DOWN_SECONDS + CATCH_UP_SECONDS

    def restart(self, name):
        if name not in self.removed:
            super().restart(name)

    @property
    def lost_disks(self):
        """Names of the daemons whose last disk counts as lost."""
        return {name for name, until in self.lost_until.items() if until > self.now}

    def extend_losses(self, until):
        """Count disks as lost for longer, as other outages hold their return up."""
        for name in self.lost_disks:
            self.lost_until[name] = until

    def list_disks(self):
        return [
            name
            for name, daemon in self.daemons.items()
            if daemon.disk and name not in self.removed
        ]

    def list_choices(self):
        """Return the sets of disks that may be lost now beside the power."""
        if self.first_start is None and not self.acknowledged:
            return [()]  # The first voters have to meet once, with their disks.
        count = max(0, self.tolerated - len(self.lost_disks))
        intact = [name for name in self.list_disks() if name not in self.lost_disks]
        return [
            wiped for size in range(count + 1) for wiped in combinations(intact, size)
        ]

    # The loss and the recovery.

    def lose_power(self, wiped):
        """Take all daemons down; those with lost disks return with empty ones."""
        self.is_recording = False
        self.check()
        for name in self.daemons:
            if name in wiped:
                self.lose_disk(name)
                self.lost_until[name] = self.now + DOWN_SECONDS + CATCH_UP_SECONDS
            else:
                self.cut_power(name)

    def recover(self):
        """Bring all machines back, with disks and links that work."""
        self.heal()
        self.run(DOWN_SECONDS)
        self.repair_disks()
        for name in self.daemons:
            self.restart(name)

    def repair_disks(self):
        """Let all disks work, at their usual speed."""
        for name, daemon in self.daemons.items():
            if daemon.disk:
                daemon.disk.full = False
                daemon.disk.write_seconds = 0.0005
                self.resume_disk(name)

    def check_recovery(self):
        self.commit(within=RECOVERY_SECONDS)
        self.run_checked(SETTLING_SECONDS)
        nodes = self.get_nodes()
        for name, node in nodes.items():
            lost = self.acknowledged.difference(node.list.items)
            assert not lost, f"{sorted(lost)} are lost on {name}"
        lists = {name: node.consensus.replica.voters for name, node in nodes.items()}
        first, *others = lists.values()
        assert all(voters == first for voters in others), f"voters differ: {lists}"
        first, *others = self.get_lists().values()
        assert all(items == first for items in others), "states differ"


def run_to_cut(make_cluster, history, seed, cut=None):
    """Run a history up to a moment; return the cluster and whether it came."""
    cluster = make_cluster(seed, cut=cut)
    try:
        history(cluster)
        cluster.is_recording = False
        cluster.run(LONGEST_WRITE_SECONDS)
    except PowerLost:
        return cluster, True
    return cluster, False


def list_cuts(make_cluster, history, seed):
    """Return every moment of a history: each torn write, and each acknowledgement."""
    cluster, _ = run_to_cut(make_cluster, history, seed, Cut())
    during_writes = [
        Cut(number, done)
        for number, operations in enumerate(cluster.writes)
        for done in range(operations + 1)
    ]
    return during_writes + [
        Cut(acknowledged=number + 1) for number in range(cluster.recorded)
    ]


def check_cut(make_cluster, history, seed, cut, choice):
    """Lose all power at a moment, with one of the sets of disks that may be lost.

    Returns
    -------
    str
        What is wrong after the restart, or empty.
    """
    cluster, is_cut = run_to_cut(make_cluster, history, seed, cut)
    if not is_cut:
        return f"{cut} was not reached"
    choices = cluster.list_choices()
    wiped = choices[choice % len(choices)]
    try:
        cluster.lose_power(wiped)
        cluster.recover()
        cluster.check_recovery()
    except AssertionError as error:
        return f"{cut}, lost disks {wiped}: {error}"
    return ""
