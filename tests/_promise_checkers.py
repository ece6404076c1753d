"""Checkers of the promises, over the ground truth of a run.

They share no code with the decisions that they check. Each takes ``Facts`` and yields
a message for each violation; ``CHECKERS`` lists them by name.
"""

from collections import defaultdict

KEY_SECONDS = 5.0
"""Time in which a withdrawn key must stop working."""
LEAVING_SECONDS = 2.0
"""Time after which a leaving target must get no new work."""
CONFIGURATION_SECONDS = 14.0
"""Time in which an accepted configuration must be in force."""
DETECTION_SECONDS = 8.0
"""Time in which the loss or return of an instance must be detected."""
NOT_RUN = "not run"


def check_budgets(facts):
    """Every pool's availability budget holds through every maintenance wave.

    A reboot may begin only if it leaves no more of the pool's instances unavailable
    than the budget allows. Losses of the last ``DETECTION_SECONDS`` do not count.
    """
    for outage in facts.outages:
        if not outage.planned:
            continue
        pool = _find_pool(facts, outage.instance, outage.began)
        budget = _find_budget(facts, pool, outage.began)
        unavailable = _list_unavailable(facts, pool, outage)
        if budget is not None and len(unavailable) > budget:
            yield (
                f"reboot of {outage.instance} at {outage.began:.3f} makes "
                f"{len(unavailable)} of pool {pool} unavailable "
                f"({', '.join(unavailable)}), budget {budget}"
            )


def _list_unavailable(facts, pool, reboot):
    unavailable = {reboot.instance}
    for other in facts.outages:
        if _find_pool(facts, other.instance, reboot.began) != pool:
            continue
        known_after = 0.0 if other.planned else DETECTION_SECONDS
        began = other.began + known_after <= reboot.began
        if began and (other.ended is None or other.ended > reboot.began):
            unavailable.add(other.instance)
    return sorted(unavailable)


def _find_pool(facts, instance, at):
    found = ""
    for since, pool in facts.pool_of.get(instance, ()):
        if since <= at:
            found = pool
    return found


def _find_budget(facts, pool, at):
    held = [item for item in facts.budgets if item.pool == pool and item.at <= at]
    recent = [item for item in held if item.at >= at - CONFIGURATION_SECONDS]
    before = [item for item in held if item.at < at - CONFIGURATION_SECONDS]
    allowed = [item.max_unavailable for item in before[-1:] + recent]
    return max(allowed) if allowed else None


def check_pools(facts):
    """An instance belongs to exactly one pool at any moment.

    Tasks of two pools never overlap on one instance.
    """
    by_instance = defaultdict(list)
    for task in facts.tasks:
        by_instance[task.instance].append(task)
    for instance, tasks in by_instance.items():
        for first in tasks:
            for second in tasks:
                if first.pool < second.pool and _overlap(first, second):
                    yield (
                        f"{instance} runs {first.job} of pool {first.pool} and "
                        f"{second.job} of pool {second.pool} at the same time"
                    )


def _overlap(first, second):
    first_ends = float("inf") if first.ended is None else first.ended
    second_ends = float("inf") if second.ended is None else second.ended
    return first.started < second_ends and second.started < first_ends


def check_keys(facts):
    """Work is taken only for the team whose key came with it."""
    for request, execution in _list_runs(facts):
        if request.queue in facts.open_queues:
            continue
        key = facts.keys.get(request.key)
        if key is None:
            yield f"{request.name} ran on {execution.target} without a known key"
            continue
        if key.withdrawn_at is None:
            continue
        late = execution.started - key.withdrawn_at
        if late > KEY_SECONDS:
            yield (
                f"{request.name} ran on {execution.target} {late:.3f} s after its key "
                "was withdrawn"
            )


def _list_runs(facts):
    by_payload = {request.payload: request for request in facts.requests.values()}
    for execution in facts.executions:
        request = by_payload.get(execution.payload)
        if request is not None:
            yield request, execution


def check_limits(facts):
    """No team has more running across the fleet than its upper limit."""
    starts = [
        (request.team, execution.started, execution.ended)
        for request, execution in _list_runs(facts)
    ]
    starts += [(task.team, task.started, task.ended) for task in facts.tasks]
    by_team = defaultdict(list)
    for team, started, ended in starts:
        by_team[team].append((started, float("inf") if ended is None else ended))
    for team, spans in by_team.items():
        for started, _ in spans:
            running = sum(1 for begin, end in spans if begin <= started < end)
            limit = _find_limit(facts, team, started)
            if limit is not None and running > limit:
                yield f"{team} has {running} running at {started:.3f}, limit {limit}"
                break


def _find_limit(facts, team, at):
    held = [item for item in facts.limits if item.team == team and item.at <= at]
    recent = [item for item in held if item.at >= at - CONFIGURATION_SECONDS]
    before = [item for item in held if item.at < at - CONFIGURATION_SECONDS]
    allowed = [item.limit for item in before[-1:] + recent]
    return max(allowed) if allowed else None


def check_answers(facts):
    """A caller gets the whole answer to its own request."""
    for request in facts.requests.values():
        expected = b"answer to " + request.payload
        for call in request.calls:
            if call.answer is None or call.answer.status != 200:
                continue
            if call.answer.payload != expected:
                yield f"{request.name} was answered {call.answer.payload!r}"


def check_refusals(facts):
    """A refusal that says "not run" is true."""
    runs = defaultdict(list)
    for request, execution in _list_runs(facts):
        runs[request.name].append(execution)
    for request in facts.requests.values():
        for call in request.calls:
            if _read_outcome(call) != NOT_RUN:
                continue
            for execution in runs[request.name]:
                if not _has_other_cause(request, call, execution):
                    yield (
                        f"{request.name} was answered 'not run' at "
                        f"{call.answered_at:.3f} and ran on {execution.target} at "
                        f"{execution.started:.3f}"
                    )


def _read_outcome(call):
    body = getattr(call.answer, "body", None)
    return str(getattr(body, "outcome", "")) if body is not None else ""


def _has_other_cause(request, call, execution):
    """Return whether another call for the request may have caused an execution."""
    if execution.started <= call.answered_at:
        return False
    return any(
        other is not call
        and (other.answered_at is None or other.answered_at >= execution.started)
        for other in request.calls
    )


def check_single_runs(facts):
    """A request marked as not repeatable runs at most once."""
    runs = defaultdict(list)
    for request, execution in _list_runs(facts):
        if not request.repeatable:
            runs[request.name].append(execution.target)
    for name, targets in runs.items():
        if len(targets) > 1:
            yield f"{name} ran {len(targets)} times, on {', '.join(targets)}"
    attempts = defaultdict(list)
    for task in facts.tasks:
        attempts[task.job, task.attempt].append(task.instance)
    for (job, attempt), instances in attempts.items():
        if len(instances) > 1:
            yield f"attempt {attempt} of {job} ran on {', '.join(instances)}"


def check_leaving(facts):
    """A target that is leaving gets no new work after a few seconds."""
    for execution in facts.executions:
        for leaving in facts.leaving:
            if leaving.target != execution.target:
                continue
            late = execution.started - leaving.since
            if late > LEAVING_SECONDS and execution.started < leaving.until:
                yield f"{execution.target} got new work {late:.3f} s after leaving"


def check_shutdowns(facts):
    """A graceful shutdown cuts no request in progress."""
    for request in facts.requests.values():
        for call in request.calls:
            if call.lost and call.answered_at is None and call.to in facts.shutdowns:
                yield f"{request.name} was cut by the shutdown of {call.to}"


def check_configuration(facts):
    """An accepted configuration is in force everywhere within seconds."""
    highest = {}
    for sample in facts.samples:
        held = highest.get(sample.daemon, 0)
        if 0 < sample.generation < held:
            yield (
                f"{sample.daemon} went back from generation {held} to "
                f"{sample.generation} at {sample.at:.3f}"
            )
        highest[sample.daemon] = max(held, sample.generation)
        due = _find_due_generation(facts, sample)
        if sample.generation < due:
            yield (
                f"{sample.daemon} has generation {sample.generation} in force at "
                f"{sample.at:.3f}, expected {due}"
            )

    accepted = {item.generation: item.limits for item in facts.accepted}
    for folder in facts.folders:
        expected = accepted.get(folder.generation, folder.limits)
        if folder.limits != expected:
            yield (
                f"{folder.daemon} has limits {folder.limits} in force under generation "
                f"{folder.generation}, expected {expected}"
            )


def _find_due_generation(facts, sample):
    if sample.connected_since is None:
        return 0
    due = [
        item.generation
        for item in facts.accepted
        if max(item.at, sample.connected_since) + CONFIGURATION_SECONDS < sample.at
    ]
    return max(due, default=0)


CHECKERS = {
    "budgets": check_budgets,
    "pools": check_pools,
    "keys": check_keys,
    "limits": check_limits,
    "answers": check_answers,
    "refusals": check_refusals,
    "single-runs": check_single_runs,
    "leaving": check_leaving,
    "shutdowns": check_shutdowns,
    "configuration": check_configuration,
}


def check_all(facts):
    """Return every violation as ``checker: message``."""
    return [
        f"{name}: {sentence}"
        for name, check in CHECKERS.items()
        for sentence in check(facts)
    ]
