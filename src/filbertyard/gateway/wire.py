"""Interface between the gateway and the message formats of a platform."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Literal
from typing import Protocol

from ..keyvalue import Item
from .types import AdapterName
from .types import Configuration
from .types import EngineReport
from .types import GatewayRequest
from .types import Replica

# held: the ordered state is reached; accepted: done or in progress; busy: another order
# is in progress or the sequence differs; stale: a newer owner was seen; refused: not
# this replica, or an unknown order.
OrderResult = Literal["held", "accepted", "busy", "stale", "refused"]


@dataclass(frozen=True, slots=True)
class ReportedLoad:
    """Load that a replica reports: its requests, its slots, how slow it is now.

    `running` is -1 and `slots` 0 if not stated. Work takes `slowdown` times as long as
    usual on the replica's machine; `has_slowdown` tells if it was stated.
    """

    running: int = -1
    waiting: int = 0
    slots: int = 0
    slowdown: float = 1.0
    has_slowdown: bool = False


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Decoded status and headers of a replica's response.

    `is_not_run` tells that by its own statement the replica did not and will not run
    the request, `is_adapter_absent` that it does not hold the adapter or is another
    replica. `running`, `waiting`, `slots`, `slowdown` and `has_slowdown` are as in
    `ReportedLoad`. `rate_limit` is the number of requests per second that it takes from
    all hosts together: infinite if the head names no limit, None if it names an
    unreadable one.
    """

    status: int
    request_id: str
    is_signed: bool
    is_not_run: bool
    is_adapter_absent: bool
    running: int = -1
    waiting: int = 0
    slots: int = 0
    slowdown: float = 1.0
    has_slowdown: bool = False
    rate_limit: float | None = math.inf


@dataclass(frozen=True, slots=True)
class Order:
    """One order to a model engine; `sequence` must equal the engine's own."""

    kind: Literal["load", "unload"]
    model: str
    adapter: str
    version: int
    sequence: int
    owner: str
    fence: int


@dataclass(frozen=True, slots=True)
class HttpMessage:
    """HTTP request to a replica."""

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class KeyLayout:
    """Keys and prefixes of the operator and the replicas in the key-value service."""

    operator_prefix: str
    configuration_key: str
    version_prefix: str
    replica_prefix: str


class WireFormat(Protocol):
    """Translate between the product's types and one platform's messages."""

    layout: KeyLayout

    def read_request(
        self,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes,
        arrived: float,
    ) -> GatewayRequest:
        """Decode a caller's request; raise RequestError."""

    def request_headers(
        self,
        request: GatewayRequest,
        replica: str,
        left_s: float,
        rank: int,
        version: int,
        resume_after: str,
        workspace: str | None = None,
    ) -> dict[str, str]:
        """Return the headers for a replica; `version` 0 leaves the choice to it.

        `workspace` names the caller's workspace, empty for none; None leaves the
        caller's credentials as they are, for a configuration without workspaces.
        """

    def read_response_head(
        self, status: int, headers: list[tuple[str, str]]
    ) -> ResponseHead:
        """Decode the status and headers of a replica's response."""

    def response_headers(self, headers: list[tuple[str, str]]) -> list[tuple[str, str]]:
        """Return the headers of a replica's response that go on to the caller."""

    def error_response(
        self, status: int, request_id: str, detail: str, retry_after_s: float
    ) -> tuple[list[tuple[str, str]], bytes]:
        """Return headers and body of an error response from the gateway itself."""

    def encode_addresses(self, addresses: list[str], ttl_s: float) -> bytes:
        """Return the body that tells callers where to connect."""

    def is_address_query(self, path: str) -> bool:
        """Tell if a path asks where to connect."""

    def is_readiness_query(self, path: str) -> bool:
        """Tell if a path asks whether this host is ready."""

    def order(self, order: Order, replica: str) -> HttpMessage:
        """Return the HTTP request for an order."""

    def order_result(self, status: int) -> OrderResult | None:
        """Return the result of an order, None if the status does not tell it."""

    def report(self, replica: str) -> HttpMessage:
        """Return the HTTP request for an engine's report."""

    def health(self, replica: str, path: str) -> HttpMessage:
        """Return the request for a replica's health."""

    def read_report(self, body: bytes, replica: str) -> EngineReport:
        """Decode an engine's report; raise DocumentError."""

    def read_configuration(self, item: Item) -> Configuration:
        """Decode the operator's configuration; raise DocumentError."""

    def read_replica(self, item: Item) -> Replica:
        """Decode a replica's entry; raise DocumentError."""

    def read_release(self, item: Item) -> tuple[AdapterName, int]:
        """Decode the announcement of an adapter's version; raise DocumentError."""
