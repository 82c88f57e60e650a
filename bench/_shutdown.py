"""Benchmark `shutdown`: graceful restarts of nodes under load."""

import trio

from bench import _context
from bench import _generator
from bench import _report
import devsite

_SERVICES = 4
_RATE_PER_S = 100.0
_RESTARTS = 21
_QUICK_RESTARTS = 6
_RESTART_S = 4.0
_STOP_TIMEOUT_S = 30.0
_FIRST_RESTART_S = 3.0
# Longer than the generator takes to detect that a node is not ready.
_NODE_SETTINGS = {"drain_grace_ms": 1000}


class _RollingRestarts:
    """Rolling restarts of the nodes.

    Attributes:
        under_load: Restarts that ended while searches were still being sent.
        killed: Restarts in which the node did not stop in time and was killed.
        load_ended: Set when no more searches are sent.
    """

    def __init__(self) -> None:
        self.under_load = 0
        self.killed = 0
        self.load_ended = False

    async def run(self, site: devsite.Site, restarts: int) -> None:
        """Restarts one node after the other."""
        await trio.sleep(_FIRST_RESTART_S)
        for index in range(restarts):
            node_id = site.node_ids[index % len(site.node_ids)]
            status = await site.terminate_node(node_id, _STOP_TIMEOUT_S)
            self.killed += status < 0
            site.start_node(node_id)
            await site.wait_ready([node_id])
            self.under_load += not self.load_ended


async def run(options: _context.BenchOptions) -> _context.BenchResult:
    """Returns how many requests the restarts interrupted."""
    restarts = _QUICK_RESTARTS if options.quick else _RESTARTS
    site = _context.build_site(
        options,
        _context.search_size(_SERVICES),
        node_settings=_NODE_SETTINGS,
    )
    reports: list[_report.LoadReport] = []
    rolling_restarts = _RollingRestarts()
    async with site:
        spec = _context.build_load(
            site,
            options,
            rate_per_s=_RATE_PER_S,
            duration_s=_FIRST_RESTART_S + restarts * _RESTART_S,
        )

        async def load() -> None:
            reports.append(
                await _generator.run_load(spec, site.directory, "shutdown")
            )
            rolling_restarts.load_ended = True

        async with trio.open_nursery() as nursery:
            nursery.start_soon(load)
            nursery.start_soon(rolling_restarts.run, site, restarts)
    counts = reports[0].counts
    return {
        "restarts": rolling_restarts.under_load,
        "cut_requests": counts.cut + counts.timed_out + counts.failed,
        "not_stopped_in_time": rolling_restarts.killed,
        "counts": counts,
    }
