"""Counts requests by what became of their keys."""

from geraniumstair import observe


class AccountMetrics:
    """Metrics of account keys.

    Args:
        registry: Where the metrics are registered; None uses a private
            registry.
    """

    def __init__(self, registry: observe.MetricsRegistry | None = None) -> None:
        registry = registry or observe.MetricsRegistry()
        self.requests = registry.counter(
            "accounts",
            "requests",
            "Requests to routes with keys, by what became of their keys.",
            ["outcome"],
        )
        self.freshness_age_s = registry.gauge(
            "accounts",
            "freshness_age_seconds",
            "Time since the configuration was known to be the newest; 0 "
            "without strict revocation.",
        )
