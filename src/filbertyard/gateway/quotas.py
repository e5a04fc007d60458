"""Decide which requests the quotas of workspaces allow, without input or output.

It covers a workspace whose callers ask all hosts for more than its quota, while hosts
start, end, stand still or lose each other. A counting host stays within the rate times
the time, the burst and one request; `docs/design/quotas.md` adds up several.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass

from .admission import MIN_RETRY_AFTER_S
from .ratelimits import TokenBucket
from .types import GatewayRequest
from .types import Quota

# A request may wait this fraction of the time until its objective passes.
MAX_WAIT_FRACTION = 0.25

# The longest waits while the workspace is over its quota, by the rank of the route; the
# last one holds for all lower ranks. Those that may wait longer go first, as they keep
# the bucket in a debt in which the others are refused. A quarter of the shortest
# latency objectives, 100 ms, and multiples of it.
LIMITED_WAITS_S = (0.075, 0.05, 0.025)

# One request in this many goes as it comes, whatever its rank: a flood of urgent ones
# does not take the whole quota from the other kinds.
GRANTS_PER_FIFO_GRANT = 2

# A host that has become the counting host allows half of the rate for this long: hosts
# that have not noticed yet still ask its predecessor. Two heartbeats and their delays.
HANDOVER_S = 1.5
HANDOVER_FRACTION = 0.5

# A host counts in place of one that it cannot reach for at most this long. It no longer
# presumes that host alive by then, unless others still reach it.
STAND_IN_S = 2.5

# Fraction of its part of the fleet that a host without a majority uses: the majority
# uses the whole rate.
MINORITY_FRACTION = 0.5

# Hosts that may use less than this of the rate allow only what the bucket holds whole.
# Otherwise each group of hosts that are cut off together could allow one request more;
# at a third of the hosts or more there are at most three groups.
STRICT_FRACTION = MINORITY_FRACTION / 3

# Another host may have counted while this one did not run for this long. Shorter pauses
# are shorter than the time after which others ask another host, and its first grants.
PAUSE_S = 0.5

# A bucket without requests is dropped after this time, the window of the quotas.
IDLE_S = 8.0

# A workspace is no longer over its quota when nothing was refused for this long.
LIMITED_END_S = 2.0


@dataclass(frozen=True, slots=True)
class QuotaLimit:
    """The quota of a workspace as a version of the configuration sets it."""

    version: int
    per_s: float
    burst: float


@dataclass(frozen=True, slots=True)
class QuotaAmount:
    """What one request asks for; times are in seconds from now."""

    amount: float
    rank: int
    objective_s: float
    left_s: float


@dataclass(frozen=True, slots=True)
class QuotaDecision:
    """Whether a request may be sent, after which wait, or else when to retry it."""

    is_allowed: bool
    wait_s: float = 0.0
    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True)
class QuotaGrant:
    """What a request has used of the quota of a workspace, and who counted it.

    `at` is when, on the boot clock.
    """

    workspace: str
    amount: float
    host: str
    at: float


class QuotaBucket:
    """What one workspace may use, and what it was refused; times on the boot clock.

    A bucket that `stands_in` counts for a host that this one cannot reach.
    """

    def __init__(self, limit: QuotaLimit, since: float, *, stands_in: bool) -> None:
        self.limit = limit
        self.since = since
        self.stands_in = stands_in
        self.is_strict = False
        self.bucket = TokenBucket(0.0, since, limit.burst)
        self.used_at = since
        self.allowed = 0
        self.refused = 0
        self.refused_at = since
        # Refused amounts whose callers were told to return, less what the rate has
        # allowed since.
        self.returning = 0.0
        self.returning_at = since
        self.is_limited = False

    def set_limit(self, limit: QuotaLimit, fraction: float, now: float) -> None:
        """Apply the newest known limit, and the fraction of it that holds now."""
        if limit.version >= self.limit.version:
            self.limit = limit
        self.is_strict = fraction < STRICT_FRACTION
        if self.stands_in or now - self.since < HANDOVER_S:
            fraction *= HANDOVER_FRACTION
        per_s = self.limit.per_s * fraction
        if not self.bucket.per_s:
            # A new bucket has held what this rate allows since it counts.
            self.bucket.per_s = per_s
        self.bucket.max_burst = self.limit.burst
        self.bucket.set_rate(per_s, now)

    def end_limit(self, now: float) -> bool:
        """Tell if the workspace is no longer over its quota, but was until now."""
        if not self.is_limited or now - self.refused_at < LIMITED_END_S:
            return False
        self.is_limited = False
        return True

    def may_count(self, now: float) -> bool:
        """Tell if this host may still decide for the workspace."""
        return not self.stands_in or now - self.since < STAND_IN_S

    def is_idle(self, now: float) -> bool:
        """Tell if the bucket holds nothing that has to be remembered."""
        return now - self.used_at > IDLE_S and self.bucket.available(now) >= 0

    def decide(self, asked: QuotaAmount, now: float) -> QuotaDecision:
        """Allow a request and charge it, or refuse it.

        It may go while the bucket is not in debt, whatever its size: otherwise small
        requests would always leave too little for large ones. Below `STRICT_FRACTION`
        the bucket must hold it: there may be as many buckets as hosts.
        """
        self.used_at = max(self.used_at, now)
        wait_s = self.bucket.wait_s(now, asked.amount if self.is_strict else 0.0)
        if wait_s <= self.max_wait_s(asked, now):
            self.bucket.charge(asked.amount, now)
            self.allowed += 1
            return QuotaDecision(is_allowed=True, wait_s=wait_s)
        return self.refuse(asked, wait_s, now)

    def max_wait_s(self, asked: QuotaAmount, now: float) -> float:
        """Return how long a request may wait: less while others are refused."""
        wait_s = max(0.0, asked.objective_s * MAX_WAIT_FRACTION)
        if not self.is_limited:
            return wait_s
        is_fifo = self.allowed % GRANTS_PER_FIFO_GRANT == 0
        rank = 0 if is_fifo else min(max(0, asked.rank), len(LIMITED_WAITS_S) - 1)
        return min(wait_s, LIMITED_WAITS_S[rank])

    def refuse(self, asked: QuotaAmount, wait_s: float, now: float) -> QuotaDecision:
        """Refuse a request; its time is after all others that may come back."""
        per_s = self.bucket.per_s
        passed_s = max(0.0, now - self.returning_at)
        self.returning = max(0.0, self.returning - passed_s * per_s)
        self.returning_at = max(self.returning_at, now)
        retry_after_s = max(MIN_RETRY_AFTER_S, wait_s + self.returning / per_s)
        if retry_after_s < asked.left_s:
            self.returning += asked.amount
        self.refused += 1
        self.refused_at = now
        self.is_limited = True
        return QuotaDecision(is_allowed=False, retry_after_s=retry_after_s)


class QuotaCounter:
    """The buckets of the workspaces that this host counts; times on the boot clock.

    `counting_since` is when this host began to see the fleet as it sees it now: a
    workspace without requests since then has used nothing of its quota.
    """

    def __init__(self, now: float) -> None:
        self.buckets: dict[str, QuotaBucket] = {}
        self.hosts: frozenset[str] = frozenset()
        self.fraction = 1.0
        self.counting_since = now
        self.checked_at = now

    def update(
        self,
        hosts: frozenset[str],
        fraction: float,
        is_first: Callable[[str], bool],
        now: float,
    ) -> None:
        """Apply the present view of the fleet; call it several times in `PAUSE_S`.

        `fraction` is the part of the rate that this host may allow; `is_first` tells
        if it is the counting host of a workspace.
        """
        self.check_pause(now)
        self.checked_at = now
        if hosts != self.hosts:
            self.hosts = hosts
            self.counting_since = now
        if fraction > self.fraction:
            # The majority of the hosts has counted without this one.
            self.empty(now)
        if fraction != self.fraction:
            self.fraction = fraction
            for bucket in self.buckets.values():
                bucket.set_limit(bucket.limit, fraction, now)
        for name, bucket in list(self.buckets.items()):
            first = is_first(name)
            if first and bucket.stands_in:
                bucket.stands_in = False
            is_lost = not first and not bucket.stands_in
            if is_lost or bucket.is_idle(now):
                del self.buckets[name]

    def check_pause(self, now: float) -> None:
        """Empty the buckets if this host has not run for a while."""
        if now - self.checked_at > PAUSE_S:
            self.checked_at = now
            self.empty(now)

    def empty(self, now: float) -> None:
        """Drop what the buckets hold, as another host may have allowed it."""
        self.counting_since = now
        for bucket in self.buckets.values():
            bucket.bucket.empty(now)

    def decide(
        self,
        name: str,
        limit: QuotaLimit,
        amounts: Iterable[QuotaAmount],
        *,
        is_first: bool,
        now: float,
    ) -> list[QuotaDecision] | None:
        """Decide on requests of a workspace; None if this host may not count."""
        self.check_pause(now)
        bucket = self.buckets.get(name)
        if bucket is None:
            since = self.counting_since if is_first else now
            bucket = QuotaBucket(limit, since, stands_in=not is_first)
            bucket.used_at = now
            self.buckets[name] = bucket
        if not bucket.may_count(now):
            bucket.used_at = now
            return None
        bucket.set_limit(limit, self.fraction, now)
        return [bucket.decide(asked, now) for asked in amounts]

    def give_back(self, name: str, amount: float, now: float) -> None:
        """Return the amount of a request that did not run."""
        bucket = self.buckets.get(name)
        if bucket is not None:
            bucket.bucket.charge(-amount, now)


def quota_amount(request: GatewayRequest, quota: Quota) -> float:
    """Return how much of a quota a request uses, by the limits that its caller set."""
    if quota.unit == "requests":
        return 1.0
    tokens = request.prompt_tokens + request.max_output_tokens
    return float(tokens or quota.plain_tokens)


def minority_fraction(heard: int, known: int) -> float:
    """Return the part of a rate that hosts may allow who hear `heard` of `known`."""
    if 2 * heard > known:
        return 1.0
    return MINORITY_FRACTION * heard / known
