"""Simulated cluster whose instances are spread over two data centres."""

import msgspec

from gypsumwalk.declaration_records import DeclaredService
from gypsumwalk.fleet_calls import FinishEvacuationCall, StartEvacuationCall
from tests._fleet_work import FleetWorld, make_declaration

EAST, WEST = "east", "west"
IN_FORCE_SECONDS = 5.0
"""Time after the acknowledgement from which no task may start, by the platform."""


class EvacuationWorld(FleetWorld):
    """Cluster in which instances with an even number are in ``EAST``."""

    def __init__(self, seed=0, **fields):
        self.acknowledged_at = {}
        super().__init__(seed, **fields)

    def start_instance(self, number, *, life=1, service="service-a"):
        instance = super().start_instance(number, life=life, service=service)
        place = EAST if number % 2 == 0 else WEST
        instance.registered = msgspec.structs.replace(
            instance.registered, data_centre=place
        )
        machine = instance.registered.machine
        info = self.model.machines[machine]
        self.model.machines[machine] = msgspec.structs.replace(info, data_centre=place)
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
            DeclaredService("service-off", standby=True),
        ]
        self.declare(msgspec.structs.replace(declaration, services=services))

    def find_place(self, run):
        """Return the data centre in which a run of the history takes place."""
        number = int(run.life.partition("@")[0].removeprefix("i-"))
        return EAST if number % 2 == 0 else WEST

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
