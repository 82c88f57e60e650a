"""Membership of one node in a site: the public interface of the package."""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any

import trio

from geraniumstair import configuration
from geraniumstair import peers
from geraniumstair import store as store_package
from geraniumstair._generated import messages
from geraniumstair.membership import _authority
from geraniumstair.membership import _coordination
from geraniumstair.membership import _coordinator
from geraniumstair.membership import _heartbeats
from geraniumstair.membership import _interfaces
from geraniumstair.membership import _joining
from geraniumstair.membership import _state
from geraniumstair.membership import _takeover


class Membership:
    """Heartbeats, view, coordinator lease and shard ownership of one node.

    Args:
        member: This node's record for the view.
        network: Streams to the other nodes.
        store: The key-value service.
        holder: Holds the configuration in force.
    """

    def __init__(
        self,
        member: messages.Member,
        network: _interfaces.Network,
        store: store_package.KeyValueStore,
        holder: _interfaces.ConfigurationHolder,
    ) -> None:
        self._state = _state.MembershipState(member, network, holder)
        self._lease = _coordinator.CoordinatorLease(member.node_id, store)
        self._heartbeats = _heartbeats.Heartbeats(self._state)
        self._joining = _joining.Joining(
            self._state, self._heartbeats, self._lease
        )
        self._coordinator_loop = _coordination.CoordinatorLoop(
            self._state, self._lease, self._joining
        )
        self._takeover = _takeover.Takeover(self._state)

    # ---- public reads ----

    def ranked_members(self, name: str) -> Sequence[str]:
        """Returns up to 5 alive members by rendezvous hash, best first.

        Leaving members are returned only if no other member is alive.
        """
        return self._state.ranked_members(name)

    def owners(self, key: configuration.ShardKey) -> Sequence[str]:
        """Returns up to 5 members that may own the shard, best first.

        Leaving members are returned only if no other member may own it.
        """
        return self._state.owners(key)

    def ownership(
        self,
    ) -> Mapping[configuration.ShardKey, _authority.Authority]:
        """Returns the shards for which this node has any authority.

        Reads the clock first, so that a node that was paused detects the loss
        of its majority before it acts on the result.
        """
        return self._takeover.ownership()

    def authority(self, key: configuration.ShardKey) -> _authority.Authority:
        """Returns this node's authority for one shard at the current time."""
        return self._takeover.authority(key)

    def provisional_authority(
        self, key: configuration.ShardKey
    ) -> _authority.Authority:
        """Returns this node's authority to replace an unresponsive owner.

        Returns:
            LIMITED if this node ranks second for the shard and the first node
            does not respond, otherwise NONE.
        """
        owners = list(self.owners(key)[:2])
        if len(owners) < 2 or owners[1] != self._state.node_id:
            return _authority.Authority.NONE
        if self._state.network.is_responsive(owners[0]):
            return _authority.Authority.NONE
        return _authority.Authority.LIMITED

    def has_majority(self) -> bool:
        """Returns whether this node exchanges heartbeats with a majority.

        The majority is counted among the members of this node's region.
        """
        return self._state.has_majority()

    def alive_members(self) -> frozenset[str]:
        """Returns the members whose last heartbeat is recent."""
        return self._state.alive

    def neighbours(self) -> Sequence[str]:
        """Returns the members that changes are forwarded to at once."""
        return self._heartbeats.neighbours(True)

    def is_coordinator(self) -> bool:
        """Returns whether this node holds the coordinator lease."""
        return self._lease.holds_lease()

    def fencing_condition(self) -> store_package.Compare:
        """Returns a write condition, true only during this node's lease."""
        return self._lease.fencing_condition()

    def members_in_force(self) -> frozenset[str]:
        """Returns the members with the newest known revision in force."""
        state = self._state
        return state.in_force.node_ids() & state.members.keys()

    def newest_revision(self) -> _interfaces.RevisionSource:
        """Returns the newest known revision and a node to fetch it from."""
        in_force = self._state.in_force
        return _interfaces.RevisionSource(in_force.revision, in_force.source_id)

    def stopped_versions(self) -> Sequence[messages.StoppedVersion]:
        """Returns the versions stopped by any owner or rollout judge."""
        return self._state.stopped.all()

    async def wait_for_change(self, last_change_count: int) -> int:
        """Waits for a change after `last_change_count`; returns the count."""
        return await self._state.wait_for_change(last_change_count)

    def dump(self) -> dict[str, Any]:
        """Returns this node's membership as JSON values, for the state dump."""
        state = self._state
        now_ms = _state.now_ms()
        shards = {
            f"{k.service}/{k.shard}/{k.region}": v.value
            for k, v in self.ownership().items()
        }
        return {
            "node_id": state.node_id,
            "epoch": state.view.epoch,
            "members": {
                node_id: {
                    "age_ms": round(state.table.age_ms(node_id, now_ms)),
                    "alive": node_id in state.alive,
                    "leaving": node_id in state.leaving_ids,
                }
                for node_id in state.members
            },
            "majority": self.has_majority(),
            "coordinator": state.coordinator_id,
            "is_coordinator": self.is_coordinator(),
            "newest_revision": state.in_force.revision,
            "in_force": sorted(self.members_in_force()),
            "stopped": [s.rollout for s in state.stopped.all()],
            "shards": shards,
        }

    # ---- public changes ----

    def announce_leaving(self) -> None:
        """Announces by heartbeat that this node is shutting down."""
        state = self._state
        state.shutting_down = True
        state.add_leaving_entries({_state.leaving_entry(state.member)})
        state.request_heartbeat()
        state.notify()

    def stop_version(self, stopped: messages.StoppedVersion) -> None:
        """Stops a version on this node and, by heartbeat, on all others."""
        if self._state.stopped.add(stopped):
            self._state.request_heartbeat()
            self._state.notify()

    def hand_over(self, state: messages.ShardState) -> None:
        """Sends a released shard's state to its new owner."""
        self._takeover.hand_over(state)

    def set_state_receiver(self, receiver: _interfaces.StateReceiver) -> None:
        """Sets the callback for states of shards handed over to this node."""
        self._takeover.state_receiver = receiver

    def apply_vm_list(
        self, vms: Iterable[_interfaces.ListedVm], peer_port: int
    ) -> None:
        """Applies a VM list, which may be out of date or wrong.

        Addresses in the list that belong to no member become seeds. A member
        on a leaving VM counts as dead after half the usual silence, so a wrong
        list does no harm to members whose heartbeats arrive.
        """
        state = self._state
        entries = list(vms)
        member_addresses = {m.address for m in state.members.values()}
        for vm in entries:
            if not vm.leaving and vm.address not in member_addresses:
                state.network.add_seed(peers.PeerAddress(vm.address, peer_port))
        state.leaving_addresses = frozenset(
            vm.address for vm in entries if vm.leaving
        )

    # ---- running ----

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Runs this node's membership until cancelled."""
        handlers: list[tuple[type, peers.AsyncHandler]] = [
            (messages.Heartbeat, self._heartbeats.receive),
            (messages.Join, self._joining.receive),
            (messages.ViewRequest, self._heartbeats.answer_view_request),
            (messages.OwnershipClaim, self._takeover.answer_claim),
            (messages.Handover, self._takeover.receive_handover),
        ]
        for message_type, handler in handlers:
            self._state.network.register_handler(message_type, handler)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._heartbeats.run)
            nursery.start_soon(self._takeover.run)
            nursery.start_soon(self._coordinator_loop.run)
            nursery.start_soon(self._joining.run)
            task_status.started()
