"""Least-squares line fits of measurements by size."""

from collections.abc import Sequence
from dataclasses import asdict, dataclass
from statistics import linear_regression
from typing import Any

MIN_SIZES = 4


@dataclass(frozen=True)
class Slope:
    """One measurement at several sizes, and the line fitted to it.

    Attributes
    ----------
    name : str
        What was measured.
    size : str
        Quantity that is varied.
    unit : str
        Unit of the values.
    sizes : tuple of float
        Sizes measured.
    values : tuple of float
        Value at each size.
    slope : float
        Change of the value per unit of size.
    intercept : float
        Value at size 0.
    residual : float
        Largest absolute residual, as a fraction of the largest value.
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
        """Return the fitted value at a size."""
        return self.intercept + self.slope * size

    def to_json(self) -> dict[str, Any]:
        """Return the slope as a JSON-serialisable dict."""
        return asdict(self)


def fit(
    name: str,
    size: str,
    unit: str,
    sizes: Sequence[float],
    values: Sequence[float],
) -> Slope:
    """Fit a line to measurements at four sizes or more.

    Parameters
    ----------
    name : str
        What was measured.
    size : str
        Quantity that is varied.
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

    Raises
    ------
    ValueError
        If there are fewer than four sizes.
    """
    if len(sizes) < MIN_SIZES:
        raise ValueError(
            f"{name}: got {len(sizes)} sizes, expected at least {MIN_SIZES}"
        )
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
