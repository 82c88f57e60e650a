"""Scatter-gather of the shard requests of one search attempt."""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import logging
import math

import msgspec
import trio

from geraniumstair._generated import codes
from geraniumstair._generated import messages
from geraniumstair.search import _plan
from geraniumstair.search import _protocols
from geraniumstair.search import _replies
from geraniumstair.search import _snapshots

_LOGGER = logging.getLogger(__name__)

# An owner and this node apply a new configuration at slightly different times,
# so a request that the owner refuses with UNKNOWN_SHARD is sent again.
_UNKNOWN_SHARD_WAIT_S = 0.05
_UNKNOWN_SHARD_MAX_TRIES = 6


class _EndpointAnswer(msgspec.Struct):
    """JSON body of an endpoint's reply."""

    hits: list[msgspec.Raw]


_DECODER = msgspec.json.Decoder(_EndpointAnswer)


@dataclasses.dataclass(frozen=True, slots=True)
class ShardOutcome:
    """Result of one shard in an attempt.

    Attributes:
        code: OK if the hits may be merged.
        not_run: True only if no endpoint can have acted on the request.
        coverage_pct: Coverage that the endpoint reported; 0 unless the code is
            OK.
        hits: JSON texts of the hits.
    """

    code: codes.Code
    not_run: bool
    coverage_pct: float = 0.0
    hits: Sequence[msgspec.Raw] = ()


def _build_failed_outcome(code: codes.Code) -> ShardOutcome:
    return ShardOutcome(code, not_run=False)


def _read_reply(reply: messages.ShardReply, snapshot: int) -> ShardOutcome:
    """Returns the outcome; a reply for another snapshot is invalid."""
    try:
        code = codes.Code(reply.code)
    except ValueError:
        return _build_failed_outcome(codes.Code.INTERNAL_ERROR)
    if code != codes.Code.OK:
        if code == codes.Code.PARTIAL:
            return _build_failed_outcome(codes.Code.RESPONSE_INVALID)
        return ShardOutcome(code, reply.not_run)
    coverage_pct = reply.coverage_pct
    if reply.snapshot != snapshot or not math.isfinite(coverage_pct):
        return _build_failed_outcome(codes.Code.RESPONSE_INVALID)
    try:
        # Hits are passed on unparsed, so their encoding is checked here.
        reply.body.decode("utf-8")
        hits = _DECODER.decode(reply.body).hits
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return _build_failed_outcome(codes.Code.RESPONSE_INVALID)
    return ShardOutcome(code, False, min(max(coverage_pct, 0.0), 100.0), hits)


@dataclasses.dataclass(frozen=True)
class AttemptContext:
    """Values that all attempts of a search share.

    Attributes:
        transport: Sends requests to owners.
        configuration_holder: Configuration in force.
        cache: Snapshot lists, updated from each reply.
        soft_deadline_s: Clock time of the soft deadline.
        cutoff_s: Clock time at which the answer is merged at the latest.
        reserve_s: Time reserved for an owner's reply to arrive.
    """

    transport: _protocols.ShardTransport
    configuration_holder: _protocols.ConfigurationHolder
    cache: _snapshots.SnapshotCache
    soft_deadline_s: float
    cutoff_s: float
    reserve_s: float


class Attempt:
    """Sends the requests of a plan's shards for one snapshot.

    After `run`, `outcomes` has an entry for each shard that replied or could
    not be asked.

    Args:
        plan: The plan.
        snapshot: The pinned snapshot.
        search_id: 16 bytes, unique to this attempt.
        context: Values that all attempts of the search share.
        may_restart: False for the last attempt.

    Attributes:
        needs_restart: A shard no longer has the pinned snapshot, or the
            partition map has changed, so the search needs another attempt.
        may_have_run: An endpoint may have acted on a request.
    """

    def __init__(
        self,
        plan: _plan.Plan,
        snapshot: int,
        search_id: bytes,
        context: AttemptContext,
        *,
        may_restart: bool,
    ) -> None:
        self._plan = plan
        self._snapshot = snapshot
        self._search_id = search_id
        self._context = context
        self._may_restart = may_restart
        self._outcomes: dict[str, ShardOutcome] = {}
        self._coverage_sum_pct = 0.0
        self._answered_count = 0
        self._soft_deadline_passed = False
        self._body = plan.request.endpoint_body
        self._cancel_scope = trio.CancelScope()
        self.needs_restart = False
        self.may_have_run = False

    @property
    def outcomes(self) -> Mapping[str, ShardOutcome]:
        """Outcomes by qualified shard name."""
        return self._outcomes

    async def run(self) -> None:
        """Returns when the answer can be merged or a restart is needed."""
        available = self._select_available_shards()
        if not available:
            return
        finished = False
        try:
            with trio.move_on_at(self._context.cutoff_s):
                async with trio.open_nursery() as nursery:
                    self._cancel_scope = nursery.cancel_scope
                    for shard in available:
                        self._start_shard(shard, nursery)
                    if self._plan.preference == "latency":
                        nursery.start_soon(self._wait_for_soft_deadline)
                    await trio.sleep_forever()
            finished = len(self._outcomes) == len(self._plan.shards)
        finally:
            if not finished:
                self.may_have_run = True
                self._context.transport.cancel(self._search_id)

    def _select_available_shards(self) -> list[_plan.PlannedShard]:
        """Records outcomes for unavailable shards and returns the others."""
        keys = [s.key for s in self._plan.shards if s.key is not None]
        lists = self._context.cache.get_lists(keys)
        available = []
        for shard in self._plan.shards:
            if shard.key is None:
                outcome = ShardOutcome(codes.Code.NO_ENDPOINT, True)
                self._outcomes[shard.name] = outcome
                continue
            if self._snapshot not in lists.get(shard.key, (self._snapshot,)):
                outcome = ShardOutcome(codes.Code.SNAPSHOT_UNAVAILABLE, True)
                self._outcomes[shard.name] = outcome
                continue
            available.append(shard)
        return available

    def _start_shard(
        self, shard: _plan.PlannedShard, nursery: trio.Nursery
    ) -> None:
        """Sends a request, in a task only if the transport needs one."""

        def on_reply(reply: messages.ShardReply, is_final: bool) -> None:
            if is_final:
                self._handle_reply(shard, reply)
            else:
                nursery.start_soon(self._submit_and_handle, shard, reply)

        request = self._build_request(shard)
        if request is None:
            self._handle_reply(shard, _build_no_time_reply())
        elif not self._context.transport.start(request, on_reply):
            nursery.start_soon(self._submit_and_handle, shard, None)

    async def _wait_for_soft_deadline(self) -> None:
        await trio.sleep_until(self._context.soft_deadline_s)
        self._soft_deadline_passed = True
        self._stop_if_done()

    def _stop_if_done(self) -> None:
        if self.needs_restart or self._may_answer():
            self._cancel_scope.cancel()

    async def _submit_and_handle(
        self,
        shard: _plan.PlannedShard,
        earlier_reply: messages.ShardReply | None,
    ) -> None:
        """Submits a shard's request and handles the reply.

        Args:
            shard: The shard.
            earlier_reply: Reply to an earlier request, if it was not final.
        """
        try:
            reply = await self._submit_with_retries(shard)
        except Exception:
            # A fault at one shard must not lose the results of the others.
            _LOGGER.exception("search: submitting a shard request failed")
            self._record_outcome(
                shard.name, _build_failed_outcome(codes.Code.INTERNAL_ERROR)
            )
            self._stop_if_done()
            return
        if (
            reply.not_run
            and earlier_reply is not None
            and not earlier_reply.not_run
        ):
            # The earlier request may have run, so `not_run` must be false.
            reply = earlier_reply
        self._handle_reply(shard, reply)

    def _handle_reply(
        self, shard: _plan.PlannedShard, reply: messages.ShardReply
    ) -> None:
        self._update_snapshots(shard, reply)
        self._record_outcome(shard.name, _read_reply(reply, self._snapshot))
        self._stop_if_done()

    async def _submit_with_retries(
        self, shard: _plan.PlannedShard
    ) -> messages.ShardReply:
        tries = 1
        reply = await self._submit_once(shard)
        while reply.code == codes.Code.UNKNOWN_SHARD and reply.not_run:
            with trio.move_on_after(_UNKNOWN_SHARD_WAIT_S):
                await (
                    self._context.configuration_holder.wait_for_newer_revision(
                        self._plan.revision
                    )
                )
            if (
                self._partition_map_changed()
                or tries == _UNKNOWN_SHARD_MAX_TRIES
            ):
                break
            tries += 1
            reply = await self._submit_once(shard)
        return reply

    async def _submit_once(
        self, shard: _plan.PlannedShard
    ) -> messages.ShardReply:
        request = self._build_request(shard)
        if request is None:
            return _build_no_time_reply()
        return await self._context.transport.submit(request)

    def _build_request(
        self, shard: _plan.PlannedShard
    ) -> messages.ShardRequest | None:
        """Returns the request for a shard; None if no time is left."""
        assert shard.key is not None
        remaining_s = self._context.cutoff_s - trio.current_time()
        deadline_ms = (remaining_s - self._context.reserve_s) * 1000
        if deadline_ms <= 0:
            return None
        return messages.ShardRequest(
            search_id=self._search_id,
            service=shard.key.service,
            shard=shard.key.shard,
            region=shard.key.region,
            route=self._plan.request.route,
            snapshot=self._snapshot,
            body=self._body,
            deadline_ms=deadline_ms,
            priority=shard.priority,
            repeatable=self._plan.request.repeatable,
            provisional=False,
        )

    def _partition_map_changed(self) -> bool:
        topology = self._context.configuration_holder.current
        return topology is not None and topology.revision > self._plan.revision

    def _update_snapshots(
        self, shard: _plan.PlannedShard, reply: messages.ShardReply
    ) -> None:
        assert shard.key is not None
        self._context.cache.update(shard.key, reply.snapshots)
        if reply.code == codes.Code.SNAPSHOT_UNAVAILABLE:
            self._context.cache.remove(shard.key, self._snapshot)

    def _record_outcome(self, name: str, outcome: ShardOutcome) -> None:
        self._outcomes[name] = outcome
        if not outcome.not_run:
            self.may_have_run = True
        if outcome.code == codes.Code.OK:
            self._answered_count += 1
            self._coverage_sum_pct += outcome.coverage_pct
            return
        if not self._may_restart:
            return
        # A request that must run at most once is only sent again if the first
        # one certainly did not run.
        if not (self._plan.request.repeatable or outcome.not_run):
            return
        if outcome.code == codes.Code.SNAPSHOT_UNAVAILABLE:
            self.needs_restart = True
        elif outcome.code == codes.Code.UNKNOWN_SHARD:
            self.needs_restart = self._partition_map_changed()

    def _may_answer(self) -> bool:
        """Returns whether the preference allows the answer to be merged now."""
        shard_count = len(self._plan.shards)
        if len(self._outcomes) == shard_count:
            return True
        if self._plan.preference == "coverage" or not self._answered_count:
            return False
        least_pct = self._plan.least_coverage_pct
        if self._coverage_sum_pct < least_pct * shard_count:
            return False
        return self._plan.preference == "early" or self._soft_deadline_passed


def _build_no_time_reply() -> messages.ShardReply:
    return _replies.build_failure_reply(
        codes.Code.DEADLINE_TOO_SHORT,
        "No time is left to send the request to the shard.",
        not_run=True,
    )
