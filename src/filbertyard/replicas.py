"""The owner's side of one replica: admission, dispatch, orders and reports."""

from __future__ import annotations

import json
import logging
import time
from collections import Counter
from collections.abc import Callable
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Protocol

import gevent
from gevent.event import Event
from result import Err
from result import Ok

from .attemptlog import AttemptKey
from .attemptlog import create_attempt_log
from .calls import AdapterVersion
from .calls import Call
from .calls import Rank
from .calls import parse_adapter_version
from .engines import ReplicaClient
from .engines import ReplicaState
from .events import DrainEvent
from .events import EvictionEvent
from .events import LoadEvent
from .exceptions import UpstreamError
from .httpcalls import HttpResponse
from .loadbudget import UNUSED
from .loadbudget import Permit
from .logs import log_event
from .messages import Accepted
from .messages import Chunk
from .messages import End
from .messages import Failed
from .messages import Forward
from .messages import NotRun
from .messages import Reply
from .messages import Started
from .observation import Observer
from .residency import LoadDecision
from .residency import Residency
from .residency import create_residency
from .responses import check_response
from .responses import checked_events
from .responses import error_code
from .responses import split_chunks
from .routing import ReplicaView
from .scheduling import CallQueue
from .scheduling import Demand
from .scheduling import QueuedCall
from .scheduling import Rejection
from .scheduling import create_queue
from .teamsettings import Snapshot

logger = logging.getLogger(__name__)

STATE_INTERVAL_S = 0.5

# Outcomes that mean that an engine accepts no orders from this host for any adapter.
ORDER_REJECTION_OUTCOMES = ("failed", "old_fence", "no_free_slot")

# Duration and interval of loads that are assumed until the first load.
INITIAL_LOAD_ESTIMATE_S = 0.3

LOAD_SMOOTHING = 0.2

# Estimated waits are cached this long: an estimate scans the queue, and every call
# needs one.
MAX_WAITS_AGE_S = 0.05

# Delay before a permit that was not granted is requested again.
PERMIT_RETRY_S = 0.05

# Headers of the upstream's response that are relayed to the caller.
RELAYED_HEADERS = ("content-type",)


class Permits(Protocol):
    """Source of permits for adapter loads."""

    def acquire(
        self, replica: str, adapter: AdapterVersion, tier: int, worth: float
    ) -> Permit:
        """Wait for a permit; its number is 0 if none was granted."""

    def return_permit(self, permit: Permit, outcome: str) -> None:
        """Return a permit with the outcome of its load."""


@dataclass(slots=True)
class Ownership:
    """Right of this host to send orders and calls to a replica."""

    fence: int
    is_valid: Callable[[], bool]


class OwnedReplica:
    """One replica that this host owns."""

    def __init__(
        self,
        name: str,
        upstream: str,
        client: ReplicaClient,
        ownership: Ownership,
        permits: Permits,
        queue: CallQueue,
        residency: Residency,
        host: str,
        observer: Observer | None = None,
    ) -> None:
        self.observer = observer or Observer()
        self.name = name
        self.upstream = upstream
        self.client = client
        self.ownership = ownership
        self.permits = permits
        self.queue = queue
        self.queue.is_ready = self.is_ready
        self.residency = residency
        self.host = host
        self.state: ReplicaState | None = None
        self.leaving = False
        self.marked_leaving = False
        # Called with the values of the resident adapters when the replica leaves.
        self.preload: Callable[[str, str, dict[AdapterVersion, float]], None] = (
            ignore_preload
        )
        self.running = 0
        self.loads = 0
        self.arrivals = 0
        self.stalls = 0
        self.arrivals_by_rank: Counter[str] = Counter()
        self.stalls_by_rank: Counter[str] = Counter()
        self.load_s = INITIAL_LOAD_ESTIMATE_S
        self.load_interval_s = INITIAL_LOAD_ESTIMATE_S
        self.permit_wanted_since = 0.0
        self.waits: dict[str, float] = {}
        self.waits_at = 0.0
        self.permit_requests: dict[int, gevent.Greenlet[..., None]] = {}
        self.changed = Event()
        self.stopped = False
        self.attempt_log = create_attempt_log()
        self.tasks: list[gevent.Greenlet[..., None]] = []

    def start(self) -> None:
        """Start dispatching and reading reports."""
        self.tasks = [gevent.spawn(self.read_reports), gevent.spawn(self.dispatch)]

    def stop(self) -> None:
        """Stop dispatching; running calls finish."""
        self.observer.events.set_condition(self.name, False)
        self.observer.events.set_condition(f"{self.name} orders", False)
        self.stopped = True
        for task in self.tasks:
            task.kill(block=False)

    def relinquish(self) -> None:
        """Stop because another host owns the replica; reject the waiting calls."""
        self.stop()
        self.reject_waiting("ownership_lost")

    def read_reports(self) -> None:
        """Read the replica's state at a fixed interval."""
        while True:
            self.read_report()
            gevent.sleep(STATE_INTERVAL_S)

    def read_report(self) -> None:
        """Read the replica's state once and apply it."""
        match self.client.state():
            case Ok(state):
                self.observer.events.set_condition(self.name, False)
                self.apply_state(state)
            case Err(error):
                self.observer.events.set_condition(self.name, True, str(error))
                log_event(logger, "replica_state_failed", peer=self.name, error=error)
                self.state = None
                self.reject_waiting("replica_unavailable")

    def apply_state(self, state: ReplicaState) -> None:
        """Update the queue and the slot table from a report."""
        before = self.state
        self.state = state
        self.update_leaving()
        self.residency.slots = state.slots
        self.queue.batch_size = max(1, state.max_batch)
        if before is not None and before.instance != state.instance:
            self.residency.resident.clear()
        self.residency.reconcile(state.adapters, time.monotonic())
        self.changed.set()

    def update_leaving(self) -> None:
        """Stop new work once the report, host list or settings say `leaving`."""
        reported = self.state is not None and self.state.leaving
        if (reported or self.marked_leaving) and not self.leaving:
            self.record_drain("own report" if reported else "host list or settings")
            values = self.residency.resident_values(time.monotonic())
            gevent.spawn(self.preload, self.name, self.upstream, values)
        self.leaving = reported or self.marked_leaving
        if self.leaving:
            self.reject_waiting("replica_leaving")

    def prepare_rollout(self, before: Snapshot, snapshot: Snapshot) -> None:
        """Prepare to load the versions that replace resident or expected ones."""
        now = time.monotonic()
        residency = self.residency
        for adapter in [*residency.resident, *residency.rollouts]:
            new = snapshot.find_replacement(adapter, before, self.upstream)
            if new is not None:
                residency.supersede(adapter, new, now)
                self.changed.set()

    def fill_view(self, view: ReplicaView) -> None:
        """Fill in the state that only the owner knows exactly."""
        view.is_local = True
        view.is_leaving = view.is_leaving or self.leaving
        view.adapters = frozenset(self.residency.resident)
        view.waits = self.recent_waits()

    def recent_waits(self) -> dict[str, float]:
        """Return the estimated waits, at most `MAX_WAITS_AGE_S` old."""
        now = time.monotonic()
        if now - self.waits_at > MAX_WAITS_AGE_S:
            self.waits_at = now
            self.waits = self.queue.waits(now)
        return self.waits

    def is_accepting(self) -> bool:
        """Tell if the replica can take new work."""
        return self.state is not None and not self.leaving

    def run(self, forward: Forward) -> Iterator[Reply]:
        """Run one call: yield its acceptance, then its response or its failure."""
        item = QueuedCall(call_from_forward(forward), forward.attempt, time.monotonic())
        adapter = item.call.adapter
        rank = item.call.rank
        tier = self.queue.tier(rank, item.arrived)
        not_run = self.admit(item)
        # Rejected calls of a rank above its share do not raise an adapter's value.
        if adapter is not None and (tier == 0 or not_run is None):
            self.residency.touch(adapter, rank.worth, item.arrived, tier)
        if not_run is not None:
            yield not_run
            return
        self.shed_excess(item.arrived)
        self.arrivals += 1
        self.arrivals_by_rank[rank.name] += 1
        if adapter is not None and adapter not in self.residency.resident:
            item.stalled = True
            self.stalls += 1
            self.stalls_by_rank[rank.name] += 1
        self.changed.set()
        try:
            wait_s = self.recent_waits().get(item.call.rank.name, 0.0)
            yield Accepted(forward.request_id, forward.attempt, wait_s)
            rejection = self.wait_dispatched(item)
        except BaseException:
            self.abandon(item)
            raise
        if rejection is not None:
            yield self.not_run_reply(item, rejection.cause, rejection.retry_after_s)
            return
        try:
            yield from self.send(item, forward)
        finally:
            self.finish(item)

    def wait_dispatched(self, item: QueuedCall) -> Rejection | None:
        """Wait until a call may be sent; return why it may not."""
        remaining = item.call.deadline - time.monotonic()
        item.dispatched.wait(max(0.0, min(remaining, item.call.rank.patience_s)))
        if not item.dispatched.ready():
            # Otherwise the call could be dispatched after its caller was told that it
            # did not run, and its batch slot would never be released.
            self.abandon(item)
            return Rejection("patience_exceeded", 1.0)
        if item.dispatched.get() is None:
            return item.rejection or Rejection("ownership_lost", 0.5)
        return None

    def abandon(self, item: QueuedCall) -> None:
        """Remove a call that will not be sent and release its batch slot."""
        if not item.dispatched.ready():
            self.queue.remove(item)
            item.dispatched.set(None)
        elif item.dispatched.get() is not None:
            self.finish(item)

    def reject_waiting(self, cause: str) -> None:
        """Reject all waiting calls, so that they can run on other replicas."""
        for item in self.queue.clear():
            if not item.dispatched.ready():
                item.rejection = Rejection(cause, 0.2)
                item.dispatched.set(None)

    def admit(self, item: QueuedCall) -> NotRun | None:
        """Queue a call; return the reply if it is rejected instead."""
        if not self.ownership.is_valid():
            return self.not_run_reply(item, "not_owner", 0.2)
        if self.leaving:
            return self.not_run_reply(item, "replica_leaving", 0.5)
        if self.state is None:
            return self.not_run_reply(item, "replica_unavailable", 0.5)
        rejection = self.queue.offer(item, item.arrived, self.estimate_stall(item))
        if rejection is None:
            return None
        return self.not_run_reply(item, rejection.cause, rejection.retry_after_s)

    def shed_excess(self, now: float) -> None:
        """Reject waiting calls while the queue is over its bound."""
        while True:
            item = self.queue.shed(now)
            if item is None:
                return
            item.dispatched.set(None)

    def estimate_stall(self, item: QueuedCall) -> float:
        """Estimate the time until the adapter of a call is ready, in seconds."""
        adapter = item.call.adapter
        if adapter is None or adapter in self.residency.resident:
            return 0.0
        if adapter in self.residency.loading:
            return self.load_s
        demands = self.queue.waiting_demand(item.arrived)
        rank = item.call.rank
        own = demands.get(adapter, Demand(tier=self.queue.tier(rank, item.arrived)))
        place = (own.tier, -own.worth - rank.worth)
        ahead = sum(
            (demand.tier, -demand.worth) < place
            for other, demand in demands.items()
            if other != adapter and other not in self.residency.resident
        )
        interval_s = self.load_interval_s
        if self.permit_wanted_since:
            interval_s = max(interval_s, item.arrived - self.permit_wanted_since)
        return self.load_s + (ahead + own.tier) * interval_s

    def not_run_reply(
        self, item: QueuedCall, cause: str, retry_after_s: float
    ) -> NotRun:
        """Return the reply that says that the call did not run."""
        return NotRun(
            item.call.request_id,
            item.attempt,
            cause,
            retry_after_s=retry_after_s,
            step="queue",
            peer=self.name,
        )

    def dispatch(self) -> None:
        """Start waiting calls and loads whenever something changed."""
        while True:
            self.changed.wait(STATE_INTERVAL_S)
            self.changed.clear()
            if not self.is_accepting() or not self.ownership.is_valid():
                continue
            self.dispatch_ready()
            self.start_loads()

    def dispatch_ready(self) -> None:
        """Dispatch calls while batch slots are free."""
        state = self.state
        while state is not None and self.running < state.max_batch:
            now = time.monotonic()
            free = state.max_batch - self.running
            item = self.queue.take(now, free)
            if item is None:
                return
            adapter = item.call.adapter
            if adapter is not None:
                self.residency.acquire(adapter, now)
            self.running += 1
            self.observer.record_dispatch(item.call, now - item.arrived, item.stalled)
            self.queue.start(item.call.rank, now)
            item.dispatched.set(now)

    def is_ready(self, item: QueuedCall) -> bool:
        """Tell if a call could run now."""
        adapter = item.call.adapter
        return adapter is None or self.residency.is_ready(adapter)

    def finish(self, item: QueuedCall) -> None:
        """Release the batch slot and the adapter of a dispatched call."""
        now = time.monotonic()
        adapter = item.call.adapter
        if adapter is not None:
            self.residency.release(adapter)
        self.running -= 1
        started = item.dispatched.get(block=False)
        busy_s = now - (started or now)
        self.observer.metrics.record_slot_use(item.call.rank.name, busy_s)
        self.queue.finish(item.call.rank, busy_s, now)
        self.changed.set()

    def send(self, item: QueuedCall, forward: Forward) -> Iterator[Reply]:
        """Send a dispatched call to the replica and yield its response."""
        call = item.call
        if not self.ownership.is_valid():
            yield self.not_run_reply(item, "not_owner", 0.2)
            return
        key = AttemptKey(forward.origin, call.request_id, item.attempt)
        if not self.attempt_log.begin(key):
            yield self.not_run_reply(item, "barred", 0.2)
            return
        last: Reply | None = None
        try:
            for last in self.exchange(item, forward):
                if isinstance(last, NotRun):
                    self.attempt_log.withdraw(key)
                yield last
        finally:
            if call.kind == "completion" and not self.stopped and must_cancel(last):
                gevent.spawn(self.client.cancel, call.request_id)

    def exchange(self, item: QueuedCall, forward: Forward) -> Iterator[Reply]:
        """Yield the replica's response, or the reply that says why there is none."""
        call = item.call
        timeout_s = max(0.001, call.deadline - time.monotonic())
        if forward.resume_after >= 0:
            result = self.client.resume(
                call.request_id, forward.resume_after, timeout_s=timeout_s
            )
        else:
            headers = {name: value for name, value in forward.headers}
            headers["Filbertyard-Request"] = call.request_id
            headers["Filbertyard-Priority"] = str(call.rank.urgency)
            headers["Filbertyard-Deadline-Ms"] = str(int(timeout_s * 1000))
            if call.traceparent:
                headers["traceparent"] = call.traceparent
            body = body_for_engine(call) if call.kind == "completion" else call.body
            result = self.client.send(
                call.method,
                call.path,
                body,
                headers,
                idempotent=call.idempotent,
                timeout_s=timeout_s,
            )
        match result:
            case Err(error):
                yield self.failure_reply(item, error)
            case Ok(response):
                response.deadline = call.deadline
                try:
                    yield from self.relay(item, response, forward.resume_after)
                except UpstreamError as error:
                    yield self.failure_reply(item, error)
                finally:
                    response.close()

    def failure_reply(self, item: QueuedCall, error: UpstreamError) -> Reply:
        """Return the reply for a failed exchange with the replica."""
        if not error.sent:
            return self.not_run_reply(item, error.code or "connect_failed", 0.5)
        log_event(
            logger,
            "upstream_failed",
            request=item.call.request_id,
            peer=self.name,
            step=error.step,
            cause=error.code,
            error=error.message,
        )
        return Failed(
            item.call.request_id,
            item.attempt,
            True,
            error.code or "upstream_failed",
            error.message,
            error.step,
            self.name,
            504 if error.code == "deadline" else 502,
        )

    def relay(
        self, item: QueuedCall, response: HttpResponse, resume_after: int = -1
    ) -> Iterator[Reply]:
        """Yield the response; check its request, its adapter and its completeness."""
        call = item.call
        request_id, attempt = call.request_id, item.attempt
        answered = response.header("Filbertyard-Request", request_id)
        if answered != request_id:
            raise self.relay_error(
                f"response belongs to request {answered!r}", "crossed_answer"
            )
        headers = [
            [name, value]
            for name, value in response.headers
            if name.lower() in RELAYED_HEADERS
        ]
        if call.kind == "completion" and response.status != 200:
            body = response.read()
            cause = self.not_started_cause(item, response.status, body)
            if cause:
                yield self.not_run_reply(item, cause, 0.2)
                return
            if response.status >= 500 or response.status in (404, 429):
                raise self.relay_error(
                    f"unexpected status {response.status}: {body[:80]!r}"
                )
            yield Started(request_id, attempt, response.status, headers, "", self.name)
            yield Chunk(request_id, attempt, 0, body)
            yield End(request_id, attempt, 1, self.recent_waits())
            return
        served_by = str(call.adapter or "")
        number = 0
        if call.kind == "completion" and not call.stream:
            body = response.read()
            check_response(body, served_by, request_id, self.name)
            yield Started(request_id, attempt, 200, headers, served_by, self.name)
            parts: Iterator[bytes] = split_chunks([body])
        else:
            is_framed = call.kind == "completion" or response.is_framed
            yield Started(
                request_id,
                attempt,
                response.status,
                headers,
                served_by,
                self.name,
                is_framed,
            )
            parts = split_chunks(response.parts())
            if call.kind == "completion":
                parts = checked_events(
                    response.parts(),
                    served_by,
                    request_id,
                    self.name,
                    max(0, resume_after),
                )
        for part in parts:
            yield Chunk(request_id, attempt, number, part)
            number += 1
        yield End(request_id, attempt, number, self.recent_waits())

    def not_started_cause(self, item: QueuedCall, status: int, body: bytes) -> str:
        """Return why the engine says that it did not start a call, if it does."""
        code = error_code(body)
        adapter = item.call.adapter
        if status == 404 and code == "adapter_not_resident" and adapter is not None:
            self.residency.resident.pop(adapter, None)
            return code
        if status == 404 and code == "not_resumable":
            return code
        return code if status in (429, 503) and code == "not_started" else ""

    def relay_error(self, detail: str, code: str = "") -> UpstreamError:
        """Return the error for a response that cannot be relayed."""
        return UpstreamError(detail, step="relay", peer=self.name, sent=True, code=code)

    def start_loads(self) -> None:
        """Request a permit when a load is worth its cost."""
        decision = self.next_load()
        if decision is None:
            # Otherwise time without demand would count as a wait for a permit.
            self.permit_wanted_since = 0.0
            return
        # A pending permit request cannot be changed, so that a more urgent one is sent
        # in addition.
        pending = [
            tier for tier, task in self.permit_requests.items() if not task.ready()
        ]
        if not pending or decision.tier < min(pending):
            self.permit_requests[decision.tier] = gevent.spawn(
                self.request_permit, decision
            )

    def next_load(self) -> LoadDecision | None:
        """Decide on the next load."""
        now = time.monotonic()
        return self.residency.next_load(self.queue.waiting_demand(now), now)

    def request_permit(self, wanted: LoadDecision) -> None:
        """Wait for a permit, then start the load that is worth most at that time."""
        self.permit_wanted_since = self.permit_wanted_since or time.monotonic()
        permit = self.permits.acquire(self.name, wanted.load, wanted.tier, wanted.worth)
        if not permit.number:
            gevent.spawn_later(PERMIT_RETRY_S, self.changed.set)
            return
        decision = self.next_load() if self.ownership.is_valid() else None
        waited = time.monotonic() - self.permit_wanted_since
        self.permit_wanted_since = 0.0
        if decision is None:
            self.permits.return_permit(permit, UNUSED)
            return
        self.load_interval_s += LOAD_SMOOTHING * (waited - self.load_interval_s)
        self.residency.begin_load(decision)
        gevent.spawn(self.run_load, decision, permit, waited)
        self.changed.set()

    def run_load(
        self, decision: LoadDecision, permit: Permit, waited_s: float = 0.0
    ) -> None:
        """Carry out one load and return its permit."""
        began = time.monotonic()
        outcome = "failed"
        try:
            outcome = "ok"
            if decision.evict is not None:
                outcome = self.send_order("unload", decision.evict)
                self.record_eviction(decision, outcome)
            if outcome == "ok":
                outcome = self.send_order("load", decision.load)
        finally:
            self.record_load(decision, outcome, waited_s, began)
            now = time.monotonic()
            loaded = outcome == "ok"
            self.loads += loaded
            if loaded:
                self.load_s += LOAD_SMOOTHING * (now - began - self.load_s)
            elif outcome != "store_rate":
                self.residency.back_off(decision.load, now)
            self.residency.finish_load(decision, loaded, now)
            self.permits.return_permit(permit, outcome)
            self.changed.set()

    def record_load(
        self, decision: LoadDecision, outcome: str, permit_wait_s: float, began: float
    ) -> None:
        """Record a load and the figures it was decided on."""
        is_rejected = outcome in ORDER_REJECTION_OUTCOMES
        self.observer.events.set_condition(f"{self.name} orders", is_rejected, outcome)
        self.observer.record(
            LoadEvent(
                cause=decision.cause,
                adapter=str(decision.load),
                upstream=self.name,
                outcome=outcome,
                worth=decision.worth,
                queued=len(self.queue),
                permit_wait_s=permit_wait_s,
                duration_s=time.monotonic() - began,
            )
        )

    def record_eviction(self, decision: LoadDecision, outcome: str) -> None:
        """Record an eviction and what it made room for."""
        self.observer.record(
            EvictionEvent(
                cause=decision.cause,
                adapter=str(decision.evict),
                upstream=self.name,
                outcome=outcome,
                replaced_by=str(decision.load),
            )
        )

    def record_drain(self, cause: str) -> None:
        """Record that the replica takes no new work."""
        self.observer.record(
            DrainEvent(
                cause=cause,
                upstream=self.name,
                state="leaving",
                running=self.running,
                queued=len(self.queue),
            )
        )

    def send_order(self, order: str, adapter: AdapterVersion) -> str:
        """Send one order and return `ok` or the code of its failure."""
        if not self.ownership.is_valid():
            return "not_owner"
        kind = "load" if order == "load" else "unload"
        match self.client.order(kind, adapter, self.ownership.fence, self.host):  # type: ignore[arg-type]
            case Ok(_):
                outcome = "ok"
            case Err(error):
                outcome = error.code or "failed"
        log_event(
            logger,
            f"adapter_{order}",
            adapter=adapter,
            peer=self.name,
            outcome=outcome,
        )
        return outcome


def ignore_preload(
    replica: str, upstream: str, values: dict[AdapterVersion, float]
) -> None:
    """Preload no adapters of a leaving replica elsewhere."""


def must_cancel(last: Reply | None) -> bool:
    """Tell if a call must be canceled at the engine after its last reply.

    A stream whose connection broke is not canceled, so that it can be resumed.
    """
    if isinstance(last, Failed):
        return last.cause != "upstream_failed"
    return not isinstance(last, End | NotRun)


def body_for_engine(call: Call) -> bytes:
    """Return the request body with the exact adapter version as `model`."""
    value = json.loads(call.body)
    value["model"] = str(call.adapter)
    return json.dumps(value).encode()


def call_from_forward(forward: Forward) -> Call:
    """Return the resolved call that a forward message carries."""
    return Call(
        request_id=forward.request_id,
        kind="service" if forward.kind == "service" else "completion",
        team=forward.team,
        upstream=forward.upstream,
        rank=Rank(
            forward.rank,
            forward.urgency,
            forward.share,
            forward.target_s,
            forward.patience_s,
            forward.worth,
        ),
        idempotent=forward.idempotent,
        revision=forward.revision,
        deadline=time.monotonic() + forward.remaining_s,
        method=forward.method,
        path=forward.path,
        body=forward.body,
        stream=forward.stream,
        adapter=parse_adapter_version(forward.adapter) if forward.adapter else None,
        traceparent=forward.traceparent,
        max_tokens=forward.max_tokens,
    )


def create_owned_replica(
    name: str,
    upstream: str,
    client: ReplicaClient,
    ownership: Ownership,
    permits: Permits,
    policy: str,
    host: str,
    observer: Observer | None = None,
) -> OwnedReplica:
    """Return the owner's side of one replica with the policies of `policy`."""
    return OwnedReplica(
        name,
        upstream,
        client,
        ownership,
        permits,
        create_queue(policy),
        create_residency(policy, 0),
        host,
        observer,
    )
