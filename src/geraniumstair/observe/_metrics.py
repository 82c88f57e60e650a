"""Metrics of one process."""

from collections.abc import Callable
from collections.abc import Sequence
import functools
from typing import TYPE_CHECKING
from typing import Any

from geraniumstair.observe import _deferred

if TYPE_CHECKING:
    from prometheus_client import registry as prometheus_registry

_PREFIX = "geraniumstair"

# Upper bounds in s around the target latencies: services that take 10 ms, and
# answers within 82 ms.
LATENCY_BUCKETS_S = (
    0.001, 0.0025, 0.005, 0.01, 0.02, 0.04, 0.06, 0.082, 0.12, 0.2, 0.32, 0.64,
    1.28, 2.56, 5.12, 10.24, 60.0,
)  # fmt: skip


class MetricsRegistry:
    """Creates metrics named `geraniumstair_<component>_<name>`.

    Names end in their unit: `_seconds`, `_bytes`, `_pct`, or `_total` for a
    counter. Label values come from fixed sets, for example the result codes.

    The library is imported when the metrics are needed for the first time; see
    `load`.

    Args:
        is_process_wide: Uses the library's own registry, which also holds the
            metrics of the process. Otherwise the registry is a private one, so
            that several components can run in one test process.
    """

    def __init__(self, *, is_process_wide: bool = False) -> None:
        self._is_process_wide = is_process_wide
        self._registry: prometheus_registry.CollectorRegistry | None = None
        self._deferred: list[_deferred.DeferredMetric] = []
        self._collectors: list[Any] = []
        self._recorded_calls = 0

    @property
    def registry(self) -> "prometheus_registry.CollectorRegistry":
        """The library's registry."""
        return self.load()

    def load(self) -> "prometheus_registry.CollectorRegistry":
        """Creates all metrics in the library's registry, which it returns."""
        if self._registry is None:
            library = import_library()
            self._registry = (
                library.REGISTRY
                if self._is_process_wide
                else library.CollectorRegistry()
            )
            deferred, self._deferred = self._deferred, []
            for metric in deferred:
                metric.materialize()
            collectors, self._collectors = self._collectors, []
            for collector in collectors:
                self._registry.register(collector)
        return self._registry

    def register(self, collector: Any) -> None:
        """Adds an object whose `collect` returns metrics of the library."""
        if self._registry is None:
            self._collectors.append(collector)
        else:
            self._registry.register(collector)

    def _defer(self, create: Callable[[Any], Any]) -> Any:
        """Returns a metric that is created when the library is loaded."""
        metric = _deferred.DeferredMetric(
            lambda: create(import_library()), self._on_recorded
        )
        if self._registry is None:
            self._deferred.append(metric)
        else:
            metric.materialize()
        return metric

    def _on_recorded(self) -> None:
        self._recorded_calls += 1
        if self._recorded_calls >= _deferred.MAX_RECORDED_CALLS:
            self.load()

    def counter(
        self,
        component: str,
        name: str,
        documentation: str,
        labels: Sequence[str] = (),
    ) -> _deferred.Counter:
        """Returns a new counter; its name gets the suffix `_total`."""
        return self._defer(
            lambda library: library.Counter(
                name,
                documentation,
                labels,
                namespace=_PREFIX,
                subsystem=component,
                registry=self._registry,
            )
        )

    def gauge(
        self,
        component: str,
        name: str,
        documentation: str,
        read: Callable[[], float] | None = None,
    ) -> _deferred.Gauge:
        """Returns a new gauge.

        Args:
            component: Second part of the name.
            name: Last part of the name.
            documentation: One sentence.
            read: Called for the value when the metrics are rendered; None for
                a gauge that its component sets.
        """

        def create(library: Any) -> Any:
            gauge = library.Gauge(
                name,
                documentation,
                namespace=_PREFIX,
                subsystem=component,
                registry=self._registry,
            )
            if read is not None:
                gauge.set_function(read)
            return gauge

        return self._defer(create)

    def histogram(
        self,
        component: str,
        name: str,
        documentation: str,
        labels: Sequence[str] = (),
        buckets: Sequence[float] = LATENCY_BUCKETS_S,
    ) -> _deferred.Histogram:
        """Returns a new histogram, of durations in s by default."""
        return self._defer(
            lambda library: library.Histogram(
                name,
                documentation,
                labels,
                namespace=_PREFIX,
                subsystem=component,
                registry=self._registry,
                buckets=buckets,
            )
        )

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return import_library().generate_latest(self.load())


@functools.cache
def import_library() -> Any:
    """Imports the library, and returns it; may be called in a thread."""
    import prometheus_client

    # The creation time of each series would double the number of lines, and it
    # is not used.
    prometheus_client.disable_created_metrics()
    return prometheus_client


@functools.cache
def process_metrics() -> MetricsRegistry:
    """Returns the registry of the metrics that a node serves at `/metrics`."""
    return MetricsRegistry(is_process_wide=True)
