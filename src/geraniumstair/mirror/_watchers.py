"""Which nodes watch the store, so that not every node has to."""

from collections.abc import Callable
from collections.abc import Iterable

import xxhash

# Enough that killing two nodes at once leaves one watching.
WATCHERS = 3
_MAX_DOUBLINGS = 20
# The store answers a watch each 1.5 s at least, which is reported each half
# second. The rest of the 3 s within which a change must be in force is for
# catching up.
SILENCE_S = 2.2
# On larger sites the reports take several hops of up to half a second each, and
# a change must be in force within 5 s.
SMALL_SITE_NODES = 10
LARGE_SILENCE_S = 3.8
# A node that took over goes on for this time. Otherwise the first answer would
# end its duty, and later changes would wait for the next silence.
HOLD_S = 30.0


def rank(names: Iterable[str]) -> list[str]:
    """Orders node names by a hash, the same on all nodes."""
    return sorted(
        names, key=lambda name: (xxhash.xxh64_intdigest(name.encode()), name)
    )


class WatchDuty:
    """Decides whether this node watches the store.

    Args:
        node_id: This node.
        clock: Returns a monotonic time in s.
    """

    def __init__(self, node_id: str, clock: Callable[[], float]) -> None:
        self._node_id = node_id
        self._clock = clock
        self._heard_s = -SILENCE_S
        self._hold_until_s = 0.0
        self._members: frozenset[str] = frozenset([node_id])

    def set_members(self, members: frozenset[str]) -> None:
        """Sets the nodes that are taken to be alive."""
        self._members = members | {self._node_id}

    def heard(self, age_s: float) -> None:
        """Notes that some node's watch of the store worked a while ago."""
        self._heard_s = max(self._heard_s, self._clock() - age_s)

    @property
    def heard_age_s(self) -> float:
        """Time since some other node's watch is known to have worked."""
        return self._clock() - self._heard_s

    @property
    def _silence_s(self) -> float:
        small = len(self._members) <= SMALL_SITE_NODES
        return SILENCE_S if small else LARGE_SILENCE_S

    @property
    def informed(self) -> bool:
        """True if a peer whose watch works is heard."""
        return self.heard_age_s <= self._silence_s

    @property
    def required(self) -> bool:
        """True if this node is one of those that have to watch."""
        # The next nodes take over from the first ones, and twice as many
        # each time that these don't work either.
        doublings = min(_MAX_DOUBLINGS, int(self.heard_age_s / self._silence_s))
        ranked = rank(self._members)
        if self._node_id in ranked[:WATCHERS]:
            return True
        now_s = self._clock()
        if self._node_id in ranked[: WATCHERS * 2**doublings]:
            self._hold_until_s = now_s + HOLD_S
        return now_s < self._hold_until_s
