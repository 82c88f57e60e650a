"""What all requests of a forwarder share."""

import dataclasses

from geraniumstair.forward import _budget
from geraniumstair.forward import _call
from geraniumstair.forward import _endpoints
from geraniumstair.forward import _metrics
from geraniumstair.forward import _timing

# Time after which a refused caller may come back if nothing better is known.
DEFAULT_RETRY_AFTER_S = 0.1
# A caller is not told to come back sooner or later than this.
MIN_RETRY_AFTER_S = 0.02
MAX_RETRY_AFTER_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Context:
    """Parts that serve every request."""

    pool: _endpoints.EndpointPool
    budget: _budget.RetryBudget
    dialect: _call.Dialect
    metrics: _metrics.ForwardMetrics
    delays: _timing.HedgeDelays
    margins: _timing.Margins
    waits: _timing.CallerWaits

    def retry_after_s(self, service: str) -> float:
        """Returns when a caller that was refused should come back."""
        wait_s = self.pool.retry_after_s(service)
        if wait_s is None:
            return DEFAULT_RETRY_AFTER_S
        return min(max(wait_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
