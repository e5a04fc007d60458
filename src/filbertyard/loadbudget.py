"""Permits for adapter loads, which keep the whole fleet within the store's limits."""

from __future__ import annotations

import heapq
import itertools
import math
import time
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field

import gevent
from gevent.event import AsyncResult

from .messages import Message
from .messages import message

# A permit that is not returned counts as outstanding for this long.
PERMIT_TTL_S = 3.0

# A request is answered within this time, so that the replica's owner can retry it with
# its newest demand, or send it to the budget's next owner.
PERMIT_WAIT_S = 0.5

GRANT_INTERVAL_S = 0.01

# Loads per second that each accepted load adds to the rate.
RATE_INCREASE_PER_LOAD = 0.02

# Factors applied to a rate that the store rejected: to the rate, and to its ceiling.
RATE_DECREASE_FACTOR = 0.9
CEILING_FACTOR = 0.97

# The rate never falls below this fraction of the minimum rate in the settings.
FLOOR_FACTOR = 0.5

# The ceiling is removed after this time without a rejection by the store.
PROBE_AFTER_S = 60.0

# Outcome of a permit that no load was started for.
UNUSED = "unused"


@message("permit_request")
@dataclass(slots=True)
class PermitRequest(Message):
    """Ask for one load; `tier` 0 goes before 1, then more worth before less."""

    host: str
    replica: str
    adapter: str
    tier: int
    worth: float


@message("permit")
@dataclass(slots=True)
class Permit(Message):
    """Allow one load; `number` 0 means that none was granted in time."""

    number: int
    valid_s: float


@message("permit_return")
@dataclass(slots=True)
class PermitReturn(Message):
    """Return a permit with the outcome of its load."""

    number: int
    outcome: str


@dataclass(order=True, slots=True)
class Waiter:
    """One request that waits for a permit; the smallest is served first."""

    tier: int
    negative_worth: float
    number: int
    expires_at: float = field(compare=False)
    granted: AsyncResult[Permit] = field(compare=False, default_factory=AsyncResult)


class LoadBudget:
    """Grant permits by tier and worth, limiting the rate and the loads in flight."""

    def __init__(
        self,
        min_rate_per_s: float,
        max_rate_per_s: float,
        max_in_flight: int,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.min_rate_per_s = min_rate_per_s
        self.max_rate_per_s = max_rate_per_s
        self.rate_per_s = min_rate_per_s
        self.ceiling_per_s = max_rate_per_s
        self.rejected_at = -math.inf
        self.max_in_flight = max_in_flight
        self.clock = clock
        self.tokens = 0.0
        self.refilled_at = clock()
        self.full_since = math.inf
        self.outstanding: dict[int, float] = {}
        self.waiters: list[Waiter] = []
        self.numbers = itertools.count(1)
        self.grant_task: gevent.Greenlet[..., None] | None = None

    def assume_predecessor_permits(self) -> None:
        """Count permits of the previous owner as outstanding until they expire."""
        end = self.clock() + PERMIT_TTL_S
        for _ in range(self.max_in_flight):
            # Negative numbers are never granted, so that no return can match them.
            self.outstanding[-next(self.numbers)] = end

    def try_grant(self) -> Permit | None:
        """Grant one permit if the limits allow it now."""
        now = self.clock()
        self.refill(now)
        expired = [number for number, end in self.outstanding.items() if end <= now]
        for number in expired:
            del self.outstanding[number]
        if self.tokens < 1.0 or len(self.outstanding) >= self.max_in_flight:
            return None
        self.tokens -= 1.0
        number = next(self.numbers)
        self.outstanding[number] = now + PERMIT_TTL_S
        return Permit(number, PERMIT_TTL_S)

    def has_spare_token(self, now: float) -> bool:
        """Tell if a token has been available for as long as the next one takes.

        Requests above tier 0 wait for this, so that a more urgent request gets a
        permit at once.
        """
        self.refill(now)
        return self.tokens >= 1.0 and now - self.full_since >= 1.0 / self.rate_per_s

    def refill(self, now: float) -> None:
        """Refill the token bucket at the current rate, to at most one token."""
        grown = self.tokens + (now - self.refilled_at) * self.rate_per_s
        # A rounding error must not delay a grant forever.
        if self.tokens < 1.0 <= grown + 1e-9:
            self.full_since = now
        self.tokens = min(1.0, grown + 1e-9)
        self.refilled_at = now

    def enqueue(self, request: PermitRequest) -> Waiter:
        """Add a request that waits for a permit."""
        number = next(self.numbers)
        end = self.clock() + PERMIT_WAIT_S
        waiter = Waiter(request.tier, -request.worth, number, end)
        heapq.heappush(self.waiters, waiter)
        return waiter

    def grant_waiting(self) -> None:
        """Grant permits to the requests in order as far as the limits allow now."""
        now = self.clock()
        while self.waiters:
            waiter = self.waiters[0]
            if waiter.expires_at <= now:
                heapq.heappop(self.waiters)
                waiter.granted.set(Permit(0, 0.0))
                continue
            if waiter.tier > 0 and not self.has_spare_token(now):
                return
            granted = self.try_grant()
            if granted is None:
                return
            heapq.heappop(self.waiters)
            waiter.granted.set(granted)

    def request(self, request: PermitRequest) -> Permit:
        """Wait for a permit, not longer than `PERMIT_WAIT_S`."""
        waiter = self.enqueue(request)
        if self.grant_task is None or self.grant_task.ready():
            self.grant_task = gevent.spawn(self.run_grants)
        try:
            granted = waiter.granted.get(timeout=PERMIT_WAIT_S + GRANT_INTERVAL_S)
            return granted or Permit(0, 0.0)
        except gevent.Timeout:
            return Permit(0, 0.0)
        finally:
            # Otherwise a permit could be spent on a request that timed out.
            waiter.expires_at = -math.inf

    def run_grants(self) -> None:
        """Grant permits while requests wait."""
        while self.waiters:
            self.grant_waiting()
            gevent.sleep(GRANT_INTERVAL_S)

    def return_permit(self, returned: PermitReturn) -> None:
        """Accept a returned permit and adapt the rate to its outcome."""
        if self.outstanding.pop(returned.number, None) is None:
            return
        now = self.clock()
        self.refill(now)
        if returned.outcome == UNUSED:
            self.tokens = min(1.0, self.tokens + 1.0)
        elif returned.outcome == "store_rate":
            self.lower_rate(now)
        elif returned.outcome == "ok":
            self.raise_rate(now)

    def lower_rate(self, now: float) -> None:
        """Lower the rate at once after the store rejected a load for its rate."""
        self.tokens = 0.0
        self.rejected_at = now
        self.ceiling_per_s = self.rate_per_s * CEILING_FACTOR
        floor = self.min_rate_per_s * FLOOR_FACTOR
        self.rate_per_s = max(floor, self.rate_per_s * RATE_DECREASE_FACTOR)

    def raise_rate(self, now: float) -> None:
        """Raise the rate a little, up to the ceiling below the last rejected rate."""
        if now - self.rejected_at > PROBE_AFTER_S:
            self.ceiling_per_s = self.max_rate_per_s
        limit = min(self.max_rate_per_s, self.ceiling_per_s)
        if self.rate_per_s < limit:
            self.rate_per_s = min(limit, self.rate_per_s + RATE_INCREASE_PER_LOAD)


def create_load_budget(
    min_rate_per_s: float,
    max_rate_per_s: float,
    max_in_flight: int,
    *,
    has_predecessor: bool,
) -> LoadBudget:
    """Return a budget; it counts the permits of a previous owner, if there is one."""
    budget = LoadBudget(min_rate_per_s, max_rate_per_s, max_in_flight)
    if has_predecessor:
        budget.assume_predecessor_permits()
    return budget
