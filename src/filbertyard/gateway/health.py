"""What the requests of callers show about the health of replicas.

Load pattern: replicas that fail part of their requests while their health check is
good, that fall silent, and that come back.
"""

from __future__ import annotations

from dataclasses import dataclass

# Weight of the newest outcome in the failure rate.
FAILURE_EWMA_WEIGHT = 0.2

# A failure rate without new outcomes halves in this time, so that a replica that
# recovered is tried again.
FAILURE_HALF_LIFE_S = 4.0

# A replica that cannot be reached is left alone for this time, doubled at each
# failure in a row.
INITIAL_BACKOFF_S = 0.5
MAX_BACKOFF_S = 4.0


@dataclass(slots=True)
class Health:
    """Failure rate as of `at`, and the pause after failed connections."""

    rate: float = 0.0
    at: float = 0.0
    backoff_s: float = 0.0
    backoff_until: float = 0.0


class HealthTable:
    """Health of the replicas that this host sent requests to."""

    def __init__(self) -> None:
        self.replicas: dict[str, Health] = {}

    def failure_rate(self, replica: str, now: float) -> float:
        """Return the share of requests that fail, forgetting old outcomes."""
        health = self.replicas.get(replica)
        if health is None:
            return 0.0
        return float(health.rate * 0.5 ** ((now - health.at) / FAILURE_HALF_LIFE_S))

    def is_backing_off(self, replica: str, now: float) -> bool:
        """Tell if a replica could not be reached a moment ago."""
        health = self.replicas.get(replica)
        return health is not None and now < health.backoff_until

    def record_outcome(self, replica: str, failed: bool, now: float) -> None:
        """Count the outcome of a request that the replica received."""
        rate = self.failure_rate(replica, now)
        health = self.replicas.setdefault(replica, Health())
        health.rate = rate + FAILURE_EWMA_WEIGHT * (float(failed) - rate)
        health.at = now
        if not failed:
            health.backoff_s = health.backoff_until = 0.0

    def record_unreachable(self, replica: str, now: float) -> None:
        """Pause a replica after a failed connection."""
        self.record_outcome(replica, True, now)
        health = self.replicas[replica]
        if now < health.backoff_until:
            return
        health.backoff_s = min(
            MAX_BACKOFF_S, max(INITIAL_BACKOFF_S, 2 * health.backoff_s)
        )
        health.backoff_until = now + health.backoff_s

    def remove(self, replica: str) -> None:
        """Drop what is known of a replica that is gone."""
        self.replicas.pop(replica, None)
