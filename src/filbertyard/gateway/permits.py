"""Permits to send requests to the rate-limited replicas of one plain service.

It covers a service some or all of whose replicas name a rate limit, while requests
arrive at a higher rate or in bursts.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from .admission import MIN_RETRY_AFTER_S
from .admission import MIN_RUN_S
from .admission import STARTS_PER_FIFO_START
from .admission import Rejection
from .fairshare import FairShares
from .fairshare import Weight
from .fairshare import equal_weight
from .ratelimits import TokenBucket


@dataclass(slots=True, eq=False)
class WaitingRequest:
    """One request that waits for a permit; times are on the monotonic clock.

    Any of the `replicas` may run it, which must be allowed by `start_deadline`.
    """

    id: str
    rank: int
    arrived: float
    objective_at: float
    start_deadline: float
    replicas: frozenset[str]
    workspace: str = ""


def one_request(item: WaitingRequest) -> float:
    """Return what a request counts in its workspace's share of a rate limit."""
    return 1.0


class PermitQueue:
    """Requests that wait for the replicas of one service, and the replicas' buckets.

    `weight` returns the weight of a workspace's share.
    """

    def __init__(self, weight: Weight = equal_weight) -> None:
        self.buckets: dict[str, TokenBucket] = {}
        self.waiting: list[WaitingRequest] = []
        self.starts = 0
        self.shares: FairShares[WaitingRequest] = FairShares(one_request, weight)

    def set_rate(self, replica: str, per_s: float, now: float) -> None:
        """Set the requests per second that a replica takes."""
        bucket = self.buckets.get(replica)
        if bucket is None:
            self.buckets[replica] = TokenBucket(per_s, now)
        elif bucket.per_s != per_s:
            bucket.set_rate(per_s, now)

    def release(self, replica: str) -> list[WaitingRequest]:
        """Drop a replica without a rate limit; return those that wait for it."""
        del self.buckets[replica]
        found = [item for item in self.waiting if replica in item.replicas]
        self.waiting = [item for item in self.waiting if replica not in item.replicas]
        return found

    def wait_s(self, item: WaitingRequest, now: float) -> float:
        """Estimate how long a request waits.

        It waits behind more urgent ones and those of its rank whose workspaces have
        their turn before, or for the starts that a flood of urgent requests leaves to
        the other ranks.
        """
        buckets = [self.buckets[key] for key in item.replicas if key in self.buckets]
        rivals = [
            other
            for other in self.waiting
            if not other.replicas.isdisjoint(item.replicas)
        ]
        others = [other.rank for other in rivals]
        ahead = len(self.shares.ahead(item, rivals))
        if not ahead and any(bucket.wait_s(now) <= 0 for bucket in buckets):
            return 0.0
        per_s = sum(bucket.per_s for bucket in buckets)
        missing = ahead + 1 - sum(bucket.available(now) for bucket in buckets)
        wait_s = max(0.0, missing) / per_s
        most_urgent = min(others, default=item.rank)
        if item.rank <= most_urgent:
            return wait_s
        sharing = sum(rank > most_urgent for rank in others)
        return min(wait_s, (sharing + 1) * STARTS_PER_FIFO_START / per_s)

    def enqueue(self, item: WaitingRequest, now: float) -> Rejection | None:
        """Add a request, or reject it if it would get no permit in time."""
        self.shares.begin(item, self.waiting)
        wait_s = self.wait_s(item, now)
        if now + wait_s + MIN_RUN_S > item.start_deadline:
            return Rejection("rate_limit", max(MIN_RETRY_AFTER_S, wait_s / 2))
        self.waiting.append(item)
        return None

    def grant(self, now: float) -> list[tuple[WaitingRequest, str]]:
        """Return the requests that may be sent now, each with its replica."""
        granted: list[tuple[WaitingRequest, str]] = []
        while True:
            found = self.grant_next(now)
            if found is None:
                return granted
            granted.append(found)

    def start_order(self, now: float) -> list[WaitingRequest]:
        """Return the waiting requests, the next to be sent first."""
        if self.starts % STARTS_PER_FIFO_START < STARTS_PER_FIFO_START - 1:
            return self.shares.urgent_first(self.waiting, now)
        most_urgent = min((item.rank for item in self.waiting), default=0)
        urgent = [item for item in self.waiting if item.rank == most_urgent]
        others = [item for item in self.waiting if item.rank != most_urgent]
        return self.shares.oldest_first(others) + self.shares.oldest_first(urgent)

    def grant_next(self, now: float) -> tuple[WaitingRequest, str] | None:
        """Return the next request that may be sent, None if there is none."""
        for item in self.start_order(now):
            replica = self.take(item.replicas, now)
            if replica is not None:
                self.waiting.remove(item)
                self.shares.charge(item)
                self.starts += 1
                return item, replica
        return None

    def take(self, replicas: Iterable[str], now: float) -> str | None:
        """Take a token of the replica with the most; return the replica."""
        known = [key for key in replicas if key in self.buckets]
        best = max(
            known, key=lambda key: (self.buckets[key].available(now), key), default=None
        )
        if best is None or not self.buckets[best].take(now):
            return None
        return best

    def next_token_s(self, now: float) -> float:
        """Return the time until a waiting request may be sent."""
        wanted = {key for item in self.waiting for key in item.replicas}
        return min(
            (self.buckets[key].wait_s(now) for key in wanted if key in self.buckets),
            default=0.0,
        )

    def expire(self, now: float) -> list[WaitingRequest]:
        """Remove and return the requests that can no longer be sent in time."""
        late = [item for item in self.waiting if now + MIN_RUN_S > item.start_deadline]
        for item in late:
            self.waiting.remove(item)
        return late

    def withdraw(self, request_id: str) -> None:
        """Remove a request that nobody waits for any more."""
        self.waiting = [item for item in self.waiting if item.id != request_id]
