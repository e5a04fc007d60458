"""One request on its way: what is left of its time and what its caller has."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from typing import Any
from typing import Literal

from .types import GatewayRequest
from .types import Route

# Callers abandon a stream when nothing came for the longest of these times, counted in
# seconds, in objectives and in pauses between events.
EVENT_TIMEOUT_S = 2.0
EVENT_TIMEOUT_OBJECTIVES = 4.0
EVENT_TIMEOUT_GAPS = 8.0

# Share of the route's time left for the answer that ends the request.
END_MARGIN_S = 0.05

Outcome = Literal["delivered", "not_run", "unknown", "broken"]


@dataclass(slots=True)
class Attempt:
    """What became of one send to a replica."""

    outcome: Outcome
    replica: str
    cause: str = ""
    is_adapter_absent: bool = False


@dataclass(slots=True)
class Delivery:
    """What the caller has received so far, and what the log line tells."""

    request: GatewayRequest
    route: Route
    handler: Any
    start_response: Callable[[str, list[tuple[str, str]]], Callable[[bytes], None]]
    version: int
    write: Callable[[bytes], None] | None = None
    status: int = 0
    last_event: str = ""
    first_event_at: float = 0.0
    last_chunk_at: float = 0.0
    longest_gap_s: float = 0.0
    bytes_sent: int = 0
    sends: int = 0
    admission_attempts: int = 0
    waited_s: float = 0.0
    was_absent: bool = False
    expected_s: float = 0.0
    load_age_s: float = 0.0
    replicas: list[str] = field(default_factory=list)
    causes: list[str] = field(default_factory=list)

    def grant_id(self) -> str:
        """Return the id of the present question to an owner.

        Messages about an earlier question may arrive after those about this one.
        """
        return f"{self.request.id}#{self.admission_attempts}"

    def deadline(self) -> float:
        """Return when the request must have its final answer."""
        request = self.request
        return min(request.deadline, request.arrived + self.route.timeout_s)

    def left_s(self) -> float:
        """Return the time until the final answer is due."""
        return self.deadline() - END_MARGIN_S - time.monotonic()

    def event_timeout_left_s(self) -> float:
        """Return the time until the caller gives up waiting for the next event."""
        route = self.route
        if route.kind != "stream":
            return self.left_s()
        event_timeout_s = max(
            EVENT_TIMEOUT_S,
            EVENT_TIMEOUT_OBJECTIVES * route.objective_s,
            EVENT_TIMEOUT_GAPS * route.max_event_gap_s,
        )
        since = self.last_chunk_at or self.request.arrived
        return min(self.left_s(), since + event_timeout_s - time.monotonic())
