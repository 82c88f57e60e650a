"""Acquires, renews and gives up the duty to send reports in the store."""

from collections.abc import Callable
from collections.abc import Mapping
import logging
import secrets
from typing import Any
from typing import Protocol

import msgspec
import result
import trio

from geraniumstair import observe
from geraniumstair import store
from geraniumstair.usage import _election

_LOG = logging.getLogger(__name__)
HOLDER_KEY = "geraniumstair/usage/holder"
# Share of the lease after which a renewal without an answer is given up. If an
# answer is lost, the store's timeout, half of the lease, leaves time for one
# renewal only.
RENEWAL_TIMEOUT_SHARE = 0.3
# Interval of the decisions, which cost nothing while nothing is due.
CHECK_INTERVAL_S = 0.25


class DutyStore(Protocol):
    """The operations of the store that the duty needs."""

    async def get(
        self, key: str
    ) -> result.Result[store.KeyValue | None, store.StoreFailure]:
        """Reads a key; None if it does not exist."""
        ...

    async def commit(
        self, transaction: store.Transaction
    ) -> result.Result[store.CommitOutcome, store.StoreFailure]:
        """Makes changes if all compares hold."""
        ...

    async def grant_lease(
        self, ttl_s: int
    ) -> result.Result[int, store.StoreFailure]:
        """Creates a lease."""
        ...

    async def keep_alive(
        self, lease_id: int
    ) -> result.Result[bool, store.StoreFailure]:
        """Renews a lease; False if it has expired."""
        ...

    async def revoke_lease(
        self, lease_id: int
    ) -> result.Result[None, store.StoreFailure]:
        """Ends a lease."""
        ...


class _HolderValue(msgspec.Struct):
    """Value of the holder's key."""

    node: str
    attempt: str


def decode_holder(value: bytes, revision: int) -> _election.HolderKey:
    """Decodes the holder's key; the holder is unnamed if it is not valid."""
    try:
        decoded = msgspec.json.decode(value, type=_HolderValue)
    except msgspec.MsgspecError:
        return _election.HolderKey("", "", revision)
    return _election.HolderKey(decoded.node, decoded.attempt, revision)


class DutyHolder:
    """Carries out what the election decides.

    Args:
        node_id: This node.
        election: The decisions.
        duty_store: The store.
        ttl_s: Time to live of the lease.
        clock: Returns a time in s that counts suspensions.
        is_active: Returns whether this node may hold the duty.
    """

    def __init__(
        self,
        node_id: str,
        election: _election.Election,
        duty_store: DutyStore,
        ttl_s: int,
        clock: Callable[[], float],
        is_active: Callable[[], bool],
    ) -> None:
        self._node_id = node_id
        self._election = election
        self._store = duty_store
        self._ttl_s = ttl_s
        self._clock = clock
        self._is_active = is_active

    async def run(self) -> None:
        """Acquires and renews the duty until cancelled."""
        while True:
            await self.step()
            await trio.sleep(CHECK_INTERVAL_S)

    async def step(self) -> None:
        """Does what is due now."""
        election = self._election
        if not self._is_active():
            if election.token:
                await self.resign("reports are off, or the node stops")
        elif election.should_resign():
            await self.resign("this node is no candidate, or is cut off")
        elif election.should_renew():
            await self._renew()
        elif election.should_acquire():
            await self._acquire()
        elif election.should_remove_key():
            await self._remove_stale_key()

    async def resign(self, reason: str) -> None:
        """Gives the duty up, so that another node takes it over at once."""
        lease_id = self._election.lease_id
        self.lose(reason)
        outcome = await self._store.revoke_lease(lease_id)
        if isinstance(outcome, result.Err):
            _LOG.info(
                "usage: cannot end the lease of the duty; it will expire: %s",
                outcome.err_value.detail,
            )

    def lose(self, reason: str) -> None:
        """Ends this node's term."""
        self.log_loss(self._election.token, reason)
        self._election.end_term()

    def log_loss(self, token: int, reason: str) -> None:
        """Logs that this node does not hold the duty any more."""
        _LOG.info(
            "usage: this node does not hold the duty any more",
            extra=observe.fields(token=token, reason=reason),
        )

    async def _renew(self) -> None:
        sent_s = self._clock()
        lease_id = self._election.lease_id
        self._election.note_renewal()
        outcome: result.Result[bool, store.StoreFailure] = result.Err(
            store.StoreFailure(store.Effect.UNKNOWN, "no answer in time")
        )
        with trio.move_on_after(RENEWAL_TIMEOUT_SHARE * self._ttl_s):
            outcome = await self._store.keep_alive(lease_id)
        if self._election.lease_id != lease_id:
            return
        if isinstance(outcome, result.Err):
            # The lease may still exist; the next renewal shows it.
            _LOG.info(
                "usage: cannot renew the lease of the duty: %s",
                outcome.err_value.detail,
            )
        elif outcome.ok_value:
            self._election.confirm_renewal(lease_id, sent_s)
        else:
            self.lose("the lease has expired")

    async def _acquire(self) -> None:
        granted_s = self._clock()
        lease = await self._store.grant_lease(self._ttl_s)
        if isinstance(lease, result.Err):
            self._election.note_attempt()
            return
        lease_id = lease.ok_value
        token = await self._create_key(lease_id)
        if token and self._clock() < granted_s + self._ttl_s:
            self._election.begin_term(token, lease_id, granted_s)
            _LOG.info(
                "usage: this node holds the duty",
                extra=observe.fields(token=token),
            )
            return
        self._election.note_attempt()
        # Otherwise a creation that the store makes later would last.
        await self._store.revoke_lease(lease_id)

    async def _create_key(self, lease_id: int) -> int:
        """Creates the key; returns the fencing token, 0 without success."""
        attempt = secrets.token_hex(8)
        value = msgspec.json.encode(_HolderValue(self._node_id, attempt))
        absent = store.Compare(
            HOLDER_KEY, store.CompareTarget.CREATE_REVISION, 0
        )
        outcome = await self._store.commit(
            store.Transaction(
                compares=[absent],
                puts=[store.Put(HOLDER_KEY, value, lease_id)],
            )
        )
        if isinstance(outcome, result.Ok):
            committed = outcome.ok_value.committed
            return outcome.ok_value.revision if committed else 0
        if outcome.err_value.effect is store.Effect.NONE:
            return 0
        found = await self._store.get(HOLDER_KEY)
        if isinstance(found, result.Err) or found.ok_value is None:
            return 0
        item = found.ok_value
        key = decode_holder(item.value, item.create_revision)
        return key.revision if key.attempt == attempt else 0

    async def _remove_stale_key(self) -> None:
        key = self._election.key
        assert key is not None
        self._election.note_attempt()
        _LOG.warning(
            "usage: the holder's key names this node, which does not hold the "
            "duty; it is removed",
            extra=observe.fields(revision=key.revision),
        )
        unchanged = store.Compare(
            HOLDER_KEY, store.CompareTarget.MOD_REVISION, key.revision
        )
        await self._store.commit(
            store.Transaction(
                compares=[unchanged], deletes=[store.Delete(HOLDER_KEY)]
            )
        )

    def dump(self) -> Mapping[str, Any]:
        """Returns the state for the state dump."""
        key = self._election.key
        return {
            "holder": key.node_id if key is not None else None,
            "token": key.revision if key is not None else None,
            "since_s": round(self._election.key_age_s, 1),
            "receivers": self._election.list_receivers(),
            "own_token": self._election.token or None,
        }
