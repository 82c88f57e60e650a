"""ASGI application that serves the simulated key-value service.

The paths and bodies follow the public JSON interface of etcd v3: keys and
values are in base64, 64-bit integers are strings, zero values are omitted.
"""

import base64
from collections.abc import Awaitable
from collections.abc import Callable
import json
from typing import Any

import trio

from standins import asgi
from standins.key_value import _faults
from standins.key_value import _state

Json = dict[str, Any]
_Application = Callable[..., Awaitable[None]]


class _BadRequest(Exception):
    """The request is invalid; the response is status 400 with a gRPC error."""


def _encode_record(record: _state.Record) -> Json:
    encoded: Json = {
        "key": base64.b64encode(record.key).decode(),
        "mod_revision": str(record.mod_revision),
    }
    if record.create_revision:
        encoded["create_revision"] = str(record.create_revision)
        encoded["version"] = str(record.version)
    if record.value:
        encoded["value"] = base64.b64encode(record.value).decode()
    if record.lease_id:
        encoded["lease"] = str(record.lease_id)
    return encoded


def _decode_condition(compare: Json) -> _state.Condition:
    target = compare.get("target", "VERSION")
    field = {"MOD": "mod_revision", "CREATE": "create_revision"}.get(target)
    if field is None or compare.get("result", "EQUAL") != "EQUAL":
        raise _BadRequest("unsupported compare")
    return _state.Condition(
        base64.b64decode(compare["key"]), target, int(compare.get(field, 0))
    )


def _decode_operation(operation: Json) -> _state.Operation:
    put = operation.get("request_put")
    if put is not None:
        return _state.Operation(
            base64.b64decode(put["key"]),
            base64.b64decode(put.get("value", "")),
            int(put.get("lease", 0)),
        )
    delete = operation.get("request_delete_range")
    if delete is None:
        raise _BadRequest("unsupported operation")
    return _state.Operation(base64.b64decode(delete["key"]), None)


class _EtcdService:
    """Handles requests of the etcd interface and of the control path."""

    def __init__(
        self, state: _state.KeyValueState, faults: _faults.FaultPlan
    ) -> None:
        self._state = state
        self._faults = faults
        self._unary_methods: dict[str, tuple[str, Callable[[Json], Json]]] = {
            "/v3/kv/range": ("range", self._read_range),
            "/v3/kv/txn": ("txn", self._run_transaction),
            "/v3/lease/grant": ("lease_grant", self._grant_lease),
            "/v3/lease/keepalive": ("lease_keepalive", self._keep_alive),
            "/v3/lease/revoke": ("lease_revoke", self._revoke_lease),
        }

    async def application(self, scope: Json, receive: Any, send: Any) -> None:
        """Serves one ASGI scope."""
        if scope["type"] == "lifespan":
            await asgi.serve_lifespan(receive, send)
            return
        body = await asgi.read_body(receive)
        path = scope["path"]
        try:
            request = json.loads(body) if body else {}
            if path == "/control":
                await asgi.send_json_response(
                    send, 200, self._apply_control(request)
                )
            elif path == "/v3/watch":
                await self._run_until_disconnect(
                    receive, lambda: self._serve_watch(request, send)
                )
            elif path in self._unary_methods:
                kind, execute = self._unary_methods[path]
                await self._run_until_disconnect(
                    receive,
                    lambda: self._serve_unary(kind, execute, request, send),
                )
            else:
                await asgi.send_json_response(
                    send, 404, {"code": 5, "message": "Not Found"}
                )
        except _faults.CallRefused as error:
            await asgi.send_json_response(
                send, 503, {"code": 14, "message": str(error)}
            )
        except _state.LeaseNotFound:
            message = "etcdserver: requested lease not found"
            await asgi.send_json_response(
                send, 404, {"code": 5, "message": message}
            )
        except (_BadRequest, ValueError, KeyError) as error:
            await asgi.send_json_response(
                send, 400, {"code": 3, "message": repr(error)}
            )

    async def _run_until_disconnect(
        self, receive: Any, serve_request: Callable[[], Awaitable[None]]
    ) -> None:
        errors: list[Exception] = []
        async with trio.open_nursery() as nursery:

            async def wait_disconnect() -> None:
                while (await receive())["type"] != "http.disconnect":
                    pass
                nursery.cancel_scope.cancel()

            nursery.start_soon(wait_disconnect)
            try:
                await serve_request()
            except Exception as error:
                errors.append(error)
            nursery.cancel_scope.cancel()
        if errors:
            raise errors[0]

    async def _serve_unary(
        self,
        kind: str,
        execute: Callable[[Json], Json],
        request: Json,
        send: Any,
    ) -> None:
        await self._faults.begin_call(kind)
        reply = execute(request)
        if self._faults.consume_lost_answer():
            await trio.sleep_forever()
        await asgi.send_json_response(send, 200, reply)

    async def _serve_watch(self, request: Json, send: Any) -> None:
        await self._faults.begin_call("watch")
        create = request["create_request"]
        key = base64.b64decode(create["key"])
        next_revision = int(create.get("start_revision", 0))
        next_revision = next_revision or self._state.revision + 1
        await asgi.start_json_response(send, 200)
        await _send_result(send, self._with_header(created=True))
        while not self._faults.down:
            seen_revision = self._state.revision
            try:
                records = self._state.changes(key, next_revision)
            except _state.Compacted as error:
                revision = str(error.compact_revision)
                reply = self._with_header(
                    canceled=True, compact_revision=revision
                )
                await _send_result(send, reply)
                return
            if records:
                events = [_encode_event(record) for record in records]
                await _send_result(send, self._with_header(events=events))
            next_revision = max(next_revision, seen_revision + 1)
            with trio.move_on_after(0.05):
                await self._state.wait_revision(seen_revision)
        await send({"type": "http.response.body", "body": b""})

    def _with_header(self, **fields: Any) -> Json:
        return {"header": {"revision": str(self._state.revision)}, **fields}

    def _read_range(self, request: Json) -> Json:
        start = base64.b64decode(request["key"])
        end = base64.b64decode(request.get("range_end", ""))
        records = [_encode_record(r) for r in self._state.read(start, end)]
        if not records:
            return self._with_header()
        return self._with_header(kvs=records, count=str(len(records)))

    def _run_transaction(self, request: Json) -> Json:
        conditions = [_decode_condition(c) for c in request.get("compare", [])]
        operations = [_decode_operation(o) for o in request.get("success", [])]
        if self._state.transact(conditions, operations):
            return self._with_header(succeeded=True)
        return self._with_header()

    def _grant_lease(self, request: Json) -> Json:
        ttl_s = int(request["TTL"])
        lease_id = self._state.grant_lease(ttl_s)
        return self._with_header(ID=str(lease_id), TTL=str(ttl_s))

    def _keep_alive(self, request: Json) -> Json:
        ttl_s = int(self._state.keep_alive(int(request["ID"])))
        fields = {"TTL": str(ttl_s)} if ttl_s else {}
        return {"result": self._with_header(ID=request["ID"], **fields)}

    def _revoke_lease(self, request: Json) -> Json:
        if not self._state.end_lease(int(request["ID"])):
            raise _state.LeaseNotFound(request["ID"])
        return self._with_header()

    def _apply_control(self, request: Json) -> Json:
        for name in ("delay_ms", "down", "paused", "lose_next_answers"):
            if name in request:
                setattr(self._faults, name, request[name])
        if "expire_lease" in request:
            self._state.end_lease(int(request["expire_lease"]))
        if "compact" in request:
            self._state.compact(int(request["compact"]))
        return {
            "calls": dict(self._faults.calls),
            "revision": self._state.revision,
            "leases": list(self._state.lease_ids()),
            "delay_ms": self._faults.delay_ms,
            "down": self._faults.down,
            "paused": self._faults.paused,
            "lose_next_answers": self._faults.lose_next_answers,
        }


def _encode_event(record: _state.Record) -> Json:
    event: Json = {"kv": _encode_record(record)}
    if not record.create_revision:
        event["type"] = "DELETE"
    return event


async def _send_result(send: Any, body: Json) -> None:
    line = json.dumps({"result": body}).encode() + b"\n"
    await send({"type": "http.response.body", "body": line, "more_body": True})


def build_application(
    state: _state.KeyValueState, faults: _faults.FaultPlan
) -> _Application:
    """Returns the ASGI application.

    `POST /control` accepts a JSON object with any of the fields `delay_ms`,
    `down` (`refuse` for status 503, `hang` or empty), `paused`,
    `lose_next_answers`, `expire_lease` (lease id) and `compact`
    (revision). `GET /control` returns the faults and the number of calls by
    kind.

    Args:
        state: Keys, history and leases to serve.
        faults: Faults to apply to the calls.
    """
    return _EtcdService(state, faults).application


async def serve(
    state: _state.KeyValueState,
    faults: _faults.FaultPlan,
    port: int = 0,
    *,
    task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serves the key-value service on loopback until cancelled.

    Args:
        state: Keys, history and leases to serve.
        faults: Faults to apply to the calls.
        port: TCP port; 0 selects a free one.
        task_status: Reports the bound port.
    """
    application = build_application(state, faults)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(state.run)
        bound_port = await nursery.start(
            asgi.serve_application, application, port
        )
        task_status.started(bound_port)
