"""Readable differences between two documents."""

from collections.abc import Sequence
import json
from typing import Any

from geraniumstair._generated import document as document_models

MAX_LINES = 500


def _to_json(value: Any) -> str:
    return json.dumps(value, ensure_ascii=False)


def _index_by_name(items: list[Any]) -> dict[str, Any] | None:
    """Returns the items by name; None if the list is empty or lacks names."""
    if not items or not all(isinstance(i, dict) and "name" in i for i in items):
        return None
    return {item["name"]: item for item in items}


def _compare(path: str, old: Any, new: Any, lines: list[str]) -> None:
    if old == new:
        return
    if isinstance(old, dict) and isinstance(new, dict):
        for key in [*old, *(k for k in new if k not in old)]:
            inner_path = f"{path}.{key}" if path else key
            _compare(inner_path, old.get(key), new.get(key), lines)
        return
    if isinstance(old, list) and isinstance(new, list):
        old_items = _index_by_name(old)
        new_items = _index_by_name(new)
        if (old_items or not old) and (new_items or not new):
            _compare_named(path, old_items or {}, new_items or {}, lines)
            return
    lines.append(f"changed {path}: {_to_json(old)} -> {_to_json(new)}")


def _compare_named(
    path: str, old: dict[str, Any], new: dict[str, Any], lines: list[str]
) -> None:
    line_count_before = len(lines)
    for name in old:
        if name not in new:
            lines.append(f"removed {path}[{name}]")
    for name, item in new.items():
        if name not in old:
            lines.append(f"added {path}[{name}]")
        else:
            _compare(f"{path}[{name}]", old[name], item, lines)
    if len(lines) == line_count_before:
        lines.append(f"reordered {path}")


def difference(
    old: document_models.Document | None, new: document_models.Document
) -> Sequence[str]:
    """Lists the changes from one document to another.

    Items of a list are matched by name, so an inserted item is one line.

    Args:
        old: The earlier document; None if there is none.
        new: The later document.

    Returns:
        One line for each change, such as
        `changed availability_zones[az-a].state: "in" -> "out"`; at most
        `MAX_LINES`, followed by a line with the number of omitted changes.
    """
    lines: list[str] = []
    before = {} if old is None else old.model_dump(mode="json")
    after = new.model_dump(mode="json")
    if old is None:
        before = {key: [] for key in after if isinstance(after[key], list)}
    _compare("", before, after, lines)
    if len(lines) > MAX_LINES:
        omitted_count = len(lines) - MAX_LINES
        return [*lines[:MAX_LINES], f"and {omitted_count} more changes"]
    return lines
