"""Client of the key-value service over the JSON gateway of etcd v3."""

from collections.abc import AsyncGenerator
from collections.abc import AsyncIterator
from collections.abc import Sequence
import contextlib
import logging
from typing import TypeVar

import httpcore
import msgspec
import result
import trio

from geraniumstair import observe
from geraniumstair.store import _connection
from geraniumstair.store import _etcd_wire
from geraniumstair.store import _httpcore_transport
from geraniumstair.store import _protocol

_LOG = logging.getLogger(__name__)
_T = TypeVar("_T")
_HTTP_NOT_FOUND = 404
MAX_CONCURRENCY = 32
# A watch that receives no message for this time is reopened, so that a server
# that failed without closing the connection is detected.
WATCH_IDLE_S = 60.0
WATCH_RETRY_MIN_S = 0.1
WATCH_RETRY_MAX_S = 5.0
# A line holds a value of 1 MB in base64 and its other fields.
_MAX_WATCH_LINE_BYTES = 16 * 1024 * 1024
_WATCH_ERRORS = (
    *_httpcore_transport.HTTP_ERRORS,
    msgspec.MsgspecError,
)


class _WatchInterrupted(Exception):
    """A watch stream failed and must be reopened."""


class EtcdStore:
    """A `KeyValueStore` over HTTP.

    Args:
        urls: Base URLs of the service's members, in order of preference.
        timeout_ms: Limit of each call; for a watch, limit to connect and to
            send the request.
        prefix: Prepended to the keys in requests and removed from the keys in
            replies.
        max_concurrency: Limit of calls in flight; further calls wait within
            their timeout.
        registry: Registry of the metrics; None creates a separate one.
    """

    def __init__(
        self,
        urls: Sequence[str],
        *,
        timeout_ms: float = 1000,
        prefix: str = "",
        max_concurrency: int = MAX_CONCURRENCY,
        registry: observe.MetricsRegistry | None = None,
    ) -> None:
        self.metrics = _connection.StoreMetrics(registry)
        transport = _httpcore_transport.HttpcoreTransport(max_concurrency)
        self._pool = transport.pool
        self._connection = _connection.StoreConnection(
            urls,
            timeout_ms=timeout_ms,
            max_concurrency=max_concurrency,
            transport=transport,
            metrics=self.metrics,
        )
        self._timeout_s = timeout_ms / 1000
        self._prefix = prefix

    async def aclose(self) -> None:
        """Closes the connections."""
        await self._pool.aclose()

    async def get(
        self, key: str
    ) -> result.Result[_protocol.KeyValue | None, _protocol.StoreFailure]:
        """Reads a key; `None` if it does not exist."""
        request = _etcd_wire.RangeRequest(self._encode_key(key))
        reply = await self._read_range(request)
        return reply.map(lambda records: records[0] if records else None)

    async def get_prefix(
        self, prefix: str
    ) -> result.Result[Sequence[_protocol.KeyValue], _protocol.StoreFailure]:
        """Reads all keys with a prefix at one revision, in key order."""
        start = self._encode_key(prefix)
        end = _etcd_wire.compute_range_end(start)
        return await self._read_range(_etcd_wire.RangeRequest(start, end))

    async def commit(
        self, transaction: _protocol.Transaction
    ) -> result.Result[_protocol.CommitOutcome, _protocol.StoreFailure]:
        """Makes the changes if all compares hold."""
        for put in transaction.puts:
            if len(put.value) > _protocol.MAX_VALUE_BYTES:
                detail = f"the value of {put.key} is too large"
                return result.Err(
                    _protocol.StoreFailure(_protocol.Effect.NONE, detail)
                )
        request = _etcd_wire.TxnRequest(
            [self._encode_compare(compare) for compare in transaction.compares],
            [self._encode_put(put) for put in transaction.puts]
            + [self._encode_delete(delete) for delete in transaction.deletes],
        )
        reply = await self._send_request(
            "txn", "/v3/kv/txn", request, _etcd_wire.TxnReply
        )
        return reply.map(
            lambda r: _protocol.CommitOutcome(r.succeeded, r.header.revision)
        )

    async def grant_lease(
        self, ttl_s: int
    ) -> result.Result[int, _protocol.StoreFailure]:
        """Creates a lease and returns its id."""
        reply = await self._send_request(
            "lease_grant",
            "/v3/lease/grant",
            _etcd_wire.GrantRequest(str(ttl_s)),
            _etcd_wire.LeaseReply,
        )
        return reply.map(lambda r: r.lease_id)

    async def keep_alive(
        self, lease_id: int
    ) -> result.Result[bool, _protocol.StoreFailure]:
        """Renews a lease; False if it has expired or never existed."""
        reply = await self._send_request(
            "lease_keepalive",
            "/v3/lease/keepalive",
            _etcd_wire.LeaseRequest(str(lease_id)),
            _etcd_wire.KeepAliveReply,
            repeatable=True,
        )
        return reply.map(lambda r: r.result.ttl_s > 0)

    async def revoke_lease(
        self, lease_id: int
    ) -> result.Result[None, _protocol.StoreFailure]:
        """Revokes a lease and deletes its keys; no error if it has expired."""
        reply = await self._send_request(
            "lease_revoke",
            "/v3/lease/revoke",
            _etcd_wire.LeaseRequest(str(lease_id)),
            _etcd_wire.RevokeReply,
            repeatable=True,
        )
        if isinstance(reply, result.Ok):
            return result.Ok(None)
        if _get_rejected_status(reply.err_value) == _HTTP_NOT_FOUND:
            return result.Ok(None)
        return reply

    @contextlib.asynccontextmanager
    async def watch(
        self, key: str, from_revision: int
    ) -> AsyncIterator[AsyncIterator[_protocol.KeyValue]]:
        """Watches one key; see `KeyValueStore.watch`."""
        changes = self._iterate_changes(key, from_revision)
        async with contextlib.aclosing(changes):
            yield changes

    async def _iterate_changes(
        self, key: str, next_revision: int
    ) -> AsyncGenerator[_protocol.KeyValue, None]:
        retry_s = WATCH_RETRY_MIN_S
        while True:
            url = self._connection.url
            try:
                stream = self._open_watch_stream(url, key, next_revision)
                async with contextlib.aclosing(stream):
                    async for reply in stream:
                        retry_s = WATCH_RETRY_MIN_S
                        for event in reply.events:
                            yield self._decode_event(event)
                        next_revision = _compute_next_revision(
                            reply, next_revision
                        )
            except (*_WATCH_ERRORS, _WatchInterrupted) as error:
                _LOG.debug("store: watch of %s interrupted: %s", key, error)
                self._connection.fail_over(url)
            await trio.sleep(retry_s)
            retry_s = min(retry_s * 2, WATCH_RETRY_MAX_S)

    async def _open_watch_stream(
        self, url: str, key: str, next_revision: int
    ) -> AsyncGenerator[_etcd_wire.WatchResult, None]:
        create_request = _etcd_wire.WatchCreate(
            self._encode_key(key), str(next_revision)
        )
        self.metrics.calls.labels("watch").inc()
        timeouts = {
            "connect": self._timeout_s,
            "write": self._timeout_s,
            "read": WATCH_IDLE_S,
        }
        async with self._pool.stream(
            "POST",
            f"{url}/v3/watch",
            headers=[("content-type", "application/json")],
            content=_etcd_wire.encode(_etcd_wire.WatchRequest(create_request)),
            extensions={"timeout": timeouts},
        ) as response:
            if response.status != 200:
                raise _WatchInterrupted(f"HTTP status {response.status}")
            async with contextlib.aclosing(_read_lines(response)) as lines:
                async for line in lines:
                    reply = _etcd_wire.decode(line, _etcd_wire.WatchReply)
                    if reply.result.compact_revision:
                        raise _protocol.WatchCompactedError(
                            reply.result.compact_revision
                        )
                    if reply.result.canceled:
                        raise _WatchInterrupted("cancelled by the service")
                    yield reply.result

    async def _read_range(
        self, request: _etcd_wire.RangeRequest
    ) -> result.Result[list[_protocol.KeyValue], _protocol.StoreFailure]:
        reply = await self._send_request(
            "range",
            "/v3/kv/range",
            request,
            _etcd_wire.RangeReply,
            repeatable=True,
        )
        return reply.map(lambda r: [self._decode_record(kv) for kv in r.kvs])

    async def _send_request(
        self,
        kind: str,
        path: str,
        request: msgspec.Struct,
        reply_type: type[_T],
        *,
        repeatable: bool = False,
    ) -> result.Result[_T, _protocol.StoreFailure]:
        body = _etcd_wire.encode(request)
        reply = await self._connection.send_request(
            kind, path, body, repeatable=repeatable
        )
        if isinstance(reply, result.Err):
            return reply
        try:
            return result.Ok(_etcd_wire.decode(reply.ok_value.body, reply_type))
        except msgspec.MsgspecError as error:
            return result.Err(
                _protocol.StoreFailure(
                    _protocol.Effect.UNKNOWN, f"invalid reply: {error}"
                )
            )

    def _encode_key(self, key: str) -> bytes:
        return (self._prefix + key).encode()

    def _encode_compare(
        self, compare: _protocol.Compare
    ) -> _etcd_wire.CompareRequest:
        request = _etcd_wire.CompareRequest(
            self._encode_key(compare.key), compare.target.value, "EQUAL"
        )
        if compare.target is _protocol.CompareTarget.MOD_REVISION:
            request.mod_revision = str(compare.expected)
        else:
            request.create_revision = str(compare.expected)
        return request

    def _encode_put(self, put: _protocol.Put) -> _etcd_wire.Operation:
        key = self._encode_key(put.key)
        return _etcd_wire.Operation(
            request_put=_etcd_wire.PutRequest(key, put.value, str(put.lease_id))
        )

    def _encode_delete(self, delete: _protocol.Delete) -> _etcd_wire.Operation:
        request = _etcd_wire.DeleteRequest(self._encode_key(delete.key))
        return _etcd_wire.Operation(request_delete_range=request)

    def _decode_record(self, record: _etcd_wire.Record) -> _protocol.KeyValue:
        key = record.key.decode(errors="replace")
        return _protocol.KeyValue(
            key.removeprefix(self._prefix),
            record.value,
            record.create_revision,
            record.mod_revision,
            record.lease,
        )

    def _decode_event(self, event: _etcd_wire.Event) -> _protocol.KeyValue:
        decoded = self._decode_record(event.kv)
        if event.type != "DELETE":
            return decoded
        return _protocol.KeyValue(decoded.key, b"", 0, decoded.mod_revision)


def _get_rejected_status(failure: _protocol.StoreFailure) -> int:
    if isinstance(failure, _connection.CallFailure):
        return failure.rejected_status
    return 0


def _compute_next_revision(
    reply: _etcd_wire.WatchResult, next_revision: int
) -> int:
    if reply.events:
        return max(next_revision, reply.events[-1].kv.mod_revision + 1)
    if reply.created and next_revision:
        # The events since the requested revision have not been sent yet.
        return next_revision
    return max(next_revision, reply.header.revision + 1)


async def _read_lines(
    response: httpcore.Response,
) -> AsyncGenerator[bytes, None]:
    buffer = b""
    async for chunk in response.aiter_stream():
        *lines, buffer = (buffer + chunk).split(b"\n")
        if len(buffer) > _MAX_WATCH_LINE_BYTES:
            raise _WatchInterrupted("a watch message is too large")
        for line in lines:
            if line:
                yield line
