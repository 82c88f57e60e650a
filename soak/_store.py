"""Simulated key-value service of the platform, with faults."""

import base64
import enum
import json
import random
from typing import Any
import urllib.parse

import trio

from standins import lean_http
from standins.key_value import _state

_ALL_KEYS = (b"\x01", b"\0")


class StoreFault(enum.Enum):
    """Faults of the store.

    Attributes:
        NONE: The store works.
        DOWN: The store responds with status 503 and does not run requests.
        SILENT: The store neither runs requests nor responds.
        SLOW: The store delays each request.
        LOST_RESPONSES: The store runs requests, but does not respond to some.
    """

    NONE = "none"
    DOWN = "down"
    SILENT = "silent"
    SLOW = "slow"
    LOST_RESPONSES = "lost"


class SimulatedStore:
    """Serves the HTTP interface of the key-value service.

    Attributes:
        state: Keys, revisions and leases.
        fault: Active fault.
        peer_ports: Proxy ports by port of the peer listener. The store puts
            the proxy port into the registration of a node, so that nodes
            connect to each other through proxies.
    """

    def __init__(self, rng: random.Random) -> None:
        self.state = _state.KeyValueState()
        self.fault = StoreFault.NONE
        self.peer_ports: dict[int, int] = {}
        self._rng = rng

    def put_json(self, key: str, value: object) -> None:
        """Writes a JSON value, as an operator or an endpoint would."""
        self._put(key, json.dumps(value).encode())

    def delete(self, key: str) -> None:
        """Deletes a key."""
        self.state.transact([], [_state.Operation(key.encode(), None)])

    def compact_history(self) -> None:
        """Compacts the history up to the current revision."""
        self.state.compact(self.state.revision + 1)

    def _put(self, key: str, value: bytes) -> None:
        self.state.transact([], [_state.Operation(key.encode(), value)])

    async def serve(self, stream: trio.abc.Stream) -> None:
        """Serves one connection."""
        async with stream:
            await lean_http.serve_connection(stream, self._respond)

    async def _respond(
        self, request: lean_http.HttpRequest
    ) -> lean_http.HttpResponse:
        if self.fault is StoreFault.DOWN:
            return _json_response(503, {})
        if self.fault is StoreFault.SLOW:
            await trio.sleep(0.3)
        if self.fault is StoreFault.SILENT:
            await trio.sleep_forever()
        reply = await self._run_request(request)
        if self.fault is StoreFault.LOST_RESPONSES and self._rng.random() < 0.4:
            await trio.sleep_forever()
        return reply

    async def _run_request(
        self, request: lean_http.HttpRequest
    ) -> lean_http.HttpResponse:
        path, _, query = request.target.decode().partition("?")
        values = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        if path == "/api/kv-range":
            items = [_encode_record(r) for r in self.state.read(*_ALL_KEYS)]
            return _json_response(
                200,
                {
                    "items": items,
                    "HasMore": False,
                    "StoreRevision": self.state.revision,
                },
            )
        if path == "/api/kv-key":
            return self._read_key(values["Key"].encode())
        if path == "/api/kv-watch":
            return await self._watch(
                int(values["after"]), int(values["WaitMs"])
            )
        if path == "/api/kv-txn":
            return self._commit(json.loads(request.body))
        return self._handle_lease(path, request.body)

    def _read_key(self, key: bytes) -> lean_http.HttpResponse:
        records = self.state.read(key)
        if not records:
            return _json_response(404, {})
        revision = {"StoreRevision": self.state.revision}
        return _json_response(200, _encode_record(records[0]) | revision)

    async def _watch(self, after: int, wait_ms: int) -> lean_http.HttpResponse:
        if after + 1 < self.state.compact_revision:
            return _json_response(410, {})
        with trio.move_on_after(wait_ms / 1000):
            await self.state.wait_revision(after)
        events = [_encode_record(r) for r in self.state.all_changes(after + 1)]
        return _json_response(
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
                self._replace_peer_port(base64.b64decode(row["Value"])),
                row["Lease"],
            )
            for row in body["Writes"]
        ]
        operations += [
            _state.Operation(key.encode(), None) for key in body["Remove"]
        ]
        try:
            committed = self.state.transact(conditions, operations)
        except _state.LeaseNotFound:
            return _json_response(404, {})
        if not committed:
            return _json_response(412, {"items": []})
        return _json_response(200, {"Revision": self.state.revision})

    def _replace_peer_port(self, value: bytes) -> bytes:
        registration = json.loads(value)
        port = registration["port"]
        registration["port"] = self.peer_ports.get(port, port)
        return json.dumps(registration).encode()

    def _handle_lease(self, path: str, body: bytes) -> lean_http.HttpResponse:
        if path == "/api/kv-lease":
            ttl_ms = json.loads(body)["TtlMs"]
            lease_id = self.state.grant_lease(ttl_ms / 1000)
            return _json_response(200, {"Lease": lease_id, "TtlMs": ttl_ms})
        lease_id = int(path.rpartition("/")[2])
        if path.startswith("/api/kv-keep/"):
            ttl_s = self.state.keep_alive(lease_id)
            return _json_response(
                200 if ttl_s else 404, {"TtlMs": ttl_s * 1000}
            )
        revoked = self.state.end_lease(lease_id)
        return _json_response(200 if revoked else 404, {})


def _encode_record(record: _state.Record) -> dict[str, Any]:
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


def _json_response(status: int, body: object) -> lean_http.HttpResponse:
    headers = [(b"content-type", b"application/json")]
    return lean_http.HttpResponse(status, headers, json.dumps(body).encode())
