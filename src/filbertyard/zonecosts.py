"""Price of leaving the availability zone, against what it saves a caller.

It covers zones whose replicas are too few for their callers, slow or lost, adapters
that are resident only in another zone, and calm, in which nothing should leave. Traffic
between zones has a price in waiting time: a request leaves its zone where that shortens
its wait by more than its price, or where it meets its objective only elsewhere. The
choice of a replica adds the price to the estimates of the replicas in other zones, so
that those of the own zone fill up to it first and what leaves is what they lack.
"""

from __future__ import annotations

import math
from collections.abc import Collection
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field

# Weight of a response in the mean size of a service's responses.
SIZE_EWMA_WEIGHT = 0.05

# Bytes in the unit of `ZonePrice.per_kb_s`.
KB = 1000


@dataclass(frozen=True, slots=True)
class ZonePrice:
    """What sending a request to another zone costs, as waiting time of its caller.

    `per_request_s` holds for each request, `per_kb_s` for each 1,000 bytes of request
    and response. With the default, availability zones are not told apart.
    """

    per_request_s: float = 0.0
    per_kb_s: float = 0.0

    @property
    def is_set(self) -> bool:
        """Tell if traffic between zones has a price."""
        return self.per_request_s > 0 or self.per_kb_s > 0

    def crossing_s(self, size_bytes: float) -> float:
        """Return the price of a request and its response, in seconds of waiting."""
        return self.per_request_s + self.per_kb_s * size_bytes / KB


def limit_price_s(price_s: float, objective_left_s: float, other_s: float) -> float:
    """Return a price that no request becomes late for.

    `other_s` is the estimate of the best replica in another zone. A request that is in
    time there and not in its own zone leaves at this price, and one that is in time in
    its own zone stays. One that is late everywhere goes where it waits least.
    """
    return min(price_s, max(0.0, objective_left_s - other_s))


@dataclass(frozen=True, slots=True)
class Crossing:
    """What one request pays outside of its host's zone.

    `others` are the replicas in other zones. `demand_share` is the share of the fleet's
    requests that arrive in the host's zone, `estimates` are the times to the
    first event of all replicas, without the price.
    """

    price_s: float
    others: Collection[str]
    demand_share: float = 1.0
    estimates: Mapping[str, float] = field(default_factory=dict)

    def extra_s(self, replica: str, unseen_s: float) -> float:
        """Return what is added to the estimate of a replica.

        `unseen_s` is the work that the replica is assumed to have got since its last
        report. Replicas of another zone get theirs from the hosts of that zone; those
        of the own zone get it from the hosts that make this choice.
        """
        return self.price_s + unseen_s if replica in self.others else 0.0


class ResponseSizes:
    """Mean bytes of the responses of each service, learned from those that ended."""

    def __init__(self) -> None:
        self.services: dict[str, float] = {}

    def record(self, service: str, size_bytes: int) -> None:
        """Add the size of a response."""
        known = self.services.setdefault(service, float(size_bytes))
        self.services[service] = known + SIZE_EWMA_WEIGHT * (size_bytes - known)

    def expected_bytes(self, service: str) -> float:
        """Return the mean size, 0 if none is known."""
        return self.services.get(service, 0.0)


def arriving_share(zone: str, host_zones: Mapping[str, str]) -> float:
    """Return the share of the requests that arrive in a zone.

    Callers choose among the addresses of all hosts, so it is the share of the hosts.
    """
    if not host_zones:
        return 1.0
    own = sum(other == zone for other in host_zones.values())
    return max(1, own) / len(host_zones)


def saved_s(
    chosen: str, estimates: Mapping[str, float], others: Collection[str]
) -> float | None:
    """Return how much waiting a choice outside of the zone saves, None within it.

    It is infinite if no replica of the own zone can run the request.
    """
    if chosen not in others:
        return None
    own = [cost for key, cost in estimates.items() if key not in others]
    return min(own, default=math.inf) - estimates[chosen]
