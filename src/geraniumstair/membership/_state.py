"""State shared by the parts of one node's membership."""

from collections.abc import Callable
from collections.abc import Sequence

import trio

from geraniumstair import configuration
from geraniumstair import peers
from geraniumstair._generated import messages
from geraniumstair.membership import _gossip
from geraniumstair.membership import _interfaces
from geraniumstair.membership import _rendezvous
from geraniumstair.membership import _table

MAX_RANKED = 5


def now_ms() -> float:
    """Returns the time of trio's clock in ms."""
    return trio.current_time() * 1000


def leaving_entry(member: messages.Member) -> str:
    """Returns the text that identifies a leaving member in heartbeats.

    The text contains the incarnation, so that a node that has restarted is not
    mistaken for the process that left.
    """
    return f"{member.node_id} {member.incarnation}"


def hash_key(key: configuration.ShardKey) -> str:
    """Returns the key of a shard for rendezvous hashing."""
    return f"{key.service}\n{key.shard}\n{key.region}"


class MembershipState:
    """The view, its alive members, and the state that heartbeats spread.

    Args:
        member: This node's record for the view.
        network: Streams to the other nodes.
        holder: Holds the configuration in force.

    Attributes:
        view: The newest known view.
        members: Members of the view by node id.
        table: Time of the last heartbeat of each member.
        in_force: Newest configuration revision and the members that have it
            in force.
        stopped: Stopped versions.
        leaving_entries: Entries (see `leaving_entry`) of the members that are
            shutting down.
        leaving_ids: Node ids of the members that are shutting down.
        shutting_down: True once this node has announced its shutdown.
        leaving_addresses: Addresses that the VM list reports as leaving.
        coordinator_id: Id of the last known coordinator.
        coordinator_revision: Create revision of that coordinator's lease key.
        alive: Members whose last heartbeat is recent.
        change_count: Number of changes so far; see `wait_for_change`.
        on_majority_lost: Callbacks for the loss of the majority.
        on_view_installed: Callbacks for a new view, called after `members` is
            updated.
    """

    def __init__(
        self,
        member: messages.Member,
        network: _interfaces.Network,
        holder: _interfaces.ConfigurationHolder,
    ) -> None:
        self.member = member
        self.node_id = member.node_id
        self.network = network
        self.holder = holder
        self.view = messages.View(0, [], [])
        self.members: dict[str, messages.Member] = {}
        self.table = _table.HeartbeatTable(self.node_id, member.region)
        self.in_force = _gossip.InForceMembers()
        self.stopped = _gossip.StoppedVersions()
        self.leaving_entries: set[str] = set()
        self.leaving_ids: frozenset[str] = frozenset()
        self.shutting_down = False
        self.leaving_addresses: frozenset[str] = frozenset()
        self.coordinator_id = ""
        self.coordinator_revision = 0
        self.alive: frozenset[str] = frozenset()
        self.change_count = 0
        self.on_majority_lost: list[Callable[[], None]] = []
        self.on_view_installed: list[Callable[[], None]] = []
        self._had_majority = False
        self._changed = trio.Event()
        self._heartbeat_requested = trio.Event()
        self._ranking = _rendezvous.Ranking()
        self._regional_rankings: dict[str, _rendezvous.Ranking] = {}

    # ---- reads ----

    def ranked_members(self, name: str) -> Sequence[str]:
        """Returns up to 5 alive members by rendezvous hash, best first.

        Leaving members are returned only if no other member is alive.
        """
        staying = self._ranking.best(
            name, MAX_RANKED, self._is_alive_and_staying
        )
        return staying or self._ranking.best(
            name, MAX_RANKED, self.alive.__contains__
        )

    def region_ranking(self, region: str) -> _rendezvous.Ranking | None:
        """Returns the ranking of a region's members, or None if unknown."""
        return self._regional_rankings.get(region)

    def precedes(
        self, key: configuration.ShardKey, one: str, other: str
    ) -> bool:
        """Returns whether node `one` ranks before node `other` for a shard."""
        return self._ranking.precedes(hash_key(key), one, other)

    def owners(self, key: configuration.ShardKey) -> Sequence[str]:
        """Returns up to 5 members that may own the shard, best first.

        Leaving members are returned only if no other member may own it.
        """
        ranking = self._regional_rankings.get(key.region)
        if ranking is None:
            return ()
        name = hash_key(key)
        staying = ranking.best(name, MAX_RANKED, self._may_own)
        return staying or ranking.best(
            name, MAX_RANKED, self._may_own_as_last_resort
        )

    def eligible_owners(self) -> frozenset[str]:
        """Returns the members that may own shards of this region.

        If all members of the region are shutting down, they keep their shards.
        """
        regional = [
            m.node_id
            for m in self.members.values()
            if m.region == self.member.region
        ]
        staying = frozenset(filter(self._may_own, regional))
        return staying or frozenset(
            filter(self._may_own_as_last_resort, regional)
        )

    def _is_alive_and_staying(self, node_id: str) -> bool:
        return node_id in self.alive and node_id not in self.leaving_ids

    def _may_own(self, node_id: str) -> bool:
        return self._is_alive_and_staying(
            node_id
        ) and self._may_own_as_last_resort(node_id)

    def _may_own_as_last_resort(self, node_id: str) -> bool:
        """Returns whether a node may own shards if all others are leaving."""
        if node_id not in self.alive:
            return False
        topology = self.holder.current
        member = self.members[node_id]
        return topology is None or not topology.is_availability_zone_out(
            member.availability_zone
        )

    def has_majority(self) -> bool:
        """Returns whether this node exchanges heartbeats with a majority.

        The majority is counted among the members of this node's region.
        """
        return now_ms() < self.table.majority_until_ms

    def is_member(self) -> bool:
        """Returns whether this process is recorded in the view."""
        return self.members.get(self.node_id) == self.member

    def is_leaving_entry(self, entry: str) -> bool:
        """Returns whether a leaving entry identifies a member of the view."""
        member = self.members.get(entry.partition(" ")[0])
        return member is not None and leaving_entry(member) == entry

    def is_silent(self, node_id: str) -> bool:
        """Returns whether a node has been silent for the takeover limit.

        By then the node has lost its own majority and thereby its authority.
        """
        if node_id not in self.members:
            return True
        limit_ms = _table.takeover_after_ms(len(self.members))
        return self.table.age_ms(node_id, now_ms()) >= limit_ms

    # ---- changes ----

    def notify(self) -> None:
        """Counts a change and wakes the tasks that wait for one."""
        self.change_count += 1
        self._changed.set()
        self._changed = trio.Event()

    async def wait_for_change(self, last_change_count: int) -> int:
        """Waits for a change after `last_change_count`; returns the count."""
        while self.change_count == last_change_count:
            await self._changed.wait()
        return self.change_count

    def request_heartbeat(self) -> None:
        """Requests an immediate heartbeat to all neighbours."""
        self._heartbeat_requested.set()

    def consume_heartbeat_request(self) -> bool:
        """Returns whether a heartbeat was requested, and resets the request."""
        requested = self._heartbeat_requested.is_set()
        self._heartbeat_requested = trio.Event()
        return requested

    async def wait_heartbeat_request(self) -> None:
        """Waits until a heartbeat is requested."""
        await self._heartbeat_requested.wait()

    def add_leaving_entries(self, entries: set[str]) -> None:
        """Adds members that are shutting down."""
        self.leaving_entries |= entries
        self._update_leaving_ids()

    def _update_leaving_ids(self) -> None:
        self.leaving_ids = frozenset(
            e.partition(" ")[0] for e in self.leaving_entries
        )

    def detect_majority_loss(self) -> None:
        """Calls the callbacks if the majority was lost since the last check."""
        had_majority = self._had_majority
        self._had_majority = self.has_majority()
        if had_majority and not self._had_majority:
            for callback in self.on_majority_lost:
                callback()
            self.notify()

    def install_view(self, view: messages.View) -> None:
        """Replaces the view if the given one is newer."""
        if view.epoch <= self.view.epoch:
            return
        self.detect_majority_loss()
        self.view = view
        self.members = {m.node_id: m for m in view.members}
        self.table.set_view(view, now_ms())
        entries = {leaving_entry(m) for m in view.members}
        self.leaving_entries &= entries | {leaving_entry(self.member)}
        self._update_leaving_ids()
        for callback in self.on_view_installed:
            callback()
        self._ranking.set_members(self.members)
        for region in {m.region for m in view.members} | set(
            self._regional_rankings
        ):
            ranking = self._regional_rankings.setdefault(
                region, _rendezvous.Ranking()
            )
            ranking.set_members(
                m.node_id for m in view.members if m.region == region
            )
        self.network.set_peers(
            {
                m.node_id: peers.PeerAddress(m.address, m.port)
                for m in view.members
            }
        )
        self.update_alive()
        self.request_heartbeat()
        self.notify()

    def update_alive(self) -> None:
        """Updates the set of alive members."""
        current_ms = now_ms()
        limit_ms = _table.silent_after_ms(len(self.members))
        alive = set()
        for node_id, member in self.members.items():
            vm_leaving = member.address in self.leaving_addresses
            allowed_ms = limit_ms / 2 if vm_leaving else limit_ms
            if self.table.age_ms(node_id, current_ms) < allowed_ms:
                alive.add(node_id)
        if alive != self.alive:
            self.alive = frozenset(alive)
            self.notify()
