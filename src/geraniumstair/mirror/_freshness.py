"""Tells up to when the mirror certainly held every change of the store.

`Completeness` answers a similar question for the age of changes that arrive,
and may trust the time at which a message arrived. Revocation of keys may not:
data that was held up in a cut arrives as if it were new. Here each time is that
of an event on this node, or a lower bound that this node can prove.
"""

from collections.abc import Callable
import enum
import math


class FreshnessSource(enum.Enum):
    """How a node learned that its mirror was complete."""

    NONE = "none"
    READ = "read of the store"
    WATCH = "watch of the store"
    CONFIGURATION = "read of the configuration"
    PEER = "peer"


class Freshness:
    """The latest time at which the mirror held all that the store confirmed.

    It concerns the operator's configuration: a read of its key alone counts,
    too.

    Args:
        clock: Returns a time in s that also counts while the machine is
            suspended.
        is_needed: Returns whether decisions depend on the freshness now; None
            if none ever do.

    Attributes:
        source: How the latest time was learned.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        is_needed: Callable[[], bool] | None = None,
    ) -> None:
        self._clock = clock
        self._is_needed = is_needed
        self._fresh_s = -math.inf
        self.source = FreshnessSource.NONE

    def now_s(self) -> float:
        """Returns the time on the clock of the freshness."""
        return self._clock()

    @property
    def is_needed(self) -> bool:
        """True if decisions depend on the freshness now."""
        return self._is_needed is not None and self._is_needed()

    @property
    def fresh_s(self) -> float:
        """The latest time; minus infinity if there is none."""
        return self._fresh_s

    @property
    def age_s(self) -> float:
        """Time since then; infinite if there is none."""
        return self._clock() - self._fresh_s

    def record(self, source: FreshnessSource, at_s: float) -> None:
        """Records that the mirror holds all changes confirmed at `at_s`."""
        if at_s > self._fresh_s:
            self._fresh_s = at_s
            self.source = source

    def record_watch(
        self, sent_s: float, wait_s: float, *, empty: bool
    ) -> None:
        """Records an answered watch, whose changes have been applied.

        The store answers a watch at the first change. Without changes it waited
        for the whole time, unless the answer came earlier than that.

        Args:
            sent_s: When the call was sent.
            wait_s: How long the store was asked to wait.
            empty: The store returned no changes.
        """
        waited = empty and self._clock() - sent_s >= wait_s
        at_s = sent_s + wait_s if waited else sent_s
        self.record(FreshnessSource.WATCH, at_s)
