"""Checks the repeats that all nodes of a large site send to one service."""

import unittest

import trio
import trio.testing

from geraniumstair import forward
from tests import builders_gateway as builders

LIMITS = forward.BudgetLimits(ratio=0.2, window_s=10.0, extra_repeats=430.0)
# The shard is also the service of a route to single endpoints.
SHARD = "s0"
SHARD_COUNT = 60
ZONES = "abcde"
LARGE_NODES_PER_ZONE = 3
SMALL_NODES_PER_ZONE = 36
STEP_S = 0.1
# In steps of `STEP_S`, how often a node gets a request.
SINGLE_REQUEST_STEPS = 11
GROUP_REQUEST_STEPS = 5
MAX_REPEATS = 7


def _build_nodes() -> dict[str, forward.NodeInfo]:
    return {
        f"{size}-{zone}-{i}": forward.NodeInfo(zone, cores)
        for zone in ZONES
        for size, count, cores in (
            ("large", LARGE_NODES_PER_ZONE, 2.15),
            ("small", SMALL_NODES_PER_ZONE, 0.5),
        )
        for i in range(count)
    }


class _Site:
    """Nodes that repeat each request as often as their budgets allow."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self._nursery = nursery
        self._infos = _build_nodes()
        self.requests_s: list[float] = []
        self.repeats_s: list[float] = []
        self.start_all()

    def start_all(self) -> None:
        """Starts all nodes, or restarts them without what they saved."""
        self.budgets = {n: self._start(n) for n in self._infos}

    def _start(self, node_id: str) -> forward.RetryBudget:
        fixture = builders.ForwarderFixture(
            self._nursery,
            [builders.endpoint_entry("x", service=SHARD)],
            [
                builders.search_route([f"s{i}" for i in range(SHARD_COUNT)]),
                builders.route(parts=(builders.split_part(SHARD),)),
            ],
            budget=LIMITS,
            node_id=node_id,
        )
        fixture.set_nodes(self._infos)
        return fixture.budget

    async def run(self, duration_s: float, *, repeats: int) -> None:
        """Sends requests to all nodes for some time."""
        for step in range(round(duration_s / STEP_S)):
            await trio.sleep(STEP_S)
            for index, (node_id, budget) in enumerate(self.budgets.items()):
                calls_groups = node_id.startswith("large")
                steps = (
                    GROUP_REQUEST_STEPS
                    if calls_groups
                    else SINGLE_REQUEST_STEPS
                )
                if (step + index) % steps == 0:
                    self._handle_request(budget, repeats)

    def _handle_request(
        self, budget: forward.RetryBudget, repeats: int
    ) -> None:
        now_s = trio.current_time()
        budget.record_request(SHARD)
        self.requests_s.append(now_s)
        for _ in range(repeats):
            if budget.try_consume(SHARD):
                self.repeats_s.append(now_s)

    def list_windows(self) -> list[tuple[int, float]]:
        """Returns the repeats and what is allowed, for each second."""
        windows = []
        for end in range(int(max(self.requests_s)) + 1):
            start = end - LIMITS.window_s
            repeats = sum(start < t <= end for t in self.repeats_s)
            requests = sum(start < t <= end for t in self.requests_s)
            allowed = LIMITS.ratio * requests + LIMITS.extra_repeats
            windows.append((repeats, allowed))
        return windows


class LargeSiteRepeatsTest(unittest.TestCase):
    """Guards against repeats of a large site beyond what it allows."""

    def test_all_nodes_call_a_shard_that_few_nodes_call_for_searches(
        self,
    ) -> None:
        async def test(nursery: trio.Nursery) -> None:
            site = _Site(nursery)
            await site.run(20, repeats=0)
            await site.run(20, repeats=MAX_REPEATS)
            windows = site.list_windows()
            for repeats, allowed in windows:
                self.assertLessEqual(repeats, allowed)
            # The nodes also use a good part of what is allowed.
            self.assertGreater(windows[-1][0], 0.5 * windows[-1][1])

        builders.run_on_virtual_clock(test)

    def test_a_node_that_was_idle_may_repeat_its_first_request(self) -> None:
        # A node asks for shards again if the node that calls them is lost.
        async def test(nursery: trio.Nursery) -> None:
            site = _Site(nursery)
            await trio.sleep(30)
            for budget in site.budgets.values():
                budget.record_request(SHARD)
                self.assertTrue(budget.try_consume(SHARD))

        builders.run_on_virtual_clock(test)

    def test_the_shares_of_all_nodes_add_up_to_one(self) -> None:
        async def test(nursery: trio.Nursery) -> None:
            nodes = _build_nodes()
            total = {SHARD: 0.0, f"s{SHARD_COUNT - 1}": 0.0, "other": 0.0}
            for node_id in nodes:
                pool = builders.ForwarderFixture(
                    nursery,
                    [
                        builders.endpoint_entry(
                            f"{service}-{zone}",
                            service=service,
                            availability_zone=zone,
                        )
                        for service in total
                        for zone in "ab"
                    ],
                    [
                        builders.search_route(
                            [f"s{i}" for i in range(SHARD_COUNT)]
                        )
                    ],
                    node_id=node_id,
                ).pool
                pool.set_group_nodes(forward.select_delegation_nodes(nodes))
                pool.set_members(nodes)
                for service in total:
                    total[service] += pool.repeat_share(service)
            for service, share in total.items():
                with self.subTest(service=service):
                    self.assertAlmostEqual(share, 1.0)

        builders.run_on_virtual_clock(test)

    def test_a_restart_of_all_nodes_gives_them_few_repeats(self) -> None:
        async def test(nursery: trio.Nursery) -> None:
            site = _Site(nursery)
            await site.run(20, repeats=0)
            await site.run(4, repeats=MAX_REPEATS)
            site.start_all()
            await site.run(10, repeats=MAX_REPEATS)
            for repeats, allowed in site.list_windows():
                self.assertLessEqual(repeats, allowed)

        builders.run_on_virtual_clock(test)


if __name__ == "__main__":
    unittest.main()
