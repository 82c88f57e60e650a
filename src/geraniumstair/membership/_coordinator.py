"""The coordinator lease, and the view record that its holder writes."""

from collections.abc import Callable
import logging

import msgspec
import result
import trio

from geraniumstair import errors
from geraniumstair import store as store_package
from geraniumstair import wire
from geraniumstair._generated import messages

_logger = logging.getLogger(__name__)

COORDINATOR_KEY = "coordinator"
VIEW_KEY = "view"
LEASE_TTL_S = 5
LEASE_RENEWAL_INTERVAL_S = 1.5


class CoordinatorLease:
    """The coordinator lease in the store, and fenced writes of the view.

    Args:
        node_id: This node's id.
        store: The key-value service.
    """

    def __init__(
        self, node_id: str, store: store_package.KeyValueStore
    ) -> None:
        self._node_id = node_id
        self._store = store
        self._lease_id = 0
        self._valid_until_s = float("-inf")
        self._create_revision = 0

    def holds_lease(self) -> bool:
        """Returns whether this node holds the lease, by its own clock.

        The validity is counted from the start of each request to the store,
        so the lease does not expire in the store before it does here.
        """
        return trio.current_time() < self._valid_until_s

    def fencing_condition(self) -> store_package.Compare:
        """Returns a write condition, true only during this node's lease."""
        # No key has revision -1, so a node that never held the lease cannot
        # write.
        expected = self._create_revision or -1
        return store_package.Compare(
            COORDINATOR_KEY,
            store_package.CompareTarget.CREATE_REVISION,
            expected,
        )

    async def acquire(self) -> bool:
        """Tries to acquire the lease; returns whether it succeeded."""
        existing = await self._store.get(COORDINATOR_KEY)
        if existing.is_err() or existing.unwrap() is not None:
            return False
        started_s = trio.current_time()
        lease = await self._store.grant_lease(LEASE_TTL_S)
        if isinstance(lease, result.Err):
            return False
        absent = store_package.Compare(
            COORDINATOR_KEY, store_package.CompareTarget.CREATE_REVISION, 0
        )
        put = store_package.Put(
            COORDINATOR_KEY, self._node_id.encode(), lease.ok_value
        )
        await self._store.commit(store_package.Transaction([absent], [put]))
        # The read also shows whether the commit took effect if its reply was
        # lost.
        current = (await self._store.get(COORDINATOR_KEY)).unwrap_or(None)
        if current is None or current.lease_id != lease.ok_value:
            await self._store.revoke_lease(lease.ok_value)
            return False
        self._lease_id = lease.ok_value
        self._create_revision = current.create_revision
        self._valid_until_s = started_s + LEASE_TTL_S
        _logger.info(
            "membership: node %s became the coordinator", self._node_id
        )
        return True

    async def renew_until_lost(self) -> None:
        """Renews the lease until it is lost."""
        while self.holds_lease():
            await trio.sleep(LEASE_RENEWAL_INTERVAL_S)
            started_s = trio.current_time()
            with trio.move_on_after(LEASE_TTL_S):
                renewed = await self._store.keep_alive(self._lease_id)
                if isinstance(renewed, result.Ok):
                    if not renewed.ok_value:
                        self._valid_until_s = float("-inf")
                    elif started_s < self._valid_until_s:
                        self._valid_until_s = started_s + LEASE_TTL_S
        _logger.info(
            "membership: node %s is no longer the coordinator", self._node_id
        )

    async def resign(self) -> None:
        """Revokes the lease, so that another node can acquire it."""
        if self.holds_lease():
            self._valid_until_s = float("-inf")
            await self._store.revoke_lease(self._lease_id)

    async def read_view(self) -> tuple[bool, messages.View | None, int]:
        """Reads the view record.

        Returns:
            Whether the read succeeded, the view or None if there is no valid
            record, and the revision of the record or 0.
        """
        read = await self._store.get(VIEW_KEY)
        if isinstance(read, result.Err):
            return False, None, 0
        if read.ok_value is None:
            return True, None, 0
        try:
            view = wire.decode(read.ok_value.value)
        except errors.WireError:
            view = None
        if not isinstance(view, messages.View):
            _logger.error(
                "membership: the view record in the store is not valid"
            )
            return False, None, 0
        return True, view, read.ok_value.mod_revision

    async def update_view(
        self, build_members: Callable[[messages.View], list[messages.Member]]
    ) -> messages.View | None:
        """Writes the next epoch of the view if this node holds the lease.

        Args:
            build_members: Returns the members of the next epoch for a given
                view.

        Returns:
            The view in the store, or None if the store did not reply.
        """
        read_ok, view, revision = await self.read_view()
        if not read_ok:
            return None
        base = view or messages.View(0, [], [])
        members = build_members(base)
        if members == base.members:
            return base
        next_view = messages.View(
            epoch=base.epoch + 1,
            members=members,
            previous_members=[m.node_id for m in base.members],
        )
        unchanged = store_package.Compare(
            VIEW_KEY, store_package.CompareTarget.MOD_REVISION, revision
        )
        put = store_package.Put(VIEW_KEY, wire.encode(next_view))
        transaction = store_package.Transaction(
            [self.fencing_condition(), unchanged], [put]
        )
        committed = await self._store.commit(transaction)
        if isinstance(committed, result.Ok) and committed.ok_value.committed:
            return msgspec.structs.replace(next_view)
        # The reply was lost, or another node wrote the view. Only the record
        # shows which view is in the store.
        _, current, _ = await self.read_view()
        return current
