"""HTTP client that dispatches requests to targets."""

from hashlib import sha256

import trio
import urllib3
from urllib3.exceptions import ConnectTimeoutError, HTTPError

from gypsumwalk.effects import Dispatch
from gypsumwalk.inputs import DispatchOutcome, DispatchStatus

__all__ = ["TargetHttpClient"]

CONNECT_TIMEOUT_SECONDS = 1.0
DIGEST_HEADER = "Gypsumwalk-Digest"
MAX_TARGET_POOLS = 128


class TargetHttpClient:
    """Dispatches requests to targets from worker threads.

    Parameters
    ----------
    concurrency : int
        Maximum number of concurrent requests.
    max_body_bytes : int
        Maximum size of a response body in bytes.
    """

    def __init__(self, *, concurrency: int, max_body_bytes: int) -> None:
        self._limiter = trio.CapacityLimiter(concurrency)
        self._max_body_bytes = max_body_bytes
        self._http_pool = urllib3.PoolManager(
            num_pools=MAX_TARGET_POOLS, maxsize=concurrency, block=False, retries=False
        )

    async def dispatch(self, dispatch: Dispatch) -> DispatchOutcome:
        """Send one request and wait for the complete response.

        Parameters
        ----------
        dispatch : Dispatch
            The request.

        Returns
        -------
        DispatchOutcome
            ``NOT_SENT`` only if no connection was established, so that the target
            can't have run the request.
        """
        return await trio.to_thread.run_sync(
            self._send, dispatch, limiter=self._limiter, abandon_on_cancel=True
        )

    def close(self) -> None:
        """Close the idle connections."""
        self._http_pool.clear()

    def _send(self, dispatch: Dispatch) -> DispatchOutcome:
        timeout = urllib3.Timeout(
            connect=min(CONNECT_TIMEOUT_SECONDS, dispatch.timeout),
            read=dispatch.timeout,
        )
        try:
            response = self._http_pool.request(
                "POST",
                f"http://{dispatch.address}{dispatch.path}",
                body=dispatch.payload,
                headers=dict(dispatch.headers),
                timeout=timeout,
                redirect=False,
                retries=False,
            )
        except ConnectTimeoutError:
            return DispatchOutcome(dispatch.dispatch_id, DispatchStatus.NOT_SENT)
        except (HTTPError, OSError):
            return DispatchOutcome(dispatch.dispatch_id, DispatchStatus.UNKNOWN)
        return self._make_outcome(dispatch, response)

    def _make_outcome(
        self, dispatch: Dispatch, response: urllib3.BaseHTTPResponse
    ) -> DispatchOutcome:
        payload = response.data
        digest = response.headers.get(DIGEST_HEADER)
        is_intact = digest is None or digest == sha256(payload).hexdigest()
        if not is_intact or len(payload) > self._max_body_bytes:
            return DispatchOutcome(dispatch.dispatch_id, DispatchStatus.UNKNOWN)
        return DispatchOutcome(
            dispatch.dispatch_id,
            DispatchStatus.ANSWERED,
            response.status,
            payload,
            response.headers.get("Content-Type", "application/octet-stream"),
        )
