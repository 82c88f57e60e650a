"""Benchmark `direct`: load generator and endpoint stand-ins without nodes.

Measures the naive client of `tail` and shows whether the generator and the
endpoint stand-ins keep up with a load.
"""

from bench import _context
from bench import _generator

_SERVICES = 20
_MEAN_SERVICE_MS = 10.0
_SLOT_USES_PCT = (30, 60)
_DURATION_S = 20.0
_QUICK_DURATION_S = 6.0


async def run(options: _context.BenchOptions) -> _context.BenchResult:
    """Returns the naive client's latencies by slot use."""
    site = _context.build_site(
        options,
        _context.search_size(_SERVICES),
        endpoint_processes=options.endpoint_processes,
        endpoint_settings={"queue_limit": 1000, "queue_wait_ms": 5000.0},
    )
    result = {}
    try:
        await site.endpoint_fleet.start()
        for slot_use_pct in _SLOT_USES_PCT:
            capacity = _context.search_capacity_per_s(
                site.options.size.groups[0], _MEAN_SERVICE_MS
            )
            spec = _context.build_load(
                site,
                options,
                rate_per_s=capacity * slot_use_pct / 100,
                duration_s=_QUICK_DURATION_S if options.quick else _DURATION_S,
                mode="naive",
            )
            name = f"direct-{slot_use_pct}"
            await site.endpoint_fleet.control("reset_counters")
            before_s = site.endpoint_fleet.cpu_s()
            report = await _generator.run_load(spec, site.directory, name)
            cpu_s = site.endpoint_fleet.cpu_s() - before_s
            service_ms = await site.endpoint_fleet.sum_counter("service_ms_sum")
            executed = await site.endpoint_fleet.sum_counter("executed")
            result[f"slot_use_{slot_use_pct}_pct"] = {
                "rate_per_s": round(spec.rate_per_s, 1),
                "p50_naive_ms": report.percentile_ms(50),
                "p99_naive_ms": report.percentile_ms(99),
                "mean_service_ms": round(service_ms / max(1, executed), 2),
                "cpu_us_endpoint": round(1e6 * cpu_s / max(1, executed)),
                "endpoint_requests": executed,
                "coverage_mean": report.coverage_mean_pct,
                "counts": report.counts,
            }
    finally:
        site.kill_all()
    return result
