"""Validation of the operators' document and other YAML files."""

from collections.abc import Sequence
import json
from typing import TypeVar

import pydantic
import result

from geraniumstair._generated import codes
from geraniumstair._generated import document as document_models
from geraniumstair.configuration import _fault
from geraniumstair.configuration import _references
from geraniumstair.configuration import _yaml_reader

_Model = TypeVar("_Model", bound=pydantic.BaseModel)


def _build_schema_faults(
    error: pydantic.ValidationError, tree: _yaml_reader.Tree
) -> list[_fault.Fault]:
    faults = []
    details = error.errors(
        include_url=False, include_context=False, include_input=False
    )
    for detail in details[: _fault.MAX_FAULTS]:
        path = detail["loc"]
        faults.append(
            _fault.Fault(
                codes.Code.SCHEMA_VIOLATION,
                _fault.format_path(path),
                tree.line(path),
                f"{detail['msg']}.",
            )
        )
    return faults


def parse_model(
    text: bytes, model: type[_Model]
) -> result.Result[tuple[_Model, _yaml_reader.Tree], Sequence[_fault.Fault]]:
    """Reads a YAML text and validates it against a model.

    Args:
        text: UTF-8 text.
        model: Model that describes the text.

    Returns:
        The model and the positions of its values, or the faults in the order
        of their lines.
    """
    read = _yaml_reader.read(text)
    if isinstance(read, result.Err):
        return result.Err(read.err_value)
    tree = read.ok_value
    # Strict validation rejects values of another type instead of converting
    # them. JSON mode is used because only it accepts dates as strings.
    values = json.dumps(tree.data)
    try:
        value = model.model_validate_json(values, strict=True)
    except pydantic.ValidationError as error:
        faults = _build_schema_faults(error, tree)
        return result.Err(sorted(faults, key=lambda fault: fault.line))
    return result.Ok((value, tree))


def parse(
    text: bytes,
) -> result.Result[document_models.Document, Sequence[_fault.Fault]]:
    """Validates an operators' document.

    Args:
        text: UTF-8 YAML text.

    Returns:
        The document, or at most `MAX_FAULTS` faults in the order of their
        lines.
    """
    parsed = parse_model(text, document_models.Document)
    if isinstance(parsed, result.Err):
        return parsed
    document, tree = parsed.ok_value
    faults = _references.check(document, tree)
    if faults:
        return result.Err(sorted(faults, key=lambda fault: fault.line))
    return result.Ok(document)
