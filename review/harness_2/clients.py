"""Stand-in of the clients of a site."""

import asyncio
import dataclasses
import random

from review.harness_2 import http1
from review.harness_2 import nodes
from review.harness_2 import record

HOST = "pupu76.example"


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt of a client and what came back.

    Attributes:
        attempt: Its id.
        target: Path of the request.
        node: Machine to which it was sent.
        sent_s: When it was sent.
        answered_s: When it was answered or given up.
        answer: The answer; None without a whole one.
    """

    attempt: str
    target: str
    node: str
    sent_s: float
    answered_s: float
    answer: http1.Message | None


class Clients:
    """Sends requests to the nodes.

    Each client has a node of its zone, chosen by a hash; a retry goes to
    another node. Each attempt is a new connection.

    Args:
        fleet: The nodes.
        log: Gets what is sent and answered.
        counts: Number of clients by zone.
        seed: Seed of all choices.
    """

    def __init__(
        self,
        fleet: nodes.Fleet,
        log: record.Record,
        counts: dict[str, int],
        seed: int,
    ) -> None:
        self._rng = random.Random(seed)
        self._log = log
        self._fleet = fleet
        self._clients = [
            self._rng.choice([n for n in fleet.nodes if n.zone == zone])
            for zone, count in counts.items()
            for _ in range(count)
        ]
        self.attempts: list[Attempt] = []
        self._running: set[asyncio.Task[None]] = set()

    def send(self, target: str, limit_ms: float) -> None:
        """Lets some client send a GET request."""
        node = self._rng.choice(self._clients)
        task = asyncio.ensure_future(self._request(node, target, limit_ms))
        self._running.add(task)
        task.add_done_callback(self._running.discard)

    async def wait(self) -> None:
        """Waits for all answers."""
        while self._running:
            await asyncio.sleep(0.05)

    async def _request(
        self, node: nodes.Node, target: str, limit_ms: float
    ) -> None:
        loop = asyncio.get_running_loop()
        end_s = loop.time() + limit_ms / 1000
        for tried in range(2):
            left_s = end_s - loop.time()
            answer = await self._attempt(node, target, left_s)
            if answer is not None and answer.status < 300:
                return
            if answer is not None and answer.status in (400, 404):
                return
            wait_s = 0.0
            if answer is not None and answer.status in (429, 503):
                wait_s = float(answer.headers.get("retry-after", 0))
            left_s = end_s - loop.time()
            if tried or left_s < 0.05:
                return
            await asyncio.sleep(min(wait_s, left_s / 3))
            others = [n for n in self._fleet.nodes if n is not node]
            node = self._rng.choice(others)

    async def _attempt(
        self, node: nodes.Node, target: str, left_s: float
    ) -> http1.Message | None:
        attempt = f"{self._rng.getrandbits(64):016x}"
        sent_s = self._log.now_s
        self._log.add(f"{attempt} GET {target} sent to {node.name}")
        request = (
            f"GET {target} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"X-Attempt-Id: {attempt}\r\n"
            f"X-Time-Remaining: {int(left_s * 1000)}\r\n\r\n"
        )
        answer = await http1.call(node.front, request.encode(), left_s)
        status = answer.status if answer is not None else "nothing"
        self._log.add(f"{attempt} answered: {status}")
        self.attempts.append(
            Attempt(attempt, target, node.name, sent_s, self._log.now_s, answer)
        )
        return answer
