"""Runs a benchmark: `python -m bench NAME --seed N [--quick] [--json]`."""

import argparse
from collections.abc import Awaitable
from collections.abc import Callable
import pathlib
import sys
import time

import msgspec
import trio
import yaml

from bench import _coldstart
from bench import _config
from bench import _context
from bench import _control
from bench import _cost
from bench import _direct
from bench import _once
from bench import _outage
from bench import _overload
from bench import _rollout
from bench import _shutdown
from bench import _tail
from bench import _zone
import devsite

Benchmark = Callable[[_context.BenchOptions], Awaitable[_context.BenchResult]]

BENCHMARKS: dict[str, Benchmark] = {
    "coldstart": _coldstart.run,
    "config": _config.run,
    "control": _control.run,
    "cost": _cost.run,
    "cost-baseline": _cost.run_baseline,
    "direct": _direct.run,
    "once": _once.run,
    "outage": _outage.run,
    "overload": _overload.run,
    "rollout": _rollout.run,
    "shutdown": _shutdown.run,
    "tail": _tail.run,
    "zone": _zone.run,
}


def _parse(arguments: list[str]) -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="python -m bench")
    parser.add_argument("name", choices=sorted(BENCHMARKS))
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--workers", type=int, default=3)
    parser.add_argument("--endpoint-processes", type=int, default=6)
    parser.add_argument(
        "--routing", choices=("owner", "local"), default="owner"
    )
    parser.add_argument("--slot-use", type=float, metavar="PCT")
    parser.add_argument("--mean-service-ms", type=float, default=10.0)
    parser.add_argument("--duration-s", type=float)
    parser.add_argument("--profile", type=pathlib.Path, metavar="DIRECTORY")
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--json", action="store_true", dest="as_json")
    return parser.parse_args(arguments)


def _run(
    bench: Benchmark, options: _context.BenchOptions
) -> _context.BenchResult | None:
    result: _context.BenchResult | None = None
    try:
        result = trio.run(bench, options)
    except* devsite.ProcessFailed as failures:
        for failure in failures.exceptions:
            print(f"bench: {failure}", file=sys.stderr)
    return result


def main(arguments: list[str]) -> int:
    """Runs one benchmark and prints its result; returns the exit status."""
    options = _parse(arguments)
    bench_options = _context.BenchOptions(
        seed=options.seed,
        quick=options.quick,
        workers=options.workers,
        endpoint_processes=options.endpoint_processes,
        profile_directory=options.profile,
        routing=options.routing,
        slot_use_pct=options.slot_use,
        mean_service_ms=options.mean_service_ms,
        duration_s=options.duration_s,
    )
    started_s = time.monotonic()
    result = _run(BENCHMARKS[options.name], bench_options)
    if result is None:
        return 1
    elapsed_s = round(time.monotonic() - started_s, 1)
    report = {
        "bench": options.name,
        "seed": options.seed,
        "quick": options.quick,
        "elapsed_s": elapsed_s,
    } | dict(result)
    if options.as_json:
        print(msgspec.json.encode(report).decode())
    else:
        print(yaml.safe_dump(msgspec.to_builtins(report), sort_keys=False))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
