"""Benchmark `coldstart`: cold endpoint restarts while owners are killed."""

import collections
from collections.abc import Sequence
from typing import Any

import trio

from bench import _context
from bench import _generator
from bench import _report
import devsite

_SERVICES = 4
_MEAN_SERVICE_MS = 10.0
_SLOT_USE_PCT = 40
_ROUNDS = 4
_QUICK_ROUNDS = 1
_WARM_UP_S = 5.0
_RESTART_TO_KILL_S = 0.5
_SETTLE_S = 6.0
_TURNED_COLD_WAIT_S = 5.0
# Time to read counters and owners, and to restart the killed node.
_ROUND_MARGIN_S = 3.0


class _FaultInjector:
    """Turns endpoints cold and kills owners of shards that are ramping up.

    Attributes:
        node_kills: Number of owners killed.
        owned_ramps: Shards that the killed nodes owned; all were ramping up.
        silent_turns: Endpoints that turned cold without a restart.
        silent_collapses: Collapses of the endpoints that turned cold without
            a restart. The first request beyond its capacity reveals that an
            endpoint is cold, so one collapse per endpoint is expected.
        silent_collapses_again: Collapses of the same endpoints after their
            first one.
    """

    def __init__(self, site: devsite.Site) -> None:
        self._site = site
        self._counters: list[dict[str, Any]] = []
        self._collapses = collections.Counter[str]()
        self.node_kills = 0
        self.owned_ramps = 0
        self.silent_turns = 0
        self.silent_collapses = 0
        self.silent_collapses_again = 0

    async def run(self, rounds: int) -> None:
        """Injects all faults of a run."""
        await trio.sleep(_WARM_UP_S)
        await self._collect_counters("first start")
        for index in range(rounds):
            await self._restart_cold(index % 2)
            await trio.sleep(_RESTART_TO_KILL_S)
            await self._collect_counters("restart")
            node_id = await self._kill_owner()
            await trio.sleep(_SETTLE_S)
            await self._collect_counters("owner killed")
            await self._turn_cold(index % 2)
            self._site.start_node(node_id)
            await self._site.wait_ready([node_id])
            await self._collect_counters("node returned")

    async def _restart_cold(self, replica_index: int) -> None:
        names = self._endpoint_names(replica_index)
        await self._site.endpoint_fleet.control("kill", names)
        await trio.sleep(0.2)
        await self._site.endpoint_fleet.control("start", names, cold=True)

    def _endpoint_names(self, replica_index: int) -> list[str]:
        suffix = f"-e{replica_index}"
        names = self._site.endpoint_fleet.endpoints
        return [name for name in names if name.endswith(suffix)]

    async def _kill_owner(self) -> str:
        """Kills the node that owns most shards; all shards are ramping up."""
        owners = collections.Counter(
            (await self._site.fetch_shard_owners()).values()
        )
        ((node_id, shards),) = owners.most_common(1)
        self._site.kill_node(node_id)
        self.node_kills += 1
        self.owned_ramps += shards
        return node_id

    async def _turn_cold(self, replica_index: int) -> None:
        """Turns half of the endpoints cold without a restart, then waits."""
        names = self._endpoint_names(replica_index)[::2]
        await self._site.endpoint_fleet.control("turn_cold", names)
        await trio.sleep(_TURNED_COLD_WAIT_S)
        reports = await self._site.endpoint_fleet.fetch_reports()
        collapses = [reports[n]["counters"]["collapses"] for n in names]
        self.silent_turns += len(names)
        self.silent_collapses += sum(collapses)
        self.silent_collapses_again += sum(c - 1 for c in collapses if c)
        await self._collect_counters("others turned cold", names)

    async def _collect_counters(
        self, phase: str, ignored: Sequence[str] = ()
    ) -> None:
        reports = await self._site.endpoint_fleet.fetch_reports()
        await self._site.endpoint_fleet.control("reset_counters")
        collected = [
            r["counters"] for n, r in reports.items() if n not in ignored
        ]
        self._counters += collected
        self._collapses[phase] += sum(c["collapses"] for c in collected)

    def result(self) -> _context.BenchResult:
        """Returns the counts; those of cold restarts come first."""
        return {
            "peak_over_bearing": max(
                c["peak_over_bearing"] for c in self._counters
            ),
            "collapses": sum(c["collapses"] for c in self._counters),
            "collapses_by_phase": {**self._collapses},
            "node_kills": self.node_kills,
            "owned_ramps": self.owned_ramps,
            "silent_turns": self.silent_turns,
            "silent_collapses": self.silent_collapses,
            "silent_collapses_again": self.silent_collapses_again,
        }


async def run(options: _context.BenchOptions) -> _context.BenchResult:
    """Returns by how much requests exceeded cold endpoints' capacity."""
    rounds = _QUICK_ROUNDS if options.quick else _ROUNDS
    site = _context.build_site(
        options,
        _context.search_size(_SERVICES),
        endpoint_settings={"mean_service_ms": _MEAN_SERVICE_MS, "cold": True},
    )
    round_s = (
        _RESTART_TO_KILL_S + _SETTLE_S + _TURNED_COLD_WAIT_S + _ROUND_MARGIN_S
    )
    reports: list[_report.LoadReport] = []
    fault_injector = _FaultInjector(site)
    async with site:
        group = site.options.size.groups[0]
        capacity = _context.search_capacity_per_s(group, _MEAN_SERVICE_MS)
        spec = _context.build_load(
            site,
            options,
            rate_per_s=capacity * _SLOT_USE_PCT / 100,
            duration_s=_WARM_UP_S + rounds * round_s,
        )

        async def load() -> None:
            reports.append(
                await _generator.run_load(spec, site.directory, "coldstart")
            )

        async with trio.open_nursery() as nursery:
            nursery.start_soon(load)
            nursery.start_soon(fault_injector.run, rounds)
    return {**fault_injector.result(), "counts": reports[0].counts}
