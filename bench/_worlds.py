"""Simulated clusters on a virtual clock, for measurements of cost by size."""

import time
from random import Random

from gypsumwalk.announcements import AnnounceTarget
from gypsumwalk.assembly import Assembly
from gypsumwalk.generations import ApplyFolder
from gypsumwalk.key_table import GiveKey, KeyRecord, hash_secret
from gypsumwalk.pools import ReconcileInstances, SettleInstance
from gypsumwalk.recovery import Recovered
from gypsumwalk.settings import PeerSettings, Settings
from tests._fake_platform import FakePlatform
from tests._fake_targets import FakeTarget
from tests._world import World

KEY = "team.secret"
INSTANCES_PER_POOL = 94
INSTANCES_PER_RACK = 20
JOIN_SECONDS = 5.0


class SimulatedCluster:
    """A simulated cluster with an applied folder of a given size.

    Parameters
    ----------
    daemons : int
        Number of daemons; the first three are voters.
    data_centres : int
        Number of data centres.
    instances, teams : int
        Number of instances and teams in the folder.
    limit : int
        Limit of each team.
    """

    def __init__(
        self,
        *,
        daemons: int = 3,
        data_centres: int = 3,
        instances: int = 0,
        teams: int = 1,
        limit: int = 100,
    ) -> None:
        self.names = [f"d{number:02}" for number in range(daemons)]
        self.data_centres = [f"dc{number}" for number in range(data_centres)]
        self.files = make_files(instances=instances, teams=teams, limit=limit)
        self.assemblies: dict[str, Assembly] = {}
        self.platform = FakePlatform()
        for number in range(instances):
            self.platform.add(f"i{number}")
        self.world = World(
            self._build, seed=1, platform=self.platform if instances else None
        )
        for number, name in enumerate(self.names):
            self.world.add(
                name, data_centre=self._get_data_centre(number), disk=number < 3
            )
        self.world.run(3.0)
        self._commit(ApplyFolder(0, self.files, whole=True))
        self.world.run(1.0)
        self._commit(GiveKey(make_key("team0")))
        self.world.run(JOIN_SECONDS)

    def _get_data_centre(self, number: int) -> str:
        return self.data_centres[number % len(self.data_centres)]

    def _build(self, name: str, recovered, incarnation: int):
        peers = [
            PeerSettings(
                other, self._get_data_centre(number), "10.0.0.1", 8201, number < 3
            )
            for number, other in enumerate(self.names)
        ]
        number = self.names.index(name)
        settings = Settings(
            name=name,
            data_centre=self._get_data_centre(number),
            caller_port=8101,
            peer_port=8201,
            peers=peers,
            cluster_secret="a secret of the bench",
            operator_key="operator.key",
            data_folder="data" if number < 3 else "",
        )
        assembly = Assembly(
            settings,
            incarnation=incarnation,
            recovered=recovered or Recovered(),
            random=Random(name),
            secrets=Random(f"{name} secrets"),
        )
        self.assemblies[name] = assembly
        return assembly.node

    @property
    def leader(self) -> str:
        """Name of the daemon that holds the leader lease."""
        return next(
            name
            for name, assembly in self.assemblies.items()
            if assembly.consensus.holds_lease(self.world.now)
        )

    def _commit(self, command) -> None:
        self.world.propose(self.leader, command)
        self.world.run(0.5)

    def add_targets(self, count: int, data_centre: str) -> None:
        """Add targets to one data centre."""
        for number in range(count):
            self.world.targets.add(FakeTarget(f"t{number}", announce, data_centre))

    def reset_counters(self) -> None:
        """Reset the network counters."""
        self.world.network.sent_bytes.clear()
        self.world.network.sent_messages.clear()

    def measure_cpu(self, seconds: float) -> float:
        """Run for a virtual time, and return the processor seconds used."""
        self.world.trace.clear()
        begin = time.process_time()
        self.world.run(seconds)
        return time.process_time() - begin


def announce(target, now):
    """Return the announcement of a target with 8 slots."""
    return AnnounceTarget(
        name=target.name,
        incarnation=target.incarnation,
        data_centre=target.data_centre,
        service="service0",
        address=target.address,
        slots=8,
        connections=64,
    )


def make_key(team: str) -> KeyRecord:
    """Return the record of the API key ``KEY``."""
    salt = b"salt"
    key_id, _, secret = KEY.partition(".")
    return KeyRecord(key_id, team, False, [], 0.0, salt, hash_secret(secret, salt))


def make_files(*, instances: int, teams: int, limit: int) -> dict[str, str]:
    """Return a folder with the given numbers of instances and teams."""
    pools = max(1, -(-instances // INSTANCES_PER_POOL))
    return {
        "10-teams.toml": "\n".join(
            f"[teams.team{number}]\nlimit = {limit}" for number in range(teams)
        ),
        "20-pools.toml": "\n".join(
            f"[pools.pool{number}]\nmax_unavailable = 4" for number in range(pools)
        ),
        "30-services.toml": "\n".join(
            f"[services.service{number}]\npool = 'pool{number}'"
            for number in range(pools)
        ),
        "40-queues.toml": "\n".join(
            f"[queues.queue{number}]\nservice = 'service{number}'"
            for number in range(pools)
        ),
        "50-instances.toml": "\n".join(
            f"[instances.i{number}]\npool = 'pool{number % pools}'\n"
            f"data_centre = 'dc{number % 3}'\n"
            f"rack = 'r{number // INSTANCES_PER_RACK}'\n"
            "processors = 64\nmemory_gb = 128\naccelerators = 1"
            for number in range(instances)
        ),
    }


def join_instances(cluster: SimulatedCluster) -> None:
    """Assert that every instance of the folder has joined its pool."""
    sections = next(iter(cluster.assemblies.values())).sections
    assert all(record.is_available for record in sections.pools.list_instances())


__all__ = [
    "KEY",
    "ReconcileInstances",
    "SettleInstance",
    "SimulatedCluster",
    "join_instances",
]
