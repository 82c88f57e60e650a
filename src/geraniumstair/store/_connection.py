"""HTTP calls to the store: timeout, failover and effect of failures."""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import logging
import time
from typing import Any

import httpcore
import result
import trio

from geraniumstair import observe
from geraniumstair.store import _protocol

_LOG = logging.getLogger(__name__)
_HEADERS = [("content-type", "application/json")]
# Base64 makes a value of 1 MB a third larger; a prefix read has many.
MAX_REPLY_BYTES = 64 * 1024 * 1024
_ERROR_DETAIL_BYTES = 200
_HTTP_ERRORS = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
    httpcore.UnsupportedProtocol,
    OSError,
)
# Events of httpcore after which bytes of the request may have left.
_SEND_EVENTS = frozenset(
    [
        "http11.send_request_headers.started",
        "http2.send_request_headers.started",
    ]
)


class StoreMetrics:
    """Counts and latencies of store calls.

    Args:
        registry: Where the metrics are registered; None keeps them apart.
    """

    def __init__(self, registry: observe.MetricsRegistry | None = None) -> None:
        registry = registry or observe.MetricsRegistry()
        self.calls = registry.counter(
            "store",
            "calls",
            "Calls to the key-value service, tries included.",
            ["kind"],
        )
        self.failures = registry.counter(
            "store",
            "failures",
            "Calls that got no valid answer.",
            ["kind", "effect"],
        )
        self.latency_s = registry.histogram(
            "store",
            "latency_seconds",
            "Time of a call with its tries.",
            ["kind"],
        )


class _SendTrace:
    """Notes whether bytes of a request may have left this process."""

    def __init__(self) -> None:
        self.sent = False

    async def __call__(self, event: str, info: Mapping[str, Any]) -> None:
        if event in _SEND_EVENTS:
            self.sent = True

    @property
    def effect(self) -> _protocol.Effect:
        if self.sent:
            return _protocol.Effect.UNKNOWN
        return _protocol.Effect.NONE


@dataclasses.dataclass(frozen=True, slots=True)
class CallFailure(_protocol.StoreFailure):
    """A failed call.

    Attributes:
        rejected_status: HTTP status (400 to 499) of an answer that says
            that the call was not executed; 0 if there was none.
    """

    rejected_status: int = 0


def _failed(
    effect: _protocol.Effect, detail: str, rejected_status: int = 0
) -> result.Err[CallFailure]:
    return result.Err(CallFailure(effect, detail, rejected_status))


class StoreConnection:
    """Sends calls to the first of several URLs that works.

    Args:
        urls: Base URLs of the service's members, in order of preference.
        timeout_ms: Limit of a call, tries and waiting included.
        max_concurrency: Calls in flight; watches are not counted.
        metrics: Where calls are counted.
        not_executed_statuses: HTTP statuses of 500 and above that say that
            the call was not executed.
    """

    def __init__(
        self,
        urls: Sequence[str],
        *,
        timeout_ms: float,
        max_concurrency: int,
        metrics: StoreMetrics,
        not_executed_statuses: frozenset[int] = frozenset(),
    ) -> None:
        if not urls:
            raise ValueError("the store needs at least one URL")
        self.metrics = metrics
        self.pool = httpcore.AsyncConnectionPool(
            max_connections=None, max_keepalive_connections=max_concurrency
        )
        self._urls = [url.rstrip("/") for url in urls]
        self._current = 0
        self._timeout_s = timeout_ms / 1000
        self._not_executed_statuses = not_executed_statuses
        self._limiter = trio.CapacityLimiter(max_concurrency)
        self._lost_at_s: float | None = None

    @property
    def url(self) -> str:
        """The base URL in use."""
        return self._urls[self._current]

    def fail_over(self, failed_url: str) -> None:
        """Changes to the next URL unless another task already did."""
        if self.url == failed_url and len(self._urls) > 1:
            self._current = (self._current + 1) % len(self._urls)
            _LOG.debug("store: changed to %s", self.url)

    async def call(
        self,
        kind: str,
        path: str,
        body: bytes,
        *,
        repeatable: bool,
        method: str = "POST",
        wait_ms: float = 0.0,
    ) -> result.Result[bytes, CallFailure]:
        """Makes one call.

        Args:
            kind: Label of the metrics.
            path: Path below the base URL.
            body: Request body.
            repeatable: Allows another try after an unknown effect.
            method: HTTP method.
            wait_ms: Time that the service may wait before it answers, on
                top of the timeout.

        Returns:
            The reply body. The failure of the last try has effect NONE
            only if no try may have been executed.
        """
        started = time.perf_counter()
        deadline = trio.current_time() + self._timeout_s + wait_ms / 1000
        place = object()
        acquired = False
        outcome: result.Result[bytes, CallFailure]
        # Only the wait for a free place is cancelled here: a limit around
        # the tries would hide whether a byte was sent.
        with trio.move_on_at(deadline):
            await self._limiter.acquire_on_behalf_of(place)
            acquired = True
        if not acquired:
            outcome = _failed(_protocol.Effect.NONE, "too many store calls")
        else:
            try:
                outcome = await self._try_urls(
                    kind, method, path, body, deadline, repeatable
                )
            finally:
                self._limiter.release_on_behalf_of(place)
        latency_s = time.perf_counter() - started
        self.metrics.latency_s.labels(kind).observe(latency_s)
        if isinstance(outcome, result.Err):
            effect = outcome.err_value.effect
            self.metrics.failures.labels(kind, effect.value).inc()
        self._log_availability(outcome)
        return outcome

    def _log_availability(
        self, outcome: result.Result[bytes, CallFailure]
    ) -> None:
        """Logs the start and the end of an outage, not each failed call."""
        if isinstance(outcome, result.Ok) or outcome.err_value.rejected_status:
            if self._lost_at_s is not None:
                outage_s = trio.current_time() - self._lost_at_s
                _LOG.info("store: Answers again after %.1f s.", outage_s)
            self._lost_at_s = None
        elif self._lost_at_s is None:
            self._lost_at_s = trio.current_time()
            _LOG.warning(
                "store: Does not answer: %s.", outcome.err_value.detail
            )

    async def _try_urls(
        self,
        kind: str,
        method: str,
        path: str,
        body: bytes,
        deadline: float,
        repeatable: bool,
    ) -> result.Result[bytes, CallFailure]:
        effect = _protocol.Effect.NONE
        failure = CallFailure(effect, "not tried")
        for tries_left in range(len(self._urls), 0, -1):
            url = self.url
            self.metrics.calls.labels(kind).inc()
            outcome = await self._try_once(
                method, url + path, body, deadline, tries_left, repeatable
            )
            if isinstance(outcome, result.Ok):
                return outcome
            failure = outcome.err_value
            if failure.effect is _protocol.Effect.UNKNOWN:
                effect = _protocol.Effect.UNKNOWN
            if failure.rejected_status:
                break
            self.fail_over(url)
            if effect is _protocol.Effect.UNKNOWN and not repeatable:
                break
        return result.Err(dataclasses.replace(failure, effect=effect))

    async def _try_once(
        self,
        method: str,
        url: str,
        body: bytes,
        deadline: float,
        tries_left: int,
        repeatable: bool,
    ) -> result.Result[bytes, CallFailure]:
        share_s = max(0.0, deadline - trio.current_time()) / tries_left
        trace = _SendTrace()
        timeouts = {"connect": share_s, "pool": share_s}
        try_deadline = trio.current_time() + share_s if repeatable else deadline
        detail = "timeout"
        with trio.move_on_at(try_deadline):
            try:
                async with self.pool.stream(
                    method,
                    url,
                    headers=_HEADERS,
                    content=body,
                    extensions={"timeout": timeouts, "trace": trace},
                ) as response:
                    return await _read_reply(
                        response, self._not_executed_statuses
                    )
            except _HTTP_ERRORS as error:
                detail = f"{type(error).__name__}: {error}"
        return _failed(trace.effect, detail)


async def _read_reply(
    response: httpcore.Response, not_executed_statuses: frozenset[int]
) -> result.Result[bytes, CallFailure]:
    chunks = []
    size_bytes = 0
    async for chunk in response.aiter_stream():
        size_bytes += len(chunk)
        if size_bytes > MAX_REPLY_BYTES:
            return _failed(_protocol.Effect.UNKNOWN, "the reply is too large")
        chunks.append(chunk)
    body = b"".join(chunks)
    if response.status == 200:
        return result.Ok(body)
    text = body[:_ERROR_DETAIL_BYTES].decode(errors="replace")
    detail = f"status {response.status}: {text}"
    if 400 <= response.status < 500:
        return _failed(_protocol.Effect.NONE, detail, response.status)
    if response.status in not_executed_statuses:
        return _failed(_protocol.Effect.NONE, detail)
    return _failed(_protocol.Effect.UNKNOWN, detail)
