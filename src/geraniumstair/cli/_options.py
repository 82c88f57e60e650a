"""Options that several commands share."""

import dataclasses
from typing import Annotated

import cappa


@dataclasses.dataclass(kw_only=True)
class Output:
    """Options that select the output format."""

    json: Annotated[
        bool, cappa.Arg(long="--json", help="Print JSON for scripts.")
    ] = False


@dataclasses.dataclass(kw_only=True)
class Operator(Output):
    """Options for calls to the operators' listener of a node."""

    operator: Annotated[
        str | None,
        cappa.Arg(
            long="--operator",
            value_name="URL",
            default=cappa.Env("GERANIUMSTAIR_OPERATOR"),
            help="Operators' listener of a node, such as "
            "http://10.0.0.5:7003 (environment: GERANIUMSTAIR_OPERATOR).",
        ),
    ] = None
    token_file: Annotated[
        str | None,
        cappa.Arg(
            long="--token-file",
            value_name="FILE",
            help="File with the operator token (environment: "
            "GERANIUMSTAIR_TOKEN holds the token itself).",
        ),
    ] = None
