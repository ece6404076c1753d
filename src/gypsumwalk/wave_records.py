"""Records of maintenance waves, and replicated commands on them."""

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
    """Progress of one instance in a wave."""

    PENDING = "pending"
    AWAY = "away"
    """Out of service: draining, drained, rebooting or dwelling."""
    DONE = "done"
    SKIPPED = "skipped"


class StartWave(msgspec.Struct, frozen=True, tag=True):
    """Start a run of a wave, or resume it after a pause.

    Attributes
    ----------
    wave : str
        The wave.
    run : int
        Number of the run: one more than the last ended run, or that of a paused run.
    """

    wave: str
    run: int


class PauseWave(msgspec.Struct, frozen=True, tag=True):
    """Pause a run: no further instance is drained or rebooted.

    Attributes
    ----------
    wave : str
        The wave.
    run : int
        Number of the run.
    reason : str
        Reason for the pause.
    """

    wave: str
    run: int
    reason: str


class AbortWave(msgspec.Struct, frozen=True, tag=True):
    """Abort a run; drained instances not yet rebooted return to service."""

    wave: str
    run: int


class GrantWaveDrain(msgspec.Struct, frozen=True, tag=True):
    """Drain one instance of a wave if concurrency and budget allow it.

    Attributes
    ----------
    wave : str
        The wave.
    run : int
        Number of the run.
    instance : str
        The instance.
    silent : list of str
        Instances of its pool without a recent heartbeat at the proposer.
    """

    wave: str
    run: int
    instance: str
    silent: list[str] = []


class GrantReboot(msgspec.Struct, frozen=True, tag=True):
    """Reboot one drained instance of a wave if the budget still allows it.

    Attributes
    ----------
    wave : str
        The wave.
    run : int
        Number of the run.
    instance : str
        The instance.
    boots : int
        Boot count of the instance before the reboot.
    silent : list of str
        Instances of its pool without a recent heartbeat at the proposer.
    """

    wave: str
    run: int
    instance: str
    boots: int
    silent: list[str] = []


class AcknowledgeReboot(msgspec.Struct, frozen=True, tag=True):
    """Record that the platform answered a reboot request.

    Attributes
    ----------
    instance : str
        The instance.
    index : int
        Log index of the grant that was answered.
    refused : str
        Reason for which the platform refused the reboot, or empty.
    """

    instance: str
    index: int
    refused: str = ""


class ConfirmBoot(msgspec.Struct, frozen=True, tag=True):
    """Record that a rebooted instance is up and healthy."""

    wave: str
    instance: str
    boots: int


class ReturnWaveInstance(msgspec.Struct, frozen=True, tag=True):
    """Finish, skip or requeue an instance of a wave that is not out of service.

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
        Progress in the wave.
    rebooted : bool
        Whether the wave has rebooted the instance.
    away_at : float
        Time in seconds of its last drain, 0 before the first.
    attempts : int
        Number of drains.
    """

    state: ItemState = ItemState.PENDING
    rebooted: bool = False
    away_at: float = 0.0
    attempts: int = 0


class WaveRecord(msgspec.Struct):
    """Replicated record of the latest run of a wave.

    Attributes
    ----------
    name : str
        The wave.
    run : int
        Number of the run.
    state : WaveState
        State of the run.
    started_at : float
        Time in seconds of the start.
    resumed_at : float
        Time in seconds of the start or the last resumption.
    ended_at : float
        Time in seconds of the end, 0 before.
    items : dict of str to WaveItem
        Instances of the run in drain order.
    away_seconds : float
        Total time in seconds that finished instances were out of service.
    done : int
        Number of finished instances.
    skipped : int
        Number of skipped instances.
    away : dict of str to None
        Instances out of service, as an ordered set.
    reasons : list of Reason
        Reasons for the current state, oldest first.
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
    def is_active(self) -> bool:
        """Whether the run is running or paused."""
        return self.state in (WaveState.RUNNING, WaveState.PAUSED)

    def move_item(self, instance: str, state: ItemState) -> None:
        """Set the progress of an instance and update the counters.

        Parameters
        ----------
        instance : str
            The instance.
        state : ItemState
            New progress.
        """
        item = self.items[instance]
        item.state = state
        self.away.pop(instance, None)
        if state is ItemState.AWAY:
            self.away[instance] = None
        self.done += state is ItemState.DONE
        self.skipped += state is ItemState.SKIPPED

    def list_items(self, state: ItemState) -> list[str]:
        """Return the instances in a state, in drain order."""
        return [name for name, item in self.items.items() if item.state is state]
