"""Selects the totals that a node sends, and to which nodes."""

from collections.abc import Sequence

from geraniumstair._generated import messages
from geraniumstair.usage import _counter
from geraniumstair.usage import _windows

# Totals are at most this far apart. A killed node loses what it has not sent.
SEND_INTERVAL_S = 0.5
# The totals of a window are sent once more this long after its end, in case a
# message was lost. All calls of the window have been counted by then.
REPEAT_AFTER_S = 1.6


class TotalsSender:
    """Remembers what the receivers of the totals have been sent.

    Args:
        counter: The counts of this node.
        windows: The windows of the site.
        process_id: Distinguishes this process from others of the node.
    """

    def __init__(
        self,
        counter: _counter.UsageCounter,
        windows: _windows.Windows,
        process_id: int,
    ) -> None:
        self._counter = counter
        self._windows = windows
        self._process_id = process_id
        self._sequence = 0
        self._term = 0
        # By receiver and window, the version that was sent, and whether it was
        # sent after the window's end.
        self._sent: dict[str, dict[int, tuple[int, bool]]] = {}

    def set_receivers(self, node_ids: Sequence[str], term: int) -> None:
        """Sets the receivers; a new one gets all recent windows.

        Args:
            node_ids: The holder and its deputy.
            term: Fencing token of the holder. All recent windows are sent again
                if it changes, because the receivers may have restarted.
        """
        if term != self._term:
            self._term = term
            self._sent.clear()
        self._sent = {n: self._sent.get(n, {}) for n in node_ids}

    def collect(
        self, now_s: float, recorded_window: int
    ) -> dict[str, messages.UsageTotals]:
        """Returns the messages that are due, by receiver.

        Args:
            now_s: The site's time, in s since 1970.
            recorded_window: Newest window that is known to be recorded.
        """
        versions = self._counter.list_versions()
        due: dict[str, messages.UsageTotals] = {}
        for node_id, sent in self._sent.items():
            changed = []
            for window, version in versions.items():
                late = now_s >= self._windows.end_s(window) + REPEAT_AFTER_S
                # Clocks that differ must not cause a further repeat.
                late = late or sent.get(window, (0, False))[1]
                if sent.get(window) != (version, late):
                    sent[window] = (version, late)
                    changed.append(self._encode(window))
            for window in [w for w in sent if w not in versions]:
                del sent[window]
            if changed:
                self._sequence += 1
                due[node_id] = messages.UsageTotals(
                    process_id=self._process_id,
                    sequence=self._sequence,
                    windows=changed,
                    recorded_window=recorded_window,
                )
        return due

    def mark_lost(self, node_id: str) -> None:
        """Records that the last message to a receiver was not sent."""
        if node_id in self._sent:
            self._sent[node_id] = {}

    def _encode(self, window: int) -> messages.WindowCounts:
        counts = self._counter.get_counts(window)
        return messages.WindowCounts(
            window=window, accounts=list(counts), counts=list(counts.values())
        )
