"""Counts requests by what became of their keys."""

from collections.abc import Callable

from geraniumstair import observe


class AccountMetrics:
    """Metrics of account keys.

    Args:
        registry: Where the metrics are registered; None uses a private
            registry.
    """

    def __init__(self, registry: observe.MetricsRegistry | None = None) -> None:
        self._registry = registry or observe.MetricsRegistry()
        self.requests = self._registry.counter(
            "accounts",
            "requests",
            "Requests to routes with keys, by what became of their keys.",
            ["outcome"],
        )

    def register_freshness(self, read_age_s: Callable[[], float]) -> None:
        """Registers the gauge of the freshness.

        Args:
            read_age_s: Returns the age of the freshness in s.
        """
        self._registry.gauge(
            "accounts",
            "freshness_age_seconds",
            "Time since the configuration was known to be the newest; 0 "
            "without strict revocation.",
            read_age_s,
        )
