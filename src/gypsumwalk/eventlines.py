"""Lines of event files, as written by a daemon and read by the time line."""

import math
from collections.abc import Mapping, Sequence

import msgspec

from gypsumwalk.effects import Record, Scalar
from gypsumwalk.errors import MalformedMessage
from gypsumwalk.timestamps import Timestamp

__all__ = ["EventLine", "LineWriter", "decode_line", "encode_line"]

MAX_VALUE_CHARACTERS = 400
MIN_REDACTED_CHARACTERS = 4
REDACTED = "[redacted]"
SECRET_NAMES = frozenset(
    {"authorization", "cluster_secret", "credential", "key", "operator_key", "secret"}
)


class EventLine(msgspec.Struct, frozen=True, kw_only=True):
    """One event of one daemon.

    Attributes
    ----------
    timestamp : Timestamp
        Hybrid logical time of the event.
    instance : str
        Name of the daemon.
    data_centre : str
        Data centre of the daemon.
    number : int
        Number in the catalogue.
    name : str
        Name in the catalogue.
    level : str
        Severity.
    subject : str
        Identifier of the request, job, wave, instance or daemon concerned.
    message : str
        Message with the attributes filled in.
    attributes : dict
        Values of the event.
    """

    timestamp: Timestamp
    instance: str
    data_centre: str
    number: int
    name: str
    level: str
    subject: str = ""
    message: str = ""
    attributes: dict[str, Scalar] = {}


class LineWriter:
    """Makes the event lines of one daemon, with secrets redacted and values bounded.

    Parameters
    ----------
    instance : str
        Name of the daemon.
    data_centre : str
        Data centre of the daemon.
    secrets : Sequence[str]
        Texts that are redacted in every line.
    """

    def __init__(
        self, instance: str, data_centre: str, secrets: Sequence[str] = ()
    ) -> None:
        self._instance = instance
        self._data_centre = data_centre
        self._secrets = [
            secret for secret in secrets if len(secret) >= MIN_REDACTED_CHARACTERS
        ]

    def describe(self, record: Record, timestamp: Timestamp) -> EventLine:
        """Return the line of one event.

        Parameters
        ----------
        record : Record
            The event.
        timestamp : Timestamp
            Hybrid logical time of the event.

        Returns
        -------
        EventLine
            The line.
        """
        attributes = {
            name: self._sanitize(name, value)
            for name, value in record.attributes.items()
        }
        return EventLine(
            timestamp=timestamp,
            instance=self._instance,
            data_centre=self._data_centre,
            number=record.event.number,
            name=record.event.name,
            level=record.event.level.value,
            subject=self._redact(record.subject),
            message=_fill(record.event.template, attributes),
            attributes=attributes,
        )

    def _sanitize(self, name: str, value: object) -> Scalar:
        if name.lower() in SECRET_NAMES:
            return REDACTED
        if isinstance(value, float):
            return value if math.isfinite(value) else str(value)
        if isinstance(value, int):
            return value
        return self._redact(str(value))

    def _redact(self, text: str) -> str:
        for secret in self._secrets:
            text = text.replace(secret, REDACTED)
        return text[:MAX_VALUE_CHARACTERS]


def encode_line(line: EventLine) -> str:
    """Return a line as JSON, without a line break."""
    return msgspec.json.encode(line).decode()


_DECODER = msgspec.json.Decoder(EventLine)


def decode_line(text: str | bytes) -> EventLine:
    """Read a line from JSON.

    Parameters
    ----------
    text : str or bytes
        The line.

    Returns
    -------
    EventLine
        The event.

    Raises
    ------
    MalformedMessage
        If it is not a complete line of an event file.
    """
    try:
        return _DECODER.decode(text)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise MalformedMessage(str(error)) from error


class _Values(dict[str, Scalar]):
    def __missing__(self, key: str) -> str:
        return "?"


def _fill(template: str, attributes: Mapping[str, Scalar]) -> str:
    try:
        return template.format_map(_Values(attributes))
    except (ValueError, TypeError, AttributeError, LookupError):
        return template
