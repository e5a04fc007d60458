"""What the requests of callers show about the health of replicas.

Load pattern: replicas that fail part of their requests while their health check is
good, that fall silent, and that come back.
"""

from __future__ import annotations

from dataclasses import dataclass

# Weight of the newest outcome in the failure rate.
FAILURE_GAIN = 0.2

# A failure rate without new outcomes halves in this time, so that a replica that
# recovered is tried again.
FORGET_S = 4.0

# A replica that cannot be reached is left alone for this time, doubled at each
# failure in a row.
FIRST_PAUSE_S = 0.5
LONGEST_PAUSE_S = 4.0


@dataclass(slots=True)
class Health:
    """Failure rate as of `at`, and the pause after failed connections."""

    rate: float = 0.0
    at: float = 0.0
    pause_s: float = 0.0
    paused_until: float = 0.0


class HealthTable:
    """Health of the replicas that this host sent requests to."""

    def __init__(self) -> None:
        self.replicas: dict[str, Health] = {}

    def failure_rate(self, replica: str, now: float) -> float:
        """Return the share of requests that fail, forgetting old outcomes."""
        health = self.replicas.get(replica)
        if health is None:
            return 0.0
        return float(health.rate * 0.5 ** ((now - health.at) / FORGET_S))

    def is_paused(self, replica: str, now: float) -> bool:
        """Tell if a replica could not be reached a moment ago."""
        health = self.replicas.get(replica)
        return health is not None and now < health.paused_until

    def note(self, replica: str, failed: bool, now: float) -> None:
        """Count the outcome of a request that the replica received."""
        rate = self.failure_rate(replica, now)
        health = self.replicas.setdefault(replica, Health())
        health.rate = rate + FAILURE_GAIN * (float(failed) - rate)
        health.at = now
        if not failed:
            health.pause_s = health.paused_until = 0.0

    def note_unreachable(self, replica: str, now: float) -> None:
        """Pause a replica after a failed connection."""
        self.note(replica, True, now)
        health = self.replicas[replica]
        if now < health.paused_until:
            return
        health.pause_s = min(LONGEST_PAUSE_S, max(FIRST_PAUSE_S, 2 * health.pause_s))
        health.paused_until = now + health.pause_s

    def forget(self, replica: str) -> None:
        """Drop what is known of a replica that is gone."""
        self.replicas.pop(replica, None)
