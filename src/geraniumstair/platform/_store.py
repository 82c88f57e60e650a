"""Client of the platform's key-value service."""

import base64
from collections.abc import AsyncGenerator
from collections.abc import AsyncIterator
from collections.abc import Sequence
import contextlib
import json
import logging
from typing import Protocol
from typing import TypeVar
import urllib.parse

import msgspec
import result
import trio

from geraniumstair import mirror
from geraniumstair import store

_LOG = logging.getLogger(__name__)
_T = TypeVar("_T", bound="_ReplyBody")
# Several times the response time of a slow service.
TIMEOUT_MS = 1500.0
MAX_CONCURRENCY = 8
# With this status, the service states that it has not executed the call.
_UNAVAILABLE_STATUS = 503
_NOT_FOUND_STATUS = 404
_COMPACTED_STATUS = 410
_COMPARE_FAILED_STATUS = 412
# Rises each time when the service is restored from a copy.
_GENERATION_HEADER = b"store-era"
# A watch call of one key ends after this time and is repeated.
WATCH_WAIT_MS = 10_000
WATCH_RETRY_S = 0.5


class _ReplyBody(Protocol):
    """Body of a reply, whose revisions belong to one generation."""

    def order_revisions(self, generation: int) -> None:
        """Makes the revisions comparable with those of other generations."""


class _Item(msgspec.Struct):
    key: str = msgspec.field(name="Key")
    value: str = msgspec.field(name="Value", default="")
    revision: int = msgspec.field(name="Revision", default=0)
    created: int = msgspec.field(name="Created", default=0)
    lease: int = msgspec.field(name="Lease", default=0)
    deleted: bool | int = msgspec.field(name="Deleted", default=False)

    def order_revisions(self, generation: int) -> None:
        """Makes the revisions comparable with those of other generations."""
        self.revision = store.order_revision(generation, self.revision)
        self.created = store.order_revision(generation, self.created)


class _ItemReply(_Item):
    store_revision: int = msgspec.field(name="StoreRevision", default=0)


class _RangeReply(msgspec.Struct):
    items: list[_Item]
    store_revision: int = msgspec.field(name="StoreRevision")
    has_more: bool | int = msgspec.field(name="HasMore", default=False)

    def order_revisions(self, generation: int) -> None:
        """See `_Item.order_revisions`."""
        self.store_revision = store.order_revision(
            generation, self.store_revision
        )
        for item in self.items:
            item.order_revisions(generation)


class _WatchReply(msgspec.Struct):
    events: list[_Item]
    store_revision: int = msgspec.field(name="StoreRevision")

    def order_revisions(self, generation: int) -> None:
        """See `_Item.order_revisions`."""
        self.store_revision = store.order_revision(
            generation, self.store_revision
        )
        for item in self.events:
            item.order_revisions(generation)


class _CommitReply(msgspec.Struct):
    revision: int = msgspec.field(name="Revision")

    def order_revisions(self, generation: int) -> None:
        """See `_Item.order_revisions`."""
        self.revision = store.order_revision(generation, self.revision)


class _LeaseReply(msgspec.Struct):
    lease_id: int = msgspec.field(name="Lease")

    def order_revisions(self, generation: int) -> None:
        """Does nothing; leases have no revisions."""


class _KeepAliveReply(msgspec.Struct):
    ttl_ms: float = msgspec.field(name="TtlMs", default=0.0)

    def order_revisions(self, generation: int) -> None:
        """Does nothing; leases have no revisions."""


def _build_invalid_reply_failure(detail: str) -> result.Err[store.StoreFailure]:
    return result.Err(store.StoreFailure(store.Effect.UNKNOWN, detail))


def _decode_value(item: _Item) -> bytes:
    return base64.b64decode(item.value)


def _to_mirror_item(item: _Item) -> mirror.MirrorItem:
    value = None if item.deleted else _decode_value(item)
    return mirror.MirrorItem(item.key, value, item.revision)


def _to_key_value(item: _Item) -> store.KeyValue:
    if item.deleted:
        return store.KeyValue(item.key, b"", 0, item.revision)
    return store.KeyValue(
        item.key, _decode_value(item), item.created, item.revision, item.lease
    )


class PlatformStore:
    """Implements `store.KeyValueStore` with the platform's service.

    Args:
        address: IP address and port, separated by a colon.
        metrics: Counts the calls.
    """

    def __init__(self, address: str, metrics: store.StoreMetrics) -> None:
        self._connection = store.StoreConnection(
            [f"http://{address}"],
            timeout_ms=TIMEOUT_MS,
            max_concurrency=MAX_CONCURRENCY,
            transport=store.PlainTransport(MAX_CONCURRENCY),
            metrics=metrics,
            not_executed_statuses=frozenset([_UNAVAILABLE_STATUS]),
        )
        # Newest generation of a reply.
        self._generation = 0

    async def get(
        self, key: str
    ) -> result.Result[store.KeyValue | None, store.StoreFailure]:
        """Reads a key; None if it does not exist."""
        query = urllib.parse.urlencode({"Key": key})
        reply = await self._send_get("get", f"/api/kv-key?{query}", _ItemReply)
        if isinstance(reply, result.Err):
            if _get_rejected_status(reply.err_value) == _NOT_FOUND_STATUS:
                return result.Ok(None)
            return reply
        return result.Ok(_to_key_value(reply.ok_value))

    async def get_prefix(
        self, prefix: str
    ) -> result.Result[Sequence[store.KeyValue], store.StoreFailure]:
        """Reads all keys with a prefix in pages, whose revisions may differ."""
        reply = await self._read_items(prefix)
        return reply.map(lambda read: [_to_key_value(i) for i in read[0]])

    async def read_all(
        self,
    ) -> result.Result[
        tuple[Sequence[mirror.MirrorItem], int], store.StoreFailure
    ]:
        """Returns all items and the revision at which the read began."""
        reply = await self._read_items("")
        return reply.map(
            lambda read: ([_to_mirror_item(i) for i in read[0]], read[1])
        )

    async def wait_for_changes(
        self, after: int, wait_ms: int
    ) -> result.Result[
        tuple[Sequence[mirror.MirrorItem], int], store.StoreFailure
    ]:
        """Waits for changes of any key; see `mirror.StoreReader`."""
        reply = await self._watch("", after, wait_ms)
        return reply.map(
            lambda r: ([_to_mirror_item(i) for i in r.events], r.store_revision)
        )

    async def commit(
        self, transaction: store.Transaction
    ) -> result.Result[store.CommitOutcome, store.StoreFailure]:
        """Commits a transaction if all compares hold."""
        expected = [
            (c.key, *store.split_revision(c.expected))
            for c in transaction.compares
        ]
        # The service gives out revisions again after a restore, so it may take
        # one of the lost history for one of its own.
        if any(rev and gen < self._generation for _, gen, rev in expected):
            _LOG.info(
                "platform: a write refers to a revision from before the store "
                "was restored; it is not sent"
            )
            return result.Ok(store.CommitOutcome(False, 0))
        body = {
            "ExpectedRev": [
                {"Key": key, "Revision": revision}
                for key, _, revision in expected
            ],
            "Writes": [
                {
                    "Key": put.key,
                    "Value": base64.b64encode(put.value).decode("ascii"),
                    "Lease": put.lease_id,
                }
                for put in transaction.puts
            ],
            "Remove": [delete.key for delete in transaction.deletes],
        }
        reply = await self._send_post("txn", "/api/kv-txn", body, _CommitReply)
        if isinstance(reply, result.Err):
            if _get_rejected_status(reply.err_value) == _COMPARE_FAILED_STATUS:
                return result.Ok(store.CommitOutcome(False, 0))
            return reply
        return result.Ok(store.CommitOutcome(True, reply.ok_value.revision))

    async def grant_lease(
        self, ttl_s: int
    ) -> result.Result[int, store.StoreFailure]:
        """Creates a lease and returns its id."""
        reply = await self._send_post(
            "lease_grant", "/api/kv-lease", {"TtlMs": ttl_s * 1000}, _LeaseReply
        )
        return reply.map(lambda r: r.lease_id)

    async def keep_alive(
        self, lease_id: int
    ) -> result.Result[bool, store.StoreFailure]:
        """Renews a lease; False if it has expired or never existed."""
        reply = await self._send_post(
            "lease_keepalive",
            f"/api/kv-keep/{lease_id}",
            None,
            _KeepAliveReply,
            repeatable=True,
        )
        if isinstance(reply, result.Err):
            if _get_rejected_status(reply.err_value) == _NOT_FOUND_STATUS:
                return result.Ok(False)
            return reply
        return result.Ok(True)

    async def revoke_lease(
        self, lease_id: int
    ) -> result.Result[None, store.StoreFailure]:
        """Ends a lease and deletes its keys; no error if it has expired."""
        outcome = await self._connection.send_request(
            "lease_revoke",
            f"/api/kv-lease-end/{lease_id}",
            b"",
            repeatable=True,
            method="DELETE",
        )
        if isinstance(outcome, result.Ok):
            return result.Ok(None)
        if outcome.err_value.rejected_status == _NOT_FOUND_STATUS:
            return result.Ok(None)
        return outcome

    @contextlib.asynccontextmanager
    async def watch(
        self, key: str, from_revision: int
    ) -> AsyncIterator[AsyncIterator[store.KeyValue]]:
        """Watches one key; see `store.KeyValueStore.watch`."""
        changes = self._watch_key(key, from_revision)
        async with contextlib.aclosing(changes):
            yield changes

    async def _watch_key(
        self, key: str, from_revision: int
    ) -> AsyncGenerator[store.KeyValue, None]:
        after = max(0, from_revision - 1)
        while True:
            reply = await self._watch(key, after, WATCH_WAIT_MS)
            if isinstance(reply, result.Err):
                _LOG.info(
                    "platform: the watch of %s failed: %s",
                    key,
                    reply.err_value.detail,
                )
                await trio.sleep(WATCH_RETRY_S)
                continue
            for item in reply.ok_value.events:
                # Keys that start with this one match the prefix as well.
                if item.key == key:
                    yield _to_key_value(item)
            after = reply.ok_value.store_revision

    async def _watch(
        self, prefix: str, after: int, wait_ms: int
    ) -> result.Result[_WatchReply, store.StoreFailure]:
        generation, revision = store.split_revision(after)
        query = urllib.parse.urlencode(
            {"Prefix": prefix, "after": revision, "WaitMs": wait_ms}
        )
        reply = await self._send_get(
            "watch", f"/api/kv-watch?{query}", _WatchReply, wait_ms
        )
        if (
            isinstance(reply, result.Err)
            and _get_rejected_status(reply.err_value) == _COMPACTED_STATUS
        ):
            raise store.WatchCompactedError(revision)
        if isinstance(reply, result.Ok) and after:
            present, _ = store.split_revision(reply.ok_value.store_revision)
            if present != generation:
                raise store.StoreRestoredError(revision, present)
        return reply

    async def _read_items(
        self, prefix: str
    ) -> result.Result[tuple[list[_Item], int], store.StoreFailure]:
        items: list[_Item] = []
        first_revision = 0
        query = {"Prefix": prefix}
        while True:
            path = f"/api/kv-range?{urllib.parse.urlencode(query)}"
            reply = await self._send_get("range", path, _RangeReply)
            if isinstance(reply, result.Err):
                return reply
            page = reply.ok_value
            first_revision = first_revision or page.store_revision
            if store.is_restored_since(first_revision, page.store_revision):
                return _build_invalid_reply_failure(
                    "the store was restored between two pages"
                )
            items += page.items
            if not page.has_more or not page.items:
                return result.Ok((items, first_revision))
            query["after"] = page.items[-1].key

    async def _send_get(
        self, kind: str, path: str, reply_type: type[_T], wait_ms: float = 0.0
    ) -> result.Result[_T, store.StoreFailure]:
        reply = await self._connection.send_request(
            kind, path, b"", repeatable=True, method="GET", wait_ms=wait_ms
        )
        return self._decode(reply, reply_type)

    async def _send_post(
        self,
        kind: str,
        path: str,
        body: object,
        reply_type: type[_T],
        *,
        repeatable: bool = False,
    ) -> result.Result[_T, store.StoreFailure]:
        content = b"" if body is None else json.dumps(body).encode()
        reply = await self._connection.send_request(
            kind, path, content, repeatable=repeatable
        )
        return self._decode(reply, reply_type)

    def _decode(
        self,
        reply: result.Result[store.Reply, store.CallFailure],
        reply_type: type[_T],
    ) -> result.Result[_T, store.StoreFailure]:
        if isinstance(reply, result.Err):
            return reply
        try:
            body = msgspec.json.decode(reply.ok_value.body, type=reply_type)
        except msgspec.MsgspecError as error:
            return _build_invalid_reply_failure(f"invalid reply: {error}")
        generation = _parse_generation(reply.ok_value.headers)
        self._generation = max(self._generation, generation)
        body.order_revisions(generation)
        return result.Ok(body)


def _parse_generation(headers: Sequence[tuple[bytes, bytes]]) -> int:
    for name, value in headers:
        if name.lower() == _GENERATION_HEADER and value.isdigit():
            return int(value)
    return 0


def _get_rejected_status(failure: store.StoreFailure) -> int:
    if isinstance(failure, store.CallFailure):
        return failure.rejected_status
    return 0
