"""Platform for tests of whole nodes, based on the model of the example platform."""

from examples.platform_model import PlatformModel
from gypsumwalk.inputs import PlatformOutcome

CALL_DELAY = 0.005


class FakePlatform(PlatformModel):
    """Answers platform calls in a simulated world, after ``CALL_DELAY`` seconds."""

    def call(self, effect, now):
        report = self.execute(effect.token, effect.action, now)
        return CALL_DELAY, PlatformOutcome(effect.token, succeeded=True, report=report)
