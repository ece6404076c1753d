"""Pace of maintenance waves: which machines go next, and what holds the others back."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum
from itertools import islice

from gypsumwalk.upkeep import UpkeepWave

__all__ = [
    "DEADLINE_RESERVE_SECONDS",
    "REGISTRATION_SECONDS",
    "HoldReason",
    "WaveMachine",
    "WavePlan",
    "find_concurrency",
    "find_drain_cost",
    "find_hold",
    "find_time_needed",
    "is_wave_urgent",
    "plan_wave",
]

REGISTRATION_SECONDS = 1.0
"""Time after a maintenance until the new instance registers."""

DRAIN_SECONDS = 1.5
"""Time that draining the tasks of a machine usually takes."""

STANDBY_ONLY_SHARE = 0.45
"""Share of a wave's duration in which only standby machines are taken down."""

DEADLINE_RESERVE_SECONDS = 4.0
"""Time before a wave's deadline from which running tasks are not waited for."""

TASK_MOVE_SECONDS = 2.0
"""Time from the stop of a lasting task until the next one of its step may be stopped;
1.5 s in the median and 2.0 s at the 90th percentile in the simulated cluster, with
every machine in use."""

MOVE_SECONDS = 3.5
"""Longest time for which a machine that moves to another pool can't be ordered. One
that began to move when the time is short would use up nearly the whole reserve."""


class HoldReason(Enum):
    """What holds a machine back from its maintenance."""

    NOT_LISTED = "not listed"
    UNANSWERED = "its order had no success"
    MOVING = "moving"
    COOLDOWN = "cooldown"
    NOT_UP = "not up"
    NO_PLACE = "no place for its lasting tasks"
    LASTING_RUN = "lasting run"
    DRAINING = "draining"
    TRANSIENT_RUN = "transient run"
    MAX_DOWN = "max_down"
    TURN = "its turn"


@dataclass(frozen=True, slots=True)
class WaveMachine:
    """A machine whose maintenance is not ordered yet.

    Attributes
    ----------
    machine : str
        Identifier.
    is_listed : bool
        Whether the list of machines contains it.
    is_up : bool
        Whether the list shows it as up.
    is_moving : bool
        Whether it is moving to another pool.
    is_cooling : bool
        Whether another holder may have ordered it less than the cooldown ago.
    is_standby : bool
        Whether it is in the standby pool.
    is_leaving : bool
        Whether its instance drains by an order of its own.
    runs : int
        Number of runs on it.
    lasting_runs : int
        Number of its runs that are lasting.
    stopping_runs : int
        Number of its lasting runs that are being stopped.
    is_emptied : bool
        Whether an earlier plan emptied it ahead of its turn.
    is_pinned : bool
        Whether it has a lasting run that no budget ever allows to stop.
    is_started : bool
        Whether its lasting tasks are being moved, so that it goes on.
    """

    machine: str
    is_listed: bool = True
    is_up: bool = True
    is_moving: bool = False
    is_cooling: bool = False
    is_standby: bool = False
    is_leaving: bool = False
    runs: int = 0
    lasting_runs: int = 0
    stopping_runs: int = 0
    is_emptied: bool = False
    is_pinned: bool = False
    is_started: bool = False

    @property
    def is_due(self) -> bool:
        """Whether it may be chosen."""
        return self.is_listed and not self.is_moving and not self.is_cooling


@dataclass(frozen=True, slots=True)
class WavePlan:
    """Machines of a wave that go next.

    Attributes
    ----------
    chosen : tuple of str
        Machines to empty and take down, in this order.
    emptied : tuple of str
        Those of them that are emptied ahead of their turn. They have to be chosen until
        they are taken down, as lasting tasks would start there again.
    later : tuple of str
        Other machines in use, whose lasting tasks may move ahead.
    blocked : tuple of str
        Machines that would go next if their lasting tasks could leave them.
    is_urgent : bool
        Whether transient runs are not waited for any more.
    is_closing : bool
        Whether the machines have to stay in their pools.
    """

    chosen: tuple[str, ...]
    emptied: tuple[str, ...]
    later: tuple[str, ...]
    is_urgent: bool
    is_closing: bool
    blocked: tuple[str, ...] = ()


def plan_wave(
    wave: UpkeepWave,
    machines: Sequence[WaveMachine],
    now: float,
    maintenance: float,
    *,
    has_standby: bool,
    move_rounds: int = 0,
    movable: Sequence[str] = (),
    can_empty: Callable[[WaveMachine], bool] = lambda machine: True,
) -> WavePlan:
    """Choose the machines of a wave that go next.

    Parameters
    ----------
    wave : UpkeepWave
        The wave.
    machines : Sequence of WaveMachine
        Machines whose maintenance is not ordered yet.
    now : float
        Time in seconds.
    maintenance : float
        Time in seconds that the maintenance of a machine takes.
    has_standby : bool
        Whether the fleet has a standby pool.
    move_rounds : int
        Number of moves of lasting tasks that the budgets allow only one after the
        other.
    movable : Sequence of str
        Machines whose lasting tasks the budgets allow to move now.
    can_empty : callable
        Tells whether all lasting tasks can leave a machine, if those that it accepted
        before are emptied too.

    Returns
    -------
    WavePlan
        The machines, those that are emptied soonest first.
    """
    left = wave.started + wave.duration - now
    listed = sum(item.is_listed for item in machines)
    needed = find_time_needed(listed, wave, maintenance)
    due = sorted((item for item in machines if item.is_due), key=find_drain_cost)
    standby = [item.machine for item in due if item.is_standby]
    active = [item for item in due if not item.is_standby]
    concurrency = find_concurrency(
        listed, wave, now, maintenance, has_standby=has_standby
    )
    blocked: list[str] = []

    def is_accepted(item: WaveMachine) -> bool:
        """Tell whether a machine can be emptied, and note it otherwise."""
        if can_empty(item):
            return True
        blocked.append(item.machine)
        return False

    accepted = filter(is_accepted, active)
    chosen = [item.machine for item in islice(accepted, concurrency)]
    emptied: list[str] = []
    round_seconds = maintenance + REGISTRATION_SECONDS
    moving_seconds = move_rounds * TASK_MOVE_SECONDS
    if left <= moving_seconds + round_seconds + DEADLINE_RESERVE_SECONDS:
        # The budgets allow few moves at a time, so these machines are emptied first.
        emptied = [
            item.machine
            for item in active
            if item.machine not in blocked
            and (item.is_emptied or item.machine in movable)
            and (item.machine in chosen or is_accepted(item))
        ]
        chosen += [item for item in emptied if item not in chosen]
    return WavePlan(
        chosen=(*standby[: wave.max_down], *chosen),
        emptied=tuple(emptied),
        later=tuple(
            item.machine
            for item in active
            if item.machine not in chosen and item.machine not in blocked
        ),
        is_urgent=is_wave_urgent(wave, machines, now, maintenance),
        is_closing=left < needed + MOVE_SECONDS,
        blocked=tuple(blocked),
    )


def find_drain_cost(machine: WaveMachine) -> tuple[bool, bool, bool, int]:
    """Return a sort key by which the machines in use go; the smallest goes first.

    Parameters
    ----------
    machine : WaveMachine
        The machine.

    Returns
    -------
    tuple
        The key.
    """
    # One that can't be taken down would keep the places of those chosen from others.
    is_blocked = machine.is_pinned or not machine.is_up
    return is_blocked, not machine.is_started, machine.is_leaving, machine.runs


def find_time_needed(count: int, wave: UpkeepWave, maintenance: float) -> float:
    """Return the time in seconds before the deadline from which a wave is urgent.

    Parameters
    ----------
    count : int
        Number of machines whose maintenance is not ordered yet.
    wave : UpkeepWave
        The wave.
    maintenance : float
        Time in seconds that the maintenance of a machine takes.

    Returns
    -------
    float
        Time of the remaining rounds, and a reserve.
    """
    rounds = -(-count // wave.max_down)
    return rounds * (maintenance + REGISTRATION_SECONDS) + DEADLINE_RESERVE_SECONDS


def is_wave_urgent(
    wave: UpkeepWave, machines: Sequence[WaveMachine], now: float, maintenance: float
) -> bool:
    """Tell whether a wave waits no longer for transient runs.

    Parameters
    ----------
    wave : UpkeepWave
        The wave.
    machines : Sequence of WaveMachine
        Machines whose maintenance is not ordered yet.
    now : float
        Time in seconds.
    maintenance : float
        Time in seconds that the maintenance of a machine takes.

    Returns
    -------
    bool
        Whether the time left is that of the remaining rounds, or less.
    """
    listed = sum(item.is_listed for item in machines)
    left = wave.started + wave.duration - now
    return left < find_time_needed(listed, wave, maintenance)


def find_concurrency(
    due: int, wave: UpkeepWave, now: float, maintenance: float, *, has_standby: bool
) -> int:
    """Return how many machines in use a wave may drain and take down at once.

    A queue needs its machines during a burst of demand, and most of them are in standby
    at other times. So a wave first waits for machines to enter standby, as long as all
    of them could be in use and still be maintained in time, and then drains no more
    machines in use than it needs to end in time.

    Parameters
    ----------
    due : int
        Number of machines that are still due.
    wave : UpkeepWave
        The wave.
    now : float
        Time in seconds.
    maintenance : float
        Time in seconds that the maintenance of a machine takes.
    has_standby : bool
        Whether the fleet has a standby pool.

    Returns
    -------
    int
        Number of machines, at most ``max_down``.
    """
    remaining_seconds = wave.started + wave.duration - now - DEADLINE_RESERVE_SECONDS
    shortest = find_time_needed(due, wave, maintenance) - DEADLINE_RESERVE_SECONDS
    standby_only = (1 - STANDBY_ONLY_SHARE) * wave.duration
    if has_standby and remaining_seconds > max(standby_only, shortest + DRAIN_SECONDS):
        return 0
    round_seconds = maintenance + REGISTRATION_SECONDS + DRAIN_SECONDS
    rounds = max(1, int(remaining_seconds / round_seconds))
    return min(wave.max_down, -(-due // rounds))


def find_hold(
    machine: WaveMachine, plan: WavePlan, *, has_room: bool
) -> HoldReason | None:
    """Return what holds a machine back from its maintenance.

    Parameters
    ----------
    machine : WaveMachine
        The machine.
    plan : WavePlan
        Machines that go next.
    has_room : bool
        Whether fewer than ``max_down`` machines are down.

    Returns
    -------
    HoldReason or None
        The reason; None if it may be taken down now.
    """
    for reason, holds in (
        (HoldReason.NOT_LISTED, not machine.is_listed),
        (HoldReason.MOVING, machine.is_moving),
        (HoldReason.COOLDOWN, machine.is_cooling),
        (HoldReason.NOT_UP, not machine.is_up),
        (
            HoldReason.NO_PLACE,
            machine.machine in plan.blocked and not machine.is_pinned,
        ),
        (HoldReason.LASTING_RUN, machine.lasting_runs > machine.stopping_runs),
        (HoldReason.DRAINING, machine.lasting_runs > 0),
        (HoldReason.TURN, machine.machine not in plan.chosen),
        (HoldReason.TRANSIENT_RUN, machine.runs > 0 and not plan.is_urgent),
        (HoldReason.MAX_DOWN, not has_room),
    ):
        if holds:
            return reason
    return None
