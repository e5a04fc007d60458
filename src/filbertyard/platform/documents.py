"""Documents of the operator and the replicas: configuration, entries, reports."""

from __future__ import annotations

import re
from typing import Any
from typing import Literal

from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import Field
from pydantic import SecretStr
from pydantic import ValidationError

from ..exceptions import DocumentError
from ..gateway.types import AdapterName
from ..gateway.types import Configuration
from ..gateway.types import EngineLimits
from ..gateway.types import EngineReport
from ..gateway.types import ModelLimits
from ..gateway.types import Quota
from ..gateway.types import QuotaUnit
from ..gateway.types import Replica
from ..gateway.types import RequestKind
from ..gateway.types import RequestLimits
from ..gateway.types import Route
from ..gateway.types import Service
from ..gateway.types import WeightedService
from ..gateway.types import Workspace
from ..gateway.types import create_configuration
from ..gateway.types import key_digest
from ..jsonvalues import parse_count
from ..jsonvalues import parse_json
from ..keyvalue import Item
from ..models import Address
from ..models import Count
from ..models import PositiveCount
from ..models import PositiveQuantity
from ..models import Quantity

# Prefix of all keys that the operator writes.
OPERATOR_PREFIX = "op/"
CONFIGURATION_KEY = "op/config"
VERSION_PREFIX = "op/version/"
REPLICA_PREFIX = "servers/"

# Ids of replicas stand in headers of requests.
REPLICA_ID_PATTERN = re.compile(r"[!-~]{1,200}")

REQUEST_KINDS: dict[str, RequestKind] = {
    "idempotent": "idempotent",
    "non_idempotent": "non_idempotent",
    "streaming": "stream",
}

QUOTA_UNITS: dict[str, QuotaUnit] = {"tokens": "tokens"}


class Document(BaseModel):
    """Base class of the documents; unknown fields are ignored."""

    model_config = ConfigDict(extra="ignore")


class BackendDocument(Document):
    """One of several weighted services of a route."""

    service: str
    weight: Quantity


class RouteDocument(Document):
    """A route from a host name and path prefix to services."""

    name: str
    host: str
    prefix: str
    kind: Literal["idempotent", "non_idempotent", "streaming"]
    timeout_ms: PositiveQuantity = Field(alias="timeoutMs")
    objective_ms: Quantity = Field(default=1000.0, alias="targetLatencyMs")
    priority: Count = 5
    service: str = ""
    backends: list[BackendDocument] = []
    # Maximum number of replicas for one attempt of a caller; sends don't count.
    max_attempts: Count = Field(default=1, alias="maxAttempts")
    resumable: bool = False
    gap_ms: Quantity = Field(default=0.0, alias="gapTargetMs")
    public: bool = False

    def decode(self) -> Route:
        """Convert to the gateway's route type."""
        services = tuple(
            WeightedService(backend.service, backend.weight)
            for backend in self.backends
            if backend.weight > 0
        )
        if not services:
            services = (WeightedService(self.service, 1.0),)
        return Route(
            name=self.name,
            host=self.host.lower(),
            prefix=self.prefix,
            kind=REQUEST_KINDS[self.kind],
            timeout_s=self.timeout_ms / 1000,
            objective_s=self.objective_ms / 1000,
            rank=self.priority,
            services=services,
            max_replicas=self.max_attempts,
            is_resumable=self.resumable,
            max_event_gap_s=self.gap_ms / 1000,
            is_public=self.public,
        )


class ModelDocument(Document):
    """Memory sizes and load time of one base model."""

    name: str
    weights_mb: Quantity = Field(default=0.0, alias="weightsMb")
    load_s: Quantity = Field(default=1.0, alias="loadS")
    adapter_mb: Quantity = Field(default=0.0, alias="adapterMb")


class EngineDocument(Document):
    """Capacity of one replica of a model engine."""

    slots: PositiveCount
    kv_tokens: PositiveCount = Field(alias="kvCapacityTokens")
    adapter_slots: Count = Field(default=0, alias="adapterSlots")
    weights_mb: Quantity = Field(default=0.0, alias="weightsMb")
    models: list[ModelDocument] = []
    # Tokens per event of a stream.
    stride: PositiveCount = 1

    def decode(self) -> EngineLimits:
        """Convert to the gateway's engine limits."""
        models = {
            model.name: ModelLimits(model.weights_mb, model.load_s, model.adapter_mb)
            for model in self.models
        }
        return EngineLimits(
            self.slots,
            self.kv_tokens,
            self.adapter_slots,
            self.weights_mb,
            models,
            self.stride,
        )


class ServiceDocument(Document):
    """A service and the capacity of its replicas."""

    name: str
    max_connections: Count = Field(default=100, alias="maxConnections")
    health_path: str = Field(default="", alias="healthPath")
    engine: EngineDocument | None = None


class LimitsDocument(Document):
    """Limits on the requests of callers."""

    head_bytes: Count = Field(alias="maxHeaderBytes")
    body_bytes: Count = Field(alias="maxBodyBytes")
    head_ms: Quantity = Field(alias="headerTimeoutMs")
    idle_ms: Quantity = Field(alias="idleTimeoutMs")


class TenantDocument(Document):
    """A workspace with its API keys and its quota over all hosts."""

    name: str
    api_keys: list[SecretStr] = Field(default=[], alias="apiKeys")
    priority: Count | None = None
    # Quantities are requests or tokens; 0 means no limit.
    unit: str = ""
    plain_tokens: Count = Field(default=0, alias="plainTokens")
    per_s: Quantity = Field(default=0.0, alias="ratePerS")
    burst: Quantity = 0.0

    def decode(self) -> Workspace:
        """Convert to the gateway's workspace type."""
        quota = None
        if self.per_s > 0:
            unit = QUOTA_UNITS.get(self.unit, "requests")
            quota = Quota(self.per_s, self.burst, unit, self.plain_tokens)
        return Workspace(self.name, self.priority, quota)


class ConfigurationDocument(Document):
    """The newest configuration, always complete."""

    version: Count
    routes: list[RouteDocument]
    services: list[ServiceDocument]
    limits: LimitsDocument | None = None
    tenants: list[TenantDocument] | None = None


class ResidentModelDocument(Document):
    """One base model that is resident on a replica."""

    name: str
    version: Count = 1
    # Resident adapters as NAME@VERSION.
    adapters: list[str] = []


class ReplicaDocument(Document):
    """A replica's entry for itself; its id is only in the key."""

    service: str
    address: Address
    zone: str = ""
    slots: PositiveCount = 1
    state: Literal["ready", "draining"]
    born: Count = 0
    models: list[ResidentModelDocument] = []


class ReportDocument(Document):
    """The state that a model engine reports."""

    sequence: Count
    busy: bool = False
    models: list[ResidentModelDocument] = []
    # Adapters being loaded from the store, as MODEL/NAME@VERSION.
    pending: list[str] = []
    born: Count = 0
    running: Count = 0
    queued: Count = 0
    # Rows of request id, tokens in memory, generated events and priority.
    runs: list[list[Any]] = []


class VersionDocument(Document):
    """The announcement of an adapter's version."""

    model: str
    adapter: str
    version: Count


def validate(
    model: type[Document], data: bytes, what: str, *, is_secret: bool = False
) -> Any:
    """Validate a document; raise DocumentError naming the field."""
    try:
        return model.model_validate(parse_json(data, what, is_secret=is_secret))
    except ValidationError as error:
        first = error.errors()[0]
        field = ".".join(str(part) for part in first["loc"])
        raise DocumentError(what, f"{field}: {first['msg']}") from error


def split_version(text: str, what: str) -> tuple[str, int]:
    """Split NAME@VERSION; a name without a version has version 1.

    Raise DocumentError for a version that is not a number.
    """
    name, separator, number = text.partition("@")
    version = parse_count(number) if separator else 1
    if version is None:
        raise DocumentError(what, f"{text[:40]!r}: expected NAME@VERSION")
    return name, version


def decode_resident(
    models: list[ResidentModelDocument], what: str
) -> tuple[dict[str, int], dict[AdapterName, int]]:
    """Return the versions of a replica's resident models and adapters.

    Raise DocumentError.
    """
    adapters: dict[AdapterName, int] = {}
    for model in models:
        for text in model.adapters:
            name, version = split_version(text, what)
            adapters[AdapterName(model.name, name)] = version
    return {model.name: model.version for model in models}, adapters


def decode_configuration(item: Item) -> Configuration:
    """Decode the configuration; raise DocumentError."""
    # It holds the API keys of the workspaces.
    document = validate(ConfigurationDocument, item.value, item.key, is_secret=True)
    limits = document.limits
    services = {
        service.name: Service(
            service.name,
            service.max_connections,
            service.engine.decode() if service.engine is not None else None,
            service.health_path,
        )
        for service in document.services
    }
    return create_configuration(
        document.version,
        item.mod_revision,
        tuple(route.decode() for route in document.routes),
        services,
        RequestLimits(
            limits.head_bytes,
            limits.body_bytes,
            limits.head_ms / 1000,
            limits.idle_ms / 1000,
        )
        if limits is not None
        else None,
        decode_workspaces(document.tenants),
    )


def decode_workspaces(
    tenants: list[TenantDocument] | None,
) -> dict[bytes, Workspace] | None:
    """Return the workspaces by the digests of their keys, None without the field.

    An empty list means that no key is valid, not that none is needed.
    """
    if tenants is None:
        return None
    return {
        key_digest(key.get_secret_value()): workspace
        for tenant in tenants
        for workspace in [tenant.decode()]
        for key in tenant.api_keys
    }


def decode_replica(item: Item) -> Replica:
    """Decode a replica's entry; raise DocumentError if it is invalid."""
    replica_id = item.key.removeprefix(REPLICA_PREFIX)
    if not REPLICA_ID_PATTERN.fullmatch(replica_id):
        raise DocumentError(ascii(item.key[:80]), "an id that no header can hold")
    document = validate(ReplicaDocument, item.value, item.key)
    models, adapters = decode_resident(document.models, item.key)
    return Replica(
        id=replica_id,
        service=document.service,
        address=document.address,
        zone=document.zone,
        slots=document.slots,
        is_leaving=document.state == "draining",
        started_ms=document.born,
        revision=item.mod_revision,
        models=models,
        adapters=adapters,
    )


def decode_adapter_version(item: Item) -> tuple[AdapterName, int]:
    """Decode the announcement of an adapter's version; raise DocumentError."""
    document = validate(VersionDocument, item.value, item.key)
    return AdapterName(document.model, document.adapter), document.version


def decode_report(data: bytes, replica: str) -> EngineReport:
    """Decode an engine's report; raise DocumentError."""
    what = f"report of {replica}"
    document = validate(ReportDocument, data, what)
    models, adapters = decode_resident(document.models, what)
    pending: dict[AdapterName, int] = {}
    for text in document.pending:
        model, _, rest = text.partition("/")
        name, version = split_version(rest, what)
        pending[AdapterName(model, name)] = version
    return EngineReport(
        sequence=document.sequence,
        is_busy=document.busy,
        models=models,
        adapters=adapters,
        pending=pending,
        started_ms=document.born,
        running=document.running,
        waiting=document.queued,
        run_ids=frozenset(str(row[0]) for row in document.runs if row),
    )
