"""Measures claims per second of one claim server.

`python -m bench.claim_keeper --seed N` starts the key-value stand-in, which is
the server's store, in a process of its own and prints one JSON object.
"""

import argparse
import json
import random
import subprocess
import sys
import time

import trio

from geraniumstair import idempotency
from geraniumstair import observe
from geraniumstair import store
from geraniumstair._generated import codes
from geraniumstair._generated import messages

CALLER_COUNT = 500
_DEADLINE_MS = 10_000


class _Callers:
    """Callers that claim new keys one after the other."""

    def __init__(
        self, claim_server: idempotency.ClaimServer, seed: int
    ) -> None:
        self._claim_server = claim_server
        self._random = random.Random(seed)
        self.granted = 0
        self.refused = 0
        self.latencies_ms: list[float] = []

    async def claim_until(self, end_s: float) -> None:
        """Claims keys until the end of the run."""
        while time.perf_counter() < end_s:
            request = messages.ClaimRequest(
                key=self._random.randbytes(32), deadline_ms=_DEADLINE_MS
            )
            started_s = time.perf_counter()
            reply = await self._claim_server.claim(request)
            elapsed_ms = (time.perf_counter() - started_s) * 1000
            self.latencies_ms.append(elapsed_ms)
            if reply.code == codes.Code.OK:
                self.granted += 1
            else:
                self.refused += 1


async def _run(port: int, seed: int, duration_s: float) -> dict[str, float]:
    metrics = observe.MetricsRegistry()
    kv_store = store.EtcdStore(
        [f"http://127.0.0.1:{port}"], prefix="bench/", registry=metrics
    )
    claim_server = idempotency.ClaimServer(kv_store)
    callers = _Callers(claim_server, seed)
    async with trio.open_nursery() as nursery:
        await nursery.start(claim_server.run)
        started_s = time.perf_counter()
        cpu_started_s = time.process_time()
        async with trio.open_nursery() as caller_nursery:
            for _ in range(CALLER_COUNT):
                caller_nursery.start_soon(
                    callers.claim_until, started_s + duration_s
                )
        elapsed_s = time.perf_counter() - started_s
        cpu_s = time.process_time() - cpu_started_s
        nursery.cancel_scope.cancel()
    transactions = (
        metrics.registry.get_sample_value(
            "geraniumstair_store_calls_total", {"kind": "txn"}
        )
        or 0.0
    )
    await kv_store.aclose()
    latencies_ms = sorted(callers.latencies_ms)
    return {
        "callers": CALLER_COUNT,
        "claims_per_s": callers.granted / elapsed_s,
        "refused": callers.refused,
        "transactions_per_s": transactions / elapsed_s,
        "claims_per_transaction": callers.granted / max(transactions, 1),
        "p50_ms": latencies_ms[len(latencies_ms) // 2],
        "p99_ms": latencies_ms[len(latencies_ms) * 99 // 100],
        "keeper_core_pct": 100 * cpu_s / elapsed_s,
    }


def main() -> None:
    """Runs the load and prints the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--duration-s", type=float, default=5)
    options = parser.parse_args()
    with subprocess.Popen(
        [sys.executable, "-m", "standins.key_value"],
        stdout=subprocess.PIPE,
        text=True,
    ) as standin:
        try:
            assert standin.stdout is not None
            port = int(standin.stdout.readline())
            results = trio.run(_run, port, options.seed, options.duration_s)
        finally:
            standin.terminate()
    print(json.dumps({k: round(v, 2) for k, v in results.items()}))


if __name__ == "__main__":
    main()
