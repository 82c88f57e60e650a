"""Weighted distribution of requests over services."""

from collections.abc import Sequence

from geraniumstair.routing import _table


class ServiceSplit:
    """Distributes requests over services in proportion to their weights.

    Smooth weighted round robin: after any number of requests each service is
    less than one request away from its share.
    """

    def __init__(self, parts: Sequence[_table.SplitPart]) -> None:
        self._parts = [part for part in parts if part.weight > 0]
        self._parts = self._parts or list(parts)
        self._credits = [0.0] * len(self._parts)
        self._total = sum(part.weight for part in self._parts)

    def next_service(self) -> str:
        """Returns the service of the next request."""
        if len(self._parts) == 1:
            return self._parts[0].service
        for index, part in enumerate(self._parts):
            self._credits[index] += part.weight
        best = max(range(len(self._parts)), key=self._credits.__getitem__)
        self._credits[best] -= self._total
        return self._parts[best].service
