"""Create a gateway host for the platform."""

from __future__ import annotations

from ..gateway.host import GatewayHost
from ..gateway.host import create_gateway_host
from ..gateway.settings import GatewaySettings
from .store import PlatformStore
from .wireformat import create_platform_wire_format

# Importing the store module registers its key-value client.
__all__ = ["PlatformStore", "create_platform_host"]


def create_platform_host(settings: GatewaySettings) -> GatewayHost:
    """Return a gateway host for the platform, not started yet."""
    return create_gateway_host(settings, create_platform_wire_format())
