"""Arguments of the commands that call a node's listeners."""

import dataclasses
from typing import Annotated
from typing import ClassVar
from typing import Literal

import cappa

from geraniumstair.cli import _options


@cappa.command(name="apply", help="Submit a document for acceptance.")
@dataclasses.dataclass(kw_only=True)
class Apply(_options.Operator):
    """Submit a document for acceptance."""

    handler: ClassVar[str] = "_operate.apply"
    file: Annotated[str, cappa.Arg(help="Document; - reads standard input.")]
    base: Annotated[
        int,
        cappa.Arg(
            long="--base",
            value_name="REVISION",
            help="Revision that the document is based on; 0 for the first "
            "document.",
        ),
    ]


@cappa.command(name="show", help="Print the newest document.")
@dataclasses.dataclass(kw_only=True)
class Show(_options.Operator):
    """Print the newest document; its revision goes to standard error."""

    handler: ClassVar[str] = "_operate.show"


@cappa.command(name="status", help="Print the status of the site.")
@dataclasses.dataclass(kw_only=True)
class Status(_options.Operator):
    """Print the status of the site."""

    handler: ClassVar[str] = "_operate.status"
    watch: Annotated[
        bool, cappa.Arg(long="--watch", help="Repeat until interrupted.")
    ] = False


@cappa.command(name="dump", help="Print the state dump of the node.")
@dataclasses.dataclass(kw_only=True)
class Dump(_options.Operator):
    """Print the state dump of the node."""

    handler: ClassVar[str] = "_operate.dump"


@cappa.command(
    name="zone", help="Take an availability zone out of service or back in."
)
@dataclasses.dataclass(kw_only=True)
class Zone(_options.Operator):
    """Take an availability zone out of service or back in."""

    handler: ClassVar[str] = "_operate.zone"
    state: Annotated[Literal["out", "in"], cappa.Arg(help="New state.")]
    name: Annotated[str, cappa.Arg(help="Availability zone.")]
    base: Annotated[
        int | None,
        cappa.Arg(
            long="--base", help="Refuse if another revision is in force."
        ),
    ] = None


@cappa.command(name="search", help="Run one search.")
@dataclasses.dataclass(kw_only=True)
class Search(_options.Output):
    """Run one search at a node's callers' listener."""

    handler: ClassVar[str] = "_operate.search"
    subsidiary: Annotated[str, cappa.Arg(help="Subsidiary.")]
    target: Annotated[str, cappa.Arg(help="Service or service set.")]
    query: Annotated[str, cappa.Arg(help="Query as JSON or plain text.")]
    service_set: Annotated[
        bool,
        cappa.Arg(long="--service-set", help="The target is a service set."),
    ] = False
    deadline_ms: Annotated[float | None, cappa.Arg(long="--deadline-ms")] = None
    caller: Annotated[
        str | None,
        cappa.Arg(
            long="--caller",
            value_name="URL",
            default=cappa.Env("GERANIUMSTAIR_CALLER"),
            help="Callers' listener (environment: GERANIUMSTAIR_CALLER).",
        ),
    ] = None
