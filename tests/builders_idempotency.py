"""Builders of claims, and two claim keepers that share a store."""

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
    """Two claim keepers on one store, with separate injected store faults.

    Attributes:
        now_ms: Wall-clock time of both keepers in ms.
    """

    def __init__(self, nursery: trio.Nursery, timeout_ms: float = 100) -> None:
        self.nursery = nursery
        self.state = key_value.KeyValueState()
        self.now_ms = 1_000_000_000
        self._scopes: dict[idempotency.ClaimKeeper, trio.CancelScope] = {}
        self.stores = [
            key_value.InProcessStore(self.state, timeout_ms=timeout_ms)
            for _ in range(2)
        ]
        self.keepers = [
            idempotency.ClaimKeeper(s, now_ms=lambda: self.now_ms)
            for s in self.stores
        ]

    async def start(self) -> None:
        for keeper in self.keepers:
            await self.nursery.start(self._run_keeper, keeper)

    async def restart(self, index: int) -> None:
        """Cancels a keeper and starts a new one with no state in memory."""
        self._scopes.pop(self.keepers[index]).cancel()
        self.keepers[index] = idempotency.ClaimKeeper(
            self.stores[index], now_ms=lambda: self.now_ms
        )
        await self.nursery.start(self._run_keeper, self.keepers[index])

    async def _run_keeper(self, keeper, task_status) -> None:
        with trio.CancelScope() as scope:
            self._scopes[keeper] = scope
            await keeper.run(task_status=task_status)

    async def claim(
        self, keeper: int, key: bytes, deadline_ms: float = 500
    ) -> codes.Code:
        reply = await self.keepers[keeper].claim(
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
