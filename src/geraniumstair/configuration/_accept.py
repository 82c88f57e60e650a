"""Validates an operators' document and writes it to the store.

The write is a compare-and-swap, so it never overwrites a revision that the
operator has not seen.
"""

from collections.abc import Sequence
import dataclasses
import secrets

import result
import trio

from geraniumstair import store as store_package
from geraniumstair._generated import codes
from geraniumstair._generated import document as document_models
from geraniumstair._generated import messages
from geraniumstair.configuration import _difference
from geraniumstair.configuration import _fault
from geraniumstair.configuration import _parse
from geraniumstair.configuration import _record

CONFIGURATION_KEY = "configuration"
COMMIT_ATTEMPTS = 6
_FIRST_RETRY_DELAY_S = 0.05
_MAX_RETRY_DELAY_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Acceptance:
    """The result of a document that was written to the store.

    Attributes:
        revision: Revision of the document.
        change_id: Identifies the change in `recent_change_ids` of the record.
        difference: Changes from the base revision.
        record: The record that was written.
    """

    revision: int
    change_id: str
    difference: Sequence[str]
    record: messages.ConfigurationRecord


@dataclasses.dataclass(frozen=True, slots=True)
class AcceptanceRefusal:
    """Why a document was not accepted.

    Attributes:
        code: Result code. After `ACCEPTANCE_UNKNOWN` the document may have
            been written; after any other code it was not.
        detail: One sentence for the operator.
        faults: Faults of the document.
        current_revision: Newest revision if it is known, otherwise 0.
        difference: After a conflict, the changes from the newest revision
            to the offered document.
    """

    code: codes.Code
    detail: str
    faults: Sequence[_fault.Fault] = ()
    current_revision: int = 0
    difference: Sequence[str] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class StoredConfiguration:
    """The record in the store and the mod revision of its key.

    Attributes:
        record: The record; None if the key does not exist.
        mod_revision: Store revision of the key's last change; 0 if the key
            does not exist.
    """

    record: messages.ConfigurationRecord | None
    mod_revision: int

    @property
    def revision(self) -> int:
        """Revision of the record; 0 if there is none."""
        return 0 if self.record is None else self.record.revision


async def read_stored(
    store: store_package.KeyValueStore,
) -> result.Result[StoredConfiguration, str]:
    """Reads the configuration record from the store.

    Args:
        store: The key-value service.

    Returns:
        The record, or one sentence that says why it cannot be read.
    """
    read = await store.get(CONFIGURATION_KEY)
    if isinstance(read, result.Err):
        return result.Err(f"The store did not answer: {read.err_value.detail}")
    pair = read.ok_value
    if pair is None:
        return result.Ok(StoredConfiguration(None, 0))
    decoded = _record.decode_record(pair.value)
    if isinstance(decoded, result.Err):
        return result.Err(decoded.err_value)
    return result.Ok(StoredConfiguration(decoded.ok_value, pair.mod_revision))


async def _compare_with_stored(
    stored: StoredConfiguration, document: document_models.Document
) -> Sequence[str]:
    if stored.record is None:
        return _difference.difference(None, document)
    parsed = await trio.to_thread.run_sync(_record.parse_record, stored.record)
    if isinstance(parsed, result.Err):
        return [f"the stored revision cannot be read: {parsed.err_value}"]
    return _difference.difference(parsed.ok_value.document, document)


async def _build_conflict_refusal(
    stored: StoredConfiguration, base: int, document: document_models.Document
) -> AcceptanceRefusal:
    return AcceptanceRefusal(
        codes.Code.REVISION_CONFLICT,
        f"Revision {stored.revision} is in force, not {base}. Merge your "
        f"change into it and apply it with base {stored.revision}.",
        current_revision=stored.revision,
        difference=await _compare_with_stored(stored, document),
    )


class _Writer:
    """Writes one record and finds out whether it was written."""

    def __init__(
        self,
        store: store_package.KeyValueStore,
        record: messages.ConfigurationRecord,
        mod_revision: int,
    ) -> None:
        self._store = store
        self._record = record
        self._transaction = store_package.Transaction(
            compares=(
                store_package.Compare(
                    CONFIGURATION_KEY,
                    store_package.CompareTarget.MOD_REVISION,
                    mod_revision,
                ),
            ),
            puts=(
                store_package.Put(
                    CONFIGURATION_KEY, _record.encode_record(record)
                ),
            ),
        )
        self._may_be_written = False
        self.last_failure_detail = ""

    async def write(self) -> bool | None:
        """Returns whether the record was written; None if unknown.

        The compare can succeed only once, so it is safe to commit the same
        transaction again after a lost answer. If the compare fails after a
        lost answer, the change ids of the stored record show whether an
        earlier attempt was executed.
        """
        delay_s = _FIRST_RETRY_DELAY_S
        for attempt in range(COMMIT_ATTEMPTS):
            if attempt:
                await trio.sleep(delay_s)
                delay_s = min(2 * delay_s, _MAX_RETRY_DELAY_S)
            outcome = await self._store.commit(self._transaction)
            if isinstance(outcome, result.Ok):
                if outcome.ok_value.committed:
                    return True
                if not self._may_be_written:
                    return False
                found = await self._find_change_id()
                if found is not None:
                    return found
                continue
            failure = outcome.err_value
            self.last_failure_detail = failure.detail
            if failure.effect is store_package.Effect.UNKNOWN:
                self._may_be_written = True
        return None if self._may_be_written else False

    async def _find_change_id(self) -> bool | None:
        """Looks for the change id in the stored record; None if unknown."""
        stored = await read_stored(self._store)
        if isinstance(stored, result.Err):
            self.last_failure_detail = stored.err_value
            return None
        record = stored.ok_value.record
        if record is None:
            return False
        if self._record.change_id in record.recent_change_ids:
            return True
        revisions_since_base = record.revision - self._record.base
        if revisions_since_base > _record.MAX_RECENT_CHANGE_IDS:
            # Later changes may have removed the change id from the record.
            return None
        return False


async def accept(
    store: store_package.KeyValueStore, text: bytes, base: int
) -> result.Result[Acceptance, AcceptanceRefusal]:
    """Accepts a whole document or refuses it.

    Args:
        store: The key-value service.
        text: UTF-8 YAML text.
        base: Revision that the document was edited from; 0 for the first
            document.

    Returns:
        The acceptance or the refusal.
    """
    # A large document takes about half a second to parse, so a thread does it.
    parsed = await trio.to_thread.run_sync(_parse.parse, text)
    if isinstance(parsed, result.Err):
        first = parsed.err_value[0]
        return result.Err(
            AcceptanceRefusal(
                first.code,
                "The document has faults.",
                faults=parsed.err_value,
            )
        )
    read = await read_stored(store)
    if isinstance(read, result.Err):
        return result.Err(
            AcceptanceRefusal(
                codes.Code.STORE_UNAVAILABLE,
                f"Nothing was changed. {read.err_value}",
            )
        )
    document = parsed.ok_value
    stored = read.ok_value
    if stored.revision != base:
        return result.Err(await _build_conflict_refusal(stored, base, document))
    return await _write_document(store, text, document, stored)


async def _write_document(
    store: store_package.KeyValueStore,
    text: bytes,
    document: document_models.Document,
    stored: StoredConfiguration,
) -> result.Result[Acceptance, AcceptanceRefusal]:
    change_id = secrets.token_hex(16)
    record = await trio.to_thread.run_sync(
        _record.add_content,
        _record.build_record(text, change_id, stored.record),
        document,
    )
    size_bytes = len(_record.encode_record(record))
    if size_bytes > _record.MAX_RECORD_BYTES:
        return result.Err(
            AcceptanceRefusal(
                codes.Code.DOCUMENT_TOO_LARGE,
                f"The compressed document has {size_bytes} bytes; the store "
                f"accepts at most {_record.MAX_RECORD_BYTES}.",
            )
        )
    writer = _Writer(store, record, stored.mod_revision)
    written = await writer.write()
    if written:
        return result.Ok(
            Acceptance(
                record.revision,
                change_id,
                await _compare_with_stored(stored, document),
                record,
            )
        )
    if written is None:
        return result.Err(
            AcceptanceRefusal(
                codes.Code.ACCEPTANCE_UNKNOWN,
                "The store did not confirm the change, which may still take "
                "effect. Show the configuration before you apply it again. "
                f"{writer.last_failure_detail}",
                current_revision=stored.revision,
            )
        )
    return result.Err(await _explain_unwritten(store, stored, document, writer))


async def _explain_unwritten(
    store: store_package.KeyValueStore,
    stored: StoredConfiguration,
    document: document_models.Document,
    writer: _Writer,
) -> AcceptanceRefusal:
    """Returns the refusal for a record that was certainly not written."""
    read = await read_stored(store)
    if isinstance(read, result.Ok) and (
        read.ok_value.mod_revision != stored.mod_revision
    ):
        return await _build_conflict_refusal(
            read.ok_value, stored.revision, document
        )
    return AcceptanceRefusal(
        codes.Code.STORE_UNAVAILABLE,
        f"Nothing was changed. The store refused the write. "
        f"{writer.last_failure_detail}",
    )
