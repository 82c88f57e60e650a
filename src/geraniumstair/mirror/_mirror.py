"""The local copy of the store's items, versioned by the store's revisions.

Changes reach a node from the store and from several peers, in any order and
more than once. The value with the greater revision is the newer one. The
position of a mirror is the revision up to which it holds every change.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses

import trio

# Deleted keys are kept as tombstones, so that an older value from a peer does
# not restore them. The limit is far above the number of endpoints and nodes.
MAX_TOMBSTONES = 20_000
# Spans of revisions with unknown deletions; beyond this number, the first two
# are joined.
MAX_UNKNOWN_SPANS = 16


@dataclasses.dataclass(frozen=True, slots=True)
class MirrorItem:
    """One key at one revision; a value of None marks a deleted key."""

    key: str
    value: bytes | None
    revision: int


Subscriber = Callable[[Sequence[MirrorItem]], None]


class Mirror:
    """Items by key, and the position up to which they are complete.

    Attributes:
        position: Every change up to this revision of the store is held; 0
            before the first complete read.
        newest_revision: Greatest revision at which an item is known to have
            changed, or may have been deleted.
        complete: Set after the first complete read.
    """

    def __init__(self) -> None:
        self.position = 0
        self.newest_revision = 0
        self.complete = trio.Event()
        self._items: dict[str, MirrorItem] = {}
        self._subscribers: list[Subscriber] = []
        # Pairs of revisions between which keys may have been deleted that this
        # mirror never held, or whose tombstones it has dropped.
        self._unknown_spans: list[tuple[int, int]] = []

    def subscribe(self, subscriber: Subscriber) -> None:
        """Registers a function that is called with the newly changed items."""
        self._subscribers.append(subscriber)

    def apply(self, items: Iterable[MirrorItem], position: int) -> bool:
        """Applies changes that follow the mirror's position.

        Args:
            items: All changes after the mirror's position, up to `position`;
                older ones among them are ignored. A key that this mirror does
                not hold may have been deleted since such a change, although no
                tombstone says so: a complete read returns none.
            position: Revision up to which they are complete.

        Returns:
            True if the position has advanced.
        """
        complete_until = self.position
        advanced = position > complete_until
        self.position = max(complete_until, position)
        self._merge(i for i in items if i.revision > complete_until)
        if self.position:
            self.complete.set()
        return advanced

    def replace(self, items: Iterable[MirrorItem], position: int) -> bool:
        """Replaces the contents by those of a complete read of the store.

        Args:
            items: All items that the read returned. They may come from the
                store or from the mirror of another node.
            position: Revision at which the read began. Keys that are not
                among the items and have not changed since are deleted.

        Returns:
            True if the position has advanced.
        """
        if position <= self.position:
            return False
        present_items = [item for item in items if item.value is not None]
        present_keys = {item.key for item in present_items}
        deleted = [
            MirrorItem(key, None, position)
            for key, item in self._items.items()
            if key not in present_keys
            and item.value is not None
            and item.revision < position
        ]
        self._add_unknown_span(self.position, position)
        self.newest_revision = max(self.newest_revision, position)
        return self.apply([*present_items, *deleted], position)

    def get(self, key: str) -> MirrorItem | None:
        """Returns the item of a key; None if the key does not exist."""
        item = self._items.get(key)
        return item if item is not None and item.value is not None else None

    def items_with_prefix(self, prefix: str) -> list[MirrorItem]:
        """Returns the existing items whose keys have a prefix."""
        return [
            item
            for key, item in self._items.items()
            if item.value is not None and key.startswith(prefix)
        ]

    def changes_since(self, revision: int) -> list[MirrorItem] | None:
        """Returns the items changed after a revision, deletions included.

        Args:
            revision: 0 returns the whole contents.

        Returns:
            None if some deletions after the revision are not known.
        """
        if any(start < revision < end for start, end in self._unknown_spans):
            return None
        return sorted(
            (
                item
                for item in self._items.values()
                if item.revision > revision
                and (revision or item.value is not None)
            ),
            key=lambda item: item.revision,
        )

    def _add_unknown_span(self, start: int, end: int) -> None:
        spans = [s for s in self._unknown_spans if s[0] < start or s[1] > end]
        spans.append((start, end))
        if len(spans) > MAX_UNKNOWN_SPANS:
            spans[:2] = [(spans[0][0], max(spans[0][1], spans[1][1]))]
        self._unknown_spans = spans

    def _merge(self, items: Iterable[MirrorItem]) -> None:
        newer = []
        for item in items:
            known = self._items.get(item.key)
            if known is None or known.revision < item.revision:
                self._items[item.key] = item
                self.newest_revision = max(self.newest_revision, item.revision)
                newer.append(item)
        if not newer:
            return
        self._prune_tombstones()
        for subscriber in self._subscribers:
            subscriber(newer)

    def _prune_tombstones(self) -> None:
        if len(self._items) <= MAX_TOMBSTONES:
            return
        deleted = [i for i in self._items.values() if i.value is None]
        if len(deleted) <= MAX_TOMBSTONES:
            return
        deleted.sort(key=lambda item: item.revision)
        dropped = deleted[: MAX_TOMBSTONES // 2]
        for item in dropped:
            del self._items[item.key]
        self._add_unknown_span(0, dropped[-1].revision)
