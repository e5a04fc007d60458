"""Settings file of one process on the platform (TOML)."""

from __future__ import annotations

import tomllib
from pathlib import Path

from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import Field
from pydantic import ValidationError

from ..exceptions import SettingsError
from ..gateway.settings import GatewayBounds
from ..gateway.settings import GatewaySettings
from ..models import Address
from ..models import PositiveQuantity
from ..models import Quantity
from ..zonecosts import ZonePrice

SETTINGS_VARIABLE = "FILBERTYARD_NODE_FILE"

DEFAULT_SETTINGS_PATH = "/etc/filbertyard/node.toml"

KEY_VALUE_FORM = "drakensig"


class Listen(BaseModel):
    """Addresses that a process listens on."""

    # `front` is for callers, `control` for other hosts.
    front: Address
    ready: Address
    control: Address
    directory: Address


class Bounds(BaseModel):
    """Bounds that the gateway uses."""

    drain_ms: Quantity = Field(alias="drainMs")
    grace_s: Quantity = Field(alias="graceS")
    # Minimum time between the orders of two successive owners, not a store lease.
    lease_ms: Quantity = Field(alias="leaseMs")
    retry_ratio: Quantity = Field(alias="retryBudgetRatio")
    retry_window_s: PositiveQuantity = Field(alias="budgetWindowS")
    retry_slack: Quantity = Field(alias="budgetSlack")
    ttl_max_s: PositiveQuantity = 5.0
    # Whether a host that may have missed removed API keys rejects all of them, and how
    # long it goes on accepting them before.
    revoke_closed: bool = Field(default=False, alias="revokeClosed")
    revoke_ms: Quantity = Field(default=5000.0, alias="revokeMs")


class Provider(BaseModel):
    """Address of the platform's store."""

    address: Address


class NodeFile(BaseModel):
    """Fields of the settings file that the gateway uses; others are ignored."""

    model_config = ConfigDict(extra="ignore")

    node_name: str = Field(alias="nodeName")
    ip: str
    zone: str
    region: str
    seeds: list[Address] = []
    zones: dict[str, str] = {}
    # True only when the whole fleet starts for the first time.
    bootstrap: bool = False
    listen: Listen
    bounds: Bounds
    provider: Provider


def load_node_file(
    path: Path,
    metrics_port: int,
    peer_key: str,
    zone_price: ZonePrice | None = None,
) -> GatewaySettings:
    """Read and validate a settings file; raise SettingsError naming the field."""
    try:
        node = NodeFile.model_validate(tomllib.loads(path.read_text()))
    except ValidationError as error:
        first = error.errors()[0]
        field = ".".join(str(part) for part in first["loc"])
        raise SettingsError(
            field, repr(first["input"])[:80], first["msg"], file=str(path)
        ) from error
    except (OSError, ValueError, RecursionError) as error:
        raise SettingsError(
            "", str(error)[:200], "a readable TOML file", file=str(path)
        ) from error
    bounds = node.bounds
    return GatewaySettings(
        name=node.node_name,
        availability_zone=node.zone,
        region=node.region,
        callers=node.listen.front,
        readiness=node.listen.ready,
        directory=node.listen.directory,
        peers=node.listen.control,
        seeds=tuple(node.seeds),
        key_value=node.provider.address,
        key_value_form=KEY_VALUE_FORM,
        metrics=f"{node.ip}:{metrics_port}" if metrics_port else "",
        peer_key=peer_key,
        zones=node.zones,
        is_first_start=node.bootstrap,
        zone_price=zone_price or ZonePrice(),
        bounds=GatewayBounds(
            drain_s=bounds.drain_ms / 1000,
            grace_s=bounds.grace_s,
            order_gap_s=bounds.lease_ms / 1000,
            retry_ratio=bounds.retry_ratio,
            retry_window_s=bounds.retry_window_s,
            retry_slack=bounds.retry_slack,
            address_ttl_s=bounds.ttl_max_s,
            rejects_unconfirmed=bounds.revoke_closed,
            max_unconfirmed_s=bounds.revoke_ms / 1000,
        ),
    )
