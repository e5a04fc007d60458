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

SETTINGS_VARIABLE = "FILBERTYARD_NODE_FILE"

DEFAULT_SETTINGS_PATH = "/etc/filbertyard/node.toml"

KEY_VALUE_FORM = "drakensig"

ADDRESS_PATTERN = r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$"


class Listen(BaseModel):
    """Addresses that a process listens on."""

    # `front` is for callers, `control` for other hosts.
    front: str = Field(pattern=ADDRESS_PATTERN)
    ready: str = Field(pattern=ADDRESS_PATTERN)
    control: str = Field(pattern=ADDRESS_PATTERN)
    directory: str = Field(pattern=ADDRESS_PATTERN)


class Bounds(BaseModel):
    """Bounds that the gateway uses."""

    drain_ms: float = Field(alias="drainMs", ge=0)
    grace_s: float = Field(alias="graceS", ge=0)
    # Minimum time between the orders of two successive owners, not a store lease.
    lease_ms: float = Field(alias="leaseMs", ge=0)
    retry_ratio: float = Field(alias="retryBudgetRatio", ge=0)
    retry_window_s: float = Field(alias="budgetWindowS", gt=0)
    retry_slack: float = Field(alias="budgetSlack", ge=0)
    ttl_max_s: float = Field(default=5.0, gt=0)


class Provider(BaseModel):
    """Address of the platform's store."""

    address: str = Field(pattern=ADDRESS_PATTERN)


class NodeFile(BaseModel):
    """Fields of the settings file that the gateway uses; others are ignored."""

    model_config = ConfigDict(extra="ignore")

    node_name: str = Field(alias="nodeName")
    ip: str
    zone: str
    region: str
    seeds: list[str] = []
    zones: dict[str, str] = {}
    listen: Listen
    bounds: Bounds
    provider: Provider


def load_node_file(path: Path, metrics_port: int, peer_key: str) -> GatewaySettings:
    """Read and validate a settings file; raise SettingsError naming the field."""
    try:
        node = NodeFile.model_validate(tomllib.loads(path.read_text()))
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise SettingsError(
            "", str(error), "a readable TOML file", file=str(path)
        ) from error
    except ValidationError as error:
        first = error.errors()[0]
        field = ".".join(str(part) for part in first["loc"])
        raise SettingsError(
            field, repr(first["input"])[:80], first["msg"], file=str(path)
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
        bounds=GatewayBounds(
            drain_s=bounds.drain_ms / 1000,
            grace_s=bounds.grace_s,
            order_gap_s=bounds.lease_ms / 1000,
            retry_ratio=bounds.retry_ratio,
            retry_window_s=bounds.retry_window_s,
            retry_slack=bounds.retry_slack,
            address_ttl_s=bounds.ttl_max_s,
        ),
    )
