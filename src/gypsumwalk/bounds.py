"""Bounds of the numbers and texts that cross the border of the process."""

from typing import Annotated

import msgspec

__all__ = ["Count", "Name", "NonNegativeFloat", "RunNumber", "TaskName"]

Count = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
"""Integer that is exact in every codec, also in those with 64-bit floats."""

NonNegativeFloat = Annotated[float, msgspec.Meta(ge=0, le=2**53)]
"""Non-negative number; the suffix of a field's name is its unit, if any."""

Name = Annotated[str, msgspec.Meta(max_length=200)]
"""Name, address or label of an instance; the replicated log holds it."""

RunNumber = Annotated[int, msgspec.Meta(ge=1, le=10**6)]
"""Number of a run; a task that starts every second takes 11 days to exceed it."""

TaskName = Annotated[str, msgspec.Meta(min_length=1, max_length=100)]
"""Name of a task as instances list it, about 25 characters long."""
