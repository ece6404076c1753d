"""Simulated cluster with a standby pool, whose machines move and are maintained."""

import msgspec

from gypsumwalk.declaration_records import (
    Declaration,
    DeclaredQueue,
    DeclaredService,
    DeclaredTeam,
)
from gypsumwalk.fleet_calls import AnnounceInstanceCall
from gypsumwalk.instance_actions import MachineReport, MaintainMachine, MoveMachine
from tests._fleet_work import HOST, KEY, NO_QUOTA, FleetWorld

STANDBY = "service-off"
MOVE_SECONDS = 1.5
MAINTENANCE_SECONDS = 2.0


class WaveWorld(FleetWorld):
    """Cluster whose machine API takes the time of moves and maintenances.

    A machine that moves or is maintained is listed so, and refuses other orders
    meanwhile. A machine of the standby pool has no instance. An instance announces
    itself as soon as it has started, ``boot_seconds`` after its maintenance.
    """

    boot_seconds = 0.0

    def __init__(self, seed=0, **fields):
        super().__init__(seed, **fields)
        self.refused = set()
        """Machines whose orders are refused as busy."""
        self.moves = []
        """Time, machine and service of each move that was carried out."""
        self._lives = {}
        self._handle = self.model._handle_machine_action
        self.model._handle_machine_action = self._answer

    def begin(self, **declared):
        super().begin(**declared)
        queues = [
            DeclaredQueue(f"queue-{name}", HOST, f"/{name}/", f"service-{name}", 3.0)
            for name in ("a", "b")
        ]
        services = [
            DeclaredService("service-a"),
            DeclaredService("service-b"),
            DeclaredService(STANDBY, standby=True),
        ]
        teams = [DeclaredTeam("team", [KEY], 1.0, NO_QUOTA)]
        self.declare(Declaration(2, queues, services, teams, "source 2"))

    def _answer(self, action, now):
        machine = getattr(action, "machine", "")
        if not machine:
            return self._handle(action, now)
        if machine in self.refused or self.model.machines[machine].state != "up":
            return MachineReport("busy")
        service = self.model.machines[machine].service
        report = self._handle(action, now)
        if isinstance(action, MoveMachine):
            self.moves.append((now, machine, action.service))
            self._end(machine, now)
            self._change(machine, action.service, "moving")
            self.schedule(MOVE_SECONDS, lambda: self._return(machine, action.service))
        elif isinstance(action, MaintainMachine):
            self._change(machine, service, "maintenance")
        return report

    def _schedule_restart(self, machine, now):
        service = self.model.machines[machine].service
        away = MAINTENANCE_SECONDS + self.boot_seconds
        self.schedule(away, lambda: self._return(machine, service))

    def _end(self, machine, now):
        for instance in self.model.instances.values():
            if instance.registered.machine == machine and not instance.is_dead:
                self.model.crash(instance, now)

    def _change(self, machine, service, state):
        info = self.model.machines[machine]
        changed = msgspec.structs.replace(info, service=service, state=state)
        self.model.machines[machine] = changed

    def _return(self, machine, service):
        self._change(machine, service, "up")
        if service == STANDBY:
            return
        number = int(machine.partition("-")[2])
        self._lives[number] = self._lives.get(number, 1) + 1
        instance = self.start_instance(
            number, life=self._lives[number], service=service
        )
        if leader := self.find_leader():
            self.call(AnnounceInstanceCall(instance.registered), to=leader)

    def list_begun(self, wave=1):
        """Return the time of the first maintenance of each machine in a wave."""
        begun = {}
        for at, number, machine in self.model.maintenance_orders:
            if number == wave:
                begun.setdefault(machine, at)
        return begun

    def find_most_down(self):
        """Return the most machines that were in maintenance at the same time."""
        times = sorted(at for at, _, _ in self.model.maintenance_orders)
        return max(
            sum(at <= other < at + MAINTENANCE_SECONDS for other in times)
            for at in times
        )
