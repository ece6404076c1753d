"""Tests of the translation between the platform's calls and the product's."""

import sys
import unittest
from pathlib import Path

import msgspec

from gypsumwalk.declaration_records import Resources
from gypsumwalk.effects import Answer
from gypsumwalk.errors import BadBoundary
from gypsumwalk.fleet_calls import (
    AnnounceInstanceCall,
    CancelWorkloadCall,
    CountWaitingCall,
    DescribeUpkeepCall,
    DescribeWorkloadCall,
    EvacuationsAnswer,
    FinishEvacuationCall,
    PutDeclarationCall,
    StartEvacuationCall,
    StartUpkeepCall,
    SubmitWorkloadCall,
    UpkeepAnswer,
    WaitingAnswer,
    WorkloadAnswer,
)
from gypsumwalk.workload_records import WorkloadState

FOLDER = str(Path(__file__).parent.parent / "platform")
if FOLDER not in sys.path:
    sys.path.append(FOLDER)

from adapter_calls import (  # noqa: E402
    decode_caller_call,
    decode_control_call,
    encode_answer,
)
from adapter_settings import PlatformSettings, make_daemon_settings  # noqa: E402
from control import ProbeApplication  # noqa: E402

JOB = "5c0e7a21d94b36f8"
HEADERS = {"host": "jobs.example:8340"}
HEARTBEAT = {
    "service": "s",
    "address": "10.0.0.9:8080",
    "zone": "z",
    "state": "ready",
    "born": 1700000000000,
    "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 1},
    "labels": ["a", "r1-3"],
    "machine": "m-1",
    "sequence": 4,
    "unknown": "is ignored",
}


def encode(value):
    return msgspec.json.encode(value)


class TestCallerCalls(unittest.TestCase):
    def test_a_job_is_decoded(self):
        body = encode(
            {
                "spec": "text",
                "steps": [
                    {"count": 4, "cpu": 500, "mem_mb": 256, "estimated_ms": 900},
                    {"count": 2, "depends_on": [0], "long_running": True},
                ],
                "first_run_ms": 2000,
                "interval_ms": 500,
                "repeat_count": 3,
            }
        )
        call = decode_caller_call("POST", f"/a/{JOB}", HEADERS, body)
        assert isinstance(call, SubmitWorkloadCall)
        assert call.host == "jobs.example"
        assert call.steps[0].need == Resources(500, 256, 0)
        assert call.steps[0].estimate == 0.9
        assert call.steps[1].lasting
        assert call.steps[1].after == [0]
        assert (call.first_run, call.interval, call.occurrences) == (2.0, 0.5, 3)

    def test_the_other_calls_are_decoded(self):
        path = f"/a/{JOB}"
        describe = decode_caller_call("GET", path, HEADERS, b"")
        assert describe == DescribeWorkloadCall("jobs.example", path)
        cancel = decode_caller_call("DELETE", path, HEADERS, b"")
        assert cancel == CancelWorkloadCall("jobs.example", path)
        count = decode_caller_call("GET", "/a/", HEADERS, b"")
        assert count == CountWaitingCall("jobs.example", "/a/")
        assert decode_caller_call("PATCH", path, HEADERS, b"") is None

    def test_an_error_names_the_invalid_field(self):
        with self.assertRaisesRegex(BadBoundary, "steps"):
            decode_caller_call("POST", f"/a/{JOB}", HEADERS, b'{"steps": 3}')


class TestBadInput(unittest.TestCase):
    def assert_refused(self, body):
        with self.assertRaises(BadBoundary):
            decode_caller_call("POST", f"/a/{JOB}", HEADERS, body)

    def test_numbers_out_of_the_range_of_the_codec_are_refused(self):
        for number in (2**63, 2**64, 2**70, -1, -(2**63) - 1, 10**400):
            self.assert_refused(b'{"steps":[{"count":1,"cpu":%d}]}' % number)
            body = b'{"version":%d,"routes":[],"services":[]}' % number
            with self.assertRaises(BadBoundary):
                decode_control_call("POST", "/config/put", body)
            with self.assertRaises(BadBoundary):
                decode_control_call(
                    "POST", "/instances/i/heartbeat", encode(HEARTBEAT | {"born": "x"})
                )

    def test_whatever_is_accepted_can_be_committed(self):
        body = encode({"steps": [{"count": 3, "cpu": 2**53, "estimated_ms": 1e15}]})
        call = decode_caller_call("POST", f"/a/{JOB}", HEADERS, body)
        assert msgspec.msgpack.encode(call)

    def test_jobs_with_cyclic_or_unknown_dependencies_are_refused(self):
        self.assert_refused(b'{"steps":[{"count":1,"depends_on":[0]}]}')
        self.assert_refused(b'{"steps":[{"count":1,"depends_on":[5]}]}')
        self.assert_refused(b'{"steps":[{"count":1},{"count":1,"depends_on":[-1]}]}')

    def test_jobs_of_zero_or_excessive_size_are_refused(self):
        self.assert_refused(b'{"steps":[{"count":0}]}')
        self.assert_refused(b'{"steps":[{"count":1000000000}]}')
        self.assert_refused(b'{"repeat_count":1000000000,"steps":[{"count":1}]}')
        self.assert_refused(encode({"steps": [{"count": 1}] * 1001}))

    def test_malformed_bodies_are_refused(self):
        for body in (b"", b"{", b"[]", b"\xff", b"[" * 100_000, b'{"steps":[1]}'):
            self.assert_refused(body)


class TestControlCalls(unittest.TestCase):
    def test_a_heartbeat_is_decoded(self):
        path = "/instances/i-1/heartbeat"
        call = decode_control_call("POST", path, encode(HEARTBEAT))
        assert isinstance(call, AnnounceInstanceCall)
        assert call.registered.life == "i-1@1700000000000"
        assert call.registered.rack == "r1-3"
        assert not call.registered.draining

    def test_invalid_heartbeats_are_refused(self):
        path = "/instances/i-1/heartbeat"
        for change in (
            {"state": "odd"},
            {"service": 3},
            {"born": "x"},
            {"labels": 1},
        ):
            with self.assertRaises(BadBoundary):
                decode_control_call("POST", path, encode(HEARTBEAT | change))
        with self.assertRaises(BadBoundary):
            decode_control_call("POST", path, b"\xff\x00")

    def test_operators_calls_are_decoded(self):
        configuration = {
            "version": 7,
            "routes": [
                {
                    "name": "r",
                    "host": "h",
                    "path_prefix": "/a/",
                    "service": "s",
                    "timeout_ms": 3000,
                    "target_duration_ms": 600,
                }
            ],
            "services": [{"name": "s", "standby": True}],
            "tenants": [
                {"name": "t", "api_keys": ["k"], "max_count": {"cpu": 5, "mem_mb": 6}}
            ],
        }
        body = encode(configuration)
        call = decode_control_call("POST", "/config/put", body)
        assert isinstance(call, PutDeclarationCall)
        declaration = call.declaration
        assert declaration.queues[0].objective == 0.6
        assert declaration.services[0].standby
        assert declaration.teams[0].quota == Resources(5, 6, 0)
        assert declaration.source == body.decode()
        wave = {"wave": 1, "machines": ["m"], "duration_s": 20, "max_count": 2}
        call = decode_control_call("POST", "/wave-start", encode(wave))
        assert call == StartUpkeepCall(1, ["m"], 20.0, 2)
        assert decode_control_call("GET", "/wave-get/1", b"") == DescribeUpkeepCall(1)
        assert decode_control_call("GET", "/none", b"") is None

    def test_the_time_for_which_an_instance_is_cold_is_decoded(self):
        path = "/instances/i-1/heartbeat"
        warm = decode_control_call("POST", path, encode(HEARTBEAT))
        assert warm.cold_remaining == 0.0
        body = encode(HEARTBEAT | {"cold_remaining_ms": 2500})
        cold = decode_control_call("POST", path, body)
        assert cold.cold_remaining == 2.5
        assert cold.registered == warm.registered

    def test_evacuation_orders_are_decoded(self):
        start = decode_control_call("POST", "/evacuate/recife/start", b"")
        assert start == StartEvacuationCall("recife")
        finish = decode_control_call("POST", "/evacuate/recife/finish", b"")
        assert finish == FinishEvacuationCall("recife")
        for method, path in (
            ("GET", "/evacuate/recife/start"),
            ("POST", "/evacuate/recife/stop"),
            ("POST", "/evacuate//start"),
            ("POST", "/evacuate/a/b/start"),
            ("POST", f"/evacuate/{'z' * 201}/start"),
        ):
            assert decode_control_call(method, path, b"") is None, path


class TestAnswers(unittest.TestCase):
    def test_bodies_are_encoded(self):
        running = Answer(200, WorkloadAnswer(WorkloadState.RUNNING))
        assert encode_answer(running) == (200, b'{"state":"running"}')
        assert encode_answer(Answer(200, WaitingAnswer(12))) == (200, b'{"pending":12}')
        done = Answer(200, UpkeepAnswer(completed=True))
        assert encode_answer(done) == (200, b'{"state":"completed"}')
        assert encode_answer(Answer(200)) == (200, b"{}")
        evacuated = Answer(200, EvacuationsAnswer(["recife"]))
        assert encode_answer(evacuated) == (200, b"{}")


class TestProbes(unittest.TestCase):
    def probe(self, *, leading, leader=""):
        replies = []
        application = ProbeApplication(lambda: leading, lambda: leader)
        application({}, lambda status, headers: replies.append((status, headers)))
        status, headers = replies[0]
        return status, dict(headers).get("Gypsumwalk-Leader")

    def test_the_leader_says_so_and_others_refer_to_it(self):
        assert self.probe(leading=True) == ("200 OK", None)
        refusal = "503 Service Unavailable"
        assert self.probe(leading=False, leader="10.0.0.2") == (refusal, "10.0.0.2")
        assert self.probe(leading=False) == (refusal, "")

    def test_probes_have_a_port_of_their_own(self):
        settings = PlatformSettings(
            ip="10.0.0.1", zone="z", internal_port_range=(7100, 7115)
        )
        ports = {settings.peer_port, settings.entry_port, settings.probe_port}
        assert ports == {7100, 7101, 7102}
        assert settings.find_probe_address("10.0.0.2:7101") == "10.0.0.2:7102"
        assert settings.find_probe_address("10.0.0.2:80") == "10.0.0.2:7102"


class TestSettings(unittest.TestCase):
    def test_seeds_are_the_first_voters(self):
        settings = PlatformSettings(
            ip="10.0.0.1",
            zone="z",
            seed_nodes=["10.0.0.1:80", "10.0.0.2:80"],
            data_dir="/data",
        )
        product = make_daemon_settings(settings)
        assert product.voters == ["10.0.0.1", "10.0.0.2"]
        assert product.data_folder == "/data"
        assert product.tolerated_disk_losses == 0

    def test_losses_to_bear_are_passed_on(self):
        for table, expected in (
            ("machines = 2\nzones = 1\nregions = 0", 2),
            ("machines = 0\nzones = 1", 1),
        ):
            text = f'ip = "10.0.0.1"\nzone = "z"\n[fault_tolerance]\n{table}\n'
            settings = msgspec.toml.decode(text, type=PlatformSettings)
            product = make_daemon_settings(settings)
            assert product.tolerated_disk_losses == expected

    def test_the_zones_are_read(self):
        text = 'ip = "10.0.0.1"\nzone = "z"\n[zones]\nz = "north"\ny = "north"\n'
        settings = msgspec.toml.decode(text, type=PlatformSettings)
        assert set(settings.zones) == {"z", "y"}


if __name__ == "__main__":
    unittest.main()
