"""Circuit breakers, one for each scope of failure."""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass

from .events import CircuitEvent
from .events import EventLog

FAILURES_TO_OPEN = 3

# An open breaker lets one probe through after this time, doubled at each failure.
INITIAL_OPEN_S = 0.5
MAX_OPEN_S = 15.0

MAX_BREAKERS = 20_000


@dataclass(frozen=True, slots=True)
class Scope:
    """What fails together: a replica, the link to an owner, an adapter on a replica."""

    kind: str
    name: str
    adapter: str = ""


def replica_scope(replica: str) -> Scope:
    """Return the scope of a whole replica."""
    return Scope("replica", replica)


def link_scope(owner: str) -> Scope:
    """Return the scope of the link to an owner."""
    return Scope("owner", owner)


def adapter_scope(replica: str, adapter: str) -> Scope:
    """Return the scope of one adapter version on one replica."""
    return Scope("adapter", replica, adapter)


@dataclass(slots=True)
class Breaker:
    """State of one scope; times are on the monotonic clock."""

    failures: int = 0
    open_s: float = 0.0
    open_until: float = 0.0
    probing_until: float = 0.0


class Breakers:
    """Breakers of this host, kept only for scopes with failures."""

    def __init__(
        self,
        rng: random.Random | None = None,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self.rng = rng or random.Random()
        self.now = now
        self.breakers: dict[Scope, Breaker] = {}
        self.events = EventLog()

    def wait_s(self, scopes: Iterable[Scope]) -> float:
        """Return how long one of the scopes still rejects calls, 0 if none does."""
        now = self.now()
        wait = 0.0
        for scope in scopes:
            breaker = self.breakers.get(scope)
            if breaker is not None and breaker.failures >= FAILURES_TO_OPEN:
                wait = max(wait, breaker.open_until - now, breaker.probing_until - now)
        return wait

    def begin(self, scopes: Iterable[Scope]) -> None:
        """Record that a call is sent; in an open scope it is the only probe."""
        now = self.now()
        for scope in scopes:
            breaker = self.breakers.get(scope)
            if breaker is not None and breaker.failures >= FAILURES_TO_OPEN:
                breaker.probing_until = now + breaker.open_s

    def record_success(self, scopes: Iterable[Scope]) -> None:
        """Close the breakers of the scopes."""
        for scope in scopes:
            self.remove(scope, "success")

    def remove(self, scope: Scope, cause: str) -> None:
        """Remove the breaker of a scope."""
        breaker = self.breakers.pop(scope, None)
        if breaker is not None and breaker.failures >= FAILURES_TO_OPEN:
            self.record_change(scope, breaker, cause)

    def record_change(self, scope: Scope, breaker: Breaker, cause: str) -> None:
        """Record that a breaker opened or closed."""
        is_open = scope in self.breakers
        self.events.record(
            CircuitEvent(
                cause=cause,
                adapter=scope.adapter,
                upstream=scope.name if scope.kind != "owner" else "",
                peer=scope.name if scope.kind == "owner" else "",
                state="open" if is_open else "closed",
                failures=breaker.failures,
            )
        )
        name = f"circuit {scope.kind} {scope.name} {scope.adapter}".rstrip()
        self.events.set_condition(name, is_open, cause)

    def record_failure(self, scope: Scope) -> None:
        """Count a failure; open the breaker after several in a row."""
        if scope not in self.breakers and len(self.breakers) >= MAX_BREAKERS:
            self.remove(next(iter(self.breakers)), "too many breakers")
        breaker = self.breakers.setdefault(scope, Breaker())
        breaker.failures += 1
        breaker.probing_until = 0.0
        if breaker.failures < FAILURES_TO_OPEN:
            return
        breaker.open_s = min(MAX_OPEN_S, max(INITIAL_OPEN_S, 2 * breaker.open_s))
        if breaker.failures == FAILURES_TO_OPEN:
            self.record_change(scope, breaker, f"{breaker.failures} failures in a row")
        breaker.open_until = self.now() + breaker.open_s * self.rng.uniform(0.75, 1.25)
