"""Checks that only `geraniumstair.platform` uses names of the platform.

That package translates the platform's field names, headers, paths and store
keys. This tool collects them from the package's string literals. No other
package of `geraniumstair` may contain one of them or import that package.
"""

import ast
from collections.abc import Iterator
import pathlib
import re
import sys

_SOURCE_DIRECTORY = pathlib.Path("src/geraniumstair")
_PLATFORM_DIRECTORY = _SOURCE_DIRECTORY / "platform"
_PLATFORM_PACKAGE = "geraniumstair.platform"
_FIELD_NAME = re.compile(r"[A-Z][a-z]+(?:[A-Z][a-z]+)+")
_HEADER_NAME = re.compile(r"x-[a-z-]+")
_PATH_OR_KEY = re.compile(r"(?:/api/|op/|servers/|status/)[\w/{}-]*")
# Other protocols use these names, too.
_SHARED_NAMES = frozenset(["x-request-id"])


def _iterate_string_literals(tree: ast.AST) -> Iterator[tuple[str, int]]:
    for node in ast.walk(tree):
        if isinstance(node, ast.Constant):
            value = node.value
            if isinstance(value, bytes):
                value = value.decode("latin-1")
            if isinstance(value, str):
                yield value, node.lineno


def collect_platform_names(source: str) -> set[str]:
    """Returns the platform's names among the string literals of a module."""
    patterns = (_FIELD_NAME, _HEADER_NAME, _PATH_OR_KEY)
    return {
        text
        for text, _ in _iterate_string_literals(ast.parse(source))
        if any(pattern.fullmatch(text) for pattern in patterns)
    } - _SHARED_NAMES


def _list_imports(node: ast.AST) -> list[str]:
    if isinstance(node, ast.Import):
        return [alias.name for alias in node.names]
    if isinstance(node, ast.ImportFrom):
        module = node.module or ""
        return [module, *(f"{module}.{alias.name}" for alias in node.names)]
    return []


def find_violations(source: str, path: str, names: set[str]) -> list[str]:
    """Returns the violations in a module of another package.

    Args:
        source: Source of the module.
        path: Path of the module, for the messages.
        names: The platform's names.
    """
    tree = ast.parse(source)
    violations = [
        f"{path}:{line}: {text!r} is a name of the platform"
        for text, line in _iterate_string_literals(tree)
        if text in names
    ]
    for node in ast.walk(tree):
        if isinstance(node, ast.Import | ast.ImportFrom) and any(
            f"{name}.".startswith(f"{_PLATFORM_PACKAGE}.")
            for name in _list_imports(node)
        ):
            violations.append(
                f"{path}:{node.lineno}: imports {_PLATFORM_PACKAGE}"
            )
    return violations


def main() -> int:
    """Prints the violations; returns 1 if there are any."""
    names: set[str] = set()
    for path in _PLATFORM_DIRECTORY.glob("*.py"):
        names |= collect_platform_names(path.read_text(encoding="utf-8"))
    violations = []
    for path in sorted(_SOURCE_DIRECTORY.rglob("*.py")):
        if _PLATFORM_DIRECTORY not in path.parents:
            text = path.read_text(encoding="utf-8")
            violations += find_violations(text, str(path), names)
    for violation in violations:
        print(violation)
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
