"""Commands for requests and jobs."""

import sys
from base64 import b64encode
from collections.abc import Mapping
from http import HTTPStatus
from pathlib import Path

from gypsumwalk.drivers._actions import (
    Action,
    BadArgument,
    Connection,
    ExitCode,
    Report,
    parse_flag,
    parse_number,
    require_name,
)
from gypsumwalk.drivers._calls import DEADLINE, make_call, query
from gypsumwalk.drivers.client import Reply
from gypsumwalk.errors import GypsumwalkError

__all__ = ["jobs", "submit"]

STANDARD_INPUT = "-"
SUBMIT_DEADLINE = "60"
MAX_AMOUNT = 1e6
MAX_ACCELERATORS = 10_000


def jobs(
    job_id: str,
    why: str | bool = False,
    cancel: str | bool = False,
    addresses: str = "",
    key: str = "",
    deadline: str = DEADLINE,
    json: str | bool = False,
) -> Action:
    """Show the state of a job, explain it, or cancel the job.

    Example: gypsumwalk jobs rebuild-busan-7 --why

    Parameters
    ----------
    job_id : str
        The job.
    why : bool
        Show the reasons for the last decisions on the job.
    cancel : bool
        Cancel the job.
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
    path = f"/v1/jobs/{require_name('job_id', job_id)}"
    explained, cancelled = parse_flag("why", why), parse_flag("cancel", cancel)
    if explained and cancelled:
        raise BadArgument("cancel", "--why or --cancel, not both", "both")
    if cancelled:
        return query(connection, "POST", f"{path}/cancel", json=json)
    return query(connection, "GET", f"{path}/why" if explained else path, json=json)


def submit(
    queue: str,
    payload: str = "",
    request_id: str = "",
    job: str = "",
    command: str = "",
    processors: str = "1",
    memory_gb: str = "1",
    accelerators: str = "0",
    run_seconds: str = "60",
    repeatable: str | bool = False,
    urgent: str | bool = False,
    addresses: str = "",
    key: str = "",
    deadline: str = SUBMIT_DEADLINE,
    json: str | bool = False,
) -> Action:
    """Submit a request to a queue and print its answer, or submit a job.

    A request is given an identifier first, so that a resent request does not run
    twice.

    Example: gypsumwalk submit seats --payload row.json --key KEY

    Parameters
    ----------
    queue : str
        The queue.
    payload : str
        File with the body of a request; --payload=- for the standard input.
    request_id : str
        Identifier of a request to resend.
    job : str
        Identifier of a job; submits a job instead of a request.
    command : str
        Command that the job runs.
    processors : str
        Processors of the job, in cores.
    memory_gb : str
        Memory of the job, in gigabytes.
    accelerators : str
        Accelerators of the job.
    run_seconds : str
        Run time of the job, in seconds.
    repeatable : bool
        Allow more than one run.
    urgent : bool
        Run before work that is not urgent.
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
    flags = {
        "repeatable": parse_flag("repeatable", repeatable),
        "urgent": parse_flag("urgent", urgent),
    }
    require_name("queue", queue)
    if not job:
        content = _read_payload(payload)
        as_json = parse_flag("json", json)
        if request_id:
            require_name("request_id", request_id)
        return Action(
            lambda: _send_request(connection, queue, content, request_id, flags),
            as_json,
        )
    if payload or request_id:
        raise BadArgument("job", "no --payload or --request_id with a job", job)
    body = {
        "job_id": require_name("job", job),
        "queue": queue,
        "command": command,
        "processors": parse_number("processors", processors, 0, MAX_AMOUNT),
        "memory_gb": parse_number("memory_gb", memory_gb, 0, MAX_AMOUNT),
        "accelerators": int(
            parse_number("accelerators", accelerators, 0, MAX_ACCELERATORS)
        ),
        "run_seconds": parse_number("run_seconds", run_seconds, 0, MAX_AMOUNT),
        **flags,
    }
    return query(connection, "POST", "/v1/jobs/submit", body, json=json)


def _read_payload(payload: str) -> bytes:
    if payload == STANDARD_INPUT:
        return sys.stdin.buffer.read()
    if not payload:
        return b""
    try:
        return Path(payload).read_bytes()
    except OSError as error:
        raise BadArgument("payload", "a file", payload) from error


def _send_request(
    connection: Connection,
    queue: str,
    content: bytes,
    request_id: str,
    flags: Mapping[str, bool],
) -> Report:
    if not request_id:
        ticket = make_call(connection, "POST", "/v1/tickets")
        request_id = str(ticket["request_id"])
    headers = {f"gypsumwalk-{name}": str(is_set) for name, is_set in flags.items()}
    headers["gypsumwalk-request-id"] = request_id
    # Wait until the deadline for the daemon that accepted the request: no other daemon
    # has the answer.
    client = connection.open(answer_timeout=connection.deadline)
    try:
        # The identifier makes the request idempotent: a retry gets the first answer.
        reply = client.send(
            "POST",
            f"/v1/queues/{queue}/requests",
            content,
            headers=headers,
            idempotent=True,
        )
    except GypsumwalkError as error:
        error.add_note(f"request {request_id}")
        raise
    finally:
        client.close()
    return _report_answer(request_id, reply)


def _report_answer(request_id: str, reply: Reply) -> Report:
    value = {
        "request_id": request_id,
        "status": reply.status,
        "content_type": reply.content_type,
        "body_base64": b64encode(reply.body).decode(),
    }
    failed = reply.status >= HTTPStatus.BAD_REQUEST
    code = ExitCode.TARGET_ERROR if failed else ExitCode.DONE
    return Report(value, exit_code=code, payload=reply.body)
