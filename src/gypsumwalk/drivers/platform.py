"""HTTP client of the platform's API."""

from typing import cast

import msgspec
import trio
import urllib3
from urllib3.exceptions import ConnectTimeoutError, HTTPError

from gypsumwalk.effects import CallPlatform
from gypsumwalk.inputs import PlatformOutcome
from gypsumwalk.platform import Action, ActionRequest, decode_report

__all__ = ["PlatformHttpClient"]

PLATFORM_THREADS = 16
HTTP_OK = 200


class PlatformHttpClient:
    """Executes actions through the platform's HTTP API.

    Parameters
    ----------
    url : str
        Base URL of the platform. If it is empty, every call fails.
    """

    def __init__(self, url: str) -> None:
        self._url = url.rstrip("/") + "/actions" if url else ""
        self._limiter = trio.CapacityLimiter(PLATFORM_THREADS)
        self._http_pool = urllib3.PoolManager(maxsize=PLATFORM_THREADS, retries=False)

    async def call(self, call: CallPlatform) -> PlatformOutcome:
        """Execute one action.

        Parameters
        ----------
        call : CallPlatform
            The action with its idempotency token.

        Returns
        -------
        PlatformOutcome
            The outcome; ``unknown`` if the request may have been sent and no valid
            response was received.
        """
        if not self._url:
            return PlatformOutcome(call.token, succeeded=False)
        return await trio.to_thread.run_sync(
            self._post, call, limiter=self._limiter, abandon_on_cancel=True
        )

    def close(self) -> None:
        """Close the idle connections."""
        self._http_pool.clear()

    def _post(self, call: CallPlatform) -> PlatformOutcome:
        request = ActionRequest(call.token, cast(Action, call.action))
        body = msgspec.json.encode(request)
        try:
            response = self._http_pool.request(
                "POST",
                self._url,
                body=body,
                headers={"Content-Type": "application/json"},
                timeout=call.timeout,
                retries=False,
            )
        except ConnectTimeoutError:
            return PlatformOutcome(call.token, succeeded=False)
        except (HTTPError, OSError):
            return PlatformOutcome(call.token, succeeded=False, unknown=True)
        if response.status != HTTP_OK:
            return PlatformOutcome(call.token, succeeded=False)
        try:
            report = decode_report(response.data)
        except msgspec.MsgspecError:
            return PlatformOutcome(call.token, succeeded=False, unknown=True)
        return PlatformOutcome(call.token, succeeded=True, report=report)
