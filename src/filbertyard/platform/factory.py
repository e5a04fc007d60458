"""Build a gateway host that speaks to the platform."""

from __future__ import annotations

from ..gateway.host import GatewayHost
from ..gateway.host import create_gateway_host
from ..gateway.settings import GatewaySettings
from .store import PlatformStore
from .wireformat import create_platform_wire_format

# The import of the store's module registers its form of the key-value service.
__all__ = ["PlatformStore", "create_platform_host"]


def create_platform_host(settings: GatewaySettings) -> GatewayHost:
    """Return a gateway host on the platform that is not started yet."""
    return create_gateway_host(settings, create_platform_wire_format())
