"""Verbs of the scenario language that inject faults."""

from tests._facts import LeavingFacts
from tests._fake_targets import Behaviour
from tests._scenario_runner import verb

BEHAVIOURS = {
    "answers": Behaviour.ANSWER,
    "fails": Behaviour.FAIL,
    "silent": Behaviour.NEVER,
    "refuses": Behaviour.REFUSE,
}
SHUTDOWN_SECONDS = 30.0
ROLL_SECONDS = 20.0


def split_groups(run, command):
    """Parse ``A B | C`` or ``A B -> C``; return both groups and whether one-way."""
    marks = [word for word in command.words if word in ("|", "->")]
    if len(marks) != 1:
        raise command.make_error("part requires two groups separated by | or ->")
    place = command.words.index(marks[0])
    first, second = command.words[:place], command.words[place + 1 :]
    if not first or not second:
        raise command.make_error("a group of the partition is empty")
    known = run.deployment.list_places() | {"rest"}
    for name in (*first, *second):
        if name not in known:
            raise command.make_error(f"unknown endpoint {name!r}")
    return first, second, marks[0] == "->"


@verb("part")
def part_network(run, command):
    """``part A B | C`` or ``part A -> B``: partition both ways or one way."""
    first, second, one_way = split_groups(run, command)
    run.world.partition(first, second, one_way=one_way)


@verb("heal")
def heal_network(run, command):
    """``heal``: remove all partitions."""
    command.check_arguments(words=0)
    run.world.heal()


@verb("network")
def change_network(run, command):
    """``network [delay=2ms] [drop=0.1] [duplicate=0.1] [jitter=0.5]``.

    Changes the delay of messages and the rates of loss, duplication and jitter.
    """
    command.check_arguments(words=0, options=("delay", "drop", "duplicate", "jitter"))
    for name, text in command.options.items():
        read = command.read_duration if name == "delay" else command.read_number
        setattr(run.world.network, name, read(text))


@verb("kill")
def kill_daemons(run, command):
    """``kill DAEMON...``: kill processes, as SIGKILL does."""
    command.check_arguments(words=(1, None))
    for name in command.words:
        run.find_daemon(command, name)
        run.world.kill(name)


@verb("restart")
def restart_daemons(run, command):
    """``restart DAEMON...``: restart processes."""
    command.check_arguments(words=(1, None))
    for name in command.words:
        run.find_daemon(command, name)
        run.world.restart(name)


@verb("pause")
def pause_daemons(run, command):
    """``pause DAEMON...``: suspend processes, as SIGSTOP does."""
    command.check_arguments(words=(1, None))
    for name in command.words:
        run.find_daemon(command, name)
        run.world.pause(name)


@verb("resume")
def resume_daemons(run, command):
    """``resume DAEMON...``: resume suspended processes, as SIGCONT does."""
    command.check_arguments(words=(1, None))
    for name in command.words:
        run.find_daemon(command, name)
        run.world.resume(name)


@verb("shutdown")
def shut_daemons_down(run, command):
    """``shutdown DAEMON... [deadline=30s]``: shut daemons down gracefully."""
    command.check_arguments(words=(1, None), options=("deadline",))
    text = command.options.get("deadline", f"{SHUTDOWN_SECONDS:g}s")
    for name in command.words:
        run.find_daemon(command, name)
        run.facts.shutdowns[name] = run.world.now
        run.world.shut_down(name, command.read_duration(text))


@verb("roll")
def roll_daemon(run, command):
    """``roll DAEMON``: shut it down gracefully, restart it, wait until it is ready."""
    command.check_arguments(words=1)
    (name,) = command.words
    daemon = run.find_daemon(command, name)
    run.facts.shutdowns[name] = run.world.now
    run.world.shut_down(name, SHUTDOWN_SECONDS)
    if not run.world.run_until(lambda: daemon.stopped, within=SHUTDOWN_SECONDS):
        raise command.make_error(f"{name} did not stop within {SHUTDOWN_SECONDS:g}s")
    run.world.restart(name)
    if not run.world.run_until(
        lambda: run.deployment.is_ready(name), within=ROLL_SECONDS
    ):
        raise command.make_error(f"{name} was not ready within {ROLL_SECONDS:g}s")


@verb("lose")
def lose_disk(run, command):
    """``lose disk DAEMON``: kill a process and replace its disk by an empty one."""
    _find_disk(run, command)
    run.world.lose_disk(command.words[1])


@verb("fill")
def fill_disk(run, command):
    """``fill disk DAEMON``: make every write fail."""
    _find_disk(run, command)
    run.world.fill_disk(command.words[1])


@verb("empty")
def empty_disk(run, command):
    """``empty disk DAEMON``: make writes succeed again."""
    _find_disk(run, command)
    run.world.fill_disk(command.words[1], full=False)


def _find_disk(run, command):
    command.check_arguments(words=2)
    if command.words[0] != "disk":
        raise command.make_error(f"usage: {command.verb} disk DAEMON")
    if run.find_daemon(command, command.words[1]).disk is None:
        raise command.make_error(f"{command.words[1]} has no disk")


@verb("clock")
def change_clock(run, command):
    """``clock DAEMON [offset=40s] [rate=1.01]``: set the clock of a stopped daemon."""
    command.check_arguments(words=1, options=("offset", "rate"))
    daemon = run.find_daemon(command, command.words[0])
    if daemon.alive:
        raise command.make_error(
            f"{daemon.name} must be stopped before its clock changes"
        )
    if "offset" in command.options:
        daemon.clock_offset = command.read_duration(command.options["offset"])
    if "rate" in command.options:
        daemon.clock_rate = command.read_number(command.options["rate"])


@verb("target")
def change_target(run, command):
    """``target NAME... answers|fails|silent|refuses|leaves|returns|dies|revives``.

    ``takes=2s`` sets how long it runs each request.
    """
    command.check_arguments(words=(2, None), options=("takes",))
    *names, action = command.words
    for name in names:
        if name not in run.world.targets.by_name:
            raise command.make_error(f"unknown target {name!r}")
        _change_one_target(run, command, name, action)


def _change_one_target(run, command, name, action):
    target = run.world.targets.by_name[name]
    if "takes" in command.options:
        target.service_seconds = command.read_duration(command.options["takes"])
    match action:
        case "leaves":
            target.leaving = True
            run.facts.leaving.append(LeavingFacts(name, run.world.now))
        case "returns":
            target.leaving = False
            target.incarnation += 1
            for leaving in run.facts.leaving:
                if leaving.target == name:
                    leaving.until = min(leaving.until, run.world.now)
        case "dies":
            run.world.targets.kill(name)
        case "revives":
            run.world.targets.revive(name)
        case _ if action in BEHAVIOURS:
            target.behaviour = BEHAVIOURS[action]
        case _:
            raise command.make_error(f"unknown target action {action!r}")
