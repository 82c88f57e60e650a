"""Parsing and validation of callers' search requests."""

import dataclasses
import math
from typing import Annotated
from typing import Any

import msgspec
import result

from geraniumstair import errors
from geraniumstair._generated import codes

_MIN_DEADLINE_MS = 1.0
_MAX_DEADLINE_MS = 60_000.0
_MAX_IDEMPOTENCY_KEY_CHARS = 128

_Name = Annotated[str, msgspec.Meta(min_length=1, max_length=63)]
# The route becomes part of the path of the request to the endpoint, so its
# characters are restricted.
_Route = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}\Z")]
_Percentage = Annotated[float, msgspec.Meta(ge=0, le=100)]


class _CallerBody(msgspec.Struct, forbid_unknown_fields=True):
    """JSON body of `POST /v1/search`."""

    subsidiary: _Name
    query: msgspec.Raw
    services: Annotated[list[_Name], msgspec.Meta(max_length=2000)] = []
    service_set: _Name | None = None
    route: _Route = "search"
    # Any type is decoded, because an invalid deadline has its own result code.
    deadline_ms: Any = None
    least_coverage_pct: _Percentage | None = None
    repeatable: bool = True


_DECODER = msgspec.json.Decoder(_CallerBody)


@dataclasses.dataclass(frozen=True)
class SearchRequest:
    """A validated search.

    Attributes:
        subsidiary: Name of the subsidiary.
        services: Service names within the subsidiary; empty if a service set
            is given.
        service_set: Name of a service set, or None.
        query: JSON text of the query.
        route: Kind of request at the endpoints.
        deadline_ms: Time for the whole search; None for the default of the
            services' policies.
        least_coverage_pct: Least mean coverage of the answer; None for that of
            the services' policies.
        repeatable: False for a request that must run at most once.
        idempotency_key: Key of a request that must run at most once.
    """

    subsidiary: str
    services: tuple[str, ...] = ()
    service_set: str | None = None
    query: bytes = b"null"
    route: str = "search"
    deadline_ms: float | None = None
    least_coverage_pct: float | None = None
    repeatable: bool = True
    idempotency_key: str | None = None

    @property
    def endpoint_body(self) -> bytes:
        """The JSON body that endpoints receive."""
        return b'{"query":' + self.query + b"}"


def _build_refusal(
    code: codes.Code, detail: str
) -> result.Result[SearchRequest, errors.Refusal]:
    return result.Err(errors.Refusal(code, detail))


def _is_valid_deadline(value: object) -> bool:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return False
    try:
        number = float(value)
    except OverflowError:
        return False
    if not math.isfinite(number):
        return False
    return _MIN_DEADLINE_MS <= number <= _MAX_DEADLINE_MS


def _is_valid_idempotency_key(key: str) -> bool:
    """Returns whether a key is 1 to 128 visible ASCII characters."""
    if not 1 <= len(key) <= _MAX_IDEMPOTENCY_KEY_CHARS:
        return False
    return all("!" <= character <= "~" for character in key)


def parse_request(
    body: bytes, idempotency_key: str | None = None
) -> result.Result[SearchRequest, errors.Refusal]:
    """Validates the JSON body of a search.

    Args:
        body: The request body.
        idempotency_key: Value of the header `Idempotency-Key`, if present.

    Returns:
        The request, or a refusal with MALFORMED_BODY, INVALID_DEADLINE,
        INVALID_HEADER or MISSING_IDEMPOTENCY_KEY.
    """
    try:
        # The query is passed on unparsed, so its encoding is checked here.
        body.decode("utf-8")
        parsed = _DECODER.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        detail = "The body is not a valid search"
        if isinstance(error, msgspec.ValidationError):
            detail = f"{detail}: {error}"
        return _build_refusal(codes.Code.MALFORMED_BODY, detail[:300])
    if bool(parsed.services) == (parsed.service_set is not None):
        return _build_refusal(
            codes.Code.MALFORMED_BODY,
            "Exactly one of services and service_set must be given.",
        )
    if parsed.deadline_ms is not None and not _is_valid_deadline(
        parsed.deadline_ms
    ):
        return _build_refusal(
            codes.Code.INVALID_DEADLINE,
            "deadline_ms must be a number between 1 and 60000.",
        )
    if idempotency_key is not None and not _is_valid_idempotency_key(
        idempotency_key
    ):
        return _build_refusal(
            codes.Code.INVALID_HEADER,
            "Idempotency-Key must be 1 to 128 visible ASCII characters.",
        )
    if not parsed.repeatable and idempotency_key is None:
        return _build_refusal(
            codes.Code.MISSING_IDEMPOTENCY_KEY,
            "A request with repeatable=false needs an Idempotency-Key header.",
        )
    return result.Ok(_build_request(parsed, idempotency_key))


def _build_request(
    parsed: _CallerBody, idempotency_key: str | None
) -> SearchRequest:
    deadline_ms = None
    if parsed.deadline_ms is not None:
        deadline_ms = float(parsed.deadline_ms)
    return SearchRequest(
        subsidiary=parsed.subsidiary,
        services=tuple(dict.fromkeys(parsed.services)),
        service_set=parsed.service_set,
        query=bytes(parsed.query),
        route=parsed.route,
        deadline_ms=deadline_ms,
        least_coverage_pct=parsed.least_coverage_pct,
        repeatable=parsed.repeatable,
        idempotency_key=idempotency_key,
    )
