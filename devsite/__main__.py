"""Command line that starts a local site and runs a search.

Usage: `python -m devsite [--once]`. Without `--once`, the site runs until
SIGINT or SIGTERM.
"""

import argparse
import json
import signal
import sys

import trio

from devsite import _caller
from devsite import _documents
from devsite import _processes
from devsite import _site


def _parse_arguments(arguments: list[str]) -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="python -m devsite")
    parser.add_argument(
        "--size", choices=sorted(_documents.SIZES), default="small"
    )
    parser.add_argument("--nodes", type=int, default=7)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--once", action="store_true", help="stop after the first search"
    )
    parser.add_argument("--query", default="oak leaf")
    return parser.parse_args(arguments)


async def _search(site: _site.Site, query: str) -> _caller.CallerReply:
    size = site.options.size
    service_set = site.document.subsidiaries[0].service_sets[0].name
    port = site.caller_port(site.node_ids[0])
    async with _caller.CallerClient(port) as client:
        return await client.search(size.subsidiary, service_set, query)


def _print_instructions(site: _site.Site, query: str) -> None:
    node_id = site.node_ids[0]
    size = site.options.size
    service_set = site.document.subsidiaries[0].service_sets[0].name
    body = json.dumps(
        {
            "subsidiary": size.subsidiary,
            "service_set": service_set,
            "query": query,
        }
    )
    caller_url = f"http://127.0.0.1:{site.caller_port(node_id)}"
    operator_url = site.operator_url(node_id)
    token_path = site.write_token_file()
    print(
        f"Search:   curl -s {caller_url}{_caller.SEARCH_PATH} -d '{body}' "
        "-H 'content-type: application/json'"
    )
    print(f"Console:  {operator_url}")
    print(
        f"Commands: export GERANIUMSTAIR_OPERATOR={operator_url} "
        f"GERANIUMSTAIR_CALLER={caller_url} "
        f"GERANIUMSTAIR_TOKEN=$(cat {token_path})"
    )
    print(f"Logs:     {site.directory}")
    print("Stop:     Ctrl-C", flush=True)


async def _wait_for_signal() -> None:
    with trio.open_signal_receiver(signal.SIGINT, signal.SIGTERM) as received:
        async for _ in received:
            return


async def _run_site(options: argparse.Namespace) -> int:
    site_options = _site.SiteOptions(
        size=_documents.SIZES[options.size],
        node_count=options.nodes,
        seed=options.seed,
    )
    async with _site.Site(site_options) as site:
        reply = await _search(site, options.query)
        print(json.dumps(reply.answer, indent=2), flush=True)
        if not options.once:
            _print_instructions(site, options.query)
            await trio.sleep_forever()
    return 0 if reply.status == 200 else 1


async def _run(options: argparse.Namespace) -> int:
    status = 0
    async with trio.open_nursery() as nursery:

        async def stop_on_signal() -> None:
            await _wait_for_signal()
            nursery.cancel_scope.cancel()

        nursery.start_soon(stop_on_signal)
        try:
            status = await _run_site(options)
        except _processes.ProcessFailed as error:
            print(f"devsite: {error}", file=sys.stderr)
            status = 1
        nursery.cancel_scope.cancel()
    return status


if __name__ == "__main__":
    sys.exit(trio.run(_run, _parse_arguments(sys.argv[1:])))
