"""Applies changes of shard ownership to the dispatcher."""

import logging

import trio

from geraniumstair import configuration
from geraniumstair import dispatch
from geraniumstair import membership
from geraniumstair import peers

_LOG = logging.getLogger(__name__)
STATE_SEND_INTERVAL_S = 1.0
RELEASE_CHECK_INTERVAL_S = 0.1
_SERVING_AUTHORITIES = (membership.Authority.FULL, membership.Authority.LIMITED)


class OwnershipDriver:
    """Notifies the dispatcher of the shards that this node owns.

    A shard that moves to another live node is released first: its running
    requests finish, and the new owner receives the states of its endpoints.
    """

    def __init__(
        self,
        node_id: str,
        members: membership.Membership,
        dispatcher: dispatch.Dispatcher,
        network: peers.PeerNetwork,
    ) -> None:
        self._node_id = node_id
        self._members = members
        self._dispatcher = dispatcher
        self._network = network
        self._serving_shards: frozenset[configuration.ShardKey] = frozenset()
        self._releasing_shards: set[configuration.ShardKey] = set()
        self._all_released = trio.Event()

    async def run(self) -> None:
        """Applies each change of ownership until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_all_endpoint_states)
            change_count = -1
            while True:
                change_count = await self._members.wait_for_change(change_count)
                self._apply_ownership(nursery)

    def _apply_ownership(self, nursery: trio.Nursery) -> None:
        ownership = self._members.ownership()
        self._dispatcher.apply_ownership(ownership)
        serving_shards = frozenset(
            key
            for key, authority in ownership.items()
            if authority in _SERVING_AUTHORITIES
        )
        for key in self._serving_shards - frozenset(ownership):
            if key not in self._releasing_shards:
                self._releasing_shards.add(key)
                nursery.start_soon(self._release_shard, key)
        self._serving_shards = serving_shards

    async def _release_shard(self, key: configuration.ShardKey) -> None:
        # The states are also sent before the release, because the new owner
        # may have to use warm endpoints before the running requests end.
        self._send_endpoint_states(key)
        try:
            state = await self._dispatcher.release(key)
            self._members.hand_over(state)
        finally:
            self._releasing_shards.discard(key)
            if not self._releasing_shards:
                self._all_released.set()
                self._all_released = trio.Event()

    async def wait_released(self) -> None:
        """Waits until every shard that another node can own is released.

        Shards that no other node can own stay with this node.
        """
        while self._releasing_shards or any(
            map(self._has_successor, self._serving_shards)
        ):
            with trio.move_on_after(RELEASE_CHECK_INTERVAL_S):
                await self._all_released.wait()

    def _has_successor(self, key: configuration.ShardKey) -> bool:
        return self._members.owners(key)[:1] not in ([], [self._node_id])

    async def _send_all_endpoint_states(self) -> None:
        """Sends each shard's endpoint states to its next owner at intervals."""
        while True:
            await trio.sleep(STATE_SEND_INTERVAL_S)
            for key in self._serving_shards:
                self._send_endpoint_states(key)

    def _send_endpoint_states(self, key: configuration.ShardKey) -> None:
        for node_id in self._members.owners(key)[:2]:
            if node_id != self._node_id:
                state = self._dispatcher.export_shard_state(key)
                self._network.send(node_id, state)
                return
