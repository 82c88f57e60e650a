"""Benchmark `control`: cost of an idle node and a configuration change."""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import pathlib
import statistics
import time
from typing import Any

import trio

from bench import _context
from bench import _operators
import devsite
from geraniumstair._generated import document as document_models

_NODES = (3, 7, 14, 28)
_QUICK_NODES = (3, 7)
_ENDPOINTS = (60, 500, 1500, 4500)
_QUICK_ENDPOINTS = (60, 4500)
_IDLE_S = 8.0
# Short runs only show that the benchmark works; their results are mostly noise.
_QUICK_IDLE_S = 2.0
_SETTLE_S = 3.0
_QUICK_SETTLE_S = 0.5
_IN_FORCE_TIMEOUT_S = 30.0
# Within this time, the work of a change has ended, including shard takeovers
# and garbage collection.
_CHANGE_WAIT_S = 3.0
_QUICK_CHANGE_WAIT_S = 1.0
_CHANGES = 2
_QUICK_CHANGES = 1
_SERVED_SERVICES = 30
_REMOTE_REGION = "elsewhere"
_REMOTE_ADDRESS = "127.0.0.2"
_REMOTE_PORT = 1024
_REMOTE_SHARDS = 4


def with_remote_endpoints(
    document: document_models.Document, endpoint_count: int
) -> document_models.Document:
    """Adds endpoints in a region without nodes, up to `endpoint_count`.

    Nodes keep these endpoints in memory but do not connect to them. This
    separates the cost of the document's size from that of connections.
    """
    values = document.model_dump(mode="json")
    subsidiary = values["subsidiaries"][0]
    remote_count = endpoint_count - 2 * _SERVED_SERVICES
    zones = [f"{_REMOTE_REGION}-{letter}" for letter in "ab"]
    if remote_count <= 0:
        return document
    values["regions"].append({"name": _REMOTE_REGION})
    values["availability_zones"] += [
        {"name": zone, "region": _REMOTE_REGION} for zone in zones
    ]
    shards = [
        {
            "name": f"p{index}",
            "endpoints": [
                {
                    "name": f"remote-{index}-{zone}",
                    "address": _REMOTE_ADDRESS,
                    "port": _REMOTE_PORT + 2 * index + replica,
                    "availability_zone": zone,
                    "vm": f"vm-remote-{index}-{zone}",
                }
                for replica, zone in enumerate(zones)
            ],
        }
        for index in range(remote_count // 2)
    ]
    for first in range(0, len(shards), _REMOTE_SHARDS):
        subsidiary["services"].append(
            {
                "name": f"remote-{first}",
                "shards": shards[first : first + _REMOTE_SHARDS],
            }
        )
    return document_models.Document.model_validate(values)


@dataclasses.dataclass(frozen=True)
class _Sample:
    """Totals of a site at one time.

    Attributes:
        time_s: Monotonic time.
        cpu_s: Processor time by node id.
        control_bytes: Bytes of control messages between nodes.
        store_calls: Calls to the store.
    """

    time_s: float
    cpu_s: Mapping[str, float]
    control_bytes: float
    store_calls: float


class _SiteMeasurement:
    """Measures one site with documents of increasing size."""

    def __init__(
        self, site: devsite.Site, options: _context.BenchOptions
    ) -> None:
        self._site = site
        self._options = options
        self._clients = {
            node_id: _operators.OperatorClient(site, node_id)
            for node_id in site.node_ids
        }
        self._revision = 1

    async def _sample(self) -> _Sample:
        control_bytes = 0.0
        for client in self._clients.values():
            counters = await client.counters("geraniumstair_peer_bytes_total")
            control_bytes += sum(
                value
                for name, value in counters.items()
                if 'class="control"' in name
            )
        store = await _operators.control_store(self._site)
        return _Sample(
            time.monotonic(),
            {n: p.cpu_s() for n, p in self._site.nodes.items()},
            control_bytes,
            sum(store["calls"].values()),
        )

    def _rss_mb(self) -> float:
        return statistics.median(
            _rss_bytes(process.pid) / 1e6
            for process in self._site.nodes.values()
        )

    async def _apply(self, text: str) -> float:
        """Applies a document; returns the time in s until it is in force."""
        client = self._clients[self._site.node_ids[0]]
        reply = await client.apply(text, self._revision)
        accepted_s = time.monotonic()
        if reply.status != 200:
            raise devsite.ProcessFailed(
                f"applying a document failed: {reply.value.get('detail')}"
            )
        self._revision = int(reply.value["revision"])
        with trio.fail_after(_IN_FORCE_TIMEOUT_S):
            for other in self._clients.values():
                while await _revision(other) < self._revision:
                    await trio.sleep(0.02)
        return time.monotonic() - accepted_s

    async def measure(self, endpoint_count: int) -> dict[str, Any]:
        """Returns the idle cost and the cost of a change for one document."""
        quick = self._options.quick
        document = with_remote_endpoints(self._site.document, endpoint_count)
        text = devsite.render_document(document)
        await self._apply(text)
        await trio.sleep(_QUICK_SETTLE_S if quick else _SETTLE_S)
        before = await self._sample()
        await trio.sleep(_QUICK_IDLE_S if quick else _IDLE_S)
        after = await self._sample()
        idle = _idle_cost(before, after)
        in_force_s = []
        changes = _QUICK_CHANGES if quick else _CHANGES
        for index in range(changes):
            in_force_s.append(await self._apply(f"{text}# change {index}\n"))
            await trio.sleep(_QUICK_CHANGE_WAIT_S if quick else _CHANGE_WAIT_S)
        after_changes = await self._sample()
        return idle | {
            "nodes": len(self._site.node_ids),
            "endpoints": endpoint_count,
            "rss_mb": round(self._rss_mb(), 1),
            "change_cpu_ms": _change_cpu_ms(
                after, after_changes, idle, changes
            ),
            "change_in_force_s": round(max(in_force_s), 2),
        }


def _idle_cost(before: _Sample, after: _Sample) -> dict[str, Any]:
    elapsed_s = after.time_s - before.time_s
    cpu_s = [after.cpu_s[n] - before.cpu_s[n] for n in after.cpu_s]
    nodes = len(cpu_s)
    sent_and_received = after.control_bytes - before.control_bytes
    return {
        "core_pct": round(100 * statistics.mean(cpu_s) / elapsed_s, 2),
        "core_pct_max": round(100 * max(cpu_s) / elapsed_s, 2),
        "bytes_per_s": round(sent_and_received / nodes / elapsed_s),
        "store_calls_per_s": round(
            (after.store_calls - before.store_calls) / elapsed_s, 2
        ),
    }


def _change_cpu_ms(
    before: _Sample, after: _Sample, idle: Mapping[str, Any], changes: int
) -> float:
    """Returns the processor time of a change on a node that only reads it.

    The median over the nodes leaves out the node that accepted the change
    and, if there are few nodes, the coordinator.
    """
    elapsed_s = after.time_s - before.time_s
    cpu_s = statistics.median(
        after.cpu_s[n] - before.cpu_s[n] for n in after.cpu_s
    )
    change_cpu_s = cpu_s - elapsed_s * idle["core_pct"] / 100
    return round(1000 * change_cpu_s / changes, 1)


async def _revision(client: _operators.OperatorClient) -> int:
    return int((await client.status()).value.get("revision", 0))


def _rss_bytes(pid: int) -> int:
    fields = pathlib.Path(f"/proc/{pid}/statm").read_text().split()
    return int(fields[1]) * 4096


def _slope(
    rows: Sequence[Mapping[str, Any]], x: str, y: str
) -> dict[str, float]:
    xs = [float(row[x]) for row in rows]
    ys = [float(row[y]) for row in rows]
    fit = statistics.linear_regression(xs, ys)
    return {
        "slope": float(f"{fit.slope:.4g}"),
        "intercept": float(f"{fit.intercept:.4g}"),
    }


def _slopes(rows: Sequence[Mapping[str, Any]]) -> dict[str, Any]:
    """Returns linear fits over the numbers of nodes and of endpoints.

    The fits over nodes use the rows of the smallest document. Those over
    endpoints use the rows of the smallest site measured with all documents.
    """
    min_endpoints = min(row["endpoints"] for row in rows)
    by_nodes = [row for row in rows if row["endpoints"] == min_endpoints]
    # Sites measured with one document do not show the effect of its size.
    sizes = {
        n: sum(row["nodes"] == n for row in rows)
        for n in {row["nodes"] for row in rows}
    }
    fitted_nodes = min(
        n for n, count in sizes.items() if count == max(sizes.values())
    )
    by_endpoints = [row for row in rows if row["nodes"] == fitted_nodes]
    keys = ("core_pct", "rss_mb", "bytes_per_s", "store_calls_per_s")
    return {
        "per_node": {k: _slope(by_nodes, "nodes", k) for k in keys},
        "per_endpoint": {
            k: _slope(by_endpoints, "endpoints", k)
            for k in (*keys, "change_cpu_ms", "change_in_force_s")
        },
    }


async def run(options: _context.BenchOptions) -> _context.BenchResult:
    """Returns the cost by node count and document size, and the slopes."""
    rows = []
    for node_count in _QUICK_NODES if options.quick else _NODES:
        site = _context.build_site(
            options,
            _context.search_size(_SERVED_SERVICES),
            node_count=node_count,
        )
        # Larger sites process documents like the smaller ones do. The largest
        # would only hold the 4,500 endpoints many times on one machine.
        sizes: Sequence[int] = _QUICK_ENDPOINTS if options.quick else _ENDPOINTS
        if node_count > (_QUICK_NODES[0] if options.quick else 7):
            sizes = sizes[:1]
        async with site:
            measurement = _SiteMeasurement(site, options)
            for endpoint_count in sizes:
                rows.append(await measurement.measure(endpoint_count))
    return {"rows": rows, "slopes": _slopes(rows)}
