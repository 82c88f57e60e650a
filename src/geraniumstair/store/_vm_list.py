"""Client of the platform's list of VMs."""

from collections.abc import Sequence
import dataclasses
import enum
import ipaddress
from typing import Annotated
from typing import Literal
from typing import Protocol

import httpcore
import msgspec
import result
import trio

MAX_REPLY_BYTES = 4 * 1024 * 1024
_MAX_NAME_LENGTH = 253
_Name = Annotated[str, msgspec.Meta(min_length=1, max_length=_MAX_NAME_LENGTH)]
_HTTP_ERRORS = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
    httpcore.UnsupportedProtocol,
    OSError,
)


class VmState(enum.Enum):
    """State of a VM as last reported by the platform."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True)
class Vm:
    """One VM of the list.

    Attributes:
        vm: Name of the VM.
        address: IP address.
        availability_zone: Name of its availability zone.
        state: Last reported state, which may be out of date.
    """

    vm: str
    address: str
    availability_zone: str
    state: VmState


@dataclasses.dataclass(frozen=True, slots=True)
class VmListFailure:
    """The list could not be read; `detail` is one sentence for logs."""

    detail: str


class VmList(Protocol):
    """Source of the list of VMs."""

    async def fetch(self) -> result.Result[Sequence[Vm], VmListFailure]:
        """Reads the whole list."""
        ...


class _VmRecord(msgspec.Struct):
    vm: _Name
    address: _Name
    availability_zone: _Name
    state: Literal["live", "leaving"]


class HttpVmList:
    """Client that reads the list over HTTP as a JSON array of objects.

    Args:
        url: URL of the list.
        timeout_ms: Limit of a fetch.
    """

    def __init__(self, url: str, *, timeout_ms: float = 1000) -> None:
        self._url = url
        self._timeout_s = timeout_ms / 1000
        self._pool = httpcore.AsyncConnectionPool(max_connections=1)

    async def aclose(self) -> None:
        """Closes the connection."""
        await self._pool.aclose()

    async def fetch(self) -> result.Result[Sequence[Vm], VmListFailure]:
        """Reads the whole list; one invalid entry fails the fetch."""
        with trio.move_on_after(self._timeout_s):
            try:
                async with self._pool.stream("GET", self._url) as response:
                    return _parse_response(
                        response.status, await _read_body(response)
                    )
            except _HTTP_ERRORS as error:
                return _build_failure(f"{type(error).__name__}: {error}")
            except ValueError as error:
                return _build_failure(f"invalid VM list: {error}")
        return _build_failure("timed out")


def _build_failure(detail: str) -> result.Err[VmListFailure]:
    return result.Err(VmListFailure(detail))


async def _read_body(response: httpcore.Response) -> bytes:
    body = b""
    async for chunk in response.aiter_stream():
        body += chunk
        if len(body) > MAX_REPLY_BYTES:
            raise ValueError("the reply is too large")
    return body


def _parse_response(
    status: int, body: bytes
) -> result.Result[Sequence[Vm], VmListFailure]:
    if status != 200:
        return _build_failure(f"HTTP status {status}")
    records = msgspec.json.decode(body, type=list[_VmRecord])
    return result.Ok(
        [
            Vm(
                record.vm,
                str(ipaddress.ip_address(record.address)),
                record.availability_zone,
                VmState(record.state),
            )
            for record in records
        ]
    )
