"""Errors that gypsumwalk raises, one small class for each kind of failure."""

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
    """Base of every error that gypsumwalk raises."""


class BadBoundary(GypsumwalkError):
    """Input from outside the process has a wrong shape."""


class BadChart(GypsumwalkError):
    """A state chart, or a use of it, names a state or event that it does not hold.

    Parameters
    ----------
    chart : str
        Name of the chart.
    found : str
        The state or event.
    """

    def __init__(self, chart: str, found: str) -> None:
        super().__init__(f"chart {chart} holds no {found!r}")
        self.chart = chart
        self.found = found


class BadSetting(GypsumwalkError):
    """One setting has a wrong value.

    Parameters
    ----------
    file : str
        File that holds the setting.
    key : str
        Dotted path of the setting.
    expected : str
        What the setting should be.
    found : str
        What was found in its place.
    """

    def __init__(self, file: str, key: str, expected: str, found: str) -> None:
        super().__init__(f"{file}: {key}: expected {expected}, found {found}")
        self.file = file
        self.key = key
        self.expected = expected
        self.found = found


class SettingsInvalid(ExceptionGroup[BadSetting]):
    """A settings file or folder has one or more wrong settings."""


class BadFolder(ExceptionGroup[BadSetting]):
    """A configuration folder is not acceptable as a whole."""


class ConflictingGeneration(GypsumwalkError):
    """Another configuration was accepted under the same generation number."""


class CorruptRecord(GypsumwalkError):
    """A stored record does not match its checksum."""


class DiskFailure(GypsumwalkError):
    """The data folder refused a write or a sync."""


class MalformedMessage(GypsumwalkError):
    """A peer's message can't be decoded or authenticated."""


class UnknownMessage(GypsumwalkError):
    """No part of the daemon accepts this message."""


class UnknownMetric(GypsumwalkError):
    """The catalogue of metrics has no such entry.

    Parameters
    ----------
    name : str
        Name that was used.
    labels : list of str
        Names of the labels that were used.
    """

    def __init__(self, name: str, labels: list[str]) -> None:
        super().__init__(f"no metric {name} with the labels {labels}")
        self.name = name
        self.labels = labels


class UnreachableDaemon(GypsumwalkError):
    """No daemon took the call: no byte of it left, or each refused it for now."""


class OutcomeUnknown(GypsumwalkError):
    """A call was sent, and no whole answer came back."""
