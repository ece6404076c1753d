"""Verbs of the scenario language for callers, who send requests and submit jobs."""

from tests._facts import RequestFacts
from tests._scenario_runner import verb

SEND_OPTIONS = ("key", "to", "repeatable", "urgent", "deadline", "text", "from")
SUBMIT_OPTIONS = ("key", "to", "repeatable", "urgent", "command", "cores", "memory")
TICKET_SECONDS = 2.0


def find_credential(run, command):
    """Return the credential and team that the option ``key`` selects."""
    name = command.options.get("key", "")
    if not name:
        return "", ""
    if name in run.deployment.keys:
        _, text, team = run.deployment.keys[name]
        return text, team
    return name, ""


def find_entry_daemon(run, command):
    """Return the daemon that the option ``to`` selects, or empty for any."""
    name = command.options.get("to", "")
    if name:
        run.find_daemon(command, name)
    return name


def find_origin(command):
    """Return the endpoint names of the caller, with the option ``from``."""
    return frozenset({"caller", command.options.get("from", "caller")})


@verb("ticket")
def request_ticket(run, command):
    """``ticket NAME [to=DAEMON]``: get a request identifier, to make resends safe."""
    command.check_arguments(words=1, options=("to",))
    (name,) = command.words
    call = run.deployment.ask("POST", "/v1/tickets", to=find_entry_daemon(run, command))
    answered = run.world.run_until(
        lambda: call.answer is not None, within=TICKET_SECONDS
    )
    if not answered or call.answer.status != 200:
        raise command.make_error(f"request for a ticket failed: {call.answer}")
    run.tickets[name] = call.answer.body.request_id


@verb("send")
def send_request(run, command):
    """``send NAME QUEUE [key=K] [to=D] [from=DC] [repeatable=yes] [urgent=yes]``.

    Also ``deadline=2s`` and ``text=...``. A ticket of the same name is sent along.
    """
    command.check_arguments(words=2, options=SEND_OPTIONS)
    name, queue = command.words
    if name in run.facts.requests:
        raise command.make_error(f"request {name!r} was already sent; use resend")
    _register_request(run, command, name, queue)
    _send_request(run, command, name)


@verb("resend")
def resend_request(run, command):
    """``resend NAME [to=D]``: send a request that has a ticket again."""
    command.check_arguments(words=1, options=("to", "key", "from"))
    (name,) = command.words
    if name not in run.facts.requests:
        raise command.make_error(f"unknown request {name!r}")
    if name not in run.tickets:
        raise command.make_error(
            f"{name} has no ticket, so a resend would be a new request"
        )
    _send_request(run, command, name)


@verb("burst")
def send_burst(run, command):
    """``burst NAME COUNT QUEUE [over=2s]``: spread COUNT requests over a duration.

    Takes the options of ``send``.
    """
    command.check_arguments(words=3, options=(*SEND_OPTIONS, "over"))
    prefix, count, queue = command.words
    number = command.read_number(count, int)
    over = command.read_duration(command.options.get("over", "0s"))
    for index in range(number):
        name = f"{prefix}-{index + 1}"
        _register_request(run, command, name, queue)
        run.world.schedule(
            over * index / number, lambda name=name: _send_request(run, command, name)
        )


def _register_request(run, command, name, queue):
    credential, team = find_credential(run, command)
    text = command.options.get("text", name)
    run.facts.requests[name] = RequestFacts(
        name,
        f"{text} ({name})".encode(),
        team,
        credential,
        queue,
        command.read_flag("repeatable", default=False),
    )
    run.request_options[name] = command


def _send_request(run, command, name):
    request = run.facts.requests[name]
    first = run.request_options[name]
    credential = request.key
    if "key" in command.options:
        credential, _ = find_credential(run, command)
    headers = {
        "gypsumwalk-repeatable": str(request.repeatable).lower(),
        "gypsumwalk-urgent": str(first.read_flag("urgent", default=False)).lower(),
    }
    if name in run.tickets:
        headers["gypsumwalk-request-id"] = run.tickets[name]
    if "deadline" in first.options:
        seconds = first.read_duration(first.options["deadline"])
        headers["gypsumwalk-deadline-seconds"] = str(seconds)
    call = run.deployment.ask(
        "POST",
        f"/v1/queues/{request.queue}/requests",
        to=find_entry_daemon(run, command),
        key=credential,
        headers=headers,
        payload=request.payload,
        origin=find_origin(command),
    )
    request.calls.append(call)
    run.calls.setdefault(name, []).append(call)


@verb("cancel")
def cancel_work(run, command):
    """``cancel NAME [to=D] [key=K]``: cancel a request that has a ticket, or a job.

    The call is named ``cancel-NAME``.
    """
    command.check_arguments(words=1, options=("to", "key"))
    (name,) = command.words
    if name in run.jobs:
        path = f"/v1/jobs/{name}/cancel"
        key = run.jobs[name]
    elif name in run.tickets:
        path = f"/v1/requests/{run.tickets[name]}/cancel"
        key = run.facts.requests[name].key
    else:
        raise command.make_error(
            f"no job or request with a ticket has the name {name!r}"
        )
    if "key" in command.options:
        key, _ = find_credential(run, command)
    call = run.deployment.ask("POST", path, to=find_entry_daemon(run, command), key=key)
    run.calls.setdefault(f"cancel-{name}", []).append(call)


@verb("submit")
def submit_job(run, command):
    """``submit JOB QUEUE [key=K] [to=D] [repeatable=yes] [urgent=yes]``.

    Also ``command="run 5"``, ``cores=1`` and ``memory=1`` in gigabytes.
    """
    command.check_arguments(words=2, options=SUBMIT_OPTIONS)
    name, queue = command.words
    credential, team = find_credential(run, command)
    body = {
        "job_id": name,
        "queue": queue,
        "repeatable": command.read_flag("repeatable", default=False),
        "urgent": command.read_flag("urgent", default=False),
        "command": command.options.get("command", ""),
        "processors": command.read_number(command.options.get("cores", "1")),
        "memory_gb": command.read_number(command.options.get("memory", "1")),
    }
    run.jobs[name] = credential
    run.deployment.job_owners[name] = (run.deployment.find_pool_of_queue(queue), team)
    call = run.deployment.ask(
        "POST",
        "/v1/jobs/submit",
        to=find_entry_daemon(run, command),
        key=credential,
        body=body,
    )
    run.calls.setdefault(name, []).append(call)
