"""Streams of requests to the nodes."""

import asyncio
import time

from review.harness_3 import case
from review.harness_3 import client as client_lib


class Traffic:
    """Sends requests at a rate, spread unevenly over the nodes.

    Args:
        site: The site.
        path: Path of the requests.
        limit_ms: How long each client waits.
        method: Method.
        body: Body.

    Attributes:
        sent: All attempts, in the order of their ends.
    """

    def __init__(
        self,
        site: case.Site,
        path: str,
        limit_ms: int,
        *,
        method: str = "GET",
        body: bytes = b"",
    ) -> None:
        self.sent: list[client_lib.Sent] = []
        self._site = site
        self._path = path
        self._limit_ms = limit_ms
        self._method = method
        self._body = body
        self._idle: dict[int, list[client_lib.Client]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        # The platform chooses nodes by a hash of the client.
        self._weights = [site.rng.uniform(0.7, 1.3) for _ in site.nodes]

    async def run(self, per_s: float, for_s: float) -> None:
        """Sends requests for some time; does not wait for the last ones."""
        ends_s = time.monotonic() + for_s
        while time.monotonic() < ends_s:
            await asyncio.sleep(self._site.rng.expovariate(per_s))
            task = asyncio.create_task(self._send())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def finish(self) -> None:
        """Waits for the last answers."""
        while self._tasks:
            await asyncio.wait(list(self._tasks))

    async def _send(self) -> None:
        indices = range(len(self._site.nodes))
        index = self._site.rng.choices(indices, self._weights)[0]
        idle = self._idle.setdefault(index, [])
        node = self._site.nodes[index]
        client = (
            idle.pop()
            if idle
            else client_lib.Client(node.front_port, node.name, self._site.rng)
        )
        sent = await client.send(
            self._path, self._limit_ms, method=self._method, body=self._body
        )
        self.sent.append(sent)
        idle.append(client)

    def note_all(self) -> None:
        """Adds all attempts to the record."""
        for sent in self.sent:
            self._site.note(
                f"sent {sent.attempt} {self._path} to {sent.node}: "
                f"{sent.status or 'no answer'} after "
                f"{sent.ended_s - sent.sent_s:.3f} s"
                + (f", signature {sent.stamp}" if sent.stamp else ""),
                sent.sent_s,
            )
