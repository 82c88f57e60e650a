"""Counters of one endpoint, reported on the control port."""

import msgspec

MAX_FAULTED_ENDS = 1000


class Counters(msgspec.Struct, kw_only=True):
    """Counters and gauges of an endpoint since the last reset.

    Attributes:
        received: Search requests received.
        executed: Requests that acquired a slot.
        completed: Requests that got status 200.
        failed: Requests that got status 5xx after they had acquired a slot.
        shed: Requests rejected without being run.
        cancelled: Requests cancelled by the client.
        in_flight: Requests admitted and not yet answered.
        peak_in_flight: Maximum number of requests in flight.
        peak_over_bearing: Maximum number of requests in flight beyond the
            capacity of the cold endpoint; 0 if there was no overload.
        collapses: Number of collapses. A collapse is a period of slow service
            and failures after an overload of the cold endpoint.
        connections: Open connections.
        connections_opened: Connections accepted.
        connections_refused: Connections closed because the limit was reached.
        crossed: Replies sent with a wrong request id or snapshot.
        service_ms_sum: Total time in ms for which requests held slots.
        requests_by_version: Executed requests by version.
        requests_by_route: Executed requests by route.
        last_new_work_s: Time at which a request last acquired a slot, in s
            since 1970.
        faulted: Requests that a version fault affected.
        faulted_ends_s: Times in s since 1970 at which the first
            `MAX_FAULTED_ENDS` of the `faulted` requests ended.
        faulted_numbers: For each time in `faulted_ends_s`, the value of
            `executed` at that time.
    """

    received: int = 0
    executed: int = 0
    completed: int = 0
    failed: int = 0
    shed: int = 0
    cancelled: int = 0
    in_flight: int = 0
    peak_in_flight: int = 0
    peak_over_bearing: int = 0
    collapses: int = 0
    connections: int = 0
    connections_opened: int = 0
    connections_refused: int = 0
    crossed: int = 0
    service_ms_sum: float = 0.0
    requests_by_version: dict[str, int] = {}
    requests_by_route: dict[str, int] = {}
    last_new_work_s: float = 0.0
    faulted: int = 0
    faulted_ends_s: list[float] = []
    faulted_numbers: list[int] = []
