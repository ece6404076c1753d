"""Helpers for commands that make one call to a daemon and report its answer."""

from collections.abc import Callable, Mapping
from typing import Any

from gypsumwalk.drivers._actions import Action, Connection, Report, parse_flag

__all__ = ["DEADLINE", "make_call", "query"]

DEADLINE = "20"
"""Default deadline of a call in seconds, as the text of the flag."""

Render = Callable[[Any], Report]


def make_call(
    connection: Connection,
    method: str,
    path: str,
    body: Mapping[str, Any] | None = None,
    *,
    idempotent: bool = True,
) -> Any:
    """Make one call and return its answer decoded from JSON.

    Parameters
    ----------
    connection : Connection
        Connection settings for the daemons.
    method : str
        HTTP method.
    path : str
        Path of the URL.
    body : Mapping, optional
        Body to encode.
    idempotent : bool
        Whether the call may be repeated when its outcome is unknown.

    Returns
    -------
    Any
        The answer.
    """
    client = connection.open()
    try:
        reply = client.call(method, path, body, idempotent=idempotent)
        return reply.decode()
    finally:
        client.close()


def query(
    connection: Connection,
    method: str,
    path: str,
    body: Mapping[str, Any] | None = None,
    *,
    json: str | bool,
    idempotent: bool = True,
    render: Render = Report,
) -> Action:
    """Return the action of a command that makes one call.

    Parameters
    ----------
    connection : Connection
        Connection settings for the daemons.
    method : str
        HTTP method.
    path : str
        Path of the URL.
    body : Mapping, optional
        Body to encode.
    json : str or bool
        Value of the command's ``--json`` flag.
    idempotent : bool
        Whether the call may be repeated when its outcome is unknown.
    render : Callable
        Builds the report from the answer.

    Returns
    -------
    Action
        The action.
    """

    def _perform() -> Report:
        answer = make_call(connection, method, path, body, idempotent=idempotent)
        return render(answer)

    return Action(_perform, parse_flag("json", json))
