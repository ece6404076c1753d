"""Tests of requests: routing, slots, resends, refusals and cancellation."""

import unittest

from gypsumwalk.submissions import MintTicket
from tests._fake_targets import Behaviour
from tests._request_fakes import Cluster

PAIR = {"hanbit-1": "seoul", "hanbit-2": "seoul"}
FOUR = {**PAIR, "hanbit-3": "busan", "hanbit-4": "busan"}


def make_pair(**changes):
    cluster = Cluster(PAIR)
    cluster.add_target("runner-1", "seoul", **changes)
    assert cluster.wait_owned("runner-1")
    (owner,) = cluster.list_owners("runner-1")
    (other,) = set(PAIR) - {owner}
    return cluster, owner, other


class TestRouting(unittest.TestCase):
    def test_owner_runs_a_request_and_returns_its_whole_answer(self):
        cluster, owner, _ = make_pair()
        call = cluster.submit(b"chart", to=owner)
        assert cluster.world.run_until(lambda: call.answer, within=1.0)
        assert (call.answer.status, call.answer.payload) == (200, b"answer to chart")

    def test_unknown_queue_is_reported_only_by_a_daemon_with_a_fresh_view(self):
        cluster, owner, _ = make_pair()
        types = []
        for stale in (False, True):
            cluster.keys[owner].stale = stale
            call = cluster.submit(b"chart", to=owner, queue="no-such-queue")
            assert cluster.world.run_until(lambda call=call: call.answer, within=1.0)
            assert call.answer.body.outcome == "not run"
            types.append(call.answer.body.type)
        assert types == ["/problems/not-found", "/problems/key-view-stale"]

    def test_other_daemon_borrows_a_slot_from_the_owner(self):
        cluster, _, other = make_pair()
        call = cluster.submit(b"chart", to=other)
        assert cluster.world.run_until(lambda: call.answer, within=1.0)
        assert call.answer.payload == b"answer to chart"

    def test_other_data_centre_is_used_when_its_own_has_no_target(self):
        cluster = Cluster(FOUR)
        cluster.add_target("runner-1", "busan")
        assert cluster.wait_owned("runner-1")
        cluster.world.run(1.0)
        call = cluster.submit(b"chart", to="hanbit-1")
        assert cluster.world.run_until(lambda: call.answer, within=1.0)
        assert call.answer.payload == b"answer to chart"

    def test_own_data_centre_comes_first(self):
        cluster = Cluster(FOUR)
        cluster.add_target("runner-1", "busan")
        cluster.add_target("runner-2", "seoul")
        assert cluster.wait_owned("runner-1", "runner-2")
        cluster.world.run(3.0)
        for number in range(20):
            cluster.submit(b"%d" % number, to="hanbit-1")
            cluster.world.run(0.2)
        used = {item.target for item in cluster.world.targets.executions}
        assert used == {"runner-2"}

    def test_slots_are_never_exceeded_and_everything_is_answered(self):
        cluster, _, _ = make_pair(slots=3)
        cluster.world.run(3.0)
        calls = [cluster.submit(b"%d" % number) for number in range(100)]
        target = cluster.world.targets.by_name["runner-1"]
        max_running = 0
        while not all(call.answer for call in calls):
            cluster.world.run(0.003)
            max_running = max(max_running, len(target.running))
            assert cluster.world.now < calls[0].sent_at + 10.0
        assert max_running == 3
        for call in calls:
            assert call.answer.payload == b"answer to " + call.payload
        assert set(cluster.world.targets.count_payload_runs().values()) == {1}


class TestResends(unittest.TestCase):
    def mint_ticket(self, cluster, daemon):
        call = cluster.world.call(MintTicket(), to=daemon)
        assert cluster.world.run_until(lambda: call.answer, within=1.0)
        return call.answer.body.request_id

    def test_resend_to_any_daemon_gets_the_first_answer(self):
        cluster, owner, other = make_pair()
        request_id = self.mint_ticket(cluster, owner)
        for daemon in (owner, other, owner, other):
            call = cluster.submit(b"chart", to=daemon, request_id=request_id)
            assert cluster.world.run_until(lambda c=call: c.answer, within=1.0)
            assert call.answer.payload == b"answer to chart"
        assert cluster.world.targets.count_runs() == {request_id: 1}

    def test_resend_while_running_waits_for_the_same_answer(self):
        cluster, owner, other = make_pair(service_seconds=0.5)
        request_id = self.mint_ticket(cluster, other)
        first = cluster.submit(b"chart", to=owner, request_id=request_id)
        cluster.world.run(0.2)
        second = cluster.submit(b"chart", to=other, request_id=request_id)
        assert cluster.world.run_until(
            lambda: first.answer and second.answer, within=2.0
        )
        assert first.answer.payload == second.answer.payload == b"answer to chart"
        assert cluster.world.targets.count_runs() == {request_id: 1}

    def test_waiting_request_is_never_reported_as_not_run(self):
        cluster, owner, _ = make_pair(slots=1, service_seconds=2.0)
        cluster.submit(b"first", to=owner)
        cluster.world.run(0.1)
        request_id = self.mint_ticket(cluster, owner)
        resends = [
            cluster.submit(b"chart", to=owner, request_id=request_id) for _ in range(8)
        ]
        status = cluster.read(request_id, to=owner)
        cluster.world.run(0.2)
        refused = [call.answer.body for call in resends if call.answer]
        assert refused and status.answer.body.state == "waiting"
        for body in (*refused, status.answer.body):
            assert body.outcome == "in progress"

    def test_other_body_under_the_same_id_is_a_conflict(self):
        cluster, owner, _ = make_pair()
        request_id = self.mint_ticket(cluster, owner)
        cluster.submit(b"chart", to=owner, request_id=request_id)
        cluster.world.run(0.5)
        call = cluster.submit(b"other", to=owner, request_id=request_id)
        cluster.world.run(0.5)
        assert call.answer.status == 409

    def test_resend_after_the_home_daemon_restarted_is_answered_unknown(self):
        cluster, owner, other = make_pair()
        request_id = self.mint_ticket(cluster, other)
        cluster.submit(b"chart", to=other, request_id=request_id)
        cluster.world.run(0.5)
        cluster.world.restart(other)
        cluster.world.run(0.5)
        for daemon in (owner, other):
            call = cluster.submit(b"chart", to=daemon, request_id=request_id)
            assert cluster.world.run_until(lambda c=call: c.answer, within=5.0)
            assert call.answer.body.outcome == "outcome unknown"
        assert cluster.world.targets.count_runs() == {request_id: 1}

    def test_request_is_hidden_from_other_teams(self):
        cluster, owner, _ = make_pair()
        request_id = self.mint_ticket(cluster, owner)
        cluster.submit(b"chart", to=owner, request_id=request_id)
        cluster.world.run(0.5)
        call = cluster.read(request_id, to=owner, team="holds")
        cluster.world.run(0.5)
        assert call.answer.status == 403


class TestFailures(unittest.TestCase):
    def test_request_whose_target_died_is_unknown_and_never_sent_again(self):
        cluster, owner, _ = make_pair(service_seconds=5.0)
        cluster.add_target("runner-2", "seoul")
        call = cluster.submit(b"chart", to=owner)
        cluster.world.run_until(lambda: cluster.world.targets.executions, within=1.0)
        ran_on = cluster.world.targets.executions[0].target
        cluster.world.targets.kill(ran_on)
        assert cluster.world.run_until(lambda: call.answer, within=2.0)
        assert call.answer.body.outcome == "outcome unknown"
        cluster.world.run(12.0)
        assert len(cluster.world.targets.executions) == 1

    def test_repeatable_request_is_tried_again_on_another_target(self):
        cluster, owner, _ = make_pair(behaviour=Behaviour.ANSWER, service_seconds=2.0)
        call = cluster.submit(b"chart", to=owner, repeatable=True)
        cluster.world.run(0.5)
        cluster.add_target("runner-2", "seoul")
        assert cluster.wait_owned("runner-2")
        cluster.world.run(0.2)
        cluster.world.targets.kill("runner-1")
        assert cluster.world.run_until(lambda: call.answer, within=5.0)
        assert call.answer.payload == b"answer to chart"

    def test_refused_connections_are_tried_again_and_reported_as_not_run(self):
        cluster, owner, _ = make_pair(behaviour=Behaviour.REFUSE)
        call = cluster.submit(b"chart", to=owner)
        assert cluster.world.run_until(lambda: call.answer, within=11.0)
        assert call.answer.body.outcome == "not run"
        assert cluster.world.targets.executions == []

    def test_target_that_never_answers_leaves_the_outcome_unknown(self):
        cluster, owner, other = make_pair(behaviour=Behaviour.NEVER)
        for daemon in (owner, other):
            call = cluster.submit(b"chart", to=daemon, deadline_seconds=1.0)
            assert cluster.world.run_until(lambda c=call: c.answer, within=3.0)
            assert call.answer.body.outcome == "outcome unknown"
        assert len(cluster.world.targets.executions) == 2

    def test_waiting_request_past_its_deadline_is_not_run(self):
        cluster = Cluster(PAIR)
        call = cluster.submit(b"chart", to="hanbit-1", deadline_seconds=0.5)
        assert cluster.world.run_until(lambda: call.answer, within=1.0)
        assert call.answer.status == 504
        assert call.answer.body.outcome == "not run"

    def test_withdrawn_key_stops_queued_requests(self):
        cluster, owner, _ = make_pair(slots=1, service_seconds=1.0)
        running = cluster.submit(b"first", to=owner)
        cluster.world.run(0.1)
        queued = cluster.submit(b"second", to=owner)
        cluster.world.run(0.1)
        for keys in cluster.keys.values():
            keys.withdrawn.add("seats-key")
        assert cluster.world.run_until(
            lambda: running.answer and queued.answer, within=3.0
        )
        assert running.answer.status == 200
        assert queued.answer.status == 401
        assert queued.answer.body.outcome == "not run"

    def test_upper_limit_holds_across_all_daemons(self):
        cluster, _, _ = make_pair(slots=8)
        cluster.world.run(3.0)
        cluster.add_team("seats", limit=2)
        calls = [cluster.submit(b"%d" % number) for number in range(30)]
        assert cluster.world.run_until(
            lambda: all(call.answer for call in calls), within=10.0
        )
        assert cluster.portions.peak["seats"] == 2
        assert all(call.answer.status == 200 for call in calls)
        assert not cluster.portions.held["seats"]


class TestCancellation(unittest.TestCase):
    def test_waiting_request_is_cancelled_as_not_run(self):
        cluster, owner, other = make_pair(slots=1, service_seconds=1.0)
        cluster.submit(b"first", to=owner)
        cluster.world.run(0.1)
        ticket = cluster.world.call(MintTicket(), to=owner)
        cluster.world.run(0.1)
        request_id = ticket.answer.body.request_id
        queued = cluster.submit(b"second", to=owner, request_id=request_id)
        cluster.world.run(0.1)
        cancelled = cluster.cancel(request_id, to=other)
        cluster.world.run(0.2)
        assert cancelled.answer.status == 200
        assert queued.answer.body.outcome == "not run"
        cluster.world.run(3.0)
        assert len(cluster.world.targets.executions) == 1

    def test_cancel_of_a_running_request_reports_that_it_is_in_progress(self):
        cluster, owner, _ = make_pair(service_seconds=1.0)
        call = cluster.submit(b"chart", to=owner)
        cluster.world.run(0.2)
        request_id = cluster.world.targets.executions[0].request_id
        cancelled = cluster.cancel(request_id, to=owner)
        cluster.world.run(0.1)
        assert b"in progress" in encode(cancelled.answer)
        assert cluster.world.run_until(lambda: call.answer, within=2.0)
        assert call.answer.status == 200
        status = cluster.read(request_id, to=owner)
        cluster.world.run(0.1)
        assert b'"ran"' in encode(status.answer)


def encode(answer):
    import msgspec

    return msgspec.json.encode(answer.body) if answer.body else answer.payload


if __name__ == "__main__":
    unittest.main()
