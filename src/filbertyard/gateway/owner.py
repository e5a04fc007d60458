"""The owner of one engine: admits requests of all hosts and sends orders to it."""

from __future__ import annotations

import logging
import math
import random
import time
from collections import Counter
from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import Any

import gevent
from gevent.event import AsyncResult
from gevent.event import Event

from ..exceptions import DocumentError
from ..exceptions import UpstreamError
from ..httpcalls import HttpPeer
from ..logs import log_event
from ..metrics import Metrics
from .adapterplan import AdapterPlan
from .adapterplan import LoadStep
from .adapterplan import Step
from .adapterplan import UnloadStep
from .admission import MIN_RUN_S
from .admission import EngineQueue
from .admission import QueuedRequest
from .fairshare import DemandShares
from .fairshare import Weight
from .fairshare import equal_weight
from .health import HealthTable
from .messages import AdmissionGranted
from .messages import AdmissionRejected
from .messages import AdmissionRequest
from .messages import ReplicaLoad
from .ratelimits import RateLimitTable
from .ratelimits import decode_statement
from .speeds import START_PROBE_INTERVAL_S
from .speeds import START_PROBES
from .types import AdapterName
from .types import EngineLimits
from .types import EngineReport
from .types import Replica
from .wire import Order
from .wire import OrderResult
from .wire import WireFormat

logger = logging.getLogger(__name__)

# Engines respond to an order within a few milliseconds. A retry is safe because an
# order carries its sequence number. The orders of an engine wait for each other, so the
# first retries come early; later ones allow for an engine or a link that is slow.
ORDER_TIMEOUTS_S = (0.04, 0.08, 0.12)
REPORT_TIMEOUT_S = 0.3

# Interval between reports while adapters are being loaded or unloaded.
REPORT_INTERVAL_S = 0.08

REPORT_RETRY_S = 0.3

# Spreads the first reports that owners read when they start together.
START_JITTER_S = 0.1

# Interval between reports while orphaned requests may hold adapters in use.
ORPHAN_REPORT_INTERVAL_S = 0.3

# A report is read at least this often while requests wait.
MAX_REPORT_AGE_S = 2.0

# A report is assumed to show everything that happened this long before it.
MAX_REPORT_LAG_S = 0.25

# The load is published at least this often.
MAX_PUBLISH_INTERVAL_S = 1.0

# Longest pause before the owner checks again whether an order is needed.
MAX_ORDER_PAUSE_S = 0.25

# Interval of the `engine_state` log line while requests run.
STATE_LOG_INTERVAL_S = 5.0

# Time before the load of a base model is ordered again.
MODEL_LOAD_RETRY_S = 5.0


@dataclass(slots=True)
class PendingRequest:
    """One request that waits to be admitted."""

    request: QueuedRequest
    host: str
    was_absent: bool
    answer: AsyncResult[AdmissionGranted | AdmissionRejected] = field(
        default_factory=AsyncResult
    )


@dataclass(slots=True)
class OrphanedRequest:
    """A request that ended for its host but may still run at the engine."""

    adapter: AdapterName
    since: float
    deadline: float


class ReplicaOwner:
    """Admits requests to one engine and sends orders to it.

    `may_order` tells if the claim on the replica is still valid, `publish_interval`
    how long to wait between two publications of the load, in seconds. `rate_limits` is
    the table of this host, `weight` returns the weight of a workspace's share.
    """

    def __init__(
        self,
        *,
        replica: Replica,
        limits: EngineLimits,
        max_prefill_backlog_s: float,
        max_event_gap_s: float = 0.0,
        health_path: str = "",
        wire: WireFormat,
        host: str,
        fence: int,
        releases: dict[AdapterName, int],
        may_order: Callable[[], bool],
        publish: Callable[[ReplicaLoad], None],
        publish_interval: Callable[[], float],
        rate_limits: RateLimitTable,
        metrics: Metrics,
        weight: Weight = equal_weight,
    ) -> None:
        self.replica = replica
        self.limits = limits
        self.health_path = health_path
        self.wire = wire
        self.host = host
        self.fence = fence
        self.may_order = may_order
        self.publish = publish
        self.publish_interval = publish_interval
        self.rate_limits = rate_limits
        self.metrics = metrics
        self.queue = EngineQueue(
            limits.slots,
            limits.kv_tokens,
            max_prefill_backlog_s,
            max_event_gap_s,
            weight,
        )
        self.demand = DemandShares(weight)
        self.plan = AdapterPlan(limits.adapter_slots, releases)
        self.health = HealthTable()
        self.http = HttpPeer(replica.address, timeout_s=REPORT_TIMEOUT_S, step="order")
        self.pending: dict[str, PendingRequest] = {}
        self.host_by_request: dict[str, str] = {}
        self.orphans: dict[str, OrphanedRequest] = {}
        self.sequence = -1
        self.started_ms = replica.started_ms
        self.reported_at = float("-inf")
        self.report_requested_at = float("-inf")
        self.ordered_at = float("-inf")
        self.model_ordered_at = float("-inf")
        self.changed = Event()
        self.published_at = 0.0
        self.logged_at = float("-inf")
        self.dirty = True
        self.rate_timer: gevent.Greenlet[..., None] | None = None
        self.prefill_timer: gevent.Greenlet[..., None] | None = None
        self.prefill_timer_at = 0.0
        self.greenlets: list[gevent.Greenlet[..., None]] = []

    def start(self) -> None:
        """Start the greenlets of this owner."""
        self.greenlets = [
            gevent.spawn(self.run_orders),
            gevent.spawn(self.run_admission),
            gevent.spawn(self.run_speed_probes),
        ]

    def stop(self) -> None:
        """Stop, and reject all waiting requests."""
        for greenlet in self.greenlets:
            greenlet.kill(block=False)
        self.reject_all("owner_changed")
        self.http.close()

    def reject_all(self, cause: str) -> None:
        """Reject all waiting requests, so that their hosts try other replicas."""
        for pending in list(self.pending.values()):
            if not pending.answer.ready():
                self.queue.withdraw(pending.request.id)
                pending.answer.set(AdmissionRejected(pending.request.id, cause, 0.0))

    def update(self, replica: Replica) -> None:
        """Apply a changed entry of the replica."""
        if replica.started_ms != self.started_ms:
            self.handle_restart(replica.started_ms)
        self.replica = replica
        if replica.is_leaving and self.pending:
            self.reject_all("replica_leaving")

    def handle_restart(self, started_ms: int) -> None:
        """Clear the state of the engine's previous incarnation."""
        log_event(
            logger,
            "replica_restarted",
            replica=self.replica.id,
            born=started_ms,
            known=self.started_ms,
        )
        self.started_ms = started_ms
        self.plan.reset()
        self.sequence = -1
        self.reported_at = float("-inf")
        self.model_ordered_at = float("-inf")
        self.changed.set()

    # Admission.

    def admit(
        self, message: AdmissionRequest, host: str
    ) -> AdmissionGranted | AdmissionRejected:
        """Wait until a request may be sent to the replica or is rejected."""
        now = time.monotonic()
        name = AdapterName(message.model, message.adapter)
        if message.is_adapter_absent:
            self.record_adapter_absent(name)
        request = QueuedRequest(
            id=message.request_id,
            adapter=name,
            rank=message.rank,
            arrived=now,
            objective_at=now + message.objective_s,
            start_deadline=now + message.start_timeout_s,
            end_deadline=now + message.deadline_s,
            prompt_tokens=message.prompt_tokens,
            output_tokens=message.output_tokens,
            workspace=message.workspace,
        )
        if self.replica.is_leaving:
            return AdmissionRejected(message.request_id, "replica_leaving", 0.0)
        self.plan.record_request(name, now, self.demand.record(message.workspace, now))
        if message.request_id in self.queue.started:
            # The reply to the first admission request was lost with its connection.
            self.finish(message.request_id, "withdrawn")
        if not self.plan.is_ready(name, now):
            if not self.is_loadable(name):
                return self.reject(request, host, "adapter_not_loadable", 0.3)
            load_s = 0.0
            if name not in self.plan.loading:
                load_s = self.load_wait_s(now, request)
            if now + load_s + MIN_RUN_S > request.start_deadline:
                return self.reject(request, host, "no_place_in_time", load_s / 2)
        self.update_rate_limit(now)
        rejection = self.queue.enqueue(request, now, self.plan.has_latest)
        if rejection is not None:
            return self.reject(request, host, rejection.cause, rejection.retry_after_s)
        pending = PendingRequest(request, host, not self.plan.has_latest(name))
        self.pending[request.id] = pending
        self.admit_waiting(now)
        if not pending.answer.ready():
            self.changed.set()
        try:
            answer = pending.answer.get(timeout=message.start_timeout_s)
        except gevent.Timeout:
            answer = None
        finally:
            self.pending.pop(request.id, None)
        if answer is None:
            self.queue.withdraw(request.id)
            return AdmissionRejected(request.id, "deadline", 0.0)
        return answer

    def is_loadable(self, name: AdapterName) -> bool:
        """Tell if an absent adapter is being loaded or may be loaded."""
        if name in self.plan.loading:
            return True
        return self.may_order()

    def reject(
        self, request: QueuedRequest, host: str, cause: str, retry_after_s: float
    ) -> AdmissionRejected:
        """Log, count and return a rejection."""
        self.metrics.add(
            "filbertyard_rejections_total", rank=str(request.rank), cause=cause
        )
        if request.workspace:
            self.metrics.add(
                "filbertyard_workspace_rejections_total",
                workspace=request.workspace,
                cause=cause,
            )
        log_event(
            logger,
            "admission_rejected",
            request=request.id,
            workspace=request.workspace or None,
            rank=request.rank,
            replica=self.replica.id,
            peer=host,
            cause=cause,
            adapter=request.adapter,
            waiting=len(self.queue.waiting),
            started=len(self.queue.started),
            report_age_s=time.monotonic() - self.reported_at,
            retry_after_s=retry_after_s,
        )
        return AdmissionRejected(request.id, cause, retry_after_s)

    def admit_waiting(self, now: float) -> None:
        """Admit all waiting requests that can start now."""
        self.update_rate_limit(now)
        while True:
            request = self.queue.start_next(
                now, lambda name: self.plan.is_ready(name, now)
            )
            if request is None:
                self.await_rate(now)
                self.await_prefill(now)
                return
            self.dirty = True
            pending = self.pending.get(request.id)
            if pending is None:
                self.queue.finish(request.id, now)
                continue
            self.plan.acquire(request.adapter)
            self.host_by_request[request.id] = pending.host
            version = self.plan.releases.get(request.adapter, 0)
            waited_s = now - request.arrived
            self.metrics.observe(
                "filbertyard_queue_wait_seconds", waited_s, rank=str(request.rank)
            )
            if request.workspace:
                self.metrics.observe(
                    "filbertyard_workspace_queue_wait_seconds",
                    waited_s,
                    workspace=request.workspace,
                )
            pending.answer.set(
                AdmissionGranted(request.id, version, waited_s, pending.was_absent)
            )

    def admit_later(self) -> None:
        """Admit requests whose adapter or turn should be there by now."""
        self.admit_waiting(time.monotonic())

    def update_rate_limit(self, now: float) -> None:
        """Apply what is known of the engine's rate limit to the queue."""
        per_s = self.rate_limits.rate(self.replica.id, self.started_ms)
        self.queue.set_rate_limit(per_s, now)

    def await_rate(self, now: float) -> None:
        """Admit waiting requests again once the rate limit allows the next one."""
        wait_s = self.queue.rate_wait_s(now)
        if wait_s > 0 and self.queue.waiting and self.rate_timer is None:
            self.rate_timer = gevent.spawn_later(wait_s, self.admit_after_turn)

    def admit_after_turn(self) -> None:
        """Admit requests at their turn of the rate limit, or wait for the next one."""
        self.rate_timer = None
        self.admit_later()

    def await_prefill(self, now: float) -> None:
        """Admit waiting requests again once the engine may prefill the next one."""
        wait_s = self.queue.prefill_pause_s(now)
        if wait_s <= 0 or not self.queue.waiting:
            return
        if self.prefill_timer is not None:
            if self.prefill_timer_at <= now + wait_s:
                return
            self.prefill_timer.kill(block=False)
        self.prefill_timer_at = now + wait_s
        self.prefill_timer = gevent.spawn_later(wait_s, self.admit_after_pause)

    def admit_after_pause(self) -> None:
        """Admit requests after a pause in the prefill, or wait for the next one."""
        self.prefill_timer = None
        self.admit_later()

    def record_rate_limit(self, request_id: str, row: list[Any], now: float) -> None:
        """Record what the response to a request showed of the rate limit."""
        if not row:
            return
        statement = decode_statement(row, now)
        started = self.queue.started.get(request_id)
        if math.isinf(statement.per_s) and started is not None:
            # The message took time; the request may have been sent at its admission.
            statement = replace(statement, at=min(statement.at, started.started_at))
        if self.rate_limits.record(statement):
            self.dirty = True
            log_event(
                logger,
                "rate_limit_applied",
                replica=statement.replica,
                request=request_id,
                born=statement.started_ms,
                per_s=statement.per_s,
                waiting=len(self.queue.waiting),
                started=len(self.queue.started),
            )

    def record_first_event(
        self,
        request_id: str,
        rate_limit: list[Any] | None = None,
        slowdown: float = 0.0,
    ) -> None:
        """Record the first event of a request; arguments as in `FirstEvent`."""
        now = time.monotonic()
        self.queue.speed.record_slowdown(slowdown, now)
        self.record_rate_limit(request_id, rate_limit or [], now)
        started = self.queue.started.get(request_id)
        if started is not None:
            self.plan.record_start(started.request.adapter)
        self.queue.record_first_event(request_id, now)
        self.health.record_outcome(self.replica.id, False, now)
        self.dirty = True
        self.admit_waiting(now)

    def finish(
        self,
        request_id: str,
        outcome: str,
        gap_ratio: float = 0.0,
        rate_limit: list[Any] | None = None,
    ) -> None:
        """Record the end of a request; arguments as in the message `Finished`."""
        now = time.monotonic()
        self.record_rate_limit(request_id, rate_limit or [], now)
        pending = self.pending.get(request_id)
        if pending is not None and not pending.answer.ready():
            self.queue.withdraw(request_id)
            pending.answer.set(AdmissionRejected(request_id, "withdrawn", 0.0))
            return
        started = self.queue.finish(request_id, now, gap_ratio)
        self.host_by_request.pop(request_id, None)
        if started is None:
            return
        if outcome in ("done", "not_run", "absent", "unreachable", "withdrawn"):
            self.plan.release(started.request.adapter)
        else:
            # The engine may still run the request although the connection is closed.
            self.orphans[request_id] = OrphanedRequest(
                started.request.adapter, now, started.request.end_deadline
            )
        if outcome == "absent":
            self.record_adapter_absent(started.request.adapter)
        elif outcome == "unreachable":
            self.health.record_unreachable(self.replica.id, now)
        elif outcome in ("failed", "done"):
            self.health.record_outcome(self.replica.id, outcome == "failed", now)
        self.dirty = True
        self.admit_waiting(now)
        self.changed.set()

    def record_adapter_absent(self, name: AdapterName) -> None:
        """Record that the engine answered that it does not hold an adapter."""
        if self.plan.record_early_request(name):
            self.changed.set()
            return
        if self.plan.has_latest(name):
            log_event(logger, "adapter_absent", replica=self.replica.id, adapter=name)
            # Read a report to learn which adapters the engine holds instead.
            self.reported_at = float("-inf")
            self.plan.resident.pop(name, None)
            if not name.adapter:
                self.plan.models.discard(name.model)
        self.changed.set()

    def release_host(self, host: str) -> None:
        """End the requests of a host that is gone."""
        for request_id in [
            key for key, value in self.host_by_request.items() if value == host
        ]:
            self.finish(request_id, "unknown")

    def run_admission(self) -> None:
        """Reject requests that waited too long, publish the load and log the state."""
        while True:
            gevent.sleep(self.publish_interval())
            now = time.monotonic()
            for request in self.queue.expire(now):
                pending = self.pending.get(request.id)
                if pending is not None:
                    retry_s = self.queue.expired_retry_s(
                        request, now, self.plan.has_latest
                    )
                    answer = self.reject(request, pending.host, "deadline", retry_s)
                    pending.answer.set(answer)
            for request_id in self.queue.overdue(now):
                self.finish(request_id, "unknown")
            self.admit_waiting(now)
            if self.dirty or now - self.published_at >= MAX_PUBLISH_INTERVAL_S:
                self.published_at = now
                self.dirty = False
                self.publish(self.current_load(now))
            if self.queue.started and now - self.logged_at >= STATE_LOG_INTERVAL_S:
                self.logged_at = now
                self.log_state(now)

    def log_state(self, now: float) -> None:
        """Log the state that decides which requests start, wait or are rejected."""
        queue, plan = self.queue, self.plan
        log_event(
            logger,
            "engine_state",
            replica=self.replica.id,
            waiting=len(queue.waiting),
            started=len(queue.started),
            waiting_by_workspace=count_workspaces(queue.waiting),
            started_by_workspace=count_workspaces(
                item.request for item in queue.started.values()
            ),
            kv_tokens=queue.memory_tokens,
            wait_s=queue.wait_s(now, plan.has_latest),
            token_cost_s=queue.token_cost_s,
            prefill_duty=queue.prefill_duty,
            late_gap_share=queue.late_gap_share,
            late_start_share=queue.late_start_share,
            slowdown=queue.speed.slowdown if queue.speed.is_reported else None,
            prefilling=queue.prefilling_tokens(now),
            usual_slowdown=queue.speed.usual if queue.speed.is_reported else None,
            max_prompt_tokens=queue.max_prompt_tokens() or None,
            run_s=queue.run_s,
            resident=len(plan.resident),
            in_use=len(plan.in_use),
            loading=len(plan.loading),
            fetch_s=plan.fetch_s,
            load_interval_s=plan.load_interval_s,
            rate_limit=queue.rate_bucket.per_s if queue.rate_bucket else None,
            report_age_s=now - self.reported_at,
        )

    def current_load(self, now: float) -> ReplicaLoad:
        """Return the replica's load to publish to all hosts."""
        plan = self.plan
        speed = self.queue.speed
        rate_limits = self.rate_limits.rows([self.replica.id], now)
        resident: dict[str, list[str]] = {model: [""] for model in plan.models}
        for name in plan.resident:
            if plan.has_latest(name):
                resident.setdefault(name.model, []).append(name.adapter)
        return ReplicaLoad(
            replica=self.replica.id,
            fence=self.fence,
            number=int(now * 1000),
            wait_s=self.queue.wait_s(now, plan.has_latest),
            token_cost_s=self.queue.token_cost_s,
            running=len(self.queue.started),
            load_wait_s=self.load_wait_s(now),
            failure_rate=self.health.failure_rate(self.replica.id, now)
            + float(self.health.is_backing_off(self.replica.id, now)),
            resident=resident,
            loading=[
                [name.model, name.adapter, left_s]
                for name, left_s in self.load_lefts_s(now).items()
            ],
            rate_limit=rate_limits[0] if rate_limits else [],
            slowdown=speed.ratio(now) if speed.is_reported else 0.0,
            max_prompt_tokens=self.queue.max_prompt_tokens(),
        )

    def load_lefts_s(self, now: float) -> dict[AdapterName, float]:
        """Return when a new request for each adapter that is loaded could start.

        For an engine of known speed it starts after the requests that already wait for
        the adapter, and adapters whose load waits for its turn are listed too. So a
        popular adapter gets a further copy before its requests pile up.
        """
        plan, queue = self.plan, self.queue
        lefts_s = {name: plan.load_left_s(name, now) for name in plan.loading}
        if not queue.speed.is_reported:
            return lefts_s
        ready_s = queue.wait_s(now, plan.has_latest)
        tokens: Counter[AdapterName] = Counter()
        for item in queue.waiting:
            if not plan.has_latest(item.adapter):
                tokens[item.adapter] += item.prompt_tokens
                if item.adapter not in lefts_s:
                    wait_s = self.load_wait_s(now, item)
                    lefts_s[item.adapter] = wait_s if wait_s >= 0 else math.inf
        prefill_s = queue.token_cost_s / queue.prefill_duty
        return {
            name: max(left_s, ready_s) + tokens[name] * prefill_s
            for name, left_s in lefts_s.items()
            if left_s < math.inf
        }

    def load_wait_s(self, now: float, request: QueuedRequest | None = None) -> float:
        """Estimate the time until an absent adapter is loaded, that of a new request.

        Negative if orders are not allowed or no base model is loaded. The adapter is
        loaded behind all others that are waited for; that of a workspace's request
        behind those that have their turn before.
        """
        if not self.may_order() or not self.plan.models:
            return -1.0
        absent = dict.fromkeys(
            item.adapter
            for item in self.queue.load_order(now, request)
            if item.adapter not in self.plan.loading
            and not self.plan.has_latest(item.adapter)
        )
        ahead = list(absent)
        queued = len(ahead)
        if request is not None and request.adapter in absent:
            queued = ahead.index(request.adapter)
        return self.plan.load_wait_s(queued, now)

    # Orders.

    def run_orders(self) -> None:
        """Read reports and send orders one at a time, forever."""
        gevent.sleep(random.random() * START_JITTER_S)
        while True:
            self.changed.clear()
            try:
                pause_s = self.advance()
            except UpstreamError as error:
                log_event(
                    logger,
                    "replica_call_failed",
                    level=logging.WARNING,
                    replica=self.replica.id,
                    error=str(error),
                )
                pause_s = REPORT_RETRY_S
                gevent.sleep(pause_s)
            if pause_s > 0:
                self.changed.wait(timeout=pause_s)

    def advance(self) -> float:
        """Send an order or read a report; return how long to pause.

        Raise UpstreamError if the replica does not respond to a report.
        """
        now = time.monotonic()
        needs_report = (
            self.sequence < 0
            or self.reported_at == float("-inf")
            or (self.queue.waiting and now - self.reported_at > MAX_REPORT_AGE_S)
        )
        if needs_report:
            self.read_report()
            return 0.001
        step = self.next_step(now)
        if step is not None:
            self.execute(step)
            return 0.0
        self.admit_waiting(now)
        for is_due, pause_s in (
            (self.plan.is_report_due(now), REPORT_INTERVAL_S),
            (bool(self.plan.unloading), REPORT_INTERVAL_S),
            (bool(self.orphans and self.queue.waiting), ORPHAN_REPORT_INTERVAL_S),
        ):
            if is_due and now - self.report_requested_at >= pause_s:
                self.read_report()
                return REPORT_INTERVAL_S
        if not self.plan.models and self.may_order():
            return self.load_model(now)
        return self.pause_s(now)

    def next_step(self, now: float) -> Step | None:
        """Return the next order that the waiting requests need, None if none."""
        if not self.may_order() or not self.plan.models:
            return None
        names = [item.adapter for item in self.queue.start_order(now)]
        if all(self.plan.has_latest(name) for name in names):
            self.plan.record_idle(now)
        return self.plan.next_step(names, now)

    def pause_s(self, now: float) -> float:
        """Return the time until a load should finish or a report is due."""
        due = [REPORT_INTERVAL_S if self.plan.unloading else MAX_ORDER_PAUSE_S]
        for load in self.plan.loading.values():
            end = load.started_at + load.expected_s
            due.append((end if now < end else self.plan.report_due_at(load)) - now)
        return max(0.002, min(due))

    def load_model(self, now: float) -> float:
        """Order the load of a base model that is missing; return how long to pause."""
        if now - self.model_ordered_at < MODEL_LOAD_RETRY_S or not self.limits.models:
            self.reported_at = float("-inf")
            gevent.sleep(REPORT_RETRY_S)
            return 0.001
        model = next(iter(self.limits.models))
        result = self.send_order(LoadStep(AdapterName(model, ""), 0))
        if result in ("accepted", "held"):
            self.model_ordered_at = now
            self.sequence += 1
        self.reported_at = float("-inf")
        return REPORT_RETRY_S

    def execute(self, step: Step) -> None:
        """Send an order until its result is known; raise UpstreamError."""
        result = None
        # Without a response to any attempt, the engine's report is read instead.
        for timeout_s in ORDER_TIMEOUTS_S:
            if isinstance(step, UnloadStep) and self.plan.in_use[step.name]:
                return
            # At most one attempt takes effect: it advances the engine's sequence.
            result = self.send_order(step, timeout_s)
            if result is not None or not self.may_order():
                break
        if result in ("busy", "refused", "stale", None):
            self.resynchronize()
            return
        self.dirty = True
        if isinstance(step, LoadStep):
            if result == "held":
                self.plan.resident[step.name] = max(1, step.version)
                self.admit_waiting(time.monotonic())
                return
            self.sequence += 1
            expected_s = self.plan.begin_load(step.name, time.monotonic())
            gevent.spawn_later(expected_s, self.admit_later)
            return
        self.sequence += 1
        if result == "held":
            self.plan.remove(step.name)
        else:
            # The engine still runs requests on it; a report will show the unload.
            self.plan.begin_unload(step.name)

    def resynchronize(self) -> None:
        """Adopt the engine's sequence after an order with an unknown effect."""
        # Reports lag: only after this time one shows an order that took effect.
        gevent.sleep(MAX_REPORT_LAG_S)
        self.sequence = -1
        self.read_report()

    def send_order(
        self, step: Step, timeout_s: float = ORDER_TIMEOUTS_S[-1]
    ) -> OrderResult | None:
        """Send one order; return None if its result is unknown."""
        kind = "load" if isinstance(step, LoadStep) else "unload"
        version = step.version if isinstance(step, LoadStep) else 0
        if version == 1 and step.name not in self.plan.releases:
            version = 0
        order = Order(
            "load" if isinstance(step, LoadStep) else "unload",
            step.name.model,
            step.name.adapter,
            version,
            self.sequence,
            self.host,
            self.fence,
        )
        message = self.wire.order(order, self.replica.id)
        began = self.ordered_at = time.monotonic()
        result: OrderResult | None = None
        error_text = ""
        if not self.may_order():
            return None
        try:
            response, _ = self.http.exchange(
                message.method,
                message.path,
                message.body,
                message.headers,
                timeout_s=timeout_s,
            )
            result = self.wire.order_result(response.status)
        except UpstreamError as error:
            error_text = str(error)
        log_event(
            logger,
            "order",
            kind=kind,
            replica=self.replica.id,
            adapter=step.name,
            version=version or None,
            sequence=self.sequence,
            fence=self.fence,
            result=result or "unknown",
            took_s=time.monotonic() - began,
            report_age_s=began - self.reported_at,
            error=error_text,
        )
        self.metrics.add(
            "filbertyard_orders_total", kind=kind, result=result or "unknown"
        )
        return result

    def read_report(self) -> None:
        """Read and apply the engine's report; raise UpstreamError."""
        self.report_requested_at = time.monotonic()
        message = self.wire.report(self.replica.id)
        response, body = self.http.exchange(
            message.method,
            message.path,
            b"",
            message.headers,
            timeout_s=REPORT_TIMEOUT_S,
        )
        self.metrics.add("filbertyard_reports_total")
        if response.status != 200:
            raise UpstreamError(
                f"status {response.status}",
                step="read report",
                peer=self.replica.address,
                sent=True,
                status=response.status,
            )
        try:
            report = self.wire.read_report(body, self.replica.id)
        except DocumentError as error:
            raise UpstreamError(
                error.message, step="read report", peer=self.replica.address, sent=True
            ) from error
        self.apply_report(report)

    def run_speed_probes(self) -> None:
        """Ask an engine for its speed before its first responses show it."""
        speed = self.queue.speed
        while self.health_path and speed.reports < START_PROBES:
            gevent.sleep(START_PROBE_INTERVAL_S * random.uniform(0.5, 1.5))
            message = self.wire.health(self.replica.id, self.health_path)
            try:
                response, _ = self.http.exchange(
                    message.method,
                    message.path,
                    b"",
                    message.headers,
                    timeout_s=REPORT_TIMEOUT_S,
                )
            except UpstreamError as error:
                log_event(
                    logger,
                    "speed_probe_failed",
                    replica=self.replica.id,
                    error=str(error),
                )
                continue
            self.metrics.add("filbertyard_speed_probes_total")
            head = self.wire.read_response_head(response.status, response.headers)
            if not head.has_slowdown:
                return
            speed.record_slowdown(head.slowdown, time.monotonic())
            self.dirty = True

    def release_orphans(self, report: EngineReport, now: float) -> None:
        """Release the adapters of orphaned requests that the engine no longer runs."""
        for request_id, item in list(self.orphans.items()):
            is_shown = now - item.since >= MAX_REPORT_LAG_S
            is_running = request_id_of(request_id) in report.run_ids
            if (is_shown and not is_running) or now > item.deadline:
                del self.orphans[request_id]
                self.plan.release(item.adapter)

    def apply_report(self, report: EngineReport) -> None:
        """Apply a report unless it may be older than the last order."""
        now = time.monotonic()
        if report.started_ms and report.started_ms != self.started_ms:
            self.handle_restart(report.started_ms)
        if report.sequence < self.sequence and now - self.ordered_at < MAX_REPORT_LAG_S:
            # Reports lag: this one is from before the last order.
            gevent.sleep(REPORT_INTERVAL_S)
            return
        if report.sequence != self.sequence:
            log_event(
                logger,
                "sequence_adopted",
                replica=self.replica.id,
                known=self.sequence,
                reported=report.sequence,
            )
        self.sequence = report.sequence
        self.reported_at = now
        self.release_orphans(report, now)
        before = len(self.plan.loading)
        self.plan.reconcile(report, now)
        if len(self.plan.loading) != before:
            self.dirty = True
        self.admit_waiting(now)


def count_workspaces(requests: Iterable[QueuedRequest]) -> str | None:
    """Return the number of requests of each workspace for a log line, None if none."""
    counts = Counter(item.workspace for item in requests if item.workspace)
    return ",".join(f"{key}:{counts[key]}" for key in sorted(counts)) or None


def request_id_of(admission_id: str) -> str:
    """Return the caller's request id that is part of `Delivery.admission_id`."""
    return admission_id.partition("#")[0]
