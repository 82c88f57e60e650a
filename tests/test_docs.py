"""Tests that the pages in `docs` match the code."""

import pathlib
import re
import shlex
import unittest

import cappa
import result
import trio
import yaml

from geraniumstair import accounts
from geraniumstair import configuration
from geraniumstair import dispatch  # noqa: F401 - registers its metrics
from geraniumstair import forward
from geraniumstair import gateway
from geraniumstair import listeners
from geraniumstair import observe
from geraniumstair import search
from geraniumstair import store
from geraniumstair import usage
from geraniumstair._generated import settings
from geraniumstair.cli import _commands
from geraniumstair.cli import _exit_codes
from geraniumstair.console import _application
from tests import builders_console
from tests import test_node_parts

_ROOT = pathlib.Path(__file__).parent.parent
_DOCS = _ROOT / "docs"
_PAGES = [_ROOT / "README.md", *sorted(_DOCS.rglob("*.md"))]
_BLOCK = re.compile(r"^```(\w+)\n(.*?)^```", re.MULTILINE | re.DOTALL)
_LINK = re.compile(r"\]\(([^)#\s]+)[^)]*\)")


def _blocks(page: pathlib.Path, *languages: str) -> list[str]:
    found = _BLOCK.findall(page.read_text(encoding="utf-8"))
    return [text for language, text in found if language in languages]


def _commands_on_page(page: pathlib.Path) -> list[list[str]]:
    """Returns the arguments of each `geraniumstair` command on a page."""
    commands = []
    for block in _blocks(page, "console", "sh"):
        for line in block.replace("\\\n", " ").splitlines():
            _, found, rest = line.partition("geraniumstair ")
            if not found or not line.startswith(("$ ", "geraniumstair ")):
                continue
            lexer = shlex.shlex(rest, posix=True, punctuation_chars="|><;&")
            lexer.whitespace_split = True
            words = []
            for word in lexer:
                if set(word) <= set("|><;&"):
                    # The lexer splits `2>&1` into `2` and the redirection.
                    if words and words[-1] == "2":
                        words.pop()
                    break
                words.append(word)
            commands.append(words)
    return commands


class ShownCommandsTest(unittest.TestCase):
    """Guards against pages with commands that no longer exist."""

    def test_commands_parse(self) -> None:
        count = 0
        for page in _PAGES:
            for words in _commands_on_page(page):
                with self.subTest(page=page.name, command=words):
                    cappa.parse(
                        _commands.Geraniumstair,
                        argv=words,
                        version="0",
                        completion=False,
                    )
                count += 1
        self.assertGreater(count, 25)

    def test_exit_codes_are_documented(self) -> None:
        page = (_DOCS / "reference/command-line.md").read_text("utf-8")
        rows = re.findall(r"^\| (\d+) \| `(\w+)` \|", page, re.MULTILINE)
        documented = [(int(number), name) for number, name in rows]
        self.assertEqual(
            documented,
            [(code.value, code.name) for code in _exit_codes.ExitCode],
        )


class ShownDocumentsTest(unittest.TestCase):
    """Guards against examples that a node would reject."""

    def test_documents_and_settings_are_valid(self) -> None:
        count = 0
        for page in _PAGES:
            for block in _blocks(page, "yaml"):
                with self.subTest(page=page.name):
                    text = block.encode()
                    parsed: result.Result
                    if "node_id" in yaml.safe_load(block):
                        parsed = configuration.parse_model(
                            text, settings.Settings
                        )
                    else:
                        parsed = configuration.parse(text)
                    self.assertIsInstance(parsed, result.Ok, parsed.err())
                count += 1
        self.assertGreaterEqual(count, 1)


class LinksTest(unittest.TestCase):
    """Guards against links to pages that were moved."""

    def test_links_lead_to_files(self) -> None:
        for page in _PAGES:
            for target in _LINK.findall(page.read_text(encoding="utf-8")):
                if "://" not in target:
                    with self.subTest(page=page.name, target=target):
                        self.assertTrue((page.parent / target).exists())

    def test_index_names_each_page(self) -> None:
        index = (_DOCS / "README.md").read_text(encoding="utf-8")
        for page in _DOCS.rglob("*.md"):
            if page.name != "README.md":
                self.assertIn(f"({page.relative_to(_DOCS)})", index)


class ReferenceTest(unittest.TestCase):
    """Guards against calls and metrics that the reference leaves out."""

    def test_operators_calls_are_documented(self) -> None:
        page = (_DOCS / "reference/operators-calls.md").read_text("utf-8")
        application = _application.build_operator_application(
            builders_console.FakeBackend(), builders_console.TOKEN
        )
        documented = re.findall(r"^\| `(\w+) (/\S+)` \|", page, re.MULTILINE)
        for route in application._call_routes:
            with self.subTest(route=route.pattern.pattern):
                self.assertTrue(
                    any(
                        route.method == method
                        and route.pattern.fullmatch(path.replace("{name}", "n"))
                        for method, path in documented
                    )
                )

    def test_metrics_are_documented(self) -> None:
        metrics = observe.MetricsRegistry()
        test_node_parts.register_fake_gauges(metrics)
        search.SearchMetrics(metrics)
        forward.ForwardMetrics(metrics)
        accounts.AccountMetrics(metrics).register_freshness(lambda: 0.0)
        gateway.StartWait(trio.Event(), metrics)
        usage.UsageMetrics(metrics).register_gauges(lambda: 0, lambda: False)
        listeners.ListenerMetrics(metrics).register_gauges(
            lambda: 0, lambda: 0, lambda: 0
        )
        store.EtcdStore(["http://127.0.0.1:1"], registry=metrics)
        names = set()
        for registry in (metrics, observe.process_metrics()):
            text = registry.render().decode()
            names |= set(re.findall("# TYPE (geraniumstair_\\w+)", text))
        page = (_DOCS / "reference/metrics.md").read_text("utf-8")
        documented = re.findall(
            r"^\| `(geraniumstair_\w+)` \|", page, re.MULTILINE
        )
        self.assertEqual(sorted(documented), sorted(names))
