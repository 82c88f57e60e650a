"""Texts and JSON objects of findings, with the field names of the file."""

from typing import Any

from geraniumstair.configuration_check import _finding


def render_line(finding: _finding.Finding, names: _finding.FieldNames) -> str:
    """Returns a finding as one line of text."""
    place = finding.section.value
    if finding.entry:
        # Quoted, so that a line break in a name does not split the line.
        place += f" {finding.entry!r}"
    parts = [finding.severity.value, place]
    if finding.fields:
        parts.append(", ".join(_field_names(finding, names)))
    return ": ".join([*parts, finding.message])


def render_object(
    finding: _finding.Finding, names: _finding.FieldNames
) -> dict[str, Any]:
    """Returns a finding as an object for JSON."""
    return {
        "severity": finding.severity.value,
        "section": finding.section.value,
        "entry": finding.entry,
        "fields": _field_names(finding, names),
        "message": finding.message,
    }


def _field_names(
    finding: _finding.Finding, names: _finding.FieldNames
) -> list[str]:
    return [names[finding.section][field] for field in finding.fields]
