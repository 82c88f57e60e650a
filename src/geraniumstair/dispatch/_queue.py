"""Priority queue for the waiting requests of a shard."""

import heapq
import itertools
from typing import Generic
from typing import Protocol
from typing import TypeVar


class Queueable(Protocol):
    """Item of a queue.

    Attributes:
        priority: Items with the lowest number come first.
        deadline_s: Among items of the same priority, the earliest deadline
            comes first.
    """

    priority: int
    deadline_s: float


_Item = TypeVar("_Item", bound=Queueable)


class RequestQueue(Generic[_Item]):
    """Queue ordered by priority, then deadline.

    Attributes:
        limit: Greatest number of items, to be enforced by the caller.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self._heap: list[tuple[int, float, int, _Item]] = []
        self._sequence_by_id: dict[int, int] = {}
        self._sequence = itertools.count()

    def __len__(self) -> int:
        return len(self._sequence_by_id)

    def __contains__(self, item: _Item) -> bool:
        return id(item) in self._sequence_by_id

    def push(self, item: _Item) -> None:
        """Adds an item; the caller must check the limit before."""
        sequence = next(self._sequence)
        self._sequence_by_id[id(item)] = sequence
        entry = (item.priority, item.deadline_s, sequence, item)
        heapq.heappush(self._heap, entry)

    def peek(self) -> _Item | None:
        """Returns the first item, or None if the queue is empty."""
        heap = self._heap
        while heap:
            item = heap[0][3]
            if self._sequence_by_id.get(id(item)) == heap[0][2]:
                return item
            heapq.heappop(heap)
        return None

    def remove(self, item: _Item) -> bool:
        """Removes an item; returns False if it is not in the queue.

        The heap entry stays until it reaches the top, or until more than half
        of the entries belong to removed items.
        """
        if self._sequence_by_id.pop(id(item), None) is None:
            return False
        if len(self._heap) > 2 * len(self._sequence_by_id) + 16:
            self._heap = [
                entry
                for entry in self._heap
                if self._sequence_by_id.get(id(entry[3])) == entry[2]
            ]
            heapq.heapify(self._heap)
        return True

    def count_ahead(self, priority: int) -> int:
        """Returns the number of items of this or a more urgent priority."""
        return sum(1 for item in self.items() if item.priority <= priority)

    def least_urgent(self) -> _Item | None:
        """Returns the item that comes last, or None if the queue is empty."""
        items = self.items()
        if not items:
            return None
        return max(items, key=lambda item: (item.priority, item.deadline_s))

    def items(self) -> list[_Item]:
        """Returns the items in no particular order."""
        return [
            entry[3]
            for entry in self._heap
            if self._sequence_by_id.get(id(entry[3])) == entry[2]
        ]
