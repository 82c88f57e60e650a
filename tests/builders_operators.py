"""Harness of a site of real processes for tests of operators' calls."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
from typing import Any

import trio

from bench import _operators
import devsite

_CONDITION_TIMEOUT_S = 90.0
_POLL_S = 0.05


class SiteHarness:
    """Running site with operator clients of all its nodes.

    Attributes:
        site: The site.
        operators: Operator clients by node id.
    """

    def __init__(self, site: devsite.Site) -> None:
        self.site = site
        self.operators = {
            node_id: _operators.OperatorClient(site, node_id, 5.0)
            for node_id in site.node_ids
        }

    async def status(self, node_id: str) -> Mapping[str, Any]:
        """Returns a node's status; empty if the node does not return it."""
        reply = await self.operators[node_id].status()
        return reply.value if reply.status == 200 else {}

    async def membership_dump(self, node_id: str) -> Mapping[str, Any]:
        """Returns the membership part of a node's state dump."""
        reply = await self.operators[node_id].call("GET", "/v1/dump")
        return reply.value.get("membership", {})

    async def wait_until(
        self, condition: Callable[[], Awaitable[bool]]
    ) -> None:
        """Polls a condition until it holds; fails after a long timeout."""
        with trio.fail_after(_CONDITION_TIMEOUT_S):
            while not await condition():
                await trio.sleep(_POLL_S)

    async def wait_in_force(self, revision: int, *node_ids: str) -> None:
        """Waits until nodes have a revision in force."""
        for node_id in node_ids:

            async def is_in_force(node_id: str = node_id) -> bool:
                status = await self.status(node_id)
                return status.get("revision", 0) >= revision

            await self.wait_until(is_in_force)

    async def gets_full_answer(self, node_id: str, query: str) -> bool:
        """Searches through a node; returns whether the answer is full."""
        subsidiary = self.site.document.subsidiaries[0]
        port = self.site.caller_port(node_id)
        async with devsite.CallerClient(port) as client:
            reply = await client.search(
                subsidiary.name, subsidiary.service_sets[0].name, query
            )
        coverage = reply.answer.get("coverage", {})
        return reply.status == 200 and coverage.get("coverage_pct") == 100

    async def apply(self, node_id: str, marker: str) -> int:
        """Adds a comment to the document; returns the new revision.

        The change is retried until the node accepts it.
        """
        revision = 0

        async def is_accepted() -> bool:
            nonlocal revision
            client = self.operators[node_id]
            shown = await client.show()
            if shown.status != 200 or not shown.value["from_store"]:
                return False
            text = f"{shown.value['text']}\n# {marker}\n"
            reply = await client.apply(text, int(shown.value["revision"]))
            revision = int(reply.value.get("revision", 0))
            return reply.status == 200

        await self.wait_until(is_accepted)
        return revision


def run_site(
    scenario: Callable[[SiteHarness], Awaitable[None]], node_count: int
) -> None:
    """Runs a scenario on a started site of real processes."""

    async def main() -> None:
        options = devsite.SiteOptions(node_count=node_count)
        async with devsite.Site(options) as site:
            await scenario(SiteHarness(site))

    trio.run(main)
