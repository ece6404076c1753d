"""Attribution of failed attempts to their workers or to their jobs."""

from collections import OrderedDict, deque

__all__ = ["QUARANTINE_EVIDENCE", "FailureAttribution"]

QUARANTINE_EVIDENCE = 3.0
"""Evidence from distinct jobs at which a worker is quarantined."""
BLAME_EVIDENCE = 1.0
"""Evidence from other jobs at which a failure is attributed to the worker."""
AVOIDANCE_EVIDENCE = 1.0
"""Evidence against a worker at which other workers are preferred."""
TRIAL_INTERVAL_SECONDS = 10.0
"""Seconds after a failure at which an avoided worker may get a repeatable job."""
PROBE_SOURCE = "probe"
FULL_EVIDENCE = 1.0
"""Evidence of one failure if the team's jobs mostly succeed elsewhere."""
WEAK_EVIDENCE = 0.5
"""Evidence of one failure if the team has no outcomes on other workers."""
FAILING_SHARE = 0.5
"""Fraction of failures elsewhere from which a team's failures are no evidence."""
MAX_OUTCOMES = 40
"""Most outcomes kept per team."""
MAX_TEAMS = 1000
"""Most teams whose outcomes are kept."""
MAX_JOBS = 2000
"""Most jobs whose failures are kept."""


class FailureAttribution:
    """Failure evidence against workers, derived from the outcomes of attempts.

    A job that fails on one worker while its team's jobs succeed on others is evidence
    against that worker. A job that fails on two workers is itself at fault, and its
    evidence is discarded.
    """

    def __init__(self) -> None:
        self._evidence: dict[str, dict[str, float]] = {}
        self._failed_at: dict[str, float] = {}
        self._outcomes: OrderedDict[str, deque[tuple[str, bool]]] = OrderedDict()
        self._failed_on: OrderedDict[str, set[str]] = OrderedDict()

    def reset(self) -> None:
        """Discard all evidence and outcomes."""
        self._evidence.clear()
        self._failed_at.clear()
        self._outcomes.clear()
        self._failed_on.clear()

    def record_success(self, team: str, instance: str) -> None:
        """Record a successful attempt, which clears the evidence against its worker.

        Parameters
        ----------
        team : str
            Team of the job.
        instance : str
            Instance that the attempt ran on.
        """
        self._record_outcome(team, instance, succeeded=True)
        self._evidence.pop(instance, None)

    def record_failure(self, team: str, job_id: str, instance: str, now: float) -> bool:
        """Record a failed attempt, and return whether it counts against the job.

        Parameters
        ----------
        team : str
            Team of the job.
        job_id : str
            The job.
        instance : str
            Instance that the attempt ran on.
        now : float
            Time in seconds.

        Returns
        -------
        bool
            Whether the failure counts against the job.
        """
        self._failed_at[instance] = now
        failed_on = self._record_failed_instance(job_id, instance)
        if len(failed_on) > 1:
            self._discard_evidence(job_id, failed_on)
            self._record_outcome(team, instance, succeeded=False)
            return True
        new_evidence = self._weigh_failure(team, instance)
        evidence = self._evidence.setdefault(instance, {})
        others = sum(weight for other, weight in evidence.items() if other != job_id)
        evidence[job_id] = max(new_evidence, evidence.get(job_id, 0.0))
        self._record_outcome(team, instance, succeeded=False)
        return others < BLAME_EVIDENCE

    def should_avoid(
        self, job_id: str, instance: str, now: float, *, repeatable: bool
    ) -> bool:
        """Return whether other workers are preferred for a job.

        Parameters
        ----------
        job_id : str
            The job.
        instance : str
            The worker.
        now : float
            Time in seconds.
        repeatable : bool
            Whether the job may be used to try the worker again.

        Returns
        -------
        bool
            Whether the worker is only a fallback.
        """
        if instance in self._failed_on.get(job_id, ()):
            return True
        if self.sum_evidence(instance) < AVOIDANCE_EVIDENCE:
            return False
        since = now - self._failed_at.get(instance, now)
        return not repeatable or since < TRIAL_INTERVAL_SECONDS

    def record_failed_probe(self, instance: str) -> None:
        """Record a failed health probe, which suffices for a quarantine."""
        self._evidence.setdefault(instance, {})[PROBE_SOURCE] = QUARANTINE_EVIDENCE

    def list_probe_candidates(self) -> list[str]:
        """Return the workers with enough evidence for a health probe."""
        return [
            name
            for name in self._evidence
            if AVOIDANCE_EVIDENCE <= self.sum_evidence(name) < QUARANTINE_EVIDENCE
        ]

    def sum_evidence(self, instance: str) -> float:
        """Return the evidence against a worker since its last success."""
        return sum(self._evidence.get(instance, {}).values())

    def list_quarantine_candidates(self) -> list[str]:
        """Return the workers with enough evidence for quarantine."""
        return [
            name
            for name in self._evidence
            if self.sum_evidence(name) >= QUARANTINE_EVIDENCE
        ]

    def clear(self, instance: str) -> None:
        """Discard the evidence against a worker."""
        self._evidence.pop(instance, None)

    def _record_failed_instance(self, job_id: str, instance: str) -> set[str]:
        failed_on = self._failed_on.setdefault(job_id, set())
        failed_on.add(instance)
        self._failed_on.move_to_end(job_id)
        if len(self._failed_on) > MAX_JOBS:
            self._failed_on.popitem(last=False)
        return failed_on

    def _discard_evidence(self, job_id: str, instances: set[str]) -> None:
        for instance in instances:
            self._evidence.get(instance, {}).pop(job_id, None)

    def _weigh_failure(self, team: str, instance: str) -> float:
        elsewhere = [
            succeeded
            for other, succeeded in self._outcomes.get(team, ())
            if other != instance
        ]
        if not elsewhere:
            return WEAK_EVIDENCE
        failing = elsewhere.count(False) / len(elsewhere)
        return 0.0 if failing >= FAILING_SHARE else FULL_EVIDENCE

    def _record_outcome(self, team: str, instance: str, *, succeeded: bool) -> None:
        outcomes = self._outcomes.setdefault(team, deque(maxlen=MAX_OUTCOMES))
        outcomes.append((instance, succeeded))
        self._outcomes.move_to_end(team)
        if len(self._outcomes) > MAX_TEAMS:
            self._outcomes.popitem(last=False)
