"""In-memory cache of the outcomes of claimed requests."""

import collections

MAX_OUTCOMES = 10_000
MAX_OUTCOME_BYTES = 64 * 1024
MAX_TOTAL_BYTES = 4 * 1024 * 1024


class OutcomeCache:
    """Cache of outcomes by claim key, which evicts the oldest entries."""

    def __init__(self) -> None:
        self._outcomes: collections.OrderedDict[bytes, bytes] = (
            collections.OrderedDict()
        )
        self._total_bytes = 0

    def get(self, key: bytes) -> bytes:
        """Returns the outcome, or empty bytes if it is not cached."""
        return self._outcomes.get(key, b"")

    def put(self, key: bytes, outcome: bytes) -> None:
        """Caches an outcome unless it is too large or the key is cached."""
        if len(outcome) > MAX_OUTCOME_BYTES or key in self._outcomes:
            return
        self._outcomes[key] = outcome
        self._total_bytes += len(outcome)
        while (
            self._total_bytes > MAX_TOTAL_BYTES
            or len(self._outcomes) > MAX_OUTCOMES
        ):
            _, evicted = self._outcomes.popitem(last=False)
            self._total_bytes -= len(evicted)
