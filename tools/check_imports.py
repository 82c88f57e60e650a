"""Checks that modules are imported, not names.

The linter has no such rule. Names may be imported in a package's
`__init__.py`, and from `typing` and `collections.abc`.
"""

import ast
import importlib.util
import pathlib
import sys

_FOLDERS = ("src", "standins", "bench", "devsite", "soak", "tools", "tests")
_FREE_MODULES = ("__future__", "typing", "collections.abc")


def _is_module(name: str) -> bool:
    try:
        return importlib.util.find_spec(name) is not None
    except ModuleNotFoundError:
        return False


def _name_imports(path: pathlib.Path) -> list[str]:
    faults = []
    tree = ast.parse(path.read_text(encoding="utf-8"), str(path))
    for node in ast.walk(tree):
        if not isinstance(node, ast.ImportFrom):
            continue
        if node.module is None or node.module in _FREE_MODULES:
            continue
        for alias in node.names:
            if not _is_module(f"{node.module}.{alias.name}"):
                faults.append(
                    f"{path}:{node.lineno}: import the module, "
                    f"not {node.module}.{alias.name}"
                )
    return faults


def main() -> int:
    """Prints each import of a name; returns 1 if there is any."""
    faults = []
    for folder in _FOLDERS:
        for path in sorted(pathlib.Path(folder).rglob("*.py")):
            if path.name == "__init__.py" or "_generated" in path.parts:
                continue
            faults += _name_imports(path)
    for fault in faults:
        print(fault)
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
