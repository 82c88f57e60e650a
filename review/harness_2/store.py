"""Stand-in of the platform's metadata store."""

import asyncio
import base64
import json
from typing import Any
import urllib.parse

from review.harness_2 import http1

Item = dict[str, Any]


class Store:
    """Keys with revisions, a history of all changes, and leases.

    Attributes:
        revision: Revision of the last change.
        address: Address of the listener after `start`.
    """

    def __init__(self) -> None:
        self.revision = 100
        self.address = ("127.0.0.1", 0)
        self._items: dict[str, Item] = {}
        self._history: list[Item] = []
        self._lease_ends_s: dict[int, float] = {}
        self._lease_ttls_s: dict[int, float] = {}
        self._next_lease = 1000
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._expiry: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Opens the listener on a free port."""
        self._server = await asyncio.start_server(
            lambda r, w: http1.serve_connection(r, w, self._respond),
            "127.0.0.1",
            0,
        )
        self.address = self._server.sockets[0].getsockname()[:2]
        self._expiry = asyncio.ensure_future(self._expire_leases())

    def put(self, key: str, value: object) -> int:
        """Writes a JSON value as the operator or a server does."""
        self._apply([(key, json.dumps(value).encode(), 0)], [])
        return self.revision

    def remove(self, key: str) -> None:
        """Removes a key."""
        self._apply([], [key])

    def read(self, key: str) -> Any:
        """Returns the JSON value of a key; None without one."""
        item = self._items.get(key)
        if item is None:
            return None
        return json.loads(base64.b64decode(item["Value"]))

    def keys(self, prefix: str) -> list[str]:
        """Returns the keys with a prefix."""
        return [key for key in self._items if key.startswith(prefix)]

    def _apply(
        self, writes: list[tuple[str, bytes, int]], removed: list[str]
    ) -> None:
        removed = [key for key in removed if key in self._items]
        if not writes and not removed:
            return
        self.revision += 1
        for key, value, lease in writes:
            created = self._items.get(key, {}).get("Created", self.revision)
            self._items[key] = {
                "Key": key,
                "Value": base64.b64encode(value).decode(),
                "Revision": self.revision,
                "Created": created,
                "Lease": lease,
            }
            self._history.append(self._items[key])
        for key in removed:
            del self._items[key]
            self._history.append(
                {"Key": key, "Revision": self.revision, "Deleted": True}
            )
        self._changed.set()
        self._changed = asyncio.Event()

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            now_s = asyncio.get_running_loop().time()
            for lease, end_s in list(self._lease_ends_s.items()):
                if end_s <= now_s:
                    self._end_lease(lease)

    def _end_lease(self, lease: int) -> bool:
        if self._lease_ends_s.pop(lease, None) is None:
            return False
        keys = [k for k, i in self._items.items() if i["Lease"] == lease]
        self._apply([], keys)
        return True

    async def _respond(self, request: http1.Message) -> bytes | None:
        path, _, query = request.target.partition("?")
        values = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        status, body = await self._run(path, values, request.body)
        headers = {"Content-Type": "application/json"}
        return http1.encode_response(status, headers, json.dumps(body).encode())

    async def _run(
        self, path: str, values: dict[str, str], body: bytes
    ) -> tuple[int, Item]:
        if path == "/api/kv-key":
            item = self._items.get(values["Key"])
            if item is None:
                return 404, {}
            return 200, item | {"StoreRevision": self.revision}
        if path == "/api/kv-range":
            return 200, self._read_range(values)
        if path == "/api/kv-watch":
            return 200, await self._watch(values)
        if path == "/api/kv-txn":
            return self._commit(json.loads(body))
        return self._handle_lease(path, body)

    def _read_range(self, values: dict[str, str]) -> Item:
        items = [
            self._items[key]
            for key in sorted(self._items)
            if key.startswith(values["Prefix"])
            and key > values.get("after", "")
        ]
        return {
            "items": items[:500],
            "HasMore": len(items) > 500,
            "StoreRevision": self.revision,
        }

    async def _watch(self, values: dict[str, str]) -> Item:
        after = int(values["after"])
        loop = asyncio.get_running_loop()
        end_s = loop.time() + int(values["WaitMs"]) / 1000
        while True:
            events = [
                item
                for item in self._history
                if item["Revision"] > after
                and item["Key"].startswith(values["Prefix"])
            ]
            left_s = end_s - loop.time()
            if events or left_s <= 0:
                return {"events": events, "StoreRevision": self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                continue

    def _commit(self, body: Item) -> tuple[int, Item]:
        for row in body["ExpectedRev"]:
            item = self._items.get(row["Key"])
            if (item["Revision"] if item else 0) != row["Revision"]:
                return 412, {"items": [item] if item else []}
        leases = {row.get("Lease", 0) for row in body["Writes"]} - {0}
        if not leases <= self._lease_ends_s.keys():
            return 404, {}
        writes = [
            (row["Key"], base64.b64decode(row["Value"]), row.get("Lease", 0))
            for row in body["Writes"]
        ]
        self._apply(writes, body["Remove"])
        return 200, {"Revision": self.revision}

    def _handle_lease(self, path: str, body: bytes) -> tuple[int, Item]:
        now_s = asyncio.get_running_loop().time()
        if path == "/api/kv-lease":
            self._next_lease += 1
            ttl_s = json.loads(body)["TtlMs"] / 1000
            self._lease_ttls_s[self._next_lease] = ttl_s
            self._lease_ends_s[self._next_lease] = now_s + ttl_s
            return 200, {"Lease": self._next_lease, "TtlMs": ttl_s * 1000}
        lease = int(path.rpartition("/")[2])
        if path.startswith("/api/kv-lease-end/"):
            return (200 if self._end_lease(lease) else 404), {}
        if lease not in self._lease_ends_s:
            return 404, {}
        ttl_s = self._lease_ttls_s[lease]
        self._lease_ends_s[lease] = now_s + ttl_s
        return 200, {"TtlMs": ttl_s * 1000}
