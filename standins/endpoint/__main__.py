"""Runs endpoint stand-ins: `python -m standins.endpoint --config FILE`."""

import argparse
import pathlib
import sys

import msgspec
import trio

from standins.endpoint import _server
from standins.endpoint import _settings


def _parse(arguments: list[str]) -> _settings.ProcessSettings:
    parser = argparse.ArgumentParser(prog="python -m standins.endpoint")
    parser.add_argument("--config", type=pathlib.Path)
    parser.add_argument("--control-port", type=int, default=0)
    parser.add_argument(
        "--set",
        action="append",
        default=[],
        metavar="NAME=VALUE",
        help="setting of a single endpoint; ignored with --config",
    )
    options = parser.parse_args(arguments)
    if options.config is not None:
        return _settings.load(options.config)
    fields = dict(item.split("=", 1) for item in options.set)
    fields.setdefault("name", "endpoint")
    endpoint = msgspec.convert(fields, _settings.EndpointSettings, strict=False)
    return _settings.ProcessSettings(
        control_port=options.control_port, endpoints=(endpoint,)
    )


async def _run(settings: _settings.ProcessSettings) -> None:
    async with trio.open_nursery() as nursery:
        ports = await nursery.start(_server.serve, settings)
        print(msgspec.json.encode(ports).decode(), flush=True)


def main() -> int:
    """Runs until interrupted; prints the bound ports as one JSON line."""
    settings = _parse(sys.argv[1:])
    try:
        trio.run(_run, settings)
    except* KeyboardInterrupt:
        pass
    return 0


if __name__ == "__main__":
    sys.exit(main())
