"""Assignment of shards to owners, and the takeover of shards."""

from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any

import trio

from geraniumstair import configuration
from geraniumstair._generated import messages
from geraniumstair.membership import _authority
from geraniumstair.membership import _interfaces
from geraniumstair.membership import _ownership
from geraniumstair.membership import _state
from geraniumstair.membership import _table

_EVALUATION_INTERVAL_S = 0.1
_CALL_TIMEOUT_MS = 500.0
_CLAIM_TIMEOUT_MARGIN_MS = 500.0
# The loop over all keys yields to other tasks after this cost. A key with a
# cached ranking costs 1; a key without one costs many times more, because all
# members are hashed.
_COST_PER_YIELD = 100
_UNCACHED_RANKING_COST = 20


def _build_shard_name(key: configuration.ShardKey) -> messages.ShardName:
    return messages.ShardName(key.service, key.shard, key.region)


def shard_key(name: messages.ShardName) -> configuration.ShardKey:
    """Returns the shard key of a message's shard name."""
    return configuration.ShardKey(name.service, name.shard, name.region)


class Takeover:
    """Determines the owners of the region's shards, and claims shards.

    Args:
        state: State shared by the parts of membership.

    Attributes:
        state_receiver: Callback for the state of each shard that is handed
            over to this node.
    """

    def __init__(self, state: _state.MembershipState) -> None:
        self._state = state
        self._ownership = _ownership.ShardOwnership(
            state.node_id, self._list_candidates, state.precedes
        )
        self._evaluated_inputs: tuple[Any, ...] = ()
        self._owners: dict[configuration.ShardKey, str] = {}
        self._former_owners: dict[configuration.ShardKey, str] = {}
        self._keys_topology: configuration.Topology | None = None
        self._keys: frozenset[configuration.ShardKey] = frozenset()
        self._claims_in_progress: set[str] = set()
        self.state_receiver: _interfaces.StateReceiver | None = None
        state.on_majority_lost.append(self._reset_ownership)

    def _reset_ownership(self) -> None:
        self._ownership.reset_after_majority_loss(_state.now_ms())

    def _list_candidates(self, key: configuration.ShardKey) -> Sequence[str]:
        ranking = self._state.region_ranking(key.region)
        if ranking is None:
            return ()
        ranked = ranking.best(
            _state.hash_key(key), _state.MAX_RANKED, lambda _: True
        )
        # While an availability zone is out, the owner may not be among the best
        # ranked members.
        former_owner = self._former_owners.get(key)
        return ranked if former_owner is None else [*ranked, former_owner]

    # ---- reads ----

    def ownership(
        self,
    ) -> Mapping[configuration.ShardKey, _authority.Authority]:
        """Returns the shards for which this node has any authority."""
        self._state.detect_majority_loss()
        return {
            key: authority
            for key in self._ownership.shard_keys()
            if (authority := self.authority(key))
            is not _authority.Authority.NONE
        }

    def authority(self, key: configuration.ShardKey) -> _authority.Authority:
        """Returns this node's authority for one shard at the current time."""
        limit_ms = _table.takeover_after_ms(len(self._state.members))
        return self._ownership.authority(
            key,
            self._state.has_majority(),
            _state.now_ms(),
            limit_ms + _CLAIM_TIMEOUT_MARGIN_MS,
        )

    # ---- owners ----

    async def run(self) -> None:
        """Reacts to changes of members and configuration until cancelled."""
        state = self._state
        async with trio.open_nursery() as nursery:
            while True:
                last_change_count = state.change_count
                state.detect_majority_loss()
                state.update_alive()
                await self._evaluate_owners()
                self._start_claims(nursery)
                # If this node is partitioned from the others, their silence
                # does not show that they have lost their authority.
                if state.has_majority() and self._ownership.complete_takeovers(
                    _state.now_ms(), state.is_silent
                ):
                    state.notify()
                # A leaving member, a granted claim and a handover wake this
                # loop at once, because searches wait for the new owner.
                with trio.move_on_after(_EVALUATION_INTERVAL_S):
                    await state.wait_for_change(last_change_count)

    async def _evaluate_owners(self) -> None:
        state = self._state
        topology = state.holder.current
        inputs = (
            topology.revision if topology else 0,
            state.view.epoch,
            state.alive,
            state.leaving_ids,
        )
        if inputs == self._evaluated_inputs:
            return
        if self._evaluated_inputs[:1] != inputs[:1]:
            state.request_heartbeat()
        self._evaluated_inputs = inputs
        keys = self._regional_keys(topology)
        may_own = state.eligible_owners().__contains__
        ranking = state.region_ranking(state.member.region)
        changed = False
        cost = 0
        removed = [k for k in self._ownership.shard_keys() if k not in keys]
        for key in (*keys, *removed):
            name = _state.hash_key(key)
            cached = ranking is None or ranking.is_cached(name)
            cost += 1 if cached else _UNCACHED_RANKING_COST
            if cost >= _COST_PER_YIELD:
                cost = 0
                await trio.sleep(0)
            owner = None
            if key in keys and ranking is not None:
                owner = ranking.first(name, may_own)
            self._track_owner(key, owner)
            owned = owner == state.node_id
            changed |= self._ownership.set_owned(key, owned, _state.now_ms())
        if changed:
            state.notify()

    def _track_owner(
        self, key: configuration.ShardKey, owner: str | None
    ) -> None:
        previous = self._owners.get(key)
        if owner == previous:
            return
        if previous is not None:
            self._former_owners[key] = previous
        if owner is None:
            del self._owners[key]
        else:
            self._owners[key] = owner

    def _regional_keys(
        self, topology: configuration.Topology | None
    ) -> frozenset[configuration.ShardKey]:
        # Hashing thousands of keys takes milliseconds, so the set is built only
        # once per topology.
        if topology is not self._keys_topology:
            self._keys_topology = topology
            self._keys = frozenset(
                k
                for k in (topology.endpoints if topology else ())
                if k.region == self._state.member.region
            )
        return self._keys

    # ---- claims and handovers ----

    def _start_claims(self, nursery: trio.Nursery) -> None:
        if not self._state.has_majority():
            return
        claims = self._ownership.pending_claims(self._state.is_silent)
        for node_id, keys in claims.items():
            if node_id not in self._claims_in_progress:
                self._claims_in_progress.add(node_id)
                nursery.start_soon(self._send_claim, node_id, keys)

    async def _send_claim(
        self, node_id: str, keys: Sequence[configuration.ShardKey]
    ) -> None:
        grants_before = self._ownership.grant_count
        request = messages.OwnershipClaim(
            self._state.node_id, [_build_shard_name(k) for k in keys]
        )
        try:
            reply = await self._state.network.call(
                node_id, request, _CALL_TIMEOUT_MS
            )
        finally:
            self._claims_in_progress.discard(node_id)
        answer = reply.unwrap_or(None)
        if isinstance(answer, messages.OwnershipAnswer):
            held = [shard_key(name) for name in answer.held]
            self._ownership.record_claim_answer(
                node_id, keys, held, grants_before
            )
            if not held:
                self._state.notify()

    async def answer_claim(
        self, sender: str, claim: messages.OwnershipClaim
    ) -> messages.OwnershipAnswer:
        """Handles a claim from a peer."""
        self._state.detect_majority_loss()
        keys = [shard_key(name) for name in claim.shards]
        held = self._ownership.answer_claim(sender, keys)
        return messages.OwnershipAnswer([_build_shard_name(k) for k in held])

    def hand_over(self, state: messages.ShardState) -> None:
        """Sends a released shard's state to its new owner."""
        key = shard_key(state.shard)
        self._ownership.finish_release(key)
        owners = self._state.owners(key)
        if owners and owners[0] != self._state.node_id:
            handover = messages.Handover(state, self._state.view.epoch)
            self._state.network.send(owners[0], handover)

    async def receive_handover(
        self, sender: str, handover: messages.Handover
    ) -> None:
        """Handles the handover of a shard from a peer."""
        key = shard_key(handover.state.shard)
        self._ownership.record_claim_answer(
            sender, [key], [], self._ownership.grant_count
        )
        if self.state_receiver is not None:
            self.state_receiver(handover.state)
        self._state.notify()
