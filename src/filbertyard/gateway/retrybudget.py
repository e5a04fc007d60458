"""The share of one host in the fleet's retry budget.

While replicas fail or reject requests, callers retry at once. Every retry by the
gateway adds to the overload, so retries are a fraction of the requests, over all hosts.
"""

from __future__ import annotations

import time
from collections import deque
from dataclasses import dataclass
from dataclasses import field

# Fraction of the fleet's budget that all hosts together may spend, as their views of
# the traffic and of the number of hosts differ.
USABLE_FRACTION = 0.75

# A host that was seen within this time may still retry, although it is cut off from
# this one, or may have spent its share just before it ended.
HOST_MEMORY_S = 60.0

# Width of the counting intervals in seconds.
INTERVAL_S = 0.5


@dataclass(slots=True)
class Window:
    """Counts within the sliding window."""

    intervals: deque[list[float]] = field(default_factory=deque)
    requests: int = 0
    retries: int = 0

    def advance(self, now: float, window_s: float) -> None:
        """Drop the intervals that left the window."""
        while self.intervals and self.intervals[0][0] < now - window_s:
            _, requests, retries = self.intervals.popleft()
            self.requests -= int(requests)
            self.retries -= int(retries)

    def add(self, now: float, requests: int, retries: int) -> None:
        """Count requests and retries."""
        if not self.intervals or now - self.intervals[-1][0] >= INTERVAL_S:
            self.intervals.append([now, 0, 0])
        self.intervals[-1][1] += requests
        self.intervals[-1][2] += retries
        self.requests += requests
        self.retries += retries


class RetryBudget:
    """Count requests and retries of each service; times are in seconds.

    `slack_from` is when this host gets its share of the slack, on the monotonic clock.
    """

    def __init__(
        self, ratio: float, slack: float, window_s: float, slack_from: float
    ) -> None:
        self.ratio = ratio
        self.slack = slack
        self.window_s = window_s
        self.slack_from = slack_from
        self.windows: dict[str, Window] = {}
        self.host_counts: deque[tuple[float, int]] = deque()

    def window(self, service: str, now: float) -> Window:
        """Return the window of a service up to now."""
        window = self.windows.setdefault(service, Window())
        window.advance(now, self.window_s)
        return window

    def record_request(self, service: str, now: float) -> None:
        """Count a request of a caller."""
        self.window(service, now).add(now, 1, 0)

    def max_hosts(self, hosts: int, now: float) -> int:
        """Return the largest number of live hosts of late, with `hosts` alive now."""
        counts = self.host_counts
        while counts and counts[0][0] < now - HOST_MEMORY_S:
            counts.popleft()
        # Smaller numbers from before cannot become the largest any more.
        while counts and counts[-1][1] <= hosts:
            counts.pop()
        counts.append((now, hosts))
        return max(1, counts[0][1])

    def slack_share(self, hosts: int, now: float) -> float:
        """Return this host's share of the retries that need no requests."""
        largest = self.max_hosts(hosts, now)
        return self.slack / largest if now >= self.slack_from else 0.0

    def remaining(self, service: str, hosts: int, now: float) -> float:
        """Return how many retries the window has left, with `hosts` hosts alive."""
        window = self.window(service, now)
        budget = self.ratio * window.requests + self.slack_share(hosts, now)
        return USABLE_FRACTION * budget - window.retries

    def spend(self, service: str, hosts: int, now: float) -> bool:
        """Count one retry if the budget has room for it; tell if it had."""
        if self.remaining(service, hosts, now) < 1.0:
            return False
        self.window(service, now).add(now, 0, 1)
        return True


def create_retry_budget(
    ratio: float, slack: float, window_s: float, *, is_first_start: bool
) -> RetryBudget:
    """Return the budget of a process that starts now.

    Unless the whole fleet starts for the first time, the process has no share of the
    slack within a window from its start: the one before may have spent the share of
    their host, and the other hosts are not known yet.
    """
    now = time.monotonic()
    slack_from = now if is_first_start else now + window_s
    return RetryBudget(ratio, slack, window_s, slack_from)
