"""What one search knows: its shards, their outcomes, and its next actions."""

from collections.abc import Sequence
import math

import trio

from geraniumstair import routing
from geraniumstair.forward import _call
from geraniumstair.forward import _context
from geraniumstair.forward import _shard
from geraniumstair.forward import _timing

# Delay before another call to a shard whose endpoints rejected the call or
# could not be reached, and before another attempt at a hedge that found no
# healthy endpoint.
RETRY_DELAY_S = 0.015
# Delay of repeats after a pause. Answers, and messages that stop the search,
# arrived meanwhile and are read first.
RESUME_DELAY_S = 0.05


class SearchState:
    """State that the parts of a search share.

    Args:
        context: Dependencies of every request.
        request: The caller's request.
        route: The route of the request.
        shards: The shards to call.
        min_parts: Number of parts that an answer needs.
        for_node: Another node called these shards' search, and knows its other
            parts.

    Attributes:
        waited_ms: How long the caller waited before this attempt, estimated.
        deadlines: When the search is answered.
        shards: The shards by their services.
        repeats: Number of calls beyond the first of each shard.
        answered_count: Number of parts that have arrived.
        failed_count: Number of shards whose part will not arrive.
        hedge_at_s: When hedged calls are considered.
        check_groups_at_s: When the nodes that were asked for groups are
            checked.
        trial_shards: Shards that are called first, to see whether the request
            ends endpoints; the others wait.
        ended: Endpoints that ended while they ran the request, with their
            starts.
        wake: Set to run the due actions.
    """

    def __init__(
        self,
        context: _context.Context,
        request: _call.CallerRequest,
        route: routing.Route,
        shards: Sequence[str],
        min_parts: int,
        *,
        for_node: bool,
    ) -> None:
        self.context = context
        self.request = request
        self.route = route
        self.min_parts = min_parts
        self.for_node = for_node
        self.waited_ms = context.wait_estimator.estimate_waited_ms(
            request, route
        )
        self.deadlines = _timing.compute_deadlines(
            request, route, context.margins, self.waited_ms
        )
        self.shards = {name: _shard.Shard(name) for name in shards}
        self.repeats = 0
        self.answered_count = 0
        self.failed_count = 0
        self.hedge_at_s = math.inf
        self.check_groups_at_s = math.inf
        self.trial_shards: set[str] = set()
        self.ended: set[str] = set()
        self.wake = trio.Event()

    def fail_shard(self, shard: _shard.Shard) -> None:
        """Gives up a shard."""
        shard.failed = True
        self.failed_count += 1

    def schedule_retry(self, shard: _shard.Shard, now_s: float) -> None:
        """Calls a shard again a little later."""
        shard.retry_at_s = now_s + RETRY_DELAY_S
        self.wake.set()

    def schedule_hedge(self, now_s: float) -> None:
        """Considers hedged calls when the calls sent now take long."""
        delay_s = self.context.hedge_delays.delay_ms(self.route) / 1000
        self.hedge_at_s = min(self.hedge_at_s, now_s + delay_s)
        self.wake.set()

    def postpone_repeats(self) -> None:
        """Lets messages that arrived during a pause be read first."""
        resume_s = trio.current_time() + RESUME_DELAY_S
        self.hedge_at_s = max(self.hedge_at_s, resume_s)
        self.check_groups_at_s = max(self.check_groups_at_s, resume_s)
        for shard in self.shards.values():
            shard.retry_at_s = max(shard.retry_at_s, resume_s)

    def next_wakeup_s(self) -> float:
        """Returns when the next action is due."""
        now_s = trio.current_time()
        next_s = self.deadlines.final_s
        if now_s < self.deadlines.goal_s:
            next_s = min(next_s, self.deadlines.goal_s)
        next_s = min(next_s, self.hedge_at_s, self.check_groups_at_s)
        for shard in self.shards.values():
            if shard.retry_at_s < next_s:
                next_s = shard.retry_at_s
        return next_s
