"""Evidence that a worker fails everything, told apart from jobs that always fail."""

from collections import OrderedDict, deque

__all__ = ["QUARANTINE_EVIDENCE", "SuspicionTable"]

QUARANTINE_EVIDENCE = 3.0
"""Evidence from distinct jobs at which a worker is quarantined."""
BLAME_EVIDENCE = 1.0
"""Evidence from other jobs at which a failure is not blamed on the job."""
DOUBT_EVIDENCE = 1.0
"""Evidence against a worker at which others are preferred."""
TRIAL_SECONDS = 10.0
"""Seconds after a failure at which a doubted worker gets a repeatable job."""
PROBE = "probe"
FULL_EVIDENCE = 1.0
WEAK_EVIDENCE = 0.5
"""Evidence of a failure of a team about which nothing else is known."""
FAILING_SHARE = 0.5
"""Share of failures elsewhere at which a team's failures tell nothing of a worker."""
MAX_OUTCOMES = 40
"""Outcomes remembered for each team."""
MAX_TEAMS = 1000
MAX_JOBS = 2000
"""Jobs whose failures are remembered."""


class SuspicionTable:
    """What the ends of attempts say about workers and about teams' jobs."""

    def __init__(self) -> None:
        self._evidence: dict[str, dict[str, float]] = {}
        self._failed_at: dict[str, float] = {}
        self._outcomes: OrderedDict[str, deque[tuple[str, bool]]] = OrderedDict()
        self._failed_on: OrderedDict[str, set[str]] = OrderedDict()

    def reset(self) -> None:
        """Forget everything."""
        self._evidence.clear()
        self._failed_at.clear()
        self._outcomes.clear()
        self._failed_on.clear()

    def note_success(self, team: str, instance: str) -> None:
        """Take in an attempt that succeeded, which clears its worker.

        Parameters
        ----------
        team : str
            Team of the job.
        instance : str
            Instance that it ran on.
        """
        self._remember(team, instance, succeeded=True)
        self._evidence.pop(instance, None)

    def note_failure(self, team: str, job_id: str, instance: str, now: float) -> bool:
        """Take in an attempt that failed, and tell whether its job is to blame.

        Parameters
        ----------
        team : str
            Team of the job.
        job_id : str
            The job.
        instance : str
            Instance that it ran on.
        now : float
            Time in seconds.

        Returns
        -------
        bool
            Whether the failure counts against the job.
        """
        self._failed_at[instance] = now
        failed_on = self._note_place(job_id, instance)
        if len(failed_on) > 1:
            self._drop_witness(job_id, failed_on)
            self._remember(team, instance, succeeded=False)
            return True
        weight = self._weigh(team, instance)
        evidence = self._evidence.setdefault(instance, {})
        others = sum(part for other, part in evidence.items() if other != job_id)
        evidence[job_id] = max(weight, evidence.get(job_id, 0.0))
        self._remember(team, instance, succeeded=False)
        return others < BLAME_EVIDENCE

    def doubts(
        self, job_id: str, instance: str, now: float, *, repeatable: bool
    ) -> bool:
        """Tell whether a job rather goes to another worker.

        Parameters
        ----------
        job_id : str
            The job.
        instance : str
            The worker.
        now : float
            Time in seconds.
        repeatable : bool
            Whether the job may serve as a trial of the worker now and then.

        Returns
        -------
        bool
            Whether the worker comes last.
        """
        if instance in self._failed_on.get(job_id, ()):
            return True
        if self.weigh_instance(instance) < DOUBT_EVIDENCE:
            return False
        since = now - self._failed_at.get(instance, now)
        return not repeatable or since < TRIAL_SECONDS

    def condemn(self, instance: str) -> None:
        """Take in that a probe of a worker failed."""
        self._evidence.setdefault(instance, {})[PROBE] = QUARANTINE_EVIDENCE

    def list_doubted(self) -> list[str]:
        """Return the workers with enough evidence for a probe."""
        return [
            name
            for name in self._evidence
            if DOUBT_EVIDENCE <= self.weigh_instance(name) < QUARANTINE_EVIDENCE
        ]

    def weigh_instance(self, instance: str) -> float:
        """Return the evidence against a worker since its last success."""
        return sum(self._evidence.get(instance, {}).values())

    def list_suspects(self) -> list[str]:
        """Return the workers with enough evidence for a quarantine."""
        return [
            name
            for name in self._evidence
            if self.weigh_instance(name) >= QUARANTINE_EVIDENCE
        ]

    def clear(self, instance: str) -> None:
        """Forget the evidence against a worker."""
        self._evidence.pop(instance, None)

    def _note_place(self, job_id: str, instance: str) -> set[str]:
        failed_on = self._failed_on.setdefault(job_id, set())
        failed_on.add(instance)
        self._failed_on.move_to_end(job_id)
        if len(self._failed_on) > MAX_JOBS:
            self._failed_on.popitem(last=False)
        return failed_on

    def _drop_witness(self, job_id: str, instances: set[str]) -> None:
        for instance in instances:
            self._evidence.get(instance, {}).pop(job_id, None)

    def _weigh(self, team: str, instance: str) -> float:
        elsewhere = [
            succeeded
            for other, succeeded in self._outcomes.get(team, ())
            if other != instance
        ]
        if not elsewhere:
            return WEAK_EVIDENCE
        failing = elsewhere.count(False) / len(elsewhere)
        return 0.0 if failing >= FAILING_SHARE else FULL_EVIDENCE

    def _remember(self, team: str, instance: str, *, succeeded: bool) -> None:
        outcomes = self._outcomes.setdefault(team, deque(maxlen=MAX_OUTCOMES))
        outcomes.append((instance, succeeded))
        self._outcomes.move_to_end(team)
        if len(self._outcomes) > MAX_TEAMS:
            self._outcomes.popitem(last=False)
