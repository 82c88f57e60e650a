"""HTTP calls to the store, with timeouts, failover and failure effects."""

from collections.abc import Sequence
import dataclasses
import logging
import time

import result
import trio

from geraniumstair import observe
from geraniumstair.store import _protocol
from geraniumstair.store import _transport

_LOG = logging.getLogger(__name__)
_ERROR_DETAIL_BYTES = 200
_TIMEOUT_DETAIL = "timeout"


class StoreMetrics:
    """Counts and latencies of store calls.

    Args:
        registry: Registry of the metrics; None creates a separate one.
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


@dataclasses.dataclass(frozen=True, slots=True)
class CallFailure(_protocol.StoreFailure):
    """A call that failed or that the service rejected.

    Attributes:
        rejected_status: HTTP status (400 to 499) with which the service
            rejected the call without executing it; 0 otherwise.
    """

    rejected_status: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """A reply of the service with status 200.

    Attributes:
        body: The body.
        headers: Names and values of the headers; names may be in any case.
    """

    body: bytes
    headers: Sequence[tuple[bytes, bytes]] = ()


def _build_failure(
    effect: _protocol.Effect, detail: str, rejected_status: int = 0
) -> result.Err[CallFailure]:
    return result.Err(CallFailure(effect, detail, rejected_status))


class StoreConnection:
    """Sends calls to one of several URLs and fails over between them.

    Args:
        urls: Base URLs of the service's members, in order of preference.
        timeout_ms: Limit of a call, including waiting and all attempts.
        max_concurrency: Limit of calls in flight; watches are not counted.
        transport: Makes the HTTP exchanges.
        metrics: Metrics of the calls.
        not_executed_statuses: HTTP statuses of 500 and above with which the
            service states that it did not execute the call.
    """

    def __init__(
        self,
        urls: Sequence[str],
        *,
        timeout_ms: float,
        max_concurrency: int,
        transport: _transport.Transport,
        metrics: StoreMetrics,
        not_executed_statuses: frozenset[int] = frozenset(),
    ) -> None:
        if not urls:
            raise ValueError("the store needs at least one URL")
        self.metrics = metrics
        self._transport = transport
        self._urls = [url.rstrip("/") for url in urls]
        self._url_index = 0
        self._timeout_s = timeout_ms / 1000
        self._not_executed_statuses = not_executed_statuses
        self._limiter = trio.CapacityLimiter(max_concurrency)
        self._outage_started_s: float | None = None

    @property
    def url(self) -> str:
        """The base URL in use."""
        return self._urls[self._url_index]

    def fail_over(self, failed_url: str) -> None:
        """Switches to the next URL unless another task has done so already."""
        if self.url == failed_url and len(self._urls) > 1:
            self._url_index = (self._url_index + 1) % len(self._urls)
            _LOG.debug("store: failing over to %s", self.url)

    async def send_request(
        self,
        kind: str,
        path: str,
        body: bytes,
        *,
        repeatable: bool,
        method: str = "POST",
        wait_ms: float = 0.0,
    ) -> result.Result[Reply, CallFailure]:
        """Makes one call, in several attempts if necessary.

        Args:
            kind: Value of the metrics' label `kind`.
            path: Path below the base URL.
            body: Request body.
            repeatable: Allows another attempt after an attempt of unknown
                effect.
            method: HTTP method.
            wait_ms: Time that the service may wait before it answers, on
                top of the timeout.

        Returns:
            The reply, or the failure of the last attempt. The failure
            has effect NONE only if no attempt can have been executed.
        """
        started_s = time.perf_counter()
        deadline_s = trio.current_time() + self._timeout_s + wait_ms / 1000
        borrower = object()
        acquired = False
        outcome: result.Result[Reply, CallFailure]
        # The deadline cancels only the wait for the limiter. Cancelling the
        # attempts here would hide whether bytes were sent.
        with trio.move_on_at(deadline_s):
            await self._limiter.acquire_on_behalf_of(borrower)
            acquired = True
        if not acquired:
            outcome = _build_failure(
                _protocol.Effect.NONE, "too many concurrent store calls"
            )
        else:
            try:
                outcome = await self._try_urls(
                    kind, method, path, body, deadline_s, repeatable
                )
            finally:
                self._limiter.release_on_behalf_of(borrower)
        latency_s = time.perf_counter() - started_s
        self.metrics.latency_s.labels(kind).observe(latency_s)
        if isinstance(outcome, result.Err):
            effect = outcome.err_value.effect
            self.metrics.failures.labels(kind, effect.value).inc()
        self._log_availability(outcome)
        return outcome

    def _log_availability(
        self, outcome: result.Result[Reply, CallFailure]
    ) -> None:
        """Logs the start and the end of an outage, not each failed call."""
        if isinstance(outcome, result.Ok) or outcome.err_value.rejected_status:
            if self._outage_started_s is not None:
                outage_s = trio.current_time() - self._outage_started_s
                _LOG.info(
                    "store: Service answers again after %.1f s.", outage_s
                )
            self._outage_started_s = None
        elif self._outage_started_s is None:
            self._outage_started_s = trio.current_time()
            _LOG.warning(
                "store: Service does not answer: %s.", outcome.err_value.detail
            )

    async def _try_urls(
        self,
        kind: str,
        method: str,
        path: str,
        body: bytes,
        deadline_s: float,
        repeatable: bool,
    ) -> result.Result[Reply, CallFailure]:
        effect = _protocol.Effect.NONE
        failure = CallFailure(effect, "no attempt was made")
        for attempts_left in range(len(self._urls), 0, -1):
            url = self.url
            self.metrics.calls.labels(kind).inc()
            outcome = await self._attempt_call(
                method, url, path, body, deadline_s, attempts_left, repeatable
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

    async def _attempt_call(
        self,
        method: str,
        url: str,
        path: str,
        body: bytes,
        deadline_s: float,
        attempts_left: int,
        repeatable: bool,
    ) -> result.Result[Reply, CallFailure]:
        attempt_timeout_s = (
            max(0.0, deadline_s - trio.current_time()) / attempts_left
        )
        trace = _transport.SendTrace()
        request = _transport.HttpRequest(method, url, path, body)
        attempt_deadline_s = (
            trio.current_time() + attempt_timeout_s
            if repeatable
            else deadline_s
        )
        detail = _TIMEOUT_DETAIL
        with trio.move_on_at(attempt_deadline_s):
            try:
                return _classify_reply(
                    await self._transport.exchange(
                        request, attempt_timeout_s, trace
                    ),
                    self._not_executed_statuses,
                )
            except _transport.ExchangeError as error:
                detail = str(error)
        if detail == _TIMEOUT_DETAIL:
            # They may be silent like the connection of this call, and each
            # later call would wait for its whole timeout to find it out.
            await self._transport.close_idle()
        effect = _protocol.Effect.NONE
        if trace.sent:
            effect = _protocol.Effect.UNKNOWN
        return _build_failure(effect, detail)


def _classify_reply(
    reply: _transport.HttpReply, not_executed_statuses: frozenset[int]
) -> result.Result[Reply, CallFailure]:
    if reply.status == 200:
        return result.Ok(Reply(reply.body, reply.headers))
    text = reply.body[:_ERROR_DETAIL_BYTES].decode(errors="replace")
    detail = f"HTTP status {reply.status}: {text}"
    if 400 <= reply.status < 500:
        return _build_failure(_protocol.Effect.NONE, detail, reply.status)
    if reply.status in not_executed_statuses:
        return _build_failure(_protocol.Effect.NONE, detail)
    return _build_failure(_protocol.Effect.UNKNOWN, detail)
