"""Rate limits that replicas name in their responses, without input or output.

A replica in need names the requests per second that it takes from all hosts together.
Responses overtake each other, and hosts tell each other what they saw, so each
statement has the time from which it is known to hold.
"""

from __future__ import annotations

import math
from collections.abc import Container
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

# Rate at which requests still go to a replica that names a lower limit, such as 0: only
# the response to a request shows that the limit has ended.
MIN_RATE_PER_S = 0.25

# A bucket holds what its rate allows in this time, but at least one request.
BURST_S = 0.5

# Tokens below a whole one by less than this are rounding errors.
TOKEN_TOLERANCE = 1e-6


class TokenBucket:
    """Requests or tokens that a rate allows; `now` is on the monotonic clock.

    It starts empty, as the requests that have just been sent are not known. It holds
    `burst`, or what `BURST_S` of the rate allows.
    """

    def __init__(self, per_s: float, now: float, burst: float | None = None) -> None:
        self.per_s = per_s
        self.max_burst = burst
        self.tokens = 0.0
        self.at = now

    @property
    def burst(self) -> float:
        """Return the most tokens that the bucket holds."""
        if self.max_burst is not None:
            return self.max_burst
        return max(1.0, BURST_S * self.per_s)

    def available(self, now: float) -> float:
        """Return the tokens at a time."""
        return min(self.burst, self.tokens + max(0.0, now - self.at) * self.per_s)

    def set_rate(self, per_s: float, now: float) -> None:
        """Change the rate from now on."""
        self.tokens = self.available(now)
        self.at = max(self.at, now)
        self.per_s = per_s
        self.tokens = min(self.tokens, self.burst)

    def wait_s(self, now: float, amount: float = 1.0) -> float:
        """Return the time until the bucket holds this much."""
        missing = amount - self.available(now)
        return missing / self.per_s if missing > TOKEN_TOLERANCE else 0.0

    def take(self, now: float) -> bool:
        """Take a token if there is one; tell if there was."""
        if self.wait_s(now) > 0:
            return False
        self.charge(1.0, now)
        return True

    def charge(self, amount: float, now: float) -> None:
        """Take an amount, also one that the bucket does not hold; negative returns."""
        self.tokens = min(self.burst, self.available(now) - amount)
        self.at = max(self.at, now)

    def empty(self, now: float) -> None:
        """Drop what the bucket holds; a debt stays."""
        self.tokens = min(0.0, self.available(now))
        self.at = max(self.at, now)


@dataclass(frozen=True, slots=True)
class Statement:
    """What a response showed of the rate limit of one incarnation of a replica.

    `per_s` is infinite for a response without a limit. The statement holds from `at`
    on, on the monotonic clock: when the limit was named, or when the request was sent
    whose response named none.
    """

    replica: str
    started_ms: int
    per_s: float
    at: float

    def row(self, now: float) -> list[Any]:
        """Encode the statement for another host, with its age."""
        return [self.replica, self.started_ms, self.per_s, max(0.0, now - self.at)]


def decode_statement(row: list[Any], now: float) -> Statement:
    """Decode the statement of another host."""
    replica, started_ms, per_s, age_s = row
    return Statement(replica, started_ms, per_s, now - age_s)


@dataclass(slots=True)
class RateLimit:
    """What is known of the rate limit of one incarnation of a replica.

    `per_s` is infinite if there is none. It was last named at `named_at`; a request
    sent at `ended_at` got a response without one. Both are on the monotonic clock.
    """

    started_ms: int
    per_s: float = math.inf
    named_at: float = -math.inf
    ended_at: float = -math.inf

    @property
    def at(self) -> float:
        """Return the time from which the newest statement holds."""
        return max(self.named_at, self.ended_at)

    @property
    def rate(self) -> float:
        """Return the requests per second to send, infinite if there is no limit."""
        return max(MIN_RATE_PER_S, self.per_s)


class RateLimitTable:
    """Rate limits of replicas by their ids."""

    def __init__(self) -> None:
        self.limits: dict[str, RateLimit] = {}

    def rate(self, replica: str, started_ms: int) -> float:
        """Return the requests per second to send to a replica, infinite if no limit."""
        known = self.limits.get(replica)
        if known is None or known.started_ms != started_ms:
            return math.inf
        return known.rate

    def record(self, statement: Statement) -> bool:
        """Record a statement; tell if it changed the limit."""
        replica, started_ms = statement.replica, statement.started_ms
        per_s, at = statement.per_s, statement.at
        known = self.limits.get(replica)
        if known is None or known.started_ms < started_ms:
            if math.isinf(per_s):
                # There was no limit to end.
                if known is not None:
                    del self.limits[replica]
                return False
            known = self.limits[replica] = RateLimit(started_ms)
        elif known.started_ms > started_ms:
            return False
        before = known.per_s
        if math.isinf(per_s):
            if at <= known.named_at:
                return False
            known.ended_at = max(known.ended_at, at)
            known.per_s = per_s
        else:
            if at < known.ended_at or at < known.named_at:
                return False
            known.named_at = at
            known.per_s = per_s
        return known.per_s != before

    def rows(self, replicas: Iterable[str], now: float) -> list[list[Any]]:
        """Return what is known of replicas, for other hosts; see `Statement.row`."""
        found = [(key, self.limits[key]) for key in replicas if key in self.limits]
        return [
            Statement(key, item.started_ms, item.per_s, item.at).row(now)
            for key, item in found
        ]

    def retain(self, replicas: Container[str]) -> None:
        """Drop what is known of replicas that are gone."""
        for replica in list(self.limits):
            if replica not in replicas:
                del self.limits[replica]
