"""Selects the few nodes that watch the store."""

from collections.abc import Callable
from collections.abc import Iterable

import xxhash

# At least one watcher is left if two nodes are killed at once.
WATCHER_COUNT = 3
_MAX_DOUBLINGS = 20
# More nodes start to watch when no watch has been answered for this time. The
# store answers a watch at least every 1.5 s, and peers report the age of the
# last answer every half second. A change must be in force within 3 s; the
# remaining time is for catching up.
TAKEOVER_TIMEOUT_S = 2.2
# On larger sites the reports take several hops of up to half a second each, and
# a change must be in force within 5 s.
SMALL_SITE_NODES = 10
LARGE_SITE_TAKEOVER_TIMEOUT_S = 3.8
# A node that has taken over keeps watching for at least this time. Otherwise it
# would stop at the first answer to its watch, and later changes would be
# delayed until the next takeover.
MIN_WATCH_S = 30.0


def rank_nodes(names: Iterable[str]) -> list[str]:
    """Orders node names by a hash, the same on all nodes."""
    return sorted(
        names, key=lambda name: (xxhash.xxh64_intdigest(name.encode()), name)
    )


class WatcherSelection:
    """Decides whether this node is one of those that watch the store.

    The watchers are the first nodes in an order that is the same on all nodes.

    Args:
        node_id: This node.
        clock: Returns a monotonic time in s.
    """

    def __init__(self, node_id: str, clock: Callable[[], float]) -> None:
        self._node_id = node_id
        self._clock = clock
        # A node that has just started has had no time to hear of a watch, so it
        # must not conclude that nobody watches.
        self._watch_answered_s = clock()
        self._watch_until_s = 0.0
        self._members: frozenset[str] = frozenset([node_id])

    def set_members(self, members: frozenset[str]) -> None:
        """Sets the nodes that are taken to be alive."""
        self._members = members | {self._node_id}

    def record_watch_answer(self, age_s: float) -> None:
        """Records that a peer's watch was answered `age_s` ago."""
        self._watch_answered_s = max(
            self._watch_answered_s, self._clock() - age_s
        )

    @property
    def watch_age_s(self) -> float:
        """Time since the last known answer to a watch of another node."""
        return self._clock() - self._watch_answered_s

    @property
    def _takeover_timeout_s(self) -> float:
        is_small_site = len(self._members) <= SMALL_SITE_NODES
        return (
            TAKEOVER_TIMEOUT_S
            if is_small_site
            else LARGE_SITE_TAKEOVER_TIMEOUT_S
        )

    @property
    def has_live_watcher(self) -> bool:
        """True if another node's watch was answered recently."""
        return self.watch_age_s <= self._takeover_timeout_s

    @property
    def watch_stagger(self) -> float:
        """Share of a watch's time by which this node's watches are offset.

        It differs between the nodes that watch, and is more than 0.
        """
        rank = rank_nodes(self._members).index(self._node_id)
        return (rank % WATCHER_COUNT + 1) / WATCHER_COUNT

    @property
    def is_watcher(self) -> bool:
        """True if this node has to watch; a takeover lasts `MIN_WATCH_S`."""
        # The number of watchers doubles with each timeout that passes without
        # an answer to any watch; the next nodes in order are added.
        doublings = min(
            _MAX_DOUBLINGS, int(self.watch_age_s / self._takeover_timeout_s)
        )
        ranked = rank_nodes(self._members)
        if self._node_id in ranked[:WATCHER_COUNT]:
            return True
        now_s = self._clock()
        if self._node_id in ranked[: WATCHER_COUNT * 2**doublings]:
            self._watch_until_s = now_s + MIN_WATCH_S
        return now_s < self._watch_until_s
