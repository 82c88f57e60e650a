"""Tests of operators' changes and coordination with real processes."""

import unittest

import trio

from bench import _operators
import devsite
from tests import builders_operators


class StoreOutageTest(unittest.TestCase):
    """Guards against a site that needs the store to serve or to recover."""

    def test_site_serves_with_a_node_killed_and_one_started(self) -> None:
        builders_operators.run_site(self._scenario, node_count=4)

    async def _scenario(self, harness: builders_operators.SiteHarness) -> None:
        site = harness.site
        first, killed, third, started = site.node_ids
        await site.terminate_node(started, 10)
        revision = await harness.apply(first, "before the outage")
        await harness.wait_in_force(revision, first, killed, third)
        await _operators.control_store(site, down="refuse")
        site.kill_node(killed)
        site.start_node(started)
        await site.wait_ready([started])
        await harness.wait_in_force(revision, started)
        for node_id in (first, third, started):
            await harness.wait_until(
                lambda n=node_id: harness.gets_full_answer(n, "outage")
            )
        # Longer than the time without heartbeats after which a member no
        # longer counts as alive.
        await trio.sleep(2)
        self.assertTrue(await harness.gets_full_answer(started, "still served"))
        status = await harness.status(first)
        self.assertEqual(status["revision"], revision)
        await _operators.control_store(site, down="")
        newer_revision = await harness.apply(first, "after the outage")
        await harness.wait_in_force(newer_revision, first, third, started)

        async def is_member() -> bool:
            members = (await harness.membership_dump(third)).get("members", {})
            return bool(members.get(started, {}).get("alive"))

        await harness.wait_until(is_member)


class OperatorRaceTest(unittest.TestCase):
    """Guards against accepting two changes of the same base revision."""

    def test_one_concurrent_change_is_accepted_despite_lost_answer(
        self,
    ) -> None:
        builders_operators.run_site(self._scenario, node_count=3)

    async def _scenario(self, harness: builders_operators.SiteHarness) -> None:
        clients = list(harness.operators.values())
        shown = await clients[0].show()
        base, text = int(shown.value["revision"]), shown.value["text"]
        replies: dict[int, _operators.OperatorReply] = {}

        async def submit(index: int) -> None:
            replies[index] = await clients[index].apply(
                f"{text}\n# operator {index}\n", base
            )

        # The store drops one response: to the read or to the write of any
        # of the three changes.
        await _operators.control_store(harness.site, lose_next_answers=1)
        async with trio.open_nursery() as nursery:
            for index in range(3):
                nursery.start_soon(submit, index)
        accepted = [i for i, r in replies.items() if r.status == 200]
        self.assertLessEqual(len(accepted), 1)
        for index, reply in replies.items():
            if index not in accepted:
                self.assertIn(
                    reply.value.get("name"),
                    ("REVISION_CONFLICT", "STORE_UNAVAILABLE"),
                )
        # A change whose read failed is refused; one of the others is
        # accepted.
        self.assertEqual(len(accepted), 1)
        revision = int(replies[accepted[0]].value["revision"])
        self.assertEqual(revision, base + 1)
        await harness.wait_in_force(revision, *harness.site.node_ids)
        for client in clients:

            async def is_shown(
                client: _operators.OperatorClient = client,
            ) -> bool:
                latest = await client.show()
                return latest.status == 200

            await harness.wait_until(is_shown)
            latest = await client.show()
            self.assertTrue(
                latest.value["text"].endswith(f"# operator {accepted[0]}\n")
            )


class PausedCoordinatorTest(unittest.TestCase):
    """Guards against a coordinator that acts after its lease expired."""

    def test_paused_coordinator_is_replaced_and_rejoins(self) -> None:
        builders_operators.run_site(self._scenario, node_count=3)

    async def _scenario(self, harness: builders_operators.SiteHarness) -> None:
        site = harness.site

        async def coordinators() -> list[str]:
            return [
                node_id
                for node_id in site.node_ids
                if node_id not in paused
                and (await harness.membership_dump(node_id)).get(
                    "is_coordinator"
                )
            ]

        paused: set[str] = set()

        async def has_one_coordinator() -> bool:
            return len(await coordinators()) == 1

        await harness.wait_until(has_one_coordinator)
        (old_coordinator,) = await coordinators()
        site.pause_node(old_coordinator)
        paused.add(old_coordinator)
        await harness.wait_until(has_one_coordinator)
        (new_coordinator,) = await coordinators()
        site.resume_node(old_coordinator)
        paused.clear()

        async def follows_new_coordinator() -> bool:
            membership_dump = await harness.membership_dump(old_coordinator)
            return (
                membership_dump.get("coordinator") == new_coordinator
                and membership_dump["majority"]
            )

        await harness.wait_until(follows_new_coordinator)
        self.assertEqual(await coordinators(), [new_coordinator])
        revision = await harness.apply(
            old_coordinator, "through the resumed node"
        )
        await harness.wait_in_force(revision, *site.node_ids)
        for node_id in site.node_ids:
            await harness.wait_until(
                lambda n=node_id: harness.gets_full_answer(n, "resumed")
            )


class AvailabilityZoneTest(unittest.TestCase):
    """Guards against new work in an availability zone out of service."""

    def test_availability_zone_gets_no_work_until_it_returns(self) -> None:
        builders_operators.run_site(self._scenario, node_count=3)

    async def _scenario(self, harness: builders_operators.SiteHarness) -> None:
        site = harness.site
        zone = site.options.size.availability_zone(1)
        inside_node_id, outside_node_id = site.node_ids[1], site.node_ids[0]
        names = [
            endpoint.name
            for service in site.document.subsidiaries[0].services
            for shard in service.shards
            for endpoint in shard.endpoints
            if endpoint.availability_zone == zone
        ]

        async def count_executed() -> int:
            reports = await site.endpoint_fleet.fetch_reports()
            return sum(reports[n]["counters"]["executed"] for n in names)

        async def is_done() -> bool:
            rows = (await harness.status(outside_node_id)).get(
                "availability_zones", ()
            )
            return bool(rows) and all(r["progress"] == "DONE" for r in rows)

        client = harness.operators[outside_node_id]
        reply = await client.set_availability_zone(zone, "out")
        self.assertEqual(reply.status, 200)
        await harness.wait_in_force(reply.value["revision"], *site.node_ids)
        await harness.wait_until(is_done)
        await harness.wait_until(
            lambda: harness.gets_full_answer(outside_node_id, "settled")
        )
        before = await count_executed()
        for index in range(20):
            await harness.wait_until(
                lambda i=index: harness.gets_full_answer(
                    outside_node_id, f"q{i}"
                )
            )
        self.assertEqual(await count_executed(), before)
        ready_port = site.caller_port(inside_node_id)
        async with devsite.CallerClient(ready_port) as caller:
            self.assertFalse(await caller.is_ready())
        reply = await client.set_availability_zone(zone, "in")
        self.assertEqual(reply.status, 200)
        await site.wait_ready([inside_node_id])

        async def gets_work_again() -> bool:
            await harness.gets_full_answer(inside_node_id, "back")
            return await count_executed() > before

        await harness.wait_until(gets_work_again)
