"""ASGI application of the operators' listener."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import logging
import re

import result

from geraniumstair import errors
from geraniumstair._generated import codes
from geraniumstair.console import _backend
from geraniumstair.console import _calls
from geraniumstair.console import _forms
from geraniumstair.console import _http
from geraniumstair.console import _pages
from geraniumstair.console import _session

# Requests for these paths need the bearer token; other paths except the public
# ones need the login cookie.
_BEARER_PATH_PREFIXES = ("/v1/", "/metrics")
_LOGIN_PATH = "/login"
_STYLE_PATH = "/console.css"
_PUBLIC_PATHS = (_LOGIN_PATH, _STYLE_PATH)

_logger = logging.getLogger(__name__)

Handler = Callable[[_http.Request, Sequence[str]], Awaitable[_http.Response]]
Application = Callable[
    [_http.Scope, _http.Receive, _http.Send], Awaitable[None]
]


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A method and path with its handler."""

    method: str
    pattern: re.Pattern[str]
    handler: Handler


def _build_route(method: str, path: str, handler: Handler) -> Route:
    pattern = re.escape(path).replace(r"\{name\}", "([a-z0-9._-]{1,63})")
    return Route(method, re.compile(pattern), handler)


def _build_call_routes(calls: _calls.CallHandlers) -> list[Route]:
    return [
        _build_route("GET", "/v1/configuration", calls.show_configuration),
        _build_route("POST", "/v1/configuration", calls.apply_configuration),
        _build_route("PUT", "/v1/configuration", calls.put_configuration),
        _build_route("GET", "/v1/status", calls.show_status),
        _build_route("GET", "/v1/dump", calls.dump_state),
        _build_route(
            "POST", "/v1/availability-zones/{name}", calls.set_availability_zone
        ),
        _build_route("GET", "/v1/rollouts", calls.list_rollouts),
        _build_route("POST", "/v1/rollouts", calls.start_rollout),
        _build_route(
            "POST", "/v1/rollouts/{name}/take-back", calls.take_back_rollout
        ),
        _build_route("GET", "/metrics", calls.show_metrics),
    ]


def _build_page_routes(pages: _forms.PageHandlers) -> list[Route]:
    return [
        _build_route("GET", "/", pages.redirect_to_status),
        _build_route("POST", "/logout", pages.log_out),
        _build_route("GET", "/status", pages.show_status),
        _build_route("GET", "/document", pages.show_document),
        _build_route("POST", "/document", pages.submit_document),
        _build_route(
            "GET", "/availability-zones", pages.list_availability_zones
        ),
        _build_route(
            "POST", "/availability-zones", pages.set_availability_zone
        ),
        _build_route("GET", "/rollouts", pages.list_rollouts),
        _build_route("POST", "/rollouts", pages.start_rollout),
        _build_route("POST", "/rollouts/take-back", pages.take_back_rollout),
    ]


async def dispatch(
    routes: Sequence[Route], request: _http.Request
) -> _http.Response:
    """Calls the handler of the request's path and method, or refuses."""
    allowed = []
    for route in routes:
        match = route.pattern.fullmatch(request.path)
        if match is None:
            continue
        if route.method == request.method:
            return await route.handler(request, match.groups())
        allowed.append(route.method)
    if allowed:
        return _http.refusal_response(
            errors.Refusal(
                codes.Code.METHOD_NOT_ALLOWED,
                f"The path supports {', '.join(allowed)}.",
            ),
            {"allow": ", ".join(allowed)},
        )
    return _http.refusal_response(
        errors.Refusal(codes.Code.NOT_FOUND, "No such path.")
    )


class _OperatorApplication:
    """Authenticates, routes and answers each request."""

    def __init__(
        self, backend: _backend.OperatorBackend, operator_token: str
    ) -> None:
        self._credentials = _session.Credentials(operator_token)
        self._call_routes = _build_call_routes(_calls.CallHandlers(backend))
        self._page_routes = _build_page_routes(
            _forms.PageHandlers(backend, self._credentials)
        )

    async def __call__(
        self, scope: _http.Scope, receive: _http.Receive, send: _http.Send
    ) -> None:
        """Serves one ASGI scope."""
        if scope["type"] == "lifespan":
            await _serve_lifespan(receive, send)
        elif scope["type"] == "http":
            await self._serve_http(scope, receive, send)

    async def _serve_http(
        self, scope: _http.Scope, receive: _http.Receive, send: _http.Send
    ) -> None:
        try:
            response = await self._respond(_http.parse_head(scope), receive)
        except Exception:
            _logger.exception("console: request failed")
            response = _http.refusal_response(
                errors.Refusal(
                    codes.Code.INTERNAL_ERROR,
                    "The node failed to answer; see its log.",
                )
            )
        await _http.send_response(response, send)

    async def _respond(
        self, head: _http.Request, receive: _http.Receive
    ) -> _http.Response:
        # The credential is checked before the body is read, so that a client
        # without one cannot make the node buffer a large body.
        refusal = self._check_credential(head)
        if refusal is not None:
            return refusal
        is_login = head.path == _LOGIN_PATH
        limit = _http.MAX_LOGIN_BYTES if is_login else _http.MAX_BODY_BYTES
        body = await _http.read_body(receive, limit)
        if isinstance(body, result.Err):
            return _http.refusal_response(body.err_value)
        request = dataclasses.replace(head, body=body.ok_value)
        if is_login:
            return self._log_in(request)
        if request.path.startswith(_BEARER_PATH_PREFIXES):
            return await dispatch(self._call_routes, request)
        return await self._respond_with_page(request)

    def _check_credential(self, head: _http.Request) -> _http.Response | None:
        """Returns the refusal of a request without a valid credential.

        Returns:
            The refusal, or None if the credential is valid or not needed.
        """
        if head.path.startswith(_BEARER_PATH_PREFIXES):
            if self._credentials.bearer_matches(head):
                return None
            return _http.refusal_response(
                errors.Refusal(
                    codes.Code.UNAUTHORIZED,
                    "Send the operator token as Authorization: Bearer.",
                ),
                {"www-authenticate": "Bearer"},
            )
        if head.path in _PUBLIC_PATHS or self._credentials.cookie_matches(head):
            return None
        return _pages.redirect(_LOGIN_PATH)

    async def _respond_with_page(
        self, request: _http.Request
    ) -> _http.Response:
        if request.path == _STYLE_PATH:
            return _pages.load_style_sheet()
        if request.method == "POST" and not (
            self._credentials.form_token_matches(request)
        ):
            # The form token prevents cross-site request forgery, since another
            # site cannot know it.
            return _pages.render(
                "login.html",
                "Log in",
                status=403,
                error="The form is out of date. Log in and send it again.",
            )
        return await dispatch(self._page_routes, request)

    def _log_in(self, request: _http.Request) -> _http.Response:
        if request.method != "POST":
            return _pages.render("login.html", "Log in")
        if self._credentials.token_matches(request.form().get("token", "")):
            cookie = _session.build_login_cookie_header(
                self._credentials.issue_cookie()
            )
            return _pages.redirect("/status", **{"set-cookie": cookie})
        return _pages.render(
            "login.html",
            "Log in",
            status=401,
            error="The operator token is wrong.",
        )


async def _serve_lifespan(receive: _http.Receive, send: _http.Send) -> None:
    """Confirms startup and shutdown; hypercorn fails without either reply."""
    while True:
        event = await receive()
        await send({"type": f"{event['type']}.complete"})
        if event["type"] == "lifespan.shutdown":
            return


def build_operator_application(
    backend: _backend.OperatorBackend, operator_token: str
) -> Application:
    """Returns the ASGI application of the operators' listener.

    Args:
        backend: The node.
        operator_token: Token from the node's settings.
    """
    return _OperatorApplication(backend, operator_token)
