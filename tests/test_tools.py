"""Tests of the tools that CI runs."""

import unittest

from tools import check_platform
from tools import check_style


class CheckLogMessagesTest(unittest.TestCase):
    """Guards against log messages without the prefix of their package."""

    def _check_log_call(self, call: str) -> list[str]:
        return check_style.check_log_messages(call, "peers", "m.py")

    def test_log_messages_need_a_constant_prefix(self) -> None:
        self.assertEqual(self._check_log_call('_LOG.info("peers: Up.", 1)'), [])
        self.assertEqual(self._check_log_call('other.info("Up.")'), [])
        for call in (
            '_LOG.info("Up.")',
            '_logger.error(f"peers: {x}")',
            '_LOG.log(level, "Up.")',
        ):
            self.assertEqual(len(self._check_log_call(call)), 1, call)


class CheckMachinePathsTest(unittest.TestCase):
    """Guards against files that only fit one developer's machine."""

    def test_machine_paths_are_reported_by_line(self) -> None:
        text = "docs/work/x\n" + "/" + "home/someone/x\n/tmp/devsite-1\n"
        violations = check_style.check_machine_paths(text, "page.md")
        self.assertEqual(
            violations, ["page.md:2: contains a path of a developer's machine"]
        )


class CheckPlatformTest(unittest.TestCase):
    """Guards against platform names in other packages."""

    def test_names_are_collected_from_literals(self) -> None:
        source = 'A = b"x-odd-name"\nB = "FieldName"\nC = "op/config"\nD = "s"'
        self.assertEqual(
            check_platform.collect_platform_names(source),
            {"x-odd-name", "FieldName", "op/config"},
        )

    def test_names_and_imports_in_other_packages_are_violations(self) -> None:
        names = {"FieldName"}
        for source, count in (
            ('a = "FieldName"', 1),
            ('a = b"FieldName"', 1),
            ("from geraniumstair.platform import _http", 1),
            ("import geraniumstair.platform._http", 1),
            ("from geraniumstair import platform", 1),
            ("import platform\nfield_name = 1", 0),
        ):
            violations = check_platform.find_violations(source, "m.py", names)
            self.assertEqual(len(violations), count, source)
