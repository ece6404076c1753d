"""Simulated cluster whose instances are spread over two data centres."""

import msgspec

from gypsumwalk.declaration_records import DeclaredService
from gypsumwalk.fleet_calls import FinishEvacuationCall, StartEvacuationCall
from gypsumwalk.instance_actions import MachineInfo, MoveMachine
from tests._fleet_work import CAPACITY, FleetWorld, make_declaration

EAST, WEST = "east", "west"
STANDBY = "service-off"
MOVE_SECONDS = 1.5
"""Time that a machine takes to move to another pool."""
IN_FORCE_SECONDS = 5.0
"""Time after the acknowledgement from which no task may start, by the platform."""


def find_place(number):
    """Return the data centre of an instance or a machine by its number."""
    return EAST if number % 2 == 0 else WEST


class EvacuationWorld(FleetWorld):
    """Cluster in which instances and machines with an even number are in ``EAST``.

    Unlike in ``FleetWorld``, machines move to other pools when they are ordered to.
    """

    def __init__(self, seed=0, **fields):
        self.acknowledged_at = {}
        super().__init__(seed, **fields)
        self._call_model = self.model.call
        self.model.call = self._call

    def _call(self, effect, now):
        if isinstance(effect.action, MoveMachine):
            self._move(effect.action, now)
        return self._call_model(effect, now)

    def _move(self, action, now):
        number = int(action.machine.removeprefix("m-"))
        instance = self.model.instances.get(f"host-{number}:80")
        if instance is not None:
            self.model.crash(instance, now)
        self.add_machine(number, action.service)
        if action.service != STANDBY:
            life = int(now * 10) % 1_000_000
            self.schedule(
                MOVE_SECONDS,
                lambda: self.start_instance(number, life=life, service=action.service),
            )

    def add_machine(self, number, service):
        """Add a machine without an instance, or change its pool."""
        self.model.machines[f"m-{number}"] = MachineInfo(
            f"m-{number}", service, "up", find_place(number), capacity=CAPACITY
        )

    def start_instance(self, number, *, life=1, service="service-a"):
        instance = super().start_instance(number, life=life, service=service)
        registered = msgspec.structs.replace(
            instance.registered, data_centre=find_place(number)
        )
        instance.registered = registered
        info = self.model.machines[registered.machine]
        self.model.machines[registered.machine] = msgspec.structs.replace(
            info, data_centre=registered.data_centre, capacity=CAPACITY
        )
        return instance

    def evacuate(self, data_centre=EAST):
        answer = self.ask(StartEvacuationCall(data_centre))
        assert answer.status == 200
        self.acknowledged_at[data_centre] = self.now

    def end_evacuation(self, data_centre=EAST):
        assert self.ask(FinishEvacuationCall(data_centre)).status == 200
        self.acknowledged_at.pop(data_centre, None)

    def declare_standby(self, version=2):
        declaration = make_declaration(version)
        services = [
            *declaration.services,
            DeclaredService(STANDBY, standby=True),
        ]
        self.declare(msgspec.structs.replace(declaration, services=services))

    def find_place(self, run):
        """Return the data centre in which a run of the history takes place."""
        return find_place(int(run.life.partition("@")[0].removeprefix("i-")))

    def list_running(self, place, job=""):
        return [
            run
            for run in self.model.history
            if run.ended is None
            and self.find_place(run) == place
            and run.task.startswith(job)
        ]

    def list_starts(self, place, since):
        """Return the runs that began in a data centre after a time in seconds."""
        return [
            run
            for run in self.model.history
            if run.started > since and self.find_place(run) == place
        ]
