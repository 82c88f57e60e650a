"""Edits the newest document and submits the result for acceptance."""

from collections.abc import Callable
from collections.abc import Mapping
from typing import Any

import result
import trio

from geraniumstair import configuration
from geraniumstair import errors
from geraniumstair._generated import codes
from geraniumstair.console import _backend

# Without a base revision, an edit is retried on the newest revision after a
# conflict.
EDIT_ATTEMPTS = 3

Edit = Callable[[bytes], result.Result[bytes, list[configuration.Fault]]]
Outcome = result.Result[
    configuration.Acceptance, configuration.AcceptanceRefusal
]


def _build_refusal_outcome(refusal: errors.Refusal) -> Outcome:
    return result.Err(
        configuration.AcceptanceRefusal(refusal.code, refusal.detail)
    )


async def _edit_once(
    backend: _backend.OperatorBackend, edit: Edit, base: int | None
) -> Outcome:
    current = await backend.current_configuration()
    if isinstance(current, result.Err):
        return _build_refusal_outcome(current.err_value)
    if current.ok_value.revision == 0:
        return _build_refusal_outcome(
            errors.Refusal(
                codes.Code.NO_CONFIGURATION,
                "There is no document yet. Apply one with base 0.",
            )
        )
    edited = await trio.to_thread.run_sync(edit, current.ok_value.text)
    if isinstance(edited, result.Err):
        first = edited.err_value[0]
        return result.Err(
            configuration.AcceptanceRefusal(
                first.code,
                first.detail,
                faults=edited.err_value,
                current_revision=current.ok_value.revision,
            )
        )
    revision = current.ok_value.revision
    return await backend.accept(
        edited.ok_value, revision if base is None else base
    )


async def edit_document(
    backend: _backend.OperatorBackend, edit: Edit, base: int | None
) -> Outcome:
    """Edits the newest document and submits the result for acceptance.

    Args:
        backend: The node.
        edit: Function from the text to the edited text or its faults.
        base: Revision that the operator saw; None for whichever is the newest.

    Returns:
        The outcome of the acceptance.
    """
    attempts = EDIT_ATTEMPTS if base is None else 1
    for _ in range(attempts):
        outcome = await _edit_once(backend, edit, base)
        if isinstance(outcome, result.Ok):
            break
        if outcome.err_value.code != codes.Code.REVISION_CONFLICT:
            break
    return outcome


async def set_availability_zone(
    backend: _backend.OperatorBackend,
    name: str,
    state: str,
    base: int | None,
) -> Outcome:
    """Takes an availability zone out of service or back into service."""
    return await edit_document(
        backend,
        lambda text: configuration.set_availability_zone_state(
            text, name, state
        ),
        base,
    )


async def start_rollout(
    backend: _backend.OperatorBackend,
    values: Mapping[str, Any],
    base: int | None,
) -> Outcome:
    """Adds a rollout rule with the given fields."""
    return await edit_document(
        backend, lambda text: configuration.add_rollout(text, values), base
    )


async def list_rollouts(
    backend: _backend.OperatorBackend,
) -> result.Result[list[dict[str, Any]], errors.Refusal]:
    """Returns each rule of the document with its recorded state."""
    current = await backend.current_configuration()
    if isinstance(current, result.Err):
        return current
    states = {state.rollout: state for state in await backend.rollouts()}
    parsed = await trio.to_thread.run_sync(
        configuration.parse, current.ok_value.text
    )
    if isinstance(parsed, result.Err):
        return result.Ok([])
    rollouts = []
    for rule in parsed.ok_value.rollouts:
        state = states.get(rule.name)
        values = rule.model_dump(mode="json")
        values["state"] = state.state if state else "PENDING"
        values["step"] = state.step if state else 0
        values["share_pct"] = state.share_pct if state else 0.0
        values["reason"] = state.reason if state else ""
        rollouts.append(values)
    return result.Ok(rollouts)
