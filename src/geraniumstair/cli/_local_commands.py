"""Arguments of the commands that need no running node."""

import dataclasses
from typing import Annotated
from typing import ClassVar
from typing import Literal

import cappa

from geraniumstair.cli import _options


@cappa.command(name="node", help="Run a node.")
@dataclasses.dataclass(kw_only=True)
class Node(_options.Output):
    """Run a node."""

    handler: ClassVar[str] = "_local.run_node"
    settings: Annotated[
        str, cappa.Arg(long="--settings", value_name="FILE", help="Settings.")
    ]


@cappa.command(name="check", help="Check a document without a node.")
@dataclasses.dataclass(kw_only=True)
class Check(_options.Output):
    """Check a document without a node."""

    handler: ClassVar[str] = "_local.check"
    file: Annotated[str, cappa.Arg(help="Document; - reads standard input.")]


@cappa.command(name="schema", help="Print a schema.")
@dataclasses.dataclass(kw_only=True)
class Schema(_options.Output):
    """Print a schema."""

    handler: ClassVar[str] = "_local.schema"
    name: Annotated[
        Literal["document", "settings", "messages", "codes"],
        cappa.Arg(help="Which schema."),
    ] = "document"
