"""Arithmetic of the windows for which requests are counted and reported."""

import dataclasses
import math

# A report is sent this long after the end of its window, and after at most this
# share of the delay. A call is counted at most 1 s after it was sent, then come
# the interval of the totals (0.5 s) and one repeat. Later reports would be late
# if the holder is killed just before one: its lease (3 s), the successor's
# waiting time (3.3 s) and a delay of 0.5 s leave 3.2 s of 10 s.
REPORT_AFTER_S = 3.0
REPORT_AFTER_DELAY_SHARE = 0.4


@dataclasses.dataclass(frozen=True, slots=True)
class Windows:
    """The windows of a site; window 0 begins at the start of 1970.

    All times are the site's time, in s since 1970.

    Attributes:
        window_s: Length of a window.
        delay_s: Time after the end of a window at which its report is due.
    """

    window_s: float
    delay_s: float

    def find_window(self, time_s: float) -> int:
        """Returns the window that contains a time."""
        return math.floor(time_s / self.window_s)

    def start_s(self, window: int) -> float:
        """Returns the start of a window."""
        return window * self.window_s

    def end_s(self, window: int) -> float:
        """Returns the end of a window."""
        return (window + 1) * self.window_s

    def report_s(self, window: int) -> float:
        """Returns the time from which a window is reported."""
        after_s = min(REPORT_AFTER_S, REPORT_AFTER_DELAY_SHARE * self.delay_s)
        return self.end_s(window) + after_s

    def drop_s(self, window: int) -> float:
        """Returns the time from which a window is no longer reported."""
        return self.end_s(window) + self.delay_s

    def is_changeable(self, window: int, now_s: float) -> bool:
        """Returns whether counts of a window may still change its report."""
        return now_s < self.report_s(window)

    def oldest_reportable(self, now_s: float) -> int:
        """Returns the oldest window that may still be reported."""
        return math.floor((now_s - self.delay_s) / self.window_s)

    def oldest_kept(self, now_s: float) -> int:
        """Returns the oldest window whose counts are needed."""
        return self.oldest_reportable(now_s) - 1
