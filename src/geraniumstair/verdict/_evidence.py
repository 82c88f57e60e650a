"""Evidence about the two versions of a rollout, joined from all owners."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses

from geraniumstair._generated import messages

WINDOWS_KEPT_S = 120
# Keeps a handful of requests in one window from setting the old share.
PRIOR_REQUESTS = 5
# At a late step one window has few requests of the old version, so its share
# is taken from this many windows before and after it, too.
NEIGHBOUR_WINDOWS = 2


@dataclasses.dataclass(slots=True)
class Counts:
    """Completions and failures of one version.

    Attributes:
        completed: Requests that were answered.
        failed: Requests that failed.
        slow: Completions slower than the old version's 95th percentile.
    """

    completed: int = 0
    failed: int = 0
    slow: int = 0

    @property
    def total(self) -> int:
        """All requests, answered or failed."""
        return self.completed + self.failed

    @property
    def failed_share(self) -> float:
        """Failed share of all requests, 0 to 1."""
        return self.failed / self.total if self.total else 0.0

    @property
    def slow_share(self) -> float:
        """Slow share of the completed requests, 0 to 1."""
        return self.slow / self.completed if self.completed else 0.0

    def add(self, other: "Counts") -> None:
        """Adds other counts to these."""
        self.completed += other.completed
        self.failed += other.failed
        self.slow += other.slow


@dataclasses.dataclass(frozen=True, slots=True)
class Comparison:
    """The new version's counts and what the old version predicts for them.

    The old version's shares are taken window by window and weighted by the
    new version's requests. Without that, a slowdown of both versions in the
    middle of a rollout looks like a fault of the new one, which gets most of
    its requests later than the old one.

    Attributes:
        route: Route that the counts belong to; empty for all routes.
        new: Counts of the new version.
        old_slow: Slow requests of the old version over the same windows.
        shared_slow: What `old_slow` would be if the old version were as slow
            as the new one in each window.
        expected_failed_share: Failed share of the old version, 0 to 1.
        expected_slow_share: Slow share of the old version, 0 to 1.
    """

    route: str
    new: Counts
    old_slow: int
    shared_slow: float
    expected_failed_share: float
    expected_slow_share: float


@dataclasses.dataclass(frozen=True, slots=True)
class _CellKey:
    version: str
    route: str
    window_s: int


class EvidenceTable:
    """Joins the evidence of all owners about one rollout.

    Reports are numbered by their sender, so that a repeated one is counted
    once.
    """

    def __init__(self, old_version: str, new_version: str) -> None:
        self._old_version = old_version
        self._new_version = new_version
        self._cells: dict[_CellKey, Counts] = {}
        self._sequences: dict[str, int] = {}

    def add(self, report: messages.EvidenceReport) -> bool:
        """Adds a report.

        Args:
            report: Evidence of one owner; other rollouts' rows were removed.

        Returns:
            False if a report with this number was added before.
        """
        if report.sequence <= self._sequences.get(report.node_id, -1):
            return False
        self._sequences[report.node_id] = report.sequence
        for row in report.evidence:
            self.add_row(row)
        return True

    def add_row(self, row: messages.VersionEvidence) -> None:
        """Adds an owner's own counts."""
        key = _CellKey(row.version, row.route, row.window_s)
        cell = self._cells.setdefault(key, Counts())
        cell.add(Counts(row.completed, row.failed, row.slow))

    def forget_before(self, window_s: int) -> None:
        """Drops windows that started before the given time in s."""
        old = [key for key in self._cells if key.window_s < window_s]
        for key in old:
            del self._cells[key]

    def new_version_total(self) -> int:
        """Requests that the new version got in the windows kept."""
        return sum(
            cell.total
            for key, cell in self._cells.items()
            if key.version == self._new_version
        )

    def comparisons(self, since_s: int) -> Iterator[Comparison]:
        """Compares both versions over all routes, then route by route.

        The first comparison always covers all requests.

        Args:
            since_s: Start of the first window, in s since 1970.

        Yields:
            One comparison for each route with evidence of the new version.
        """
        routes = {
            key.route
            for key in self._cells
            if key.version == self._new_version and key.window_s >= since_s
        }
        # With a single route, its own comparison is the whole one.
        if len(routes) != 1:
            yield self._compare("", since_s)
        for route in sorted(routes):
            yield self._compare(route, since_s)

    def _compare(self, route: str, since_s: int) -> Comparison:
        old = self._windows(self._old_version, route)
        new = self._windows(self._new_version, route)
        pooled = _pool(old.values())
        new_counts = Counts()
        old_slow = 0
        shared_slow = 0.0
        expected_failed = 0.0
        expected_slow = 0.0
        for window_s, counts in new.items():
            if window_s < since_s:
                continue
            window_old = _around(old, window_s)
            new_counts.add(counts)
            same_window = old.get(window_s, Counts())
            old_slow += same_window.slow
            shared_slow += same_window.completed * counts.slow_share
            expected_failed += counts.total * _smoothed(
                window_old.failed, window_old.total, pooled.failed_share
            )
            expected_slow += counts.completed * _smoothed(
                window_old.slow, window_old.completed, pooled.slow_share
            )
        return Comparison(
            route=route,
            new=new_counts,
            old_slow=old_slow,
            shared_slow=shared_slow,
            expected_failed_share=expected_failed / max(new_counts.total, 1),
            expected_slow_share=expected_slow / max(new_counts.completed, 1),
        )

    def _windows(self, version: str, route: str) -> dict[int, Counts]:
        windows: dict[int, Counts] = {}
        for key, cell in self._cells.items():
            if key.version == version and route in ("", key.route):
                windows.setdefault(key.window_s, Counts()).add(cell)
        return windows


def _pool(windows: Iterable[Counts]) -> Counts:
    pooled = Counts()
    for counts in windows:
        pooled.add(counts)
    return pooled


def _around(windows: Mapping[int, Counts], window_s: int) -> Counts:
    first_s = window_s - NEIGHBOUR_WINDOWS
    last_s = window_s + NEIGHBOUR_WINDOWS
    return _pool(windows[w] for w in range(first_s, last_s + 1) if w in windows)


def _smoothed(count: int, total: int, prior_share: float) -> float:
    """Share in one window, drawn to the prior when the window is small."""
    return (count + prior_share * PRIOR_REQUESTS) / (total + PRIOR_REQUESTS)
