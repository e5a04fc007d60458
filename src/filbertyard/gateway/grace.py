"""What a stopping host still begins: requests that end before it exits.

Load pattern: hosts that are replaced one after the other or a third at a time, while
callers use their addresses for seconds longer and engines are as slow as they are
under load. A caller that is rejected at once still has time to go elsewhere.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

# A stopping host exits this long before the end of its grace period, when it is killed.
STOP_MARGIN_S = 0.5

# A stopping host rejects what still waits, or still arrives, this long before it exits,
# so that the responses reach their callers.
REJECT_MARGIN_S = 0.5

# A stopping host accepts requests for this long, as callers still know its address.
ACCEPT_PERIOD_S = 2.5

# A stopping host serves new connections for at least this long, until callers have
# asked for addresses again.
MIN_LINGER_S = 3.0

# Weights of a new sample in the estimates of a mean and of its deviation, as for round
# trip times in RFC 6298.
MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4

# Mean deviations above the mean that an expected time covers, about 19 in 20 requests.
COVERED_DEVIATIONS = 2.0


@dataclass(frozen=True, slots=True)
class GracePeriod:
    """Times of a stop on the monotonic clock, in the order in which they come."""

    started_at: float
    accept_until: float
    reject_at: float
    exit_at: float

    def allows_exit(self, now: float) -> bool:
        """Tell if a host that serves nothing may exit now."""
        return now - self.started_at >= MIN_LINGER_S

    def time_left_s(self, now: float) -> float:
        """Return how long a request that begins now may take."""
        return self.exit_at - now


def plan_grace_period(started_at: float, grace_s: float) -> GracePeriod:
    """Return the times of a stop that may take `grace_s`."""
    exit_at = started_at + max(0.0, grace_s - STOP_MARGIN_S)
    return GracePeriod(
        started_at,
        min(started_at + ACCEPT_PERIOD_S, exit_at),
        max(started_at, exit_at - REJECT_MARGIN_S),
        exit_at,
    )


@dataclass(slots=True)
class RunTime:
    """Smoothed time of a run for each unit of its size, and the mean deviation."""

    mean_s: float
    deviation_s: float

    def record(self, unit_s: float) -> None:
        """Add one sample."""
        error_s = abs(unit_s - self.mean_s)
        self.deviation_s += DEVIATION_WEIGHT * (error_s - self.deviation_s)
        self.mean_s += MEAN_WEIGHT * (unit_s - self.mean_s)


class RunTimes:
    """Expected times of the runs of each service, learned from those that ended.

    The size of a run is its number of output tokens for an engine, else 1.
    """

    def __init__(self) -> None:
        self.services: dict[str, RunTime] = {}

    def record(self, service: str, size: int, run_s: float) -> None:
        """Add the time of a run that ended."""
        unit_s = run_s / max(1, size)
        known = self.services.get(service)
        if known is None:
            self.services[service] = RunTime(unit_s, unit_s / 2)
        else:
            known.record(unit_s)

    def mean_s(self, service: str) -> float:
        """Return the mean time of a run for each unit of its size, 0 if unknown."""
        known = self.services.get(service)
        return known.mean_s if known is not None else 0.0

    def expected_s(self, service: str, size: int) -> float:
        """Return the time that most runs stay below, 0 if none is known."""
        known = self.services.get(service)
        if known is None:
            return 0.0
        unit_s = known.mean_s + COVERED_DEVIATIONS * known.deviation_s
        return max(1, size) * unit_s


def admission_limit_s(
    period: GracePeriod | None, run_s: float, wait_s: float, now: float
) -> float:
    """Return how long a request that takes `run_s` may wait, at most `wait_s`.

    It is negative if the request would not end before the host exits.
    """
    if period is None:
        return wait_s
    left_s = min(period.time_left_s(now) - run_s, period.reject_at - now)
    return min(wait_s, left_s) if left_s > 0 else -math.inf
