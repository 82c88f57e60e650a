"""Sites of real processes, and searches that check the sites' answers."""

from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses
from typing import Any

import httpcore
import trio

from bench import _verify
import devsite

# Long enough for a loaded machine; a test that passes ends earlier.
CONDITION_TIMEOUT_S = 40.0
_POLL_S = 0.05
_CALL_PAUSE_S = 0.01
DEADLINE_MS = 2000.0
SUBSIDIARY = "acme"


def build_size(services: int = 2, shards: int = 1) -> devsite.SiteSize:
    """Returns a size with a service set `search` and a service `ledger`."""
    return devsite.SiteSize(
        SUBSIDIARY,
        "r1",
        (
            devsite.ServiceGroup(
                "search",
                services=services,
                shards=shards,
                connection_cost_ms=1.0,
                preference="coverage",
            ),
            devsite.ServiceGroup("ledger", connection_cost_ms=1.0),
        ),
    )


def open_site(
    node_count: int = 3,
    size: devsite.SiteSize | None = None,
    node_settings: dict[str, Any] | None = None,
    **endpoint_settings: Any,
) -> devsite.Site:
    """Returns a site that starts when its context is entered."""
    return devsite.Site(
        devsite.SiteOptions(
            size=size or build_size(),
            node_count=node_count,
            endpoint_settings={"straggler_pct": 0.0} | endpoint_settings,
            node_settings={"drain_grace_ms": 300} | (node_settings or {}),
        )
    )


def run_site(
    scenario: Callable[[devsite.Site], Awaitable[None]], **options: Any
) -> None:
    """Runs a scenario against a site that has started."""

    async def main() -> None:
        async with open_site(**options) as site:
            await scenario(site)

    trio.run(main)


async def wait_until(condition: Callable[[], Awaitable[bool]]) -> None:
    """Polls a condition until it holds.

    Raises:
        AssertionError: The condition did not hold before the timeout.
    """
    with trio.move_on_after(CONDITION_TIMEOUT_S):
        while not await condition():
            await trio.sleep(_POLL_S)
        return
    raise AssertionError(
        f"condition did not hold in time: {condition.__qualname__}"
    )


def all_shards(document: Any) -> list[str]:
    """Returns the qualified names of the shards of `search`."""
    return [
        f"{SUBSIDIARY}/{service.name}/{shard.name}"
        for service in document.subsidiaries[0].services
        if service.name != "ledger"
        for shard in service.shards
    ]


def all_endpoints(document: Any) -> list[Any]:
    """Returns the specifications of all endpoints."""
    return [
        endpoint
        for service in document.subsidiaries[0].services
        for shard in service.shards
        for endpoint in shard.endpoints
    ]


@dataclasses.dataclass
class Load:
    """Results of the searches sent by `open_load`.

    Attributes:
        answered: Answers with status 200.
        full: Answers that cover all shards.
        wrong_answers: Answers with missing or foreign hits or a wrong coverage.
        connection_errors: Errors and timeouts of connections to the nodes.
        refusals: Result names of replies without status 200.
        snapshots: Snapshots of the answers.
    """

    answered: int = 0
    full: int = 0
    wrong_answers: list[str] = dataclasses.field(default_factory=list)
    connection_errors: list[str] = dataclasses.field(default_factory=list)
    refusals: list[str] = dataclasses.field(default_factory=list)
    snapshots: set[int] = dataclasses.field(default_factory=set)

    def check(
        self, reply: devsite.CallerReply, shards: list[str], query: str
    ) -> None:
        """Counts a reply and checks its answer."""
        answer = reply.answer
        if reply.status != 200:
            self.refusals.append(answer.get("result_name", str(reply.status)))
            return
        check = _verify.check_answer(answer, shards, query)
        self.answered += 1
        self.full += check.coverage_pct >= 100
        self.snapshots.add(answer["snapshot"])
        if not (check.hits_match and check.complete and check.coverage_correct):
            self.wrong_answers.append(f"{check}: {answer['coverage']}")


@contextlib.asynccontextmanager
async def open_load(
    site: devsite.Site,
    node_ids: list[str],
    shards_of: Callable[[dict[str, Any]], list[str]] | None = None,
    callers: int = 3,
):
    """Sends searches to nodes until the context is left.

    Args:
        site: The site.
        node_ids: Nodes that each caller queries in turn over persistent
            connections.
        shards_of: Returns the shards that an answer should cover; by default
            those of the site's document.
        callers: Number of concurrent searches.
    """
    load = Load()
    document_shards = all_shards(site.document)
    stopping = trio.Event()

    async def send_searches(index: int) -> None:
        clients = {n: devsite.CallerClient(site.caller_port(n)) for n in ids}
        number = index
        while not stopping.is_set():
            node_id = ids[number % len(ids)]
            query = f"q{number}"
            try:
                reply = await clients[node_id].search(
                    SUBSIDIARY, "search", query, deadline_ms=DEADLINE_MS
                )
            except (
                httpcore.NetworkError,
                httpcore.RemoteProtocolError,
                httpcore.TimeoutException,
            ) as error:
                load.connection_errors.append(f"{node_id}: {error!r}")
            else:
                shards = (
                    shards_of(reply.answer) if shards_of else document_shards
                )
                load.check(reply, shards, query)
            number += callers
            await trio.sleep(_CALL_PAUSE_S)

    ids = list(node_ids)
    async with trio.open_nursery() as nursery:
        for index in range(callers):
            nursery.start_soon(send_searches, index)
        yield load
        stopping.set()


async def wait_for_answers(load: Load, more: int, *, full: bool = True) -> None:
    """Waits until a load has received `more` further answers."""
    name = "full" if full else "answered"
    target = getattr(load, name) + more

    async def has_enough_answers() -> bool:
        return getattr(load, name) >= target

    await wait_until(has_enough_answers)


async def send_bill(
    site: devsite.Site, node_id: str, key: str
) -> devsite.CallerReply:
    """Sends a non-repeatable request; its query is the idempotency key."""
    async with devsite.CallerClient(site.caller_port(node_id)) as client:
        return await client.search(
            SUBSIDIARY,
            "",
            key,
            service="ledger",
            route="bill",
            deadline_ms=DEADLINE_MS,
            idempotency_key=key,
        )


async def count_executions(site: devsite.Site) -> dict[str, int]:
    """Returns how often the endpoints executed each query."""
    counts: dict[str, int] = {}
    reports = await site.endpoint_fleet.fetch_reports(executed=True)
    for report in reports.values():
        for query, count in report["executed_queries"].items():
            counts[query] = counts.get(query, 0) + count
    return counts
