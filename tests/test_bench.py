"""Tests of the load generator's schedule, reports and checks."""

import unittest

import trio

from bench import _arrivals
from bench import _generator
from bench import _report
from bench import _senders
from bench import _verify
from standins import endpoint
from tests import builders_endpoint

_SHARDS = ["acme/s0/p0", "acme/s1/p0"]


class PoissonScheduleTest(unittest.TestCase):
    """Guards against schedules that differ between runs with one seed."""

    def test_same_seed_gives_the_same_schedule(self) -> None:
        first = _arrivals.poisson_schedule(50, 10, seed=3)
        self.assertEqual(first, _arrivals.poisson_schedule(50, 10, seed=3))
        self.assertNotEqual(first, _arrivals.poisson_schedule(50, 10, seed=4))

    def test_schedule_has_the_rate_and_is_sorted(self) -> None:
        schedule = _arrivals.poisson_schedule(100, 100, seed=1)
        self.assertAlmostEqual(len(schedule), 10000, delta=300)
        self.assertEqual(list(schedule), sorted(schedule))
        self.assertLess(schedule[-1], 100)


class _StalledSender:
    """Answers no search before a given time, then all of them."""

    def __init__(self, stalled_until_s: float) -> None:
        self._stalled_until_s = stalled_until_s

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        task_status.started()
        await trio.sleep_forever()

    async def send(self, query: str, report: _report.LoadReport) -> bool:
        await trio.sleep_until(self._stalled_until_s)
        return True


class RunScheduleTest(unittest.TestCase):
    """Guards against latencies that leave out the wait during a stall."""

    def test_latency_counts_from_the_scheduled_arrival(self) -> None:
        async def run() -> None:
            spec = _senders.LoadSpec(
                mode="nodes",
                caller_ports=[],
                subsidiary="acme",
                service_set="all",
                shards=[],
                rate_per_s=100.0,
                duration_s=10.0,
            )
            sender = _StalledSender(trio.current_time() + 10)
            report = await _generator.run_schedule(spec, sender)
            self.assertAlmostEqual(report.counts.sent, 1000, delta=120)
            self.assertAlmostEqual(report.percentile_ms(50), 5000, delta=600)

        builders_endpoint.run_virtual(run)


class LoadReportTest(unittest.TestCase):
    """Guards against results lost between generator processes."""

    def test_merge_adds_counts_and_latencies(self) -> None:
        parts = []
        for latency_s, lag_ms in ((0.01, 5.0), (0.1, 2.0)):
            report = _report.LoadReport()
            report.counts.sent = 2
            report.counts.worst_start_lag_ms = lag_ms
            report.record_latency(latency_s)
            parts.append(report.to_worker_report())
        merged = _report.LoadReport.merge(parts)
        self.assertEqual(merged.counts.sent, 4)
        self.assertEqual(merged.counts.worst_start_lag_ms, 5.0)
        self.assertAlmostEqual(merged.percentile_ms(50), 10, delta=0.1)
        self.assertAlmostEqual(merged.percentile_ms(100), 100, delta=0.1)


def _answer(
    shards: list[str], query: str = "oak", **coverage: object
) -> dict[str, object]:
    hits = [
        {"shard": shard, "hit": {"id": hit.id, "score": hit.score}}
        for shard in shards
        for hit in endpoint.compute_hits(shard, 7, query)
    ]
    true_coverage = {
        "missing": [shard for shard in _SHARDS if shard not in shards],
        "coverage_pct": 100 * len(shards) / len(_SHARDS),
    }
    return {"snapshot": 7, "hits": hits, "coverage": true_coverage | coverage}


class CheckAnswerTest(unittest.TestCase):
    """Guards against benchmarks that count a wrong answer as correct."""

    def _check(self, answer: dict[str, object]) -> _verify.AnswerCheck:
        return _verify.check_answer(answer, _SHARDS, "oak")

    def test_correct_full_and_partial_answers_pass(self) -> None:
        for shards in (_SHARDS, _SHARDS[:1], []):
            check = self._check(_answer(shards))
            self.assertTrue(check.hits_match)
            self.assertTrue(check.complete)
            self.assertTrue(check.coverage_correct)

    def test_hits_of_another_query_are_detected(self) -> None:
        self.assertFalse(self._check(_answer(_SHARDS, "ash")).hits_match)

    def test_hits_of_another_snapshot_are_detected(self) -> None:
        answer = _answer(_SHARDS) | {"snapshot": 8}
        self.assertFalse(self._check(answer).hits_match)

    def test_lost_hits_of_an_answered_shard_are_detected(self) -> None:
        answer = _answer(_SHARDS[:1], missing=[], coverage_pct=100.0)
        check = self._check(answer)
        self.assertFalse(check.complete)
        self.assertFalse(check.coverage_correct)

    def test_overstated_coverage_is_detected(self) -> None:
        answer = _answer(_SHARDS[:1], coverage_pct=100.0)
        self.assertFalse(self._check(answer).coverage_correct)
