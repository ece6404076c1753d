"""Profiles of the fuzz tests: fixed seeds in CI, random ones in ``make fuzz``.

``GYPSUMWALK_FUZZ=open`` selects the profile with random seeds, and
``GYPSUMWALK_FUZZ_EXAMPLES`` sets its number of examples per test.
"""

import os

from hypothesis import HealthCheck, settings

FIXED_EXAMPLES = 150
OPEN_EXAMPLES = int(os.environ.get("GYPSUMWALK_FUZZ_EXAMPLES", "20000"))
SLOW = [HealthCheck.too_slow, HealthCheck.data_too_large]

settings.register_profile(
    "fixed",
    derandomize=True,
    database=None,
    max_examples=FIXED_EXAMPLES,
    deadline=None,
    suppress_health_check=SLOW,
)
settings.register_profile(
    "open", max_examples=OPEN_EXAMPLES, deadline=None, suppress_health_check=SLOW
)
settings.load_profile(
    "open" if os.environ.get("GYPSUMWALK_FUZZ") == "open" else "fixed"
)


def flip_bytes(content, step=1):
    """Yield the content with one bit or all bits of every ``step``-th byte flipped."""
    for offset in range(0, len(content), step):
        for mask in (0x01, 0xFF):
            flipped = bytearray(content)
            flipped[offset] ^= mask
            yield bytes(flipped)


def list_truncations(content, step=1):
    """Yield the proper prefixes of the content at every ``step``-th length."""
    for length in range(0, len(content), step):
        yield content[:length]
