"""Budgets for hedges and retries."""


class TokenBucket:
    """Token bucket that limits extra requests to a share of the regular ones.

    Each regular request adds a fraction of a token; each extra request
    consumes a whole one.

    Args:
        pct: Extra requests allowed for each hundred regular ones.
        capacity: Greatest number of tokens.
        initial: Tokens at the start.

    Attributes:
        pct: Extra requests allowed for each hundred regular ones.
    """

    def __init__(
        self, pct: float, *, capacity: float, initial: float = 0.0
    ) -> None:
        self.pct = pct
        self._capacity = capacity
        self._tokens = initial

    @property
    def tokens(self) -> float:
        """Number of extra requests that are allowed now."""
        return self._tokens

    def refill(self) -> None:
        """Adds the fraction of a token for one regular request."""
        self._tokens = min(self._capacity, self._tokens + self.pct / 100)

    def try_consume(self) -> bool:
        """Consumes one token; returns False if less than one is left."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
