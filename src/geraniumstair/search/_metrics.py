"""Metrics of the entry role. Result codes are the only label values."""

from geraniumstair import observe
from geraniumstair._generated import codes
from geraniumstair.search import _answer

_COVERAGE_BUCKETS_PCT = (0, 10, 25, 50, 75, 90, 95, 99, 99.9, 100)


class SearchMetrics:
    """Latency, coverage, refusals and searches in progress.

    Args:
        registry: Registry of the metrics; None creates one.
    """

    def __init__(self, registry: observe.MetricsRegistry | None = None) -> None:
        registry = registry or observe.MetricsRegistry()
        self.registry = registry.registry
        self._latency_s = registry.histogram(
            "search",
            "latency_seconds",
            "Time of searches that gave results.",
        )
        self._coverage_pct = registry.histogram(
            "search",
            "coverage_pct",
            "Coverage of searches that were not refused.",
            buckets=_COVERAGE_BUCKETS_PCT,
        )
        self._codes = registry.counter(
            "search",
            "results",
            "Searches by result code.",
            ["code"],
        )
        self._restarts = registry.counter(
            "search",
            "restarts",
            "Searches restarted on another snapshot or partition map.",
        )
        self.in_progress = registry.gauge(
            "search",
            "in_progress",
            "Searches in progress.",
        )

    def observe_answer(self, answer: _answer.SearchAnswer) -> None:
        """Counts an answer and observes its coverage and latency."""
        self.count_result(answer.code)
        if answer.not_run:
            return
        self._coverage_pct.observe(answer.coverage.coverage_pct)
        if answer.code in (codes.Code.OK, codes.Code.PARTIAL):
            self._latency_s.observe(answer.elapsed_ms / 1000)

    def count_result(self, code: codes.Code) -> None:
        """Counts a result code, without coverage and latency."""
        self._codes.labels(code.name).inc()

    def count_restart(self) -> None:
        """Counts a search that needs a second attempt."""
        self._restarts.inc()
