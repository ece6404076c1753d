"""HTTP server of a fake platform, for the demo.

Usage: ``python -m examples.fake_platform PORT DAEMON_URL [DAEMON_URL ...]``. Instances
are added by ``POST /instances {"names": [...]}``.
"""

import os
import sys
import threading
import time
from collections.abc import Callable, Iterable
from typing import Any

import msgspec
import urllib3
from cheroot import wsgi

from examples.platform_model import PlatformModel
from gypsumwalk.platform import ActionRequest

REBOOT_SECONDS = 2.0
REPORT_SECONDS = 1.0
REQUEST_SECONDS = 2.0
TARGET_KEY = os.environ.get("GYPSUMWALK_TARGET_KEY", "")


class Instances(msgspec.Struct):
    """Request body that adds instances."""

    names: list[str]


class PlatformServer:
    """Serves the platform model over HTTP, and sends heartbeats to the daemons.

    Parameters
    ----------
    daemons : list of str
        Base URLs of the daemons' listeners for targets.
    """

    def __init__(self, daemons: list[str]) -> None:
        self.model = PlatformModel(reboot_seconds=REBOOT_SECONDS)
        self._daemons = daemons
        self._lock = threading.Lock()
        self._http = urllib3.PoolManager(retries=False)

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Answer one HTTP request."""
        length = int(environ.get("CONTENT_LENGTH") or 0)
        content = environ["wsgi.input"].read(length)
        try:
            reply = self._handle(environ["PATH_INFO"], content)
        except msgspec.MsgspecError as error:
            start_response("400 Bad Request", [("Content-Type", "text/plain")])
            return [str(error).encode()]
        start_response("200 OK", [("Content-Type", "application/json")])
        return [msgspec.json.encode(reply)]

    def _handle(self, path: str, content: bytes) -> msgspec.Struct:
        with self._lock:
            if path == "/instances":
                added = msgspec.json.decode(content, type=Instances)
                for name in added.names:
                    self.model.add(name)
                return added
            request = msgspec.json.decode(content, type=ActionRequest)
            return self.model.execute(request.token, request.action, time.time())

    def send_reports(self) -> None:
        """Send heartbeats periodically to the first daemon that accepts them."""
        while True:
            time.sleep(REPORT_SECONDS)
            with self._lock:
                bodies = self.model.report(time.time())
            for body in bodies:
                self._send_to_any(msgspec.json.encode(body))

    def _send_to_any(self, content: bytes) -> None:
        for url in self._daemons:
            try:
                response = self._http.request(
                    "POST",
                    url + "/v1/workers/report",
                    body=content,
                    headers={
                        "Content-Type": "application/json",
                        "Authorization": f"Bearer {TARGET_KEY}",
                    },
                    timeout=REQUEST_SECONDS,
                )
            except urllib3.exceptions.HTTPError:
                continue
            if response.status == 200:
                return


def main() -> None:
    """Serve until the process is interrupted."""
    port, *daemons = sys.argv[1:]
    platform = PlatformServer(daemons)
    threading.Thread(target=platform.send_reports, daemon=True).start()
    server = wsgi.Server(("127.0.0.1", int(port)), platform, numthreads=4)
    try:
        server.start()
    except KeyboardInterrupt:
        server.stop()


if __name__ == "__main__":
    main()
