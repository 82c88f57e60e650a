"""The record of a run: what was sent, answered and run, and when."""

import os
import pathlib
import tempfile

import trio


class Record:
    """Collects lines with the time since the start of the run."""

    def __init__(self) -> None:
        self._lines: list[str] = []
        self._started_s = trio.current_time()

    def now_s(self) -> float:
        """Returns the time since the start of the run."""
        return trio.current_time() - self._started_s

    def add(self, text: str) -> None:
        """Adds a line."""
        self._lines.append(f"{self.now_s():9.3f} {text}")

    def write(self, directory: pathlib.Path) -> None:
        """Writes the lines to `record.txt`; prints those of the verdict."""
        text = "\n".join(self._lines) + "\n"
        (directory / "record.txt").write_text(text, encoding="utf-8")


def is_disturbed() -> bool:
    """Returns whether the run includes the disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def make_directory() -> pathlib.Path:
    """Makes a temporary folder for settings and output of processes."""
    return pathlib.Path(tempfile.mkdtemp(prefix="geraniumstair-review-"))
