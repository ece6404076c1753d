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
    """Command: begin a wave; the same number again changes nothing."""

    wave: int
    machines: list[str]
    duration: float
    max_down: int


class BeginMaintenance(msgspec.Struct, frozen=True, tag=True):
    """Command: note that a machine is about to be taken down for a wave.

    Attributes
    ----------
    wave : int
        Number of the wave.
    machine : str
        The machine.
    life : str
        Life of the instance on it, empty if there is none.
    holder : str
        Daemon that gives the order.
    """

    wave: int
    machine: str
    life: str
    holder: str = ""


class OrderMoves(msgspec.Struct, frozen=True, tag=True):
    """Command: note which machines a holder is about to move, before it does.

    Attributes
    ----------
    holder : str
        Daemon that gives the orders.
    term : int
        Its term.
    services : dict of str to str
        Service that each machine goes to.
    """

    holder: str
    term: int
    services: dict[str, str]


class NoteMaintained(msgspec.Struct, frozen=True, tag=True):
    """Command: note that machines of a wave have begun their maintenance, or left."""

    wave: int
    machines: list[str]


class BegunMaintenance(msgspec.Struct, frozen=True):
    """A machine that was to be taken down: the life on it then, and the time."""

    life: str
    at: float


class UpkeepWave(msgspec.Struct):
    """One wave.

    Attributes
    ----------
    wave : int
        Number of the wave.
    machines : list of str
        Machines that are due.
    started : float
        Time in seconds at which it was accepted.
    duration : float
        Seconds in which it has to be completed.
    max_down : int
        Most machines that may be down for it at once.
    maintained : list of str
        Machines that have begun their maintenance, or have left the fleet.
    begun : dict of str to BegunMaintenance
        Machines that were ordered down, whether or not the order was answered.
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
        """Machines that are still due, in the operator's order."""
        return [item for item in self.machines if item not in self.maintained]


class UpkeepSection:
    """All waves."""

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
        """Time in seconds, by its holder's clock, of each machine's latest order."""

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
        """Tell whether every machine of a wave has had its maintenance."""
        known = self.waves.get(wave)
        return known is not None and not known.remaining

    def list_open(self) -> list[UpkeepWave]:
        """Return the waves that are not completed, the one due first at first."""
        waves = [wave for wave in self.waves.values() if wave.remaining]
        return sorted(waves, key=lambda wave: wave.started + wave.duration)

    def dump(self) -> bytes:
        """Return the section as bytes, the same for the same state."""
        return msgspec.msgpack.encode([self.waves[item] for item in sorted(self.waves)])

    def load(self, content: bytes) -> None:
        """Replace the section by one that was dumped."""
        waves = msgspec.msgpack.decode(content, type=list[UpkeepWave])
        self.waves = {wave.wave: wave for wave in waves}
