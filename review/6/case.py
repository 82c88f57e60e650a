"""Case 6: a search whose parts another node merges by a newer route."""

import asyncio
import heapq
import pathlib
import random

from review.harness_2 import case
from review.harness_2 import clients
from review.harness_2 import nodes
from review.harness_2 import record
from review.harness_2 import servers
from review.harness_2 import store

MACHINES = {"rimouski": 3, "matane": 2, "trois-pistoles": 2}
CLIENTS = {"rimouski": 21, "matane": 19, "trois-pistoles": 26}
# Two servers of each shard. Neither outer zone has a server of all shards.
SHARDS = {f"shard-{i}": ("rimouski", "matane") for i in range(8)} | {
    f"shard-{i}": ("matane", "trois-pistoles") for i in range(8, 16)
}
REQUESTS_PER_S = 45.0
FROST_SHARE = 0.75
RECORD_BYTES = 16
# Records of an answer, of all plots and of the route that comes and goes.
TOP_RECORDS = 50
FROST_RECORDS = 5
LIMIT_MS = 1500
FROST_LIMIT_MS = 600
# A storm of changes, as long and as dense as that of the small sites.
STORM_S = 4.0
CHANGE_INTERVAL_S = 0.33
PAUSE_S = 2.0
END_S = 84.0


def _build_route(
    name: str, prefix: str, top_k: int, limit_ms: int, goal_ms: int
) -> dict[str, object]:
    return {
        "Name": name, "Host": clients.HOST, "Prefix": prefix,
        "RouteType": "idempotent", "TimeoutMs": limit_ms,
        "LatencyGoalMs": goal_ms, "Priority": 1, "MaxAttempts": 2,
        "FanoutServices": list(SHARDS), "TopK": top_k,
        "MinShardRatio": 0.75,
    }  # fmt: skip


def build_config(version: int, *, with_frost: bool) -> dict[str, object]:
    """Returns a desired state with or without the route `/plots/frost/`."""
    routes = [_build_route("plots", "/plots/", TOP_RECORDS, LIMIT_MS, 183)]
    if with_frost:
        routes.append(
            _build_route(
                "frost", "/plots/frost/", FROST_RECORDS, FROST_LIMIT_MS, 71
            )
        )
    return {
        "Version": version,
        "Routes": routes,
        "Services": [
            {
                "Name": name, "HealthPath": "/health", "MaxConns": 26,
                "Protocol": "h1", "Tls": False, "WarmupS": 3.0,
                "WarmupPerS": 0.0,
            }
            for name in SHARDS
        ],
        "Limits": {
            "MaxHeaderBytes": 16384, "MaxBodyBytes": 262144,
            "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000,
        },
    }  # fmt: skip


async def _send(senders: clients.Clients, log: record.Record) -> None:
    rng = random.Random(7)
    while log.now_s < END_S:
        plot = f"{rng.getrandbits(24):x}"
        if rng.random() < FROST_SHARE:
            senders.send(f"/plots/frost/{plot}", FROST_LIMIT_MS)
        else:
            senders.send(f"/plots/{plot}/2f", LIMIT_MS)
        await asyncio.sleep(rng.expovariate(REQUESTS_PER_S))


async def _change(platform: store.Store, log: record.Record) -> None:
    rng = random.Random(8)
    version = 7
    with_frost = False
    while log.now_s + PAUSE_S + STORM_S < END_S:
        await asyncio.sleep(PAUSE_S)
        for _ in range(int(STORM_S / CHANGE_INTERVAL_S)):
            version += rng.randint(1, 3)
            with_frost = not with_frost
            config = build_config(version, with_frost=with_frost)
            platform.put("op/config", config)
            routes = "with" if with_frost else "without"
            log.add(f"the store confirms version {version}, {routes} frost")
            await asyncio.sleep(CHANGE_INTERVAL_S)


def _find_greatest(bodies: list[bytes], count: int) -> bytes:
    records = [
        body[i : i + RECORD_BYTES]
        for body in bodies
        for i in range(0, len(body) // RECORD_BYTES * RECORD_BYTES, 16)
    ]
    return b"".join(heapq.nlargest(count, records))


def check(attempt: clients.Attempt, answers: dict[str, servers.Answer]) -> str:
    """Returns what is wrong with a success; empty if nothing is."""
    assert attempt.answer is not None
    headers = attempt.answer.headers
    stamps = [s.strip() for s in headers["x-part-stamps"].split(",")]
    parts = [answers.get(stamp) for stamp in stamps]
    known = [p for p in parts if p and p.attempt == attempt.attempt]
    named = {part.service for part in known}
    missing = int(headers.get("x-parts-missing", 0))
    if len(known) < len(stamps) or len(named) < len(stamps):
        return "a part is no answer to it, or two are of one service"
    if len(named) + missing != len(SHARDS):
        return "its parts don't make up the set"
    body = attempt.answer.body
    bodies = [part.body for part in known]
    allowed = {TOP_RECORDS}
    if attempt.target.startswith("/plots/frost/"):
        # Either version may be in force.
        allowed.add(FROST_RECORDS)
    if any(body == _find_greatest(bodies, count) for count in allowed):
        return ""
    right = set(_split(_find_greatest(bodies, TOP_RECORDS)))
    wrong = sum(record not in right for record in _split(body))
    return (
        f"{len(body) // RECORD_BYTES} records of {len(known)} parts, of which "
        f"{wrong} aren't among the greatest {TOP_RECORDS}"
    )


def _split(body: bytes) -> list[bytes]:
    return [
        body[i : i + RECORD_BYTES] for i in range(0, len(body), RECORD_BYTES)
    ]


async def play(log: record.Record, trouble: bool) -> list[str]:
    """Plays the case; returns the answers that broke the rule."""
    platform = store.Store()
    await platform.start()
    platform.put("op/config", build_config(7, with_frost=False))
    answers: dict[str, servers.Answer] = {}
    runs: dict[str, list[str]] = {}
    for number, (shard, zones) in enumerate(SHARDS.items()):
        kind = servers.Kind(shard, 2, 12, 26, 0.02, 1000)
        for zone in zones:
            server = servers.Server(
                f"{number}{zone[0]}", kind, zone, platform, log, answers,
                runs=runs,
            )  # fmt: skip
            await server.start()
    fleet = nodes.Fleet(MACHINES, platform)
    try:
        await fleet.start()
        await asyncio.sleep(5)
        log.restart_clock()
        senders = clients.Clients(fleet, log, CLIENTS, 7)
        traffic = asyncio.ensure_future(_send(senders, log))
        if trouble:
            await _change(platform, log)
        await traffic
        await senders.wait()
    finally:
        await fleet.end()
    for name, ran_on in runs.items():
        log.add(f"{name} ran on {' '.join(ran_on)}")
    breaks = []
    successes = 0
    for attempt in senders.attempts:
        if attempt.answer is None or attempt.answer.status != 200:
            continue
        successes += 1
        fault = check(attempt, answers)
        if fault:
            breaks.append(
                f"MIXED: {attempt.attempt} ({attempt.target}) sent at "
                f"{attempt.sent_s:.3f} s to {attempt.node}: {fault}"
            )
    log.add(f"{successes} successes of {len(senders.attempts)} attempts")
    return breaks


if __name__ == "__main__":
    case.run(pathlib.Path(__file__).parent, play)
