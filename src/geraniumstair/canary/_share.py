"""Traffic split between the two versions of a rollout."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class VersionShare:
    """Share of a service's requests that may go to the new version.

    Attributes:
        rollout: Key of the rollout.
        service: Qualified service name.
        old_version: Version that traffic moves away from.
        new_version: Version that traffic moves to.
        share_pct: Maximum share of the new version in per cent; at 0 it
            receives no requests.
        blocked: Versions that receive no requests, because other rollouts of
            the service have not started, were rolled back or are complete.
    """

    rollout: str
    service: str
    old_version: str
    new_version: str
    share_pct: float
    blocked: frozenset[str] = frozenset()
