"""One version of the routes, indexed by host and path prefix."""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses

from geraniumstair import accounts


@dataclasses.dataclass(frozen=True, slots=True)
class SplitPart:
    """One service of a weighted split."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Where requests of one host and path prefix go.

    Attributes:
        name: Name for logs.
        host: Host of the requests, in lower case and without a port.
        prefix: Path prefix; it begins and ends with a slash.
        idempotent: Requests may run more than once.
        max_attempts: Endpoints that one request may run on, for each shard.
        timeout_ms: Longest time that a caller is kept waiting.
        latency_goal_ms: Target time for an answer; a later one has less value.
        priority: Priority; 0 is the most urgent. The priority of an account
            replaces it.
        parts: Services that share the requests by weight; one for a plain
            route, none for a search.
        shards: Services that are each asked for a part; none for a plain route.
        top_k: Records in the answer of a search.
        min_coverage: Least share of shards in an answer, 0 to 1.
        keyless: Callers need no key, even if the site has accounts.
        version: Version of the configuration that contains the route.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    max_attempts: int
    timeout_ms: float
    latency_goal_ms: float
    priority: float
    parts: tuple[SplitPart, ...] = ()
    shards: tuple[str, ...] = ()
    top_k: int = 0
    min_coverage: float = 0.0
    keyless: bool = False
    version: int = 0

    @property
    def is_search(self) -> bool:
        """True if each request goes to all shards."""
        return bool(self.shards)

    @property
    def services(self) -> tuple[str, ...]:
        """All services that the route may use."""
        return self.shards or tuple(part.service for part in self.parts)


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceLimits:
    """Limits that protect the endpoints of one service from overload.

    Attributes:
        max_connections: Connections to one endpoint, from all nodes.
        warmup_s: Time after a start during which an endpoint is cold.
        warmup_per_s: Requests a second that a cold endpoint may get from all
            nodes; 0 for no limit.
    """

    max_connections: int = 16
    warmup_s: float = 0.0
    warmup_per_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits of callers' requests.

    Attributes:
        max_body_bytes: Largest body of a request.
        max_header_bytes: Largest head of a request.
        header_timeout_s: Greatest time between the first and the last byte of
            a head.
        idle_timeout_s: Greatest time in which a connection carries no request.
    """

    max_body_bytes: int = 256 * 1024
    max_header_bytes: int = 16 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class RouteTable:
    """All routes of one version; immutable.

    Args:
        version: Version of the configuration.
        routes: The routes.
        services: Limits by service; other services have the defaults.
        limits: Limits of callers' requests.
        accounts: The client accounts; None if callers need no keys.
    """

    def __init__(
        self,
        version: int,
        routes: Iterable[Route],
        services: Mapping[str, ServiceLimits],
        limits: CallerLimits,
        accounts: accounts.AccountDirectory | None = None,
    ) -> None:
        self.version = version
        self.accounts = accounts
        self.limits = limits
        self._services = dict(services)
        self._by_host: dict[str, list[Route]] = {}
        for route in routes:
            self._by_host.setdefault(route.host, []).append(route)
        for host_routes in self._by_host.values():
            host_routes.sort(key=lambda route: len(route.prefix), reverse=True)

    def match(self, host: str, path: str) -> Route | None:
        """Returns the route of the host with the longest matching prefix.

        Args:
            host: Host as the caller sent it.
            path: Path without the query.
        """
        for route in self._by_host.get(_host_name(host), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_account(self, name: str) -> accounts.Account | None:
        """Returns the account with a name; None if there is none."""
        return self.accounts.find_by_name(name) if self.accounts else None

    def service_limits(self, service: str) -> ServiceLimits:
        """Returns the limits of a service."""
        return self._services.get(service, ServiceLimits())

    def routes(self) -> Sequence[Route]:
        """Returns all routes."""
        return [
            r for host_routes in self._by_host.values() for r in host_routes
        ]

    def services(self) -> frozenset[str]:
        """Returns the services that some route leads to."""
        return frozenset(s for route in self.routes() for s in route.services)


def _host_name(host: str) -> str:
    name, _, port = host.rpartition(":")
    if name and port.isdigit():
        host = name
    return host.lower()
