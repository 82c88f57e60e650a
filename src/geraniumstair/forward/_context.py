"""Dependencies that all requests of a forwarder share."""

from collections.abc import Callable
import dataclasses

from geraniumstair import routing
from geraniumstair.forward import _budget
from geraniumstair.forward import _call
from geraniumstair.forward import _delegation
from geraniumstair.forward import _endpoints
from geraniumstair.forward import _grants
from geraniumstair.forward import _metrics
from geraniumstair.forward import _parts
from geraniumstair.forward import _suspects
from geraniumstair.forward import _timing
from geraniumstair.forward import _usage

# Delay after which a refused caller should retry if no estimate is known.
DEFAULT_RETRY_AFTER_S = 0.1
# Bounds of that delay if an estimate is known.
MIN_RETRY_AFTER_S = 0.02
MAX_RETRY_AFTER_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Context:
    """Dependencies of every request.

    `grants` is None if no other node can be asked. `runs` records the calls of
    one request for usage reports; it is None if the request does not count.
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
    runs: _usage.RequestRuns | None = None

    def record_call(self, call: _call.Call) -> None:
        """Records a call that is about to be submitted to an endpoint."""
        self.budget.record_call(call.service)
        if self.runs is not None:
            self.runs.add(call)

    def start_group(
        self,
        delegation: _delegation.Delegation,
        group: _parts.ShardGroup,
        request: _call.CallerRequest,
        route: routing.Route,
        on_reply: Callable[[_parts.GroupReply], None],
    ) -> _delegation.PendingGroup | None:
        """Asks another node to call shards; see `Delegation.start`."""
        runs = self.runs
        if runs is None:
            return delegation.start(
                group, request, route, self.margins.hop_ms, on_reply
            )

        def complete(reply: _parts.GroupReply) -> None:
            runs.end_group(group, reply)
            on_reply(reply)

        pending = delegation.start(
            group, request, route, self.margins.hop_ms, complete
        )
        if pending is not None:
            runs.add_group(group)
        return pending

    def retry_after_s(self, service: str) -> float:
        """Returns how long a refused caller should wait, in s."""
        wait_s = self.pool.retry_after_s(service)
        if wait_s is None:
            return DEFAULT_RETRY_AFTER_S
        return min(max(wait_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
