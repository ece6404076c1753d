"""Records of maintenance waves, and their commands."""

from enum import StrEnum

import msgspec

from gypsumwalk.reasons import Reason

__all__ = [
    "AbortWave",
    "AcknowledgeReboot",
    "ConfirmBoot",
    "GrantReboot",
    "GrantWaveDrain",
    "ItemState",
    "PauseWave",
    "ReturnWaveInstance",
    "StartWave",
    "WaveItem",
    "WaveRecord",
    "WaveState",
]


class WaveState(StrEnum):
    """States of ``charts/wave.toml``."""

    RUNNING = "running"
    PAUSED = "paused"
    ABORTED = "aborted"
    FINISHED = "finished"


class ItemState(StrEnum):
    """Where one instance stands in a wave."""

    PENDING = "pending"
    AWAY = "away"
    DONE = "done"
    SKIPPED = "skipped"


class StartWave(msgspec.Struct, frozen=True, tag=True):
    """Start a run of a wave, or resume it after a pause.

    Attributes
    ----------
    wave : str
        The wave.
    run : int
        Number of the run, one more than that of the last one that ended.
    """

    wave: str
    run: int


class PauseWave(msgspec.Struct, frozen=True, tag=True):
    """Stop to take further instances away.

    Attributes
    ----------
    wave : str
        The wave.
    run : int
        Number of the run.
    reason : str
        Why.
    """

    wave: str
    run: int
    reason: str


class AbortWave(msgspec.Struct, frozen=True, tag=True):
    """End a wave, and let what is drained and not rebooted go back to work."""

    wave: str
    run: int


class GrantWaveDrain(msgspec.Struct, frozen=True, tag=True):
    """Drain one instance of a wave, if concurrency and budget allow.

    Attributes
    ----------
    wave : str
        The wave.
    run : int
        Number of the run.
    instance : str
        The instance.
    silent : list of str
        Instances of its pool that the proposer has not heard of lately.
    """

    wave: str
    run: int
    instance: str
    silent: list[str] = []


class GrantReboot(msgspec.Struct, frozen=True, tag=True):
    """Reboot one drained instance of a wave, if the budget still allows.

    Attributes
    ----------
    wave : str
        The wave.
    run : int
        Number of the run.
    instance : str
        The instance.
    boots : int
        How often it has booted so far.
    silent : list of str
        Instances of its pool that the proposer has not heard of lately.
    """

    wave: str
    run: int
    instance: str
    boots: int
    silent: list[str] = []


class AcknowledgeReboot(msgspec.Struct, frozen=True, tag=True):
    """Note that the platform answered the call for a reboot.

    Attributes
    ----------
    instance : str
        The instance.
    index : int
        Position in the log of the grant that was answered.
    refused : str
        Why the platform refused it, or empty.
    """

    instance: str
    index: int
    refused: str = ""


class ConfirmBoot(msgspec.Struct, frozen=True, tag=True):
    """Note that a rebooted instance is up again and healthy."""

    wave: str
    instance: str
    boots: int


class ReturnWaveInstance(msgspec.Struct, frozen=True, tag=True):
    """Note that an instance of a wave is no longer away.

    Attributes
    ----------
    wave : str
        The wave.
    instance : str
        The instance.
    """

    wave: str
    instance: str


class WaveItem(msgspec.Struct):
    """One instance of a wave.

    Attributes
    ----------
    state : ItemState
        Where it stands.
    rebooted : bool
        Whether this wave rebooted it.
    away_at : float
        Time in seconds at which it was taken away, 0 before.
    attempts : int
        How often it was taken away.
    """

    state: ItemState = ItemState.PENDING
    rebooted: bool = False
    away_at: float = 0.0
    attempts: int = 0


class WaveRecord(msgspec.Struct):
    """What the replicated state keeps of the latest run of a wave.

    Attributes
    ----------
    name : str
        The wave.
    run : int
        Number of the run.
    state : WaveState
        Where it stands.
    started_at : float
        Time in seconds at which it started.
    resumed_at : float
        Time in seconds at which it started or was last resumed.
    ended_at : float
        Time in seconds at which it ended, 0 before.
    items : dict of str to WaveItem
        Its instances, in the order that they are taken away.
    away_seconds : float
        Sum of the seconds for which its finished instances were away.
    done : int
        Instances that are finished.
    skipped : int
        Instances that were left out.
    away : dict of str to None
        Instances that are away.
    reasons : list of Reason
        Why it is where it is.
    """

    name: str
    run: int
    state: WaveState
    started_at: float
    resumed_at: float
    ended_at: float = 0.0
    items: dict[str, WaveItem] = {}
    away_seconds: float = 0.0
    done: int = 0
    skipped: int = 0
    away: dict[str, None] = {}
    reasons: list[Reason] = []

    @property
    def active(self) -> bool:
        """Whether it has not ended."""
        return self.state in (WaveState.RUNNING, WaveState.PAUSED)

    def move_item(self, instance: str, state: ItemState) -> None:
        """Note where an instance stands.

        Parameters
        ----------
        instance : str
            The instance.
        state : ItemState
            Where it stands.
        """
        item = self.items[instance]
        item.state = state
        self.away.pop(instance, None)
        if state is ItemState.AWAY:
            self.away[instance] = None
        self.done += state is ItemState.DONE
        self.skipped += state is ItemState.SKIPPED

    def list_items(self, state: ItemState) -> list[str]:
        """Return the instances that stand in a state, in order."""
        return [name for name, item in self.items.items() if item.state is state]
