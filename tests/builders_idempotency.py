"""Builders of claims, and two claim servers that share a store."""

from collections.abc import Awaitable
from collections.abc import Callable
import hashlib

import trio
import trio.testing

from geraniumstair import idempotency
from geraniumstair._generated import codes
from geraniumstair._generated import messages
from standins import key_value


def build_key(text: str) -> bytes:
    """Returns a claim key."""
    return hashlib.sha256(text.encode()).digest()


def build_keys_of_bucket(bucket: int, count: int) -> list[bytes]:
    """Returns distinct keys of one bucket."""
    return [
        bytes([bucket]) + build_key(str(index))[1:] for index in range(count)
    ]


def build_request(
    key: bytes, deadline_ms: float = 500
) -> messages.ClaimRequest:
    return messages.ClaimRequest(key=key, deadline_ms=deadline_ms)


class ClaimSite:
    """Two claim servers on one store, with separate injected store faults.

    Attributes:
        now_ms: Wall-clock time of both servers in ms.
    """

    def __init__(self, nursery: trio.Nursery, timeout_ms: float = 100) -> None:
        self.nursery = nursery
        self.state = key_value.KeyValueState()
        self.now_ms = 1_000_000_000
        self._scopes: dict[idempotency.ClaimServer, trio.CancelScope] = {}
        self.stores = [
            key_value.InProcessStore(self.state, timeout_ms=timeout_ms)
            for _ in range(2)
        ]
        self.claim_servers = [
            idempotency.ClaimServer(s, now_ms=lambda: self.now_ms)
            for s in self.stores
        ]

    async def start(self) -> None:
        for claim_server in self.claim_servers:
            await self.nursery.start(self._run_claim_server, claim_server)

    async def restart(self, index: int) -> None:
        """Replaces a claim server by a new one with no state in memory."""
        self._scopes.pop(self.claim_servers[index]).cancel()
        self.claim_servers[index] = idempotency.ClaimServer(
            self.stores[index], now_ms=lambda: self.now_ms
        )
        await self.nursery.start(
            self._run_claim_server, self.claim_servers[index]
        )

    async def _run_claim_server(self, claim_server, task_status) -> None:
        with trio.CancelScope() as scope:
            self._scopes[claim_server] = scope
            await claim_server.run(task_status=task_status)

    async def claim(
        self, server_index: int, key: bytes, deadline_ms: float = 500
    ) -> codes.Code:
        reply = await self.claim_servers[server_index].claim(
            build_request(key, deadline_ms)
        )
        return codes.Code(reply.code)


def run_with_site(
    test: Callable[[ClaimSite], Awaitable[None]], timeout_ms: float = 100
) -> None:
    async def main() -> None:
        async with trio.open_nursery() as nursery:
            site = ClaimSite(nursery, timeout_ms)
            await site.start()
            await test(site)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
