"""Counts requests, and logs the late, repeated, partial or refused ones."""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import logging
from typing import Any
from typing import Protocol

import trio

from geraniumstair import observe
from geraniumstair import routing
from geraniumstair.forward import _budget
from geraniumstair.forward import _call
from geraniumstair.forward import _metrics
from geraniumstair.forward import _result

_LOG = logging.getLogger(__name__)
# Services listed in one log line about repeats.
MAX_REPORTED_SERVICES = 3


class RequestHandler(Protocol):
    """The object that handled a forwarded request."""

    @property
    def repeats(self) -> int:
        """Number of calls beyond the first ones."""
        ...

    def describe(self) -> Mapping[str, Any]:
        """Returns the data that its decisions were based on."""
        ...


def report_request(
    metrics: _metrics.ForwardMetrics,
    request: _call.CallerRequest,
    route: routing.Route,
    result: _result.ForwardResult,
    handler: RequestHandler,
) -> None:
    """Counts a request; logs it if late, repeated, partial or refused."""
    took_s = trio.current_time() - request.received_s
    kind = "search" if route.is_search else "single"
    metrics.latency_s.labels(kind).observe(took_s)
    values: dict[str, Any] = {}
    outcome = "answered"
    if isinstance(result, _result.Refused):
        outcome = result.reason.value
        values["not_run"] = result.not_run
        values["retry_after_s"] = result.retry_after_s
        values["detail"] = result.detail
    elif isinstance(result, _result.SearchResult) and result.missing:
        outcome = "partial"
        metrics.missing_parts.inc(result.missing)
    metrics.requests.labels(outcome).inc()
    is_late = took_s * 1000 > route.latency_goal_ms
    if outcome == "answered" and not is_late and not handler.repeats:
        return
    _LOG.info(
        "forward: request ended",
        extra=observe.fields(
            request_id=request.request_id.decode("latin-1"),
            route=route.name,
            version=route.version,
            outcome=outcome,
            took_ms=round(took_s * 1000, 1),
            latency_goal_ms=route.latency_goal_ms,
            remaining_ms=request.remaining_ms,
            repeats=handler.repeats,
            **values,
            **handler.describe(),
        ),
    )


def report_repeats(usage: Sequence[_budget.ServiceUsage]) -> None:
    """Logs the services that got most calls beyond the first of a request."""
    repeated = sorted(
        (u for u in usage if u.calls > u.requests),
        key=lambda u: u.requests - u.calls,
    )
    if not repeated:
        return
    _LOG.info(
        "forward: services got repeated calls",
        extra=observe.fields(
            services=len(usage),
            requests=sum(u.requests for u in usage),
            calls=sum(u.calls for u in usage),
            most_repeated=[
                dataclasses.asdict(u) for u in repeated[:MAX_REPORTED_SERVICES]
            ],
        ),
    )
