"""Fake target that announces itself, runs requests and logs its executions.

Usage: ``python -m examples.fake_target --name=t1 --data_centre=seoul ...``.
"""

import json
import os
import signal
import threading
import time
from collections.abc import Iterable
from hashlib import sha256
from pathlib import Path
from typing import Any

import fire
import urllib3
from cheroot.wsgi import Server
from urllib3.exceptions import HTTPError

ANNOUNCE_INTERVAL_SECONDS = 0.5
DRAIN_NOTICE_SECONDS = 2.5
ANNOUNCE_TIMEOUT_SECONDS = 1.0


class FakeTarget:
    """A target with a number of slots.

    Parameters
    ----------
    name : str
        Name of the target.
    data_centre : str
        Data centre of the target.
    service : str
        Service that it provides.
    port : int
        TCP port.
    daemons : list of str
        ``host:port`` of the daemons, used in round robin for announcements.
    slots : int
        Maximum number of concurrent requests.
    record : str
        Execution log, in JSON lines.
    """

    def __init__(
        self,
        name: str,
        data_centre: str,
        service: str,
        port: int,
        daemons: list[str],
        *,
        slots: int,
        record: str,
    ) -> None:
        self._announcement = {
            "name": name,
            "incarnation": int(time.time() * 1000),
            "data_centre": data_centre,
            "service": service,
            "address": f"127.0.0.1:{port}",
            "slots": slots,
            "connections": slots * 8,
        }
        self._daemons = daemons
        self._key = os.environ.get("GYPSUMWALK_TARGET_KEY", "")
        self._record = Path(record)
        self._lock = threading.Lock()
        self._running = 0
        self._leaving = threading.Event()
        self._http = urllib3.PoolManager(retries=False)
        self._server = Server(("127.0.0.1", port), self._serve, numthreads=slots + 4)

    def run(self) -> None:
        """Serve and announce until SIGTERM, then announce the departure and drain."""
        signal.signal(signal.SIGTERM, lambda *_: self._leaving.set())
        thread = threading.Thread(target=self._server.safe_start, daemon=True)
        thread.start()
        index = 0
        while not self._leaving.is_set():
            self._announce(index)
            index += 1
            self._leaving.wait(ANNOUNCE_INTERVAL_SECONDS)
        for index in range(len(self._daemons)):
            self._announce(index, leaving=True)
        time.sleep(DRAIN_NOTICE_SECONDS)
        self._server.stop()

    def _announce(self, index: int, *, leaving: bool = False) -> None:
        daemon = self._daemons[index % len(self._daemons)]
        body = json.dumps(self._announcement | {"leaving": leaving})
        try:
            self._http.request(
                "POST",
                f"http://{daemon}/v1/targets/announce",
                body=body,
                headers={"Authorization": f"Bearer {self._key}"},
                timeout=ANNOUNCE_TIMEOUT_SECONDS,
            )
        except HTTPError:
            return

    def _serve(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        payload = environ["wsgi.input"].read()
        request_id = environ.get("HTTP_GYPSUMWALK_REQUEST_ID", "")
        with self._lock:
            self._running += 1
            self._record_execution(request_id)
        time.sleep(_parse_work_seconds(payload))
        with self._lock:
            self._running -= 1
        headers = [
            ("Content-Type", "application/octet-stream"),
            ("Content-Length", str(len(payload))),
            ("Gypsumwalk-Digest", sha256(payload).hexdigest()),
        ]
        start_response("200 OK", headers)
        return [payload]

    def _record_execution(self, request_id: str) -> None:
        entry = {
            "request_id": request_id,
            "target": self._announcement["name"],
            "running": self._running,
            "at": time.time(),
        }
        with self._record.open("a", encoding="utf-8") as file:
            file.write(json.dumps(entry) + "\n")


def _parse_work_seconds(payload: bytes) -> float:
    try:
        return float(json.loads(payload).get("work_seconds", 0.0))
    except (ValueError, AttributeError):
        return 0.0


def run_target(
    name: str,
    data_centre: str,
    service: str,
    port: int,
    daemons: str,
    slots: int = 8,
    record: str = "/dev/null",
) -> None:
    """Run one fake target until SIGTERM."""
    FakeTarget(
        name,
        data_centre,
        service,
        port,
        str(daemons).split(";"),
        slots=slots,
        record=record,
    ).run()


if __name__ == "__main__":
    fire.Fire(run_target)
