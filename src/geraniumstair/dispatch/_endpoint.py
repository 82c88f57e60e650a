"""State of one endpoint: connections, concurrency limit and health."""

from collections.abc import Callable
from collections.abc import Sequence
from typing import Any
from typing import Protocol

import trio

from geraniumstair import configuration
from geraniumstair._generated import messages
from geraniumstair.dispatch import _client
from geraniumstair.dispatch import _connection
from geraniumstair.dispatch import _metrics
from geraniumstair.dispatch import _outlier
from geraniumstair.dispatch import _ramp

# Age at which the last observed state of an endpoint has expired. An endpoint
# whose state has expired counts as cold.
STATE_TTL_S = 5.0
# Time without requests after which an endpoint gets a status probe.
PROBE_IDLE_S = 1.0


class EndpointListener(Protocol):
    """Receives the events of an endpoint."""

    def on_attempt_finished(
        self,
        endpoint: "Endpoint",
        attempt: _connection.Attempt,
        reply: _client.EndpointReply,
        withdrawn: bool,
    ) -> None:
        """Handles the end of an attempt, whose slot is free again."""

    def on_slot_available(self) -> None:
        """Handles a change after which queued requests may be served."""


Spawn = Callable[[_connection.ConnectionWorker], None]


class Endpoint:
    """One replica of a shard, as its owner knows it.

    After a start, an endpoint is cold, which means that it is slow. Its
    concurrency limit is then one, and its ramp raises the limit in steps.

    Attributes:
        spec: Configuration of the endpoint.
        client: Opens connections to the endpoint.
        ramp: Adaptive concurrency limit.
        health: Recent faults and mean latency.
        in_flight: Number of requests that hold a slot.
        snapshots: Snapshots that the endpoint can serve; None while unknown.
        boot_id: Identifies the endpoint's process since its last known start;
            empty while unknown.
        draining: Whether the endpoint asks for no new requests.
        unreachable: Whether the last attempt to connect failed.
        excluded: Whether the operators keep the endpoint out of use.
        on_leaving_vm: Whether the VM list, which may be wrong, names the
            endpoint's VM as leaving.
    """

    def __init__(
        self,
        spec: configuration.EndpointSpec,
        client: _client.EndpointClient,
        listener: EndpointListener,
        spawn: Spawn,
    ) -> None:
        self.spec = spec
        self.client = client
        self.ramp = _ramp.Ramp(self._count_usable_slots(spec))
        self.health = _outlier.Health()
        self.in_flight = 0
        self.snapshots: tuple[int, ...] | None = None
        self.boot_id = ""
        self.draining = False
        self.unreachable = False
        self.excluded = False
        self.on_leaving_vm = False
        self._listener = listener
        self._spawn = spawn
        self._workers: set[_connection.ConnectionWorker] = set()
        self._idle_workers: list[_connection.ConnectionWorker] = []
        self._queued_cancels: list[bytes] = []
        self._serving = False
        # Whether the reply to a request has stated the boot id since a
        # connection was lost or this node took the shard over.
        self._boot_id_confirmed = False
        self._target_connections = 0
        self._paused_until_s = 0.0
        self._observed_s = -STATE_TTL_S
        self._last_request_s = 0.0

    @staticmethod
    def _count_usable_slots(spec: configuration.EndpointSpec) -> int:
        return max(1, min(spec.slots, spec.connections))

    # Availability.

    def is_in_service(self) -> bool:
        """Returns whether the endpoint is neither excluded nor draining."""
        return not (self.excluded or self.draining)

    def is_usable(self) -> bool:
        """Returns whether the endpoint is in service and reachable."""
        return self.is_in_service() and not self.unreachable

    def has_free_slot(self, now_s: float) -> bool:
        """Returns whether the endpoint can get a request now."""
        return (
            bool(self._idle_workers)
            and self.in_flight
            < (self.ramp.limit if self._boot_id_confirmed else 1)
            and not self.excluded
            and not self.draining
            and self.health.ejected_until_s <= now_s
            and self._paused_until_s <= now_s
        )

    def is_warm(self, now_s: float) -> bool:
        """Returns whether the endpoint is warm and its state unexpired."""
        return self.ramp.warm and now_s - self._observed_s < STATE_TTL_S

    def set_excluded(self, excluded: bool) -> None:
        """Takes the endpoint out of use, or back into use as a cold one."""
        if self.excluded and not excluded:
            self.restart_ramp("returned")
        self.excluded = excluded
        self.adjust_connections()

    def set_serving(self, serving: bool) -> None:
        """Sets whether this node serves the shard."""
        if serving and not self._serving:
            self._reset_expired_state()
            self._boot_id_confirmed = False
        self._serving = serving
        self.adjust_connections()

    def reconfigure(self, spec: configuration.EndpointSpec) -> None:
        """Applies a new specification with the same address and version."""
        self.spec = spec
        self.ramp.resize(self._count_usable_slots(spec))
        self.adjust_connections()

    def restart_ramp(self, reason: str, *, suspected: bool = False) -> None:
        """Restarts the ramp as for a cold endpoint.

        Args:
            reason: Label of the metric.
            suspected: Whether the endpoint counts among those ramped on
                suspicion, which are at most half of a shard's endpoints.
        """
        _metrics.count_cold_ramp(reason)
        self.ramp.reset(suspected=suspected)
        self.health.samples = 0
        self.adjust_connections()

    def load_state(self, state: messages.EndpointState, *, owned: bool) -> None:
        """Applies the state that another owner has measured.

        Args:
            state: The state.
            owned: Whether this node owns the shard. If so, the limit may be
                lowered but is not raised.
        """
        same_boot = not self.boot_id or self.boot_id == state.boot_id
        if owned:
            if state.limit < self.ramp.limit and same_boot:
                self.ramp.restore(state.limit, False, self.ramp.baseline_ms)
            return
        if not same_boot:
            self.ramp.reset()
        self.boot_id = state.boot_id
        self._observed_s = trio.current_time()
        self.ramp.restore(state.limit, state.warm, state.baseline_ms)

    def export_state(self) -> messages.EndpointState:
        """Returns the state for the next owner."""
        now_s = trio.current_time()
        up_to_date = now_s - self._observed_s < STATE_TTL_S
        return messages.EndpointState(
            endpoint=self.spec.name,
            boot_id=self.boot_id,
            limit=self.ramp.limit if up_to_date else 1,
            warm=self.is_warm(now_s),
            baseline_ms=self.ramp.baseline_ms,
            in_flight=self.in_flight,
        )

    def _reset_expired_state(self) -> None:
        if trio.current_time() - self._observed_s >= STATE_TTL_S:
            self.ramp.reset()

    def _update_from_reply(self, reply: _client.EndpointReply) -> None:
        if reply.snapshots is not None:
            self.snapshots = reply.snapshots
        if reply.draining or reply.outcome is _client.Outcome.ANSWERED:
            self.draining = reply.draining
        if self.unreachable and reply.outcome is _client.Outcome.ANSWERED:
            self.unreachable = False
            self.restart_ramp("reconnected")
        if not reply.boot_id:
            return
        self._observed_s = trio.current_time()
        if reply.boot_id == self.boot_id:
            return
        had_boot_id = bool(self.boot_id)
        self.boot_id = reply.boot_id
        if had_boot_id:
            self.ramp.baseline_ms = 0.0
            self.restart_ramp("restarted")

    # Connections.

    def adjust_connections(self) -> None:
        """Opens or closes connections to match the limit, plus one spare."""
        target = 0
        if self._serving and not self.excluded:
            target = min(self.spec.connections, self.ramp.limit + 1)
            if self.draining or self.unreachable:
                target = 1
        while len(self._workers) < target:
            worker = _connection.ConnectionWorker(self)
            self._workers.add(worker)
            self._spawn(worker)
        while len(self._workers) > target and self._idle_workers:
            worker = self._idle_workers.pop(0)
            self._workers.discard(worker)
            worker.close()
        self._target_connections = target

    def on_connected(self, worker: _connection.ConnectionWorker) -> bool:
        """Handles an opened connection; returns False if it isn't needed."""
        if self.unreachable:
            self.unreachable = False
            self.restart_ramp("reconnected")
        return self._is_needed(worker)

    def on_connection_lost(self) -> None:
        """Handles a lost connection: the endpoint may have restarted cold.

        The endpoint gets one request at a time until the reply to a request
        states its boot id. The reply to a status probe doesn't count, since it
        may be out of date.
        """
        self._boot_id_confirmed = False

    def on_connect_failed(self, worker: _connection.ConnectionWorker) -> bool:
        """Handles a failed connect; one worker continues to try."""
        if not self.unreachable:
            self.unreachable = True
            self.restart_ramp("unreachable")
            self._listener.on_slot_available()
        return self._is_needed(worker)

    def _is_needed(self, worker: _connection.ConnectionWorker) -> bool:
        return (
            worker in self._workers
            and len(self._workers) <= self._target_connections
        )

    def on_idle(self, worker: _connection.ConnectionWorker) -> bool:
        """Handles a worker that is ready for a job."""
        if not self._is_needed(worker):
            return False
        if self._queued_cancels:
            worker.assign(_connection.CancelJob(self._queued_cancels.pop()))
            return True
        self._idle_workers.append(worker)
        self._listener.on_slot_available()
        return True

    def on_worker_ended(self, worker: _connection.ConnectionWorker) -> None:
        """Removes an ended worker."""
        self._workers.discard(worker)
        if worker in self._idle_workers:
            self._idle_workers.remove(worker)

    def start_attempt(self, attempt: _connection.Attempt) -> None:
        """Starts an attempt; `has_free_slot` must be true."""
        self.in_flight += 1
        self._last_request_s = trio.current_time()
        self._idle_workers.pop().assign(attempt)

    def abandon_attempt(self, attempt: _connection.Attempt) -> None:
        """Abandons an attempt and asks the endpoint to cancel it."""
        if attempt.abandoned:
            return
        attempt.abandoned = True
        if not attempt.sent_s or attempt.scope is None:
            return
        late_reply_deadline_s = (
            trio.current_time() + _connection.LATE_REPLY_WAIT_S
        )
        attempt.scope.deadline = min(
            attempt.scope.deadline, late_reply_deadline_s
        )
        request_id = attempt.request.request_id
        if self._idle_workers:
            self._idle_workers.pop().assign(_connection.CancelJob(request_id))
        else:
            self._queued_cancels.append(request_id)

    def on_attempt_finished(
        self,
        attempt: _connection.Attempt,
        reply: _client.EndpointReply,
        withdrawn: bool,
    ) -> None:
        """Frees the slot of an ended attempt and reports its outcome."""
        self.in_flight -= 1
        if attempt.request.request_id in self._queued_cancels:
            self._queued_cancels.remove(attempt.request.request_id)
        if not withdrawn:
            self._update_from_reply(reply)
            if reply.boot_id:
                self._boot_id_confirmed = True
            if reply.outcome is _client.Outcome.SHED:
                self.ramp.back_off()
                self._paused_until_s = (
                    trio.current_time() + _connection.SHED_PAUSE_S
                )
        self._listener.on_attempt_finished(self, attempt, reply, withdrawn)
        self.adjust_connections()

    def probe_if_idle(self, now_s: float) -> None:
        """Sends a status probe if the endpoint had no requests for a while."""
        if (
            now_s - self._last_request_s < PROBE_IDLE_S
            or not self._idle_workers
        ):
            return
        self._last_request_s = now_s
        self._idle_workers.pop().assign(_connection.StatusProbe())

    def on_probe_finished(self, reply: _client.EndpointReply) -> None:
        """Updates the state from the reply to a status probe."""
        if reply.outcome is _client.Outcome.ANSWERED:
            self._update_from_reply(reply)
            self.adjust_connections()

    def dump(self, now_s: float) -> dict[str, Any]:
        """Returns the state of the endpoint for the state dump."""
        return {
            "endpoint": self.spec.name,
            "availability_zone": self.spec.availability_zone,
            "version": self.spec.version,
            "slots": self.spec.slots,
            "limit": self.ramp.limit,
            "warm": self.is_warm(now_s),
            "baseline_ms": round(self.ramp.baseline_ms, 3),
            "in_flight": self.in_flight,
            "connections": len(self._workers),
            "idle_connections": len(self._idle_workers),
            "boot_id": self.boot_id,
            "draining": self.draining,
            "excluded": self.excluded,
            "on_leaving_vm": self.on_leaving_vm,
            "unreachable": self.unreachable,
            "ejected_for_s": max(
                0.0, round(self.health.ejected_until_s - now_s, 3)
            ),
            "snapshots": list(self.snapshots or ()),
        }


def compute_sibling_baseline_ms(
    endpoints: Sequence[Endpoint], endpoint: Endpoint
) -> float:
    """Returns the median baseline of the warm siblings of an endpoint.

    Args:
        endpoints: All endpoints of the shard.
        endpoint: The endpoint, which is left out.

    Returns:
        The median in ms; 0 if no warm sibling has a baseline.
    """
    baselines_ms = sorted(
        e.ramp.baseline_ms
        for e in endpoints
        if e is not endpoint and e.ramp.warm and e.ramp.baseline_ms
    )
    return baselines_ms[len(baselines_ms) // 2] if baselines_ms else 0.0
