"""Routing table of the HTTP API, and validation of its calls."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Any

import msgspec

from gypsumwalk.errors import BadBoundary

__all__ = ["Audience", "BodyKind", "Endpoint", "EndpointTable", "Match"]

HEADER_PREFIX = "gypsumwalk-"


class Audience(Enum):
    """Kind of client that makes a call; it determines the listener that serves it."""

    CALLER = "caller"
    """Callers with team keys, on the caller port."""
    TARGET = "target"
    """Targets and workers that announce themselves, on the peer port."""
    OPERATOR = "operator"
    """Operators, on both ports; the part that handles the call checks the key."""


class BodyKind(Enum):
    """Content of the body of a call, and where the call's fields come from."""

    JSON = "json"
    """JSON object with the call's fields; path parameters are merged into it."""
    PAYLOAD = "payload"
    """Raw payload; the call's fields come from path, query and header."""
    NONE = "none"
    """Empty; the call's fields come from path, query and header."""


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One endpoint of the HTTP API.

    Attributes
    ----------
    method : str
        HTTP method.
    path : str
        Path template with parameters in braces, for example ``/v1/jobs/{job_id}``.
    call : type
        Struct that the call is validated as.
    audience : Audience
        Kind of client that makes the call.
    kind : BodyKind
        Content of the body.
    """

    method: str
    path: str
    call: type[msgspec.Struct]
    audience: Audience
    kind: BodyKind = BodyKind.JSON


@dataclass(frozen=True, slots=True)
class Match:
    """Endpoint that matches a call, with the values of its path parameters."""

    endpoint: Endpoint
    parameters: Mapping[str, str]

    def decode(
        self, *, headers: Mapping[str, str], query: Mapping[str, str], body: bytes
    ) -> msgspec.Struct:
        """Decode and validate a call.

        Parameters
        ----------
        headers : Mapping[str, str]
            Header fields, with names in lower case.
        query : Mapping[str, str]
            Query parameters.
        body : bytes
            The complete body.

        Returns
        -------
        msgspec.Struct
            The call.

        Raises
        ------
        BadBoundary
            If the call does not match the schema of its type.
        """
        try:
            if self.endpoint.kind is BodyKind.JSON:
                return self._decode_json(body)
            fields = _collect_header_fields(headers) | dict(query)
            fields |= self.parameters
            return msgspec.convert(fields, self.endpoint.call, strict=False)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
            raise BadBoundary(str(error)) from error

    def _decode_json(self, body: bytes) -> msgspec.Struct:
        if not self.parameters:
            return msgspec.json.decode(body or b"{}", type=self.endpoint.call)
        fields: Any = msgspec.json.decode(body or b"{}")
        if not isinstance(fields, dict):
            raise BadBoundary("Expected `object`")
        return msgspec.convert(fields | dict(self.parameters), self.endpoint.call)


class EndpointTable:
    """Routing table of a daemon.

    Parameters
    ----------
    endpoints : Sequence[Endpoint]
        Endpoints, in order of priority.
    """

    def __init__(self, endpoints: Sequence[Endpoint]) -> None:
        self._endpoints = [(_split(item.path), item) for item in endpoints]

    def match(self, method: str, path: str) -> Match | None:
        """Find the endpoint of a call.

        Parameters
        ----------
        method : str
            HTTP method.
        path : str
            Path of the URL without the query.

        Returns
        -------
        Match or None
            The matching endpoint, or None if there is none.
        """
        segments = _split(path)
        for pattern, endpoint in self._endpoints:
            if endpoint.method != method or len(pattern) != len(segments):
                continue
            parameters = _match_segments(pattern, segments)
            if parameters is not None:
                return Match(endpoint, parameters)
        return None

    def all(self) -> list[Endpoint]:
        """Return all endpoints in the order given."""
        return [endpoint for _, endpoint in self._endpoints]


def _split(path: str) -> tuple[str, ...]:
    return tuple(path.strip("/").split("/"))


def _match_segments(
    pattern: tuple[str, ...], segments: tuple[str, ...]
) -> dict[str, str] | None:
    parameters = {}
    for expected, found in zip(pattern, segments, strict=True):
        if expected.startswith("{"):
            parameters[expected.strip("{}")] = found
        elif expected != found:
            return None
    return parameters


def _collect_header_fields(headers: Mapping[str, str]) -> dict[str, str]:
    return {
        name.removeprefix(HEADER_PREFIX).replace("-", "_"): value
        for name, value in headers.items()
        if name.startswith(HEADER_PREFIX)
    }
