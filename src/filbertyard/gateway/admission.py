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

# Prompts given to the engine and not yet answered may take this long to read.
READ_AHEAD_S = 0.25

# Seconds to read one prompt token before anything was observed.
FIRST_TOKEN_COST_S = 0.0001
LEAST_TOKEN_COST_S = 0.00002
MOST_TOKEN_COST_S = 0.002

# Weight of the newest observation in the learned costs.
GAIN = 0.1

# A running time before anything was observed, in seconds.
FIRST_RUN_S = 2.0

# One start in this many goes to the request that waited longest, whatever its rank,
# so that a flood of urgent work leaves the other ranks a part.
STARTS_PER_TURN = 6

# A request with less time left than this is not started.
LEAST_RUN_S = 0.15

# Requests are told to come back after at least this time.
LEAST_RETRY_S = 0.2


@dataclass(slots=True, eq=False)
class Waiting:
    """One request that waits; times are on the owner's monotonic clock."""

    id: str
    adapter: AdapterName
    rank: int
    arrived: float
    objective_at: float
    deadline: float
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


class EngineQueue:
    """Waiting and started requests of one engine."""

    def __init__(self, slots: int, kv_tokens: int) -> None:
        self.slots = slots
        self.kv_tokens = kv_tokens
        self.waiting: list[Waiting] = []
        self.started: dict[str, Started] = {}
        self.token_cost_s = FIRST_TOKEN_COST_S
        self.run_s = FIRST_RUN_S
        self.starts = 0

    @property
    def reading_tokens(self) -> int:
        """Return the prompt tokens that the engine has not answered yet."""
        return sum(
            item.waiting.prompt_tokens
            for item in self.started.values()
            if item.is_reading
        )

    @property
    def memory_tokens(self) -> int:
        """Return the memory that the started requests may need, in tokens."""
        return sum(item.waiting.tokens for item in self.started.values())

    def offer(self, item: Waiting, now: float) -> TurnedAway | None:
        """Add a request, or turn it away if it cannot be served in time."""
        wait_s = self.wait_s(item)
        if now + wait_s + LEAST_RUN_S > item.deadline:
            return TurnedAway("no_time", max(LEAST_RETRY_S, wait_s / 2))
        self.waiting.append(item)
        return None

    def wait_s(self, item: Waiting | None = None) -> float:
        """Estimate the time until a request is read, behind those that go first."""
        ahead = [
            other for other in self.waiting if item is None or other.rank <= item.rank
        ]
        tokens = self.reading_tokens + sum(other.prompt_tokens for other in ahead)
        read_s = tokens * self.token_cost_s
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

    def has_room(self, item: Waiting) -> bool:
        """Tell if the engine takes a request now without making it wait inside."""
        if len(self.started) >= self.slots:
            return False
        if not self.started:
            return True
        memory = self.memory_tokens + item.tokens
        if memory > MEMORY_FRACTION * self.kv_tokens:
            return False
        reading = self.reading_tokens
        most = READ_AHEAD_S / self.token_cost_s
        return reading == 0 or reading + item.prompt_tokens <= most

    def take(
        self, now: float, is_ready: Callable[[AdapterName], bool]
    ) -> Waiting | None:
        """Start the next request whose adapter is ready, if there is room."""
        for item in self.order(now):
            if not is_ready(item.adapter):
                continue
            if not self.has_room(item):
                return None
            self.waiting.remove(item)
            self.starts += 1
            self.started[item.id] = Started(item, now, self.reading_tokens)
            return item
        return None

    def note_first_event(self, request_id: str, now: float) -> None:
        """Learn the cost of reading from a request's first event."""
        item = self.started.get(request_id)
        if item is None or not item.is_reading:
            return
        item.is_reading = False
        tokens = item.ahead + item.waiting.prompt_tokens
        if tokens <= 0:
            return
        cost = (now - item.at) / tokens
        cost = min(MOST_TOKEN_COST_S, max(LEAST_TOKEN_COST_S, cost))
        self.token_cost_s += GAIN * (cost - self.token_cost_s)

    def finish(self, request_id: str, now: float) -> Started | None:
        """Free the slot of a started request."""
        item = self.started.pop(request_id, None)
        if item is not None and not item.is_reading:
            self.run_s += GAIN * (now - item.at - self.run_s)
        return item

    def withdraw(self, request_id: str) -> None:
        """Drop a request whose caller went away."""
        self.waiting = [item for item in self.waiting if item.id != request_id]

    def expire(self, now: float) -> list[Waiting]:
        """Drop and return the requests that can no longer be served in time."""
        late = [item for item in self.waiting if now + LEAST_RUN_S > item.deadline]
        if late:
            self.waiting = [item for item in self.waiting if item not in late]
        return late

    def overdue(self, now: float) -> list[str]:
        """Return started requests past their deadline, whose host told no end."""
        return [
            request_id
            for request_id, item in self.started.items()
            if now > item.waiting.deadline + 1.0
        ]
