"""How HTTP exchanges with the store's service are made."""

from collections.abc import Sequence
import dataclasses
from typing import Protocol

# Base64 makes a value of 1 MB a third larger, and a read of a prefix returns
# many values.
MAX_REPLY_BYTES = 64 * 1024 * 1024


class ExchangeError(Exception):
    """No complete response arrived; the message says why."""


@dataclasses.dataclass(frozen=True, slots=True)
class HttpRequest:
    """A request with a JSON body.

    Attributes:
        method: HTTP method.
        base_url: URL of the member of the service, without a final slash.
        path: Path and query.
        body: The body; may be empty.
    """

    method: str
    base_url: str
    path: str
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class HttpReply:
    """A complete response; names of headers may be in any case."""

    status: int
    headers: Sequence[tuple[bytes, bytes]]
    body: bytes


class SendTrace:
    """Records whether bytes of a request may have been sent.

    Attributes:
        sent: True from the moment at which the first byte may be sent.
    """

    def __init__(self) -> None:
        self.sent = False


class Transport(Protocol):
    """Makes HTTP exchanges over connections that it keeps open."""

    async def exchange(
        self, request: HttpRequest, connect_timeout_s: float, trace: SendTrace
    ) -> HttpReply:
        """Sends a request and returns the response.

        The caller limits the whole time by cancelling.

        Args:
            request: The request.
            connect_timeout_s: Time within which a connection must be open.
            trace: Learns when bytes may have been sent.

        Raises:
            ExchangeError: There is no complete response.
        """
        ...

    async def close_idle(self) -> None:
        """Closes the connections that carry no exchange."""
        ...
