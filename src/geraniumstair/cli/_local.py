"""Handlers of the commands that need no running node."""

from collections.abc import Sequence
import importlib
import pathlib
import sys
from typing import Any

import result

from geraniumstair import configuration
from geraniumstair.cli import _exit_codes
from geraniumstair.cli import _local_commands
from geraniumstair.cli import _print


def read_file(name: str) -> bytes | None:
    """Returns a file's content, or prints an error and returns None."""
    try:
        if name == "-":
            return sys.stdin.buffer.read()
        return pathlib.Path(name).read_bytes()
    except OSError as error:
        _print.print_error(f"cannot read {name}: {error.strerror}")
        return None


def _report_faults(
    file_name: str,
    faults: Sequence[configuration.Fault],
    as_json: bool,
    next_step: str,
) -> int:
    """Prints the faults of a file and the next step; returns the exit code."""
    values = [fault.to_json_object() for fault in faults]
    if as_json:
        _print.print_json({"valid": False, "faults": values})
    else:
        count = "1 fault" if len(values) == 1 else f"{len(values)} faults"
        _print.print_faults(file_name, values)
        _print.print_error(f"{count}; {next_step}")
    return _exit_codes.ExitCode.INVALID


def check(command: _local_commands.Check) -> int:
    """Checks a document."""
    content = read_file(command.file)
    if content is None:
        return _exit_codes.ExitCode.USAGE
    parsed = configuration.parse(content)
    if isinstance(parsed, result.Err):
        return _report_faults(
            command.file,
            parsed.err_value,
            command.json,
            "correct the lines and check again",
        )
    document = parsed.ok_value
    services = [
        service
        for subsidiary in document.subsidiaries
        for service in subsidiary.services
    ]
    shards = [shard for service in services for shard in service.shards]
    counts = {
        "availability_zones": len(document.availability_zones),
        "services": len(services),
        "shards": len(shards),
        "endpoints": sum(len(shard.endpoints) for shard in shards),
        "rollouts": len(document.rollouts),
    }
    if command.json:
        _print.print_json({"valid": True, "faults": [], **counts})
    else:
        print("The document is valid.")
        _print.print_values(counts)
    return _exit_codes.ExitCode.OK


def run_node(command: _local_commands.Node) -> int:
    """Runs a node until it is stopped."""
    settings_module = importlib.import_module("geraniumstair.node._settings")
    loaded = settings_module.load_settings(command.settings)
    if isinstance(loaded, result.Err):
        return _report_faults(
            command.settings,
            loaded.err_value,
            command.json,
            "`geraniumstair schema settings` prints the fields",
        )
    # Imported only here, because the daemon loads every package.
    node = importlib.import_module("geraniumstair.node")
    return int(node.main(loaded.ok_value))


def _build_message_schema() -> dict[str, Any]:
    import msgspec

    from geraniumstair import _struct
    from geraniumstair._generated import messages

    types = [
        value
        for value in vars(messages).values()
        if isinstance(value, type)
        and issubclass(value, _struct.Message)
        and value is not _struct.Message
    ]
    _, components = msgspec.json.schema_components(types)
    return {"$defs": components}


def _build_codes_schema() -> dict[str, Any]:
    from geraniumstair._generated import codes

    return {
        "codes": [
            {
                "number": int(code),
                "name": code.name,
                "http": info.http_status,
                "not_run": info.not_run,
                "meaning": info.meaning,
            }
            for code, info in codes.INFO.items()
        ]
    }


def schema(command: _local_commands.Schema) -> int:
    """Prints a schema as JSON."""
    if command.name == "messages":
        value = _build_message_schema()
    elif command.name == "codes":
        value = _build_codes_schema()
    elif command.name == "settings":
        from geraniumstair._generated import settings

        value = settings.Settings.model_json_schema()
    else:
        from geraniumstair._generated import document

        value = document.Document.model_json_schema()
    if command.name == "codes" and not command.json:
        _print.print_table(
            ["number", "name", "http", "not_run", "meaning"], value["codes"]
        )
    else:
        _print.print_json(value)
    return _exit_codes.ExitCode.OK
