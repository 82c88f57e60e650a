"""Join requests: sending, forwarding and collecting."""

from collections.abc import Sequence

import trio

from geraniumstair._generated import messages
from geraniumstair.membership import _coordinator
from geraniumstair.membership import _heartbeats
from geraniumstair.membership import _state

JOIN_INTERVAL_S = 1.0
_MAX_JOIN_HOPS = 3
_INTRODUCERS_PER_ROUND = 3


class Joining:
    """Sends join requests, and forwards or collects those of other nodes.

    A node sends its request to introducers, which are connected members. The
    introducers forward it to the coordinator, which adds the node to the view.

    Args:
        state: State shared by the parts of membership.
        heartbeats: Fetches views and sends heartbeats to joining nodes.
        lease: The coordinator lease.

    Attributes:
        join_requests: Nodes to add to the view, by node id. Filled while this
            node is the coordinator.
    """

    def __init__(
        self,
        state: _state.MembershipState,
        heartbeats: _heartbeats.Heartbeats,
        lease: _coordinator.CoordinatorLease,
    ) -> None:
        self.join_requests: dict[str, messages.Member] = {}
        self._state = state
        self._heartbeats = heartbeats
        self._lease = lease
        self._rotation_offset = 0

    async def run(self) -> None:
        """Sends join requests while this node is not a member.

        Runs until cancelled.
        """
        state = self._state
        while True:
            if not state.shutting_down and not state.is_member():
                for node_id in self._select_introducers():
                    if state.view.epoch == 0:
                        await self._heartbeats.fetch_view(node_id)
                    join = messages.Join(state.member, 0)
                    state.network.send(node_id, join)
            await trio.sleep(JOIN_INTERVAL_S)

    def _select_introducers(self) -> Sequence[str]:
        """Returns a few connected nodes, in rotation.

        Nodes that are not members are returned only if no member is connected,
        because they cannot forward a join request.
        """
        connected = self._state.network.connected_nodes()
        candidates = sorted(connected & self._state.members.keys())
        candidates = candidates or sorted(connected)
        if not candidates:
            return ()
        self._rotation_offset = (
            self._rotation_offset + _INTRODUCERS_PER_ROUND
        ) % len(candidates)
        rotated = (
            candidates[self._rotation_offset :]
            + candidates[: self._rotation_offset]
        )
        return rotated[:_INTRODUCERS_PER_ROUND]

    async def receive(self, sender: str, join: messages.Join) -> None:
        """Handles a join request that a peer sent or forwarded."""
        self._heartbeats.add_joining_node(sender)
        state = self._state
        if self._lease.holds_lease():
            self.join_requests[join.member.node_id] = join.member
        elif join.hops < _MAX_JOIN_HOPS and state.coordinator_id != sender:
            state.network.send(
                state.coordinator_id,
                messages.Join(join.member, join.hops + 1),
            )

    def discard_joined(self) -> None:
        """Discards the requests of nodes that have become members."""
        for node_id, member in list(self.join_requests.items()):
            recorded = self._state.members.get(node_id)
            if recorded and recorded.incarnation >= member.incarnation:
                del self.join_requests[node_id]
