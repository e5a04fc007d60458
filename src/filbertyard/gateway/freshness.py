"""Whether the configuration that a host knows is the newest that may be in force.

The store confirms a feed's revision with each answer to a watch. A host that does not
watch learns from the digests of its peers how long ago that was.
"""

from __future__ import annotations

import math

# A revision that the store has confirmed within this time counts as the newest. An idle
# watch is answered after 3 s, and three digests, 0.55 s apart at most, bring the answer
# to the hosts behind a hub, of other zones too.
MAX_CONFIRMATION_AGE_S = 5.0


class RevisionConfirmation:
    """What the store and peers told about the newest revision of a feed.

    Times are on the monotonic clock, which goes on while the process is suspended by a
    signal: a host that wakes up is not confirmed until it hears from the others.
    """

    def __init__(self) -> None:
        self.confirmed_at = -math.inf
        self.newest_seen = 0

    def record_store(self, now: float) -> None:
        """Record an answer of the store whose changes have been applied."""
        self.confirmed_at = max(self.confirmed_at, now)

    def record_peer(self, revision: int, known: int, confirmed_at: float) -> None:
        """Record a peer's revision and when the store confirmed it.

        `known` is the revision of this host.
        """
        self.newest_seen = max(self.newest_seen, revision)
        if revision == known:
            self.confirmed_at = max(self.confirmed_at, confirmed_at)

    def age_s(self, now: float) -> float:
        """Return the time since the last confirmation."""
        return now - self.confirmed_at

    def is_current(self, known: int, now: float) -> bool:
        """Tell if no revision after `known` may be in force, as far as is known."""
        return self.newest_seen <= known and self.age_s(now) <= MAX_CONFIRMATION_AGE_S
