"""What the forwarder makes of a caller's request."""

from collections.abc import Sequence
import dataclasses
import enum

from geraniumstair.forward import _call


class RefusalReason(enum.Enum):
    """Why a request has no answer of an endpoint."""

    NO_CONFIGURATION = "no_configuration"
    NO_ROUTE = "no_route"
    NO_ENDPOINT = "no_endpoint"
    TIMEOUT = "timeout"
    ENDPOINT_FAILED = "endpoint_failed"


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The request has no answer of an endpoint.

    Attributes:
        reason: Why.
        not_run: True only if no endpoint ran it, or ever will.
        retry_after_s: When trying again makes sense; None if unknown.
        detail: One sentence for logs.
    """

    reason: RefusalReason
    not_run: bool
    retry_after_s: float | None
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class SearchResult:
    """The merged parts of a search.

    Attributes:
        signatures: The endpoints' marks of the parts that are included.
        missing: Shards that are left out.
        records: The greatest records of the parts, greatest first.
    """

    signatures: Sequence[bytes]
    missing: int
    records: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class SingleResult:
    """An endpoint's own answer, passed on unchanged."""

    reply: _call.Reply


ForwardResult = Refused | SearchResult | SingleResult
