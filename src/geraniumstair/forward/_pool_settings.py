"""Identity and location of the node that uses endpoints."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class PoolSettings:
    """Identity and location of this node.

    Attributes:
        node_id: Id of this node.
        availability_zone: Availability zone of this node.
        remote_cost_ms: Time that is added to the cost of an endpoint in another
            availability zone.
    """

    node_id: str
    availability_zone: str
    remote_cost_ms: float
