"""Parses the command line and runs the handler of the command."""

from collections.abc import Sequence
import importlib
import sys
from typing import Any

import cappa

import geraniumstair
from geraniumstair.cli import _commands
from geraniumstair.cli import _exit_codes
from geraniumstair.cli import _rollout_commands


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs one command.

    Args:
        arguments: Arguments without the program's name; None uses those of
            the process.

    Returns:
        The exit status; see `ExitCode`.
    """
    argv = list(sys.argv[1:] if arguments is None else arguments)
    try:
        parsed = cappa.parse(
            _commands.Geraniumstair,
            argv=argv,
            version=geraniumstair.__version__,
            completion=False,
        )
    except cappa.Exit as parser_exit:
        return int(parser_exit.code or 0)
    command: Any = parsed.command
    if isinstance(command, _rollout_commands.Rollout):
        command = command.command
    module_name, _, function_name = command.handler.partition(".")
    module = importlib.import_module(f"geraniumstair.cli.{module_name}")
    try:
        return int(getattr(module, function_name)(command))
    except KeyboardInterrupt:
        return _exit_codes.ExitCode.REFUSED
    except BrokenPipeError:
        # The reader of the output, such as `head`, has closed the pipe.
        sys.stderr.close()
        return _exit_codes.ExitCode.OK
