"""Attempts of requests on the targets of one daemon, and slots granted to others."""

from collections import OrderedDict
from dataclasses import dataclass

from gypsumwalk.effects import Dispatch, Effect, Record, SendPeer
from gypsumwalk.events import Event
from gypsumwalk.inputs import DispatchOutcome, DispatchStatus
from gypsumwalk.queues import Flow
from gypsumwalk.request_messages import Content, ReportRun, StartRun, make_content
from gypsumwalk.slots import OwnedTarget
from gypsumwalk.targets import TargetPart

__all__ = ["GRACE_SECONDS", "Attempt", "AttemptSpec", "AttemptTable", "SlotGrant"]

GRANT_TTL_SECONDS = 1.0
GRACE_SECONDS = 1.0
"""Maximum time after its deadline for which a target may run a request."""
RESEND_SECONDS = 0.25
MAX_REPORTS = 2048
MAX_USED_TOKENS = 16_384
MAX_REPORT_BYTES = 8 * 1024 * 1024
RUN_PATH = "/run"


@dataclass(frozen=True, slots=True)
class AttemptSpec:
    """The request that an attempt runs, and the attempt's number and deadline."""

    request_id: str
    queue: str
    flow: Flow
    attempt: int
    deadline: float
    content: Content
    repeatable: bool


@dataclass(frozen=True, slots=True)
class SlotGrant:
    """A slot granted to another daemon for a limited time."""

    token: str
    grantee: str
    service: str
    flow: Flow
    target: str
    expires_at: float
    charged_seconds: float


@dataclass(frozen=True, slots=True)
class Attempt:
    """An attempt of a request that was sent to a target.

    Attributes
    ----------
    home : str
        Daemon that keeps the request; empty for this one.
    must_end_at : float
        Time in seconds by which the attempt must have ended.
    """

    token: str
    request_id: str
    service: str
    flow: Flow
    target: str
    home: str
    started_at: float
    must_end_at: float
    charged_seconds: float


@dataclass(slots=True)
class _Report:
    message: ReportRun
    home: str
    resend_at: float
    expires_at: float


class AttemptTable:
    """Slots granted, attempts in progress and reports not yet acknowledged.

    Parameters
    ----------
    targets : TargetPart
        Targets of this daemon.
    incarnation : int
        Incarnation of this daemon, which fences its tokens.
    part : str
        Name of the part that handles dispatch outcomes.
    """

    def __init__(self, targets: TargetPart, incarnation: int, part: str) -> None:
        self._targets = targets
        self._incarnation = incarnation
        self._part = part
        self._number = 0
        self._grants: dict[str, SlotGrant] = {}
        self._attempts: dict[str, Attempt] = {}
        self._reports: OrderedDict[str, _Report] = OrderedDict()
        self._report_bytes = 0
        self._used_tokens: OrderedDict[str, float] = OrderedDict()
        self._last_evicted_number = 0

    def __len__(self) -> int:
        """Return the number of grants, attempts and unacknowledged reports."""
        return len(self._grants) + len(self._attempts) + len(self._reports)

    @property
    def running(self) -> int:
        """Number of attempts in progress."""
        return len(self._attempts)

    def grant_slot(
        self,
        target: OwnedTarget,
        grantee: str,
        flow: Flow,
        charged_seconds: float,
        now: float,
    ) -> SlotGrant:
        """Reserve a slot for a request of another daemon, for a limited time."""
        token = self._make_token()
        expires_at = now + GRANT_TTL_SECONDS
        grant = SlotGrant(
            token,
            grantee,
            target.service,
            flow,
            target.name,
            expires_at,
            charged_seconds,
        )
        self._grants[token] = grant
        target.busy[token] = expires_at
        return grant

    def remove_grant(self, token: str) -> SlotGrant | None:
        """Remove a grant and free its slot; return None if there is none."""
        grant = self._grants.pop(token, None)
        if grant is not None:
            self._targets.release(grant.target, token)
        return grant

    def list_expired_grants(self, now: float) -> list[SlotGrant]:
        """Return the grants that have expired."""
        return [grant for grant in self._grants.values() if grant.expires_at <= now]

    def start(
        self, spec: AttemptSpec, target: OwnedTarget, charged_seconds: float, now: float
    ) -> tuple[Attempt, list[Effect]]:
        """Send a request of this daemon to a target."""
        token = self._make_token()
        return self._start(spec, target, token, "", charged_seconds, now)

    def start_granted(
        self, source: str, message: StartRun, now: float, *, may_start: bool = True
    ) -> list[Effect]:
        """Send a request of another daemon to the target of its granted slot.

        Parameters
        ----------
        source : str
            Daemon that keeps the request.
        message : StartRun
            The request.
        now : float
            Time in seconds.
        may_start : bool
            Whether its team may still use the unit acquired for it.

        Returns
        -------
        list of Effect
            The dispatch, or a report if the request must not be sent.
        """
        token = message.token
        if token.partition(".")[0] != str(self._incarnation):
            return [
                self._report_without_attempt(source, message, DispatchStatus.UNKNOWN)
            ]
        if token in self._attempts:
            return []
        if token in self._reports:
            return [SendPeer(source, self._reports[token].message, reliable=True)]
        if self._may_have_been_used(token):
            return [
                self._report_without_attempt(source, message, DispatchStatus.UNKNOWN)
            ]
        grant = self.remove_grant(token)
        if grant is None or grant.grantee != source or grant.expires_at <= now:
            return [
                self._report_without_attempt(source, message, DispatchStatus.NOT_SENT)
            ]
        if not may_start:
            return [
                self._report_without_attempt(source, message, DispatchStatus.NOT_SENT)
            ]
        target = self._targets.table.targets.get(grant.target)
        if target is None or not target.can_accept_work(now) or message.seconds <= 0:
            return [
                self._report_without_attempt(source, message, DispatchStatus.NOT_SENT)
            ]
        spec = AttemptSpec(
            request_id=message.request_id,
            queue=message.queue,
            flow=grant.flow,
            attempt=message.attempt,
            deadline=now + message.seconds,
            content=message.content,
            repeatable=message.repeatable,
        )
        return self._start(spec, target, token, source, grant.charged_seconds, now)[1]

    def finish(
        self, outcome: DispatchOutcome, now: float
    ) -> tuple[Attempt, list[Effect]] | None:
        """Apply the outcome of a dispatch; return None if it is unknown or ended."""
        token = outcome.dispatch_id.partition("/")[2]
        attempt = self._attempts.pop(token, None)
        if attempt is None:
            return None
        self._free_slot(attempt, outcome.status)
        effects = self._record_target_result(attempt, outcome, now)
        if attempt.home:
            effects += self._send_report(attempt, outcome, now)
        return attempt, effects

    def acknowledge(self, token: str) -> None:
        """Remove a report that was acknowledged."""
        report = self._reports.pop(token, None)
        if report is not None:
            self._report_bytes -= report.message.content.length

    def resend_reports(self, now: float) -> list[Effect]:
        """Resend the reports that are not acknowledged, and drop expired ones."""
        effects: list[Effect] = []
        for token, report in list(self._reports.items()):
            if report.expires_at <= now:
                self.acknowledge(token)
            elif report.resend_at <= now:
                report.resend_at = now + RESEND_SECONDS
                effects.append(SendPeer(report.home, report.message, reliable=True))
        return effects

    def drop_reports(self, home: str) -> None:
        """Drop the reports to a daemon that has left."""
        for token in [key for key, item in self._reports.items() if item.home == home]:
            self.acknowledge(token)

    def _may_have_been_used(self, token: str) -> bool:
        return (
            token in self._used_tokens
            or _parse_number(token) <= self._last_evicted_number
        )

    def _remember_used(self, token: str, must_end_at: float, now: float) -> None:
        self._used_tokens[token] = must_end_at + GRACE_SECONDS
        while len(self._used_tokens) > MAX_USED_TOKENS:
            oldest, _ = self._used_tokens.popitem(last=False)
            self._last_evicted_number = max(
                self._last_evicted_number, _parse_number(oldest)
            )
        while next(iter(self._used_tokens.values())) <= now:
            self._used_tokens.popitem(last=False)

    def _make_token(self) -> str:
        self._number += 1
        return f"{self._incarnation}.{self._number}"

    def _start(
        self,
        spec: AttemptSpec,
        target: OwnedTarget,
        token: str,
        home: str,
        charged_seconds: float,
        now: float,
    ) -> tuple[Attempt, list[Effect]]:
        must_end_at = spec.deadline + GRACE_SECONDS
        attempt = Attempt(
            token=token,
            request_id=spec.request_id,
            service=target.service,
            flow=spec.flow,
            target=target.name,
            home=home,
            started_at=now,
            must_end_at=must_end_at,
            charged_seconds=charged_seconds,
        )
        self._attempts[token] = attempt
        if home:
            self._remember_used(token, must_end_at, now)
        target.busy[token] = must_end_at
        seconds = spec.deadline - now
        headers = {
            "Gypsumwalk-Request-Id": spec.request_id,
            "Gypsumwalk-Queue": spec.queue,
            "Gypsumwalk-Team": spec.flow.team,
            "Gypsumwalk-Attempt": str(spec.attempt),
            "Gypsumwalk-Repeatable": str(spec.repeatable).lower(),
            "Gypsumwalk-Deadline-Seconds": f"{seconds:.3f}",
            "Gypsumwalk-Digest": spec.content.digest,
            "Gypsumwalk-Epoch": str(target.epoch),
            "Content-Type": spec.content.content_type,
        }
        dispatch = Dispatch(
            dispatch_id=f"{self._part}/{token}",
            target=target.name,
            address=target.address,
            path=RUN_PATH,
            payload=spec.content.payload,
            headers=headers,
            timeout=seconds,
        )
        sent = Record(
            Event.REQUEST_SENT,
            spec.request_id,
            {"target": target.name, "attempt": spec.attempt},
        )
        return attempt, [dispatch, sent]

    def _free_slot(self, attempt: Attempt, status: DispatchStatus) -> None:
        if status is DispatchStatus.UNKNOWN:
            self._targets.mark_slot_lost(
                attempt.target, attempt.token, attempt.must_end_at
            )
        else:
            self._targets.release(attempt.target, attempt.token)

    def _record_target_result(
        self, attempt: Attempt, outcome: DispatchOutcome, now: float
    ) -> list[Effect]:
        target = self._targets.table.targets.get(attempt.target)
        if target is None:
            return []
        failed = outcome.status is not DispatchStatus.ANSWERED or outcome.code >= 500
        if not failed:
            self._targets.table.record_success(target, now)
            return []
        if not self._targets.table.record_failure(target, now):
            return []
        return [
            Record(Event.TARGET_EJECTED, attempt.target, {"target": attempt.target})
        ]

    def _send_report(
        self, attempt: Attempt, outcome: DispatchOutcome, now: float
    ) -> list[Effect]:
        message = ReportRun(
            token=attempt.token,
            request_id=attempt.request_id,
            status=outcome.status,
            target=attempt.target,
            code=outcome.code,
            content=make_content(outcome.payload, outcome.content_type),
        )
        expires_at = attempt.must_end_at + GRACE_SECONDS
        report = _Report(message, attempt.home, now + RESEND_SECONDS, expires_at)
        self._reports[attempt.token] = report
        self._report_bytes += message.content.length
        while self._is_over_limit():
            self.acknowledge(next(iter(self._reports)))
        return [SendPeer(attempt.home, message, reliable=True)]

    def _is_over_limit(self) -> bool:
        if len(self._reports) > MAX_REPORTS:
            return True
        return self._report_bytes > MAX_REPORT_BYTES and len(self._reports) > 1

    def _report_without_attempt(
        self, source: str, message: StartRun, status: DispatchStatus
    ) -> Effect:
        report = ReportRun(message.token, message.request_id, status, "")
        return SendPeer(source, report, reliable=True)


def _parse_number(token: str) -> int:
    number = token.partition(".")[2]
    return int(number) if number.isdecimal() else 0
