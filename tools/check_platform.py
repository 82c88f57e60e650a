"""Checks that the platform's names stay in the folder that translates them.

Its field names, headers, paths and keys are read from the string literals in
that folder. None of them may occur in another package of the product, and no
other package may import the folder.
"""

import ast
from collections.abc import Iterator
import pathlib
import re
import sys

_SOURCE = pathlib.Path("src/geraniumstair")
_FOLDER = _SOURCE / "platform"
_MODULE = "geraniumstair.platform"
_FIELD_NAME = re.compile(r"[A-Z][a-z]+(?:[A-Z][a-z]+)+")
_HEADER_NAME = re.compile(r"x-[a-z-]+")
_PATH_OR_KEY = re.compile(r"(?:/api/|op/|servers/|status/)[\w/{}-]*")
# Names that other protocols use as well.
_COMMON = frozenset(["x-request-id"])


def _texts(tree: ast.AST) -> Iterator[tuple[str, int]]:
    for node in ast.walk(tree):
        if isinstance(node, ast.Constant):
            value = node.value
            if isinstance(value, bytes):
                value = value.decode("latin-1")
            if isinstance(value, str):
                yield value, node.lineno


def platform_names(source: str) -> set[str]:
    """Returns the names of the platform that a module's literals hold."""
    patterns = (_FIELD_NAME, _HEADER_NAME, _PATH_OR_KEY)
    return {
        text
        for text, _ in _texts(ast.parse(source))
        if any(pattern.fullmatch(text) for pattern in patterns)
    } - _COMMON


def _imported(node: ast.AST) -> list[str]:
    if isinstance(node, ast.Import):
        return [alias.name for alias in node.names]
    if isinstance(node, ast.ImportFrom):
        module = node.module or ""
        return [module, *(f"{module}.{alias.name}" for alias in node.names)]
    return []


def find_faults(source: str, path: str, names: set[str]) -> list[str]:
    """Returns what a module outside the folder must not hold.

    Args:
        source: The module's text.
        path: Shown in the faults.
        names: The platform's names.
    """
    tree = ast.parse(source)
    faults = [
        f"{path}:{line}: {text!r} is a name of the platform"
        for text, line in _texts(tree)
        if text in names
    ]
    for node in ast.walk(tree):
        if isinstance(node, ast.Import | ast.ImportFrom) and any(
            f"{name}.".startswith(f"{_MODULE}.") for name in _imported(node)
        ):
            faults.append(f"{path}:{node.lineno}: imports {_MODULE}")
    return faults


def main() -> int:
    """Prints each fault; returns 1 if there is any."""
    names: set[str] = set()
    for path in _FOLDER.glob("*.py"):
        names |= platform_names(path.read_text(encoding="utf-8"))
    faults = []
    for path in sorted(_SOURCE.rglob("*.py")):
        if _FOLDER not in path.parents:
            text = path.read_text(encoding="utf-8")
            faults += find_faults(text, str(path), names)
    for fault in faults:
        print(fault)
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
