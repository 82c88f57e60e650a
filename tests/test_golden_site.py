"""Golden test of a caller's session with a site of real processes.

`python -m tests.test_golden_site` rewrites the golden file; review the diff
before committing it.
"""

import json
import pathlib
import re
from typing import Any
import unittest

import httpcore
import msgspec
import trio

import devsite
from tests import builders_site

_GOLDEN = pathlib.Path(__file__).parent / "golden" / "site_session.json"
_KILLED_ENDPOINTS = ("search-1-p0-e0", "search-1-p0-e1")
_SEARCH = {
    "subsidiary": "acme",
    "service_set": "search",
    "query": "ivy",
    "deadline_ms": 2000,
}
_NON_REPEATABLE = {
    "subsidiary": "acme",
    "services": ["ledger"],
    "route": "bill",
    "query": "invoice",
    "repeatable": False,
    "deadline_ms": 2000,
}


class _Session:
    """Sends a caller's requests to one node and records the replies."""

    def __init__(self, site: devsite.Site) -> None:
        self._site = site
        port = site.caller_port(site.node_ids[0])
        self._url = f"http://127.0.0.1:{port}/v1/search"
        self.steps: list[dict[str, Any]] = []

    async def send(
        self, step: str, body: dict[str, Any] | str, key: str = ""
    ) -> None:
        """Sends one request and records it with its masked answer."""
        content = body if isinstance(body, str) else json.dumps(body)
        headers = [("content-type", "application/json")]
        if key:
            headers.append(("idempotency-key", key))
        async with httpcore.AsyncConnectionPool() as pool:
            reply = await pool.request(
                "POST", self._url, headers=headers, content=content.encode()
            )
        answer = msgspec.json.decode(reply.content)
        self.steps.append(
            {
                "step": step,
                "request": body,
                "idempotency_key": key,
                "status": reply.status,
                "answer": _mask(answer),
            }
        )

    async def run(self) -> None:
        """Sends all requests and injects the faults between them."""
        site = self._site
        await self.send("full answer", _SEARCH)
        await self.send("unknown service", {**_SEARCH, "service_set": "none"})
        await self.send("bad body", '{"subsidiary": ')
        await self.send("no idempotency key", _NON_REPEATABLE)
        await self.send("non-repeatable, granted", _NON_REPEATABLE, "k1")
        await self.send("non-repeatable, repeated", _NON_REPEATABLE, "k1")
        await site.endpoint_fleet.control("kill", _KILLED_ENDPOINTS)
        await builders_site.wait_until(self._are_unreachable)
        await self.send("partial answer, a shard is lost", _SEARCH)
        await site.control_store(down="refuse")
        await self.send(
            "non-repeatable, the store is down", _NON_REPEATABLE, "k2"
        )
        await self.send("search, the store is down", _SEARCH)

    async def _are_unreachable(self) -> bool:
        dump = await self._site.fetch_state_dump(self._site.node_ids[0])
        unreachable = {
            e["endpoint"]
            for shard in dump["dispatch"]["shards"]
            for e in shard["endpoints"]
            if e["unreachable"]
        }
        return unreachable == set(_KILLED_ENDPOINTS)


def _mask(answer: dict[str, Any]) -> dict[str, Any]:
    """Masks the node, numbers and times, which differ between runs."""
    detail = re.sub(r"\d+", "N", answer["detail"])
    return {**answer, "detail": detail, "node": "NODE", "elapsed_ms": 0.0}


async def _record_session() -> list[dict[str, Any]]:
    async with builders_site.open_site(node_count=1) as site:
        session = _Session(site)
        await session.run()
        return session.steps


class SiteSessionTest(unittest.TestCase):
    """Guards against unnoticed changes of replies to callers."""

    def test_golden_session(self) -> None:
        self.assertEqual(
            trio.run(_record_session), json.loads(_GOLDEN.read_text())
        )


if __name__ == "__main__":
    text = json.dumps(trio.run(_record_session), indent=1)
    _GOLDEN.write_text(text + "\n")
