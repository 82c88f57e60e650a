"""A configuration as an operator wrote it, without defaults applied later."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedService:
    """One service of a weighted split."""

    service: str
    weight: float

    def __str__(self) -> str:
        return f"{self.service!r} with weight {self.weight:g}"


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Where requests of one host and path prefix go.

    Attributes:
        host: Host as written; nodes compare it in lower case.
        prefix: Path prefix.
        name: Name for logs; may be empty.
        idempotent: Requests may run more than once.
        timeout_ms: Longest time that a caller is kept waiting.
        latency_goal_ms: Target time for an answer.
        priority: Priority; 0 is the most urgent.
        max_attempts: Endpoints that one request may run on.
        service: Service of a plain route; empty on other routes.
        split: Services that share the requests by weight.
        shards: Services that are each asked for a part of a search.
        top_k: Records in the answer of a search.
        min_coverage: Least share of shards in an answer, 0 to 1.
        keyless: Callers need no key.
    """

    host: str
    prefix: str
    name: str
    idempotent: bool
    timeout_ms: float
    latency_goal_ms: float
    priority: int
    max_attempts: int
    service: str
    split: tuple[WeightedService, ...]
    shards: tuple[str, ...]
    top_k: int
    min_coverage: float
    keyless: bool

    @property
    def label(self) -> str:
        """Host and prefix, for findings."""
        return f"{self.host}{self.prefix}"

    @property
    def match_key(self) -> tuple[str, str]:
        """Host and prefix as nodes compare them."""
        return self.host.lower(), self.prefix


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """Limits of one service; see `routing.ServiceLimits`."""

    name: str
    max_connections: int
    warmup_s: float
    warmup_per_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Account:
    """A client account; its keys appear in no representation."""

    name: str
    priority: float | None
    keys: frozenset[str] = dataclasses.field(repr=False)


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits of callers' requests; see `routing.CallerLimits`."""

    max_body_bytes: int
    max_header_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the configuration.

    Attributes:
        version: Number of the version.
        routes: Routes in the order of the file.
        services: Services in the order of the file.
        limits: Limits of callers' requests.
        accounts: Client accounts; None if callers need no keys.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: Limits
    accounts: tuple[Account, ...] | None
