"""Rollouts that operators order in the store.

Every node limits the new version to its share of requests and counts answers by
version. Three nodes, the judges, evaluate each rollout on the combined counts
of all nodes; a hash selects them. The first judge that writes its decision to
the store wins: a write succeeds only if the record that the judge knows is
unchanged, and a final record is never replaced. All nodes stop a bad version
before its rollback is recorded.
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
from geraniumstair import canary
from geraniumstair import observe
from geraniumstair import peers
from geraniumstair import store
from geraniumstair._generated import messages

_LOG = logging.getLogger(__name__)
# Ten decisions fit into the 5 s within which a version found to be bad has to
# stop receiving requests.
DECISION_INTERVAL_S = 0.5
# Number of judges of one rollout; two of them may fail.
JUDGE_COUNT = 3
# The second judge writes a record this much later than the first one, and the
# third twice as much. A record spreads to all nodes in less time, so usually
# only one judge writes.
RECORD_STAGGER_S = 1.0
# Used fraction of the share that the site allows a possibly bad version. The
# rest allows for nodes that receive changes late, and for the rounding of
# counts on each node.
EXPOSURE_USED_SHARE = 0.8
# A good version is recorded as done this long before the ordered time ends,
# because a write takes up to 1.5 s when the store is slow.
FINISH_MARGIN_S = 2.0
# Least fraction of the ordered time that remains after the margin.
MIN_DURATION_SHARE = 0.5
# The new version keeps a share of 100% for this time after its rollout was
# recorded as done. Endpoints of the old version stop after that record, and
# their entries lapse some seconds later. Then any version may be deployed
# again.
DONE_SHARE_HOLD_S = 15.0
REASON_NOT_RECORDED = "STORE_OUTAGE: the end could not be recorded in time"


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutOrder:
    """An operator's order to move a service to another version.

    Attributes:
        service: The service.
        version: Version to which its requests move.
        duration_s: Time within which the move has to end.
        revision: Revision of the order in the store.
    """

    service: str
    version: str
    duration_s: float
    revision: int

    @property
    def key(self) -> str:
        """Identifies this rollout among those of the same service."""
        return f"{self.service}@{self.revision}"


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutRecord:
    """The progress of a service's rollout, as recorded in the store.

    Attributes:
        service: The service.
        version: Version to which its requests move.
        progress: `GOING_ON`, `DONE` or `TAKEN_BACK`.
        revision: Revision of the record in the store.
    """

    service: str
    version: str
    progress: canary.Progress
    revision: int


class RecordEncoder(Protocol):
    """Encodes the progress of rollouts for operators."""

    def encode_rollout(
        self, service: str, version: str, progress: canary.Progress
    ) -> store.Put:
        """Returns the write that records progress."""
        ...


class RecordStore(Protocol):
    """The operations of the store that rollouts use."""

    async def commit(
        self, transaction: store.Transaction
    ) -> result.Result[store.CommitOutcome, store.StoreFailure]:
        """Writes keys if all compares hold."""
        ...


class Network(Protocol):
    """The operations of the peer network that rollouts use."""

    def connected_nodes(self) -> frozenset[str]:
        """Returns the ids of the nodes with an open stream."""

    def send(self, node_id: str, message: _struct.Message) -> bool:
        """Sends a one-way message."""

    def register_handler(
        self, message_type: type, handler: peers.AsyncHandler
    ) -> None:
        """Sets the handler of a message type."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Plan:
    """See `canary.RolloutPlan`; every other version counts as the old one."""

    key: str
    new_version: str
    start_s: float
    done_by_s: float
    steps_pct: Sequence[float]
    old_version: str = ""


class _Rollout:
    """The state of one order and this node's decision on it."""

    def __init__(
        self, order: RolloutOrder, share_pct: float, now_s: float
    ) -> None:
        self.order = order
        # Stays the same if the order is written again after a restore of the
        # store, because other nodes and earlier evidence refer to it.
        self.key = order.key
        self.record: RolloutRecord | None = None
        self.share_pct = share_pct
        self.deadline_s = now_s + order.duration_s
        duration_s = max(
            order.duration_s - FINISH_MARGIN_S,
            order.duration_s * MIN_DURATION_SHARE,
        )
        plan = _Plan(
            order.key, order.version, now_s, now_s + duration_s, (share_pct,)
        )
        self.judge = canary.RolloutJudge(plan)
        self.decided_s = now_s
        self.done_s: float | None = None
        self.write_pending = False
        self.store_available = True

    @property
    def recorded_progress(self) -> canary.Progress:
        """Progress that the store holds."""
        if self.record is None:
            return canary.Progress.PENDING
        return self.record.progress

    @property
    def has_final_record(self) -> bool:
        """True if the store holds a final record of this rollout."""
        return self.recorded_progress in (
            canary.Progress.DONE,
            canary.Progress.TAKEN_BACK,
        )

    def compute_share(self, now_s: float) -> canary.VersionShare | None:
        """Returns the new version's share; None if no version is limited."""
        if self.done_s is not None and now_s >= self.done_s + DONE_SHARE_HOLD_S:
            return None
        key, share_pct = self.key, 0.0
        stopped = self.judge.decision.progress is canary.Progress.TAKEN_BACK
        if self.recorded_progress is canary.Progress.DONE:
            # A different key discards an earlier stop of this version.
            key, share_pct = f"{key}/done", 100.0
        elif self.recorded_progress is canary.Progress.GOING_ON and not stopped:
            share_pct = self.share_pct
        return canary.VersionShare(
            key, self.order.service, "", self.order.version, share_pct
        )

    def roll_back(self, reason: str) -> bool:
        """Stops the version; False if already stopped or recorded as final."""
        taken_back = canary.Progress.TAKEN_BACK
        if self.has_final_record or self.judge.decision.progress is taken_back:
            return False
        self.judge.apply_decision(
            canary.Decision(taken_back, 0, reason), self.decided_s
        )
        return True


class Rollouts:
    """Applies the rollouts of all services, and evaluates some of them.

    All times are on the monotonic clock of this node, because the time of day
    may jump. A node that starts during a rollout uses its own start time as
    that of the rollout.

    Args:
        node_id: This node.
        exposure_share: Share of requests that the site allows a possibly bad
            version, 0 to 1.
        record_store: The store.
        encoder: Encodes the progress for operators.
        network: Streams to peers.
        clock: Returns a monotonic time in s.

    Attributes:
        versions: Enforces the shares and counts answers by version.
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
        self._share_pct = 100 * EXPOSURE_USED_SHARE * exposure_share
        self._store = record_store
        self._encoder = encoder
        self._network = network
        self._clock = clock
        self._rollouts: dict[str, _Rollout] = {}
        self._records: dict[str, RolloutRecord] = {}
        self._judge_candidates: Sequence[str] = (node_id,)
        # The random part distinguishes the reports of a restarted process from
        # repeated reports of the earlier one.
        self._evidence_sender = f"{node_id}#{random.getrandbits(64):x}"
        self._sequence = 0
        self.versions = canary.VersionTracker(
            clock, self._on_version_stopped, cold_answers=0
        )
        network.register_handler(messages.EvidenceReport, self._on_evidence)
        network.register_handler(
            messages.StoppedVersion, self._on_peer_stopped_version
        )

    # ---- orders and records ----

    def apply_order(self, order: RolloutOrder) -> None:
        """Applies an order; one that is not newer changes nothing."""
        known = self._rollouts.get(order.service)
        if known is not None and known.order.revision >= order.revision:
            return
        if known is not None and _is_same_order(known.order, order):
            known.order = order
            return
        _LOG.info(
            "gateway: a rollout was ordered",
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
            self._set_record(rollout, record)
        self._apply_shares()

    def remove_order(self, service: str) -> None:
        """Ends a rollout whose order was removed."""
        if self._rollouts.pop(service, None) is not None:
            _LOG.info(
                "gateway: the order of the rollout of %s was removed", service
            )
            self._apply_shares()

    def apply_record(self, record: RolloutRecord) -> None:
        """Applies the progress that the store holds."""
        known = self._records.get(record.service)
        if known is not None and known.revision >= record.revision:
            return
        self._records[record.service] = record
        rollout = self._rollouts.get(record.service)
        if rollout is not None:
            self._set_record(rollout, record)
            self._apply_shares()

    def remove_record(self, service: str) -> None:
        """Removes the record of a service's rollout."""
        self._records.pop(service, None)

    def set_judge_candidates(self, nodes: Sequence[str]) -> None:
        """Sets the nodes that may be judges; all nodes set the same ones."""
        self._judge_candidates = sorted({*nodes})

    def _set_record(self, rollout: _Rollout, record: RolloutRecord) -> None:
        order = rollout.order
        # A record older than the order belongs to an earlier order.
        if record.version != order.version or record.revision < order.revision:
            return
        if rollout.has_final_record:
            return
        rollout.record = record
        if record.progress is canary.Progress.DONE:
            rollout.done_s = self._clock()
        _LOG.info(
            "gateway: the progress of a rollout was recorded",
            extra=observe.fields(
                service=order.service,
                version=order.version,
                progress=record.progress.value,
                revision=record.revision,
            ),
        )

    def _apply_shares(self) -> None:
        now_s = self._clock()
        shares = [r.compute_share(now_s) for r in self._rollouts.values()]
        self.versions.set_shares(
            [share for share in shares if share is not None]
        )

    # ---- evaluation ----

    async def run(self) -> None:
        """Sends evidence and evaluates rollouts until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(DECISION_INTERVAL_S)
                if not self._rollouts:
                    continue
                self._apply_shares()
                self._send_evidence()
                for rollout in list(self._rollouts.values()):
                    self._evaluate(rollout, nursery)

    def _select_judges(self, key: str) -> list[str]:
        ranked = sorted(
            self._judge_candidates,
            key=lambda n: xxhash.xxh64_intdigest(f"{key}/{n}".encode()),
        )
        return ranked[:JUDGE_COUNT]

    def _evaluate(self, rollout: _Rollout, nursery: trio.Nursery) -> None:
        judges = self._select_judges(rollout.key)
        if self._node_id not in judges or (
            rollout.has_final_record and self._is_stored(rollout)
        ):
            return
        now_s = self._clock()
        if rollout.has_final_record:
            self._write_when_due(
                rollout, rollout.recorded_progress, judges, now_s, nursery
            )
            return
        previous = rollout.judge.decision
        if now_s >= rollout.deadline_s:
            rollout.roll_back(REASON_NOT_RECORDED)
        decision = rollout.judge.decide(now_s, rollout.store_available)
        if decision != previous:
            self._handle_decision(rollout, decision, now_s)
        if decision.progress is canary.Progress.TAKEN_BACK:
            # Sent at each decision interval, because a message may be lost.
            self._broadcast_stopped_version(rollout.key, decision.reason)
        if decision.progress is not rollout.recorded_progress or (
            rollout.record is not None and not self._is_stored(rollout)
        ):
            self._write_when_due(
                rollout, decision.progress, judges, now_s, nursery
            )

    def _is_stored(self, rollout: _Rollout) -> bool:
        """Returns whether the store holds what this node knows as recorded.

        It does not if it was restored from a copy made before the record.
        """
        stored = self._records.get(rollout.order.service)
        return (
            stored is not None
            and stored.version == rollout.order.version
            and stored.progress is rollout.recorded_progress
        )

    def _write_when_due(
        self,
        rollout: _Rollout,
        progress: canary.Progress,
        judges: Sequence[str],
        now_s: float,
        nursery: trio.Nursery,
    ) -> None:
        stagger_s = RECORD_STAGGER_S * judges.index(self._node_id)
        if now_s >= rollout.decided_s + stagger_s and not rollout.write_pending:
            rollout.write_pending = True
            nursery.start_soon(self._write_record, rollout, progress)

    def _handle_decision(
        self, rollout: _Rollout, decision: canary.Decision, now_s: float
    ) -> None:
        rollout.decided_s = now_s
        _LOG.info(
            "gateway: the decision on a rollout changed",
            extra=observe.fields(
                service=rollout.order.service,
                version=rollout.order.version,
                progress=decision.progress.value,
                reason=decision.reason,
            ),
        )
        self._apply_shares()

    async def _write_record(
        self, rollout: _Rollout, progress: canary.Progress
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
            rollout.write_pending = False
        rollout.store_available = isinstance(outcome, result.Ok)
        if isinstance(outcome, result.Err):
            # The write may have succeeded; then the mirror delivers the record.
            _LOG.warning(
                "gateway: cannot record the rollout of %s: %s",
                order.service,
                outcome.err_value.detail,
            )
        elif outcome.ok_value.committed:
            self.apply_record(
                RolloutRecord(
                    order.service,
                    order.version,
                    progress,
                    outcome.ok_value.revision,
                )
            )

    # ---- evidence and stopped versions ----

    def _send_evidence(self) -> None:
        by_judge: dict[str, list[messages.VersionEvidence]] = {}
        for row in self.versions.drain_evidence():
            for node_id in self._select_judges(row.rollout):
                by_judge.setdefault(node_id, []).append(row)
        self._sequence += 1
        for node_id, rows in by_judge.items():
            report = messages.EvidenceReport(
                node_id=self._evidence_sender,
                sequence=self._sequence,
                evidence=rows,
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
        # Clocks differ between nodes, so rows get their time of arrival.
        window_s = int(self._clock())
        rows = [
            msgspec.structs.replace(row, window_s=window_s)
            for row in report.evidence
        ]
        stamped = messages.EvidenceReport(
            node_id=report.node_id, sequence=report.sequence, evidence=rows
        )
        for rollout in self._rollouts.values():
            rollout.judge.add_report(stamped)

    def _on_version_stopped(self, stopped: messages.StoppedVersion) -> None:
        self._roll_back(stopped.rollout, stopped.reason)
        self._broadcast_stopped_version(stopped.rollout, stopped.reason)

    async def _on_peer_stopped_version(
        self, sender: str, stopped: messages.StoppedVersion
    ) -> None:
        self._roll_back(
            stopped.rollout, f"{stopped.reason} (reported by {sender})"
        )

    def _roll_back(self, key: str, reason: str) -> None:
        for rollout in self._rollouts.values():
            if rollout.key == key and rollout.roll_back(reason):
                self._handle_decision(
                    rollout, rollout.judge.decision, self._clock()
                )

    def _broadcast_stopped_version(self, key: str, reason: str) -> None:
        stopped = messages.StoppedVersion(
            rollout=key, reason=reason, by=self._node_id
        )
        for node_id in self._network.connected_nodes():
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
                "recorded": rollout.recorded_progress.value,
                "share_pct": share.share_pct
                if (share := rollout.compute_share(now_s))
                else None,
                "judges": self._select_judges(rollout.key),
            }
            for service, rollout in sorted(self._rollouts.items())
        }


def _is_same_order(known: RolloutOrder, order: RolloutOrder) -> bool:
    """Returns whether an order was only written again after a restore."""
    return store.is_restored_since(known.revision, order.revision) and (
        dataclasses.replace(known, revision=order.revision) == order
    )
