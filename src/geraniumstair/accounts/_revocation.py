"""Decides whether this node knows the configuration well enough to judge keys.

An operator who revokes a key expects that it stops working within a bound, also
at nodes that are cut off from the store and from all other nodes. A node knows
that no later configuration exists only up to some time in the past, its
freshness. It serves requests with keys while that time is recent enough.
"""

from collections.abc import Callable
import dataclasses
import enum
from typing import Protocol

# Reserved of the bound for processing, and for clocks of different rates. A
# clock that is wrong by 1% is wrong by 50 ms in the default bound.
MARGIN_S = 0.3
# A small bound leaves half of itself.
_MAX_MARGIN_SHARE = 0.5
# Share of the usable age at which a node asks the store itself. Below it, the
# freshness still comes from watches and peers.
_READ_SHARE = 0.5
# Nodes of one site ask at different ages within this share. The first answer
# reaches the others by notices, so that few of them ask.
_READ_JITTER_SHARE = 0.3
_MIN_RETRY_S = 0.25
_MAX_RETRY_S = 4.0
# Nodes in contact with each other share the calls to a store that has failed:
# each waits for its turn, because the answer to any of them reaches all.
_SITE_READ_INTERVAL_S = 0.25
_MAX_SITE_RETRY_S = 20.0


@dataclasses.dataclass(frozen=True, slots=True)
class RevocationLimits:
    """How soon a revoked key stops working.

    Attributes:
        strict: The bound holds for nodes without any contact, too.
        revoke_s: Greatest time between the store's confirmation of a
            configuration without a key and the sending of a request that still
            runs with it.
    """

    strict: bool = False
    revoke_s: float = 5.0

    @property
    def usable_age_s(self) -> float:
        """Freshness of at least this age does not suffice to judge keys."""
        margin_s = min(MARGIN_S, _MAX_MARGIN_SHARE * self.revoke_s)
        return self.revoke_s - margin_s


class Freshness(Protocol):
    """Tells up to when this node knows the configuration."""

    @property
    def age_s(self) -> float:
        """Time since then; infinite if there is none."""
        ...

    @property
    def source(self) -> enum.Enum:
        """How this node learned it."""
        ...


class KeyCheck:
    """Decides whether this node may accept or reject keys.

    Args:
        limits: The bound on revocation.
        freshness: Up to when this node knows the configuration.
        has_accounts: Returns whether the configuration in force has accounts.

    Attributes:
        limits: The bound on revocation.
        freshness: Up to when this node knows the configuration.
    """

    def __init__(
        self,
        limits: RevocationLimits,
        freshness: Freshness,
        has_accounts: Callable[[], bool],
    ) -> None:
        self.limits = limits
        self.freshness = freshness
        self._has_accounts = has_accounts

    @property
    def is_strict(self) -> bool:
        """True if keys may be judged only while the freshness is recent."""
        return self.limits.strict and self._has_accounts()

    @property
    def is_allowed(self) -> bool:
        """True if this node may judge keys now."""
        return (
            not self.is_strict
            or self.freshness.age_s < self.limits.usable_age_s
        )


def compute_read_age_s(limits: RevocationLimits, jitter: float) -> float:
    """Returns the age of the freshness at which a node asks the store.

    Args:
        limits: The bound on revocation.
        jitter: Random number from 0 to 1, drawn anew for each call.
    """
    share = _READ_SHARE + _READ_JITTER_SHARE * jitter
    return limits.usable_age_s * share


def compute_retry_s(failures: int, sharing_nodes: int, jitter: float) -> float:
    """Returns how long a node waits after the store gave no valid answer.

    Args:
        failures: Calls in a row that got no valid answer, 1 or more.
        sharing_nodes: Nodes in contact with each other; 1 for a node that is
            cut off from its peers.
        jitter: Random number from 0 to 1, drawn anew for each call.
    """
    own_s = min(_MAX_RETRY_S, _MIN_RETRY_S * 2 ** min(failures, 10))
    site_s = min(_MAX_SITE_RETRY_S, sharing_nodes * _SITE_READ_INTERVAL_S)
    return max(own_s, site_s) * (0.5 + jitter)
