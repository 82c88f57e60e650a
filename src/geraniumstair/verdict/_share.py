"""Shares of traffic during a rollout."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class VersionShare:
    """Share of a service's requests that may go to the new version.

    Attributes:
        rollout: Name of the rollout.
        service: Qualified service name.
        old_version: Version that traffic moves away from.
        new_version: Version that traffic moves to.
        share_pct: Greatest share of the new version; 0 stops it.
        blocked: Versions that get nothing, because other rollouts of the
            service have not started, were taken back or are done.
    """

    rollout: str
    service: str
    old_version: str
    new_version: str
    share_pct: float
    blocked: frozenset[str] = frozenset()
