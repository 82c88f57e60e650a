"""Benchmark `zone`: an availability zone goes out of service and returns."""

import dataclasses
import time

import trio

from bench import _context
from bench import _generator
from bench import _operators
from bench import _report
import devsite

_SERVICES = 6
# With two replicas in two availability zones, half of the slots would go out of
# service and the rest be fully used. With three replicas, 75% of the rest is.
_REPLICAS = 3
# Long enough that the endpoints, not this machine's processors, limit the load.
_MEAN_SERVICE_MS = 30.0
_SLOT_USE_PCT = 50
_PHASE_S = 20.0
_QUICK_PHASE_S = 7.0
_WARM_UP_S = 5.0
_QUICK_WARM_UP_S = 2.0


@dataclasses.dataclass
class _ChangeTimes:
    """Times of an availability zone's change in s.

    Attributes:
        out_accepted_s: When the state `out` was accepted, since 1970.
        in_accepted_s: When the state `in` was accepted, since 1970.
        last_work_after_out_s: Time from acceptance of `out` to the last new
            request at endpoints of the availability zone; at least 0.
        first_work_after_in_s: Time from acceptance of `in` to the first new
            requests at endpoints of the availability zone.
        done_after_out_s: Time from acceptance of `out` until a node reported
            the change as done.
    """

    out_accepted_s: float = 0.0
    in_accepted_s: float = 0.0
    last_work_after_out_s: float = 0.0
    first_work_after_in_s: float = 0.0
    done_after_out_s: float = 0.0


class _ZoneChange:
    """Takes an availability zone out of service and back in under load."""

    def __init__(
        self, site: devsite.Site, options: _context.BenchOptions
    ) -> None:
        self._site = site
        self._options = options
        self._zone = site.options.size.availability_zone(1)
        self._client = _operators.OperatorClient(site, site.node_ids[0])
        self.times = _ChangeTimes()

    def _endpoints(self) -> list[str]:
        subsidiary = self._site.document.subsidiaries[0]
        return [
            endpoint.name
            for service in subsidiary.services
            for shard in service.shards
            for endpoint in shard.endpoints
            if endpoint.availability_zone == self._zone
        ]

    async def _last_work_s(self) -> float:
        reports = await self._site.endpoint_fleet.fetch_reports()
        return max(
            reports[name]["counters"]["last_new_work_s"]
            for name in self._endpoints()
        )

    async def _set_zone_state(self, state: str) -> float:
        reply = await self._client.set_availability_zone(self._zone, state)
        accepted_s = time.time()
        if reply.status != 200:
            raise devsite.ProcessFailed(
                f"setting the availability zone to {state} failed: "
                f"{reply.value}"
            )
        return accepted_s

    async def _wait_done(self) -> float:
        while True:
            status = (await self._client.status()).value
            rows = status.get("availability_zones", ())
            if rows and all(row["progress"] == "DONE" for row in rows):
                return time.time()
            await trio.sleep(0.05)

    async def load(self, name: str, duration_s: float) -> _report.LoadReport:
        """Runs the load for a time and returns its report."""
        group = self._site.options.size.groups[0]
        capacity = _context.search_capacity_per_s(group, _MEAN_SERVICE_MS)
        spec = _context.build_load(
            self._site,
            self._options,
            rate_per_s=capacity * _SLOT_USE_PCT / 100,
            duration_s=duration_s,
        )
        return await _generator.run_load(spec, self._site.directory, name)

    async def ramp_counts(self) -> dict[str, float]:
        """Returns the total ejections and cold ramps of all nodes by reason."""
        totals: dict[str, float] = {}
        for node_id in self._site.node_ids:
            client = _operators.OperatorClient(self._site, node_id)
            counters = await client.counters("geraniumstair_dispatch_")
            for name, value in counters.items():
                short = name.removeprefix("geraniumstair_dispatch_")
                if short.startswith(("cold_ramps_total", "ejections_total")):
                    totals[short] = totals.get(short, 0.0) + value
        return totals

    async def change_zone(self, phase_s: float) -> None:
        """Takes the availability zone out of service for about `phase_s`."""
        times = self.times
        # `run_load` starts the schedule two seconds after it is called.
        await trio.sleep(2 + phase_s / 4)
        times.out_accepted_s = await self._set_zone_state("out")
        times.done_after_out_s = await self._wait_done() - times.out_accepted_s
        await trio.sleep(phase_s)
        last_s = await self._last_work_s()
        times.last_work_after_out_s = max(0.0, last_s - times.out_accepted_s)
        times.in_accepted_s = await self._set_zone_state("in")
        while times.first_work_after_in_s == 0.0:
            await trio.sleep(0.1)
            last_s = await self._last_work_s()
            if last_s > times.in_accepted_s:
                times.first_work_after_in_s = last_s - times.in_accepted_s


async def run(options: _context.BenchOptions) -> _context.BenchResult:
    """Returns failures, latency and new work after the change."""
    phase_s = _QUICK_PHASE_S if options.quick else _PHASE_S
    warm_up_s = _QUICK_WARM_UP_S if options.quick else _WARM_UP_S
    group = devsite.ServiceGroup(
        "search", services=_SERVICES, replicas=_REPLICAS
    )
    site = _context.build_site(
        options,
        devsite.SiteSize("association", "osrednja", (group,)),
        endpoint_processes=options.endpoint_processes,
        endpoint_settings={"mean_service_ms": _MEAN_SERVICE_MS},
    )
    reports: list[_report.LoadReport] = []
    async with site:
        zone_change = _ZoneChange(site, options)
        await zone_change.load("warm-up", warm_up_s)
        load_before = await zone_change.load("before", phase_s)
        ramps_before = await zone_change.ramp_counts()

        async def load() -> None:
            reports.append(await zone_change.load("during", 1.75 * phase_s))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(load)
            nursery.start_soon(zone_change.change_zone, phase_s)
        ramps_after = await zone_change.ramp_counts()
    counts = reports[0].counts
    ratio = reports[0].percentile_ms(99) / max(
        0.01, load_before.percentile_ms(99)
    )
    return {
        "last_new_work_s": round(zone_change.times.last_work_after_out_s, 2),
        "failed_searches": counts.sent - counts.full,
        "cut_requests": counts.cut + counts.timed_out,
        "p99_ratio_during": round(ratio, 2),
        "p99_before_ms": load_before.percentile_ms(99),
        "p99_during_ms": reports[0].percentile_ms(99),
        "progress_done_s": round(zone_change.times.done_after_out_s, 2),
        "ramps": {
            name: value - ramps_before.get(name, 0.0)
            for name, value in ramps_after.items()
        },
        "first_work_back_s": round(zone_change.times.first_work_after_in_s, 2),
        "counts_before": load_before.counts,
        "counts": counts,
    }
