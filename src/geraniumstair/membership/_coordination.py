"""Loop that acquires the coordinator lease and maintains the view."""

import trio

from geraniumstair._generated import messages
from geraniumstair.membership import _coordinator
from geraniumstair.membership import _joining
from geraniumstair.membership import _state

REMOVE_SILENT_MEMBER_AFTER_MS = 30000.0
_CHECK_INTERVAL_S = 0.1
_LEASE_CANDIDATES = 3


class CoordinatorLoop:
    """Competes for the coordinator lease and writes the view while it holds it.

    Args:
        state: State shared by the parts of membership.
        lease: The coordinator lease.
        joining: Collects the join requests of other nodes.
    """

    def __init__(
        self,
        state: _state.MembershipState,
        lease: _coordinator.CoordinatorLease,
        joining: _joining.Joining,
    ) -> None:
        self._state = state
        self._lease = lease
        self._joining = joining

    async def run(self) -> None:
        """Runs until cancelled."""
        while True:
            if self._state.view.epoch == 0:
                _, view, _ = await self._lease.read_view()
                if view is not None:
                    self._state.install_view(view)
            if self._lease.holds_lease():
                await self._run_as_coordinator()
            elif self._is_candidate() and await self._lease.acquire():
                continue
            await trio.sleep(_joining.JOIN_INTERVAL_S)

    def _is_candidate(self) -> bool:
        state = self._state
        if state.shutting_down:
            return False
        if not state.is_member():
            # If no recorded member is reachable, a node that is not a member
            # has to become coordinator, or the site could never restart.
            return not (state.network.connected_nodes() & state.members.keys())
        return (
            state.node_id
            in state.ranked_members("coordinator")[:_LEASE_CANDIDATES]
        )

    async def _run_as_coordinator(self) -> None:
        state = self._state
        state.coordinator_id = state.node_id
        state.coordinator_revision = self._lease.fencing_condition().expected
        state.request_heartbeat()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._lease.renew_until_lost)
            while self._lease.holds_lease():
                if self._build_next_members(state.view) != state.view.members:
                    view = await self._lease.update_view(
                        self._build_next_members
                    )
                    if view is not None:
                        state.install_view(view)
                        self._joining.discard_joined()
                if state.shutting_down:
                    await self._lease.resign()
                await trio.sleep(_CHECK_INTERVAL_S)
            nursery.cancel_scope.cancel()

    def _build_next_members(self, view: messages.View) -> list[messages.Member]:
        join_requests = self._joining.join_requests
        join_requests[self._state.node_id] = self._state.member
        members = {m.node_id: m for m in view.members}
        for node_id, member in join_requests.items():
            recorded = members.get(node_id)
            if recorded is None or recorded.incarnation <= member.incarnation:
                members[node_id] = member
        return [
            m for m in members.values() if not self._should_remove(m.node_id)
        ]

    def _should_remove(self, node_id: str) -> bool:
        state = self._state
        if node_id not in state.members:
            return False
        if node_id in state.leaving_ids:
            return state.is_silent(node_id)
        # Without a majority, it is this node that is partitioned from the
        # others, so their silence does not show that they are dead.
        if not state.has_majority():
            return False
        age_ms = state.table.age_ms(node_id, _state.now_ms())
        return age_ms > REMOVE_SILENT_MEMBER_AFTER_MS
