"""Records of the claims of one bucket in the store."""

import collections
from collections.abc import Sequence
import dataclasses

import msgspec

from geraniumstair import store
from geraniumstair._generated import messages

BUCKET_COUNT = 64
KEY_BYTES = 32
RETENTION_MS = 24 * 3600 * 1000
# The store refuses transactions of more than 128 operations.
MAX_DELETES = 32
MAX_BUCKET_KEYS = 1_000_000


def bucket_of(key: bytes) -> int:
    """Returns the bucket number of a claim key (a SHA-256 digest)."""
    return key[0] % BUCKET_COUNT


def bucket_name(bucket_number: int) -> str:
    """Returns the key prefix of a bucket in the store.

    Nodes are ranked by this name to choose the owner of the bucket.
    """
    return f"once/{bucket_number}"


@dataclasses.dataclass(frozen=True, slots=True)
class _Batch:
    sequence: int
    batch_id: bytes
    created_ms: int
    keys: Sequence[bytes]


class LedgerError(Exception):
    """A record of a bucket cannot be decoded."""


class BucketLedger:
    """In-memory copy of the records of a bucket.

    The copy may be stale. This is harmless, because claimed keys stay claimed
    for `RETENTION_MS` and each write compares the head revision: the store
    revision of the head record, which holds the newest batch's sequence number.

    Args:
        bucket_number: Number of the bucket.

    Attributes:
        loaded: False if the records must be read before the next write.
    """

    def __init__(self, bucket_number: int) -> None:
        self._prefix = bucket_name(bucket_number) + "/"
        self.loaded = False
        self._head_revision = 0
        self._sequence = 0
        self._batches: collections.deque[_Batch] = collections.deque()
        self._claimed: set[bytes] = set()

    @property
    def prefix(self) -> str:
        """Prefix of the bucket's keys in the store."""
        return self._prefix

    @property
    def is_full(self) -> bool:
        """True if the bucket has reached its maximum number of keys."""
        return len(self._claimed) >= MAX_BUCKET_KEYS

    def __contains__(self, key: bytes) -> bool:
        return key in self._claimed

    def contains_batch(self, batch_id: bytes) -> bool:
        """Returns whether the batch is recorded."""
        return any(b.batch_id == batch_id for b in self._batches)

    def load(self, records: Sequence[store.KeyValue]) -> None:
        """Replaces the copy by the records of the bucket.

        Args:
            records: All records of the bucket, read at one revision.

        Raises:
            LedgerError: A record cannot be decoded; the copy is unchanged.
        """
        head_key = self._prefix + "head"
        head_revision = 0
        sequence = 0
        batches = []
        try:
            for record in records:
                if record.key == head_key:
                    head_revision = record.mod_revision
                    sequence = int(record.value)
                else:
                    batches.append(self._decode_batch(record))
        except (ValueError, msgspec.MsgspecError) as error:
            raise LedgerError(str(error)) from error
        batches.sort(key=lambda batch: batch.sequence)
        self._head_revision = head_revision
        self._sequence = sequence
        self._batches = collections.deque(batches)
        self._claimed = {key for batch in batches for key in batch.keys}
        self.loaded = True

    def build_transaction(
        self, batch: messages.ClaimBatch, now_ms: int
    ) -> store.Transaction:
        """Returns the transaction that appends a batch and deletes old batches.

        The transaction commits at most once, however often it is sent,
        because it compares the revision of the head record and changes it.
        """
        sequence = self._sequence + 1
        head_key = self._prefix + "head"
        compare = store.Compare(
            head_key, store.CompareTarget.MOD_REVISION, self._head_revision
        )
        puts = [
            store.Put(head_key, str(sequence).encode()),
            store.Put(
                f"{self._prefix}{sequence:016d}", msgspec.msgpack.encode(batch)
            ),
        ]
        deletes: list[store.Delete] = []
        for old in self._batches:
            if old.created_ms >= now_ms - RETENTION_MS:
                break
            if len(deletes) == MAX_DELETES:
                break
            deletes.append(store.Delete(f"{self._prefix}{old.sequence:016d}"))
        return store.Transaction([compare], puts, deletes)

    def apply_committed(
        self,
        batch: messages.ClaimBatch,
        transaction: store.Transaction,
        revision: int,
    ) -> None:
        """Updates the copy after a transaction has committed."""
        self._head_revision = revision
        self._sequence += 1
        for _ in transaction.deletes:
            self._claimed.difference_update(self._batches.popleft().keys)
        self._batches.append(
            _Batch(self._sequence, batch.batch_id, batch.created_ms, batch.keys)
        )
        self._claimed.update(batch.keys)

    def _decode_batch(self, record: store.KeyValue) -> _Batch:
        sequence = int(record.key.removeprefix(self._prefix))
        batch = msgspec.msgpack.decode(record.value, type=messages.ClaimBatch)
        return _Batch(sequence, batch.batch_id, batch.created_ms, batch.keys)
