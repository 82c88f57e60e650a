"""Builders and fakes for the tests of `geraniumstair.search`."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import types
from typing import Any

import trio
import trio.testing

from geraniumstair import configuration
from geraniumstair import search
from geraniumstair._generated import codes
from geraniumstair._generated import messages
from tests import builders

ShardHandler = Callable[[messages.ShardRequest], Awaitable[messages.ShardReply]]


def run_on_mock_clock(function: Callable[[], Awaitable[Any]]) -> Any:
    """Runs a function on trio's mock clock, which skips idle time."""
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(function, clock=clock)


def build_reply(
    request: messages.ShardRequest | None = None,
    *,
    code: codes.Code = codes.Code.OK,
    not_run: bool | None = None,
    snapshot: int | None = None,
    coverage_pct: float = 100.0,
    body: bytes | None = None,
    snapshots: Sequence[int] = (),
) -> messages.ShardReply:
    """Returns a reply with, by default, one hit of shard name and query."""
    if request is not None and body is None:
        name = f"{request.service}/{request.shard}".encode()
        body = b'{"hits":[["' + name + b'",' + request.body + b"]]}"
    if snapshot is None:
        snapshot = request.snapshot if request is not None else 0
    return messages.ShardReply(
        code=int(code),
        detail="",
        not_run=codes.INFO[code].not_run if not_run is None else not_run,
        snapshot=snapshot,
        coverage_pct=coverage_pct,
        body=body or b"",
        endpoint="e",
        version="v1",
        snapshots=list(snapshots),
        hedged=False,
        retry_after_ms=0.0,
    )


def build_handler(delay_s: float = 0.0, **changes: Any) -> ShardHandler:
    """Returns a handler that replies after a delay."""

    async def handle(request: messages.ShardRequest) -> messages.ShardReply:
        await trio.sleep(delay_s)
        return build_reply(request, **changes)

    return handle


def change_policies(
    topology: configuration.Topology, **changes: Any
) -> configuration.Topology:
    """Returns a copy of the topology with changed policies."""
    services = {
        name: dataclasses.replace(
            spec, policy=dataclasses.replace(spec.policy, **changes)
        )
        for name, spec in topology.services.items()
    }
    return dataclasses.replace(
        topology, services=types.MappingProxyType(services)
    )


class FakeConfigurationHolder:
    """A configuration holder whose topology the test replaces."""

    def __init__(self, topology: configuration.Topology | None) -> None:
        self.current = topology

    async def wait_for_newer_revision(self, revision: int) -> int:
        """Waits for a newer topology."""
        while self.current is None or self.current.revision <= revision:
            await trio.sleep(0.01)
        return self.current.revision


class FakeTransport:
    """A transport whose replies come from handlers that the test sets.

    Attributes:
        handlers: Handlers by qualified shard name; other shards reply at
            once.
        snapshots_by_shard: Snapshots by qualified shard name; other shards
            have [7].
        requests: All requests so far.
        cancelled_search_ids: Search ids of all cancellations.
        running_count: Number of requests in progress.
    """

    def __init__(self, handlers: Mapping[str, ShardHandler] | None = None):
        self.handlers = dict(handlers or {})
        self.snapshots_by_shard: dict[str, Sequence[int]] = {}
        self.requests: list[messages.ShardRequest] = []
        self.cancelled_search_ids: list[bytes] = []
        self.running_count = 0

    def start(self, request: messages.ShardRequest, on_reply: Any) -> bool:
        """Returns False, so that every request is submitted."""
        return False

    async def submit(
        self, request: messages.ShardRequest
    ) -> messages.ShardReply:
        """Returns the reply of the shard's handler."""
        self.requests.append(request)
        name = f"{request.service}/{request.shard}"
        self.running_count += 1
        try:
            return await self.handlers.get(name, build_handler())(request)
        finally:
            self.running_count -= 1

    async def snapshots(
        self, keys: Sequence[configuration.ShardKey], timeout_ms: float
    ) -> Mapping[configuration.ShardKey, Sequence[int]]:
        """Returns the snapshots that the test set."""
        await trio.lowlevel.checkpoint()
        return {
            key: self.snapshots_by_shard.get(f"{key.service}/{key.shard}", [7])
            for key in keys
        }

    def cancel(self, search_id: bytes) -> None:
        """Records the cancellation."""
        self.cancelled_search_ids.append(search_id)


class FakeClaims:
    """A claim client that stores claims in memory."""

    def __init__(self) -> None:
        self.outcomes: dict[bytes, bytes] = {}
        self.refusal_code: codes.Code | None = None
        self.delay_s = 0.0

    async def claim(
        self, request: messages.ClaimRequest
    ) -> messages.ClaimReply:
        """Grants a key once, unless the test set a refusal code."""
        await trio.sleep(self.delay_s)
        if self.refusal_code is not None:
            return messages.ClaimReply(int(self.refusal_code), "", b"")
        if request.key in self.outcomes:
            code = int(codes.Code.ALREADY_CLAIMED)
            return messages.ClaimReply(code, "", self.outcomes[request.key])
        self.outcomes[request.key] = b""
        return messages.ClaimReply(0, "", b"")

    async def record_outcome(self, outcome: messages.ClaimOutcome) -> None:
        """Stores the outcome."""
        self.outcomes[outcome.key] = outcome.outcome


@dataclasses.dataclass
class SearcherFixture:
    """A searcher and the fakes that it uses."""

    configuration_holder: FakeConfigurationHolder
    transport: FakeTransport
    claims: FakeClaims
    searcher: search.Searcher


def build_fixture(
    handlers: Mapping[str, ShardHandler] | None = None,
    *,
    shard_count: int = 4,
    max_concurrent_searches: int = 512,
    **policy: Any,
) -> SearcherFixture:
    """Returns a searcher for the services `s0` and `s1` of `acme`.

    Args:
        handlers: Handlers by qualified shard name.
        shard_count: Number of shards of each service.
        max_concurrent_searches: Limit of the searcher.
        policy: Changed fields of the policies of both services.
    """
    topology = builders.build_topology(shard_count=shard_count)
    configuration_holder = FakeConfigurationHolder(
        change_policies(topology, **policy)
    )
    transport = FakeTransport(handlers)
    claims = FakeClaims()
    searcher = search.Searcher(
        configuration_holder,
        transport,
        claims,
        "r1",
        node_id="n1",
        availability_zone="az-a",
        max_concurrent_searches=max_concurrent_searches,
    )
    return SearcherFixture(configuration_holder, transport, claims, searcher)


def build_request(**changes: Any) -> search.SearchRequest:
    """Returns a request to search `acme/s0`, with changed fields."""
    values: dict[str, Any] = {"subsidiary": "acme", "services": ("s0",)}
    return search.SearchRequest(**{**values, **changes})
