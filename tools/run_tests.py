"""Runs the unit tests, except for those listed in KNOWN-RED.txt.

A line `test: <test id>` in KNOWN-RED.txt names a test that fails because of
a known fault. The tool skips exactly these tests, and prints their ids.
"""

import pathlib
import sys
import unittest

_ROOT = pathlib.Path(__file__).parent.parent
_KNOWN_RED = _ROOT / "KNOWN-RED.txt"


def _read_known_red_ids() -> frozenset[str]:
    if not _KNOWN_RED.exists():
        return frozenset()
    lines = _KNOWN_RED.read_text(encoding="utf-8").splitlines()
    test_lines = [line for line in lines if line.startswith("test:")]
    return frozenset(line.removeprefix("test:").strip() for line in test_lines)


def _list_cases(suite: unittest.TestSuite) -> list[unittest.TestCase]:
    cases: list[unittest.TestCase] = []
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            cases += _list_cases(item)
        else:
            cases.append(item)
    return cases


def main(arguments: list[str]) -> int:
    """Runs all tests, or the given ones.

    Args:
        arguments: Dotted names of tests or test modules; empty for all tests.

    Returns:
        Exit status: 1 if a test failed or no test ran, otherwise 0.
    """
    loader = unittest.TestLoader()
    if arguments:
        suite = loader.loadTestsFromNames(arguments)
    else:
        suite = loader.discover(str(_ROOT / "tests"), top_level_dir=str(_ROOT))
    cases = _list_cases(suite)
    known_red = _read_known_red_ids()
    skipped_ids = sorted(c.id() for c in cases if c.id() in known_red)
    for test_id in skipped_ids:
        print(f"known red, passed over: {test_id}")
    selected = [c for c in cases if c.id() not in known_red]
    runner = unittest.TextTestRunner(stream=sys.stdout, verbosity=1)
    outcome = runner.run(unittest.TestSuite(selected))
    failed = len(outcome.failures) + len(outcome.errors)
    failed += len(outcome.unexpectedSuccesses)
    skipped = len(outcome.skipped) + len(skipped_ids)
    passed = outcome.testsRun - failed - len(outcome.skipped)
    print(f"{passed} passed, {failed} failed, {skipped} skipped")
    return 1 if failed or not outcome.testsRun else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
