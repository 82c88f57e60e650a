"""Tests of the canary analysis and of merged rollout states."""

import unittest

from geraniumstair import canary
from geraniumstair import rollout
from geraniumstair._generated import messages
from geraniumstair.canary import _fault_detection
from tests import builders_rollout


def _run_rollout(new: builders_rollout.Behaviour, **kwargs: object):
    traffic = builders_rollout.TrafficGenerator(7, new, **kwargs)
    run = builders_rollout.RolloutRun(builders_rollout.build_rule(), traffic)
    run.run()
    return run, traffic


def _faulty_from(fault_start_s: float, fault: tuple[float, float]):
    """Returns a behaviour that turns faulty at a time after the start."""

    def behaviour(now_s: float, route: str, share_pct: float):
        if now_s - builders_rollout.START_S < fault_start_s:
            return builders_rollout.healthy(now_s, route, share_pct)
        return fault

    return behaviour


def _faulty_above_share(min_share_pct: float, fault: tuple[float, float]):
    """Returns a behaviour that is healthy below a share of the traffic."""

    def behaviour(now_s: float, route: str, share_pct: float):
        if share_pct < min_share_pct:
            return builders_rollout.healthy(now_s, route, share_pct)
        return fault

    return behaviour


def _faulty_on_route(faulty_route: str, fault: tuple[float, float]):
    """Returns a behaviour that is healthy on all other routes."""

    def behaviour(now_s: float, route: str, share_pct: float):
        if route != faulty_route:
            return builders_rollout.healthy(now_s, route, share_pct)
        return fault

    return behaviour


FAILING = (0.5, 0.06)
SLOW = (0.001, 0.7)
FAULTY_BEHAVIOURS = {
    "fails at once": _faulty_from(0, FAILING),
    "slow at once": _faulty_from(0, SLOW),
    "fails later": _faulty_from(20, FAILING),
    "slow later": _faulty_from(20, SLOW),
    "fails under load": _faulty_above_share(50, FAILING),
    "slow under load": _faulty_above_share(50, SLOW),
    "fails on one route": _faulty_on_route("history", FAILING),
    "slow on one route": _faulty_on_route("history", SLOW),
}


class RolloutJudgeTest(unittest.TestCase):
    """Guards against rollouts that end wrongly, late or without a reason."""

    def test_each_kind_of_faulty_version_is_rolled_back(self) -> None:
        for kind, behaviour in FAULTY_BEHAVIOURS.items():
            with self.subTest(kind):
                run, _ = _run_rollout(behaviour)
                self.assertIs(run.decision.progress, canary.Progress.TAKEN_BACK)
                self.assertIn(
                    run.decision.reason.split(":")[0], ("FAILING", "SLOW")
                )

    def test_immediately_faulty_version_never_leaves_the_first_step(
        self,
    ) -> None:
        run, _ = _run_rollout(FAULTY_BEHAVIOURS["fails at once"])
        self.assertEqual(run.decision.step, 0)

    def test_reason_names_the_only_faulty_route(self) -> None:
        run, _ = _run_rollout(FAULTY_BEHAVIOURS["fails on one route"])
        self.assertIn("history", run.decision.reason)

    def test_good_version_is_complete_before_the_deadline(self) -> None:
        for requests_per_s in (100, 400):
            with self.subTest(requests_per_s):
                run, _ = _run_rollout(
                    builders_rollout.healthy, requests_per_s=requests_per_s
                )
                self.assertIs(run.decision.progress, canary.Progress.DONE)
                rule = builders_rollout.build_rule()
                self.assertLessEqual(run.ended_s, rule.done_by_s)

    def test_slowdown_of_both_versions_is_no_fault(self) -> None:
        slowdown = _faulty_from(15, (0.02, 0.6))
        run, _ = _run_rollout(slowdown, old=slowdown)
        self.assertIs(run.decision.progress, canary.Progress.DONE)

    def test_slowdown_of_both_versions_at_the_last_step_is_no_fault(
        self,
    ) -> None:
        """The old version has few requests, so it shows the slowdown late."""
        slowdown = _faulty_from(42, (0.02, 0.6))
        for requests_per_s in (60, 100, 200):
            with self.subTest(requests_per_s):
                run, _ = _run_rollout(
                    slowdown, old=slowdown, requests_per_s=requests_per_s
                )
                self.assertIs(run.decision.progress, canary.Progress.DONE)

    def test_long_first_step_does_not_delay_the_end(self) -> None:
        """A service with few requests takes long to get its first evidence."""
        run, _ = _run_rollout(builders_rollout.healthy, requests_per_s=40)
        self.assertIs(run.decision.progress, canary.Progress.DONE)
        rule = builders_rollout.build_rule()
        self.assertLess(run.ended_s, rule.done_by_s)

    def test_weak_evidence_prevents_completion(self) -> None:
        """Guards against completion despite a fault just before the end."""
        run, _ = _run_rollout(_faulty_from(52, (0.06, 0.06)), requests_per_s=20)
        self.assertIs(run.decision.progress, canary.Progress.TAKEN_BACK)

    def test_rollout_without_traffic_reports_missing_requests(self) -> None:
        run, _ = _run_rollout(builders_rollout.healthy, requests_per_s=0)
        self.assertEqual(
            run.decision,
            canary.Decision(
                canary.Progress.TAKEN_BACK,
                0,
                "TIME_OVER: step 1 of 4, 0 of 20 requests",
            ),
        )

    def test_store_outage_prevents_steps_and_is_the_reason(self) -> None:
        rule = builders_rollout.build_rule()
        judge = canary.RolloutJudge(rule)
        judge.decide(rule.start_s)
        held = judge.decide(rule.done_by_s - 1, store_available=False)
        self.assertEqual(held.step, 0)
        ended = judge.decide(rule.done_by_s, store_available=False)
        self.assertEqual(ended.reason, "STORE_OUTAGE")

    def test_final_decision_never_changes(self) -> None:
        run, traffic = _run_rollout(FAULTY_BEHAVIOURS["fails at once"])
        judge = canary.RolloutJudge(builders_rollout.build_rule(), run.decision)
        judge.add_report(traffic.report(run.ended_s, 100))
        self.assertEqual(judge.decide(run.ended_s + 1), run.decision)


class EvidenceTableTest(unittest.TestCase):
    """Guards against evidence that is counted twice."""

    def test_duplicate_report_is_ignored(self) -> None:
        table = canary.EvidenceTable("v1", "v2")
        row = builders_rollout.build_row("v2", 5, completed=3, failed=1)
        report = messages.EvidenceReport(
            node_id="n1", sequence=1, evidence=[row]
        )
        self.assertTrue(table.add_report(report))
        self.assertFalse(table.add_report(report))
        self.assertEqual(table.count_new_version_requests(), 4)


class LowerTailTest(unittest.TestCase):
    """Guards against underflow to 0 for services with many requests."""

    def test_tail_is_continuous_at_the_switch_to_the_approximation(
        self,
    ) -> None:
        below = _fault_detection.poisson_lower_tail(
            490, _fault_detection.MAX_EXACT_POISSON_MEAN
        )
        above = _fault_detection.poisson_lower_tail(
            490, _fault_detection.MAX_EXACT_POISSON_MEAN + 0.01
        )
        self.assertAlmostEqual(below, above, delta=0.01)
        self.assertGreater(
            _fault_detection.poisson_lower_tail(2000, 2000.0), 0.4
        )


class RolloutStatesTest(unittest.TestCase):
    """Guards against a delayed message that replaces a newer state."""

    def _state(self, state: str, step: int) -> messages.RolloutState:
        return messages.RolloutState(
            rollout="roll-1",
            state=state,
            step=step,
            share_pct=0.0,
            reason="",
            updated_ms=0,
            recorded=False,
            service="acme/s0",
            old_version="v1",
            new_version="v2",
            start_ms=0,
        )

    def test_delayed_step_does_not_replace_a_rollback(self) -> None:
        rollout_states = rollout.RolloutStates()
        self.assertTrue(rollout_states.merge(self._state("GOING_ON", 1)))
        self.assertTrue(rollout_states.merge(self._state("TAKEN_BACK", 1)))
        self.assertFalse(rollout_states.merge(self._state("GOING_ON", 2)))

    def test_earlier_step_is_ignored(self) -> None:
        rollout_states = rollout.RolloutStates()
        rollout_states.merge(self._state("GOING_ON", 2))
        self.assertFalse(rollout_states.merge(self._state("GOING_ON", 1)))
