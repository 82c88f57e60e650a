"""Callers that send requests to nodes and check the responses.

A search request fans out to the endpoints of all shards. A single request is
not idempotent and goes to one endpoint.
"""

from collections.abc import Mapping
import dataclasses
import random

import httpcore
import trio

from soak import _endpoints

HOST = "soak.example"
SEARCH_PATH = "/search/"
SINGLE_PATH = "/single/"
TOP_RECORD_COUNT = 10
MIN_COVERAGE = 0.75
REQUEST_TIMEOUT_MS = 1500
_NOT_RUN_STATUSES = frozenset([408, 421, 429, 503])


@dataclasses.dataclass(frozen=True, slots=True)
class UnansweredRequest:
    """A request without a response.

    Attributes:
        request_id: Id of the request.
        node: Name of the node that received the request.
        sent_s: Time at which the request was sent, on trio's clock.
        ended_s: Time at which the connection ended or the request timed out,
            on the same clock.
        timed_out: Whether the request timed out.
    """

    request_id: str
    node: str
    sent_s: float
    ended_s: float
    timed_out: bool


@dataclasses.dataclass(slots=True)
class Tally:
    """Counts and violations that callers observed.

    Attributes:
        asked: Number of requests sent.
        answered: Number of complete and correct responses.
        refused: Number of responses which guarantee that the request did not
            run.
        failed: Number of other responses with an error status.
        unanswered: Requests without a response.
        violations: Descriptions of violated guarantees.
        rejected_ids: Ids of the requests that were rejected as not run.
        node_names: The node that each request was sent to, by request id.
    """

    asked: int = 0
    answered: int = 0
    refused: int = 0
    failed: int = 0
    unanswered: list[UnansweredRequest] = dataclasses.field(
        default_factory=list
    )
    violations: list[str] = dataclasses.field(default_factory=list)
    rejected_ids: set[str] = dataclasses.field(default_factory=set)
    node_names: dict[str, str] = dataclasses.field(default_factory=dict)


class Caller:
    """Sends requests to randomly chosen nodes over persistent connections.

    Args:
        nodes: Base URLs by node name.
        run_log: Requests that the endpoints ran, and their responses.
        shard_sets: Valid sets of shards of a search, one for each version
            of the routes.
        rng: Source of random numbers.
        tally: Counts and violations, shared by all callers.
    """

    def __init__(
        self,
        nodes: Mapping[str, str],
        run_log: _endpoints.RunLog,
        shard_sets: list[frozenset[str]],
        rng: random.Random,
        tally: Tally,
    ) -> None:
        self._nodes = nodes
        self._run_log = run_log
        self._shard_sets = shard_sets
        self._rng = rng
        self._tally = tally
        self._pool = httpcore.AsyncConnectionPool(max_connections=20)

    async def run(self) -> None:
        """Sends requests until cancelled."""
        while True:
            await trio.sleep(self._rng.uniform(0.02, 0.08))
            await self.send_request()

    async def send_request(self, node: str = "") -> bool:
        """Sends one request and checks the response.

        Args:
            node: Name of the node; empty chooses one at random.

        Returns:
            Whether the response was complete and correct.
        """
        node = node or self._rng.choice(sorted(self._nodes))
        request_id = f"{self._rng.getrandbits(64):016x}"
        is_single = self._rng.random() < 0.3
        path = SINGLE_PATH if is_single else SEARCH_PATH
        self._tally.asked += 1
        self._tally.node_names[request_id] = node
        response = None
        sent_s = trio.current_time()
        with trio.move_on_after(REQUEST_TIMEOUT_MS / 1000 + 1) as scope:
            try:
                response = await self._pool.request(
                    "POST" if is_single else "GET",
                    f"{self._nodes[node]}{path}x",
                    headers=[
                        ("host", HOST),
                        ("x-attempt-id", request_id),
                        ("x-time-remaining", str(REQUEST_TIMEOUT_MS)),
                    ],
                    content=b"body" if is_single else None,
                )
            except (
                httpcore.NetworkError,
                httpcore.ProtocolError,
                OSError,
            ):
                # The connection broke; the request may or may not have run.
                response = None
        if response is None:
            self._tally.unanswered.append(
                UnansweredRequest(
                    request_id,
                    node,
                    sent_s,
                    trio.current_time(),
                    scope.cancelled_caught,
                )
            )
            return False
        return self._check_response(request_id, is_single, response)

    def _check_response(
        self, request_id: str, is_single: bool, response: httpcore.Response
    ) -> bool:
        headers = {
            name.decode().lower(): value.decode()
            for name, value in response.headers
        }
        if response.status in _NOT_RUN_STATUSES:
            self._tally.refused += 1
            self._tally.rejected_ids.add(request_id)
            return False
        if response.status != 200:
            self._tally.failed += 1
            return False
        if is_single:
            violation = self._find_single_violation(
                request_id, headers, response.content
            )
        else:
            violation = self._find_search_violation(
                request_id, headers, response.content
            )
        if violation:
            self._tally.violations.append(f"request {request_id}: {violation}")
            return False
        self._tally.answered += 1
        return True

    def _find_single_violation(
        self, request_id: str, headers: Mapping[str, str], body: bytes
    ) -> str:
        recorded = self._run_log.responses.get(
            headers.get("x-response-stamp", "")
        )
        if recorded is None or recorded.request_id != request_id:
            return "x-response-stamp does not belong to this request"
        return (
            ""
            if recorded.body == body
            else "the body differs from the endpoint's response"
        )

    def _find_search_violation(
        self, request_id: str, headers: Mapping[str, str], body: bytes
    ) -> str:
        stamps = headers.get("x-part-stamps", "").split(",")
        parts = [self._run_log.responses.get(stamp.strip()) for stamp in stamps]
        if any(p is None or p.request_id != request_id for p in parts):
            return "x-part-stamps names a response to another request"
        responses = [p for p in parts if p is not None]
        services = {p.service for p in responses}
        if len(services) != len(responses):
            return "two parts come from the same shard"
        total = len(responses) + int(headers.get("x-parts-missing", "0"))
        if not any(
            services <= shards and len(shards) == total
            for shards in self._shard_sets
        ):
            return "the parts do not match the shards of any one version"
        if len(responses) < MIN_COVERAGE * total:
            return f"only {len(responses)} of {total} parts arrived"
        record_bytes = _endpoints.RECORD_BYTES
        records = sorted(
            (
                p.body[i : i + record_bytes]
                for p in responses
                for i in range(0, len(p.body), record_bytes)
            ),
            reverse=True,
        )
        if b"".join(records[:TOP_RECORD_COUNT]) != body:
            return "the body does not hold the greatest records of the parts"
        return ""
