"""Schedule of the renewals: which instances a tick of the leader has to visit."""

from heapq import heappop, heappush

from gypsumwalk.leases import InstanceTable, InstanceView

__all__ = ["RenewalSchedule"]


class RenewalSchedule:
    """Instances with a due renewal, and those that a tick has to look at besides.

    These are the instances that do not answer, and those that get no starts for a time.
    """

    def __init__(self) -> None:
        self._instances = InstanceTable()
        self._changed: set[str] = set()
        self._known: set[str] = set()
        self._queue: list[tuple[float, str]] = []
        """Heap of the times at which a renewal was set to be due, by life."""
        self._silent: set[str] = set()
        self._held: set[str] = set()
        """Lives that get no starts for a time."""
        self._draining: set[str] = set()

    def add(self, view: InstanceView) -> None:
        """Add the renewal of an instance at the time that is set as due."""
        heappush(self._queue, (view.renewal_due, view.registered.life))

    def follow(self, instances: InstanceTable) -> None:
        """Follow the changes of the instances since the last call."""
        if instances is not self._instances:
            self._watch(instances)
        for life in self._changed:
            self._follow(life)
        self._changed.clear()

    def _watch(self, instances: InstanceTable) -> None:
        self._instances = instances
        self._changed = instances.watch()
        self._queue.clear()
        for lives in (self._known, self._silent, self._held, self._draining):
            lives.clear()

    def _follow(self, life: str) -> None:
        view = self._instances.get(life)
        if view is None:
            for lives in (self._known, self._silent, self._held, self._draining):
                lives.discard(life)
            return
        if life not in self._known:
            self._known.add(life)
            self.add(view)
        _keep(self._silent, life, is_kept=bool(view.silent_since))
        _keep(self._held, life, is_kept=bool(view.start_backoff_until))
        _keep(self._draining, life, is_kept=view.registered.draining)

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
            due.add(heappop(self._queue)[1])
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
