"""Results of both versions of a rollout, merged from all reporting nodes."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses

from geraniumstair._generated import messages

WINDOW_RETENTION_S = 120
# The old version's share in a window is smoothed with this number of
# requests at its overall share, so that a few requests in one window do not
# determine the share.
PRIOR_WEIGHT_REQUESTS = 5
# At a late step the old version gets few requests in a window, so its share
# is computed over this number of windows on each side as well.
NEIGHBOUR_WINDOWS = 2


@dataclasses.dataclass(slots=True)
class Counts:
    """Completed and failed requests of one version.

    Attributes:
        completed: Requests that received an answer.
        failed: Requests that failed.
        slow: Completed requests slower than the old version's 95th percentile.
    """

    completed: int = 0
    failed: int = 0
    slow: int = 0

    @property
    def total(self) -> int:
        """Number of completed and failed requests."""
        return self.completed + self.failed

    @property
    def failed_share(self) -> float:
        """Failed fraction of all requests, 0 to 1."""
        return self.failed / self.total if self.total else 0.0

    @property
    def slow_share(self) -> float:
        """Slow fraction of the completed requests, 0 to 1."""
        return self.slow / self.completed if self.completed else 0.0

    def add(self, other: "Counts") -> None:
        """Adds other counts to these counts in place."""
        self.completed += other.completed
        self.failed += other.failed
        self.slow += other.slow


@dataclasses.dataclass(frozen=True, slots=True)
class Comparison:
    """The new version's counts and the shares expected from the old version.

    The expected shares are those of the old version in each window, weighted
    by the new version's requests in that window. Unweighted shares would
    attribute a slowdown of both versions in the middle of a rollout to the
    new version, which gets most of its requests later than the old one.

    Attributes:
        route: Route that the counts belong to; empty for all routes.
        new: Counts of the new version.
        old_slow: Slow requests of the old version over the same windows.
        old_slow_at_new_share: Value that `old_slow` would have if the old
            version had the new version's slow share in each window.
        expected_failed_share: Weighted failed share of the old version, 0 to
            1.
        expected_slow_share: Weighted slow share of the old version, 0 to 1.
    """

    route: str
    new: Counts
    old_slow: int
    old_slow_at_new_share: float
    expected_failed_share: float
    expected_slow_share: float


@dataclasses.dataclass(frozen=True, slots=True)
class _WindowKey:
    version: str
    route: str
    window_s: int


class EvidenceTable:
    """Counts per version, route and one-second window of one rollout.

    The counts are the sums over the reports of all nodes. Each node numbers
    its reports, so that a duplicate is counted once.
    """

    def __init__(self, old_version: str, new_version: str) -> None:
        self._old_version = old_version
        self._new_version = new_version
        self._counts: dict[_WindowKey, Counts] = {}
        self._last_sequences: dict[str, int] = {}

    def add_report(self, report: messages.EvidenceReport) -> bool:
        """Adds the counts of a report unless it is a duplicate.

        Args:
            report: Report of one node, with rows of this rollout only.

        Returns:
            False if the node's report with this sequence number or a later
            one was added before.
        """
        if report.sequence <= self._last_sequences.get(report.node_id, -1):
            return False
        self._last_sequences[report.node_id] = report.sequence
        for row in report.evidence:
            self.add_row(row)
        return True

    def add_row(self, row: messages.VersionEvidence) -> None:
        """Adds the counts of one row."""
        key = _WindowKey(row.version, row.route, row.window_s)
        counts = self._counts.setdefault(key, Counts())
        counts.add(Counts(row.completed, row.failed, row.slow))

    def drop_windows_before(self, window_s: int) -> None:
        """Drops windows that started before a time in s since 1970."""
        old = [key for key in self._counts if key.window_s < window_s]
        for key in old:
            del self._counts[key]

    def count_new_version_requests(self) -> int:
        """Returns the new version's requests in all retained windows."""
        return sum(
            counts.total
            for key, counts in self._counts.items()
            if key.version == self._new_version
        )

    def compare_versions(self, since_s: int) -> Iterator[Comparison]:
        """Compares both versions over all routes, then on each route.

        The first comparison always covers all requests.

        Args:
            since_s: Start of the first window, in s since 1970.

        Yields:
            The comparison over all routes, then one for each route on which
            the new version has results. With a single route, only the
            comparison on that route.
        """
        routes = {
            key.route
            for key in self._counts
            if key.version == self._new_version and key.window_s >= since_s
        }
        # With a single route, its comparison covers all requests.
        if len(routes) != 1:
            yield self._compare_on_route("", since_s)
        for route in sorted(routes):
            yield self._compare_on_route(route, since_s)

    def _compare_on_route(self, route: str, since_s: int) -> Comparison:
        old = self._group_counts_by_window(self._old_version, route)
        new = self._group_counts_by_window(self._new_version, route)
        pooled = _sum_counts(old.values())
        new_counts = Counts()
        old_slow = 0
        old_slow_at_new_share = 0.0
        expected_failed = 0.0
        expected_slow = 0.0
        for window_s, counts in new.items():
            if window_s < since_s:
                continue
            nearby_old = _sum_neighbour_windows(old, window_s)
            new_counts.add(counts)
            same_window = old.get(window_s, Counts())
            old_slow += same_window.slow
            old_slow_at_new_share += same_window.completed * counts.slow_share
            expected_failed += counts.total * _compute_smoothed_share(
                nearby_old.failed, nearby_old.total, pooled.failed_share
            )
            expected_slow += counts.completed * _compute_smoothed_share(
                nearby_old.slow, nearby_old.completed, pooled.slow_share
            )
        return Comparison(
            route=route,
            new=new_counts,
            old_slow=old_slow,
            old_slow_at_new_share=old_slow_at_new_share,
            expected_failed_share=expected_failed / max(new_counts.total, 1),
            expected_slow_share=expected_slow / max(new_counts.completed, 1),
        )

    def _group_counts_by_window(
        self, version: str, route: str
    ) -> dict[int, Counts]:
        windows: dict[int, Counts] = {}
        for key, counts in self._counts.items():
            if key.version == version and route in ("", key.route):
                windows.setdefault(key.window_s, Counts()).add(counts)
        return windows


def _sum_counts(windows: Iterable[Counts]) -> Counts:
    pooled = Counts()
    for counts in windows:
        pooled.add(counts)
    return pooled


def _sum_neighbour_windows(
    windows: Mapping[int, Counts], window_s: int
) -> Counts:
    first_s = window_s - NEIGHBOUR_WINDOWS
    last_s = window_s + NEIGHBOUR_WINDOWS
    return _sum_counts(
        windows[w] for w in range(first_s, last_s + 1) if w in windows
    )


def _compute_smoothed_share(
    count: int, total: int, prior_share: float
) -> float:
    """Returns the share in a window, shrunk towards the prior share.

    The fewer requests the window has, the closer is the result to the prior.
    """
    return (count + prior_share * PRIOR_WEIGHT_REQUESTS) / (
        total + PRIOR_WEIGHT_REQUESTS
    )
