"""Results of forwarded requests."""

from collections.abc import Sequence
import dataclasses
import enum

from geraniumstair.forward import _call


class RefusalReason(enum.Enum):
    """Why a request got no answer from an endpoint."""

    NO_CONFIGURATION = "no_configuration"
    NO_ROUTE = "no_route"
    NO_ENDPOINT = "no_endpoint"
    TIMEOUT = "timeout"
    ENDPOINT_FAILED = "endpoint_failed"
    OVERLOADED = "overloaded"
    SUSPECT = "suspect"
    UNKNOWN_KEY = "unknown_key"
    ACCOUNTS_STALE = "accounts_stale"


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The request got no answer from an endpoint.

    Attributes:
        reason: Why there is no answer.
        not_run: True only if no endpoint has run the request, or ever will.
        retry_after_s: Time until a retry makes sense; None if unknown.
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
        signatures: The endpoints' signatures of the included parts.
        missing: Number of shards that are left out.
        records: The greatest records of the parts, greatest first.
    """

    signatures: Sequence[bytes]
    missing: int
    records: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class SingleResult:
    """An endpoint's answer, which is returned unchanged."""

    reply: _call.Reply


ForwardResult = Refused | SearchResult | SingleResult


def is_answered(result: ForwardResult) -> bool:
    """Returns whether endpoints answered the request without a failure."""
    if isinstance(result, SingleResult):
        return result.reply.outcome is _call.Outcome.ANSWERED
    return isinstance(result, SearchResult)
