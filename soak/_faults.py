"""Random faults that are injected from outside the node processes."""

import pathlib
import random
import signal

import trio

from soak import _endpoints
from soak import _proxy
from soak import _site
from soak import _store

# Limit that some endpoints state, in requests a second of all nodes together.
LIMIT_PER_S = 3.0
# Share of the runs in which both endpoints of a service state a limit.
BOTH_LIMITED_SHARE = 0.4
# Requests that queued up while a process was paused complete within this
# time after the pause.
AFTER_PAUSE_S = 1.0


class FaultPlan:
    """Injects random faults, some of which overlap.

    Args:
        site: The site under test.
        nursery: Runs each fault until its end.
        rng: Source of random numbers.
        log_path: File that gets each line of the fault log at once, so that it
            remains if the run fails.

    Attributes:
        fault_log: One line for each fault, beginning with its time in s.
        violations: Descriptions of violated guarantees.
    """

    def __init__(
        self,
        site: _site.Site,
        nursery: trio.Nursery,
        rng: random.Random,
        log_path: pathlib.Path,
    ) -> None:
        self._log_path = log_path
        self.fault_log: list[str] = []
        self.violations: list[str] = []
        self._site = site
        self._nursery = nursery
        self._rng = rng
        self._started_s = trio.current_time()
        self._reserved_nodes: set[str] = set()
        self._shard_set_index = 0

    async def run(self, duration_s: float) -> None:
        """Starts faults at random intervals of 0.2 s to 1 s."""
        end_s = trio.current_time() + duration_s
        self._state_limits()
        choices = [
            self._inject_restart, self._inject_kill, self._inject_pause,
            self._send_hangup, self._inject_store_fault,
            self._inject_proxy_fault, self._compact_store_history,
            self._inject_endpoint_fault, self._inject_endpoint_fault,
            self._replace_endpoint, self._inject_endpoint_proxy_fault,
            self._switch_shard_set,
        ]  # fmt: skip
        while trio.current_time() < end_s:
            await trio.sleep(self._rng.uniform(0.2, 1.0))
            self._nursery.start_soon(self._rng.choice(choices))

    def _state_limits(self) -> None:
        # Only the node that gets a single request calls its endpoint, so the
        # check can tell the senders.
        endpoints = [e for e in self._site.endpoints if e.service == "single"]
        self._rng.shuffle(endpoints)
        both = self._rng.random() < BOTH_LIMITED_SHARE
        for endpoint in endpoints[: 1 + both]:
            self._record_fault(f"endpoint {endpoint.endpoint_id} states limit")
            endpoint.state_limit(LIMIT_PER_S)

    def clear_faults(self) -> None:
        """Clears the faults of the endpoints, the store and the proxies."""
        self._site.store.fault = _store.StoreFault.NONE
        for proxy in self._site.proxies.values():
            proxy.fault = _proxy.ProxyFault.NONE
            proxy.reset()
        for endpoint in self._site.endpoints:
            endpoint.fault = _endpoints.EndpointFault.NONE
            endpoint.limit = None

    def _record_fault(self, text: str) -> None:
        at_s = trio.current_time() - self._started_s
        line = f"{at_s:.2f} {text}"
        self.fault_log.append(line)
        with self._log_path.open("a", encoding="utf-8") as log:
            log.write(line + "\n")

    def _reserve_node(self) -> _site.Node | None:
        """Reserves a node for a fault; returns None if at most two are free."""
        free = [
            n for n in self._site.nodes if n.name not in self._reserved_nodes
        ]
        if len(free) <= 2:
            return None
        node = self._rng.choice(free)
        self._reserved_nodes.add(node.name)
        return node

    def _kill_node_process(self, node: _site.Node) -> None:
        now_s = trio.current_time()
        node.record_disturbance(now_s, now_s)
        node.kill()

    async def _start_and_release(self, node: _site.Node) -> None:
        await trio.sleep(0.2)
        node.start(self._site.seeds())
        await self._site.wait_ready(node)
        self._reserved_nodes.discard(node.name)

    async def _inject_restart(self) -> None:
        node = self._reserve_node()
        if node is None:
            return
        self._record_fault(f"SIGTERM {node.name}")
        node.signal(signal.SIGTERM)
        status = None
        with trio.move_on_after(_site.SHUTDOWN_GRACE_S):
            status = await node.wait()
        if status != 0:
            self.violations.append(
                f"{node.name} exited with {status} after SIGTERM"
            )
            self._kill_node_process(node)
        await self._start_and_release(node)

    async def _inject_kill(self) -> None:
        node = self._reserve_node()
        if node is None:
            return
        self._record_fault(f"SIGKILL {node.name}")
        self._kill_node_process(node)
        await self._start_and_release(node)

    async def _inject_pause(self) -> None:
        node = self._reserve_node()
        if node is None:
            return
        self._record_fault(f"SIGSTOP {node.name}")
        pause_s = self._rng.uniform(0.3, 3.0)
        now_s = trio.current_time()
        node.record_disturbance(now_s, now_s + pause_s + AFTER_PAUSE_S)
        node.signal(signal.SIGSTOP)
        await trio.sleep(pause_s)
        node.signal(signal.SIGCONT)
        self._reserved_nodes.discard(node.name)

    async def _send_hangup(self) -> None:
        node = self._rng.choice(self._site.nodes)
        self._record_fault(f"SIGHUP {node.name}")
        node.signal(signal.SIGHUP)

    async def _inject_store_fault(self) -> None:
        fault = self._rng.choice(list(_store.StoreFault))
        self._record_fault(f"store {fault.value}")
        self._site.store.fault = fault
        await trio.sleep(self._rng.uniform(0.5, 4.0))
        self._site.store.fault = _store.StoreFault.NONE

    async def _inject_proxy_fault(self) -> None:
        name = self._rng.choice(
            ["store", *(node.name for node in self._site.nodes)]
        )
        await self._inject_fault_into_proxy(name)

    async def _inject_endpoint_proxy_fault(self) -> None:
        registered = [
            e.endpoint_id for e in self._site.endpoints if not e.deregistered
        ]
        await self._inject_fault_into_proxy(self._rng.choice(registered))

    async def _inject_fault_into_proxy(self, name: str) -> None:
        proxy = self._site.proxies[name]
        fault = self._rng.choice(list(_proxy.ProxyFault))
        reset = fault is _proxy.ProxyFault.NONE or self._rng.random() < 0.3
        self._record_fault(f"proxy of {name} {fault.value}{' reset' * reset}")
        proxy.fault = fault
        if reset:
            proxy.reset()
        await trio.sleep(self._rng.uniform(0.5, 3.0))
        proxy.fault = _proxy.ProxyFault.NONE
        if fault in (_proxy.ProxyFault.SILENCE, _proxy.ProxyFault.ONE_WAY):
            # The proxy dropped bytes, so the connections are unusable.
            proxy.reset()

    async def _compact_store_history(self) -> None:
        self._record_fault("store compacts its history")
        self._site.store.compact_history()

    async def _inject_endpoint_fault(self) -> None:
        registered = [e for e in self._site.endpoints if not e.deregistered]
        endpoint = self._rng.choice(registered)
        endpoint.fault = self._rng.choice(list(_endpoints.EndpointFault))
        self._record_fault(
            f"endpoint {endpoint.endpoint_id} {endpoint.fault.value}"
        )
        await trio.sleep(self._rng.uniform(0.5, 3.0))
        endpoint.fault = _endpoints.EndpointFault.NONE

    async def _replace_endpoint(self) -> None:
        registered = [e for e in self._site.endpoints if not e.deregistered]
        endpoint = self._rng.choice(registered)
        self._record_fault(f"endpoint {endpoint.endpoint_id} is replaced")
        zone = self._rng.choice(_site.ZONES)
        await self._site.add_endpoint(endpoint.service, zone)
        await self._site.drain_and_deregister(endpoint)

    async def _switch_shard_set(self) -> None:
        self._shard_set_index = 1 - self._shard_set_index
        self._record_fault(f"routes name shard set {self._shard_set_index}")
        self._site.write_routes(self._shard_set_index)
