"""State of the simulated key-value service: keys, history and leases."""

from collections.abc import Sequence
import dataclasses

import trio


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """A key at one revision; `create_revision` 0 marks a deletion."""

    key: bytes
    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class Condition:
    """A condition of a transaction: the expected revision of a key.

    Attributes:
        key: The key.
        target: `MOD` or `CREATE`: the revision to compare.
        expected: Expected revision; 0 if the key must not exist.
    """

    key: bytes
    target: str
    expected: int


@dataclasses.dataclass(frozen=True, slots=True)
class Operation:
    """A put, or a deletion if `value` is None."""

    key: bytes
    value: bytes | None
    lease_id: int = 0


@dataclasses.dataclass(slots=True)
class _Lease:
    ttl_s: float
    expires_s: float
    keys: set[bytes]


class LeaseNotFound(Exception):
    """The lease has expired, was revoked or never existed."""


class Compacted(Exception):
    """The requested revision is no longer in the history.

    Attributes:
        compact_revision: Oldest revision in the history.
    """

    def __init__(self, compact_revision: int) -> None:
        super().__init__(f"compacted up to revision {compact_revision}")
        self.compact_revision = compact_revision


class KeyValueState:
    """Keys, history and leases, on the clock of the running trio loop.

    All methods but `wait_revision` and `run` are synchronous, so each of
    them is atomic. Expired leases are removed at the next access to keys or
    leases, or by `run`.

    Attributes:
        revision: Revision of the last change.
        compact_revision: Oldest revision in the history.
    """

    def __init__(self) -> None:
        self.revision = 1
        self.compact_revision = 0
        self._records: dict[bytes, Record] = {}
        self._history: list[Record] = []
        self._leases: dict[int, _Lease] = {}
        self._last_lease_id = 1000
        self._changed = trio.Event()

    def read(self, start: bytes, end: bytes = b"") -> Sequence[Record]:
        """Returns the records of a key or of a range of keys, sorted by key.

        Args:
            start: The key, or the first key of the range.
            end: End of the range, exclusive; empty reads a single key, and a
                zero byte reads all keys from `start` on.
        """
        self.expire_leases()
        if not end:
            record = self._records.get(start)
            return [] if record is None else [record]
        return [
            self._records[key]
            for key in sorted(self._records)
            if start <= key and (end == b"\0" or key < end)
        ]

    def transact(
        self, conditions: Sequence[Condition], operations: Sequence[Operation]
    ) -> bool:
        """Applies the operations at one revision if all conditions hold.

        Returns:
            Whether all conditions held.

        Raises:
            LeaseNotFound: An operation names an unknown lease; no operation
                was applied.
        """
        self.expire_leases()
        if not all(
            self._condition_holds(condition) for condition in conditions
        ):
            return False
        for operation in operations:
            if operation.lease_id and operation.lease_id not in self._leases:
                raise LeaseNotFound(str(operation.lease_id))
        self._apply_operations(operations)
        return True

    def grant_lease(self, ttl_s: float) -> int:
        """Creates a lease; returns its id."""
        self._last_lease_id += 1
        expires_s = trio.current_time() + ttl_s
        self._leases[self._last_lease_id] = _Lease(ttl_s, expires_s, set())
        return self._last_lease_id

    def keep_alive(self, lease_id: int) -> float:
        """Renews a lease; returns its TTL in s, or 0 if there is none."""
        self.expire_leases()
        lease = self._leases.get(lease_id)
        if lease is None:
            return 0
        lease.expires_s = trio.current_time() + lease.ttl_s
        return lease.ttl_s

    def end_lease(self, lease_id: int) -> bool:
        """Deletes a lease and its keys; returns False if it does not exist."""
        lease = self._leases.pop(lease_id, None)
        if lease is None:
            return False
        self._apply_operations(
            [Operation(key, None) for key in sorted(lease.keys)]
        )
        return True

    def expire_leases(self) -> None:
        """Deletes the expired leases and their keys."""
        now_s = trio.current_time()
        for lease_id, lease in list(self._leases.items()):
            if lease.expires_s <= now_s:
                self.end_lease(lease_id)

    def lease_ids(self) -> Sequence[int]:
        """Returns the ids of the leases that have not expired."""
        self.expire_leases()
        return list(self._leases)

    def compact(self, revision: int) -> None:
        """Removes the history before a revision."""
        self.compact_revision = max(self.compact_revision, revision)
        self._history = [r for r in self._history if r.mod_revision >= revision]

    def changes(self, key: bytes, from_revision: int) -> Sequence[Record]:
        """Returns the changes of a key since a revision, oldest first.

        Raises:
            Compacted: `from_revision` is no longer in the history.
        """
        if from_revision < self.compact_revision:
            raise Compacted(self.compact_revision)
        return [
            record
            for record in self._history
            if record.key == key and record.mod_revision >= from_revision
        ]

    def all_changes(self, from_revision: int) -> Sequence[Record]:
        """Returns the changes of all keys since a revision, oldest first."""
        return [r for r in self._history if r.mod_revision >= from_revision]

    async def wait_revision(self, seen_revision: int) -> int:
        """Waits for a revision greater than `seen_revision`; returns it."""
        while self.revision <= seen_revision:
            await self._changed.wait()
        return self.revision

    async def run(self) -> None:
        """Expires leases on time, so that watches report the deletions."""
        while True:
            await trio.sleep(0.05)
            self.expire_leases()

    def _condition_holds(self, condition: Condition) -> bool:
        record = self._records.get(condition.key)
        if record is None:
            return condition.expected == 0
        if condition.target == "CREATE":
            return record.create_revision == condition.expected
        return record.mod_revision == condition.expected

    def _apply_operations(self, operations: Sequence[Operation]) -> None:
        changing = [
            o
            for o in operations
            if o.value is not None or o.key in self._records
        ]
        if not changing:
            return
        self.revision += 1
        for operation in changing:
            self._detach_from_lease(operation.key)
            if operation.value is None:
                del self._records[operation.key]
                record = Record(operation.key, b"", 0, self.revision, 0, 0)
            else:
                record = self._put(operation, operation.value)
            self._history.append(record)
        self._changed.set()
        self._changed = trio.Event()

    def _put(self, operation: Operation, value: bytes) -> Record:
        previous = self._records.get(operation.key)
        record = Record(
            key=operation.key,
            value=value,
            create_revision=previous.create_revision
            if previous
            else self.revision,
            mod_revision=self.revision,
            version=previous.version + 1 if previous else 1,
            lease_id=operation.lease_id,
        )
        self._records[operation.key] = record
        if operation.lease_id:
            self._leases[operation.lease_id].keys.add(operation.key)
        return record

    def _detach_from_lease(self, key: bytes) -> None:
        previous = self._records.get(key)
        if previous is not None and previous.lease_id in self._leases:
            self._leases[previous.lease_id].keys.discard(key)
