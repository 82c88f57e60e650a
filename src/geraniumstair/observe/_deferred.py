"""Metrics that are recorded before their library is imported.

Importing `prometheus_client` takes a tenth of the start of a process, because
it brings an HTTP server and parsers of mail. Nothing of it is needed before the
metrics are read for the first time.
"""

from collections.abc import Callable
from typing import Any
from typing import Protocol

# Recorded calls take 200 bytes each. A node imports the library a few seconds
# after its start, so it reaches this limit only if it is flooded.
MAX_RECORDED_CALLS = 10_000


class Counter(Protocol):
    """The used methods of a counter of `prometheus_client`."""

    def labels(self, *values: str) -> "Counter":
        """Returns the counter of these label values."""

    def inc(self, amount: float = 1) -> None:
        """Adds an amount."""


class Gauge(Protocol):
    """The used methods of a gauge of `prometheus_client`."""

    def inc(self, amount: float = 1) -> None:
        """Adds an amount."""

    def dec(self, amount: float = 1) -> None:
        """Subtracts an amount."""

    def set(self, value: float) -> None:
        """Sets the value."""


class Histogram(Protocol):
    """The used methods of a histogram of `prometheus_client`."""

    def labels(self, *values: str) -> "Histogram":
        """Returns the histogram of these label values."""

    def observe(self, amount: float) -> None:
        """Adds an observation."""


class DeferredMetric:
    """Records calls until the metric exists, then passes them on.

    Args:
        create: Creates the metric; called once.
        on_recorded: Called after each recorded call.
    """

    def __init__(
        self, create: Callable[[], Any], on_recorded: Callable[[], None]
    ) -> None:
        self._create = create
        self._on_recorded = on_recorded
        self._metric: Any = None
        self._recorded: list[tuple[tuple[str, ...], str, float]] = []

    def materialize(self) -> None:
        """Creates the metric and makes the recorded calls."""
        self._metric = self._create()
        recorded, self._recorded = self._recorded, []
        for values, method, amount in recorded:
            self.call(values, method, amount)

    def call(self, values: tuple[str, ...], method: str, amount: float) -> None:
        """Calls a method of the metric with these label values."""
        if self._metric is None:
            self._recorded.append((values, method, amount))
            self._on_recorded()
            return
        target = self._metric.labels(*values) if values else self._metric
        getattr(target, method)(amount)

    def labels(self, *values: str) -> Any:
        """Returns the metric of these label values."""
        if self._metric is not None:
            return self._metric.labels(*values)
        return _Labelled(self, values)

    def inc(self, amount: float = 1) -> None:
        """Adds an amount."""
        self.call((), "inc", amount)

    def dec(self, amount: float = 1) -> None:
        """Subtracts an amount."""
        self.call((), "dec", amount)

    def set(self, value: float) -> None:
        """Sets the value."""
        self.call((), "set", value)

    def observe(self, amount: float) -> None:
        """Adds an observation."""
        self.call((), "observe", amount)


class _Labelled:
    """One combination of label values of a deferred metric."""

    def __init__(self, metric: DeferredMetric, values: tuple[str, ...]) -> None:
        self._metric = metric
        self._values = values

    def inc(self, amount: float = 1) -> None:
        self._metric.call(self._values, "inc", amount)

    def observe(self, amount: float) -> None:
        self._metric.call(self._values, "observe", amount)
