"""Runs of requests on the targets that one daemon owns, and slots it has lent."""

from collections import OrderedDict
from dataclasses import dataclass

from gypsumwalk.effects import Dispatch, Effect, Record, SendPeer
from gypsumwalk.events import Event
from gypsumwalk.exchange import Content, ReportRun, StartRun, make_content
from gypsumwalk.inputs import DispatchOutcome, DispatchStatus
from gypsumwalk.queues import Line
from gypsumwalk.slots import OwnedTarget
from gypsumwalk.targets import TargetPart

__all__ = ["GRACE_SECONDS", "Loan", "Run", "RunTable", "Work"]

LOAN_SECONDS = 1.0
GRACE_SECONDS = 1.0
"""Time after the deadline by which a target must have ended a request."""
RESEND_SECONDS = 0.25
MAX_REPORTS = 2048
MAX_USED = 16_384
MAX_REPORT_BYTES = 8 * 1024 * 1024
PATH = "/run"


@dataclass(frozen=True, slots=True)
class Work:
    """What is run."""

    request_id: str
    queue: str
    line: Line
    attempt: int
    deadline: float
    content: Content
    repeatable: bool


@dataclass(frozen=True, slots=True)
class Loan:
    """A slot lent to another daemon."""

    token: str
    asker: str
    service: str
    line: Line
    target: str
    expires_at: float
    charged: float


@dataclass(frozen=True, slots=True)
class Run:
    """A request that was sent to a target.

    Attributes
    ----------
    home : str
        Daemon that keeps the request's record; empty for this one.
    until : float
        Time in seconds by which it must have ended.
    """

    token: str
    request_id: str
    service: str
    line: Line
    target: str
    home: str
    started_at: float
    until: float
    charged: float


@dataclass(slots=True)
class _Report:
    message: ReportRun
    home: str
    resend_at: float
    expires_at: float


class RunTable:
    """Slots lent, runs under way and reports not yet acknowledged.

    Parameters
    ----------
    targets : TargetPart
        Targets of this daemon.
    incarnation : int
        Incarnation of this daemon, which fences its tokens.
    part : str
        Name of the part that dispatch outcomes go to.
    """

    def __init__(self, targets: TargetPart, incarnation: int, part: str) -> None:
        self._targets = targets
        self._incarnation = incarnation
        self._part = part
        self._number = 0
        self._loans: dict[str, Loan] = {}
        self._runs: dict[str, Run] = {}
        self._reports: OrderedDict[str, _Report] = OrderedDict()
        self._report_bytes = 0
        self._used: OrderedDict[str, float] = OrderedDict()
        self._forgotten = 0

    def __len__(self) -> int:
        """Return how much is under way or not yet acknowledged."""
        return len(self._loans) + len(self._runs) + len(self._reports)

    @property
    def running(self) -> int:
        """Number of runs under way."""
        return len(self._runs)

    def lend(
        self,
        target: OwnedTarget,
        asker: str,
        line: Line,
        charged: float,
        now: float,
    ) -> Loan:
        """Reserve a slot for a request of another daemon."""
        token = self._make_token()
        expires_at = now + LOAN_SECONDS
        loan = Loan(
            token, asker, target.service, line, target.name, expires_at, charged
        )
        self._loans[token] = loan
        target.busy[token] = expires_at
        return loan

    def take_back(self, token: str) -> Loan | None:
        """End a loan that was not used."""
        loan = self._loans.pop(token, None)
        if loan is not None:
            self._targets.release(loan.target, token)
        return loan

    def list_expired(self, now: float) -> list[Loan]:
        """Return the loans that have run out."""
        return [loan for loan in self._loans.values() if loan.expires_at <= now]

    def start(
        self, work: Work, target: OwnedTarget, charged: float, now: float
    ) -> tuple[Run, list[Effect]]:
        """Send a request of this daemon to a target."""
        token = self._make_token()
        return self._start(work, target, token, "", charged, now)

    def start_lent(
        self, source: str, message: StartRun, now: float, *, may_start: bool = True
    ) -> list[Effect]:
        """Send a request of another daemon to the target whose slot it was lent.

        Parameters
        ----------
        source : str
            Daemon that keeps the request's record.
        message : StartRun
            The request.
        now : float
            Time in seconds.
        may_start : bool
            Whether its team may still use the unit that was taken for it.

        Returns
        -------
        list of Effect
            The dispatch, or the report where nothing may be sent.
        """
        token = message.token
        if token.partition(".")[0] != str(self._incarnation):
            return [self._report_unsent(source, message, DispatchStatus.UNKNOWN)]
        if token in self._runs:
            return []
        if token in self._reports:
            return [SendPeer(source, self._reports[token].message, reliable=True)]
        if self._may_be_used(token):
            return [self._report_unsent(source, message, DispatchStatus.UNKNOWN)]
        loan = self.take_back(token)
        if loan is None or loan.asker != source or loan.expires_at <= now:
            return [self._report_unsent(source, message, DispatchStatus.NOT_SENT)]
        if not may_start:
            return [self._report_unsent(source, message, DispatchStatus.NOT_SENT)]
        target = self._targets.table.targets.get(loan.target)
        if target is None or not target.takes_work(now) or message.seconds <= 0:
            return [self._report_unsent(source, message, DispatchStatus.NOT_SENT)]
        work = Work(
            request_id=message.request_id,
            queue=message.queue,
            line=loan.line,
            attempt=message.attempt,
            deadline=now + message.seconds,
            content=message.content,
            repeatable=message.repeatable,
        )
        return self._start(work, target, token, source, loan.charged, now)[1]

    def finish(
        self, outcome: DispatchOutcome, now: float
    ) -> tuple[Run, list[Effect]] | None:
        """Take in how a dispatch ended; None if it is not under way."""
        token = outcome.dispatch_id.partition("/")[2]
        run = self._runs.pop(token, None)
        if run is None:
            return None
        self._free_slot(run, outcome.status)
        effects = self._judge_target(run, outcome, now)
        if run.home:
            effects += self._report(run, outcome, now)
        return run, effects

    def acknowledge(self, token: str) -> None:
        """Forget a report that has arrived."""
        report = self._reports.pop(token, None)
        if report is not None:
            self._report_bytes -= report.message.content.length

    def resend(self, now: float) -> list[Effect]:
        """Repeat the reports that are not acknowledged, and drop the oldest."""
        effects: list[Effect] = []
        for token, report in list(self._reports.items()):
            if report.expires_at <= now:
                self.acknowledge(token)
            elif report.resend_at <= now:
                report.resend_at = now + RESEND_SECONDS
                effects.append(SendPeer(report.home, report.message, reliable=True))
        return effects

    def drop_reports(self, home: str) -> None:
        """Forget the reports for a daemon that is gone."""
        for token in [key for key, item in self._reports.items() if item.home == home]:
            self.acknowledge(token)

    def _may_be_used(self, token: str) -> bool:
        return token in self._used or _get_number(token) <= self._forgotten

    def _note_used(self, token: str, until: float, now: float) -> None:
        self._used[token] = until + GRACE_SECONDS
        while len(self._used) > MAX_USED:
            oldest, _ = self._used.popitem(last=False)
            self._forgotten = max(self._forgotten, _get_number(oldest))
        while next(iter(self._used.values())) <= now:
            self._used.popitem(last=False)

    def _make_token(self) -> str:
        self._number += 1
        return f"{self._incarnation}.{self._number}"

    def _start(
        self,
        work: Work,
        target: OwnedTarget,
        token: str,
        home: str,
        charged: float,
        now: float,
    ) -> tuple[Run, list[Effect]]:
        until = work.deadline + GRACE_SECONDS
        run = Run(
            token=token,
            request_id=work.request_id,
            service=target.service,
            line=work.line,
            target=target.name,
            home=home,
            started_at=now,
            until=until,
            charged=charged,
        )
        self._runs[token] = run
        if home:
            self._note_used(token, until, now)
        target.busy[token] = until
        seconds = work.deadline - now
        headers = {
            "Gypsumwalk-Request-Id": work.request_id,
            "Gypsumwalk-Queue": work.queue,
            "Gypsumwalk-Team": work.line.team,
            "Gypsumwalk-Attempt": str(work.attempt),
            "Gypsumwalk-Repeatable": str(work.repeatable).lower(),
            "Gypsumwalk-Deadline-Seconds": f"{seconds:.3f}",
            "Gypsumwalk-Digest": work.content.digest,
            "Gypsumwalk-Epoch": str(target.epoch),
            "Content-Type": work.content.content_type,
        }
        dispatch = Dispatch(
            dispatch_id=f"{self._part}/{token}",
            target=target.name,
            address=target.address,
            path=PATH,
            payload=work.content.payload,
            headers=headers,
            timeout=seconds,
        )
        sent = Record(
            Event.REQUEST_SENT,
            work.request_id,
            {"target": target.name, "attempt": work.attempt},
        )
        return run, [dispatch, sent]

    def _free_slot(self, run: Run, status: DispatchStatus) -> None:
        if status is DispatchStatus.UNKNOWN:
            self._targets.lose(run.target, run.token, run.until)
        else:
            self._targets.release(run.target, run.token)

    def _judge_target(
        self, run: Run, outcome: DispatchOutcome, now: float
    ) -> list[Effect]:
        target = self._targets.table.targets.get(run.target)
        if target is None:
            return []
        failed = outcome.status is not DispatchStatus.ANSWERED or outcome.code >= 500
        if not failed:
            self._targets.table.note_success(target, now)
            return []
        if not self._targets.table.note_failure(target, now):
            return []
        return [Record(Event.TARGET_EJECTED, run.target, {"target": run.target})]

    def _report(self, run: Run, outcome: DispatchOutcome, now: float) -> list[Effect]:
        message = ReportRun(
            token=run.token,
            request_id=run.request_id,
            status=outcome.status,
            target=run.target,
            code=outcome.code,
            content=make_content(outcome.payload, outcome.content_type),
        )
        expires_at = run.until + GRACE_SECONDS
        report = _Report(message, run.home, now + RESEND_SECONDS, expires_at)
        self._reports[run.token] = report
        self._report_bytes += message.content.length
        while self._is_over_bounds():
            self.acknowledge(next(iter(self._reports)))
        return [SendPeer(run.home, message, reliable=True)]

    def _is_over_bounds(self) -> bool:
        if len(self._reports) > MAX_REPORTS:
            return True
        return self._report_bytes > MAX_REPORT_BYTES and len(self._reports) > 1

    def _report_unsent(
        self, source: str, message: StartRun, status: DispatchStatus
    ) -> Effect:
        report = ReportRun(message.token, message.request_id, status, "")
        return SendPeer(source, report, reliable=True)


def _get_number(token: str) -> int:
    number = token.partition(".")[2]
    return int(number) if number.isdecimal() else 0
