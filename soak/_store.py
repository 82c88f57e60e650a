"""Stand-in of the platform's key-value service, with faults."""

import base64
import enum
import json
import random
from typing import Any
import urllib.parse

import trio

from standins import lean_http
from standins.key_value import _state

_ALL = (b"\x01", b"\0")


class StoreFault(enum.Enum):
    """How the store misbehaves."""

    NONE = "none"
    DOWN = "down"
    SILENT = "silent"
    SLOW = "slow"
    LOST = "lost"


class StandInStore:
    """Serves the calls that nodes make.

    Attributes:
        state: Keys, revisions and leases.
        fault: How it misbehaves now.
        peer_ports: Ports of proxies by port of the peer listener. Nodes are
            registered with the former, so that they meet through proxies.
    """

    def __init__(self, rng: random.Random) -> None:
        self.state = _state.KeyValueState()
        self.fault = StoreFault.NONE
        self.peer_ports: dict[int, int] = {}
        self._rng = rng

    def write(self, key: str, value: object) -> None:
        """Writes a key as the operator or an endpoint does."""
        self._put(key, json.dumps(value).encode())

    def remove(self, key: str) -> None:
        """Deletes a key."""
        self.state.transact([], [_state.Operation(key.encode(), None)])

    def forget(self) -> None:
        """Drops the history."""
        self.state.compact(self.state.revision + 1)

    def _put(self, key: str, value: bytes) -> None:
        self.state.transact([], [_state.Operation(key.encode(), value)])

    async def serve(self, stream: trio.abc.Stream) -> None:
        """Serves one connection."""
        async with stream:
            await lean_http.serve_connection(stream, self._answer)

    async def _answer(
        self, request: lean_http.HttpRequest
    ) -> lean_http.HttpResponse:
        if self.fault is StoreFault.DOWN:
            return _reply(503, {})
        if self.fault is StoreFault.SLOW:
            await trio.sleep(0.3)
        if self.fault is StoreFault.SILENT:
            await trio.sleep_forever()
        reply = await self._handle(request)
        if self.fault is StoreFault.LOST and self._rng.random() < 0.4:
            await trio.sleep_forever()
        return reply

    async def _handle(
        self, request: lean_http.HttpRequest
    ) -> lean_http.HttpResponse:
        path, _, query = request.target.decode().partition("?")
        values = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        if path == "/api/kv-range":
            items = [_item(r) for r in self.state.read(*_ALL)]
            return _reply(
                200,
                {
                    "items": items,
                    "HasMore": False,
                    "StoreRevision": self.state.revision,
                },
            )
        if path == "/api/kv-watch":
            return await self._watch(
                int(values["after"]), int(values["WaitMs"])
            )
        if path == "/api/kv-txn":
            return self._commit(json.loads(request.body))
        return self._lease(path, request.body)

    async def _watch(self, after: int, wait_ms: int) -> lean_http.HttpResponse:
        if after + 1 < self.state.compact_revision:
            return _reply(410, {})
        with trio.move_on_after(wait_ms / 1000):
            await self.state.wait_revision(after)
        events = [_item(r) for r in self.state.all_changes(after + 1)]
        return _reply(
            200, {"events": events, "StoreRevision": self.state.revision}
        )

    def _commit(self, body: dict[str, Any]) -> lean_http.HttpResponse:
        conditions = [
            _state.Condition(row["Key"].encode(), "MOD", row["Revision"])
            for row in body["ExpectedRev"]
        ]
        operations = [
            _state.Operation(
                row["Key"].encode(),
                self._through_proxy(base64.b64decode(row["Value"])),
                row["Lease"],
            )
            for row in body["Writes"]
        ]
        operations += [
            _state.Operation(key.encode(), None) for key in body["Remove"]
        ]
        try:
            made = self.state.transact(conditions, operations)
        except _state.LeaseNotFound:
            return _reply(404, {})
        if not made:
            return _reply(412, {"items": []})
        return _reply(200, {"Revision": self.state.revision})

    def _through_proxy(self, value: bytes) -> bytes:
        registration = json.loads(value)
        port = registration["port"]
        registration["port"] = self.peer_ports.get(port, port)
        return json.dumps(registration).encode()

    def _lease(self, path: str, body: bytes) -> lean_http.HttpResponse:
        if path == "/api/kv-lease":
            ttl_ms = json.loads(body)["TtlMs"]
            lease_id = self.state.grant_lease(ttl_ms / 1000)
            return _reply(200, {"Lease": lease_id, "TtlMs": ttl_ms})
        lease_id = int(path.rpartition("/")[2])
        if path.startswith("/api/kv-keep/"):
            ttl_s = self.state.keep_alive(lease_id)
            return _reply(200 if ttl_s else 404, {"TtlMs": ttl_s * 1000})
        ended = self.state.end_lease(lease_id)
        return _reply(200 if ended else 404, {})


def _item(record: _state.Record) -> dict[str, Any]:
    item: dict[str, Any] = {
        "Key": record.key.decode(),
        "Revision": record.mod_revision,
    }
    if record.create_revision == 0:
        return item | {"Deleted": True}
    return item | {
        "Value": base64.b64encode(record.value).decode(),
        "Created": record.create_revision,
        "Lease": record.lease_id,
    }


def _reply(status: int, body: object) -> lean_http.HttpResponse:
    headers = [(b"content-type", b"application/json")]
    return lean_http.HttpResponse(status, headers, json.dumps(body).encode())
