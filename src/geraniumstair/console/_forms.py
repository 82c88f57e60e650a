"""HTML pages and forms of the operators' application."""

from collections.abc import Sequence
import dataclasses
from typing import Any

import result
import trio

from geraniumstair import configuration
from geraniumstair._generated import codes
from geraniumstair.console import _backend
from geraniumstair.console import _changes
from geraniumstair.console import _http
from geraniumstair.console import _pages
from geraniumstair.console import _session

# The state comes first because a wide table is clipped on the right.
ROLLOUT_COLUMNS = (
    "state",
    "step",
    "share_pct",
    "reason",
    "subsidiary",
    "service",
    "old_version",
    "new_version",
    "start_utc",
    "done_by_utc",
)


@dataclasses.dataclass(frozen=True, slots=True)
class _Field:
    name: str
    label: str
    default: str = ""
    hint: str = ""


_ROLLOUT_FIELDS = (
    _Field("name", "Name"),
    _Field("subsidiary", "Subsidiary"),
    _Field("service", "Service"),
    _Field("old_version", "Old version"),
    _Field("new_version", "New version"),
    _Field("start_utc", "Start (UTC)", hint="2030-01-01T10:00:00Z"),
    _Field("done_by_utc", "Done by (UTC)", hint="2030-01-01T11:00:00Z"),
    _Field("steps_pct", "Steps in per cent", "5, 25, 50, 100"),
)


def _parse_base(form: dict[str, str]) -> int | None:
    base_text = form.get("base", "").strip()
    if base_text.isascii() and base_text.isdecimal() and len(base_text) <= 18:
        return int(base_text)
    return None


def _build_outcome_values(outcome: _changes.Outcome) -> dict[str, Any]:
    """Returns the template values that describe the outcome of a change."""
    if isinstance(outcome, result.Ok):
        accepted = outcome.ok_value
        return {
            "message": f"Accepted as revision {accepted.revision}."
            + ("" if accepted.difference else " No value changes."),
            "difference": accepted.difference,
            "status": 200,
        }
    refusal = outcome.err_value
    details = [refusal.detail]
    for fault in refusal.faults:
        if fault.detail != refusal.detail:
            details.append(f"{fault.path}: {fault.detail}")
    return {
        "error": f"{refusal.code.name} ({refusal.code.value}): "
        + " ".join(details),
        "difference": refusal.difference,
        "status": codes.INFO[refusal.code].http_status,
    }


class PageHandlers:
    """Handlers of the console's pages.

    The caller must have checked the login cookie, and the form token of a POST.
    """

    def __init__(
        self,
        backend: _backend.OperatorBackend,
        credentials: _session.Credentials,
    ) -> None:
        self._backend = backend
        self._credentials = credentials

    async def redirect_to_status(
        self, request: _http.Request, path_parameters: Sequence[str]
    ) -> _http.Response:
        """Redirects the browser to the status page."""
        del request, path_parameters
        return _pages.redirect("/status")

    async def log_out(
        self, request: _http.Request, path_parameters: Sequence[str]
    ) -> _http.Response:
        """Deletes the login cookie."""
        del request, path_parameters
        return _pages.redirect(
            "/login", **{"set-cookie": _session.build_logout_cookie_header()}
        )

    async def show_status(
        self, request: _http.Request, path_parameters: Sequence[str]
    ) -> _http.Response:
        """Shows the status."""
        del path_parameters
        return self._render_page(
            request,
            "status.html",
            "Status",
            sections=_pages.split_status(await self._backend.status()),
        )

    async def show_document(
        self, request: _http.Request, path_parameters: Sequence[str]
    ) -> _http.Response:
        """Shows the newest document for editing."""
        del path_parameters
        newest = await self._read_newest()
        error = ""
        if not newest.from_store:
            error = "The store does not answer; changes cannot be accepted."
        return self._render_document(
            request,
            newest.text.decode("utf-8"),
            newest.revision,
            newest.revision,
            error=error,
        )

    async def submit_document(
        self, request: _http.Request, path_parameters: Sequence[str]
    ) -> _http.Response:
        """Checks a document and shows its difference, or accepts it."""
        del path_parameters
        form = request.form()
        # Browsers send the line breaks of a text area as CR LF.
        text = form.get("text", "").replace("\r\n", "\n")
        base = _parse_base(form)
        newest = await self._read_newest()
        if base is None:
            return self._render_document(
                request,
                text,
                newest.revision,
                newest.revision,
                error="The base revision must be a whole number.",
                status=400,
            )
        if form.get("action") == "accept":
            return await self._accept_document(request, text, base)
        return await self._check_document(request, text, base, newest)

    async def _check_document(
        self,
        request: _http.Request,
        text: str,
        base: int,
        newest: _backend.CurrentConfiguration,
    ) -> _http.Response:
        data = text.encode("utf-8", "replace")
        parsed = await trio.to_thread.run_sync(configuration.parse, data)
        if isinstance(parsed, result.Err):
            return self._render_document(
                request,
                text,
                base,
                newest.revision,
                faults=_pages.add_line_texts(text, parsed.err_value),
                error="The document has faults. Nothing was changed.",
                status=422,
            )
        old = None
        if newest.revision:
            old_parsed = await trio.to_thread.run_sync(
                configuration.parse, newest.text
            )
            old = old_parsed.ok()
        return self._render_document(
            request,
            text,
            base,
            newest.revision,
            difference=configuration.difference(old, parsed.ok_value),
            checked=True,
            message="The document is valid.",
        )

    async def _accept_document(
        self, request: _http.Request, text: str, base: int
    ) -> _http.Response:
        data = text.encode("utf-8", "replace")
        outcome = await self._backend.accept(data, base)
        values = _build_outcome_values(outcome)
        newest = await self._read_newest()
        if isinstance(outcome, result.Ok):
            revision = outcome.ok_value.revision
            return self._render_document(
                request, text, revision, newest.revision, **values
            )
        faults = outcome.err_value.faults
        if faults:
            values["error"] = outcome.err_value.detail
        return self._render_document(
            request,
            text,
            base,
            newest.revision,
            faults=_pages.add_line_texts(text, faults),
            **values,
        )

    def _render_document(
        self,
        request: _http.Request,
        text: str,
        base: int,
        newest_revision: int,
        **values: Any,
    ) -> _http.Response:
        defaults = {"faults": [], "checked": False}
        return self._render_page(
            request,
            "document.html",
            "Document",
            text=text,
            base=base,
            newest=newest_revision,
            difference_heading=f"Changes from revision {newest_revision}",
            **{**defaults, **values},
        )

    async def list_availability_zones(
        self, request: _http.Request, path_parameters: Sequence[str]
    ) -> _http.Response:
        """Lists the availability zones."""
        del path_parameters
        return await self._render_availability_zones(request)

    async def set_availability_zone(
        self, request: _http.Request, path_parameters: Sequence[str]
    ) -> _http.Response:
        """Takes an availability zone out of service or back into service."""
        del path_parameters
        form = request.form()
        state = "out" if form.get("state") == "out" else "in"
        outcome = await _changes.set_availability_zone(
            self._backend, form.get("name", ""), state, _parse_base(form)
        )
        return await self._render_availability_zones(
            request, **_build_outcome_values(outcome)
        )

    async def _render_availability_zones(
        self, request: _http.Request, **values: Any
    ) -> _http.Response:
        newest = await self._read_newest()
        parsed = await trio.to_thread.run_sync(configuration.parse, newest.text)
        document = parsed.ok()
        zones = document.availability_zones if document else []
        return self._render_page(
            request,
            "availability-zones.html",
            "Availability zones",
            zones=zones,
            newest=newest.revision,
            **values,
        )

    async def list_rollouts(
        self, request: _http.Request, path_parameters: Sequence[str]
    ) -> _http.Response:
        """Lists the rollouts."""
        del path_parameters
        return await self._render_rollouts(request, {})

    async def start_rollout(
        self, request: _http.Request, path_parameters: Sequence[str]
    ) -> _http.Response:
        """Adds a rollout rule."""
        del path_parameters
        form = request.form()
        rule: dict[str, Any] = {
            field.name: form.get(field.name, "").strip()
            for field in _ROLLOUT_FIELDS
        }
        try:
            steps = [float(s) for s in rule["steps_pct"].split(",")]
        except ValueError:
            return await self._render_rollouts(
                request,
                form,
                error="The steps must be numbers such as 5, 25, 50, 100.",
                status=400,
            )
        rule["steps_pct"] = steps
        outcome = await _changes.start_rollout(
            self._backend, rule, _parse_base(form)
        )
        form_values = {} if isinstance(outcome, result.Ok) else form
        return await self._render_rollouts(
            request, form_values, **_build_outcome_values(outcome)
        )

    async def take_back_rollout(
        self, request: _http.Request, path_parameters: Sequence[str]
    ) -> _http.Response:
        """Rolls a rollout back, which ends it as `TAKEN_BACK`."""
        del path_parameters
        name = request.form().get("name", "")
        outcome = await self._backend.take_back_rollout(name)
        if isinstance(outcome, result.Ok):
            return await self._render_rollouts(
                request, {}, message=f"Rollout {name} is taken back."
            )
        refusal = outcome.err_value
        return await self._render_rollouts(
            request,
            {},
            error=f"{refusal.code.name}: {refusal.detail}",
            status=codes.INFO[refusal.code].http_status,
        )

    async def _render_rollouts(
        self, request: _http.Request, form: dict[str, str], **values: Any
    ) -> _http.Response:
        listed = await _changes.list_rollouts(self._backend)
        newest = await self._read_newest()
        return self._render_page(
            request,
            "rollouts.html",
            "Rollouts",
            rollouts=listed.unwrap_or([]),
            columns=ROLLOUT_COLUMNS,
            fields=_ROLLOUT_FIELDS,
            values=form,
            newest=newest.revision,
            **values,
        )

    async def _read_newest(self) -> _backend.CurrentConfiguration:
        current = await self._backend.current_configuration()
        if isinstance(current, result.Err):
            return _backend.CurrentConfiguration(0, b"", False)
        return current.ok_value

    def _render_page(
        self, request: _http.Request, template: str, title: str, **values: Any
    ) -> _http.Response:
        token = self._credentials.form_token(request)
        return _pages.render(template, title, form_token=token, **values)
