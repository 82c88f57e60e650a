"""Tests of the dispatcher while ownership, topology or versions change."""

import unittest

import trio

from geraniumstair import canary
from geraniumstair import dispatch
from geraniumstair import membership
from geraniumstair._generated import codes
from tests import builders_dispatch

_Authority = membership.Authority
_Code = codes.Code


def _codes(replies) -> set[int]:
    return {reply.code for reply in replies}


class AuthorityTest(unittest.TestCase):
    """Guards against two owners that overload a cold endpoint."""

    def test_limited_authority_uses_only_warm_endpoints(self) -> None:
        async def scenario(harness) -> None:
            await harness.warm_up()
            harness.fake(0).boot_id = "boot-2"
            await harness.submit_many(1, 0.05)
            request_count = len(harness.fake(0).requests)
            harness.set_authority(_Authority.LIMITED)
            replies = await harness.submit_many(20, 0.005)
            self.assertEqual(_codes(replies), {_Code.OK})
            self.assertEqual(len(harness.fake(0).requests), request_count)

        builders_dispatch.run_scenario(scenario)

    def test_queued_requests_are_dispatched_when_the_takeover_ends(
        self,
    ) -> None:
        async def scenario(harness) -> None:
            harness.set_authority(_Authority.WAITING)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._finish_takeover, harness)
                (reply,) = await harness.submit_many(1, 0.0)
            self.assertEqual(reply.code, _Code.OK)

        builders_dispatch.run_scenario(scenario)

    async def _finish_takeover(self, harness) -> None:
        await trio.sleep(0.1)
        assert harness.total_requests() == 0
        harness.set_authority(_Authority.FULL)

    def test_authority_is_read_before_each_dispatch(self) -> None:
        async def scenario(harness) -> None:
            for fake in harness.fakes.values():
                fake.service_s = lambda: 0.1

            async def lose_authority() -> None:
                await trio.sleep(0.05)
                # The dispatcher isn't notified, as after a pause.
                harness.authority.clear()

            async with trio.open_nursery() as nursery:
                nursery.start_soon(lose_authority)
                replies = await harness.submit_many(6, 0.0)
            self.assertEqual(harness.total_requests(), 2)
            refused = [r for r in replies if r.code == _Code.NOT_OWNER]
            self.assertEqual(len(refused), 4)

        builders_dispatch.run_scenario(scenario)

    def test_release_leaves_nothing_in_flight(self) -> None:
        async def scenario(harness) -> None:
            for fake in harness.fakes.values():
                fake.service_s = lambda: 0.1
            replies = []

            async def load() -> None:
                replies.extend(await harness.submit_many(8, 0.001))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(load)
                await trio.sleep(0.05)
                state = await harness.dispatcher.release(builders_dispatch.KEY)
                self.assertFalse(any(f.running for f in harness.fakes.values()))
                self.assertEqual([e.in_flight for e in state.endpoints], [0, 0])
            self.assertEqual(_codes(replies), {_Code.OK, _Code.NOT_OWNER})
            self.assertEqual(harness.total_requests(), 2)
            await trio.sleep(0.5)
            self.assertEqual(harness.fake(0).open_connections, 0)
            (reply,) = await harness.submit_many(1, 0.0)
            self.assertEqual(reply.code, _Code.NOT_OWNER)

        builders_dispatch.run_scenario(scenario)

    def test_shard_owned_again_during_its_release_is_served(self) -> None:
        """Guards against a late end of a release that stops an owned shard."""

        async def scenario(harness) -> None:
            for fake in harness.fakes.values():
                fake.service_s = lambda: 0.2
            async with trio.open_nursery() as nursery:
                nursery.start_soon(harness.submit_many, 2, 0.001)
                await trio.sleep(0.05)
                harness.set_authority(_Authority.NONE)
                nursery.start_soon(
                    harness.dispatcher.release, builders_dispatch.KEY
                )
                await trio.sleep(0.05)
                harness.set_authority(_Authority.FULL)
            await trio.sleep(1)
            replies = await harness.submit_many(4, 0.1)
            self.assertEqual(_codes(replies), {_Code.OK})

        builders_dispatch.run_scenario(scenario)

    def test_loaded_state_never_raises_a_limit_of_an_owned_shard(self) -> None:
        async def scenario(harness) -> None:
            await harness.warm_up()
            state = harness.dispatcher.export_shard_state(builders_dispatch.KEY)
            harness.fake(0).boot_id = "boot-2"
            await harness.submit_many(1, 0.05)
            harness.dispatcher.apply_shard_state(state)
            self.assertEqual(harness.endpoint_dump(0)["limit"], 1)

        builders_dispatch.run_scenario(scenario)

    def test_new_owner_continues_the_ramp_of_the_old_one(self) -> None:
        async def scenario(harness) -> None:
            await harness.warm_up()
            state = harness.dispatcher.export_shard_state(builders_dispatch.KEY)
            state.endpoints[1].limit = 1
            state.endpoints[1].warm = False
            async with builders_dispatch.open_harness() as other:
                other.set_authority(_Authority.WAITING)
                other.dispatcher.apply_shard_state(state)
                other.set_authority(_Authority.FULL)
                await trio.sleep(0.05)
                await other.submit_many(7, 0.001)
                self.assertEqual(other.fake(0).peak_running, 2)
                self.assertEqual(other.fake(1).peak_running, 1)

        builders_dispatch.run_scenario(scenario)

    def test_expired_state_counts_as_cold(self) -> None:
        async def scenario(harness) -> None:
            await harness.warm_up()
            harness.set_authority(_Authority.NONE)
            await trio.sleep(30)
            harness.set_authority(_Authority.FULL)
            self.assertEqual(harness.endpoint_dump(0)["limit"], 1)

        builders_dispatch.run_scenario(scenario)


class TopologyTest(unittest.TestCase):
    """Guards against lost and misdirected requests when endpoints change."""

    def test_queued_requests_are_served_after_an_endpoint_moved(self) -> None:
        async def scenario(harness) -> None:
            for fake in harness.fakes.values():
                fake.service_s = lambda: 0.05
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._move_endpoint, harness)
                replies = await harness.submit_many(8, 0.0)
            self.assertEqual(_codes(replies), {_Code.OK})
            self.assertGreater(len(harness.fake(0).requests), 0)

        builders_dispatch.run_scenario(scenario)

    async def _move_endpoint(self, harness) -> None:
        await trio.sleep(0.02)
        harness.change_endpoint(0, port=31000)

    def test_removed_shard_refuses_queued_requests_as_not_run(self) -> None:
        async def scenario(harness) -> None:
            for fake in harness.fakes.values():
                fake.service_s = lambda: 0.05

            async def remove() -> None:
                await trio.sleep(0.02)
                harness.update_topology(endpoints={})

            async with trio.open_nursery() as nursery:
                nursery.start_soon(remove)
                replies = await harness.submit_many(6, 0.0)
            self.assertEqual(_codes(replies), {_Code.OK, _Code.UNKNOWN_SHARD})
            self.assertEqual(sum(r.code == _Code.OK for r in replies), 2)

        builders_dispatch.run_scenario(scenario)

    def test_availability_zone_is_taken_out_and_returns_cold(self) -> None:
        async def scenario(harness) -> None:
            await harness.warm_up()
            fake = harness.fake(0)
            fake.service_s = lambda: 0.05
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._take_zone_out, harness)
                replies = await harness.submit_many(60, 0.005)
            self.assertEqual(_codes(replies), {_Code.OK})
            request_count = len(fake.requests)
            await harness.submit_many(5, 0.02)
            self.assertEqual(len(fake.requests), request_count)
            self.assertEqual(fake.open_connections, 0)
            harness.set_out("az-a", False)
            self.assertEqual(harness.endpoint_dump(0)["limit"], 1)
            await trio.sleep(0.05)
            await harness.submit_many(5, 0.02)
            self.assertGreater(len(fake.requests), request_count)

        builders_dispatch.run_scenario(scenario)

    async def _take_zone_out(self, harness) -> None:
        await trio.sleep(0.05)
        harness.set_out("az-a", True)

    def test_draining_endpoint_gets_no_new_requests(self) -> None:
        async def scenario(harness) -> None:
            await harness.warm_up()
            harness.fake(0).draining = True
            await harness.submit_many(1, 0.05)
            request_count = len(harness.fake(0).requests)
            replies = await harness.submit_many(30, 0.005)
            self.assertEqual(_codes(replies), {_Code.OK})
            self.assertEqual(len(harness.fake(0).requests), request_count)

        builders_dispatch.run_scenario(scenario)

    def test_endpoint_on_a_leaving_vm_gets_no_new_requests(self) -> None:
        async def scenario(harness) -> None:
            harness.change_endpoint(0, vm="vm-1")
            harness.dispatcher.set_leaving_vms(frozenset({"vm-1"}))
            await harness.submit_many(10, 0.02)
            self.assertEqual(len(harness.fake(0).requests), 0)

        builders_dispatch.run_scenario(scenario)

    def test_wrong_vm_list_leaves_no_shard_unserved(self) -> None:
        """Guards against a list that names the VMs of all usable endpoints."""

        async def scenario(harness) -> None:
            for replica in (0, 1):
                harness.change_endpoint(replica, vm=f"vm-{replica}")
            harness.dispatcher.set_leaving_vms(frozenset({"vm-0", "vm-1"}))
            replies = await harness.submit_many(10, 0.02)
            self.assertEqual(_codes(replies), {_Code.OK})
            # The endpoint that the list doesn't name becomes unusable.
            harness.dispatcher.set_leaving_vms(frozenset({"vm-0"}))
            harness.fake(1).draining = True
            await harness.submit_many(1, 1.5)
            replies = await harness.submit_many(10, 0.02)
            self.assertEqual(_codes(replies), {_Code.OK})

        builders_dispatch.run_scenario(scenario)

    def test_no_hedge_goes_to_an_endpoint_on_a_leaving_vm(self) -> None:
        """Guards against hedges that use an idle endpoint on a leaving VM."""

        async def scenario(harness) -> None:
            harness.change_endpoint(0, vm="vm-0")
            await harness.warm_up()
            request_count = len(harness.fake(0).requests)
            harness.dispatcher.set_leaving_vms(frozenset({"vm-0"}))
            harness.fake(1).service_s = builders_dispatch.build_service_times(
                1, 20
            )
            await harness.submit_many(50, 0.02)
            self.assertEqual(len(harness.fake(0).requests), request_count)

        builders_dispatch.run_scenario(scenario)

    def test_corrected_vm_list_keeps_the_endpoint_warm(self) -> None:
        """Guards against a restart of the ramp because of a wrong list."""

        async def scenario(harness) -> None:
            harness.change_endpoint(0, vm="vm-0")
            await harness.warm_up()
            harness.dispatcher.set_leaving_vms(frozenset({"vm-0"}))
            await harness.submit_many(10, 0.02)
            harness.dispatcher.set_leaving_vms(frozenset())
            self.assertTrue(harness.endpoint_dump(0)["warm"])

        builders_dispatch.run_scenario(scenario)


class EjectionTest(unittest.TestCase):
    """Guards against bad endpoints and against ejecting too many."""

    def test_failing_endpoint_is_ejected(self) -> None:
        async def scenario(harness) -> None:
            await harness.warm_up()
            harness.fake(0).outcome = lambda: dispatch.Outcome.FAILED
            await harness.submit_many(10, 0.02)
            request_count = len(harness.fake(0).requests)
            replies = await harness.submit_many(10, 0.02)
            self.assertEqual(_codes(replies), {_Code.OK})
            self.assertEqual(len(harness.fake(0).requests), request_count)

        builders_dispatch.run_scenario(scenario)

    def test_endpoint_that_never_answers_is_ejected(self) -> None:
        async def scenario(harness) -> None:
            await harness.warm_up()
            harness.fake(0).service_s = lambda: float("inf")
            harness.fake(0).honours_cancel = False
            await harness.submit_many(4, 0.4, deadline_ms=100)
            self.assertGreater(harness.endpoint_dump(0)["ejected_for_s"], 0)
            self.assertLessEqual(harness.fake(0).peak_running, 2)
            request_count = len(harness.fake(0).requests)
            replies = await harness.submit_many(5, 0.02)
            self.assertEqual(_codes(replies), {_Code.OK})
            self.assertEqual(len(harness.fake(0).requests), request_count)

        builders_dispatch.run_scenario(scenario)

    def test_endpoints_out_of_service_do_not_count_for_the_ejection_limit(
        self,
    ) -> None:
        async def scenario(harness) -> None:
            harness.set_out("az-a", True)
            harness.set_out("az-b", True)
            fake = harness.fake(2)
            fake.outcome = lambda: dispatch.Outcome.FAILED
            await harness.submit_many(10, 0.02)
            self.assertEqual(harness.endpoint_dump(2)["ejected_for_s"], 0)

        builders_dispatch.run_scenario(scenario, replica_count=3)

    def test_unreachable_endpoint_returns_as_a_cold_one(self) -> None:
        async def scenario(harness) -> None:
            harness.change_endpoint(0, port=30000)
            harness.fake(0).reachable = False
            await trio.sleep(0.1)
            self.assertTrue(harness.endpoint_dump(0)["unreachable"])
            replies = await harness.submit_many(10, 0.02)
            self.assertEqual(_codes(replies), {_Code.OK})
            self.assertEqual(len(harness.fake(0).requests), 0)
            harness.fake(0).reachable = True
            await trio.sleep(3)
            self.assertFalse(harness.endpoint_dump(0)["unreachable"])
            self.assertEqual(harness.endpoint_dump(0)["limit"], 1)
            await harness.submit_many(10, 0.02)
            self.assertGreater(len(harness.fake(0).requests), 0)

        builders_dispatch.run_scenario(scenario)

    def test_never_more_than_half_are_ejected(self) -> None:
        async def scenario(harness) -> None:
            for fake in harness.fakes.values():
                fake.outcome = lambda: dispatch.Outcome.FAILED
            for _ in range(50):
                await harness.submit_many(2, 0.02)
                ejected = sum(
                    harness.endpoint_dump(i)["ejected_for_s"] > 0
                    for i in range(3)
                )
                self.assertLessEqual(ejected, 1)

        builders_dispatch.run_scenario(scenario, replica_count=3)


class VersionShareTest(unittest.TestCase):
    """Guards against a bad version that gets more than its share."""

    def _share(self, pct: float) -> list[canary.VersionShare]:
        return [canary.VersionShare("r", "acme/s0", "v1", "v2", pct)]

    def test_share_is_never_above_its_step(self) -> None:
        async def scenario(harness) -> None:
            harness.change_endpoint(0, version="v2")
            for pct in (5, 25):
                harness.dispatcher.apply_version_shares(self._share(pct))
                await harness.warm_up_old_version()
                before_new = len(harness.fake(0).requests)
                before = harness.total_requests()
                for _ in range(40):
                    await harness.submit_many(10, 0.012)
                    new = len(harness.fake(0).requests) - before_new
                    total = harness.total_requests() - before
                    self.assertLessEqual(new, pct / 100 * total + 1)
                self.assertGreater(new, pct / 100 * total / 2)

        builders_dispatch.run_scenario(_with_old_version_warm_up(scenario))

    def test_clearly_bad_version_is_stopped_at_once(self) -> None:
        async def scenario(harness) -> None:
            harness.change_endpoint(0, version="v2")
            harness.fake(0).outcome = lambda: dispatch.Outcome.FAILED
            harness.dispatcher.apply_version_shares(self._share(25))
            await harness.submit_many(400, 0.02)
            self.assertEqual([s.rollout for s in harness.stopped], ["r"])
            request_count = len(harness.fake(0).requests)
            replies = await harness.submit_many(40, 0.02)
            self.assertEqual(_codes(replies), {_Code.OK})
            self.assertEqual(len(harness.fake(0).requests), request_count)

        builders_dispatch.run_scenario(scenario)

    def test_slow_version_is_stopped(self) -> None:
        async def scenario(harness) -> None:
            harness.change_endpoint(0, version="v2")
            harness.fake(0).service_s = lambda: 0.08
            harness.fake(1).service_s = builders_dispatch.build_service_times(1)
            harness.dispatcher.apply_version_shares(self._share(25))
            await harness.submit_many(400, 0.02)
            (stopped,) = harness.stopped
            self.assertRegex(
                stopped.reason, r"^SLOW: \d+ of \d+ were slow on route motif$"
            )

        builders_dispatch.run_scenario(scenario)

    def test_cold_endpoints_do_not_stop_a_good_version(self) -> None:
        """Checks two slowdowns; the ramp does not detect the smaller one."""
        for cold_s in (0.06, 0.025):
            with self.subTest(cold_s):
                self._check_cold_endpoint(cold_s)

    def _check_cold_endpoint(self, cold_s: float) -> None:
        async def scenario(harness) -> None:
            harness.change_endpoint(0, version="v2")
            cold_answers = iter([cold_s] * 20)
            warm_s = builders_dispatch.build_service_times(0)
            harness.fake(0).service_s = lambda: (
                next(cold_answers, 0) or warm_s()
            )
            harness.fake(1).service_s = builders_dispatch.build_service_times(1)
            harness.dispatcher.apply_version_shares(self._share(0))
            await harness.submit_many(100, 0.02)
            harness.dispatcher.apply_version_shares(self._share(25))
            await harness.submit_many(400, 0.02)
            self.assertEqual(harness.stopped, [])

        builders_dispatch.run_scenario(scenario)

    def test_shard_with_the_new_version_only_is_served(self) -> None:
        async def scenario(harness) -> None:
            for index in range(2):
                harness.change_endpoint(index, version="v2")
            harness.dispatcher.apply_version_shares(self._share(5))
            replies = await harness.submit_many(20, 0.02)
            self.assertEqual(_codes(replies), {_Code.OK})

        builders_dispatch.run_scenario(scenario)

    def test_stragglers_on_both_versions_do_not_stop_the_rollout(self) -> None:
        async def scenario(harness) -> None:
            harness.change_endpoint(0, version="v2")
            for index, fake in enumerate(harness.fakes.values()):
                fake.service_s = builders_dispatch.build_service_times(index, 3)
            harness.dispatcher.apply_version_shares(self._share(25))
            await harness.submit_many(1500, 0.02)
            self.assertEqual(harness.stopped, [])

        builders_dispatch.run_scenario(scenario)

    def test_full_share_sends_no_request_to_the_old_version(self) -> None:
        async def scenario(harness) -> None:
            harness.change_endpoint(0, version="v2")
            harness.dispatcher.apply_version_shares(self._share(100))
            await harness.submit_many(20, 0.02)
            self.assertEqual(len(harness.fake(1).requests), 0)

        builders_dispatch.run_scenario(scenario)

    def test_old_version_serves_if_no_endpoint_of_the_new_one_is_usable(
        self,
    ) -> None:
        async def scenario(harness) -> None:
            harness.change_endpoint(0, version="v2")
            harness.dispatcher.apply_version_shares(self._share(100))
            harness.set_out("az-a", True)
            replies = await harness.submit_many(5, 0.02)
            self.assertEqual(_codes(replies), {_Code.OK})
            self.assertEqual(len(harness.fake(1).requests), 5)

        builders_dispatch.run_scenario(scenario)

    def test_evidence_counts_each_attempt_once(self) -> None:
        async def scenario(harness) -> None:
            harness.change_endpoint(0, version="v2")
            harness.dispatcher.apply_version_shares(self._share(25))
            await harness.submit_many(100, 0.02)
            evidence = harness.dispatcher.drain_evidence()
            # The first answers of the new endpoint do not count as evidence.
            cold = canary.CONSECUTIVE_WARM_ANSWERS
            self.assertEqual(sum(e.completed for e in evidence), 100 - cold)
            new = sum(e.completed for e in evidence if e.version == "v2")
            self.assertEqual(new, len(harness.fake(0).requests) - cold)
            self.assertFalse(harness.dispatcher.drain_evidence())

        builders_dispatch.run_scenario(scenario)


def _with_old_version_warm_up(scenario):
    async def run(harness) -> None:
        async def warm_up_old_version() -> None:
            await harness.submit_many(20, 0.02)

        harness.warm_up_old_version = warm_up_old_version
        await scenario(harness)

    return run


if __name__ == "__main__":
    unittest.main()
