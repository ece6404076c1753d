"""Command that explains where a job would go, without submitting it."""

import sys
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import msgspec

from gypsumwalk.declaration_records import Resources
from gypsumwalk.drivers._actions import (
    Action,
    BadArgument,
    Connection,
    Report,
    describe_value,
)
from gypsumwalk.drivers._calls import DEADLINE, query
from gypsumwalk.step_checks import find_step_errors
from gypsumwalk.workload_records import Step

__all__ = ["explain_job"]

STANDARD_INPUT = "-"


def explain_job(
    host: str,
    path: str,
    steps: str,
    addresses: str = "",
    key: str = "",
    deadline: str = DEADLINE,
    json: str | bool = False,
) -> Action:
    """Explain where a job would go now, and why, without submitting it.

    Nothing is stored, reserved or started. The file holds the steps as a JSON array of
    objects with the fields of a step, for example
    [{"count": 4, "need": {"cpu": 2000, "memory": 4000}, "estimate": 0.5}].

    Example: gypsumwalk explain-job --host jobs.example --path /a/17 --steps job.json

    Parameters
    ----------
    host : str
        Host name that the caller uses.
    path : str
        Path that the caller uses, with the identifier of the job.
    steps : str
        File with the steps; --steps=- for the standard input.
    addresses : str
        Daemons to try in order, separated by commas; by default GYPSUMWALK_ADDRESSES.
    key : str
        Key of the team that would submit the job; by default GYPSUMWALK_KEY, which does
        not appear in the list of processes.
    deadline : str
        Time limit of the call in seconds.
    json : bool
        Print JSON.
    """
    connection = Connection.parse(addresses, key, deadline)
    if not host:
        raise BadArgument("host", "a host name", host)
    if not path.startswith("/"):
        raise BadArgument("path", "a path that begins with /", path)
    body = {"host": host, "path": path, "steps": _read_steps(steps)}
    return query(
        connection, "POST", "/v1/workloads/explain", body, json=json, render=_render
    )


def _read_steps(source: str) -> list[dict[str, Any]]:
    """Read the steps, and refuse fields that the daemon would ignore."""
    try:
        is_input = source == STANDARD_INPUT
        content = sys.stdin.buffer.read() if is_input else Path(source).read_bytes()
    except OSError as error:
        raise BadArgument("steps", "a file", source) from error
    try:
        checked = msgspec.json.decode(content, type=list[Step])
        given: list[dict[str, Any]] = msgspec.json.decode(content)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise BadArgument("steps", "a JSON array of steps", str(error)) from error
    errors = [
        f"step {number}: unknown field {name}"
        for number, step in enumerate(given)
        for name in _list_unknown(step)
    ]
    if errors := errors or find_step_errors(checked):
        raise BadArgument("steps", "valid steps", errors[0])
    return given


def _list_unknown(step: Mapping[str, Any]) -> list[str]:
    known = set(Step.__struct_fields__)
    needs = set(Resources.__struct_fields__)
    unknown = [name for name in step if name not in known]
    return unknown + [
        f"need.{name}" for name in step.get("need", {}) if name not in needs
    ]


def _render(answer: dict[str, Any]) -> Report:
    lines = [
        f"queue: {answer['queue'] or 'none'}",
        f"service: {answer['service'] or 'none'}",
        f"team: {answer['team'] or 'none'}",
        f"call: {_describe_decision(answer)}",
    ]
    if answer["placement"] is not None:
        lines += _describe_placement(answer["placement"])
        lines += _describe_order(answer["order"], answer["completion"])
    return Report(answer, lines)


def _describe_decision(answer: Mapping[str, Any]) -> str:
    if answer["accepted"]:
        reason = answer["reason"]
        return f"accepted, {reason}" if reason else "accepted"
    retry = answer["retry_after"]
    after = f", return after {retry} s" if retry else ""
    return f"refused with status {answer['status']}{after}: {answer['reason']}"


def _describe_placement(placement: Mapping[str, Any]) -> list[str]:
    starting, tasks = placement["starting"], placement["tasks"]
    lines = [f"first step: {starting} of {tasks} tasks would start now"]
    if placement["places"]:
        lines += [f"  {line}" for line in describe_value(placement["places"])]
    if placement["waits"]:
        lines.append(f"{tasks - starting} tasks would wait for:")
        lines += [f"  {_describe_wait(wait)}" for wait in placement["waits"]]
    return lines


def _describe_wait(wait: Mapping[str, Any]) -> str:
    text = str(wait["reason"])
    if wait["instances"]:
        text += f", {wait['instances']} instances"
    return f"{text}: {wait['detail']}" if wait["detail"] else text


def _describe_time(seconds: float) -> str:
    return f"{-seconds:.1f} s ago" if seconds < 0 else f"in {seconds:.1f} s"


def _describe_order(
    order: Mapping[str, Any] | None, completion: float | None
) -> list[str]:
    lines = ["order under overload: does not apply"]
    if order is not None:
        state = "" if order["is_overloaded"] else ", the pool is not overloaded"
        lines = [
            f"order under overload: {order['group']}{state}",
            f"latest start: {_describe_time(order['latest_start'])}",
        ]
    if completion is None:
        return [*lines, "done: unknown"]
    return [*lines, f"done: in {completion:.1f} s"]
