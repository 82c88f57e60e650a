"""Rollouts that operators order in the store.

Every node keeps to the share of the new version and counts answers by version.
Three nodes judge each rollout on the joined counts of all nodes; a hash names
them. Whichever records its decision first wins: the record is written only if
the one that the judge knows has not changed, and a final record is not
replaced. A bad version stops everywhere before that is recorded.
"""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import logging
import random
from typing import Any
from typing import Protocol

import msgspec
import result
import trio
import xxhash

from geraniumstair import _struct
from geraniumstair import observe
from geraniumstair import peers
from geraniumstair import store
from geraniumstair import verdict
from geraniumstair._generated import messages

_LOG = logging.getLogger(__name__)
# Ten times within the 5 s in which a version that has shown itself to be bad
# must get nothing more.
DECISION_INTERVAL_S = 0.5
# Judges of one rollout; two of them may be lost.
JUDGES = 3
# The second judge writes this much later than the first one, the third twice
# as much, so that usually one of them writes. Changes spread faster.
TURN_S = 1.0
# Part used of the share that the site allows a version that may be bad. The
# rest is for nodes that are told late, and for counts that each node rounds.
USED_PART = 0.8
# A good version is recorded as done this long before its time is over, because
# writing takes up to 1.5 s when the store is slow.
FINISH_MARGIN_S = 2.0
# Least part of the ordered time that remains after the margin.
LEAST_TIME_PART = 0.5
# Endpoints of the old version stop when the end is recorded, and their entries
# lapse some seconds later. After that, any version may be deployed again.
DONE_GUARD_S = 15.0
REASON_NOT_RECORDED = "STORE_OUTAGE: the end could not be recorded in time"


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutOrder:
    """An operator's order to move a service to another version.

    Attributes:
        service: The service.
        version: Version that its requests move to.
        duration_s: Time for the move.
        revision: Revision of the order in the store.
    """

    service: str
    version: str
    duration_s: float
    revision: int

    @property
    def key(self) -> str:
        """Tells this rollout from others of the same service."""
        return f"{self.service}@{self.revision}"


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutRecord:
    """What the store holds about the progress of a service's rollout.

    Attributes:
        service: The service.
        version: Version that its requests move to.
        progress: `GOING_ON`, `DONE` or `TAKEN_BACK`.
        revision: Revision of the record in the store.
    """

    service: str
    version: str
    progress: verdict.Progress
    revision: int


class RecordEncoder(Protocol):
    """Writes progress as the operator reads it."""

    def encode_rollout(
        self, service: str, version: str, progress: verdict.Progress
    ) -> store.Put:
        """Returns the write that records progress."""
        ...


class RecordStore(Protocol):
    """The part of the store that rollouts use."""

    async def commit(
        self, transaction: store.Transaction
    ) -> result.Result[store.CommitOutcome, store.StoreFailure]:
        """Writes if the compares hold."""
        ...


class Network(Protocol):
    """The part of the peer network that rollouts use."""

    def connected(self) -> frozenset[str]:
        """Returns the ids of the nodes that a stream is open to."""

    def send(self, node_id: str, message: _struct.Message) -> bool:
        """Sends a one-way message."""

    def register(self, message_type: type, handler: peers.Handler) -> None:
        """Sets the handler of a message type."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Plan:
    """See `verdict.RolloutPlan`; any other version is the old one."""

    key: str
    new_version: str
    start_s: float
    done_by_s: float
    steps_pct: Sequence[float]
    old_version: str = ""


class _Rollout:
    """One order, and what this node thinks of it."""

    def __init__(
        self, order: RolloutOrder, share_pct: float, now_s: float
    ) -> None:
        self.order = order
        self.record: RolloutRecord | None = None
        self.share_pct = share_pct
        self.limit_s = now_s + order.duration_s
        duration_s = max(
            order.duration_s - FINISH_MARGIN_S,
            order.duration_s * LEAST_TIME_PART,
        )
        plan = _Plan(
            order.key, order.version, now_s, now_s + duration_s, (share_pct,)
        )
        self.judge = verdict.RolloutJudge(plan)
        self.decided_s = now_s
        self.done_s: float | None = None
        self.writing = False
        self.store_works = True

    @property
    def recorded(self) -> verdict.Progress:
        """Progress that the store holds."""
        if self.record is None:
            return verdict.Progress.PENDING
        return self.record.progress

    @property
    def ended(self) -> bool:
        """True if the store holds how it ended."""
        return self.recorded in (
            verdict.Progress.DONE,
            verdict.Progress.TAKEN_BACK,
        )

    def share(self, now_s: float) -> verdict.VersionShare | None:
        """Returns the share of the new version; None if any may get all."""
        if self.done_s is not None and now_s >= self.done_s + DONE_GUARD_S:
            return None
        key, share_pct = self.order.key, 0.0
        stopped = self.judge.decision.progress is verdict.Progress.TAKEN_BACK
        if self.recorded is verdict.Progress.DONE:
            # Another key, so that what stopped the version before is forgotten.
            key, share_pct = f"{key}/done", 100.0
        elif self.recorded is verdict.Progress.GOING_ON and not stopped:
            share_pct = self.share_pct
        return verdict.VersionShare(
            key, self.order.service, "", self.order.version, share_pct
        )

    def take_back(self, reason: str) -> bool:
        """Stops the version; False if it is stopped or the end is recorded."""
        taken_back = verdict.Progress.TAKEN_BACK
        if self.ended or self.judge.decision.progress is taken_back:
            return False
        self.judge.adopt(
            verdict.Decision(taken_back, 0, reason), self.decided_s
        )
        return True


class Rollouts:
    """Follows the rollouts of all services, and judges some of them.

    All times are on the monotonic clock of this node: the time of day may
    jump. A node that starts during a rollout takes its own start for that of
    the rollout.

    Args:
        node_id: This node.
        exposure_share: Share that the site allows a version that may be bad,
            0 to 1.
        record_store: The store.
        encoder: What the operator reads.
        network: Streams to peers.
        clock: Returns a monotonic time in s.

    Attributes:
        versions: Keeps to the shares and counts answers.
    """

    def __init__(
        self,
        node_id: str,
        exposure_share: float,
        record_store: RecordStore,
        encoder: RecordEncoder,
        network: Network,
        clock: Callable[[], float],
    ) -> None:
        self._node_id = node_id
        self._share_pct = 100 * USED_PART * exposure_share
        self._store = record_store
        self._encoder = encoder
        self._network = network
        self._clock = clock
        self._rollouts: dict[str, _Rollout] = {}
        self._records: dict[str, RolloutRecord] = {}
        self._candidates: Sequence[str] = (node_id,)
        # Reports of a restarted process must not look like repeated ones.
        self._sender = f"{node_id}#{random.getrandbits(64):x}"
        self._sequence = 0
        self.versions = verdict.VersionBook(
            clock, self._stopped_here, cold_answers=0
        )
        network.register(messages.EvidenceReport, self._on_evidence)
        network.register(messages.StoppedVersion, self._on_stopped)

    # ---- what operators order, and what the store holds ----

    def adopt_order(self, order: RolloutOrder) -> None:
        """Takes an order; the same one again changes nothing."""
        known = self._rollouts.get(order.service)
        if known is not None and known.order.revision >= order.revision:
            return
        _LOG.info(
            "edge: a rollout was ordered",
            extra=observe.fields(
                service=order.service,
                version=order.version,
                duration_s=order.duration_s,
                revision=order.revision,
            ),
        )
        rollout = _Rollout(order, self._share_pct, self._clock())
        self._rollouts[order.service] = rollout
        record = self._records.get(order.service)
        if record is not None:
            self._follow(rollout, record)
        self._apply()

    def withdraw_order(self, service: str) -> None:
        """Forgets a rollout whose order was removed."""
        if self._rollouts.pop(service, None) is not None:
            _LOG.info("edge: the order of a rollout of %s is gone", service)
            self._apply()

    def adopt_record(self, record: RolloutRecord) -> None:
        """Takes what the store holds."""
        known = self._records.get(record.service)
        if known is not None and known.revision >= record.revision:
            return
        self._records[record.service] = record
        rollout = self._rollouts.get(record.service)
        if rollout is not None:
            self._follow(rollout, record)
            self._apply()

    def forget_record(self, service: str) -> None:
        """Notes that the store holds nothing about a service."""
        self._records.pop(service, None)

    def set_candidates(self, nodes: Sequence[str]) -> None:
        """Sets the nodes that may judge; the same ones on all nodes."""
        self._candidates = sorted({*nodes})

    def _follow(self, rollout: _Rollout, record: RolloutRecord) -> None:
        order = rollout.order
        # A record that is older than the order is about an earlier one.
        if record.version != order.version or record.revision < order.revision:
            return
        if rollout.ended:
            return
        rollout.record = record
        if record.progress is verdict.Progress.DONE:
            rollout.done_s = self._clock()
        _LOG.info(
            "edge: a rollout's progress was recorded",
            extra=observe.fields(
                service=order.service,
                version=order.version,
                progress=record.progress.value,
                revision=record.revision,
            ),
        )

    def _apply(self) -> None:
        now_s = self._clock()
        shares = [r.share(now_s) for r in self._rollouts.values()]
        self.versions.adopt([share for share in shares if share is not None])

    # ---- judging ----

    async def run(self) -> None:
        """Sends evidence and judges, for ever."""
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(DECISION_INTERVAL_S)
                if not self._rollouts:
                    continue
                self._apply()
                self._send_evidence()
                for rollout in list(self._rollouts.values()):
                    self._judge(rollout, nursery)

    def _judges(self, key: str) -> list[str]:
        ranked = sorted(
            self._candidates,
            key=lambda n: xxhash.xxh64_intdigest(f"{key}/{n}".encode()),
        )
        return ranked[:JUDGES]

    def _judge(self, rollout: _Rollout, nursery: trio.Nursery) -> None:
        judges = self._judges(rollout.order.key)
        if rollout.ended or self._node_id not in judges:
            return
        now_s = self._clock()
        before = rollout.judge.decision
        if now_s >= rollout.limit_s:
            rollout.take_back(REASON_NOT_RECORDED)
        decision = rollout.judge.decide(now_s, rollout.store_works)
        if decision != before:
            self._note_decision(rollout, decision, now_s)
        if decision.progress is verdict.Progress.TAKEN_BACK:
            # Repeated, because a message may be lost.
            self._tell_stopped(rollout.order.key, decision.reason)
        turn_s = TURN_S * judges.index(self._node_id)
        due = now_s >= rollout.decided_s + turn_s and not rollout.writing
        if decision.progress is not rollout.recorded and due:
            rollout.writing = True
            nursery.start_soon(self._record, rollout, decision.progress)

    def _note_decision(
        self, rollout: _Rollout, decision: verdict.Decision, now_s: float
    ) -> None:
        rollout.decided_s = now_s
        _LOG.info(
            "edge: decided on a rollout",
            extra=observe.fields(
                service=rollout.order.service,
                version=rollout.order.version,
                progress=decision.progress.value,
                reason=decision.reason,
            ),
        )
        self._apply()

    async def _record(
        self, rollout: _Rollout, progress: verdict.Progress
    ) -> None:
        order = rollout.order
        put = self._encoder.encode_rollout(
            order.service, order.version, progress
        )
        known = self._records.get(order.service)
        compare = store.Compare(
            put.key,
            store.CompareTarget.MOD_REVISION,
            known.revision if known else 0,
        )
        try:
            outcome = await self._store.commit(
                store.Transaction(compares=[compare], puts=[put])
            )
        finally:
            rollout.writing = False
        rollout.store_works = isinstance(outcome, result.Ok)
        if isinstance(outcome, result.Err):
            # It may have been written; then the mirror will tell.
            _LOG.warning(
                "edge: cannot record the rollout of %s: %s",
                order.service,
                outcome.err_value.detail,
            )
        elif outcome.ok_value.committed:
            self.adopt_record(
                RolloutRecord(
                    order.service,
                    order.version,
                    progress,
                    outcome.ok_value.revision,
                )
            )

    # ---- evidence and stops ----

    def _send_evidence(self) -> None:
        by_judge: dict[str, list[messages.VersionEvidence]] = {}
        for row in self.versions.take_evidence():
            for node_id in self._judges(row.rollout):
                by_judge.setdefault(node_id, []).append(row)
        self._sequence += 1
        for node_id, rows in by_judge.items():
            report = messages.EvidenceReport(
                node_id=self._sender, sequence=self._sequence, evidence=rows
            )
            if node_id == self._node_id:
                self._add_evidence(report)
            else:
                self._network.send(node_id, report)

    async def _on_evidence(
        self, sender: str, report: messages.EvidenceReport
    ) -> None:
        self._add_evidence(report)

    def _add_evidence(self, report: messages.EvidenceReport) -> None:
        # Clocks differ between nodes, so the time of arrival counts.
        window_s = int(self._clock())
        rows = [
            msgspec.structs.replace(row, window_s=window_s)
            for row in report.evidence
        ]
        stamped = messages.EvidenceReport(
            node_id=report.node_id, sequence=report.sequence, evidence=rows
        )
        for rollout in self._rollouts.values():
            rollout.judge.add(stamped)

    def _stopped_here(self, stopped: messages.StoppedVersion) -> None:
        self._take_back(stopped.rollout, stopped.reason)
        self._tell_stopped(stopped.rollout, stopped.reason)

    async def _on_stopped(
        self, sender: str, stopped: messages.StoppedVersion
    ) -> None:
        self._take_back(stopped.rollout, f"{stopped.reason} (told by {sender})")

    def _take_back(self, key: str, reason: str) -> None:
        for rollout in self._rollouts.values():
            if rollout.order.key == key and rollout.take_back(reason):
                self._note_decision(
                    rollout, rollout.judge.decision, self._clock()
                )

    def _tell_stopped(self, key: str, reason: str) -> None:
        stopped = messages.StoppedVersion(
            rollout=key, reason=reason, by=self._node_id
        )
        for node_id in self._network.connected():
            self._network.send(node_id, stopped)

    def dump(self) -> Mapping[str, Any]:
        """Returns the state for the state dump."""
        now_s = self._clock()
        return {
            service: {
                "version": rollout.order.version,
                "revision": rollout.order.revision,
                "decided": rollout.judge.decision.progress.value,
                "reason": rollout.judge.decision.reason,
                "recorded": rollout.recorded.value,
                "share_pct": share.share_pct
                if (share := rollout.share(now_s))
                else None,
                "judges": self._judges(rollout.order.key),
            }
            for service, rollout in sorted(self._rollouts.items())
        }
