"""Tests of the limit on searches in progress."""

import unittest

from geraniumstair.forward import _admission

_SHARDS = ("s1", "s2", "s3", "s4")


class JudgeSearchTest(unittest.TestCase):
    """Guards against slow endpoints that count as an overload."""

    def _judge(
        self, shards: int, parts_at_goal: int | None, answered: bool = True
    ) -> _admission.Evidence:
        return _admission.judge_search(shards, parts_at_goal, answered=answered)

    def test_only_a_search_without_most_parts_shows_an_overload(self) -> None:
        evidence = _admission.Evidence
        self.assertIs(self._judge(20, None), evidence.IN_TIME)
        self.assertIs(self._judge(20, None, False), evidence.UNCLEAR)
        self.assertIs(self._judge(20, 2), evidence.OVERLOADED)
        self.assertIs(self._judge(20, 16), evidence.UNCLEAR)
        self.assertIs(self._judge(2, 0), evidence.UNCLEAR)


class AdmissionControlTest(unittest.TestCase):
    """Guards against limits that starve callers or let queues grow."""

    def setUp(self) -> None:
        self.now_s = 100.0
        self.control = _admission.AdmissionControl(lambda: self.now_s)

    def _admit(
        self, preferred: bool = False
    ) -> _admission.Permit | _admission.Rejection:
        return self.control.admit(_SHARDS, preferred=preferred)

    def _overload(self, in_progress: int) -> list[_admission.Permit]:
        """Admits searches and ends one of them as overloaded."""
        permits = []
        for _ in range(in_progress):
            permit = self._admit()
            assert isinstance(permit, _admission.Permit)
            permits.append(permit)
        self.now_s += 0.2
        self.control.finish(permits[0], _admission.Evidence.OVERLOADED)
        return permits[1:]

    def test_nothing_is_refused_before_an_overload(self) -> None:
        for _ in range(100):
            self.assertIsInstance(self._admit(), _admission.Permit)

    def test_an_overload_limits_new_and_preferred_callers(self) -> None:
        self._overload(10)
        # Nine are in progress, and the limit is seven.
        self.assertIsInstance(self._admit(), _admission.Rejection)
        self.assertIsInstance(self._admit(preferred=True), _admission.Rejection)

    def test_preferred_callers_use_the_whole_limit(self) -> None:
        permits = self._overload(10)
        for permit in permits[:3]:
            self.control.finish(permit, _admission.Evidence.UNCLEAR)
        # Six are in progress: four fifths of the limit are in use.
        self.assertIsInstance(self._admit(), _admission.Rejection)
        self.assertIsInstance(self._admit(preferred=True), _admission.Permit)

    def test_searches_of_before_the_decrease_lower_it_no_further(self) -> None:
        permits = self._overload(10)
        for permit in permits[:-1]:
            self.control.finish(permit, _admission.Evidence.OVERLOADED)
        self.assertIsInstance(self._admit(), _admission.Permit)
        self.assertIsInstance(self._admit(), _admission.Permit)

    def test_searches_in_time_raise_the_limit_again(self) -> None:
        for permit in self._overload(4):
            self.control.finish(permit, _admission.Evidence.UNCLEAR)
        for _ in range(30):
            permit = self._admit()
            assert isinstance(permit, _admission.Permit)
            self.now_s += 0.1
            self.control.finish(permit, _admission.Evidence.IN_TIME)
        admitted = [self._admit() for _ in range(5)]
        for permit in admitted:
            self.assertIsInstance(permit, _admission.Permit)

    def test_refused_callers_return_one_after_the_other(self) -> None:
        self._overload(10)
        waits_s = []
        for _ in range(5):
            rejection = self._admit()
            assert isinstance(rejection, _admission.Rejection)
            waits_s.append(rejection.retry_after_s)
        self.assertEqual(waits_s, sorted(set(waits_s)))
        # A search takes about 0.1 s, and seven run at once.
        self.assertAlmostEqual(
            waits_s[4] - waits_s[0], 4 * 0.11 / 7, delta=0.01
        )

    def test_one_search_is_always_admitted(self) -> None:
        for _ in range(10):
            permit = self._admit()
            assert isinstance(permit, _admission.Permit)
            self.now_s += 1
            self.control.finish(permit, _admission.Evidence.OVERLOADED)

    def test_each_set_of_shards_has_its_own_limit(self) -> None:
        self._overload(10)
        permit = self.control.admit(("t1",), preferred=False)
        self.assertIsInstance(permit, _admission.Permit)


if __name__ == "__main__":
    unittest.main()
