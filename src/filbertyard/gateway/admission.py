"""Admission control for one engine: a queue that starts, delays or rejects requests.

It covers floods of requests of one rank, more prompt tokens than the engine can
prefill, and an engine that names a rate limit. An engine serves its own queue by
arrival within a priority, and preempts requests when it runs out of memory, which
discards their work. So the engine gets enough requests to fill its batch, but none that
would wait inside it.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol
from typing import TypeVar

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
    `end_deadline`.
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


class Waiting(Protocol):
    """What decides the order in which waiting requests start."""

    rank: int
    arrived: float
    objective_at: float


W = TypeVar("W", bound=Waiting)


def start_order(
    waiting: Iterable[W], starts: int, now: float, first_event_s: float = 0.0
) -> list[W]:
    """Return waiting requests, the next to start first, after `starts` others.

    Requests that can still meet their objective, with a first event `first_event_s`
    after their start, go before those that cannot: under overload, serving them by
    arrival would make all of them late.
    """
    if starts % STARTS_PER_FIFO_START == STARTS_PER_FIFO_START - 1:
        return sorted(waiting, key=lambda item: item.arrived)
    first_at = now + first_event_s
    return sorted(
        waiting,
        key=lambda item: (first_at > item.objective_at, item.rank, item.arrived),
    )


class EngineQueue:
    """Waiting and started requests of one engine.

    `prefill_until` is when the engine should have finished all prefill given to it: a
    leaky bucket of prefill time. `rate_bucket` holds the starts that the engine's rate
    limit allows, None without a limit.
    """

    def __init__(
        self,
        slots: int,
        kv_tokens: int,
        max_prefill_backlog_s: float = DEFAULT_PREFILL_BACKLOG_S,
        max_event_gap_s: float = 0.0,
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
        wait_s = self.wait_s(now, is_ready, item.rank)
        if now + wait_s + MIN_RUN_S > item.start_deadline:
            cause = "rate_limit" if self.rate_bucket is not None else "no_time"
            return Rejection(cause, max(MIN_RETRY_AFTER_S, wait_s / 2))
        self.waiting.append(item)
        return None

    def wait_s(
        self,
        now: float,
        is_ready: Callable[[AdapterName], bool],
        rank: int | None = None,
    ) -> float:
        """Estimate how long a new request of a rank waits, in seconds.

        It waits behind requests of this rank and more urgent ones, without a rank
        behind all. Requests that wait for their adapter do not delay others.
        """
        ahead = [
            other
            for other in self.waiting
            if (rank is None or other.rank <= rank) and is_ready(other.adapter)
        ]
        tokens = sum(other.prompt_tokens for other in ahead)
        prefill_s = max(0.0, self.prefill_until - now) + tokens * self.token_cost_s
        missing_slots = len(self.started) + len(ahead) + 1 - self.slots
        slot_s = max(0, missing_slots) * self.run_s / self.slots
        return max(prefill_s, slot_s, self.rate_wait_s(now, len(ahead)))

    def rate_wait_s(self, now: float, ahead: int = 0) -> float:
        """Return how long the rate limit delays a request behind `ahead` others."""
        if self.rate_bucket is None:
            return 0.0
        return self.rate_bucket.wait_s(now, ahead + 1)

    def start_order(self, now: float) -> list[QueuedRequest]:
        """Return the waiting requests, the next to start first."""
        return start_order(self.waiting, self.starts, now, self.first_event_s)

    def has_room(self, item: QueuedRequest, now: float) -> bool:
        """Tell if a request could start now without waiting inside the engine."""
        if len(self.started) >= self.slots or self.rate_wait_s(now) > 0:
            return False
        if not self.started:
            return True
        memory = self.memory_tokens + item.tokens
        if memory > MEMORY_FRACTION * self.kv_tokens:
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
        """Start the next request whose adapter is ready, if there is room."""
        for item in self.start_order(now):
            if not is_ready(item.adapter):
                continue
            if not self.has_room(item, now):
                return None
            if self.rate_bucket is not None:
                self.rate_bucket.take(now)
            self.waiting.remove(item)
            self.starts += 1
            backlog_s = max(0.0, self.prefill_until - now)
            tokens_ahead = int(backlog_s / self.token_cost_s)
            self.started[item.id] = StartedRequest(item, now, tokens_ahead)
            own_s = item.prompt_tokens * self.token_cost_s
            self.prefill_until = now + backlog_s + own_s / self.prefill_duty
            return item
        return None

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
                pause_s = elapsed_s * (1.0 / self.prefill_duty - 1.0)
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


def max_prefill_backlog_s(max_event_gap_s: float, event_tokens: int) -> float:
    """Return how much prefill may be queued at an engine for a maximum event gap."""
    if max_event_gap_s <= 0:
        return DEFAULT_PREFILL_BACKLOG_S
    return max(
        MIN_PREFILL_BACKLOG_S,
        PREFILL_GAP_FRACTION * max_event_gap_s / max(1, event_tokens),
    )
