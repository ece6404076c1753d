"""Simulated cluster of fleet daemons over the emulated platform, in virtual time."""

from random import Random

from gypsumwalk.declaration_records import (
    Declaration,
    DeclaredQueue,
    DeclaredService,
    DeclaredTeam,
    Resources,
)
from gypsumwalk.emulator import EmulatedPlatform
from gypsumwalk.fleet_assembly import FleetAssembly, FleetLimits
from gypsumwalk.fleet_calls import (
    AnnounceInstanceCall,
    CancelWorkloadCall,
    DescribeWorkloadCall,
    PutDeclarationCall,
    ReadDeclarationCall,
    StartUpkeepCall,
    SubmitWorkloadCall,
)
from gypsumwalk.inputs import PlatformOutcome
from gypsumwalk.recovery import Recovered
from gypsumwalk.settings import PeerSettings, Settings
from gypsumwalk.workload_records import RegisteredInstance, Step
from tests._world import World

KEY = "key-of-a-team"
HOST = "jobs.example"
HEARTBEAT_SECONDS = 1.5
CAPACITY = Resources(8000, 16000)


NO_QUOTA = Resources()


def make_declaration(version=1, *, quota=NO_QUOTA, attempts=3, advice=None):
    queues = [
        DeclaredQueue(
            f"queue-{name}",
            HOST,
            f"/{name}/",
            f"service-{name}",
            timeout=3.0,
            max_attempts=attempts,
            advice=advice,
        )
        for name in ("a", "b")
    ]
    services = [DeclaredService("service-a"), DeclaredService("service-b")]
    teams = [DeclaredTeam("team", [KEY], 1.0, quota)]
    return Declaration(version, queues, services, teams, f"source {version}")


def lose_answer(effect):
    """Return the delay and the outcome of a call whose answer is lost."""
    lost = PlatformOutcome(effect.token, succeeded=False, unknown=True)
    return effect.timeout, lambda at: lost


class FleetWorld(World):
    """Voting daemons, an emulated platform with a few instances, and callers.

    ``task_seconds`` is the duration of a task run; ``run_results`` overrides it by task
    and run number with a pair of duration in seconds and result. Daemons are spread
    over ``data_centres``, by default one for each daemon, and are to bear
    ``disk_losses`` at the same time.
    """

    def __init__(
        self,
        seed=0,
        *,
        instances=3,
        task_seconds=0.5,
        daemons=3,
        max_lease=6.0,
        data_centres=None,
        disk_losses=0,
    ):
        self.seed = seed
        self.max_lease = max_lease
        self.disk_losses = disk_losses
        self.task_seconds = task_seconds
        self.run_results = {}
        self.lost_announcements = set()
        """Instances whose announcements are lost."""
        self.assemblies = {}
        self.first_start = True
        self.names = [f"v{number}" for number in range(daemons)]
        self.data_centres = {
            name: f"dc-v{number % (data_centres or daemons)}"
            for number, name in enumerate(self.names)
        }
        self.model = EmulatedPlatform(Random(f"platform {seed}"), self._find_run_result)
        self.model.max_lease = max_lease
        self.model.on_maintenance = self._schedule_restart
        super().__init__(self._build_node, seed=seed, platform=self.model)
        for name in self.names:
            self.add(name, data_centre=self.data_centres[name])
        for number in range(instances):
            self.start_instance(number)
        self.schedule(0.1, self._send_announcements)
        self.first_start = False

    def _find_run_result(self, task, run):
        return self.run_results.get((task, run), (self.task_seconds, "done"))

    def _build_node(self, name, recovered, incarnation):
        voters = self.names[:3]
        settings = Settings(
            name=name,
            data_centre=self.data_centres[name],
            caller_port=1,
            peer_port=2,
            peers=[
                PeerSettings(
                    name=voter,
                    data_centre="dc",
                    address=voter,
                    peer_port=2,
                    voter=True,
                )
                for voter in voters
            ],
            cluster_secret="0123456789abcdef",
            data_folder="data",
            tolerated_disk_losses=self.disk_losses,
        )
        assembly = FleetAssembly(
            settings,
            FleetLimits(max_lease=self.max_lease),
            incarnation=incarnation,
            recovered=recovered or Recovered(),
            random=Random(f"{self.seed}/{name}/{incarnation}"),
            first_start=self.first_start,
        )
        self.assemblies[name] = assembly
        return assembly.node

    def add_daemon(self, name, data_centre):
        """Start a further daemon with an empty disk."""
        self.names.append(name)
        self.data_centres[name] = data_centre
        self.add(name, data_centre=data_centre)

    # Instances

    def start_instance(self, number, *, life=1, service="service-a", clock_begin=None):
        registered = RegisteredInstance(
            instance=f"i-{number}",
            born=1000 + life,
            service=service,
            address=f"host-{number}:80",
            data_centre="dc",
            capacity=CAPACITY,
            labels=["a", f"rack-{number // 2}"],
            machine=f"m-{number}",
        )
        return self.model.add(registered, self.now, clock_begin=clock_begin)

    def get_instance(self, number):
        return self.model.instances[f"host-{number}:80"]

    def _schedule_restart(self, machine, now):
        number = int(machine.partition("-")[2])
        life = int(now) % 100000
        self.schedule(2.0, lambda: self.start_instance(number, life=life))

    def _send_announcements(self):
        for instance in list(self.model.instances.values()):
            if instance.registered.instance in self.lost_announcements:
                continue
            if not instance.is_dead and not instance.is_silent:
                leader = self.find_leader()
                if leader:
                    self.call(AnnounceInstanceCall(instance.registered), to=leader)
        self.schedule(HEARTBEAT_SECONDS, self._send_announcements)

    # Daemons

    def lose_power(self, *, wiped=(), down=0.8):
        """Take all daemons down for some seconds; some return with an empty disk."""
        for name in self.names:
            if name in wiped:
                self.lose_disk(name)
            else:
                self.cut_power(name)
        self.run(down)
        for name in self.names:
            self.restart(name)

    def find_leader(self):
        for name, daemon in self.daemons.items():
            own = daemon.read_clock(self.now)
            if not daemon.alive or daemon.paused:
                continue
            if self.assemblies[name].consensus.holds_lease(own):
                return name
        return ""

    def get_leader(self):
        return self.assemblies[self.find_leader()]

    def get_view(self, life):
        """Return what the leader knows of a life."""
        return self.get_leader().dispatcher.lease_table.instances[life]

    def list_lives(self):
        """Return the lives of instances that are registered with the leader."""
        return set(self.get_leader().workloads.instances)

    def begin(self, **declared):
        assert self.run_until(self.find_leader, within=10.0)
        self.declare(make_declaration(**declared))
        self.run(2.0)

    # Callers

    def ask(self, body, *, key=KEY, within=3.0):
        """Send a call to the leader, as the relay does, and wait for the answer."""
        assert self.run_until(self.find_leader, within=10.0)
        call = self.call(body, to=self.find_leader(), credential=key)
        self.run_until(lambda: call.ended, within=within)
        return call.answer

    def declare(self, declaration):
        return self.ask(PutDeclarationCall(declaration))

    def read_declaration(self):
        return self.ask(ReadDeclarationCall())

    def submit(self, job, steps=None, *, queue="a", key=KEY, **fields):
        steps = steps or [Step(2, Resources(1000, 1000))]
        call = SubmitWorkloadCall(
            HOST, f"/{queue}/{job}", f"spec {job}", steps, **fields
        )
        return self.ask(call, key=key)

    def describe(self, job, *, queue="a", key=KEY):
        return self.ask(DescribeWorkloadCall(HOST, f"/{queue}/{job}"), key=key)

    def cancel(self, job, *, queue="a"):
        return self.ask(CancelWorkloadCall(HOST, f"/{queue}/{job}"))

    def start_wave(self, wave, machines, *, duration=30.0, max_down=1):
        return self.ask(StartUpkeepCall(wave, machines, duration, max_down))

    def get_state(self, job):
        answer = self.describe(job)
        return answer.body.state.value if answer and answer.status == 200 else ""

    def await_state(self, job, state, *, within=20.0):
        end = self.now + within
        while self.now < end:
            if self.get_state(job) == state:
                return True
            self.run(0.1)
        return False
