"""One call from entry to response: route, forward, retry, deadline, cancel."""

from __future__ import annotations

import dataclasses
import itertools
import logging
import random
import time
from collections.abc import Callable
from collections.abc import Generator
from collections.abc import Iterator
from contextlib import closing
from dataclasses import dataclass

import gevent

from .attemptlog import QUESTION_TIMEOUT_S
from .attemptlog import AttemptQuestion
from .breakers import Breakers
from .breakers import Scope
from .breakers import adapter_scope
from .breakers import link_scope
from .breakers import replica_scope
from .calls import Call
from .exceptions import PeerError
from .logs import log_event
from .messages import Accepted
from .messages import Chunk
from .messages import End
from .messages import Failed
from .messages import Forward
from .messages import NotRun
from .messages import Reply
from .messages import Started
from .routing import ReplicaView
from .routing import RouteEstimate
from .routing import Router
from .routing import find_cheapest
from .routing import usable_replicas

logger = logging.getLogger(__name__)

MAX_ATTEMPTS = 3

# The owner stops first, so that its reply arrives before this host gives up.
HOP_MARGIN_S = 0.5

# Retries are limited to this fraction of the calls, plus a burst after a quiet time.
RETRY_RATIO = 0.1
RETRY_BURST = 10.0

INITIAL_BACKOFF_S = 0.01
MAX_BACKOFF_S = 0.2

# A new owner takes over the replicas of a lost owner within 5 s.
RESUME_TIMEOUT_S = 8.0
RESUME_INTERVAL_S = 0.1

# Responses that are not streamed are buffered until they are complete.
MAX_BUFFERED_BYTES = 16 << 20

# The scope in which a cause counts as a failure. Rejections due to the caller's own
# demand or deadline are left out, as they do not indicate a fault.
SCOPE_BY_CAUSE = {
    "connect_failed": "replica",
    "replica_unavailable": "replica",
    "upstream_failed": "replica",
    "not_started": "replica",
    "crossed_answer": "replica",
    "owner_unreachable": "owner",
    "owner_lost": "owner",
    "adapter_not_resident": "adapter",
    "load_failed": "adapter",
    "wrong_adapter": "adapter",
}

# The call was not dispatched, and its replica is not at fault: a retry elsewhere adds
# no load to the upstream and needs neither a backoff nor the retry budget.
MOVED_CAUSES = ("replica_leaving", "ownership_lost")

RunAttempt = Callable[[ReplicaView, Forward, float], Iterator[Reply]]

AskOwner = Callable[[str, AttemptQuestion], str]


class RetryBudget:
    """Token bucket that limits retries to a fraction of the calls."""

    def __init__(self, ratio: float = RETRY_RATIO, burst: float = RETRY_BURST) -> None:
        self.ratio = ratio
        self.burst = burst
        self.tokens = burst

    def record_call(self) -> None:
        """Add the fraction of a retry that one call earns."""
        self.tokens = min(self.burst, self.tokens + self.ratio)

    def take(self) -> bool:
        """Take one retry; return False if none is left."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


@dataclass(slots=True)
class StreamProgress:
    """What the caller of a stream has received."""

    started: Started | None = None
    events: int = 0


@dataclass(slots=True)
class RoutePreview:
    """Where a call would go now: the cheapest of `estimates`, else `refusal`.

    `excluded` has the causes why other replicas are left out.
    """

    estimates: list[RouteEstimate]
    excluded: dict[str, str]
    refusal: NotRun | None = None

    @property
    def chosen(self) -> ReplicaView | None:
        """Return the replica that the call would be sent to."""
        return find_cheapest(self.estimates)


class Attempts:
    """Run calls through the owners of replicas."""

    def __init__(
        self,
        host: str,
        router: Router,
        views: Callable[[str], list[ReplicaView]],
        run_attempt: RunAttempt,
        ask_owner: AskOwner | None = None,
    ) -> None:
        self.host = host
        self.router = router
        self.views = views
        self.run_attempt = run_attempt
        self.ask_owner = ask_owner
        self.rng = random.Random()
        self.breakers = Breakers(self.rng)
        self.budget = RetryBudget()
        # A restarted host must not reuse attempt numbers of its earlier process.
        self.numbers = itertools.count(self.rng.getrandbits(40))

    def run(self, call: Call) -> Iterator[Reply]:
        """Yield Started, Chunk and End, or one NotRun or Failed."""
        self.budget.record_call()
        tried: set[str] = set()
        last: NotRun | Failed | None = None
        unknown: Failed | None = None
        hinted: ReplicaView | None = None
        for count in range(MAX_ATTEMPTS):
            if call.deadline <= time.monotonic():
                break
            view = hinted or self.choose(call, tried)
            if isinstance(view, NotRun):
                last = last or view
                break
            if count and not self.back_off(call, count, last):
                break
            tried.add(view.name)
            hinted = None
            progress = StreamProgress()
            outcome = yield from self.attempt(call, view, progress)
            if outcome is None:
                return
            self.log_failure(call, outcome)
            if progress.started is not None:
                ending = yield from self.resume(call, view.name, progress, outcome)
                if ending is not None:
                    yield ending
                return
            last = outcome
            if isinstance(outcome, NotRun) and outcome.cause == "not_owner":
                # The replica is not at fault; this host's view of it is stale.
                tried.discard(view.name)
                if outcome.hint:
                    hinted = dataclasses.replace(view, owner=outcome.hint)
            if isinstance(outcome, Failed):
                unknown = outcome
                if not call.idempotent:
                    break
            if outcome.cause == "deadline":
                break
        # A later attempt that did not run says nothing about an earlier one.
        yield unknown or last or self.deadline_reply(call)

    def deadline_reply(self, call: Call) -> NotRun:
        """Return the reply to a call whose deadline passed before any attempt."""
        return NotRun(
            call.request_id,
            0,
            "deadline",
            "the deadline passed before the call was sent",
            step="route",
            peer=self.host,
            status=504,
        )

    def log_failure(self, call: Call, outcome: NotRun | Failed) -> None:
        """Log the failure of one attempt."""
        log_event(
            logger,
            "attempt_failed",
            request=call.request_id,
            rank=call.rank.name,
            adapter=call.adapter,
            step=outcome.step,
            peer=outcome.peer,
            cause=outcome.cause,
        )

    def choose(self, call: Call, tried: set[str]) -> ReplicaView | NotRun:
        """Return the replica for the next attempt, or why there is none."""
        views = self.views(call.upstream)
        waits = self.breaker_waits(call, views)
        chosen = self.router.choose(call, views, tried | waits.keys())
        if chosen is not None:
            return chosen
        return self.no_replica_reply(call, views, waits, tried)

    def breaker_waits(self, call: Call, views: list[ReplicaView]) -> dict[str, float]:
        """Return how long open breakers keep a call from replicas, by replica."""
        waits = {}
        for view in views:
            wait_s = self.breakers.wait_s(failure_scopes(call, view))
            if wait_s > 0:
                waits[view.name] = wait_s
        return waits

    def preview(self, call: Call) -> RoutePreview:
        """Return where a call would go now and why, without sending it."""
        views = self.views(call.upstream)
        waits = self.breaker_waits(call, views)
        estimates = self.router.estimate(call, views, set(waits))
        excluded = {
            view.name: exclusion_cause(view, waits)
            for view in views
            if all(item.view.name != view.name for item in estimates)
        }
        refusal = None
        if not estimates:
            refusal = self.no_replica_reply(call, views, waits, set())
        return RoutePreview(estimates, excluded, refusal)

    def no_replica_reply(
        self,
        call: Call,
        views: list[ReplicaView],
        waits: dict[str, float],
        tried: set[str],
    ) -> NotRun:
        """Return the reply to a call that no replica can take."""
        open_waits = [wait for name, wait in waits.items() if name not in tried]
        cause = "circuit_open" if open_waits else "no_replica"
        detail = f"no replica of {call.upstream!r} can take the call"
        if usable_replicas(views, tried | waits.keys()):
            cause = "overloaded"
            detail = f"every replica of {call.upstream!r} rejects rank {call.rank.name}"
        return NotRun(
            call.request_id,
            0,
            cause,
            detail,
            min(open_waits, default=1.0),
            "route",
            self.host,
        )

    def back_off(self, call: Call, count: int, last: NotRun | Failed | None) -> bool:
        """Wait before a retry; False if the budget or the deadline forbids it."""
        if isinstance(last, NotRun) and last.cause in MOVED_CAUSES:
            return True
        longest = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 4 ** (count - 1))
        pause_s = self.rng.uniform(0, longest)
        if time.monotonic() + pause_s >= call.deadline or not self.budget.take():
            return False
        gevent.sleep(pause_s)
        return True

    def resume(
        self,
        call: Call,
        replica: str,
        progress: StreamProgress,
        failure: NotRun | Failed,
    ) -> Generator[Reply, None, NotRun | Failed | None]:
        """Continue a broken stream through the replica's next owner.

        Nothing runs twice, so that non-idempotent calls are resumed too.
        """
        if not (call.stream and call.kind == "completion"):
            return failure
        end = min(call.deadline, time.monotonic() + RESUME_TIMEOUT_S)
        while failure.cause != "deadline" and time.monotonic() < end:
            gevent.sleep(RESUME_INTERVAL_S * self.rng.uniform(0.5, 1.0))
            for view in self.views(call.upstream):
                if view.name != replica or not view.owner:
                    continue
                outcome = yield from self.attempt(call, view, progress, resume=True)
                if outcome is None:
                    return None
                self.log_failure(call, outcome)
                if outcome.cause in ("not_resumable", "deadline"):
                    return failure
        return failure

    def attempt(
        self,
        call: Call,
        view: ReplicaView,
        progress: StreamProgress,
        *,
        resume: bool = False,
    ) -> Generator[Reply, None, NotRun | Failed | None]:
        """Yield the replies of one attempt; return its failure."""
        number = next(self.numbers)
        forward = create_forward(call, view.name, number, self.host)
        if resume:
            forward.resume_after = progress.events
        scopes = failure_scopes(call, view)
        self.breakers.begin(scopes)
        began = time.monotonic()
        try:
            limit = forward.remaining_s + HOP_MARGIN_S
            replies = self.run_attempt(view, forward, limit)
            with closing(replies):  # type: ignore[type-var]
                outcome = yield from self.deliver(
                    call, view.name, number, replies, progress
                )
        except PeerError as error:
            outcome = self.unanswered_outcome(call, number, view, began, error)
        if outcome is None:
            self.breakers.record_success(scopes)
        else:
            self.record_failure(outcome, scopes)
        return outcome

    def deliver(
        self,
        call: Call,
        replica: str,
        number: int,
        replies: Iterator[Reply],
        progress: StreamProgress,
    ) -> Generator[Reply, None, NotRun | Failed | None]:
        """Yield the replies that belong to the attempt; return its failure.

        A response that is not streamed is buffered until it is complete, so that an
        idempotent call can be retried after a part of its response arrived.
        """
        buffered: list[Reply] = []
        buffered_bytes = 0
        chunks = 0
        for reply in replies:
            if (reply.request_id, reply.attempt) != (call.request_id, number):
                log_event(logger, "mismatched_reply", request=call.request_id)
                continue
            self.router.observe(call, replica, reply)
            match reply:
                case Accepted():
                    continue
                case NotRun() | Failed():
                    return reply
                case Started():
                    if call.stream and reply.status == 200:
                        if progress.started is not None:
                            continue
                        progress.started = reply
                case Chunk():
                    if reply.number < chunks:
                        log_event(logger, "duplicate_chunk", request=call.request_id)
                        continue
                    if reply.number > chunks:
                        break
                    chunks += 1
                    progress.events += reply.data.count(b"\n\n")
                    buffered_bytes += len(reply.data)
                case End():
                    if reply.chunks != chunks:
                        break
                    yield from buffered
                    yield reply
                    return None
            if progress.started is not None:
                yield reply
                continue
            buffered.append(reply)
            if buffered_bytes > MAX_BUFFERED_BYTES:
                break
        return Failed(
            call.request_id,
            number,
            True,
            "response_too_large"
            if buffered_bytes > MAX_BUFFERED_BYTES
            else "broken_off",
            "the replies ended early or have a gap",
            "forward",
        )

    def unanswered_outcome(
        self, call: Call, number: int, view: ReplicaView, began: float, error: PeerError
    ) -> NotRun | Failed:
        """Return the outcome of an attempt whose owner did not complete its reply."""
        cause = "owner_lost" if error.sent else "owner_unreachable"
        status = 502
        if time.monotonic() >= call.deadline:
            cause, status = "deadline", 504
        if not error.sent or self.is_barred(call, number, view.owner, began):
            return NotRun(
                call.request_id,
                number,
                cause,
                error.message,
                0.5,
                "forward",
                view.owner,
            )
        return Failed(
            call.request_id,
            number,
            True,
            cause,
            error.message,
            "forward",
            view.owner,
            status,
        )

    def is_barred(self, call: Call, number: int, owner: str, began: float) -> bool:
        """Ask the owner; True if the attempt did not and will not run."""
        if self.ask_owner is None or call.idempotent:
            return False
        asked = time.monotonic()
        question = AttemptQuestion(
            self.host, call.request_id, number, time.monotonic() - began
        )
        answer = self.ask_owner(owner, question)
        in_time = time.monotonic() - asked < QUESTION_TIMEOUT_S
        return answer == "barred" and in_time

    def record_failure(self, outcome: NotRun | Failed, scopes: list[Scope]) -> None:
        """Count a failure in the scope of its cause."""
        kind = SCOPE_BY_CAUSE.get(outcome.cause)
        for scope in scopes:
            if scope.kind == kind:
                self.breakers.record_failure(scope)


def failure_scopes(call: Call, view: ReplicaView) -> list[Scope]:
    """Return the scopes of failure of one attempt."""
    scopes = [replica_scope(view.name), link_scope(view.owner)]
    if call.adapter is not None:
        scopes.append(adapter_scope(view.name, str(call.adapter)))
    return scopes


def create_forward(call: Call, replica: str, attempt: int, origin: str) -> Forward:
    """Return the message that asks the owner of `replica` to run a call."""
    rank = call.rank
    return Forward(
        request_id=call.request_id,
        attempt=attempt,
        replica=replica,
        kind=call.kind,
        team=call.team,
        upstream=call.upstream,
        adapter=str(call.adapter) if call.adapter is not None else "",
        rank=rank.name,
        urgency=rank.urgency,
        share=rank.share,
        target_s=rank.target_s,
        patience_s=rank.patience_s,
        worth=rank.worth,
        idempotent=call.idempotent,
        revision=call.revision,
        remaining_s=call.deadline - time.monotonic(),
        method=call.method,
        path=call.path,
        headers=[[name, value] for name, value in call.headers],
        body=call.body,
        stream=call.stream,
        traceparent=call.traceparent,
        max_tokens=call.max_tokens,
        origin=origin,
    )


def exclusion_cause(view: ReplicaView, breaker_waits: dict[str, float]) -> str:
    """Return why a replica cannot take a call."""
    if view.is_leaving:
        return "leaving"
    if not view.owner:
        return "no_owner"
    return "circuit_open" if view.name in breaker_waits else "overloaded"
