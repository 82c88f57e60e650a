"""Headers and statuses that callers and endpoints use."""

import result

from geraniumstair import calls
from geraniumstair import edge
from geraniumstair import forward

_REQUEST_ID = b"x-attempt-id"
# Milliseconds that the sender will still wait.
_REMAINING_MS = b"x-time-remaining"
# The endpoint that is meant; another one at its address answers 421.
_ENDPOINT_ID = b"x-expected-instance"
# An endpoint's mark of an answer that it gave.
_SIGNATURE = b"x-response-stamp"
# The endpoint did not run the request.
_NOT_RUN = b"x-not-executed"
_PART_SIGNATURES = b"x-part-stamps"
_MISSING_PARTS = b"x-parts-missing"

# Headers that concern one connection only, and those that are set here.
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
_MISDIRECTED = 421
# These statuses promise callers that a request has not run. Only an endpoint
# that says so itself may cause one.
_PROMISES = frozenset([408, 421, 429, 503])
_REFUSAL_STATUSES = {
    forward.RefusalReason.NO_CONFIGURATION: 503,
    forward.RefusalReason.NO_ROUTE: 404,
    forward.RefusalReason.NO_ENDPOINT: 503,
    forward.RefusalReason.TIMEOUT: 504,
    forward.RefusalReason.ENDPOINT_FAILED: 502,
}
_UNAVAILABLE = 503
_MAX_REMAINING_MS = 3_600_000.0


class PlatformCodec:
    """What callers speak."""

    def parse(
        self, head: edge.RequestHead, body: bytes | None
    ) -> result.Result[forward.CallerRequest, str]:
        """Reads a request; an error says what is wrong with it."""
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
                fields=_forwarded(head, values),
                body=body or b"",
                has_body=body is not None,
                received_s=head.received_s,
                remaining_ms=remaining_ms,
            )
        )

    def render(self, outcome: forward.ForwardResult) -> edge.HttpResponse:
        """Returns the answer to a request."""
        match outcome:
            case forward.SearchResult(signatures, missing, records):
                fields = [
                    (b"content-type", b"application/octet-stream"),
                    (_PART_SIGNATURES, b", ".join(signatures)),
                    (_MISSING_PARTS, b"%d" % missing),
                ]
                return edge.HttpResponse(200, fields, records)
            case forward.SingleResult(reply):
                return edge.HttpResponse(
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


def _forwarded(
    head: edge.RequestHead, values: dict[bytes, bytes]
) -> list[tuple[bytes, bytes]]:
    named = values.get(b"connection", b"").lower().split(b",")
    dropped = _NOT_FORWARDED.union(name.strip() for name in named)
    return [(n, v) for n, v in head.headers if n not in dropped]


def _render_refusal(refused: forward.Refused) -> edge.HttpResponse:
    status = _REFUSAL_STATUSES[refused.reason]
    if status != 404:
        # Only 503 promises that the request has not run.
        if refused.not_run:
            status = _UNAVAILABLE
        elif status == _UNAVAILABLE:
            status = 502
    fields = [(b"content-type", b"text/plain")]
    if status == _UNAVAILABLE and refused.retry_after_s is not None:
        fields.append((b"retry-after", b"%.3f" % refused.retry_after_s))
    return edge.HttpResponse(status, fields, refused.reason.value.encode())


class _PreparedRequest:
    """The common bytes of a request, and what differs by endpoint."""

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
        """Returns the bytes for one endpoint."""
        return b"%b%b: %d\r\n%b: %b\r\n\r\n%b" % (
            self._head,
            _REMAINING_MS,
            remaining_ms,
            _ENDPOINT_ID,
            endpoint_id.encode(),
            self._body,
        )


class PlatformDialect:
    """What endpoints speak."""

    def prepare(
        self, request: forward.CallerRequest
    ) -> forward.PreparedRequest:
        """Encodes what all endpoints get."""
        return _PreparedRequest(request)

    def classify(
        self, response: calls.Response, request_id: bytes
    ) -> forward.Reply | None:
        """Tells what a response means; None if it is another request's."""
        headers = response.headers
        if headers.get(_REQUEST_ID, request_id) != request_id:
            return None
        status = response.status
        if status == _MISDIRECTED:
            detail = "another endpoint has the address"
            return forward.Reply(forward.Outcome.MISDIRECTED, detail, status)
        if _NOT_RUN in headers:
            detail = f"the endpoint refused with {status}"
            return forward.Reply(forward.Outcome.REJECTED, detail, status)
        return _classify_run(response)

    def idle_limit_s(self, response: calls.Response) -> float | None:
        """Returns how long the connection may stay idle, if it is known."""
        value = response.headers.get(b"keep-alive", b"")
        for parameter in value.split(b","):
            name, _, number = parameter.strip().partition(b"=")
            if name.lower() == b"timeout" and number.isdigit():
                return float(number)
        return None


def _classify_run(response: calls.Response) -> forward.Reply:
    headers = response.headers
    signature = headers.get(_SIGNATURE, b"")
    encoding = headers.get(b"content-encoding", b"identity")
    lost = ""
    if not signature:
        lost = f"an answer of status {response.status} without a signature"
    elif encoding.lower() != b"identity":
        lost = "the body has an encoding that nobody asked for"
    elif response.status in _PROMISES:
        lost = f"status {response.status} for a request that may have run"
    if lost:
        return forward.Reply(forward.Outcome.LOST, lost)
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
