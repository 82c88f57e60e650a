"""Request and reply bodies of the JSON gateway of etcd v3 (gRPC gateway).

Bytes are in base64, which msgspec encodes and decodes. 64-bit integers are
strings, and replies may omit zero values. Replies are decoded with
`strict=False`, which accepts integers as strings.
"""

from typing import TypeVar

import msgspec

_T = TypeVar("_T")


class Header(msgspec.Struct):
    """Header of each reply, with the revision of the store."""

    revision: int = 0


class Record(msgspec.Struct):
    """One key at one revision."""

    key: bytes
    value: bytes = b""
    create_revision: int = 0
    mod_revision: int = 0
    lease: int = 0


class RangeRequest(msgspec.Struct):
    """Read of `key`, or of all keys in [key, range_end)."""

    key: bytes
    range_end: bytes = b""


class RangeReply(msgspec.Struct):
    """Reply to a read: the records in key order."""

    header: Header
    kvs: list[Record] = []


class CompareRequest(msgspec.Struct, omit_defaults=True):
    """Condition of a transaction; only the field of `target` is set."""

    key: bytes
    target: str
    result: str
    mod_revision: str = ""
    create_revision: str = ""


class PutRequest(msgspec.Struct):
    """Write of a key in a transaction."""

    key: bytes
    value: bytes
    lease: str


class DeleteRequest(msgspec.Struct):
    """Deletion of a key in a transaction."""

    key: bytes


class Operation(msgspec.Struct, omit_defaults=True):
    """Change in a transaction: exactly one of the fields is set."""

    request_put: PutRequest | None = None
    request_delete_range: DeleteRequest | None = None


class TxnRequest(msgspec.Struct):
    """Transaction: the changes of `success` are made if all compares hold."""

    compare: list[CompareRequest]
    success: list[Operation]


class TxnReply(msgspec.Struct):
    """Reply to a transaction; `succeeded` is true if all compares held."""

    header: Header
    succeeded: bool = False


class GrantRequest(msgspec.Struct, rename={"ttl_s": "TTL", "lease_id": "ID"}):
    """Creation of a lease; with id 0, the service chooses the id."""

    ttl_s: str
    lease_id: str = "0"


class LeaseRequest(msgspec.Struct, rename={"lease_id": "ID"}):
    """Renewal or revocation of a lease."""

    lease_id: str


class LeaseReply(msgspec.Struct, rename={"ttl_s": "TTL", "lease_id": "ID"}):
    """State of a lease after a grant or renewal; TTL 0 if it has expired."""

    lease_id: int = 0
    ttl_s: int = 0


class KeepAliveReply(msgspec.Struct):
    """Reply to a renewal: the first message of the keep-alive stream."""

    result: LeaseReply


class RevokeReply(msgspec.Struct):
    """Reply to the revocation of a lease."""

    header: Header


class WatchCreate(msgspec.Struct):
    """Parameters of a watch of one key."""

    key: bytes
    start_revision: str
    progress_notify: bool = True


class WatchRequest(msgspec.Struct):
    """Request that opens a watch."""

    create_request: WatchCreate


class Event(msgspec.Struct):
    """Change that a watch reports; the service omits `type` for a put."""

    kv: Record
    type: str = "PUT"


class WatchResult(msgspec.Struct):
    """Content of a message of a watch stream."""

    header: Header
    created: bool = False
    canceled: bool = False
    compact_revision: int = 0
    events: list[Event] = []


class WatchReply(msgspec.Struct):
    """Message of a watch stream, sent as one line."""

    result: WatchResult


def encode(request: msgspec.Struct) -> bytes:
    """Encodes a request body."""
    return msgspec.json.encode(request)


def decode(body: bytes, reply_type: type[_T]) -> _T:
    """Decodes a reply body.

    Raises:
        msgspec.ValidationError: The body does not match `reply_type`.
        msgspec.DecodeError: The body is not JSON.
    """
    return msgspec.json.decode(body, type=reply_type, strict=False)


def compute_range_end(prefix: bytes) -> bytes:
    """Returns the least key that is greater than all keys with a prefix."""
    for length in range(len(prefix), 0, -1):
        if prefix[length - 1] < 0xFF:
            return prefix[: length - 1] + bytes([prefix[length - 1] + 1])
    return b"\0"
