"""State of one request while it is served: remaining time and what was delivered."""

from __future__ import annotations

import math
import time
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from typing import Any
from typing import Literal

from .quotas import QuotaGrant
from .ratelimits import Statement
from .types import GatewayRequest
from .types import Route
from .types import Workspace

# Callers abandon a stream when no event arrived for the longest of these times: in
# seconds, as a multiple of the route's objective and of its maximum event gap.
EVENT_TIMEOUT_S = 2.0
EVENT_TIMEOUT_OBJECTIVES = 4.0
EVENT_TIMEOUT_GAPS = 8.0

# Time reserved for the response that ends the request.
END_MARGIN_S = 0.05

# Cause of an attempt, or of a rejection, after the end of a permit.
PERMIT_EXPIRED = "permit_expired"

Outcome = Literal["delivered", "not_run", "unknown", "broken"]


@dataclass(slots=True)
class Attempt:
    """Result of sending a request to a replica once.

    `unknown` means that the replica may have run it, `broken` that the response ended
    early after its head had gone to the caller.
    """

    outcome: Outcome
    replica: str
    cause: str = ""
    is_adapter_absent: bool = False


@dataclass(slots=True)
class Delivery:
    """What the caller has received so far, and the fields of the request's log line.

    `expected_s` is the estimated time to the first event of the last replica chosen,
    `saved_s` how much shorter it is than that of the host's own zone if the replica is
    in another one, `replica_zone` the zone of the last replica that got the request;
    `has_begun` tells if the last replica that got the request sent an event.
    `sent_at` is when the last one was sent. `permit_until` is when the permit for a
    rate-limited replica ends, on the boot clock; `rate_limit` is what the last response
    showed of the replica's rate limit, `slowdown` what it showed of the replica's
    speed, 0 for nothing. `quota_grant` is what the request has used of the quota of its
    workspace. `is_framed` tells that the response to the
    caller has a length or chunks. `workspace` is the caller's; without `hides_key` the
    configuration has no workspaces, and what callers state goes to replicas.
    """

    request: GatewayRequest
    route: Route
    handler: Any
    start_response: Callable[
        [str, list[tuple[str, str]]], Callable[[bytes | bytearray], None]
    ]
    version: int
    service: str = ""
    workspace: Workspace | None = None
    hides_key: bool = False
    write: Callable[[bytes | bytearray], None] | None = None
    status: int = 0
    is_framed: bool = False
    last_event: str = ""
    has_begun: bool = False
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
    saved_s: float | None = None
    replica_zone: str = ""
    sent_at: float = 0.0
    permit_until: float = math.inf
    rate_limit: Statement | None = None
    quota_grant: QuotaGrant | None = None
    slowdown: float = 0.0
    replicas: list[str] = field(default_factory=list)
    causes: list[str] = field(default_factory=list)

    @property
    def rank(self) -> int:
        """Return the rank of the request: that of its workspace, else of its route."""
        if self.workspace is not None and self.workspace.rank is not None:
            return self.workspace.rank
        return self.route.rank

    def workspace_name(self) -> str:
        """Return the name of the caller's workspace, empty for none."""
        return self.workspace.name if self.workspace is not None else ""

    def size(self) -> int:
        """Return the size of the run as `RunTimes` counts it."""
        return self.request.output_tokens if self.request.adapter is not None else 1

    def admission_id(self) -> str:
        """Return the id of the current admission request.

        It has a number because messages about an earlier admission request may arrive
        after those about this one.
        """
        return f"{self.request.id}#{self.admission_attempts}"

    def named_rate(self) -> float | None:
        """Return the rate limit that the last response named, None if none."""
        if self.rate_limit is None or math.isinf(self.rate_limit.per_s):
            return None
        return self.rate_limit.per_s

    def rate_limit_row(self) -> list[Any]:
        """Return what the last response showed of the rate limit, empty if nothing."""
        if self.rate_limit is None:
            return []
        return self.rate_limit.row(time.monotonic())

    def deadline(self) -> float:
        """Return when the final response is due, on the monotonic clock."""
        request = self.request
        return min(request.deadline, request.arrived + self.route.timeout_s)

    def left_s(self) -> float:
        """Return the time until the final response must be started."""
        return self.deadline() - END_MARGIN_S - time.monotonic()

    def objective_left_s(self) -> float:
        """Return the time until the first event is late, negative if it is."""
        return self.request.arrived + self.route.objective_s - time.monotonic()

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
