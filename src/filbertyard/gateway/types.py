"""What a gateway host knows of routes, services, replicas and requests."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from dataclasses import field
from typing import Literal
from typing import NamedTuple

RequestKind = Literal["idempotent", "non_idempotent", "stream"]

QuotaUnit = Literal["requests", "tokens"]


class AdapterName(NamedTuple):
    """One adapter of a base model; an empty `adapter` is the model itself."""

    model: str
    adapter: str

    def __str__(self) -> str:
        return f"{self.model}/{self.adapter}" if self.adapter else self.model


@dataclass(frozen=True, slots=True)
class WeightedService:
    """One service behind a route and its share of the requests."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """How requests of one host and path prefix are served; rank 0 is most urgent.

    `max_event_gap_s` limits the gap between two events of a stream, 0 for no limit.
    A public route needs no API key.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    timeout_s: float
    objective_s: float
    rank: int
    services: tuple[WeightedService, ...]
    max_replicas: int
    is_resumable: bool = False
    max_event_gap_s: float = 0.0
    is_public: bool = False

    @property
    def may_retry(self) -> bool:
        """Tell if a request may run again from its start."""
        return self.kind == "idempotent"


@dataclass(frozen=True, slots=True)
class ModelLimits:
    """Sizes and load time of one base model."""

    weights_mb: float
    load_s: float
    adapter_mb: float


@dataclass(frozen=True, slots=True)
class EngineLimits:
    """What one replica of a model engine holds and runs at once.

    `event_tokens` is the number of tokens in one event of a stream.
    """

    slots: int
    kv_tokens: int
    adapter_slots: int
    weights_mb: float
    models: dict[str, ModelLimits]
    event_tokens: int = 1


@dataclass(frozen=True, slots=True)
class Service:
    """One service; `engine` is None for a plain one.

    `health_path` is where its replicas report their health, empty if nowhere.
    """

    name: str
    max_connections: int
    engine: EngineLimits | None = None
    health_path: str = ""


@dataclass(frozen=True, slots=True)
class Quota:
    """What one workspace may use on all hosts together, in requests or tokens.

    A request without a number of tokens counts as `plain_tokens` of them.
    """

    per_s: float
    burst: float
    unit: QuotaUnit = "requests"
    plain_tokens: int = 0


@dataclass(frozen=True, slots=True)
class Workspace:
    """One customer of the fleet; its rank, if any, goes before that of a route."""

    name: str
    rank: int | None = None
    quota: Quota | None = None


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Limits on what callers send; times are in seconds."""

    head_bytes: int
    body_bytes: int
    head_s: float
    idle_s: float


@dataclass(frozen=True, slots=True)
class Configuration:
    """Routes and services of one version; `revision` is the store's.

    `workspaces` maps the digests of API keys to their workspaces; see `key_digest`.
    """

    version: int
    revision: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: RequestLimits | None
    workspaces: dict[bytes, Workspace] = field(default_factory=dict, repr=False)
    has_workspaces: bool = False
    by_host: dict[str, tuple[Route, ...]] = field(default_factory=dict)

    def min_event_gap_s(self, service: str) -> float:
        """Return the smallest maximum gap of the routes to a service, 0 for none."""
        gaps = [
            route.max_event_gap_s
            for route in self.routes
            if route.max_event_gap_s > 0
            and any(item.service == service for item in route.services)
        ]
        return min(gaps, default=0.0)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of `host` with the longest prefix of `path`."""
        for route in self.by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


def key_digest(api_key: str) -> bytes:
    """Return the digest by which an API key is stored and compared."""
    return hashlib.sha256(api_key.encode()).digest()


def create_configuration(
    version: int,
    revision: int,
    routes: tuple[Route, ...],
    services: dict[str, Service],
    limits: RequestLimits | None,
    workspaces: dict[bytes, Workspace] | None = None,
) -> Configuration:
    """Return a configuration with its routes in order of matching.

    Without `workspaces`, callers need no API keys.
    """
    by_host: dict[str, list[Route]] = {}
    for route in routes:
        by_host.setdefault(route.host, []).append(route)
    ordered = {
        host: tuple(sorted(found, key=lambda route: -len(route.prefix)))
        for host, found in by_host.items()
    }
    return Configuration(
        version,
        revision,
        routes,
        services,
        limits,
        workspaces or {},
        workspaces is not None,
        ordered,
    )


@dataclass(frozen=True, slots=True)
class Replica:
    """One incarnation of a replica; `started_ms` is its start in Unix milliseconds."""

    id: str
    service: str
    address: str
    zone: str
    slots: int
    is_leaving: bool
    started_ms: int
    revision: int
    models: dict[str, int] = field(default_factory=dict)
    adapters: dict[AdapterName, int] = field(default_factory=dict)

    def supersedes(self, other: Replica) -> bool:
        """Tell if this was written after another entry of the same replica."""
        if self.started_ms != other.started_ms:
            return self.started_ms > other.started_ms
        return self.is_leaving and not other.is_leaving


@dataclass(frozen=True, slots=True)
class EngineReport:
    """What a model engine reports that it holds, some hundred milliseconds ago."""

    sequence: int
    is_busy: bool
    models: dict[str, int]
    adapters: dict[AdapterName, int]
    pending: dict[AdapterName, int]
    started_ms: int = 0
    running: int = 0
    waiting: int = 0
    run_ids: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class HostRecord:
    """One gateway host as registered in the store.

    `id` is its address for peers, `callers` its address for callers.
    """

    id: str
    instance: str
    callers: str
    availability_zone: str
    is_leaving: bool


@dataclass(frozen=True, slots=True)
class OwnerRecord:
    """Which host sends orders to a replica; `fence` rises with every claim.

    `wait_s` is how long the owner must wait after the claim before its first order; it
    is 0 once that time has passed.
    """

    replica: str
    host: str
    instance: str
    fence: int
    is_released: bool = False
    wait_s: float = 0.0


@dataclass(slots=True)
class GatewayRequest:
    """One request of a caller, decoded; times are on the monotonic clock.

    `prompt_parts` are the ids of the parts of its prompt that other requests may share,
    in order. `output_tokens` is the expected number, `max_output_tokens` the limit that
    the caller set, 0 for none. `key_digest` is that of the caller's API key, empty
    without one.
    """

    id: str
    host: str
    method: str
    target: str
    headers: list[tuple[str, str]] = field(repr=False)
    body: bytes = field(repr=False)
    arrived: float
    deadline: float
    adapter: AdapterName | None = None
    prompt_tokens: int = 0
    output_tokens: int = 0
    max_output_tokens: int = 0
    resume_after: str = ""
    prompt_parts: tuple[str, ...] = ()
    key_digest: bytes = field(default=b"", repr=False)

    def left_s(self, now: float) -> float:
        """Return the time until the deadline."""
        return self.deadline - now
