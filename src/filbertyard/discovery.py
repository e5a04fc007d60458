"""Finding the other entry hosts while the key-value service is unavailable."""

from __future__ import annotations

import logging
import typing as t
from collections.abc import Iterable
from dataclasses import dataclass

from .exceptions import UpstreamError
from .hostlist import ENTRY_KIND
from .hostlist import ListedHost
from .httpcalls import create_http_peer
from .logs import log_event
from .membership import Member
from .membership import Membership

logger = logging.getLogger(__name__)

PEERS_PATH = "/v1/peers"

DISCOVERY_TIMEOUT_S = 1.0

# A few hosts suffice, because each one knows the whole fleet.
MAX_QUERIED_HOSTS = 3

SHARED_FIELDS = ("name", "instance", "callers", "peers", "region", "availability_zone")


@dataclass(frozen=True, slots=True)
class DiscoveredHost:
    """A host known to a queried host, with its newest incarnation."""

    member: Member
    incarnation: int


def describe_members(membership: Membership) -> list[dict[str, t.Any]]:
    """Return what a starting host needs to reach the known hosts."""
    described = []
    for name, member in membership.members.items():
        entry = membership.entries.get(("host", name))
        value = {field: getattr(member, field) for field in SHARED_FIELDS}
        value["incarnation"] = entry.major if entry is not None else 0
        described.append(value)
    return described


def discover(listed: Iterable[ListedHost], own_name: str) -> list[DiscoveredHost]:
    """Ask the listed entry hosts for the hosts that they know."""
    found: list[DiscoveredHost] = []
    answered = 0
    for host in listed:
        if (
            host.kind != ENTRY_KIND
            or host.name == own_name
            or answered >= MAX_QUERIED_HOSTS
        ):
            continue
        peer = create_http_peer(host.address, step="discover hosts")
        try:
            status, value = peer.json("GET", PEERS_PATH, timeout_s=DISCOVERY_TIMEOUT_S)
            if status != 200:
                continue
            found.extend(parse_discovered(item) for item in value)
        except (UpstreamError, ValueError, KeyError, TypeError) as error:
            log_event(logger, "discovery_failed", peer=host.name, error=str(error))
            continue
        finally:
            peer.close()
        answered += 1
    return found


def parse_discovered(item: dict[str, t.Any]) -> DiscoveredHost:
    """Parse one described member; raise KeyError or TypeError."""
    values = [str(item[field]) for field in SHARED_FIELDS]
    name, instance, callers, peers, region, zone = values
    member = Member(name, instance, callers, peers, region, zone)
    return DiscoveredHost(member, int(item["incarnation"]))


def join_discovered(membership: Membership, found: list[DiscoveredHost]) -> bool:
    """Join the discovered hosts; return False if none of them answered."""
    local_member = membership.local_member
    for host in found:
        if host.member.name != local_member.name:
            membership.add_unconfirmed(host.member, 0)
    membership.join()
    if not any(
        membership.has_announced_itself(member.name)
        for member in membership.other_members()
    ):
        return False
    # Other hosts ignore an instance whose incarnation isn't above its predecessor's.
    seen = [host.incarnation for host in found if host.member.name == local_member.name]
    local_member.state = "live"
    membership.start(max(seen, default=0) + 1)
    return True
