"""Runs seeds: `python -m soak --seed 1 --seeds 3 --duration-s 15`."""

import argparse
import json
import pathlib
import random
import shutil
import sys
import tempfile
from typing import Any

import trio

from soak import _faults
from soak import _site

CALLERS = 6
# After the last fault, everything is served again within this time.
RECOVERY_S = 12.0
RECOVERY_REQUESTS = 40
LEAST_RECOVERED = 0.9


async def _run_seed(
    seed: int, duration_s: float, nodes: int, directory: pathlib.Path
) -> dict[str, Any]:
    rng = random.Random(seed)
    async with trio.open_nursery() as nursery:
        site = _site.Site(nursery, rng, directory, nodes)
        try:
            await site.start()
            plan = await _inject(site, rng, duration_s)
            recovered = await _recover(site)
            faults = [*site.tally.faults, *plan.faults]
            faults += _late_faults(site, recovered)
        finally:
            for node in site.nodes:
                node.kill()
            nursery.cancel_scope.cancel()
    tally = site.tally
    return {
        "seed": seed,
        "asked": tally.asked,
        "answered": tally.answered,
        "refused": tally.refused,
        "failed": tally.failed,
        "cut": len(tally.cuts),
        "recovered": recovered,
        "faults": faults,
        "injected": plan.log,
    }


async def _inject(
    site: _site.Site, rng: random.Random, duration_s: float
) -> _faults.FaultPlan:
    async with trio.open_nursery() as nursery:
        for caller in site.callers(CALLERS):
            nursery.start_soon(caller.run)
        async with trio.open_nursery() as faults:
            plan = _faults.FaultPlan(site, faults, rng)
            await plan.run(duration_s)
        plan.calm()
        nursery.cancel_scope.cancel()
    return plan


async def _recover(site: _site.Site) -> float:
    """Returns the share of requests answered after the faults."""
    await trio.sleep(RECOVERY_S)
    # Each node must have the newest version by now.
    caller = site.callers(1, site.shard_sets[-1:])[0]
    answered = 0
    for i in range(RECOVERY_REQUESTS):
        node = site.nodes[i % len(site.nodes)]
        answered += await caller.ask(node.name)
    return answered / RECOVERY_REQUESTS


def _late_faults(site: _site.Site, recovered: float) -> list[str]:
    faults = []
    if recovered < LEAST_RECOVERED:
        faults.append(f"only {recovered:.2f} answered after the faults")
    for (request_id, service), runs in site.log.runs.items():
        if service == "single" and runs > 1:
            faults.append(f"request {request_id} ran {runs} times")
        if service == "single" and request_id in site.tally.promised:
            faults.append(f"request {request_id} ran, but was refused")
    for node in site.nodes:
        if not node.running:
            faults.append(f"{node.name} ended by itself: {node.exit_status}")
    return faults + _cut_faults(site)


def _cut_faults(site: _site.Site) -> list[str]:
    """Returns requests that a node lost though it neither died nor paused."""
    nodes = {node.name: node for node in site.nodes}
    ran = {request_id for request_id, _ in site.log.runs}
    faults = []
    for cut in site.tally.cuts:
        if nodes[cut.node].was_disturbed(cut.from_s, cut.to_s):
            continue
        if cut.late:
            faults.append(f"request {cut.request_id}: no answer of {cut.node}")
        elif cut.request_id in ran:
            faults.append(f"request {cut.request_id} ran, {cut.node} cut it")
    return faults


def main() -> int:
    """Prints one JSON line for each seed; returns 1 if a promise broke."""
    parser = argparse.ArgumentParser(prog="python -m soak")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--duration-s", type=float, default=15.0)
    parser.add_argument("--nodes", type=int, default=5)
    options = parser.parse_args()
    broken = False
    for seed in range(options.seed, options.seed + options.seeds):
        directory = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        outcome = trio.run(
            _run_seed, seed, options.duration_s, options.nodes, directory
        )
        if outcome["faults"]:
            broken = True
            outcome["logs"] = str(directory)
        else:
            shutil.rmtree(directory)
        print(json.dumps(outcome), flush=True)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
