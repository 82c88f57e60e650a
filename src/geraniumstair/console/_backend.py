"""Interface between the operators' application and the node."""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
from typing import Any
from typing import Protocol

import result
import trio

from geraniumstair import configuration
from geraniumstair import errors
from geraniumstair import store as store_package
from geraniumstair._generated import codes
from geraniumstair._generated import messages


@dataclasses.dataclass(frozen=True, slots=True)
class CurrentConfiguration:
    """The newest known document.

    Attributes:
        revision: Revision of the document; 0 if there is no document.
        text: YAML text of the document; empty if there is no document.
        from_store: False if the store did not answer, so that the text is the
            one in force at this node.
    """

    revision: int
    text: bytes
    from_store: bool


class OperatorBackend(Protocol):
    """Operations of the node that the application calls."""

    async def current_configuration(
        self,
    ) -> result.Result[CurrentConfiguration, errors.Refusal]:
        """Returns the newest document."""
        ...

    async def accept(
        self, text: bytes, base: int
    ) -> result.Result[
        configuration.Acceptance, configuration.AcceptanceRefusal
    ]:
        """Accepts a whole document or refuses it."""
        ...

    async def status(self) -> Mapping[str, Any]:
        """Returns members, revisions in force and progress as JSON values."""
        ...

    async def dump(self) -> Mapping[str, Any]:
        """Returns the state dump of this process as JSON values."""
        ...

    async def rollouts(self) -> Sequence[messages.RolloutState]:
        """Returns the recorded states of rollouts."""
        ...

    async def take_back_rollout(
        self, name: str
    ) -> result.Result[None, errors.Refusal]:
        """Rolls back a rollout of the document.

        The rollout ends with the recorded final state `TAKEN_BACK`. The request
        is refused with `INVALID_ROLLOUT` if the rollout has already ended.
        """
        ...

    def metrics(self) -> bytes:
        """Returns the metrics in the Prometheus text format."""
        ...


class ConfigurationAccess:
    """Implements the document operations of `OperatorBackend`.

    Documents are read from the store, or from the holder if the store does not
    answer, and written to the store.
    """

    def __init__(
        self,
        store: store_package.KeyValueStore,
        holder: configuration.ConfigurationHolder,
    ) -> None:
        self._store = store
        self._holder = holder

    async def current_configuration(
        self,
    ) -> result.Result[CurrentConfiguration, errors.Refusal]:
        """See `OperatorBackend`."""
        read = await configuration.read_stored(self._store)
        from_store = isinstance(read, result.Ok)
        if isinstance(read, result.Ok):
            record = read.ok_value.record
        else:
            record = self._holder.record
            if record is None:
                return result.Err(
                    errors.Refusal(codes.Code.STORE_UNAVAILABLE, read.err_value)
                )
        if record is None:
            return result.Ok(CurrentConfiguration(0, b"", True))
        text = configuration.record_text(record)
        if isinstance(text, result.Err):
            return result.Err(
                errors.Refusal(codes.Code.INTERNAL_ERROR, text.err_value)
            )
        return result.Ok(
            CurrentConfiguration(record.revision, text.ok_value, from_store)
        )

    async def accept(
        self, text: bytes, base: int
    ) -> result.Result[
        configuration.Acceptance, configuration.AcceptanceRefusal
    ]:
        """See `OperatorBackend`.

        An accepted document is in force at this node at once.
        """
        outcome = await configuration.accept(self._store, text, base)
        if isinstance(outcome, result.Ok):
            indexed = await trio.to_thread.run_sync(
                configuration.index_record, outcome.ok_value.record
            )
            if isinstance(indexed, result.Ok):
                self._holder.apply_indexed(indexed.ok_value)
        return outcome
