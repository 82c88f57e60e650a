"""Gauges of a node's state, evaluated whenever the metrics are read."""

from geraniumstair import configuration
from geraniumstair import dispatch
from geraniumstair import membership
from geraniumstair import observe


def register_gauges(
    metrics: observe.MetricsRegistry,
    holder: configuration.ConfigurationHolder,
    members: membership.Membership,
    dispatcher: dispatch.Dispatcher,
) -> None:
    """Registers the gauges of one node."""

    def sum_over_shards(field: str) -> float:
        return sum(shard[field] for shard in dispatcher.dump()["shards"])

    metrics.gauge(
        "configuration",
        "revision",
        "Revision of the configuration in force at this node.",
        lambda: holder.revision,
    )
    metrics.gauge(
        "membership",
        "alive_members",
        "Members that this node considers alive, itself included.",
        lambda: len(members.alive_members()),
    )
    metrics.gauge(
        "membership",
        "owned_shards",
        "Shards that this node owns or takes over.",
        lambda: len(members.ownership()),
    )
    metrics.gauge(
        "dispatch",
        "slots_in_use",
        "Endpoint slots that hold a request of this node.",
        lambda: sum_over_shards("in_flight"),
    )
    metrics.gauge(
        "dispatch",
        "queue_length",
        "Shard requests that wait at this node.",
        lambda: sum_over_shards("queued"),
    )
