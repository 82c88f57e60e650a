"""Logging setup: one prefix per component, repeated messages rate-limited."""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import datetime
import json
import logging
import os
import sys
import time
from typing import IO
from typing import Any
from typing import Literal

_ROOT_NAME = "geraniumstair"
_REDACTED = "[redacted]"
_LONGEST_MESSAGE_CHARS = 4000
_RATE_LIMIT_BURST = 10
_RATE_LIMIT_WINDOW_S = 10.0
_RATE_LIMIT_KEYS = 1000
# A pipe takes a line of up to this size whole or not at all.
_ATOMIC_WRITE_BYTES = 4096


class _Window:
    """Records of one kind since the start of the window."""

    def __init__(self, started_s: float) -> None:
        self.started_s = started_s
        self.seen = 0


class RateLimitFilter(logging.Filter):
    """Drops repeated records and says later how many were dropped.

    Records are alike if they have the same logger, level and unformatted
    message. The first record of the next window carries the number of the
    dropped ones. Records of level ERROR and above pass always.

    Args:
        burst: Alike records that pass in a window.
        window_s: Length of a window.
        clock: Returns a monotonic time in s.
    """

    def __init__(
        self,
        burst: int = _RATE_LIMIT_BURST,
        window_s: float = _RATE_LIMIT_WINDOW_S,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        self._burst = burst
        self._window_s = window_s
        self._clock = clock
        self._windows: dict[tuple[str, int, str], _Window] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        """Returns whether the record passes; notes what was dropped."""
        if record.levelno >= logging.ERROR:
            return True
        key = (record.name, record.levelno, str(record.msg))
        now_s = self._clock()
        window = self._windows.get(key)
        dropped = 0
        if window is None or now_s - window.started_s >= self._window_s:
            if window is not None:
                dropped = max(0, window.seen - self._burst)
            self._make_room(now_s)
            window = self._windows[key] = _Window(now_s)
        window.seen += 1
        if window.seen > self._burst:
            return False
        record.dropped = dropped
        return True

    def _make_room(self, now_s: float) -> None:
        """Forgets ended windows, so that varying messages use no memory."""
        if len(self._windows) < _RATE_LIMIT_KEYS:
            return
        self._windows = {
            key: window
            for key, window in self._windows.items()
            if now_s - window.started_s < self._window_s
        }
        if len(self._windows) >= _RATE_LIMIT_KEYS:
            self._windows.clear()


def fields(**values: Any) -> dict[str, Any]:
    """Returns values that a JSON log line shows beside its message.

    Use it as `extra` of a logging call. Names carry their unit.
    """
    return {"fields": values}


class NonBlockingHandler(logging.Handler):
    """Writes lines to a file descriptor without ever waiting for it.

    A line that a full pipe does not take is dropped and counted; the next
    line that is written says how many there were.

    Args:
        descriptor: File descriptor; it is made non-blocking.

    Attributes:
        dropped_lines: Lines that were not written.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._unreported = 0
        self.dropped_lines = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Writes one record or drops it."""
        if self._unreported:
            record.lines_dropped = self._unreported
        line = self.format(record).encode("utf-8", "replace")
        line = line[: _ATOMIC_WRITE_BYTES - 1] + b"\n"
        try:
            os.write(self._descriptor, line)
        except OSError:
            # Nobody reads the log fast enough, or at all.
            self._unreported += 1
            self.dropped_lines += 1
        else:
            self._unreported = 0


class _Formatter(logging.Formatter):
    """Removes secrets from the whole text, tracebacks included."""

    def __init__(self, secrets: Sequence[str]) -> None:
        super().__init__()
        self._secrets = sorted(filter(None, secrets), key=len, reverse=True)

    def _redact(self, text: str) -> str:
        for secret in self._secrets:
            text = text.replace(secret, _REDACTED)
        return text[:_LONGEST_MESSAGE_CHARS]

    def _message(self, record: logging.LogRecord) -> str:
        # Messages may carry the prefix themselves; it is written only once.
        message = record.getMessage().removeprefix(f"{_component(record)}: ")
        dropped = getattr(record, "dropped", 0)
        if dropped:
            message += f" ({dropped} more like this were not logged)"
        return self._redact(message).rstrip()

    def _traceback(self, record: logging.LogRecord) -> str:
        if not record.exc_info:
            return ""
        return self._redact(self.formatException(record.exc_info))


class _HumanFormatter(_Formatter):
    def format(self, record: logging.LogRecord) -> str:
        message = self._message(record).replace("\n", "\\n")
        line = (
            f"{_timestamp(record)} {record.levelname} "
            f"{_component(record)}: {message}"
        )
        traceback = self._traceback(record)
        return f"{line}\n{traceback}" if traceback else line


class _JsonFormatter(_Formatter):
    def format(self, record: logging.LogRecord) -> str:
        line: dict[str, Any] = {
            "time": _timestamp(record),
            "level": record.levelname,
            "component": _component(record),
            "message": self._message(record),
        }
        values: Mapping[str, Any] = getattr(record, "fields", {})
        for name, value in values.items():
            line[name] = self._redact(value) if type(value) is str else value
        dropped = getattr(record, "lines_dropped", 0)
        if dropped:
            line["lines_dropped"] = dropped
        traceback = self._traceback(record)
        if traceback:
            line["traceback"] = traceback
        return json.dumps(line, default=str)


def _timestamp(record: logging.LogRecord) -> str:
    moment = datetime.datetime.fromtimestamp(record.created, datetime.UTC)
    return moment.isoformat(timespec="milliseconds")


def _component(record: logging.LogRecord) -> str:
    """Returns the package within this project, or a library's name."""
    return record.name.removeprefix(f"{_ROOT_NAME}.").split(".")[0]


def component_logger(component: str) -> logging.Logger:
    """Returns the logger of a component; its name prefixes each line."""
    return logging.getLogger(f"{_ROOT_NAME}.{component}")


def configure_logging(
    log_format: Literal["human", "json"],
    log_level: str,
    *,
    secrets: Sequence[str] = (),
    stream: IO[str] | None = None,
    handler: logging.Handler | None = None,
    burst: int = _RATE_LIMIT_BURST,
) -> None:
    """Sets up logging of the whole process, replacing an earlier setup.

    Args:
        log_format: Lines for people, or one JSON object per line.
        log_level: Least level of this project's loggers. Libraries log from
            WARNING, since their debug lines may hold request bodies.
        secrets: Texts that never appear in the log.
        stream: Where lines go; standard error if None.
        handler: Writes the lines; None writes them to the stream.
        burst: Alike lines that are written in each window.
    """
    if handler is None:
        handler = logging.StreamHandler(stream or sys.stderr)
    if log_format == "json":
        handler.setFormatter(_JsonFormatter(secrets))
    else:
        handler.setFormatter(_HumanFormatter(secrets))
    handler.addFilter(RateLimitFilter(burst))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.WARNING)
    logging.getLogger(_ROOT_NAME).setLevel(log_level)
