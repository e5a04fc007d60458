"""Passive health checks of replicas, from the outcomes of callers' requests.

They detect replicas that fail part of their requests although their health check
passes, that stop responding, and that recover.
"""

from __future__ import annotations

from dataclasses import dataclass

FAILURE_EWMA_WEIGHT = 0.2

# The failure rate decays without new outcomes, so that a replica that recovered is
# tried again.
FAILURE_HALF_LIFE_S = 4.0

# A replica that cannot be reached gets no requests for this time, doubled at each
# consecutive failure.
INITIAL_BACKOFF_S = 0.5
MAX_BACKOFF_S = 4.0


@dataclass(slots=True)
class Health:
    """Failure rate as of `at`, and the backoff after failed connections."""

    rate: float = 0.0
    at: float = 0.0
    backoff_s: float = 0.0
    backoff_until: float = 0.0


class HealthTable:
    """Health of the replicas that this host sent requests to."""

    def __init__(self) -> None:
        self.replicas: dict[str, Health] = {}

    def failure_rate(self, replica: str, now: float) -> float:
        """Return the share of requests that fail, decayed since the last outcome."""
        health = self.replicas.get(replica)
        if health is None:
            return 0.0
        return float(health.rate * 0.5 ** ((now - health.at) / FAILURE_HALF_LIFE_S))

    def is_backing_off(self, replica: str, now: float) -> bool:
        """Tell if a replica could not be reached and its backoff has not passed."""
        health = self.replicas.get(replica)
        return health is not None and now < health.backoff_until

    def record_outcome(self, replica: str, failed: bool, now: float) -> None:
        """Record the outcome of a request that the replica received."""
        rate = self.failure_rate(replica, now)
        health = self.replicas.setdefault(replica, Health())
        health.rate = rate + FAILURE_EWMA_WEIGHT * (float(failed) - rate)
        health.at = now
        if not failed:
            health.backoff_s = health.backoff_until = 0.0

    def record_unreachable(self, replica: str, now: float) -> None:
        """Record a failed connection and start or double the backoff."""
        self.record_outcome(replica, True, now)
        health = self.replicas[replica]
        if now < health.backoff_until:
            return
        health.backoff_s = min(
            MAX_BACKOFF_S, max(INITIAL_BACKOFF_S, 2 * health.backoff_s)
        )
        health.backoff_until = now + health.backoff_s

    def remove(self, replica: str) -> None:
        """Remove a replica that is gone."""
        self.replicas.pop(replica, None)
