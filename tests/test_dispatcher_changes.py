"""Tests of the dispatcher while its surroundings change."""

import unittest

import trio

from geraniumstair import dispatch
from geraniumstair import membership
from geraniumstair import verdict
from geraniumstair._generated import codes
from tests import builders_dispatch

_Authority = membership.Authority
_Code = codes.Code


def _codes(replies) -> set[int]:
    return {reply.code for reply in replies}


class AuthorityTest(unittest.TestCase):
    """Guards against two owners that overload a cold endpoint."""

    def test_limited_authority_uses_only_warm_endpoints(self) -> None:
        async def scenario(site) -> None:
            await site.warm_up()
            site.fake(0).boot_id = "boot-2"
            await site.submit_many(1, 0.05)
            calls = len(site.fake(0).calls)
            site.own(_Authority.LIMITED)
            replies = await site.submit_many(20, 0.005)
            self.assertEqual(_codes(replies), {_Code.OK})
            self.assertEqual(len(site.fake(0).calls), calls)

        builders_dispatch.run_site(scenario)

    def test_waiting_requests_go_out_when_the_takeover_ends(self) -> None:
        async def scenario(site) -> None:
            site.own(_Authority.WAITING)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._finish_takeover, site)
                (reply,) = await site.submit_many(1, 0.0)
            self.assertEqual(reply.code, _Code.OK)

        builders_dispatch.run_site(scenario)

    async def _finish_takeover(self, site) -> None:
        await trio.sleep(0.1)
        assert site.total_calls() == 0
        site.own(_Authority.FULL)

    def test_authority_is_read_before_each_dispatch(self) -> None:
        async def scenario(site) -> None:
            for fake in site.fakes.values():
                fake.service_s = lambda: 0.1

            async def lose_authority() -> None:
                await trio.sleep(0.05)
                # The dispatcher isn't told, as after a pause.
                site.authority.clear()

            async with trio.open_nursery() as nursery:
                nursery.start_soon(lose_authority)
                replies = await site.submit_many(6, 0.0)
            self.assertEqual(site.total_calls(), 2)
            refused = [r for r in replies if r.code == _Code.NOT_OWNER]
            self.assertEqual(len(refused), 4)

        builders_dispatch.run_site(scenario)

    def test_release_leaves_nothing_in_flight(self) -> None:
        async def scenario(site) -> None:
            for fake in site.fakes.values():
                fake.service_s = lambda: 0.1
            replies = []

            async def load() -> None:
                replies.extend(await site.submit_many(8, 0.001))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(load)
                await trio.sleep(0.05)
                state = await site.dispatcher.release(builders_dispatch.KEY)
                self.assertFalse(any(f.running for f in site.fakes.values()))
                self.assertEqual([e.in_flight for e in state.endpoints], [0, 0])
            self.assertEqual(_codes(replies), {_Code.OK, _Code.NOT_OWNER})
            self.assertEqual(site.total_calls(), 2)
            await trio.sleep(0.5)
            self.assertEqual(site.fake(0).open_connections, 0)
            (reply,) = await site.submit_many(1, 0.0)
            self.assertEqual(reply.code, _Code.NOT_OWNER)

        builders_dispatch.run_site(scenario)

    def test_shard_that_returns_during_its_release_is_served(self) -> None:
        """Guards against a release that ends after the shard came back."""

        async def scenario(site) -> None:
            for fake in site.fakes.values():
                fake.service_s = lambda: 0.2
            async with trio.open_nursery() as nursery:
                nursery.start_soon(site.submit_many, 2, 0.001)
                await trio.sleep(0.05)
                site.own(_Authority.NONE)
                nursery.start_soon(
                    site.dispatcher.release, builders_dispatch.KEY
                )
                await trio.sleep(0.05)
                site.own(_Authority.FULL)
            await trio.sleep(1)
            replies = await site.submit_many(4, 0.1)
            self.assertEqual(_codes(replies), {_Code.OK})

        builders_dispatch.run_site(scenario)

    def test_loaded_state_never_raises_an_owned_limit(self) -> None:
        async def scenario(site) -> None:
            await site.warm_up()
            state = site.dispatcher.shard_state(builders_dispatch.KEY)
            site.fake(0).boot_id = "boot-2"
            await site.submit_many(1, 0.05)
            site.dispatcher.load_state(state)
            self.assertEqual(site.endpoint_dump(0)["limit"], 1)

        builders_dispatch.run_site(scenario)

    def test_new_owner_continues_the_ramp_of_the_old_one(self) -> None:
        async def scenario(site) -> None:
            await site.warm_up()
            state = site.dispatcher.shard_state(builders_dispatch.KEY)
            state.endpoints[1].limit = 1
            state.endpoints[1].warm = False
            async with builders_dispatch.open_site() as other:
                other.own(_Authority.WAITING)
                other.dispatcher.load_state(state)
                other.own(_Authority.FULL)
                await trio.sleep(0.05)
                await other.submit_many(7, 0.001)
                self.assertEqual(other.fake(0).peak, 2)
                self.assertEqual(other.fake(1).peak, 1)

        builders_dispatch.run_site(scenario)

    def test_old_knowledge_counts_as_cold(self) -> None:
        async def scenario(site) -> None:
            await site.warm_up()
            site.own(_Authority.NONE)
            await trio.sleep(30)
            site.own(_Authority.FULL)
            self.assertEqual(site.endpoint_dump(0)["limit"], 1)

        builders_dispatch.run_site(scenario)


class TopologyTest(unittest.TestCase):
    """Guards against lost requests and late work when endpoints change."""

    def test_queued_requests_survive_a_moved_endpoint(self) -> None:
        async def scenario(site) -> None:
            for fake in site.fakes.values():
                fake.service_s = lambda: 0.05
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._move, site)
                replies = await site.submit_many(8, 0.0)
            self.assertEqual(_codes(replies), {_Code.OK})
            self.assertGreater(len(site.fake(0).calls), 0)

        builders_dispatch.run_site(scenario)

    async def _move(self, site) -> None:
        await trio.sleep(0.02)
        site.change_endpoint(0, port=31000)

    def test_removed_shard_refuses_queued_requests_as_not_run(self) -> None:
        async def scenario(site) -> None:
            for fake in site.fakes.values():
                fake.service_s = lambda: 0.05

            async def remove() -> None:
                await trio.sleep(0.02)
                site.replace(endpoints={})

            async with trio.open_nursery() as nursery:
                nursery.start_soon(remove)
                replies = await site.submit_many(6, 0.0)
            self.assertEqual(_codes(replies), {_Code.OK, _Code.UNKNOWN_SHARD})
            self.assertEqual(sum(r.code == _Code.OK for r in replies), 2)

        builders_dispatch.run_site(scenario)

    def test_availability_zone_out_and_back_in(self) -> None:
        async def scenario(site) -> None:
            await site.warm_up()
            fake = site.fake(0)
            fake.service_s = lambda: 0.05
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._take_out, site)
                replies = await site.submit_many(60, 0.005)
            self.assertEqual(_codes(replies), {_Code.OK})
            calls = len(fake.calls)
            await site.submit_many(5, 0.02)
            self.assertEqual(len(fake.calls), calls)
            self.assertEqual(fake.open_connections, 0)
            site.set_out("az-a", False)
            self.assertEqual(site.endpoint_dump(0)["limit"], 1)
            await trio.sleep(0.05)
            await site.submit_many(5, 0.02)
            self.assertGreater(len(fake.calls), calls)

        builders_dispatch.run_site(scenario)

    async def _take_out(self, site) -> None:
        await trio.sleep(0.05)
        site.set_out("az-a", True)

    def test_draining_endpoint_gets_nothing_new(self) -> None:
        async def scenario(site) -> None:
            await site.warm_up()
            site.fake(0).draining = True
            await site.submit_many(1, 0.05)
            calls = len(site.fake(0).calls)
            replies = await site.submit_many(30, 0.005)
            self.assertEqual(_codes(replies), {_Code.OK})
            self.assertEqual(len(site.fake(0).calls), calls)

        builders_dispatch.run_site(scenario)

    def test_endpoint_on_a_leaving_vm_gets_nothing_new(self) -> None:
        async def scenario(site) -> None:
            site.change_endpoint(0, vm="vm-1")
            site.dispatcher.set_leaving_vms(frozenset({"vm-1"}))
            await site.submit_many(10, 0.02)
            self.assertEqual(len(site.fake(0).calls), 0)

        builders_dispatch.run_site(scenario)

    def test_wrong_vm_list_leaves_no_shard_unserved(self) -> None:
        """Guards against a list that names all usable replicas' VMs."""

        async def scenario(site) -> None:
            for replica in (0, 1):
                site.change_endpoint(replica, vm=f"vm-{replica}")
            site.dispatcher.set_leaving_vms(frozenset({"vm-0", "vm-1"}))
            replies = await site.submit_many(10, 0.02)
            self.assertEqual(_codes(replies), {_Code.OK})
            # The other replica fails after the list named one of them.
            site.dispatcher.set_leaving_vms(frozenset({"vm-0"}))
            site.fake(1).draining = True
            await site.submit_many(1, 1.5)
            replies = await site.submit_many(10, 0.02)
            self.assertEqual(_codes(replies), {_Code.OK})

        builders_dispatch.run_site(scenario)

    def test_no_hedge_goes_to_an_endpoint_on_a_leaving_vm(self) -> None:
        """Guards against hedges that take a leaving endpoint for free."""

        async def scenario(site) -> None:
            site.change_endpoint(0, vm="vm-0")
            await site.warm_up()
            calls = len(site.fake(0).calls)
            site.dispatcher.set_leaving_vms(frozenset({"vm-0"}))
            site.fake(1).service_s = builders_dispatch.seeded_service(1, 20)
            await site.submit_many(50, 0.02)
            self.assertEqual(len(site.fake(0).calls), calls)

        builders_dispatch.run_site(scenario)

    def test_corrected_vm_list_keeps_the_endpoint_warm(self) -> None:
        """Guards against a cold ramp because of a list that was wrong."""

        async def scenario(site) -> None:
            site.change_endpoint(0, vm="vm-0")
            await site.warm_up()
            site.dispatcher.set_leaving_vms(frozenset({"vm-0"}))
            await site.submit_many(10, 0.02)
            site.dispatcher.set_leaving_vms(frozenset())
            self.assertTrue(site.endpoint_dump(0)["warm"])

        builders_dispatch.run_site(scenario)


class EjectionTest(unittest.TestCase):
    """Guards against bad endpoints and against ejecting too many."""

    def test_failing_endpoint_is_ejected(self) -> None:
        async def scenario(site) -> None:
            await site.warm_up()
            site.fake(0).outcome = lambda: dispatch.Outcome.FAILED
            await site.submit_many(10, 0.02)
            calls = len(site.fake(0).calls)
            replies = await site.submit_many(10, 0.02)
            self.assertEqual(_codes(replies), {_Code.OK})
            self.assertEqual(len(site.fake(0).calls), calls)

        builders_dispatch.run_site(scenario)

    def test_endpoint_that_never_answers_is_ejected(self) -> None:
        async def scenario(site) -> None:
            await site.warm_up()
            site.fake(0).service_s = lambda: float("inf")
            site.fake(0).honours_cancel = False
            await site.submit_many(4, 0.4, deadline_ms=100)
            self.assertGreater(site.endpoint_dump(0)["ejected_for_s"], 0)
            self.assertLessEqual(site.fake(0).peak, 2)
            calls = len(site.fake(0).calls)
            replies = await site.submit_many(5, 0.02)
            self.assertEqual(_codes(replies), {_Code.OK})
            self.assertEqual(len(site.fake(0).calls), calls)

        builders_dispatch.run_site(scenario)

    def test_endpoints_out_of_service_do_not_count_for_the_half(self) -> None:
        async def scenario(site) -> None:
            site.set_out("az-a", True)
            site.set_out("az-b", True)
            fake = site.fake(2)
            fake.outcome = lambda: dispatch.Outcome.FAILED
            await site.submit_many(10, 0.02)
            self.assertEqual(site.endpoint_dump(2)["ejected_for_s"], 0)

        builders_dispatch.run_site(scenario, replica_count=3)

    def test_unreachable_endpoint_returns_as_a_cold_one(self) -> None:
        async def scenario(site) -> None:
            site.change_endpoint(0, port=30000)
            site.fake(0).reachable = False
            await trio.sleep(0.1)
            self.assertTrue(site.endpoint_dump(0)["unreachable"])
            replies = await site.submit_many(10, 0.02)
            self.assertEqual(_codes(replies), {_Code.OK})
            self.assertEqual(len(site.fake(0).calls), 0)
            site.fake(0).reachable = True
            await trio.sleep(3)
            self.assertFalse(site.endpoint_dump(0)["unreachable"])
            self.assertEqual(site.endpoint_dump(0)["limit"], 1)
            await site.submit_many(10, 0.02)
            self.assertGreater(len(site.fake(0).calls), 0)

        builders_dispatch.run_site(scenario)

    def test_never_more_than_half_are_ejected(self) -> None:
        async def scenario(site) -> None:
            for fake in site.fakes.values():
                fake.outcome = lambda: dispatch.Outcome.FAILED
            for _ in range(50):
                await site.submit_many(2, 0.02)
                ejected = sum(
                    site.endpoint_dump(i)["ejected_for_s"] > 0 for i in range(3)
                )
                self.assertLessEqual(ejected, 1)

        builders_dispatch.run_site(scenario, replica_count=3)


class VersionShareTest(unittest.TestCase):
    """Guards against a bad version that gets more than its share."""

    def _share(self, pct: float) -> list[verdict.VersionShare]:
        return [verdict.VersionShare("r", "acme/s0", "v1", "v2", pct)]

    def test_share_is_never_above_its_step(self) -> None:
        async def scenario(site) -> None:
            site.change_endpoint(0, version="v2")
            for pct in (5, 25):
                site.dispatcher.adopt_version_shares(self._share(pct))
                await site.warm_up_old()
                before_new = len(site.fake(0).calls)
                before = site.total_calls()
                for _ in range(40):
                    await site.submit_many(10, 0.012)
                    new = len(site.fake(0).calls) - before_new
                    total = site.total_calls() - before
                    self.assertLessEqual(new, pct / 100 * total + 1)
                self.assertGreater(new, pct / 100 * total / 2)

        builders_dispatch.run_site(_with_old_warm_up(scenario))

    def test_clearly_bad_version_is_stopped_at_once(self) -> None:
        async def scenario(site) -> None:
            site.change_endpoint(0, version="v2")
            site.fake(0).outcome = lambda: dispatch.Outcome.FAILED
            site.dispatcher.adopt_version_shares(self._share(25))
            await site.submit_many(400, 0.02)
            self.assertEqual([s.rollout for s in site.stopped], ["r"])
            calls = len(site.fake(0).calls)
            replies = await site.submit_many(40, 0.02)
            self.assertEqual(_codes(replies), {_Code.OK})
            self.assertEqual(len(site.fake(0).calls), calls)

        builders_dispatch.run_site(scenario)

    def test_slow_version_is_stopped(self) -> None:
        async def scenario(site) -> None:
            site.change_endpoint(0, version="v2")
            site.fake(0).service_s = lambda: 0.08
            site.fake(1).service_s = builders_dispatch.seeded_service(1)
            site.dispatcher.adopt_version_shares(self._share(25))
            await site.submit_many(400, 0.02)
            (stopped,) = site.stopped
            self.assertRegex(
                stopped.reason, r"^SLOW: \d+ of \d+ were slow on route motif$"
            )

        builders_dispatch.run_site(scenario)

    def test_cold_endpoints_do_not_stop_a_good_version(self) -> None:
        """The ramp does not notice the smaller slowdown."""
        for cold_s in (0.06, 0.025):
            with self.subTest(cold_s):
                self._check_cold_endpoint(cold_s)

    def _check_cold_endpoint(self, cold_s: float) -> None:
        async def scenario(site) -> None:
            site.change_endpoint(0, version="v2")
            cold_answers = iter([cold_s] * 20)
            warm_s = builders_dispatch.seeded_service(0)
            site.fake(0).service_s = lambda: next(cold_answers, 0) or warm_s()
            site.fake(1).service_s = builders_dispatch.seeded_service(1)
            site.dispatcher.adopt_version_shares(self._share(0))
            await site.submit_many(100, 0.02)
            site.dispatcher.adopt_version_shares(self._share(25))
            await site.submit_many(400, 0.02)
            self.assertEqual(site.stopped, [])

        builders_dispatch.run_site(scenario)

    def test_shard_with_the_new_version_only_is_served(self) -> None:
        async def scenario(site) -> None:
            for index in range(2):
                site.change_endpoint(index, version="v2")
            site.dispatcher.adopt_version_shares(self._share(5))
            replies = await site.submit_many(20, 0.02)
            self.assertEqual(_codes(replies), {_Code.OK})

        builders_dispatch.run_site(scenario)

    def test_stragglers_on_both_versions_stop_nothing(self) -> None:
        async def scenario(site) -> None:
            site.change_endpoint(0, version="v2")
            for index, fake in enumerate(site.fakes.values()):
                fake.service_s = builders_dispatch.seeded_service(index, 3)
            site.dispatcher.adopt_version_shares(self._share(25))
            await site.submit_many(1500, 0.02)
            self.assertEqual(site.stopped, [])

        builders_dispatch.run_site(scenario)

    def test_full_share_leaves_the_old_version_alone(self) -> None:
        async def scenario(site) -> None:
            site.change_endpoint(0, version="v2")
            site.dispatcher.adopt_version_shares(self._share(100))
            await site.submit_many(20, 0.02)
            self.assertEqual(len(site.fake(1).calls), 0)

        builders_dispatch.run_site(scenario)

    def test_old_version_serves_if_no_new_endpoint_can(self) -> None:
        async def scenario(site) -> None:
            site.change_endpoint(0, version="v2")
            site.dispatcher.adopt_version_shares(self._share(100))
            site.set_out("az-a", True)
            replies = await site.submit_many(5, 0.02)
            self.assertEqual(_codes(replies), {_Code.OK})
            self.assertEqual(len(site.fake(1).calls), 5)

        builders_dispatch.run_site(scenario)

    def test_evidence_counts_each_attempt_once(self) -> None:
        async def scenario(site) -> None:
            site.change_endpoint(0, version="v2")
            site.dispatcher.adopt_version_shares(self._share(25))
            await site.submit_many(100, 0.02)
            evidence = site.dispatcher.take_evidence()
            # The first answers of the new endpoint are no evidence.
            cold = verdict.WARM_RUN
            self.assertEqual(sum(e.completed for e in evidence), 100 - cold)
            new = sum(e.completed for e in evidence if e.version == "v2")
            self.assertEqual(new, len(site.fake(0).calls) - cold)
            self.assertFalse(site.dispatcher.take_evidence())

        builders_dispatch.run_site(scenario)


def _with_old_warm_up(scenario):
    async def run(site) -> None:
        async def warm_up_old() -> None:
            await site.submit_many(20, 0.02)

        site.warm_up_old = warm_up_old
        await scenario(site)

    return run


if __name__ == "__main__":
    unittest.main()
