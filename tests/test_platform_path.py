"""End-to-end test on real processes and sockets: entry, control daemon, instance."""

import json
import os
import subprocess
import sys
import tempfile
import threading
import time
import unittest
from pathlib import Path
from unittest import mock

import urllib3
from cheroot.wsgi import Server

from tests.test_command import run

ROOT = Path(__file__).parent.parent
JOB = "5c0e7a21d94b36f8"
DEADLINE_SECONDS = 30.0
# The addresses differ between processes, as parallel runs use the same ports.
_HOST = f"{os.getpid() // 250 % 250 + 1}.{os.getpid() % 250 + 1}"
CONTROL, ENTRY, INSTANCE = (f"127.{number}.{_HOST}" for number in (71, 72, 73))
PORTS = (28_710, 28_725)
CONTROL_PORT, FRONTEND_PORT, READY_PORT = 28_731, 28_732, 28_733
SETTINGS = """
ip = "{ip}"
zone = "dc"
internal_port_range = [{first}, {last}]
seed_nodes = ["{control}:{control_port}"]
bootstrap = true
unknown = "is ignored"
{extra_settings}
"""
OPERATOR = f"http://{CONTROL}:{CONTROL_PORT}"
CALLER = f"http://{ENTRY}:{FRONTEND_PORT}/a/{JOB}"
HEADERS = {"Host": "jobs.example", "Authorization": "Bearer key"}
CONFIGURATION = {
    "version": 3,
    "routes": [
        {
            "name": "r",
            "host": "jobs.example",
            "path_prefix": "/a/",
            "service": "s",
            "timeout_ms": 3000,
            "max_attempts": 3,
        }
    ],
    "services": [{"name": "s"}],
    "tenants": [{"name": "t", "api_keys": ["key"]}],
}


class StubInstance:
    """Instance whose tasks have succeeded by the time its runs are listed."""

    def __init__(self):
        self.started = []
        self.ended = []
        self._server = Server((INSTANCE, 0), self._serve, numthreads=8)
        self._server.shutdown_timeout = 0
        self._server.prepare()
        self.address = f"{INSTANCE}:{self._server.bind_addr[1]}"
        threading.Thread(target=self._server.serve, daemon=True).start()

    def _serve(self, environ, start_response):
        length = int(environ.get("CONTENT_LENGTH") or 0)
        body = json.loads(environ["wsgi.input"].read(length))
        answer = {"clock_ms": int(time.monotonic() * 1000), "born": 1000}
        if environ["PATH_INFO"] == "/run-start":
            self.started.append((body["task"], body["run"], body["spec"]))
            number = len(self.started)
            self.ended.append([number, body["task"], body["run"], "done", ""])
        elif environ["PATH_INFO"] == "/hold":
            self.ended = [row for row in self.ended if row[0] > body["ack_cursor"]]
            answer |= {"running": [], "ended_runs": self.ended}
        content = json.dumps(answer).encode()
        headers = [("Content-Length", str(len(content)))]
        start_response("200 OK", headers)
        return [content]

    def close(self):
        self._server.stop()


class TestPath(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.http = urllib3.PoolManager(retries=False, timeout=2.0)
        self.addCleanup(self.http.clear)

    def start(self, name, ip, extra_settings):
        path = self.folder / f"{name}.toml"
        path.write_text(
            SETTINGS.format(
                ip=ip,
                first=PORTS[0],
                last=PORTS[1],
                control=CONTROL,
                control_port=CONTROL_PORT,
                extra_settings=extra_settings,
            )
        )
        log = (self.folder / f"{name}.log").open("wb")
        self.addCleanup(log.close)
        process = subprocess.Popen(
            [sys.executable, str(ROOT / "platform" / "serve.py")],
            env={"GYPSUMWALK_SETTINGS": str(path), "PATH": os.environ["PATH"]},
            stdout=log,
            stderr=subprocess.STDOUT,
            cwd=ROOT,
        )
        self.addCleanup(self.stop_process, process)
        return process

    def stop_process(self, process):
        process.terminate()
        try:
            process.wait(10)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()

    def ask(self, method, url, body=None, headers=None):
        try:
            return self.http.request(
                method, url, body=json.dumps(body or {}), headers=headers
            )
        except urllib3.exceptions.HTTPError:
            return None

    def await_status(self, status, *request):
        end = time.monotonic() + DEADLINE_SECONDS
        waiting = threading.Event()
        while time.monotonic() < end:
            answer = self.ask(*request)
            if answer is not None and answer.status == status:
                return answer
            waiting.wait(0.05)
        self.fail(f"no answer {status} to {request[:2]}")
        return None

    def start_all(self):
        """Start an instance, a control daemon and an entry, and return all three."""
        instance = StubInstance()
        self.addCleanup(instance.close)
        data = self.folder / "data"
        extra_settings = (
            f'data_dir = "{data}"\n[zones]\ndc = "region"\n[listen_addrs]\n'
            f'control_addr = "{CONTROL}:{CONTROL_PORT}"'
        )
        control = self.start("control", CONTROL, extra_settings)
        extra_settings = (
            f'[listen_addrs]\nfrontend = "{ENTRY}:{FRONTEND_PORT}"\n'
            f'readiness_addr = "{ENTRY}:{READY_PORT}"'
        )
        entry = self.start("entry", ENTRY, extra_settings)
        self.await_status(200, "POST", f"{OPERATOR}/config/put", CONFIGURATION)
        heartbeat = {
            "service": "s",
            "address": instance.address,
            "state": "ready",
            "born": 1000,
            "zone": "dc",
            "capacity": {"cpu": 8000, "mem_mb": 8000, "gpu": 0},
        }
        self.await_status(200, "POST", f"{OPERATOR}/instances/i-1/heartbeat", heartbeat)
        self.await_status(200, "GET", f"http://{ENTRY}:{READY_PORT}/ready")
        return instance, control, entry

    def await_completion(self):
        end = time.monotonic() + DEADLINE_SECONDS
        state = ""
        while state != "completed" and time.monotonic() < end:
            answer = self.ask("GET", CALLER, headers=HEADERS)
            state = answer.json()["state"] if answer is not None else ""
        assert state == "completed"

    def test_a_job_is_accepted_run_and_shown_as_completed(self):
        instance, control, entry = self.start_all()
        job = {
            "spec": "text",
            "steps": [{"count": 2, "cpu": 500}, {"count": 1, "depends_on": [0]}],
        }
        self.await_status(200, "POST", CALLER, job, HEADERS)
        self.await_completion()
        assert sorted(task for task, _, _ in instance.started) == [
            f"{JOB}.0.0.0",
            f"{JOB}.0.0.1",
            f"{JOB}.0.1.0",
        ]
        assert {spec for _, _, spec in instance.started} == {"text"}
        control.terminate()
        assert control.wait(10) == 0
        entry.terminate()
        assert entry.wait(10) == 0

    # Guards against orders that are taken by one way only, and against an acknowledged
    # evacuation that the daemon does not follow.
    def test_an_evacuated_data_centre_gets_no_task_until_it_is_used_again(self):
        instance, _, _ = self.start_all()
        unknown = self.await_status(404, "POST", f"{OPERATOR}/evacuate/none/start")
        assert "none" in unknown.json()["detail"]
        self.await_status(200, "POST", f"{OPERATOR}/evacuate/dc/start")
        flags = ("--addresses", f"{CONTROL}:{PORTS[0]}")
        code, out, err = run("evacuations", *flags, "--json")
        assert (code, json.loads(out)) == (0, {"data_centres": ["dc"]}), err
        job = {"spec": "text", "steps": [{"count": 2, "cpu": 500}]}
        self.await_status(200, "POST", CALLER, job, HEADERS)
        threading.Event().wait(0.5)
        assert instance.started == []
        self.check_explanation(flags)
        code, out, err = run("end-evacuation", "dc", *flags, "--json")
        assert (code, json.loads(out)) == (0, {"data_centres": []}), err
        self.await_completion()
        code, _, err = run("evacuate", "none", *flags)
        assert code == 4
        assert '"none" does not exist' in err

    def check_explanation(self, flags):
        """Check that a job which is not sent is said to wait for the evacuation."""
        steps = self.folder / "steps.json"
        steps.write_text('[{"count": 2, "need": {"cpu": 500}}]')
        job = ("--host", "jobs.example", "--path", "/a/17", "--steps", str(steps))
        with mock.patch.dict(os.environ, {"GYPSUMWALK_KEY": "key"}):
            code, out, err = run("explain-job", *job, *flags, "--json")
        assert code == 0, err
        answer = json.loads(out)
        chosen = (answer["queue"], answer["service"], answer["team"])
        assert chosen == ("r", "s", "t")
        assert answer["accepted"]
        waits = [
            {"reason": "evacuated data centre", "instances": 1, "detail": "dc"},
        ]
        placement = {"tasks": 2, "starting": 0, "places": [], "waits": waits}
        assert answer["placement"] == placement
        # A key that is not valid here may be valid elsewhere, so it is not logged.
        with mock.patch.dict(os.environ, {"GYPSUMWALK_KEY": "an-unknown-key"}):
            code, out, err = run("explain-job", *job, *flags)
        assert (code, "requires the key of a team" in out) == (0, True), err
        assert "an-unknown-key" not in out
        assert b"an-unknown-key" not in (self.folder / "control.log").read_bytes()


if __name__ == "__main__":
    unittest.main()
