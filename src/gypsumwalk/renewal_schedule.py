"""Schedule of the renewals: which instances a tick of the leader has to visit."""

from heapq import heappop, heappush

from gypsumwalk.leases import InstanceTable, InstanceView
from gypsumwalk.run_orders import RENEWAL_WAIT_SECONDS

__all__ = ["RenewalSchedule"]

IDLE_RENEWALS_PER_SECOND = 400
"""Renewals of idle instances; a call takes the leader 2.6 to 5 ms of processor time
with its transport, and 1.5 cores serve 3,000 instances."""

MAX_PAUSE_SECONDS = 15.0
"""Time between two renewals of an idle instance while the leader is late; twice the
time that 3,000 instances share the budget for."""

MAX_UNPACED_INSTANCES = int(IDLE_RENEWALS_PER_SECOND * RENEWAL_WAIT_SECONDS)
"""Instances without runs up to which each of them is called without a break."""


class RenewalSchedule:
    """Instances with a due renewal, and those that a tick has to look at besides.

    These are the instances that do not answer, and those that get no starts for a time.
    Instances without runs share a budget of renewals: each of them takes a slot of its
    own, and gives it up as soon as it gets a run.
    """

    def __init__(self) -> None:
        self._instances = InstanceTable()
        self._changed: set[str] = set()
        self._known: dict[str, InstanceView] = {}
        """View of each life in the queue; a life that is removed and registered again
        between two calls of ``follow`` has another one."""
        self._queue: list[tuple[float, str]] = []
        """Heap of the times at which a renewal was set to be due, by life."""
        self._silent: set[str] = set()
        self._held: set[str] = set()
        """Lives that get no starts for a time."""
        self._draining: set[str] = set()
        self._spare: set[str] = set()
        self._delayed: set[str] = set()
        """Lives whose next renewal waits for its slot."""
        self._slots: dict[str, float] = {}
        """Time in seconds of the latest slot that each life took."""
        self._last_slot = 0.0
        self._paused: set[str] = set()
        """Lives whose next renewal waits for the end of a pause."""
        self._paused_at = 0.0

    @property
    def is_paused(self) -> bool:
        """Whether the renewals of idle instances pause."""
        return self._paused_at > 0

    @property
    def spare_count(self) -> int:
        """Number of the instances that answer and have no runs."""
        return len(self._spare)

    def pause(self, now: float) -> None:
        """Delay the renewals of idle instances until ``resume`` is called."""
        self._paused_at = now

    def resume(self, now: float) -> float:
        """Give the delayed renewals new slots; return the duration of the pause.

        Parameters
        ----------
        now : float
            Time in seconds.

        Returns
        -------
        float
            Duration in seconds.
        """
        seconds = now - self._paused_at
        self._paused_at = 0.0
        for view in self._sort(self._paused & self._delayed):
            if not self.delay_idle(view, now):
                self._delayed.discard(view.registered.life)
                view.renewal_due = now
                self.add(view)
        self._paused.clear()
        return seconds

    def add(self, view: InstanceView) -> None:
        """Add the renewal of an instance at the time that is set as due."""
        heappush(self._queue, (view.renewal_due, view.registered.life))

    def delay_idle(self, view: InstanceView, now: float) -> bool:
        """Set the renewal of an idle instance to its next slot, or past a pause.

        Parameters
        ----------
        view : InstanceView
            The instance.
        now : float
            Time in seconds.

        Returns
        -------
        bool
            False if the instance may be called at once.
        """
        if self.is_paused:
            return self._delay_past_pause(view, now)
        if len(self._spare) <= MAX_UNPACED_INSTANCES:
            return False
        life = view.registered.life
        # A slot that was not used, as a run began before it, is still that of the life:
        # otherwise short runs would take more slots than there are.
        slot = self._slots.get(life, 0.0)
        if slot <= now:
            slot = max(now, self._last_slot + 1 / IDLE_RENEWALS_PER_SECOND)
            self._slots[life] = self._last_slot = slot
        self._delay(view, slot)
        return True

    def _delay_past_pause(self, view: InstanceView, now: float) -> bool:
        latest = view.renewal_sent + MAX_PAUSE_SECONDS
        if now >= latest:
            return False
        self._paused.add(view.registered.life)
        self._delay(view, latest)
        return True

    def _delay(self, view: InstanceView, due: float) -> None:
        view.renewal_due = due
        self._delayed.add(view.registered.life)
        self.add(view)

    def follow(self, instances: InstanceTable, now: float) -> None:
        """Follow the changes of the instances since the last call."""
        if instances is not self._instances:
            self._watch(instances)
        for life in self._changed:
            self._follow(life, now)
        self._changed.clear()

    def _watch(self, instances: InstanceTable) -> None:
        self._instances = instances
        self._changed = instances.watch()
        self._queue.clear()
        self._slots.clear()
        self._paused_at = 0.0
        self._known.clear()
        for lives in self._list_sets():
            lives.clear()

    def _list_sets(self) -> list[set[str]]:
        return [
            self._silent,
            self._held,
            self._draining,
            self._spare,
            self._delayed,
            self._paused,
        ]

    def _follow(self, life: str, now: float) -> None:
        view = self._instances.get(life)
        if view is None:
            self._forget(life)
            return
        if self._known.get(life) is not view:
            self._forget(life)
            self._known[life] = view
            self.add(view)
        # An instance that may have ended without notice has to be called in time.
        is_wanted = not view.is_spare or bool(view.start_backoff_until)
        if life in self._delayed and is_wanted:
            self._delayed.discard(life)
            view.renewal_due = now
            self.add(view)
        _keep(self._spare, life, is_kept=view.is_spare)
        _keep(self._silent, life, is_kept=bool(view.silent_since))
        _keep(self._held, life, is_kept=bool(view.start_backoff_until))
        _keep(self._draining, life, is_kept=view.registered.draining)

    def _forget(self, life: str) -> None:
        self._known.pop(life, None)
        self._slots.pop(life, None)
        for lives in self._list_sets():
            lives.discard(life)

    def take_due(self, now: float) -> list[InstanceView]:
        """Return the instances to visit, in the order of the table.

        Parameters
        ----------
        now : float
            Time in seconds.

        Returns
        -------
        list of InstanceView
            Those with a due renewal are returned once: ``add`` schedules the next one,
            or the next one after a renewal that could not be sent.
        """
        due = self._silent | self._held
        while self._queue and self._queue[0][0] <= now:
            life = heappop(self._queue)[1]
            view = self._instances.get(life)
            # An entry of an earlier due time does not count.
            if view is not None and now >= view.renewal_due:
                due.add(life)
                self._delayed.discard(life)
        return self._sort(due)

    def list_draining(self) -> list[InstanceView]:
        """Return the draining instances in the order of the table."""
        return self._sort(self._draining)

    def _sort(self, lives: set[str]) -> list[InstanceView]:
        known = [life for life in lives if life in self._instances]
        known.sort(key=self._instances.get_number)
        return [self._instances[life] for life in known]


def _keep(lives: set[str], life: str, *, is_kept: bool) -> None:
    if is_kept:
        lives.add(life)
    else:
        lives.discard(life)
