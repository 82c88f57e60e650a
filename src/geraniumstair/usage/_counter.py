"""Counts the requests of this node by window and account."""

from collections.abc import Callable
from collections.abc import Mapping

from geraniumstair.usage import _windows


class UsageCounter:
    """Cumulative counts of the last few windows.

    Args:
        windows: The windows of the site.
        site_clock: Returns the site's time, in s since 1970.

    Attributes:
        counted: Requests counted since the start, less those taken back.
    """

    def __init__(
        self, windows: _windows.Windows, site_clock: Callable[[], float]
    ) -> None:
        self._windows = windows
        self._site_clock = site_clock
        self._counts: dict[int, dict[str, int]] = {}
        self._versions: dict[int, int] = {}
        self.counted = 0

    def count(self, account: str, age_s: float) -> int:
        """Counts a request; returns its window.

        Args:
            account: The client account.
            age_s: Time since the first call that an endpoint accepted.
        """
        window = self._windows.find_window(self._site_clock() - age_s)
        self._change(account, window, 1)
        return window

    def take_back(self, account: str, window: int) -> bool:
        """Takes a request back; returns False if it is too late for that."""
        if not self._windows.is_changeable(window, self._site_clock()):
            return False
        self._change(account, window, -1)
        return True

    def _change(self, account: str, window: int, change: int) -> None:
        counts = self._counts.setdefault(window, {})
        counts[account] = counts.get(account, 0) + change
        self._versions[window] = self._versions.get(window, 0) + 1
        self.counted += change

    def list_versions(self) -> Mapping[int, int]:
        """Returns a number for each window that rises with its changes."""
        self._prune()
        return self._versions

    def get_counts(self, window: int) -> Mapping[str, int]:
        """Returns the counts of a window by account."""
        return self._counts.get(window, {})

    def _prune(self) -> None:
        oldest = self._windows.oldest_kept(self._site_clock())
        for window in [w for w in self._counts if w < oldest]:
            del self._counts[window]
            del self._versions[window]
