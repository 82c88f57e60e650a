"""Seeded faults, injected from outside the processes."""

import random
import signal

import trio

from soak import _endpoints
from soak import _proxy
from soak import _site
from soak import _store

# What waited while a process stood still is done after it.
AFTER_PAUSE_S = 1.0


class FaultPlan:
    """Injects faults in series and overlapping.

    Args:
        site: The site.
        nursery: Runs faults that last.
        rng: Source of the choices.

    Attributes:
        log: One line for each fault, with its time in s.
        faults: Broken promises of the processes.
    """

    def __init__(
        self, site: _site.Site, nursery: trio.Nursery, rng: random.Random
    ) -> None:
        self.log: list[str] = []
        self.faults: list[str] = []
        self._site = site
        self._nursery = nursery
        self._rng = rng
        self._started_s = trio.current_time()
        self._busy: set[str] = set()
        self._set = 0

    async def run(self, duration_s: float) -> None:
        """Starts a fault each half second or so."""
        end_s = trio.current_time() + duration_s
        choices = [
            self._restart_node, self._kill_node, self._pause_node, self._hangup,
            self._store_fault, self._proxy_fault, self._forget,
            self._endpoint_fault, self._endpoint_fault, self._replace_endpoint,
            self._endpoint_proxy_fault, self._change_routes,
        ]  # fmt: skip
        while trio.current_time() < end_s:
            await trio.sleep(self._rng.uniform(0.2, 1.0))
            self._nursery.start_soon(self._rng.choice(choices))

    def calm(self) -> None:
        """Ends the faults of endpoints, store and proxy."""
        self._site.store.fault = _store.StoreFault.NONE
        for proxy in self._site.proxies.values():
            proxy.fault = _proxy.ProxyFault.NONE
            proxy.reset()
        for endpoint in self._site.endpoints:
            endpoint.fault = _endpoints.EndpointFault.NONE

    def _note(self, text: str) -> None:
        at_s = trio.current_time() - self._started_s
        self.log.append(f"{at_s:.2f} {text}")

    def _take_node(self) -> _site.Node | None:
        """Returns a node without a fault; at least two stay untouched."""
        free = [n for n in self._site.nodes if n.name not in self._busy]
        if len(free) <= 2:
            return None
        node = self._rng.choice(free)
        self._busy.add(node.name)
        return node

    def _kill(self, node: _site.Node) -> None:
        now_s = trio.current_time()
        node.disturb(now_s, now_s)
        node.kill()

    async def _restart(self, node: _site.Node) -> None:
        await trio.sleep(0.2)
        node.start(self._site.seeds())
        await self._site.wait_ready(node)
        self._busy.discard(node.name)

    async def _restart_node(self) -> None:
        node = self._take_node()
        if node is None:
            return
        self._note(f"SIGTERM {node.name}")
        node.signal(signal.SIGTERM)
        status = None
        with trio.move_on_after(_site.GRACE_S):
            status = await node.wait()
        if status != 0:
            self.faults.append(f"{node.name} ended with {status} after SIGTERM")
            self._kill(node)
        await self._restart(node)

    async def _kill_node(self) -> None:
        node = self._take_node()
        if node is None:
            return
        self._note(f"SIGKILL {node.name}")
        self._kill(node)
        await self._restart(node)

    async def _pause_node(self) -> None:
        node = self._take_node()
        if node is None:
            return
        self._note(f"SIGSTOP {node.name}")
        pause_s = self._rng.uniform(0.3, 3.0)
        now_s = trio.current_time()
        node.disturb(now_s, now_s + pause_s + AFTER_PAUSE_S)
        node.signal(signal.SIGSTOP)
        await trio.sleep(pause_s)
        node.signal(signal.SIGCONT)
        self._busy.discard(node.name)

    async def _hangup(self) -> None:
        node = self._rng.choice(self._site.nodes)
        self._note(f"SIGHUP {node.name}")
        node.signal(signal.SIGHUP)

    async def _store_fault(self) -> None:
        fault = self._rng.choice(list(_store.StoreFault))
        self._note(f"store {fault.value}")
        self._site.store.fault = fault
        await trio.sleep(self._rng.uniform(0.5, 4.0))
        self._site.store.fault = _store.StoreFault.NONE

    async def _proxy_fault(self) -> None:
        name = self._rng.choice(
            ["store", *(node.name for node in self._site.nodes)]
        )
        await self._disturb_proxy(name)

    async def _endpoint_proxy_fault(self) -> None:
        living = [e.endpoint_id for e in self._site.endpoints if not e.gone]
        await self._disturb_proxy(self._rng.choice(living))

    async def _disturb_proxy(self, name: str) -> None:
        proxy = self._site.proxies[name]
        fault = self._rng.choice(list(_proxy.ProxyFault))
        reset = fault is _proxy.ProxyFault.NONE or self._rng.random() < 0.3
        self._note(f"proxy of {name} {fault.value}{' reset' * reset}")
        proxy.fault = fault
        if reset:
            proxy.reset()
        await trio.sleep(self._rng.uniform(0.5, 3.0))
        proxy.fault = _proxy.ProxyFault.NONE
        if fault in (_proxy.ProxyFault.SILENCE, _proxy.ProxyFault.ONE_WAY):
            # Bytes were dropped, so the connections cannot go on.
            proxy.reset()

    async def _forget(self) -> None:
        self._note("store forgets its history")
        self._site.store.forget()

    async def _endpoint_fault(self) -> None:
        living = [e for e in self._site.endpoints if not e.gone]
        endpoint = self._rng.choice(living)
        endpoint.fault = self._rng.choice(list(_endpoints.EndpointFault))
        self._note(f"endpoint {endpoint.endpoint_id} {endpoint.fault.value}")
        await trio.sleep(self._rng.uniform(0.5, 3.0))
        endpoint.fault = _endpoints.EndpointFault.NONE

    async def _replace_endpoint(self) -> None:
        living = [e for e in self._site.endpoints if not e.gone]
        endpoint = self._rng.choice(living)
        self._note(f"endpoint {endpoint.endpoint_id} is replaced")
        zone = self._rng.choice(_site.ZONES)
        await self._site.add_endpoint(endpoint.service, zone)
        await self._site.drain(endpoint)

    async def _change_routes(self) -> None:
        self._set = 1 - self._set
        self._note(f"routes name shard set {self._set}")
        self._site.change_routes(self._set)
