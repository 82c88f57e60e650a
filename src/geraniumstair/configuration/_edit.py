"""Edits a document's YAML text and keeps its comments and layout."""

from collections.abc import Mapping
import json
from typing import Any

import result

from geraniumstair._generated import codes
from geraniumstair.configuration import _fault
from geraniumstair.configuration import _yaml_reader

_DEFAULT_INDENT = "  "


def _build_fault_result(
    code: codes.Code, detail: str
) -> result.Err[list[_fault.Fault]]:
    return result.Err([_fault.Fault(code, "", 1, detail)])


def _verify_edit(
    edited: str, expected: Any
) -> result.Result[bytes, list[_fault.Fault]]:
    """Returns the edited text if its values are exactly the expected ones."""
    text = edited.encode("utf-8")
    read = _yaml_reader.read(text)
    if isinstance(read, result.Err) or read.ok_value.data != expected:
        return _build_fault_result(
            codes.Code.INVALID_VALUE,
            "The document's layout cannot be edited in place. Change the "
            "text by hand and apply it.",
        )
    return result.Ok(text)


def _find_line_start(text: str, offset: int) -> int:
    return text.rfind("\n", 0, offset) + 1


def _replace_state(
    text: str, tree: _yaml_reader.Tree, index: int, state: str
) -> str:
    path = ("availability_zones", index)
    zone = tree.data["availability_zones"][index]
    if "state" in zone:
        span = tree.span((*path, "state"))
        return text[: span.start] + state + text[span.end :]
    name = tree.span((*path, "name"))
    mapping = tree.span(path)
    if mapping.flow:
        return f"{text[: name.end]}, state: {state}{text[name.end :]}"
    end = text.find("\n", name.end)
    end = len(text) if end < 0 else end
    indent = " " * mapping.column
    return f"{text[:end]}\n{indent}state: {state}{text[end:]}"


def set_availability_zone_state(
    text: bytes, name: str, state: str
) -> result.Result[bytes, list[_fault.Fault]]:
    """Changes the state of one availability zone in a document's text.

    Args:
        text: A valid document.
        name: Name of the availability zone.
        state: `in` or `out`.

    Returns:
        The text, in which only the state differs, or the faults.
    """
    read = _yaml_reader.read(text)
    if isinstance(read, result.Err):
        return read
    tree = read.ok_value
    zones = tree.data["availability_zones"]
    names = [zone["name"] for zone in zones]
    if name not in names:
        return _build_fault_result(
            codes.Code.UNKNOWN_REFERENCE,
            f"No availability zone is named {name}. There are: "
            f"{', '.join(names)}.",
        )
    index = names.index(name)
    edited = _replace_state(text.decode("utf-8"), tree, index, state)
    zones[index]["state"] = state
    return _verify_edit(edited, tree.data)


def _format_block_item(values: Mapping[str, Any], indent: str) -> str:
    lines: list[str] = []
    for key, value in values.items():
        prefix = "  " if lines else "- "
        encoded = json.dumps(value, ensure_ascii=False)
        lines.append(f"{indent}{prefix}{key}: {encoded}\n")
    return "".join(lines)


def _format_flow_item(values: Mapping[str, Any]) -> str:
    return json.dumps(dict(values), ensure_ascii=False)


def _insert_rollout(
    text: str, tree: _yaml_reader.Tree, values: Mapping[str, Any]
) -> str:
    root = tree.span(())
    if "rollouts" not in tree.data:
        if root.flow:
            offset = root.start + 1
            item = f"rollouts: [{_format_flow_item(values)}], "
            return text[:offset] + item + text[offset:]
        newline = "" if text.endswith("\n") else "\n"
        return f"{text}{newline}rollouts:\n{_format_block_item(values, '')}"
    span = tree.span(("rollouts",))
    if span.flow and (root.flow or tree.data["rollouts"]):
        offset = span.start + 1
        comma = ", " if tree.data["rollouts"] else ""
        return text[:offset] + _format_flow_item(values) + comma + text[offset:]
    if span.flow:
        end = text.index("]", span.start) + 1
        item = _format_block_item(values, _DEFAULT_INDENT).rstrip("\n")
        start = len(text[: span.start].rstrip(" "))
        return f"{text[:start]}\n{item}{text[end:]}"
    # The rule is inserted before the first item, because the spans do not show
    # where the last item ends and the comments after it begin.
    offset = _find_line_start(text, span.start)
    return (
        text[:offset]
        + _format_block_item(values, " " * span.column)
        + text[offset:]
    )


def add_rollout(
    text: bytes, values: Mapping[str, Any]
) -> result.Result[bytes, list[_fault.Fault]]:
    """Adds a rollout rule to a document's text.

    Args:
        text: A valid document.
        values: Fields of the rule, as strings, numbers and lists.

    Returns:
        The text with the rule as the first rollout, or the faults.
    """
    read = _yaml_reader.read(text)
    if isinstance(read, result.Err):
        return read
    tree = read.ok_value
    rollouts = tree.data.get("rollouts", [])
    names = [rollout["name"] for rollout in rollouts]
    if values.get("name") in names:
        return _build_fault_result(
            codes.Code.DUPLICATE_NAME,
            f"A rollout named {values['name']} exists already.",
        )
    edited = _insert_rollout(text.decode("utf-8"), tree, values)
    expected = {**tree.data, "rollouts": [dict(values), *rollouts]}
    return _verify_edit(edited, expected)
