"""Checks that `from` imports name modules, not their members.

The linter has no such rule. Imports of members are allowed in `__init__.py`
files, and from `typing` and `collections.abc`.
"""

import ast
import importlib.util
import pathlib
import sys

_FOLDERS = ("src", "standins", "bench", "devsite", "soak", "tools", "tests")
_EXEMPT_MODULES = ("__future__", "typing", "collections.abc")


def _is_module(name: str) -> bool:
    try:
        return importlib.util.find_spec(name) is not None
    except ModuleNotFoundError:
        return False


def _find_member_imports(path: pathlib.Path) -> list[str]:
    violations = []
    tree = ast.parse(path.read_text(encoding="utf-8"), str(path))
    for node in ast.walk(tree):
        if not isinstance(node, ast.ImportFrom):
            continue
        if node.module is None or node.module in _EXEMPT_MODULES:
            continue
        for alias in node.names:
            if not _is_module(f"{node.module}.{alias.name}"):
                violations.append(
                    f"{path}:{node.lineno}: import the module, "
                    f"not {node.module}.{alias.name}"
                )
    return violations


def main() -> int:
    """Prints the violations; returns 1 if there are any."""
    violations = []
    for folder in _FOLDERS:
        for path in sorted(pathlib.Path(folder).rglob("*.py")):
            if path.name == "__init__.py" or "_generated" in path.parts:
                continue
            violations += _find_member_imports(path)
    for violation in violations:
        print(violation)
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
