"""Client of the platform's list of live and leaving hosts."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from typing import Protocol

from result import Err
from result import Ok
from result import Result

from .exceptions import UpstreamError
from .httpcalls import create_http_peer

ENTRY_KIND = "entry"

LIST_TIMEOUT_S = 1.0


@dataclass(frozen=True, slots=True)
class ListedHost:
    """One entry host or upstream replica; `kind` is `entry` or an upstream's name."""

    name: str
    address: str
    availability_zone: str
    kind: str
    is_leaving: bool


class HostList(Protocol):
    """The platform's host list."""

    def read(self) -> Result[list[ListedHost], UpstreamError]:
        """Return all listed hosts, as the previous object if nothing changed."""


HOST_LIST_CLIENTS: dict[str, Callable[[str], HostList]] = {}


def host_list_client(name: str) -> Callable[[Any], Any]:
    """Register a client of one wire format under `name`."""

    def register(factory: Any) -> Any:
        HOST_LIST_CLIENTS[name] = factory
        return factory

    return register


def create_host_list(address: str, form: str = "json") -> HostList:
    """Return a client of the host list at `address`."""
    return HOST_LIST_CLIENTS[form](address)


@host_list_client("json")
class JsonHostList:
    """Client of the host list as a JSON document."""

    def __init__(self, address: str) -> None:
        self.http = create_http_peer(
            address, timeout_s=LIST_TIMEOUT_S, step="read host list"
        )
        self.entity_tag = ""
        self.hosts: list[ListedHost] = []

    def read(self) -> Result[list[ListedHost], UpstreamError]:
        """Return all listed hosts, as the previous object if nothing changed."""
        headers = {"If-None-Match": self.entity_tag} if self.entity_tag else {}
        try:
            response, body = self.http.exchange("GET", "/hosts", headers=headers)
            if response.status == 304 and self.entity_tag:
                return Ok(self.hosts)
            if response.status != 200:
                raise ValueError(f"status {response.status}")
            data = self.http.parse_json(response, body)
            hosts = [parse_listed(item) for item in data["hosts"]]
        except UpstreamError as error:
            return Err(error)
        except (ValueError, KeyError, TypeError) as error:
            detail = f"malformed host list: {error!r}"
            return Err(
                UpstreamError(
                    detail, step="read host list", peer=self.http.address, sent=True
                )
            )
        self.hosts, self.entity_tag = hosts, response.header("ETag")
        return Ok(hosts)


def parse_listed(item: dict[str, Any]) -> ListedHost:
    """Parse one listed host; raise KeyError or TypeError."""
    return ListedHost(
        name=str(item["name"]),
        address=str(item["address"]),
        availability_zone=str(item["availability_zone"]),
        kind=str(item["kind"]),
        is_leaving=item.get("state") == "leaving",
    )
