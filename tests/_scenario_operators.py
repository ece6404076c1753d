"""Verbs of the scenario language for operators, and for faults of the platform."""

from gypsumwalk.pools import MoveInstance
from tests._scenario_callers import find_entry_daemon
from tests._scenario_runner import verb
from tests._scenario_worlds import OPERATOR_KEY


@verb("file")
def write_file(run, command):
    """``file NAME.toml TEXT``: stage a file of the folder for the next ``apply``.

    ``;`` in the text stands for a line break.
    """
    command.check_arguments(words=2)
    name, text = command.words
    run.pending_files[name] = text.replace(";", "\n")


@verb("apply")
def apply_folder(run, command):
    """``apply NAME [to=D] [base=N]``: apply the staged files without waiting."""
    command.check_arguments(words=1, options=("to", "base"))
    (name,) = command.words
    deployment = run.deployment
    base = command.read_number(command.options.get("base", deployment.generation), int)
    changed = dict(run.pending_files)
    files = deployment.files | changed

    def record(call):
        if call.answer.status == 200:
            deployment.record_accepted(call.answer.body.generation, files)

    call = deployment.ask(
        "POST",
        "/v1/configuration/apply",
        to=find_entry_daemon(run, command),
        key=OPERATOR_KEY,
        body={"base": base, "files": changed},
    )
    call.on_answer = record
    run.calls.setdefault(name, []).append(call)
    run.pending_files.clear()


@verb("changes")
def apply_changes(run, command):
    """``changes COUNT``: apply COUNT small changes, one after another."""
    command.check_arguments(words=1)
    deployment = run.deployment
    for number in range(command.read_number(command.words[0], int)):
        limit = 4 + number % 2
        text = f"[teams.elul]\nlimit = {limit}\n"
        body = {"base": deployment.generation, "files": {"80-change.toml": text}}
        answer = deployment.ask_until(
            lambda answer: answer.status == 200,
            "POST",
            "/v1/configuration/apply",
            key=OPERATOR_KEY,
            body=body,
        )
        files = deployment.files | body["files"]
        deployment.record_accepted(answer.body.generation, files)


@verb("platform")
def change_platform(run, command):
    """``platform [usage=8] [reboot=30s]``: set usage factor and reboot time."""
    command.check_arguments(words=0, options=("usage", "reboot"))
    platform = run.deployment.platform
    if "usage" in command.options:
        platform.usage_factor = command.read_number(command.options["usage"])
    if "reboot" in command.options:
        platform.reboot_seconds = command.read_duration(command.options["reboot"])


@verb("reapply")
def apply_again(run, command):
    """``reapply NAME [to=D]``: resend an operator's call whose answer was lost."""
    command.check_arguments(words=1, options=("to",))
    (name,) = command.words
    earlier = run.find_call(command, name)
    call = run.world.call(
        earlier.body, to=find_entry_daemon(run, command), credential=OPERATOR_KEY
    )
    call.on_answer = earlier.on_answer
    run.calls[name].append(call)


@verb("give")
def give_key(run, command):
    """``give key NAME team=TEAM``: create a key and wait for it."""
    command.check_arguments(words=2, options=("team",))
    if command.words[0] != "key" or "team" not in command.options:
        raise command.make_error("usage: give key NAME team=TEAM")
    run.deployment.give_key(command.words[1], command.options["team"])


@verb("withdraw")
def withdraw_key(run, command):
    """``withdraw key NAME [to=D]``: the call is named ``withdraw-NAME``."""
    command.check_arguments(words=2, options=("to",))
    if command.words[0] != "key" or command.words[1] not in run.deployment.keys:
        raise command.make_error("usage: withdraw key NAME, with a key that was given")
    name = command.words[1]
    key_id, text, _ = run.deployment.keys[name]
    facts = run.facts.keys[text]

    def record(call):
        if call.answer.status == 200 and facts.withdrawn_at is None:
            facts.withdrawn_at = call.answered_at

    call = run.deployment.ask(
        "POST",
        "/v1/keys/withdraw",
        to=find_entry_daemon(run, command),
        key=OPERATOR_KEY,
        body={"key_id": key_id},
    )
    call.on_answer = record
    run.calls.setdefault(f"withdraw-{name}", []).append(call)


@verb("wave")
def change_wave(run, command):
    """``wave NAME start|pause|abort [run=1] [to=D]``: the call is ``wave-NAME``."""
    command.check_arguments(words=2, options=("run", "to"))
    name, action = command.words
    if action not in ("start", "pause", "abort"):
        raise command.make_error(f"unknown wave action {action!r}")
    call = run.deployment.ask(
        "POST",
        f"/v1/waves/{action}",
        to=find_entry_daemon(run, command),
        key=OPERATOR_KEY,
        body={"name": name, "run": int(command.options.get("run", "1"))},
    )
    run.calls.setdefault(f"wave-{name}", []).append(call)


@verb("move")
def move_instance(run, command):
    """``move INSTANCE POOL``: make the leader propose a move to another pool."""
    command.check_arguments(words=2)
    name, destination = command.words
    if name not in run.deployment.instances:
        raise command.make_error(f"unknown instance {name!r}")
    held = run.facts.pool_of.get(name) or [(0.0, run.deployment.instances[name][0])]
    leaders = [
        daemon
        for daemon, status in run.deployment.status.items()
        if status.leader == daemon
    ]
    if not leaders:
        raise command.make_error("no daemon reports itself as the leader")
    run.world.propose(leaders[0], MoveInstance(name, held[-1][1], destination))


@verb("instance")
def change_instance(run, command):
    """``instance NAME... dies|returns|breaks|mends|hides|appears|sticks``.

    A broken instance fails every task, a hidden one can't be reached by the platform,
    and one that sticks does not return from a reboot.
    """
    command.check_arguments(words=(2, None))
    *names, action = command.words
    for name in names:
        if name not in run.deployment.instances:
            raise command.make_error(f"unknown instance {name!r}")
        _change_one_instance(run, command, name, action)


def _change_one_instance(run, command, name, action):
    machine = run.deployment.platform.machines[name]
    match action:
        case "dies":
            run.deployment.lose_instance(name)
        case "returns":
            run.deployment.restore_instance(name)
        case "breaks" | "mends":
            machine.broken = action == "breaks"
        case "hides" | "appears":
            machine.reachable = action == "appears"
        case "sticks":
            machine.recovers = False
        case _:
            raise command.make_error(f"unknown instance action {action!r}")
