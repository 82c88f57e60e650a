"""Pending claims of one bucket, and the task that writes them."""

import collections
from collections.abc import Callable
import dataclasses
import logging
import math
import secrets

import result
import trio

from geraniumstair import store
from geraniumstair._generated import codes
from geraniumstair._generated import messages
from geraniumstair.idempotency import _ledger

_LOG = logging.getLogger(__name__)
MAX_DEADLINE_MS = 60_000
GROUP_COMMIT_DELAY_S = 0.005
# With this rate limit all 64 buckets together stay below the several hundred
# writes a second that the store can take, however many nodes write them. Claims
# that wait are written in one batch.
BATCH_INTERVAL_S = 0.25
BATCH_BURST = 2
MAX_BATCH_KEYS = 1000
MAX_QUEUED_CLAIMS = 2000
# While the store is down, one claim in each interval is sent to the store, and
# the other claims are refused at once: otherwise each of them would wait for a
# store timeout.
PROBE_INTERVAL_S = 0.25
# Bounds the concurrent store calls of all buckets of a node, because the store
# takes only several hundred writes a second from all nodes together. While the
# limit is reached, claims accumulate in larger batches.
MAX_STORE_CALLS = 8
MAX_UNGRANTED_KEYS = 10_000
MIN_RETRY_DELAY_S = 0.02
MAX_RETRY_DELAY_S = 1.0
_BATCH_ID_BYTES = 16


def check_request(request: messages.ClaimRequest) -> messages.ClaimReply | None:
    """Returns the refusal of an invalid request, or None if it is valid."""
    if len(request.key) != _ledger.KEY_BYTES:
        return build_reply(
            codes.Code.MALFORMED_BODY, "the claim key is not a SHA-256 digest"
        )
    if not 0 < request.deadline_ms <= MAX_DEADLINE_MS:
        return build_reply(
            codes.Code.INVALID_DEADLINE, "the deadline is out of range"
        )
    return None


def build_reply(
    code: codes.Code, detail: str, outcome: bytes = b""
) -> messages.ClaimReply:
    """Returns a reply to a claim."""
    return messages.ClaimReply(code=int(code), detail=detail, outcome=outcome)


class StoreCircuitBreaker:
    """Circuit breaker and concurrency limit of a node's store calls.

    All buckets of the node share one breaker: otherwise each of them would
    detect a hanging store by its own timeout, after waiting for one of the few
    concurrent calls. A failure counts only if no call has succeeded since the
    failed call started: one lost reply is not an outage.

    Attributes:
        limiter: Limits the concurrent store calls.
        down: True after a failure that counted, until the next success.
        failed_at: Time of the last failure that counted.
    """

    def __init__(self) -> None:
        self.limiter = trio.CapacityLimiter(MAX_STORE_CALLS)
        self.down = False
        self.failed_at = -math.inf
        self._succeeded_at = -math.inf
        self._next_probe_at = -math.inf

    def try_admit(self) -> bool:
        """Returns True if a new claim may be sent to the store.

        While the store is down, one claim in each `PROBE_INTERVAL_S` may.
        """
        now = trio.current_time()
        if not self.down:
            return True
        if now < self._next_probe_at:
            return False
        self._next_probe_at = now + PROBE_INTERVAL_S
        return True

    def record_failure(self, started_at: float) -> None:
        """Records that a call that started at the given time has failed."""
        if self._succeeded_at >= started_at:
            return
        self.down = True
        self.failed_at = trio.current_time()
        self._next_probe_at = self.failed_at + PROBE_INTERVAL_S

    def record_success(self) -> None:
        """Records that the store has replied to a call."""
        self.down = False
        self._succeeded_at = trio.current_time()


class Claim:
    """A claim whose caller waits for the reply.

    Attributes:
        key: The claim key.
        deadline: Time on trio's clock.
        queued_at: Time on trio's clock at which the claim was first queued.
        reply: Set once; a claim that was refused is not granted later.
    """

    def __init__(self, key: bytes, deadline: float) -> None:
        self.key = key
        self.deadline = deadline
        self.queued_at = trio.current_time()
        self.reply: messages.ClaimReply | None = None
        self._replied = trio.Event()

    def set_reply(self, code: codes.Code, detail: str) -> messages.ClaimReply:
        """Sets the reply unless there is one already, and returns the reply."""
        if self.reply is None:
            self.reply = build_reply(code, detail)
            self._replied.set()
        return self.reply

    async def wait(self) -> None:
        """Waits for the reply, at most until the deadline."""
        with trio.move_on_at(self.deadline):
            await self._replied.wait()


@dataclasses.dataclass(slots=True)
class _PendingBatch:
    """A batch that is being written to the store.

    Attributes:
        may_take_effect: True once a write of the batch may have taken effect
            or may still do so.
    """

    batch: messages.ClaimBatch
    transaction: store.Transaction
    claims: list[Claim]
    may_take_effect: bool = False


class Bucket:
    """Groups the claims of one bucket into batches and writes them.

    At most one batch is in progress. After a write with an unknown outcome
    the same transaction is sent again until it is known whether the batch is
    recorded. All attempts compare the same head revision, so at most one of
    them commits, and all of them record the same batch.

    Args:
        bucket_number: Number of the bucket.
        kv_store: The store.
        breaker: Circuit breaker shared by all buckets of this node.
        now_ms: Returns the wall-clock time in ms.

    Attributes:
        last_used: Time on trio's clock at which a claim was last queued.
        is_writing: True while `write_claims` is scheduled or running.
    """

    def __init__(
        self,
        bucket_number: int,
        kv_store: store.KeyValueStore,
        breaker: StoreCircuitBreaker,
        now_ms: Callable[[], int],
    ) -> None:
        self.last_used = trio.current_time()
        self.is_writing = False
        self._name = _ledger.bucket_name(bucket_number)
        self._ledger = _ledger.BucketLedger(bucket_number)
        self._store = kv_store
        self._breaker = breaker
        self._now_ms = now_ms
        self._queue: collections.deque[Claim] = collections.deque()
        self._pending: _PendingBatch | None = None
        # Claims in the queue or in the pending batch, by key.
        self._in_progress: dict[bytes, Claim] = {}
        # Keys that this node has recorded without granting the claim.
        self._ungranted_keys: set[bytes] = set()
        self._retry_delay_s = MIN_RETRY_DELAY_S
        # Theoretical arrival time of the rate limit (generic cell rate
        # algorithm): the next batch may start once this time is at most
        # `BATCH_BURST - 1` intervals ahead.
        self._theoretical_arrival = -math.inf

    def find_refusal(self, key: bytes) -> messages.ClaimReply | None:
        """Returns the reply to a claim that must not be queued, or None."""
        if key in self._in_progress:
            return build_reply(
                codes.Code.ALREADY_CLAIMED,
                "another claim of this key is in progress",
            )
        if key in self._ledger:
            return self._build_claimed_refusal(key)
        if self._pending is not None and self._pending.may_take_effect:
            return self._build_store_refusal()
        if len(self._queue) >= MAX_QUEUED_CLAIMS or self._ledger.is_full:
            return build_reply(
                codes.Code.OVERLOADED,
                "too many claims of this bucket are pending or recorded",
            )
        if not self._breaker.try_admit():
            return self._build_store_refusal()
        return None

    def enqueue(self, key: bytes, deadline: float) -> Claim:
        """Queues a claim for which `find_refusal` returned None."""
        claim = Claim(key, deadline)
        self._queue.append(claim)
        self._in_progress[key] = claim
        self.last_used = trio.current_time()
        return claim

    def close_claim(self, claim: Claim) -> messages.ClaimReply:
        """Returns the reply after the caller stopped waiting.

        A claim without a reply is refused and will not be granted.
        """
        if claim.reply is not None or claim not in self._queue:
            return claim.set_reply(
                codes.Code.CLAIM_UNRESOLVED,
                "the store did not confirm the claim before the deadline",
            )
        self._queue.remove(claim)
        self._remove_in_progress(claim)
        return claim.set_reply(
            codes.Code.DEADLINE_TOO_SHORT,
            "the claim was not sent to the store in time",
        )

    async def write_claims(self) -> None:
        """Writes queued claims until the queue is empty."""
        try:
            while self._queue or self._pending:
                if self._pending is None:
                    await trio.sleep(
                        max(
                            GROUP_COMMIT_DELAY_S,
                            self._compute_rate_limit_delay_s(),
                        )
                    )
                async with self._breaker.limiter:
                    succeeded = await self._make_store_call()
                if succeeded:
                    self._retry_delay_s = MIN_RETRY_DELAY_S
                    continue
                await trio.sleep(self._retry_delay_s)
                self._retry_delay_s = min(
                    self._retry_delay_s * 2, MAX_RETRY_DELAY_S
                )
        finally:
            self.is_writing = False

    def _compute_rate_limit_delay_s(self) -> float:
        """Returns the time until the rate limit allows the next batch."""
        ahead_s = self._theoretical_arrival - trio.current_time()
        return ahead_s - (BATCH_BURST - 1) * BATCH_INTERVAL_S

    async def _make_store_call(self) -> bool:
        """Makes at most one store call; returns False if it failed."""
        if self._pending is None and self._breaker.down:
            self._refuse_queue(self._breaker.failed_at)
            if not self._queue:
                return True
        if not self._ledger.loaded:
            return await self._load_records()
        if self._pending is None:
            self._start_batch()
        if self._pending is None:
            return True
        return await self._write(self._pending)

    async def _load_records(self) -> bool:
        started_at = trio.current_time()
        records = await self._store.get_prefix(self._ledger.prefix)
        if isinstance(records, result.Err):
            self._handle_failure(records.err_value.detail, started_at)
            return False
        self._breaker.record_success()
        try:
            self._ledger.load(records.ok_value)
        except _ledger.LedgerError as error:
            self._handle_failure(f"invalid record: {error}", started_at)
            return False
        # Another node may have recorded keys in this bucket since, so that a
        # recorded key is no longer known to be ungranted.
        self._ungranted_keys.clear()
        if self._pending is not None:
            self._handle_conflict(self._pending)
        return True

    def _handle_conflict(self, pending: _PendingBatch) -> None:
        """Resolves a batch whose compare failed, after the records were read.

        The head revision has changed, so the batch is either recorded, or no
        attempt to write it can take effect any more.
        """
        self._pending = None
        if self._ledger.contains_batch(pending.batch.batch_id):
            self._reply_to_recorded(pending)
        else:
            # Claims that were refused as unresolved are queued again, too:
            # their keys must be recorded, so that no later claim of them is
            # granted.
            self._queue.extendleft(reversed(pending.claims))

    def _start_batch(self) -> None:
        claims: list[Claim] = []
        while self._queue and len(claims) < MAX_BATCH_KEYS:
            claim = self._queue.popleft()
            if claim.key in self._ledger:
                refusal = self._build_claimed_refusal(claim.key)
                claim.set_reply(codes.Code(refusal.code), refusal.detail)
                self._remove_in_progress(claim)
            elif claim.reply is None and trio.current_time() > claim.deadline:
                claim.set_reply(
                    codes.Code.DEADLINE_TOO_SHORT,
                    "the claim was not sent to the store in time",
                )
                self._remove_in_progress(claim)
            else:
                claims.append(claim)
        if not claims:
            return
        batch = messages.ClaimBatch(
            batch_id=secrets.token_bytes(_BATCH_ID_BYTES),
            created_ms=self._now_ms(),
            keys=[claim.key for claim in claims],
        )
        transaction = self._ledger.build_transaction(batch, batch.created_ms)
        self._theoretical_arrival = BATCH_INTERVAL_S + max(
            trio.current_time(), self._theoretical_arrival
        )
        self._pending = _PendingBatch(batch, transaction, claims)

    async def _write(self, pending: _PendingBatch) -> bool:
        started_at = trio.current_time()
        outcome = await self._store.commit(pending.transaction)
        if isinstance(outcome, result.Err):
            self._handle_write_failure(pending, outcome.err_value, started_at)
            return False
        self._breaker.record_success()
        if outcome.ok_value.committed:
            self._pending = None
            self._ledger.apply_committed(
                pending.batch, pending.transaction, outcome.ok_value.revision
            )
            self._reply_to_recorded(pending)
        else:
            self._ledger.loaded = False
        return True

    def _reply_to_recorded(self, pending: _PendingBatch) -> None:
        """Grants the claims of a recorded batch whose callers still wait."""
        now = trio.current_time()
        for claim in pending.claims:
            if claim.reply is None and now <= claim.deadline:
                claim.set_reply(codes.Code.OK, "")
                self._ungranted_keys.discard(claim.key)
            else:
                claim.set_reply(
                    codes.Code.CLAIM_UNRESOLVED,
                    "the store did not confirm the claim before the deadline",
                )
                if len(self._ungranted_keys) < MAX_UNGRANTED_KEYS:
                    self._ungranted_keys.add(claim.key)
            self._remove_in_progress(claim)

    def _handle_write_failure(
        self,
        pending: _PendingBatch,
        failure: store.StoreFailure,
        started_at: float,
    ) -> None:
        if failure.effect is store.Effect.UNKNOWN:
            pending.may_take_effect = True
        if not pending.may_take_effect:
            self._pending = None
            self._queue.extendleft(reversed(pending.claims))
        self._handle_failure(failure.detail, started_at)

    def _handle_failure(self, detail: str, started_at: float) -> None:
        _LOG.warning(
            "idempotency: store call for %s failed: %s", self._name, detail
        )
        self._breaker.record_failure(started_at)
        self._refuse_queue(math.inf)

    def _refuse_queue(self, queued_until: float) -> None:
        """Refuses queued claims, none of which can have been written.

        Args:
            queued_until: Latest `queued_at` of the claims to refuse.
        """
        queue, self._queue = self._queue, collections.deque()
        for claim in queue:
            if claim.reply is not None or claim.queued_at > queued_until:
                self._queue.append(claim)
                continue
            claim.set_reply(codes.Code.STORE_UNAVAILABLE, "the store is down")
            self._remove_in_progress(claim)

    def _remove_in_progress(self, claim: Claim) -> None:
        if self._in_progress.get(claim.key) is claim:
            del self._in_progress[claim.key]

    def _build_claimed_refusal(self, key: bytes) -> messages.ClaimReply:
        if key in self._ungranted_keys:
            return build_reply(
                codes.Code.CLAIM_UNRESOLVED,
                "the key is recorded, but its claim was not granted",
            )
        return build_reply(
            codes.Code.ALREADY_CLAIMED, "the key has already been claimed"
        )

    def _build_store_refusal(self) -> messages.ClaimReply:
        return build_reply(
            codes.Code.STORE_UNAVAILABLE, "the store does not respond"
        )
