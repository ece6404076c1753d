"""Commands for keys."""

import time

from gypsumwalk.drivers._actions import (
    Action,
    BadArgument,
    Connection,
    Report,
    describe_value,
    parse_flag,
    parse_names,
    parse_number,
    require_name,
)
from gypsumwalk.drivers._calls import DEADLINE, query

__all__ = ["give_key", "list_keys", "withdraw_key"]

MAX_VALID_SECONDS = 10 * 366 * 86_400


def give_key(
    team: str = "",
    queues: str = "",
    operator: str | bool = False,
    valid_seconds: str = "",
    addresses: str = "",
    key: str = "",
    deadline: str = DEADLINE,
    json: str | bool = False,
) -> Action:
    """Create a key for a team or an operator; it is shown only once.

    Example: gypsumwalk keys give gabbaim --queues seats,tickets

    Parameters
    ----------
    team : str
        Team that the key submits work for.
    queues : str
        Queues that the key is limited to, separated by commas; by default all queues
        of the team.
    operator : bool
        Create an operator key instead of a team key.
    valid_seconds : str
        Validity of the key in seconds; by default unlimited.
    addresses : str
        Daemons to try in order, separated by commas; by default GYPSUMWALK_ADDRESSES.
    key : str
        Key to authenticate with; by default GYPSUMWALK_KEY.
    deadline : str
        Time limit of the call in seconds.
    json : bool
        Print JSON.
    """
    connection = Connection.parse(addresses, key, deadline)
    is_operator = parse_flag("operator", operator)
    if is_operator == bool(team):
        raise BadArgument("team", "either a team or --operator", team)
    body = {
        "team": require_name("team", team) if team else "",
        "operator": is_operator,
        "queues": list(parse_names("queues", queues)) if queues else [],
        "expires": _find_expiry(valid_seconds),
    }
    # The call is not idempotent: each one creates a key.
    return query(connection, "POST", "/v1/keys/give", body, json=json, idempotent=False)


def withdraw_key(
    key_id: str,
    addresses: str = "",
    key: str = "",
    deadline: str = DEADLINE,
    json: str | bool = False,
) -> Action:
    """Withdraw a key, and report which daemons already refuse it.

    Example: gypsumwalk keys withdraw 3f9c21

    Parameters
    ----------
    key_id : str
        Public part of the key, as ``keys list`` shows it.
    addresses : str
        Daemons to try in order, separated by commas; by default GYPSUMWALK_ADDRESSES.
    key : str
        Key to authenticate with; by default GYPSUMWALK_KEY.
    deadline : str
        Time limit of the call in seconds.
    json : bool
        Print JSON.
    """
    connection = Connection.parse(addresses, key, deadline)
    body = {"key_id": require_name("key_id", key_id)}
    return query(connection, "POST", "/v1/keys/withdraw", body, json=json)


def list_keys(
    addresses: str = "",
    key: str = "",
    deadline: str = DEADLINE,
    json: str | bool = False,
) -> Action:
    """List the public parts of the keys in force.

    Example: gypsumwalk keys list

    Parameters
    ----------
    addresses : str
        Daemons to try in order, separated by commas; by default GYPSUMWALK_ADDRESSES.
    key : str
        Key to authenticate with; by default GYPSUMWALK_KEY.
    deadline : str
        Time limit of the call in seconds.
    json : bool
        Print JSON.
    """
    connection = Connection.parse(addresses, key, deadline)
    return query(connection, "GET", "/v1/keys", json=json, render=_show_keys)


def _find_expiry(valid_seconds: str) -> float:
    if not valid_seconds:
        return 0.0
    seconds = parse_number("valid_seconds", valid_seconds, 1, MAX_VALID_SECONDS)
    return time.time() + seconds


def _show_keys(answer: dict[str, list[dict[str, object]]]) -> Report:
    return Report(answer, describe_value(answer["keys"]))
