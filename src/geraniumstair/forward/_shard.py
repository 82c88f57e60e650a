"""State of each shard during a search, and its outcome."""

import dataclasses
import math

from geraniumstair.forward import _call
from geraniumstair.forward import _replica


class Shard:
    """The calls for one shard's part of a search.

    Attributes:
        service: Service that is called.
        open_calls: Calls that have not ended, with their endpoints.
        tried: Endpoints that must not be called again.
        ran_on: Endpoints that may have run the request.
        runs: Number of calls that ran, or may have.
        refusals: Number of calls and attempts that certainly did not run.
        retry_at_s: When the shard is called again, on the monotonic clock.
        part: Reply with the shard's part; None before.
        failed: No part will arrive.
        failure: Why the last call failed, for the log.
        delegated: Another node calls this shard.
        ended: Endpoints that ended while they ran the request, with their
            starts.
        held: An endpoint ended under its call. It is called again when another
            part shows that the request does not end endpoints.
        may_have_run_remotely: The call of another node failed, but its request
            may have reached an endpoint.
    """

    __slots__ = (
        "delegated",
        "ended",
        "failed",
        "failure",
        "held",
        "may_have_run_remotely",
        "open_calls",
        "part",
        "ran_on",
        "refusals",
        "retry_at_s",
        "runs",
        "service",
        "tried",
    )

    def __init__(self, service: str) -> None:
        self.service = service
        self.open_calls: dict[_call.Call, _replica.Replica] = {}
        self.tried: set[str] = set()
        self.ran_on: set[str] = set()
        self.runs = 0
        self.refusals = 0
        self.retry_at_s = math.inf
        self.part: _call.Reply | None = None
        self.failed = False
        self.failure = ""
        self.delegated = False
        self.ended: set[str] = set()
        self.held = False
        self.may_have_run_remotely = False

    @property
    def may_have_run(self) -> bool:
        """True if an endpoint has run the request, or may still run it.

        A call that waits for a connection is dropped when the search ends.
        """
        unsent = sum(not call.sent for call in self.open_calls)
        return (
            self.delegated or self.may_have_run_remotely or self.runs > unsent
        )

    @property
    def pending(self) -> bool:
        """True while a part may still arrive."""
        return self.part is None and not self.failed


@dataclasses.dataclass(frozen=True, slots=True)
class ShardOutcome:
    """Outcome of one shard.

    Attributes:
        answered: The shard's part has arrived.
        tried: Endpoints that may have run the request.
        ended: Endpoints that ended while they ran it, with their starts.
    """

    answered: bool
    tried: frozenset[str]
    ended: frozenset[str] = frozenset()
