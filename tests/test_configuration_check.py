"""Tests of the check of a configuration file before it is sent."""

import contextlib
import io
import json
import pathlib
import subprocess
import sys
import tempfile
import unittest

from geraniumstair import configuration_check
from geraniumstair import gateway
from geraniumstair import mirror
from geraniumstair.platform import _check_model
from geraniumstair.platform import _decoder
from geraniumstair.platform import check
from tests import builders_configuration_check as builders

_A = ("Routes", 0)
_B = ("Routes", 1)
_C = ("Routes", 2)
# Changes of a sound file, and the one line that is expected for them.
_FINDINGS = [
    ({("Version",): builders.REMOVED},
     "error: configuration: not decodable: Object missing required field "
     "`Version`"),
    ({(*_A, "TimeoutMs"): "1"},
     "error: configuration: not decodable: Routes[0]: Expected `float`, got "
     "`str` - at `$.TimeoutMs`"),
    ({("Tenants", 0, "ApiKeys", 0): 5},
     "error: configuration: not decodable: Tenants[0]: Expected `str`, got "
     "`int` - at `$.ApiKeys[0]`"),
    ({(*_C, "Service"): "w"},
     "error: route 'p.example/c/': Service: the service 'w' is not named"),
    ({(*_B, "WeightedSplit", 2): {"Service": "w", "Weight": 1}},
     "error: route 'p.example/b/': WeightedSplit: the service 'w' is not "
     "named"),
    ({(*_A, "FanoutServices", 2): "w"},
     "error: route 'p.example/a/': FanoutServices: the service 'w' is not "
     "named"),
    ({(*_C, "Service"): ""},
     "error: route 'p.example/c/': Service: the route leads to no service"),
    ({(*_A, "Service"): "u"},
     "error: route 'p.example/a/': Service, FanoutServices: the route has both "
     "a service and shards"),
    ({(*_C, "Prefix"): "c/"},
     "error: route 'p.examplec/': Prefix: the prefix does not begin and end "
     "with a slash"),
    ({(*_C, "Prefix"): "/c"},
     "error: route 'p.example/c': Prefix: the prefix does not begin and end "
     "with a slash"),
    ({(*_B, "WeightedSplit", 0, "Weight"): 0},
     "error: route 'p.example/b/': WeightedSplit: the weight 0 of the service "
     "'u' is not positive"),
    ({(*_A, "MinShardRatio"): 1.5},
     "error: route 'p.example/a/': MinShardRatio: 1.5 is not between 0 and 1"),
    ({("Tenants", 0, "ApiKeys"): [""]},
     "error: account 'a': ApiKeys: the account has no keys"),
    ({("Tenants", 0, "Name"): "a\nb"},
     "error: account 'a\\nb': Name: the name is empty or not printable"),
    ({("Tenants", 1, "ApiKeys"): builders.KEYS[:2]},
     "error: account 'a': ApiKeys: a key is also held by 'b'"),
    ({(*_C, "Prefix"): "/b/"},
     "warning: route 'p.example/b/': Host, Prefix: never matches: an earlier "
     "route has the same host and prefix"),
    ({(*_C, "Prefix"): "/b/", (*_C, "Host"): "P.example"},
     "warning: route 'P.example/b/': Host, Prefix: never matches: "
     "'p.example/b/' comes first and its host differs only in case"),
    ({(*_C, "Host"): "p.example:80"},
     "warning: route 'p.example:80/c/': Host: never matches: nodes remove the "
     "port from a request's host"),
    ({("Services", 4): {"Name": "w"}},
     "warning: service 'w': Name: no route leads to the service"),
    ({("Services", 4): {"Name": "w"}, (*_B, "Service"): "w"},
     "warning: service 'w': Name: no route leads to the service"),
    ({(*_A, "LatencyGoalMs"): 601},
     "warning: route 'p.example/a/': LatencyGoalMs, TimeoutMs: the latency "
     "goal of 601 ms is above the timeout of 600 ms"),
    ({(*_A, "TimeoutMs"): 0},
     "warning: route 'p.example/a/': TimeoutMs: the timeout leaves no time for "
     "an answer"),
    ({(*_C, "MaxAttempts"): 2},
     "warning: route 'p.example/c/': MaxAttempts, RouteType: 2 attempts on a "
     "route that may not be repeated"),
    ({(*_A, "TopK"): 0},
     "warning: route 'p.example/a/': TopK: a search that returns no records"),
    ({("Limits", "HeaderTimeoutMs"): 20_000},
     "warning: limits: HeaderTimeoutMs, IdleTimeoutMs: the header timeout of "
     "20000 ms is above the idle timeout of 15000 ms"),
    ({("Limits", "MaxBodyBytes"): 0},
     "warning: limits: MaxBodyBytes: no request may have a body"),
]  # fmt: skip
# Changes of the version in force, and the lines that tell them.
_DIFFERENCES = [
    ({("Version",): 7},
     ["warning: configuration: Version: 7 is not greater than 7, the version "
      "in force"]),
    ({("Routes", 3): {"Host": "q", "Prefix": "/", "Service": "u"}},
     ["change: route 'q/': added"]),
    ({(*_C,): builders.REMOVED},
     ["change: route 'p.example/c/': removed"]),
    ({(*_C, "Priority"): 3, (*_C, "Host"): "P.example"},
     ["change: route 'P.example/c/': Host: 'p.example' -> 'P.example'",
      "change: route 'P.example/c/': Priority: 1 -> 3"]),
    ({(*_B, "WeightedSplit", 0, "Weight"): 1},
     ["change: route 'p.example/b/': WeightedSplit: 'u' with weight 3, 'v' "
      "with weight 1 -> 'u' with weight 1, 'v' with weight 1"]),
    ({("Services", 3, "MaxConns"): 4},
     ["change: service 'v': MaxConns: 16 -> 4"]),
    ({("Limits", "MaxBodyBytes"): 200},
     ["change: limits: MaxBodyBytes: 100 -> 200"]),
    ({("Tenants", 0, "ApiKeys"): ["new-1", "new-2", builders.KEYS[0]]},
     ["change: account 'a': ApiKeys: 2 added, 1 removed"]),
    ({("Tenants", 1, "Priority"): None, ("Tenants", 0, "Name"): "c"},
     ["change: account 'a': removed",
      "change: account 'c': added",
      "change: account 'b': Priority: 2.0 -> none"]),
    ({("Tenants",): None},
     ["change: configuration: Tenants: callers no longer need a key",
      "change: account 'a': removed",
      "change: account 'b': removed"]),
]  # fmt: skip


def _list_lines(proposed: bytes, in_force: bytes | None = None) -> list[str]:
    return [
        configuration_check.render_line(finding, _check_model.FIELD_NAMES)
        for finding in check.check_files(proposed, in_force)
    ]


class CheckFilesTest(unittest.TestCase):
    """Guards against missed faults, false alarms and keys in findings."""

    def test_each_fault_is_one_finding(self) -> None:
        for changes, line in _FINDINGS:
            with self.subTest(line=line):
                lines = _list_lines(builders.build_file(changes))
                self.assertEqual(lines, [line])

    def test_a_sound_configuration_has_no_finding(self) -> None:
        newer = builders.build_file({("Version",): 8})
        self.assertEqual(_list_lines(newer, builders.build_file()), [])

    def test_hosts_with_a_port_are_those_that_nodes_never_match(self) -> None:
        # The check has its own copy of the rule by which nodes remove ports.
        for host in ("p", "p:80", "p:", ":80", "p:x", "[::1]", "[::1]:8"):
            with self.subTest(host=host):
                value = builders.build_file({(*_C, "Host"): host})
                change = _decoder.PlatformDecoder().decode(
                    mirror.MirrorItem(_decoder.CONFIG_KEY, value, 1)
                )
                assert isinstance(change, gateway.RoutesChanged)
                matches = change.table.match(host, "/c/") is not None
                self.assertEqual(not _list_lines(value), matches)

    def test_each_difference_is_named(self) -> None:
        for changes, lines in _DIFFERENCES:
            with self.subTest(lines=lines):
                proposed = builders.build_file({("Version",): 8} | changes)
                self.assertEqual(
                    _list_lines(proposed, builders.build_file()), lines
                )

    def test_a_repeated_route_is_a_difference(self) -> None:
        # An index by host and prefix alone would hide one of the two.
        repeat = {("Routes", 3): json.loads(builders.build_file())["Routes"][2]}
        proposed = builders.build_file({("Version",): 8} | repeat)
        self.assertEqual(
            _list_lines(proposed, builders.build_file())[1:],
            ["change: route 'p.example/c/': added"],
        )

    def test_each_entry_that_is_not_decodable_is_an_error(self) -> None:
        # Decoding ends at the first fault, which hid the others.
        changes = {
            (*_A, "Host"): 1,
            (*_C, "Host"): builders.REMOVED,
            ("Services",): {},
            ("Tenants", 1, "Name"): None,
            ("Limits", "MaxBodyBytes"): "1",
        }
        lines = _list_lines(builders.build_file(changes))
        places = [line.split(": ")[3] for line in lines]
        self.assertEqual(
            places[:4], ["Routes[0]", "Routes[2]", "Services", "Tenants[1]"]
        )
        self.assertTrue(lines[4].endswith("`$.Limits.MaxBodyBytes`"))
        self.assertEqual(len(lines), 5)

    def test_what_is_not_json_is_an_error_of_its_own_file(self) -> None:
        for value in (
            b"",
            b"\xff",
            b'{"Version":"\xff"}',
            b"[" * 100_000,
            b"[]",
        ):
            with self.subTest(value=value[:20]):
                self.assertEqual(len(_list_lines(value)), 1)
                (line,) = _list_lines(builders.build_file(), value)
                self.assertIn("the version in force is not decodable", line)


class MainTest(unittest.TestCase):
    """Guards against a wrong exit status and keys in the output."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self._folder = pathlib.Path(folder.name)

    def _run(self, *arguments: str) -> tuple[int, str]:
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            with contextlib.redirect_stderr(output):
                status = check.main(arguments)
        return status, output.getvalue()

    def _write(self, name: str, value: bytes) -> str:
        path = self._folder / name
        path.write_bytes(value)
        return str(path)

    def test_exit_status(self) -> None:
        warning = builders.build_file({("Services", 4): {"Name": "w"}})
        for value, status in ((warning, 0), (b"{}", 1)):
            path = self._write("file", value)
            self.assertEqual(self._run(path)[0], status)
        path = self._write("file", builders.build_file())
        missing = str(self._folder / "missing")
        self.assertEqual(self._run(path), (0, ""))
        for arguments in ([missing], [path, "--in-force", missing], []):
            self.assertEqual(self._run(*arguments)[0], 2)

    def test_json(self) -> None:
        changes = {("Limits", "MaxBodyBytes"): 0}
        path = self._write("file", builders.build_file(changes))
        status, output = self._run(path, "--json")
        self.assertEqual(status, 0)
        finding = {
            "severity": "warning",
            "section": "limits",
            "entry": "",
            "fields": ["MaxBodyBytes"],
            "message": "no request may have a body",
        }
        self.assertEqual(json.loads(output), {"findings": [finding]})

    def test_no_output_holds_a_key(self) -> None:
        base = self._write("base", builders.build_file())
        changes = [changes for changes, _ in _FINDINGS + _DIFFERENCES]
        for value in (
            *map(builders.build_file, changes),
            builders.build_file()[:-9],
            builders.build_file().replace(b"key-of-b", b"key-of-b\xff"),
        ):
            path = self._write("file", value)
            for options in ([], ["--json"]):
                for files in (
                    [path, "--in-force", base],
                    [base, "--in-force", path],
                ):
                    output = self._run(*files, *options)[1]
                    self.assertNotIn("key-of", output)
                    self.assertNotIn("new-1", output)

    def test_the_node_does_not_import_the_check(self) -> None:
        # Each import delays the start of a node.
        code = (
            "import sys; from geraniumstair.platform import _process;"
            "sys.exit('geraniumstair.configuration_check' in sys.modules)"
        )
        ended = subprocess.run([sys.executable, "-c", code], check=False)
        self.assertEqual(ended.returncode, 0)


if __name__ == "__main__":
    unittest.main()
