"""Admission control for one engine: a queue that starts, delays or rejects requests.

It covers floods of requests of one rank or one workspace, more prompt tokens than the
engine can prefill, requests of very different sizes, and an engine that names a rate
limit. An engine serves its own queue by arrival within a priority, and preempts
requests when it runs out of memory, which discards their work. So the engine gets
enough requests to fill its batch, but none that would wait inside it.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass

from .fairshare import FairShares
from .fairshare import Weight
from .fairshare import equal_weight
from .ratelimits import TokenBucket
from .speeds import HOLD_GAP_FRACTION
from .speeds import MAX_PREFILL_S
from .speeds import PROMPT_GAP_FRACTION
from .speeds import SLOW_RATIO
from .speeds import SLOW_RETRY_S
from .speeds import UNREAD_GAP_FRACTION
from .speeds import EngineSpeed
from .types import AdapterName

# Fraction of the engine's KV memory that admitted requests may need in total. The rest
# is for cached prompts and for responses longer than announced.
MEMORY_FRACTION = 0.9

# Engines interleave prefill with the steps that generate tokens, so prefill lengthens
# a step. An event of n tokens takes n steps; prefill may use this fraction of the
# maximum gap between two events.
PREFILL_GAP_FRACTION = 0.6

# Fraction of the engine's time that is filled with prefill; running streams need the
# rest to generate. Additive increase, multiplicative decrease (AIMD) on the gaps of
# finished streams: more prefill starts streams earlier, less keeps their gaps short.
# The larger step applies while streams start late.
INITIAL_PREFILL_DUTY = 0.75
MIN_PREFILL_DUTY = 0.3
MAX_PREFILL_DUTY = 0.95
PREFILL_DUTY_STEP = 0.0005
PREFILL_DUTY_STEP_LATE = 0.002
PREFILL_DUTY_DECREASE_FACTOR = 0.95

# Tolerated share of streams with gaps over the maximum: this ratio of the share that
# starts late, but at least the minimum. In simulation, a higher ratio made as many
# streams late by their gaps as it saved by earlier starts.
MIN_LATE_SHARE = 0.01
LATE_GAPS_PER_LATE_START = 0.125

# Weight of the newest stream in the averaged shares of late starts and late gaps.
LATE_SHARE_EWMA_WEIGHT = 0.02

# The default applies to services without a maximum event gap.
DEFAULT_PREFILL_BACKLOG_S = 0.25
MIN_PREFILL_BACKLOG_S = 0.03

# Prefill time of one prompt token: estimate before any observation, and its bounds.
INITIAL_TOKEN_COST_S = 0.00006
MIN_TOKEN_COST_S = 0.00002
MAX_TOKEN_COST_S = 0.002

RUN_TIME_EWMA_WEIGHT = 0.1
FIRST_EVENT_EWMA_WEIGHT = 0.1

# Factor by which older observations lose weight in the regression of prefill times.
REGRESSION_DECAY = 0.97

# Weighted number of observations that the regression needs.
MIN_OBSERVATIONS = 5.0

INITIAL_RUN_S = 2.0

# One start in this many goes to the request that waited longest, whatever its rank,
# so that a flood of urgent requests doesn't starve the other ranks.
STARTS_PER_FIFO_START = 6

# A request with less time left than this is not started.
MIN_RUN_S = 0.15

# A started request counts as ended this long after its caller's deadline.
OVERDUE_GRACE_S = 1.0

MIN_RETRY_AFTER_S = 0.2


@dataclass(slots=True, eq=False)
class QueuedRequest:
    """One request that waits; times are on the owner's monotonic clock.

    It must start before `start_deadline`; once started it may run until
    `end_deadline`. `overtaken_tokens` counts the memory of those that started while
    this one was next but did not fit.
    """

    id: str
    adapter: AdapterName
    rank: int
    arrived: float
    objective_at: float
    start_deadline: float
    end_deadline: float
    prompt_tokens: int
    output_tokens: int
    workspace: str = ""
    overtaken_tokens: int = 0

    @property
    def tokens(self) -> int:
        """Return the KV memory that the request may need, in tokens."""
        return self.prompt_tokens + self.output_tokens


@dataclass(slots=True)
class StartedRequest:
    """A request that holds a slot.

    `tokens_ahead` is the prefill backlog of the engine, in tokens, when it started.
    """

    request: QueuedRequest
    started_at: float
    tokens_ahead: int
    is_prefilling: bool = True


@dataclass(frozen=True, slots=True)
class Rejection:
    """Why a request is rejected, and when the caller may retry."""

    cause: str
    retry_after_s: float


class PrefillCost:
    """Prefill time per token: the slope of the time to the first event.

    A linear regression over recent requests separates it from the constant part of
    that time, which does not grow with the prefill backlog.
    """

    def __init__(self) -> None:
        self.token_s = INITIAL_TOKEN_COST_S
        self.n = 0.0
        self.x = 0.0
        self.y = 0.0
        self.xx = 0.0
        self.xy = 0.0

    def observe(self, tokens: int, seconds: float) -> None:
        """Record the time to a first event after the prefill of `tokens` tokens."""
        self.n = REGRESSION_DECAY * self.n + 1.0
        self.x = REGRESSION_DECAY * self.x + tokens
        self.y = REGRESSION_DECAY * self.y + seconds
        self.xx = REGRESSION_DECAY * self.xx + tokens * tokens
        self.xy = REGRESSION_DECAY * self.xy + tokens * seconds
        variance = self.n * self.xx - self.x * self.x
        if self.n < MIN_OBSERVATIONS or variance <= 0:
            return
        slope = (self.n * self.xy - self.x * self.y) / variance
        self.token_s = min(MAX_TOKEN_COST_S, max(MIN_TOKEN_COST_S, slope))


def engine_tokens(item: QueuedRequest) -> float:
    """Return what a request counts in its workspace's share of an engine."""
    return float(max(1, item.tokens))


class EngineQueue:
    """Waiting and started requests of one engine.

    `prefill_until` is when the engine should have finished all prefill given to it: a
    leaky bucket of prefill time. `rate_bucket` holds the starts that the engine's rate
    limit allows, None without a limit. `weight` returns the weight of a workspace's
    share.
    """

    def __init__(
        self,
        slots: int,
        kv_tokens: int,
        max_prefill_backlog_s: float = DEFAULT_PREFILL_BACKLOG_S,
        max_event_gap_s: float = 0.0,
        weight: Weight = equal_weight,
    ) -> None:
        self.slots = slots
        self.kv_tokens = kv_tokens
        self.max_prefill_backlog_s = max_prefill_backlog_s
        self.max_event_gap_s = max_event_gap_s
        self.prefill_until = 0.0
        self.waiting: list[QueuedRequest] = []
        self.started: dict[str, StartedRequest] = {}
        self.prefill_cost = PrefillCost()
        self.run_s = INITIAL_RUN_S
        self.prefill_duty = INITIAL_PREFILL_DUTY
        self.prefill_duty_cut_at = float("-inf")
        self.late_gap_share = 0.0
        self.late_start_share = 0.0
        self.starts = 0
        self.first_event_s = 0.0
        self.rate_bucket: TokenBucket | None = None
        self.speed = EngineSpeed()
        self.shares: FairShares[QueuedRequest] = FairShares(engine_tokens, weight)

    def set_rate_limit(self, per_s: float, now: float) -> None:
        """Limit the requests started per second; infinite for no limit."""
        if math.isinf(per_s):
            self.rate_bucket = None
        elif self.rate_bucket is None:
            self.rate_bucket = TokenBucket(per_s, now)
        else:
            self.rate_bucket.set_rate(per_s, now)

    @property
    def token_cost_s(self) -> float:
        """Return the estimated prefill time of one prompt token."""
        return self.prefill_cost.token_s * self.speed.usual

    @property
    def memory_tokens(self) -> int:
        """Return the KV memory that the started requests may need, in tokens."""
        return sum(item.request.tokens for item in self.started.values())

    def enqueue(
        self, item: QueuedRequest, now: float, is_ready: Callable[[AdapterName], bool]
    ) -> Rejection | None:
        """Add a request, or reject it if it cannot start in time."""
        self.shares.begin(item, self.waiting)
        wait_s = self.wait_s(now, is_ready, item)
        if now + wait_s + MIN_RUN_S > item.start_deadline:
            cause = "rate_limit" if self.rate_bucket is not None else "no_time"
            return Rejection(cause, retry_after_s(wait_s))
        self.waiting.append(item)
        return None

    def expired_retry_s(
        self, item: QueuedRequest, now: float, is_ready: Callable[[AdapterName], bool]
    ) -> float:
        """Return when a workspace's request that expired in the queue may be retried.

        Without a time its caller would return to the same queue at once.
        """
        if not item.workspace:
            return 0.0
        return retry_after_s(self.wait_s(now, is_ready, item))

    def wait_s(
        self,
        now: float,
        is_ready: Callable[[AdapterName], bool],
        item: QueuedRequest | None = None,
    ) -> float:
        """Estimate how long a new request waits, in seconds.

        It waits behind more urgent ones and those of its rank whose workspaces have
        their turn before; without `item` behind all. Requests that wait for their
        adapter do not delay others.
        """
        ahead = [other for other in self.waiting if is_ready(other.adapter)]
        if item is not None:
            ahead = self.shares.ahead(item, ahead)
        tokens = sum(other.prompt_tokens for other in ahead)
        prefill_s = max(0.0, self.prefill_until - now) + tokens * self.token_cost_s
        missing_slots = len(self.started) + len(ahead) + 1 - self.slots
        slot_s = max(0, missing_slots) * self.run_s / self.slots
        memory_s = self.memory_wait_s(item, ahead) if item is not None else 0.0
        return max(prefill_s, slot_s, memory_s, self.rate_wait_s(now, len(ahead)))

    def memory_wait_s(
        self, item: QueuedRequest, ahead: Iterable[QueuedRequest]
    ) -> float:
        """Estimate how long a workspace's request waits for KV memory behind others."""
        if not item.workspace or not self.started:
            return 0.0
        limit = MEMORY_FRACTION * self.kv_tokens
        needed = self.memory_tokens + sum(other.tokens for other in ahead) + item.tokens
        return max(0.0, needed - limit) * self.run_s / limit

    def rate_wait_s(self, now: float, ahead: int = 0) -> float:
        """Return how long the rate limit delays a request behind `ahead` others."""
        if self.rate_bucket is None:
            return 0.0
        return self.rate_bucket.wait_s(now, ahead + 1)

    def start_order(self, now: float) -> list[QueuedRequest]:
        """Return the waiting requests, the next to start first.

        Requests that can still meet their objective go before those that cannot: under
        overload, serving them by arrival would make all of them late.
        """
        if self.starts % STARTS_PER_FIFO_START == STARTS_PER_FIFO_START - 1:
            return self.shares.oldest_first(self.waiting)
        return self.shares.urgent_first(self.waiting, now + self.first_event_s)

    def load_order(
        self, now: float, item: QueuedRequest | None = None
    ) -> list[QueuedRequest]:
        """Return the waiting requests whose adapters are loaded before a new one's."""
        if item is None or not item.workspace:
            return self.start_order(now)
        return self.shares.ahead(item, self.waiting)

    def has_memory(self, item: QueuedRequest) -> bool:
        """Tell if a request fits into the KV memory beside the started ones."""
        if not self.started:
            return True
        return self.memory_tokens + item.tokens <= MEMORY_FRACTION * self.kv_tokens

    def has_room(self, item: QueuedRequest, now: float) -> bool:
        """Tell if a request could start now without waiting inside the engine."""
        if len(self.started) >= self.slots or self.rate_wait_s(now) > 0:
            return False
        if not self.started:
            return True
        if not self.has_memory(item):
            return False
        if self.speed.is_reported and not self.has_prefill_room(item, now):
            return False
        backlog_s = self.prefill_until - now
        own_s = item.prompt_tokens * self.token_cost_s
        return backlog_s <= 0 or backlog_s + own_s <= self.max_prefill_backlog_s

    def prefilling_tokens(self, now: float) -> int:
        """Return the prompt tokens of the requests that await their first event."""
        return sum(
            item.request.prompt_tokens
            for item in self.started.values()
            if item.is_prefilling and now - item.started_at < MAX_PREFILL_S
        )

    def has_prefill_room(self, item: QueuedRequest, now: float) -> bool:
        """Tell if an engine of varying speed may get another prompt.

        While it is slow, the time that its prompts should take has passed before it
        has read them. So their first events tell when it has. A prompt that would
        delay the events of running streams too long waits until it may be faster.
        """
        if self.max_event_gap_s <= 0:
            return True
        tokens = self.prefilling_tokens(now)
        if tokens:
            return tokens + item.prompt_tokens <= self.max_unread_tokens()
        ratio = self.speed.ratio(now)
        prefill_s = item.prompt_tokens * self.token_cost_s * ratio
        max_prefill_s = HOLD_GAP_FRACTION * self.max_event_gap_s
        return ratio < SLOW_RATIO or prefill_s <= max_prefill_s

    def prefill_pause_s(self, now: float) -> float:
        """Return when to try again to start a request, 0 if an event will tell."""
        if not self.speed.is_reported or self.prefilling_tokens(now):
            return 0.0
        pause_s = self.prefill_until - now
        return pause_s if pause_s > 0 else SLOW_RETRY_S

    def max_prompt_tokens(self) -> int:
        """Return the longest prompt that delays no event too long, 0 if unknown."""
        if not self.speed.is_reported:
            return 0
        max_s = PROMPT_GAP_FRACTION * self.max_event_gap_s
        return self.speed.tokens_at_peak(max_s, self.prefill_cost.token_s)

    def max_unread_tokens(self) -> int:
        """Return how many prompt tokens the engine may have to read at once."""
        max_s = UNREAD_GAP_FRACTION * self.max_event_gap_s
        return self.speed.tokens_at_peak(max_s, self.prefill_cost.token_s)

    def start_next(
        self, now: float, is_ready: Callable[[AdapterName], bool]
    ) -> QueuedRequest | None:
        """Start the next request whose adapter is ready, if there is room.

        While the next one waits for KV memory, requests of other workspaces that fit
        may overtake it, up to its own size in total: a large request neither blocks the
        others nor is overtaken for ever.
        """
        blocked: QueuedRequest | None = None
        for item in self.start_order(now):
            if not is_ready(item.adapter):
                continue
            if blocked is not None and not may_overtake(item, blocked):
                continue
            if not self.has_room(item, now):
                if blocked is None and not self.has_memory(item):
                    blocked = item
                    continue
                return None
            if blocked is not None:
                blocked.overtaken_tokens += item.tokens
            self.start(item, now)
            return item
        return None

    def start(self, item: QueuedRequest, now: float) -> None:
        """Start a waiting request."""
        if self.rate_bucket is not None:
            self.rate_bucket.take(now)
        self.waiting.remove(item)
        self.shares.charge(item)
        self.starts += 1
        backlog_s = max(0.0, self.prefill_until - now)
        tokens_ahead = int(backlog_s / self.token_cost_s)
        self.started[item.id] = StartedRequest(item, now, tokens_ahead)
        own_s = item.prompt_tokens * self.token_cost_s
        self.prefill_until = now + backlog_s + own_s / self.prefill_duty

    def record_first_event(self, request_id: str, now: float) -> None:
        """Update the prefill cost and the late starts with a request's first event."""
        item = self.started.get(request_id)
        if item is None or not item.is_prefilling:
            return
        item.is_prefilling = False
        self.record_start(now > item.request.objective_at)
        self.first_event_s += FIRST_EVENT_EWMA_WEIGHT * (
            now - item.started_at - self.first_event_s
        )
        tokens = item.tokens_ahead + item.request.prompt_tokens
        if tokens > 0:
            elapsed_s = now - item.started_at
            if self.speed.is_reported:
                # Running streams need their share of the time that prefill really took.
                # A late report of an event is no longer prefill.
                read_s = min(elapsed_s, MAX_PREFILL_S)
                pause_s = read_s * (1.0 / self.prefill_duty - 1.0)
                self.prefill_until = max(self.prefill_until, now + pause_s)
            self.prefill_cost.observe(tokens, elapsed_s / self.speed.slowdown)

    def record_event_gap(self, gap_ratio: float, started_at: float, now: float) -> None:
        """Adapt the prefill duty to the longest gap of a stream.

        `gap_ratio` is that gap as a fraction of the maximum, 0 if unknown. Streams
        started before the last decrease are ignored: it has already responded to them.
        """
        if gap_ratio <= 0 or started_at < self.prefill_duty_cut_at:
            return
        self.late_gap_share += LATE_SHARE_EWMA_WEIGHT * (
            float(gap_ratio > 1.0) - self.late_gap_share
        )
        if self.late_gap_share <= max(
            MIN_LATE_SHARE, LATE_GAPS_PER_LATE_START * self.late_start_share
        ):
            is_late = self.late_start_share > MIN_LATE_SHARE
            step = PREFILL_DUTY_STEP_LATE if is_late else PREFILL_DUTY_STEP
            self.prefill_duty = min(MAX_PREFILL_DUTY, self.prefill_duty + step)
        else:
            self.prefill_duty = max(
                MIN_PREFILL_DUTY, self.prefill_duty * PREFILL_DUTY_DECREASE_FACTOR
            )
            self.prefill_duty_cut_at = now
            self.late_gap_share = 0.0

    def record_start(self, is_late: bool) -> None:
        """Update the share of late starts; an expired request counts as late."""
        self.late_start_share += LATE_SHARE_EWMA_WEIGHT * (
            float(is_late) - self.late_start_share
        )

    def finish(
        self, request_id: str, now: float, gap_ratio: float = 0.0
    ) -> StartedRequest | None:
        """Free the slot of a started request; `gap_ratio` as in `record_event_gap`."""
        item = self.started.pop(request_id, None)
        if item is not None:
            self.record_event_gap(gap_ratio, item.started_at, now)
        if item is not None and not item.is_prefilling:
            self.run_s += RUN_TIME_EWMA_WEIGHT * (now - item.started_at - self.run_s)
        return item

    def withdraw(self, request_id: str) -> None:
        """Remove a waiting request that nobody waits for any more."""
        self.waiting = [item for item in self.waiting if item.id != request_id]

    def expire(self, now: float) -> list[QueuedRequest]:
        """Remove and return the waiting requests that can no longer start in time."""
        late = [item for item in self.waiting if now + MIN_RUN_S > item.start_deadline]
        for _ in late:
            self.record_start(True)
        if late:
            self.waiting = [item for item in self.waiting if item not in late]
        return late

    def overdue(self, now: float) -> list[str]:
        """Return started requests past their deadline whose end no host reported."""
        return [
            request_id
            for request_id, item in self.started.items()
            if now > item.request.end_deadline + OVERDUE_GRACE_S
        ]


def retry_after_s(wait_s: float) -> float:
    """Return when to retry at a queue in which a request would wait this long."""
    return max(MIN_RETRY_AFTER_S, wait_s / 2)


def may_overtake(item: QueuedRequest, blocked: QueuedRequest) -> bool:
    """Tell if a request may start before one that waits for KV memory."""
    if item.workspace == blocked.workspace:
        return False
    return blocked.overtaken_tokens + item.tokens <= blocked.tokens


def max_prefill_backlog_s(max_event_gap_s: float, event_tokens: int) -> float:
    """Return how much prefill may be queued at an engine for a maximum event gap."""
    if max_event_gap_s <= 0:
        return DEFAULT_PREFILL_BACKLOG_S
    return max(
        MIN_PREFILL_BACKLOG_S,
        PREFILL_GAP_FRACTION * max_event_gap_s / max(1, event_tokens),
    )
