"""Builders of fakes that speak the platform's protocols, for its adapter."""

import base64
from collections.abc import Mapping
import dataclasses
import json
from typing import Any
import urllib.parse

import result
import trio

from geraniumstair import store
from geraniumstair.platform import _store

GENERATION_HEADER = "Store-Era"


@dataclasses.dataclass(frozen=True)
class StoreCopy:
    """A copy of the store's contents and of its revision."""

    items: Mapping[str, Any]
    revision: int


class FakeStoreConnection:
    """The platform's store on the wire: reads, watches and restores.

    It takes the place of `store.StoreConnection`.

    Attributes:
        calls: Number of calls so far.
        down: The store does not answer.
    """

    def __init__(self) -> None:
        self.calls = 0
        self.down = False
        self._revision = 1
        self._generation = 1
        self._items: dict[str, Any] = {}
        # Events by revision; a restore discards them.
        self._history: list[Any] = []
        self._changed = trio.Event()

    def client(self) -> _store.PlatformStore:
        """Returns a client of this store."""
        client = _store.PlatformStore("10.0.0.1:1", store.StoreMetrics())
        client._connection = self
        return client

    def put(self, key: str, value: bytes) -> None:
        """Writes a key."""
        self._revision += 1
        self._items[key] = {
            "Key": key,
            "Value": base64.b64encode(value).decode(),
            "Revision": self._revision,
            "Created": self._revision,
            "Lease": 0,
        }
        self._add_event(self._items[key])

    def remove(self, key: str) -> None:
        """Deletes a key."""
        self._revision += 1
        del self._items[key]
        self._add_event(
            {"Key": key, "Revision": self._revision, "Deleted": True}
        )

    def _add_event(self, event: Any) -> None:
        self._history.append(event)
        self._changed.set()
        self._changed = trio.Event()

    def copy(self) -> StoreCopy:
        """Returns a copy of the present contents."""
        return StoreCopy(dict(self._items), self._revision)

    def restore(self, copy: StoreCopy) -> None:
        """Replaces the contents by those of a copy."""
        self._items = dict(copy.items)
        self._revision = copy.revision
        self._history.clear()
        self._generation += 1

    async def send_request(
        self, kind: str, path: str, body: bytes, **options: Any
    ) -> Any:
        """Serves one call."""
        self.calls += 1
        await trio.sleep(0.004)
        if self.down:
            failure = store.CallFailure(store.Effect.NONE, "the store is down")
            return result.Err(failure)
        parts = urllib.parse.urlsplit(path)
        query = dict(urllib.parse.parse_qsl(parts.query))
        if parts.path == "/api/kv-range":
            return self._reply(items=list(self._items.values()), HasMore=False)
        if parts.path == "/api/kv-watch":
            return await self._watch(
                int(query["after"]), int(query["WaitMs"]) / 1000
            )
        if parts.path == "/api/kv-txn":
            return self._commit(json.loads(body))
        raise AssertionError(path)

    def _reply(self, **fields: Any) -> Any:
        fields.setdefault("StoreRevision", self._revision)
        headers = [
            (GENERATION_HEADER.encode(), b"%d" % self._generation),
        ]
        return result.Ok(store.Reply(json.dumps(fields).encode(), headers))

    async def _watch(self, after: int, wait_s: float) -> Any:
        generation = self._generation
        with trio.move_on_after(wait_s):
            while self._revision == after and generation == self._generation:
                await self._changed.wait()
        is_known = self._revision >= after and (
            not self._history or self._history[0]["Revision"] <= after + 1
        )
        if not is_known:
            return result.Err(store.CallFailure(store.Effect.NONE, "", 410))
        events = [e for e in self._history if e["Revision"] > after]
        return self._reply(events=events)

    def _commit(self, transaction: Mapping[str, Any]) -> Any:
        for compare in transaction["ExpectedRev"]:
            item = self._items.get(compare["Key"], {"Revision": 0})
            if item["Revision"] != compare["Revision"]:
                return result.Err(store.CallFailure(store.Effect.NONE, "", 412))
        for write in transaction["Writes"]:
            self.put(write["Key"], base64.b64decode(write["Value"]))
        return self._reply(Revision=self._revision)
