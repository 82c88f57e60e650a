"""Reads a subset of YAML into plain values with their positions.

The reader consumes parser events one by one. It builds no node graph and stops
at the first anchor, alias, tag or exceeded limit, so that the cost of a
malicious text is bounded by its size.
"""

import dataclasses
import math
from typing import Any

import result
import yaml

from geraniumstair._generated import codes
from geraniumstair.configuration import _fault

MAX_TEXT_BYTES = 4 * 1024 * 1024
MAX_DEPTH = 24
# Allows about 7,000 endpoints with all fields. Each value takes up to 1 KB of
# memory while it is read and validated.
MAX_VALUES = 160_000
# The schemas allow at most 5,000 items and far fewer than 64 keys. A larger
# collection would only produce more faults.
MAX_ITEMS = 5_000
MAX_KEYS = 64
MAX_SCALAR_CHARACTERS = 4096
_MAX_INTEGER_CHARACTERS = 20

_LOADER: Any = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
_INT_TAG = "tag:yaml.org,2002:int"
_FLOAT_TAG = "tag:yaml.org,2002:float"
_BOOL_TAG = "tag:yaml.org,2002:bool"
_NULL_TAG = "tag:yaml.org,2002:null"


@dataclasses.dataclass(frozen=True, slots=True)
class Span:
    """Position of a value in the text.

    Attributes:
        start: Offset of the first character.
        end: Offset after the last character; for a collection the offset
            after its opening event.
        line: Line of the first character, from 0.
        column: Column of the first character, from 0.
        flow: Whether a collection is written in flow style.
    """

    start: int
    end: int
    line: int
    column: int
    flow: bool = False


@dataclasses.dataclass(slots=True)
class _Frame:
    """A collection whose items are being read.

    Attributes:
        values: The dict or list that is filled.
        spans: Spans of the values, under the same keys or indexes.
        path: Path of the collection.
        key: In a mapping, the key whose value comes next.
    """

    values: Any
    spans: Any
    path: tuple[str | int, ...]
    key: str | None = None


class Tree:
    """The values of a text and their positions.

    Attributes:
        data: Nested dicts, lists and scalars.
    """

    def __init__(self, data: Any, root: Span, spans: dict[int, Any]) -> None:
        self.data = data
        self._root = root
        self._spans = spans

    def span(self, path: _fault.Path) -> Span:
        """Returns the span of the value, or of its nearest existing parent."""
        value = self.data
        span = self._root
        for part in path:
            spans = self._spans.get(id(value))
            if spans is None:
                break
            try:
                span = spans[part]
                value = value[part]
            except (KeyError, IndexError, TypeError):
                break
        return span

    def line(self, path: _fault.Path) -> int:
        """Returns the line of the value from 1."""
        return self.span(path).line + 1


class _FaultsError(Exception):
    """Aborts reading and carries the faults."""

    def __init__(self, *faults: _fault.Fault) -> None:
        super().__init__(faults[0].detail)
        self.faults = list(faults)


class _Builder:
    """Builds a tree from parser events."""

    def __init__(self, loader: Any) -> None:
        self._loader = loader
        self._stack: list[_Frame] = []
        self._spans: dict[int, Any] = {}
        self._root: Any = None
        self._root_span: Span | None = None
        self._value_count = 0
        self._document_count = 0
        self.duplicate_key_faults: list[_fault.Fault] = []

    def build(self) -> Tree:
        """Consumes all events and returns the tree."""
        while self._loader.check_event():
            self._handle_event(self._loader.get_event())
        if self._root_span is None:
            raise _FaultsError(
                _fault.Fault(
                    codes.Code.YAML_SYNTAX, "", 1, "The text is empty."
                )
            )
        return Tree(self._root, self._root_span, self._spans)

    def _handle_event(self, event: Any) -> None:
        if isinstance(event, yaml.ScalarEvent):
            self._check_node(event)
            self._handle_scalar(event)
        elif isinstance(event, yaml.MappingStartEvent):
            self._check_node(event)
            self._open_collection(event, {}, {})
        elif isinstance(event, yaml.SequenceStartEvent):
            self._check_node(event)
            self._open_collection(event, [], [])
        elif isinstance(event, yaml.CollectionEndEvent):
            self._stack.pop()
        elif isinstance(event, yaml.AliasEvent):
            self._refuse(
                event,
                codes.Code.ALIAS_FORBIDDEN,
                f"Alias *{event.anchor} is not allowed; write the value out.",
            )
        elif isinstance(event, yaml.DocumentStartEvent):
            self._document_count += 1
            if self._document_count > 1:
                self._refuse(
                    event,
                    codes.Code.YAML_SYNTAX,
                    "The text holds more than one YAML document.",
                )

    def _refuse(self, event: Any, code: codes.Code, detail: str) -> None:
        raise _FaultsError(
            _fault.Fault(
                code,
                _fault.format_path(self._build_current_path()),
                event.start_mark.line + 1,
                detail,
            )
        )

    def _build_current_path(self) -> tuple[str | int, ...]:
        if not self._stack:
            return ()
        frame = self._stack[-1]
        if isinstance(frame.values, list):
            return (*frame.path, len(frame.values))
        if frame.key is None:
            return frame.path
        return (*frame.path, frame.key)

    def _check_node(self, event: Any) -> None:
        self._value_count += 1
        if event.anchor is not None:
            self._refuse(
                event,
                codes.Code.ALIAS_FORBIDDEN,
                f"Anchor &{event.anchor} is not allowed.",
            )
        if event.tag is not None:
            self._refuse(event, codes.Code.YAML_SYNTAX, "Tags are not allowed.")
        if self._value_count > MAX_VALUES:
            self._refuse(
                event,
                codes.Code.DOCUMENT_TOO_LARGE,
                f"The text has more than {MAX_VALUES} values.",
            )

    def _open_collection(self, event: Any, values: Any, spans: Any) -> None:
        if len(self._stack) >= MAX_DEPTH:
            self._refuse(
                event,
                codes.Code.DOCUMENT_TOO_LARGE,
                f"The text is nested deeper than {MAX_DEPTH} levels.",
            )
        frame = _Frame(values, spans, self._build_current_path())
        self._add_value(event, values)
        self._spans[id(values)] = spans
        self._stack.append(frame)

    def _handle_scalar(self, event: Any) -> None:
        if len(event.value) > MAX_SCALAR_CHARACTERS:
            self._refuse(
                event,
                codes.Code.DOCUMENT_TOO_LARGE,
                f"A value is longer than {MAX_SCALAR_CHARACTERS} characters.",
            )
        frame = self._stack[-1] if self._stack else None
        if frame and isinstance(frame.values, dict) and frame.key is None:
            self._set_key(event, frame)
        else:
            self._add_value(event, self._convert_scalar(event))

    def _set_key(self, event: Any, frame: _Frame) -> None:
        frame.key = event.value
        if event.value not in frame.values:
            return
        first_line = frame.spans[event.value].line + 1
        self.duplicate_key_faults.append(
            _fault.Fault(
                codes.Code.DUPLICATE_KEY,
                _fault.format_path(self._build_current_path()),
                event.start_mark.line + 1,
                f"The key is already given on line {first_line}.",
            )
        )
        if len(self.duplicate_key_faults) >= _fault.MAX_FAULTS:
            raise _FaultsError(*self.duplicate_key_faults)

    def _add_value(self, event: Any, value: Any) -> None:
        start = event.start_mark
        span = Span(
            start.index,
            event.end_mark.index,
            start.line,
            start.column,
            bool(getattr(event, "flow_style", False)),
        )
        if not self._stack:
            self._root = value
            self._root_span = span
            return
        frame = self._stack[-1]
        self._check_size(event, frame)
        if isinstance(frame.values, list):
            frame.values.append(value)
            frame.spans.append(span)
            return
        if frame.key is None:
            self._refuse(
                event, codes.Code.YAML_SYNTAX, "A key must be a plain text."
            )
        frame.values[frame.key] = value
        frame.spans[frame.key] = span
        frame.key = None

    def _check_size(self, event: Any, frame: _Frame) -> None:
        limit = MAX_ITEMS if isinstance(frame.values, list) else MAX_KEYS
        if len(frame.values) >= limit:
            self._refuse(
                event,
                codes.Code.DOCUMENT_TOO_LARGE,
                f"A collection has more than {limit} items.",
            )

    def _convert_scalar(self, event: Any) -> Any:
        text = event.value
        if not event.implicit[0]:
            return text
        tag = self._loader.resolve(yaml.ScalarNode, text, (True, False))
        if tag == _NULL_TAG:
            return None
        if tag == _BOOL_TAG:
            return text.lower() in ("true", "yes", "on")
        if tag == _INT_TAG:
            return self._parse_integer(event, text)
        if tag == _FLOAT_TAG:
            return self._parse_float(event, text)
        return text

    def _parse_integer(self, event: Any, text: str) -> int:
        # YAML 1.1 reads 010 as octal and 1:30 as sexagesimal. Both surprise
        # operators, so only decimal notation is accepted.
        digits = text.lstrip("+-")
        is_decimal = digits.isdecimal() and (digits == "0" or digits[0] != "0")
        if not is_decimal or len(text) > _MAX_INTEGER_CHARACTERS:
            self._refuse(
                event,
                codes.Code.SCHEMA_VIOLATION,
                "Write whole numbers in decimal, or quote the text.",
            )
        return int(text)

    def _parse_float(self, event: Any, text: str) -> float:
        try:
            number = float(text)
        except ValueError:
            number = math.nan
        if not math.isfinite(number):
            self._refuse(
                event,
                codes.Code.SCHEMA_VIOLATION,
                "Write finite numbers in decimal, or quote the text.",
            )
        return number


def _build_syntax_fault(error: yaml.YAMLError, text: str) -> _fault.Fault:
    line = 1
    mark = getattr(error, "problem_mark", None)
    if mark is not None:
        # An error at the end of the text is marked after the last line.
        line = min(mark.line + 1, max(1, len(text.splitlines())))
    problem = getattr(error, "problem", None) or "the text cannot be read"
    return _fault.Fault(
        codes.Code.YAML_SYNTAX, "", line, f"Not valid YAML: {problem}."
    )


def _decode_utf8(text: bytes) -> result.Result[str, _fault.Fault]:
    if len(text) > MAX_TEXT_BYTES:
        return result.Err(
            _fault.Fault(
                codes.Code.DOCUMENT_TOO_LARGE,
                "",
                1,
                f"The text has {len(text)} bytes; at most "
                f"{MAX_TEXT_BYTES} are allowed.",
            )
        )
    try:
        return result.Ok(text.decode("utf-8"))
    except UnicodeDecodeError as error:
        line = text.count(b"\n", 0, error.start) + 1
        return result.Err(
            _fault.Fault(
                codes.Code.YAML_SYNTAX, "", line, "The text is not UTF-8."
            )
        )


def read(text: bytes) -> result.Result[Tree, list[_fault.Fault]]:
    """Reads one YAML text.

    Anchors, aliases, tags, duplicate keys, several documents and texts that
    exceed the limits of this module are refused. Dates are returned as strings.

    Args:
        text: UTF-8 text.

    Returns:
        The values with their positions, or the faults. Duplicate keys are
        reported together; any other fault is reported alone.
    """
    decoded = _decode_utf8(text)
    if isinstance(decoded, result.Err):
        return result.Err([decoded.err_value])
    loader = None
    try:
        loader = _LOADER(decoded.ok_value)
        builder = _Builder(loader)
        tree = builder.build()
    except _FaultsError as error:
        return result.Err(error.faults)
    except yaml.YAMLError as error:
        return result.Err([_build_syntax_fault(error, decoded.ok_value)])
    finally:
        if loader is not None:
            loader.dispose()
    if builder.duplicate_key_faults:
        return result.Err(builder.duplicate_key_faults)
    return result.Ok(tree)
