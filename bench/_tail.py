"""Benchmark `tail`: latency with stragglers.

Compares the latency of nodes with that of nodes without stragglers and with
that of a naive client.
"""

from bench import _context
from bench import _generator
from bench import _report
import devsite

_SERVICES = 20
_SLOT_USES_PCT = (30, 60)
_DURATION_S = 20.0
_QUICK_DURATION_S = 2.0
_WARM_UP_S = 8.0
_QUICK_WARM_UP_S = 2.0
_DEADLINE_MS = 5000.0

# Requests of the naive client wait at the endpoints. With a short queue, the
# endpoints would shed them, and the client would look fast but incomplete.
_ENDPOINT_SETTINGS = {
    "queue_limit": 1000,
    "queue_wait_ms": 5000.0,
}


class _TailMeasurement:
    """Measures one site with several loads."""

    def __init__(
        self, site: devsite.Site, options: _context.BenchOptions
    ) -> None:
        self._site = site
        self._options = options
        self._group = site.options.size.groups[0]

    async def load(
        self, mode: str, slot_use_pct: float, duration_s: float, name: str
    ) -> _report.LoadReport:
        """Runs one load and returns its report."""
        capacity = _context.search_capacity_per_s(
            self._group, self._options.mean_service_ms
        )
        spec = _context.build_load(
            self._site,
            self._options,
            rate_per_s=capacity * slot_use_pct / 100,
            duration_s=duration_s,
            mode=mode,
            deadline_ms=_DEADLINE_MS,
            ready_poll_s=_context.SLOW_READY_POLL_S,
        )
        return await _generator.run_load(spec, self._site.directory, name)

    async def set_stragglers(self, share_pct: float) -> None:
        """Changes the share of stragglers at all endpoints."""
        await self._site.endpoint_fleet.control(
            "configure", settings={"straggler_pct": share_pct}
        )

    async def measure(
        self, slot_use_pct: float, duration_s: float
    ) -> _context.BenchResult:
        """Returns the results at one slot use."""
        prefix = f"{slot_use_pct:g}"
        await self.set_stragglers(1.0)
        await self._site.endpoint_fleet.control("reset_counters")
        report = await self.load("nodes", slot_use_pct, duration_s, prefix)
        received = await self._site.endpoint_fleet.sum_counter("received")
        sheds = await self._site.endpoint_fleet.sum_counter("shed")
        connections = await self._site.endpoint_fleet.sum_counter("connections")
        needed = report.counts.sent * self._group.services
        await self.set_stragglers(0.0)
        clean = await self.load(
            "nodes", slot_use_pct, duration_s, f"{prefix}-clean"
        )
        await self.set_stragglers(1.0)
        naive = await self.load(
            "naive", slot_use_pct, duration_s, f"{prefix}-naive"
        )
        return {
            "p50_ms": report.percentile_ms(50),
            "p99_ms": report.percentile_ms(99),
            "p99_clean_ms": clean.percentile_ms(99),
            "p50_naive_ms": naive.percentile_ms(50),
            "p99_naive_ms": naive.percentile_ms(99),
            "extra_load_pct": round(100 * (received / max(1, needed) - 1), 2),
            "endpoint_sheds": sheds,
            "endpoint_connections": connections,
            "coverage_mean": report.coverage_mean_pct,
            "coverage_mean_naive": naive.coverage_mean_pct,
            "coverage_false": report.counts.coverage_false,
            "counts": report.counts,
            "counts_naive": naive.counts,
        }


async def run(options: _context.BenchOptions) -> _context.BenchResult:
    """Returns the results by slot use."""
    duration_s = _QUICK_DURATION_S if options.quick else _DURATION_S
    duration_s = options.duration_s or duration_s
    warm_up_s = _QUICK_WARM_UP_S if options.quick else _WARM_UP_S
    site = _context.build_site(
        options,
        # With the preference `latency`, answers at the soft deadline would
        # hide slow shards.
        _context.search_size(_SERVICES, "coverage"),
        endpoint_processes=options.endpoint_processes,
        endpoint_settings={
            "mean_service_ms": options.mean_service_ms,
            **_ENDPOINT_SETTINGS,
        },
    )
    slot_uses_pct: tuple[float, ...] = _SLOT_USES_PCT
    if options.slot_use_pct is not None:
        slot_uses_pct = (options.slot_use_pct,)
    result = {}
    async with site:
        measurement = _TailMeasurement(site, options)
        await measurement.load("nodes", slot_uses_pct[0], warm_up_s, "warm-up")
        for slot_use_pct in slot_uses_pct:
            result[
                f"slot_use_{slot_use_pct:g}_pct"
            ] = await measurement.measure(slot_use_pct, duration_s)
    return result
