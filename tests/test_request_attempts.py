"""Unit tests of slot grants, attempts and reports, the request table and relays."""

import unittest
from random import Random

from gypsumwalk.effects import Answer, Dispatch, Respond, SendPeer
from gypsumwalk.inputs import DispatchOutcome, DispatchStatus
from gypsumwalk.problems import Outcome
from gypsumwalk.queues import Flow
from gypsumwalk.relays import RelayTable
from gypsumwalk.request_attempts import AttemptTable
from gypsumwalk.request_messages import Content, RelayAnswer, StartRun, make_content
from gypsumwalk.request_table import Request, RequestIdentity, RequestTable, Waiter
from gypsumwalk.slots import OwnedTarget, OwnedTargetTable
from gypsumwalk.submissions import ReadRequest

NOW = 1000.0
FLOW = Flow("seats", False)
HOME = "hanbit-2"
BODY = make_content(b"chart", "text/plain")


class FakeTargets:
    def __init__(self):
        self.table = OwnedTargetTable(Random(1))
        self.target = OwnedTarget(
            "runner-1", "rebuild", "127.0.0.1:1", 1, 1, 2, 16, NOW - 100.0, NOW
        )
        self.target.confirmed = True
        self.table.targets["runner-1"] = self.target

    def release(self, target, holder):
        self.target.busy.pop(holder, None)

    def mark_slot_lost(self, target, holder, until):
        self.target.mark_lost(holder, until)


class TestAttemptTable(unittest.TestCase):
    def setUp(self):
        self.targets = FakeTargets()
        self.attempts = AttemptTable(self.targets, 7, "requests")

    def grant(self):
        target = self.targets.target
        return self.attempts.grant_slot(target, HOME, FLOW, 0.05, NOW).token

    def start(self, token, *, source=HOME, at=NOW, seconds=5.0):
        message = StartRun(token, "id-1", "charts", "seats", 1, seconds, BODY, False)
        return self.attempts.start_granted(source, message, at)

    def finish(self, token, status=DispatchStatus.ANSWERED, payload=b"done"):
        outcome = DispatchOutcome(f"requests/{token}", status, 200, payload)
        return self.attempts.finish(outcome, NOW + 0.1)

    def read_status(self, effects):
        (effect,) = effects
        assert isinstance(effect, SendPeer) and effect.reliable
        return effect.body.status

    def test_token_starts_one_attempt_however_often_it_arrives(self):
        token = self.grant()
        first = self.start(token)
        assert isinstance(first[0], Dispatch)
        assert self.start(token) == []
        self.finish(token)
        assert self.read_status(self.start(token)) is DispatchStatus.ANSWERED
        self.attempts.acknowledge(token)
        assert self.read_status(self.start(token)) is DispatchStatus.UNKNOWN
        assert self.targets.target.busy == {}

    def test_unused_and_expired_tokens_are_reported_as_not_sent(self):
        token = self.grant()
        assert self.read_status(self.start("7.99")) is DispatchStatus.NOT_SENT
        late = self.start(token, at=NOW + 1.0)
        assert self.read_status(late) is DispatchStatus.NOT_SENT
        assert self.targets.target.busy == {}

    def test_token_of_an_earlier_incarnation_is_reported_as_unknown(self):
        assert self.read_status(self.start("6.1")) is DispatchStatus.UNKNOWN

    def test_token_granted_to_another_daemon_is_rejected(self):
        token = self.grant()
        refused = self.start(token, source="hanbit-3")
        assert self.read_status(refused) is DispatchStatus.NOT_SENT

    def test_leaving_target_gets_no_work_even_in_a_granted_slot(self):
        token = self.grant()
        self.targets.target.leaving = True
        assert self.read_status(self.start(token)) is DispatchStatus.NOT_SENT

    def test_report_is_repeated_until_it_is_acknowledged(self):
        token = self.grant()
        self.start(token)
        _, effects = self.finish(token)
        assert self.read_status(effects) is DispatchStatus.ANSWERED
        assert self.attempts.resend_reports(NOW + 0.2) == []
        assert len(self.attempts.resend_reports(NOW + 0.4)) == 1
        assert len(self.attempts.resend_reports(NOW + 0.7)) == 1
        self.attempts.acknowledge(token)
        assert self.attempts.resend_reports(NOW + 1.0) == []
        assert len(self.attempts) == 0

    def test_second_outcome_of_one_dispatch_is_ignored(self):
        token = self.grant()
        self.start(token)
        assert self.finish(token) is not None
        assert self.finish(token, payload=b"late") is None

    def test_slot_of_an_unanswered_attempt_stays_occupied(self):
        token = self.grant()
        self.start(token)
        self.finish(token, DispatchStatus.UNKNOWN)
        assert len(self.targets.target.busy) == 1
        self.targets.target.free_expired_lost(NOW + 6.0)
        assert self.targets.target.busy == {}

    def test_large_reports_are_bounded_in_bytes(self):
        tokens = []
        for _ in range(12):
            token = self.grant()
            self.start(token)
            self.finish(token, payload=bytes(1024 * 1024))
            tokens.append(token)
        assert len(self.attempts) == 8
        assert self.read_status(self.start(tokens[0])) is DispatchStatus.UNKNOWN


class TestRequestTable(unittest.TestCase):
    def setUp(self):
        self.table = RequestTable("hanbit-1", 7, Random(1))

    def add(self, content=BODY, **changes):
        request = Request(
            request_id=self.table.mint(),
            queue="charts",
            service="rebuild",
            team="seats",
            credential="key",
            urgent=False,
            repeatable=False,
            content=content,
            digest=content.digest,
            accepted_at=NOW,
            deadline=NOW + 10.0,
            **changes,
        )
        self.table.add(request)
        return request

    def end(self, request, payload=b"done", now=NOW):
        return self.table.end(request, Answer(200, payload=payload), Outcome.RAN, now)

    def test_identifier_names_the_daemon_and_its_incarnation(self):
        identity = RequestIdentity.parse(self.table.mint())
        assert identity == RequestIdentity("hanbit-1", 7)
        for malformed in ("", "a.b", "a.b.c.d", ".1.2.x", "hanbit-1.x.1.nonce"):
            assert RequestIdentity.parse(malformed) is None

    def test_each_waiting_caller_gets_the_answer_once(self):
        request = self.add(waiters=[Waiter(call_id=1), Waiter(0, HOME, 5, 3)])
        first, second, _ = self.end(request)
        assert isinstance(first, Respond) and first.call_id == 1
        assert second.recipient == HOME and second.body.number == 5
        assert request.waiters == []

    def test_ticket_is_valid_once_until_it_expires(self):
        ticket = self.table.mint_ticket(NOW)
        assert self.table.has_ticket(ticket, NOW + 299.0)
        assert not self.table.has_ticket(ticket, NOW + 300.0)
        self.table.redeem_ticket(ticket)
        assert not self.table.has_ticket(ticket, NOW)

    def test_tickets_are_limited_in_number_and_expire(self):
        minted = [self.table.mint_ticket(NOW) for _ in range(8193)]
        assert minted.count(None) == 1
        assert self.table.mint_ticket(NOW + 301.0) is not None

    def test_live_requests_are_bounded_in_bytes_and_number(self):
        self.add(Content(length=8 * 1024 * 1024))
        assert not self.table.has_room(1)
        table = self.table = RequestTable("hanbit-1", 7, Random(1))
        for _ in range(4096):
            self.add(Content())
        assert not table.has_room(0)

    def test_answers_are_evicted_by_age_and_bytes(self):
        old = self.add()
        self.end(old)
        large = [self.add() for _ in range(9)]
        for request in large:
            self.end(request, payload=bytes(1024 * 1024), now=NOW + 1.0)
        assert self.table.find(old.request_id) is None
        assert self.table.find(large[0].request_id) is None
        assert self.table.find(large[1].request_id) is large[1]
        self.end(self.add(), now=NOW + 122.0)
        assert self.table.find(large[8].request_id) is None


class TestRelayTable(unittest.TestCase):
    def setUp(self):
        self.relays = RelayTable(3)
        call = ReadRequest("id-1")
        (sent,) = self.relays.relay(9, HOME, call, "key", Content(), 2.0, NOW)
        self.number = sent.body.number

    def answer(self, *, source=HOME, **changes):
        fields = {
            "number": self.number,
            "incarnation": 3,
            "request_id": "id-1",
            "status": 200,
            "headers": {},
            "content": BODY,
        }
        return self.relays.handle_answer(source, RelayAnswer(**(fields | changes)))

    def test_answer_reaches_only_the_call_that_it_belongs_to(self):
        assert self.answer(source="hanbit-3") == []
        assert self.answer(request_id="id-2") == []
        assert self.answer(incarnation=2) == []
        assert self.answer(number=self.number + 1) == []
        (effect,) = self.answer()
        assert (effect.call_id, effect.answer.payload) == (9, b"chart")
        assert self.answer() == []

    def test_incomplete_or_damaged_answer_is_rejected(self):
        short = Content(b"cha", 5, BODY.digest)
        damaged = Content(b"chert", 5, BODY.digest)
        assert self.answer(content=short) == []
        assert self.answer(content=damaged) == []
        assert len(self.answer()) == 1

    def test_call_is_repeated_and_then_answered_as_unknown(self):
        assert len(self.relays.advance(NOW + 0.3)) == 1
        (effect,) = self.relays.advance(NOW + 2.0)
        assert effect.answer.body.outcome is Outcome.UNKNOWN
        assert len(self.relays) == 0


if __name__ == "__main__":
    unittest.main()
