"""Checks rules of the house style that the linter does not cover.

A log message is a constant text that starts with the name of its package,
such as `dispatch: `. No file contains a path of a developer's machine.
"""

import ast
from collections.abc import Iterator
import pathlib
import re
import sys

_ROOT = pathlib.Path(__file__).parent.parent
_PACKAGE = pathlib.Path("src/geraniumstair")
_LOGGERS = ("_LOG", "_log", "_logger", "_LOGGER")
# Position of the message in the arguments of each method.
_MESSAGE_POSITIONS = dict.fromkeys(
    ("debug", "info", "warning", "error", "exception", "critical"), 0
) | {"log": 1}
_FOLDERS = (
    "src", "schema", "standins", "bench", "devsite", "soak", "tools", "tests",
    "docs", ".ci",
)  # fmt: skip
_SUFFIXES = (".py", ".yaml", ".md", ".html", ".css", ".json", "")
_MACHINE_PATH = re.compile(r"(?<![\w.])/(?:home|root|work|Users)/\w")


def _iterate_log_calls(tree: ast.AST) -> Iterator[tuple[ast.Call, int]]:
    """Yields each call of a logger and the position of its message."""
    for node in ast.walk(tree):
        if (
            isinstance(node, ast.Call)
            and isinstance(node.func, ast.Attribute)
            and node.func.attr in _MESSAGE_POSITIONS
            and isinstance(node.func.value, ast.Name)
            and node.func.value.id in _LOGGERS
        ):
            yield node, _MESSAGE_POSITIONS[node.func.attr]


def check_log_messages(text: str, component: str, path: str) -> list[str]:
    """Returns the violations in the log messages of a module.

    Args:
        text: Source of the module.
        component: Name of the package that contains the module.
        path: Path of the module, for the messages.
    """
    violations = []
    for call, index in _iterate_log_calls(ast.parse(text, path)):
        message = call.args[index] if index < len(call.args) else None
        constant = message.value if isinstance(message, ast.Constant) else ""
        if not str(constant).startswith(f"{component}: "):
            violations.append(
                f"{path}:{call.lineno}: start the log message with "
                f"'{component}: ' and pass values as arguments"
            )
    return violations


def check_machine_paths(text: str, path: str) -> list[str]:
    """Returns the lines that contain a path of a developer's machine."""
    return [
        f"{path}:{number}: contains a path of a developer's machine"
        for number, line in enumerate(text.splitlines(), 1)
        if _MACHINE_PATH.search(line)
    ]


def _iterate_files() -> Iterator[pathlib.Path]:
    yield from _ROOT.glob("*.md")
    for folder in _FOLDERS:
        for path in sorted((_ROOT / folder).rglob("*")):
            if path.is_file() and path.suffix in _SUFFIXES:
                yield path


def main() -> int:
    """Prints the violations; returns 1 if there are any."""
    violations = []
    for path in _iterate_files():
        text = path.read_text(encoding="utf-8")
        name = path.relative_to(_ROOT)
        violations += check_machine_paths(text, str(name))
        in_component = len(name.parts) > len(_PACKAGE.parts) + 1
        if name.suffix == ".py" and in_component and _PACKAGE in name.parents:
            component = name.parts[len(_PACKAGE.parts)]
            violations += check_log_messages(text, component, str(name))
    for violation in violations:
        print(violation)
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
