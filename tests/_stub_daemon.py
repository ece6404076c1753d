"""HTTP server on loopback with answers set by the test."""

from contextlib import contextmanager
from threading import Thread

import msgspec
from cheroot.wsgi import Server


class StubDaemon:
    """Answers calls from a table by method and path, and records them."""

    def __init__(self):
        self.reset()
        self._server = Server(("127.0.0.1", 0), self._serve, numthreads=2)
        self._server.prepare()
        self.address = f"127.0.0.1:{self._server.bind_addr[1]}"
        self._thread = Thread(target=self._server.serve)
        self._thread.start()

    def reset(self):
        self.answers = {}
        self.calls = []
        self.headers = []

    def answer(self, method, path, status, body):
        self.answers[method, path] = (status, body)

    def close(self):
        self._server.stop()
        self._thread.join()

    def _serve(self, environ, start_response):
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        length = int(environ.get("CONTENT_LENGTH") or 0)
        content = environ["wsgi.input"].read(length)
        key = environ.get("HTTP_AUTHORIZATION", "")
        self.calls.append((method, path, content, key))
        self.headers.append(
            {
                name[5:].replace("_", "-").lower(): value
                for name, value in environ.items()
                if name.startswith("HTTP_")
            }
        )
        status, body = self.answers.get((method, path), (404, {}))
        content = body if isinstance(body, bytes) else msgspec.json.encode(body)
        is_problem = isinstance(body, dict) and "outcome" in body and status >= 400
        kind = "application/problem+json" if is_problem else "application/json"
        headers = [("Content-Length", str(len(content))), ("Content-Type", kind)]
        start_response(f"{status} x", headers)
        return [content]


@contextmanager
def run_stub():
    """Run a stub daemon, and close it on exit."""
    stub = StubDaemon()
    try:
        yield stub
    finally:
        stub.close()


def make_problem(kind, status, outcome="not run", **fields):
    """Return the body of a refusal."""
    return {
        "type": f"/problems/{kind}",
        "title": kind,
        "status": status,
        "outcome": outcome,
        **fields,
    }
