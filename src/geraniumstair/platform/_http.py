"""HTTP headers and statuses of the platform's callers and endpoints."""

import dataclasses
import logging
import math

import result

from geraniumstair import endpoint_http
from geraniumstair import forward
from geraniumstair import gateway

_LOG = logging.getLogger(__name__)
_REQUEST_ID = b"x-attempt-id"
_AUTHORIZATION = b"authorization"
_KEY_SCHEME = b"bearer"
# Name of the caller's account, for endpoints.
_ACCOUNT = b"x-tenant"
# Time for which the sender still waits, in ms.
_REMAINING_MS = b"x-time-remaining"
# Id of the intended endpoint; another one at its address answers 421.
_ENDPOINT_ID = b"x-expected-instance"
# Signature by which an endpoint marks its own answers.
_SIGNATURE = b"x-response-stamp"
# Set by an endpoint that did not run the request.
_NOT_RUN = b"x-not-executed"
# Requests a second that the sending endpoint takes from all nodes together.
_RATE_LIMIT = b"server-limit"
# Set to 1 by an endpoint that shuts down.
_LEAVING = b"server-leaving"
_PART_SIGNATURES = b"x-part-stamps"
_MISSING_PARTS = b"x-parts-missing"

# Hop-by-hop headers, and headers that this module sets.
_NOT_FORWARDED = frozenset(
    [
        b"connection",
        b"content-length",
        b"expect",
        b"host",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        _REQUEST_ID,
        _REMAINING_MS,
        _ENDPOINT_ID,
    ]
)
_NOT_RETURNED = frozenset(
    [
        b"connection",
        b"content-length",
        b"keep-alive",
        b"proxy-connection",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    ]
)
_MISDIRECTED_STATUS = 421
# Statuses that guarantee callers that a request has not run. An endpoint's
# response with such a status is trusted only if the endpoint itself states that
# it did not run the request.
_NOT_RUN_STATUSES = frozenset([408, 421, 429, 503])
_REFUSAL_STATUSES = {
    forward.RefusalReason.NO_CONFIGURATION: 503,
    forward.RefusalReason.NO_ROUTE: 404,
    forward.RefusalReason.NO_ENDPOINT: 503,
    forward.RefusalReason.TIMEOUT: 504,
    forward.RefusalReason.ENDPOINT_FAILED: 502,
    forward.RefusalReason.OVERLOADED: 503,
    forward.RefusalReason.SUSPECT: 503,
    forward.RefusalReason.UNKNOWN_KEY: 401,
    forward.RefusalReason.ACCOUNTS_STALE: 503,
}
# A retry of these would be refused as well, on any node.
_FINAL_STATUSES = frozenset([401, 404])
_UNAVAILABLE_STATUS = 503
_MAX_REMAINING_MS = 3_600_000.0
_MAX_LOGGED_BYTES = 40
_MISDIRECTED = forward.Outcome.MISDIRECTED


class PlatformCodec:
    """Converts between HTTP messages of callers and internal requests."""

    def parse(
        self, head: gateway.RequestHead, body: bytes | None
    ) -> result.Result[forward.CallerRequest, str]:
        """Parses a request; an error describes why it is invalid."""
        values = dict(head.headers)
        request_id = values.get(_REQUEST_ID, b"")
        if not request_id:
            return result.Err("X-Attempt-Id is missing")
        remaining_ms = None
        if _REMAINING_MS in values:
            try:
                remaining_ms = float(values[_REMAINING_MS])
            except ValueError:
                return result.Err("X-Time-Remaining is not a number")
            if not 0 <= remaining_ms <= _MAX_REMAINING_MS:
                return result.Err("X-Time-Remaining is out of range")
        return result.Ok(
            forward.CallerRequest(
                request_id=request_id,
                method=head.method,
                target=head.target,
                host=values.get(b"host", b"").decode("latin-1"),
                path=head.path,
                fields=_select_forwarded_headers(head, values),
                body=body or b"",
                has_body=body is not None,
                received_s=head.received_s,
                remaining_ms=remaining_ms,
            )
        )

    def read_key(self, request: forward.CallerRequest) -> bytes | None:
        """Returns the key; None if it is missing, malformed or ambiguous."""
        values = [v for n, v in request.fields if n == _AUTHORIZATION]
        if len(values) != 1:
            return None
        scheme, _, key = values[0].partition(b" ")
        key = key.strip(b" ")
        if scheme.lower() != _KEY_SCHEME or len(key.split()) != 1:
            return None
        return key

    def set_account(
        self, request: forward.CallerRequest, name: str
    ) -> forward.CallerRequest:
        """Returns the request without its key, with the account's name."""
        fields = [
            (n, v)
            for n, v in request.fields
            if n not in (_AUTHORIZATION, _ACCOUNT)
        ]
        if name:
            fields.append((_ACCOUNT, name.encode()))
        return dataclasses.replace(request, fields=fields)

    def render(self, outcome: forward.ForwardResult) -> gateway.HttpResponse:
        """Returns the response for the outcome of a request."""
        match outcome:
            case forward.SearchResult(signatures, missing, records):
                headers = [
                    (b"content-type", b"application/octet-stream"),
                    (_PART_SIGNATURES, b", ".join(signatures)),
                    (_MISSING_PARTS, b"%d" % missing),
                ]
                return gateway.HttpResponse(200, headers, records)
            case forward.SingleResult(reply):
                return gateway.HttpResponse(
                    reply.status,
                    [
                        (name, value)
                        for name, value in reply.fields
                        if name.lower() not in _NOT_RETURNED
                    ],
                    reply.body,
                )
            case forward.Refused():
                return _render_refusal(outcome)


def _select_forwarded_headers(
    head: gateway.RequestHead, values: dict[bytes, bytes]
) -> list[tuple[bytes, bytes]]:
    connection_headers = values.get(b"connection", b"").lower().split(b",")
    excluded = _NOT_FORWARDED.union(name.strip() for name in connection_headers)
    return [(n, v) for n, v in head.headers if n not in excluded]


def _render_refusal(refusal: forward.Refused) -> gateway.HttpResponse:
    status = _REFUSAL_STATUSES[refusal.reason]
    if status not in _FINAL_STATUSES:
        # Status 503 guarantees that the request has not run.
        if refusal.not_run:
            status = _UNAVAILABLE_STATUS
        elif status == _UNAVAILABLE_STATUS:
            status = 502
    headers = [(b"content-type", b"text/plain")]
    if status == _UNAVAILABLE_STATUS and refusal.retry_after_s is not None:
        headers.append((b"retry-after", b"%.3f" % refusal.retry_after_s))
    if status == 401:
        headers.append((b"www-authenticate", b"Bearer"))
    return gateway.HttpResponse(status, headers, refusal.reason.value.encode())


class _PreparedRequest:
    """A request whose endpoint-specific headers are added when it is sent."""

    def __init__(self, request: forward.CallerRequest) -> None:
        self.request_id = request.request_id
        lines = [
            b"%b %b HTTP/1.1" % (request.method, request.target),
            b"host: %b" % request.host.encode("latin-1"),
            b"%b: %b" % (_REQUEST_ID, request.request_id),
        ]
        lines += [b"%b: %b" % field for field in request.fields]
        if request.has_body:
            lines.append(b"content-length: %d" % len(request.body))
        self._head = b"\r\n".join(lines) + b"\r\n"
        self._body = request.body

    def encode(self, endpoint_id: str, remaining_ms: float) -> bytes:
        """Returns the encoded request for one endpoint."""
        return b"%b%b: %d\r\n%b: %b\r\n\r\n%b" % (
            self._head,
            _REMAINING_MS,
            remaining_ms,
            _ENDPOINT_ID,
            endpoint_id.encode(),
            self._body,
        )


class PlatformDialect:
    """Encodes requests to endpoints and classifies their responses."""

    def __init__(self) -> None:
        # An endpoint may repeat an invalid limit in each answer.
        self._last_invalid_limit: bytes | None = None

    def prepare(
        self, request: forward.CallerRequest
    ) -> forward.PreparedRequest:
        """Encodes the part of a request that is the same for all endpoints."""
        return _PreparedRequest(request)

    def classify(
        self, response: endpoint_http.Response, request_id: bytes
    ) -> forward.Reply | None:
        """Classifies a response; None if it belongs to another request."""
        headers = response.headers
        if headers.get(_REQUEST_ID, request_id) != request_id:
            return None
        reply = _classify_own(response)
        if _REQUEST_ID not in headers:
            reply = dataclasses.replace(reply, names_request=False)
        if reply.outcome is _MISDIRECTED:
            # The other headers are about another endpoint.
            return reply
        if _RATE_LIMIT in headers:
            reply = dataclasses.replace(
                reply,
                rate_limit_per_s=self._parse_rate_limit(headers[_RATE_LIMIT]),
            )
        if headers.get(_LEAVING) == b"1":
            reply = dataclasses.replace(reply, leaving=True)
        if response.status == _UNAVAILABLE_STATUS:
            pause_s = self._parse_retry_after(headers.get(b"retry-after"))
            reply = dataclasses.replace(reply, pause_s=pause_s)
        return reply

    def _parse_retry_after(self, value: bytes | None) -> float:
        """Returns the seconds of the header; 0 without valid ones."""
        if value is None:
            return 0.0
        pause_s = _parse_decimal(value)
        if pause_s is None:
            _LOG.info(
                "platform: ignored a Retry-After that is no number of seconds: "
                "%r",
                value[:_MAX_LOGGED_BYTES],
            )
            return 0.0
        return pause_s

    def _parse_rate_limit(self, value: bytes) -> float | None:
        limit_per_s = _parse_decimal(value)
        if limit_per_s is not None:
            return limit_per_s
        if value != self._last_invalid_limit:
            self._last_invalid_limit = value
            _LOG.warning(
                "platform: ignored a request rate limit that is not a "
                "decimal number: %r",
                value[:_MAX_LOGGED_BYTES],
            )
        return None

    def idle_limit_s(self, response: endpoint_http.Response) -> float | None:
        """Returns how long the connection may stay idle; None if unknown."""
        value = response.headers.get(b"keep-alive", b"")
        for parameter in value.split(b","):
            name, _, number = parameter.strip().partition(b"=")
            if name.lower() == b"timeout" and number.isdigit():
                return float(number)
        return None


def _parse_decimal(value: bytes) -> float | None:
    """Returns a finite number that is not negative; None for other values."""
    try:
        number = float(value)
    except ValueError:
        return None
    return number if math.isfinite(number) and number >= 0 else None


def _classify_own(response: endpoint_http.Response) -> forward.Reply:
    status = response.status
    if status == _MISDIRECTED_STATUS:
        detail = "the address belongs to another endpoint"
        return forward.Reply(forward.Outcome.MISDIRECTED, detail, status)
    if _NOT_RUN in response.headers:
        detail = f"the endpoint refused the request with status {status}"
        return forward.Reply(forward.Outcome.REJECTED, detail, status)
    return _classify_executed(response)


def _classify_executed(response: endpoint_http.Response) -> forward.Reply:
    headers = response.headers
    signature = headers.get(_SIGNATURE, b"")
    encoding = headers.get(b"content-encoding", b"identity")
    lost_reason = ""
    if not signature:
        lost_reason = f"a response of status {response.status} has no signature"
    elif encoding.lower() != b"identity":
        lost_reason = "the body has a content encoding that was not requested"
    elif response.status in _NOT_RUN_STATUSES:
        lost_reason = (
            f"status {response.status} for a request that may have run"
        )
    if lost_reason:
        return forward.Reply(forward.Outcome.LOST, lost_reason)
    answered = 200 <= response.status < 300
    outcomes = forward.Outcome
    return forward.Reply(
        outcome=outcomes.ANSWERED if answered else outcomes.FAILED,
        detail=f"status {response.status}",
        status=response.status,
        fields=response.fields,
        body=response.body,
        signature=signature,
    )
