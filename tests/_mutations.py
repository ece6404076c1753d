"""Deliberate faults in decisions, at least one for each promise.

Each replaces one method while a test runs. The test requires that the scenario then
fails, with a message from the checker of the promise.
"""

from dataclasses import dataclass, replace
from unittest import mock

from gypsumwalk.effects import Stop
from gypsumwalk.folder_merging import merge_files
from gypsumwalk.generations import ConfigurationSection, FolderAccepted
from gypsumwalk.instances import InstanceEvent
from gypsumwalk.keys import KeyPart
from gypsumwalk.pools import PoolSection
from gypsumwalk.problems import Outcome
from gypsumwalk.quota_portions import PortionPart
from gypsumwalk.request_scheduler import RequestScheduler
from gypsumwalk.request_table import Request, RequestTable
from gypsumwalk.requests import RequestPart
from gypsumwalk.slots import OwnedTarget


@dataclass(frozen=True)
class Mutation:
    """One fault: the replaced method, and the checker and scenario that detect it."""

    name: str
    checker: str
    scenario: str
    owner: type
    method: str
    replacement: object

    def make_patch(self):
        """Return a context manager that applies the fault."""
        return mock.patch.object(self.owner, self.method, self.replacement)


def _ignore_budget(self, pool):
    return 100


def _confirm_empty_at_once(self, instance, purpose, silent, at):
    refusal = _drain(self, instance, purpose, silent, at)
    if not refusal:
        self.trigger(instance, InstanceEvent.CONFIRM_EMPTY, at, "not checked")
    return refusal


_drain = PoolSection.drain


def _is_always_fresh(self, now):
    return True


def _return_many_free_units(self, team, local, now):
    return 100


_end = RequestTable.end


def _end_with_truncated_payload(self, request, answer, outcome, now):
    part = replace(answer, payload=answer.payload[:-1])
    return _end(self, request, part, outcome, now)


def _retry_regardless_of_outcome(self, request, now):
    request.may_have_run = False
    return request.attempts < 3


def _is_serving_while_leaving(self, now):
    return self.confirmed


def _stop_immediately(self, now):
    if self._stop_at is None or self._stopped:
        return []
    self._stopped = True
    return [Stop()]


def _skip_second_configuration(self, command, index, at):
    if self.generation >= 1 and not getattr(self, "skipped", False):
        self.skipped = True
        return FolderAccepted(self.generation + 1)
    return _apply(self, command, index, at)


_apply = ConfigurationSection.apply


def _load_with_old_tables(self, content):
    parsed = dict(self._parsed)
    _load(self, content)
    self._parsed |= {name: parsed[name] for name in parsed if name in self.files}
    self._folder = merge_files(self._parsed)


_load = ConfigurationSection.load


MUTATIONS = [
    Mutation(
        "budget-ignored",
        "budgets",
        "budgets-wave",
        PoolSection,
        "find_budget",
        _ignore_budget,
    ),
    Mutation(
        "drain-not-awaited",
        "pools",
        "pools-one-per-instance",
        PoolSection,
        "drain",
        _confirm_empty_at_once,
    ),
    Mutation(
        "stale-keys-used",
        "keys",
        "keys-withdrawn",
        KeyPart,
        "is_fresh",
        _is_always_fresh,
    ),
    Mutation(
        "portions-not-counted",
        "limits",
        "limits-across-fleet",
        PortionPart,
        "_count_free",
        _return_many_free_units,
    ),
    Mutation(
        "answer-cut",
        "answers",
        "answers-own-and-whole",
        RequestTable,
        "end",
        _end_with_truncated_payload,
    ),
    Mutation(
        "not-run-guessed",
        "refusals",
        "refusals-true",
        Request,
        "unanswered_outcome",
        property(lambda self: Outcome.NOT_RUN),
    ),
    Mutation(
        "always-repeated",
        "single-runs",
        "single-run-resent",
        RequestScheduler,
        "_can_retry",
        _retry_regardless_of_outcome,
    ),
    Mutation(
        "leaving-not-heeded",
        "leaving",
        "leaving-target",
        OwnedTarget,
        "is_serving",
        _is_serving_while_leaving,
    ),
    Mutation(
        "shutdown-not-graceful",
        "shutdowns",
        "shutdown-cuts-nothing",
        RequestPart,
        "_continue_shutdown",
        _stop_immediately,
    ),
    Mutation(
        "snapshot-with-old-tables",
        "configuration",
        "snapshot-for-a-late-daemon",
        ConfigurationSection,
        "load",
        _load_with_old_tables,
    ),
    Mutation(
        "generation-skipped",
        "configuration",
        "configuration-in-force",
        ConfigurationSection,
        "apply",
        _skip_second_configuration,
    ),
]
