"""What a case sent, got and ran, for its `record.txt`."""

import pathlib
import time


class Record:
    """Lines with the time since the start of the traffic.

    Args:
        path: Where `save` writes them.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path
        self._lines: list[str] = []
        self._started_s = time.monotonic()

    def restart_clock(self) -> None:
        """Counts the time from now on."""
        self._started_s = time.monotonic()

    @property
    def now_s(self) -> float:
        """Time since the start of the traffic."""
        return time.monotonic() - self._started_s

    def add(self, text: str) -> None:
        """Adds a line."""
        self._lines.append(f"{self.now_s:8.3f} s  {text}")

    def save(self) -> None:
        """Writes all lines."""
        self._path.write_text("\n".join(self._lines) + "\n")
