"""Callers on kept connections, and the promises that they check."""

from collections.abc import Mapping
import dataclasses
import random

import httpcore
import trio

from soak import _endpoints

HOST = "soak.example"
SEARCH_PATH = "/search/"
SINGLE_PATH = "/single/"
TOP_RECORDS = 10
LEAST_COVERAGE = 0.75
REMAINING_MS = 1500
_PROMISES = frozenset([408, 421, 429, 503])


@dataclasses.dataclass(frozen=True, slots=True)
class Cut:
    """A request without an answer.

    Attributes:
        request_id: The request.
        node: Name of the node that was asked.
        from_s: When it was sent, on the monotonic clock.
        to_s: When its connection ended, or its time was over.
        late: Its time was over.
    """

    request_id: str
    node: str
    from_s: float
    to_s: float
    late: bool


@dataclasses.dataclass(slots=True)
class Tally:
    """What callers saw.

    Attributes:
        asked: Requests sent.
        answered: Whole successes.
        refused: Answers that promise that the request has not run.
        failed: Other answers.
        cuts: Requests without an answer.
        faults: Broken promises, one sentence each.
        promised: Requests that were said not to have run.
    """

    asked: int = 0
    answered: int = 0
    refused: int = 0
    failed: int = 0
    cuts: list[Cut] = dataclasses.field(default_factory=list)
    faults: list[str] = dataclasses.field(default_factory=list)
    promised: set[str] = dataclasses.field(default_factory=set)


class Caller:
    """Sends requests to one node after the other on kept connections.

    Args:
        nodes: Base URLs by name of the node.
        log: What the endpoints ran.
        shard_sets: Sets of shards that some version of the routes names.
        rng: Source of the choices.
        tally: Shared by all callers.
    """

    def __init__(
        self,
        nodes: Mapping[str, str],
        log: _endpoints.RunLog,
        shard_sets: list[frozenset[str]],
        rng: random.Random,
        tally: Tally,
    ) -> None:
        self._nodes = nodes
        self._log = log
        self._shard_sets = shard_sets
        self._rng = rng
        self._tally = tally
        self._pool = httpcore.AsyncConnectionPool(max_connections=20)

    async def run(self) -> None:
        """Sends requests for ever."""
        while True:
            await trio.sleep(self._rng.uniform(0.02, 0.08))
            await self.ask()

    async def ask(self, node: str = "") -> bool:
        """Sends one request; True if it was answered in full.

        Args:
            node: Name of the node; empty picks one.
        """
        node = node or self._rng.choice(sorted(self._nodes))
        request_id = f"{self._rng.getrandbits(64):016x}"
        single = self._rng.random() < 0.3
        path = SINGLE_PATH if single else SEARCH_PATH
        self._tally.asked += 1
        response = None
        from_s = trio.current_time()
        with trio.move_on_after(REMAINING_MS / 1000 + 1) as scope:
            try:
                response = await self._pool.request(
                    "POST" if single else "GET",
                    f"{self._nodes[node]}{path}x",
                    headers=[
                        ("host", HOST),
                        ("x-attempt-id", request_id),
                        ("x-time-remaining", str(REMAINING_MS)),
                    ],
                    content=b"body" if single else None,
                )
            except (
                httpcore.NetworkError,
                httpcore.ProtocolError,
                OSError,
            ):
                # The process has gone; nothing was promised.
                response = None
        if response is None:
            self._tally.cuts.append(
                Cut(
                    request_id,
                    node,
                    from_s,
                    trio.current_time(),
                    scope.cancelled_caught,
                )
            )
            return False
        return self._check(request_id, single, response)

    def _check(
        self, request_id: str, single: bool, response: httpcore.Response
    ) -> bool:
        headers = {
            name.decode().lower(): value.decode()
            for name, value in response.headers
        }
        if response.status in _PROMISES:
            self._tally.refused += 1
            self._tally.promised.add(request_id)
            return False
        if response.status != 200:
            self._tally.failed += 1
            return False
        if single:
            fault = self._single_fault(request_id, headers, response.content)
        else:
            fault = self._search_fault(request_id, headers, response.content)
        if fault:
            self._tally.faults.append(f"request {request_id}: {fault}")
            return False
        self._tally.answered += 1
        return True

    def _single_fault(
        self, request_id: str, headers: Mapping[str, str], body: bytes
    ) -> str:
        part = self._log.parts.get(headers.get("x-response-stamp", ""))
        if part is None or part.request_id != request_id:
            return "the signature is not of an answer to this request"
        return "" if part.body == body else "the body is not the endpoint's"

    def _search_fault(
        self, request_id: str, headers: Mapping[str, str], body: bytes
    ) -> str:
        names = headers.get("x-part-stamps", "").split(",")
        parts = [self._log.parts.get(name.strip()) for name in names]
        if any(p is None or p.request_id != request_id for p in parts):
            return "a part is no answer to this request"
        known = [p for p in parts if p is not None]
        services = {p.service for p in known}
        if len(services) != len(known):
            return "two parts of one shard"
        total = len(known) + int(headers.get("x-parts-missing", "0"))
        if not any(
            services <= shards and len(shards) == total
            for shards in self._shard_sets
        ):
            return "the parts are not of one version's shards"
        if len(known) < LEAST_COVERAGE * total:
            return f"only {len(known)} of {total} parts"
        size = _endpoints.RECORD_BYTES
        records = sorted(
            (
                p.body[i : i + size]
                for p in known
                for i in range(0, len(p.body), size)
            ),
            reverse=True,
        )
        if b"".join(records[:TOP_RECORDS]) != body:
            return "the body is not the greatest records of the parts"
        return ""
