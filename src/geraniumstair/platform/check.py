"""Checks a configuration file before an operator sends it to the store."""

from collections.abc import Sequence
import dataclasses
import json
import pathlib
import sys
from typing import Annotated

import cappa

from geraniumstair import configuration_check
from geraniumstair.platform import _check_model
from geraniumstair.platform import _decoding_faults

_EXIT_OK = 0
_EXIT_ERRORS = 1
_EXIT_UNREADABLE = 2


@cappa.command(
    name="python -m geraniumstair.platform.check",
    help="Check a configuration file before it is sent to the store.",
)
@dataclasses.dataclass(kw_only=True)
class Check:
    """Check a configuration file before it is sent to the store."""

    file: Annotated[str, cappa.Arg(help="Configuration to check.")]
    in_force: Annotated[
        str | None,
        cappa.Arg(
            long="--in-force",
            value_name="FILE",
            help="Configuration in force, to compare with.",
        ),
    ] = None
    json: Annotated[
        bool, cappa.Arg(long="--json", help="Print one JSON value.")
    ] = False


def check_files(
    proposed: bytes, in_force: bytes | None
) -> Sequence[configuration_check.Finding]:
    """Returns the findings of a configuration.

    Args:
        proposed: Contents of the file to check.
        in_force: Contents of the file to compare with, if there is one.
    """
    configuration, findings = _decode(proposed, "not decodable")
    if configuration is not None:
        findings += configuration_check.check(configuration)
    if in_force is None:
        return findings
    base, faults = _decode(in_force, "the version in force is not decodable")
    findings += faults
    if configuration is not None and base is not None:
        findings += configuration_check.compare(base, configuration)
    return findings


def _decode(
    value: bytes, fault: str
) -> tuple[
    configuration_check.Configuration | None, list[configuration_check.Finding]
]:
    """Returns a configuration, or None and the reasons."""
    try:
        return _check_model.decode(value), []
    except ValueError as error:
        reasons = _decoding_faults.list_faults(value) or [str(error)]
        return None, [
            configuration_check.Finding(
                configuration_check.Severity.ERROR,
                configuration_check.Section.CONFIGURATION,
                "",
                (),
                f"{fault}: {reason}",
            )
            for reason in reasons
        ]


def _print_findings(
    findings: Sequence[configuration_check.Finding], as_json: bool
) -> None:
    names = _check_model.FIELD_NAMES
    if as_json:
        objects = [
            configuration_check.render_object(finding, names)
            for finding in findings
        ]
        print(json.dumps({"findings": objects}))
        return
    for finding in findings:
        print(configuration_check.render_line(finding, names))


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs the check.

    Args:
        arguments: Arguments without the program's name; None uses those of
            the process.

    Returns:
        The exit status: 0 without errors, 1 with errors, 2 if a file cannot be
        read or the arguments are not valid.
    """
    argv = list(sys.argv[1:] if arguments is None else arguments)
    try:
        command = cappa.parse(Check, argv=argv, completion=False)
    except cappa.Exit as parser_exit:
        return int(parser_exit.code or 0)
    try:
        proposed = pathlib.Path(command.file).read_bytes()
        in_force = (
            pathlib.Path(command.in_force).read_bytes()
            if command.in_force is not None
            else None
        )
    except OSError as error:
        print(f"cannot read a file: {error}", file=sys.stderr)
        return _EXIT_UNREADABLE
    findings = check_files(proposed, in_force)
    _print_findings(findings, command.json)
    has_errors = any(
        finding.severity is configuration_check.Severity.ERROR
        for finding in findings
    )
    return _EXIT_ERRORS if has_errors else _EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
