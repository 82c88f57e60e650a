"""The counts of all nodes, as the holder and its deputy receive them."""

from collections.abc import Mapping
import dataclasses

from geraniumstair.usage import _windows

# Windows that begin later than this after the site's time are not accepted.
# Clocks that are this far ahead are not in the majority.
MAX_AHEAD_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class NodeTotals:
    """Cumulative counts of one process in one window.

    Attributes:
        node_id: The node.
        process_id: Distinguishes the processes of the node.
        sequence: Number of the message; greater ones are newer.
        window: The window.
        counts: Requests by account.
    """

    node_id: str
    process_id: int
    sequence: int
    window: int
    counts: Mapping[str, int]


class SiteTotals:
    """The newest totals by window, node and process.

    Cumulative totals replace each other, so it does no harm if messages are
    lost, repeated or out of order.
    """

    def __init__(self, windows: _windows.Windows) -> None:
        self._windows = windows
        self._totals: dict[int, dict[tuple[str, int], NodeTotals]] = {}

    def apply(self, totals: NodeTotals, now_s: float) -> None:
        """Applies the totals of one process, unless newer ones are known.

        Args:
            totals: The totals.
            now_s: The site's time, in s since 1970.
        """
        oldest = self._windows.oldest_kept(now_s)
        newest = self._windows.find_window(now_s + MAX_AHEAD_S)
        for window in [w for w in self._totals if w < oldest]:
            del self._totals[window]
        if not oldest <= totals.window <= newest:
            return
        by_process = self._totals.setdefault(totals.window, {})
        key = (totals.node_id, totals.process_id)
        known = by_process.get(key)
        if known is None or known.sequence < totals.sequence:
            by_process[key] = totals

    def sum_counts(self, window: int) -> dict[str, int]:
        """Returns the requests of all nodes by account, without zeros."""
        counts: dict[str, int] = {}
        for totals in self._totals.get(window, {}).values():
            for account, count in totals.counts.items():
                counts[account] = counts.get(account, 0) + count
        return {a: n for a, n in sorted(counts.items()) if n > 0}

    def count_nodes(self, window: int) -> int:
        """Returns the number of nodes with totals of a window."""
        return len({node_id for node_id, _ in self._totals.get(window, {})})
