"""Reads and writes rollout states in the store.

`rollout/<key>` holds the current step and is replaced by compare-and-swap.
`verdict/<key>` holds the final state; it is created once, and each write of a
step requires that it does not exist. A node that resumes after a pause can
therefore neither overwrite a final state nor revert a step.
"""

import dataclasses
import logging

import msgspec
import result

from geraniumstair import store as store_package
from geraniumstair._generated import messages

_LOG = logging.getLogger(__name__)
_CREATE = store_package.CompareTarget.CREATE_REVISION
_MOD = store_package.CompareTarget.MOD_REVISION


@dataclasses.dataclass(frozen=True, slots=True)
class StoredRollout:
    """Records of a rollout in the store.

    Attributes:
        state: The final state if there is one, otherwise the current step;
            `None` if there is no readable record.
        mod_revision: Revision of the record of the current step; 0 if none.
        is_final: True if the rollout has a record of its final state.
    """

    state: messages.RolloutState | None
    mod_revision: int
    is_final: bool


def _decode(value: bytes) -> messages.RolloutState | None:
    try:
        return msgspec.msgpack.decode(value, type=messages.RolloutState)
    except msgspec.MsgspecError as error:
        _LOG.error("rollout: Cannot decode a stored rollout state: %s.", error)
        return None


def _step_key(rollout: str) -> str:
    return f"rollout/{rollout}"


def _final_state_key(rollout: str) -> str:
    return f"verdict/{rollout}"


class RolloutStore:
    """Reads and writes the states of rollouts."""

    def __init__(self, store: store_package.KeyValueStore) -> None:
        self._store = store

    async def load(
        self, rollout: str
    ) -> result.Result[StoredRollout, store_package.StoreFailure]:
        """Reads the records of a rollout.

        Args:
            rollout: Key of the rollout.

        Returns:
            The records, or the failure.
        """
        final_record = await self._store.get(_final_state_key(rollout))
        if isinstance(final_record, result.Err):
            return final_record
        step_record = await self._store.get(_step_key(rollout))
        if isinstance(step_record, result.Err):
            return step_record
        mod_revision = (
            step_record.ok_value.mod_revision if step_record.ok_value else 0
        )
        record = final_record.ok_value or step_record.ok_value
        state = _decode(record.value) if record else None
        is_final = final_record.ok_value is not None
        if state is not None:
            state.recorded = True
        return result.Ok(StoredRollout(state, mod_revision, is_final))

    async def save(
        self, state: messages.RolloutState, expected_revision: int, final: bool
    ) -> result.Result[int | None, store_package.StoreFailure]:
        """Writes a state unless the records have changed since they were read.

        Args:
            state: The new state.
            expected_revision: Expected revision of the record of the current
                step; 0 if there is none. Ignored for a final state.
            final: True to write the final state.

        Returns:
            The revision of the new record; `None` if a final state or a newer
            step is recorded; or the failure.
        """
        rollout = state.rollout
        compares = [
            store_package.Compare(_final_state_key(rollout), _CREATE, 0)
        ]
        if not final:
            compares.append(
                store_package.Compare(
                    _step_key(rollout), _MOD, expected_revision
                )
            )
        value = msgspec.msgpack.encode(state)
        key = _final_state_key(rollout) if final else _step_key(rollout)
        transaction = store_package.Transaction(
            compares=compares, puts=[store_package.Put(key, value)]
        )
        outcome = await self._store.commit(transaction)
        return outcome.map(lambda c: c.revision if c.committed else None)
