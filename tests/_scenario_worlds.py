"""Simulated deployments for scenarios: daemons, targets, platform and a folder."""

from collections import defaultdict
from random import Random

import msgspec

from gypsumwalk.announcements import AnnounceTarget
from gypsumwalk.assembly import ENDPOINTS, Assembly
from gypsumwalk.effects import CallPlatform
from gypsumwalk.endpoints import EndpointTable
from gypsumwalk.errors import BadBoundary
from gypsumwalk.platform import RebootInstance
from gypsumwalk.recovery import Recovered
from gypsumwalk.settings import PeerSettings, Settings
from gypsumwalk.timestamps import Timestamp
from gypsumwalk.wire import Envelope
from tests._facts import (
    AcceptedFacts,
    BudgetFacts,
    FolderSample,
    GenerationSample,
    KeyFacts,
    LimitFacts,
    OutageFacts,
    TaskRun,
)
from tests._fake_platform import FakePlatform
from tests._fake_targets import FakeTarget
from tests._world import Call, World

OPERATOR_KEY = "operator.first-key-of-all"
SECRET = "a secret of the tests"
NO_BODY = msgspec.Raw(b"\xc0")
CALLER = frozenset({"caller"})
OBSERVE_SECONDS = 1.0
BOOT_SECONDS = 20.0
TEAMS = {"elul": 4, "office": 4}
SLOTS = 2


class BootFailed(AssertionError):
    """The daemons did not become ready in time."""


class Deployment:
    """A simulated deployment of complete daemons, driven through their HTTP API.

    Parameters
    ----------
    daemons : dict
        Data centre of each daemon.
    voters : list of str
        Daemons that vote, which have disks.
    targets : dict
        Data centre of each target.
    instances : dict
        Pool and rack of each instance.
    """

    def __init__(self, seed, facts, *, daemons, voters, targets, instances):
        self.facts = facts
        self.places = daemons
        self.voters = voters
        self.instances = instances
        self.files = make_files(instances, daemons)
        self.generation = 0
        self.job_owners = {}
        self.connected_since = dict.fromkeys(daemons)
        self.keys = {}
        self._status = {}
        self._applied = 0
        self._epochs = {}
        self.platform = FakePlatform(reboot_seconds=10.0)
        for name in instances:
            self.platform.add(name)
        self._seed = seed
        self.assemblies = {}
        self.world = World(
            self._build, seed=seed, platform=self.platform, accept=self._accept
        )
        self._table = EndpointTable(ENDPOINTS)
        self._losses = []
        self.world.is_ready = self.is_ready
        for name, place in daemons.items():
            self.world.add(name, data_centre=place, disk=name in voters)
        for name, place in targets.items():
            self._add_target(name, place)
        self.world.schedule(OBSERVE_SECONDS, self._observe)
        self._boot()

    def _build(self, name, recovered, incarnation):
        random = Random(f"{self._seed} {name} {incarnation}")
        assembly = Assembly(
            self.make_settings(name),
            incarnation=incarnation,
            recovered=recovered or Recovered(),
            random=random,
            secrets=Random(f"{self._seed} {name} {incarnation} secrets"),
        )
        self.assemblies[name] = assembly
        return assembly.node

    def _accept(self, recipient, source, incarnation, sequence):
        envelope = Envelope(
            source, incarnation, recipient, sequence, Timestamp(0, 0), NO_BODY
        )
        return self.assemblies[recipient].accept(envelope)

    def is_ready(self, name):
        """Return whether a daemon passes the load balancer's readiness check."""
        daemon = self.world.daemons[name]
        local_time = daemon.read_clock(self.world.now)
        return daemon.alive and self.assemblies[name].is_ready(local_time)

    def make_settings(self, name):
        """Return the settings of a daemon."""
        peers = [
            PeerSettings(peer, place, f"10.0.0.{number}", 8201, peer in self.voters)
            for number, (peer, place) in enumerate(self.places.items(), start=1)
        ]
        return Settings(
            name=name,
            data_centre=self.places[name],
            caller_port=8101,
            peer_port=8201,
            peers=peers,
            cluster_secret=SECRET,
            operator_key=OPERATOR_KEY,
            data_folder="data" if name in self.voters else "",
            seed=1,
        )

    def _add_target(self, name, place):
        def announce(target, now):
            return AnnounceTarget(
                name=target.name,
                incarnation=target.incarnation,
                data_centre=target.data_centre,
                service="seats",
                address=target.address,
                slots=SLOTS,
                connections=SLOTS * 8,
                leaving=target.leaving,
            )

        target = FakeTarget(name, announce, place, announce_interval=0.5)
        self.world.targets.add(target)

    def list_places(self):
        """Return every endpoint name that a partition may refer to."""
        places = {"caller", "platform"} | set(self.places) | set(self.places.values())
        for target in self.world.targets.by_name.values():
            places |= target.place
        return places

    # Calls.

    def ask(
        self,
        method,
        path,
        *,
        to="",
        key="",
        headers=None,
        body=None,
        payload=b"",
        origin=CALLER,
    ):
        """Make an HTTP call, decoded as the daemon's listener decodes it."""
        match = self._table.match(method, path)
        if match is None:
            raise AssertionError(f"no endpoint matches {method} {path}")
        content = msgspec.json.encode(body) if body is not None else payload
        try:
            call = match.decode(headers=headers or {}, query={}, body=content)
        except BadBoundary as error:
            raise AssertionError(f"{method} {path}: {error}") from error
        return self.world.call(
            call, to=to, credential=key, payload=payload, origin=origin
        )

    def ask_until(self, condition, method, path, *, within=BOOT_SECONDS, **options):
        """Repeat a call until its answer satisfies a condition; return that answer."""
        ends = self.world.now + within
        while self.world.now < ends:
            call = self.ask(method, path, **options)
            self.world.run_until(lambda call=call: call.ended, within=12.0)
            if call.answer is not None and condition(call.answer):
                return call.answer
            self.world.run(0.5)
        raise BootFailed(f"{method} {path}: last answer {call.answer}")

    # Start.

    def _boot(self):
        self.apply(within=BOOT_SECONDS)
        for team in TEAMS:
            self.give_key(team, team)
        self._wait_for_instances()

    def _wait_for_instances(self):
        def joined(answer):
            states = [item.state for item in answer.body.instances]
            return len(states) == len(self.instances) and set(states) == {"active"}

        if self.instances:
            self.ask_until(
                joined, "GET", "/v1/instances", key=OPERATOR_KEY, within=60.0
            )

    def apply(self, *, within):
        """Apply the complete folder and record the accepted generation."""
        body = {"base": self.generation, "files": self.files, "whole": True}
        answer = self.ask_until(
            lambda answer: answer.status == 200,
            "POST",
            "/v1/configuration/apply",
            key=OPERATOR_KEY,
            body=body,
            within=within,
        )
        self.record_accepted(answer.body.generation, self.files)
        return answer

    def record_accepted(self, generation, files):
        """Record the limits and budgets of an accepted folder for the checkers."""
        now = self.world.now
        if generation <= self.generation:
            return
        self.generation = generation
        self.files = dict(files)
        tables = merge_tables(files)
        limits = {team: table["limit"] for team, table in tables["teams"].items()}
        self.facts.accepted.append(AcceptedFacts(now, generation, limits))
        for team, table in tables["teams"].items():
            self.facts.limits.append(LimitFacts(now, team, table["limit"]))
        for pool, table in tables["pools"].items():
            budget = BudgetFacts(now, pool, table["max_unavailable"])
            self.facts.budgets.append(budget)
        self.facts.open_queues |= {
            name for name, table in tables["queues"].items() if table.get("open")
        }

    def find_pool_of_queue(self, queue):
        """Return the pool that a queue's jobs run on, according to the folder."""
        tables = merge_tables(self.files)
        service = tables["queues"][queue]["service"]
        return tables["services"][service]["pool"]

    def give_key(self, name, team):
        """Create a key for a team and store it under a name."""
        answer = self.ask_until(
            lambda answer: answer.status == 200,
            "POST",
            "/v1/keys/give",
            key=OPERATOR_KEY,
            body={"team": team},
        )
        key = KeyFacts(answer.body.key, team)
        self.facts.keys[answer.body.key] = key
        self.keys[name] = (answer.body.key_id, answer.body.key, team)

    # Observations.

    @property
    def status(self):
        """Latest status answered by each running process, by daemon."""
        return {
            name: status
            for name, (epoch, status) in sorted(self._status.items())
            if self.world.daemons[name].epoch == epoch
        }

    def _observe(self):
        self.world.schedule(OBSERVE_SECONDS, self._observe)
        for name, daemon in self.world.daemons.items():
            self._observe_connection(name, daemon)
            if daemon.alive and not daemon.paused:
                self._observe_daemon(name)

    def _observe_connection(self, name, daemon):
        reachable = [
            other
            for other in self.voters
            if self._is_connected(daemon, self.world.daemons[other])
        ]
        restarted = self._epochs.get(name) != daemon.epoch
        self._epochs[name] = daemon.epoch
        if restarted or 2 * len(reachable) <= len(self.voters):
            self.connected_since[name] = None
        elif self.connected_since[name] is None:
            self.connected_since[name] = self.world.now

    def _is_connected(self, first, second):
        if not all(item.alive and not item.paused for item in (first, second)):
            return False
        network = self.world.network
        return not network.blocks(first.place, second.place) and not network.blocks(
            second.place, first.place
        )

    def _observe_daemon(self, name):
        since = self.connected_since[name]
        epoch = self.world.daemons[name].epoch
        place = self.world.daemons[name].place
        call = self.ask("GET", "/v1/status", to=name, key=OPERATOR_KEY, origin=place)

        def record():
            if call.answer is None or call.answer.status != 200:
                return
            self._status[name] = (epoch, call.answer.body)
            sample = GenerationSample(
                call.answered_at, name, call.answer.body.generation, since
            )
            self.facts.samples.append(sample)

        self.world.schedule(0.1, record)
        listing = self.ask(
            "GET", "/v1/instances", to=name, key=OPERATOR_KEY, origin=place
        )
        self.world.schedule(0.1, lambda: self._record_pools(call, listing))

    def _record_pools(self, call, listing):
        if listing.answer is None or listing.answer.status != 200:
            return
        if call.answer is None or call.answer.body.applied < self._applied:
            return
        self._applied = call.answer.body.applied
        for item in listing.answer.body.instances:
            held = self.facts.pool_of.setdefault(item.name, [])
            if not held or held[-1][1] != item.pool:
                held.append((self.world.now, item.pool))

    def lose_instance(self, name):
        """Crash an instance."""
        self.platform.crash(name, self.world.now)
        self._losses.append([name, self.world.now, None])

    def restore_instance(self, name):
        """Restore a crashed instance."""
        self.platform.restore(name, self.world.now)
        for loss in self._losses:
            if loss[0] == name and loss[2] is None:
                loss[2] = self.world.now

    def collect(self, facts):
        """Add executions, outages, tasks and the active folders to the facts."""
        for name, daemon in self.world.daemons.items():
            if daemon.alive:
                facts.folders.append(self._sample_folder(name))
        facts.executions = self.world.targets.executions
        self.platform.advance(self.world.now)
        facts.outages = [
            OutageFacts(name, planned=False, began=began, ended=ended)
            for name, began, ended in self._losses
        ]
        facts.outages += [
            OutageFacts(name, True, at, at + self.platform.reboot_seconds)
            for at, name in self.platform.reboots
        ]
        facts.tasks = [self._describe_task(item) for item in self.platform.executions]

    def _sample_folder(self, name):
        section = self.assemblies[name].sections.configuration
        limits = {team: table.limit for team, table in section.folder.teams.items()}
        return FolderSample(name, section.generation, limits)

    def _describe_task(self, execution):
        job = execution.key.job_id
        ended = execution.ended_at
        pool, team = self.job_owners.get(job, ("", ""))
        return TaskRun(
            job,
            execution.key.attempt,
            execution.machine,
            pool,
            team,
            execution.started_at,
            None if ended == float("inf") else ended,
        )

    def list_reboots(self):
        """Return the trace entries of reboots that daemons requested."""
        return [
            entry
            for entry in self.world.trace
            if isinstance(entry.effect, CallPlatform)
            and isinstance(entry.effect.action, RebootInstance)
        ]


def merge_tables(files):
    """Merge TOML files key by key, independently of the code under test."""
    tables = defaultdict(dict)
    for name in sorted(files):
        for kind, items in msgspec.toml.decode(files[name]).items():
            for item, table in items.items():
                tables[kind].setdefault(item, {}).update(table)
    return tables


def make_files(instances, daemons):
    """Return the files of the initial folder of a world."""
    pools = sorted({pool for pool, _ in instances.values()}) or ["holds"]
    teams = [f"[teams.{team}]\nlimit = {limit}" for team, limit in TEAMS.items()]
    places = list(dict.fromkeys(daemons.values()))
    instance_tables = [
        f"[instances.{name}]\npool = '{pool}'\ndata_centre = '{place}'\n"
        f"rack = '{rack}'\nprocessors = 64\nmemory_gb = 128"
        for number, (name, (pool, rack)) in enumerate(instances.items())
        for place in [places[number % len(places)]]
    ]
    pool_tables = [
        f"[pools.{pool}]\nmax_unavailable = 1\nspare = {str(pool == 'spare').lower()}"
        for pool in pools
    ]
    services = [f"[services.{pool}]\npool = '{pool}'" for pool in pools]
    services.append(f"[services.seats]\npool = '{pools[0]}'")
    queues = [f"[queues.{pool}]\nservice = '{pool}'" for pool in pools]
    queues.append("[queues.seats]\nservice = 'seats'\ndeadline_seconds = 10")
    queues.append("[queues.seat-map]\nservice = 'seats'\nopen = true")
    wave = (
        f"[waves.kernel]\npools = ['{pools[0]}']\nconcurrency = 2\n"
        "dwell_seconds = 5\ndrain_seconds = 10"
    )
    return {
        "10-teams.toml": "\n".join(teams),
        "20-pools.toml": "\n".join(pool_tables),
        "30-services.toml": "\n".join(services),
        "40-queues.toml": "\n".join(queues),
        "50-instances.toml": "\n".join(instance_tables),
        "60-waves.toml": wave if instances else "",
    }


def make_three(seed, facts):
    """Make three daemons in three data centres, with one target each."""
    return Deployment(
        seed,
        facts,
        daemons={"a": "x", "b": "y", "c": "z"},
        voters=["a", "b", "c"],
        targets={"t1": "x", "t2": "y", "t3": "z"},
        instances={},
    )


def make_fleet(seed, facts):
    """Make three daemons, two pools of instances and a spare pool."""
    instances = {f"h{number}": ("holds", f"r{number % 2}") for number in range(4)}
    instances |= {f"m{number}": ("maps", f"r{number % 2}") for number in range(3)}
    instances |= {f"s{number}": ("spare", f"r{number % 2}") for number in range(2)}
    return Deployment(
        seed,
        facts,
        daemons={"a": "x", "b": "y", "c": "z"},
        voters=["a", "b", "c"],
        targets={},
        instances=instances,
    )


def make_hanbit(seed, facts):
    """Make Hanbit's deployment: four data centres of two daemons and two targets."""
    centres = ("seoul", "incheon", "busan", "daegu")
    daemons = {f"hanbit-{number}": centres[(number - 1) // 2] for number in range(1, 9)}
    targets = {f"seat-{number}": centres[(number - 1) // 2] for number in range(1, 9)}
    voters = ["hanbit-1", "hanbit-2", "hanbit-3", "hanbit-5", "hanbit-7"]
    return Deployment(
        seed, facts, daemons=daemons, voters=voters, targets=targets, instances={}
    )


def make_batedores(seed, facts):
    """Make the co-op's deployment: three data centres and seven daemons."""
    centres = ("recife", "caruaru", "olinda")
    daemons = {f"coop-{number}": centres[number % 3] for number in range(1, 8)}
    targets = {f"beat-{number}": centres[number % 3] for number in range(1, 7)}
    voters = ["coop-1", "coop-2", "coop-3"]
    return Deployment(
        seed, facts, daemons=daemons, voters=voters, targets=targets, instances={}
    )


WORLDS = {
    "three": make_three,
    "fleet": make_fleet,
    "hanbit": make_hanbit,
    "batedores": make_batedores,
}


__all__ = ["CALLER", "OPERATOR_KEY", "WORLDS", "BootFailed", "Call", "Deployment"]
