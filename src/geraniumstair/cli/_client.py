"""HTTP calls to a node's listeners."""

from collections.abc import Mapping
import dataclasses
import json
import os
import pathlib
from typing import Any

import httpcore
import result

from geraniumstair.cli import _exit_codes
from geraniumstair.cli import _operator_commands

# The node retries an acceptance for several seconds while the store does not
# answer.
REQUEST_TIMEOUT_S = 30.0
CONNECT_TIMEOUT_S = 5.0
SEARCH_PATH = "/v1/search"


@dataclasses.dataclass(frozen=True)
class CommandFailure:
    """A call that was refused or got no answer.

    Attributes:
        code: Exit code of the command.
        detail: What happened and what to do next.
        value: JSON value of the refusal; empty if there was no answer.
    """

    code: _exit_codes.ExitCode
    detail: str
    value: Mapping[str, Any] = dataclasses.field(default_factory=dict)


Answer = result.Result[Any, CommandFailure]

# Next steps by name of the result code, for refusals whose detail cannot refer
# to the command line.
_NEXT_STEPS = {
    "UNAUTHORIZED": "Check the token, and that the URL is the operators' "
    "listener (--operator) or the callers' one (--caller).",
    "NOT_FOUND": "Check the port: operators and callers have different "
    "listeners.",
    "UNKNOWN_SUBSIDIARY": "`geraniumstair show` prints the names.",
    "UNKNOWN_SERVICE": "`geraniumstair show` prints the names; a service set "
    "needs --service-set.",
    "UNKNOWN_REFERENCE": "`geraniumstair show` prints the names.",
    "STORE_UNAVAILABLE": "Try again when the store answers; see "
    "`geraniumstair status`.",
    "DEADLINE_EXCEEDED": "Give more time with --deadline-ms.",
    "REVISION_CONFLICT": "`geraniumstair show` prints the newest document.",
    "ACCEPTANCE_UNKNOWN": "Check with `geraniumstair show` before you repeat "
    "the command.",
    "OVERLOADED": "Try again, or try another node.",
    "SHUTTING_DOWN": "Try another node.",
    "AVAILABILITY_ZONE_OUT": "Try a node of another availability zone.",
    "NO_CONFIGURATION": "Apply the first document with `geraniumstair apply "
    "FILE --base 0`.",
}


def _read_token(command: Any) -> result.Result[str, CommandFailure]:
    if command.token_file:
        try:
            text = pathlib.Path(command.token_file).read_text("utf-8")
        except (OSError, UnicodeDecodeError):
            return result.Err(
                CommandFailure(
                    _exit_codes.ExitCode.USAGE,
                    f"cannot read the token file {command.token_file}",
                )
            )
        return result.Ok(text.strip())
    token = os.environ.get("GERANIUMSTAIR_TOKEN", "")
    if token:
        return result.Ok(token)
    return result.Err(
        CommandFailure(
            _exit_codes.ExitCode.UNAUTHORIZED,
            "no operator token given: use --token-file or set "
            "GERANIUMSTAIR_TOKEN",
        )
    )


def call_operator_listener(
    command: Any, method: str, path: str, body: Any = None
) -> Answer:
    """Calls the operators' listener.

    Args:
        command: A command with the options of `_options.Operator`.
        method: HTTP method.
        path: Path of the call.
        body: JSON value, or None for no body.

    Returns:
        The JSON value of the answer, or the failure.
    """
    if not command.operator:
        return result.Err(
            CommandFailure(
                _exit_codes.ExitCode.USAGE,
                "no operators' listener given: use --operator URL or set "
                "GERANIUMSTAIR_OPERATOR",
            )
        )
    token = _read_token(command)
    if isinstance(token, result.Err):
        return token
    headers = {"authorization": f"Bearer {token.ok_value}"}
    return request_json(command.operator, method, path, headers, body)


def send(
    method: str, url: str, headers: Mapping[str, str], content: bytes
) -> tuple[int, bytes]:
    """Sends one request and returns the status and the body of the answer.

    Raises the exceptions of httpcore.
    """
    timeouts = {
        "connect": CONNECT_TIMEOUT_S,
        "read": REQUEST_TIMEOUT_S,
        "write": REQUEST_TIMEOUT_S,
        "pool": REQUEST_TIMEOUT_S,
    }
    response = httpcore.request(
        method,
        url,
        headers=[(name, value) for name, value in headers.items()],
        content=content,
        extensions={"timeout": timeouts},
    )
    return response.status, response.content


def request_json(
    base_url: str,
    method: str,
    path: str,
    headers: Mapping[str, str],
    body: Any,
) -> Answer:
    """Sends a request and parses the JSON answer."""
    content = b"" if body is None else json.dumps(body).encode()
    url = base_url.rstrip("/") + path
    try:
        status, text = send(method, url, headers, content)
    except (httpcore.ConnectError, httpcore.ConnectTimeout):
        return result.Err(
            CommandFailure(
                _exit_codes.ExitCode.UNAVAILABLE,
                f"cannot connect to {base_url}: check the address, or try "
                "another node",
            )
        )
    except (httpcore.UnsupportedProtocol, httpcore.LocalProtocolError):
        return result.Err(
            CommandFailure(
                _exit_codes.ExitCode.USAGE,
                f"cannot send to {base_url}: use http://ADDRESS:PORT and "
                "a token of plain ASCII text",
            )
        )
    except (
        httpcore.NetworkError,
        httpcore.TimeoutException,
        httpcore.RemoteProtocolError,
    ):
        return result.Err(_build_no_answer_failure(method, path, base_url))
    return _parse_answer(status, text, base_url)


def _build_no_answer_failure(
    method: str, path: str, base_url: str
) -> CommandFailure:
    if method == "GET":
        return CommandFailure(
            _exit_codes.ExitCode.UNAVAILABLE,
            f"{base_url} did not answer: try another node",
        )
    if path == SEARCH_PATH:
        return CommandFailure(
            _exit_codes.ExitCode.UNKNOWN,
            f"{base_url} did not answer, and the search may have run: "
            "search again, or try another node",
        )
    return CommandFailure(
        _exit_codes.ExitCode.UNKNOWN,
        f"{base_url} did not answer, and the change may have been made: "
        "check with `geraniumstair show` before you repeat the command",
    )


def get_result_code(value: Any) -> int | None:
    """Returns the result code of a JSON answer, or None if it has none.

    The operators' listener sends it as `code`, the callers' listener as
    `result_code`.
    """
    if not isinstance(value, dict):
        return None
    code_number = value.get("code", value.get("result_code"))
    return code_number if isinstance(code_number, int) else None


def _parse_answer(status: int, text: bytes, base_url: str) -> Answer:
    try:
        value = json.loads(text)
    except ValueError:
        value = None
    if status == 200 and isinstance(value, dict):
        return result.Ok(value)
    code_number = get_result_code(value)
    if code_number is None:
        return result.Err(
            CommandFailure(
                _exit_codes.ExitCode.UNAVAILABLE,
                f"{base_url} is not the expected listener "
                f"(HTTP status {status}): check the port",
            )
        )
    code = _exit_codes.map_result_code(code_number)
    name = value.get("name") or value.get("result_name")
    detail = f"{name} ({code_number}): {value.get('detail')}"
    if name in _NEXT_STEPS:
        detail = f"{detail.rstrip('.')}. {_NEXT_STEPS[name]}"
    return result.Err(CommandFailure(code, detail, value))


def call_caller_listener(
    command: _operator_commands.Search, body: Mapping[str, Any]
) -> Answer:
    """Sends a search to the callers' listener.

    Args:
        command: The command, with the URL of the listener.
        body: JSON value of the request.

    Returns:
        The JSON value of the answer, or the failure.
    """
    if not command.caller:
        return result.Err(
            CommandFailure(
                _exit_codes.ExitCode.USAGE,
                "no callers' listener given: use --caller URL or set "
                "GERANIUMSTAIR_CALLER",
            )
        )
    headers = {"content-type": "application/json"}
    return request_json(command.caller, "POST", SEARCH_PATH, headers, body)
