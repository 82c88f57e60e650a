"""Generated from schema/result-codes.yaml."""

import dataclasses
import enum


class Code(enum.IntEnum):
    """Numbered result codes."""

    OK = 0
    PARTIAL = 1
    CANCELLED = 2
    MALFORMED_BODY = 100
    UNKNOWN_SUBSIDIARY = 101
    UNKNOWN_SERVICE = 102
    INVALID_DEADLINE = 103
    BODY_TOO_LARGE = 104
    MISSING_IDEMPOTENCY_KEY = 105
    BODY_TOO_SLOW = 106
    INVALID_HEADER = 107
    UNAUTHORIZED = 108
    NOT_FOUND = 109
    METHOD_NOT_ALLOWED = 110
    NOT_REPEATABLE_SCOPE = 111
    OVERLOADED = 200
    QUEUE_FULL = 201
    DEADLINE_TOO_SHORT = 202
    SHUTTING_DOWN = 203
    AVAILABILITY_ZONE_OUT = 204
    STORE_UNAVAILABLE = 205
    NOT_OWNER = 206
    SNAPSHOT_UNAVAILABLE = 207
    NO_ENDPOINT = 208
    ENDPOINT_SHED = 209
    UNKNOWN_SHARD = 210
    NO_CONFIGURATION = 211
    OWNER_UNREACHABLE = 212
    CANCELLED_IN_QUEUE = 213
    NO_MAJORITY = 214
    CLAIM_UNRESOLVED = 215
    DEADLINE_EXCEEDED = 300
    ENDPOINT_FAILED = 301
    CONNECTION_LOST = 302
    ALREADY_CLAIMED = 303
    OWNER_LOST = 304
    RESPONSE_INVALID = 305
    COVERAGE_TOO_LOW = 306
    INTERNAL_ERROR = 307
    YAML_SYNTAX = 400
    ALIAS_FORBIDDEN = 401
    DUPLICATE_KEY = 402
    DOCUMENT_TOO_LARGE = 403
    SCHEMA_VIOLATION = 404
    UNKNOWN_REFERENCE = 405
    DUPLICATE_NAME = 406
    REVISION_CONFLICT = 407
    ACCEPTANCE_UNKNOWN = 408
    INVALID_VALUE = 409
    INVALID_ROLLOUT = 410
    PEER_UNAUTHENTICATED = 500
    PEER_MALFORMED = 501
    PEER_UNSUPPORTED = 502


@dataclasses.dataclass(frozen=True)
class CodeInfo:
    """Properties of a result code."""

    http_status: int
    not_run: bool
    meaning: str


INFO = {
    Code.OK: CodeInfo(
        http_status=200,
        not_run=False,
        meaning="Full answer.",
    ),
    Code.PARTIAL: CodeInfo(
        http_status=200,
        not_run=False,
        meaning="Answer over part of the shards; the coverage names the missing ones.",
    ),
    Code.CANCELLED: CodeInfo(
        http_status=499,
        not_run=False,
        meaning="The caller went away before the answer; outcome unknown.",
    ),
    Code.MALFORMED_BODY: CodeInfo(
        http_status=400,
        not_run=True,
        meaning="The request body is not valid.",
    ),
    Code.UNKNOWN_SUBSIDIARY: CodeInfo(
        http_status=404,
        not_run=True,
        meaning="No such subsidiary in the configuration in force.",
    ),
    Code.UNKNOWN_SERVICE: CodeInfo(
        http_status=404,
        not_run=True,
        meaning="No such service or service set in the configuration in force.",
    ),
    Code.INVALID_DEADLINE: CodeInfo(
        http_status=400,
        not_run=True,
        meaning="The deadline is not a number of milliseconds between 1 and 60000.",
    ),
    Code.BODY_TOO_LARGE: CodeInfo(
        http_status=413,
        not_run=True,
        meaning="The request body exceeds the limit of the settings.",
    ),
    Code.MISSING_IDEMPOTENCY_KEY: CodeInfo(
        http_status=400,
        not_run=True,
        meaning="A request that may not be repeated needs an Idempotency-Key header.",
    ),
    Code.BODY_TOO_SLOW: CodeInfo(
        http_status=408,
        not_run=True,
        meaning="The request body did not arrive in time.",
    ),
    Code.INVALID_HEADER: CodeInfo(
        http_status=400,
        not_run=True,
        meaning="A header value is not valid.",
    ),
    Code.UNAUTHORIZED: CodeInfo(
        http_status=401,
        not_run=True,
        meaning="The operator credential is missing or wrong.",
    ),
    Code.NOT_FOUND: CodeInfo(
        http_status=404,
        not_run=True,
        meaning="No such path.",
    ),
    Code.METHOD_NOT_ALLOWED: CodeInfo(
        http_status=405,
        not_run=True,
        meaning="The path does not support the method.",
    ),
    Code.NOT_REPEATABLE_SCOPE: CodeInfo(
        http_status=400,
        not_run=True,
        meaning="A request that may not be repeated must name a service with one shard.",
    ),
    Code.OVERLOADED: CodeInfo(
        http_status=503,
        not_run=True,
        meaning="The node serves as many searches as it can.",
    ),
    Code.QUEUE_FULL: CodeInfo(
        http_status=503,
        not_run=True,
        meaning="The queue of a shard is full.",
    ),
    Code.DEADLINE_TOO_SHORT: CodeInfo(
        http_status=503,
        not_run=True,
        meaning="The remaining time is too short for the request to be served.",
    ),
    Code.SHUTTING_DOWN: CodeInfo(
        http_status=503,
        not_run=True,
        meaning="The node shuts down.",
    ),
    Code.AVAILABILITY_ZONE_OUT: CodeInfo(
        http_status=503,
        not_run=True,
        meaning="The node's availability zone is taken out.",
    ),
    Code.STORE_UNAVAILABLE: CodeInfo(
        http_status=503,
        not_run=True,
        meaning="The key-value service cannot record what the request needs.",
    ),
    Code.NOT_OWNER: CodeInfo(
        http_status=503,
        not_run=True,
        meaning="The node does not own the shard.",
    ),
    Code.SNAPSHOT_UNAVAILABLE: CodeInfo(
        http_status=503,
        not_run=True,
        meaning="The shard cannot serve the pinned snapshot.",
    ),
    Code.NO_ENDPOINT: CodeInfo(
        http_status=503,
        not_run=True,
        meaning="No endpoint of the shard may be used now.",
    ),
    Code.ENDPOINT_SHED: CodeInfo(
        http_status=503,
        not_run=True,
        meaning="The endpoint refused the request without running it.",
    ),
    Code.UNKNOWN_SHARD: CodeInfo(
        http_status=503,
        not_run=True,
        meaning="The owner's configuration has no such shard.",
    ),
    Code.NO_CONFIGURATION: CodeInfo(
        http_status=503,
        not_run=True,
        meaning="The node has no configuration yet.",
    ),
    Code.OWNER_UNREACHABLE: CodeInfo(
        http_status=503,
        not_run=True,
        meaning="No stream to the shard's owner; nothing was sent.",
    ),
    Code.CANCELLED_IN_QUEUE: CodeInfo(
        http_status=503,
        not_run=True,
        meaning="The request was cancelled while it waited.",
    ),
    Code.NO_MAJORITY: CodeInfo(
        http_status=503,
        not_run=True,
        meaning="The node is cut off from most of its region and must not run the request.",
    ),
    Code.CLAIM_UNRESOLVED: CodeInfo(
        http_status=503,
        not_run=True,
        meaning="The claim could not be confirmed; this call was not and will not be run.",
    ),
    Code.DEADLINE_EXCEEDED: CodeInfo(
        http_status=504,
        not_run=False,
        meaning="The deadline passed; the outcome is unknown.",
    ),
    Code.ENDPOINT_FAILED: CodeInfo(
        http_status=502,
        not_run=False,
        meaning="The endpoint answered with an error; the outcome is unknown.",
    ),
    Code.CONNECTION_LOST: CodeInfo(
        http_status=502,
        not_run=False,
        meaning="The connection to the endpoint broke after the request was sent.",
    ),
    Code.ALREADY_CLAIMED: CodeInfo(
        http_status=409,
        not_run=False,
        meaning="A request with this idempotency key was admitted before; its outcome is unknown here.",
    ),
    Code.OWNER_LOST: CodeInfo(
        http_status=502,
        not_run=False,
        meaning="The stream to the shard's owner broke after the request was sent.",
    ),
    Code.RESPONSE_INVALID: CodeInfo(
        http_status=502,
        not_run=False,
        meaning="The endpoint's answer belongs to another request or snapshot.",
    ),
    Code.COVERAGE_TOO_LOW: CodeInfo(
        http_status=504,
        not_run=False,
        meaning="Fewer shards answered than the least coverage asks for.",
    ),
    Code.INTERNAL_ERROR: CodeInfo(
        http_status=500,
        not_run=False,
        meaning="A fault in the node; the outcome is unknown.",
    ),
    Code.YAML_SYNTAX: CodeInfo(
        http_status=422,
        not_run=True,
        meaning="The document is not valid YAML.",
    ),
    Code.ALIAS_FORBIDDEN: CodeInfo(
        http_status=422,
        not_run=True,
        meaning="Anchors and aliases are not allowed.",
    ),
    Code.DUPLICATE_KEY: CodeInfo(
        http_status=422,
        not_run=True,
        meaning="A mapping has the same key twice.",
    ),
    Code.DOCUMENT_TOO_LARGE: CodeInfo(
        http_status=422,
        not_run=True,
        meaning="The document exceeds its size or depth limit.",
    ),
    Code.SCHEMA_VIOLATION: CodeInfo(
        http_status=422,
        not_run=True,
        meaning="A value does not fit the schema.",
    ),
    Code.UNKNOWN_REFERENCE: CodeInfo(
        http_status=422,
        not_run=True,
        meaning="A name refers to nothing in the document.",
    ),
    Code.DUPLICATE_NAME: CodeInfo(
        http_status=422,
        not_run=True,
        meaning="Two items share a name or an address.",
    ),
    Code.REVISION_CONFLICT: CodeInfo(
        http_status=409,
        not_run=True,
        meaning="Another revision was accepted since the base.",
    ),
    Code.ACCEPTANCE_UNKNOWN: CodeInfo(
        http_status=504,
        not_run=False,
        meaning="The store did not say whether the document was accepted.",
    ),
    Code.INVALID_VALUE: CodeInfo(
        http_status=422,
        not_run=True,
        meaning="A value contradicts another one in the document.",
    ),
    Code.INVALID_ROLLOUT: CodeInfo(
        http_status=409,
        not_run=True,
        meaning="The rollout is in a state that does not allow the command.",
    ),
    Code.PEER_UNAUTHENTICATED: CodeInfo(
        http_status=401,
        not_run=True,
        meaning="The peer does not hold the shared key.",
    ),
    Code.PEER_MALFORMED: CodeInfo(
        http_status=400,
        not_run=True,
        meaning="The peer sent something that is not a message.",
    ),
    Code.PEER_UNSUPPORTED: CodeInfo(
        http_status=400,
        not_run=True,
        meaning="The node does not handle this message.",
    ),
}
