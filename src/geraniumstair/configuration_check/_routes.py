"""Faults of routes that make a configuration unfit to be sent."""

from collections.abc import Iterator

from geraniumstair.configuration_check import _finding
from geraniumstair.configuration_check import _model


def find_errors(
    configuration: _model.Configuration,
) -> Iterator[_finding.Finding]:
    """Yields the errors of all routes."""
    services = frozenset(service.name for service in configuration.services)
    for route in configuration.routes:
        yield from _find_prefix_errors(route)
        yield from _find_target_errors(route)
        yield from _find_unnamed_services(route, services)
        yield from _find_weight_errors(route)
        if not 0 <= route.min_coverage <= 1:
            yield _error(
                route,
                "min_coverage",
                f"{route.min_coverage:g} is not between 0 and 1",
            )


def _find_prefix_errors(route: _model.Route) -> Iterator[_finding.Finding]:
    prefix = route.prefix
    if not (prefix.startswith("/") and prefix.endswith("/")):
        yield _error(
            route, "prefix", "the prefix does not begin and end with a slash"
        )


def _find_target_errors(route: _model.Route) -> Iterator[_finding.Finding]:
    targets = [
        field
        for field in ("service", "split", "shards")
        if getattr(route, field)
    ]
    if not targets:
        yield _error(route, "service", "the route leads to no service")
    # Nodes ignore the service of a route with shards.
    if route.shards and len(targets) > 1:
        yield _finding.Finding(
            _finding.Severity.ERROR,
            _finding.Section.ROUTE,
            route.label,
            tuple(targets),
            "the route has both a service and shards",
        )


def _find_unnamed_services(
    route: _model.Route, services: frozenset[str]
) -> Iterator[_finding.Finding]:
    for field, names in (
        ("service", [route.service] if route.service else []),
        ("split", [part.service for part in route.split]),
        ("shards", route.shards),
    ):
        for name in dict.fromkeys(names):
            if name not in services:
                yield _error(route, field, f"the service {name!r} is not named")


def _find_weight_errors(route: _model.Route) -> Iterator[_finding.Finding]:
    for part in route.split:
        if part.weight <= 0:
            yield _error(
                route,
                "split",
                f"the weight {part.weight:g} of the service {part.service!r} "
                "is not positive",
            )


def _error(route: _model.Route, field: str, message: str) -> _finding.Finding:
    return _finding.Finding(
        _finding.Severity.ERROR,
        _finding.Section.ROUTE,
        route.label,
        (field,),
        message,
    )
