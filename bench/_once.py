"""Benchmark `once`: non-repeatable requests under faults.

Nodes are killed and paused, and the key-value store drops responses, while
callers retry each unanswered request through other nodes.
"""

from collections.abc import Mapping
import dataclasses

import httpcore
import trio

from bench import _arrivals
from bench import _context
import devsite

_SERVICE = "billing-ledger"
_RATE_PER_S = 50.0
_REQUESTS = 1500
_QUICK_REQUESTS = 1000
_KILLS = 6
_QUICK_KILLS = 5
_NODE_DOWN_S = 1.5
# Longer than a takeover, so that other nodes take over the shards and buckets
# of the paused node.
_OWNER_PAUSE_S = 4.0
_LOST_ANSWERS = 20
_LOSS_INTERVAL_S = 0.7
_ATTEMPTS = 3
_RETRY_PAUSE_S = 0.3
_DEADLINE_MS = 2000.0

_SIZE = devsite.SiteSize(
    "association",
    "osrednja",
    (
        devsite.ServiceGroup(
            _SERVICE,
            replicas=3,
            slots=4,
            connections=100,
            connection_cost_ms=1.0,
        ),
    ),
)


@dataclasses.dataclass
class _RequestOutcome:
    """What the caller of one request received.

    Attributes:
        answered: A reply with status 200 arrived.
        all_refused: Every attempt was refused as not run.
    """

    answered: bool = False
    all_refused: bool = True


class _RetryingCallers:
    """Sends each request up to `_ATTEMPTS` times with the same key."""

    def __init__(self, site: devsite.Site, seed: int) -> None:
        self._site = site
        self._seed = seed
        self._clients = {
            node_id: devsite.CallerClient(site.caller_port(node_id))
            for node_id in site.node_ids
        }
        self.outcomes: dict[str, _RequestOutcome] = {}

    async def send_all(self, requests: int) -> None:
        """Sends the requests at Poisson arrivals."""
        schedule = _arrivals.poisson_schedule(
            _RATE_PER_S, 2 * requests / _RATE_PER_S, self._seed
        )
        start_s = trio.current_time()
        async with trio.open_nursery() as nursery:
            for index, time_s in enumerate(schedule[:requests]):
                await trio.sleep_until(start_s + time_s)
                nursery.start_soon(self._send, index)

    async def _send(self, index: int) -> None:
        query = f"once-{self._seed}-{index}"
        outcome = self.outcomes[query] = _RequestOutcome()
        node_ids = self._site.node_ids
        for attempt in range(_ATTEMPTS):
            node_id = node_ids[(index + attempt) % len(node_ids)]
            await self._send_attempt(node_id, query, outcome)
            if outcome.answered:
                return
            await trio.sleep(_RETRY_PAUSE_S)

    async def _send_attempt(
        self, node_id: str, query: str, outcome: _RequestOutcome
    ) -> None:
        try:
            reply = await self._clients[node_id].search(
                "association",
                "",
                query,
                service=_SERVICE,
                route="bill",
                deadline_ms=_DEADLINE_MS,
                idempotency_key=query,
            )
        except (httpcore.ConnectError, httpcore.ConnectTimeout):
            return
        except (
            httpcore.NetworkError,
            httpcore.RemoteProtocolError,
            httpcore.TimeoutException,
        ):
            outcome.all_refused = False
            return
        outcome.answered = reply.status == 200
        if reply.answer.get("not_run") is not True:
            outcome.all_refused = False


async def _inject_node_faults(
    site: devsite.Site, kills: int, kill_interval_s: float
) -> None:
    """Kills and restarts nodes in turn; pauses the shard's owner once."""
    for index in range(kills):
        await trio.sleep(kill_interval_s)
        if index == kills // 2:
            await _pause_owner(site)
        node_id = site.node_ids[index % len(site.node_ids)]
        site.kill_node(node_id)
        await trio.sleep(_NODE_DOWN_S)
        site.start_node(node_id)


async def _pause_owner(site: devsite.Site) -> None:
    """Pauses the shard's owner, which is a claim server as well."""
    owners = await site.fetch_shard_owners()
    for node_id in owners.values():
        site.pause_node(node_id)
    await trio.sleep(_OWNER_PAUSE_S)
    for node_id in owners.values():
        site.resume_node(node_id)


async def _lose_answers(site: devsite.Site, count: int) -> None:
    """Makes the store drop the responses of single calls."""
    for _ in range(count):
        await trio.sleep(_LOSS_INTERVAL_S)
        await site.control_store(lose_next_answers=1)


def _count_outcomes(
    outcomes: Mapping[str, _RequestOutcome], executed: Mapping[str, int]
) -> _context.BenchResult:
    return {
        "ran_twice": sum(executed.get(query, 0) > 1 for query in outcomes),
        "refused_but_ran": sum(
            outcome.all_refused and query in executed
            for query, outcome in outcomes.items()
        ),
        "answered": sum(outcome.answered for outcome in outcomes.values()),
        "answered_but_not_run": sum(
            outcome.answered and query not in executed
            for query, outcome in outcomes.items()
        ),
    }


async def run(options: _context.BenchOptions) -> _context.BenchResult:
    """Returns how many requests ran twice or ran although refused."""
    requests = _QUICK_REQUESTS if options.quick else _REQUESTS
    kills = _QUICK_KILLS if options.quick else _KILLS
    site = _context.build_site(options, _SIZE, endpoint_processes=1)
    async with site:
        callers = _RetryingCallers(site, options.seed)
        kill_interval_s = (requests / _RATE_PER_S - _OWNER_PAUSE_S) / (
            kills + 1
        ) - _NODE_DOWN_S
        async with trio.open_nursery() as nursery:
            nursery.start_soon(callers.send_all, requests)
            nursery.start_soon(
                _inject_node_faults, site, kills, kill_interval_s
            )
            nursery.start_soon(_lose_answers, site, _LOST_ANSWERS)
        reports = await site.endpoint_fleet.fetch_reports(executed=True)
    executed: dict[str, int] = {}
    for report in reports.values():
        for query, count in report["executed_queries"].items():
            executed[query] = executed.get(query, 0) + count
    result = {
        "requests": len(callers.outcomes),
        "node_kills": kills,
        "owner_pauses": 1,
        "lost_store_answers": _LOST_ANSWERS,
    }
    return result | dict(_count_outcomes(callers.outcomes, executed))
