"""Benchmark `outage`: a node is killed and one started in a store outage."""

import time

import trio

from bench import _context
from bench import _generator
from bench import _operators
from bench import _report
import devsite

_SERVICES = 4
_NODES = 8
_RATE_PER_S = 100.0
_LOAD_BEFORE_OUTAGE_S = 4.0
_OUTAGE_S = 30.0
_QUICK_OUTAGE_S = 15.0
_KILL_AFTER_S = 3.0
_START_AFTER_S = 6.0
_LOAD_AFTER_OUTAGE_S = 6.0
_RECOVERY_TIMEOUT_S = 30.0
_POLL_S = 0.1


class _Outage:
    """The faults of one run, and how the site recovers from them.

    Attributes:
        started_ready_s: Time until the node that was started during the
            outage was ready.
        recovered_s: Time from the end of the outage until a change was
            accepted and in force at all running nodes, the node started
            during the outage was a member, and a coordinator was known.
    """

    def __init__(
        self, site: devsite.Site, poller: _operators.RevisionPoller
    ) -> None:
        self._site = site
        self._poller = poller
        self._killed_node_id = site.node_ids[1]
        self._started_node_id = site.node_ids[-1]
        self._running_node_ids = [
            n for n in site.node_ids if n != self._killed_node_id
        ]
        self.started_ready_s = 0.0
        self.recovered_s = 0.0

    async def run(self, outage_s: float) -> None:
        """Injects the faults and waits until the site has recovered."""
        site = self._site
        await trio.sleep(_LOAD_BEFORE_OUTAGE_S)
        await _operators.control_store(site, down="refuse")
        end_s = trio.current_time() + outage_s
        await trio.sleep(_KILL_AFTER_S)
        site.kill_node(self._killed_node_id)
        await trio.sleep(_START_AFTER_S - _KILL_AFTER_S)
        started_s = trio.current_time()
        site.start_node(self._started_node_id)
        await site.wait_ready([self._started_node_id])
        self.started_ready_s = trio.current_time() - started_s
        await trio.sleep(max(0.0, end_s - trio.current_time() - outage_s / 3))
        # Unlike refused calls, calls that hang last until the callers'
        # timeouts.
        await _operators.control_store(site, down="hang")
        await trio.sleep(max(0.0, end_s - trio.current_time()))
        await _operators.control_store(site, down="")
        store_up_s = time.monotonic()
        with trio.move_on_after(_RECOVERY_TIMEOUT_S):
            await self._wait_recovered()
        self.recovered_s = time.monotonic() - store_up_s

    async def _wait_recovered(self) -> None:
        clients = [
            _operators.OperatorClient(self._site, node_id, 2.0)
            for node_id in self._running_node_ids
        ]
        revision = 0
        while not revision:
            shown = await clients[0].show()
            if shown.status == 200 and shown.value["from_store"]:
                reply = await clients[0].apply(
                    shown.value["text"] + "\n# changed after the outage\n",
                    int(shown.value["revision"]),
                )
                revision = int(reply.value.get("revision", 0))
            await trio.sleep(_POLL_S)
        await self._poller.wait_in_force(
            self._running_node_ids, revision, _RECOVERY_TIMEOUT_S
        )
        for client in clients:
            while not self._has_recovered((await client.status()).value):
                await trio.sleep(_POLL_S)

    def _has_recovered(self, status: _context.BenchResult) -> bool:
        alive = {
            member["node"]
            for member in status.get("members", ())
            if member["state"] == "alive"
        }
        return (
            set(self._running_node_ids) <= alive
            and bool(status["majority"])
            and bool(status["coordinator"])
        )


async def run(options: _context.BenchOptions) -> _context.BenchResult:
    """Returns the success share, reverts and recovery time."""
    outage_s = _QUICK_OUTAGE_S if options.quick else _OUTAGE_S
    site = _context.build_site(
        options, _context.search_size(_SERVICES), node_count=_NODES
    )
    reports: list[_report.LoadReport] = []
    async with site:
        await site.terminate_node(site.node_ids[-1], 10)
        poller = _operators.RevisionPoller(site)
        outage = _Outage(site, poller)
        spec = _context.build_load(
            site,
            options,
            rate_per_s=_RATE_PER_S,
            duration_s=_LOAD_BEFORE_OUTAGE_S + outage_s + _LOAD_AFTER_OUTAGE_S,
        )

        async def load() -> None:
            reports.append(
                await _generator.run_load(spec, site.directory, "outage")
            )

        async with trio.open_nursery() as background:
            await background.start(poller.run)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(load)
                nursery.start_soon(outage.run, outage_s)
            background.cancel_scope.cancel()
    counts = reports[0].counts
    return {
        "search_success_pct": round(100 * counts.full / counts.sent, 3),
        "reverts": poller.reverts,
        "recovered_s": round(outage.recovered_s, 2),
        "started_ready_s": round(outage.started_ready_s, 2),
        "outage_s": outage_s,
        "counts": counts,
    }
