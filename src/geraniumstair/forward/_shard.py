"""What a search knows of each of its shards."""

import dataclasses
import math

from geraniumstair.forward import _call
from geraniumstair.forward import _replica


class Shard:
    """Calls for one part.

    Attributes:
        service: Service that is asked.
        open: Calls that still run, with their endpoints.
        tried: Endpoints that are not asked again.
        ran: Endpoints that may have run the request.
        runs: Calls that ran, or may have.
        refusals: Calls and tries that certainly did not run.
        retry_s: When it is tried again, on the monotonic clock.
        part: The answer.
        failed: No answer will come.
        failure: Why the last call failed, for the log.
        delegated: Another node asks it.
    """

    __slots__ = (
        "delegated",
        "failed",
        "failure",
        "open",
        "part",
        "ran",
        "refusals",
        "retry_s",
        "runs",
        "service",
        "tried",
    )

    def __init__(self, service: str) -> None:
        self.service = service
        self.open: dict[_call.Call, _replica.Replica] = {}
        self.tried: set[str] = set()
        self.ran: set[str] = set()
        self.runs = 0
        self.refusals = 0
        self.retry_s = math.inf
        self.part: _call.Reply | None = None
        self.failed = False
        self.failure = ""
        self.delegated = False

    @property
    def pending(self) -> bool:
        """True while a part may still come."""
        return self.part is None and not self.failed


@dataclasses.dataclass(frozen=True, slots=True)
class ShardOutcome:
    """What came of one shard.

    Attributes:
        answered: Its part is in.
        tried: Endpoints that may have run the request.
    """

    answered: bool
    tried: frozenset[str]
