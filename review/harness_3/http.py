"""Reads and writes HTTP/1.1 messages on asyncio streams."""

import asyncio
import dataclasses

_HEAD_END = b"\r\n\r\n"
_MAX_HEAD_BYTES = 64 * 1024


@dataclasses.dataclass(slots=True)
class Message:
    """A request or a response with its whole body.

    Attributes:
        start: The words of the first line.
        headers: Values by lower-case name.
        body: The body.
    """

    start: list[str]
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.start[1])


async def read(reader: asyncio.StreamReader) -> Message | None:
    """Returns the next message; None at the end of the connection."""
    try:
        head = await reader.readuntil(_HEAD_END)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.lower()] = value.strip()
    try:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Message(lines[0].split(" ", 2), headers, body)


def encode(start: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Returns the bytes of a message with its length."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"content-length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body
