"""Runs of requests on four daemons while one or two faults happen."""

from dataclasses import dataclass, field
from random import Random

from gypsumwalk.effects import Dispatch, Respond
from gypsumwalk.submissions import MintTicket
from tests._request_fakes import Cluster

DAEMONS = {
    "hanbit-1": "seoul",
    "hanbit-2": "seoul",
    "hanbit-3": "busan",
    "hanbit-4": "busan",
    "hanbit-5": "jeju",
}
TEAMS = ("seats", "holds")
SLOTS = 2
INTERVAL_SECONDS = 0.02
CALLS = 250
SERVICE_SECONDS = 0.3
FAULT_AT = 1.5
SECOND_FAULT_AFTER = 0.4
HEAL_AFTER = 4.0
BALANCER_SECONDS = 0.5
"""Time after which the balancer knows that a daemon is not ready."""
SETTLE_SECONDS = 14.0


@dataclass
class Run:
    """One run, as callers and targets saw it."""

    cluster: Cluster
    started_at: float = 0.0
    calls: list = field(default_factory=list)
    repeatable: set = field(default_factory=set)
    left_at: dict = field(default_factory=dict)
    withdrawn_at: dict = field(default_factory=dict)
    limits: dict = field(default_factory=dict)
    unready: set = field(default_factory=set)
    shut_down: list = field(default_factory=list)
    told: dict = field(default_factory=dict)
    slots: int = SLOTS
    deadline_seconds: float = 4.0

    @property
    def world(self):
        """The world that the run happened in."""
        return self.cluster.world

    def read_deadline(self, request_id, target, started):
        """Return the deadline that a target was told with a request."""
        if not self.told:
            for entry in self.world.trace:
                if isinstance(entry.effect, Dispatch):
                    self.note_dispatch(entry.at, entry.effect)
        times = self.told[request_id, target]
        return max(deadline for at, deadline in times if at <= started)

    def has_responded(self, call):
        """Tell whether a daemon answered a call, be the answer lost or not."""
        return any(
            isinstance(entry.effect, Respond) and entry.effect.call_id == call.call_id
            for entry in self.world.trace
        )

    def note_dispatch(self, at, dispatch):
        """Note what a target was told."""
        key = (dispatch.headers["Gypsumwalk-Request-Id"], dispatch.target)
        seconds = float(dispatch.headers["Gypsumwalk-Deadline-Seconds"])
        self.told.setdefault(key, []).append((at, at + seconds))


def lose_target(run, random):
    """A target vanishes with what it runs, and starts again later."""
    name = random.choice(sorted(run.world.targets.by_name))
    run.world.targets.kill(name)
    run.world.schedule(HEAL_AFTER, lambda: run.world.targets.revive(name))


def lose_daemon(run, random):
    """A daemon crashes, and starts again later."""
    name = random.choice(list_alive(run))
    run.cluster.kill(name)

    def restart():
        if not run.world.daemons[name].alive:
            run.world.restart(name)

    run.world.schedule(HEAL_AFTER * 2, restart)


def part(run, random):
    """A data centre is cut off, and joined again later."""
    run.cluster.partition([random.choice(["seoul", "busan"])])
    run.world.schedule(HEAL_AFTER, run.cluster.heal)


def answer_late(run, random):
    """A target answers after the deadline."""
    name = random.choice(sorted(run.world.targets.by_name))
    target = run.world.targets.by_name[name]
    target.service_seconds = run.deadline_seconds + 0.5

    def recover():
        target.service_seconds = SERVICE_SECONDS

    run.world.schedule(HEAL_AFTER, recover)


def resend(run, random):
    """Callers resend what they have sent, to any daemon."""
    sent = [call for call in run.calls if call.body.request_id]
    for call in sent[-20:]:
        run.calls.append(
            run.world.call(call.body, credential=call.credential, payload=call.payload)
        )


def leave_target(run, random):
    """A target says that it is leaving."""
    name = random.choice(sorted(run.world.targets.by_name))
    run.world.targets.by_name[name].leaving = True
    run.left_at[name] = run.world.now + 0.5


def leave_daemon(run, random):
    """A daemon is asked to leave."""
    name = random.choice(list_alive(run))
    run.shut_down.append(name)
    run.cluster.shut_down(name)
    run.world.schedule(BALANCER_SECONDS, lambda: run.unready.add(name))


def cancel(run, random):
    """A wave of callers withdraw their requests."""
    for call in run.calls[-40:]:
        if call.body.request_id:
            team = call.credential.removesuffix("-key")
            run.cluster.cancel(call.body.request_id, team=team)


def withdraw_key(run, random):
    """An operator withdraws the key of a team."""
    run.cluster.withdraw_key("holds")
    run.withdrawn_at["holds"] = run.world.now


def lower_limit(run, random):
    """An operator lowers the upper limit of a team."""
    set_limit(run, "seats", 2)


FAULTS = {
    "target loss": lose_target,
    "daemon loss": lose_daemon,
    "partition": part,
    "late answer": answer_late,
    "resend": resend,
    "leaving target": leave_target,
    "leaving daemon": leave_daemon,
    "cancel": cancel,
    "key withdrawn": withdraw_key,
    "limit lowered": lower_limit,
}


def set_limit(run, team, limit):
    """Set the upper limit of a team, and note when."""
    run.cluster.add_team(team, limit=limit)
    run.limits.setdefault(team, []).append((run.world.now, limit))


def list_alive(run):
    """Return the daemons that run and are not leaving."""
    return [
        name
        for name, daemon in run.world.daemons.items()
        if daemon.alive and name not in run.shut_down
    ]


def run_faults(
    names, seed, *, drop=0.0, duplicate=0.0, interval=INTERVAL_SECONDS, calls=CALLS
):
    """Hand in requests while faults happen, and return the run."""
    random = Random(f"{seed} {names}")
    cluster = Cluster(DAEMONS, seed=seed)
    run = Run(cluster)
    for number in range(8):
        data_centre = ("seoul", "busan")[number % 2]
        cluster.add_target(
            f"runner-{number}",
            data_centre,
            slots=SLOTS,
            service_seconds=SERVICE_SECONDS,
        )
    for team in TEAMS:
        set_limit(run, team, 8)
    assert cluster.wait_owned(*cluster.world.targets.by_name)
    run.world.network.drop = drop
    run.world.network.duplicate = duplicate
    run.world.run(3.0)
    run.started_at = run.world.now
    delay = FAULT_AT
    for name in names:
        fault = FAULTS[name]
        run.world.schedule(delay, lambda fault=fault: fault(run, random))
        delay += SECOND_FAULT_AFTER
    for number in range(calls):
        submit(run, random, number)
        run.world.run(interval)
    run.world.run(SETTLE_SECONDS)
    return run


def choose_entry(run, random):
    """Return the daemon that the balancer hands a call to."""
    able = [
        name
        for name, daemon in run.world.daemons.items()
        if daemon.alive and name not in run.unready
    ]
    return random.choice(able)


def submit(run, random, number):
    """Hand in one request, one in two with a ticket and one in four repeatable."""
    team = random.choice(TEAMS)
    payload = f"{team}/{number}".encode()
    repeatable = number % 4 == 0
    if repeatable:
        run.repeatable.add(payload)
    fields = {
        "team": team,
        "repeatable": repeatable,
        "urgent": number % 10 == 0,
        "deadline_seconds": run.deadline_seconds,
    }
    if number % 2 == 0:
        entry = choose_entry(run, random)
        run.calls.append(run.cluster.submit(payload, to=entry, **fields))
        return
    ticket = run.world.call(MintTicket(), to=choose_entry(run, random))

    def use():
        if ticket.answer is None or ticket.answer.status != 200:
            return
        request_id = ticket.answer.body.request_id
        entry = choose_entry(run, random)
        run.calls.append(
            run.cluster.submit(payload, to=entry, request_id=request_id, **fields)
        )

    run.world.schedule(0.01, use)
