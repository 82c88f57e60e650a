"""Interface of the platform's key-value service."""

from collections.abc import AsyncIterator
from collections.abc import Sequence
import contextlib
import dataclasses
import enum
from typing import Protocol

import result

from geraniumstair import errors

MAX_VALUE_BYTES = 1_000_000


class Effect(enum.Enum):
    """What a failed call may have done to the store."""

    NONE = "none"
    """The call was certainly not executed."""
    UNKNOWN = "unknown"
    """The call may have taken effect, or may still take effect."""


class CompareTarget(enum.Enum):
    """The revision of a key that a transaction compares."""

    MOD_REVISION = "MOD"
    CREATE_REVISION = "CREATE"


@dataclasses.dataclass(frozen=True, slots=True)
class KeyValue:
    """One key at one revision.

    Attributes:
        key: The key, without the prefix of the site.
        value: At most `MAX_VALUE_BYTES`.
        create_revision: Revision at which the key was created; 0 if a watch
            reports the deletion of the key.
        mod_revision: Revision of the last change.
        lease_id: Lease that the key is attached to; 0 if none.
    """

    key: str
    value: bytes
    create_revision: int
    mod_revision: int
    lease_id: int = 0

    @property
    def deleted(self) -> bool:
        """True if a watch reports the deletion of the key."""
        return self.create_revision == 0


@dataclasses.dataclass(frozen=True, slots=True)
class Compare:
    """A condition of a transaction.

    Attributes:
        key: The key.
        target: Which of its revisions is compared.
        expected: The revision; 0 holds only if the key does not exist.
    """

    key: str
    target: CompareTarget
    expected: int


@dataclasses.dataclass(frozen=True, slots=True)
class Put:
    """A write of a key; `lease_id` 0 means that the key does not expire."""

    key: str
    value: bytes
    lease_id: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Delete:
    """A deletion of a key; not an error if the key does not exist."""

    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Transaction:
    """Changes that are made atomically if all compares hold.

    A key may occur only once among the puts and deletes.
    """

    compares: Sequence[Compare] = ()
    puts: Sequence[Put] = ()
    deletes: Sequence[Delete] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class CommitOutcome:
    """Outcome of a transaction.

    Attributes:
        committed: False if a compare failed and nothing was changed.
        revision: Revision of the store; if committed, the mod revision of
            the keys that were put.
    """

    committed: bool
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class StoreFailure:
    """A call that got no valid answer.

    Attributes:
        effect: Whether the call may have been executed.
        detail: One sentence for logs.
    """

    effect: Effect
    detail: str


class WatchCompactedError(errors.GeraniumstairError):
    """A watch cannot continue: the store has compacted its next revision.

    The caller reads the key again and watches from the revision after the
    read.

    Attributes:
        compact_revision: Oldest revision that can be watched from.
    """

    def __init__(self, compact_revision: int) -> None:
        super().__init__(f"revisions before {compact_revision} are compacted")
        self.compact_revision = compact_revision


class StoreRestoredError(WatchCompactedError):
    """The store was restored from a copy; its later history is gone.

    Args:
        revision: The revision from which changes were requested.
        generation: Number of restores that the store reports.
    """

    def __init__(self, revision: int, generation: int) -> None:
        super().__init__(revision)
        self.generation = generation

    def __str__(self) -> str:
        return f"the store was restored from a copy ({self.generation} times)"


class KeyValueStore(Protocol):
    """The key-value service; failed calls return an `Err`, not an exception."""

    async def get(
        self, key: str
    ) -> result.Result[KeyValue | None, StoreFailure]:
        """Reads a key; `None` if it does not exist."""
        ...

    async def get_prefix(
        self, prefix: str
    ) -> result.Result[Sequence[KeyValue], StoreFailure]:
        """Reads all keys with a prefix at one revision, in key order."""
        ...

    async def commit(
        self, transaction: Transaction
    ) -> result.Result[CommitOutcome, StoreFailure]:
        """Makes the changes if all compares hold."""
        ...

    async def grant_lease(self, ttl_s: int) -> result.Result[int, StoreFailure]:
        """Creates a lease and returns its id."""
        ...

    async def keep_alive(
        self, lease_id: int
    ) -> result.Result[bool, StoreFailure]:
        """Renews a lease; False if it has expired or never existed."""
        ...

    async def revoke_lease(
        self, lease_id: int
    ) -> result.Result[None, StoreFailure]:
        """Revokes a lease and deletes its keys; no error if it has expired."""
        ...

    def watch(
        self, key: str, from_revision: int
    ) -> contextlib.AbstractAsyncContextManager[AsyncIterator[KeyValue]]:
        """Watches one key.

        Args:
            key: The key.
            from_revision: First revision to report; 0 means from now.

        Returns:
            A context manager of an iterator over the changes, deletions
            included. It reconnects while the store is down, and raises
            `WatchCompactedError` if the store no longer has missed changes.
        """
        ...
