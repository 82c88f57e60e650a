"""Which nodes watch the store, so that not every node has to."""

from collections.abc import Callable
from collections.abc import Iterable

import xxhash

# Enough that killing two nodes at once leaves one watching.
WATCHERS = 3
# Watching nodes report each half second; two lost reports are tolerated. The
# rest of the 3 s within which a change must be in force is for catching up.
SILENCE_S = 1.4


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
        self._members: frozenset[str] = frozenset([node_id])

    def set_members(self, members: frozenset[str]) -> None:
        """Sets the nodes that are taken to be alive."""
        self._members = members | {self._node_id}

    def heard(self) -> None:
        """Notes that a peer's watch of the store works."""
        self._heard_s = self._clock()

    @property
    def informed(self) -> bool:
        """True if a peer whose watch works is heard."""
        return self._clock() - self._heard_s <= SILENCE_S

    @property
    def required(self) -> bool:
        """True if this node is one of the first, or no watcher is heard."""
        first = rank(self._members)[:WATCHERS]
        return self._node_id in first or not self.informed
