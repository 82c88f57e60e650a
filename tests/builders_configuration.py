"""Builders of document texts, and an in-memory key-value store."""

from collections.abc import AsyncIterator
from collections.abc import Sequence
import contextlib

import result
import trio
import yaml

from geraniumstair import configuration
from geraniumstair import store
from tests import builders

SMALL_TEXT = """\
format: 1  # first line
regions: [{name: r1}]
availability_zones:
  # zones of the site
  - {name: az-a, region: r1}
  - name: az-b  # spare
    region: r1
    state: in
subsidiaries:
  - name: acme
    services:
      - name: desk
        shards:
          - name: p0
            endpoints:
              - name: e0
                address: 127.0.0.1
                port: 9001
                availability_zone: az-a
              - name: e1
                address: 127.0.0.1
                port: 9002
                availability_zone: az-b
                version: v2
"""

ROLLOUT = {
    "name": "desk-v2",
    "subsidiary": "acme",
    "service": "desk",
    "old_version": "v1",
    "new_version": "v2",
    "start_utc": "2030-01-01T10:00:00Z",
    "done_by_utc": "2030-01-01T12:00:00Z",
    "steps_pct": [5, 50, 100],
}


def build_text(service_count: int = 2, **counts: int) -> bytes:
    """Returns the text of `builders.build_document`."""
    document = builders.build_document(service_count=service_count, **counts)
    values = document.model_dump(mode="json")
    return yaml.safe_dump(values, sort_keys=False).encode()


class FakeStore:
    """An in-memory key-value store with scripted failures.

    Attributes:
        pairs: The stored values by key.
        failures: The failure of each following commit: None, `before` (not
            executed), `lost` (executed, answer lost) or `dropped` (not
            executed, effect unknown).
        down: Makes every call fail without effect.
        pending_compactions: Number of following changes at which a watch fails
            with `WatchCompactedError`.
        get_count: Number of reads so far.
    """

    def __init__(self) -> None:
        self.pairs: dict[str, store.KeyValue] = {}
        self.failures: list[str | None] = []
        self.down = False
        self.pending_compactions = 0
        self.get_count = 0
        self._revision = 0
        self._changed = trio.Event()

    async def get(self, key: str) -> result.Result:
        """See `store.KeyValueStore`."""
        await trio.lowlevel.checkpoint()
        self.get_count += 1
        if self.down:
            return result.Err(store.StoreFailure(store.Effect.NONE, "down"))
        return result.Ok(self.pairs.get(key))

    async def commit(self, transaction: store.Transaction) -> result.Result:
        """See `store.KeyValueStore`."""
        await trio.lowlevel.checkpoint()
        failure = self.failures.pop(0) if self.failures else None
        if self.down or failure == "before":
            return result.Err(store.StoreFailure(store.Effect.NONE, "down"))
        if failure == "dropped":
            return result.Err(store.StoreFailure(store.Effect.UNKNOWN, "lost"))
        committed = all(self._compare_succeeds(c) for c in transaction.compares)
        if committed:
            self._revision += 1
            self._put(transaction.puts)
        if failure == "lost":
            return result.Err(store.StoreFailure(store.Effect.UNKNOWN, "lost"))
        return result.Ok(store.CommitOutcome(committed, self._revision))

    def _compare_succeeds(self, compare: store.Compare) -> bool:
        pair = self.pairs.get(compare.key)
        return (pair.mod_revision if pair else 0) == compare.expected

    def _put(self, puts: Sequence[store.Put]) -> None:
        for put in puts:
            old = self.pairs.get(put.key)
            created = old.create_revision if old else self._revision
            self.pairs[put.key] = store.KeyValue(
                put.key, put.value, created, self._revision
            )
        self._changed.set()
        self._changed = trio.Event()

    @contextlib.asynccontextmanager
    async def watch(
        self, key: str, from_revision: int
    ) -> AsyncIterator[AsyncIterator[store.KeyValue]]:
        """See `store.KeyValueStore`."""
        yield self._iterate_changes(key)

    async def _iterate_changes(self, key: str) -> AsyncIterator[store.KeyValue]:
        while True:
            await self._changed.wait()
            if self.pending_compactions:
                self.pending_compactions -= 1
                raise store.WatchCompactedError(1)
            yield self.pairs[key]

    def record(self) -> configuration.StoredConfiguration:
        """Returns the decoded record of the key `configuration`."""
        pair = self.pairs["configuration"]
        record = configuration.decode_record(pair.value).unwrap()
        return configuration.StoredConfiguration(record, pair.mod_revision)
