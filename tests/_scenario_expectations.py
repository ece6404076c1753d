"""Verbs ``expect`` and ``golden`` of the scenario language."""

from collections import Counter

from gypsumwalk.effects import Record
from gypsumwalk.events import Event
from tests._golden import check_golden, render_timeline
from tests._scenario_runner import FOLDER, verb
from tests._scenario_worlds import OPERATOR_KEY

EXPECTATIONS = {}
POLL_SECONDS = 0.5


def expectation(name):
    """Register a function as the implementation of ``expect name ...``."""

    def register(function):
        EXPECTATIONS[name] = function
        return function

    return register


@verb("expect")
def expect(run, command):
    """``expect WHAT ... [within DURATION]``: fail unless it holds in time."""
    command.check_arguments(words=(2, None))
    words, within = command.split_within()
    function = EXPECTATIONS.get(words[0], expect_call)
    function(run, command, words, within)


def expect_call(run, command, words, within):
    """``expect NAME answered|refused [TYPE [OUTCOME]]|lost|waiting|ended``."""
    name, state, *details = words
    call = run.find_call(command, name)
    known = ("answered", "refused", "lost", "waiting", "ended")
    if state not in known or (details and state != "refused") or len(details) > 2:
        raise command.make_error(f"usage: expect {name} {'|'.join(known)}")
    if state == "waiting":
        if call.ended:
            raise command.make_error(f"{name} is {describe_call(call)}")
        return

    def holds():
        return _matches_state(call, state, details)

    run.expect(command, holds, within, lambda: f"{name} is {describe_call(call)}")


def _matches_state(call, state, details):
    if state == "lost":
        return call.lost
    if state == "ended":
        return call.ended
    if call.answer is None:
        return False
    problem = getattr(call.answer.body, "outcome", None)
    is_problem = call.answer.status >= 400 and problem is not None
    if state == "answered":
        return call.answer.status < 400
    found = (
        [call.answer.body.type.rpartition("/")[2], str(problem)] if is_problem else []
    )
    return is_problem and found[: len(details)] == list(details)


def describe_call(call):
    """Return a short description of a call's outcome."""
    if call.lost:
        return "lost"
    if call.answer is None:
        return "waiting"
    body = call.answer.body
    if call.answer.status >= 400 and body is None:
        return f"failed {call.answer.status}"
    if call.answer.status >= 400:
        kind = body.type.rpartition("/")[2]
        return f"refused {kind} {str(body.outcome)!r} {body.detail}".strip()
    return f"answered {call.answer.status}"


@expectation("runs")
def expect_runs(run, command, words, within):
    """``expect runs NAME COUNT``: targets ran the request COUNT times."""
    _, name, count = _check_word_count(command, words, 3)
    request = run.facts.requests.get(name)
    if request is None:
        raise command.make_error(f"unknown request {name!r}")
    wanted = command.read_number(count, int)

    def count_runs():
        return run.world.targets.count_payload_runs()[request.payload]

    run.expect(
        command,
        lambda: count_runs() == wanted,
        within,
        lambda: f"{count_runs()} runs",
    )


@expectation("burst")
def expect_burst(run, command, words, within):
    """``expect burst NAME answered|refused|lost|ended COUNT``: at least COUNT."""
    _, prefix, state, count = _check_word_count(command, words, 4)
    wanted = command.read_number(count, int)
    names = [name for name in run.facts.requests if name.startswith(f"{prefix}-")]
    if not names:
        raise command.make_error(f"unknown burst {prefix!r}")

    def count_states():
        found = Counter()
        for name in names:
            for call in run.calls.get(name, ())[-1:]:
                found[describe_call(call).partition(" ")[0]] += 1
                found["ended"] += call.ended
        return found

    run.expect(
        command,
        lambda: count_states()[state] >= wanted,
        within,
        lambda: str(dict(count_states())),
    )


@expectation("leader")
def expect_leader(run, command, words, within):
    """``expect leader DAEMON...``: one of them reports itself as the leader."""
    names = words[1:]

    def find_leaders():
        return [
            name
            for name, status in run.deployment.status.items()
            if status.leader == name
        ]

    run.expect(
        command,
        lambda: any(name in names for name in find_leaders()),
        within,
        lambda: f"leaders {find_leaders()}",
    )


@expectation("ready")
def expect_ready(run, command, words, within):
    """``expect ready DAEMON...``: they pass the load balancer's readiness check."""
    names = words[1:]
    for name in names:
        run.find_daemon(command, name)

    def find_unready():
        return [name for name in names if not run.deployment.is_ready(name)]

    run.expect(
        command,
        lambda: not find_unready(),
        within,
        lambda: f"not ready: {find_unready()}",
    )


@expectation("generation")
def expect_generation(run, command, words, within):
    """``expect generation N DAEMON...``: each has generation N or newer in force."""
    wanted = command.read_number(words[1], int)
    names = words[2:]
    for name in names:
        run.find_daemon(command, name)

    def find_generations():
        return {
            name: status.generation if status else 0
            for name in names
            for status in [run.deployment.status.get(name)]
        }

    run.expect(
        command,
        lambda: min(find_generations().values()) >= wanted,
        within,
        lambda: str(find_generations()),
    )


@expectation("event")
def expect_event(run, command, words, within):
    """``expect event NAME [DAEMON]``: recorded since the start of the scenario."""
    names = [entry.name for entry in Event]
    if words[1] not in names:
        raise command.make_error(f"unknown event {words[1]!r}")
    event = Event[words[1]]
    daemons = words[2:]

    def recorded():
        return any(
            isinstance(entry.effect, Record)
            and entry.effect.event is event
            and (not daemons or entry.node in daemons)
            for entry in run.world.trace
        )

    run.expect(command, recorded, within, lambda: "not recorded")


@expectation("stopped")
def expect_stopped(run, command, words, within):
    """``expect stopped DAEMON``: its process exited after a shutdown."""
    daemon = run.find_daemon(command, words[1])
    run.expect(command, lambda: daemon.stopped, within, lambda: "still running")


@expectation("job")
def expect_job(run, command, words, within):
    """``expect job NAME STATE``: according to any daemon."""
    _, name, state = _check_word_count(command, words, 3)
    if name not in run.jobs:
        raise command.make_error(f"unknown job {name!r}")
    _expect_answer(
        run, command, f"/v1/jobs/{name}", run.jobs[name], state, "state", within
    )


@expectation("wave")
def expect_wave(run, command, words, within):
    """``expect wave NAME STATE``: according to any daemon."""
    _, name, state = _check_word_count(command, words, 3)
    _expect_answer(
        run, command, f"/v1/waves/{name}", OPERATOR_KEY, state, "state", within
    )


@expectation("instance")
def expect_instance(run, command, words, within):
    """``expect instance NAME STATE``: according to any daemon."""
    _, name, state = _check_word_count(command, words, 3)
    found = "unknown"

    def read(answer):
        nonlocal found
        for item in answer.body.instances:
            if item.name == name:
                found = item.state
        return found == state

    if not _ask_until(run, "/v1/instances", OPERATOR_KEY, read, within):
        raise command.make_error(f"expected {' '.join(command.words)}: {found}")


@expectation("reboots")
def expect_reboots(run, command, words, within):
    """``expect reboots COUNT``: exactly COUNT since the start of the scenario."""
    wanted = command.read_number(words[1], int)
    reboots = run.deployment.platform.reboots
    run.expect(
        command, lambda: len(reboots) == wanted, within, lambda: f"found {len(reboots)}"
    )


def _expect_answer(run, command, path, key, wanted, attribute, within):
    found = "no answer"

    def read(answer):
        nonlocal found
        found = str(getattr(answer.body, attribute, answer.status))
        return found == wanted

    if not _ask_until(run, path, key, read, within):
        raise command.make_error(f"expected {' '.join(command.words)}: {found}")


def _ask_until(run, path, key, read, within):
    ends = run.world.now + within
    while True:
        call = run.deployment.ask("GET", path, key=key)
        run.world.run_until(lambda call=call: call.ended, within=2.0)
        if call.answer is not None and read(call.answer):
            return True
        if run.world.now >= ends:
            return False
        run.world.run(POLL_SECONDS)


def _check_word_count(command, words, count):
    if len(words) != count:
        raise command.make_error(
            f"expect {words[0]} takes {count - 1} words, found {len(words) - 1}"
        )
    return words


@verb("golden")
def compare_golden(run, command):
    """``golden NAME [events=A,B]``: compare the timeline with ``golden/NAME.txt``.

    The timeline has the named events only, or by default all but debug events.
    """
    command.check_arguments(words=1, options=("events",))
    events = tuple(filter(None, command.options.get("events", "").split(",")))
    for name in events:
        if name not in Event.__members__:
            raise command.make_error(f"unknown event {name!r}")
    path = FOLDER / "golden" / f"{command.words[0]}.txt"
    timeline = render_timeline(run.world.trace, events)
    difference = check_golden(path, timeline, update=run.update_goldens)
    if difference:
        raise command.make_error(
            f"timeline differs from golden file {path.name}\n{difference}"
        )
