"""Fake instance whose answers overtake each other, as those of real ones do."""

from gypsumwalk.emulator import EmulatedPlatform
from tests._fake_instance import FakeInstance

MAX_LEASE_SECONDS = 10.0
STOP_SECONDS = [0.05, 0.2, 0.39]
HELD_UP_SHARE = 0.3
SHORTEST_SECONDS, LONGEST_SECONDS = 0.002, 0.4


class PatientPlatform(EmulatedPlatform):
    """Emulated platform with long leases, which repeated starts extend as well.

    So do those that are refused as a later run has ended or was stopped.
    """

    def __init__(self, random, find_length):
        super().__init__(random, find_length)
        self.max_lease = MAX_LEASE_SECONDS
        self.stop_durations = STOP_SECONDS

    def _start(self, instance, action, now):
        refused = super()._start(instance, action, now)
        if refused in ("", "old"):
            self._extend(instance, action.lease_until, now)
        return refused


class OvertakingInstance(FakeInstance):
    """Fake instance that holds some answers up after they were made.

    Answers on other connections overtake them, so that a list of runs that was made
    before a start arrives after the answer to it. Those that a cut holds up arrive
    after it, and those of a life that has ended are lost.
    """

    make_platform = PatientPlatform

    def _hold_up(self, life, answer):
        if self._random.random() < HELD_UP_SHARE:
            ratio = LONGEST_SECONDS / SHORTEST_SECONDS
            self._pause(life, SHORTEST_SECONDS * ratio ** self._random.random())
        while self._life is life and not self._is_served_by(life):
            if self._is_closing:
                return None
            self._await_service()
        return answer if self._is_served_by(life) else None
