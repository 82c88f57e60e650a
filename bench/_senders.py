"""Senders of searches: through nodes, or naively to endpoints."""

import random
from typing import Protocol

import h11
import httpcore
import msgspec
import trio

from bench import _endpoint_connection
from bench import _report
from bench import _verify
import devsite
from standins import endpoint as endpoint_standin

READY_POLL_S = 0.1
_NAIVE_SNAPSHOT = 1


class ShardTarget(msgspec.Struct):
    """Shard that the naive sender queries.

    Attributes:
        name: Qualified name of the shard.
        ports: Ports of its endpoints on loopback.
        connections: Connection limit of each endpoint.
    """

    name: str
    ports: list[int]
    connections: int


class LoadSpec(msgspec.Struct, kw_only=True):
    """Load that one generator process sends.

    Attributes:
        mode: `nodes` to send searches to nodes, `naive` to send them to one
            random replica per shard.
        caller_ports: Ports of the nodes' caller listeners.
        subsidiary: Subsidiary of the searches.
        service_set: Service set of the searches.
        shards: All shards of the service set.
        rate_per_s: Searches per second of all workers together.
        duration_s: Length of the schedule.
        deadline_ms: Deadline of each search.
        seed: Seed of schedule, queries and choices.
        routes: Routes, of which each search to a node uses a random one.
        worker: Index of this worker, which sends every `workers`-th arrival.
        workers: Number of workers.
        start_s: Start of the schedule on the system's monotonic clock.
        ready_poll_s: Interval at which each worker polls each node's
            readiness.
    """

    mode: str
    caller_ports: list[int]
    subsidiary: str
    service_set: str
    shards: list[ShardTarget]
    rate_per_s: float
    duration_s: float
    deadline_ms: float = 1000.0
    seed: int = 1
    routes: tuple[str, ...] = ("search",)
    worker: int = 0
    workers: int = 1
    start_s: float = 0.0
    ready_poll_s: float = READY_POLL_S


class Sender(Protocol):
    """Sends searches and counts their outcomes."""

    async def run(self, *, task_status: trio.TaskStatus[None]) -> None:
        """Prepares connections, then runs in the background."""

    async def send(self, query: str, report: _report.LoadReport) -> bool:
        """Sends one search; returns whether it was answered."""


class NaiveSender:
    """Sends each search once to a random replica of each shard.

    Requests are neither retried nor hedged.

    Args:
        spec: The load.
    """

    def __init__(self, spec: LoadSpec) -> None:
        self._spec = spec
        self._pools = {
            port: _endpoint_connection.EndpointPool(
                port, max(1, shard.connections // spec.workers)
            )
            for shard in spec.shards
            for port in shard.ports
        }

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Opens one connection to each endpoint."""
        async with trio.open_nursery() as nursery:
            for pool in self._pools.values():
                nursery.start_soon(pool.warm_up)
        task_status.started()

    async def send(self, query: str, report: _report.LoadReport) -> bool:
        """Sends one search; returns whether all shards answered."""
        choices = random.Random(f"{self._spec.seed}/{query}")
        answered: list[str] = []
        async with trio.open_nursery() as nursery:
            for shard in self._spec.shards:
                pool = self._pools[choices.choice(shard.ports)]
                nursery.start_soon(
                    self._search_shard,
                    pool,
                    shard.name,
                    query,
                    answered,
                    report,
                )
        counts = report.counts
        share = len(answered) / len(self._spec.shards)
        counts.coverage_sum_pct += 100 * share
        if share < 1:
            counts.failed += 1
            return False
        counts.answered += 1
        counts.full += 1
        return True

    async def _search_shard(
        self,
        pool: _endpoint_connection.EndpointPool,
        shard: str,
        query: str,
        answered: list[str],
        report: _report.LoadReport,
    ) -> None:
        body = msgspec.json.encode({"query": query})
        request_id = f"{query}/{shard}"
        try:
            reply = await pool.search(
                "search", request_id, _NAIVE_SNAPSHOT, body
            )
        except (OSError, trio.BrokenResourceError, h11.RemoteProtocolError):
            return
        if reply.status != 200:
            return
        hits = endpoint_standin.compute_hits(shard, _NAIVE_SNAPSHOT, query)
        expected = msgspec.json.encode({"hits": hits})
        if reply.body != expected or reply.request_id != request_id.encode():
            report.counts.foreign += 1
            return
        answered.append(shard)


class NodeSender:
    """Sends searches to the nodes that report ready, in random order.

    The sender stands in for the platform's load balancer: it polls the nodes'
    readiness and tries another node only if no connection could be opened.

    Args:
        spec: The load.
    """

    def __init__(self, spec: LoadSpec) -> None:
        self._spec = spec
        self._shards = [shard.name for shard in spec.shards]
        self._random = random.Random(f"{spec.seed}/{spec.worker}")
        self._clients = {
            port: devsite.CallerClient(port) for port in spec.caller_ports
        }
        self._ready: set[int] = set()

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Polls the nodes' readiness."""
        await self._poll_all()
        task_status.started()
        while True:
            await trio.sleep(self._spec.ready_poll_s)
            await self._poll_all()

    async def _poll_all(self) -> None:
        async with trio.open_nursery() as nursery:
            for port in self._clients:
                nursery.start_soon(self._poll, port)

    async def _poll(self, port: int) -> None:
        if await self._clients[port].is_ready():
            self._ready.add(port)
        else:
            self._ready.discard(port)

    async def send(self, query: str, report: _report.LoadReport) -> bool:
        """Sends one search; returns whether it was answered."""
        counts = report.counts
        ports = sorted(self._ready) or list(self._clients)
        self._random.shuffle(ports)
        for port in ports:
            try:
                reply = await self._search(port, query)
            except (httpcore.ConnectError, httpcore.ConnectTimeout):
                continue
            except httpcore.TimeoutException:
                counts.timed_out += 1
                return False
            except (httpcore.NetworkError, httpcore.RemoteProtocolError):
                counts.cut += 1
                return False
            return self._count_reply(reply, query, report)
        counts.refused += 1
        return False

    async def _search(self, port: int, query: str) -> devsite.CallerReply:
        spec = self._spec
        return await self._clients[port].search(
            spec.subsidiary,
            spec.service_set,
            query,
            route=self._random.choice(spec.routes),
            deadline_ms=spec.deadline_ms,
        )

    def _count_reply(
        self,
        reply: devsite.CallerReply,
        query: str,
        report: _report.LoadReport,
    ) -> bool:
        counts = report.counts
        node_id = str(reply.answer.get("node", ""))
        result_name = str(reply.answer.get("result_name", reply.status))
        if reply.status != 200:
            counts.count_not_full(node_id, result_name)
            if reply.answer.get("not_run") is True:
                counts.refused += 1
            else:
                counts.failed += 1
            return False
        check = _verify.check_answer(reply.answer, self._shards, query)
        counts.answered += 1
        counts.foreign += not check.hits_match
        counts.incomplete += not check.complete
        counts.coverage_false += not check.coverage_correct
        counts.coverage_sum_pct += check.coverage_pct
        full = check.hits_match and check.coverage_pct >= 100
        counts.full += full
        if not full:
            counts.count_not_full(node_id, result_name)
        return True
