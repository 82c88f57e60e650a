"""Decides on this node's rollouts, and records and propagates their states."""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import logging
from typing import Protocol

import result
import trio

from geraniumstair import canary
from geraniumstair import configuration
from geraniumstair._generated import messages
from geraniumstair.rollout import _states
from geraniumstair.rollout import _store

_LOG = logging.getLogger(__name__)
DECISION_INTERVAL_MS = 500
# States are resent at this interval, because one-way messages may be lost.
RESEND_INTERVAL_MS = 1000
LOAD_INTERVAL_S = 2.0
MAX_UNSENT_ROWS = 200


class RolloutPeers(Protocol):
    """Access to the other nodes of the cluster."""

    def find_judge(self, rollout: str) -> str:
        """Returns the id of the node that decides on a rollout.

        Args:
            rollout: Key of the rollout.

        Returns:
            The node id; empty if no node is known.
        """
        ...

    def send(self, node_id: str, message: object) -> bool:
        """Sends a one-way message; returns False if it cannot be sent."""
        ...

    def list_neighbours(self) -> Sequence[str]:
        """Returns the ids of the nodes that this node sends states to."""
        ...


@dataclasses.dataclass(slots=True)
class _JudgedRollout:
    """A rollout that this node decides on.

    Attributes:
        rule: Rule of the document.
        judge: Decides on the rollout's progress.
        mod_revision: Revision of the record of the current step in the store;
            0 if there is none.
        recorded_decision: Decision in the store when it was last read or
            written.
        is_synced: True if `recorded_decision` is valid. False until the
            record has been read, and after a write that failed, was refused
            or has an unknown outcome.
        has_store_call: True while a store call is in progress.
    """

    rule: configuration.RolloutRule
    judge: canary.RolloutJudge
    mod_revision: int = 0
    recorded_decision: canary.Decision | None = None
    is_synced: bool = False
    has_store_call: bool = False

    @property
    def needs_store_call(self) -> bool:
        """Returns True if the record must be read or written."""
        return (
            not self.is_synced or self.judge.decision != self.recorded_decision
        )


class RolloutManager:
    """A node's part in all rollouts.

    A rollout is identified by its key (`RolloutRule.key`). The node that ranks
    first for the key is its judge: it decides on the rollout and records the
    decisions in the store. Each node sends its evidence on a rollout to the
    rollout's judge, and propagates states to its neighbours.

    A node that takes over as judge starts from the recorded step, without the
    evidence of its predecessor. It keeps the step until it has received
    enough evidence itself. Until then, nodes still stop a clearly bad version
    on their local evidence.

    Attributes:
        on_change: Called when the state of a rollout has changed.
    """

    def __init__(
        self,
        node_id: str,
        rollout_store: _store.RolloutStore,
        peers: RolloutPeers,
        rollout_states: _states.RolloutStates,
        wall_clock: Callable[[], float],
    ) -> None:
        self._node_id = node_id
        self._rollout_store = rollout_store
        self._peers = peers
        self._rollout_states = rollout_states
        self._wall_clock = wall_clock
        self._topology: configuration.Topology | None = None
        self._judged: dict[str, _JudgedRollout] = {}
        # Starts at the wall-clock time, so that judges do not discard the
        # reports of a restarted node as duplicates.
        self._sequence = int(wall_clock() * 1000)
        self._unsent: list[messages.VersionEvidence] = []
        self._next_resend_at = 0.0
        self._resend_index = 0
        self._next_load_at = 0.0
        self._keys_being_recorded: set[str] = set()
        self.on_change: Callable[[], None] = lambda: None

    def apply_topology(self, topology: configuration.Topology) -> None:
        """Applies the rollout rules of a document.

        Rollouts that are no longer in the document are rolled back unless
        they are complete.
        """
        previous = self._topology
        self._topology = topology
        rules = {rule.key: rule for rule in topology.rollouts.values()}
        for key in [key for key in self._judged if key not in rules]:
            del self._judged[key]
        for key, judged in self._judged.items():
            judged.rule = rules[key]
            judged.judge.update_plan(rules[key])
        if previous is not None:
            for rule in previous.rollouts.values():
                if rule.key not in rules:
                    self.roll_back(rule, canary.REASON_REMOVED)
        self._rollout_states.drop_obsolete(topology)

    async def run(self) -> None:
        """Runs the rollouts until cancelled.

        Store calls run concurrently with the decisions, so that a slow store
        does not delay the rollback of a bad version.
        """
        async with trio.open_nursery() as nursery:
            while True:
                self._start_round(nursery)
                await trio.sleep(DECISION_INTERVAL_MS / 1000)

    async def run_once(self) -> None:
        """Decides once on each rollout of this node and awaits store calls."""
        async with trio.open_nursery() as nursery:
            self._start_round(nursery)

    def _start_round(self, nursery: trio.Nursery) -> None:
        topology = self._topology
        if topology is None:
            return
        for rule in topology.rollouts.values():
            if self._peers.find_judge(rule.key) != self._node_id:
                self._judged.pop(rule.key, None)
                continue
            judged = self._judged.get(rule.key)
            if judged is None:
                judged = _JudgedRollout(rule, canary.RolloutJudge(rule))
                self._judged[rule.key] = judged
            if judged.is_synced or judged.has_store_call:
                self._decide(judged)
            if judged.needs_store_call and not judged.has_store_call:
                judged.has_store_call = True
                nursery.start_soon(self._sync_with_store, judged)
        self._record_removed_rollouts(topology, nursery)
        self._load_unknown_state(topology, nursery)
        self._resend_states(topology)

    def add_evidence(self, rows: Sequence[messages.VersionEvidence]) -> None:
        """Sends this node's evidence to the judges.

        Evidence that cannot be sent is kept and sent by the next call.

        Args:
            rows: Evidence since the last call.
        """
        self._unsent = (self._unsent + list(rows))[-MAX_UNSENT_ROWS:]
        unsent = self._unsent
        self._unsent = []
        for rollout in sorted({row.rollout for row in unsent}):
            rollout_rows = [row for row in unsent if row.rollout == rollout]
            if not self._send_rows(rollout, rollout_rows):
                self._unsent += rollout_rows

    async def handle_report(
        self, sender: str, report: messages.EvidenceReport
    ) -> None:
        """Adds another node's evidence to the rollouts of this node."""
        del sender
        for judged in self._judged.values():
            judged.judge.add_report(report)

    async def handle_state(
        self, sender: str, state: messages.RolloutState
    ) -> None:
        """Merges a state from another node and propagates it if it is new."""
        del sender
        self._publish(state)

    def roll_back(
        self,
        rule: configuration.RolloutRule,
        reason: str,
        *,
        recorded: bool = False,
    ) -> None:
        """Rolls a rollout back at once, before it is recorded in the store.

        Does nothing if the rollout has ended.

        Args:
            rule: Rule of the rollout.
            reason: Reason shown to operators.
            recorded: True if the rollback is recorded already.
        """
        known = self._rollout_states.find_state(rule.key)
        if known is not None and known.state in ("DONE", "TAKEN_BACK"):
            return
        decision = canary.Decision(
            canary.Progress.TAKEN_BACK, known.step if known else 0, reason
        )
        state = _states.to_state_message(rule, decision, self._wall_clock())
        state.recorded = recorded
        self._publish(state)

    def roll_back_by_key(self, rollout: str, reason: str) -> None:
        """Rolls a rollout of the document back, like `roll_back`.

        Args:
            rollout: Key of the rollout; an unknown key is ignored.
            reason: Reason shown to operators.
        """
        if self._topology is None:
            return
        for rule in self._topology.rollouts.values():
            if rule.key == rollout:
                self.roll_back(rule, reason)

    def _send_rows(
        self, rollout: str, rows: Sequence[messages.VersionEvidence]
    ) -> bool:
        self._sequence += 1
        report = messages.EvidenceReport(
            node_id=self._node_id, sequence=self._sequence, evidence=list(rows)
        )
        judge_id = self._peers.find_judge(rollout)
        if judge_id != self._node_id:
            return bool(judge_id) and self._peers.send(judge_id, report)
        judged = self._judged.get(rollout)
        if judged is not None:
            judged.judge.add_report(report)
        return judged is not None

    def _decide(self, judged: _JudgedRollout) -> None:
        self._apply_known_state(judged)
        now_s = self._wall_clock()
        if judged.has_store_call and judged.is_synced:
            decision = judged.judge.roll_back_if_faulty(now_s)
        else:
            decision = judged.judge.decide(now_s, judged.is_synced)
        if decision.progress is canary.Progress.TAKEN_BACK:
            # A rollback takes effect before it is recorded. A step must be
            # recorded first: it would be lost if this node failed.
            self._publish(
                _states.to_state_message(judged.rule, decision, now_s)
            )

    def _apply_known_state(self, judged: _JudgedRollout) -> None:
        """Applies a state known from peers that the store may not hold yet."""
        known = self._rollout_states.find_state(judged.rule.key)
        if known is None or judged.judge.decision.is_final:
            return
        if known.state == "TAKEN_BACK" or not judged.is_synced:
            decision = _states.to_decision(known)
            judged.judge.apply_decision(decision, known.updated_ms / 1000)

    # Store.

    async def _sync_with_store(self, judged: _JudgedRollout) -> None:
        """Reads the record if necessary, and writes a changed decision."""
        try:
            if not judged.is_synced:
                await self._load_record(judged)
                # No write is in progress here, so the rollout may advance.
                judged.has_store_call = False
                self._decide(judged)
                judged.has_store_call = True
            if (
                judged.is_synced
                and judged.judge.decision != judged.recorded_decision
            ):
                await self._write_record(judged)
        finally:
            judged.has_store_call = False

    async def _load_record(self, judged: _JudgedRollout) -> None:
        stored = await self._rollout_store.load(judged.rule.key)
        if isinstance(stored, result.Err):
            return
        judged.is_synced = True
        judged.mod_revision = stored.ok_value.mod_revision
        state = stored.ok_value.state
        if state is None:
            judged.recorded_decision = canary.Decision(
                canary.Progress.PENDING, 0, ""
            )
            # Published so that other nodes do not read the store: a node reads
            # only states that it does not know.
            now_s = self._wall_clock()
            self._publish(
                _states.to_state_message(
                    judged.rule, judged.recorded_decision, now_s
                )
            )
            return
        judged.recorded_decision = _states.to_decision(state)
        if stored.ok_value.is_final or not judged.judge.decision.is_final:
            judged.judge.apply_decision(
                judged.recorded_decision, state.updated_ms / 1000
            )
        self._publish(state)

    async def _write_record(self, judged: _JudgedRollout) -> None:
        decision = judged.judge.decision
        now_s = self._wall_clock()
        state = _states.to_state_message(judged.rule, decision, now_s)
        saved = await self._rollout_store.save(
            state, judged.mod_revision, decision.is_final
        )
        if isinstance(saved, result.Err):
            _LOG.warning(
                "rollout: Cannot record the state of %s; will retry: %s.",
                state.rollout,
                saved.err_value.detail,
            )
        revision = saved.unwrap_or(None)
        if revision is None:
            judged.is_synced = False
            return
        judged.recorded_decision = decision
        if not decision.is_final:
            judged.mod_revision = revision
        state.recorded = True
        self._publish(state)

    def _record_removed_rollouts(
        self, topology: configuration.Topology, nursery: trio.Nursery
    ) -> None:
        """Records the rollback of rollouts removed from the document."""
        for state in self._rollout_states.list_removed_states(topology):
            key = state.rollout
            if state.recorded or state.state != "TAKEN_BACK":
                continue
            if key in self._keys_being_recorded:
                continue
            if self._peers.find_judge(key) == self._node_id:
                self._keys_being_recorded.add(key)
                nursery.start_soon(self._record_removed_rollout, state)

    async def _record_removed_rollout(
        self, state: messages.RolloutState
    ) -> None:
        try:
            saved = await self._rollout_store.save(state, 0, final=True)
            if isinstance(saved, result.Err):
                return
            stored = await self._rollout_store.load(state.rollout)
            if isinstance(stored, result.Ok) and stored.ok_value.state:
                self._publish(stored.ok_value.state)
        finally:
            self._keys_being_recorded.discard(state.rollout)

    def _load_unknown_state(
        self, topology: configuration.Topology, nursery: trio.Nursery
    ) -> None:
        """Reads a state that no peer has sent, after a start of this node."""
        now = trio.current_time()
        if now < self._next_load_at:
            return
        self._next_load_at = now + LOAD_INTERVAL_S
        for rule in topology.rollouts.values():
            if self._rollout_states.find_state(rule.key) is None:
                nursery.start_soon(self._load_state, rule.key)
                return

    async def _load_state(self, key: str) -> None:
        stored = await self._rollout_store.load(key)
        if isinstance(stored, result.Ok) and stored.ok_value.state is not None:
            self._publish(stored.ok_value.state)

    # Propagation between nodes.

    def _publish(self, state: messages.RolloutState) -> None:
        if not self._rollout_states.merge(state):
            return
        _LOG.info(
            "rollout: %s is %s at step %d. %s",
            state.rollout,
            state.state,
            state.step,
            state.reason,
        )
        self.on_change()
        for node_id in self._peers.list_neighbours():
            self._peers.send(node_id, state)

    def _resend_states(self, topology: configuration.Topology) -> None:
        """Sends all states to the next neighbour in round-robin order.

        Sending them to all neighbours at once would cost each node several
        KB/s with a dozen rollouts.
        """
        now = trio.current_time()
        if now < self._next_resend_at:
            return
        self._next_resend_at = now + RESEND_INTERVAL_MS / 1000
        neighbours = self._peers.list_neighbours()
        if not neighbours:
            return
        self._resend_index = (self._resend_index + 1) % len(neighbours)
        self._rollout_states.drop_obsolete(topology)
        for state in self._rollout_states.list_states():
            self._peers.send(neighbours[self._resend_index], state)
