"""Tests of the command line against an in-memory operators' listener."""

from collections.abc import Mapping
import contextlib
import io
import json
import os
import pathlib
import tempfile
from typing import Any
import unittest
from unittest import mock
import urllib.parse

import httpcore

from geraniumstair import cli
from geraniumstair.cli import _client
from tests import builders_configuration
from tests import builders_console

_SMALL = builders_configuration.SMALL_TEXT
_URL = "http://127.0.0.1:1"


class CliTestCase(unittest.TestCase):
    """Base of tests that run commands and read their output."""

    def setUp(self) -> None:
        self.backend = builders_console.FakeBackend()
        self.client = builders_console.Client(self.backend)
        self.client.headers = {}
        self.send_error: Exception | None = None
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        environment = {
            "GERANIUMSTAIR_CALLER": "",
            "GERANIUMSTAIR_OPERATOR": _URL,
            "GERANIUMSTAIR_TOKEN": builders_console.TOKEN,
        }
        for patch in (
            mock.patch.object(_client, "send", self._send),
            mock.patch.dict(os.environ, environment),
        ):
            patch.start()
            self.addCleanup(patch.stop)

    def _send(
        self, method: str, url: str, headers: Mapping[str, str], body: bytes
    ) -> tuple[int, bytes]:
        if self.send_error:
            raise self.send_error
        path = urllib.parse.urlsplit(url).path
        answer = self.client.call(method, path, body, **headers)
        return answer.status, answer.body

    def write_yaml(self, text: str) -> str:
        path = self.folder / "document.yaml"
        path.write_text(text, encoding="utf-8")
        return str(path)

    def run_command(self, *arguments: str) -> tuple[int, str, str]:
        out, err = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out):
            with contextlib.redirect_stderr(err):
                code = cli.main(arguments)
        return code, out.getvalue(), err.getvalue()

    def run_json(self, *arguments: str) -> tuple[int, Any]:
        code, out, _ = self.run_command(*arguments, "--json")
        return code, json.loads(out)


class CheckTest(CliTestCase):
    """Guards against faults of a document that are not shown by line."""

    def test_valid_document(self) -> None:
        code, out, _ = self.run_command("check", self.write_yaml(_SMALL))
        self.assertEqual(code, 0)
        self.assertIn("endpoints: 2", out)

    def test_faults_are_shown_by_line(self) -> None:
        path = self.write_yaml(_SMALL.replace("9002", "9001"))
        code, _, err = self.run_command("check", path)
        self.assertEqual(code, 3)
        self.assertIn(f"{path}:22: DUPLICATE_NAME (406) subsid", err)
        code, value = self.run_json("check", path)
        self.assertEqual((code, value["faults"][0]["line"]), (3, 22))

    def test_missing_file(self) -> None:
        code, _, err = self.run_command("check", str(self.folder / "none"))
        self.assertEqual(code, 2)
        self.assertIn("No such file", err)


class OperatorCommandsTest(CliTestCase):
    """Guards against commands that apply no change or hide a refusal."""

    def setUp(self) -> None:
        super().setUp()
        path = self.write_yaml(_SMALL)
        code, out, _ = self.run_command("apply", path, "--base", "0")
        self.assertEqual(code, 0, out)

    def test_show_prints_only_the_text_to_stdout(self) -> None:
        code, out, err = self.run_command("show")
        self.assertEqual((code, out), (0, _SMALL))
        self.assertIn("revision 1", err)

    def test_apply_conflict_shows_the_difference(self) -> None:
        path = self.write_yaml(_SMALL.replace("state: in", "state: out"))
        code, _, err = self.run_command("apply", path, "--base", "0")
        self.assertEqual(code, 7)
        self.assertIn("base 1", err)
        self.assertIn('state: "in" -> "out"', err)

    def test_zone(self) -> None:
        code, out, _ = self.run_command("zone", "out", "az-b")
        self.assertEqual(code, 0)
        self.assertIn("Accepted as revision 2", out)
        code, _, err = self.run_command("zone", "out", "az-x")
        self.assertEqual(code, 3)
        self.assertIn("az-a, az-b", err)

    def test_rollout(self) -> None:
        rule = builders_configuration.ROLLOUT
        start = ["rollout", "start", "desk-v2"]
        for option, key in [
            ("--subsidiary", "subsidiary"),
            ("--service", "service"),
            ("--old-version", "old_version"),
            ("--new-version", "new_version"),
            ("--start", "start_utc"),
            ("--done-by", "done_by_utc"),
        ]:
            start += [option, str(rule[key])]
        code, _, err = self.run_command(*start, "--steps", "50,100")
        self.assertEqual(code, 3)
        self.assertIn("first step", err)
        self.assertEqual(self.run_command(*start)[0], 0)
        code, out, _ = self.run_command("rollout", "status")
        self.assertIn("GOING_ON", out)
        take_back = ["rollout", "take-back", "desk-v2"]
        self.assertEqual(self.run_command(*take_back)[0], 0)
        self.assertEqual(self.run_command(*take_back)[0], 1)

    def test_refused_change_without_file_shows_no_line(self) -> None:
        # The operator gave no file that a line number could refer to.
        _, _, err = self.run_command("zone", "out", "az-x")
        self.assertEqual(err.count("No availability zone"), 1)
        self.assertNotIn("document:", err)

    def test_change_without_effect_is_reported(self) -> None:
        self.run_command("zone", "out", "az-b")
        _, out, _ = self.run_command("zone", "out", "az-b")
        self.assertIn("No value changes.", out)

    def test_interrupted_watch_is_not_a_failure(self) -> None:
        with mock.patch("time.sleep", side_effect=KeyboardInterrupt):
            code, out, _ = self.run_command("status", "--watch")
        self.assertEqual(code, 0)
        self.assertIn("n<1>", out)

    def test_status(self) -> None:
        code, out, _ = self.run_command("status")
        self.assertEqual(code, 0)
        self.assertIn("n<1>", out)
        code, value = self.run_json("status")
        self.assertEqual(value["members"][0]["revision"], 1)


class FailureTest(CliTestCase):
    """Guards against failures with a wrong exit code or without a next step."""

    def test_wrong_token(self) -> None:
        token = self.folder / "token"
        token.write_text("wrong\n")
        code, _, err = self.run_command("show", "--token-file", str(token))
        self.assertEqual(code, 5)
        self.assertIn("UNAUTHORIZED", err)
        self.assertIn("Check the token", err)

    def test_missing_options(self) -> None:
        with mock.patch.dict(os.environ, {"GERANIUMSTAIR_TOKEN": ""}):
            code, _, err = self.run_command("show")
            self.assertEqual(code, 5)
            self.assertIn("--token-file", err)
        with mock.patch.dict(os.environ, {"GERANIUMSTAIR_OPERATOR": ""}):
            code, _, err = self.run_command("show")
            self.assertEqual(code, 2)
            self.assertIn("--operator", err)
        code, _, err = self.run_command("search", "a", "b", "{}")
        self.assertEqual(code, 2)
        self.assertIn("--caller", err)

    def test_no_connection(self) -> None:
        self.send_error = httpcore.ConnectError("refused")
        code, _, err = self.run_command("zone", "out", "az-a")
        self.assertEqual(code, 4)
        self.assertIn("another node", err)

    def test_lost_answer_to_a_change_is_unknown(self) -> None:
        self.send_error = httpcore.ReadTimeout("late")
        code, _, err = self.run_command("zone", "out", "az-a")
        self.assertEqual(code, 6)
        self.assertIn("geraniumstair show", err)
        self.assertEqual(self.run_command("status")[0], 4)

    def test_lost_answer_to_a_search_mentions_no_change(self) -> None:
        self.send_error = httpcore.ReadTimeout("late")
        code, _, err = self.run_command(
            "search", "a", "b", "q", "--caller", _URL
        )
        self.assertEqual(code, 6)
        self.assertIn("search may have run", err)
        self.assertNotIn("change", err)

    def test_usage_errors_and_help(self) -> None:
        self.assertEqual(self.run_command("bogus")[0], 2)
        self.assertEqual(self.run_command("zone", "off", "az-a")[0], 2)
        self.assertEqual(self.run_command("--help")[0], 0)


class SearchTest(CliTestCase):
    """Guards against exit codes that hide partial answers and refusals."""

    def test_exit_code_follows_the_result_code(self) -> None:
        command = ["search", "acme", "desk", "{}", "--caller", _URL]
        for number, status, code in [
            (0, 200, 0),
            (1, 200, 8),
            (102, 404, 1),
            (201, 503, 4),
            (300, 504, 6),
        ]:
            value = {"result_code": number, "result_name": "X", "detail": "d"}
            answer = (status, json.dumps(value).encode())
            with mock.patch.object(
                _client, "send", return_value=answer
            ) as send:
                self.assertEqual(self.run_command(*command)[0], code)
            body = json.loads(send.call_args.args[3])
            self.assertEqual(
                body, {"subsidiary": "acme", "services": ["desk"], "query": {}}
            )


class SchemaTest(CliTestCase):
    """Guards against schemas that need a node or are not JSON."""

    def test_all_names(self) -> None:
        for name in ("document", "settings", "messages", "codes"):
            code, value = self.run_json("schema", name)
            self.assertEqual(code, 0)
            self.assertTrue(value)


class NodeTest(CliTestCase):
    """Guards against faults of settings that lack a line or show a secret."""

    def test_faults_hide_secrets(self) -> None:
        path = self.write_yaml("node_id: n1\ncluster_key: tooshort-secret\n")
        code, _, err = self.run_command("node", "--settings", path)
        self.assertEqual(code, 3)
        self.assertIn(f"{path}:2: SCHEMA_VIOLATION (404) cluster_key", err)
        self.assertNotIn("tooshort", err)
        code, _, err = self.run_command("node", "--settings", path + "x")
        self.assertIn("cannot be read", err)
