"""Levels of authority that a node can have over a shard."""

import enum


class Authority(enum.Enum):
    """What a node may do with the endpoints of a shard.

    Attributes:
        NONE: The node sends no requests to the endpoints.
        WAITING: The node is claiming the shard; requests stay queued.
        LIMITED: The node may use only endpoints that are warm.
        FULL: The node is the only owner and may use every endpoint.
    """

    NONE = "none"
    WAITING = "waiting"
    LIMITED = "limited"
    FULL = "full"
