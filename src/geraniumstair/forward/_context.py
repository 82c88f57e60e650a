"""Dependencies that all requests of a forwarder share."""

import dataclasses

from geraniumstair.forward import _budget
from geraniumstair.forward import _call
from geraniumstair.forward import _endpoints
from geraniumstair.forward import _grants
from geraniumstair.forward import _metrics
from geraniumstair.forward import _suspects
from geraniumstair.forward import _timing

# Delay after which a refused caller should retry if no estimate is known.
DEFAULT_RETRY_AFTER_S = 0.1
# Bounds of that delay if an estimate is known.
MIN_RETRY_AFTER_S = 0.02
MAX_RETRY_AFTER_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Context:
    """Dependencies of every request.

    `grants` is None if no other node can be asked.
    """

    pool: _endpoints.EndpointPool
    budget: _budget.RetryBudget
    dialect: _call.Dialect
    metrics: _metrics.ForwardMetrics
    hedge_delays: _timing.HedgeDelays
    margins: _timing.Margins
    wait_estimator: _timing.CallerWaitEstimator
    suspects: _suspects.SuspectRequests
    grants: _grants.LimitGrants | None = None

    def retry_after_s(self, service: str) -> float:
        """Returns how long a refused caller should wait, in s."""
        wait_s = self.pool.retry_after_s(service)
        if wait_s is None:
            return DEFAULT_RETRY_AFTER_S
        return min(max(wait_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
