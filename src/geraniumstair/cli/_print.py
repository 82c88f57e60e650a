"""Output for people and for scripts."""

from collections.abc import Mapping
from collections.abc import Sequence
import json
import sys
from typing import Any

from geraniumstair import _display


def print_json(value: Any) -> None:
    """Prints a value as indented JSON."""
    print(json.dumps(value, indent=2, ensure_ascii=False))


def print_error(text: str) -> None:
    """Prints a message to standard error."""
    print(f"geraniumstair: {text}", file=sys.stderr)


def print_table(
    columns: Sequence[str], rows: Sequence[Mapping[str, Any]]
) -> None:
    """Prints a header with column names and one line for each row."""
    cells = [
        [_display.format_value(row.get(c, "")) for c in columns] for row in rows
    ]
    lines = [list(columns), *cells]
    widths = [max(len(line[i]) for line in lines) for i in range(len(columns))]
    for line in lines:
        padded = [
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ]
        print("  ".join(padded).rstrip())


def print_faults(file_name: str, faults: Sequence[Mapping[str, Any]]) -> None:
    """Prints faults as `file:line: NAME (code) path: detail`.

    Args:
        file_name: File that contains the faults. If it is empty, the user gave
            no file, and the faults are printed without line numbers.
        faults: Faults as JSON values, as the operators' listener sends them.
    """
    for fault in faults:
        location = f"{file_name}:{fault['line']}: " if file_name else "  "
        path = f" {fault['path']}" if fault["path"] else ""
        print(
            f"{location}{fault['name']} ({fault['code']}){path}: "
            f"{fault['detail']}",
            file=sys.stderr,
        )


def print_values(values: Mapping[str, Any]) -> None:
    """Prints lists of mappings as tables and other values as lines."""
    for key, value in values.items():
        title = _display.format_field_name(key)
        if _display.is_table(value):
            print(f"{title}:")
            print_table(_display.list_columns(value), value)
        else:
            print(f"{title}: {_display.format_value(value)}".rstrip())
