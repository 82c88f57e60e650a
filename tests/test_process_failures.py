"""Tests of failing nodes, store and endpoints with real processes."""

import copy
import signal
from typing import Any
import unittest

import httpcore
import trio

import devsite
from tests import builders_site

_LEDGER = "acme/ledger/p0/r1"
_SEARCH = "acme/search-0/p0/r1"
# Result names of refused requests that could not be answered in time.
_REFUSED_FOR_LOAD = ("OVERLOADED", "DEADLINE_TOO_SHORT")


async def _wait_for_owner(site: devsite.Site, shard: str) -> str:
    async def has_owner() -> bool:
        return shard in await site.fetch_shard_owners()

    await builders_site.wait_until(has_owner)
    return (await site.fetch_shard_owners())[shard]


class OwnerFailureTest(unittest.TestCase):
    """Guards against wrong, broken or duplicate work when an owner fails."""

    def test_killed_owner_breaks_no_searches_at_other_nodes(self) -> None:
        async def scenario(site: devsite.Site) -> None:
            owner = await _wait_for_owner(site, _SEARCH)
            others = [n for n in site.node_ids if n != owner]
            async with builders_site.open_load(site, others) as load:
                await builders_site.wait_for_answers(load, 30)
                site.kill_node(owner)
                await builders_site.wait_for_answers(load, 60)

                async def is_taken_over() -> bool:
                    return (await site.fetch_shard_owners()).get(
                        _SEARCH
                    ) in others

                await builders_site.wait_until(is_taken_over)
                await builders_site.wait_for_answers(load, 30)
            self.assertEqual(
                (load.wrong_answers, load.connection_errors), ([], [])
            )

        builders_site.run_site(scenario)

    def test_paused_owner_runs_nothing_twice_after_resuming(self) -> None:
        async def scenario(site: devsite.Site) -> None:
            owner = await _wait_for_owner(site, _LEDGER)
            others = [n for n in site.node_ids if n != owner]
            keys = [f"bill-{i}" for i in range(40)]
            refused: set[str] = set()
            finished: set[str] = set()
            refused_for_load: set[str] = set()
            results: dict[str, list[str]] = {}
            first_answer = trio.Event()

            async def send(key: str) -> None:
                replies = []
                for node_id in others:
                    replies.append(
                        await builders_site.send_bill(site, node_id, key)
                    )
                    if replies[-1].status == 200:
                        first_answer.set()
                    name = replies[-1].answer["result_name"]
                    results.setdefault(key, []).append(name)
                    if name in _REFUSED_FOR_LOAD:
                        refused_for_load.add(key)
                finished.add(key)
                if all(r.answer["not_run"] for r in replies):
                    refused.add(key)

            async with trio.open_nursery() as nursery:
                for key in keys[:20]:
                    nursery.start_soon(send, key)
                # The owner is paused after a request has run. After a fixed
                # time, a slow owner might have claimed all requests and run
                # none, which is allowed but tests nothing.
                with trio.fail_after(builders_site.CONDITION_TIMEOUT_S):
                    await first_answer.wait()
                site.pause_node(owner)
                self.assertLess(len(finished), 20)
            await self._wait_for_takeover(site, owner)
            names = [n for n in site.endpoint_fleet.endpoints if "ledger" in n]
            await site.endpoint_fleet.control("kill", names)
            await site.endpoint_fleet.control("start", names, cold=True)
            # A node that noticed that the endpoints were killed refuses
            # requests until its next attempt to connect, which is allowed but
            # tests nothing.
            await self._wait_until_reachable(site, others, names)
            async with trio.open_nursery() as nursery:
                for key in keys[20:]:
                    nursery.start_soon(send, key)
                site.resume_node(owner)
            counts = await builders_site.count_executions(site)
            self.assertEqual([k for k in refused if k in counts], [])
            for key in keys:
                await builders_site.send_bill(site, owner, key)
            counts = await builders_site.count_executions(site)
            self.assertEqual([k for k in keys if counts.get(k, 0) > 1], [])
            # On a busy machine, the requests may exceed the capacity of the
            # cold endpoints. Those refused for that reason rightly did not
            # run, so they are counted here too.
            self.assertGreater(
                len(refused_for_load | set(counts)), len(keys) // 2, results
            )
            reports = await site.endpoint_fleet.fetch_reports()
            excess = [
                reports[n]["counters"]["peak_over_bearing"] for n in names
            ]
            self.assertEqual(max(excess), 0)

        builders_site.run_site(scenario)

    async def _wait_for_takeover(self, site: devsite.Site, owner: str) -> None:
        async def is_taken_over() -> bool:
            return (await site.fetch_shard_owners()).get(
                _LEDGER, owner
            ) != owner

        await builders_site.wait_until(is_taken_over)

    async def _wait_until_reachable(
        self, site: devsite.Site, node_ids: list[str], names: list[str]
    ) -> None:
        """Waits until endpoints listen and nodes don't report otherwise."""
        specs = [
            spec
            for spec in builders_site.all_endpoints(site.document)
            if spec.name in names
        ]

        async def are_reachable() -> bool:
            try:
                for spec in specs:
                    stream = await trio.open_tcp_stream(spec.address, spec.port)
                    await stream.aclose()
            except OSError:
                return False
            unreachable: set[str] = set()
            for node_id in node_ids:
                dump = await site.fetch_state_dump(node_id)
                for shard in dump["dispatch"]["shards"]:
                    unreachable |= {
                        e["endpoint"]
                        for e in shard["endpoints"]
                        if e["unreachable"]
                    }
            return unreachable.isdisjoint(names)

        await builders_site.wait_until(are_reachable)


class StoreOutageTest(unittest.TestCase):
    """Guards against searches that need the store, and runs without claim."""

    def test_searches_succeed_and_claims_are_refused(self) -> None:
        async def scenario(site: devsite.Site) -> None:
            node_id = site.node_ids[0]
            reply = await builders_site.send_bill(site, node_id, "before")
            self.assertEqual(reply.status, 200)
            async with builders_site.open_load(site, site.node_ids) as load:
                await site.control_store(down="hang")
                await builders_site.wait_for_answers(load, 60)
                for node_id in site.node_ids:
                    reply = await builders_site.send_bill(
                        site, node_id, "during"
                    )
                    self.assertIs(reply.answer["not_run"], True, reply)
                await site.control_store(down="")

                async def is_granted() -> bool:
                    reply = await builders_site.send_bill(
                        site, node_id, "after"
                    )
                    return reply.status == 200

                await builders_site.wait_until(is_granted)
                await builders_site.wait_for_answers(load, 10)
            counts = await builders_site.count_executions(site)
            self.assertNotIn("during", counts)
            self.assertEqual((counts["before"], counts["after"]), (1, 1))
            self.assertEqual(
                (load.wrong_answers, load.connection_errors), ([], [])
            )
            self.assertEqual(load.refusals, [])

        builders_site.run_site(scenario)


class EndpointAnswerTest(unittest.TestCase):
    """Guards against answers of another request, snapshot or partitioning."""

    def test_crossed_answers_are_dropped(self) -> None:
        async def scenario(site: devsite.Site) -> None:
            async with builders_site.open_load(site, site.node_ids) as load:
                await builders_site.wait_for_answers(load, 20)
                await site.endpoint_fleet.control(
                    "configure",
                    settings={"crossed_pct": 10, "crossed_snapshot_pct": 10},
                )
                await builders_site.wait_for_answers(load, 100, full=False)
            self.assertGreater(
                await site.endpoint_fleet.sum_counter("crossed"), 0
            )
            self.assertEqual(
                (load.wrong_answers, load.connection_errors), ([], [])
            )

        builders_site.run_site(scenario)

    def test_snapshot_switch_breaks_no_searches(self) -> None:
        async def scenario(site: devsite.Site) -> None:
            async with builders_site.open_load(site, site.node_ids) as load:
                await builders_site.wait_for_answers(load, 20)
                for snapshots in ([1, 2], [2], [2, 3], [3]):
                    for name in site.endpoint_fleet.endpoints:
                        await site.endpoint_fleet.control(
                            "configure",
                            [name],
                            settings={"snapshots": snapshots},
                        )
                    await builders_site.wait_for_answers(load, 30)

                async def is_switched() -> bool:
                    return 3 in load.snapshots

                await builders_site.wait_until(is_switched)
            self.assertEqual(
                (load.wrong_answers, load.connection_errors), ([], [])
            )
            self.assertLessEqual(load.snapshots, {1, 2, 3})

        builders_site.run_site(scenario)

    def test_repartition_under_load_is_never_mixed(self) -> None:
        async def scenario(site: devsite.Site) -> None:
            new_document = self._new_document
            new_shards = builders_site.all_shards(new_document)
            old_shards = builders_site.all_shards(site.document)
            shard_counts: set[int] = set()

            def shards_of(answer: dict[str, Any]) -> list[str]:
                asked = answer["coverage"]["asked"]
                shard_counts.add(asked)
                return old_shards if asked == len(old_shards) else new_shards

            async with builders_site.open_load(
                site, site.node_ids, shards_of
            ) as load:
                await builders_site.wait_for_answers(load, 30)
                await site.apply(new_document, base=1)

                async def is_repartitioned() -> bool:
                    return len(new_shards) in shard_counts

                await builders_site.wait_until(is_repartitioned)
                await builders_site.wait_for_answers(load, 60)
            self.assertEqual(shard_counts, {len(old_shards), len(new_shards)})
            self.assertEqual(
                (load.wrong_answers, load.connection_errors), ([], [])
            )

        async def main() -> None:
            size = builders_site.build_size(shards=2)
            site = builders_site.open_site(size=size)
            self._new_document = copy.deepcopy(site.document)
            for service in site.document.subsidiaries[0].services:
                if service.name != "ledger":
                    del service.shards[1:]
            async with site:
                await scenario(site)

        trio.run(main)


class LeavingTest(unittest.TestCase):
    """Guards against new work for leaving endpoints, and broken requests."""

    def test_draining_endpoints_get_no_new_work(self) -> None:
        async def scenario(site: devsite.Site) -> None:
            names = [
                n for n in site.endpoint_fleet.endpoints if n.endswith("-e0")
            ]
            async with builders_site.open_load(site, site.node_ids) as load:
                await builders_site.wait_for_answers(load, 30)
                await site.endpoint_fleet.control("drain", names)
                await self._wait_for_draining(site, names)
                before = await self._count_executed(site, names)
                await builders_site.wait_for_answers(load, 60)
                self.assertEqual(
                    await self._count_executed(site, names), before
                )
            self.assertEqual(
                (load.wrong_answers, load.connection_errors), ([], [])
            )
            self.assertEqual(load.refusals, [])

        builders_site.run_site(scenario)

    async def _wait_for_draining(
        self, site: devsite.Site, names: list[str]
    ) -> None:
        async def are_draining() -> bool:
            draining: set[str] = set()
            for node_id in site.node_ids:
                dump = await site.fetch_state_dump(node_id)
                for shard in dump["dispatch"]["shards"]:
                    if shard["authority"] == "full":
                        draining |= {
                            e["endpoint"]
                            for e in shard["endpoints"]
                            if e["draining"] and not e["in_flight"]
                        }
            return draining >= set(names)

        await builders_site.wait_until(are_draining)

    async def _count_executed(
        self, site: devsite.Site, names: list[str]
    ) -> list[int]:
        reports = await site.endpoint_fleet.fetch_reports()
        return [reports[name]["counters"]["executed"] for name in names]

    def test_vm_list_with_all_vms_leaving_stops_no_search(self) -> None:
        async def scenario(site: devsite.Site) -> None:
            specs = builders_site.all_endpoints(site.document)
            await site.control_vm_list(
                vms=[
                    {
                        "vm": spec.vm,
                        "address": spec.address,
                        "availability_zone": spec.availability_zone,
                        "state": "leaving",
                    }
                    for spec in specs
                ]
            )

            async def are_listed() -> bool:
                dump = await site.fetch_state_dump(site.node_ids[0])
                return all(
                    e["on_leaving_vm"]
                    for s in dump["dispatch"]["shards"]
                    for e in s["endpoints"]
                )

            await builders_site.wait_until(are_listed)
            async with builders_site.open_load(site, site.node_ids) as load:
                await builders_site.wait_for_answers(load, 60)
            self.assertEqual(
                (load.wrong_answers, load.connection_errors), ([], [])
            )
            self.assertEqual(load.refusals, [])

        builders_site.run_site(scenario)

    def test_only_node_serves_during_its_drain(self) -> None:
        async def scenario(site: devsite.Site) -> None:
            (node_id,) = site.node_ids
            shards = builders_site.all_shards(site.document)
            load = builders_site.Load()
            port = site.caller_port(node_id)
            async with devsite.CallerClient(port) as client:
                site.nodes[node_id].signal(signal.SIGTERM)

                async def is_not_ready() -> bool:
                    return not await client.is_ready()

                await builders_site.wait_until(is_not_ready)
                while site.nodes[node_id].running:
                    query = f"q{load.answered}"
                    try:
                        reply = await client.search("acme", "search", query)
                    except httpcore.ConnectError:
                        break
                    load.check(reply, shards, query)
            self.assertEqual(await site.nodes[node_id].wait(), 0)
            self.assertGreater(load.full, 10)
            self.assertEqual(load.full, load.answered)
            self.assertLessEqual(set(load.refusals), {"SHUTTING_DOWN"})

        builders_site.run_site(
            scenario, node_count=1, node_settings={"drain_grace_ms": 3000}
        )
