"""Faults of an operators' document or a settings file."""

from collections.abc import Sequence
import dataclasses

from geraniumstair._generated import codes

# A path into nested mappings (str) and sequences (int).
Path = Sequence[str | int]

MAX_FAULTS = 100
_MAX_QUOTED_CHARACTERS = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """An error in a text, with its position.

    Attributes:
        code: Result code from `schema/result-codes.yaml`.
        path: Path of the value, such as `regions[0].name`; empty for the
            whole text.
        line: Line in the text, from 1.
        detail: One sentence for the operator.
    """

    code: codes.Code
    path: str
    line: int
    detail: str

    def __str__(self) -> str:
        where = f" at {self.path}" if self.path else ""
        return (
            f"line {self.line}: {self.code.name} ({self.code.value})"
            f"{where}: {self.detail}"
        )

    def to_json_object(self) -> dict[str, str | int]:
        """Returns the fault as a JSON object."""
        return {
            "code": int(self.code),
            "name": self.code.name,
            "path": self.path,
            "line": self.line,
            "detail": self.detail,
        }


def quote(text: str) -> str:
    """Returns a part of an operator's text for use in a fault.

    Long texts are shortened. Control characters are escaped, since a terminal
    that prints the fault would interpret them.
    """
    shortened = (
        text
        if len(text) <= _MAX_QUOTED_CHARACTERS
        else text[:_MAX_QUOTED_CHARACTERS] + "..."
    )
    return shortened if shortened.isprintable() else ascii(shortened)


def format_path(path: Path) -> str:
    """Returns the path in the notation `a.b[0].c`."""
    text = ""
    for part in path:
        if isinstance(part, int):
            text += f"[{part}]"
        elif text:
            text += f".{quote(part)}"
        else:
            text = quote(part)
    return text
