"""Runs of requests on several daemons while one or two faults happen."""

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
"""Time after which the load balancer sends nothing more to a leaving daemon."""
SETTLE_SECONDS = 14.0


@dataclass
class Run:
    """One run, as observed by callers and targets."""

    cluster: Cluster
    started_at: float = 0.0
    calls: list = field(default_factory=list)
    repeatable: set = field(default_factory=set)
    left_at: dict = field(default_factory=dict)
    withdrawn_at: dict = field(default_factory=dict)
    limits: dict = field(default_factory=dict)
    unready: set = field(default_factory=set)
    shut_down: list = field(default_factory=list)
    sent_deadlines: dict = field(default_factory=dict)
    slots: int = SLOTS
    deadline_seconds: float = 4.0

    @property
    def world(self):
        """Simulated world of the run."""
        return self.cluster.world

    def read_deadline(self, request_id, target, started):
        """Return the latest deadline sent to a target before the start of a request."""
        if not self.sent_deadlines:
            for entry in self.world.trace:
                if isinstance(entry.effect, Dispatch):
                    self.record_dispatch(entry.at, entry.effect)
        times = self.sent_deadlines[request_id, target]
        return max(deadline for at, deadline in times if at <= started)

    def has_responded(self, call):
        """Return whether a daemon answered a call, even if the answer was lost."""
        return any(
            isinstance(entry.effect, Respond) and entry.effect.call_id == call.call_id
            for entry in self.world.trace
        )

    def record_dispatch(self, at, dispatch):
        """Record the deadline sent with a dispatch."""
        key = (dispatch.headers["Gypsumwalk-Request-Id"], dispatch.target)
        seconds = float(dispatch.headers["Gypsumwalk-Deadline-Seconds"])
        self.sent_deadlines.setdefault(key, []).append((at, at + seconds))


def lose_target(run, random):
    """Crash a target with its running requests, and restart it later."""
    name = random.choice(sorted(run.world.targets.by_name))
    run.world.targets.kill(name)
    run.world.schedule(HEAL_AFTER, lambda: run.world.targets.revive(name))


def lose_daemon(run, random):
    """Crash a daemon, and restart it later."""
    name = random.choice(list_alive(run))
    run.cluster.kill(name)

    def restart():
        if not run.world.daemons[name].alive:
            run.world.restart(name)

    run.world.schedule(HEAL_AFTER * 2, restart)


def part(run, random):
    """Partition a data centre off, and heal the partition later."""
    run.cluster.partition([random.choice(["seoul", "busan"])])
    run.world.schedule(HEAL_AFTER, run.cluster.heal)


def answer_late(run, random):
    """Delay the answers of a target past the deadline."""
    name = random.choice(sorted(run.world.targets.by_name))
    target = run.world.targets.by_name[name]
    target.service_seconds = run.deadline_seconds + 0.5

    def recover():
        target.service_seconds = SERVICE_SECONDS

    run.world.schedule(HEAL_AFTER, recover)


def resend(run, random):
    """Resend the last requests with a ticket, to any daemon."""
    sent = [call for call in run.calls if call.body.request_id]
    for call in sent[-20:]:
        run.calls.append(
            run.world.call(call.body, credential=call.credential, payload=call.payload)
        )


def leave_target(run, random):
    """Let a target announce that it is leaving."""
    name = random.choice(sorted(run.world.targets.by_name))
    run.world.targets.by_name[name].leaving = True
    run.left_at[name] = run.world.now + 0.5


def leave_daemon(run, random):
    """Request the graceful shutdown of a daemon."""
    name = random.choice(list_alive(run))
    run.shut_down.append(name)
    run.cluster.shut_down(name)
    run.world.schedule(BALANCER_SECONDS, lambda: run.unready.add(name))


def cancel(run, random):
    """Cancel many recent requests at once."""
    for call in run.calls[-40:]:
        if call.body.request_id:
            team = call.credential.removesuffix("-key")
            run.cluster.cancel(call.body.request_id, team=team)


def withdraw_key(run, random):
    """Withdraw the key of a team."""
    run.cluster.withdraw_key("holds")
    run.withdrawn_at["holds"] = run.world.now


def lower_limit(run, random):
    """Lower the upper limit of a team."""
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
    """Set the upper limit of a team, and record the time."""
    run.cluster.add_team(team, limit=limit)
    run.limits.setdefault(team, []).append((run.world.now, limit))


def list_alive(run):
    """Return the daemons that are alive and not leaving."""
    return [
        name
        for name, daemon in run.world.daemons.items()
        if daemon.alive and name not in run.shut_down
    ]


def run_faults(
    names, seed, *, drop=0.0, duplicate=0.0, interval=INTERVAL_SECONDS, calls=CALLS
):
    """Submit requests while faults happen, and return the run."""
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
    """Return the daemon to which the load balancer sends a call."""
    ready = [
        name
        for name, daemon in run.world.daemons.items()
        if daemon.alive and name not in run.unready
    ]
    return random.choice(ready)


def submit(run, random, number):
    """Submit a request, every second with a ticket and every fourth repeatable."""
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

    def submit_with_ticket():
        if ticket.answer is None or ticket.answer.status != 200:
            return
        request_id = ticket.answer.body.request_id
        entry = choose_entry(run, random)
        run.calls.append(
            run.cluster.submit(payload, to=entry, request_id=request_id, **fields)
        )

    run.world.schedule(0.01, submit_with_ticket)
