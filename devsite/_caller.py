"""HTTP client for the caller interface of a node."""

import dataclasses
from typing import Any

import httpcore
import msgspec

SEARCH_PATH = "/v1/search"
READY_PATH = "/ready"


@dataclasses.dataclass(frozen=True, slots=True)
class CallerReply:
    """Reply of a node to a request.

    Attributes:
        status: HTTP status.
        answer: Decoded JSON body; empty if the body is not JSON.
    """

    status: int
    answer: dict[str, Any]


class CallerClient:
    """Sends searches to one node over a pool of connections.

    Args:
        port: The node's caller listener on loopback.
        connections: Maximum number of connections.
    """

    def __init__(self, port: int, connections: int = 256) -> None:
        self._url = f"http://127.0.0.1:{port}"
        self._pool = httpcore.AsyncConnectionPool(max_connections=connections)

    async def __aenter__(self) -> "CallerClient":
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self._pool.aclose()

    async def is_ready(self) -> bool:
        """Returns whether the node reports ready to the load balancer."""
        try:
            reply = await self._pool.request(
                "GET",
                self._url + READY_PATH,
                extensions={"timeout": {"connect": 1.0, "read": 1.0}},
            )
        except (httpcore.NetworkError, httpcore.TimeoutException):
            return False
        except httpcore.RemoteProtocolError:
            return False
        return reply.status == 200

    async def search(
        self,
        subsidiary: str,
        service_set: str,
        query: str,
        *,
        service: str = "",
        route: str = "search",
        deadline_ms: float = 1000.0,
        idempotency_key: str = "",
    ) -> CallerReply:
        """Sends a search request and returns the reply.

        Args:
            subsidiary: Name of the subsidiary.
            service_set: Name of a service set; ignored if `service` is given.
            query: Text of the query.
            service: Name of a service to search instead of a service set.
            route: Route of the request at the endpoints.
            deadline_ms: Time until the deadline of the request.
            idempotency_key: Key of a request that must not be repeated;
                empty for a repeatable request.

        Raises:
            httpcore.NetworkError: The connection could not be opened, or broke.
            httpcore.RemoteProtocolError: The connection broke.
            httpcore.TimeoutException: There was no reply within 5 s after
                the deadline.
        """
        fields: dict[str, Any] = {
            "subsidiary": subsidiary,
            "route": route,
            "deadline_ms": deadline_ms,
            "query": query,
            "repeatable": not idempotency_key,
        }
        if service:
            fields["services"] = [service]
        else:
            fields["service_set"] = service_set
        headers: dict[bytes | str, bytes | str] = {
            "content-type": "application/json"
        }
        if idempotency_key:
            headers["idempotency-key"] = idempotency_key
        timeout_s = deadline_ms / 1000 + 5
        reply = await self._pool.request(
            "POST",
            self._url + SEARCH_PATH,
            headers=headers,
            content=msgspec.json.encode(fields),
            extensions={"timeout": {"connect": timeout_s, "read": timeout_s}},
        )
        return CallerReply(reply.status, _decode(reply.content))


def _decode(content: bytes) -> dict[str, Any]:
    try:
        return msgspec.json.decode(content, type=dict[str, Any])
    except msgspec.MsgspecError:
        return {}
