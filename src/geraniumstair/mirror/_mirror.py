"""The copy itself: items ordered by the store's revision.

Changes reach a node from the store and from several peers, in any order and
more than once. The revision of an item decides which value is newer, and the
position of a mirror says up to which revision it holds every change.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses

# Deleted keys are remembered, so that a peer's older value doesn't revive
# them. Far more than a site has endpoints and nodes.
MAX_TOMBSTONES = 20_000


@dataclasses.dataclass(frozen=True, slots=True)
class MirrorItem:
    """One key at one revision; value None says that it was deleted."""

    key: str
    value: bytes | None
    revision: int


Subscriber = Callable[[Sequence[MirrorItem]], None]


class Mirror:
    """Items by key, and the position up to which they are complete.

    Attributes:
        position: Every change up to this revision of the store is held; 0
            before the first complete reading.
        newest: Greatest revision of an item. It lags behind the position
            when other keys of the store change.
    """

    def __init__(self) -> None:
        self.position = 0
        self.newest = 0
        self._items: dict[str, MirrorItem] = {}
        self._subscribers: list[Subscriber] = []

    def subscribe(self, subscriber: Subscriber) -> None:
        """Calls a function with the new items after each change."""
        self._subscribers.append(subscriber)

    def apply(self, items: Iterable[MirrorItem], position: int) -> bool:
        """Takes changes that follow on what the mirror holds.

        Args:
            items: All changes after the mirror's position, up to `position`;
                older ones among them are ignored.
            position: Revision up to which they are complete.

        Returns:
            True if the position has advanced.
        """
        advanced = position > self.position
        self.position = max(self.position, position)
        self._take(items)
        return advanced

    def replace(self, items: Iterable[MirrorItem], position: int) -> bool:
        """Takes a complete reading of the store.

        Args:
            items: All keys that existed.
            position: Revision at which the reading began. Keys that are not
                among the items and did not change later are deleted.

        Returns:
            True if the position has advanced.
        """
        listed = list(items)
        present = {item.key for item in listed}
        gone = [
            MirrorItem(key, None, position)
            for key, item in self._items.items()
            if key not in present
            and item.value is not None
            and item.revision < position
        ]
        return self.apply([*listed, *gone], position)

    def get(self, key: str) -> MirrorItem | None:
        """Returns the item of a key that exists."""
        item = self._items.get(key)
        return item if item is not None and item.value is not None else None

    def with_prefix(self, prefix: str) -> list[MirrorItem]:
        """Returns the items that exist under a prefix."""
        return [
            item
            for key, item in self._items.items()
            if item.value is not None and key.startswith(prefix)
        ]

    def since(self, revision: int) -> list[MirrorItem]:
        """Returns what changed after a revision, deletions included."""
        return sorted(
            (i for i in self._items.values() if i.revision > revision),
            key=lambda item: item.revision,
        )

    def _take(self, items: Iterable[MirrorItem]) -> None:
        newer = []
        for item in items:
            known = self._items.get(item.key)
            if known is None or known.revision < item.revision:
                self._items[item.key] = item
                self.newest = max(self.newest, item.revision)
                newer.append(item)
        if not newer:
            return
        self._prune()
        for subscriber in self._subscribers:
            subscriber(newer)

    def _prune(self) -> None:
        deleted = [i for i in self._items.values() if i.value is None]
        if len(deleted) <= MAX_TOMBSTONES:
            return
        deleted.sort(key=lambda item: item.revision)
        for item in deleted[: MAX_TOMBSTONES // 2]:
            del self._items[item.key]
