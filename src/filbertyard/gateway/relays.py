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
RELAYS_PER_ZONE = 2

# Speakers of a zone in a large fleet. Each passes on to two thirds of the zone's hosts,
# which takes a third of an access link of 5 Mbit/s in a fleet of 79 hosts; each host
# hears two of them.
SPEAKERS_PER_ZONE = 3
SPEAKERS_PER_HOST = 2

# Up to this many hosts tell each other everything directly: with several speakers in
# each zone, few messages would be saved.
MESH_HOSTS = 16


def rank(key: str, hosts: Iterable[str]) -> list[str]:
    """Return hosts in an order that depends on the key (rendezvous hashing)."""
    return sorted(hosts, key=lambda host: xxhash.xxh64_intdigest(f"{key}|{host}"))


def relays(hosts: Iterable[str]) -> list[str]:
    """Return the relays among the live hosts of a zone."""
    return rank("relay", hosts)[:RELAYS_PER_ZONE]


def follows_store(host: str, others: Mapping[str, bool]) -> bool:
    """Tell if a host follows the store itself.

    `others` are the live hosts of its zone; the value tells if they are connected to
    the store.
    """
    chosen = relays({**others, host: True})
    return host in chosen or not any(others[relay] for relay in chosen)


def speakers(hosts: Iterable[str]) -> list[str]:
    """Return the speakers among the live hosts of a zone."""
    return rank("speaker", hosts)[:SPEAKERS_PER_ZONE]


def speaks_for(speaker: str, host: str, zone_speakers: Iterable[str]) -> bool:
    """Tell if a speaker passes messages on to a host of its zone."""
    return speaker in rank(host, zone_speakers)[:SPEAKERS_PER_HOST]


def all_speakers(zones: Mapping[str, str]) -> set[str]:
    """Return the speakers of all zones; `zones` names the zone of each live host."""
    by_zone: dict[str, list[str]] = {}
    for host, zone in zones.items():
        by_zone.setdefault(zone, []).append(host)
    return {speaker for hosts in by_zone.values() for speaker in speakers(hosts)}
