"""Tests of graceful shutdown, of its deadline, and of a daemon's crash."""

import unittest

from gypsumwalk.inputs import ShutdownRequested
from tests._request_fakes import Cluster

DATA_CENTRES = {"hanbit-1": "seoul", "hanbit-2": "seoul"}


class TestShutdown(unittest.TestCase):
    def setUp(self):
        self.cluster = Cluster(DATA_CENTRES)
        self.cluster.add_target("runner-1", "seoul", slots=1, service_seconds=1.0)
        assert self.cluster.wait_owned("runner-1")
        (self.owner,) = self.cluster.list_owners("runner-1")
        self.daemon = self.cluster.world.daemons[self.owner]

    def test_running_and_queued_requests_finish_before_the_daemon_stops(self):
        calls = [self.cluster.submit(b"%d" % n, to=self.owner) for n in range(4)]
        self.cluster.world.run(0.2)
        self.cluster.shut_down(self.owner)
        assert self.cluster.world.run_until(lambda: self.daemon.stopped, within=15.0)
        assert self.daemon.exit_code == 0
        assert [call.answer.payload for call in calls] == [
            b"answer to %d" % number for number in range(4)
        ]

    def test_new_requests_are_refused_as_not_run(self):
        self.cluster.submit(b"first", to=self.owner)
        self.cluster.world.run(0.1)
        self.cluster.shut_down(self.owner)
        call = self.cluster.submit(b"second", to=self.owner)
        self.cluster.world.run(0.1)
        assert call.answer.status == 503
        assert call.answer.body.outcome == "not run"

    def test_deadline_reports_the_outcome_of_each_unfinished_request(self):
        running = self.cluster.submit(b"running", to=self.owner)
        self.cluster.world.run(0.1)
        queued = self.cluster.submit(b"queued", to=self.owner)
        self.cluster.world.run(0.1)
        self.cluster.shut_down(self.owner, seconds=0.3)
        assert self.cluster.world.run_until(lambda: self.daemon.stopped, within=1.0)
        assert self.daemon.exit_code == 1
        assert running.answer.body.outcome == "outcome unknown"
        assert queued.answer.body.outcome == "not run"
        assert "queued" not in str(self.cluster.world.targets.executions)

    def test_second_signal_brings_the_deadline_forward(self):
        self.cluster.submit(b"running", to=self.owner)
        self.cluster.world.run(0.1)
        self.cluster.shut_down(self.owner, seconds=20.0)
        self.cluster.world.run(0.1)
        second = ShutdownRequested(self.cluster.world.now)
        self.cluster.world.deliver(self.daemon, second)
        assert self.daemon.stopped

    def test_single_daemon_finishes_its_queue_with_its_own_targets(self):
        cluster = Cluster({"batedores-1": "recife"})
        cluster.add_target("runner-1", "recife", slots=1, service_seconds=0.2)
        assert cluster.wait_owned("runner-1")
        calls = [cluster.submit(b"%d" % n, to="batedores-1") for n in range(5)]
        cluster.world.run(0.1)
        cluster.shut_down("batedores-1")
        daemon = cluster.world.daemons["batedores-1"]
        assert cluster.world.run_until(lambda: daemon.stopped, within=5.0)
        assert all(call.answer.status == 200 for call in calls)

    def test_crash_leaves_the_other_daemon_serving(self):
        (other,) = set(DATA_CENTRES) - {self.owner}
        self.cluster.submit(b"lost", to=self.owner)
        self.cluster.world.run(0.2)
        self.cluster.kill(self.owner)
        call = self.cluster.submit(
            b"after", to=other, deadline_seconds=20.0, repeatable=True
        )
        assert self.cluster.world.run_until(lambda: call.answer, within=20.0)
        assert call.answer.payload == b"answer to after"


if __name__ == "__main__":
    unittest.main()
