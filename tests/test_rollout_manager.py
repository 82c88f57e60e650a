"""Tests of rollout managers and of rollout records on a virtual clock."""

import dataclasses
import logging
import unittest

from geraniumstair import canary
from geraniumstair import rollout
from tests import builders_rollout
from tests import builders_rollout_manager

_RULE = builders_rollout.build_rule()
_STEP_S = 60 * 0.9 / 4
_TAKEN_BACK = canary.Progress.TAKEN_BACK


def setUpModule() -> None:  # noqa: N802
    """Silences the warnings of injected store failures."""
    logging.getLogger("geraniumstair").setLevel(logging.ERROR)


def tearDownModule() -> None:  # noqa: N802
    """Restores the log level."""
    logging.getLogger("geraniumstair").setLevel(logging.NOTSET)


def _state(progress: canary.Progress, step: int, reason: str = ""):
    decision = canary.Decision(progress, step, reason)
    return rollout.to_state_message(
        _RULE, decision, builders_rollout_manager.WALL_S
    )


class RolloutStoreTest(unittest.TestCase):
    """Guards against a final state that is overwritten or a reverted step."""

    def test_final_state_is_never_overwritten(self) -> None:
        async def check(
            site: builders_rollout_manager.RolloutManagerSite,
        ) -> None:
            first, second = site.rollout_stores
            done = _state(canary.Progress.DONE, 3)
            self.assertTrue((await first.save(done, 0, True)).unwrap())
            stop = _state(_TAKEN_BACK, 1, "late")
            self.assertIsNone((await second.save(stop, 0, True)).unwrap())
            going_on = _state(canary.Progress.GOING_ON, 1)
            self.assertIsNone((await second.save(going_on, 0, False)).unwrap())
            stored = await site.load_stored()
            self.assertTrue(stored.is_final)
            self.assertEqual(stored.state.state, "DONE")

        builders_rollout_manager.run(check)

    def test_step_based_on_an_old_revision_is_refused(self) -> None:
        async def check(
            site: builders_rollout_manager.RolloutManagerSite,
        ) -> None:
            first, second = site.rollout_stores
            step = _state(canary.Progress.GOING_ON, 0)
            revision = (await first.save(step, 0, False)).unwrap()
            step = _state(canary.Progress.GOING_ON, 1)
            await second.save(step, revision, False)
            late = _state(canary.Progress.GOING_ON, 0)
            self.assertIsNone(
                (await first.save(late, revision, False)).unwrap()
            )

        builders_rollout_manager.run(check)


class RolloutManagerTest(unittest.TestCase):
    """Guards against disagreement of nodes and an end without a reason."""

    def test_good_version_is_complete_in_time_on_all_nodes(self) -> None:
        async def check(
            site: builders_rollout_manager.RolloutManagerSite,
        ) -> None:
            await site.run(59)
            for index in range(3):
                self.assertEqual(site.known_state(index), ("DONE", 3, ""))
            self.assertTrue((await site.load_stored()).is_final)

        builders_rollout_manager.run(check, count=3)

    def test_resumed_judge_does_not_change_the_final_state(self) -> None:
        async def check(
            site: builders_rollout_manager.RolloutManagerSite,
        ) -> None:
            await site.run(_STEP_S + 1)
            site.paused = {0}
            site.set_judge(1)
            await site.run(50)
            self.assertEqual(site.known_state(1), ("DONE", 3, ""))
            site.paused = set()
            site.judges[0] = 0
            await site.run(3)
            self.assertEqual(site.known_state(0), ("DONE", 3, ""))
            self.assertEqual(site.known_state(2), ("DONE", 3, ""))
            self.assertEqual((await site.load_stored()).state.state, "DONE")

        builders_rollout_manager.run(check, count=3)

    def test_two_concurrent_judges_agree_on_the_steps(self) -> None:
        async def check(
            site: builders_rollout_manager.RolloutManagerSite,
        ) -> None:
            site.judges = [0, 1, 0]
            seen = 0
            for _ in range(59):
                await site.run(1)
                step = (await site.load_stored()).state.step
                self.assertGreaterEqual(step, seen)
                self.assertLessEqual(step, seen + 1)
                seen = step
                self.assertLessEqual(site.known_state(1)[1], step)
            self.assertEqual(
                {site.known_state(i)[0] for i in range(3)}, {"DONE"}
            )

        builders_rollout_manager.run(check, count=3)

    def test_lost_store_replies_do_not_skip_or_repeat_a_step(self) -> None:
        async def check(
            site: builders_rollout_manager.RolloutManagerSite,
        ) -> None:
            steps = []
            for _ in range(59):
                site.stores[0].faults.lose_next_answers = 1
                await site.run(1)
                steps.append(site.known_state(1)[1])
            self.assertEqual(steps, sorted(steps))
            self.assertEqual(set(steps), {0, 1, 2, 3})
            self.assertEqual(site.known_state(1), ("DONE", 3, ""))

        builders_rollout_manager.run(check)

    def test_new_judge_keeps_the_step_until_it_has_evidence(self) -> None:
        async def check(
            site: builders_rollout_manager.RolloutManagerSite,
        ) -> None:
            await site.run(_STEP_S + 1)
            self.assertEqual(site.known_state(1)[1], 1)
            site.paused = {0}
            site.set_judge(1)
            await site.run(_STEP_S + 1, requests=0)
            self.assertEqual(site.known_state(1)[:2], ("GOING_ON", 1))
            await site.run(2)
            self.assertEqual(site.known_state(1)[:2], ("GOING_ON", 2))

        builders_rollout_manager.run(check)

    def test_changes_of_the_judge_do_not_delay_the_end(self) -> None:
        async def check(
            site: builders_rollout_manager.RolloutManagerSite,
        ) -> None:
            for turn in range(59):
                if turn % 5 == 0:
                    site.set_judge(turn // 5 % 2)
                await site.run(1)
            self.assertEqual(site.known_state(1), ("DONE", 3, ""))

        builders_rollout_manager.run(check)

    def test_evidence_of_a_restarted_node_is_not_a_duplicate(self) -> None:
        async def check(
            site: builders_rollout_manager.RolloutManagerSite,
        ) -> None:
            await site.run(10)
            site.restart(1)
            await site.run(2, failed=20)
            self.assertEqual(site.known_state(0)[0], "TAKEN_BACK")

        builders_rollout_manager.run(check)

    def test_rollback_after_the_final_state_changes_no_node(self) -> None:
        async def check(
            site: builders_rollout_manager.RolloutManagerSite,
        ) -> None:
            await site.run(54.5)
            self.assertEqual(site.known_state(0)[0], "DONE")
            # The operator's node does not know the final state yet.
            site.restart(1)
            stop = _state(_TAKEN_BACK, 3, canary.REASON_OPERATOR)
            saved = await site.rollout_stores[1].save(stop, 0, True)
            self.assertIsNone(saved.unwrap())
            site.restart(0)
            site.restart(1)
            await site.run(2)
            for index in range(2):
                self.assertEqual(site.known_state(index), ("DONE", 3, ""))

        builders_rollout_manager.run(check)

    def test_rollback_on_another_node_is_recorded_by_the_judge(self) -> None:
        async def check(
            site: builders_rollout_manager.RolloutManagerSite,
        ) -> None:
            await site.run(_STEP_S)
            site.managers[1].roll_back(_RULE, canary.REASON_OPERATOR)
            await site.run(2)
            expected = ("TAKEN_BACK", canary.REASON_OPERATOR)
            for index in range(2):
                self.assertEqual(site.known_state(index)[::2], expected)
            stored = await site.load_stored()
            self.assertTrue(stored.is_final)
            self.assertEqual(stored.state.reason, canary.REASON_OPERATOR)

        builders_rollout_manager.run(check)

    def test_recorded_final_state_replaces_a_later_rollback(self) -> None:
        async def check(
            site: builders_rollout_manager.RolloutManagerSite,
        ) -> None:
            site.cut_off = {1}
            await site.run(_STEP_S)
            done = _state(canary.Progress.DONE, 3)
            await site.rollout_stores[0].save(done, 0, True)
            site.managers[1].roll_back(_RULE, "FAILING")
            site.cut_off = set()
            await site.run(5)
            for index in range(2):
                self.assertEqual(site.known_state(index)[0], "DONE")

        builders_rollout_manager.run(check)


class StoreOutageTest(unittest.TestCase):
    """Guards against an end without a reason in a store outage."""

    def _set_store_fault(
        self, site: builders_rollout_manager.RolloutManagerSite, kind: str
    ) -> None:
        for store in site.stores:
            store.faults.down = kind

    def test_outage_at_the_start_only_delays_the_rollout(self) -> None:
        async def check(
            site: builders_rollout_manager.RolloutManagerSite,
        ) -> None:
            self._set_store_fault(site, "hang")
            await site.run(20)
            self.assertNotEqual(site.known_state(0)[0], "GOING_ON")
            self._set_store_fault(site, "")
            await site.run(38)
            self.assertEqual(site.known_state(1), ("DONE", 3, ""))

        builders_rollout_manager.run(check)

    def test_outage_at_the_end_of_a_step_prolongs_the_step(self) -> None:
        async def check(
            site: builders_rollout_manager.RolloutManagerSite,
        ) -> None:
            await site.run(_STEP_S - 3)
            self._set_store_fault(site, "refuse")
            await site.run(15)
            self.assertEqual(site.known_state(1), ("GOING_ON", 0, ""))
            self._set_store_fault(site, "")
            await site.run(32)
            self.assertEqual(site.known_state(1), ("DONE", 3, ""))

        builders_rollout_manager.run(check)

    def test_outage_at_the_deadline_rolls_back_with_that_reason(self) -> None:
        async def check(
            site: builders_rollout_manager.RolloutManagerSite,
        ) -> None:
            await site.run(40)
            self._set_store_fault(site, "refuse")
            await site.run(25)
            expected = ("TAKEN_BACK", "STORE_OUTAGE")
            self.assertEqual(site.known_state(1)[::2], expected)
            self._set_store_fault(site, "")
            await site.run(2)
            stored = await site.load_stored()
            self.assertTrue(stored.is_final)
            self.assertEqual(stored.state.reason, "STORE_OUTAGE")

        builders_rollout_manager.run(check)

    def test_hanging_store_does_not_delay_a_rollback(self) -> None:
        async def check(
            site: builders_rollout_manager.RolloutManagerSite,
        ) -> None:
            await site.run(5)
            self._set_store_fault(site, "hang")
            await site.run(1, failed=20)
            self.assertEqual(site.known_state(1)[0], "TAKEN_BACK")

        builders_rollout_manager.run(check)


class DocumentChangeTest(unittest.TestCase):
    """Guards against a rule that starts with another rollout's outcome."""

    def test_same_name_with_a_new_start_is_another_rollout(self) -> None:
        async def check(
            site: builders_rollout_manager.RolloutManagerSite,
        ) -> None:
            await site.run(55)
            self.assertEqual(site.known_state(0)[0], "DONE")
            later = dataclasses.replace(
                _RULE,
                start_s=_RULE.start_s + 100,
                done_by_s=_RULE.done_by_s + 100,
            )
            site.apply_topology(builders_rollout_manager.build_topology(later))
            await site.run(1)
            self.assertEqual(site.known_state(0)[0], "PENDING")
            (named,) = site.rollout_states[0].list_named_states(site.topology)
            self.assertEqual(
                (named.rollout, named.state), ("roll-1", "PENDING")
            )
            (share,) = site.rollout_states[0].compute_shares(site.topology)
            self.assertEqual(share.share_pct, 0)

        builders_rollout_manager.run(check)

    def test_changed_steps_and_deadline_keep_the_progress(self) -> None:
        async def check(
            site: builders_rollout_manager.RolloutManagerSite,
        ) -> None:
            await site.run(2 * _STEP_S + 2)
            self.assertEqual(site.known_state(0)[1], 2)
            changed = dataclasses.replace(
                _RULE, steps_pct=(5.0, 100.0), done_by_s=_RULE.done_by_s + 20
            )
            site.apply_topology(
                builders_rollout_manager.build_topology(changed)
            )
            await site.run(5)
            self.assertEqual(site.known_state(0)[0], "GOING_ON")
            await site.run(45)
            self.assertEqual(site.known_state(1)[0], "DONE")

        builders_rollout_manager.run(check)

    def test_removed_rollout_returns_all_traffic_at_once(self) -> None:
        async def check(
            site: builders_rollout_manager.RolloutManagerSite,
        ) -> None:
            await site.run(_STEP_S + 1)
            topology_without_rollouts = (
                builders_rollout_manager.build_topology()
            )
            site.apply_topology(topology_without_rollouts)
            for states in site.rollout_states:
                (share,) = states.compute_shares(topology_without_rollouts)
                self.assertEqual(share.share_pct, 0)
                self.assertEqual(share.new_version, "v2")
            await site.run(2, requests=0)
            stored = (await site.rollout_stores[0].load(_RULE.key)).unwrap()
            self.assertTrue(stored.is_final)
            self.assertEqual(stored.state.reason, canary.REASON_REMOVED)
            # Operators still see the rollout, under its key.
            (removed,) = site.rollout_states[0].list_removed_states(
                topology_without_rollouts
            )
            self.assertEqual(removed.rollout, _RULE.key)
            # A node that starts later receives the state from a neighbour.
            site.restart(1)
            await site.run(3, requests=0)
            (share,) = site.rollout_states[1].compute_shares(
                topology_without_rollouts
            )
            self.assertEqual(share.share_pct, 0)

        async def run(
            site: builders_rollout_manager.RolloutManagerSite,
        ) -> None:
            site.report = _report_while_in_document(site)
            await check(site)

        builders_rollout_manager.run(run)

    def test_removed_rollout_is_dropped_with_its_versions(self) -> None:
        async def check(
            site: builders_rollout_manager.RolloutManagerSite,
        ) -> None:
            await site.run(1)
            topology = builders_rollout_manager.build_topology(
                versions=("v1", "v1")
            )
            site.apply_topology(topology)
            self.assertEqual(
                site.rollout_states[0].compute_shares(topology), []
            )

        builders_rollout_manager.run(check)


def _report_while_in_document(
    site: builders_rollout_manager.RolloutManagerSite,
):
    report = site.report

    def report_if_in_document(requests: int, *, failed: int = 0) -> None:
        if site.topology.rollouts:
            report(requests, failed=failed)

    return report_if_in_document


class ChainedRolloutsTest(unittest.TestCase):
    """Guards against traffic to a version whose rollout is not in force."""

    def test_next_version_gets_no_traffic_before_its_rollout(self) -> None:
        rollout_states = rollout.RolloutStates()
        first = _RULE
        second = dataclasses.replace(
            _RULE,
            name="a-later-one",
            old_version="v2",
            new_version="v3",
            start_s=_RULE.start_s + 100,
            done_by_s=_RULE.done_by_s + 100,
        )
        topology = builders_rollout_manager.build_topology(first, second)
        (share,) = rollout_states.compute_shares(topology)
        self.assertEqual(share.new_version, "v2")
        self.assertEqual(share.blocked, {"v3"})
        rollout_states.merge(_state(canary.Progress.DONE, 3))
        (share,) = rollout_states.compute_shares(topology)
        self.assertEqual((share.new_version, share.share_pct), ("v2", 100))
        decision = canary.Decision(canary.Progress.GOING_ON, 0, "")
        rollout_states.merge(
            rollout.to_state_message(second, decision, second.start_s)
        )
        (share,) = rollout_states.compute_shares(topology)
        self.assertEqual((share.new_version, share.share_pct), ("v3", 5))
        self.assertEqual(share.blocked, {"v1"})


if __name__ == "__main__":
    unittest.main()
