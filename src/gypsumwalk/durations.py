"""Usual run times of services, learned from the runs that were answered."""

__all__ = ["Durations"]

SMOOTHING = 0.1
DEVIATIONS = 2.0
FIRST_SECONDS = 0.0


class Durations:
    """Smoothed run time of each service, with its mean deviation."""

    def __init__(self) -> None:
        self._means: dict[str, float] = {}
        self._deviations: dict[str, float] = {}

    def note(self, service: str, seconds: float) -> None:
        """Take in the run time of one request, in seconds."""
        mean = self._means.get(service, seconds)
        deviation = self._deviations.get(service, 0.0)
        self._means[service] = mean + SMOOTHING * (seconds - mean)
        spread = abs(seconds - mean)
        self._deviations[service] = deviation + SMOOTHING * (spread - deviation)

    def find_usual(self, service: str) -> float:
        """Return the seconds within which most requests of a service end."""
        mean = self._means.get(service, FIRST_SECONDS)
        return mean + DEVIATIONS * self._deviations.get(service, 0.0)
