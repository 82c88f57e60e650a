"""Command line of the soak test.

Example: `python -m soak --seed 1 --seeds 3 --duration-s 15` runs seeds 1 to 3.
"""

import argparse
from collections.abc import AsyncIterator
import contextlib
import json
import pathlib
import random
import shutil
import sys
import tempfile
import traceback
from typing import Any

import trio

from soak import _faults
from soak import _leaving
from soak import _site

CALLER_COUNT = 6
# The site must have recovered this long after the last fault.
RECOVERY_S = 12.0
RECOVERY_REQUEST_COUNT = 40
MIN_RECOVERED_SHARE = 0.9
FAULT_LOG_NAME = "faults.log"


@contextlib.asynccontextmanager
async def _run_site(
    rng: random.Random, nodes: int, directory: pathlib.Path
) -> AsyncIterator[tuple[trio.Nursery, _site.Site]]:
    """Runs a site, and ends its processes and its nursery at the exit."""
    async with trio.open_nursery() as nursery:
        site = _site.Site(nursery, rng, directory, nodes)
        try:
            await site.start()
            yield nursery, site
        finally:
            for node in site.nodes:
                node.kill()
            nursery.cancel_scope.cancel()


async def _run_seed(
    seed: int, duration_s: float, nodes: int, directory: pathlib.Path
) -> dict[str, Any]:
    rng = random.Random(seed)
    async with _run_site(rng, nodes, directory) as (_, site):
        plan = await _run_with_faults(
            site, rng, duration_s, directory / FAULT_LOG_NAME
        )
        recovered = await _measure_recovery(site)
        violations = [*site.tally.violations, *plan.violations]
        violations += _find_final_violations(site, recovered)
    tally = site.tally
    return {
        "seed": seed,
        "asked": tally.asked,
        "answered": tally.answered,
        "refused": tally.refused,
        "failed": tally.failed,
        "cut": len(tally.unanswered),
        "recovered": recovered,
        "faults": violations,
        "injected": plan.fault_log,
    }


async def _run_leaving_seed(
    seed: int, nodes: int, directory: pathlib.Path
) -> dict[str, Any]:
    rng = random.Random(seed)
    async with _run_site(rng, nodes, directory) as (nursery, site):
        for caller in site.build_callers(CALLER_COUNT):
            nursery.start_soon(caller.run)
        plan = _leaving.LeavingPlan(site, rng)
        await plan.run()
    return {
        "seed": seed,
        "asked": site.tally.asked,
        "answered": site.tally.answered,
        "faults": [*site.tally.violations, *plan.violations],
        "injected": plan.log,
    }


async def _run_with_faults(
    site: _site.Site,
    rng: random.Random,
    duration_s: float,
    log_path: pathlib.Path,
) -> _faults.FaultPlan:
    async with trio.open_nursery() as nursery:
        for caller in site.build_callers(CALLER_COUNT):
            nursery.start_soon(caller.run)
        async with trio.open_nursery() as fault_nursery:
            plan = _faults.FaultPlan(site, fault_nursery, rng, log_path)
            await plan.run(duration_s)
        plan.clear_faults()
        nursery.cancel_scope.cancel()
    return plan


async def _measure_recovery(site: _site.Site) -> float:
    """Returns the share of requests answered in full after the faults."""
    await trio.sleep(RECOVERY_S)
    # Only the last shard set is allowed: by now, each node must have applied
    # the newest version of the routes.
    caller = site.build_callers(1, site.shard_sets[-1:])[0]
    answered = 0
    for i in range(RECOVERY_REQUEST_COUNT):
        node = site.nodes[i % len(site.nodes)]
        answered += await caller.send_request(node.name)
    return answered / RECOVERY_REQUEST_COUNT


def _find_final_violations(site: _site.Site, recovered: float) -> list[str]:
    violations = []
    if recovered < MIN_RECOVERED_SHARE:
        violations.append(
            f"only {recovered:.2f} of requests answered after the faults"
        )
    for (request_id, service), runs in site.run_log.runs.items():
        if service == "single" and runs > 1:
            violations.append(f"request {request_id} ran {runs} times")
        if service == "single" and request_id in site.tally.rejected_ids:
            violations.append(
                f"request {request_id} ran, but was rejected as not run"
            )
    for node in site.nodes:
        if not node.running:
            violations.append(
                f"{node.name} exited unexpectedly: status {node.exit_status}"
            )
    return violations + _find_limit_excesses(site) + _find_lost_requests(site)


def _find_limit_excesses(site: _site.Site) -> list[str]:
    nodes = {node.name: node for node in site.nodes}

    def was_disturbed(name: str, from_s: float, to_s: float) -> bool:
        node = nodes[name]
        return node.was_disturbed(from_s, to_s) or node.was_started(
            from_s, to_s
        )

    found = [
        record.find_violation(site.tally.node_names, was_disturbed)
        for record in site.run_log.limits
    ]
    return [violation for violation in found if violation]


def _find_lost_requests(site: _site.Site) -> list[str]:
    """Returns requests lost by a node that was neither killed nor paused."""
    nodes = {node.name: node for node in site.nodes}
    ran = {request_id for request_id, _ in site.run_log.runs}
    violations = []
    for lost in site.tally.unanswered:
        if nodes[lost.node].was_disturbed(lost.sent_s, lost.ended_s):
            continue
        if lost.timed_out:
            violations.append(
                f"request {lost.request_id}: no response from {lost.node}"
            )
        elif lost.request_id in ran:
            violations.append(
                f"request {lost.request_id} ran, but {lost.node} "
                "closed the connection"
            )
    return violations


def main() -> int:
    """Prints one JSON line for each seed; returns 1 after a violation."""
    parser = argparse.ArgumentParser(prog="python -m soak")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--duration-s", type=float, default=15.0)
    parser.add_argument("--nodes", type=int, default=5)
    parser.add_argument(
        "--leaving",
        action="store_true",
        help="let endpoints leave, each after one disturbance of the nodes",
    )
    options = parser.parse_args()
    violated = False
    for seed in range(options.seed, options.seed + options.seeds):
        directory = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        try:
            if options.leaving:
                outcome = trio.run(
                    _run_leaving_seed, seed, options.nodes, directory
                )
            else:
                outcome = trio.run(
                    _run_seed,
                    seed,
                    options.duration_s,
                    options.nodes,
                    directory,
                )
        except Exception as error:
            # The logs of the nodes and faults are needed most in this case.
            traceback.print_exc()
            outcome = {"seed": seed, "faults": [f"the run failed: {error!r}"]}
        if outcome["faults"]:
            violated = True
            outcome["logs"] = str(directory)
        else:
            shutil.rmtree(directory)
        print(json.dumps(outcome), flush=True)
    return 1 if violated else 0


if __name__ == "__main__":
    sys.exit(main())
