"""Loads of replicas: published by owners, passed on by hubs, used to choose."""

from __future__ import annotations

import math
import time
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import Any

import gevent

from ..peers import PeerNetwork
from .fleet import Fleet
from .health import HealthTable
from .messages import LoadBatch
from .messages import ReplicaLoad
from .placement import Candidate
from .ratelimits import RateLimitTable
from .ratelimits import decode_statement
from .speeds import aged_ratio
from .state import GatewayState
from .types import AdapterName
from .types import Replica

# Interval between two publications of a replica's load.
PUBLISH_INTERVAL_S = 0.1

# Interval between two batches of loads that a hub passes on. Each host has two hubs, so
# it gets a batch twice as often.
RELAY_INTERVAL_S = 0.2

# A hub passes on the resident adapters of a replica after each change, and this often.
RESIDENT_INTERVAL_S = 1.0

# Older published loads are not used.
MAX_LOAD_AGE_S = 3.0


@dataclass(slots=True)
class ReplicaView:
    """The last published load of a replica, with what was requested since."""

    load: ReplicaLoad
    at: float
    resident: set[AdapterName]
    loading: dict[AdapterName, float]
    requested_tokens: int = 0
    requests: int = 0


@dataclass(slots=True)
class RelayedLoad:
    """What a hub passes on for one replica; times are on the monotonic clock."""

    load: ReplicaLoad
    at: float
    has_changed: bool = True
    resident: dict[str, list[str]] = field(default_factory=dict)
    resident_at: float = -math.inf


class LoadTable:
    """The loads of all replicas as this host knows them."""

    def __init__(
        self,
        fleet: Fleet,
        peers: PeerNetwork,
        state: GatewayState,
        rate_limits: RateLimitTable,
    ) -> None:
        self.fleet = fleet
        self.state = state
        self.rate_limits = rate_limits
        self.views: dict[str, ReplicaView] = {}
        self.relayed: dict[str, RelayedLoad] = {}
        peers.handle(ReplicaLoad, self.handle_load)
        peers.handle(LoadBatch, self.handle_load_batch)

    def publish_interval_s(self) -> float:
        """Return the interval between two publications of one replica's load."""
        # Hubs pass on only the last of several loads within their interval.
        min_s = RELAY_INTERVAL_S if self.fleet.is_large() else PUBLISH_INTERVAL_S
        return self.fleet.send_interval_s(min_s)

    def publish(self, load: ReplicaLoad) -> None:
        """Send the load of an owned replica to all hosts."""
        self.handle_load(self.fleet.id, load)
        self.fleet.broadcast(load)

    def handle_load(self, peer: str, load: ReplicaLoad) -> None:
        """Record a load that an owner published, and have it passed on."""
        now = time.monotonic()
        if not self.record(load, now):
            return
        if load.rate_limit and peer != self.fleet.id:
            self.rate_limits.record(decode_statement(load.rate_limit, now))
        known = self.relayed.get(load.replica)
        if known is None:
            self.relayed[load.replica] = RelayedLoad(load, now)
        else:
            known.load, known.at, known.has_changed = load, now, True

    def record(self, load: ReplicaLoad, at: float) -> bool:
        """Record a load if it is newer than the known one; tell if it was."""
        view = self.views.get(load.replica)
        if view is not None and (load.fence, load.number) <= (
            view.load.fence,
            view.load.number,
        ):
            return False
        if view is not None and load.resident == view.load.resident:
            resident = view.resident
        else:
            resident = {
                AdapterName(model, adapter)
                for model, adapters in load.resident.items()
                for adapter in adapters
            }
        loading = {AdapterName(model, name): left for model, name, left in load.loading}
        self.views[load.replica] = ReplicaView(load, at, resident, loading)
        return True

    # Relaying.

    def run(self) -> None:
        """Pass published loads on to the spokes while this host is a hub, forever."""
        while True:
            gevent.sleep(RELAY_INTERVAL_S)
            if self.fleet.is_hub():
                rows = self.next_batch()
                if rows:
                    names = [row[0] for row in rows]
                    limits = self.rate_limits.rows(names, time.monotonic())
                    speeds = self.speed_rows(names)
                    self.fleet.send_to_spokes(LoadBatch(rows, limits, speeds))

    def next_batch(self) -> list[list[Any]]:
        """Return the loads that changed since the last batch."""
        now = time.monotonic()
        rows = []
        for replica, item in list(self.relayed.items()):
            if replica not in self.state.replicas:
                del self.relayed[replica]
            if not item.has_changed:
                continue
            item.has_changed = False
            resident: dict[str, list[str]] | None = None
            is_due = now - item.resident_at >= RESIDENT_INTERVAL_S
            if is_due or item.resident != item.load.resident:
                resident = item.resident = item.load.resident
                item.resident_at = now
            rows.append(pack(item.load, resident, now - item.at))
        return rows

    def speed_rows(self, replicas: list[str]) -> dict[str, list[float]]:
        """Return the speeds of the replicas that report a slowdown."""
        # A replica that is gone is still listed in the last batch.
        found = [self.relayed.get(replica) for replica in replicas]
        loads = [item.load for item in found if item is not None]
        return {
            load.replica: [round(load.slowdown, 2), load.max_prompt_tokens]
            for load in loads
            if load.slowdown > 0
        }

    def handle_load_batch(self, peer: str, batch: LoadBatch) -> None:
        """Record the loads that a hub passes on."""
        now = time.monotonic()
        for row in batch.rows:
            load, resident, age_s = unpack(row)
            if resident is None:
                view = self.views.get(load.replica)
                if view is None:
                    # The hub sends the resident adapters within RESIDENT_INTERVAL_S.
                    continue
                resident = view.load.resident
            slowdown, max_prompt_tokens = batch.speeds.get(load.replica, (0.0, 0))
            load = replace(
                load,
                resident=resident,
                slowdown=slowdown,
                max_prompt_tokens=int(max_prompt_tokens),
            )
            self.record(load, now - age_s)
        for row in batch.rate_limits:
            self.rate_limits.record(decode_statement(row, now))

    # Choosing.

    def candidates(
        self,
        service: str,
        name: AdapterName,
        health: HealthTable,
        prompt_tokens: int = 0,
    ) -> list[Candidate]:
        """Return the replicas of a service as this host sees them."""
        now = time.monotonic()
        return [
            self.candidate(
                replica,
                name,
                health.failure_rate(replica.id, now),
                now,
                prompt_tokens,
            )
            for replica in self.state.usable(service)
            if not health.is_backing_off(replica.id, now)
        ]

    def candidate(
        self,
        replica: Replica,
        name: AdapterName,
        own_rate: float,
        now: float,
        prompt_tokens: int = 0,
    ) -> Candidate:
        """Return one replica as this host sees it."""
        view = self.views.get(replica.id)
        if view is None or now - view.at > MAX_LOAD_AGE_S:
            is_resident = name in replica.adapters or (
                not name.adapter and name.model in replica.models
            )
            if view is not None:
                is_resident = name in view.resident
            return Candidate(
                replica.id, 0.0, is_resident, -1.0, math.inf, False, own_rate
            )
        load = view.load
        return Candidate(
            replica=replica.id,
            wait_s=load.wait_s + self.requested_s(replica, view),
            is_resident=name in view.resident,
            load_left_s=view.loading.get(name, -1.0),
            load_wait_s=math.inf if load.load_wait_s < 0 else load.load_wait_s,
            is_owner_known=True,
            failure_rate=max(own_rate, min(1.0, load.failure_rate)),
            age_s=now - view.at,
            prefill_s=prompt_tokens * token_cost_s(view.load, now - view.at)
            if load.slowdown > 0
            else 0.0,
            is_prompt_long=load.running > 0
            and 0 < load.max_prompt_tokens < prompt_tokens,
        )

    def requested_s(self, replica: Replica, view: ReplicaView) -> float:
        """Return the wait that requests since the published load may cause."""
        per_s = self.rate_limits.rate(replica.id, replica.started_ms)
        age_s = time.monotonic() - view.at
        prefill_s = view.requested_tokens * token_cost_s(view.load, age_s)
        return max(prefill_s, view.requests / per_s)

    def add_request(self, replica: str, prompt_tokens: int) -> None:
        """Count a request that the published load does not show yet."""
        view = self.views.get(replica)
        if view is not None:
            view.requested_tokens += prompt_tokens
            view.requests += 1


def token_cost_s(load: ReplicaLoad, age_s: float) -> float:
    """Return the prefill time of one prompt token some time after a published load."""
    if load.slowdown <= 0:
        return load.token_cost_s
    return load.token_cost_s * aged_ratio(load.slowdown, age_s)


def pack(
    load: ReplicaLoad, resident: dict[str, list[str]] | None, age_s: float
) -> list[Any]:
    """Encode a load as a row of a batch, in whole units to save bytes."""
    loading: dict[str, list[str | int]] = {}
    for model, adapter, left_s in load.loading:
        loading.setdefault(model, []).extend((adapter, to_ms(left_s)))
    return [
        load.replica,
        load.fence,
        load.number,
        to_ms(load.wait_s),
        round(load.token_cost_s * 1e9),
        load.running,
        to_ms(load.load_wait_s),
        round(load.failure_rate * 1000),
        loading,
        resident,
        to_ms(age_s),
    ]


def unpack(
    row: list[Any],
) -> tuple[ReplicaLoad, dict[str, list[str]] | None, float]:
    """Decode a row; return load, resident adapters (None if omitted) and age."""
    replica, fence, number, *numbers, loading, resident, age_ms = row
    wait_ms, token_cost_ns, running, load_wait_ms, failures = numbers
    load = ReplicaLoad(
        replica=replica,
        fence=fence,
        number=number,
        wait_s=wait_ms / 1000,
        token_cost_s=token_cost_ns / 1e9,
        running=running,
        load_wait_s=load_wait_ms / 1000,
        failure_rate=failures / 1000,
        resident={},
        loading=[
            [model, adapter, left_ms / 1000]
            for model, values in loading.items()
            for adapter, left_ms in zip(values[::2], values[1::2], strict=True)
        ],
    )
    return load, resident, age_ms / 1000


def to_ms(seconds: float) -> int:
    """Return whole milliseconds."""
    return round(seconds * 1000)
