"""Tests of the parts of the dispatcher that read no clock."""

import dataclasses
import random
import unittest

from geraniumstair import canary
from geraniumstair import endpoint_http
from geraniumstair.dispatch import _budget
from geraniumstair.dispatch import _queue
from geraniumstair.dispatch import _ramp
from geraniumstair.dispatch import _shedding


@dataclasses.dataclass(eq=False)
class _Item:
    priority: int
    deadline_s: float


class RequestQueueTest(unittest.TestCase):
    """Guards against requests that are lost, repeated or out of order."""

    def test_order_and_content_match_a_sorted_list(self) -> None:
        rng = random.Random(4)
        queue: _queue.RequestQueue[_Item] = _queue.RequestQueue(1000)
        expected: list[_Item] = []
        for _ in range(3000):
            action = rng.random()
            if action < 0.55 or not expected:
                item = _Item(rng.randrange(3), rng.random())
                queue.push(item)
                expected.append(item)
            elif action < 0.8:
                item = rng.choice(expected)
                self.assertTrue(queue.remove(item))
                self.assertFalse(queue.remove(item))
                expected.remove(item)
            else:
                expected.sort(key=lambda i: (i.priority, i.deadline_s))
                self.assertIs(queue.peek(), expected[0])
                self.assertIs(queue.least_urgent(), expected[-1])
            self.assertEqual(len(queue), len(expected))
        self.assertEqual(set(queue.items()), set(expected))

    def test_item_can_be_pushed_again_after_removal(self) -> None:
        queue: _queue.RequestQueue[_Item] = _queue.RequestQueue(10)
        item = _Item(1, 1.0)
        for _ in range(3):
            queue.push(item)
            queue.remove(item)
        queue.push(item)
        self.assertEqual(queue.items(), [item])
        self.assertEqual(queue.count_ahead(0), 0)
        self.assertEqual(queue.count_ahead(1), 1)


class TokenBucketTest(unittest.TestCase):
    """Guards against more extra requests than the budget."""

    def test_extra_requests_stay_below_the_percentage(self) -> None:
        bucket = _budget.TokenBucket(5, capacity=10)
        consumed = 0
        for count in range(1, 2001):
            bucket.refill()
            consumed += bucket.try_consume()
            self.assertLessEqual(consumed, count * 0.05 + 1e-6)
        self.assertGreaterEqual(consumed, 99)

    def test_saved_tokens_are_capped(self) -> None:
        bucket = _budget.TokenBucket(50, capacity=3)
        for _ in range(100):
            bucket.refill()
        self.assertEqual(sum(bucket.try_consume() for _ in range(10)), 3)


class LatencyWindowTest(unittest.TestCase):
    """Guards against quantiles of samples that left the window."""

    def test_quantiles_match_the_last_samples(self) -> None:
        rng = random.Random(1)
        window = endpoint_http.LatencyWindow(50)
        samples = [rng.choice([1.0, 2.0, rng.random()]) for _ in range(400)]
        for count, sample in enumerate(samples, 1):
            window.add(sample)
            recent = sorted(samples[max(0, count - 50) : count])
            self.assertEqual(window.quantile(0), recent[0])
            self.assertEqual(window.quantile(1), recent[-1])
            self.assertEqual(
                window.quantile(0.5), recent[int(0.5 * len(recent))]
            )


class RampTest(unittest.TestCase):
    """Guards against a limit that rises on slow answers."""

    def test_limit_rises_one_by_one_and_ends_warm(self) -> None:
        ramp = _ramp.Ramp(4)
        limits = [ramp.limit]
        while not ramp.warm:
            for _ in range(_ramp.COMPLETIONS_PER_STEP):
                ramp.record_completion(10, 0)
            limits.append(ramp.limit)
        self.assertEqual(limits, [1, 2, 3, 4])

    def test_endpoint_slower_than_warm_siblings_stays_cold(self) -> None:
        ramp = _ramp.Ramp(4)
        for _ in range(200):
            ramp.record_completion(50, 10)
            self.assertEqual(ramp.limit, 1)

    def test_endpoint_that_is_slow_half_of_the_time_stays_cold(self) -> None:
        """Guards against a limit that rises on a chance run of fast answers."""
        ramp = _ramp.Ramp(2)
        rng = random.Random(1)
        for _ in range(2000):
            ramp.record_completion(rng.choice((15, 45)), 10)
            self.assertEqual(ramp.limit, 1)

    def test_endpoint_without_warm_siblings_becomes_warm(self) -> None:
        """Guards against a baseline that follows only the fastest answers."""
        for seed in range(20):
            ramp = _ramp.Ramp(2)
            rng = random.Random(seed)
            for _ in range(400):
                ramp.record_completion(rng.gammavariate(4, 2.5), 0)
            self.assertTrue(ramp.warm)

    def test_stragglers_delay_the_ramp_only_a_little(self) -> None:
        """Guards against an endpoint that never becomes warm again."""
        ramp = _ramp.Ramp(2)
        for index in range(3 * _ramp.COMPLETIONS_PER_STEP):
            ramp.record_completion(100 if index % 16 == 15 else 10, 10)
        self.assertTrue(ramp.warm)

    def test_usual_variation_raises_no_suspicion(self) -> None:
        # Wrong suspicions halve the slots of a healthy shard under load.
        service = random.Random(1)
        ramp = _ramp.Ramp(2)
        suspicions = 0
        for _ in range(20_000):
            latency_ms = service.gammavariate(4, 2.5)
            if service.random() < 0.01:
                latency_ms *= 10
            suspicions += ramp.record_completion(latency_ms, 0.0)
        self.assertEqual(suspicions, 0)

    def test_single_straggler_raises_no_suspicion(self) -> None:
        ramp = _ramp.Ramp(1)
        ramp.restore(1, True, 10)
        for _ in range(20):
            self.assertFalse(ramp.record_completion(100, 10))
            self.assertFalse(ramp.record_completion(10, 10))
        self.assertTrue(ramp.warm)


class LoadShedderTest(unittest.TestCase):
    """Guards against shards that differ in choice or refuse permanently."""

    def _build_overloaded_shedder(self, seed: int) -> _shedding.LoadShedder:
        """Returns a shedder that was offered three times its capacity."""
        order = random.Random(seed)
        shedder = _shedding.LoadShedder()
        for index in range(900):
            shedder.record_offered(index / 300)
            if order.random() < 1 / 3:
                shedder.record_answered(index / 300)
        return shedder

    def test_shards_admit_the_same_searches(self) -> None:
        admitted = []
        for seed in (1, 2):
            shedder = self._build_overloaded_shedder(seed)
            ranks = [rank / 100 for rank in range(100)]
            admitted.append({r for r in ranks if shedder.admits(r, 0.25, 3.0)})
        self.assertGreater(len(admitted[0] & admitted[1]), 25)
        self.assertLess(len(admitted[0] ^ admitted[1]), 10)

    def test_longer_waits_admit_fewer_searches(self) -> None:
        shedder = self._build_overloaded_shedder(1)
        self.assertTrue(shedder.admits(0.25, 0.2, 3.0))
        self.assertFalse(shedder.admits(0.25, 1.0, 3.0))

    def test_empty_queue_admits_all(self) -> None:
        # After all its endpoints were unusable, a shard must admit requests
        # again.
        shedder = _shedding.LoadShedder()
        for index in range(300):
            shedder.record_offered(index / 300)
        self.assertFalse(shedder.admits(0.01, 0.5, 1.0))
        self.assertTrue(shedder.admits(1.0, 0.0, 1.0))

    def test_rank_follows_from_the_search_id(self) -> None:
        low = _shedding.search_rank(bytes(16))
        high = _shedding.search_rank(bytes([255] * 16))
        self.assertEqual(low, 0.0)
        self.assertGreater(high, 0.999)


class VersionGateTest(unittest.TestCase):
    """Guards against a share above its step after a change of step."""

    def test_changed_share_ignores_earlier_requests(self) -> None:
        def share(pct: float) -> canary.VersionShare:
            return canary.VersionShare("r", "s", "v1", "v2", pct)

        gate = canary.VersionGate(share(5))
        for pct in (5, 25, 5):
            gate.set_share(share(pct))
            new = 0
            for count in range(1, 5001):
                version = "v2" if gate.allows("v2") else "v1"
                gate.count_request(version)
                new += version == "v2"
                self.assertLessEqual(new, pct / 100 * count)
            self.assertGreater(new, pct / 100 * 5000 * 0.9)

    def test_unused_share_is_not_caught_up_with_a_burst(self) -> None:
        share = canary.VersionShare("r", "s", "v1", "v2", 5)
        gate = canary.VersionGate(share)
        for _ in range(900):
            gate.count_request("v1")
        new = 0
        for _ in range(100):
            version = "v2" if gate.allows("v2") else "v1"
            gate.count_request(version)
            new += version == "v2"
        self.assertLessEqual(new, 5)

    def test_blocked_version_gets_nothing(self) -> None:
        share = canary.VersionShare("r", "s", "v1", "v2", 5, frozenset({"v3"}))
        self.assertFalse(canary.VersionGate(share).allows("v3"))


class RolloutEvidenceTest(unittest.TestCase):
    """Guards against a cold start that is taken for a slow version."""

    def setUp(self) -> None:
        share = canary.VersionShare("r", "s", "v1", "v2", 5)
        self.evidence = canary.RolloutEvidence(canary.VersionGate(share))
        for _ in range(100):
            self._add("v1", 10)

    def _add(self, version: str, latency_ms: float) -> bool:
        answer = canary.Answer(f"e-{version}", latency_ms, abandoned=False)
        return self.evidence.add_answer(version, "search", 1, answer)

    def test_slightly_slow_start_is_no_evidence(self) -> None:
        for _ in range(canary.COLD_ANSWERS):
            self.assertFalse(self._add("v2", 25))
        self.assertEqual(self.evidence.find_clear_fault(1), "")

    def test_slowness_after_the_start_is_evidence(self) -> None:
        for _ in range(canary.CONSECUTIVE_WARM_ANSWERS):
            self._add("v2", 10)
        for _ in range(6):
            self.assertTrue(self._add("v2", 25))
        self.assertTrue(self.evidence.find_clear_fault(1).startswith("SLOW"))


if __name__ == "__main__":
    unittest.main()
