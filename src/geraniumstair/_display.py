"""Formats field names and values for people.

The command line and the console share these functions, so that both show a
status with the same labels and values.
"""

import json
from typing import Any

_UNITS = {"pct": "(%)", "utc": "(UTC)"}


def format_field_name(name: str) -> str:
    """Returns a field name without underscores and with its unit spelt out."""
    return " ".join(_UNITS.get(word, word) for word in name.split("_"))


def format_value(value: Any) -> str:
    """Returns a value as text: `yes`, `none`, a string as it is, or JSON."""
    if isinstance(value, str):
        return value
    if isinstance(value, bool):
        return "yes" if value else "no"
    if value is None or value == []:
        return "none"
    return json.dumps(value, ensure_ascii=False)


def is_table(value: Any) -> bool:
    """Returns whether a value is a non-empty list of rows with column names."""
    return (
        isinstance(value, list)
        and bool(value)
        and all(isinstance(row, dict) for row in value)
    )


def list_columns(rows: list[dict[str, Any]]) -> list[str]:
    """Returns the columns of all rows, in order of first appearance."""
    return list(dict.fromkeys(column for row in rows for column in row))
