"""Fake instance whose answers overtake each other, as those of real ones do."""

import time

from gypsumwalk.emulator import EmulatedPlatform
from tests._fake_instance import FakeInstance

MAX_LEASE_SECONDS = 10.0
STOP_SECONDS = [0.05, 0.2, 0.39]
HELD_UP_SHARE, HELD_UP_SECONDS = 0.3, (0.002, 0.4)
BEHIND_SHARE = 0.8
UNHEARD_SHARE, UNHEARD_SECONDS = 0.5, (0.02, 1.0)
LATE_BEAT_SHARE = 0.2
WAITING_SHARE, WAITING_SECONDS = 0.5, 3.0


def draw_low(random, lowest, highest):
    """Draw from a range in which low values are as likely as high ones."""
    return lowest * (highest / lowest) ** random.random()


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
    after it, and those of a life that has ended are lost. Some renewals that wait as
    their life ends are carried out by the next one, as if they had arrived late.

    Some lives serve calls for a while before they announce themselves, and a heartbeat
    of the former life may follow. The clock of the next life is mostly behind that of
    the former one, so that a lease on the former one's is a long one.
    """

    make_platform = PatientPlatform
    broken_share = 0.7
    _announced = None
    _clock = 9_000_000

    def answer(self, path, body):
        life, arrived = self._life, time.monotonic()
        answer = super().answer(path, body)
        if answer is not None or path != "/hold" or self._life in (None, life):
            return answer
        is_late = time.monotonic() > arrived + WAITING_SECONDS
        if is_late or self._random.random() >= WAITING_SHARE:
            return None
        return super().answer(path, body)

    def _draw_clock(self):
        is_behind = self._random.random() < BEHIND_SHARE and self._clock > 200_000
        highest = self._clock if is_behind else 9_000_000
        self._clock = self._random.randrange(100_000, highest)
        return self._clock

    def _hold_up(self, life, answer):
        if self._random.random() < HELD_UP_SHARE:
            self._pause(life, draw_low(self._random, *HELD_UP_SECONDS))
        while self._life is life and not self._is_served_by(life):
            if self._is_closing:
                return None
            self._await_service()
        return answer if self._is_served_by(life) else None

    def _beat(self, life, sequence):
        former, self._announced = self._announced, life
        is_first = life is not former
        if is_first and self._random.random() < UNHEARD_SHARE:
            self._pause(life, draw_low(self._random, *UNHEARD_SECONDS))
        is_heard = self._is_served_by(life) and super()._beat(life, sequence)
        if is_first and former and self._random.random() < LATE_BEAT_SHARE:
            super()._beat(former, sequence)
        return is_heard
