"""Benchmark `overload`: goodput at three times the capacity."""

from bench import _context
from bench import _generator
from bench import _report
import devsite

_SERVICES = 4
# Long enough that the endpoints, not this machine's processors, limit the load.
_MEAN_SERVICE_MS = 40.0
_LOADS = (("single", 1.0), ("triple", 3.0), ("after", 0.5))
_DURATION_S = 15.0
_QUICK_DURATION_S = 4.0
_DEADLINE_MS = 1000.0


async def _load(
    site: devsite.Site,
    options: _context.BenchOptions,
    name: str,
    factor: float,
    duration_s: float,
) -> _report.LoadReport:
    group = site.options.size.groups[0]
    capacity = _context.search_capacity_per_s(group, _MEAN_SERVICE_MS)
    spec = _context.build_load(
        site,
        options,
        rate_per_s=capacity * factor,
        duration_s=duration_s,
        deadline_ms=_DEADLINE_MS,
        ready_poll_s=_context.SLOW_READY_POLL_S,
    )
    return await _generator.run_load(spec, site.directory, name)


async def run(options: _context.BenchOptions) -> _context.BenchResult:
    """Returns goodput (full answers in time) at 1, 3 and 0.5 times capacity."""
    duration_s = _QUICK_DURATION_S if options.quick else _DURATION_S
    site = _context.build_site(
        options,
        # Goodput counts full answers only. With the preference `latency`,
        # answers at the soft deadline would be partial.
        _context.search_size(_SERVICES, "coverage"),
        endpoint_settings={"mean_service_ms": _MEAN_SERVICE_MS},
    )
    reports = {}
    async with site:
        await _load(site, options, "warm-up", 0.5, duration_s)
        for name, factor in _LOADS:
            reports[name] = await _load(site, options, name, factor, duration_s)
        collapses = await site.endpoint_fleet.sum_counter("collapses")
    single, triple = (
        reports[name].counts.full for name in ("single", "triple")
    )
    after = reports["after"].counts
    return {
        "goodput_ratio": round(triple / max(1, single), 3),
        "goodput_single_per_s": round(single / duration_s, 1),
        "goodput_triple_per_s": round(triple / duration_s, 1),
        "full_share_after": round(after.full / max(1, after.sent), 4),
        "collapses": collapses,
        "counts": {name: r.counts for name, r in reports.items()},
    }
