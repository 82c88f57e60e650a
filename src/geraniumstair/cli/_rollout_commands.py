"""Arguments of the rollout commands."""

import dataclasses
from typing import Annotated
from typing import ClassVar

import cappa

from geraniumstair.cli import _options


@cappa.command(name="start", help="Add a rollout rule.")
@dataclasses.dataclass(kw_only=True)
class RolloutStart(_options.Operator):
    """Add a rollout rule to the document."""

    handler: ClassVar[str] = "_operate.rollout_start"
    name: Annotated[str, cappa.Arg(help="Name of the new rollout.")]
    subsidiary: Annotated[str, cappa.Arg(long="--subsidiary")]
    service: Annotated[str, cappa.Arg(long="--service")]
    old_version: Annotated[str, cappa.Arg(long="--old-version")]
    new_version: Annotated[str, cappa.Arg(long="--new-version")]
    start_utc: Annotated[
        str,
        cappa.Arg(
            long="--start", help="Start time, such as 2030-01-01T10:00:00Z."
        ),
    ]
    done_by_utc: Annotated[str, cappa.Arg(long="--done-by")]
    steps_pct: Annotated[
        str,
        cappa.Arg(
            long="--steps", help="Shares of the new version in per cent."
        ),
    ] = "5,25,50,100"
    base: Annotated[int | None, cappa.Arg(long="--base")] = None


@cappa.command(name="status", help="List the rollouts.")
@dataclasses.dataclass(kw_only=True)
class RolloutStatus(_options.Operator):
    """List the rollouts with their states."""

    handler: ClassVar[str] = "_operate.rollout_status"


@cappa.command(name="take-back", help="Take a rollout back.")
@dataclasses.dataclass(kw_only=True)
class RolloutTakeBack(_options.Operator):
    """Route all requests to the old version again."""

    handler: ClassVar[str] = "_operate.rollout_take_back"
    name: Annotated[str, cappa.Arg(help="Name of the rollout.")]


@cappa.command(name="rollout", help="Start, list or take back rollouts.")
@dataclasses.dataclass(kw_only=True)
class Rollout:
    """Start, list or take back rollouts."""

    command: cappa.Subcommands[RolloutStart | RolloutStatus | RolloutTakeBack]
