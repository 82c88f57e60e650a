"""JSON calls of the operators' application."""

from collections.abc import Sequence
from typing import Any

import result

from geraniumstair import errors
from geraniumstair._generated import codes
from geraniumstair.console import _backend
from geraniumstair.console import _changes
from geraniumstair.console import _http


def _build_outcome_response(outcome: _changes.Outcome) -> _http.Response:
    if isinstance(outcome, result.Ok):
        accepted = outcome.ok_value
        value: dict[str, Any] = {
            "revision": accepted.revision,
            "change_id": accepted.change_id,
            "difference": list(accepted.difference),
        }
        return _http.json_response(value)
    refusal = outcome.err_value
    info = codes.INFO[refusal.code]
    value = {
        "code": int(refusal.code),
        "name": refusal.code.name,
        "detail": refusal.detail,
        "not_run": info.not_run,
        "faults": [fault.to_json_object() for fault in refusal.faults],
        "current_revision": refusal.current_revision,
        "difference": list(refusal.difference),
    }
    return _http.json_response(value, info.http_status)


def _build_malformed_body_response(detail: str) -> _http.Response:
    return _http.refusal_response(
        errors.Refusal(codes.Code.MALFORMED_BODY, detail)
    )


def _is_revision(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool) and value >= 0


def _parse_edit(
    request: _http.Request,
) -> result.Result[tuple[dict[str, Any], int | None], errors.Refusal]:
    """Returns the fields of an edit and its optional base revision."""
    body = request.json()
    if isinstance(body, result.Err):
        return body
    values = dict(body.ok_value)
    base = values.pop("base", None)
    if base is not None and not _is_revision(base):
        return result.Err(
            errors.Refusal(
                codes.Code.MALFORMED_BODY, "Give `base` as a whole number."
            )
        )
    return result.Ok((values, base))


class CallHandlers:
    """Handlers of the paths below `/v1` and of `/metrics`."""

    def __init__(self, backend: _backend.OperatorBackend) -> None:
        self._backend = backend

    async def show_configuration(
        self, request: _http.Request, path_parameters: Sequence[str]
    ) -> _http.Response:
        """Returns the newest document with its revision."""
        del request, path_parameters
        current = await self._backend.current_configuration()
        if isinstance(current, result.Err):
            return _http.refusal_response(current.err_value)
        newest = current.ok_value
        value = {
            "revision": newest.revision,
            "text": newest.text.decode("utf-8"),
            "from_store": newest.from_store,
        }
        headers = {"etag": f'"{newest.revision}"'}
        return _http.json_response(value, headers=headers)

    async def apply_configuration(
        self, request: _http.Request, path_parameters: Sequence[str]
    ) -> _http.Response:
        """Accepts the document of the body `{"base": N, "text": "..."}`."""
        del path_parameters
        body = request.json()
        if isinstance(body, result.Err):
            return _http.refusal_response(body.err_value)
        base: Any = body.ok_value.get("base")
        text = body.ok_value.get("text")
        if not _is_revision(base) or not isinstance(text, str):
            return _build_malformed_body_response(
                "Give `base` as a whole number and `text` as a string."
            )
        data = text.encode("utf-8", "replace")
        return _build_outcome_response(await self._backend.accept(data, base))

    async def put_configuration(
        self, request: _http.Request, path_parameters: Sequence[str]
    ) -> _http.Response:
        """Accepts the body as the document's text.

        The header `If-Match` or the query parameter `base` gives the base
        revision.
        """
        del path_parameters
        base_text = request.headers.get("if-match") or request.query.get("base")
        base_text = (base_text or "").strip().strip('"')
        if (
            not base_text.isascii()
            or not base_text.isdecimal()
            or len(base_text) > 18
        ):
            return _http.refusal_response(
                errors.Refusal(
                    codes.Code.INVALID_HEADER,
                    "Give the base revision in If-Match or in the query "
                    "parameter base.",
                )
            )
        outcome = await self._backend.accept(request.body, int(base_text))
        return _build_outcome_response(outcome)

    async def show_status(
        self, request: _http.Request, path_parameters: Sequence[str]
    ) -> _http.Response:
        """Returns the status of the site."""
        del request, path_parameters
        return _http.json_response(dict(await self._backend.status()))

    async def dump_state(
        self, request: _http.Request, path_parameters: Sequence[str]
    ) -> _http.Response:
        """Returns the state dump of this process."""
        del request, path_parameters
        return _http.json_response(dict(await self._backend.dump()))

    async def set_availability_zone(
        self, request: _http.Request, path_parameters: Sequence[str]
    ) -> _http.Response:
        """Takes an availability zone out of service or back into service."""
        edit = _parse_edit(request)
        if isinstance(edit, result.Err):
            return _http.refusal_response(edit.err_value)
        values, base = edit.ok_value
        state = values.get("state")
        if state not in ("in", "out"):
            return _build_malformed_body_response(
                "Give `state` as `in` or `out`."
            )
        return _build_outcome_response(
            await _changes.set_availability_zone(
                self._backend, path_parameters[0], state, base
            )
        )

    async def list_rollouts(
        self, request: _http.Request, path_parameters: Sequence[str]
    ) -> _http.Response:
        """Lists the rollouts with their states."""
        del request, path_parameters
        listed = await _changes.list_rollouts(self._backend)
        if isinstance(listed, result.Err):
            return _http.refusal_response(listed.err_value)
        return _http.json_response({"rollouts": listed.ok_value})

    async def start_rollout(
        self, request: _http.Request, path_parameters: Sequence[str]
    ) -> _http.Response:
        """Adds the body as a rollout rule; its field `base` is optional."""
        del path_parameters
        edit = _parse_edit(request)
        if isinstance(edit, result.Err):
            return _http.refusal_response(edit.err_value)
        rule, base = edit.ok_value
        return _build_outcome_response(
            await _changes.start_rollout(self._backend, rule, base)
        )

    async def take_back_rollout(
        self, request: _http.Request, path_parameters: Sequence[str]
    ) -> _http.Response:
        """Rolls a rollout back, which ends it as `TAKEN_BACK`."""
        del request
        outcome = await self._backend.take_back_rollout(path_parameters[0])
        if isinstance(outcome, result.Err):
            return _http.refusal_response(outcome.err_value)
        return _http.json_response(
            {"rollout": path_parameters[0], "taken_back": True}
        )

    async def show_metrics(
        self, request: _http.Request, path_parameters: Sequence[str]
    ) -> _http.Response:
        """Returns the metrics in the Prometheus text format."""
        del request, path_parameters
        return _http.Response(
            200,
            "text/plain; version=0.0.4; charset=utf-8",
            self._backend.metrics(),
        )
