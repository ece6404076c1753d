"""Straight-line fits of measurements against a size."""

from collections.abc import Sequence
from dataclasses import asdict, dataclass
from statistics import linear_regression
from typing import Any

FEWEST_SIZES = 4


@dataclass(frozen=True)
class Slope:
    """One measurement at several sizes, and the line through it.

    Attributes
    ----------
    name : str
        What was measured.
    size : str
        What grows.
    unit : str
        Unit of the values.
    sizes : tuple of float
        Sizes measured.
    values : tuple of float
        Value at each size.
    slope : float
        Units for each one of the size.
    intercept : float
        Units at size 0.
    residual : float
        Largest distance of a value from the line, as a part of the largest value.
    """

    name: str
    size: str
    unit: str
    sizes: tuple[float, ...]
    values: tuple[float, ...]
    slope: float
    intercept: float
    residual: float

    def extrapolate(self, size: float) -> float:
        """Return the value of the line at a size."""
        return self.intercept + self.slope * size

    def to_json(self) -> dict[str, Any]:
        """Return the slope as plain data."""
        return asdict(self)


def fit(
    name: str,
    size: str,
    unit: str,
    sizes: Sequence[float],
    values: Sequence[float],
) -> Slope:
    """Fit a line through measurements at four sizes or more.

    Parameters
    ----------
    name : str
        What was measured.
    size : str
        What grows.
    unit : str
        Unit of the values.
    sizes : Sequence[float]
        Sizes measured.
    values : Sequence[float]
        Value at each size.

    Returns
    -------
    Slope
        The line and its residual.
    """
    if len(sizes) < FEWEST_SIZES:
        raise ValueError(f"{name}: {len(sizes)} sizes, {FEWEST_SIZES} are needed")
    slope, intercept = linear_regression(sizes, values)
    largest = max(abs(value) for value in values) or 1.0
    distances = [
        abs(value - intercept - slope * at)
        for at, value in zip(sizes, values, strict=True)
    ]
    return Slope(
        name,
        size,
        unit,
        tuple(sizes),
        tuple(values),
        slope,
        intercept,
        max(distances) / largest,
    )
