"""Settings of one gateway host, independent of the file format."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field

from pydantic import BaseModel
from pydantic import Field
from pydantic import ValidationError

from ..exceptions import SettingsError
from ..models import Quantity
from ..zonecosts import ZonePrice


@dataclass(frozen=True, slots=True)
class GatewayBounds:
    """Bounds that the deployment sets; times are in seconds.

    `order_gap_s` is the minimum time between the orders of two owners of one replica.
    Retries of requests stay below `retry_ratio` of the requests plus `retry_slack`
    within `retry_window_s`, summed over all hosts. With `rejects_unconfirmed`, API keys
    are rejected by a host that could not confirm its configuration for
    `max_unconfirmed_s`.
    """

    drain_s: float
    grace_s: float
    order_gap_s: float
    retry_ratio: float
    retry_window_s: float
    retry_slack: float
    address_ttl_s: float
    rejects_unconfirmed: bool = False
    max_unconfirmed_s: float = 5.0


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Names, addresses and bounds of one gateway host.

    `callers`, `readiness` and `directory` are addresses to listen on. `peers` is the
    address for other hosts and the id of this host; `seeds` are such addresses of a few
    other hosts and may be outdated. `is_first_start` tells that the whole fleet starts
    for the first time, so that no process of this host ran before. `zone_price` is what
    traffic to another availability zone costs.
    """

    name: str
    availability_zone: str
    region: str
    callers: str
    readiness: str
    directory: str
    peers: str
    seeds: tuple[str, ...]
    key_value: str
    key_value_form: str
    bounds: GatewayBounds
    metrics: str = ""
    peer_key: str = ""
    zones: dict[str, str] = field(default_factory=dict)
    is_first_start: bool = True
    zone_price: ZonePrice = ZonePrice()


class ZonePriceVariables(BaseModel):
    """Environment variables with the price of traffic between availability zones."""

    per_request_ms: Quantity = Field(0.0, alias="FILBERTYARD_ZONE_PRICE_MS")
    per_kb_ms: Quantity = Field(0.0, alias="FILBERTYARD_ZONE_PRICE_MS_PER_KB")


def read_zone_price(environ: Mapping[str, str]) -> ZonePrice:
    """Read the price of traffic between zones; raise SettingsError."""
    try:
        found = ZonePriceVariables.model_validate(dict(environ))
    except ValidationError as error:
        first = error.errors()[0]
        name = ".".join(str(part) for part in first["loc"])
        raise SettingsError(name, repr(first["input"])[:80], first["msg"]) from error
    return ZonePrice(found.per_request_ms / 1000, found.per_kb_ms / 1000)
