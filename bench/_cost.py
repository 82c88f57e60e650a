"""Benchmark `cost`: processor time of the nodes per endpoint request."""

import dataclasses
import time

import httpcore
import msgspec
import trio

from bench import _context
from bench import _generator
import devsite

_SERVICES = 20
_SLOT_USE_PCT = 30
_DURATION_S = 20.0
_QUICK_DURATION_S = 8.0
_WARM_UP_S = 2.0
_BASELINE_REQUESTS = 5000
_QUICK_BASELINE_REQUESTS = 1500
_BASELINE_WARM_UP_REQUESTS = 200

# The cost per request of httpcore's pool grows with its connections and queued
# requests. The ratios use the baselines with few of both, which is the stricter
# comparison.
_FEW_ENDPOINTS = 4
_FEW_CONCURRENT = 4
_MANY_ENDPOINTS = 40
_MANY_CONCURRENT = 24
# A shared machine takes up to twice the processor time for the same work while
# its other cores are busy. `ratio` therefore uses a baseline that runs
# during the load, against endpoints that the load does not use.
_BASELINE_SERVICES = 2
_LOADED_BASELINE_DELAY_S = 3.0


class _Baseline:
    """Measures the cost of requests through httpcore's connection pool."""

    def __init__(self, ports: list[int], concurrency: int) -> None:
        self._ports = ports
        self._concurrency = concurrency
        self.sent = 0
        self.failed = 0

    async def cpu_us_per_request(self, requests: int) -> float:
        """Returns this process's processor time per request."""
        async with httpcore.AsyncConnectionPool(max_connections=400) as pool:
            await self._send_many(pool, _BASELINE_WARM_UP_REQUESTS)
            started_s = time.process_time()
            await self._send_many(pool, requests)
            elapsed_s = time.process_time() - started_s
        return 1e6 * elapsed_s / requests

    async def _send_many(
        self, pool: httpcore.AsyncConnectionPool, requests: int
    ) -> None:
        end_index = self.sent + requests
        async with trio.open_nursery() as nursery:
            for _ in range(self._concurrency):
                nursery.start_soon(self._send_until, pool, end_index)

    async def _send_until(
        self, pool: httpcore.AsyncConnectionPool, end_index: int
    ) -> None:
        while self.sent < end_index:
            index = self.sent
            self.sent += 1
            port = self._ports[index % len(self._ports)]
            reply = await pool.request(
                "POST",
                f"http://127.0.0.1:{port}/search/search",
                headers={
                    "x-request-id": f"baseline-{index}",
                    "x-deadline-ms": "5000",
                    "x-snapshot": "1",
                },
                content=msgspec.json.encode({"query": f"query {index}"}),
            )
            self.failed += reply.status != 200


async def measure_baseline(
    site: devsite.Site, options: _context.BenchOptions
) -> _context.BenchResult:
    """Returns the processor time in µs per request of httpcore's pool.

    Only the site's endpoint stand-ins have to run. The result also counts
    the requests that failed.
    """
    requests = _QUICK_BASELINE_REQUESTS if options.quick else _BASELINE_REQUESTS
    ports = [s.port for s in site.endpoint_fleet.endpoints.values()]
    ports = ports[: _SERVICES * site.options.size.groups[0].replicas]
    few = _Baseline(ports[:_FEW_ENDPOINTS], _FEW_CONCURRENT)
    few_us = await few.cpu_us_per_request(requests)
    many = _Baseline(ports[:_MANY_ENDPOINTS], _MANY_CONCURRENT)
    many_us = await many.cpu_us_per_request(requests)
    return {
        "cpu_us_pool_baseline_idle": round(few_us, 1),
        "cpu_us_pool_baseline_many": round(many_us, 1),
        "baseline_failed": few.failed + many.failed,
    }


def build_site(options: _context.BenchOptions) -> devsite.Site:
    """Returns the site of this benchmark, which is not started yet."""
    size = _context.search_size(_SERVICES)
    baseline = devsite.ServiceGroup("baseline", services=_BASELINE_SERVICES)
    return _context.build_site(
        options,
        dataclasses.replace(size, groups=(*size.groups, baseline)),
        endpoint_processes=options.endpoint_processes,
    )


async def run_baseline(options: _context.BenchOptions) -> _context.BenchResult:
    """Measures the baseline alone, without nodes."""
    site = build_site(options)
    try:
        await site.endpoint_fleet.start()
        return await measure_baseline(site, options)
    finally:
        site.kill_all()


def _baseline_ports(site: devsite.Site) -> list[int]:
    targets = _context.shard_targets(site.document, "baseline")
    return [port for target in targets for port in target.ports]


def _node_cpu_s(site: devsite.Site) -> float:
    return sum(node.cpu_s() for node in site.nodes.values())


async def run(options: _context.BenchOptions) -> _context.BenchResult:
    """Returns the processor time per request of the nodes and the pool."""
    duration_s = _QUICK_DURATION_S if options.quick else _DURATION_S
    slot_use_pct = options.slot_use_pct or _SLOT_USE_PCT
    async with build_site(options) as site:
        baseline = await measure_baseline(site, options)
        group = site.options.size.groups[0]
        capacity = _context.search_capacity_per_s(group, 10.0)
        spec = _context.build_load(
            site,
            options,
            rate_per_s=capacity * slot_use_pct / 100,
            duration_s=_WARM_UP_S,
            ready_poll_s=_context.SLOW_READY_POLL_S,
        )
        await _generator.run_load(spec, site.directory, "warm-up")
        await site.endpoint_fleet.control("reset_counters")
        spec.duration_s = duration_s
        cpu_before_s = 0.0

        def on_start() -> None:
            nonlocal cpu_before_s
            cpu_before_s = _node_cpu_s(site)

        loaded_baseline = _Baseline(_baseline_ports(site), _FEW_CONCURRENT)
        loaded_us = 0.0

        async def measure_loaded() -> None:
            nonlocal loaded_us
            await trio.sleep_until(
                trio.current_time() + _LOADED_BASELINE_DELAY_S
            )
            loaded_us = await loaded_baseline.cpu_us_per_request(
                _QUICK_BASELINE_REQUESTS
            )

        async with trio.open_nursery() as nursery:
            nursery.start_soon(measure_loaded)
            report = await _generator.run_load(
                spec, site.directory, "cost", on_start=on_start
            )
            cpu_after_s = _node_cpu_s(site)
        received = await site.endpoint_fleet.sum_counter("received")
        received -= loaded_baseline.sent
    node_us = 1e6 * (cpu_after_s - cpu_before_s) / max(1, received)
    return (
        {
            "cpu_us_per_endpoint_request": round(node_us, 1),
            "cpu_us_pool_baseline": round(loaded_us, 1),
            "ratio": round(node_us / loaded_us, 3),
            "ratio_idle": round(
                node_us / baseline["cpu_us_pool_baseline_idle"], 3
            ),
            "endpoint_requests": received,
            "counts": report.counts,
        }
        | dict(baseline)
        | {"baseline_failed_loaded": loaded_baseline.failed}
    )
