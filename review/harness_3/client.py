"""Stand-in of a client with one kept connection."""

import asyncio
import dataclasses
import random
import time

from review.harness_3 import http
from review.harness_3 import node as node_lib

HOST = "pupu76.example"
_CONNECT_LIMIT_S = 1.0
_CONNECT_RETRY_S = 0.02


@dataclasses.dataclass(slots=True)
class Sent:
    """One attempt of a client.

    Attributes:
        attempt: Its id.
        node: The node that the client is connected to.
        sent_s: When it was sent, on the monotonic clock.
        ended_s: When the answer or the end of the connection came.
        status: Status of the answer; 0 without one.
        stamp: Signature of the backend; empty without one.
    """

    attempt: str
    node: str
    sent_s: float
    ended_s: float = 0.0
    status: int = 0
    stamp: str = ""


def new_attempt(rng: random.Random) -> str:
    """Returns an id of an attempt."""
    return f"{rng.getrandbits(64):016x}"


class Client:
    """Sends requests over one connection, which is kept while it is open.

    Args:
        port: Port of the node.
        node: Name of the node.
        rng: Source of the ids.
    """

    def __init__(self, port: int, node: str, rng: random.Random) -> None:
        self._port = port
        self._node = node
        self._rng = rng
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def connect(self) -> bool:
        """Opens the connection; False if the node can't be reached.

        A machine without power does not answer, so a connection is tried again
        for the second that the pages allow.
        """
        ends_s = time.monotonic() + _CONNECT_LIMIT_S
        while True:
            try:
                self._reader, self._writer = await asyncio.wait_for(
                    asyncio.open_connection(node_lib.ADDRESS, self._port),
                    _CONNECT_LIMIT_S,
                )
            except (OSError, TimeoutError):
                if time.monotonic() > ends_s:
                    return False
                await asyncio.sleep(_CONNECT_RETRY_S)
            else:
                return True

    def close(self) -> None:
        """Closes the connection."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None

    async def send(
        self,
        path: str,
        limit_ms: int,
        *,
        method: str = "GET",
        body: bytes = b"",
    ) -> Sent:
        """Sends one request and waits for its answer.

        Args:
            path: Path.
            limit_ms: How long the client waits.
            method: Method.
            body: Body.
        """
        sent = Sent(new_attempt(self._rng), self._node, time.monotonic())
        try:
            await asyncio.wait_for(
                self._exchange(sent, path, limit_ms, method, body),
                limit_ms / 1000,
            )
        except TimeoutError:
            self.close()
        sent.ended_s = time.monotonic()
        return sent

    async def _exchange(
        self, sent: Sent, path: str, limit_ms: int, method: str, body: bytes
    ) -> None:
        if self._writer is None and not await self.connect():
            return
        reader, writer = self._reader, self._writer
        assert reader is not None and writer is not None
        headers = {
            "host": HOST,
            "x-attempt-id": sent.attempt,
            "x-time-remaining": str(limit_ms),
        }
        try:
            writer.write(
                http.encode(f"{method} {path} HTTP/1.1", headers, body)
            )
            await writer.drain()
        except ConnectionError:
            # The node may have answered before it read the whole request.
            pass
        answer = await http.read(reader)
        if answer is None:
            self.close()
            return
        sent.status = answer.status
        sent.stamp = answer.headers.get("x-response-stamp", "")
        if answer.headers.get("connection", "").lower() == "close":
            self.close()
