"""Which hosts are hubs of their availability zone: for the store and for other hosts.

Every call to the store counts, and messages from every host to every other one grow
with the square of the fleet. Two feed hubs of each zone watch the feeds and push the
changes to the zone; they are chosen among the hosts that the store answers. In a large
fleet a few hubs of each zone receive digests and loads for their zone and send them on
together.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence

import xxhash

# The second feed hub covers the time until the loss of the first one is detected.
FEED_HUBS_PER_ZONE = 2

# Hubs of a zone in a large fleet. Each sends on to two thirds of the zone's hosts,
# which takes a third of an access link of 5 Mbit/s in a fleet of 79 hosts; each host
# receives from two of them.
HUBS_PER_ZONE = 3
HUBS_PER_HOST = 2

# What a host sends of one change of a feed. An access link of 5 Mbit/s, the slowest
# that the platform gives to a host, carries it in 0.4 s.
MAX_PUSH_BYTES = 256 * 1024

# Recipients of a push that is passed on. With one, a lost host would cut off all
# others.
MIN_PUSH_BRANCHES = 2

# Up to this many hosts send each other everything directly: with several hubs in each
# zone, few messages would be saved.
MAX_MESH_HOSTS = 16


def rendezvous_order(key: str, hosts: Iterable[str]) -> list[str]:
    """Return hosts in an order that depends on the key (rendezvous hashing)."""
    return sorted(hosts, key=lambda host: xxhash.xxh64_intdigest(f"{key}|{host}"))


def select_feed_hubs(hosts: Iterable[str]) -> list[str]:
    """Return the feed hubs among the live hosts of a zone."""
    return rendezvous_order("relay", hosts)[:FEED_HUBS_PER_ZONE]


def watches_store(host: str, others: Mapping[str, bool], is_connected: bool) -> bool:
    """Tell if a host watches the store itself.

    `others` are the live hosts of its zone; the value tells if the store answers them,
    `is_connected` if it answers this host. While it answers none of them, two hosts
    try for all: an outage is not met by the calls of the whole fleet.
    """
    hosts = {**others, host: is_connected}
    connected = [key for key, is_answered in hosts.items() if is_answered]
    return host in select_feed_hubs(connected or hosts)


def plan_push(hosts: Sequence[str], size: int) -> dict[str, list[str]]:
    """Return the hosts to send a change to, each with those that it passes it on to.

    A change of `size` bytes goes directly to all hosts while that fits MAX_PUSH_BYTES.
    """
    branches = len(hosts)
    if size * branches > MAX_PUSH_BYTES:
        branches = min(branches, max(MIN_PUSH_BRANCHES, MAX_PUSH_BYTES // size))
    return {
        hosts[number]: list(hosts[number + branches :: branches])
        for number in range(branches)
    }


def select_hubs(hosts: Iterable[str]) -> list[str]:
    """Return the hubs among the live hosts of a zone."""
    # All hosts of a fleet must hash with the same keys, "relay" and "speaker".
    return rendezvous_order("speaker", hosts)[:HUBS_PER_ZONE]


def is_hub_for(hub: str, host: str, zone_hubs: Iterable[str]) -> bool:
    """Tell if a hub sends messages on to a host of its zone."""
    return hub in rendezvous_order(host, zone_hubs)[:HUBS_PER_HOST]


def all_hubs(zones: Mapping[str, str]) -> set[str]:
    """Return the hubs of all zones; `zones` names the zone of each live host."""
    by_zone: dict[str, list[str]] = {}
    for host, zone in zones.items():
        by_zone.setdefault(zone, []).append(host)
    return {hub for hosts in by_zone.values() for hub in select_hubs(hosts)}
