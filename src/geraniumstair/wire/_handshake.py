"""Mutual challenge-response authentication of two nodes by a shared key."""

import dataclasses
import hashlib
import hmac
import secrets

import msgpack
import trio

from geraniumstair import _struct
from geraniumstair import errors
from geraniumstair._generated import codes
from geraniumstair._generated import messages
from geraniumstair.wire import _stream

HANDSHAKE_TIMEOUT_S = 3.0
# An unauthenticated peer must not make the node buffer large messages.
_HANDSHAKE_LIMIT_BYTES = 4096
_NONCE_BYTES = 16


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Identity and credentials of a node for handshakes.

    Attributes:
        node_id: Unique name of the node.
        incarnation: Start time of the process in ms since 1970.
        availability_zone: Availability zone of the node.
        cluster_key: Secret shared by the nodes of one site.
    """

    node_id: str
    incarnation: int
    availability_zone: str
    cluster_key: str = dataclasses.field(repr=False)


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectedStream:
    """Authenticated stream of the connecting side.

    Attributes:
        stream: The message stream.
        welcome: The peer's last handshake message, with its node id.
    """

    stream: _stream.MessageStream
    welcome: messages.Welcome


@dataclasses.dataclass(frozen=True, slots=True)
class AcceptedStream:
    """Authenticated stream of the accepting side.

    Attributes:
        stream: The message stream.
        hello: The peer's handshake message, with its node id.
    """

    stream: _stream.MessageStream
    hello: messages.Hello


def _compute_proof(cluster_key: str, *fields: str | int | bytes) -> bytes:
    # With msgpack, the boundaries of the fields are part of the input. Plain
    # concatenation could give different fields the same proof.
    content = msgpack.packb(fields)
    return hmac.digest(cluster_key.encode(), content, hashlib.sha256)


def _compute_hello_proof(
    cluster_key: str, challenge: bytes, hello: messages.Hello
) -> bytes:
    return _compute_proof(
        cluster_key,
        "hello",
        challenge,
        hello.nonce,
        hello.node_id,
        hello.incarnation,
        hello.availability_zone,
    )


def _compute_welcome_proof(
    cluster_key: str, hello: messages.Hello, node_id: str, incarnation: int
) -> bytes:
    return _compute_proof(
        cluster_key,
        "welcome",
        hello.nonce,
        hello.proof,
        node_id,
        incarnation,
    )


async def connect_handshake(
    stream: trio.abc.Stream, identity: Identity
) -> ConnectedStream:
    """Authenticates both ends of a stream that this node opened.

    Raises:
        errors.AuthenticationError: One side does not have the shared key.
        errors.WireError: The peer sent an unexpected message.
        errors.StreamClosedError: The stream ended, or the peer took too long.
    """
    message_stream = _stream.MessageStream(stream)
    message_stream.limit_bytes = _HANDSHAKE_LIMIT_BYTES
    with trio.move_on_after(HANDSHAKE_TIMEOUT_S):
        welcome = await _authenticate_to_acceptor(message_stream, identity)
        message_stream.limit_bytes = _stream.MESSAGE_LIMIT_BYTES
        return ConnectedStream(message_stream, welcome)
    raise errors.StreamClosedError("the handshake took too long")


async def _authenticate_to_acceptor(
    stream: _stream.MessageStream, identity: Identity
) -> messages.Welcome:
    challenge = await stream.receive()
    if not isinstance(challenge, messages.Challenge):
        raise errors.WireError("expected a challenge")
    hello = messages.Hello(
        node_id=identity.node_id,
        incarnation=identity.incarnation,
        availability_zone=identity.availability_zone,
        nonce=secrets.token_bytes(_NONCE_BYTES),
        proof=b"",
    )
    hello.proof = _compute_hello_proof(
        identity.cluster_key, challenge.nonce, hello
    )
    await stream.send(hello)
    welcome = await stream.receive()
    if isinstance(welcome, messages.Refused):
        raise errors.AuthenticationError(f"refused: {welcome.detail}")
    if not isinstance(welcome, messages.Welcome):
        raise errors.WireError("expected a welcome")
    expected = _compute_welcome_proof(
        identity.cluster_key, hello, welcome.node_id, welcome.incarnation
    )
    if not hmac.compare_digest(expected, welcome.proof):
        raise errors.AuthenticationError("the peer has another cluster key")
    return welcome


async def accept_handshake(
    stream: trio.abc.Stream, identity: Identity
) -> AcceptedStream:
    """Authenticates both ends of a stream that a peer opened.

    Raises:
        errors.AuthenticationError: The peer does not have the shared key. A
            `Refused` message has been sent to the peer.
        errors.WireError: The peer sent an unexpected message.
        errors.StreamClosedError: The stream ended, or the peer took too long.
    """
    message_stream = _stream.MessageStream(stream)
    message_stream.limit_bytes = _HANDSHAKE_LIMIT_BYTES
    with trio.move_on_after(HANDSHAKE_TIMEOUT_S):
        hello = await _authenticate_connector(message_stream, identity)
        message_stream.limit_bytes = _stream.MESSAGE_LIMIT_BYTES
        return AcceptedStream(message_stream, hello)
    raise errors.StreamClosedError("the handshake took too long")


async def _authenticate_connector(
    stream: _stream.MessageStream, identity: Identity
) -> messages.Hello:
    challenge = messages.Challenge(nonce=secrets.token_bytes(_NONCE_BYTES))
    await stream.send(challenge)
    hello = await _receive_hello(stream)
    expected = _compute_hello_proof(
        identity.cluster_key, challenge.nonce, hello
    )
    if not hmac.compare_digest(expected, hello.proof):
        detail = "wrong cluster key"
        await _refuse(stream, codes.Code.PEER_UNAUTHENTICATED, detail)
        raise errors.AuthenticationError(detail)
    proof = _compute_welcome_proof(
        identity.cluster_key, hello, identity.node_id, identity.incarnation
    )
    await stream.send(
        messages.Welcome(
            node_id=identity.node_id,
            incarnation=identity.incarnation,
            proof=proof,
        )
    )
    return hello


async def _receive_hello(stream: _stream.MessageStream) -> messages.Hello:
    message: _struct.Message | None
    try:
        message = await stream.receive()
    except errors.WireError:
        message = None
    if isinstance(message, messages.Hello):
        return message
    await _refuse(stream, codes.Code.PEER_MALFORMED, "expected a hello")
    raise errors.WireError("expected a hello")


async def _refuse(
    stream: _stream.MessageStream, code: codes.Code, detail: str
) -> None:
    try:
        await stream.send(messages.Refused(code=int(code), detail=detail))
    except errors.StreamClosedError:
        pass
