"""Client of the adapter store's listing."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from typing import Protocol

from result import Err
from result import Ok
from result import Result

from .exceptions import UpstreamError
from .httpcalls import create_http_peer

LIST_TIMEOUT_S = 2.0

STEP = "read adapter store"


class AdapterStore(Protocol):
    """The listing of the adapter store."""

    def versions(self, team: str, adapter: str) -> Result[list[str], UpstreamError]:
        """Return the versions of an adapter, none if the store does not have it."""


ADAPTER_STORE_CLIENTS: dict[str, Callable[[str], AdapterStore]] = {}


def adapter_store_client(name: str) -> Callable[[Any], Any]:
    """Register a client of one wire format under `name`."""

    def register(factory: Any) -> Any:
        ADAPTER_STORE_CLIENTS[name] = factory
        return factory

    return register


def create_adapter_store(address: str, form: str = "json") -> AdapterStore:
    """Return a client of the store at `address`; `form` is its wire format."""
    return ADAPTER_STORE_CLIENTS[form](address)


@adapter_store_client("json")
class JsonAdapterStore:
    """Client of the listing in JSON."""

    def __init__(self, address: str) -> None:
        self.http = create_http_peer(address, timeout_s=LIST_TIMEOUT_S, step=STEP)

    def versions(self, team: str, adapter: str) -> Result[list[str], UpstreamError]:
        """Return the versions of an adapter, none if the store does not have it."""
        try:
            status, data = self.http.json("GET", f"/adapters/{team}/{adapter}")
        except UpstreamError as error:
            return Err(error)
        if status == 404:
            return Ok([])
        versions = data.get("versions") if isinstance(data, dict) else None
        if status != 200 or not isinstance(versions, list):
            detail = f"status {status}, expected a list of versions"
            return Err(
                UpstreamError(detail, step=STEP, peer=self.http.address, sent=True)
            )
        return Ok([str(version) for version in versions])
