"""Commands for the voters of the replicated log."""

from gypsumwalk.drivers._actions import Action, Connection, require_name
from gypsumwalk.drivers._calls import DEADLINE, query

__all__ = ["add_voter", "list_voters", "remove_voter"]


def list_voters(
    addresses: str = "",
    key: str = "",
    deadline: str = DEADLINE,
    json: str | bool = False,
) -> Action:
    """List the voters of the replicated log, and its leader.

    Example: gypsumwalk voters list

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
    return query(connection, "GET", "/v1/voters", json=json)


def add_voter(
    name: str,
    addresses: str = "",
    key: str = "",
    deadline: str = DEADLINE,
    json: str | bool = False,
) -> Action:
    """Add a daemon's disk as a voter, for example after its old disk was lost.

    Example: gypsumwalk voters add entry3

    Parameters
    ----------
    name : str
        The daemon.
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
    body = {"name": require_name("name", name)}
    return query(connection, "POST", "/v1/voters/add", body, json=json)


def remove_voter(
    name: str,
    addresses: str = "",
    key: str = "",
    deadline: str = DEADLINE,
    json: str | bool = False,
) -> Action:
    """Remove a daemon's disk from the voters.

    Example: gypsumwalk voters remove entry3

    Parameters
    ----------
    name : str
        The daemon.
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
    body = {"name": require_name("name", name)}
    return query(connection, "POST", "/v1/voters/remove", body, json=json)
