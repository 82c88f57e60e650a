"""Merges opaque records of a fixed size, ordered by their bytes."""

from collections.abc import Iterable
import heapq

RECORD_BYTES = 16


def split_records(body: bytes) -> list[bytes]:
    """Splits a part into records, and drops an incomplete last one."""
    end = len(body) - len(body) % RECORD_BYTES
    return [body[i : i + RECORD_BYTES] for i in range(0, end, RECORD_BYTES)]


def merge_greatest_records(parts: Iterable[bytes], count: int) -> bytes:
    """Merges the records of several parts.

    Args:
        parts: Records of each part, in any order.
        count: Records to keep; equal records are not merged into one.

    Returns:
        The greatest records of all parts, greatest first.
    """
    records: list[bytes] = []
    for body in parts:
        records.extend(split_records(body))
    return b"".join(heapq.nlargest(count, records))
