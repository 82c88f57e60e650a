"""A store for tests of usage reports, with leases, generations and faults."""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import itertools
import json
from typing import Any

import result
import trio

from geraniumstair import mirror
from geraniumstair import store
from geraniumstair import usage

# Time after which a change of the store reaches the mirrors.
SPREAD_S = 0.1
STORE_DELAY_S = 0.01
STORE_TIMEOUT_S = 1.5
_EXPIRY_CHECK_S = 0.05


@dataclasses.dataclass(frozen=True)
class Item:
    """A key of the store with its plain revisions."""

    value: bytes
    created: int
    modified: int
    lease_id: int


class UsageStore:
    """A store with leases and generations, whose changes reach the mirrors.

    Attributes:
        items: The keys.
        leases: End of each lease.
        down: No call is executed.
        calls: Number of calls of all nodes.
    """

    def __init__(self, nursery: trio.Nursery) -> None:
        self._nursery = nursery
        self._generation = 0
        self._revision = 100
        self._lease_ids = itertools.count(1)
        self._ttl_s: dict[int, float] = {}
        self._followers: list[mirror.Mirror] = []
        self.items: dict[str, Item] = {}
        self.leases: dict[int, float] = {}
        self.down = False
        self.calls = 0
        nursery.start_soon(self._expire_loop)

    def follow(self, local_mirror: mirror.Mirror) -> None:
        """Sends all changes to the mirror of a node."""
        self._followers.append(local_mirror)
        local_mirror.replace(self._list_items(), self.position)

    def unfollow(self, local_mirror: mirror.Mirror) -> None:
        """Stops sending changes to the mirror of a node."""
        self._followers.remove(local_mirror)

    @property
    def position(self) -> int:
        """The ordered revision of the store."""
        return store.order_revision(self._generation, self._revision)

    def _list_items(self) -> list[mirror.MirrorItem]:
        return [
            mirror.MirrorItem(key, item.value, self._order(item.modified))
            for key, item in self.items.items()
        ]

    def _order(self, revision: int) -> int:
        return store.order_revision(self._generation, revision)

    async def _expire_loop(self) -> None:
        while True:
            await trio.sleep(_EXPIRY_CHECK_S)
            now_s = trio.current_time()
            for lease_id in [i for i, s in self.leases.items() if s <= now_s]:
                self.end_lease(lease_id)

    def end_lease(self, lease_id: int) -> None:
        """Ends a lease and deletes its keys."""
        self.leases.pop(lease_id, None)
        keys = [k for k, i in self.items.items() if i.lease_id == lease_id]
        if keys:
            self.change({}, keys)

    def grant(self, ttl_s: float) -> int:
        """Creates a lease."""
        lease_id = next(self._lease_ids)
        self._ttl_s[lease_id] = ttl_s
        self.leases[lease_id] = trio.current_time() + ttl_s
        return lease_id

    def renew(self, lease_id: int) -> bool:
        """Renews a lease."""
        if lease_id not in self.leases:
            return False
        self.leases[lease_id] = trio.current_time() + self._ttl_s[lease_id]
        return True

    def change(
        self, puts: Mapping[str, tuple[bytes, int]], deletes: Sequence[str]
    ) -> None:
        """Writes and deletes keys at one revision."""
        self._revision += 1
        changed = []
        for key, (value, lease_id) in puts.items():
            known = self.items.get(key)
            created = known.created if known else self._revision
            self.items[key] = Item(value, created, self._revision, lease_id)
            changed.append(mirror.MirrorItem(key, value, self.position))
        for key in deletes:
            if self.items.pop(key, None) is not None:
                changed.append(mirror.MirrorItem(key, None, self.position))
        self._nursery.start_soon(self._spread, changed, self.position)

    async def _spread(
        self, changed: list[mirror.MirrorItem], position: int
    ) -> None:
        await trio.sleep(SPREAD_S)
        for local_mirror in self._followers:
            local_mirror.apply(changed, position)

    def execute(self, transaction: store.Transaction) -> store.CommitOutcome:
        """Executes a transaction if its compares hold."""
        for compare in transaction.compares:
            generation, revision = store.split_revision(compare.expected)
            item = self.items.get(compare.key)
            found = item.modified if item else 0
            if found != revision or (
                revision and generation != self._generation
            ):
                return store.CommitOutcome(False, 0)
        if any(p.lease_id and p.lease_id not in self.leases
               for p in transaction.puts):  # fmt: skip
            return store.CommitOutcome(False, 0)
        self.change(
            {put.key: (put.value, put.lease_id) for put in transaction.puts},
            [delete.key for delete in transaction.deletes],
        )
        return store.CommitOutcome(True, self.position)

    def read(self, key: str) -> store.KeyValue | None:
        """Reads a key."""
        item = self.items.get(key)
        if item is None:
            return None
        return store.KeyValue(
            key,
            item.value,
            self._order(item.created),
            self._order(item.modified),
            item.lease_id,
        )

    def copy(self) -> Any:
        """Returns a copy from which the store can be restored."""
        return dict(self.items), dict(self.leases), self._revision

    def restore(self, copy: Any) -> None:
        """Restores the store from a copy."""
        self._generation += 1
        items, leases, self._revision = copy
        self.items, self.leases = dict(items), dict(leases)
        for local_mirror in self._followers:
            local_mirror.replace(self._list_items(), self.position)

    def find_record(self) -> Any:
        """Returns the recorded report as decoded JSON; None without one."""
        item = self.items.get(usage.RECORD_KEY)
        return json.loads(item.value) if item is not None else None


class StoreAccess:
    """One node's calls to the store.

    Attributes:
        cut: Calls are not executed and time out.
        commit_fault: Returns what happens to a transaction: `""`, `lost` (it is
            executed and its result is unknown) or a number of seconds after
            which it is executed, with unknown result.
        loses_renewal: Returns whether the answer to a renewal is lost.
        thawed: Not set while the node is frozen.
    """

    def __init__(self, usage_store: UsageStore, nursery: trio.Nursery) -> None:
        self._store = usage_store
        self._nursery = nursery
        self.cut = False
        self.commit_fault: Callable[[store.Transaction], str | float] = (
            lambda transaction: ""
        )
        self.loses_renewal: Callable[[], bool] = lambda: False
        self.thawed = trio.Event()
        self.thawed.set()

    async def _call(self, execute: Callable[[], Any]) -> Any:
        self._store.calls += 1
        await self.thawed.wait()
        if self._store.down:
            await trio.sleep(STORE_DELAY_S)
            return _fail(store.Effect.NONE)
        if self.cut:
            await trio.sleep(STORE_TIMEOUT_S)
            return _fail(store.Effect.UNKNOWN)
        await trio.sleep(STORE_DELAY_S / 2)
        outcome = execute()
        await trio.sleep(STORE_DELAY_S / 2)
        await self.thawed.wait()
        return result.Ok(outcome)

    async def get(self, key: str) -> Any:
        """Reads a key."""
        return await self._call(lambda: self._store.read(key))

    async def commit(self, transaction: store.Transaction) -> Any:
        """Executes a transaction."""
        fault = self.commit_fault(transaction)
        if isinstance(fault, float):
            self._nursery.start_soon(self._execute_late, transaction, fault)
            await trio.sleep(STORE_TIMEOUT_S)
            return _fail(store.Effect.UNKNOWN)
        outcome = await self._call(lambda: self._store.execute(transaction))
        return await self._lose_answer() if fault else outcome

    async def _lose_answer(self) -> Any:
        await trio.sleep(STORE_TIMEOUT_S)
        return _fail(store.Effect.UNKNOWN)

    async def _execute_late(
        self, transaction: store.Transaction, delay_s: float
    ) -> None:
        await trio.sleep(delay_s)
        self._store.execute(transaction)

    async def grant_lease(self, ttl_s: int) -> Any:
        """Creates a lease."""
        return await self._call(lambda: self._store.grant(ttl_s))

    async def keep_alive(self, lease_id: int) -> Any:
        """Renews a lease."""
        outcome = await self._call(lambda: self._store.renew(lease_id))
        return await self._lose_answer() if self.loses_renewal() else outcome

    async def revoke_lease(self, lease_id: int) -> Any:
        """Ends a lease."""
        return await self._call(lambda: self._store.end_lease(lease_id))


def _fail(effect: store.Effect) -> Any:
    return result.Err(store.StoreFailure(effect, "failed"))
