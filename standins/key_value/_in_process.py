"""In-process implementation of the store interface, without HTTP."""

from collections.abc import AsyncGenerator
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Sequence
import contextlib
from typing import TypeVar

import result
import trio

from geraniumstair import store
from standins.key_value import _faults
from standins.key_value import _state

_T = TypeVar("_T")


def _to_key_value(record: _state.Record) -> store.KeyValue:
    return store.KeyValue(
        key=record.key.decode(),
        value=record.value,
        create_revision=record.create_revision,
        mod_revision=record.mod_revision,
        lease_id=record.lease_id,
    )


class InProcessStore:
    """A `store.KeyValueStore` for unit tests on a virtual clock.

    Several instances may share one state. Each instance has its own faults,
    so that a test can disconnect a single node from the store.

    Args:
        state: Keys, history and leases.
        faults: Faults to apply to the calls; None for no faults.
        timeout_ms: Timeout of each call.
    """

    def __init__(
        self,
        state: _state.KeyValueState,
        faults: _faults.FaultPlan | None = None,
        *,
        timeout_ms: float = 1000,
    ) -> None:
        self.state = state
        self.faults = faults or _faults.FaultPlan()
        self._timeout_ms = timeout_ms
        self._deferred: list[Callable[[], object]] = []

    def execute_deferred(self) -> None:
        """Executes the deferred calls after their callers have timed out."""
        deferred, self._deferred = self._deferred, []
        for execute in deferred:
            execute()

    async def get(
        self, key: str
    ) -> result.Result[store.KeyValue | None, store.StoreFailure]:
        """Reads a key."""
        outcome = await self._call(
            "range", lambda: self.state.read(key.encode())
        )
        return outcome.map(lambda r: _to_key_value(r[0]) if r else None)

    async def get_prefix(
        self, prefix: str
    ) -> result.Result[Sequence[store.KeyValue], store.StoreFailure]:
        """Reads all keys with a prefix."""
        start = prefix.encode()
        end = start[:-1] + bytes([start[-1] + 1])
        outcome = await self._call("range", lambda: self.state.read(start, end))
        return outcome.map(lambda records: [_to_key_value(r) for r in records])

    async def commit(
        self, transaction: store.Transaction
    ) -> result.Result[store.CommitOutcome, store.StoreFailure]:
        """Applies the transaction if all its conditions hold."""
        conditions = [
            _state.Condition(c.key.encode(), c.target.value, c.expected)
            for c in transaction.compares
        ]
        operations = [
            _state.Operation(p.key.encode(), p.value, p.lease_id)
            for p in transaction.puts
        ] + [
            _state.Operation(d.key.encode(), None) for d in transaction.deletes
        ]

        def execute() -> store.CommitOutcome:
            committed = self.state.transact(conditions, operations)
            return store.CommitOutcome(committed, self.state.revision)

        return await self._call("txn", execute)

    async def grant_lease(
        self, ttl_s: int
    ) -> result.Result[int, store.StoreFailure]:
        """Creates a lease."""
        return await self._call(
            "lease_grant", lambda: self.state.grant_lease(ttl_s)
        )

    async def keep_alive(
        self, lease_id: int
    ) -> result.Result[bool, store.StoreFailure]:
        """Renews a lease."""
        return await self._call(
            "lease_keepalive", lambda: self.state.keep_alive(lease_id) > 0
        )

    async def revoke_lease(
        self, lease_id: int
    ) -> result.Result[None, store.StoreFailure]:
        """Revokes a lease and deletes its keys."""
        outcome = await self._call(
            "lease_revoke", lambda: self.state.end_lease(lease_id)
        )
        return outcome.map(lambda _: None)

    @contextlib.asynccontextmanager
    async def watch(
        self, key: str, from_revision: int
    ) -> AsyncIterator[AsyncIterator[store.KeyValue]]:
        """Watches one key.

        The faults do not affect watches, but a compaction ends them.
        """
        self.faults.calls["watch"] += 1
        start = from_revision or self.state.revision + 1
        async with contextlib.aclosing(
            self._iterate_changes(key, start)
        ) as changes:
            yield changes

    async def _iterate_changes(
        self, key: str, next_revision: int
    ) -> AsyncGenerator[store.KeyValue, None]:
        while True:
            seen_revision = self.state.revision
            try:
                records = self.state.changes(key.encode(), next_revision)
            except _state.Compacted as error:
                raise store.WatchCompactedError(
                    error.compact_revision
                ) from error
            for record in records:
                yield _to_key_value(record)
            next_revision = max(next_revision, seen_revision + 1)
            await self.state.wait_revision(seen_revision)

    async def _call(
        self, kind: str, execute: Callable[[], _T]
    ) -> result.Result[_T, store.StoreFailure]:
        executed = False
        with trio.move_on_after(self._timeout_ms / 1000):
            await trio.lowlevel.checkpoint()
            try:
                await self.faults.begin_call(kind)
            except _faults.CallRefused as error:
                return result.Err(
                    store.StoreFailure(store.Effect.NONE, str(error))
                )
            if self.faults.defer_next:
                self.faults.defer_next -= 1
                self._deferred.append(execute)
                await trio.sleep_forever()
            try:
                outcome = execute()
            except _state.LeaseNotFound as error:
                return result.Err(
                    store.StoreFailure(store.Effect.NONE, f"no lease {error}")
                )
            executed = True
            if self.faults.consume_lost_answer():
                await trio.sleep_forever()
            if self.faults.answer_delay_ms:
                await trio.sleep(self.faults.answer_delay_ms / 1000)
            return result.Ok(outcome)
        detail = "answer lost" if executed else "timeout"
        return result.Err(store.StoreFailure(store.Effect.UNKNOWN, detail))
