"""Runs the judges of the rollouts that this node is responsible for."""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import logging
from typing import Protocol

import result
import trio

from geraniumstair import configuration
from geraniumstair import verdict
from geraniumstair._generated import messages
from geraniumstair.rollout import _board
from geraniumstair.rollout import _ledger

_LOG = logging.getLogger(__name__)
DECISION_INTERVAL_MS = 500
# States are sent again at this interval, because one-way messages may be lost.
REPEAT_INTERVAL_MS = 1000
RELOAD_INTERVAL_S = 2.0
EVIDENCE_KEPT = 200


class RolloutPeers(Protocol):
    """The other nodes, as far as rollouts need them."""

    def judge_of(self, rollout: str) -> str:
        """Returns the node id of the judge of a key; empty if unknown."""
        ...

    def send(self, node_id: str, message: object) -> bool:
        """Sends a one-way message; False if it cannot be sent."""
        ...

    def neighbours(self) -> Sequence[str]:
        """Returns the nodes that states are passed on to."""
        ...


@dataclasses.dataclass(slots=True)
class _Judged:
    """A rollout that this node judges.

    Attributes:
        rule: Its rule.
        judge: Its judge.
        mod_revision: Revision of the step's record in the store; 0 if none.
        recorded: Decision that the store holds.
        synced: False until the record was read, and after each write whose
            outcome is not known.
        busy: A store call is under way.
    """

    rule: configuration.RolloutRule
    judge: verdict.RolloutJudge
    mod_revision: int = 0
    recorded: verdict.Decision | None = None
    synced: bool = False
    busy: bool = False

    @property
    def needs_store(self) -> bool:
        """Tells whether the record must be read or written."""
        return not self.synced or self.judge.decision != self.recorded


class RolloutKeeper:
    """Decides, records and spreads the states of rollouts.

    Every node runs one. It judges the rollouts that rank it first, sends
    evidence to the judges of the others, and passes states on. Rollouts go
    by their key (`RolloutRule.key`).

    A new judge starts from the recorded step without the evidence of the
    former one. It keeps the step until it has seen enough evidence itself,
    and owners stop a clearly bad version on their own meanwhile.
    """

    def __init__(
        self,
        node_id: str,
        ledger: _ledger.RolloutLedger,
        peers: RolloutPeers,
        board: _board.RolloutBoard,
        wall_clock: Callable[[], float],
    ) -> None:
        self._node_id = node_id
        self._ledger = ledger
        self._peers = peers
        self._board = board
        self._wall_clock = wall_clock
        self._topology: configuration.Topology | None = None
        self._judged: dict[str, _Judged] = {}
        # Reports of a restarted node must not look like repeated ones.
        self._sequence = int(wall_clock() * 1000)
        self._unsent: list[messages.VersionEvidence] = []
        self._repeat_at = 0.0
        self._repeat_turn = 0
        self._learn_at = 0.0
        self._recording: set[str] = set()
        self.on_change: Callable[[], None] = lambda: None

    def adopt_topology(self, topology: configuration.Topology) -> None:
        """Takes over the rollout rules of a document.

        Rollouts that the document does not contain any more are taken back
        unless they are done.
        """
        former = self._topology
        self._topology = topology
        rules = {rule.key: rule for rule in topology.rollouts.values()}
        for key in [key for key in self._judged if key not in rules]:
            del self._judged[key]
        for key, judged in self._judged.items():
            judged.rule = rules[key]
            judged.judge.update_rule(rules[key])
        if former is not None:
            for rule in former.rollouts.values():
                if rule.key not in rules:
                    self.stop(rule, verdict.REASON_REMOVED)
        self._board.forget_obsolete(topology)

    async def run(self) -> None:
        """Decides at each interval until it is cancelled.

        Store calls run beside the decisions, so that a slow store does not
        delay the stop of a bad version.
        """
        async with trio.open_nursery() as nursery:
            while True:
                self._start_step(nursery)
                await trio.sleep(DECISION_INTERVAL_MS / 1000)

    async def step(self) -> None:
        """Decides once for each rollout that this node judges."""
        async with trio.open_nursery() as nursery:
            self._start_step(nursery)

    def _start_step(self, nursery: trio.Nursery) -> None:
        topology = self._topology
        if topology is None:
            return
        for rule in topology.rollouts.values():
            if self._peers.judge_of(rule.key) != self._node_id:
                self._judged.pop(rule.key, None)
                continue
            judged = self._judged.get(rule.key)
            if judged is None:
                judged = _Judged(rule, verdict.RolloutJudge(rule))
                self._judged[rule.key] = judged
            if judged.synced or judged.busy:
                self._decide(judged)
            if judged.needs_store and not judged.busy:
                judged.busy = True
                nursery.start_soon(self._exchange, judged)
        self._record_removed(topology, nursery)
        self._learn(topology, nursery)
        self._repeat_states(topology)

    def add_evidence(self, rows: Sequence[messages.VersionEvidence]) -> None:
        """Passes this node's own evidence to the judges.

        Args:
            rows: Evidence since the last call.
        """
        self._unsent = (self._unsent + list(rows))[-EVIDENCE_KEPT:]
        unsent = self._unsent
        self._unsent = []
        for name in sorted({row.rollout for row in unsent}):
            own = [row for row in unsent if row.rollout == name]
            if not self._report(name, own):
                self._unsent += own

    async def handle_report(
        self, sender: str, report: messages.EvidenceReport
    ) -> None:
        """Adds an owner's evidence to the judges of this node."""
        del sender
        for judged in self._judged.values():
            judged.judge.add(report)

    async def handle_state(
        self, sender: str, state: messages.RolloutState
    ) -> None:
        """Adopts a state from another node and passes it on if it is new."""
        del sender
        self._publish(state)

    def stop(
        self,
        rule: configuration.RolloutRule,
        reason: str,
        *,
        recorded: bool = False,
    ) -> None:
        """Takes a rollout back at once, before the store records it.

        Args:
            rule: Rule of the rollout.
            reason: Reason that operators see.
            recorded: The store holds this verdict already.
        """
        known = self._board.state(rule.key)
        if known is not None and known.state in ("DONE", "TAKEN_BACK"):
            return
        decision = verdict.Decision(
            verdict.Progress.TAKEN_BACK, known.step if known else 0, reason
        )
        state = _board.state_of(rule, decision, self._wall_clock())
        state.recorded = recorded
        self._publish(state)

    def stop_key(self, rollout: str, reason: str) -> None:
        """Takes a rollout of the document back, like `stop`.

        Args:
            rollout: Key of the rollout; an unknown one is ignored.
            reason: Reason that operators see.
        """
        if self._topology is None:
            return
        for rule in self._topology.rollouts.values():
            if rule.key == rollout:
                self.stop(rule, reason)

    def _report(
        self, rollout: str, rows: Sequence[messages.VersionEvidence]
    ) -> bool:
        self._sequence += 1
        report = messages.EvidenceReport(
            node_id=self._node_id, sequence=self._sequence, evidence=list(rows)
        )
        judge = self._peers.judge_of(rollout)
        if judge != self._node_id:
            return bool(judge) and self._peers.send(judge, report)
        judged = self._judged.get(rollout)
        if judged is not None:
            judged.judge.add(report)
        return judged is not None

    # Deciding.

    def _decide(self, judged: _Judged) -> None:
        self._adopt_known(judged)
        now_s = self._wall_clock()
        if judged.busy and judged.synced:
            decision = judged.judge.roll_back_if_faulty(now_s)
        else:
            decision = judged.judge.decide(now_s, judged.synced)
        if decision.progress is verdict.Progress.TAKEN_BACK:
            # A stop is safe before it is recorded; a step is not.
            self._publish(_board.state_of(judged.rule, decision, now_s))

    def _adopt_known(self, judged: _Judged) -> None:
        """Adopts what peers know and the store does not say yet."""
        known = self._board.state(judged.rule.key)
        if known is None or judged.judge.decision.is_final:
            return
        if known.state == "TAKEN_BACK" or not judged.synced:
            decision = _board.decision_of(known)
            judged.judge.adopt(decision, known.updated_ms / 1000)

    # Store.

    async def _exchange(self, judged: _Judged) -> None:
        """Reads the record if necessary, and writes a new decision."""
        try:
            if not judged.synced:
                await self._load(judged)
                judged.busy = False
                self._decide(judged)
                judged.busy = True
            if judged.synced and judged.judge.decision != judged.recorded:
                await self._record(judged)
        finally:
            judged.busy = False

    async def _load(self, judged: _Judged) -> None:
        stored = await self._ledger.load(judged.rule.key)
        if isinstance(stored, result.Err):
            return
        judged.synced = True
        judged.mod_revision = stored.ok_value.mod_revision
        state = stored.ok_value.state
        if state is None:
            judged.recorded = verdict.Decision(verdict.Progress.PENDING, 0, "")
            # Nodes that know a state do not ask the store for it.
            now_s = self._wall_clock()
            self._publish(_board.state_of(judged.rule, judged.recorded, now_s))
            return
        judged.recorded = _board.decision_of(state)
        if stored.ok_value.final or not judged.judge.decision.is_final:
            judged.judge.adopt(judged.recorded, state.updated_ms / 1000)
        self._publish(state)

    async def _record(self, judged: _Judged) -> None:
        decision = judged.judge.decision
        now_s = self._wall_clock()
        state = _board.state_of(judged.rule, decision, now_s)
        saved = await self._ledger.save(
            state, judged.mod_revision, decision.is_final
        )
        if isinstance(saved, result.Err):
            _LOG.warning(
                "rollout: State of %s is not recorded yet: %s.",
                state.rollout,
                saved.err_value.detail,
            )
        revision = saved.unwrap_or(None)
        if revision is None:
            judged.synced = False
            return
        judged.recorded = decision
        if not decision.is_final:
            judged.mod_revision = revision
        state.recorded = True
        self._publish(state)

    def _record_removed(
        self, topology: configuration.Topology, nursery: trio.Nursery
    ) -> None:
        """Records the end of rollouts that were removed while going on."""
        for state in self._board.removed(topology):
            key = state.rollout
            if state.recorded or state.state != "TAKEN_BACK":
                continue
            if key in self._recording:
                continue
            if self._peers.judge_of(key) == self._node_id:
                self._recording.add(key)
                nursery.start_soon(self._record_one_removed, state)

    async def _record_one_removed(self, state: messages.RolloutState) -> None:
        try:
            saved = await self._ledger.save(state, 0, final=True)
            if isinstance(saved, result.Err):
                return
            stored = await self._ledger.load(state.rollout)
            if isinstance(stored, result.Ok) and stored.ok_value.state:
                self._publish(stored.ok_value.state)
        finally:
            self._recording.discard(state.rollout)

    def _learn(
        self, topology: configuration.Topology, nursery: trio.Nursery
    ) -> None:
        """Reads states that no peer has told, for a node that just started."""
        now = trio.current_time()
        if now < self._learn_at:
            return
        self._learn_at = now + RELOAD_INTERVAL_S
        for rule in topology.rollouts.values():
            if self._board.state(rule.key) is None:
                nursery.start_soon(self._learn_one, rule.key)
                return

    async def _learn_one(self, key: str) -> None:
        stored = await self._ledger.load(key)
        if isinstance(stored, result.Ok) and stored.ok_value.state is not None:
            self._publish(stored.ok_value.state)

    # Spreading.

    def _publish(self, state: messages.RolloutState) -> None:
        if not self._board.merge(state):
            return
        _LOG.info(
            "rollout: %s is %s at step %d. %s",
            state.rollout,
            state.state,
            state.step,
            state.reason,
        )
        self.on_change()
        for node_id in self._peers.neighbours():
            self._peers.send(node_id, state)

    def _repeat_states(self, topology: configuration.Topology) -> None:
        """Sends all states to one neighbour in turn.

        Sending them to all neighbours would cost each node several KB/s with
        a dozen rollouts.
        """
        now = trio.current_time()
        if now < self._repeat_at:
            return
        self._repeat_at = now + REPEAT_INTERVAL_MS / 1000
        neighbours = self._peers.neighbours()
        if not neighbours:
            return
        self._repeat_turn = (self._repeat_turn + 1) % len(neighbours)
        self._board.forget_obsolete(topology)
        for state in self._board.states():
            self._peers.send(neighbours[self._repeat_turn], state)
