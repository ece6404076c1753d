"""Verbs of the scenario language for operators, and for the platform's faults."""

from gypsumwalk.pools import MoveInstance
from tests._scenario_callers import find_entry
from tests._scenario_runner import verb
from tests._scenario_worlds import OPERATOR_KEY

GIVE_SECONDS = 10.0


@verb("file")
def write_file(run, command):
    """``file NAME.toml TEXT``: add or replace a file of the folder, not yet applied.

    ``;`` in the text stands for a new line.
    """
    command.check(words=2)
    name, text = command.words
    run.pending_files[name] = text.replace(";", "\n")


@verb("apply")
def apply_folder(run, command):
    """``apply NAME [to=D] [base=N]``: apply the files written since; do not wait."""
    command.check(words=1, options=("to", "base"))
    (name,) = command.words
    setup = run.setup
    base = command.read_number(command.options.get("base", setup.generation), int)
    changed = dict(run.pending_files)
    files = setup.files | changed

    def note(call):
        if call.answer.status == 200:
            setup.note_accepted(call.answer.body.generation, files)

    call = setup.ask(
        "POST",
        "/v1/configuration/apply",
        to=find_entry(run, command),
        key=OPERATOR_KEY,
        body={"base": base, "files": changed},
    )
    call.then = note
    run.calls.setdefault(name, []).append(call)
    run.pending_files.clear()


@verb("changes")
def apply_many(run, command):
    """``changes COUNT``: apply so many small changes, one after another."""
    command.check(words=1)
    setup = run.setup
    for number in range(command.read_number(command.words[0], int)):
        limit = 4 + number % 2
        text = f"[teams.elul]\nlimit = {limit}\n"
        body = {"base": setup.generation, "files": {"80-change.toml": text}}
        answer = setup.ask_until(
            lambda answer: answer.status == 200,
            "POST",
            "/v1/configuration/apply",
            key=OPERATOR_KEY,
            body=body,
        )
        files = setup.files | body["files"]
        setup.note_accepted(answer.body.generation, files)


@verb("platform")
def change_platform(run, command):
    """``platform [usage=8] [reboot=30s]``: tasks use so much, reboots take so long."""
    command.check(words=0, options=("usage", "reboot"))
    platform = run.setup.platform
    if "usage" in command.options:
        platform.usage_factor = command.read_number(command.options["usage"])
    if "reboot" in command.options:
        platform.reboot_seconds = command.read_duration(command.options["reboot"])


@verb("reapply")
def apply_again(run, command):
    """``reapply NAME [to=D]``: resend an operator's call after a lost answer."""
    command.check(words=1, options=("to",))
    (name,) = command.words
    earlier = run.find_call(command, name)
    call = run.world.call(
        earlier.body, to=find_entry(run, command), credential=OPERATOR_KEY
    )
    call.then = earlier.then
    run.calls[name].append(call)


@verb("give")
def give_key(run, command):
    """``give key NAME team=TEAM``: wait until the key is given."""
    command.check(words=2, options=("team",))
    if command.words[0] != "key" or "team" not in command.options:
        raise command.fail("give key NAME team=TEAM")
    run.setup.give_key(command.words[1], command.options["team"])


@verb("withdraw")
def withdraw_key(run, command):
    """``withdraw key NAME [to=D]``: the answer is called ``withdraw-NAME``."""
    command.check(words=2, options=("to",))
    if command.words[0] != "key" or command.words[1] not in run.setup.keys:
        raise command.fail("withdraw key NAME, of a key that was given")
    name = command.words[1]
    key_id, text, _ = run.setup.keys[name]
    facts = run.facts.keys[text]

    def note(call):
        if call.answer.status == 200 and facts.withdrawn_at is None:
            facts.withdrawn_at = call.answered_at

    call = run.setup.ask(
        "POST",
        "/v1/keys/withdraw",
        to=find_entry(run, command),
        key=OPERATOR_KEY,
        body={"key_id": key_id},
    )
    call.then = note
    run.calls.setdefault(f"withdraw-{name}", []).append(call)


@verb("wave")
def change_wave(run, command):
    """``wave NAME start|pause|abort [run=1] [to=D]``: the answer is ``wave-NAME``."""
    command.check(words=2, options=("run", "to"))
    name, action = command.words
    if action not in ("start", "pause", "abort"):
        raise command.fail(f"a wave does not know {action!r}")
    call = run.setup.ask(
        "POST",
        f"/v1/waves/{action}",
        to=find_entry(run, command),
        key=OPERATOR_KEY,
        body={"name": name, "run": int(command.options.get("run", "1"))},
    )
    run.calls.setdefault(f"wave-{name}", []).append(call)


@verb("move")
def move_instance(run, command):
    """``move INSTANCE POOL``: propose a move to the log through the leader."""
    command.check(words=2)
    name, destination = command.words
    if name not in run.setup.instances:
        raise command.fail(f"no instance is called {name!r}")
    held = run.facts.pool_of.get(name) or [(0.0, run.setup.instances[name][0])]
    leaders = [
        daemon for daemon, status in run.setup.status.items() if status.leader == daemon
    ]
    if not leaders:
        raise command.fail("there is no leader")
    run.world.propose(leaders[0], MoveInstance(name, held[-1][1], destination))


@verb("instance")
def change_instance(run, command):
    """``instance NAME... dies|returns|breaks|mends|hides|appears|sticks``.

    A broken instance fails all that it starts, a hidden one can't be reached by the
    platform, and one that sticks does not come back from a reboot.
    """
    command.check(words=(2, None))
    *names, action = command.words
    for name in names:
        if name not in run.setup.instances:
            raise command.fail(f"no instance is called {name!r}")
        _change_one_instance(run, command, name, action)


def _change_one_instance(run, command, name, action):
    machine = run.setup.platform.machines[name]
    match action:
        case "dies":
            run.setup.lose_instance(name)
        case "returns":
            run.setup.restore_instance(name)
        case "breaks" | "mends":
            machine.broken = action == "breaks"
        case "hides" | "appears":
            machine.reachable = action == "appears"
        case "sticks":
            machine.recovers = False
        case _:
            raise command.fail(f"an instance does not know {action!r}")
