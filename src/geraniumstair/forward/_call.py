"""One request of a caller, and its calls to endpoints."""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import enum
from typing import Protocol

from geraniumstair import calls


class Outcome(enum.Enum):
    """How a call to an endpoint ended."""

    ANSWERED = "answered"
    """A proper answer."""
    FAILED = "failed"
    """The endpoint ran the request and answered with a failure."""
    REJECTED = "rejected"
    """The endpoint did not run the request."""
    MISDIRECTED = "misdirected"
    """Another endpoint has the address; the request did not run."""
    LOST = "lost"
    """The request was sent and has no valid answer; it may have run."""
    NOT_SENT = "not_sent"
    """No byte of the request was sent."""

    @property
    def not_run(self) -> bool:
        """True if the endpoint certainly did not run the request."""
        return self in _NOT_RUN


_NOT_RUN = frozenset([Outcome.REJECTED, Outcome.MISDIRECTED, Outcome.NOT_SENT])


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """The end of one call.

    Attributes:
        outcome: How it ended.
        detail: One sentence for logs.
        status: HTTP status; 0 without an answer.
        fields: Headers of the answer, in order.
        body: Body of the answer.
        signature: The endpoint's mark of an answer; empty without one.
    """

    outcome: Outcome
    detail: str = ""
    status: int = 0
    fields: Sequence[tuple[bytes, bytes]] = ()
    body: bytes = b""
    signature: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """A whole request as the caller sent it.

    Attributes:
        request_id: Identity of the caller's attempt.
        method: HTTP method.
        target: Path and query, unchanged.
        host: Value of the host header.
        path: Path without the query.
        fields: Headers to pass on.
        body: The whole body.
        has_body: False if the caller sent none, not even an empty one.
        received_s: When it was received, on the monotonic clock.
        remaining_ms: How long the caller will wait from then on; None if
            the caller did not say.
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


class PreparedRequest(Protocol):
    """A request whose common part is encoded once for all endpoints."""

    request_id: bytes

    def encode(self, endpoint_id: str, remaining_ms: float) -> bytes:
        """Returns the bytes for one endpoint.

        Args:
            endpoint_id: The endpoint that is meant.
            remaining_ms: Time that the caller will still wait.
        """
        ...


class Dialect(Protocol):
    """What endpoints speak."""

    def prepare(self, request: CallerRequest) -> PreparedRequest:
        """Encodes what all endpoints get."""
        ...

    def classify(
        self, response: calls.Response, request_id: bytes
    ) -> Reply | None:
        """Tells what a response means; None if it is another request's."""
        ...

    def idle_limit_s(self, response: calls.Response) -> float | None:
        """Returns how long the connection may stay idle, if it is known."""
        ...


@dataclasses.dataclass(slots=True, eq=False)
class Call:
    """One request to one endpoint.

    Attributes:
        prepared: What is sent.
        deadline_s: When the caller stops waiting, on the monotonic clock.
        priority: Rank among waiting calls; 0 goes first.
        idempotent: It may run more than once.
        finished: Called once with the reply, unless abandoned before.
        shard: Service that is asked.
        route: Name of the caller's route.
        endpoint_id: Endpoint that it was given to; empty before.
        created_s: When it was given to an endpoint.
        sent: Some byte of it was sent, or may have been.
        sent_s: When its first byte was sent.
        done: The reply was delivered or nobody waits for it.
        abandoned_s: When nobody waited for it any more.
        ended: Its connection was closed here to end the work on it.
    """

    prepared: PreparedRequest
    deadline_s: float
    priority: int
    idempotent: bool
    finished: Callable[["Call", Reply], None]
    shard: str
    route: str = ""
    endpoint_id: str = ""
    created_s: float = 0.0
    sent: bool = False
    sent_s: float = 0.0
    done: bool = False
    abandoned_s: float = 0.0
    ended: bool = False

    def finish(self, reply: Reply) -> None:
        """Delivers the reply unless nobody waits for it."""
        if not self.done:
            self.done = True
            self.finished(self, reply)
