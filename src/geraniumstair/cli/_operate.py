"""Handlers of the commands that call a running node."""

from collections.abc import Callable
import json
import sys
import time
from typing import Any
import urllib.parse

import result

from geraniumstair.cli import _client
from geraniumstair.cli import _exit_codes
from geraniumstair.cli import _local
from geraniumstair.cli import _operator_commands
from geraniumstair.cli import _print
from geraniumstair.cli import _rollout_commands

WATCH_INTERVAL_S = 2.0
_ROLLOUT_COLUMNS = (
    "name",
    "subsidiary",
    "service",
    "old_version",
    "new_version",
    "state",
    "step",
    "share_pct",
    "done_by_utc",
    "reason",
)


def _report_answer(
    command: Any,
    answer: _client.Answer,
    print_value: Callable[[Any], None],
    file_name: str = "",
) -> int:
    """Prints an answer or a failure and returns the exit code.

    Args:
        command: The command, with its output options.
        answer: Answer of the node, or the failure of the call.
        print_value: Prints an answer for people; not called with --json.
        file_name: File that faults refer to; empty if the command has none.
    """
    if isinstance(answer, result.Ok):
        if command.json:
            _print.print_json(answer.ok_value)
        else:
            print_value(answer.ok_value)
        return _exit_codes.ExitCode.OK
    failure = answer.err_value
    if command.json:
        value = dict(failure.value) or {"detail": failure.detail}
        _print.print_json(value)
        return failure.code
    faults = failure.value.get("faults") or []
    if [fault["detail"] for fault in faults] != [failure.value.get("detail")]:
        _print.print_faults(file_name, faults)
    _print.print_error(failure.detail)
    difference = failure.value.get("difference") or []
    if difference:
        print(
            "Changes from the newest revision to this document:",
            file=sys.stderr,
        )
        for line in difference:
            print(f"  {line}", file=sys.stderr)
    return failure.code


def _print_acceptance(value: Any) -> None:
    lines = value.get("difference", [])
    remark = "" if lines else " No value changes."
    print(f"Accepted as revision {value['revision']}.{remark}")
    for line in lines:
        print(f"  {line}")


def apply(command: _operator_commands.Apply) -> int:
    """Submits a document for acceptance."""
    content = _local.read_file(command.file)
    if content is None:
        return _exit_codes.ExitCode.USAGE
    try:
        text = content.decode("utf-8")
    except UnicodeDecodeError:
        _print.print_error(f"{command.file} is not UTF-8")
        return _exit_codes.ExitCode.INVALID
    body = {"base": command.base, "text": text}
    answer = _client.call_operator_listener(
        command, "POST", "/v1/configuration", body
    )
    return _report_answer(command, answer, _print_acceptance, command.file)


def show(command: _operator_commands.Show) -> int:
    """Prints the newest document."""

    def print_text(value: Any) -> None:
        sys.stdout.write(value["text"])
        sys.stdout.flush()
        remark = "" if value.get("from_store", True) else ", store unavailable"
        print(f"revision {value['revision']}{remark}", file=sys.stderr)

    answer = _client.call_operator_listener(command, "GET", "/v1/configuration")
    return _report_answer(command, answer, print_text)


def status(command: _operator_commands.Status) -> int:
    """Prints the status once, or repeatedly with --watch."""
    try:
        while True:
            answer = _client.call_operator_listener(
                command, "GET", "/v1/status"
            )
            code = _report_answer(command, answer, _print.print_values)
            if not command.watch:
                return code
            if not command.json:
                print()
            sys.stdout.flush()
            time.sleep(WATCH_INTERVAL_S)
    except KeyboardInterrupt:
        # An interrupt is the only way to end --watch, so it is not a failure.
        if not command.watch:
            raise
        return _exit_codes.ExitCode.OK


def dump(command: _operator_commands.Dump) -> int:
    """Prints the state dump, always as JSON."""
    answer = _client.call_operator_listener(command, "GET", "/v1/dump")
    return _report_answer(command, answer, _print.print_json)


def _quote_path_segment(name: str) -> str:
    return urllib.parse.quote(name, safe="")


def zone(command: _operator_commands.Zone) -> int:
    """Takes an availability zone out of service or back in."""
    path = f"/v1/availability-zones/{_quote_path_segment(command.name)}"
    body: dict[str, Any] = {"state": command.state}
    if command.base is not None:
        body["base"] = command.base
    answer = _client.call_operator_listener(command, "POST", path, body)
    return _report_answer(command, answer, _print_acceptance)


def rollout_start(command: _rollout_commands.RolloutStart) -> int:
    """Adds a rollout rule."""
    try:
        steps = [float(step) for step in command.steps_pct.split(",")]
    except ValueError:
        _print.print_error("--steps needs numbers such as 5,25,50,100")
        return _exit_codes.ExitCode.USAGE
    body: dict[str, Any] = {
        "name": command.name,
        "subsidiary": command.subsidiary,
        "service": command.service,
        "old_version": command.old_version,
        "new_version": command.new_version,
        "start_utc": command.start_utc,
        "done_by_utc": command.done_by_utc,
        "steps_pct": steps,
    }
    if command.base is not None:
        body["base"] = command.base
    answer = _client.call_operator_listener(
        command, "POST", "/v1/rollouts", body
    )
    return _report_answer(command, answer, _print_acceptance)


def rollout_status(command: _rollout_commands.RolloutStatus) -> int:
    """Lists the rollouts."""

    def print_rollouts(value: Any) -> None:
        if not value["rollouts"]:
            print("No rollouts.")
            return
        _print.print_table(_ROLLOUT_COLUMNS, value["rollouts"])

    answer = _client.call_operator_listener(command, "GET", "/v1/rollouts")
    return _report_answer(command, answer, print_rollouts)


def rollout_take_back(command: _rollout_commands.RolloutTakeBack) -> int:
    """Rolls a rollout back to the old version."""
    path = f"/v1/rollouts/{_quote_path_segment(command.name)}/take-back"
    answer = _client.call_operator_listener(command, "POST", path)
    return _report_answer(
        command,
        answer,
        lambda value: print(f"Rollout {value['rollout']} is taken back."),
    )


def search(command: _operator_commands.Search) -> int:
    """Runs one search."""
    try:
        query = json.loads(command.query)
    except ValueError:
        query = command.query
    body: dict[str, Any] = {"subsidiary": command.subsidiary, "query": query}
    if command.service_set:
        body["service_set"] = command.target
    else:
        body["services"] = [command.target]
    if command.deadline_ms is not None:
        body["deadline_ms"] = command.deadline_ms
    answer = _client.call_caller_listener(command, body)
    code = _report_answer(command, answer, _print.print_values)
    if isinstance(answer, result.Ok):
        number = _client.get_result_code(answer.ok_value)
        return _exit_codes.map_result_code(number or 0)
    return code
