"""Connects rollouts to membership, peers and the dispatcher."""

from collections.abc import Sequence
import logging
import time

import trio

from geraniumstair import configuration
from geraniumstair import dispatch
from geraniumstair import membership
from geraniumstair import peers
from geraniumstair import rollout
from geraniumstair import store as store_package
from geraniumstair._generated import messages

_LOG = logging.getLogger(__name__)
EVIDENCE_COLLECTION_INTERVAL_S = 0.5


class _RolloutPeers:
    """Access of the rollout manager to other nodes.

    Implements `rollout.RolloutPeers`.
    """

    def __init__(
        self, members: membership.Membership, network: peers.PeerNetwork
    ) -> None:
        self._members = members
        self._network = network

    def find_judge(self, rollout_key: str) -> str:
        ranked = self._members.ranked_members(f"rollout/{rollout_key}")
        return ranked[0] if ranked else ""

    def send(self, node_id: str, message: object) -> bool:
        return self._network.send(node_id, message)  # type: ignore[arg-type]

    def list_neighbours(self) -> Sequence[str]:
        return self._members.neighbours()


class RolloutDriver:
    """Exchanges evidence, stops and version shares with the rollout manager.

    Evidence comes from the dispatcher, stops come from this node and other
    members, and the dispatcher applies the version shares.
    """

    def __init__(
        self,
        node_id: str,
        members: membership.Membership,
        network: peers.PeerNetwork,
        store: store_package.KeyValueStore,
        dispatcher: dispatch.Dispatcher,
    ) -> None:
        self._node_id = node_id
        self._members = members
        self._dispatcher = dispatcher
        self._topology: configuration.Topology | None = None
        self.rollout_states = rollout.RolloutStates()
        self.rollout_store = rollout.RolloutStore(store)
        self.manager = rollout.RolloutManager(
            node_id,
            self.rollout_store,
            _RolloutPeers(members, network),
            self.rollout_states,
            time.time,
        )
        self.manager.on_change = self._apply_version_shares
        network.register_handler(
            messages.EvidenceReport, self.manager.handle_report
        )
        network.register_handler(
            messages.RolloutState, self.manager.handle_state
        )

    def apply_topology(self, topology: configuration.Topology) -> None:
        """Applies the rollout rules of a document."""
        self._topology = topology
        self.manager.apply_topology(topology)
        self._apply_version_shares()

    def on_version_stopped(self, stopped: messages.StoppedVersion) -> None:
        """Propagates a stop that evidence from this node caused."""
        attributed = messages.StoppedVersion(
            stopped.rollout, stopped.reason, self._node_id
        )
        self._members.stop_version(attributed)
        self.manager.roll_back_by_key(attributed.rollout, attributed.reason)

    async def run(self) -> None:
        """Runs until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.manager.run)
            nursery.start_soon(self._collect_evidence)
            nursery.start_soon(self._apply_stops_from_members)

    def _apply_version_shares(self) -> None:
        if self._topology is not None:
            shares = self.rollout_states.compute_shares(self._topology)
            self._dispatcher.apply_version_shares(shares)

    async def _collect_evidence(self) -> None:
        while True:
            await trio.sleep(EVIDENCE_COLLECTION_INTERVAL_S)
            self.manager.add_evidence(self._dispatcher.drain_evidence())

    async def _apply_stops_from_members(self) -> None:
        change_count = -1
        while True:
            change_count = await self._members.wait_for_change(change_count)
            for stopped in self._members.stopped_versions():
                self.manager.roll_back_by_key(stopped.rollout, stopped.reason)
