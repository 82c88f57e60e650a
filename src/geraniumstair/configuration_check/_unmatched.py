"""Entries that no request can ever use."""

from collections.abc import Iterator

from geraniumstair.configuration_check import _finding
from geraniumstair.configuration_check import _model


def find_unmatched(
    configuration: _model.Configuration,
) -> Iterator[_finding.Finding]:
    """Yields a warning for each route and service without any request."""
    yield from _find_unmatched_routes(configuration.routes)
    yield from _find_unused_services(configuration)


def _find_unmatched_routes(
    routes: tuple[_model.Route, ...],
) -> Iterator[_finding.Finding]:
    first_routes: dict[tuple[str, str], _model.Route] = {}
    for route in routes:
        first = first_routes.setdefault(route.match_key, route)
        if _has_port(route.host):
            yield _warning(
                route,
                ("host",),
                "never matches: nodes remove the port from a request's host",
            )
        elif first is not route and first.host != route.host:
            yield _warning(
                route,
                ("host", "prefix"),
                f"never matches: {first.label!r} comes first and its host "
                "differs only in case",
            )
        elif first is not route:
            yield _warning(
                route,
                ("host", "prefix"),
                "never matches: an earlier route has the same host and prefix",
            )


def _has_port(host: str) -> bool:
    """Returns whether `routing.RouteTable` would remove a part of the host."""
    name, _, port = host.rpartition(":")
    return bool(name) and port.isdigit()


def _find_unused_services(
    configuration: _model.Configuration,
) -> Iterator[_finding.Finding]:
    used: set[str] = set()
    for route in configuration.routes:
        # Nodes ignore the service of a route with a split.
        if not route.split:
            used.add(route.service)
        used.update(part.service for part in route.split)
        used.update(route.shards)
    for service in configuration.services:
        if service.name not in used:
            yield _finding.Finding(
                _finding.Severity.WARNING,
                _finding.Section.SERVICE,
                service.name,
                ("name",),
                "no route leads to the service",
            )


def _warning(
    route: _model.Route, fields: tuple[str, ...], message: str
) -> _finding.Finding:
    return _finding.Finding(
        _finding.Severity.WARNING,
        _finding.Section.ROUTE,
        route.label,
        fields,
        message,
    )
