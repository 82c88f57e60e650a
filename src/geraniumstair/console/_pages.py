"""Renders the console's pages."""

import dataclasses
import importlib.resources
from typing import Any

import jinja2

from geraniumstair import _display
from geraniumstair import configuration
from geraniumstair.console import _http

_ENVIRONMENT = jinja2.Environment(
    loader=jinja2.PackageLoader("geraniumstair.console"),
    autoescape=True,
    undefined=jinja2.StrictUndefined,
    trim_blocks=True,
)
_PAGES = (
    ("/status", "Status"),
    ("/document", "Document"),
    ("/availability-zones", "Availability zones"),
    ("/rollouts", "Rollouts"),
)
_DEFAULT_VALUES: dict[str, Any] = {
    "pages": _PAGES,
    "message": "",
    "error": "",
    "form_token": "",
    "difference": [],
}
_MAX_LINE_CHARACTERS = 200


@dataclasses.dataclass(frozen=True, slots=True)
class FaultWithLine:
    """A fault and the text of its line."""

    fault: configuration.Fault
    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class Section:
    """A section of the status page: a table, or one text."""

    title: str
    columns: list[str]
    rows: list[dict[str, Any]]
    text: str


def _format_label(name: str) -> str:
    shown = _display.format_field_name(name)
    return shown[:1].upper() + shown[1:]


_ENVIRONMENT.filters["label"] = _format_label
_ENVIRONMENT.filters["text"] = _display.format_value


def add_line_texts(text: str, faults: Any) -> list[FaultWithLine]:
    """Returns each fault with the text of its line, shortened if long."""
    lines = text.split("\n")
    faults_with_lines = []
    for fault in faults:
        index = fault.line - 1
        line = lines[index] if index < len(lines) else ""
        faults_with_lines.append(
            FaultWithLine(fault, line[:_MAX_LINE_CHARACTERS])
        )
    return faults_with_lines


def split_status(status: Any) -> list[Section]:
    """Splits a status into the sections of the status page."""
    sections = []
    for key, value in status.items():
        title = _format_label(key)
        if _display.is_table(value):
            columns = _display.list_columns(value)
            sections.append(Section(title, columns, value, ""))
        else:
            sections.append(
                Section(title, [], [], _display.format_value(value))
            )
    return sections


def render(
    template: str, title: str, status: int = 200, **values: Any
) -> _http.Response:
    """Renders one page."""
    page = _ENVIRONMENT.get_template(template)
    text = page.render(**{**_DEFAULT_VALUES, **values, "title": title})
    return _http.Response(status, "text/html; charset=utf-8", text.encode())


def load_style_sheet() -> _http.Response:
    """Returns the style sheet."""
    package = importlib.resources.files("geraniumstair.console")
    content = (package / "templates" / "console.css").read_bytes()
    return _http.Response(200, "text/css; charset=utf-8", content)


def redirect(path: str, **headers: str) -> _http.Response:
    """Returns a redirect that the browser follows with GET."""
    return _http.Response(303, "text/plain", b"", {"location": path, **headers})
