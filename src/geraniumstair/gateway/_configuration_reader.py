"""Asks the store for the configuration when this node's freshness grows old.

Watches and notices of peers keep the freshness recent. This reader serves a
node that hears of neither, for example because it is cut off from its peers,
or because no watch is answered while nodes change.
"""

from collections.abc import Collection
import logging
import random
from typing import Protocol

import result
import trio

from geraniumstair import accounts
from geraniumstair import mirror
from geraniumstair import observe
from geraniumstair import store

_LOG = logging.getLogger(__name__)
# How often an idle reader checks whether strict revocation has come into force.
# Two rounds of notices renew the freshness of most nodes within this time.
IDLE_CHECK_INTERVAL_S = 1.0
_MIN_SLEEP_S = 0.02
# After an answer, so that a slow store is not asked all the time.
_MIN_READ_INTERVAL_S = 0.2
# A peer whose notices are older than four of their intervals is out of contact.
CONTACT_TIMEOUT_S = 2.0
# How often a node that waits for its turn checks that it still has contact.
CONTACT_CHECK_INTERVAL_S = 0.5


class StoreKeyReader(Protocol):
    """Reads one key of the store."""

    async def get(
        self, key: str
    ) -> result.Result[store.KeyValue | None, store.StoreFailure]:
        """Reads a key; None if it does not exist."""
        ...


class ChangesReader(Protocol):
    """Applies changes of the store to the mirror."""

    async def read_changes(self) -> bool:
        """Applies the changes that this node lacks; False on a failure."""
        ...


class ConfigurationReader:
    """Reads the configuration's key while the freshness is old.

    Args:
        source: The store.
        key: Key of the configuration.
        local_mirror: This node's mirror.
        changes: Reads changes that the mirror lacks.
        freshness: Freshness of the mirror.
        exchange: Freshness that peers report.
        check: Tells whether the freshness matters, and how old it may be.
        rng: Spreads the calls of the nodes.
    """

    def __init__(
        self,
        source: StoreKeyReader,
        key: str,
        local_mirror: mirror.Mirror,
        changes: ChangesReader,
        freshness: mirror.Freshness,
        exchange: mirror.FreshnessExchange,
        check: accounts.KeyCheck,
        rng: random.Random,
    ) -> None:
        self._source = source
        self._key = key
        self._mirror = local_mirror
        self._changes = changes
        self._freshness = freshness
        self._exchange = exchange
        self._check = check
        self._rng = rng
        self._member_count = 1

    def set_members(self, members: Collection[str]) -> None:
        """Sets the nodes of the site."""
        self._member_count = max(1, len(members))

    async def run(self) -> None:
        """Reads the key whenever the freshness grows old, until cancelled."""
        failures = 0
        due_age_s = self._draw_due_age_s()
        while True:
            # Without any contents, the first read of the store comes first.
            if not self._check.is_strict or not self._mirror.position:
                await trio.sleep(IDLE_CHECK_INTERVAL_S)
                continue
            rest_s = due_age_s - self._freshness.age_s
            if rest_s > 0:
                failures = 0
                await trio.sleep(max(rest_s, _MIN_SLEEP_S))
                continue
            if await self._read_once():
                due_age_s = self._draw_due_age_s()
                await trio.sleep(_MIN_READ_INTERVAL_S)
                continue
            failures += 1
            await self._wait_after_failure(failures)

    def _draw_due_age_s(self) -> float:
        return accounts.compute_read_age_s(
            self._check.limits, self._rng.random()
        )

    async def _wait_after_failure(self, failures: int) -> None:
        in_contact = self._in_contact
        jitter = self._rng.random()
        alone_s = accounts.compute_retry_s(failures, 1, jitter)
        retry_s = alone_s
        if in_contact:
            retry_s = accounts.compute_retry_s(
                failures, self._member_count, jitter
            )
        _LOG.info(
            "gateway: cannot read the configuration to confirm it",
            extra=observe.fields(
                failures=failures,
                retry_s=round(retry_s, 2),
                in_contact=in_contact,
                age_s=round(self._freshness.age_s, 2),
            ),
        )
        failed_s = now_s = trio.current_time()
        # A node that loses its peers does not wait for its turn among them.
        while now_s < failed_s + (retry_s if self._in_contact else alone_s):
            await trio.sleep_until(
                min(failed_s + retry_s, now_s + CONTACT_CHECK_INTERVAL_S)
            )
            now_s = trio.current_time()

    @property
    def _in_contact(self) -> bool:
        return self._exchange.contact_age_s < CONTACT_TIMEOUT_S

    async def _read_once(self) -> bool:
        """Confirms the configuration; False if the store did not answer."""
        sent_s = self._freshness.now_s()
        reply = await self._source.get(self._key)
        if isinstance(reply, result.Err):
            return False
        if self._is_known(reply.ok_value):
            self._freshness.record(mirror.FreshnessSource.CONFIGURATION, sent_s)
            return True
        # The mirror's own way applies a change together with those before it,
        # so that its position stays true for the peers that rely on it.
        return await self._changes.read_changes()

    def _is_known(self, stored: store.KeyValue | None) -> bool:
        known = self._mirror.get(self._key)
        if stored is None or known is None:
            return stored is None and known is None
        return stored.mod_revision <= known.revision
