"""Sending and receiving of heartbeats between members."""

from collections.abc import Sequence

import trio

from geraniumstair._generated import messages
from geraniumstair.membership import _state
from geraniumstair.membership import _table

# With 790 members and one neighbour per interval, ages reach 15 s and exceed
# the silence limit of 12 s; with two neighbours they stay below 8 s.
_NEIGHBOURS_PER_INTERVAL = 2
# Batches changes that arrive within this time into one heartbeat.
_BATCHING_DELAY_S = 0.02
_CALL_TIMEOUT_MS = 500.0
# A joining node sends join requests each second, but to introducers in
# rotation, so a single introducer may receive them less often.
_JOINING_NODE_TTL_MS = 3000.0
_MAX_JOINING_NODES = 64


class Heartbeats:
    """Sends and receives heartbeats, and fetches newer views.

    Args:
        state: State shared by the parts of membership.
    """

    def __init__(self, state: _state.MembershipState) -> None:
        self._state = state
        self._delay_estimators: dict[
            tuple[str, int], _table.TransitDelayEstimator
        ] = {}
        self._joining_until_ms: dict[str, float] = {}
        self._rotation_offset = 0
        state.on_view_installed.append(self._evict_delay_estimators)

    def _evict_delay_estimators(self) -> None:
        members = self._state.members
        for source in [
            s for s in self._delay_estimators if s[0] not in members
        ]:
            del self._delay_estimators[source]

    # ---- sending ----

    async def run(self) -> None:
        """Sends heartbeats until cancelled."""
        state = self._state
        while True:
            urgent = state.consume_heartbeat_request()
            state.detect_majority_loss()
            self._send(urgent)
            interval_s = _table.heartbeat_interval_ms(len(state.members)) / 1000
            with trio.move_on_after(interval_s):
                await state.wait_heartbeat_request()
            await trio.sleep(_BATCHING_DELAY_S)

    def neighbours(self, urgent: bool) -> Sequence[str]:
        """Returns the members that the next heartbeat is sent to.

        Members form a ring in view order, and a member's neighbours are at
        distances that are powers of two. In a large view, the heartbeats of
        one interval go to a few neighbours in rotation.

        Args:
            urgent: True to return all neighbours, so that a change spreads
                fast.
        """
        ids = self._state.table.ids
        own_id = self._state.node_id
        own_index = self._state.table.index.get(own_id)
        if own_index is None:
            return ()
        if len(ids) <= _table.FULL_MESH_MAX_MEMBERS:
            return [n for n in ids if n != own_id]
        distances = [1 << i for i in range(10) if 1 << i < len(ids)]
        neighbours = [ids[(own_index + d) % len(ids)] for d in distances]
        if urgent or len(ids) <= _table.SMALL_VIEW_MAX_MEMBERS:
            return neighbours
        self._rotation_offset = (
            self._rotation_offset + _NEIGHBOURS_PER_INTERVAL
        ) % len(neighbours)
        rotated = (
            neighbours[self._rotation_offset :]
            + neighbours[: self._rotation_offset]
        )
        return rotated[:_NEIGHBOURS_PER_INTERVAL]

    def _send(self, urgent: bool) -> None:
        # A change reaches all members in a few hops only if each node forwards
        # it to all its neighbours at once.
        receivers = [*self.neighbours(urgent), *self._list_joining_nodes()]
        if not receivers:
            return
        heartbeat = self._build_heartbeat()
        for node_id in receivers:
            self._state.network.send(node_id, heartbeat)

    def _build_heartbeat(self) -> messages.Heartbeat:
        state = self._state
        sent_ms = _state.now_ms()
        topology = state.holder.current
        revision = topology.revision if topology else 0
        state.in_force.record(state.node_id, revision)
        is_newest = revision == state.in_force.revision
        return messages.Heartbeat(
            node_id=state.node_id,
            incarnation=state.member.incarnation,
            sent_ms=int(sent_ms),
            view_epoch=state.view.epoch,
            ages=state.table.ages(sent_ms),
            leaving=sorted(state.leaving_entries),
            config_revision=revision,
            in_force=(
                state.in_force.bitmap(state.table.index) if is_newest else b""
            ),
            stopped=list(state.stopped.all()),
            coordinator=state.coordinator_id,
            coordinator_revision=state.coordinator_revision,
        )

    # ---- joining nodes ----

    def add_joining_node(self, node_id: str) -> None:
        """Sends heartbeats to a joining node for `_JOINING_NODE_TTL_MS`.

        While the store is down, the node cannot become a member but serves
        as an entry node, which accepts searches. Without heartbeats, all
        members would look silent to it.
        """
        known = node_id in self._joining_until_ms
        if known or len(self._joining_until_ms) < _MAX_JOINING_NODES:
            self._joining_until_ms[node_id] = (
                _state.now_ms() + _JOINING_NODE_TTL_MS
            )

    def _list_joining_nodes(self) -> Sequence[str]:
        current_ms = _state.now_ms()
        self._joining_until_ms = {
            node_id: until_ms
            for node_id, until_ms in self._joining_until_ms.items()
            if until_ms > current_ms and node_id not in self._state.members
        }
        return list(self._joining_until_ms)

    # ---- receiving ----

    async def receive(self, sender: str, heartbeat: messages.Heartbeat) -> None:
        """Handles a heartbeat from a peer."""
        state = self._state
        state.detect_majority_loss()
        member = state.members.get(sender)
        if member and heartbeat.incarnation < member.incarnation:
            return
        received_ms = _state.now_ms()
        estimator = self._get_delay_estimator(sender, heartbeat.incarnation)
        delay_ms = estimator.estimate(heartbeat.sent_ms, received_ms)
        same_view = heartbeat.view_epoch == state.view.epoch
        state.table.merge_heartbeat(
            sender,
            heartbeat.ages if same_view else None,
            received_ms - delay_ms,
        )
        self._merge_gossip(sender, heartbeat, same_view)
        state.detect_majority_loss()
        state.update_alive()
        if heartbeat.view_epoch > state.view.epoch:
            await self.fetch_view(sender)

    def _get_delay_estimator(
        self, sender: str, incarnation: int
    ) -> _table.TransitDelayEstimator:
        source = (sender, incarnation)
        estimator = self._delay_estimators.get(source)
        if estimator is None:
            for old in [s for s in self._delay_estimators if s[0] == sender]:
                del self._delay_estimators[old]
            estimator = self._delay_estimators.setdefault(
                source, _table.TransitDelayEstimator()
            )
        return estimator

    def _merge_gossip(
        self, sender: str, heartbeat: messages.Heartbeat, same_view: bool
    ) -> None:
        state = self._state
        previous_revision = state.in_force.revision
        state.in_force.record(sender, heartbeat.config_revision)
        if same_view:
            state.in_force.merge_bitmap(
                heartbeat.config_revision, heartbeat.in_force, state.table.ids
            )
        leaving = {e for e in heartbeat.leaving if state.is_leaving_entry(e)}
        newly_stopped = [s for s in heartbeat.stopped if state.stopped.add(s)]
        if heartbeat.coordinator_revision > state.coordinator_revision:
            state.coordinator_id = heartbeat.coordinator
            state.coordinator_revision = heartbeat.coordinator_revision
        if newly_stopped or state.in_force.revision > previous_revision:
            state.request_heartbeat()
            state.notify()
        if not leaving <= state.leaving_entries:
            state.add_leaving_entries(leaving)
            state.request_heartbeat()
            state.notify()

    async def fetch_view(self, node_id: str) -> None:
        """Requests a node's view and installs it if it is newer."""
        request = messages.ViewRequest(self._state.view.epoch)
        reply = await self._state.network.call(
            node_id, request, _CALL_TIMEOUT_MS
        )
        view_reply = reply.unwrap_or(None)
        if isinstance(view_reply, messages.ViewReply):
            self._state.install_view(view_reply.view)

    async def answer_view_request(
        self, sender: str, request: messages.ViewRequest
    ) -> messages.ViewReply:
        """Handles a peer's request for the view."""
        del sender, request
        return messages.ViewReply(self._state.view)
