"""Small real sites for process tests, and checks of what their callers get."""

from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses
from typing import Any

import httpcore
import trio

from bench import _verify
import devsite

# Long enough for a loaded machine; no test depends on it to pass.
CONDITION_TIMEOUT_S = 40.0
_POLL_S = 0.05
_CALL_PAUSE_S = 0.01
DEADLINE_MS = 2000.0
SUBSIDIARY = "acme"


def build_size(services: int = 2, shards: int = 1) -> devsite.SiteSize:
    """Returns a site size with a set `search` and a service `ledger`."""
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
    """Returns a site that is started when its context is entered."""
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
        AssertionError: It did not hold in a very long time.
    """
    with trio.move_on_after(CONDITION_TIMEOUT_S):
        while not await condition():
            await trio.sleep(_POLL_S)
        return
    raise AssertionError(f"never true: {condition.__qualname__}")


def all_shards(document: Any) -> list[str]:
    """Returns the qualified shards of the set `search`."""
    return [
        f"{SUBSIDIARY}/{service.name}/{shard.name}"
        for service in document.subsidiaries[0].services
        if service.name != "ledger"
        for shard in service.shards
    ]


@dataclasses.dataclass
class Load:
    """Searches that run one after the other, and what was wrong with them.

    Attributes:
        answered: Answers with status 200.
        full: Answers that cover all shards.
        faults: Answers that were not whole, own or true on coverage.
        broken: Connections that broke, of nodes that were not killed.
        refusals: Codes of other answers.
        snapshots: Snapshots of the answers.
    """

    answered: int = 0
    full: int = 0
    faults: list[str] = dataclasses.field(default_factory=list)
    broken: list[str] = dataclasses.field(default_factory=list)
    refusals: list[str] = dataclasses.field(default_factory=list)
    snapshots: set[int] = dataclasses.field(default_factory=set)

    def check(
        self, reply: devsite.CallerReply, shards: list[str], query: str
    ) -> None:
        """Adds an answer."""
        answer = reply.answer
        if reply.status != 200:
            self.refusals.append(answer.get("result_name", str(reply.status)))
            return
        check = _verify.check_answer(answer, shards, query)
        self.answered += 1
        self.full += check.coverage_pct >= 100
        self.snapshots.add(answer["snapshot"])
        if not (check.hits_match and check.complete and check.coverage_correct):
            self.faults.append(f"{check}: {answer['coverage']}")


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
        node_ids: Nodes that are asked in turn over kept connections.
        shards_of: Returns the shards that an answer should speak of; by
            default those of the site's document.
        callers: Searches at the same time.
    """
    load = Load()
    default = all_shards(site.document)
    ended = trio.Event()

    async def call(index: int) -> None:
        clients = {n: devsite.CallerClient(site.caller_port(n)) for n in ids}
        number = index
        while not ended.is_set():
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
                load.broken.append(f"{node_id}: {error!r}")
            else:
                shards = shards_of(reply.answer) if shards_of else default
                load.check(reply, shards, query)
            number += callers
            await trio.sleep(_CALL_PAUSE_S)

    ids = list(node_ids)
    async with trio.open_nursery() as nursery:
        for index in range(callers):
            nursery.start_soon(call, index)
        yield load
        ended.set()


async def wait_answers(load: Load, more: int, *, full: bool = True) -> None:
    """Waits until a load has got so many further answers."""
    name = "full" if full else "answered"
    target = getattr(load, name) + more

    async def enough() -> bool:
        return getattr(load, name) >= target

    await wait_until(enough)


async def bill(
    site: devsite.Site, node_id: str, key: str
) -> devsite.CallerReply:
    """Sends a request that must not be repeated; its query is the key."""
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


async def executions(site: devsite.Site) -> dict[str, int]:
    """Returns how often the endpoints ran each query."""
    counts: dict[str, int] = {}
    reports = await site.endpoints.reports(executed=True)
    for report in reports.values():
        for query, count in report["executed_queries"].items():
            counts[query] = counts.get(query, 0) + count
    return counts
