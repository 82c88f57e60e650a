"""Endpoints that leave while the nodes that should learn of it are disturbed.

In each round, one disturbance is followed by one endpoint that leaves but
serves on. The rounds do not overlap, so that every request which reaches the
endpoint later than allowed was sent by an undisturbed node.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import math
import random

import trio

from soak import _endpoints
from soak import _site

ROUND_COUNT = 4
# Shares of the open connections that go silent.
SILENT_SHARES = (0.7, 1.0)
# An endpoint that has left may get requests for this time.
DRAIN_S = 3.0
# A node counts as disturbed for this time after a disturbance.
CONTACT_S = 4.0
# How long an endpoint serves after it has left.
SERVES_ON_S = 10.0
RESTART_DELAY_S = 0.5


class LeavingPlan:
    """Disturbs nodes and lets endpoints leave, and checks who still calls them.

    Args:
        site: The site under test.
        rng: Source of random numbers.

    Attributes:
        log: One line for each event, beginning with its time in s.
        violations: Descriptions of violated guarantees.
    """

    def __init__(self, site: _site.Site, rng: random.Random) -> None:
        self.log: list[str] = []
        self.violations: list[str] = []
        self._site = site
        self._rng = rng
        self._started_s = trio.current_time()

    async def run(self) -> None:
        """Plays all rounds."""
        await trio.sleep(CONTACT_S)
        disturbances: list[Callable[[], Awaitable[float]]] = [
            self._silence_peers,
            self._silence_store,
            self._silence_both,
            self._kill_watchers,
        ]
        for i in range(ROUND_COUNT):
            await self._play_round(
                disturbances[i % len(disturbances)], bool(i % 2)
            )

    async def _play_round(
        self, disturb: Callable[[], Awaitable[float]], drains: bool
    ) -> None:
        registered = [e for e in self._site.endpoints if not e.deregistered]
        endpoint = self._rng.choice(registered)
        zone = self._rng.choice(_site.ZONES)
        await self._site.add_endpoint(endpoint.service, zone)
        await trio.sleep(1.0)
        disturbed_s = math.inf

        async def run_disturbance() -> None:
            nonlocal disturbed_s
            disturbed_s = await disturb()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(run_disturbance)
            await trio.sleep(self._rng.uniform(0.0, 1.0))
            if drains:
                self._site.drain(endpoint)
            else:
                self._site.deregister(endpoint)
            left_s = trio.current_time()
            text = "drains" if drains else "has no entry any more"
            self._record(f"endpoint {endpoint.endpoint_id} {text}")
            await trio.sleep(SERVES_ON_S)
        self._check(endpoint, left_s, disturbed_s)
        self._site.deregister(endpoint)

    def _check(
        self,
        endpoint: _endpoints.SimulatedEndpoint,
        left_s: float,
        disturbed_s: float,
    ) -> None:
        allowed_until_s = max(left_s + DRAIN_S, disturbed_s + CONTACT_S)
        late = [a for a in endpoint.arrivals if a[0] > allowed_until_s]
        if late:
            at_s, request_id = late[0]
            self.violations.append(
                f"{len(late)} requests reached {endpoint.endpoint_id} after it "
                f"had left; {request_id} {at_s - left_s:.2f} s after it"
            )

    def _record(self, text: str) -> None:
        at_s = trio.current_time() - self._started_s
        self.log.append(f"{at_s:.2f} {text}")

    async def _silence_peers(self) -> float:
        share = self._rng.choice(SILENT_SHARES)
        count = sum(
            node.peer_proxy.silence_open_connections(share, self._rng)
            for node in self._site.nodes
        )
        self._record(f"{count} connections between nodes go silent")
        return trio.current_time()

    async def _silence_store(self) -> float:
        proxy = self._site.proxies["store"]
        share = self._rng.choice(SILENT_SHARES)
        count = proxy.silence_open_connections(share, self._rng)
        self._record(f"{count} connections to the store go silent")
        return trio.current_time()

    async def _silence_both(self) -> float:
        await self._silence_peers()
        return await self._silence_store()

    async def _kill_watchers(self) -> float:
        watchers = [n for n in self._site.nodes if await n.is_watching()]
        for node in watchers:
            node.kill()
        self._record(f"SIGKILL {', '.join(n.name for n in watchers)}")
        await trio.sleep(RESTART_DELAY_S)
        for node in watchers:
            node.start(self._site.seeds())
        return trio.current_time()
