"""Shard replies that the entry node itself makes for failures."""

from geraniumstair._generated import codes
from geraniumstair._generated import messages


def build_failure_reply(
    code: codes.Code, detail: str, *, not_run: bool
) -> messages.ShardReply:
    """Returns a shard reply without results."""
    return messages.ShardReply(
        code=int(code),
        detail=detail,
        not_run=not_run,
        snapshot=0,
        coverage_pct=0.0,
        body=b"",
        endpoint="",
        version="",
        snapshots=[],
        hedged=False,
        retry_after_ms=0.0,
    )
