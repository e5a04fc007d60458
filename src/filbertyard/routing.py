"""Choice of the replica for a call, from what this host knows of the fleet."""

from __future__ import annotations

import math
import time
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from typing import Protocol
from typing import TypeVar

import xxhash

from .calls import AdapterVersion
from .calls import Call
from .messages import Accepted
from .messages import End
from .messages import NotRun
from .messages import Reply
from .messages import Started
from .zonecosts import ZonePrice
from .zonecosts import limit_price_s

# Home replicas of an adapter: the first ones in `home_order`. Calls spread to others
# only when the waits at the homes are long.
HOME_REPLICAS = 2

# Cost of an adapter load, and additional cost of each replica beyond the homes.
LOAD_COST_S = 0.5
SPREAD_COST_S = 0.25

# Cost of forwarding a call to an owner on another host.
HOP_S = 0.0005

COST_STEP_S = 0.1

# A reported wait is used for this long.
REPORTED_WAIT_TTL_S = 1.0

# Bounds of the time for which a replica that rejected a team's rank is avoided.
MIN_AVOID_S = 0.3
MAX_AVOID_S = 1.0

# A replica is assumed to hold an adapter for this long after it served it, unless its
# owner publishes the resident adapters.
HOLDER_TTL_S = 30.0

MAX_TRACKED_ADAPTERS = 20000

# Causes of rejections that are due to overload.
OVERLOAD_CAUSES = ("wait_too_long", "queue_full")


@dataclass(slots=True)
class ReplicaView:
    """What this host knows of one replica; waits are in seconds for each rank."""

    name: str
    upstream: str
    owner: str
    is_leaving: bool = False
    adapters: frozenset[AdapterVersion] = frozenset()
    waits: dict[str, float] = field(default_factory=dict)
    zone: str = ""
    is_local: bool = False
    is_other_zone: bool = False


@dataclass(slots=True)
class RouteEstimate:
    """What a call would cost at one replica; times are in seconds.

    `crossing_s` is the part of the cost that is the price of another zone.
    """

    view: ReplicaView
    wait_s: float = 0.0
    is_resident: bool = False
    crossing_s: float = 0.0
    cost_s: float = 0.0


def find_cheapest(estimates: list[RouteEstimate]) -> ReplicaView | None:
    """Return the replica with the lowest cost, the first of several."""
    best = min(estimates, key=lambda item: item.cost_s, default=None)
    return best.view if best is not None else None


class Router(Protocol):
    """A routing policy."""

    def estimate(
        self, call: Call, views: list[ReplicaView], tried: set[str]
    ) -> list[RouteEstimate]:
        """Return the replicas that may run a call; `choose` takes the cheapest.

        The first of several with the same cost is chosen.
        """

    def choose(
        self, call: Call, views: list[ReplicaView], tried: set[str]
    ) -> ReplicaView | None:
        """Return the replica to run a call on, or None if there is none."""

    def observe(self, call: Call, replica: str, reply: Reply) -> None:
        """Update the routing state from a reply of the replica's owner."""


ROUTING_POLICIES: dict[str, Callable[[ZonePrice], Router]] = {}


R = TypeVar("R", bound=Callable[[ZonePrice], Router])


def routing_policy(name: str) -> Callable[[R], R]:
    """Register a routing policy under `name`."""

    def register(cls: R) -> R:
        ROUTING_POLICIES[name] = cls
        return cls

    return register


def create_router(policy: str, zone_price: ZonePrice | None = None) -> Router:
    """Return a router of the policy `policy`, with a price of leaving the zone."""
    return ROUTING_POLICIES[policy](zone_price or ZonePrice())


def rendezvous_weight(key: str, name: str) -> int:
    """Return the weight of `name` for `key`; the highest weight wins."""
    return xxhash.xxh64_intdigest(f"{key}|{name}")


def usable_replicas(views: list[ReplicaView], tried: set[str]) -> list[ReplicaView]:
    """Return the replicas that have an owner, are not leaving and not tried."""
    return [
        view
        for view in views
        if view.owner and not view.is_leaving and view.name not in tried
    ]


@routing_policy("naive")
class RoundRobin:
    """Use the replicas in turn."""

    def __init__(self, zone_price: ZonePrice) -> None:
        self.turn = 0

    def estimate(
        self, call: Call, views: list[ReplicaView], tried: set[str]
    ) -> list[RouteEstimate]:
        """Return the replicas in the order of their turns."""
        candidates = usable_replicas(views, tried)
        start = (self.turn + 1) % len(candidates) if candidates else 0
        return [RouteEstimate(view) for view in candidates[start:] + candidates[:start]]

    def choose(
        self, call: Call, views: list[ReplicaView], tried: set[str]
    ) -> ReplicaView | None:
        """Return the next replica in turn."""
        estimates = self.estimate(call, views, tried)
        if not estimates:
            return None
        self.turn += 1
        return estimates[0].view

    def observe(self, call: Call, replica: str, reply: Reply) -> None:
        """Ignore the reply: this policy keeps no routing state."""


@dataclass(slots=True)
class ReportedWait:
    """A wait that a replica's owner reported."""

    wait_s: float
    reported_at: float


@routing_policy("shares")
class CostRouter:
    """Choose the replica with the least expected wait, including adapter loads."""

    def __init__(
        self, zone_price: ZonePrice, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self.zone_price = zone_price
        self.clock = clock
        self.waits: dict[tuple[str, str], ReportedWait] = {}
        # Time until which a replica is avoided, by replica, rank and team.
        self.avoid_until: dict[tuple[str, str, str], float] = {}
        self.holders: dict[AdapterVersion, dict[str, float]] = {}

    def choose(
        self, call: Call, views: list[ReplicaView], tried: set[str]
    ) -> ReplicaView | None:
        """Return the replica of least cost that is not expected to reject the call."""
        return find_cheapest(self.estimate(call, views, tried))

    def estimate(
        self, call: Call, views: list[ReplicaView], tried: set[str]
    ) -> list[RouteEstimate]:
        """Return the replicas that are not expected to reject the call."""
        now = self.clock()
        candidates = [
            view
            for view in usable_replicas(views, tried)
            if not self.is_avoided(view, call, now)
        ]
        adapter = call.adapter
        crossing_s = self.crossing_s(call, candidates, now)
        estimates = []
        if adapter is None:
            for view in rendezvous_order(call.request_id, candidates):
                wait_s = self.wait_s(view, call.rank.name, now)
                price_s = crossing_s * view.is_other_zone
                estimates.append(
                    RouteEstimate(view, wait_s, False, price_s, wait_s + price_s)
                )
            return estimates
        last_served = self.holders.get(adapter, {})
        for place, view in enumerate(home_order(adapter, candidates)):
            is_held = adapter in view.adapters or (
                not view.adapters
                and now - last_served.get(view.name, -math.inf) < HOLDER_TTL_S
            )
            # Replicas beyond the homes cost more, so that an adapter spreads only while
            # the waits at its homes are longer than a load.
            spread = max(0, place - HOME_REPLICAS + 1)
            wait_s = self.wait_s(view, call.rank.name, now)
            cost = wait_s + HOP_S * (not view.is_local)
            if not is_held:
                cost += LOAD_COST_S + SPREAD_COST_S * spread
            # Costs are rounded to steps: smaller differences are noise, and the calls
            # of an adapter should stay at one replica.
            cost = round(cost / COST_STEP_S) * COST_STEP_S
            price_s = crossing_s * view.is_other_zone
            estimates.append(
                RouteEstimate(view, wait_s, is_held, price_s, cost + price_s)
            )
        return estimates

    def crossing_s(
        self, call: Call, candidates: list[ReplicaView], now: float
    ) -> float:
        """Return the price of another zone for a call, in seconds of waiting."""
        if not self.zone_price.is_set:
            return 0.0
        waits = [
            self.wait_s(view, call.rank.name, now)
            for view in candidates
            if view.is_other_zone
        ]
        return limit_price_s(
            self.zone_price.crossing_s(len(call.body)),
            call.rank.target_s,
            min(waits, default=math.inf),
        )

    def wait_s(self, view: ReplicaView, rank: str, now: float) -> float:
        """Return the newest known wait of a rank at a replica in seconds."""
        if view.is_local:
            return view.waits.get(rank, 0.0)
        reported = self.waits.get((view.name, rank))
        if reported is not None and now - reported.reported_at < REPORTED_WAIT_TTL_S:
            return reported.wait_s
        return view.waits.get(rank, 0.0)

    def is_avoided(self, view: ReplicaView, call: Call, now: float) -> bool:
        """Tell if a replica's owner would probably reject the team's rank."""
        key = (view.name, call.rank.name, call.team)
        return now < self.avoid_until.get(key, -math.inf)

    def observe(self, call: Call, replica: str, reply: Reply) -> None:
        """Update the routing state from a reply of the replica's owner."""
        now = self.clock()
        rank = call.rank.name
        match reply:
            case Accepted():
                self.record_wait(replica, rank, reply.wait_s, now)
            case NotRun() if reply.cause in OVERLOAD_CAUSES:
                pause = min(MAX_AVOID_S, max(MIN_AVOID_S, reply.retry_after_s / 4))
                self.avoid_until[replica, rank, call.team] = now + pause
            case NotRun() if call.adapter is not None:
                self.holders.get(call.adapter, {}).pop(replica, None)
            case Started() if call.adapter is not None:
                if len(self.holders) > MAX_TRACKED_ADAPTERS:
                    self.holders.clear()
                self.holders.setdefault(call.adapter, {})[replica] = now
            case End():
                for name, wait_s in reply.waits.items():
                    self.record_wait(replica, name, wait_s, now)

    def record_wait(self, replica: str, rank: str, wait_s: float, now: float) -> None:
        """Store a reported wait."""
        self.waits[replica, rank] = ReportedWait(wait_s, now)


def rendezvous_order(key: str, views: list[ReplicaView]) -> list[ReplicaView]:
    """Return the replicas by falling rendezvous weight for `key`."""
    return sorted(views, key=lambda view: -rendezvous_weight(key, view.name))


def home_order(
    adapter: AdapterVersion, candidates: list[ReplicaView]
) -> list[ReplicaView]:
    """Return the replicas by rendezvous weight, taking the zones in turn."""
    order = rendezvous_order(f"{adapter.team}/{adapter.adapter}", candidates)
    seen: dict[str, int] = {}
    turns: list[tuple[int, int]] = []
    for place, view in enumerate(order):
        turn = seen.get(view.zone, 0) if view.zone else 0
        seen[view.zone] = turn + 1
        turns.append((turn, place))
    return [order[place] for _, place in sorted(turns)]
