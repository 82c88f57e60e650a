"""Limits that contradict each other, or that no request can satisfy."""

from collections.abc import Iterator

from geraniumstair.configuration_check import _finding
from geraniumstair.configuration_check import _model


def find_contradictions(
    configuration: _model.Configuration,
) -> Iterator[_finding.Finding]:
    """Yields a warning for each contradiction."""
    for route in configuration.routes:
        for fields, message in _check_route(route):
            yield _finding.Finding(
                _finding.Severity.WARNING,
                _finding.Section.ROUTE,
                route.label,
                fields,
                message,
            )
    for fields, message in _check_limits(configuration.limits):
        yield _finding.Finding(
            _finding.Severity.WARNING,
            _finding.Section.LIMITS,
            "",
            fields,
            message,
        )


def _check_route(
    route: _model.Route,
) -> Iterator[tuple[tuple[str, ...], str]]:
    if route.timeout_ms <= 0:
        yield ("timeout_ms",), "the timeout leaves no time for an answer"
    elif route.latency_goal_ms > route.timeout_ms:
        yield (
            ("latency_goal_ms", "timeout_ms"),
            f"the latency goal of {route.latency_goal_ms:g} ms is above the "
            f"timeout of {route.timeout_ms:g} ms",
        )
    if route.max_attempts > 1 and not route.idempotent:
        yield (
            ("max_attempts", "idempotent"),
            f"{route.max_attempts} attempts on a route that may not be "
            "repeated",
        )
    if route.shards and route.top_k <= 0:
        yield ("top_k",), "a search that returns no records"


def _check_limits(
    limits: _model.Limits,
) -> Iterator[tuple[tuple[str, ...], str]]:
    # Nodes replace a time of zero or less by its default.
    if 0 < limits.idle_timeout_ms < limits.header_timeout_ms:
        yield (
            ("header_timeout_ms", "idle_timeout_ms"),
            f"the header timeout of {limits.header_timeout_ms:g} ms is above "
            f"the idle timeout of {limits.idle_timeout_ms:g} ms",
        )
    if limits.max_body_bytes <= 0:
        yield ("max_body_bytes",), "no request may have a body"
