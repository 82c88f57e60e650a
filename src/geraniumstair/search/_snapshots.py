"""Cache of the shards' snapshot lists at the entry node."""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence

import trio

from geraniumstair import configuration


def choose_snapshot(
    lists: Mapping[configuration.ShardKey, Sequence[int]],
) -> int | None:
    """Returns the newest snapshot among those that most shards can serve.

    A snapshot that every listed shard can serve is therefore preferred.

    Args:
        lists: Snapshots by shard; shards with an unknown list are left out.

    Returns:
        The snapshot, or None if all lists are empty.
    """
    counts: collections.Counter[int] = collections.Counter()
    for snapshots in lists.values():
        counts.update(set(snapshots))
    if not counts:
        return None
    return max(counts, key=lambda snapshot: (counts[snapshot], snapshot))


class SnapshotCache:
    """Snapshot lists by shard, as last reported by the owners."""

    def __init__(self) -> None:
        self._lists: dict[configuration.ShardKey, tuple[int, ...]] = {}
        self._reported_or_queried_s: dict[configuration.ShardKey, float] = {}

    def update(
        self, key: configuration.ShardKey, snapshots: Sequence[int]
    ) -> None:
        """Replaces a shard's list; an empty list carries no information."""
        if not snapshots:
            return
        self._lists[key] = tuple(snapshots)
        self._reported_or_queried_s[key] = trio.current_time()

    def remove(self, key: configuration.ShardKey, snapshot: int) -> None:
        """Removes a snapshot that a shard refused to serve."""
        remaining = tuple(s for s in self._lists.get(key, ()) if s != snapshot)
        if remaining:
            self._lists[key] = remaining
            return
        self._lists.pop(key, None)
        self._reported_or_queried_s.pop(key, None)

    def retain_only(self, keys: Iterable[configuration.ShardKey]) -> None:
        """Evicts all shards but the given ones."""
        for key in set(self._reported_or_queried_s).difference(keys):
            self._lists.pop(key, None)
            del self._reported_or_queried_s[key]

    def get_lists(
        self, keys: Iterable[configuration.ShardKey]
    ) -> dict[configuration.ShardKey, Sequence[int]]:
        """Returns the known lists of the given shards."""
        return {key: self._lists[key] for key in keys if key in self._lists}

    def mark_stale_queried(
        self, keys: Iterable[configuration.ShardKey], before_s: float
    ) -> list[configuration.ShardKey]:
        """Returns the shards whose list should be queried again.

        The returned shards count as queried now.

        Args:
            keys: The shards to check.
            before_s: Shards that reported or were queried at this clock time
                or later are left out.
        """
        stale = []
        for key in keys:
            if self._reported_or_queried_s.get(key, float("-inf")) < before_s:
                stale.append(key)
                self._reported_or_queried_s[key] = trio.current_time()
        return stale
