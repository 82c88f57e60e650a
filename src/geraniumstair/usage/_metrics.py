"""Counters of the usage reports."""

from collections.abc import Callable

from geraniumstair import observe


class UsageMetrics:
    """Counts reports, windows without one, and messages.

    Args:
        registry: Registry of the metrics; None creates a separate one.
    """

    def __init__(self, registry: observe.MetricsRegistry | None = None) -> None:
        registry = registry or observe.MetricsRegistry()
        self.calls = registry.counter(
            "usage",
            "report_calls",
            "Calls of the platform's API with a report.",
            ["outcome"],
        )
        self.missed = registry.counter(
            "usage",
            "missed_windows",
            "Windows without a confirmed report that this node gave up.",
            ["reason"],
        )
        self.totals = registry.counter(
            "usage", "totals_messages", "Messages with totals that were sent."
        )
        self._registry = registry

    def register_gauges(
        self,
        counted_requests: Callable[[], float],
        holds_duty: Callable[[], bool],
    ) -> None:
        """Adds the values that are read when the metrics are rendered."""
        self._registry.gauge(
            "usage",
            "counted_requests",
            "Requests that this node counted, less those taken back.",
            counted_requests,
        )
        self._registry.gauge(
            "usage",
            "holds_duty",
            "1 if this node holds the duty to send reports.",
            lambda: float(holds_duty()),
        )
