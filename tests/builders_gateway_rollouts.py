"""A simulated site whose nodes roll out a version without endpoints."""

import random

import result
import trio

from geraniumstair import canary
from geraniumstair import gateway
from geraniumstair import store
from tests import builders_gateway

SERVICE = "s1"
EXPOSURE_SHARE = 0.1
# Requests per second that each node sends.
REQUESTS_PER_S = 8


class RecordStore:
    """A fake store of rollout records with compare-and-swap.

    It delivers each record to all nodes.
    """

    def __init__(self) -> None:
        self.down = False
        self.revision = 100
        self.records: dict[str, gateway.RolloutRecord] = {}
        self.history: list[canary.Progress] = []
        self.nodes: list[gateway.Rollouts] = []
        self._pending: dict[str, gateway.RolloutRecord] = {}

    def encode_rollout(
        self, service: str, version: str, progress: canary.Progress
    ) -> store.Put:
        """Returns a write in the format that `commit` decodes."""
        value = f"{service}/{version}/{progress.value}".encode()
        return store.Put(service, value)

    async def commit(
        self, transaction: store.Transaction
    ) -> result.Result[store.CommitOutcome, store.StoreFailure]:
        """Writes a record if the compare holds."""
        await trio.sleep(0.01)
        if self.down:
            return result.Err(store.StoreFailure(store.Effect.NONE, "down"))
        compare, put = transaction.compares[0], transaction.puts[0]
        known = self.records.get(put.key)
        if compare.expected != (known.revision if known else 0):
            return result.Ok(store.CommitOutcome(False, self.revision))
        self.revision += 1
        service, version, progress = put.value.decode().split("/")
        record = gateway.RolloutRecord(
            service, version, canary.Progress(progress), self.revision
        )
        self.records[put.key] = record
        self.history.append(record.progress)
        trio.lowlevel.spawn_system_task(self._deliver_record, record)
        return result.Ok(store.CommitOutcome(True, self.revision))

    def restore(self) -> None:
        """Loses all records, as a restore from an earlier copy does."""
        self.records.clear()
        self.revision = store.order_revision(
            store.split_revision(self.revision)[0] + 1, 50
        )
        for node in self.nodes:
            node.remove_record(SERVICE)

    async def _deliver_record(self, record: gateway.RolloutRecord) -> None:
        await trio.sleep(0.1)
        for node in self.nodes:
            node.apply_record(record)


class RolloutSite:
    """Simulated nodes that send requests to an old and a new version.

    Args:
        nursery: Runs the nodes.
        count: Number of nodes.

    Attributes:
        failure_share: Share of failures in the answers of the new version, 0
            to 1.
        slow: The new version takes ten times as long as the old one.
        new_version_sent_s: Times of the requests to the new version.
        request_count: Number of requests to both versions.
    """

    def __init__(self, nursery: trio.Nursery, count: int = 7) -> None:
        self.store = RecordStore()
        self.networks: dict[str, builders_gateway.FakeNetwork] = {}
        self.nodes: dict[str, gateway.Rollouts] = {}
        self.failure_share = 0.0
        self.slow = False
        self.new_version_sent_s: list[float] = []
        self.request_count = 0
        self._rng = random.Random(1)
        names = [f"n{i}" for i in range(count)]
        for name in names:
            network = builders_gateway.FakeNetwork(name, self.networks)
            node = gateway.Rollouts(
                name,
                EXPOSURE_SHARE,
                self.store,
                self.store,
                network,
                trio.current_time,
            )
            node.set_judge_candidates(names)
            self.nodes[name] = node
            self.store.nodes.append(node)
            nursery.start_soon(node.run)
            nursery.start_soon(self._send_requests, node)

    def order_rollout(
        self, version: str = "v2", duration_s: float = 12.0
    ) -> None:
        """Orders a rollout on all nodes, as an operator does."""
        self.store.revision += 1
        for node in self.nodes.values():
            node.apply_order(
                gateway.RolloutOrder(
                    SERVICE, version, duration_s, self.store.revision
                )
            )

    def judges(self) -> list[str]:
        """Returns the judges of the rollout."""
        node = next(iter(self.nodes.values()))
        return list(node.dump()[SERVICE]["judges"])

    async def _send_requests(self, node: gateway.Rollouts) -> None:
        while True:
            await trio.sleep(self._rng.uniform(0.5, 1.5) / REQUESTS_PER_S)
            self.request_count += 1
            gate = node.versions.find_gate(SERVICE)
            new = gate is not None and gate.allows("v2")
            if gate is not None:
                gate.count_request("v2" if new else "v1")
            if new:
                self.new_version_sent_s.append(trio.current_time())
            self._answer(node, new)

    def _answer(self, node: gateway.Rollouts, new: bool) -> None:
        latency_ms = self._rng.uniform(20, 40)
        if new and self.slow:
            latency_ms *= 10
        answer = canary.Answer("e", latency_ms, abandoned=False)
        fails = new and self._rng.random() < self.failure_share
        node.versions.record_result(
            SERVICE, "v2" if new else "v1", "r", None if fails else answer
        )
