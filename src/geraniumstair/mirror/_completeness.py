"""Tells since when changes that arrive now may have been made.

A removal reaches a node late if the nodes that watch the store end together.
How long the removed endpoint still serves counts from the removal, so the node
has to know how old a change may be that it learns of.
"""

from collections.abc import Callable
import math


class Completeness:
    """When the mirror last held every change of the store.

    Args:
        clock: Returns a monotonic time in s.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._started_s = clock()
        self._complete_s = -math.inf
        self._failed_s = -math.inf

    def record_complete(self, age_s: float = 0.0) -> None:
        """Records that the mirror holds all changes made `age_s` ago."""
        self._complete_s = max(self._complete_s, self._clock() - age_s)

    def record_failure(self, age_s: float = 0.0) -> None:
        """Records that a watch of the store failed `age_s` ago."""
        self._failed_s = max(self._failed_s, self._clock() - age_s)

    @property
    def age_s(self) -> float:
        """Time since the mirror last held every change; infinite for never."""
        return self._clock() - self._complete_s

    @property
    def failure_age_s(self) -> float:
        """Time since the last known failure of a watch; infinite for none."""
        return self._clock() - self._failed_s

    @property
    def changes_since_s(self) -> float:
        """Earliest time at which a change that arrives now may have been made.

        If the store has failed since the mirror was complete, that is now: the
        store removes entries of live endpoints in an outage, and these return
        within a time that counts from its end.
        """
        if self._failed_s > self._complete_s:
            return self._clock()
        return max(self._started_s, self._complete_s)
