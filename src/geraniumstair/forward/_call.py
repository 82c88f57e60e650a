"""A caller's request, and the calls to endpoints that serve it."""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import enum
from typing import Protocol

from geraniumstair import endpoint_http


class Outcome(enum.Enum):
    """How a call to an endpoint ended."""

    ANSWERED = "answered"
    """The endpoint returned a valid answer."""
    FAILED = "failed"
    """The endpoint ran the request and answered with a failure."""
    REJECTED = "rejected"
    """The endpoint did not run the request."""
    MISDIRECTED = "misdirected"
    """Another endpoint has the address; the request did not run."""
    LOST = "lost"
    """The request was sent but got no valid answer; it may have run."""
    NOT_SENT = "not_sent"
    """No byte of the request was sent."""

    @property
    def not_run(self) -> bool:
        """True if the endpoint certainly did not run the request."""
        return self in _NOT_RUN


_NOT_RUN = frozenset([Outcome.REJECTED, Outcome.MISDIRECTED, Outcome.NOT_SENT])


class Cause(enum.Enum):
    """Why a call to an endpoint is made."""

    FIRST = "first"
    RETRY = "retry"
    HEDGE = "hedge"


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Result of one call to an endpoint.

    Attributes:
        outcome: How the call ended.
        detail: One sentence for logs.
        status: HTTP status; 0 without an answer.
        fields: Headers of the answer, in order.
        body: Body of the answer.
        signature: Signature of the endpoint on its answer; empty without one.
        names_request: The answer states to which request it belongs.
        rate_limit_per_s: Requests a second that the endpoint accepts from all
            nodes together; None if it states no limit.
        connection_lost: The endpoint closed the connection before its answer
            was complete.
        endpoint_ended: The endpoint does not accept connections either.
        leaving: The endpoint states that it shuts down.
        pause_s: How long the endpoint wants no requests from this node.
    """

    outcome: Outcome
    detail: str = ""
    status: int = 0
    fields: Sequence[tuple[bytes, bytes]] = ()
    body: bytes = b""
    signature: bytes = b""
    names_request: bool = True
    rate_limit_per_s: float | None = None
    connection_lost: bool = False
    endpoint_ended: bool = False
    leaving: bool = False
    pause_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """A complete request as the caller sent it.

    Attributes:
        request_id: Id of the caller's attempt.
        method: HTTP method.
        target: Path and query, unchanged.
        host: Value of the host header.
        path: Path without the query.
        fields: Headers to forward.
        body: The complete body.
        has_body: False if the request has no body; an empty body counts.
        received_s: Time of receipt, on the monotonic clock.
        remaining_ms: How long the caller will wait after the receipt; None if
            the caller did not state it.
        account: Name of the caller's account; empty without an account.
        priority: Replaces the route's priority; None leaves it.
    """

    request_id: bytes
    method: bytes
    target: bytes
    host: str
    path: str
    fields: Sequence[tuple[bytes, bytes]]
    body: bytes
    has_body: bool
    received_s: float
    remaining_ms: float | None
    account: str = ""
    priority: float | None = None


class PreparedRequest(Protocol):
    """A request whose bytes common to all endpoints are encoded once."""

    request_id: bytes

    def encode(self, endpoint_id: str, remaining_ms: float) -> bytes:
        """Returns the request's bytes for one endpoint.

        Args:
            endpoint_id: The endpoint that should run the request.
            remaining_ms: How much longer the caller will wait.
        """
        ...


class Dialect(Protocol):
    """Encodes requests and interprets responses in the endpoints' protocol."""

    def prepare(self, request: CallerRequest) -> PreparedRequest:
        """Encodes the bytes that are the same for all endpoints."""
        ...

    def classify(
        self, response: endpoint_http.Response, request_id: bytes
    ) -> Reply | None:
        """Interprets a response; None if it answers another request."""
        ...

    def idle_limit_s(self, response: endpoint_http.Response) -> float | None:
        """Returns how long the connection may stay idle; None if unknown."""
        ...


class CallObserver(Protocol):
    """Observes the outcomes of calls."""

    def on_call_ended(self, call: "Call", reply: Reply) -> None:
        """Called when a call has ended, even if it was abandoned."""


@dataclasses.dataclass(slots=True, eq=False)
class Call:
    """One request to one endpoint.

    Attributes:
        prepared: The request to send.
        deadline_s: When the caller stops waiting, on the monotonic clock.
        priority: Rank among queued calls; 0 goes first.
        idempotent: The request may run more than once.
        on_finished: Called once with the reply, unless the call is abandoned
            before.
        service: Service that is called.
        route: Name of the caller's route.
        cause: Why the call is made.
        endpoint_id: Endpoint that the call was submitted to; empty before.
        instance_name: Id and start of that endpoint, if it closed the
            connection; empty before.
        submitted_s: When the call was submitted to an endpoint.
        sent: Some bytes of the request were sent, or may have been.
        sent_s: When the first byte was sent.
        done: The reply was delivered, or the call was abandoned.
        abandoned_s: When the call was abandoned because nobody waits for it.
        aborted: This node closed the connection to stop the endpoint's work on
            the call.
        observer: Called with the reply, also if the call was abandoned.
    """

    prepared: PreparedRequest
    deadline_s: float
    priority: float
    idempotent: bool
    on_finished: Callable[["Call", Reply], None]
    service: str
    route: str = ""
    cause: Cause = Cause.FIRST
    endpoint_id: str = ""
    instance_name: str = ""
    submitted_s: float = 0.0
    sent: bool = False
    sent_s: float = 0.0
    done: bool = False
    abandoned_s: float = 0.0
    aborted: bool = False
    observer: CallObserver | None = None

    def finish(self, reply: Reply) -> None:
        """Delivers the reply, unless the call is done."""
        if self.observer is not None:
            self.observer.on_call_ended(self, reply)
        if not self.done:
            self.done = True
            self.on_finished(self, reply)
