"""Platform of the whole-node tests, with the rules of the example platform."""

from examples.platform_model import PlatformModel
from gypsumwalk.inputs import PlatformOutcome

CALL_DELAY = 0.005


class FakePlatform(PlatformModel):
    """Answers calls to the platform in a world."""

    def call(self, effect, now):
        report = self.execute(effect.token, effect.action, now)
        return CALL_DELAY, PlatformOutcome(effect.token, succeeded=True, report=report)
