"""Root of the command line with all commands.

Each command has a `handler`, which is imported when the command runs. The
classes are in several small modules, because cappa parses the source of a
module once for each class in it.
"""

import dataclasses

import cappa

from geraniumstair.cli import _local_commands
from geraniumstair.cli import _operator_commands
from geraniumstair.cli import _rollout_commands


@cappa.command(
    name="geraniumstair",
    help="Query tier over many shards.",
    description=(
        "Exit codes: 0 done, 1 refused, 2 usage, 3 invalid document or "
        "settings, 4 node or store unavailable, 5 unauthorized, 6 outcome "
        "unknown, 7 revision conflict, 8 partial search answer."
    ),
)
@dataclasses.dataclass(kw_only=True)
class Geraniumstair:
    """Root command; it only has subcommands."""

    command: cappa.Subcommands[
        _local_commands.Node
        | _local_commands.Check
        | _operator_commands.Apply
        | _operator_commands.Show
        | _operator_commands.Status
        | _operator_commands.Zone
        | _rollout_commands.Rollout
        | _operator_commands.Search
        | _operator_commands.Dump
        | _local_commands.Schema
    ]
