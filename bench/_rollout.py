"""Benchmark `rollout`: concurrent rollouts of good and bad versions.

A fault is detectable once five requests that it affected have ended within
10 s and among 25 requests of the version, whether answered, failed or
cancelled. For a slow version, the first 25 requests of each endpoint do not
count, because a cold endpoint of a good version is as slow.
`bad_after_shown_s` is the longest time from when a fault was detectable to the
last request that the bad version's endpoints began to serve.
"""

import datetime
import time
from typing import Any

import trio

from bench import _context
from bench import _generator
from bench import _rollout_monitor
from bench import _rollout_plan
import devsite

_RATE_PER_S = 60.0
_ROLLOUT_S = 60.0
_QUICK_ROLLOUT_S = 20.0
_START_DELAY_S = 4.0
# The load continues after the done-by time, to detect late requests to bad
# versions.
_LOAD_AFTER_DONE_BY_S = 2.0
_NODES = 5
_ENDPOINT_PROCESSES = 4


def _format_utc(time_s: float) -> str:
    moment = datetime.datetime.fromtimestamp(time_s, datetime.UTC)
    return moment.isoformat(timespec="milliseconds")


def _build_site(options: _context.BenchOptions) -> devsite.Site:
    group = devsite.ServiceGroup(
        _rollout_plan.GROUP,
        services=len(_rollout_plan.PLANS),
        replicas=_rollout_plan.REPLICAS,
    )
    site = devsite.Site(
        devsite.SiteOptions(
            size=devsite.SiteSize("association", "osrednja", (group,)),
            node_count=_NODES,
            endpoint_processes=_ENDPOINT_PROCESSES,
            seed=options.seed,
        )
    )
    _rollout_plan.set_versions(site)
    return site


async def _sleep_until(time_s: float) -> None:
    await trio.sleep(max(0.0, time_s - time.time()))


async def _inject_faults(
    site: devsite.Site, index: int, start_s: float, rollout_s: float
) -> None:
    plan = _rollout_plan.PLANS[index]
    if plan.slowdown_start_fraction is not None:
        await _sleep_until(start_s + plan.slowdown_start_fraction * rollout_s)
        await _rollout_plan.begin_slowdown(site, index)
    if plan.fault is not None:
        if plan.fault_start_fraction:
            await _sleep_until(start_s + plan.fault_start_fraction * rollout_s)
        await _rollout_plan.begin_fault(site, index)
    if plan.cold:
        await _sleep_until(start_s - 1)
        await site.endpoint_fleet.control(
            "turn_cold", _rollout_plan.new_endpoints(index)
        )


async def _run_rollouts(
    site: devsite.Site,
    monitor: _rollout_monitor.RolloutMonitor,
    rollout_s: float,
) -> float:
    """Runs all rollouts to their end; returns their done-by time.

    The time is in s since 1970.
    """
    start_s = time.time() + _START_DELAY_S
    done_by_s = start_s + rollout_s
    document = site.document
    document.rollouts = _rollout_plan.build_rollouts(
        document.subsidiaries[0].name,
        _format_utc(start_s),
        _format_utc(done_by_s),
    )
    await site.apply(document, base=1)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(monitor.run)
        for index in range(len(_rollout_plan.PLANS)):
            nursery.start_soon(_inject_faults, site, index, start_s, rollout_s)
        await _sleep_until(done_by_s + _LOAD_AFTER_DONE_BY_S)
        nursery.cancel_scope.cancel()
    return done_by_s


def _summarize(
    monitor: _rollout_monitor.RolloutMonitor,
    reports: dict[str, Any],
    done_by_s: float,
) -> dict[str, Any]:
    rollouts: dict[str, Any] = {}
    bad_total = bad_taken_back = good_on_time = false_alarms = 0
    share_pct = after_detectable_s = 0.0
    for index, observation in enumerate(monitor.observations):
        plan = _rollout_plan.PLANS[index]
        entry = {
            "state": observation.state,
            "step": observation.step,
            "reason": observation.reason,
            "ended_before_done_by_s": round(done_by_s - observation.ended_s, 1),
            "first_step_share_pct": round(observation.share_pct, 2),
            "new_requests": observation.new_requests,
        }
        if plan.fault is None:
            on_time = (
                observation.state == "DONE" and observation.ended_s <= done_by_s
            )
            good_on_time += on_time
            false_alarms += observation.state == "TAKEN_BACK"
        else:
            names = _rollout_plan.new_endpoints(index)
            reaction = _rollout_monitor.measure_reaction(
                reports, names, slow=plan.fault["kind"] == "slow"
            )
            entry["after_shown_s"] = round(reaction.after_detectable_s, 2)
            entry["after_fifth_s"] = round(reaction.after_fifth_s, 2)
            entry["fault_shown"] = reaction.detectable
            bad_total += 1
            bad_taken_back += observation.state == "TAKEN_BACK"
            share_pct = max(share_pct, observation.share_pct)
            after_detectable_s = max(
                after_detectable_s, reaction.after_detectable_s
            )
        rollouts[plan.name] = entry
    return {
        "bad_share_pct": round(share_pct, 2),
        "bad_after_shown_s": round(after_detectable_s, 2),
        "bad_taken_back": bad_taken_back,
        "bad_total": bad_total,
        "good_on_time": good_on_time,
        "good_total": len(monitor.observations) - bad_total,
        "false_alarms": false_alarms,
        "rollouts": rollouts,
    }


async def run(options: _context.BenchOptions) -> _context.BenchResult:
    """Returns the results of all rollouts."""
    rollout_s = _QUICK_ROLLOUT_S if options.quick else _ROLLOUT_S
    result: dict[str, Any] = {}
    async with _build_site(options) as site:
        spec = _context.build_load(
            site,
            options,
            rate_per_s=_RATE_PER_S,
            duration_s=_START_DELAY_S + rollout_s + _LOAD_AFTER_DONE_BY_S,
        )
        spec.routes = _rollout_plan.ROUTES
        spec.workers = min(spec.workers, 2)
        monitor = _rollout_monitor.RolloutMonitor(site)

        async def load() -> None:
            report = await _generator.run_load(spec, site.directory, "rollout")
            result["counts"] = report.counts

        async with trio.open_nursery() as nursery:
            nursery.start_soon(load)
            done_by_s = await _run_rollouts(site, monitor, rollout_s)
        reports = await site.endpoint_fleet.fetch_reports()
    return _summarize(monitor, dict(reports), done_by_s) | result
