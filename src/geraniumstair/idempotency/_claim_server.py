"""Decides on the claims sent to this node and records them."""

from collections.abc import Callable
import time

import trio

from geraniumstair import store
from geraniumstair._generated import codes
from geraniumstair._generated import messages
from geraniumstair.idempotency import _bucket
from geraniumstair.idempotency import _ledger
from geraniumstair.idempotency import _outcomes

BUCKET_IDLE_TIMEOUT_S = 300.0
_IDLE_CHECK_INTERVAL_S = 60.0


def _wall_clock_ms() -> int:
    return int(time.time() * 1000)


class ClaimServer:
    """Decides on the claims that are sent to this node.

    Claims are normally sent to the owner of their bucket, which is the node
    that ranks first for it. Every node accepts claims of any bucket at any
    time, even if another node writes to the bucket too: the store commits the
    batch of only one of them, because each write compares the revision of the
    bucket's head record. Claims are refused while `run` is not running.

    Args:
        kv_store: The store.
        now_ms: Returns the wall-clock time in ms, for the age of batches.
    """

    def __init__(
        self,
        kv_store: store.KeyValueStore,
        *,
        now_ms: Callable[[], int] = _wall_clock_ms,
    ) -> None:
        self._store = kv_store
        self._now_ms = now_ms
        self._breaker = _bucket.StoreCircuitBreaker()
        self._buckets: dict[int, _bucket.Bucket] = {}
        self._outcomes = _outcomes.OutcomeCache()
        self._nursery: trio.Nursery | None = None

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accepts and writes claims until cancelled."""
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                task_status.started()
                while True:
                    await trio.sleep(_IDLE_CHECK_INTERVAL_S)
                    self._evict_idle_buckets()
        finally:
            self._nursery = None

    async def claim(
        self, request: messages.ClaimRequest
    ) -> messages.ClaimReply:
        """Grants or refuses a claim.

        Args:
            request: The claim; `deadline_ms` is the remaining time.

        Returns:
            `OK` for at most one claim of a key, ever. `ALREADY_CLAIMED`
            carries the outcome of the request if it is known. With any other
            code, this claim was not granted and never will be.
        """
        refusal = _bucket.check_request(request)
        if refusal is not None:
            return refusal
        if self._nursery is None:
            return _bucket.build_reply(
                codes.Code.SHUTTING_DOWN, "this node does not accept claims"
            )
        reply = await self._decide(request, self._nursery)
        if reply.code == codes.Code.ALREADY_CLAIMED:
            reply.outcome = self._outcomes.get(request.key)
        return reply

    def record_outcome(self, outcome: messages.ClaimOutcome) -> None:
        """Caches the outcome of a granted request for repeated requests."""
        if len(outcome.key) == _ledger.KEY_BYTES:
            self._outcomes.put(outcome.key, outcome.outcome)

    async def _decide(
        self, request: messages.ClaimRequest, nursery: trio.Nursery
    ) -> messages.ClaimReply:
        bucket = self._get_bucket(request.key)
        refusal = bucket.find_refusal(request.key)
        if refusal is not None:
            return refusal
        deadline = trio.current_time() + request.deadline_ms / 1000
        claim = bucket.enqueue(request.key, deadline)
        if not bucket.is_writing:
            bucket.is_writing = True
            nursery.start_soon(bucket.write_claims)
        try:
            await claim.wait()
        finally:
            # Runs also if the caller is cancelled, so that the claim is
            # refused if it has not been granted.
            reply = bucket.close_claim(claim)
        return reply

    def _get_bucket(self, key: bytes) -> _bucket.Bucket:
        number = _ledger.bucket_of(key)
        bucket = self._buckets.get(number)
        if bucket is None:
            bucket = _bucket.Bucket(
                number, self._store, self._breaker, self._now_ms
            )
            self._buckets[number] = bucket
        return bucket

    def _evict_idle_buckets(self) -> None:
        used_before = trio.current_time() - BUCKET_IDLE_TIMEOUT_S
        for number, bucket in list(self._buckets.items()):
            if not bucket.is_writing and bucket.last_used < used_before:
                del self._buckets[number]
