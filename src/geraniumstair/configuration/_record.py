"""The record that holds an accepted document in the store."""

import dataclasses
import hashlib
import zlib

import msgspec
import result

from geraniumstair._generated import document as document_models
from geraniumstair._generated import messages
from geraniumstair.configuration import _content
from geraniumstair.configuration import _parse
from geraniumstair.configuration import _topology
from geraniumstair.configuration import _yaml_reader

# The key-value service holds values up to 1 MB.
MAX_RECORD_BYTES = 1_000_000
MAX_RECENT_CHANGE_IDS = 64

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(messages.ConfigurationRecord)


@dataclasses.dataclass(frozen=True, slots=True)
class IndexedConfiguration:
    """A record with its topology, as a node keeps it in memory."""

    record: messages.ConfigurationRecord
    topology: _topology.Topology


@dataclasses.dataclass(frozen=True, slots=True)
class AcceptedConfiguration:
    """A record with its text, document and topology."""

    record: messages.ConfigurationRecord
    text: bytes
    document: document_models.Document
    topology: _topology.Topology


def build_record(
    text: bytes,
    change_id: str,
    previous: messages.ConfigurationRecord | None,
) -> messages.ConfigurationRecord:
    """Returns the record of a new text, without compact content.

    Args:
        text: The document's YAML text.
        change_id: Identifies the change.
        previous: The record to replace; None if there is none.
    """
    base = 0 if previous is None else previous.revision
    recent = [] if previous is None else previous.recent_change_ids
    return messages.ConfigurationRecord(
        revision=base + 1,
        base=base,
        change_id=change_id,
        recent_change_ids=[*recent, change_id][-MAX_RECENT_CHANGE_IDS:],
        digest=hashlib.sha256(text).digest(),
        document=zlib.compress(text),
    )


def add_content(
    record: messages.ConfigurationRecord,
    document: document_models.Document,
) -> messages.ConfigurationRecord:
    """Returns the record with its document's compact content.

    Args:
        record: A record without content.
        document: The valid document of the record's text.

    Returns:
        The record with content, or the record as it is if it would exceed
        `MAX_RECORD_BYTES`.
    """
    topology = _topology.build_topology(document, record.revision)
    content = _content.encode_content(topology)
    digest = _content.content_digest(record.digest, content)
    full = msgspec.structs.replace(
        record, content=content, content_digest=digest
    )
    if len(encode_record(full)) > MAX_RECORD_BYTES:
        return record
    return full


def encode_record(record: messages.ConfigurationRecord) -> bytes:
    """Returns the value for the store."""
    if record.content is msgspec.UNSET:
        # The record is encoded as an array, which cannot omit a field.
        record = msgspec.structs.replace(
            record, content=b"", content_digest=b""
        )
    return _ENCODER.encode(record)


def decode_record(
    value: bytes,
) -> result.Result[messages.ConfigurationRecord, str]:
    """Returns the record of a store value, or why it cannot be read."""
    if len(value) > MAX_RECORD_BYTES:
        return result.Err("The record is too large.")
    try:
        return result.Ok(_DECODER.decode(value))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return result.Err(f"The record is malformed: {error}.")


def record_text(
    record: messages.ConfigurationRecord,
) -> result.Result[bytes, str]:
    """Returns the document's text after a check of its digest.

    Decompression stops at the size limit of a document, so that a small
    record cannot exhaust memory.
    """
    decompressor = zlib.decompressobj()
    try:
        text = decompressor.decompress(
            record.document, _yaml_reader.MAX_TEXT_BYTES + 1
        )
    except zlib.error as error:
        return result.Err(f"The document cannot be decompressed: {error}.")
    if len(text) > _yaml_reader.MAX_TEXT_BYTES:
        return result.Err("The document is too large.")
    if not decompressor.eof or decompressor.unused_data:
        return result.Err("The document is truncated or has trailing bytes.")
    if hashlib.sha256(text).digest() != record.digest:
        return result.Err("The document does not match its digest.")
    return result.Ok(text)


def parse_record(
    record: messages.ConfigurationRecord,
) -> result.Result[AcceptedConfiguration, str]:
    """Decompresses, validates and indexes a record's document."""
    text = record_text(record)
    if isinstance(text, result.Err):
        return text
    parsed = _parse.parse(text.ok_value)
    if isinstance(parsed, result.Err):
        return result.Err(f"The document is not valid: {parsed.err_value[0]}")
    document = parsed.ok_value
    return result.Ok(
        AcceptedConfiguration(
            record=record,
            text=text.ok_value,
            document=document,
            topology=_topology.build_topology(document, record.revision),
        )
    )


def index_record(
    record: messages.ConfigurationRecord,
) -> result.Result[IndexedConfiguration, str]:
    """Validates a record and returns it with its topology.

    If the record has compact content, the topology is decoded from it, which
    is much cheaper than `parse_record`. The digest of the text is checked in
    both cases, since operators are shown the text.
    """
    if not record.content:
        parsed = parse_record(record)
        return parsed.map(lambda p: IndexedConfiguration(record, p.topology))
    text = record_text(record)
    if isinstance(text, result.Err):
        return text
    expected = _content.content_digest(record.digest, record.content)
    if expected != record.content_digest:
        return result.Err("The content does not match its digest.")
    topology = _content.decode_content(record.content, record.revision)
    return topology.map(lambda t: IndexedConfiguration(record, t))
