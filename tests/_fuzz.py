"""Profiles of the fuzz tests: fixed seeds in tests, open-ended in ``make fuzz``.

``GYPSUMWALK_FUZZ=open`` selects the open-ended profile and
``GYPSUMWALK_FUZZ_EXAMPLES`` the examples of each test in it.
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
    """Yield the content with each byte flipped in turn, one bit and all bits."""
    for place in range(0, len(content), step):
        for mask in (0x01, 0xFF):
            flipped = bytearray(content)
            flipped[place] ^= mask
            yield bytes(flipped)


def cut_prefixes(content, step=1):
    """Yield every true prefix of the content."""
    for length in range(0, len(content), step):
        yield content[:length]
