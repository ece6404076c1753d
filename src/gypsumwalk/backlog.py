"""Views of waiting jobs and of the room of their pool, for decisions under overload."""

from dataclasses import dataclass

__all__ = ["JobView", "RoomView"]


@dataclass(frozen=True, slots=True)
class JobView:
    """A waiting or started job, as far as its order under overload depends on it.

    Attributes
    ----------
    job : str
        Identifier.
    team : str
        Team that submitted it; empty if it came without a key.
    priority : int
        Priority of its queue; 0 is the highest.
    submitted : float
        Time of its acceptance, in seconds.
    latest_start : float
        Latest time in seconds at which its next tasks can start for it to be on time.
    due : float
        Time in seconds at which it has to be done to be on time.
    expires : float
        Time in seconds from which its result has no value.
    work : float
        Remaining work in core-seconds.
    mean_work : float
        Mean work of a job of its queue in core-seconds, 0 if unknown.
    total_work : float
        Work of the whole job in core-seconds.
    has_started : bool
        Whether one of its tasks has started.
    is_excess : bool
        Whether its team has submitted more than its weight allows.
    """

    job: str
    team: str
    priority: int
    submitted: float
    latest_start: float
    due: float
    expires: float
    work: float
    mean_work: float
    total_work: float
    has_started: bool = False
    is_excess: bool = False


@dataclass(frozen=True, slots=True)
class RoomView:
    """Room of a pool for transient tasks, now and in the near future.

    Attributes
    ----------
    cores : float
        Cores that transient tasks may use.
    running_work : float
        Core-seconds until the transient runs that are going on have ended.
    arriving : tuple of (float, float)
        Time in seconds and cores of each machine that is on its way to the pool.
    """

    cores: float
    running_work: float = 0.0
    arriving: tuple[tuple[float, float], ...] = ()

    def find_supply(self, until: float, now: float) -> float:
        """Return the work that can be done for waiting jobs within a time.

        Parameters
        ----------
        until : float
            End of that time, in seconds.
        now : float
            Its beginning, in seconds.

        Returns
        -------
        float
            Work in core-seconds, at least 0.
        """
        supply = self.cores * (until - now) - self.running_work
        supply += sum(
            cores * (until - max(at, now)) for at, cores in self.arriving if at < until
        )
        return max(0.0, supply)
