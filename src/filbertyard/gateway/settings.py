"""Settings of one gateway host, however they were read."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field


@dataclass(frozen=True, slots=True)
class GatewayBounds:
    """Bounds that the deployment sets; times are in seconds.

    `order_gap_s` separates the orders of two owners of one replica. Repeats of
    requests stay below `repeat_ratio` of the requests plus `repeat_slack` within
    `repeat_window_s`, summed over all hosts.
    """

    drain_s: float
    grace_s: float
    order_gap_s: float
    retry_ratio: float
    retry_window_s: float
    retry_slack: float
    address_ttl_s: float


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Names, addresses and bounds of one gateway host.

    `peers` is the address for other hosts and the id of this host; `seeds` are the
    same addresses of a few hosts that may be stale.
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
