"""Assembles what bounds the time until a revoked key stops working."""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Mapping
import math
import random
import time
from typing import Any

from geraniumstair import accounts
from geraniumstair import mirror
from geraniumstair import observe
from geraniumstair import routing
from geraniumstair.gateway import _authentication
from geraniumstair.gateway import _configuration_reader


def _read_boot_clock_s() -> float:
    # The monotonic clock does not count a suspension of the machine.
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class KeyRevocation:
    """Knows how old this node's configuration may be.

    Args:
        limits: The bound on revocation.
        clock: Returns a time in s; None uses the time since the machine's boot,
            suspensions included.

    Attributes:
        freshness: Up to when this node knows the configuration.
        check: Decides whether this node may judge keys.
        exchange: Freshness in the notices between nodes.
        find_table: Returns the routes in force; None before the first ones.
    """

    def __init__(
        self,
        limits: accounts.RevocationLimits,
        clock: Callable[[], float] | None = None,
    ) -> None:
        self.find_table: Callable[[], routing.RouteTable | None] = lambda: None
        self.freshness = mirror.Freshness(
            clock or _read_boot_clock_s, lambda: self.check.is_strict
        )
        self.check = accounts.KeyCheck(
            limits, self.freshness, self.has_accounts
        )
        self.exchange = mirror.FreshnessExchange(self.freshness)
        self._reader: _configuration_reader.ConfigurationReader | None = None

    def has_accounts(self) -> bool:
        """Returns whether the configuration in force holds accounts."""
        table = self.find_table()
        return table is not None and table.accounts is not None

    def build_reader(
        self,
        source: _configuration_reader.StoreKeyReader,
        key: str,
        local_mirror: mirror.Mirror,
        changes: _configuration_reader.ChangesReader,
    ) -> _configuration_reader.ConfigurationReader:
        """Returns the reader of the configuration; see its arguments."""
        self._reader = _configuration_reader.ConfigurationReader(
            source,
            key,
            local_mirror,
            changes,
            self.freshness,
            self.exchange,
            self.check,
            random.Random(),
        )
        return self._reader

    def build_authenticator(
        self,
        codec: _authentication.KeyCodec,
        registry: observe.MetricsRegistry,
    ) -> _authentication.Authenticator:
        """Returns the authenticator of callers."""
        metrics = accounts.AccountMetrics(registry)
        metrics.register_freshness(
            lambda: self.freshness.age_s if self.check.is_strict else 0.0
        )
        return _authentication.Authenticator(codec, self.check, metrics)

    def set_members(self, members: Collection[str]) -> None:
        """Sets the nodes of the site."""
        if self._reader is not None:
            self._reader.set_members(members)

    def dump(self) -> Mapping[str, Any]:
        """Returns the state, without keys."""
        age_s = self.freshness.age_s
        return {
            "in_force": self.has_accounts(),
            "strict": self.check.is_strict,
            "can_judge_keys": self.check.is_allowed,
            "freshness_age_s": round(age_s, 3)
            if math.isfinite(age_s)
            else None,
            "freshness_source": self.freshness.source.value,
        }
