"""Fake endpoints and requests for the dispatcher's tests."""

from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses
import itertools
import random
from typing import Any

import trio
import trio.testing

from geraniumstair import configuration
from geraniumstair import dispatch
from geraniumstair import membership
from geraniumstair._generated import messages
from tests import builders

KEY = configuration.ShardKey("acme/s0", "p0", "r1")
_search_numbers = itertools.count(1)


class FakeEndpoint:
    """Fake endpoint on the virtual clock, which is also its own client."""

    def __init__(self, spec: configuration.EndpointSpec) -> None:
        self.spec = spec
        self.boot_id = "boot-1"
        self.service_s: Callable[[], float] = lambda: 0.010
        self.snapshots = (7,)
        self.draining = False
        self.reachable = True
        self.outcome: Callable[[], dispatch.Outcome] = lambda: (
            dispatch.Outcome.ANSWERED
        )
        self.honours_cancel = True
        self.running: dict[bytes, trio.Event] = {}
        self.peak_running = 0
        self.requests: list[dispatch.EndpointRequest] = []
        self.cancelled: list[bytes] = []
        self.open_connections = 0
        self.connections: list[FakeConnection] = []
        self.probes = 0

    async def connect(self) -> "FakeConnection":
        await trio.sleep(0.006)
        if not self.reachable:
            raise ConnectionRefusedError("refused")
        self.open_connections += 1
        self.connections.append(FakeConnection(self))
        return self.connections[-1]

    def restart(self) -> None:
        """Restarts so fast that no attempt to connect fails."""
        self.boot_id += "+"
        for connection in self.connections:
            connection.usable = False
        self.connections.clear()

    def reply(self, outcome: dispatch.Outcome) -> dispatch.EndpointReply:
        return dispatch.EndpointReply(
            outcome=outcome,
            body=b'{"hits": []}',
            coverage_pct=100.0,
            snapshots=self.snapshots,
            boot_id=self.boot_id,
            draining=self.draining,
        )


class FakeConnection:
    """Connection to a fake endpoint."""

    def __init__(self, endpoint: FakeEndpoint) -> None:
        self._endpoint = endpoint
        self.usable = True

    async def search(
        self, request: dispatch.EndpointRequest
    ) -> dispatch.EndpointReply:
        endpoint = self._endpoint
        endpoint.requests.append(request)
        cancelled = trio.Event()
        endpoint.running[request.request_id] = cancelled
        endpoint.peak_running = max(
            endpoint.peak_running, len(endpoint.running)
        )
        self.usable = False
        try:
            with trio.move_on_after(endpoint.service_s()):
                await cancelled.wait()
        finally:
            del endpoint.running[request.request_id]
        self.usable = True
        if cancelled.is_set():
            return endpoint.reply(dispatch.Outcome.CANCELLED)
        return endpoint.reply(endpoint.outcome())

    async def cancel(self, request_id: bytes) -> None:
        await trio.sleep(0.001)
        self._endpoint.cancelled.append(request_id)
        running = self._endpoint.running.get(request_id)
        if running is not None and self._endpoint.honours_cancel:
            running.set()

    async def status(self) -> dispatch.EndpointReply:
        self._endpoint.probes += 1
        return self._endpoint.reply(dispatch.Outcome.ANSWERED)

    async def aclose(self) -> None:
        self.usable = False
        self._endpoint.open_connections -= 1


@dataclasses.dataclass
class DispatcherHarness:
    """Dispatcher under test and its fake endpoints.

    Attributes:
        dispatcher: Dispatcher under test.
        topology: Topology that was applied last.
        authority: Authority of the node for each shard.
        fakes: Fake endpoints by name.
        stopped: Reports of versions that the dispatcher has stopped.
    """

    dispatcher: dispatch.Dispatcher
    topology: configuration.Topology
    authority: dict[configuration.ShardKey, membership.Authority]
    fakes: dict[str, FakeEndpoint]
    stopped: list[messages.StoppedVersion]

    def fake(self, replica: int) -> FakeEndpoint:
        return self.fakes[f"s0-p0-e{replica}"]

    def set_authority(self, authority: membership.Authority) -> None:
        """Changes the authority for the shard and notifies the dispatcher."""
        self.authority[KEY] = authority
        self.dispatcher.apply_ownership(self.authority)

    def update_topology(self, **changes: Any) -> None:
        """Applies a topology with changed fields."""
        self.topology = dataclasses.replace(self.topology, **changes)
        self.dispatcher.apply_topology(self.topology)

    def change_endpoint(self, replica: int, **changes: Any) -> None:
        """Applies a topology with one changed endpoint."""
        specs = list(self.topology.endpoints[KEY])
        specs[replica] = dataclasses.replace(specs[replica], **changes)
        self.update_topology(
            endpoints={**self.topology.endpoints, KEY: tuple(specs)}
        )

    def change_policy(self, **changes: Any) -> None:
        """Applies a topology with a changed policy of the service."""
        service = self.topology.services["acme/s0"]
        policy = dataclasses.replace(service.policy, **changes)
        service = dataclasses.replace(service, policy=policy)
        self.update_topology(
            services={**self.topology.services, "acme/s0": service}
        )

    def set_out(self, availability_zone: str, out: bool) -> None:
        """Takes an availability zone out of use or back into use."""
        spec = self.topology.availability_zones[availability_zone]
        spec = dataclasses.replace(spec, out=out)
        zones = {**self.topology.availability_zones, availability_zone: spec}
        self.update_topology(availability_zones=zones)

    def total_requests(self) -> int:
        return sum(len(f.requests) for f in self.fakes.values())

    def endpoint_dump(self, replica: int) -> dict[str, Any]:
        shard = self.dispatcher.dump()["shards"][0]
        return shard["endpoints"][replica]

    async def submit_many(
        self, count: int, interval_s: float, **fields: Any
    ) -> list[messages.ShardReply]:
        """Submits requests at fixed intervals and collects the replies."""
        replies: list[messages.ShardReply] = []

        async def submit_one() -> None:
            replies.append(
                await self.dispatcher.submit(build_request(**fields))
            )

        async with trio.open_nursery() as nursery:
            for _ in range(count):
                nursery.start_soon(submit_one)
                await trio.sleep(interval_s)
        return replies

    async def warm_up(self) -> None:
        """Sends requests until all endpoints are warm."""
        while not all(
            self.endpoint_dump(i)["warm"] for i in range(len(self.fakes))
        ):
            await self.submit_many(20, 0.004)


def build_request(**fields: Any) -> messages.ShardRequest:
    """Returns a request for the first shard of `builders.build_topology`."""
    values: dict[str, Any] = {
        "search_id": b"%016d" % next(_search_numbers),
        "service": "acme/s0",
        "shard": "p0",
        "region": "r1",
        "route": "motif",
        "snapshot": 7,
        "body": b"{}",
        "deadline_ms": 1000.0,
        "priority": 5,
        "repeatable": True,
        "provisional": False,
    }
    values.update(fields)
    return messages.ShardRequest(**values)


def build_service_times(seed: int, straggler_pct: float = 0.0):
    """Returns a function that returns seeded service times in s.

    Args:
        seed: Seed of the random numbers.
        straggler_pct: Share of service times that are ten times the usual 8
            to 12 ms.
    """
    rng = random.Random(seed)

    def service_s() -> float:
        time_s = rng.uniform(0.008, 0.012)
        return time_s * (10 if rng.random() * 100 < straggler_pct else 1)

    return service_s


@contextlib.asynccontextmanager
async def open_harness(replica_count: int = 2):
    """Runs a dispatcher that owns the first shard of a small topology."""
    topology = builders.build_topology(replica_count=replica_count)
    fakes: dict[str, FakeEndpoint] = {}
    authority = {KEY: membership.Authority.FULL}
    stopped: list[messages.StoppedVersion] = []

    def make_client(spec: configuration.EndpointSpec) -> FakeEndpoint:
        fakes[spec.name] = FakeEndpoint(spec)
        return fakes[spec.name]

    dispatcher = dispatch.Dispatcher(
        "r1",
        "az-a",
        client_factory=make_client,
        authority=lambda key, provisional: authority.get(
            key, membership.Authority.NONE
        ),
        wall_clock=lambda: 1000.0 + trio.current_time(),
        on_version_stopped=stopped.append,
    )
    async with trio.open_nursery() as nursery:
        await nursery.start(dispatcher.run)
        dispatcher.apply_topology(topology)
        dispatcher.apply_ownership(authority)
        await trio.sleep(0.05)
        yield DispatcherHarness(dispatcher, topology, authority, fakes, stopped)
        nursery.cancel_scope.cancel()


def run_scenario(
    scenario: Callable[[DispatcherHarness], Awaitable[None]],
    replica_count: int = 2,
) -> None:
    """Runs a scenario on the virtual clock."""

    async def main() -> None:
        async with open_harness(replica_count) as harness:
            await scenario(harness)

    clock = trio.testing.MockClock(autojump_threshold=0)
    trio.run(main, clock=clock)
