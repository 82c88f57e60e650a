"""Shard requests that wait for their reply."""

from collections.abc import Callable
import dataclasses
from typing import Protocol

import trio

from geraniumstair._generated import codes
from geraniumstair._generated import messages
from geraniumstair.dispatch import _client
from geraniumstair.dispatch import _connection
from geraniumstair.dispatch import _endpoint

_CODE_BY_OUTCOME = {
    _client.Outcome.SHED: codes.Code.ENDPOINT_SHED,
    _client.Outcome.SNAPSHOT_UNAVAILABLE: codes.Code.SNAPSHOT_UNAVAILABLE,
    _client.Outcome.NOT_SENT: codes.Code.NO_ENDPOINT,
    _client.Outcome.CANCELLED: codes.Code.ENDPOINT_FAILED,
    _client.Outcome.FAILED: codes.Code.ENDPOINT_FAILED,
    _client.Outcome.CONNECTION_LOST: codes.Code.CONNECTION_LOST,
    _client.Outcome.INVALID: codes.Code.RESPONSE_INVALID,
}


class RequestHandler(Protocol):
    """Handles the events of pending requests."""

    def cancel(self, pending: "PendingRequest") -> None:
        """Ends a request whose caller no longer waits."""

    def on_timer(self, pending: "PendingRequest") -> None:
        """Handles a deadline that has passed or a hedge that is due."""

    def clean_up(self, pending: "PendingRequest") -> None:
        """Removes an ended request from the queue; abandons its attempts."""


@dataclasses.dataclass(slots=True, eq=False)
class PendingRequest:
    """State of a shard request from its arrival to its reply.

    Attributes:
        request: Message with the request.
        shard: Handles the request.
        priority: Requests of priority 0 are dispatched first.
        deadline_s: Deadline on the monotonic clock.
        on_finished: Called once, when the reply is set.
        arrived_s: Time of arrival on the monotonic clock.
        attempts: Running attempts and their endpoints.
        tried: Endpoints of all attempts so far.
        without_snapshot: Endpoints that replied that they lack the snapshot.
        hedge_at_s: Time when a hedge is due on the monotonic clock; infinite if
            none is scheduled.
        hedged: Whether a hedge was sent.
        failure_code: Code of the last attempt that an endpoint may have run;
            None if it is certain that no endpoint has run the request.
        reply: The reply; None until it is set.
    """

    request: messages.ShardRequest
    shard: RequestHandler
    priority: int
    deadline_s: float
    on_finished: Callable[["PendingRequest"], None]
    arrived_s: float = dataclasses.field(default_factory=trio.current_time)
    attempts: dict[_connection.Attempt, _endpoint.Endpoint] = dataclasses.field(
        default_factory=dict
    )
    tried: list[_endpoint.Endpoint] = dataclasses.field(default_factory=list)
    without_snapshot: list[_endpoint.Endpoint] = dataclasses.field(
        default_factory=list
    )
    hedge_at_s: float = float("inf")
    hedged: bool = False
    failure_code: codes.Code | None = None
    reply: messages.ShardReply | None = None

    def finish(self, reply: messages.ShardReply) -> None:
        """Sets the reply; later calls have no effect."""
        if self.reply is None:
            self.reply = reply
            self.shard.clean_up(self)
            self.on_finished(self)


def code_for_outcome(outcome: _client.Outcome) -> codes.Code:
    """Returns the result code for an outcome other than an answer."""
    return _CODE_BY_OUTCOME[outcome]


def build_refusal(
    request: messages.ShardRequest,
    code: codes.Code,
    detail: str,
    *,
    snapshots: list[int] | None = None,
    retry_after_ms: float = 0.0,
) -> messages.ShardReply:
    """Returns a reply that carries a code and a reason but no answer."""
    return messages.ShardReply(
        code=int(code),
        detail=detail,
        not_run=codes.INFO[code].not_run,
        snapshot=request.snapshot,
        coverage_pct=0.0,
        body=b"",
        endpoint="",
        version="",
        snapshots=snapshots or [],
        hedged=False,
        retry_after_ms=retry_after_ms,
    )
