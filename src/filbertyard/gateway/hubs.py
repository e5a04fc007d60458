"""Which hosts speak for their availability zone: to the store and to other hosts.

Load pattern: every call of the store is counted, and messages from every host to every
other one grow with the square of the fleet. Two hosts of a zone follow the feeds and
pass the changes on; a host without a connected relay in its zone follows the store
itself. In a large fleet a few speakers of each zone take digests and loads for their
zone and pass them on together.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping

import xxhash

# A second relay covers the time until the loss of the first one shows.
FEED_HUBS_PER_ZONE = 2

# Speakers of a zone in a large fleet. Each passes on to two thirds of the zone's hosts,
# which takes a third of an access link of 5 Mbit/s in a fleet of 79 hosts; each host
# hears two of them.
HUBS_PER_ZONE = 3
HUBS_PER_HOST = 2

# Up to this many hosts tell each other everything directly: with several speakers in
# each zone, few messages would be saved.
MAX_MESH_HOSTS = 16


def rendezvous_order(key: str, hosts: Iterable[str]) -> list[str]:
    """Return hosts in an order that depends on the key (rendezvous hashing)."""
    return sorted(hosts, key=lambda host: xxhash.xxh64_intdigest(f"{key}|{host}"))


def select_feed_hubs(hosts: Iterable[str]) -> list[str]:
    """Return the relays among the live hosts of a zone."""
    return rendezvous_order("relay", hosts)[:FEED_HUBS_PER_ZONE]


def watches_store(host: str, others: Mapping[str, bool]) -> bool:
    """Tell if a host follows the store itself.

    `others` are the live hosts of its zone; the value tells if they are connected to
    the store.
    """
    chosen = select_feed_hubs({**others, host: True})
    return host in chosen or not any(others[feed_hub] for feed_hub in chosen)


def select_hubs(hosts: Iterable[str]) -> list[str]:
    """Return the speakers among the live hosts of a zone."""
    return rendezvous_order("speaker", hosts)[:HUBS_PER_ZONE]


def is_hub_for(hub: str, host: str, zone_hubs: Iterable[str]) -> bool:
    """Tell if a speaker passes messages on to a host of its zone."""
    return hub in rendezvous_order(host, zone_hubs)[:HUBS_PER_HOST]


def all_hubs(zones: Mapping[str, str]) -> set[str]:
    """Return the speakers of all zones; `zones` names the zone of each live host."""
    by_zone: dict[str, list[str]] = {}
    for host, zone in zones.items():
        by_zone.setdefault(zone, []).append(host)
    return {hub for hosts in by_zone.values() for hub in select_hubs(hosts)}
