"""The queue in front of one engine: what starts, what waits, what is turned away.

Load patterns: a flood of one rank, and more requests than the engine can read. An
engine orders its own queue by arrival within a priority and preempts when its memory
runs out, which throws work away. So it is given enough to keep its batch full and
nothing that would wait inside it.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from .types import AdapterName

# Part of the engine's memory that admitted requests may need in sum. The rest is for
# prompts kept for later requests and for answers longer than announced.
MEMORY_FRACTION = 0.9

# An engine reads prompts between the steps that generate tokens, so a step lasts as
# long as the reading given to it. An event of several tokens takes as many steps; this
# part of its longest pause may go into reading.
READ_FRACTION = 0.6

# Part of the time in which prompts are given to an engine for reading: running streams
# need the rest to generate. By additive increase and multiplicative decrease it follows
# what streams show, from its first value within its bounds: more reading starts streams
# earlier, less keeps their pauses short. It grows faster while the starts are late.
FIRST_READ_DUTY = 0.75
LEAST_READ_DUTY = 0.3
MOST_READ_DUTY = 0.95
READ_DUTY_STEP = 0.0005
READ_DUTY_STEP_LATE = 0.002
READ_DUTY_CUT = 0.95

# Share of streams that may pause too long: the first while none starts too late, else
# this part of the share that does. In replay, more made as many late as it helped.
LEAST_LATE_SHARE = 0.01
LATE_PART = 0.125

# Weight of the newest stream in the shares of late ones.
LATE_GAIN = 0.02

# Reading given ahead where no pause is set, and the least, in seconds.
DEFAULT_READ_S = 0.25
LEAST_READ_S = 0.03

# Seconds to read one prompt token before anything was observed, and its bounds.
FIRST_TOKEN_COST_S = 0.00006
LEAST_TOKEN_COST_S = 0.00002
MOST_TOKEN_COST_S = 0.002

# Weight of the newest observation in the learned costs.
GAIN = 0.1

# Weight that past observations keep in the regression of reading times.
KEEP = 0.97

# The regression counts from this many observations on.
LEAST_OBSERVATIONS = 5.0

# A running time before anything was observed, in seconds.
FIRST_RUN_S = 2.0

# One start in this many goes to the request that waited longest, whatever its rank,
# so that a flood of urgent work leaves the other ranks a part.
STARTS_PER_TURN = 6

# A request with less time left than this is not started.
LEAST_RUN_S = 0.15

# A started request counts as ended this long after its caller's deadline.
OVERDUE_S = 1.0

# Requests are told to come back after at least this time.
LEAST_RETRY_S = 0.2


@dataclass(slots=True, eq=False)
class Waiting:
    """One request that waits; times are on the owner's monotonic clock.

    It must start before `deadline`; once started it may run until `end`.
    """

    id: str
    adapter: AdapterName
    rank: int
    arrived: float
    objective_at: float
    deadline: float
    end: float
    prompt_tokens: int
    output_tokens: int

    @property
    def tokens(self) -> int:
        """Return the memory that the request may need, in tokens."""
        return self.prompt_tokens + self.output_tokens


@dataclass(slots=True)
class Started:
    """One request that holds a slot; `ahead` are the prompt tokens before its own."""

    waiting: Waiting
    at: float
    ahead: int
    is_reading: bool = True


@dataclass(frozen=True, slots=True)
class TurnedAway:
    """Why a request cannot be served, and when it may come back."""

    cause: str
    retry_after_s: float


class ReadCost:
    """Time to the first event as a constant and a cost for each token before it.

    A linear regression over recent requests: the constant part of a first event does
    not grow with the prompts that an engine reads.
    """

    def __init__(self) -> None:
        self.token_s = FIRST_TOKEN_COST_S
        self.n = 0.0
        self.x = 0.0
        self.y = 0.0
        self.xx = 0.0
        self.xy = 0.0

    def observe(self, tokens: int, seconds: float) -> None:
        """Learn from one request with `tokens` prompt tokens up to its own end."""
        self.n = KEEP * self.n + 1.0
        self.x = KEEP * self.x + tokens
        self.y = KEEP * self.y + seconds
        self.xx = KEEP * self.xx + tokens * tokens
        self.xy = KEEP * self.xy + tokens * seconds
        variance = self.n * self.xx - self.x * self.x
        if self.n < LEAST_OBSERVATIONS or variance <= 0:
            return
        slope = (self.n * self.xy - self.x * self.y) / variance
        self.token_s = min(MOST_TOKEN_COST_S, max(LEAST_TOKEN_COST_S, slope))


class EngineQueue:
    """Waiting and started requests of one engine.

    `read_until` is when the engine should have read all prompts given to it: a leaky
    bucket of reading time.
    """

    def __init__(
        self, slots: int, kv_tokens: int, read_s: float = DEFAULT_READ_S
    ) -> None:
        self.slots = slots
        self.kv_tokens = kv_tokens
        self.read_s = read_s
        self.read_until = 0.0
        self.waiting: list[Waiting] = []
        self.started: dict[str, Started] = {}
        self.read_cost = ReadCost()
        self.run_s = FIRST_RUN_S
        self.read_duty = FIRST_READ_DUTY
        self.read_cut_at = float("-inf")
        self.late_pauses = 0.0
        self.late_starts = 0.0
        self.starts = 0

    @property
    def token_cost_s(self) -> float:
        """Return the learned time to read one prompt token."""
        return self.read_cost.token_s

    @property
    def memory_tokens(self) -> int:
        """Return the memory that the started requests may need, in tokens."""
        return sum(item.waiting.tokens for item in self.started.values())

    def offer(
        self, item: Waiting, now: float, is_ready: Callable[[AdapterName], bool]
    ) -> TurnedAway | None:
        """Add a request, or turn it away if it cannot be served in time."""
        wait_s = self.wait_s(now, is_ready, item.rank)
        if now + wait_s + LEAST_RUN_S > item.deadline:
            return TurnedAway("no_time", max(LEAST_RETRY_S, wait_s / 2))
        self.waiting.append(item)
        return None

    def wait_s(
        self,
        now: float,
        is_ready: Callable[[AdapterName], bool],
        rank: int | None = None,
    ) -> float:
        """Estimate the time until a request of a rank is read, behind those before it.

        Requests that wait for their adapter are not in the way of others.
        """
        ahead = [
            other
            for other in self.waiting
            if (rank is None or other.rank <= rank) and is_ready(other.adapter)
        ]
        tokens = sum(other.prompt_tokens for other in ahead)
        read_s = max(0.0, self.read_until - now) + tokens * self.token_cost_s
        missing = len(self.started) + len(ahead) + 1 - self.slots
        slot_s = max(0, missing) * self.run_s / self.slots
        return max(read_s, slot_s)

    def order(self, now: float) -> list[Waiting]:
        """Return the waiting requests, the next to start first.

        Requests that can still meet their objective go before those that cannot:
        when all wait too long, serving them by arrival would make all of them late.
        """
        if self.starts % STARTS_PER_TURN == STARTS_PER_TURN - 1:
            return sorted(self.waiting, key=lambda item: item.arrived)
        return sorted(
            self.waiting,
            key=lambda item: (now > item.objective_at, item.rank, item.arrived),
        )

    def has_room(self, item: Waiting, now: float) -> bool:
        """Tell if the engine takes a request now without making it wait inside."""
        if len(self.started) >= self.slots:
            return False
        if not self.started:
            return True
        memory = self.memory_tokens + item.tokens
        if memory > MEMORY_FRACTION * self.kv_tokens:
            return False
        backlog_s = self.read_until - now
        own_s = item.prompt_tokens * self.token_cost_s
        return backlog_s <= 0 or backlog_s + own_s <= self.read_s

    def take(
        self, now: float, is_ready: Callable[[AdapterName], bool]
    ) -> Waiting | None:
        """Start the next request whose adapter is ready, if there is room."""
        for item in self.order(now):
            if not is_ready(item.adapter):
                continue
            if not self.has_room(item, now):
                return None
            self.waiting.remove(item)
            self.starts += 1
            backlog_s = max(0.0, self.read_until - now)
            ahead = int(backlog_s / self.token_cost_s)
            self.started[item.id] = Started(item, now, ahead)
            own_s = item.prompt_tokens * self.token_cost_s
            self.read_until = now + backlog_s + own_s / self.read_duty
            return item
        return None

    def note_first_event(self, request_id: str, now: float) -> None:
        """Learn the cost of reading from a request's first event."""
        item = self.started.get(request_id)
        if item is None or not item.is_reading:
            return
        item.is_reading = False
        self.note_start(now > item.waiting.objective_at)
        tokens = item.ahead + item.waiting.prompt_tokens
        if tokens > 0:
            self.read_cost.observe(tokens, now - item.at)

    def note_pause(self, pause: float, began: float, now: float) -> None:
        """Learn from the longest pause of a stream as a part of the allowed one.

        Streams from before the last cut show what it has already answered.
        """
        if pause <= 0 or began < self.read_cut_at:
            return
        self.late_pauses += LATE_GAIN * (float(pause > 1.0) - self.late_pauses)
        if self.late_pauses <= max(LEAST_LATE_SHARE, LATE_PART * self.late_starts):
            is_late = self.late_starts > LEAST_LATE_SHARE
            step = READ_DUTY_STEP_LATE if is_late else READ_DUTY_STEP
            self.read_duty = min(MOST_READ_DUTY, self.read_duty + step)
        else:
            self.read_duty = max(LEAST_READ_DUTY, self.read_duty * READ_DUTY_CUT)
            self.read_cut_at = now
            self.late_pauses = 0.0

    def note_start(self, is_late: bool) -> None:
        """Learn whether a stream started within its objective, or not at all."""
        self.late_starts += LATE_GAIN * (float(is_late) - self.late_starts)

    def finish(self, request_id: str, now: float, pause: float = 0.0) -> Started | None:
        """Free the slot of a started request; `pause` as in `note_pause`."""
        item = self.started.pop(request_id, None)
        if item is not None:
            self.note_pause(pause, item.at, now)
        if item is not None and not item.is_reading:
            self.run_s += GAIN * (now - item.at - self.run_s)
        return item

    def withdraw(self, request_id: str) -> None:
        """Drop a request whose caller went away."""
        self.waiting = [item for item in self.waiting if item.id != request_id]

    def expire(self, now: float) -> list[Waiting]:
        """Drop and return the requests that can no longer be served in time."""
        late = [item for item in self.waiting if now + LEAST_RUN_S > item.deadline]
        for _ in late:
            self.note_start(True)
        if late:
            self.waiting = [item for item in self.waiting if item not in late]
        return late

    def overdue(self, now: float) -> list[str]:
        """Return started requests past their end, of which no host told it."""
        return [
            request_id
            for request_id, item in self.started.items()
            if now > item.waiting.end + OVERDUE_S
        ]


def read_ahead_s(gap_s: float, event_tokens: int) -> float:
    """Return the reading that an engine may be given ahead, for a pause of `gap_s`."""
    if gap_s <= 0:
        return DEFAULT_READ_S
    return max(LEAST_READ_S, READ_FRACTION * gap_s / max(1, event_tokens))
