"""Address queries of callers, readiness checks and metrics over HTTP."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from typing import Protocol
from urllib.parse import parse_qs

from ..metrics import Metrics
from .wire import WireFormat

# Callers cache addresses for this long at most: a dead host is detected in about the
# same time.
MAX_ADDRESS_TTL_S = 2.0

MAX_ADDRESSES = 64

METRICS_PATH = "/metrics"


class DirectoryHost(Protocol):
    """What the directory needs from the gateway host."""

    metrics: Metrics

    def caller_addresses(self, zone: str) -> list[str]:
        """Return the addresses where callers of a zone should connect."""

    def is_ready(self) -> bool:
        """Tell if new callers may connect to this host."""


class DirectoryApplication:
    """WSGI application for queries about the host; requests have one of their own."""

    def __init__(self, host: DirectoryHost, wire: WireFormat, max_ttl_s: float) -> None:
        self.host = host
        self.wire = wire
        self.ttl_s = min(MAX_ADDRESS_TTL_S, max_ttl_s)

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> list[bytes]:
        """Handle one query."""
        path = environ["PATH_INFO"]
        if self.wire.is_address_query(path):
            query = parse_qs(environ.get("QUERY_STRING", ""))
            zone = query.get("zone", [""])[0]
            addresses = self.host.caller_addresses(zone)[:MAX_ADDRESSES]
            body = self.wire.encode_addresses(addresses, self.ttl_s)
            return respond(start_response, "200 OK", body, "application/json")
        if self.wire.is_readiness_query(path):
            ready = self.host.is_ready()
            status = "200 OK" if ready else "503 Service Unavailable"
            return respond(start_response, status, b"", "text/plain")
        if path == METRICS_PATH:
            body = self.host.metrics.render().encode()
            return respond(start_response, "200 OK", body, "text/plain; version=0.0.4")
        return respond(start_response, "404 Not Found", b"", "text/plain")


def respond(
    start_response: Callable[..., Any], status: str, body: bytes, content_type: str
) -> list[bytes]:
    """Send a complete response."""
    headers = [("Content-Type", content_type), ("Content-Length", str(len(body)))]
    start_response(status, headers)
    return [body]
