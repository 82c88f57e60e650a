"""Counters and latencies of forwarded requests."""

from geraniumstair import observe


class ForwardMetrics:
    """Metrics of the forwarder.

    Args:
        registry: Where the metrics are registered; None uses a private
            registry.
    """

    def __init__(self, registry: observe.MetricsRegistry | None = None) -> None:
        registry = registry or observe.MetricsRegistry()
        self.requests = registry.counter(
            "forward",
            "requests",
            "Requests of callers by how they ended.",
            ["outcome"],
        )
        self.calls = registry.counter(
            "forward",
            "calls",
            "Calls to endpoints by how they ended.",
            ["outcome"],
        )
        self.extra_calls = registry.counter(
            "forward",
            "extra_calls",
            "Calls beyond the first of a request, by cause.",
            ["cause"],
        )
        self.limited_calls = registry.counter(
            "forward",
            "limited_calls",
            "Calls to endpoints that state a request rate limit, by cause.",
            ["cause"],
        )
        self.diverted_calls = registry.counter(
            "forward",
            "diverted_calls",
            "Calls that siblings got because of the pace of an endpoint.",
            [],
        )
        self.missing_parts = registry.counter(
            "forward",
            "missing_parts",
            "Shards that answered searches left out.",
            [],
        )
        self.latency_s = registry.histogram(
            "forward",
            "latency_seconds",
            "Time from receipt to answer, by kind of route.",
            ["kind"],
        )
        self.connections = registry.counter(
            "forward",
            "connections",
            "Connections to endpoints by outcome.",
            ["outcome"],
        )
