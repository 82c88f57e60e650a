"""Builders of configuration files for the check before they are sent."""

import copy
import json
from typing import Any

KEYS = ("key-of-a-1", "key-of-a-2", "key-of-b-1")
_CONFIG: dict[str, Any] = {
    "Version": 7,
    "Routes": [
        {
            "Host": "p.example",
            "Prefix": "/a/",
            "RouteType": "idempotent",
            "MaxAttempts": 2,
            "TimeoutMs": 600,
            "LatencyGoalMs": 71,
            "FanoutServices": ["x", "y"],
            "TopK": 5,
            "MinShardRatio": 1.0,
        },
        {
            "Host": "p.example",
            "Prefix": "/b/",
            "WeightedSplit": [
                {"Service": "u", "Weight": 3},
                {"Service": "v", "Weight": 1},
            ],
        },
        {"Host": "p.example", "Prefix": "/c/", "Service": "u"},
    ],
    "Services": [{"Name": name} for name in ("x", "y", "u", "v")],
    "Limits": {"MaxBodyBytes": 100},
    "Tenants": [
        {"Name": "a", "ApiKeys": [KEYS[0], KEYS[1]]},
        {"Name": "b", "ApiKeys": [KEYS[2]], "Priority": 2},
    ],
}
REMOVED = object()
"""Value of a field that a file lacks."""


def build_file(
    changes: dict[tuple[str | int, ...], Any] | None = None,
) -> bytes:
    """Returns a sound configuration with changes.

    Args:
        changes: Values by the path of their field. An index at the end of its
            list appends.
    """
    config = copy.deepcopy(_CONFIG)
    for path, value in (changes or {}).items():
        parent: Any = config
        for step in path[:-1]:
            parent = parent[step]
        if value is REMOVED:
            del parent[path[-1]]
        elif isinstance(parent, list) and path[-1] == len(parent):
            parent.append(value)
        else:
            parent[path[-1]] = value
    return json.dumps(config).encode()
