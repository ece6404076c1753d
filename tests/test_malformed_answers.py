"""Tests that a malformed entry costs no more than itself, and ends no daemon."""

import sys
import threading
import unittest
from pathlib import Path
from tempfile import TemporaryDirectory
from types import SimpleNamespace

import msgspec
import trio
from cheroot.wsgi import Server
from hypothesis import given
from hypothesis import strategies as st

from gypsumwalk.addresses import split_address
from gypsumwalk.declaration_records import Resources
from gypsumwalk.drivers.loop_monitor import LoopMonitor
from gypsumwalk.drivers.malformed_answers import REPORT_SECONDS, MalformedAnswers
from gypsumwalk.drivers.metrics import Metrics
from gypsumwalk.drivers.platform_calls import PlatformCalls
from gypsumwalk.effects import CallPlatform
from gypsumwalk.errors import BadBoundary
from gypsumwalk.events import Event
from gypsumwalk.inputs import PlatformOutcome
from gypsumwalk.instance_actions import (
    AdviceReport,
    AskAdvice,
    EndedRun,
    InstanceReport,
    ListMachines,
    MachineList,
    MaintainMachine,
    PaceRun,
    RenewLease,
    RunningTask,
    StartRun,
    StopRun,
)
from gypsumwalk.instance_orders import parse_task
from gypsumwalk.leases import InstanceView
from gypsumwalk.run_lists import reconcile_runs
from gypsumwalk.workload_records import RegisteredInstance
from tests import _fuzz

FOLDER = str(Path(__file__).parent.parent / "platform")
if FOLDER not in sys.path:
    sys.path.append(FOLDER)

from adapter_calls import decode_control_call  # noqa: E402
from adapter_client import InstanceClient  # noqa: E402
from adapter_settings import load_settings  # noqa: E402

TASK = "5c0e7a21d94b36f8.0.1.17"
OTHER_TASK = "5c0e7a21d94b36f8.0.1.18"
DEEP = "[" * 50_000 + "]" * 50_000
LONG_NUMBER = "9" * 5_000
RUN = f'["{TASK}",2,"c",41]'
END = f'[4,"{OTHER_TASK}",1,"done","c"]'
MACHINE = '{"machine":"m-1","pool":"s","state":"up"}'
CALL_SECONDS = 10.0

ODD_ENTRIES = (
    DEEP,
    "{}",
    "[]",
    "null",
    "7",
    '"text"',
    LONG_NUMBER,
    '"\xff"',
    f'["{TASK}"]',
    "[7,1]",
    f'["{TASK}","2"]',
    f'["{TASK}",-1]',
    f'["{TASK}",{LONG_NUMBER}]',
    f'["{TASK}",1e400]',
    f'["{"x" * 1000}",1]',
    '[["a"],1]',
)
JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**70), 2**70)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=20),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=10), inner, max_size=4)
    ),
    max_leaves=12,
)


class OddServer:
    """Server that gives one answer to every request."""

    def __init__(self):
        self.content = b""
        self.status = 200
        self.server = Server(("127.0.0.1", 0), self._serve, numthreads=2)
        self.server.shutdown_timeout = 0
        self.server.prepare()
        threading.Thread(target=self.server.serve, daemon=True).start()
        self.address = f"127.0.0.1:{self.server.bind_addr[1]}"

    def _serve(self, environ, start_response):
        environ["wsgi.input"].read(int(environ.get("CONTENT_LENGTH") or 0))
        length = str(len(self.content))
        start_response(f"{self.status} Status", [("Content-Length", length)])
        return [self.content]


class AnswerTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.server = OddServer()
        cls.addClassCleanup(cls.server.server.stop)

    def setUp(self):
        self.malformed = []
        self.server.status = 200

    def call(self, action, content):
        """Return the outcome of a call that the server answers with this content."""
        self.server.content = content
        address = self.server.address
        client = InstanceClient(
            address, address, record_malformed=lambda *item: self.malformed.append(item)
        )
        try:
            call = CallPlatform("token", action, CALL_SECONDS)
            return trio.run(client.call, call)
        finally:
            client.close()

    def renew(self, text):
        action = RenewLease("i-1", self.server.address, 7, 3, 99, 0.0)
        return self.call(action, text.encode("latin-1"))


class TestRunList(AnswerTest):
    def read(self, running="", ended=""):
        text = '{"clock_ms":500,"born":7,"running":[%s],"ended_runs":[%s]}'
        return self.renew(text % (running, ended))

    # One such entry ended the leader, and each leader after it.
    def test_the_good_entries_hold_beside_an_odd_one(self):
        for odd in ODD_ENTRIES:
            with self.subTest(odd=odd[:40]):
                outcome = self.read(f"{odd},{RUN}", f"{END},{odd}")
                running = [RunningTask(TASK, 2, "c", 41)]
                ended = [EndedRun(4, OTHER_TASK, 1, "done", "c")]
                assert outcome.report == InstanceReport(
                    500, 7, running, ended, unread_runs=1, unread_ends=1
                )

    def test_an_odd_entry_is_reported_with_its_source(self):
        self.read(f"{RUN},[7,1]")
        assert self.malformed == [(self.server.address, "runs", 1)]

    # The run goes on, so that it must not be taken for ended.
    def test_a_run_is_listed_although_the_rest_of_its_entry_is_odd(self):
        for rest in ('7,"x"', 'null,"41"', '"c",-1', '"c",41,"x"', f'"c",{DEEP}'):
            with self.subTest(rest=rest[:20]):
                outcome = self.read(f'["{TASK}",2,{rest}]')
                assert outcome.report.running == [RunningTask(TASK, 2)]

    def test_ends_of_unknown_kind_or_number_are_left_out(self):
        for number, kind in (
            ('"4"', '"done"'),
            ("-1", '"done"'),
            (LONG_NUMBER, '"done"'),
            ("4", '"gone"'),
            ("4", "7"),
        ):
            with self.subTest(number=number[:10], kind=kind):
                outcome = self.read(ended=f'[{number},"{TASK}",2,{kind},""],{END}')
                assert outcome.report.ended == [EndedRun(4, OTHER_TASK, 1, "done", "c")]

    def test_an_answer_with_odd_fields_has_an_unknown_outcome(self):
        for text in (
            "",
            "7",
            "[]",
            DEEP,
            '{"clock_ms":-1}',
            '{"clock_ms":"5"}',
            f'{{"born":{"9" * 30}}}',
            '{"running":7}',
            f'{{"clock_ms":{LONG_NUMBER}}}',
        ):
            with self.subTest(text=text[:40]):
                outcome = self.renew(text)
                assert outcome.unknown
                assert outcome.report is None

    # Guards against a list of the next life that is taken for one of the former.
    def test_a_list_that_names_no_life_has_an_unknown_outcome(self):
        for born in ("", '"born":0,'):
            with self.subTest(born=born):
                self.malformed.clear()
                outcome = self.renew(f'{{{born}"clock_ms":500,"running":[{RUN}]}}')
                assert outcome.unknown
                assert self.malformed == [(self.server.address, "runs", 0)]

    # Guards against TWICE: a list that was not in the answer counted as an empty one,
    # so that its runs counted as ended.
    def test_a_list_that_is_not_in_the_answer_counts_as_unread(self):
        for lists, unread in (
            (f'"running":[{RUN}],"ended_runs":[]', (0, 0)),
            (f'"running":[{RUN}]', (0, 1)),
            (f'"ended_runs":[{END}]', (1, 0)),
            (f'"ended_runs":[7,{END}]', (1, 1)),
            ('"other":[]', (1, 1)),
        ):
            with self.subTest(lists=lists):
                report = self.renew(f'{{"clock_ms":500,"born":7,{lists}}}').report
                assert (report.unread_runs, report.unread_ends) == unread

    def test_lists_of_another_type_have_an_unknown_outcome(self):
        for odd in ("null", "7", "{}", '"text"', "false"):
            for name in ("running", "ended_runs"):
                with self.subTest(odd=odd, name=name):
                    outcome = self.renew(f'{{"clock_ms":500,"born":7,"{name}":{odd}}}')
                    assert outcome.unknown

    # Guards against a refusal without a reason that counts as an empty list.
    def test_a_refusal_without_a_reason_has_an_unknown_outcome(self):
        self.server.status = 409
        assert self.renew('{"clock_ms":500,"reason":"fence"}').report.refused == "fence"
        for text in (
            '{"clock_ms":500}',
            '{"clock_ms":500,"reason":""}',
            '{"clock_ms":500,"reason":"late"}',
        ):
            with self.subTest(text=text):
                assert self.renew(text).unknown

    @given(st.lists(JSON_VALUES, max_size=4), st.lists(JSON_VALUES, max_size=4))
    def test_any_entries(self, running, ended):
        rows = [*running, [TASK, 2, "c", 41]]
        ends = [*ended, [4, OTHER_TASK, 1, "done", "c"]]
        body = {"clock_ms": 500, "born": 7, "running": rows, "ended_runs": ends}
        outcome = self.renew(msgspec.json.encode(body).decode("latin-1"))
        assert RunningTask(TASK, 2, "c", 41) in outcome.report.running
        assert EndedRun(4, OTHER_TASK, 1, "done", "c") in outcome.report.ended
        for item in outcome.report.running:
            assert isinstance(item, RunningTask)

    def test_every_prefix_and_every_byte_flipped(self):
        content = (f'{{"clock_ms":5,"running":[{RUN}],"ended_runs":[{END}]}}').encode()
        texts = [*_fuzz.list_truncations(content, 3), *_fuzz.flip_bytes(content, 5)]
        for text in texts:
            outcome = self.renew(text.decode("latin-1"))
            assert outcome.unknown or isinstance(outcome.report, InstanceReport)


class TestMachines(AnswerTest):
    def test_the_good_machines_hold_beside_an_odd_one(self):
        for odd in (*ODD_ENTRIES, '{"machine":"m-2","pool":7,"state":"up"}'):
            with self.subTest(odd=odd[:40]):
                text = f'{{"machines":[{odd},{MACHINE}]}}'
                outcome = self.call(ListMachines(), text.encode("latin-1"))
                assert isinstance(outcome.report, MachineList)
                assert [info.machine for info in outcome.report.machines] == ["m-1"]
                # A job must not be refused for a machine that could not be read.
                assert not outcome.report.is_complete

    def test_a_good_list_is_complete(self):
        outcome = self.call(ListMachines(), f'{{"machines":[{MACHINE}]}}'.encode())
        assert outcome.report.is_complete

    def test_a_machine_of_negative_capacity_is_left_out(self):
        odd = MACHINE.replace("}", ',"capacity":{"cpu":-1}}').replace("m-1", "m-2")
        outcome = self.call(
            ListMachines(), f'{{"machines":[{odd},{MACHINE}]}}'.encode()
        )
        assert [info.machine for info in outcome.report.machines] == ["m-1"]

    # The list went on for ever.
    def test_a_page_that_names_itself_as_the_next_ends_the_list(self):
        content = f'{{"machines":[{MACHINE}],"next_page_token":"a"}}'.encode()
        outcome = self.call(ListMachines(), content)
        assert outcome.succeeded
        assert not outcome.report.is_complete

    def test_a_deep_answer_to_an_order_has_an_unknown_outcome(self):
        self.server.status = 409
        order = MaintainMachine("m-1", 3, "holder", 7)
        assert self.call(order, DEEP.encode()).unknown
        self.server.status = 200
        stop = StopRun("i-1", self.server.address, 7, TASK, 2)
        assert self.call(stop, DEEP.encode()).unknown


class TestRefusals(AnswerTest):
    # Guards against a refusal that counts as an order carried out, or a refused renewal
    # that counts as a list without runs: 409 without a reason decodes to an empty one.
    def test_a_refusal_without_a_known_reason_is_unclear(self):
        self.server.status = 409
        address = self.server.address
        for text in ("{}", '{"clock_ms":5}', '{"reason":""}', '{"reason":"odd"}'):
            for order in (
                StartRun("i-1", address, 7, TASK, 1, "spec", 99),
                StopRun("i-1", address, 7, TASK, 2),
                PaceRun("i-1", address, 7, TASK, 2, 40),
            ):
                with self.subTest(text=text, order=type(order).__name__):
                    outcome = self.call(order, text.encode())
                    assert outcome.unknown
                    assert outcome.report.refused == "unclear"

    def test_a_refused_renewal_lists_no_runs(self):
        self.server.status = 409
        for text in ("{}", '{"clock_ms":5,"born":7}', '{"reason":"late"}'):
            with self.subTest(text=text):
                outcome = self.renew(text)
                assert not outcome.succeeded
                assert outcome.report is None

    # The same for a machine, which counted as moved or maintained.
    def test_a_refused_order_to_a_machine_without_a_known_reason_is_unknown(self):
        self.server.status = 409
        order = MaintainMachine("m-1", 3, "holder", 7)
        for text in ("{}", '{"reason":""}', '{"reason":"odd"}'):
            with self.subTest(text=text):
                assert self.call(order, text.encode()).unknown


class TestAdvice(AnswerTest):
    def test_the_good_tickets_hold_beside_an_odd_one(self):
        question = AskAdvice("5c0e7a21d94b36f8.0.1", ["i-1"])
        for odd in (DEEP, "[]", "7", '["i-2"]', '["i-2",7]', '["a","b","c"]'):
            with self.subTest(odd=odd[:20]):
                text = f'{{"allowed_workers":[["i-1","t"],{odd}],"validity_ms":3000}}'
                outcome = self.call(question, text.encode())
                assert outcome.report == AdviceReport({"i-1": "t"}, 3.0)


class TestAddress(unittest.TestCase):
    # It was registered, and every call to it failed.
    def test_a_heartbeat_with_an_odd_address_registers_no_instance(self):
        for address in (
            "10.0.0.1:99999",
            "10.0.0.1:0",
            "10.0.0.1",
            "10.0.0.1:",
            ":80",
            "not an address",
            "10.0.0.1:-1",
            f"10.0.0.1:{LONG_NUMBER}",
            "10.0.0.1:\u0663",
        ):
            with self.subTest(address=address[:20]), self.assertRaises(BadBoundary):
                self.announce(address)

    def test_a_heartbeat_with_an_address_registers_an_instance(self):
        assert self.announce("10.0.0.1:8080").registered.address == "10.0.0.1:8080"
        assert split_address("[::1]:80") == ("::1", 80)

    def announce(self, address):
        body = {"service": "s", "address": address, "state": "ready", "born": 7}
        content = msgspec.json.encode(body)
        return decode_control_call("POST", "/instances/i-1/heartbeat", content)

    def test_a_heartbeat_too_large_for_the_log_registers_no_instance(self):
        body = {"service": "s", "address": "10.0.0.1:80", "state": "ready", "born": 7}
        for odd in ({"labels": ["x"] * 1000}, {"labels": ["x" * 10_000]}):
            with self.subTest(odd=str(odd)[:20]), self.assertRaises(BadBoundary):
                content = msgspec.json.encode(body | odd)
                decode_control_call("POST", "/instances/i-1/heartbeat", content)
        path = f"/instances/{'i' * 1000}/heartbeat"
        assert decode_control_call("POST", path, msgspec.json.encode(body)) is None

    def test_numbers_with_thousands_of_digits_are_not_read(self):
        assert decode_control_call("GET", f"/wave-get/{LONG_NUMBER}", b"") is None
        assert parse_task(f"5c0e7a21d94b36f8.0.1.{LONG_NUMBER}") is None


class TestSettings(unittest.TestCase):
    # A settings file that was read while it was written ended the daemon.
    def test_settings_that_are_invalid_raise_a_typed_error(self):
        path = Path(self.enterContext(TemporaryDirectory())) / "node.toml"
        for content in (b"", b"ip = ", b"ip = 7", b"\xff", b"a = " + DEEP.encode()):
            path.write_bytes(content)
            with self.subTest(content=content[:20]), self.assertRaises(BadBoundary):
                load_settings(str(path))
        with self.assertRaises(BadBoundary):
            load_settings(str(path.parent / "missing.toml"))


class TestReconciliation(unittest.TestCase):
    # Its acknowledgement made the instance drop all later ends unseen.
    def test_an_end_whose_number_is_too_high_is_not_acknowledged(self):
        registered = RegisteredInstance("i-1", 7, "s", "10.0.0.1:80", "dc", Resources())
        view = InstanceView(registered)
        ended = [
            EndedRun(4, OTHER_TASK, 1, "done"),
            EndedRun(2**40, TASK, 2, "done"),
        ]
        report = InstanceReport(500, 7, [], ended)
        reconciled = reconcile_runs(view, report, sent_at=1.0, now=1.1, stop_grace=0.4)
        assert reconciled.last_end == 4


class FailingClient:
    async def call(self, call):
        raise TypeError("unexpected")


class TestCalls(unittest.TestCase):
    # The error reached the nursery of the daemon and ended it.
    def test_an_unexpected_error_leaves_the_outcome_unknown(self):
        inputs, records = [], []
        metrics = Metrics()
        calls = PlatformCalls(
            FailingClient(),
            SimpleNamespace(put=inputs.append),
            clock=FakeClock(),
            monitor=LoopMonitor(metrics, records.append),
            metrics=metrics,
            record=records.append,
            may_call=lambda now: True,
        )
        trio.run(calls.run, CallPlatform("token", ListMachines(), 1.0))
        assert inputs == [PlatformOutcome("token", succeeded=False, unknown=True)]
        assert [record.event for record in records] == [Event.CALL_FAILED]
        assert records[0].attributes["error"] == "TypeError: unexpected"


class FakeClock:
    def __init__(self):
        self.time = 0.0

    def now(self):
        return self.time


class TestReports(unittest.TestCase):
    def test_a_source_is_reported_once_in_a_while(self):
        clock, records = FakeClock(), []
        answers = MalformedAnswers(clock, Metrics(), records.append)
        for _ in range(5):
            answers.record("a", "runs", 1)
        answers.record("b", "runs", 1)
        assert [record.subject for record in records] == ["a", "b"]
        clock.time = REPORT_SECONDS
        answers.record("a", "runs", 2)
        assert records[-1].attributes["unreported"] == 4


if __name__ == "__main__":
    unittest.main()
