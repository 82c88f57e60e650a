"""Exit codes of the command line."""

import enum


class ExitCode(enum.IntEnum):
    """Exit status of a command, for scripts."""

    OK = 0
    REFUSED = 1
    """The command was refused; nothing changed."""
    USAGE = 2
    """The command line is not valid."""
    INVALID = 3
    """The document or the settings have faults."""
    UNAVAILABLE = 4
    """The node or the store cannot be reached; nothing changed."""
    UNAUTHORIZED = 5
    """The operator token is missing or wrong."""
    UNKNOWN = 6
    """The command may or may not have taken effect."""
    CONFLICT = 7
    """Another revision was accepted after the base revision."""
    PARTIAL = 8
    """A search answer covers only some of its shards."""


_EXIT_CODE_BY_RESULT_NAME = {
    "OK": ExitCode.OK,
    "PARTIAL": ExitCode.PARTIAL,
    "UNAUTHORIZED": ExitCode.UNAUTHORIZED,
    "REVISION_CONFLICT": ExitCode.CONFLICT,
    "ACCEPTANCE_UNKNOWN": ExitCode.UNKNOWN,
    "INVALID_ROLLOUT": ExitCode.REFUSED,
}


def map_result_code(number: int) -> ExitCode:
    """Returns the exit code for a result code."""
    # Imported only here, so that --help does not load the table of codes.
    from geraniumstair._generated import codes

    try:
        code = codes.Code(number)
    except ValueError:
        return ExitCode.UNKNOWN
    if code.name in _EXIT_CODE_BY_RESULT_NAME:
        return _EXIT_CODE_BY_RESULT_NAME[code.name]
    if 400 <= number < 500:
        return ExitCode.INVALID
    if not codes.INFO[code].not_run:
        return ExitCode.UNKNOWN
    if 200 <= number < 300:
        return ExitCode.UNAVAILABLE
    return ExitCode.REFUSED
