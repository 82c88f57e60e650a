"""A small deployment: the store, backends, nodes and clients."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import math
import pathlib
import random
import shutil
import signal
import sys

import httpcore
import trio

from review.harness import endpoints
from review.harness import nodes
from review.harness import record
from soak import _store

HOST = "review.example"
# A search arrives at a backend of each shard; only their number is recorded.
MAX_LISTED_PLACES = 8
_BROKEN = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    OSError,
)


@dataclasses.dataclass(slots=True)
class Attempt:
    """One client attempt.

    Attributes:
        node: Machine that it was sent to.
        sent_s: When it was sent.
        ended_s: When it was answered or given up.
        status: Status of the answer; 0 without one.
    """

    node: str
    sent_s: float
    ended_s: float = math.inf
    status: int = 0


class Site:
    """Everything of one run.

    Args:
        nursery: Runs the stand-ins.
        directory: Folder for settings and output of the nodes.

    Attributes:
        log: The record of the run.
        store: The platform's store.
        endpoints: All backends that were started.
        nodes: The machines of the system.
        attempts: All client attempts by their ids.
    """

    def __init__(self, nursery: trio.Nursery, directory: pathlib.Path) -> None:
        self.log = record.Record()
        self.store = _store.SimulatedStore(random.Random(1))
        self.endpoints: list[endpoints.Endpoint] = []
        self.nodes: list[nodes.Node] = []
        self.attempts: dict[str, Attempt] = {}
        self._nursery = nursery
        self._directory = directory
        self._version = 0
        self._clients: dict[str, httpcore.AsyncConnectionPool] = {}

    async def start_store(self) -> int:
        """Starts the store; returns its port."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self._nursery.start_soon(
            trio.serve_listeners, self.store.serve, listeners
        )
        self._nursery.start_soon(self.store.state.run)
        port: int = listeners[0].socket.getsockname()[1]
        return port

    async def add(self, endpoint: endpoints.Endpoint) -> endpoints.Endpoint:
        """Starts a backend and writes its entry."""
        await self._nursery.start(endpoint.run)
        self.endpoints.append(endpoint)
        self.put_entry(endpoint, "ready")
        return endpoint

    def put_entry(self, endpoint: endpoints.Endpoint, state: str) -> None:
        """Writes the entry of a backend."""
        key = f"servers/{endpoint.endpoint_id}"
        self.store.put_json(key, endpoint.entry(state))

    def write_routes(self, routes: list[dict[str, object]]) -> None:
        """Writes a new version of the desired state."""
        self._version += 3
        services = sorted({e.service for e in self.endpoints})
        self.store.put_json(
            "op/config",
            {
                "Version": self._version,
                "Routes": [{"Host": HOST} | route for route in routes],
                "Services": [
                    {
                        "Name": name,
                        "HealthPath": "/health",
                        "MaxConns": 26,
                        "Protocol": "h1",
                        "Tls": False,
                        "WarmupS": 3.0,
                        "WarmupPerS": 0.0,
                    }
                    for name in services
                ],
                "Limits": {
                    "MaxHeaderBytes": 16384,
                    "MaxBodyBytes": 262144,
                    "HeaderTimeoutMs": 3000,
                    "IdleTimeoutMs": 15000,
                },
            },
        )
        self.log.add(f"store confirms version {self._version}")

    async def start_nodes(self, counts: tuple[int, ...]) -> None:
        """Starts the store and the nodes; waits until all are ready."""
        port = await self.start_store()
        self.nodes = nodes.make_nodes(port, self._directory, counts)
        for node in self.nodes:
            node.start(nodes.find_seeds(self.nodes))
        for node in self.nodes:
            await node.wait_ready()
            self._clients[node.name] = httpcore.AsyncConnectionPool(
                max_connections=60
            )
        self.log.add(f"{len(self.nodes)} nodes are ready")

    async def send(
        self,
        node: nodes.Node,
        method: str,
        path: str,
        request_id: str,
        remaining_ms: int,
        body: bytes | None = None,
    ) -> httpcore.Response | None:
        """Sends one client attempt; returns None if it got no answer."""
        attempt = Attempt(node.name, self.log.now_s())
        self.attempts[request_id] = attempt
        response = await self._exchange(
            node, method, path, request_id, remaining_ms, body
        )
        attempt.ended_s = self.log.now_s()
        attempt.status = 0 if response is None else response.status
        return response

    async def _exchange(
        self,
        node: nodes.Node,
        method: str,
        path: str,
        request_id: str,
        remaining_ms: int,
        body: bytes | None,
    ) -> httpcore.Response | None:
        with trio.move_on_after(remaining_ms / 1000):
            try:
                return await self._clients[node.name].request(
                    method,
                    node.url + path,
                    headers=[
                        ("host", HOST),
                        ("x-attempt-id", request_id),
                        ("x-time-remaining", str(remaining_ms)),
                    ],
                    content=body,
                )
            except _BROKEN:
                return None
        return None

    def log_attempts(self) -> None:
        """Adds a line for each attempt: sent, answered, arrived and run."""
        arrivals: dict[str, list[str]] = {}
        runs: dict[str, list[str]] = {}
        for endpoint in self.endpoints:
            for found, places in (
                (endpoint.arrivals, arrivals),
                (endpoint.runs, runs),
            ):
                for at_s, request_id in found:
                    text = f"{endpoint.endpoint_id} {at_s:.3f}"
                    places.setdefault(request_id, []).append(text)
        for request_id, attempt in self.attempts.items():
            self.log.add(
                f"{request_id}: sent to {attempt.node} {attempt.sent_s:.3f}, "
                f"answered {attempt.status} {attempt.ended_s:.3f}, "
                f"arrived at {_list_places(arrivals.get(request_id, []))}, "
                f"ran on {_list_places(runs.get(request_id, []))}"
            )

    def restart(self, node: nodes.Node) -> None:
        """Starts a node again."""
        node.start(nodes.find_seeds(self.nodes))
        self.log.add(f"{node.name} is started again")

    def end(self) -> None:
        """Kills all node processes."""
        for node in self.nodes:
            node.end()


def _list_places(places: list[str]) -> str:
    if len(places) > MAX_LISTED_PLACES:
        return f"{len(places)} backends"
    return ", ".join(places) or "none"


Scenario = Callable[[Site], Awaitable[bool]]


async def _play(scenario: Scenario, directory: pathlib.Path) -> int:
    status = 2
    async with trio.open_nursery() as nursery:
        site = Site(nursery, directory)
        try:
            status = 0 if await scenario(site) else 1
        except nodes.NotRunnable as error:
            print(f"cannot run: {error}")
        finally:
            site.end()
            nursery.cancel_scope.cancel()
    return status


async def _cancel_on_signal(scope: trio.CancelScope) -> None:
    """Ends the run, and with it the nodes, when this process has to end."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            scope.cancel()


def run(scenario: Scenario, case: pathlib.Path, limit_s: float = 115.0) -> int:
    """Plays a case and writes its record.

    Args:
        scenario: Plays the case; returns whether the rule held.
        case: Folder of the case.
        limit_s: Greatest duration.

    Returns:
        0 if the rule held, 1 if it was broken, 2 if the case could not run.
    """
    directory = record.make_directory()

    async def play_and_record() -> int:
        kept: list[Site] = []

        async def keep(site: Site) -> bool:
            kept.append(site)
            return await scenario(site)

        status = 2
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_cancel_on_signal, nursery.cancel_scope)
            with trio.move_on_after(limit_s):
                status = await _play(keep, directory)
            nursery.cancel_scope.cancel()
        for site in kept:
            site.log.add(f"exit status {status}")
            site.log.write(case)
        return status

    status = 2
    try:
        status = trio.run(play_and_record)
        return status
    finally:
        if status == 2 or "--keep" in sys.argv:
            print(f"output of the nodes: {directory}")
        else:
            shutil.rmtree(directory, ignore_errors=True)
