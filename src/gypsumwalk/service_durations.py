"""Estimates of the request durations of services, from answered requests."""

__all__ = ["ServiceDurations"]

SMOOTHING_FACTOR = 0.1
"""Weight of the newest duration in the moving averages."""

DEVIATIONS = 2.0
"""Mean deviations above the mean at which the estimate lies."""

INITIAL_SECONDS = 0.0


class ServiceDurations:
    """Exponential moving averages of each service's duration and mean deviation."""

    def __init__(self) -> None:
        self._means: dict[str, float] = {}
        self._deviations: dict[str, float] = {}

    def record(self, service: str, seconds: float) -> None:
        """Record the duration of one answered request, in seconds."""
        mean = self._means.get(service, seconds)
        deviation = self._deviations.get(service, 0.0)
        self._means[service] = mean + SMOOTHING_FACTOR * (seconds - mean)
        error = abs(seconds - mean)
        self._deviations[service] = deviation + SMOOTHING_FACTOR * (error - deviation)

    def estimate_usual(self, service: str) -> float:
        """Return the duration in seconds that most requests of a service stay below."""
        mean = self._means.get(service, INITIAL_SECONDS)
        return mean + DEVIATIONS * self._deviations.get(service, 0.0)
