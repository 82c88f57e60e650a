"""Checks the requests that an endpoint gets while it states a limit."""

from collections.abc import Callable
from collections.abc import Mapping
import dataclasses

# An endpoint that states a limit for this time gets one and a half times what
# it allows in any window of the same length, and a few requests, at most.
CONTACT_S = 4.0
ALLOWED_FACTOR = 1.5
ALLOWED_EXTRA = 5
# A node counts from this time after its first answer with the limit.
TOLD_AFTER_S = 0.5


@dataclasses.dataclass(slots=True)
class LimitRecord:
    """Requests at an endpoint while it states a limit.

    Attributes:
        endpoint_id: The endpoint.
        limit_per_s: The limit, in requests a second of all nodes together.
        arrivals: Time in s and request id of each request.
        stated: Time in s and request id of each answer that states the limit.
    """

    endpoint_id: str
    limit_per_s: float
    arrivals: list[tuple[float, str]] = dataclasses.field(default_factory=list)
    stated: list[tuple[float, str]] = dataclasses.field(default_factory=list)

    def find_violation(
        self,
        node_names: Mapping[str, str],
        was_disturbed: Callable[[str, float, float], bool],
    ) -> str:
        """Returns a description of the first excess; empty without one.

        Args:
            node_names: The node that got each request, by request id.
            was_disturbed: Returns whether a node was killed or paused, or has
                restarted, in a period in s.
        """
        told_s: dict[str, float] = {}
        for at_s, request_id in self.stated:
            told_s.setdefault(node_names[request_id], at_s)
        counted = []
        for at_s, request_id in self.arrivals:
            node = node_names[request_id]
            if (
                node in told_s
                and at_s >= told_s[node] + TOLD_AFTER_S
                and at_s >= self.stated[0][0] + CONTACT_S
                and not was_disturbed(node, at_s - CONTACT_S, at_s)
            ):
                counted.append(at_s)
        allowed = ALLOWED_FACTOR * self.limit_per_s * CONTACT_S + ALLOWED_EXTRA
        for first_s in counted:
            count = sum(first_s <= t < first_s + CONTACT_S for t in counted)
            if count > allowed:
                return (
                    f"endpoint {self.endpoint_id} got {count} requests in "
                    f"{CONTACT_S:.0f} s from {first_s:.2f} s, "
                    f"{allowed:.0f} are allowed"
                )
        return ""
