"""Events, metrics and traces of the requests and decisions of one host."""

from __future__ import annotations

import time
from collections.abc import Callable
from collections.abc import Iterator
from contextlib import closing
from functools import partial
from typing import TypeVar

from .calls import Call
from .events import DrainEvent
from .events import EventLog
from .events import EvictionEvent
from .events import FleetEvent
from .events import HandoverEvent
from .events import LoadEvent
from .events import RejectionEvent
from .events import TakeoverEvent
from .exceptions import KeyValueError
from .keyvalue import Compare
from .keyvalue import KeyValue
from .keyvalue import RangeResult
from .keyvalue import TxnResult
from .keyvalue import WatchEvent
from .keyvalue import Write
from .messages import Accepted
from .messages import Chunk
from .messages import End
from .messages import Failed
from .messages import Forward
from .messages import NotRun
from .messages import Reply
from .messages import Started
from .metrics import Metrics
from .routing import ReplicaView
from .tracing import Tracing

T = TypeVar("T")

# Times between tokens are first counted in a dict, in these units: that costs a tenth
# of the 1.5 us of HdrHistogram.record_value.
TOKEN_GAP_UNIT_S = 0.0005

TOKENS_PER_FLUSH = 256


class Observer:
    """Events, metrics and traces of one host."""

    def __init__(self, tracing: Tracing | None = None) -> None:
        self.events = EventLog()
        self.metrics = Metrics()
        self.tracing = tracing or Tracing()
        self.events.listeners.append(self.count_event)

    def record(self, event: FleetEvent) -> None:
        """Record one event."""
        self.events.record(event)

    def count_event(self, event: FleetEvent) -> None:
        """Update the metrics for an event."""
        metrics = self.metrics
        match event:
            case LoadEvent():
                metrics.add("filbertyard_loads_total", outcome=event.outcome)
                metrics.observe("filbertyard_load_seconds", event.duration_s)
                metrics.observe("filbertyard_permit_wait_seconds", event.permit_wait_s)
            case EvictionEvent():
                metrics.add("filbertyard_evictions_total", outcome=event.outcome)
            case RejectionEvent():
                metrics.add(
                    "filbertyard_rejections_total", rank=event.rank, cause=event.cause
                )
            case TakeoverEvent():
                metrics.add("filbertyard_ownership_changes_total", change="takeover")
            case HandoverEvent():
                metrics.add("filbertyard_ownership_changes_total", change="handover")
            case DrainEvent():
                metrics.add("filbertyard_drains_total", state=event.state)
            case _:
                pass

    def record_dispatch(self, call: Call, wait_s: float, is_stalled: bool) -> None:
        """Record that a call got a batch slot after `wait_s` in the queue."""
        rank = call.rank.name
        self.events.record_step(
            call.request_id, "dispatched", wait_s=wait_s, stalled=is_stalled
        )
        self.metrics.observe("filbertyard_queue_wait_seconds", wait_s, rank=rank)
        if is_stalled:
            self.metrics.add("filbertyard_load_stalls_total", rank=rank)
            self.metrics.observe("filbertyard_load_stall_seconds", wait_s, rank=rank)

    def record_route(self, forward: Forward, view: ReplicaView) -> None:
        """Record where an attempt is sent; all but a request's first are retries."""
        steps = self.events.timelines.get(forward.request_id, ())
        if any(step.step == "routed" for step in steps):
            self.metrics.add("filbertyard_retries_total", rank=forward.rank)
        self.events.record_step(
            forward.request_id,
            "routed",
            replica=view.name,
            owner=view.owner,
            attempt=forward.attempt,
            reason=route_reason(forward, view),
            expected_wait_s=view.waits.get(forward.rank),
        )

    def observe_call(self, call: Call, replies: Iterator[Reply]) -> Iterator[Reply]:
        """Yield the replies to a caller and record the request from start to end."""
        hop = self.tracing.start(
            "caller to entry host",
            call.traceparent,
            True,
            request=call.request_id,
            rank=call.rank.name,
        )
        if hop is not None:
            call.traceparent = hop.traceparent
        self.events.record_step(
            call.request_id,
            "resolved",
            rank=call.rank.name,
            revision=call.revision,
            target=str(call.adapter or call.upstream),
            idempotent=call.idempotent,
        )
        recorder = CallRecorder(self, call)
        try:
            with closing(replies):  # type: ignore[type-var]
                for reply in replies:
                    recorder.record_reply(reply)
                    yield reply
        finally:
            recorder.end()
            if hop is not None:
                hop.end(recorder.outcome, cause=recorder.cause)

    def observe_hop(
        self, forward: Forward, owner: str, replies: Iterator[Reply]
    ) -> Iterator[Reply]:
        """Yield the replies of another host, in a span of their own."""
        hop = self.tracing.start("host to host", forward.traceparent, False, peer=owner)
        if hop is None:
            yield from replies
            return
        forward.traceparent = hop.traceparent
        outcome = "cancelled"
        try:
            with closing(replies):  # type: ignore[type-var]
                for reply in replies:
                    outcome = outcome_of(reply) or outcome
                    yield reply
        finally:
            hop.end(outcome)

    def observe_attempt(
        self, forward: Forward, replies: Iterator[Reply]
    ) -> Iterator[Reply]:
        """Yield the replies of a replica of this host and record the attempt."""
        hop = self.tracing.start(
            "host to upstream", forward.traceparent, False, replica=forward.replica
        )
        if hop is not None:
            forward.traceparent = hop.traceparent
        if forward.traceparent:
            forward.headers.append(["traceparent", forward.traceparent])
        outcome = "cancelled"
        try:
            with closing(replies):  # type: ignore[type-var]
                for reply in replies:
                    if type(reply) is not Chunk:
                        outcome = outcome_of(reply) or outcome
                        self.record_attempt(forward, reply)
                    yield reply
        finally:
            if hop is not None:
                hop.end(outcome)

    def record_attempt(self, forward: Forward, reply: Reply) -> None:
        """Record what a replica of this host did with an attempt."""
        request_id = forward.request_id
        match reply:
            case Accepted():
                self.events.record_step(request_id, "queued", replica=forward.replica)
            case Started():
                self.events.record_step(request_id, "started", status=reply.status)
            case Failed():
                self.events.record_step(
                    request_id, "failed", cause=reply.cause, replica=forward.replica
                )
            case NotRun():
                self.events.record_step(
                    request_id, "rejected", cause=reply.cause, replica=forward.replica
                )
                self.record(
                    RejectionEvent(
                        cause=reply.cause,
                        adapter=forward.adapter,
                        upstream=forward.replica,
                        request_id=request_id,
                        rank=forward.rank,
                        step=reply.step,
                        retry_after_s=reply.retry_after_s,
                    )
                )


class ObservedKeyValue:
    """Key-value client that records its calls and outages."""

    def __init__(self, inner: KeyValue, observer: Observer) -> None:
        self.inner = inner
        self.observer = observer

    @property
    def generation(self) -> int:
        """Return how often the service is known to have lost acknowledged writes."""
        return self.inner.generation

    def observe(self, name: str, call: Callable[[], T]) -> T:
        """Run one call and record it."""
        events, metrics = self.observer.events, self.observer.metrics
        started_at = time.monotonic()
        outcome = "ok"
        try:
            result = call()
        except KeyValueError as error:
            outcome = "failed"
            events.set_condition("key-value service", True, str(error))
            raise
        finally:
            metrics.observe(
                "filbertyard_key_value_seconds", time.monotonic() - started_at
            )
            metrics.add("filbertyard_key_value_calls_total", call=name, outcome=outcome)
        events.set_condition("key-value service", False)
        return result

    def range(
        self, key: str, *, prefix: bool = False, limit: int = 0, after: str = ""
    ) -> RangeResult:
        """Read one key, or with `prefix` the keys that begin with it."""
        read = partial(self.inner.range, key, prefix=prefix, limit=limit, after=after)
        return self.observe("range", read)

    def txn(self, compares: list[Compare], writes: list[Write]) -> TxnResult:
        """Apply all writes if all compares hold, else read the compared keys."""
        return self.observe("txn", partial(self.inner.txn, compares, writes))

    def lease_grant(self, ttl_s: int) -> int:
        """Return the id of a new lease."""
        return self.observe("lease_grant", partial(self.inner.lease_grant, ttl_s))

    def lease_keepalive(self, lease: int) -> int:
        """Renew a lease and return its remaining time in seconds, 0 if it expired."""
        renew = partial(self.inner.lease_keepalive, lease)
        return self.observe("lease_keepalive", renew)

    def watch(
        self, prefix: str, start_revision: int, idle_s: float
    ) -> Iterator[list[WatchEvent]]:
        """Yield changes under `prefix`, and an empty list after `idle_s` with none."""
        self.observer.metrics.add(
            "filbertyard_key_value_calls_total", call="watch", outcome="ok"
        )
        return self.inner.watch(prefix, start_revision, idle_s)


class CallRecorder:
    """Records the times and the outcome of one request at its entry host."""

    def __init__(self, observer: Observer, call: Call) -> None:
        self.observer = observer
        self.call = call
        self.started_at = time.monotonic()
        self.last_token = 0.0
        self.gaps: dict[int, int] = {}
        self.tokens = 0
        self.flushed_tokens = 0
        self.outcome = "cancelled"
        self.cause = ""

    def record_reply(self, reply: Reply) -> None:
        """Record one reply."""
        if type(reply) is not Chunk:
            self.outcome = outcome_of(reply) or self.outcome
            self.cause = getattr(reply, "cause", self.cause)
            return
        now = time.monotonic()
        self.tokens += 1
        if not self.last_token:
            self.record_first_token(now - self.started_at)
        else:
            gap = int((now - self.last_token) / TOKEN_GAP_UNIT_S)
            self.gaps[gap] = self.gaps.get(gap, 0) + 1
            if not self.tokens % TOKENS_PER_FLUSH:
                self.flush()
        self.last_token = now

    def record_first_token(self, latency_s: float) -> None:
        """Record the time to the first token of a completion."""
        if self.call.kind != "completion":
            return
        rank = self.call.rank
        metrics = self.observer.metrics
        metrics.observe("filbertyard_first_token_seconds", latency_s, rank=rank.name)
        if latency_s <= rank.target_s:
            metrics.add("filbertyard_first_tokens_in_target_total", rank=rank.name)

    def flush(self) -> None:
        """Move the counted times between tokens to the histogram."""
        rank = self.call.rank.name
        metrics = self.observer.metrics
        if self.call.stream:
            for gap, count in self.gaps.items():
                seconds = (gap + 0.5) * TOKEN_GAP_UNIT_S
                name = "filbertyard_between_tokens_seconds"
                metrics.observe(name, seconds, count, rank=rank)
            tokens = self.tokens - self.flushed_tokens
            metrics.add("filbertyard_tokens_total", tokens, rank=rank)
        self.gaps.clear()
        self.flushed_tokens = self.tokens

    def end(self) -> None:
        """Record the end of the request."""
        self.flush()
        call = self.call
        self.observer.metrics.add(
            "filbertyard_requests_total", rank=call.rank.name, outcome=self.outcome
        )
        self.observer.events.record_step(
            call.request_id,
            "ended",
            outcome=self.outcome,
            cause=self.cause,
            duration_s=time.monotonic() - self.started_at,
            parts=self.tokens,
        )


def route_reason(forward: Forward, view: ReplicaView) -> str:
    """Return why a call goes to a replica, as far as this host knows."""
    if not forward.adapter:
        return "least wait"
    is_resident = any(str(adapter) == forward.adapter for adapter in view.adapters)
    return "adapter resident, least cost" if is_resident else "home replica, least cost"


def outcome_of(reply: Reply) -> str:
    """Return the outcome of a final reply, an empty string for other replies."""
    match reply:
        case End():
            return "answered"
        case NotRun():
            return "not_run"
        case Failed():
            return "unknown"
        case _:
            return ""
