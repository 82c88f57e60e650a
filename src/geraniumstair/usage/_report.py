"""Reports of windows, and the order in which they are recorded and sent.

The holder records a window and its counts in the store before it sends them.
So a successor repeats the same report, and no window is reported twice with
different counts.
"""

import collections
from collections.abc import Mapping
import dataclasses
import enum
import logging

import msgspec

from geraniumstair import observe
from geraniumstair.usage import _windows

_LOG = logging.getLogger(__name__)
# Windows without a confirmed report that the state dump lists.
MAX_MISSED = 20


class Report(msgspec.Struct, frozen=True):
    """The counts of one window, as the holder recorded them.

    Attributes:
        window: The window.
        counts: Requests by account.
    """

    window: int
    counts: dict[str, int]


def encode_report(report: Report) -> bytes:
    """Returns the value of the record's key."""
    return msgspec.json.encode(report)


def decode_report(value: bytes) -> Report | None:
    """Decodes the value of the record's key; None if it is not valid."""
    try:
        return msgspec.json.decode(value, type=Report)
    except msgspec.MsgspecError:
        return None


class Missing(enum.Enum):
    """Why the API has not confirmed the report of a window."""

    NOT_RECORDED = "not_recorded"
    """It was not recorded in time, so it was not sent."""
    NOT_CONFIRMED = "not_confirmed"
    """The API confirmed no attempt in time; one may have arrived."""
    NOT_REPEATED = "not_repeated"
    """A former holder may have sent it; it was too late to repeat it."""
    UNKNOWN = "unknown"
    """No node reported counts, and this one ran for part of the window."""


@dataclasses.dataclass(frozen=True, slots=True)
class MissedWindow:
    """A window without a confirmed report.

    Attributes:
        window: The window.
        reason: Why it has none.
        counts: Requests by account, as far as this node knows them.
    """

    window: int
    reason: Missing
    counts: Mapping[str, int]


class ReportQueue:
    """Decides which window is recorded or sent next; windows never go back.

    Args:
        windows: The windows of the site.

    Attributes:
        newest: The newest report that this node knows to be recorded.
        confirmed: The newest window whose report the API confirmed to this
            node; None before the first one.
        missed: The last windows without a confirmed report.
    """

    def __init__(self, windows: _windows.Windows) -> None:
        self._windows = windows
        self._done = True
        # Newest window that was recorded or given up.
        self._floor: int | None = None
        self.newest: Report | None = None
        self.confirmed: int | None = None
        self.missed: collections.deque[MissedWindow] = collections.deque(
            maxlen=MAX_MISSED
        )

    def observe(self, report: Report) -> None:
        """Applies a record; one that is not newer changes nothing."""
        if self.newest is None or report.window > self.newest.window:
            self.newest = report
            self._done = False
            self._raise_floor(report.window)

    def find_unsent(self) -> Report | None:
        """Returns the recorded report that has to be sent, if any."""
        return None if self._done else self.newest

    def find_expired(self, now_s: float) -> list[int]:
        """Returns windows that have become too old to be recorded.

        Args:
            now_s: The site's time, in s since 1970.
        """
        if self._floor is None:
            return []
        oldest = self._windows.oldest_reportable(now_s)
        first = max(self._floor + 1, oldest - MAX_MISSED)
        return list(range(first, oldest))

    def find_next(self, now_s: float) -> int | None:
        """Returns the window that has to be recorded now, if any.

        Args:
            now_s: The site's time, in s since 1970.
        """
        window = self._windows.oldest_reportable(now_s)
        if self._floor is not None:
            window = max(window, self._floor + 1)
        return window if now_s >= self._windows.report_s(window) else None

    def is_expired(self, report: Report, now_s: float) -> bool:
        """Returns whether a report is too old to be sent."""
        return now_s >= self._windows.drop_s(report.window)

    def confirm(self, report: Report) -> None:
        """Records that the API confirmed a report."""
        self.confirmed = report.window
        if self.newest == report:
            self._done = True

    def give_up(
        self, window: int, reason: Missing, counts: Mapping[str, int]
    ) -> None:
        """Records that a window gets no confirmed report, and logs it.

        Args:
            window: The window.
            reason: Why.
            counts: Requests by account, as far as they are known.
        """
        self.missed.append(MissedWindow(window, reason, counts))
        _LOG.warning(
            "usage: a window has no confirmed report",
            extra=observe.fields(
                window=window,
                reason=reason.value,
                requests=sum(counts.values()),
                counts=dict(counts),
            ),
        )
        self._raise_floor(window)
        if self.newest is not None and self.newest.window == window:
            self._done = True

    def skip(self, window: int) -> bool:
        """Skips a window of which nothing is known.

        Returns:
            False if a window was recorded before, so this one is missing.
            Otherwise the site has just begun to count.
        """
        if self.newest is None:
            self._raise_floor(window)
        return self.newest is None

    def exclude_through(self, window: int, now_s: float) -> None:
        """Excludes windows that another node knows to be recorded.

        Args:
            window: The newest of these windows; negative if none is known.
            now_s: The site's time, in s since 1970.
        """
        if 0 <= window <= self._windows.find_window(now_s):
            self._raise_floor(window)

    @property
    def recorded_window(self) -> int:
        """Newest window that this node knows to be recorded; -1 if unknown."""
        return self.newest.window if self.newest is not None else -1

    def _raise_floor(self, window: int) -> None:
        if self._floor is None or window > self._floor:
            self._floor = window
