"""Client of the platform's API for usage reports."""

from collections.abc import AsyncIterator
from collections.abc import Callable
import functools
import logging
import socket
import struct
from typing import Any

import msgspec
import trio

from geraniumstair import observe
from geraniumstair import usage

_LOG = logging.getLogger(__name__)
# Limits of the parts of a call. The request is sent within the first second,
# see `usage.Reporter`. An API that is slower to answer gets the report again.
CONNECT_TIMEOUT_S = 0.5
WRITE_TIMEOUT_S = 0.5
CALL_TIMEOUT_S = 2.5
_OK_STATUS = 200
_THROTTLED_STATUS = 429
# Closes a connection with a reset and discards bytes that were not delivered,
# so that a cut does not deliver a call after it was given up.
_RESET_AT_CLOSE = (
    socket.SOL_SOCKET,
    socket.SO_LINGER,
    struct.pack("ii", 1, 0),
)
# The kernel discards bytes that were not acknowledged for this time. A frozen
# process cannot close its connection, and a successor may act before it wakes.
_UNACKNOWLEDGED_LIMIT_MS = 2000
_USER_TIMEOUT = (
    socket.IPPROTO_TCP,
    socket.TCP_USER_TIMEOUT,
    _UNACKNOWLEDGED_LIMIT_MS,
)


class _Body(msgspec.Struct):
    window: int = msgspec.field(name="WindowId")
    counts: dict[str, int] = msgspec.field(name="Counts")


class _NotSentError(Exception):
    """The node may not send any more; the request is incomplete."""


class UsageApi:
    """Sends reports, each over a connection of its own.

    An idle connection could go silent between two reports.

    Args:
        address: IP address and port, separated by a colon.
        node_id: This node.
    """

    def __init__(self, address: str, node_id: str) -> None:
        self._url = f"http://{address}/usage"
        self._node_id = node_id

    async def send_report(
        self, report: usage.Report, token: int, may_send: Callable[[], bool]
    ) -> usage.ApiOutcome:
        """Sends a report; see `usage.ReportApi`."""
        # Only the holder needs it, and its import would stop the node.
        httpcore = await trio.to_thread.run_sync(_import_httpcore)
        body = msgspec.json.encode(_Body(report.window, report.counts))
        headers = [
            ("X-Duty-Holder", self._node_id),
            ("X-Fencing-Token", str(token)),
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
            ("Connection", "close"),
        ]
        status = 0
        detail = "no answer in time"
        with trio.move_on_after(CALL_TIMEOUT_S):
            try:
                async with httpcore.AsyncConnectionPool(
                    socket_options=[_RESET_AT_CLOSE, _USER_TIMEOUT]
                ) as pool:
                    response = await pool.request(
                        "POST",
                        self._url,
                        headers=headers,
                        content=_send_if_allowed(body, may_send),
                        extensions={
                            "timeout": {
                                "connect": CONNECT_TIMEOUT_S,
                                "write": WRITE_TIMEOUT_S,
                            }
                        },
                    )
                status = response.status
                detail = f"HTTP status {status}"
            except _NotSentError:
                return usage.ApiOutcome.NOT_SENT
            except (
                httpcore.NetworkError,
                httpcore.TimeoutException,
                httpcore.ProtocolError,
                OSError,
            ) as error:
                detail = f"{type(error).__name__}: {error}"
        if status == _OK_STATUS:
            return usage.ApiOutcome.CONFIRMED
        if status == _THROTTLED_STATUS:
            return usage.ApiOutcome.THROTTLED
        _LOG.info(
            "platform: a usage report failed",
            extra=observe.fields(window=report.window, detail=detail),
        )
        return usage.ApiOutcome.FAILED


@functools.cache
def _import_httpcore() -> Any:
    import httpcore

    return httpcore


async def _send_if_allowed(
    body: bytes, may_send: Callable[[], bool]
) -> AsyncIterator[bytes]:
    """Yields the body if the node may still send it.

    It is read after the connection was opened and the head was sent. Without
    its body, the API does not execute the request.
    """
    if not may_send():
        raise _NotSentError
    yield body
