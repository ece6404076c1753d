"""Maintenance waves over machines, as a section of the replicated state."""

import msgspec

from gypsumwalk.state import Accepted

__all__ = [
    "BeginMaintenance",
    "NoteMaintained",
    "OrderMoves",
    "StartUpkeep",
    "UpkeepSection",
    "UpkeepWave",
]


class StartUpkeep(msgspec.Struct, frozen=True, tag=True):
    """Command: start a wave; idempotent by the number of the wave."""

    wave: int
    machines: list[str]
    duration: float
    max_down: int


class BeginMaintenance(msgspec.Struct, frozen=True, tag=True):
    """Command: record that a machine will be taken down for a wave.

    Attributes
    ----------
    wave : int
        Number of the wave.
    machine : str
        The machine.
    life : str
        Incarnation of the instance on it, empty if there is none.
    holder : str
        Daemon that sends the order.
    """

    wave: int
    machine: str
    life: str
    holder: str = ""


class OrderMoves(msgspec.Struct, frozen=True, tag=True):
    """Command: record which machines a holder will move, before it sends the orders.

    Attributes
    ----------
    holder : str
        Daemon that sends the orders.
    term : int
        Term of the holder.
    services : dict of str to str
        New service of each machine.
    """

    holder: str
    term: int
    services: dict[str, str]


class NoteMaintained(msgspec.Struct, frozen=True, tag=True):
    """Command: record that machines began their maintenance, or left the fleet.

    Attributes
    ----------
    wave : int
        Number of the wave.
    machines : list of str
        The machines.
    holder : str
        Daemon whose order was answered, empty if the machines left the fleet.
    """

    wave: int
    machines: list[str]
    holder: str = ""


class BegunMaintenance(msgspec.Struct, frozen=True):
    """Incarnation on a machine when its maintenance was ordered, and the time."""

    life: str
    at: float


class UpkeepWave(msgspec.Struct):
    """One maintenance wave.

    Attributes
    ----------
    wave : int
        Number of the wave.
    machines : list of str
        Machines to maintain, in the operator's order.
    started : float
        Time in seconds at which the wave was accepted.
    duration : float
        Time in seconds from ``started`` to the deadline.
    max_down : int
        Most machines that may be down for the wave at once.
    maintained : list of str
        Machines that have begun their maintenance, or have left the fleet.
    begun : dict of str to BegunMaintenance
        Machines whose maintenance was ordered, whether or not it was confirmed.
    """

    wave: int
    machines: list[str]
    started: float
    duration: float
    max_down: int
    maintained: list[str] = []
    begun: dict[str, BegunMaintenance] = {}

    @property
    def remaining(self) -> list[str]:
        """Machines still to maintain, in the operator's order."""
        return [item for item in self.machines if item not in self.maintained]


class UpkeepSection:
    """Maintenance waves by number, and the time of the latest order to each machine."""

    name = "upkeep"
    commands: tuple[type, ...] = (
        StartUpkeep,
        BeginMaintenance,
        NoteMaintained,
        OrderMoves,
    )

    def __init__(self) -> None:
        self.waves: dict[int, UpkeepWave] = {}
        self.ordered_at: dict[str, float] = {}
        """Time in seconds, by the holder's clock, of the last order to each machine."""
        self.loads = 0
        """Number of snapshots that were loaded; they hold no times or holders."""

    def apply(self, command: msgspec.Struct, index: int, at: float) -> msgspec.Struct:
        """Apply one committed command."""
        match command:
            case StartUpkeep(wave=wave):
                if wave not in self.waves:
                    self.waves[wave] = UpkeepWave(
                        wave,
                        list(dict.fromkeys(command.machines)),
                        at,
                        command.duration,
                        max(1, command.max_down),
                        [],
                        {},
                    )
            case BeginMaintenance(wave=wave, machine=machine, life=life):
                if (known := self.waves.get(wave)) and machine not in known.begun:
                    known.begun[machine] = BegunMaintenance(life, at)
                    self.ordered_at[machine] = at
            case OrderMoves(services=services):
                self.ordered_at.update(dict.fromkeys(services, at))
            case NoteMaintained(wave=wave, machines=machines):
                known = self.waves.get(wave)
                if known is not None:
                    known.maintained += [
                        item for item in machines if item not in known.maintained
                    ]
        return Accepted(index)

    def is_completed(self, wave: int) -> bool:
        """Return whether every machine of a wave was maintained or left the fleet."""
        known = self.waves.get(wave)
        return known is not None and not known.remaining

    def list_open(self) -> list[UpkeepWave]:
        """Return the waves that are not completed, earliest deadline first."""
        waves = [wave for wave in self.waves.values() if wave.remaining]
        return sorted(waves, key=lambda wave: wave.started + wave.duration)

    def dump(self) -> bytes:
        """Return the section as bytes; equal states give equal bytes."""
        return msgspec.msgpack.encode([self.waves[item] for item in sorted(self.waves)])

    def load(self, content: bytes) -> None:
        """Replace the section by a dumped one."""
        waves = msgspec.msgpack.decode(content, type=list[UpkeepWave])
        self.waves = {wave.wave: wave for wave in waves}
        self.loads += 1
