"""Tests of the model of the endpoint stand-in, on a virtual clock."""

import json
import unittest

import trio

from standins import endpoint
from tests import builders_endpoint as builders


class EndpointModelTest(unittest.TestCase):
    """Guards against a model that is more tolerant than real endpoints."""

    def test_requests_beyond_slots_and_queue_are_shed_as_not_run(self) -> None:
        async def run() -> None:
            model = builders.build_model(slots=2, queue_limit=1)
            requests = [builders.build_request(f"r{i}") for i in range(4)]
            replies = await builders.serve_all(model, requests)
            statuses = sorted(reply.status for reply in replies)
            self.assertEqual(statuses, [200, 200, 200, 503])
            self.assertTrue(all(r.not_run for r in replies if r.status == 503))
            self.assertEqual(sum(model.executed_ids.values()), 3)

        builders.run_virtual(run)

    def test_requests_beyond_slots_wait_for_a_slot(self) -> None:
        async def run() -> None:
            model = builders.build_model(slots=1, queue_wait_ms=500)
            requests = [builders.build_request(f"r{i}") for i in range(3)]
            await builders.serve_all(model, requests)
            elapsed_ms = 1000 * trio.current_time()
            self.assertGreaterEqual(
                elapsed_ms + 1e-6, model.counters.service_ms_sum
            )

        builders.run_virtual(run)

    def test_service_time_has_mean_and_stragglers(self) -> None:
        async def run() -> None:
            model = builders.build_model(straggler_pct=1.0)
            for index in range(4000):
                await model.serve(builders.build_request(f"r{index}"))
            mean_ms = model.counters.service_ms_sum / 4000
            self.assertAlmostEqual(mean_ms, 10.9, delta=0.6)

        builders.run_virtual(run)

    def test_cold_endpoint_collapses_when_overloaded(self) -> None:
        async def run() -> None:
            model = builders.build_model(slots=4, cold=True)
            requests = [builders.build_request(f"r{i}") for i in range(3)]
            replies = await builders.serve_all(model, requests)
            self.assertEqual(model.counters.collapses, 1)
            self.assertEqual(model.counters.peak_over_bearing, 2)
            self.assertEqual({r.status for r in replies}, {500})
            await trio.sleep(model.settings.collapse_ms / 1000)
            reply = await model.serve(builders.build_request("later"))
            self.assertEqual(reply.status, 200)

        builders.run_virtual(run)

    def test_capacity_grows_with_completions(self) -> None:
        async def run() -> None:
            model = builders.build_model(
                slots=3, cold=True, completions_per_bearing=2
            )
            for index in range(4):
                await model.serve(builders.build_request(f"r{index}"))
            self.assertFalse(model.cold)
            model.turn_cold()
            self.assertEqual(model.capacity, 1)
            self.assertEqual(model.counters.collapses, 0)

        builders.run_virtual(run)

    def test_cancel_frees_the_slot(self) -> None:
        async def run() -> None:
            model = builders.build_model(slots=1, mean_service_ms=1e6)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    self._expect_status, model, builders.build_request(), 499
                )
                await trio.sleep(0.01)
                self.assertTrue(model.cancel("r1"))
            self.assertEqual(model.counters.in_flight, 0)
            self.assertFalse(model.cancel("r1"))
            model.settings.mean_service_ms = 10
            await self._expect_status(model, builders.build_request("r2"), 200)

        builders.run_virtual(run)

    async def _expect_status(
        self,
        model: endpoint.EndpointModel,
        request: endpoint.Request,
        status: int,
    ) -> None:
        reply = await model.serve(request)
        self.assertEqual(reply.status, status)

    def test_deadline_while_running_has_unknown_outcome(self) -> None:
        async def run() -> None:
            model = builders.build_model(mean_service_ms=1e5)
            reply = await model.serve(builders.build_request(deadline_ms=20.0))
            self.assertEqual((reply.status, reply.not_run), (504, False))

        builders.run_virtual(run)

    def test_missing_snapshot_is_refused_as_not_run(self) -> None:
        async def run() -> None:
            model = builders.build_model(snapshots=(3, 4))
            reply = await model.serve(builders.build_request(snapshot=2))
            self.assertEqual((reply.status, reply.not_run), (409, True))
            self.assertEqual(model.executed_ids, {})

        builders.run_virtual(run)

    def test_frozen_endpoint_answers_only_after_thaw(self) -> None:
        async def run() -> None:
            model = builders.build_model()
            model.freeze()
            with trio.move_on_after(5) as scope:
                await model.serve(builders.build_request())
            self.assertTrue(scope.cancelled_caught)
            model.thaw()
            await self._expect_status(model, builders.build_request(), 200)

        builders.run_virtual(run)

    def test_crossed_reply_has_id_of_previous_request(self) -> None:
        async def run() -> None:
            model = builders.build_model(crossed_pct=100.0)
            await model.serve(builders.build_request("r1"))
            reply = await model.serve(builders.build_request("r2"))
            self.assertEqual(reply.request_id, "r1")

        builders.run_virtual(run)

    def test_late_reply_ignores_the_deadline(self) -> None:
        async def run() -> None:
            model = builders.build_model(late_pct=100.0, late_ms=5000.0)
            await model.serve(builders.build_request(deadline_ms=100.0))
            self.assertGreater(trio.current_time(), 5.0)

        builders.run_virtual(run)

    def test_restart_changes_boot_id(self) -> None:
        async def run() -> None:
            model = builders.build_model()
            old_boot_id = model.boot_id
            model.restart(cold=True)
            self.assertNotEqual(old_boot_id, model.boot_id)
            self.assertTrue(model.cold)

        builders.run_virtual(run)


class VersionFaultTest(unittest.TestCase):
    """Guards against version faults that ignore route, delay or load."""

    def _serve_in_sequence(
        self, fault: endpoint.VersionFault, routes: list[str], pause_s: float
    ) -> list[int]:
        statuses: list[int] = []

        async def run() -> None:
            model = builders.build_model(faults=(fault,))
            for route in routes:
                reply = await model.serve(builders.build_request(route=route))
                statuses.append(reply.status)
                await trio.sleep(pause_s)

        builders.run_virtual(run)
        return statuses

    def test_fault_affects_only_its_route(self) -> None:
        fault = endpoint.VersionFault(kind="fail", route="bad")
        self.assertEqual(
            self._serve_in_sequence(fault, ["q", "bad"], 0), [200, 500]
        )

    def test_fault_begins_after_delay(self) -> None:
        fault = endpoint.VersionFault(kind="fail", after_s=2)
        self.assertEqual(
            self._serve_in_sequence(fault, ["q", "q", "q"], 1.5),
            [200, 200, 500],
        )

    def test_fault_occurs_only_under_load(self) -> None:
        async def run() -> None:
            fault = endpoint.VersionFault(kind="fail", least_in_flight=2)
            model = builders.build_model(faults=(fault,))
            alone = await model.serve(builders.build_request("r0"))
            requests = [builders.build_request(f"r{i}") for i in (1, 2)]
            concurrent = await builders.serve_all(model, requests)
            self.assertEqual(alone.status, 200)
            self.assertIn(500, [reply.status for reply in concurrent])

        builders.run_virtual(run)


class HitsForTest(unittest.TestCase):
    """Guards against hits that are the same for different requests."""

    def test_hits_depend_on_shard_snapshot_and_query(self) -> None:
        cases = [("a", 1, "x"), ("b", 1, "x"), ("a", 2, "x"), ("a", 1, "y")]
        ids = {tuple(h.id for h in endpoint.compute_hits(*c)) for c in cases}
        self.assertEqual(len(ids), len(cases))

    def test_partial_coverage_keeps_the_first_hits(self) -> None:
        for index in range(20):
            all_hits = endpoint.compute_hits("a", 1, str(index))
            partial_hits = endpoint.compute_hits("a", 1, str(index), 50.0)
            self.assertEqual(
                list(partial_hits), list(all_hits[: len(partial_hits)])
            )

    def test_model_replies_with_hits_of_its_shard(self) -> None:
        async def run() -> None:
            model = builders.build_model(shard="s/x/p0")
            reply = await model.serve(builders.build_request())
            ids = [hit["id"] for hit in json.loads(reply.body)["hits"]]
            expected = endpoint.compute_hits("s/x/p0", 1, "oak")
            self.assertEqual(ids, [hit.id for hit in expected])

        builders.run_virtual(run)
