"""Commands for daemons, pools, instances and waves."""

from gypsumwalk.drivers._actions import (
    Action,
    Connection,
    Report,
    describe_value,
    parse_flag,
    parse_number,
    require_name,
)
from gypsumwalk.drivers._calls import DEADLINE, query

__all__ = [
    "abort_wave",
    "end_evacuation",
    "evacuate",
    "evacuations",
    "instances",
    "pause_wave",
    "pools",
    "show_wave",
    "start_wave",
    "status",
]

MAX_RUN = 1_000_000_000


def status(
    addresses: str = "",
    key: str = "",
    deadline: str = DEADLINE,
    json: str | bool = False,
) -> Action:
    """Show the leader, generation and daemons as one daemon sees them.

    Example: gypsumwalk status --addresses 127.0.0.1:8201

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
    return query(connection, "GET", "/v1/status", json=json)


def pools(
    addresses: str = "",
    key: str = "",
    deadline: str = DEADLINE,
    json: str | bool = False,
) -> Action:
    """List the pools with their instances and availability budgets.

    Example: gypsumwalk pools --json

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
    return query(connection, "GET", "/v1/pools", json=json, render=_show_pools)


def instances(
    name: str = "",
    pool: str = "",
    addresses: str = "",
    key: str = "",
    deadline: str = DEADLINE,
    json: str | bool = False,
) -> Action:
    """List the instances, or explain the state of one of them.

    Example: gypsumwalk instances --pool seats

    Parameters
    ----------
    name : str
        Instance to explain; without it, all are listed.
    pool : str
        List only the instances of this pool.
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
    if name:
        path = f"/v1/instances/{require_name('name', name)}/why"
        return query(connection, "GET", path, json=json)

    def _render(answer: dict[str, list[dict[str, str]]]) -> Report:
        listed = answer["instances"]
        chosen = [item for item in listed if pool in ("", item["pool"])]
        return Report({"instances": chosen}, describe_value(chosen))

    return query(connection, "GET", "/v1/instances", json=json, render=_render)


def start_wave(
    name: str,
    run: str = "1",
    addresses: str = "",
    key: str = "",
    deadline: str = DEADLINE,
    json: str | bool = False,
) -> Action:
    """Start a run of a maintenance wave, or resume it.

    Example: gypsumwalk waves start spring --run 2

    Parameters
    ----------
    name : str
        The wave.
    run : str
        Number of the run; repeating a number changes nothing.
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
    body = _make_run_body(name, run)
    return query(connection, "POST", "/v1/waves/start", body, json=json)


def pause_wave(
    name: str,
    run: str = "1",
    addresses: str = "",
    key: str = "",
    deadline: str = DEADLINE,
    json: str | bool = False,
) -> Action:
    """Pause a run of a maintenance wave; drained instances return to service.

    Example: gypsumwalk waves pause spring --run 2

    Parameters
    ----------
    name : str
        The wave.
    run : str
        Number of the run.
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
    body = _make_run_body(name, run)
    return query(connection, "POST", "/v1/waves/pause", body, json=json)


def abort_wave(
    name: str,
    run: str = "1",
    addresses: str = "",
    key: str = "",
    deadline: str = DEADLINE,
    json: str | bool = False,
) -> Action:
    """Abort a run of a maintenance wave before its last instance.

    Example: gypsumwalk waves abort spring --run 2

    Parameters
    ----------
    name : str
        The wave.
    run : str
        Number of the run.
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
    body = _make_run_body(name, run)
    return query(connection, "POST", "/v1/waves/abort", body, json=json)


def show_wave(
    name: str,
    why: str | bool = False,
    addresses: str = "",
    key: str = "",
    deadline: str = DEADLINE,
    json: str | bool = False,
) -> Action:
    """Show the state of a maintenance wave, or the reasons for it.

    Example: gypsumwalk waves status spring --why

    Parameters
    ----------
    name : str
        The wave.
    why : bool
        Show the reasons for its last decisions.
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
    path = f"/v1/waves/{require_name('name', name)}"
    suffix = "/why" if parse_flag("why", why) else ""
    return query(connection, "GET", path + suffix, json=json)


def evacuate(
    data_centre: str,
    addresses: str = "",
    key: str = "",
    deadline: str = DEADLINE,
    json: str | bool = False,
) -> Action:
    """Send no more work to a data centre, and move its lasting tasks.

    Repeating the order changes nothing.

    Example: gypsumwalk evacuate recife

    Parameters
    ----------
    data_centre : str
        The data centre.
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
    path = f"/v1/evacuations/{require_name('data_centre', data_centre)}/start"
    return query(connection, "POST", path, json=json)


def end_evacuation(
    data_centre: str,
    addresses: str = "",
    key: str = "",
    deadline: str = DEADLINE,
    json: str | bool = False,
) -> Action:
    """Use an evacuated data centre again.

    Repeating the order changes nothing.

    Example: gypsumwalk end-evacuation recife

    Parameters
    ----------
    data_centre : str
        The data centre.
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
    path = f"/v1/evacuations/{require_name('data_centre', data_centre)}/finish"
    return query(connection, "POST", path, json=json)


def evacuations(
    addresses: str = "",
    key: str = "",
    deadline: str = DEADLINE,
    json: str | bool = False,
) -> Action:
    """List the evacuated data centres.

    Example: gypsumwalk evacuations

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
    return query(connection, "GET", "/v1/evacuations", json=json)


def _make_run_body(name: str, run: str) -> dict[str, str | int]:
    number = int(parse_number("run", run, 1, MAX_RUN))
    return {"name": require_name("name", name), "run": number}


def _show_pools(answer: dict[str, list[dict[str, object]]]) -> Report:
    return Report(answer, describe_value(answer["pools"]))
