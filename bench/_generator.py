"""Open-loop load generator with several worker processes.

`python -m bench._generator SPEC_FILE` runs one worker, which prints its report
as one JSON line.
"""

from collections.abc import Callable
import pathlib
import sys
import time

import msgspec
import trio

from bench import _arrivals
from bench import _report
from bench import _senders
import devsite

_START_DELAY_S = 2.0
_WORKER_GRACE_S = 60.0


async def run_schedule(
    spec: _senders.LoadSpec, sender: _senders.Sender
) -> _report.LoadReport:
    """Sends one search per scheduled arrival without awaiting replies.

    Args:
        spec: The load. A schedule whose `start_s` is in the past starts at
            once.
        sender: Sends the searches.
    """
    report = _report.LoadReport()
    schedule = _arrivals.poisson_schedule(
        spec.rate_per_s, spec.duration_s, spec.seed
    )
    indexes = range(spec.worker, len(schedule), spec.workers)
    async with trio.open_nursery() as background:
        await background.start(sender.run)
        wait_s = max(0.0, spec.start_s - time.monotonic())
        start_s = trio.current_time() + wait_s
        async with trio.open_nursery() as nursery:
            for index in indexes:
                arrival_s = start_s + schedule[index]
                await trio.sleep_until(arrival_s)
                query = f"query {spec.seed}-{index}"
                nursery.start_soon(_send_one, sender, query, arrival_s, report)
        background.cancel_scope.cancel()
    return report


async def _send_one(
    sender: _senders.Sender,
    query: str,
    arrival_s: float,
    report: _report.LoadReport,
) -> None:
    counts = report.counts
    counts.sent += 1
    lag_ms = 1000 * (trio.current_time() - arrival_s)
    counts.worst_start_lag_ms = max(counts.worst_start_lag_ms, lag_ms)
    if await sender.send(query, report):
        report.record_latency(trio.current_time() - arrival_s)


async def run_load(
    spec: _senders.LoadSpec,
    directory: pathlib.Path,
    name: str,
    *,
    on_start: Callable[[], None] | None = None,
) -> _report.LoadReport:
    """Runs a load with `spec.workers` processes and merges their reports.

    Args:
        spec: The load; `worker` and `start_s` are set here.
        directory: Directory of the workers' files.
        name: Part of the file names; unique among the loads of a site.
        on_start: Called when the schedule starts.

    Raises:
        devsite.ProcessFailed: A worker failed.
    """
    spec.start_s = time.monotonic() + _START_DELAY_S
    workers: list[devsite.ManagedProcess] = []
    try:
        for index in range(spec.workers):
            spec.worker = index
            path = directory / f"load-{name}-{index}.json"
            path.write_bytes(msgspec.json.encode(spec))
            workers.append(
                devsite.ManagedProcess(
                    f"load-{name}-{index}",
                    ["-m", "bench._generator", str(path)],
                    directory,
                )
            )
        timeout_s = spec.duration_s + _WORKER_GRACE_S
        await trio.sleep(max(0.0, spec.start_s - time.monotonic()))
        if on_start is not None:
            on_start()
        lines = [await worker.wait_first_line(timeout_s) for worker in workers]
    finally:
        for worker in workers:
            worker.kill()
    reports = [
        msgspec.json.decode(line, type=_report.WorkerReport) for line in lines
    ]
    return _report.LoadReport.merge(reports)


async def _run_worker(path: pathlib.Path) -> None:
    spec = msgspec.json.decode(path.read_bytes(), type=_senders.LoadSpec)
    sender: _senders.Sender
    if spec.mode == "naive":
        sender = _senders.NaiveSender(spec)
    else:
        sender = _senders.NodeSender(spec)
    report = await run_schedule(spec, sender)
    line = msgspec.json.encode(report.to_worker_report())
    print(line.decode(), flush=True)


if __name__ == "__main__":
    trio.run(_run_worker, pathlib.Path(sys.argv[1]))
