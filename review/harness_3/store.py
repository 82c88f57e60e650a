"""Stand-in of the platform's key-value store."""

import asyncio
import base64
import json
import time
from typing import Any
import urllib.parse

from review.harness_3 import http

_FIRST_REVISION = 100
# As the sheets state.
_ANSWER_S = 0.004


class Store:
    """Keys, leases and the history, served over HTTP/1.1.

    Attributes:
        port: TCP port.
        revision: Revision of the last change.
        watches_hear: Watches return changes; otherwise they wait.
        read: Set when all keys have been read.
    """

    def __init__(self) -> None:
        self.port = 0
        self.revision = _FIRST_REVISION
        self.watches_hear = True
        self.read = asyncio.Event()
        self._items: dict[str, dict[str, Any]] = {}
        self._history: list[dict[str, Any]] = []
        self._leases: dict[int, tuple[float, float]] = {}
        self._last_lease = 1000
        self._changed = asyncio.Event()
        # Revision up to which the history is forgotten.
        self._forgotten = 0
        self._watching: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Opens the listener and expires leases until the loop ends."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        asyncio.get_running_loop().create_task(self._expire_loop())

    def get(self, key: str) -> dict[str, Any] | None:
        """Returns the JSON value of a key; None if it does not exist."""
        item = self._items.get(key)
        return json.loads(base64.b64decode(item["Value"])) if item else None

    def put(self, key: str, value: object) -> float:
        """Writes a JSON value; returns the time of the confirmation."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self._apply([(key, text, 0)], [])
        return time.monotonic()

    def remove(self, key: str) -> float:
        """Removes a key; returns the time of the confirmation."""
        self._apply([], [key])
        return time.monotonic()

    def forget_history(self) -> None:
        """Forgets all changes, and cuts the watches that wait."""
        self._forgotten = self.revision
        self._history.clear()
        for writer in list(self._watching):
            writer.transport.abort()
        self.watches_hear = True

    def _apply(
        self, writes: list[tuple[str, str, int]], removals: list[str]
    ) -> None:
        removals = [key for key in removals if key in self._items]
        if not writes and not removals:
            return
        self.revision += 1
        for key, text, lease in writes:
            known = self._items.get(key)
            item = {
                "Key": key,
                "Value": text,
                "Revision": self.revision,
                "Created": known["Created"] if known else self.revision,
                "Lease": lease,
            }
            self._items[key] = item
            self._history.append(item)
        for key in removals:
            del self._items[key]
            self._history.append(
                {"Key": key, "Revision": self.revision, "Deleted": True}
            )
        self._changed.set()
        self._changed = asyncio.Event()

    async def _expire_loop(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            now_s = time.monotonic()
            for lease, (ends_s, _) in list(self._leases.items()):
                if ends_s <= now_s:
                    self._end_lease(lease)

    def _end_lease(self, lease: int) -> bool:
        if self._leases.pop(lease, None) is None:
            return False
        keys = [k for k, i in self._items.items() if i["Lease"] == lease]
        self._apply([], keys)
        return True

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (request := await http.read(reader)) is not None:
                await asyncio.sleep(_ANSWER_S)
                if "/api/kv-watch" in request.start[1]:
                    self._watching.add(writer)
                status, body = await self._respond(request)
                self._watching.discard(writer)
                writer.write(
                    http.encode(
                        f"HTTP/1.1 {status} X",
                        {"content-type": "application/json"},
                        json.dumps(body).encode(),
                    )
                )
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            # The run ends while a watch is waiting.
            pass
        finally:
            self._watching.discard(writer)
            writer.close()

    async def _respond(self, request: http.Message) -> tuple[int, object]:
        method, target = request.start[0], request.start[1]
        path, _, query = target.partition("?")
        values = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        now = {"StoreRevision": self.revision}
        if path == "/api/kv-key":
            item = self._items.get(values["Key"])
            return (200, item | now) if item else (404, now)
        if path == "/api/kv-range":
            self.read.set()
            return 200, self._read_range(values) | now
        if path == "/api/kv-watch":
            if int(values["after"]) < self._forgotten:
                return 410, now
            return 200, await self._watch(values)
        if path == "/api/kv-txn":
            return self._commit(json.loads(request.body))
        if path == "/api/kv-lease":
            return 200, self._grant_lease(json.loads(request.body)["TtlMs"])
        lease = int(path.rpartition("/")[2])
        if method == "DELETE":
            return (200, {}) if self._end_lease(lease) else (404, {})
        return self._renew(lease)

    def _read_range(self, values: dict[str, str]) -> dict[str, Any]:
        keys = [
            key
            for key in sorted(self._items)
            if key.startswith(values["Prefix"])
            and key > values.get("after", "")
        ]
        items = [self._items[key] for key in keys[:500]]
        return {"items": items, "HasMore": len(keys) > 500}

    async def _watch(self, values: dict[str, str]) -> dict[str, Any]:
        after = int(values["after"])
        ends_s = time.monotonic() + int(values["WaitMs"]) / 1000
        while True:
            events = [
                item
                for item in self._history
                if item["Revision"] > after
                and item["Key"].startswith(values["Prefix"])
            ]
            left_s = ends_s - time.monotonic()
            if left_s <= 0 or (events and self.watches_hear):
                if not self.watches_hear:
                    return {"events": [], "StoreRevision": after}
                return {"events": events, "StoreRevision": self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                pass

    def _commit(self, body: dict[str, Any]) -> tuple[int, object]:
        expected = body.get("ExpectedRev", [])
        for row in expected:
            item = self._items.get(row["Key"])
            if (item["Revision"] if item else 0) != row["Revision"]:
                keys = [r["Key"] for r in expected if r["Key"] in self._items]
                return 412, {"items": [self._items[k] for k in keys]}
        writes = [
            (row["Key"], row["Value"], row.get("Lease", 0))
            for row in body.get("Writes", [])
        ]
        if any(lease and lease not in self._leases for _, _, lease in writes):
            return 404, {}
        self._apply(writes, body.get("Remove", []))
        return 200, {"Revision": self.revision}

    def _grant_lease(self, ttl_ms: float) -> dict[str, Any]:
        self._last_lease += 1
        ttl_s = ttl_ms / 1000
        self._leases[self._last_lease] = (time.monotonic() + ttl_s, ttl_s)
        return {"Lease": self._last_lease, "TtlMs": ttl_ms}

    def _renew(self, lease: int) -> tuple[int, object]:
        known = self._leases.get(lease)
        if known is None:
            return 404, {}
        self._leases[lease] = (time.monotonic() + known[1], known[1])
        return 200, {"TtlMs": known[1] * 1000}
