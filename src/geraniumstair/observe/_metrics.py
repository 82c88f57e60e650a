"""Metrics of one process."""

from collections.abc import Callable
from collections.abc import Sequence
import functools

import prometheus_client
from prometheus_client import registry as prometheus_registry

_PREFIX = "geraniumstair"

# Upper bounds in s around the target latencies: services that take 10 ms, and
# answers within 82 ms.
LATENCY_BUCKETS_S = (
    0.001, 0.0025, 0.005, 0.01, 0.02, 0.04, 0.06, 0.082, 0.12, 0.2, 0.32, 0.64,
    1.28, 2.56, 5.12, 10.24, 60.0,
)  # fmt: skip

# The creation time of each series would double the number of lines, and it is
# not used.
prometheus_client.disable_created_metrics()


class MetricsRegistry:
    """Creates metrics named `geraniumstair_<component>_<name>`.

    Names end in their unit: `_seconds`, `_bytes`, `_pct`, or `_total` for a
    counter. Label values come from fixed sets, for example the result codes.

    Args:
        collectors: Registry of the metrics; None creates a private one, so that
            several components can run in one test process.
    """

    def __init__(
        self, collectors: prometheus_registry.CollectorRegistry | None = None
    ) -> None:
        if collectors is None:
            collectors = prometheus_registry.CollectorRegistry()
        self.registry = collectors

    def counter(
        self,
        component: str,
        name: str,
        documentation: str,
        labels: Sequence[str] = (),
    ) -> prometheus_client.Counter:
        """Returns a new counter; its name gets the suffix `_total`."""
        return prometheus_client.Counter(
            name,
            documentation,
            labels,
            namespace=_PREFIX,
            subsystem=component,
            registry=self.registry,
        )

    def gauge(
        self,
        component: str,
        name: str,
        documentation: str,
        read: Callable[[], float] | None = None,
    ) -> prometheus_client.Gauge:
        """Returns a new gauge.

        Args:
            component: Second part of the name.
            name: Last part of the name.
            documentation: One sentence.
            read: Called for the value when the metrics are rendered; None for
                a gauge that its component sets.
        """
        gauge = prometheus_client.Gauge(
            name,
            documentation,
            namespace=_PREFIX,
            subsystem=component,
            registry=self.registry,
        )
        if read is not None:
            gauge.set_function(read)
        return gauge

    def histogram(
        self,
        component: str,
        name: str,
        documentation: str,
        labels: Sequence[str] = (),
        buckets: Sequence[float] = LATENCY_BUCKETS_S,
    ) -> prometheus_client.Histogram:
        """Returns a new histogram, of durations in s by default."""
        return prometheus_client.Histogram(
            name,
            documentation,
            labels,
            namespace=_PREFIX,
            subsystem=component,
            registry=self.registry,
            buckets=buckets,
        )

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)


@functools.cache
def process_metrics() -> MetricsRegistry:
    """Returns the registry of the metrics that a node serves at `/metrics`."""
    return MetricsRegistry(prometheus_client.REGISTRY)
