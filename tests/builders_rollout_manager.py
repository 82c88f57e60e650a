"""Nodes with rollout managers that share one store, on a virtual clock."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import types

import trio
import trio.testing

from geraniumstair import configuration
from geraniumstair import rollout
from geraniumstair._generated import messages
from standins import key_value
from tests import builders_rollout

WALL_S = builders_rollout.START_S
ROUTES = ("search", "history")


def build_topology(
    *rules: configuration.RolloutRule, versions: Sequence[str] = ("v1", "v2")
) -> configuration.Topology:
    """Returns a document with one service and the given rollouts."""
    key = configuration.ShardKey("acme/s0", "p0", "r1")
    endpoints = [
        configuration.EndpointSpec(
            name=f"e-{version}",
            address="127.0.0.1",
            port=1000 + index,
            availability_zone="az-a",
            vm=f"vm-{version}",
            version=version,
            slots=2,
            connections=25,
        )
        for index, version in enumerate(versions)
    ]
    return configuration.Topology(
        revision=1,
        availability_zones=types.MappingProxyType({}),
        services=types.MappingProxyType({}),
        service_sets=types.MappingProxyType({}),
        endpoints=types.MappingProxyType({key: endpoints}),
        rollouts=types.MappingProxyType({rule.name: rule for rule in rules}),
    )


@dataclasses.dataclass
class _Peers:
    """Queues a node's messages for `RolloutManagerSite.deliver`."""

    site: "RolloutManagerSite"
    index: int

    def find_judge(self, rollout_key: str) -> str:
        del rollout_key
        return f"n{self.site.judges[self.index]}"

    def send(self, node_id: str, message: object) -> bool:
        self.site.outbox.append((self.index, int(node_id[1:]), message))
        return True

    def list_neighbours(self) -> Sequence[str]:
        count = len(self.site.managers)
        return [f"n{i}" for i in range(count) if i != self.index]


class RolloutManagerSite:
    """Nodes with a rollout manager each, which share the data of one store.

    Attributes:
        judges: For each node, index of the node that it considers the judge.
        cut_off: Indexes of nodes whose messages are lost in both directions.
        paused: Indexes of nodes that do not run.
    """

    def __init__(
        self, topology: configuration.Topology, count: int = 2
    ) -> None:
        state = key_value.KeyValueState()
        self.topology = topology
        self.stores = [
            key_value.InProcessStore(state, timeout_ms=100)
            for _ in range(count)
        ]
        self.rollout_stores = [rollout.RolloutStore(s) for s in self.stores]
        self.rollout_states = [rollout.RolloutStates() for _ in range(count)]
        self.judges = [0] * count
        self.cut_off: set[int] = set()
        self.paused: set[int] = set()
        self.outbox: list[tuple[int, int, object]] = []
        self.managers: list[rollout.RolloutManager] = []
        for index in range(count):
            self.managers.append(self._build_manager(index))
        self._sequence = 0

    def _build_manager(self, index: int) -> rollout.RolloutManager:
        manager = rollout.RolloutManager(
            f"n{index}",
            self.rollout_stores[index],
            _Peers(self, index),
            self.rollout_states[index],
            self.wall_s,
        )
        manager.apply_topology(self.topology)
        return manager

    def wall_s(self) -> float:
        """Returns the time in s since 1970."""
        return WALL_S + trio.current_time()

    def apply_topology(self, topology: configuration.Topology) -> None:
        """Applies another document on all nodes."""
        self.topology = topology
        for manager in self.managers:
            manager.apply_topology(topology)

    def restart(self, index: int) -> None:
        """Replaces a node by one without any rollout state."""
        self.rollout_states[index] = rollout.RolloutStates()
        self.managers[index] = self._build_manager(index)

    def set_judge(self, index: int) -> None:
        """Sets the node that all nodes consider the judge."""
        self.judges = [index] * len(self.managers)

    async def deliver(self) -> None:
        """Delivers all queued messages, and those sent in response."""
        while self.outbox:
            sender, receiver, message = self.outbox.pop(0)
            unreachable = self.cut_off | self.paused
            if sender in unreachable or receiver in unreachable:
                continue
            manager = self.managers[receiver]
            if isinstance(message, messages.RolloutState):
                await manager.handle_state(f"n{sender}", message)
            elif isinstance(message, messages.EvidenceReport):
                await manager.handle_report(f"n{sender}", message)

    def report(self, requests: int, *, failed: int = 0) -> None:
        """Reports requests of both versions from the last node to its judge.

        Args:
            requests: Requests of each version on each route.
            failed: Failed ones among those of the new version.
        """
        manager = self.managers[-1]
        rule = next(iter(self.topology.rollouts.values()))
        window_s = int(self.wall_s())
        rows = []
        for route in ROUTES:
            for version, failures in (("v1", 0), ("v2", failed)):
                row = builders_rollout.build_row(
                    version,
                    window_s,
                    route=route,
                    completed=requests - failures,
                    failed=failures,
                )
                row.rollout = rule.key
                rows.append(row)
        manager.add_evidence(rows)

    async def run(
        self, duration_s: float, *, requests: int = 20, failed: int = 0
    ) -> None:
        """Runs all nodes and reports evidence, every half second."""
        for _ in range(int(duration_s * 2)):
            if requests:
                self.report(requests, failed=failed)
            await self.deliver()
            for index, manager in enumerate(self.managers):
                if index not in self.paused:
                    await manager.run_once()
            await self.deliver()
            await trio.sleep(0.5)

    def known_state(self, index: int) -> tuple[str, int, str]:
        """Returns state, step and reason of the rollout as known to a node."""
        rule = next(iter(self.topology.rollouts.values()))
        state = self.rollout_states[index].find_state(rule.key)
        if state is None:
            return "", 0, ""
        return state.state, state.step, state.reason

    async def load_stored(self, index: int = -1) -> rollout.StoredRollout:
        """Returns the stored records of the document's rollout."""
        rule = next(iter(self.topology.rollouts.values()))
        return (await self.rollout_stores[index].load(rule.key)).unwrap()


def run(
    check: Callable[[RolloutManagerSite], Awaitable[None]],
    *rules: configuration.RolloutRule,
    count: int = 2,
) -> None:
    """Runs a check on nodes with the given rollouts."""

    async def main() -> None:
        used_rules = rules or (builders_rollout.build_rule(),)
        await check(RolloutManagerSite(build_topology(*used_rules), count))

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
