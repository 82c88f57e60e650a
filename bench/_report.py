"""Results of a load run."""

import collections
from collections.abc import Sequence

from hdrh import histogram
import msgspec

_MIN_LATENCY_US = 1
_MAX_LATENCY_US = 120_000_000
_SIGNIFICANT_DIGITS = 3


class LoadCounts(msgspec.Struct, kw_only=True):
    """Counts of a load run.

    The counts of several workers are added up; of `worst_start_lag_ms`, the
    maximum is taken.

    Attributes:
        sent: Searches sent.
        answered: Answers with status 200.
        full: Answers in time with full coverage.
        refused: Searches refused as not run, or for which no node accepted a
            connection.
        failed: Searches that got other replies than status 200 or, with the
            naive sender, no answer of some shard.
        cut: Searches whose connection broke after it was opened.
        timed_out: Searches without a reply before the timeout.
        foreign: Answers with hits of another request or snapshot.
        incomplete: Answers without all hits of a shard that is not named as
            missing.
        coverage_false: Answers that report a wrong coverage.
        coverage_sum_pct: Sum of the true coverages; 0 for a failed search.
        worst_start_lag_ms: Longest time that the generator sent a search late.
        not_full: Replies that are not full answers, by node and result name.
    """

    sent: int = 0
    answered: int = 0
    full: int = 0
    refused: int = 0
    failed: int = 0
    cut: int = 0
    timed_out: int = 0
    foreign: int = 0
    incomplete: int = 0
    coverage_false: int = 0
    coverage_sum_pct: float = 0.0
    worst_start_lag_ms: float = 0.0
    not_full: dict[str, int] = {}

    def count_not_full(self, node_id: str, result_name: str) -> None:
        """Counts a reply that is not a full answer."""
        key = f"{node_id} {result_name}".strip()
        self.not_full[key] = self.not_full.get(key, 0) + 1


class WorkerReport(msgspec.Struct, kw_only=True):
    """Output of one generator process.

    Attributes:
        counts: Counts of this worker.
        latencies: Encoded histogram of the latencies of answers in µs.
    """

    counts: LoadCounts
    latencies: str


class LoadReport:
    """Counts and latencies of answers, measured from scheduled arrivals."""

    def __init__(self) -> None:
        self.counts = LoadCounts()
        self._latencies = histogram.HdrHistogram(
            _MIN_LATENCY_US, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS
        )

    def record_latency(self, latency_s: float) -> None:
        """Adds the latency of one answer."""
        self._latencies.record_value(max(1, round(1e6 * latency_s)))

    def percentile_ms(self, percentile: float) -> float:
        """Returns a percentile of the latencies; 0 if there are none."""
        value_us = self._latencies.get_value_at_percentile(percentile)
        return round(value_us / 1000, 2)

    @property
    def coverage_mean_pct(self) -> float:
        """Mean true coverage over all searches sent."""
        counts = self.counts
        return round(counts.coverage_sum_pct / max(1, counts.sent), 3)

    def to_worker_report(self) -> WorkerReport:
        """Returns the encoded form for the parent process."""
        return WorkerReport(
            counts=self.counts, latencies=self._latencies.encode().decode()
        )

    @classmethod
    def merge(cls, reports: Sequence[WorkerReport]) -> "LoadReport":
        """Returns the sum of the workers' reports."""
        merged = cls()
        for report in reports:
            merged._latencies.decode_and_add(report.latencies.encode())
            _add_counts(merged.counts, report.counts)
        return merged


def _add_counts(total: LoadCounts, counts: LoadCounts) -> None:
    worst_ms = max(total.worst_start_lag_ms, counts.worst_start_lag_ms)
    not_full = collections.Counter(total.not_full) + collections.Counter(
        counts.not_full
    )
    for name in LoadCounts.__struct_fields__:
        if name != "not_full":
            setattr(total, name, getattr(total, name) + getattr(counts, name))
    total.worst_start_lag_ms = worst_ms
    total.not_full = dict(not_full)
