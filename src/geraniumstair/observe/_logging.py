"""Logging setup with component prefixes and rate limits."""

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
_MAX_MESSAGE_CHARS = 4000
_RATE_LIMIT_BURST = 10
_RATE_LIMIT_WINDOW_S = 10.0
_RATE_LIMIT_MAX_WINDOWS = 1000
# A write of up to this size to a pipe is atomic.
_MAX_ATOMIC_WRITE_BYTES = 4096


class _Window:
    """Number of records with the same key since the start of a window."""

    def __init__(self, started_s: float) -> None:
        self.started_s = started_s
        self.record_count = 0


class RateLimitFilter(logging.Filter):
    """Drops repeated records and reports how many were dropped.

    Records with the same logger, level and unformatted message count as
    repeated. The first record of the next window carries the number of dropped
    ones. Records of level ERROR and above always pass.

    Args:
        burst: Number of repeated records that pass in a window.
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
        """Returns whether a record passes; adds the number of dropped ones."""
        if record.levelno >= logging.ERROR:
            return True
        key = (record.name, record.levelno, str(record.msg))
        now_s = self._clock()
        window = self._windows.get(key)
        dropped = 0
        if window is None or now_s - window.started_s >= self._window_s:
            if window is not None:
                dropped = max(0, window.record_count - self._burst)
            self._evict_windows(now_s)
            window = self._windows[key] = _Window(now_s)
        window.record_count += 1
        if window.record_count > self._burst:
            return False
        record.dropped = dropped
        return True

    def _evict_windows(self, now_s: float) -> None:
        """Evicts windows, so that varying messages do not exhaust memory."""
        if len(self._windows) < _RATE_LIMIT_MAX_WINDOWS:
            return
        self._windows = {
            key: window
            for key, window in self._windows.items()
            if now_s - window.started_s < self._window_s
        }
        if len(self._windows) >= _RATE_LIMIT_MAX_WINDOWS:
            self._windows.clear()


def fields(**values: Any) -> dict[str, Any]:
    """Returns values that are added as fields to a JSON log line.

    Pass the result as `extra` to a logging call. Names end in their unit.
    """
    return {"fields": values}


class NonBlockingHandler(logging.Handler):
    """Writes lines to a file descriptor without blocking.

    A line that does not fit into a full pipe is dropped. The next written line
    carries the number of dropped ones.

    Args:
        descriptor: File descriptor; it is made non-blocking.

    Attributes:
        dropped_lines: Lines that were not written.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._unreported_drops = 0
        self.dropped_lines = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Writes a record, or drops it if the write fails."""
        if self._unreported_drops:
            record.lines_dropped = self._unreported_drops
        line = self.format(record).encode("utf-8", "replace")
        line = line[: _MAX_ATOMIC_WRITE_BYTES - 1] + b"\n"
        try:
            os.write(self._descriptor, line)
        except OSError:
            # The reader is too slow, or there is none.
            self._unreported_drops += 1
            self.dropped_lines += 1
        else:
            self._unreported_drops = 0


class _Formatter(logging.Formatter):
    """Removes secrets from messages, text fields and tracebacks."""

    def __init__(self, secrets: Sequence[str]) -> None:
        super().__init__()
        self._secrets = sorted(filter(None, secrets), key=len, reverse=True)

    def _redact(self, text: str) -> str:
        for secret in self._secrets:
            text = text.replace(secret, _REDACTED)
        return text[:_MAX_MESSAGE_CHARS]

    def _format_message(self, record: logging.LogRecord) -> str:
        # A message may already start with the prefix, which is written once.
        message = record.getMessage().removeprefix(
            f"{_get_component(record)}: "
        )
        dropped = getattr(record, "dropped", 0)
        if dropped:
            message += f" ({dropped} more like this were not logged)"
        return self._redact(message).rstrip()

    def _format_traceback(self, record: logging.LogRecord) -> str:
        if not record.exc_info:
            return ""
        return self._redact(self.formatException(record.exc_info))


class _HumanFormatter(_Formatter):
    def format(self, record: logging.LogRecord) -> str:
        message = self._format_message(record).replace("\n", "\\n")
        line = (
            f"{_format_timestamp(record)} {record.levelname} "
            f"{_get_component(record)}: {message}"
        )
        traceback = self._format_traceback(record)
        return f"{line}\n{traceback}" if traceback else line


class _JsonFormatter(_Formatter):
    def format(self, record: logging.LogRecord) -> str:
        line: dict[str, Any] = {
            "time": _format_timestamp(record),
            "level": record.levelname,
            "component": _get_component(record),
            "message": self._format_message(record),
        }
        values: Mapping[str, Any] = getattr(record, "fields", {})
        for name, value in values.items():
            line[name] = self._redact(value) if type(value) is str else value
        dropped = getattr(record, "lines_dropped", 0)
        if dropped:
            line["lines_dropped"] = dropped
        traceback = self._format_traceback(record)
        if traceback:
            line["traceback"] = traceback
        return json.dumps(line, default=str)


def _format_timestamp(record: logging.LogRecord) -> str:
    moment = datetime.datetime.fromtimestamp(record.created, datetime.UTC)
    return moment.isoformat(timespec="milliseconds")


def _get_component(record: logging.LogRecord) -> str:
    """Returns the name of the package or library that logged a record."""
    return record.name.removeprefix(f"{_ROOT_NAME}.").split(".")[0]


def get_component_logger(component: str) -> logging.Logger:
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
    """Configures logging of the process, replacing an earlier configuration.

    Args:
        log_format: `human` for plain text, `json` for one JSON object per line.
        log_level: Minimum level of this project's loggers. Libraries log from
            WARNING, because their debug lines may hold request bodies.
        secrets: Texts that never appear in the log.
        stream: Receives the lines; None selects standard error.
        handler: Writes the lines; None writes them to `stream`.
        burst: Number of repeated records that are logged in each window.
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
