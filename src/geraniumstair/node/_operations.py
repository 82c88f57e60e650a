"""Operations that operators request from this node."""

from collections.abc import Mapping
from collections.abc import Sequence
import time
from typing import Any

import result

from geraniumstair import canary
from geraniumstair import configuration
from geraniumstair import console
from geraniumstair import errors
from geraniumstair import membership
from geraniumstair import observe
from geraniumstair import rollout
from geraniumstair import store as store_package
from geraniumstair._generated import codes
from geraniumstair._generated import messages
from geraniumstair.node import _rollouts
from geraniumstair.node import _status


class Operations(console.ConfigurationAccess):
    """Implements `console.OperatorBackend`."""

    def __init__(
        self,
        store: store_package.KeyValueStore,
        holder: configuration.ConfigurationHolder,
        members: membership.Membership,
        rollouts: _rollouts.RolloutDriver,
        state_dump: observe.StateDump,
        node_id: str,
    ) -> None:
        super().__init__(store, holder)
        self._configuration_holder = holder
        self._members = members
        self._rollouts = rollouts
        self._state_dump = state_dump
        self._node_id = node_id

    async def status(self) -> Mapping[str, Any]:
        """See `OperatorBackend`."""
        return _status.build_status(
            self._node_id,
            self._configuration_holder,
            self._members,
            self._rollouts,
        )

    async def dump(self) -> Mapping[str, Any]:
        """See `OperatorBackend`."""
        return self._state_dump.collect()

    async def rollouts(self) -> Sequence[messages.RolloutState]:
        """See `OperatorBackend`."""
        topology = self._configuration_holder.current
        if topology is None:
            return ()
        return self._rollouts.rollout_states.list_named_states(topology)

    async def take_back_rollout(
        self, name: str
    ) -> result.Result[None, errors.Refusal]:
        """See `OperatorBackend`."""
        topology = self._configuration_holder.current
        rule = topology.rollouts.get(name) if topology else None
        if rule is None:
            return _refuse(
                codes.Code.UNKNOWN_REFERENCE, f"No rollout {name} exists."
            )
        current_state = self._rollouts.rollout_states.find_state(rule.key)
        if current_state is not None and current_state.state in (
            "DONE",
            "TAKEN_BACK",
        ):
            return _refuse(
                codes.Code.INVALID_ROLLOUT,
                f"Rollout {name} has ended as {current_state.state}.",
            )
        decision = canary.Decision(
            canary.Progress.TAKEN_BACK,
            current_state.step if current_state else 0,
            canary.REASON_OPERATOR,
        )
        state = rollout.to_state_message(rule, decision, time.time())
        saved = await self._rollouts.rollout_store.save(state, 0, final=True)
        if isinstance(saved, result.Err):
            # The rollout is rolled back at once; the rollback is recorded in
            # the store later.
            self._rollouts.manager.roll_back(rule, canary.REASON_OPERATOR)
            return _refuse(
                codes.Code.STORE_UNAVAILABLE,
                f"Rollout {name} is stopped, but the store has no record of it "
                "yet.",
            )
        if saved.ok_value is None:
            return _refuse(
                codes.Code.INVALID_ROLLOUT, f"Rollout {name} has ended."
            )
        self._rollouts.manager.roll_back(
            rule, canary.REASON_OPERATOR, recorded=True
        )
        return result.Ok(None)

    def metrics(self) -> bytes:
        """See `OperatorBackend`."""
        return observe.process_metrics().render()


def _refuse(
    code: codes.Code, detail: str
) -> result.Result[None, errors.Refusal]:
    return result.Err(errors.Refusal(code, detail))
