"""Generates `src/geraniumstair/_generated` and pages in `docs`.

Run `python -m tools.generate` after a change in `schema/`. With `--check`,
the tool writes no file and fails if the existing files differ.
"""

import json
import pathlib
import sys
import tempfile
from typing import Any

import datamodel_code_generator as generator
from datamodel_code_generator import format as generator_format
import yaml

_ROOT = pathlib.Path(__file__).parent.parent
_SCHEMA = _ROOT / "schema"
_GENERATED = _ROOT / "src" / "geraniumstair" / "_generated"
_DOCS = _ROOT / "docs"
_PAGES = {
    "result-codes.md": _DOCS / "result-codes.md",
    "settings.md": _DOCS / "reference" / "settings.md",
    "document.md": _DOCS / "reference" / "document.md",
}


def _generate_models(
    source: str,
    target: pathlib.Path,
    model_type: generator.DataModelType,
    base_class: str,
) -> None:
    generator.generate(
        input_=_SCHEMA / source,
        input_file_type=generator.InputFileType.JsonSchema,
        output=target,
        output_model_type=model_type,
        base_class=base_class,
        target_python_version=generator_format.PythonVersion.PY_311,
        use_standard_collections=True,
        use_union_operator=True,
        use_schema_description=True,
        use_field_description=True,
        use_double_quotes=True,
        use_annotated=True,
        field_constraints=True,
        collapse_root_models=True,
        disable_timestamp=True,
        strict_nullable=True,
        formatters=[
            generator_format.Formatter.RUFF_CHECK,
            generator_format.Formatter.RUFF_FORMAT,
        ],
        enum_field_as_literal=generator.LiteralType.All,
        custom_file_header=f'"""Generated from schema/{source}."""\n',
    )


def _render_codes_module(codes: list[dict[str, object]]) -> list[str]:
    lines = [
        '"""Generated from schema/result-codes.yaml."""',
        "",
        "import dataclasses",
        "import enum",
        "",
        "",
        "class Code(enum.IntEnum):",
        '    """Numbered result codes."""',
        "",
    ]
    lines += [f"    {c['name']} = {c['number']}" for c in codes]
    lines += [
        "",
        "",
        "@dataclasses.dataclass(frozen=True)",
        "class CodeInfo:",
        '    """Properties of a result code."""',
        "",
        "    http_status: int",
        "    not_run: bool",
        "    meaning: str",
        "",
        "",
        "INFO = {",
    ]
    for c in codes:
        lines += [
            f"    Code.{c['name']}: CodeInfo(",
            f"        http_status={c['http']},",
            f"        not_run={c['not_run']},",
            f'        meaning="{c["meaning"]}",',
            "    ),",
        ]
    return [*lines, "}", ""]


def _render_codes_page(codes: list[dict[str, object]]) -> list[str]:
    lines = [
        "# Result codes",
        "",
        "Generated from `schema/result-codes.yaml`. *Not run* says that no",
        "endpoint can have acted on the request; otherwise the outcome of a",
        "failed request is unknown.",
        "",
        "| number | name | HTTP status | not run | meaning |",
        "|---|---|---|---|---|",
    ]
    for c in codes:
        not_run = "yes" if c["not_run"] else "no"
        lines.append(
            f"| {c['number']} | `{c['name']}` | {c['http']} | {not_run} "
            f"| {c['meaning']} |"
        )
    return [*lines, ""]


def _describe_type(field: dict[str, Any]) -> str:
    """Returns a description of a field's type and limits."""
    type_name = field.get("type", "")
    if "$ref" in field:
        name = field["$ref"].rpartition("/")[2]
        return f"[{name}](#{name.lower()})"
    if type_name == "array":
        return f"list of {_describe_type(field['items'])}"
    if "enum" in field:
        return " or ".join(f"`{value}`" for value in field["enum"])
    bounds = [
        f"{phrase} {field[key]}"
        for key, phrase in (
            ("minimum", "at least"),
            ("maximum", "at most"),
            ("minLength", "length at least"),
            ("maxLength", "length at most"),
        )
        if key in field
    ]
    return ", ".join([type_name, *bounds])


def _describe_default(
    name: str, field: dict[str, Any], required: list[str]
) -> str:
    if name in required:
        return "required"
    return f"`{json.dumps(field.get('default'))}`"


def _render_section(schema: dict[str, Any]) -> list[str]:
    if "properties" not in schema:
        return [f"{schema['description']} Pattern: `{schema['pattern']}`"]
    lines = [
        schema["description"],
        "",
        "| field | type | default | meaning |",
        "|---|---|---|---|",
    ]
    for name, field in schema["properties"].items():
        default = _describe_default(name, field, schema.get("required", []))
        meaning = field.get("description", "")
        lines.append(
            f"| `{name}` | {_describe_type(field)} | {default} | {meaning} |"
        )
    return lines


def _render_schema_page(source: str, schema: dict[str, Any]) -> list[str]:
    lines = [
        f"# {schema['title']}",
        "",
        f"Generated from `schema/{source}`; printed as JSON Schema by",
        f"`geraniumstair schema {schema['title'].lower()}`. Unknown fields, "
        "YAML anchors and",
        "duplicate keys are refused.",
        "",
        *_render_section(schema),
    ]
    for name, section in schema["$defs"].items():
        lines += ["", f"## {name}", "", *_render_section(section)]
    return [*lines, ""]


def _generate_into(directory: pathlib.Path) -> None:
    _generate_models(
        "messages.yaml",
        directory / "messages.py",
        generator.DataModelType.MsgspecStruct,
        "geraniumstair._struct.Message",
    )
    for name in ("document", "settings"):
        _generate_models(
            f"{name}.yaml",
            directory / f"{name}.py",
            generator.DataModelType.PydanticV2BaseModel,
            "pydantic.BaseModel",
        )
        source = (_SCHEMA / f"{name}.yaml").read_text(encoding="utf-8")
        lines = _render_schema_page(f"{name}.yaml", yaml.safe_load(source))
        (directory / f"{name}.md").write_text("\n".join(lines))
    text = (_SCHEMA / "result-codes.yaml").read_text(encoding="utf-8")
    codes = yaml.safe_load(text)["codes"]
    (directory / "codes.py").write_text("\n".join(_render_codes_module(codes)))
    (directory / "result-codes.md").write_text(
        "\n".join(_render_codes_page(codes))
    )
    (directory / "__init__.py").write_text(
        '"""Code generated from `schema/` by `python -m tools.generate`."""\n'
    )


def _target_path(name: str) -> pathlib.Path:
    return _PAGES.get(name, _GENERATED / name)


def main(arguments: list[str]) -> int:
    """Generates the files, or compares them with the existing ones.

    Args:
        arguments: Command line arguments without the program's name.

    Returns:
        Exit status: 1 if `--check` found a difference, otherwise 0.
    """
    check = "--check" in arguments
    differing = []
    with tempfile.TemporaryDirectory() as name:
        directory = pathlib.Path(name)
        _generate_into(directory)
        for path in sorted(directory.iterdir()):
            target = _target_path(path.name)
            content = path.read_bytes()
            if target.exists() and target.read_bytes() == content:
                continue
            differing.append(target.relative_to(_ROOT))
            if not check:
                target.write_bytes(content)
    for path in differing:
        print(f"generate: {'differs' if check else 'written'}: {path}")
    return 1 if check and differing else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
