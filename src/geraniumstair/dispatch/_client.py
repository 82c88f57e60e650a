"""Interface between the dispatcher and the protocol of the endpoints."""

from collections.abc import Callable
import dataclasses
import enum
from typing import Protocol

from geraniumstair import configuration


class Outcome(enum.Enum):
    """Result of one request to an endpoint."""

    ANSWERED = "answered"
    SHED = "shed"
    SNAPSHOT_UNAVAILABLE = "snapshot_unavailable"
    NOT_SENT = "not_sent"
    CANCELLED = "cancelled"
    FAILED = "failed"
    CONNECTION_LOST = "connection_lost"
    INVALID = "invalid"


# Outcomes after which the endpoint cannot have executed the request.
NOT_RUN = frozenset(
    {Outcome.SHED, Outcome.SNAPSHOT_UNAVAILABLE, Outcome.NOT_SENT}
)
# Outcomes that count against the health of an endpoint.
FAULTS = frozenset(
    {
        Outcome.NOT_SENT,
        Outcome.FAILED,
        Outcome.CONNECTION_LOST,
        Outcome.INVALID,
    }
)


@dataclasses.dataclass(slots=True)
class EndpointRequest:
    """One request to an endpoint.

    Attributes:
        request_id: Unique token in visible ASCII characters.
        route: Kind of request; part of the path in HTTP.
        snapshot: Snapshot that the endpoint must answer from.
        body: JSON request body.
        remaining_ms: Time until the deadline when the request is sent.
    """

    request_id: bytes
    route: str
    snapshot: int
    body: bytes
    remaining_ms: float


@dataclasses.dataclass(slots=True)
class EndpointReply:
    """Result of a request to an endpoint, with the data of its response.

    Attributes:
        outcome: Result of the request.
        detail: Reason in one phrase without query text; empty if answered.
        body: JSON reply body.
        coverage_pct: Share of its shard that the endpoint covers, as the
            endpoint reports it.
        snapshots: Snapshots the endpoint can serve; None if the response
            doesn't state them.
        boot_id: Identifies the endpoint's process since its last start; empty
            if the response doesn't state it.
        draining: Whether the endpoint asks for no new requests.
    """

    outcome: Outcome
    detail: str = ""
    body: bytes = b""
    coverage_pct: float = 0.0
    snapshots: tuple[int, ...] | None = None
    boot_id: str = ""
    draining: bool = False

    @property
    def not_run(self) -> bool:
        """Whether it is certain that the endpoint did not run the request."""
        return self.outcome in NOT_RUN


class EndpointConnection(Protocol):
    """Open connection that carries one request at a time."""

    @property
    def usable(self) -> bool:
        """False if the connection must be replaced before the next request."""

    async def search(self, request: EndpointRequest) -> EndpointReply:
        """Sends a request; expected failures are outcomes, not exceptions.

        If the caller is cancelled, the connection is no longer usable.
        """

    async def cancel(self, request_id: bytes) -> None:
        """Asks the endpoint to cancel a request of another connection."""

    async def status(self) -> EndpointReply:
        """Fetches the endpoint's status without running a request."""

    async def aclose(self) -> None:
        """Closes the connection."""


class EndpointClient(Protocol):
    """Opens connections to one endpoint."""

    async def connect(self) -> EndpointConnection:
        """Opens a connection.

        Raises:
            OSError: The endpoint cannot be reached.
        """


ClientFactory = Callable[[configuration.EndpointSpec], EndpointClient]
