"""Exceptions of gypsumwalk, one class per kind of failure."""

__all__ = [
    "BadBoundary",
    "BadChart",
    "BadFolder",
    "BadSetting",
    "ConflictingGeneration",
    "CorruptRecord",
    "DiskFailure",
    "GypsumwalkError",
    "MalformedMessage",
    "OutcomeUnknown",
    "SettingsInvalid",
    "UnknownMessage",
    "UnknownMetric",
    "UnreachableDaemon",
]


class GypsumwalkError(Exception):
    """Base class of the exceptions of gypsumwalk."""


class BadBoundary(GypsumwalkError):
    """Input from outside the process does not match the expected schema."""


class BadChart(GypsumwalkError):
    """A state or event is not part of a state chart.

    Parameters
    ----------
    chart : str
        Name of the chart.
    found : str
        Name of the unknown state or event.
    """

    def __init__(self, chart: str, found: str) -> None:
        super().__init__(f"chart {chart} has no state or event {found!r}")
        self.chart = chart
        self.found = found


class BadSetting(GypsumwalkError):
    """One setting has an invalid value.

    Parameters
    ----------
    file : str
        File that contains the setting.
    key : str
        Dotted path of the setting.
    expected : str
        Description of the valid values.
    found : str
        Value that was found.
    """

    def __init__(self, file: str, key: str, expected: str, found: str) -> None:
        super().__init__(f"{file}: {key}: expected {expected}, found {found}")
        self.file = file
        self.key = key
        self.expected = expected
        self.found = found


class SettingsInvalid(ExceptionGroup[BadSetting]):
    """A settings file contains one or more invalid settings."""


class BadFolder(ExceptionGroup[BadSetting]):
    """A configuration folder contains one or more invalid settings."""


class ConflictingGeneration(GypsumwalkError):
    """Another configuration was accepted under the same generation number."""


class CorruptRecord(GypsumwalkError):
    """A stored record does not match its checksum."""


class DiskFailure(GypsumwalkError):
    """A write or a sync in the data folder failed."""


class MalformedMessage(GypsumwalkError):
    """A peer's message can't be decoded or authenticated."""


class UnknownMessage(GypsumwalkError):
    """No part of the daemon handles this type of message."""


class UnknownMetric(GypsumwalkError):
    """A metric, or its set of labels, is not in the catalogue of metrics.

    Parameters
    ----------
    name : str
        Name of the metric.
    labels : list of str
        Names of the labels.
    """

    def __init__(self, name: str, labels: list[str]) -> None:
        super().__init__(f"no metric {name} with the labels {labels}")
        self.name = name
        self.labels = labels


class UnreachableDaemon(GypsumwalkError):
    """No daemon accepted the call: it was not sent, or each refused it for now."""


class OutcomeUnknown(GypsumwalkError):
    """A call was sent, and no complete answer was received."""
