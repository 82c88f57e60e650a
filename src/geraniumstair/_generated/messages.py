"""Generated from schema/messages.yaml."""

from __future__ import annotations

from typing import Annotated, Any, Literal, TypeAlias

from geraniumstair._struct import Message
from msgspec import UNSET, Meta, UnsetType, field

MessagesBetweenNodes: TypeAlias = Annotated[
    Any,
    Meta(
        description="Messages of the msgpack streams between nodes. Each definition becomes one msgspec struct, sent as a tagged array.",
        title="Messages between nodes",
    ),
]
"""
Messages of the msgpack streams between nodes. Each definition becomes one msgspec struct, sent as a tagged array.
"""


class Challenge(Message):
    """
    First message of the accepting side of a peer stream.
    """

    nonce: Annotated[bytes, Meta(description="16 random bytes.")]
    """
    16 random bytes.
    """


class Hello(Message):
    """
    Answer of the connecting side to a challenge.
    """

    node_id: str
    incarnation: Annotated[
        int, Meta(description="Start time of the process in ms since 1970.")
    ]
    """
    Start time of the process in ms since 1970.
    """
    availability_zone: str
    nonce: Annotated[bytes, Meta(description="16 random bytes.")]
    """
    16 random bytes.
    """
    proof: Annotated[
        bytes,
        Meta(
            description="HMAC-SHA256 of both nonces and the node id under the shared key."
        ),
    ]
    """
    HMAC-SHA256 of both nonces and the node id under the shared key.
    """


class Welcome(Message):
    """
    Accepts a peer stream and proves the shared key in return.
    """

    node_id: str
    incarnation: int
    proof: bytes


class Refused(Message):
    """
    Ends a peer stream with the reason.
    """

    code: Annotated[int, Meta(description="A result code.")]
    """
    A result code.
    """
    detail: str


class Call(Message):
    """
    A request on a peer stream that expects one reply.
    """

    call_id: Annotated[int, Meta(description="Unique on this stream and direction.")]
    """
    Unique on this stream and direction.
    """
    body: Annotated[bytes, Meta(description="One encoded message.")]
    """
    One encoded message.
    """


class Return(Message):
    """
    The reply to a call.
    """

    call_id: int
    body: Annotated[bytes, Meta(description="One encoded message.")]
    """
    One encoded message.
    """


class Failure(Message):
    """
    Reply of a node that could not handle a call.
    """

    code: Annotated[int, Meta(description="A result code.")]
    """
    A result code.
    """
    detail: str


class Ping(Message):
    """
    Shows that a stream is alive.
    """

    answer: Annotated[bool, Meta(description="Asks the receiver to send a ping back.")]
    """
    Asks the receiver to send a ping back.
    """


class ShardRequest(Message):
    """
    One shard's part of a search, sent from an entry node to the shard's owner.
    """

    search_id: Annotated[
        bytes, Meta(description="16 bytes that identify the search attempt.")
    ]
    """
    16 bytes that identify the search attempt.
    """
    service: Annotated[str, Meta(description="Qualified as subsidiary/service.")]
    """
    Qualified as subsidiary/service.
    """
    shard: str
    region: str
    route: Annotated[str, Meta(description="Kind of request at the endpoint.")]
    """
    Kind of request at the endpoint.
    """
    snapshot: Annotated[
        int, Meta(description="Snapshot that the endpoint must answer from.")
    ]
    """
    Snapshot that the endpoint must answer from.
    """
    body: Annotated[bytes, Meta(description="Request body for the endpoint.")]
    """
    Request body for the endpoint.
    """
    deadline_ms: Annotated[
        float, Meta(description="Remaining time when the message was sent.")
    ]
    """
    Remaining time when the message was sent.
    """
    priority: Annotated[int, Meta(description="0 is served first.")]
    """
    0 is served first.
    """
    repeatable: Annotated[
        bool,
        Meta(description="False forbids hedges and retries after an unknown outcome."),
    ]
    """
    False forbids hedges and retries after an unknown outcome.
    """
    provisional: Annotated[
        bool,
        Meta(
            description="Asks the second ranked node to serve although it does not own the shard."
        ),
    ]
    """
    Asks the second ranked node to serve although it does not own the shard.
    """


class ShardReply(Message):
    """
    Answer of a shard's owner to a shard request.
    """

    code: Annotated[int, Meta(description="A result code; 0 means answered.")]
    """
    A result code; 0 means answered.
    """
    detail: str
    not_run: Annotated[
        bool,
        Meta(description="True only if no endpoint can have acted on the request."),
    ]
    """
    True only if no endpoint can have acted on the request.
    """
    snapshot: int
    coverage_pct: Annotated[
        float, Meta(description="The endpoint's own coverage of its shard.")
    ]
    """
    The endpoint's own coverage of its shard.
    """
    body: bytes
    endpoint: str
    version: str
    snapshots: Annotated[
        list[int], Meta(description="Snapshots that the shard can serve now.")
    ]
    """
    Snapshots that the shard can serve now.
    """
    hedged: bool
    retry_after_ms: Annotated[float, Meta(description="0 if unknown.")]
    """
    0 if unknown.
    """


class CancelSearch(Message):
    """
    Tells an owner that nobody waits for a search any more.
    """

    search_id: bytes


class ShardName(Message):
    """
    Names one shard of a service in a region.
    """

    service: str
    shard: str
    region: str


class ShardSnapshots(Message):
    """
    Snapshots that one shard can serve.
    """

    shard: ShardName
    snapshots: list[int]


class SnapshotReply(Message):
    """
    Answer to a snapshot query.
    """

    shards: list[ShardSnapshots]


class EndpointState(Message):
    """
    What an owner knows about one endpoint.
    """

    endpoint: str
    boot_id: str
    limit: Annotated[int, Meta(description="Requests allowed at the same time.")]
    """
    Requests allowed at the same time.
    """
    warm: bool
    baseline_ms: Annotated[
        float, Meta(description="Usual service time while warm; 0 if unknown.")
    ]
    """
    Usual service time while warm; 0 if unknown.
    """
    in_flight: int


class ShardState(Message):
    """
    Endpoint states of one shard, sent each second to the second ranked node.
    """

    shard: ShardName
    endpoints: list[EndpointState]


class Handover(Message):
    """
    The previous owner gives up a shard; nothing of it is in flight any more.
    """

    state: ShardState
    view_epoch: int


class Member(Message):
    """
    One member of the view.
    """

    node_id: str
    incarnation: int
    address: str
    port: int
    availability_zone: str
    region: str


class View(Message):
    """
    The members that the store has recorded.
    """

    epoch: int
    members: list[Member]
    previous_members: Annotated[
        list[str], Meta(description="Node ids of the previous epoch.")
    ]
    """
    Node ids of the previous epoch.
    """


class StoppedVersion(Message):
    """
    A version that some owner or the judge has stopped.
    """

    rollout: str
    reason: str
    by: Annotated[str, Meta(description="Node id.")]
    """
    Node id.
    """


class Heartbeat(Message):
    """
    Sent at each interval to the neighbours.
    """

    node_id: str
    incarnation: int
    sent_ms: Annotated[
        int,
        Meta(
            description="The sender's monotonic clock; shows how long a heartbeat was under way."
        ),
    ]
    """
    The sender's monotonic clock; shows how long a heartbeat was under way.
    """
    view_epoch: int
    ages: Annotated[bytes, Meta(description="One byte per view member")]
    """
    One byte per view member
    """
    leaving: Annotated[
        list[str],
        Meta(
            description="Node id and incarnation of each member that shuts down gracefully."
        ),
    ]
    """
    Node id and incarnation of each member that shuts down gracefully.
    """
    config_revision: int
    in_force: Annotated[
        bytes,
        Meta(description="Bitmap of view members known to have the revision in force."),
    ]
    """
    Bitmap of view members known to have the revision in force.
    """
    stopped: list[StoppedVersion]
    coordinator: Annotated[str, Meta(description="Node id; empty if unknown.")]
    """
    Node id; empty if unknown.
    """
    coordinator_revision: Annotated[
        int,
        Meta(
            description="Create revision of the coordinator's lease key; greater ones are newer."
        ),
    ]
    """
    Create revision of the coordinator's lease key; greater ones are newer.
    """


class OwnershipClaim(Message):
    """
    A node that takes shards over asks a candidate to give way.
    """

    node_id: str
    shards: list[ShardName]


class OwnershipAnswer(Message):
    """
    The claimed shards that the candidate does not give way for yet.
    """

    held: list[ShardName]


class Join(Message):
    """
    A new node asks the coordinator to become a member; any node passes it on.
    """

    member: Member
    hops: Annotated[int, Meta(description="Times that the message was passed on.")]
    """
    Times that the message was passed on.
    """


class ViewRequest(Message):
    """
    Asks a peer for its view.
    """

    have_epoch: int


class ViewReply(Message):
    """
    The peer's view.
    """

    view: View


class ConfigurationRequest(Message):
    """
    Asks a peer for a configuration newer than the given one.
    """

    have_revision: int


class ConfigurationReply(Message):
    """
    The peer's configuration record; empty if it has nothing newer.
    """

    revision: int
    record: Annotated[bytes, Meta(description="Encoded ConfigurationRecord.")]
    """
    Encoded ConfigurationRecord.
    """


class ConfigurationRecord(Message):
    """
    Value of the store key `configuration`.
    """

    revision: int
    base: int
    change_id: str
    recent_change_ids: Annotated[
        list[str], Meta(description="Change ids of the last accepted documents")
    ]
    """
    Change ids of the last accepted documents
    """
    digest: Annotated[bytes, Meta(description="SHA-256 of the uncompressed document.")]
    """
    SHA-256 of the uncompressed document.
    """
    document: Annotated[bytes, Meta(description="zlib-compressed YAML text.")]
    """
    zlib-compressed YAML text.
    """
    content: (
        Annotated[
            bytes,
            Meta(
                description="zlib-compressed topology of the document; empty if it does not fit."
            ),
        ]
        | UnsetType
    ) = UNSET
    """
    zlib-compressed topology of the document; empty if it does not fit.
    """
    content_digest: (
        Annotated[
            bytes, Meta(description="SHA-256 of the digest and the compressed content.")
        ]
        | UnsetType
    ) = UNSET
    """
    SHA-256 of the digest and the compressed content.
    """


class ClaimRequest(Message):
    """
    Asks the claim server of a bucket for the right to run a request.
    """

    key: Annotated[
        bytes, Meta(description="SHA-256 of subsidiary and idempotency key.")
    ]
    """
    SHA-256 of subsidiary and idempotency key.
    """
    deadline_ms: float


class ClaimReply(Message):
    """
    Whether the claim was granted.
    """

    code: Annotated[int, Meta(description="0: granted.")]
    """
    0: granted.
    """
    detail: str
    outcome: Annotated[
        bytes, Meta(description="Stored outcome of an earlier run; empty if unknown.")
    ]
    """
    Stored outcome of an earlier run; empty if unknown.
    """


class ClaimOutcome(Message):
    """
    The outcome of a claimed request, kept in memory for repeated calls.
    """

    key: bytes
    outcome: bytes


class ClaimBatch(Message):
    """
    Value of a store key `once/<bucket>/<sequence>`.
    """

    batch_id: bytes
    created_ms: int
    keys: list[bytes]


class VersionEvidence(Message):
    """
    Counts of one version on one route in one time window.
    """

    rollout: str
    version: str
    route: str
    window_s: Annotated[int, Meta(description="Start of the one-second window")]
    """
    Start of the one-second window
    """
    completed: int
    failed: int
    slow: Annotated[
        int,
        Meta(description="Completions slower than the old version's 95th percentile."),
    ]
    """
    Completions slower than the old version's 95th percentile.
    """
    latency_sum_ms: float


class EvidenceReport(Message):
    """
    An owner's evidence for the judge of a rollout.
    """

    node_id: str
    sequence: int
    evidence: list[VersionEvidence]


class RolloutState(Message):
    """
    Value of a store key `rollout/<key>`, and message from the judge to the owners.
    """

    rollout: str
    state: Literal["PENDING", "GOING_ON", "DONE", "TAKEN_BACK"]
    step: int
    share_pct: float
    reason: str
    updated_ms: int
    recorded: bool
    service: str
    old_version: str
    new_version: str
    start_ms: int


class MirrorExchange(Message):
    """
    Proves how fresh the sender's mirror is, however long the notice was on its way.
    """

    counter: Annotated[
        int, Meta(description="Rises with each round of notices of the sender.")
    ]
    """
    Rises with each round of notices of the sender.
    """
    echo: Annotated[
        int,
        Meta(
            description="Counter that the sender last received from the receiver; 0 for none."
        ),
    ]
    """
    Counter that the sender last received from the receiver; 0 for none.
    """
    held_ms: Annotated[
        int, Meta(description="How long the sender has held that counter.")
    ]
    """
    How long the sender has held that counter.
    """
    age_ms: Annotated[
        int,
        Meta(
            description="Time since the sender's mirror certainly held every change of the store; negative if unknown or long ago."
        ),
    ]
    """
    Time since the sender's mirror certainly held every change of the store; negative if unknown or long ago.
    """


class MirrorRequest(Message):
    """
    Asks a peer for the changes after a revision.
    """

    after: Annotated[
        int,
        Meta(
            description="The sender's mirror is complete up to this revision; 0 asks for the whole contents."
        ),
    ]
    """
    The sender's mirror is complete up to this revision; 0 asks for the whole contents.
    """


class MirrorChanges(Message):
    """
    All changes between two revisions, or the whole contents.
    """

    after: Annotated[int, Meta(description="Revision that was asked for.")]
    """
    Revision that was asked for.
    """
    position: Annotated[
        int,
        Meta(
            description="The changes are complete up to this revision; equal to `after` if the peer does not know them all."
        ),
    ]
    """
    The changes are complete up to this revision; equal to `after` if the peer does not know them all.
    """
    items: Annotated[
        bytes,
        Meta(
            description="Compressed msgpack rows of key, value (nil if deleted) and revision."
        ),
    ]
    """
    Compressed msgpack rows of key, value (nil if deleted) and revision.
    """


class PartsRequest(Message):
    """
    Asks a node near the endpoints of some shards for their merged parts.
    """

    parts_id: Annotated[
        int, Meta(description="Unique among the sender's requests for parts.")
    ]
    """
    Unique among the sender's requests for parts.
    """
    version: Annotated[
        int, Meta(description="Version of the configuration that the search follows.")
    ]
    """
    Version of the configuration that the search follows.
    """
    shards: Annotated[list[str], Meta(description="Services of the shards.")]
    """
    Services of the shards.
    """
    elapsed_ms: Annotated[
        float, Meta(description="Time since the caller's request was received.")
    ]
    """
    Time since the caller's request was received.
    """
    remaining_ms: Annotated[
        float,
        Meta(
            description="How long the caller will wait from now on; negative if unknown."
        ),
    ]
    """
    How long the caller will wait from now on; negative if unknown.
    """
    request_id: bytes
    method: bytes
    target: bytes
    host: str
    path: str
    fields: list[list[bytes]]
    body: bytes
    has_body: bool
    account: (
        Annotated[
            str,
            Meta(description="Name of the caller's account; empty without an account."),
        ]
        | UnsetType
    ) = ""
    """
    Name of the caller's account; empty without an account.
    """
    route: (
        Annotated[
            str,
            Meta(
                description="Name of the route of the search. This and the fields below are the terms of that route."
            ),
        ]
        | UnsetType
    ) = ""
    """
    Name of the route of the search. This and the fields below are the terms of that route.
    """
    max_attempts: (
        Annotated[
            int,
            Meta(
                description="Endpoints of each shard that the request may run on; 0 from a node of an earlier build."
            ),
        ]
        | UnsetType
    ) = 0
    """
    Endpoints of each shard that the request may run on; 0 from a node of an earlier build.
    """
    timeout_ms: (
        Annotated[
            float, Meta(description="Longest time that the caller is kept waiting.")
        ]
        | UnsetType
    ) = 0
    """
    Longest time that the caller is kept waiting.
    """
    latency_goal_ms: float | UnsetType = 0
    priority: (
        Annotated[
            float,
            Meta(description="Priority of the route, or of the caller's account."),
        ]
        | UnsetType
    ) = 0
    """
    Priority of the route, or of the caller's account.
    """
    top_k: Annotated[int, Meta(description="Records of the answer.")] | UnsetType = 0
    """
    Records of the answer.
    """


class PartsEnd(Message):
    """
    The sender does not need the parts any more.
    """

    parts_id: int


class PartsReply(Message):
    """
    Merged parts of some shards.
    """

    declined: Annotated[
        str, Meta(description="Why there are no parts; empty if there are.")
    ]
    """
    Why there are no parts; empty if there are.
    """
    ran: Annotated[bool, Meta(description="The node may have called the shards.")]
    """
    The node may have called the shards.
    """
    answered: Annotated[
        list[int], Meta(description="Positions of the answered shards in the request.")
    ]
    """
    Positions of the answered shards in the request.
    """
    signatures: Annotated[
        list[bytes], Meta(description="Marks of the parts, in the same order.")
    ]
    """
    Marks of the parts, in the same order.
    """
    records: Annotated[
        bytes, Meta(description="The greatest records of the parts, greatest first.")
    ]
    """
    The greatest records of the parts, greatest first.
    """
    tried: Annotated[
        list[list[str]],
        Meta(
            description="For each shard of the request, the endpoints that may have run it."
        ),
    ]
    """
    For each shard of the request, the endpoints that may have run it.
    """
    ended: (
        Annotated[
            list[str],
            Meta(description="Endpoints that ended while they ran the request."),
        ]
        | UnsetType
    ) = field(default_factory=list)
    """
    Endpoints that ended while they ran the request.
    """
    routes_differ: (
        Annotated[
            bool,
            Meta(
                description="The parts were declined because the routes of the node lack some of the shards."
            ),
        ]
        | UnsetType
    ) = False
    """
    The parts were declined because the routes of the node lack some of the shards.
    """


class EndReport(Message):
    """
    An endpoint ended while it ran a request.
    """

    request_key: Annotated[bytes, Meta(description="Hash of the request's content.")]
    """
    Hash of the request's content.
    """
    route: str
    endpoint: Annotated[str, Meta(description="Id of the endpoint and its start.")]
    """
    Id of the endpoint and its start.
    """


class LimitReport(Message):
    """
    What an endpoint last stated about its request rate limit, for the nodes with a full part of the limit.
    """

    endpoint: str
    limit_per_s: Annotated[
        float,
        Meta(
            description="Requests a second of all nodes together; negative if the endpoint states no limit."
        ),
    ]
    """
    Requests a second of all nodes together; negative if the endpoint states no limit.
    """
    age_ms: Annotated[float, Meta(description="Time since the endpoint's answer.")]
    """
    Time since the endpoint's answer.
    """


class GrantRequest(Message):
    """
    Asks a node to give up one request of its part of an endpoint's limit.
    """

    report: LimitReport


class GrantReply(Message):
    """
    Whether the sender of the request may send one request to the endpoint.
    """

    granted: bool
    wait_ms: Annotated[
        float, Meta(description="Time until the node can grant a request.")
    ]
    """
    Time until the node can grant a request.
    """
    report: LimitReport


class SiteTime(Message):
    """
    The sender's time of day, for the median that all nodes use.
    """

    time_ms: Annotated[float, Meta(description="In ms since 1970.")]
    """
    In ms since 1970.
    """


class WindowCounts(Message):
    """
    A node's cumulative counts of requests in one window.
    """

    window: int
    accounts: Annotated[list[str], Meta(description="Client accounts.")]
    """
    Client accounts.
    """
    counts: Annotated[
        list[int], Meta(description="Requests of these accounts, in the same order.")
    ]
    """
    Requests of these accounts, in the same order.
    """


class UsageTotals(Message):
    """
    A node's counts of recent windows, for the node that reports them and its deputy.
    """

    process_id: Annotated[
        int, Meta(description="Distinguishes the processes of the sender.")
    ]
    """
    Distinguishes the processes of the sender.
    """
    sequence: Annotated[
        int, Meta(description="Rises with each message of the process.")
    ]
    """
    Rises with each message of the process.
    """
    windows: list[WindowCounts]
    recorded_window: Annotated[
        int,
        Meta(
            description="Newest window that the sender knows to be recorded, also by a store that was restored since; -1 if unknown."
        ),
    ]
    """
    Newest window that the sender knows to be recorded, also by a store that was restored since; -1 if unknown.
    """


class SnapshotQuery(Message):
    """
    Asks an owner for the snapshots that its shards can serve.
    """

    shards: list[ShardName]


class MirrorNotice(Message):
    """
    Tells a peer up to which change of the store this node knows.
    """

    newest: Annotated[
        int,
        Meta(
            description="Greatest revision at which an item of the mirror may have changed."
        ),
    ]
    """
    Greatest revision at which an item of the mirror may have changed.
    """
    watch_age_ms: Annotated[
        float,
        Meta(
            description="Time since some node's watch of the store worked; negative if unknown."
        ),
    ]
    """
    Time since some node's watch of the store worked; negative if unknown.
    """
    wants_notices: (
        Annotated[
            bool,
            Meta(
                description="The sender counts the receiver among its neighbours and relies on its notices."
            ),
        ]
        | UnsetType
    ) = False
    """
    The sender counts the receiver among its neighbours and relies on its notices.
    """
    complete_age_ms: (
        Annotated[
            float,
            Meta(
                description="Time since the sender's mirror held every change of the store; negative if unknown."
            ),
        ]
        | UnsetType
    ) = -1
    """
    Time since the sender's mirror held every change of the store; negative if unknown.
    """
    watch_failure_age_ms: (
        Annotated[
            float,
            Meta(
                description="Time since some node's watch of the store failed; negative if there was no failure of late."
            ),
        ]
        | UnsetType
    ) = -1
    """
    Time since some node's watch of the store failed; negative if there was no failure of late.
    """
    exchange: (
        Annotated[
            list[MirrorExchange],
            Meta(
                description="Freshness of the sender's mirror; empty while nothing depends on it."
            ),
        ]
        | UnsetType
    ) = field(default_factory=list)
    """
    Freshness of the sender's mirror; empty while nothing depends on it.
    """
