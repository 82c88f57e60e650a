"""Admission, attempts and answers of searches at the entry node."""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import logging
import secrets

import result
import trio

from geraniumstair import configuration
from geraniumstair import errors
from geraniumstair._generated import codes
from geraniumstair.search import _answer
from geraniumstair.search import _claims
from geraniumstair.search import _gather
from geraniumstair.search import _merge
from geraniumstair.search import _metrics
from geraniumstair.search import _plan
from geraniumstair.search import _protocols
from geraniumstair.search import _request
from geraniumstair.search import _snapshots

_LOGGER = logging.getLogger(__name__)

DEFAULT_MAX_CONCURRENT_SEARCHES = 512

# The lesser of the two values is reserved before the deadline for an owner's
# reply to arrive, and once more for the answer to reach the caller.
_REPLY_RESERVE_MAX_S = 0.003
_REPLY_RESERVE_DEADLINE_SHARE = 0.1

# Limits the rate of snapshot queries while the shards have no common snapshot.
_SNAPSHOT_QUERY_INTERVAL_S = 0.1
_SNAPSHOT_QUERY_TIMEOUT_S = 0.3
_SNAPSHOT_RETRY_S = 0.02


@dataclasses.dataclass
class _SearchState:
    """State of one search across its attempts."""

    plan: _plan.Plan
    context: _gather.AttemptContext
    may_have_run: bool = False


class Searcher:
    """Runs searches as an entry node.

    Args:
        configuration_holder: Configuration in force.
        transport: Sends shard requests to owners.
        claims: Client of the nodes that decide on claims.
        region: Region of this node.
        node_id: Id of this node, stated in answers.
        availability_zone: Availability zone of this node.
        max_concurrent_searches: More searches are refused with OVERLOADED.
        metrics: Metrics to update; None creates new ones.
    """

    def __init__(
        self,
        configuration_holder: _protocols.ConfigurationHolder,
        transport: _protocols.ShardTransport,
        claims: _protocols.ClaimClient,
        region: str,
        *,
        node_id: str = "",
        availability_zone: str = "",
        max_concurrent_searches: int = DEFAULT_MAX_CONCURRENT_SEARCHES,
        metrics: _metrics.SearchMetrics | None = None,
    ) -> None:
        self._configuration_holder = configuration_holder
        self._transport = transport
        self._claims = claims
        self._region = region
        self._node_id = node_id
        self._availability_zone = availability_zone
        self._max_concurrent_searches = max_concurrent_searches
        self._cache = _snapshots.SnapshotCache()
        self._cache_revision = 0
        self._in_progress_count = 0
        self._idle = trio.Event()
        self._idle.set()
        self._closed = False
        self._accept_until_s = float("-inf")
        self.metrics = metrics or _metrics.SearchMetrics()

    @property
    def node_id(self) -> str:
        """Id of this node."""
        return self._node_id

    @property
    def in_progress_count(self) -> int:
        """Number of searches in progress."""
        return self._in_progress_count

    def accept_while_zone_out_until(self, time_s: float) -> None:
        """Accepts searches until a time, even if the availability zone is out.

        The load balancer sends searches until its next readiness check.

        Args:
            time_s: Time of trio's clock after which searches are refused.
        """
        self._accept_until_s = time_s

    def close(self) -> None:
        """Refuses new searches with SHUTTING_DOWN."""
        self._closed = True

    async def wait_idle(self) -> None:
        """Returns when no search is in progress."""
        while self._in_progress_count:
            await self._idle.wait()

    async def search(
        self, request: _request.SearchRequest
    ) -> _answer.SearchAnswer:
        """Runs a search; every failure is an answer with a result code.

        Args:
            request: The validated request.

        Returns:
            The answer.
        """
        start_s = trio.current_time()
        refusal = self._check_admission()
        if refusal is not None:
            return self._complete_answer(
                _answer.build_refusal_answer(refusal), start_s
            )
        self._begin_search()
        try:
            answer = await self._run_admitted(request, start_s)
        except Exception:
            _LOGGER.exception("search: running a search failed")
            answer = _answer.build_refusal_answer(
                errors.Refusal(
                    codes.Code.INTERNAL_ERROR, "The node had an internal error."
                )
            )
        except BaseException:
            # Trio cancels the search, because the caller disconnected.
            self.metrics.count_result(codes.Code.CANCELLED)
            raise
        finally:
            self._end_search()
        return self._complete_answer(answer, start_s)

    def _check_admission(self) -> errors.Refusal | None:
        if self._closed:
            return errors.Refusal(
                codes.Code.SHUTTING_DOWN, "The node shuts down."
            )
        topology = self._configuration_holder.current
        if topology is None:
            return errors.Refusal(
                codes.Code.NO_CONFIGURATION, "The node has no configuration."
            )
        zone_out = topology.is_availability_zone_out(self._availability_zone)
        if zone_out and trio.current_time() >= self._accept_until_s:
            return errors.Refusal(
                codes.Code.AVAILABILITY_ZONE_OUT,
                "The node's availability zone is taken out.",
            )
        if self._in_progress_count >= self._max_concurrent_searches:
            return errors.Refusal(
                codes.Code.OVERLOADED,
                "The node already runs its maximum number of searches.",
            )
        return None

    def _begin_search(self) -> None:
        if not self._in_progress_count:
            self._idle = trio.Event()
        self._in_progress_count += 1
        self.metrics.in_progress.inc()

    def _end_search(self) -> None:
        self._in_progress_count -= 1
        self.metrics.in_progress.dec()
        if not self._in_progress_count:
            self._idle.set()

    def _complete_answer(
        self, answer: _answer.SearchAnswer, start_s: float
    ) -> _answer.SearchAnswer:
        elapsed_ms = round((trio.current_time() - start_s) * 1000, 3)
        answer = dataclasses.replace(
            answer, node=self._node_id, elapsed_ms=elapsed_ms
        )
        self.metrics.observe_answer(answer)
        return answer

    async def _run_admitted(
        self, request: _request.SearchRequest, start_s: float
    ) -> _answer.SearchAnswer:
        planned = self._make_plan(request)
        if isinstance(planned, result.Err):
            return _answer.build_refusal_answer(planned.err_value)
        search = _SearchState(
            planned.ok_value, self._build_context(planned.ok_value, start_s)
        )
        now_s = trio.current_time()
        snapshot = await self._pin_snapshot(
            search, now_s - _SNAPSHOT_QUERY_INTERVAL_S
        )
        if snapshot is None:
            return _build_no_snapshot_answer(search)
        if request.repeatable:
            return await self._run_attempts(search, snapshot)
        refused_answer = await _claims.claim_request(
            self._claims, request, search.context.cutoff_s
        )
        if refused_answer is not None:
            return refused_answer
        answer = await self._run_attempts(search, snapshot)
        await _claims.record_answer(self._claims, request, answer)
        return answer

    def _make_plan(
        self, request: _request.SearchRequest
    ) -> result.Result[_plan.Plan, errors.Refusal]:
        topology = self._configuration_holder.current
        assert topology is not None
        if topology.revision > self._cache_revision:
            self._cache_revision = topology.revision
            self._cache.retain_only(topology.endpoints)
        return _plan.build_plan(topology, request, self._region)

    def _build_context(
        self, plan: _plan.Plan, start_s: float
    ) -> _gather.AttemptContext:
        deadline_s = plan.deadline_ms / 1000
        reserve_s = min(
            _REPLY_RESERVE_MAX_S, deadline_s * _REPLY_RESERVE_DEADLINE_SHARE
        )
        cutoff_s = start_s + deadline_s - reserve_s
        soft_deadline_s = start_s + plan.soft_deadline_ms / 1000
        return _gather.AttemptContext(
            transport=self._transport,
            configuration_holder=self._configuration_holder,
            cache=self._cache,
            soft_deadline_s=soft_deadline_s,
            cutoff_s=cutoff_s,
            reserve_s=reserve_s,
        )

    async def _run_attempts(
        self, search: _SearchState, snapshot: int
    ) -> _answer.SearchAnswer:
        """Runs the first attempt and, if needed, the second and last one."""
        attempt = await self._run_attempt(search, snapshot, may_restart=True)
        if not attempt.needs_restart:
            return self._merge(search, snapshot, attempt)
        self.metrics.count_restart()
        planned = self._make_plan(search.plan.request)
        if isinstance(planned, result.Err):
            return _build_no_plan_answer(search, planned.err_value)
        search.plan = planned.ok_value
        next_snapshot = await self._pin_snapshot(search, trio.current_time())
        if next_snapshot is None:
            return _build_no_snapshot_answer(search)
        attempt = await self._run_attempt(
            search, next_snapshot, may_restart=False
        )
        return self._merge(search, next_snapshot, attempt)

    async def _run_attempt(
        self, search: _SearchState, snapshot: int, *, may_restart: bool
    ) -> _gather.Attempt:
        attempt = _gather.Attempt(
            search.plan,
            snapshot,
            secrets.token_bytes(16),
            search.context,
            may_restart=may_restart,
        )
        await attempt.run()
        search.may_have_run = search.may_have_run or attempt.may_have_run
        return attempt

    def _merge(
        self, search: _SearchState, snapshot: int, attempt: _gather.Attempt
    ) -> _answer.SearchAnswer:
        return _merge.merge(
            search.plan,
            snapshot,
            attempt.outcomes,
            may_have_run=search.may_have_run,
        )

    async def _pin_snapshot(
        self, search: _SearchState, fresh_after_s: float
    ) -> int | None:
        """Returns the snapshot to use, or None if no shard reports any in time.

        Args:
            search: The search.
            fresh_after_s: If no snapshot is common to all known lists, lists
                from before this clock time are queried again.
        """
        keys = [s.key for s in search.plan.shards if s.key is not None]
        lists = self._cache.get_lists(keys)
        snapshot = _snapshots.choose_snapshot(lists)
        # No list is queried for a shard whose list is unknown, because that
        # would delay the search. The shard's search reply fills the cache.
        if snapshot is not None and _is_common(lists, snapshot):
            return snapshot
        stale = self._cache.mark_stale_queried(keys, fresh_after_s)
        with trio.move_on_at(search.context.cutoff_s):
            while keys:
                await self._query_snapshots(search, stale)
                lists = self._cache.get_lists(keys)
                snapshot = _snapshots.choose_snapshot(lists)
                if snapshot is not None:
                    return snapshot
                await trio.sleep(_SNAPSHOT_RETRY_S)
                stale = keys
        return None

    async def _query_snapshots(
        self, search: _SearchState, keys: Sequence[configuration.ShardKey]
    ) -> None:
        remaining_s = search.context.cutoff_s - trio.current_time()
        # Half of the remaining time is kept for the search itself.
        timeout_s = min(_SNAPSHOT_QUERY_TIMEOUT_S, remaining_s / 2)
        if not keys or timeout_s <= 0:
            return
        # At its own timeout, the transport returns the lists that have arrived,
        # so this limit is slightly longer.
        with trio.move_on_after(timeout_s + _SNAPSHOT_RETRY_S):
            found = await self._transport.snapshots(keys, timeout_s * 1000)
            for key, snapshots in found.items():
                self._cache.update(key, snapshots)


def _is_common(
    lists: Mapping[configuration.ShardKey, Sequence[int]],
    snapshot: int,
) -> bool:
    return all(snapshot in snapshots for snapshots in lists.values())


def _build_no_snapshot_answer(search: _SearchState) -> _answer.SearchAnswer:
    if search.may_have_run:
        return _build_no_coverage_answer(
            search, "No shard reported a snapshot for the second attempt."
        )
    all_without_replicas = all(
        shard.key is None for shard in search.plan.shards
    )
    code = codes.Code.SNAPSHOT_UNAVAILABLE
    if all_without_replicas:
        code = codes.Code.NO_ENDPOINT
    answer = _answer.build_refusal_answer(
        errors.Refusal(code, "No shard reported a snapshot in time.")
    )
    return dataclasses.replace(
        answer, coverage=_build_zero_coverage(search.plan)
    )


def _build_no_plan_answer(
    search: _SearchState, refusal: errors.Refusal
) -> _answer.SearchAnswer:
    if not search.may_have_run:
        return _answer.build_refusal_answer(refusal)
    return _build_no_coverage_answer(
        search,
        "The services were removed from the configuration during the search.",
    )


def _build_no_coverage_answer(
    search: _SearchState, detail: str
) -> _answer.SearchAnswer:
    answer = _answer.build_refusal_answer(
        errors.Refusal(codes.Code.COVERAGE_TOO_LOW, detail)
    )
    return dataclasses.replace(
        answer, coverage=_build_zero_coverage(search.plan)
    )


def _build_zero_coverage(plan: _plan.Plan) -> _answer.Coverage:
    return _answer.Coverage(
        asked=len(plan.shards), missing=[shard.name for shard in plan.shards]
    )
