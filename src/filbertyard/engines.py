"""Clients of upstream replicas: model engines and plain services."""

from __future__ import annotations

import json
import time
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from typing import Any
from typing import Literal
from typing import Protocol

from result import Err
from result import Ok
from result import Result

from .calls import AdapterVersion
from .exceptions import UpstreamError
from .httpcalls import HttpResponse
from .httpcalls import create_http_peer

# An order to load can take this long before its outcome counts as unknown.
ORDER_TIMEOUT_S = 10.0

STATE_TIMEOUT_S = 1.0

CANCEL_TIMEOUT_S = 2.0

Order = Literal["load", "unload"]


@dataclass(frozen=True, slots=True)
class ReplicaState:
    """State that a replica reports; `adapters` counts the uses of resident ones."""

    instance: str
    max_batch: int
    running: int
    leaving: bool
    slots: int = 0
    fence: int = 0
    adapters: dict[AdapterVersion, int] = field(default_factory=dict)


class ReplicaClient(Protocol):
    """Operations on one upstream replica."""

    address: str

    def send(
        self,
        method: str,
        path: str,
        body: bytes,
        headers: dict[str, str],
        *,
        idempotent: bool,
        timeout_s: float,
    ) -> Result[HttpResponse, UpstreamError]:
        """Send one call and return the response once its headers arrived."""

    def resume(
        self, request_id: str, after: int, *, timeout_s: float
    ) -> Result[HttpResponse, UpstreamError]:
        """Continue a request's stream after its first `after` events."""

    def cancel(self, request_id: str) -> Result[None, UpstreamError]:
        """Cancel a request that no caller waits for any more."""

    def state(self) -> Result[ReplicaState, UpstreamError]:
        """Return the replica's own state."""

    def order(
        self, order: Order, adapter: AdapterVersion, fence: int, owner: str
    ) -> Result[None, UpstreamError]:
        """Load or unload one adapter version; the error carries the code."""


REPLICA_CLIENTS: dict[str, Callable[[str, str], ReplicaClient]] = {}


def replica_client(kind: str) -> Callable[[Any], Any]:
    """Register a client factory for upstreams of `kind`."""

    def register(factory: Any) -> Any:
        REPLICA_CLIENTS[kind] = factory
        return factory

    return register


def create_replica_client(kind: str, name: str, address: str) -> ReplicaClient:
    """Return a client of one replica."""
    return REPLICA_CLIENTS[kind](name, address)


@replica_client("service")
class ServiceClient:
    """Client of one instance of a plain service."""

    def __init__(self, name: str, address: str) -> None:
        self.name = name
        self.http = create_http_peer(address, step="call replica")
        self.address = self.http.address

    def send(
        self,
        method: str,
        path: str,
        body: bytes,
        headers: dict[str, str],
        *,
        idempotent: bool,
        timeout_s: float,
    ) -> Result[HttpResponse, UpstreamError]:
        """Send one call and return the response once its headers arrived."""
        try:
            response = self.http.request(
                method,
                path,
                body,
                headers,
                new_connection=not idempotent,
                timeout_s=timeout_s,
            )
        except UpstreamError as error:
            error.peer = self.name
            return Err(error)
        response.deadline = time.monotonic() + timeout_s
        return Ok(response)

    def resume(
        self, request_id: str, after: int, *, timeout_s: float
    ) -> Result[HttpResponse, UpstreamError]:
        """Reject: plain services keep no streams."""
        return Err(
            UpstreamError(
                "plain services keep no streams",
                step="resume",
                peer=self.name,
                sent=False,
                code="not_resumable",
            )
        )

    def cancel(self, request_id: str) -> Result[None, UpstreamError]:
        """Do nothing: closing the connection cancels a call to a plain service."""
        return Ok(None)

    def get(self, path: str) -> Result[dict[str, Any], UpstreamError]:
        """Read a JSON object from a path of the replica."""
        try:
            status, data = self.http.json("GET", path, timeout_s=STATE_TIMEOUT_S)
        except UpstreamError as error:
            error.peer = self.name
            return Err(error)
        if status != 200 or not isinstance(data, dict):
            return Err(
                UpstreamError(
                    f"unexpected status {status} from {path}",
                    step="read state",
                    peer=self.name,
                    sent=True,
                    status=status,
                )
            )
        return Ok(data)

    def state(self) -> Result[ReplicaState, UpstreamError]:
        """Return the replica's own state."""
        return self.get("/state").and_then(self.parse_state)

    def parse_state(self, data: dict[str, Any]) -> Result[ReplicaState, UpstreamError]:
        """Parse a state report."""
        try:
            adapters = {
                parse_resident(item): int(item.get("in_use", 0))
                for item in data.get("adapters", [])
            }
            return Ok(
                ReplicaState(
                    instance=str(data["instance"]),
                    max_batch=int(data["max_batch"]),
                    running=int(data["running"]),
                    leaving=bool(data.get("leaving", False)),
                    slots=int(data.get("slots", 0)),
                    fence=int(data.get("fence", 0)),
                    adapters=adapters,
                )
            )
        except (KeyError, TypeError, ValueError) as error:
            return Err(
                UpstreamError(
                    f"malformed state report: {error!r}",
                    step="read state",
                    peer=self.name,
                    sent=True,
                )
            )

    def order(
        self, order: Order, adapter: AdapterVersion, fence: int, owner: str
    ) -> Result[None, UpstreamError]:
        """Reject the order: plain services hold no adapters."""
        return Err(
            UpstreamError(
                "plain services accept no orders",
                step=order,
                peer=self.name,
                sent=False,
            )
        )


@replica_client("engine")
class EngineClient(ServiceClient):
    """Client of one model engine."""

    def resume(
        self, request_id: str, after: int, *, timeout_s: float
    ) -> Result[HttpResponse, UpstreamError]:
        """Continue a request's stream after its first `after` events."""
        body = json.dumps({"request": request_id, "after": after}).encode()
        headers = {"Content-Type": "application/json"}
        return self.send(
            "POST", "/resume", body, headers, idempotent=True, timeout_s=timeout_s
        )

    def cancel(self, request_id: str) -> Result[None, UpstreamError]:
        """Cancel a request that no caller waits for any more."""
        try:
            self.http.json(
                "POST", "/cancel", {"request": request_id}, timeout_s=CANCEL_TIMEOUT_S
            )
        except UpstreamError as error:
            error.peer = self.name
            return Err(error)
        return Ok(None)

    def order(
        self, order: Order, adapter: AdapterVersion, fence: int, owner: str
    ) -> Result[None, UpstreamError]:
        """Load or unload one adapter version; the error carries the code."""
        request = {
            "order": order,
            "adapter": f"{adapter.team}/{adapter.adapter}",
            "version": adapter.version,
            "fence": fence,
            "owner": owner,
        }
        try:
            status, data = self.http.json(
                "POST", "/orders", request, timeout_s=ORDER_TIMEOUT_S
            )
        except UpstreamError as error:
            error.peer = self.name
            return Err(error)
        if status == 200:
            return Ok(None)
        code = str(data.get("code", "")) if isinstance(data, dict) else ""
        return Err(
            UpstreamError(
                f"order to {order} {adapter} rejected: {code or status}",
                step=order,
                peer=self.name,
                sent=True,
                status=status,
                code=code,
            )
        )


def parse_resident(item: dict[str, Any]) -> AdapterVersion:
    """Parse one resident adapter of a state report."""
    team, _, adapter = str(item["adapter"]).partition("/")
    return AdapterVersion(team, adapter, str(item["version"]))
