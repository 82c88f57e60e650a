"""A site: real node processes with a simulated store and endpoints."""

import json
import os
import pathlib
import random
import signal
from typing import Any

import trio

from devsite import _ports
from devsite import _processes
from soak import _callers
from soak import _endpoints
from soak import _proxy
from soak import _store

ZONES = ("z1", "z2", "z3")
SHARDS_PER_SET = 6
SHUTDOWN_GRACE_S = 6.0
READY_TIMEOUT_S = 20.0
READY_PATH = "/api/readiness"
STATE_PATH = "/state"


class Node:
    """A node whose process can be started several times.

    Attributes:
        name: Name of the node.
        ports: Ports of the caller, readiness, peer and metrics listeners.
        peer_proxy: Proxy through which the other nodes connect to the peer
            listener.
        disturbances: Start and end times in s of the periods in which
            requests may be lost because the process was killed or paused.
        started_s: Times in s at which a process was started.
    """

    def __init__(
        self, name: str, zone: str, store_port: int, directory: pathlib.Path
    ) -> None:
        self.name = name
        self.ports = _ports.allocate_ports(4)
        self.peer_proxy = _proxy.Proxy(self.ports[2])
        self.disturbances: list[tuple[float, float]] = []
        self.started_s: list[float] = []
        self._start_count = 0
        self._zone = zone
        self._directory = directory
        self._store_port = store_port
        self._process: _processes.ManagedProcess | None = None

    @property
    def url(self) -> str:
        """Base URL of the caller listener."""
        return f"http://127.0.0.1:{self.ports[0]}"

    @property
    def running(self) -> bool:
        """Whether the process is running."""
        return self._process is not None and self._process.running

    @property
    def process_id(self) -> int:
        """Id of the last process."""
        assert self._process is not None
        return self._process.pid

    @property
    def exit_status(self) -> int | None:
        """Exit status of the last process; None while it is running."""
        return self._process.exit_status if self._process else None

    def start(self, seeds: list[str]) -> None:
        """Writes the settings and starts the process.

        Args:
            seeds: Peer addresses that the node contacts first.
        """
        front, ready, control, metrics = self.ports
        settings: dict[str, Any] = {
            "NodeName": self.name,
            "Zone": self._zone,
            "Listen": {
                "Front": f"127.0.0.1:{front}",
                "Ready": f"127.0.0.1:{ready}",
                "Control": f"127.0.0.1:{control}",
            },
            "InternalPorts": [metrics, metrics],
            "Seeds": seeds,
            "Limits": {"CpuShare": 1.0, "Cores": 1},
            "Bounds": {"GraceS": SHUTDOWN_GRACE_S, "BudgetSlack": 54},
            "platform": {"Address": f"127.0.0.1:{self._store_port}"},
        }
        path = self._directory / f"{self.name}.json"
        path.write_text(json.dumps(settings))
        # Each start gets its own log files, so that the output of a process
        # that failed is kept after a restart.
        self._start_count += 1
        self.started_s.append(trio.current_time())
        self._process = _processes.ManagedProcess(
            f"{self.name}-{self._start_count}",
            ["-m", "geraniumstair.platform"],
            self._directory,
            {**os.environ, "GERANIUMSTAIR_BOOT": str(path)},
        )

    async def is_watching(self) -> bool:
        """Returns whether the node waits for changes at the store."""
        reply = await _get(self.ports[3], STATE_PATH)
        body = reply.partition(b"\r\n\r\n")[2]
        return bool(body and json.loads(body)["mirror"]["watching"])

    def record_disturbance(self, from_s: float, to_s: float) -> None:
        """Records a period in which requests may be lost."""
        self.disturbances.append((from_s, to_s))

    def was_disturbed(self, from_s: float, to_s: float) -> bool:
        """Returns whether a disturbance overlaps the given period."""
        return any(
            start_s <= to_s and from_s <= end_s
            for start_s, end_s in self.disturbances
        )

    def was_started(self, from_s: float, to_s: float) -> bool:
        """Returns whether a process was started in the given period."""
        return any(from_s <= at_s <= to_s for at_s in self.started_s)

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        if self._process is not None and self._process.running:
            self._process.signal(number)

    async def wait(self) -> int:
        """Waits for the process to exit; returns its exit status."""
        assert self._process is not None
        return await self._process.wait()

    def kill(self) -> None:
        """Kills the process."""
        if self._process is not None:
            self._process.kill()


class Site:
    """The nodes, endpoints, store and proxies of one run.

    The nursery runs everything but the node processes.

    Attributes:
        store: The simulated store.
        run_log: Requests that the endpoints ran, and their responses.
        proxies: Proxies by the name of their target: the store, the peer
            listener of each node, and each endpoint.
        endpoints: All endpoints, including deregistered ones.
        nodes: The node processes.
        tally: Counts and violations that callers observed.
        shard_sets: Shards that each version of the routes names, oldest
            first.
    """

    def __init__(
        self,
        nursery: trio.Nursery,
        rng: random.Random,
        directory: pathlib.Path,
        nodes: int,
    ) -> None:
        self.store = _store.SimulatedStore(rng)
        self.run_log = _endpoints.RunLog()
        self.endpoints: list[_endpoints.SimulatedEndpoint] = []
        self.proxies: dict[str, _proxy.Proxy] = {}
        self.nodes: list[Node] = []
        self.tally = _callers.Tally()
        self.shard_sets: list[frozenset[str]] = []
        self._nursery = nursery
        self._rng = rng
        self._directory = directory
        self._node_count = nodes
        self._version = 0
        self._last_endpoint_number = 0

    async def start(self) -> None:
        """Starts everything and waits until all nodes are ready."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self._nursery.start_soon(
            trio.serve_listeners, self.store.serve, listeners
        )
        self._nursery.start_soon(self.store.state.run)
        store_proxy = _proxy.Proxy(listeners[0].socket.getsockname()[1])
        await self._start_proxy("store", store_proxy)
        for service in [*self.shard_names(0), *self.shard_names(1), "single"]:
            for zone in ZONES[:2]:
                await self.add_endpoint(service, zone)
        self.write_routes(0)
        for i in range(self._node_count):
            zone = ZONES[i % len(ZONES)]
            node = Node(f"n{i}", zone, store_proxy.port, self._directory)
            await self._start_proxy(node.name, node.peer_proxy)
            self.store.peer_ports[node.ports[2]] = node.peer_proxy.port
            self.nodes.append(node)
        for node in self.nodes:
            node.start(self.seeds())
        for node in self.nodes:
            await self.wait_ready(node)

    async def _start_proxy(self, name: str, proxy: _proxy.Proxy) -> None:
        await self._nursery.start(proxy.run)
        self.proxies[name] = proxy

    def seeds(self) -> list[str]:
        """Returns the peer addresses of the first three nodes."""
        return [f"127.0.0.1:{n.peer_proxy.port}" for n in self.nodes[:3]]

    def shard_names(self, index: int) -> list[str]:
        """Returns the names of the shards in set 0 or 1."""
        return [f"set{index}-{i}" for i in range(SHARDS_PER_SET)]

    async def wait_ready(self, node: Node) -> None:
        """Waits until the node reports that it is ready."""
        with trio.fail_after(READY_TIMEOUT_S):
            while not await _is_ready(node.ports[1]):
                await trio.sleep(0.1)

    async def add_endpoint(
        self, service: str, zone: str
    ) -> _endpoints.SimulatedEndpoint:
        """Starts an endpoint and registers it."""
        self._last_endpoint_number += 1
        endpoint = _endpoints.SimulatedEndpoint(
            f"i-{self._last_endpoint_number}", service, self.run_log, self._rng
        )
        await self._nursery.start(endpoint.run)
        proxy = _proxy.Proxy(endpoint.port)
        await self._start_proxy(endpoint.endpoint_id, proxy)
        self.endpoints.append(endpoint)
        self._register(endpoint, zone, "ready")
        return endpoint

    async def drain_and_deregister(
        self, endpoint: _endpoints.SimulatedEndpoint
    ) -> None:
        """Marks an endpoint as draining, then deregisters it."""
        self.drain(endpoint)
        await trio.sleep(3.5)
        self.deregister(endpoint)

    def drain(self, endpoint: _endpoints.SimulatedEndpoint) -> None:
        """Marks an endpoint as draining; it serves on."""
        self._register(endpoint, ZONES[0], "draining")

    def deregister(self, endpoint: _endpoints.SimulatedEndpoint) -> None:
        """Removes the entry of an endpoint; it serves on."""
        self.store.delete(f"servers/{endpoint.endpoint_id}")
        endpoint.deregistered = True

    def _register(
        self, endpoint: _endpoints.SimulatedEndpoint, zone: str, state: str
    ) -> None:
        proxy = self.proxies[endpoint.endpoint_id]
        self.store.put_json(
            f"servers/{endpoint.endpoint_id}",
            {
                "Service": endpoint.service,
                "Address": f"127.0.0.1:{proxy.port}",
                "Zone": zone,
                "Version": "v1",
                "Slots": 2,
                "State": state,
                "WarmupLeftMs": 0,
                "Seq": 1 + (state == "draining"),
                "born": 1,
            },
        )

    def write_routes(self, index: int) -> None:
        """Writes a new version of the routes that names shard set 0 or 1."""
        self._version += self._rng.randint(1, 3)
        shards = self.shard_names(index)
        self.shard_sets.append(frozenset(shards))
        route = {
            "Host": _callers.HOST,
            "TimeoutMs": 1500,
            "LatencyGoalMs": 150,
            "Priority": 1,
            "MaxAttempts": 2,
        }
        self.store.put_json(
            "op/config",
            {
                "Version": self._version,
                "Routes": [
                    route
                    | {
                        "Name": "search",
                        "Prefix": _callers.SEARCH_PATH,
                        "RouteType": "idempotent",
                        "FanoutServices": shards,
                        "TopK": _callers.TOP_RECORD_COUNT,
                        "MinShardRatio": _callers.MIN_COVERAGE,
                    },
                    route
                    | {
                        "Name": "single",
                        "Prefix": _callers.SINGLE_PATH,
                        "RouteType": "non_idempotent",
                        "Service": "single",
                    },
                ],
            },
        )

    def build_callers(
        self, count: int, shard_sets: list[frozenset[str]] | None = None
    ) -> list[_callers.Caller]:
        """Returns new callers, each of which sends to all nodes.

        Args:
            count: Number of callers.
            shard_sets: Valid sets of shards of a search; None allows those
                of all versions of the routes.
        """
        urls = {node.name: node.url for node in self.nodes}
        return [
            _callers.Caller(
                urls,
                self.run_log,
                self.shard_sets if shard_sets is None else shard_sets,
                random.Random(self._rng.random()),
                self.tally,
            )
            for _ in range(count)
        ]


async def _is_ready(port: int) -> bool:
    return b" 200 " in (await _get(port, READY_PATH))[:100]


async def _get(port: int, path: str) -> bytes:
    """Returns the whole response; empty if the port can't be reached."""
    request = f"GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n"
    response = b""
    with trio.move_on_after(1.0):
        try:
            stream = await trio.open_tcp_stream("127.0.0.1", port)
            async with stream:
                await stream.send_all(request.encode())
                async for data in stream:
                    response += data
        except OSError:
            return b""
    return response
