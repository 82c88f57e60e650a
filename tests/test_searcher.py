"""Tests of `search.Searcher`."""

import dataclasses
import types
from typing import Any
import unittest

import trio
import trio.testing

from geraniumstair import configuration
from geraniumstair import search
from geraniumstair._generated import codes
from geraniumstair._generated import messages
from tests import builders
from tests import builders_search

_build_handler = builders_search.build_handler


def _run_search(
    fixture: builders_search.SearcherFixture, **changes: Any
) -> search.SearchAnswer:
    request = builders_search.build_request(**changes)

    async def run() -> search.SearchAnswer:
        answer = await fixture.searcher.search(request)
        await trio.testing.wait_all_tasks_blocked()
        return answer

    return builders_search.run_on_mock_clock(run)


class SearcherTestCase(unittest.TestCase):
    """Assertions shared by the tests of the searcher."""

    def assert_code(
        self, answer: search.SearchAnswer, code: codes.Code, not_run: bool
    ) -> None:
        self.assertEqual(answer.result_name, code.name)
        self.assertEqual(answer.not_run, not_run)

    def assert_idle(self, fixture: builders_search.SearcherFixture) -> None:
        self.assertEqual(fixture.searcher.in_progress_count, 0)
        self.assertEqual(fixture.transport.running_count, 0)


class SearcherCoverageTest(SearcherTestCase):
    """Coverage is stated correctly for lost, late, partial and bad replies."""

    def test_full_answer_is_complete(self) -> None:
        fixture = builders_search.build_fixture()
        answer = _run_search(fixture)
        self.assert_code(answer, codes.Code.OK, False)
        self.assertTrue(answer.complete)
        self.assertEqual(answer.coverage.coverage_pct, 100)
        self.assertEqual(len(answer.hits), 4)
        self.assertEqual(fixture.transport.cancelled_search_ids, [])
        self.assert_idle(fixture)

    def test_lost_and_partial_shards_are_named(self) -> None:
        fixture = builders_search.build_fixture(
            {
                "acme/s0/p1": _build_handler(code=codes.Code.CONNECTION_LOST),
                "acme/s0/p2": _build_handler(coverage_pct=50.0),
            }
        )
        answer = _run_search(fixture)
        self.assert_code(answer, codes.Code.PARTIAL, False)
        self.assertEqual(answer.coverage.asked, 4)
        self.assertEqual(answer.coverage.answered, 2)
        self.assertEqual(answer.coverage.missing, ["acme/s0/p1"])
        self.assertEqual(
            answer.coverage.partly_answered,
            [search.PartlyAnswered("acme/s0/p2", 50.0)],
        )
        self.assertEqual(answer.coverage.coverage_pct, 62.5)

    def test_late_shard_is_missing_and_cancelled(self) -> None:
        fixture = builders_search.build_fixture(
            {"acme/s0/p3": _build_handler(60.0)}, preference="coverage"
        )
        answer = _run_search(fixture, deadline_ms=500.0)
        self.assert_code(answer, codes.Code.PARTIAL, False)
        self.assertEqual(answer.coverage.missing, ["acme/s0/p3"])
        self.assertLessEqual(answer.elapsed_ms, 500)
        sent_id = fixture.transport.requests[0].search_id
        self.assertEqual(fixture.transport.cancelled_search_ids, [sent_id])
        self.assert_idle(fixture)

    def test_invalid_replies_are_missing(self) -> None:
        for changes in (
            {"body": b"{"},
            {"body": b'{"hits":["\xff"]}'},
            {"body": b'{"hits":' + b"[" * 100_000},
            {"coverage_pct": float("nan")},
            {"code": codes.Code.PARTIAL},
        ):
            with self.subTest(changes=str(changes)[:60]):
                fixture = builders_search.build_fixture(
                    {"acme/s0/p0": _build_handler(**changes)}
                )
                answer = _run_search(fixture)
                self.assertEqual(answer.coverage.missing, ["acme/s0/p0"])
                self.assertFalse(answer.complete)

    def test_coverage_never_rounds_up_to_complete(self) -> None:
        fixture = builders_search.build_fixture(
            {"acme/s0/p0": _build_handler(coverage_pct=99.9999)}
        )
        answer = _run_search(fixture)
        self.assertFalse(answer.complete)
        self.assertLess(answer.coverage.coverage_pct, 100)

    def test_shard_named_twice_is_asked_once(self) -> None:
        fixture = builders_search.build_fixture()
        answer = _run_search(fixture, services=("s0", "s0"))
        self.assertEqual(answer.coverage.asked, 4)
        self.assertEqual(len(fixture.transport.requests), 4)

    def test_empty_answers_say_whether_hits_can_exist(self) -> None:
        no_hits = _build_handler(body=b'{"hits":[]}')
        names = [f"acme/s0/p{index}" for index in range(4)]
        fixture = builders_search.build_fixture(dict.fromkeys(names, no_hits))
        self.assertEqual(_run_search(fixture).empty, "NONE_EXIST")
        fixture.transport.handlers["acme/s0/p0"] = _build_handler(
            code=codes.Code.ENDPOINT_FAILED
        )
        self.assertEqual(_run_search(fixture).empty, "NONE_FOUND_SO_FAR")

    def test_fault_of_one_shard_keeps_the_other_results(self) -> None:
        async def fail(request: messages.ShardRequest) -> messages.ShardReply:
            raise RuntimeError(request.shard)

        fixture = builders_search.build_fixture({"acme/s0/p0": fail})
        with self.assertLogs("geraniumstair.search", "ERROR"):
            answer = _run_search(fixture)
        self.assert_code(answer, codes.Code.PARTIAL, False)
        self.assertEqual(answer.coverage.missing, ["acme/s0/p0"])


class SearcherNotRunTest(SearcherTestCase):
    """An answer has `not_run` only if no shard can have run the request."""

    def _search_with_handlers(
        self, *handlers: builders_search.ShardHandler
    ) -> search.SearchAnswer:
        handlers_by_shard = {
            f"acme/s0/p{i}": handler for i, handler in enumerate(handlers)
        }
        fixture = builders_search.build_fixture(
            handlers_by_shard, shard_count=len(handlers)
        )
        return _run_search(fixture)

    def test_all_shards_refused(self) -> None:
        queue_full = _build_handler(code=codes.Code.QUEUE_FULL)
        shed = _build_handler(code=codes.Code.ENDPOINT_SHED)
        answer = self._search_with_handlers(queue_full, queue_full, shed)
        self.assert_code(answer, codes.Code.QUEUE_FULL, True)

    def test_one_shard_with_unknown_outcome(self) -> None:
        queue_full = _build_handler(code=codes.Code.QUEUE_FULL)
        lost = _build_handler(code=codes.Code.CONNECTION_LOST)
        answer = self._search_with_handlers(queue_full, queue_full, lost)
        self.assert_code(answer, codes.Code.CONNECTION_LOST, False)

    def test_one_late_shard(self) -> None:
        queue_full = _build_handler(code=codes.Code.QUEUE_FULL)
        answer = self._search_with_handlers(
            queue_full, queue_full, _build_handler(60.0)
        )
        self.assert_code(answer, codes.Code.DEADLINE_EXCEEDED, False)

    def test_refusal_that_may_have_run(self) -> None:
        maybe_run = _build_handler(code=codes.Code.QUEUE_FULL, not_run=False)
        answer = self._search_with_handlers(maybe_run)
        self.assertFalse(answer.not_run)
        self.assertFalse(codes.INFO[answer.code].not_run)

    def test_earlier_attempt_may_have_run(self) -> None:
        fixture = builders_search.build_fixture(
            {
                "acme/s0/p0": _build_handler(
                    code=codes.Code.SNAPSHOT_UNAVAILABLE
                ),
                "acme/s0/p1": _build_handler(60.0),
            },
            shard_count=2,
        )

        async def lose_snapshot(
            request: messages.ShardRequest,
        ) -> messages.ShardReply:
            fixture.transport.handlers["acme/s0/p1"] = _build_handler(
                code=codes.Code.QUEUE_FULL
            )
            return builders_search.build_reply(
                request, code=codes.Code.SNAPSHOT_UNAVAILABLE
            )

        fixture.transport.handlers["acme/s0/p0"] = lose_snapshot
        answer = _run_search(fixture)
        self.assertFalse(answer.not_run)


class SearcherSnapshotTest(SearcherTestCase):
    """The hits of an answer are from one snapshot and one partition map."""

    def test_reply_of_another_snapshot_is_never_merged(self) -> None:
        fixture = builders_search.build_fixture(
            {"acme/s0/p2": _build_handler(snapshot=6)}
        )
        answer = _run_search(fixture)
        self.assertEqual(answer.snapshot, 7)
        self.assertEqual(answer.coverage.missing, ["acme/s0/p2"])
        self.assertNotIn("acme/s0/p2", [hit.shard for hit in answer.hits])

    def test_newest_common_snapshot_is_pinned(self) -> None:
        fixture = builders_search.build_fixture(shard_count=2)
        fixture.transport.snapshots_by_shard = {
            "acme/s0/p0": [5, 6, 7],
            "acme/s0/p1": [5, 6],
        }
        self.assertEqual(_run_search(fixture).snapshot, 6)

    def test_shards_without_the_pinned_snapshot_are_missing(self) -> None:
        fixture = builders_search.build_fixture(shard_count=3)
        fixture.transport.snapshots_by_shard = {"acme/s0/p1": [9]}
        answer = _run_search(fixture)
        self.assert_code(answer, codes.Code.PARTIAL, False)
        self.assertEqual(answer.snapshot, 7)
        self.assertEqual(answer.coverage.missing, ["acme/s0/p1"])
        self.assertEqual(len(fixture.transport.requests), 2)

    def test_lost_snapshot_restarts_once_and_discards_results(self) -> None:
        fixture = builders_search.build_fixture(shard_count=3)

        async def lose_snapshot(
            request: messages.ShardRequest,
        ) -> messages.ShardReply:
            await trio.sleep(0.01)
            fixture.transport.snapshots_by_shard = {
                f"acme/s0/p{i}": [8] for i in range(3)
            }
            fixture.transport.handlers.clear()
            return builders_search.build_reply(
                request,
                code=codes.Code.SNAPSHOT_UNAVAILABLE,
                snapshots=[8],
            )

        fixture.transport.handlers["acme/s0/p1"] = lose_snapshot
        answer = _run_search(fixture)
        self.assert_code(answer, codes.Code.OK, False)
        self.assertEqual(answer.snapshot, 8)
        self.assertEqual(len(answer.hits), 3)
        self.assertEqual(len(fixture.transport.requests), 6)
        ids = {r.search_id for r in fixture.transport.requests}
        self.assertEqual(len(ids), 2)

    def test_repeatedly_lost_snapshot_restarts_only_once(self) -> None:
        handler = _build_handler(code=codes.Code.SNAPSHOT_UNAVAILABLE)
        fixture = builders_search.build_fixture(
            {"acme/s0/p1": handler}, shard_count=2
        )
        answer = _run_search(fixture)
        self.assertEqual(answer.coverage.missing, ["acme/s0/p1"])
        self.assertLessEqual(len(fixture.transport.requests), 4)

    def test_no_snapshot_reported_in_time(self) -> None:
        fixture = builders_search.build_fixture(shard_count=1)
        fixture.transport.snapshots_by_shard = {"acme/s0/p0": []}
        answer = _run_search(fixture)
        self.assert_code(answer, codes.Code.SNAPSHOT_UNAVAILABLE, True)
        self.assertEqual(fixture.transport.requests, [])

    def test_changed_partition_map_restarts_the_search(self) -> None:
        fixture = builders_search.build_fixture(shard_count=2)

        async def change_partition_map(
            request: messages.ShardRequest,
        ) -> messages.ShardReply:
            fixture.configuration_holder.current = builders.build_topology(
                shard_count=3, revision=2
            )
            fixture.transport.handlers.clear()
            return builders_search.build_reply(
                request, code=codes.Code.UNKNOWN_SHARD
            )

        fixture.transport.handlers["acme/s0/p0"] = change_partition_map
        answer = _run_search(fixture)
        self.assert_code(answer, codes.Code.OK, False)
        self.assertEqual(answer.coverage.asked, 3)
        self.assertEqual(len(answer.hits), 3)

    def test_owner_with_an_older_configuration_is_asked_again(self) -> None:
        fixture = builders_search.build_fixture(shard_count=2)

        async def refuse_once(
            request: messages.ShardRequest,
        ) -> messages.ShardReply:
            fixture.transport.handlers.clear()
            return builders_search.build_reply(
                request, code=codes.Code.UNKNOWN_SHARD
            )

        fixture.transport.handlers["acme/s0/p0"] = refuse_once
        self.assert_code(_run_search(fixture), codes.Code.OK, False)


class SearcherPreferenceTest(SearcherTestCase):
    """The configured preference decides between latency and coverage."""

    def _search_with_slow_shards(self, **policy: Any) -> search.SearchAnswer:
        fixture = builders_search.build_fixture(
            {
                "acme/s0/p2": _build_handler(0.1),
                "acme/s0/p3": _build_handler(0.8),
            },
            soft_deadline_ms=300.0,
            default_deadline_ms=1000.0,
            **policy,
        )
        answer = _run_search(fixture)
        self.assert_idle(fixture)
        return answer

    def test_latency_answers_at_the_soft_deadline(self) -> None:
        answer = self._search_with_slow_shards(
            preference="latency", least_coverage_pct=75.0
        )
        self.assertEqual(answer.elapsed_ms, 300)
        self.assertEqual(answer.coverage.answered, 3)

    def test_latency_waits_for_the_least_coverage(self) -> None:
        answer = self._search_with_slow_shards(
            preference="latency", least_coverage_pct=76.0
        )
        self.assertEqual(answer.elapsed_ms, 800)
        self.assertTrue(answer.complete)

    def test_coverage_waits_for_all(self) -> None:
        answer = self._search_with_slow_shards(preference="coverage")
        self.assertTrue(answer.complete)

    def test_early_answers_with_the_least_coverage(self) -> None:
        answer = self._search_with_slow_shards(
            preference="early", least_coverage_pct=75.0
        )
        self.assertEqual(answer.elapsed_ms, 100)
        self.assertEqual(answer.coverage.answered, 3)

    def test_too_little_coverage_keeps_the_hits(self) -> None:
        fixture = builders_search.build_fixture(
            {"acme/s0/p3": _build_handler(code=codes.Code.ENDPOINT_FAILED)}
        )
        answer = _run_search(fixture, least_coverage_pct=80.0)
        self.assert_code(answer, codes.Code.COVERAGE_TOO_LOW, False)
        self.assertEqual(len(answer.hits), 3)


class SearcherAdmissionTest(SearcherTestCase):
    """Refused searches send nothing; cancelled ones leave nothing running."""

    def test_codes_of_requests_that_cannot_be_planned(self) -> None:
        cases: list[tuple[codes.Code, dict[str, Any]]] = [
            (codes.Code.UNKNOWN_SUBSIDIARY, {"subsidiary": "other"}),
            (codes.Code.UNKNOWN_SERVICE, {"services": ("s0", "nope")}),
            (
                codes.Code.UNKNOWN_SERVICE,
                {"services": (), "service_set": "nope"},
            ),
            (
                codes.Code.NOT_REPEATABLE_SCOPE,
                {"repeatable": False, "idempotency_key": "k"},
            ),
        ]
        for code, changes in cases:
            with self.subTest(changes=changes):
                fixture = builders_search.build_fixture()
                self.assert_code(_run_search(fixture, **changes), code, True)
                self.assertEqual(fixture.transport.requests, [])
                self.assert_idle(fixture)

    def test_no_configuration(self) -> None:
        fixture = builders_search.build_fixture()
        fixture.configuration_holder.current = None
        self.assert_code(
            _run_search(fixture), codes.Code.NO_CONFIGURATION, True
        )

    def test_availability_zone_out(self) -> None:
        fixture = builders_search.build_fixture()
        assert fixture.configuration_holder.current is not None
        out = configuration.AvailabilityZoneSpec("az-a", "r1", True)
        fixture.configuration_holder.current = dataclasses.replace(
            fixture.configuration_holder.current,
            availability_zones=types.MappingProxyType({"az-a": out}),
        )
        self.assert_code(
            _run_search(fixture), codes.Code.AVAILABILITY_ZONE_OUT, True
        )

    def test_availability_zone_out_serves_during_the_grace_time(self) -> None:
        # The load balancer sends searches until its next readiness check.
        fixture = builders_search.build_fixture()
        assert fixture.configuration_holder.current is not None
        out = configuration.AvailabilityZoneSpec("az-a", "r1", True)
        fixture.configuration_holder.current = dataclasses.replace(
            fixture.configuration_holder.current,
            availability_zones=types.MappingProxyType({"az-a": out}),
        )
        fixture.searcher.accept_while_zone_out_until(float("inf"))
        self.assertIs(_run_search(fixture).code, codes.Code.OK)
        fixture.searcher.accept_while_zone_out_until(0)
        self.assert_code(
            _run_search(fixture), codes.Code.AVAILABILITY_ZONE_OUT, True
        )

    def test_searches_above_the_limit_are_refused(self) -> None:
        fixture = builders_search.build_fixture(
            {"acme/s0/p0": _build_handler(0.2)}, max_concurrent_searches=2
        )
        names: list[str] = []

        async def run_one_search() -> None:
            request = builders_search.build_request(deadline_ms=900.0)
            answer = await fixture.searcher.search(request)
            names.append(answer.result_name)

        async def run() -> None:
            async with trio.open_nursery() as nursery:
                for _ in range(3):
                    nursery.start_soon(run_one_search)

        builders_search.run_on_mock_clock(run)
        self.assertEqual(sorted(names), ["OK", "OK", "OVERLOADED"])
        self.assert_idle(fixture)

    def test_cancelled_caller_leaves_nothing_running(self) -> None:
        fixture = builders_search.build_fixture(
            {"acme/s0/p0": _build_handler(0.5)}
        )

        async def run() -> None:
            with trio.move_on_after(0.1):
                await fixture.searcher.search(builders_search.build_request())

        builders_search.run_on_mock_clock(run)
        self.assert_idle(fixture)
        self.assertEqual(len(fixture.transport.cancelled_search_ids), 1)

    def test_concurrent_searches_get_their_own_replies(self) -> None:
        fixture = builders_search.build_fixture()
        delays = iter(range(1000))

        async def reply_with_jitter(
            request: messages.ShardRequest,
        ) -> messages.ShardReply:
            await trio.sleep(next(delays) * 7919 % 100 / 1000)
            return builders_search.build_reply(request)

        for index in range(4):
            fixture.transport.handlers[f"acme/s0/p{index}"] = reply_with_jitter

        async def run_one_search(number: int) -> None:
            request = builders_search.build_request(query=str(number).encode())
            answer = await fixture.searcher.search(request)
            self.assertTrue(answer.complete)
            for hit in answer.hits:
                expected = f'["{hit.shard}",{{"query":{number}}}]'.encode()
                self.assertEqual(bytes(hit.hit), expected)

        async def run() -> None:
            async with trio.open_nursery() as nursery:
                for number in range(50):
                    nursery.start_soon(run_one_search, number)

        builders_search.run_on_mock_clock(run)
        self.assert_idle(fixture)


class SearcherAtMostOnceTest(SearcherTestCase):
    """A request that must run at most once is claimed first and sent once."""

    def _search_once(
        self, fixture: builders_search.SearcherFixture, **changes: Any
    ) -> search.SearchAnswer:
        return _run_search(
            fixture, repeatable=False, idempotency_key="k", **changes
        )

    def test_second_call_gets_the_stored_outcome(self) -> None:
        fixture = builders_search.build_fixture(shard_count=1)
        first = self._search_once(fixture)
        second = self._search_once(fixture)
        self.assert_code(first, codes.Code.OK, False)
        self.assertEqual(second.hits, first.hits)
        self.assertEqual(len(fixture.transport.requests), 1)
        self.assertFalse(fixture.transport.requests[0].repeatable)

    def test_unknown_outcome_is_never_sent_twice(self) -> None:
        for code in (
            codes.Code.CONNECTION_LOST,
            codes.Code.OWNER_LOST,
            codes.Code.RESPONSE_INVALID,
        ):
            with self.subTest(code=code):
                fixture = builders_search.build_fixture(
                    {"acme/s0/p0": _build_handler(code=code)}, shard_count=1
                )
                self.assert_code(self._search_once(fixture), code, False)
                again = self._search_once(fixture)
                self.assert_code(again, codes.Code.ALREADY_CLAIMED, False)
                self.assertEqual(len(fixture.transport.requests), 1)

    def test_lost_snapshot_is_retried_only_if_not_run(self) -> None:
        for not_run, count in ((True, 2), (False, 1)):
            with self.subTest(not_run=not_run):
                fixture = builders_search.build_fixture(
                    {
                        "acme/s0/p0": _build_handler(
                            code=codes.Code.SNAPSHOT_UNAVAILABLE,
                            not_run=not_run,
                        )
                    },
                    shard_count=1,
                )
                answer = self._search_once(fixture)
                self.assertEqual(answer.not_run, not_run)
                self.assertEqual(len(fixture.transport.requests), count)

    def test_refused_claims_send_nothing(self) -> None:
        for code in (
            codes.Code.STORE_UNAVAILABLE,
            codes.Code.CLAIM_UNRESOLVED,
            codes.Code.ALREADY_CLAIMED,
        ):
            with self.subTest(code=code):
                fixture = builders_search.build_fixture(shard_count=1)
                fixture.claims.refusal_code = code
                not_run = codes.INFO[code].not_run
                self.assert_code(self._search_once(fixture), code, not_run)
                self.assertEqual(fixture.transport.requests, [])

    def test_late_claim_sends_nothing(self) -> None:
        fixture = builders_search.build_fixture(shard_count=1)
        fixture.claims.delay_s = 60.0
        answer = self._search_once(fixture, deadline_ms=200.0)
        self.assert_code(answer, codes.Code.CLAIM_UNRESOLVED, True)
        self.assertEqual(fixture.transport.requests, [])


class DrainTest(SearcherTestCase):
    """A drain lets running searches finish and refuses later ones."""

    def test_running_search_finishes(self) -> None:
        fixture = builders_search.build_fixture(
            {"acme/s0/p0": _build_handler(0.5)}, preference="coverage"
        )
        readiness = search.Readiness()
        readiness.set_ready(True)
        answers: list[search.SearchAnswer] = []

        async def run_one_search(delay_s: float) -> None:
            await trio.sleep(delay_s)
            request = builders_search.build_request()
            answers.append(await fixture.searcher.search(request))

        async def run() -> None:
            async with trio.open_nursery() as nursery:
                # One search starts within the grace time, one after it.
                nursery.start_soon(run_one_search, 0.15)
                nursery.start_soon(run_one_search, 0.3)
                await trio.sleep(0.1)
                await search.drain(readiness, fixture.searcher, 100.0)
                self.assertFalse(readiness.is_ready())
                self.assert_idle(fixture)

        builders_search.run_on_mock_clock(run)
        names = sorted(answer.result_name for answer in answers)
        self.assertEqual(names, ["OK", "SHUTTING_DOWN"])
